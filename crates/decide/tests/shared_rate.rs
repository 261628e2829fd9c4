//! Load of all VMs together on an endpoint that accepts few requests, and the duration of its limits.

mod shared_fleet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shared_fleet::{InjectedFault, SharedEndpoint, SimulatedVm, simulate};
use spanfold_decide::{
    ColdSpec, ColdTerms, DeploymentConfig, EndpointEntry, EndpointKey, FleetTable, LimitReport, RateTerms,
    ServiceRow, ShareRight, ShareView, VmKey,
};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

/// Cold start of an endpoint, as specified.
const SPEC: ColdSpec = ColdSpec { default_cold_millis: 3_000, per_s: 11.0 };
const TERMS: ColdTerms = ColdTerms { overrun: 1.5, slack: 5.0 };
/// Requests per second that the specification allows all VMs together: 11 times 1.5, and 5.
const MAX_COLD_PER_S: usize = 21;
/// Span of the platform's rule for reported limits, in milliseconds.
const LIMIT_SPAN_MILLIS: u64 = 4_000;

/// The implemented rule.
fn own_share(vm: &SimulatedVm, scene: &SharedEndpoint, now: Moment) -> u64 {
    let may_send = if scene.terms.needs_current_list {
        vm.membership.is_list_current(now)
    } else {
        vm.membership.may_use_share(now)
    };
    if may_send { vm.share } else { 0 }
}

fn cold_scene() -> SharedEndpoint {
    SharedEndpoint {
        endpoint: EndpointKey(0),
        data_centre: "dc-0",
        terms: RateTerms::of_cold(SPEC, TERMS),
        span_millis: 1_000,
    }
}

fn limit_scene(per_s: f64, data_centre: &'static str) -> SharedEndpoint {
    SharedEndpoint {
        endpoint: EndpointKey(0),
        data_centre,
        terms: RateTerms::of_limit(per_s),
        span_millis: LIMIT_SPAN_MILLIS,
    }
}

/// Requests in four seconds that the platform allows an endpoint with a limit: 1.5 times as many as it
/// reports, and 5.
fn limit_allowed(per_s: f64) -> usize {
    (per_s * 1.5 * 4.0 + 5.0) as usize
}

#[test]
fn without_faults_a_cold_endpoint_gets_the_rate_it_sustains() {
    for vms in [1, 2, 3, 5, 9, 24, 59, 84] {
        let load = simulate(own_share, (vms, 1), &cold_scene(), InjectedFault::None, (30, vms as u64));
        assert!(load.most <= 10, "{vms} VMs: {load:?}");
        // 27 of 30 seconds, since VMs wait until their entries are recorded.
        assert!(load.mean >= 7.0, "{vms} VMs: {load:?}");
    }
}

/// Limits in requests per second, from far below one per VM to far above. The large ones apply to the largest
/// deployments.
const LIMITS_PER_S: [f64; 9] = [0.02, 0.2, 0.7, 1.0, 1.4, 2.5, 11.0, 60.0, 1_000.0];
const LARGE_DEPLOYMENT_LIMITS_PER_S: [f64; 3] = [0.2, 1.4, 60.0];

