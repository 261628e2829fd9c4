//! Measures the kernel's cost: time per request and bytes of state, by engines, accounts and stored
//! blocks.
//!
//! `cargo run --release -p spanfold-policy --example kernel_cost`. One kernel is the only VM of its
//! data centre, so it handles all events of a request: placement, grant, first token and end.

use spanfold_declare::{Catalogue, Declarations, Document};
use spanfold_entity::Moment;
use spanfold_kernel::{Arrival, Event, Kernel, ListedVm, Outcome, PromptUsage, VmRole, VmState, World};
use spanfold_policy as _;
use std::sync::Arc;
use std::time::Instant;

const REQUESTS: u64 = 20_000;
const BLOCKS_PER_PROMPT: u64 = 7;

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0_u64);
    pages * 4_096
}

fn start_kernel(engines: usize, accounts: usize) -> (Kernel, u64) {
    let mut text = String::from("[pool p]\nkind = engine\nselector = role=e\nmodel = m\nversion = 1\n");
    text += "[share s]\naccounts =\nresources =\npercent = 100\n";
    text += "[endpoint store]\nkind = store\naddress = 127.0.0.1:1\ndata_centre = d\n";
    for number in 0..engines {
        text += &format!(
            "[endpoint e{number}]\nkind = engine\naddress = 127.0.0.1:1\ndata_centre = d\nlabels = role=e\nslots = 64\n"
        );
    }
    for number in 0..accounts {
        text += &format!("[client-account a{number}]\nlabels = n=n{number}\nrate = 1000000\n");
    }
    let before = resident_bytes();
    let started_at = Instant::now();
    let document = Document::parse("cost", &text).expect("it parses");
    let catalogue = Catalogue::new(Declarations::check(&document).expect("it has no findings"));
    let parse_time = started_at.elapsed();
    drop(document);
    let mut world = World {
        own_name: "vm".into(),
        data_centre: "d".into(),
        incarnation: 1,
        variant: "spanfold".into(),
        shards: 17,
        flush_millis: 40,
        ..World::default()
    };
    let own_index = world.vm_names.intern("vm");
    world.vms.get_or_insert_default(own_index).data_centre = "d".into();
    let mut kernel = Kernel::new(world);
    let vm = ListedVm {
        name: "vm".into(),
        role: VmRole::Entry,
        address: String::new(),
        data_centre: "d".into(),
        state: VmState::Live,
    };
    kernel.step(Moment(0), Event::Listed { vms: vec![vm] });
    let started_at = Instant::now();
    let catalogue = Some(Arc::new(catalogue));
    kernel.step(Moment(1), Event::Configured { generation: 1, text: Arc::from(""), catalogue });
    let bytes = resident_bytes().saturating_sub(before);
    println!(
        "engines {engines:>4} accounts {accounts:>6}: parse {:>7.1} ms off the control thread, apply {:>6.2} ms, {:>6.2} MB, {} KB of text",
        parse_time.as_secs_f64() * 1e3,
        started_at.elapsed().as_secs_f64() * 1e3,
        bytes as f64 / 1e6,
        text.len() / 1_000
    );
    (kernel, bytes)
}

fn arrival(request: u64, accounts: usize) -> Arrival {
    let prompt = request % 997;
    Arrival {
        request,
        account: format!("a{}", request as usize % accounts),
        pool: "p".into(),
        keys: (0..BLOCKS_PER_PROMPT)
            .map(|block| prompt.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 16 << 16 | block)
            .collect(),
        prompt_tokens: 7_300,
        max_tokens: 200,
        deadline: Moment(u64::MAX / 2),
        priority: 0,
        exclude: Vec::new(),
    }
}

/// Returns the microseconds that one request and one tick cost the control thread.
fn request_cost(kernel: &mut Kernel, accounts: usize) -> (f64, f64) {
    let mut now = 1_000_000;
    kernel.step(Moment(now), Event::Tick);
    let started_at = Instant::now();
    for request in 0..REQUESTS {
        now += 100;
        kernel.step(Moment(now), Event::Arrive(arrival(request, accounts)));
        let usage =
            PromptUsage { cached: 7_168, computed: 132, compute_micros: 3_000, ..PromptUsage::default() };
        kernel.step(Moment(now + 1), Event::Progress { request, outcome: Outcome::FirstToken(usage) });
        kernel.step(Moment(now + 2), Event::Progress { request, outcome: Outcome::Complete(200) });
    }
    let request = started_at.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64;
    let started_at = Instant::now();
    for tick in 0..1_000 {
        kernel.step(Moment(now + tick), Event::Tick);
    }
    (request, started_at.elapsed().as_secs_f64() * 1e6 / 1_000.0)
}

fn main() {
    println!("-- one request: arrive, ask, grant, first token, end; prompt of {BLOCKS_PER_PROMPT} pieces");
    for (engines, accounts) in
        [(10, 10), (100, 10), (324, 10), (500, 10), (13, 1_000), (13, 24_000), (324, 24_000)]
    {
        let (mut kernel, _) = start_kernel(engines, accounts);
        let (request, tick) = request_cost(&mut kernel, accounts);
        println!("    request {request:>6.2} us, tick {tick:>7.2} us");
    }
    println!("-- kept pieces indexed at one home");
    for block_count in [100_u64, 2_000, 20_000, 110_000, 880_000] {
        let (mut kernel, _) = start_kernel(13, 10);
        kernel.step(Moment(500_000), Event::Tick);
        let before = resident_bytes();
        let stored = (0..block_count).map(|block| block.wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect();
        let started_at = Instant::now();
        let listing = Event::StoreRead {
            store: "store".into(),
            pool: "p".into(),
            whole: true,
            stored,
            freed: vec![],
            room: 9,
        };
        kernel.step(Moment(600_000), listing);
        let elapsed = started_at.elapsed();
        let bytes = resident_bytes().saturating_sub(before);
        let (request, _) = request_cost(&mut kernel, 10);
        println!(
            "    {block_count:>7} pieces: indexed in {:>7.1} ms, {:>6.2} MB, request {request:>6.2} us",
            elapsed.as_secs_f64() * 1e3,
            bytes as f64 / 1e6
        );
    }
}
