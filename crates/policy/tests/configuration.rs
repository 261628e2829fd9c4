//! How a VM comes to a newer configuration where sources fall silent and links are narrow.

// Linking the policies is what registers them.
use spanfold_policy as _;

use spanfold_entity::Moment;
use spanfold_kernel::{Beat, Effect, Event, Kernel, ListedVm, Message, VmRole, VmState, World};

/// The kernel of `vm-a3`, beside `vm-a1` and `vm-a2`.
struct Vm {
    kernel: Kernel,
    now: u64,
}

impl Vm {
    fn new() -> Self {
        let world = World {
            me: "vm-a3".into(),
            data_centre: "dc-a".into(),
            incarnation: 1,
            variant: "spanfold".into(),
            shards: 1,
            flush_millis: 40,
            ..World::default()
        };
        let mut vm = Self { kernel: Kernel::new(world), now: 0 };
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
        self.kernel.step(Moment(self.now * 1_000), event)
    }

    fn receive(&mut self, from: &str, message: Message) -> Vec<Effect> {
        self.step(Event::Receive { from: from.into(), message })
    }

    fn beat(&mut self, from: &str, generation: u64) -> Vec<Effect> {
        let beat = Beat {
            incarnation: 5,
            leaving: false,
            generation,
            unwell: Vec::new(),
            orders_holder: String::new(),
        };
        self.receive(from, Message::Beat(beat))
    }

    fn head(&mut self, from: &str) -> Vec<Effect> {
        let digests = vec!["d1".to_owned(), "d2".to_owned()];
        self.receive(from, Message::Head { generation: 5, digests })
    }

    /// Lets time pass, with a beat a second of `beating`.
    fn pass(&mut self, millis: u64, beating: &[&str]) -> Vec<Effect> {
        let mut effects = Vec::new();
        let end = self.now + millis;
        while self.now < end {
            self.now += 50;
            effects.extend(self.step(Event::Tick));
            if self.now.is_multiple_of(1_000) {
                for vm in beating {
                    effects.extend(self.beat(vm, 5));
                }
            }
        }
        effects
    }
}

/// Whom chunks were asked from.
fn asked(effects: &[Effect]) -> Vec<&str> {
    let asked = effects.iter().filter_map(|effect| match effect {
        Effect::Send { to, message: Message::ChunkPull { .. } } => Some(to.as_str()),
        Effect::ReadChunks { .. } => Some("platform"),
        _ => None,
    });
    asked.collect()
}

/// A VM that had begun to fetch a generation from another one asked only that one, also after it was
/// gone, and never took the generation.
#[test]
fn chunks_are_asked_from_another_vm_if_their_source_falls_silent() {
    let mut vm = Vm::new();
    vm.beat("vm-a1", 5);
    assert_eq!(asked(&vm.head("vm-a1")), ["vm-a1"]);
    let effects = vm.pass(10_000, &["vm-a2"]);
    assert!(asked(&effects).contains(&"vm-a2"), "{:?}", asked(&effects));
}

#[test]
fn chunks_are_read_from_the_platform_if_it_tells_of_them_and_their_source_is_silent() {
    let mut vm = Vm::new();
    vm.beat("vm-a1", 5);
    assert_eq!(asked(&vm.head("vm-a1")), ["vm-a1"]);
    vm.pass(3_000, &[]);
    let digests = vec!["d1".to_owned(), "d2".to_owned()];
    let mut effects = vm.step(Event::HeadRead { generation: 5, digests });
    effects.extend(vm.pass(10_000, &[]));
    assert!(asked(&effects).contains(&"platform"), "{:?}", asked(&effects));
}

/// All chunks were asked for anew each half second, whatever was on its way: on a narrow link each
/// answer slowed down the ones before it, and none came to its end.
#[test]
fn chunks_that_take_long_are_asked_for_ever_more_seldom() {
    let mut vm = Vm::new();
    let digests = vec!["d1".to_owned(), "d2".to_owned()];
    let first = vm.step(Event::HeadRead { generation: 5, digests });
    assert_eq!(asked(&first), ["platform"]);
    let count = asked(&vm.pass(30_000, &[])).len();
    assert!((3..=7).contains(&count), "{count}");
}

#[test]
fn chunks_that_go_on_coming_are_not_asked_for_again() {
    let mut vm = Vm::new();
    let texts: Vec<String> = (0..40).map(|row| format!("# chunk {row}\n")).collect();
    let digests = texts.iter().map(|text| spanfold_declare::chunk_digest(text)).collect();
    vm.step(Event::HeadRead { generation: 5, digests });
    for text in &texts {
        let effects = vm.pass(400, &[]);
        assert!(asked(&effects).is_empty(), "{:?}", asked(&effects));
        vm.step(Event::ChunksRead { texts: vec![text.as_str().into()] });
    }
}
