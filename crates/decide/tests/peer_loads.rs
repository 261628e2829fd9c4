//! Sums of the loads that VMs report.
//!
//! In any order of digests, a sum is that of the newest digest of each VM.

use proptest::prelude::*;
use spanfold_decide::{DeploymentConfig, ServiceRow};
use spanfold_decide::{EndpointEntry, EndpointKey, FleetTable, LoadCount, LoadSource, StoreSpec, VmKey};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

const ENDPOINTS: usize = 4;
/// A peer's load counts for this long, in milliseconds.
const REPORT_LIFETIME_MILLIS: u64 = 1_500;

#[derive(Clone, Debug)]
enum Step {
    /// A VM reports its loads: endpoint and running requests.
    Digest(u64, Vec<(usize, u32)>),
    /// Time passes, in milliseconds.
    Wait(u64),
    Sweep,
}

fn step() -> impl Strategy<Value = Step> {
    let rows = proptest::collection::btree_map(0..ENDPOINTS, 1..9_u32, 0..ENDPOINTS);
    prop_oneof![
        (0..3_u64, rows).prop_map(|(vm, rows)| Step::Digest(vm, rows.into_iter().collect())),
        (0..2_000_u64).prop_map(Step::Wait),
        Just(Step::Sweep),
    ]
}

fn key(endpoint: usize) -> EndpointKey {
    EndpointKey::of(&format!("i-{endpoint}"))
}

fn load(running: u32) -> LoadCount {
    LoadCount {
        running,
        pending_prefill_tokens: u64::from(running) * 10,
        memory_tokens: u64::from(running) * 100,
    }
}

fn table() -> FleetTable {
    let mut table = FleetTable::default();
    for endpoint in 0..ENDPOINTS {
        let entry = EndpointEntry {
            id: format!("i-{endpoint}"),
            born_millis: None,
            service: "llm".to_owned(),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: "dc-a".to_owned(),
            version: "v1".into(),
            slots: 8,
            draining: false,
            cold_millis: None,
            weights: BTreeMap::new().into(),
        };
        table.apply_entry(entry, Moment(0));
    }
    table
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn sums_are_those_of_the_newest_valid_digests(steps in proptest::collection::vec(step(), 1..60)) {
        let mut table = table();
        let mut digests: BTreeMap<u64, (Moment, Vec<(usize, u32)>)> = BTreeMap::new();
        let mut now = Moment(0).after_millis(5_000);
        for step in steps {
            match step {
                Step::Digest(vm, rows) => {
                    let loads: Vec<_> =
                        rows.iter().map(|(endpoint, running)| (key(*endpoint), load(*running))).collect();
                    table.apply_peer_loads(LoadSource::Vm(VmKey(vm)), &loads, now);
                    digests.insert(vm, (now, rows));
                }
                Step::Wait(millis) => now = now.after_millis(millis),
                Step::Sweep => drop(table.sweep(now)),
            }
            for endpoint in 0..ENDPOINTS {
                let counted = digests.values().filter(|(at, _)| now < at.after_millis(REPORT_LIFETIME_MILLIS));
                let rows = counted.flat_map(|(_, rows)| rows).filter(|(row_endpoint, _)| *row_endpoint == endpoint);
                let running = rows.map(|(_, running)| running).sum();
                prop_assert_eq!(table.row(key(endpoint)).unwrap().load(now), load(running));
            }
        }
    }
}

#[test]
fn a_link_that_a_digest_no_longer_contains_is_idle() {
    let spec = StoreSpec {
        address: "127.0.0.1:8".parse().unwrap(),
        data_centre: "dc-a".to_owned(),
        tokens: 100_000,
        link_mbps: 29_000.0,
        transfer_latency_millis: 6.0,
        token_bytes: 18_432,
        max_long_polls: 12,
    };
    let services = ["a", "b"]
        .map(|name| (name.to_owned(), ServiceRow { store: Some(spec.clone()), ..ServiceRow::default() }));
    let mut table = FleetTable::default();
    table.set_services(&DeploymentConfig { services: services.into(), ..DeploymentConfig::default() });
    let (first, second) = (EndpointKey::of("a"), EndpointKey::of("b"));
    let idle_micros = table.store(first).unwrap().transfer_time_micros(5_000, "dc-a", Moment(0));
    let source = LoadSource::Vm(VmKey(1));
    table.apply_peer_transfers(source, &[(first, 40_000, Some(3.0)), (second, 1_000, None)], Moment(0));
    assert!(
        table.store(first).unwrap().transfer_time_micros(5_000, "dc-a", Moment(0)) > idle_micros + 40_000.0
    );
    table.apply_peer_transfers(source, &[(second, 1_000, None)], Moment(0));
    let idle_again_micros = table.store(first).unwrap().transfer_time_micros(5_000, "dc-a", Moment(0));
    assert!((idle_again_micros - idle_micros).abs() < 1e-6, "{idle_again_micros} {idle_micros}");
    assert!(table.store(second).unwrap().transfer_time_micros(5_000, "dc-a", Moment(0)) > idle_micros);
}
