//! How a VM fetches a newer configuration while sources are unreachable and links are slow.

// Linking the crate registers its plug-ins.
use spanfold_policy as _;

use spanfold_entity::Moment;
use spanfold_kernel::{Effect, Event, Kernel, ListedVm, Message, VmHeartbeat, VmRole, VmState, World};

/// The kernel of `vm-a3`, with the peers `vm-a1` and `vm-a2`.
struct TestVm {
    kernel: Kernel,
    now_millis: u64,
}

impl TestVm {
    fn new() -> Self {
        let world = World {
            own_name: "vm-a3".into(),
            data_centre: "dc-a".into(),
            incarnation: 1,
            variant: "spanfold".into(),
            shards: 1,
            flush_millis: 40,
            ..World::default()
        };
        let mut vm = Self { kernel: Kernel::new(world), now_millis: 0 };
        let listed = |name: &str| ListedVm {
            name: name.into(),
            role: VmRole::Entry,
            address: String::new(),
            data_centre: "dc-a".into(),
            state: VmState::Live,
        };
        vm.step(Event::Listed { vms: ["vm-a1", "vm-a2", "vm-a3"].map(listed).into() });
        vm
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        self.kernel.step(Moment(self.now_millis * 1_000), event)
    }

    fn receive(&mut self, from: &str, message: Message) -> Vec<Effect> {
        self.step(Event::Receive { from: from.into(), message })
    }

    fn receive_heartbeat(&mut self, from: &str, generation: u64) -> Vec<Effect> {
        let heartbeat = VmHeartbeat {
            incarnation: 5,
            leaving: false,
            generation,
            unwell: Vec::new(),
            orders_holder: String::new(),
        };
        self.receive(from, Message::Beat(heartbeat))
    }

    fn receive_head(&mut self, from: &str) -> Vec<Effect> {
        let digests = vec!["d1".to_owned(), "d2".to_owned()];
        self.receive(from, Message::Head { generation: 5, digests })
    }

    /// Advances the time by `millis`, with one heartbeat a second from each VM of `live_vms`.
    fn advance(&mut self, millis: u64, live_vms: &[&str]) -> Vec<Effect> {
        let mut effects = Vec::new();
        let end = self.now_millis + millis;
        while self.now_millis < end {
            self.now_millis += 50;
            effects.extend(self.step(Event::Tick));
            if self.now_millis.is_multiple_of(1_000) {
                for vm in live_vms {
                    effects.extend(self.receive_heartbeat(vm, 5));
                }
            }
        }
        effects
    }
}

/// Returns the sources that chunks were requested from.
fn chunk_sources(effects: &[Effect]) -> Vec<&str> {
    let sources = effects.iter().filter_map(|effect| match effect {
        Effect::Send { to, message: Message::ChunkPull { .. } } => Some(to.as_str()),
        Effect::ReadChunks { .. } => Some("platform"),
        _ => None,
    });
    sources.collect()
}

/// Guards against a VM that requests chunks only from its first source.
///
/// When that source becomes unreachable, such a VM never applies the generation.
#[test]
fn chunks_are_requested_from_another_vm_if_their_source_becomes_unreachable() {
    let mut vm = TestVm::new();
    vm.receive_heartbeat("vm-a1", 5);
    assert_eq!(chunk_sources(&vm.receive_head("vm-a1")), ["vm-a1"]);
    let effects = vm.advance(10_000, &["vm-a2"]);
    assert!(chunk_sources(&effects).contains(&"vm-a2"), "{:?}", chunk_sources(&effects));
}

#[test]
fn chunks_are_read_from_the_platform_if_their_source_is_unreachable() {
    let mut vm = TestVm::new();
    vm.receive_heartbeat("vm-a1", 5);
    assert_eq!(chunk_sources(&vm.receive_head("vm-a1")), ["vm-a1"]);
    vm.advance(3_000, &[]);
    let digests = vec!["d1".to_owned(), "d2".to_owned()];
    let mut effects = vm.step(Event::HeadRead { generation: 5, digests });
    effects.extend(vm.advance(10_000, &[]));
    assert!(chunk_sources(&effects).contains(&"platform"), "{:?}", chunk_sources(&effects));
}

/// Guards against requesting all chunks again each half second while answers are in transit: on a slow
/// link each answer delays the ones before it, and none completes.
#[test]
fn chunk_requests_back_off_while_no_chunk_arrives() {
    let mut vm = TestVm::new();
    let digests = vec!["d1".to_owned(), "d2".to_owned()];
    let first = vm.step(Event::HeadRead { generation: 5, digests });
    assert_eq!(chunk_sources(&first), ["platform"]);
    let count = chunk_sources(&vm.advance(30_000, &[])).len();
    assert!((3..=7).contains(&count), "{count}");
}

#[test]
fn chunks_that_keep_arriving_are_not_requested_again() {
    let mut vm = TestVm::new();
    let texts: Vec<String> = (0..40).map(|row| format!("# chunk {row}\n")).collect();
    let digests = texts.iter().map(|text| spanfold_declare::chunk_digest(text)).collect();
    vm.step(Event::HeadRead { generation: 5, digests });
    for text in &texts {
        let effects = vm.advance(400, &[]);
        assert!(chunk_sources(&effects).is_empty(), "{:?}", chunk_sources(&effects));
        vm.step(Event::ChunksRead { texts: vec![text.as_str().into()] });
    }
}
