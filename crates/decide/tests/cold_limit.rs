//! What all VMs together send to an endpoint that is cold, and for how long one counts as cold.

mod cold_fleet;

use cold_fleet::{FleetVm, SPEC, TERMS, Trouble, play};
use proptest::prelude::*;
use spanfold_decide::{
    ColdRight, ColdSpec, DeploymentConfig, EndpointEntry, EndpointKey, FleetTable, ListStanding, ServiceRow,
    VmKey,
};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

/// Requests in a second that the sheet allows all VMs together: 11 times 1.5, and 5.
const ALLOWED: usize = 21;

fn few_senders(vm: &FleetVm, standing: &ListStanding, endpoint: EndpointKey, now: Moment) -> usize {
    if standing.holds(now) { vm.right.part(endpoint, SPEC) } else { 0 }
}

#[test]
fn in_calm_a_cold_endpoint_gets_what_it_bears() {
    for vms in [1, 2, 3, 5, 9, 24, 59, 84] {
        let load = play(few_senders, vms, Trouble::None, 30, vms as u64);
        assert!(load.most <= 10, "{vms} VMs: {load:?}");
        // 27 of 30 seconds, since VMs wait until they are known.
        assert!(load.mean >= 7.0, "{vms} VMs: {load:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_trouble_makes_vms_pass_the_limit(vms in 1_usize..90, seed in any::<u64>()) {
        let load = play(few_senders, vms, Trouble::Any, 90, seed);
        prop_assert!(load.most <= ALLOWED, "{:?}", load);
    }
}

#[test]
fn a_cold_endpoint_of_no_known_limit_is_like_any() {
    let table = table(ColdSpec::default(), Some(60_000));
    assert_eq!(table.cold_count(at(1)), 0);
    assert!(!table.is_any_cold(at(1)));
}

const SERVICE: &str = "llm";

fn at(millis: u64) -> Moment {
    Moment((100_000 + millis) * 1_000)
}

fn entry(cold_millis: Option<u64>) -> EndpointEntry {
    EndpointEntry {
        id: "i-1".to_owned(),
        born_millis: None,
        service: SERVICE.to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "dc-a".to_owned(),
        slots: 8,
        draining: false,
        cold_millis,
        weights: BTreeMap::new(),
    }
}

fn table(cold: ColdSpec, cold_millis: Option<u64>) -> FleetTable {
    let services = BTreeMap::from([(SERVICE.to_owned(), ServiceRow { cold, ..ServiceRow::default() })]);
    let mut table = FleetTable::default();
    table.set_services(&DeploymentConfig { services, ..DeploymentConfig::default() });
    table.apply_entry(entry(cold_millis), at(0));
    table
}

fn is_cold(table: &FleetTable, millis: u64) -> bool {
    table.cold_count(at(millis)) == 1
}

#[test]
fn an_endpoint_is_cold_for_as_long_as_it_says() {
    let mut table = table(SPEC, Some(2_983));
    assert!(is_cold(&table, 2_900) && !is_cold(&table, 2_983));
    // Told again, counted down, and heard sooner than the first time.
    table.apply_entry(entry(Some(1_700)), at(1_100));
    assert!(is_cold(&table, 2_700) && !is_cold(&table, 2_800));
    // Heard later than the first time: the sooner word is the nearer one.
    table.apply_entry(entry(Some(1_000)), at(2_500));
    assert!(!is_cold(&table, 2_800));
    table.apply_entry(entry(Some(0)), at(2_900));
    assert!(!is_cold(&table, 2_900));
    // It turns cold again, at any moment.
    table.apply_entry(entry(Some(3_000)), at(20_000));
    assert!(is_cold(&table, 22_900) && !is_cold(&table, 23_000));
}

#[test]
fn an_endpoint_that_says_that_it_is_warm_is_so_at_once() {
    let mut table = table(SPEC, Some(3_000));
    table.apply_entry(entry(Some(0)), at(500));
    assert!(!is_cold(&table, 500));
}

#[test]
fn an_endpoint_that_says_nothing_is_cold_after_its_start() {
    let table = table(SPEC, None);
    assert!(is_cold(&table, 2_900) && !is_cold(&table, 3_000));
}

#[test]
fn a_part_that_is_used_up_is_there_again_after_a_second() {
    let mut table = table(SPEC, Some(60_000));
    let right = ColdRight { own: VmKey::of("vm-1"), others: Vec::new(), terms: TERMS };
    let key = EndpointKey::of("i-1");
    let taken = |table: &mut FleetTable, millis| {
        (0..30).filter(|_| table.take_cold_part(key, Some(&right), at(millis))).count()
    };
    assert_eq!(taken(&mut table, 0), 10);
    assert_eq!(taken(&mut table, 900), 0);
    assert_eq!(taken(&mut table, 1_100), 10);
    // Without the right, nothing.
    assert!(!table.take_cold_part(key, None, at(5_000)));
}
