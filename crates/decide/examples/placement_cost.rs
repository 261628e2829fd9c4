//! Measures the time of placements, digests and load sums by deployment size.
//!
//! Prints a table, from which the figures of `docs/CAPACITY.md` come.

use spanfold_decide::{
    CacheChange, CacheUpdate, DeploymentConfig, EndpointEntry, EndpointKey, EngineSpec, FleetTable,
    HomeRegions, LoadCount, LoadSource, PlacementRequest, PromptSegment, ServiceRow, ShareView, StoreSpec,
    VersionSplit, ViewAges, VmKey, format_cache_salt, place,
};
use spanfold_entity::Moment;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Instant;

/// Repetitions of each step.
const ROUNDS: u32 = 400;
const MEMORY_TOKENS: u64 = 40_000;
const NOW: Moment = Moment(1_000_000);

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
struct FleetSize {
    vms: usize,
    data_centres: usize,
    engines: usize,
    stores: usize,
    /// Cached segments in each store.
    segments: u64,
}

const SIZES: [FleetSize; 4] = [
    FleetSize { vms: 9, data_centres: 3, engines: 18, stores: 5, segments: 100 },
    FleetSize { vms: 91, data_centres: 4, engines: 60, stores: 18, segments: 100 },
    FleetSize { vms: 295, data_centres: 5, engines: 256, stores: 58, segments: 200 },
    FleetSize { vms: 420, data_centres: 17, engines: 5_500, stores: 300, segments: 200 },
];

fn main() {
    println!(
        "vms engines stores | place, nothing kept us | place, kept us | place, aged views us | VM digest us | lead's sum us"
    );
    for size in SIZES {
        let mut table = fleet(size);
        let uncached = timed(|round| {
            black_box(choose(&table, u64::from(round) + 1_000_000));
        });
        let cached = timed(|round| {
            black_box(choose(&table, u64::from(round) % size.segments));
        });
        table.set_digest_ages(ViewAges { local_micros: 20_000.0, remote_micros: 100_000.0 });
        let aged = timed(|round| {
            black_box(choose(&table, u64::from(round) % size.segments));
        });
        table.set_digest_ages(ViewAges::default());
        let vms = (size.vms / size.data_centres) as u64;
        let digest = timed(|round| {
            let load = LoadCount { running: 1, pending_prefill_tokens: 100, memory_tokens: 900 };
            let key = engine_key(round as usize % size.engines);
            table.apply_peer_loads(LoadSource::Vm(VmKey(u64::from(round) % vms)), &[(key, load)], NOW);
            table.apply_peer_transfers(LoadSource::Vm(VmKey(u64::from(round) % vms)), &[], NOW);
        });
        let sum = timed(|_| drop(black_box(table.loads_of(|_| true, NOW))));
        println!(
            "{:3} {:7} {:6} | {uncached:22.1} | {cached:14.1} | {aged:19.1} | {digest:12.1} | {sum:13.1}",
            size.vms, size.engines, size.stores
        );
    }
}

/// Returns the mean time of a step in microseconds.
fn timed(mut step: impl FnMut(u32)) -> f64 {
    let started_at = Instant::now();
    for round in 0..ROUNDS {
        step(round);
    }
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn engine_key(engine: usize) -> EndpointKey {
    EndpointKey::of(&format!("engine-{engine}"))
}

fn choose(table: &FleetTable, document: u64) -> Option<EndpointKey> {
    let segments = [
        PromptSegment { key: 7, tokens: 2_500 },
        PromptSegment { key: 1_000 + document, tokens: 5_000 },
        PromptSegment { key: u64::MAX, tokens: 1_600 },
    ];
    let request = PlacementRequest {
        service: "llm",
        data_centre: "dc-0",
        unreachable_data_centres: &[],
        segments: &segments,
        prompt_tokens: 9_100,
        output_tokens: 10,
        objective_millis: 500,
        bytes: 9_200,
        model: Some("m"),
        required_weights: None,
        memory_fraction: 1.0,
        isolation_scope: "shared",
        exclude: &[],
        versions: &VersionSplit::Any,
        homes: HomeRegions::default(),
        shares: ShareView::default(),
        draw: rand::random,
    };
    place(table, &request, NOW).map(|choice| choice.key)
}

/// Returns a fleet under load.
///
/// Each engine runs prompts of three VMs of its data centre and of each other data centre.
fn fleet(size: FleetSize) -> FleetTable {
    let mut table = FleetTable::default();
    table.set_services(&DeploymentConfig { services: services(size), ..DeploymentConfig::default() });
    for engine in 0..size.engines {
        table.apply_entry(entry(engine, size), Moment(0));
    }
    let load = LoadCount { running: 1, pending_prefill_tokens: 900, memory_tokens: 9_000 };
    for source in 0..3 {
        let keys: Vec<_> = (0..size.engines).map(|engine| (engine_key(engine), load)).collect();
        table.apply_peer_loads(LoadSource::Vm(VmKey(source)), &keys, NOW);
    }
    for data_centre in 1..size.data_centres {
        let keys: Vec<_> = (0..size.engines).map(|engine| (engine_key(engine), load)).collect();
        table.apply_peer_loads(LoadSource::data_centre(&format!("dc-{data_centre}")), &keys, NOW);
    }
    fill_stores(&mut table, size);
    table
}

fn entry(engine: usize, size: FleetSize) -> EndpointEntry {
    EndpointEntry {
        id: format!("engine-{engine}"),
        born_millis: None,
        service: "llm".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        data_centre: format!("dc-{}", engine % size.data_centres),
        version: "v1".into(),
        slots: 24,
        draining: false,
        cold_millis: None,
        weights: BTreeMap::from([("m".to_owned(), 1)]).into(),
    }
}

fn services(size: FleetSize) -> BTreeMap<String, ServiceRow> {
    let engine = EngineSpec {
        slots: 24,
        memory_tokens: MEMORY_TOKENS,
        token_bytes: 18_432,
        models: vec!["m".to_owned()],
    };
    let mut services =
        BTreeMap::from([("llm".to_owned(), ServiceRow { engine: Some(engine), ..ServiceRow::default() })]);
    for store in 0..size.stores {
        let spec = StoreSpec {
            address: "127.0.0.1:8".parse().expect("an address"),
            data_centre: "dc-1".to_owned(),
            tokens: 1_700_000,
            link_mbps: 29_000.0,
            transfer_latency_millis: 6.0,
            token_bytes: 18_432,
            max_long_polls: 12,
        };
        services.insert(format!("store-{store}"), ServiceRow { store: Some(spec), ..ServiceRow::default() });
    }
    services
}

fn fill_stores(table: &mut FleetTable, size: FleetSize) {
    let salt = format_cache_salt("shared", "m", 1);
    for (index, store) in (0..size.stores).enumerate() {
        let changes = (0..size.segments).map(|segment| {
            // All stores contain the first segment; each other segment is in one store.
            let key = if segment == 0 { 7 } else { 1_000 + segment * size.stores as u64 + index as u64 };
            CacheChange { cache_salt: salt.clone(), segment: key, segment_text: String::new(), tokens: 5_000 }
        });
        let update = CacheUpdate { incarnation: 1, changes: changes.collect(), ..CacheUpdate::default() };
        if let Some(row) = table.store_mut(EndpointKey::of(&format!("store-{store}"))) {
            row.replace(&update, Moment::NEVER);
        }
    }
}