#[yare::parameterized(
    vms_3 = { (3, 3), 60, &LIMITS_PER_S },
    vms_9 = { (9, 3), 60, &LIMITS_PER_S },
    vms_91 = { (91, 4), 30, &LARGE_DEPLOYMENT_LIMITS_PER_S },
    vms_295 = { (295, 5), 30, &LARGE_DEPLOYMENT_LIMITS_PER_S },
    vms_420 = { (420, 17), 30, &LARGE_DEPLOYMENT_LIMITS_PER_S },
)]
fn without_faults_an_endpoint_gets_its_limit_and_no_more(size: (usize, usize), seconds: u64, limits: &[f64]) {
    for per_s in limits {
        for data_centre in ["dc-0", "dc-without-vms"] {
            let scene = limit_scene(*per_s, data_centre);
            let load = simulate(own_share, size, &scene, InjectedFault::None, (seconds, size.0 as u64));
            // The platform would allow half as many more, and 5.
            let max_in_span = (per_s * 4.0).floor() as usize + per_s.ceil() as usize;
            assert!(
                load.most <= max_in_span,
                "{size:?} {per_s} {data_centre}: {load:?}, not over {max_in_span}"
            );
            // Windows are 50 ms longer than their computed length, and VMs wait until their entries are
            // recorded.
            let used_fraction = load.mean * seconds as f64 / (seconds as f64 - 4.0) / per_s;
            assert!(used_fraction >= 0.85, "{size:?} {per_s} {data_centre}: {used_fraction:.2} used");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn no_fault_makes_vms_exceed_the_rate_of_a_cold_endpoint(vms in 1_usize..90, seed in any::<u64>()) {
        let load = simulate(own_share, (vms, 1), &cold_scene(), InjectedFault::Any, (90, seed));
        prop_assert!(load.most <= MAX_COLD_PER_S, "{:?}", load);
    }

    #[test]
    fn no_fault_makes_vms_exceed_a_reported_limit(
        vms in 1_usize..90,
        centres in 1_usize..4,
        per_s in prop_oneof![0.0..1.0, 1.0..3.0, 3.0..100.0],
        is_remote in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let data_centre = if is_remote { "dc-without-vms" } else { "dc-0" };
        let load = simulate(own_share, (vms, centres), &limit_scene(per_s, data_centre), InjectedFault::Any, (90, seed));
        prop_assert!(load.max_unaffected <= limit_allowed(per_s), "{} a second: {:?}", per_s, load);
    }

    /// VMs that are cut off keep their shares, and no other VM takes them over. The sum stays within the
    /// limit with them too.
    #[test]
    fn vms_that_are_cut_off_do_not_make_all_together_exceed_a_reported_limit(
        vms in 1_usize..60,
        per_s in prop_oneof![0.1..1.0, 1.0..3.0, 3.0..40.0],
        seed in any::<u64>(),
    ) {
        let load = simulate(own_share, (vms, 1), &limit_scene(per_s, "dc-0"), InjectedFault::Cuts, (150, seed));
        prop_assert!(load.most <= limit_allowed(per_s), "{} a second: {:?}", per_s, load);
    }
}

#[test]
fn a_cold_endpoint_without_a_known_rate_is_not_limited() {
    let table = table(ColdSpec::default(), Some(60_000));
    assert_eq!(table.cold_count(at(1)), 0);
    assert!(!table.is_any_limited(at(1)));
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
        version: "v1".into(),
        slots: 8,
        draining: false,
        cold_millis,
        weights: BTreeMap::new().into(),
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
fn an_endpoint_is_cold_for_as_long_as_it_reports() {
    let mut table = table(SPEC, Some(2_983));
    assert!(is_cold(&table, 2_900) && !is_cold(&table, 2_983));
    // Reported again, counted down, and received with less delay than the first report.
    table.apply_entry(entry(Some(1_700)), at(1_100));
    assert!(is_cold(&table, 2_700) && !is_cold(&table, 2_800));
    // Received with more delay than the first report: the earlier end is the more accurate one.
    table.apply_entry(entry(Some(1_000)), at(2_500));
    assert!(!is_cold(&table, 2_800));
    table.apply_entry(entry(Some(0)), at(2_900));
    assert!(!is_cold(&table, 2_900));
    // It may turn cold again at any moment.
    table.apply_entry(entry(Some(3_000)), at(20_000));
    assert!(is_cold(&table, 22_900) && !is_cold(&table, 23_000));
}

#[test]
fn an_endpoint_that_reports_itself_warm_is_warm_at_once() {
    let mut table = table(SPEC, Some(3_000));
    table.apply_entry(entry(Some(0)), at(500));
    assert!(!is_cold(&table, 500));
}

#[test]
fn an_endpoint_without_a_report_is_cold_after_its_start() {
    let table = table(SPEC, None);
    assert!(is_cold(&table, 2_900) && !is_cold(&table, 3_000));
}

/// Returns how many of 30 requests a VM without peers sends at `millis`.
fn sent_count(table: &mut FleetTable, millis: u64) -> usize {
    let right = ShareRight::alone(VmKey::of("vm-1"), "dc-a");
    let shares = ShareView { right: Some(&right), cold: TERMS, vms: 1 };
    (0..30).filter(|_| table.consume_share(EndpointKey::of("i-1"), &shares, at(millis))).count()
}

/// Records a reported limit, or none. The answer is received at `millis`, 10 ms after its request.
fn report_limit(table: &mut FleetTable, per_s: Option<f64>, millis: u64) {
    let report = LimitReport { per_s, sent_at: at(millis - 10), received_at: at(millis) };
    table.observe_limit(EndpointKey::of("i-1"), report);
}

#[test]
fn a_used_up_share_is_available_again_after_a_second() {
    let mut table = table(SPEC, Some(60_000));
    assert_eq!(sent_count(&mut table, 0), 10);
    assert_eq!(sent_count(&mut table, 900), 0);
    assert_eq!(sent_count(&mut table, 1_100), 10);
    // Without the right, no request is sent.
    let shares = ShareView { right: None, cold: TERMS, vms: 1 };
    assert!(!table.consume_share(EndpointKey::of("i-1"), &shares, at(5_000)));
}

#[test]
fn of_two_limits_the_lowest_applies() {
    let mut table = table(SPEC, Some(60_000));
    report_limit(&mut table, Some(2.0), 10);
    assert_eq!(sent_count(&mut table, 20), 2);
    assert_eq!(sent_count(&mut table, 900), 0);
    assert_eq!(sent_count(&mut table, 1_100), 2);
    // A limit above the rate that the endpoint sustains while cold.
    report_limit(&mut table, Some(500.0), 2_000);
    assert_eq!(sent_count(&mut table, 3_200), 10);
    // Once warm, it accepts the reported rate; without a limit, any rate.
    table.apply_entry(entry(Some(0)), at(4_000));
    report_limit(&mut table, Some(20.0), 4_100);
    assert_eq!(sent_count(&mut table, 6_000), 20);
    report_limit(&mut table, None, 6_100);
    assert_eq!(sent_count(&mut table, 6_200), 30);
}

#[test]
fn a_limit_that_is_not_repeated_rises_and_expires() {
    let mut table = table(SPEC, Some(0));
    report_limit(&mut table, Some(1.0), 10);
    let rate = |table: &FleetTable, millis| table.row(EndpointKey::of("i-1")).unwrap().limit.rate(at(millis));
    assert_eq!(rate(&table, 32_000), Some(1.0));
    let rising_rates: Vec<_> = (8..30).filter_map(|step| rate(&table, step * 4_000 + 130)).collect();
    // Over four seconds the rate at most doubles.
    assert!(
        rising_rates.windows(2).all(|pair| pair[0] <= pair[1] && pair[1] <= pair[0] * 2.01),
        "{rising_rates:?}"
    );
    assert_eq!(rate(&table, 73_000), None);
    assert_eq!(table.expire_limits(at(73_000)), ["i-1"]);
    assert_eq!(sent_count(&mut table, 73_100), 30);
}

#[test]
fn an_endpoint_with_a_zero_limit_gets_one_request_a_minute() {
    let mut table = table(SPEC, Some(0));
    report_limit(&mut table, Some(0.0), 10);
    assert_eq!(
        (sent_count(&mut table, 20), sent_count(&mut table, 59_000), sent_count(&mut table, 60_100)),
        (1, 0, 1)
    );
}
