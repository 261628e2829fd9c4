//! Reports of sends from other VMs, and their effect on an endpoint's health at this VM.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanfold_decide::{
    AvoidanceCause, AvoidanceChange, AvoidanceReport, DeploymentConfig, EndpointEntry, EndpointKey,
    EngineSpec, FleetTable, HomeRegions, LoadCount, MAX_AVOIDANCE_CHANGES, PlacementRequest, PromptSegment,
    SendOutcome, SendReport, ServiceRow, ShareView, VersionSplit, VmKey, place,
};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

fn at(millis: u64) -> Moment {
    Moment(0).after_millis(60_000 + millis)
}

fn key(engine: usize) -> EndpointKey {
    EndpointKey::of(&format!("i-{engine}"))
}

fn table(engines: usize) -> FleetTable {
    let engine = EngineSpec { slots: 24, memory_tokens: 40_000, ..EngineSpec::default() };
    let row = ServiceRow { engine: Some(engine), ..ServiceRow::default() };
    let services = BTreeMap::from([("llm".to_owned(), row)]);
    let mut table = FleetTable::default();
    table.set_services(&DeploymentConfig { services, ..DeploymentConfig::default() });
    for engine in 0..engines {
        let entry = EndpointEntry {
            id: format!("i-{engine}"),
            born_millis: None,
            service: "llm".to_owned(),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: "dc-a".to_owned(),
            version: "v1".into(),
            slots: 24,
            draining: false,
            cold_millis: None,
            weights: BTreeMap::new().into(),
        };
        table.apply_entry(entry, Moment(0));
    }
    table
}

fn vm(number: u64) -> VmKey {
    VmKey(number)
}

fn report(outcome: SendOutcome) -> SendReport {
    SendReport { key: key(0), outcome, pace: None, rest_millis: None }
}

fn is_ejected(table: &FleetTable, now: Moment) -> bool {
    table.row(key(0)).unwrap().is_ejected(now)
}

#[test]
fn reports_of_two_vms_but_not_of_one_eject_an_endpoint_until_an_answer() {
    let mut table = table(2);
    table.apply_send_report(vm(1), &report(SendOutcome::Unreached), 0.0, at(0));
    table.apply_send_report(vm(1), &report(SendOutcome::Unreached), 0.0, at(100));
    assert!(!is_ejected(&table, at(100)), "a VM that is cut off reports all endpoints, repeatedly");
    table.apply_send_report(vm(2), &report(SendOutcome::Unreached), 0.0, at(200));
    assert!(is_ejected(&table, at(200)));
    table.apply_send_report(vm(3), &report(SendOutcome::Answered), 0.0, at(300));
    assert!(!is_ejected(&table, at(300)), "another VM received an answer");
}

#[test]
fn an_answer_between_the_reports_of_two_vms_prevents_an_ejection() {
    let mut table = table(2);
    table.apply_send_report(vm(1), &report(SendOutcome::Unreached), 0.0, at(0));
    table.apply_send_report(vm(2), &report(SendOutcome::Answered), 0.0, at(50));
    table.apply_send_report(vm(3), &report(SendOutcome::Unreached), 0.0, at(100));
    assert!(!is_ejected(&table, at(100)));
}

#[test]
fn broken_answers_raise_the_failure_ratio_without_an_ejection() {
    let mut table = table(2);
    for reporter in 0..20 {
        table.apply_send_report(vm(reporter), &report(SendOutcome::Broken), 0.0, at(reporter * 20));
    }
    assert!(!is_ejected(&table, at(400)));
    assert!(table.row(key(0)).unwrap().failure_ratio() > 0.8);
}

#[test]
fn ten_reports_reveal_a_slow_engine_and_reports_of_slow_vms_change_little() {
    let mut fleet = table(2);
    let slow = SendReport { key: key(0), outcome: SendOutcome::Answered, pace: Some(3.5), rest_millis: None };
    for reporter in 0..10 {
        fleet.apply_send_report(vm(reporter), &slow, 0.0, at(reporter * 200));
    }
    assert!(fleet.row(key(0)).unwrap().slowdown() > 2.2, "{}", fleet.row(key(0)).unwrap().slowdown());
    // Every seventh VM is itself slower by a factor of 5.5.
    let mut fleet = table(2);
    for reporter in 0..70 {
        let slowdown = if reporter % 7 == 0 { 5.5 } else { 1.0 };
        let report = SendReport { pace: Some(slowdown), ..slow };
        fleet.apply_send_report(vm(reporter), &report, 0.0, at(reporter * 200));
    }
    assert!(fleet.row(key(0)).unwrap().slowdown() < 1.3, "{}", fleet.row(key(0)).unwrap().slowdown());
}

#[test]
fn a_vm_without_answers_and_answers_of_healthy_endpoints_are_not_reported() {
    let mut table = table(2);
    table.record_outcome(key(0), SendOutcome::Unreached, at(0));
    assert!(!table.should_propagate(&report(SendOutcome::Unreached), at(0)));
    table.record_outcome(key(1), SendOutcome::Answered, at(100));
    assert!(table.should_propagate(&report(SendOutcome::Unreached), at(200)));
    assert!(!table.should_propagate(&report(SendOutcome::Unreached), at(3_000)));
    let healthy = SendReport { key: key(1), outcome: SendOutcome::Answered, pace: None, rest_millis: None };
    assert!(!table.should_propagate(&healthy, at(200)));
    // Usual slowdowns are reported like high ones: from high ones alone, all engines would be estimated as
    // slow.
    assert!(table.should_propagate(&SendReport { pace: Some(1.0), ..healthy }, at(200)));
    assert!(table.should_propagate(&SendReport { pace: Some(3.0), ..healthy }, at(200)));
}

const VMS: usize = 60;
const ENGINES: usize = 50;
const UNREACHABLE_ENGINES: usize = 12;
/// Time after which a send to an unreachable engine fails and its report arrives at other VMs, in
/// milliseconds.
const CONNECT_FAILURE_MILLIS: u64 = 360;
const STEP_MILLIS: u64 = 20;

fn request(segments: &[PromptSegment]) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "llm",
        data_centre: "dc-a",
        unreachable_data_centres: &[],
        segments,
        prompt_tokens: 1_700,
        output_tokens: 4,
        objective_millis: 500,
        bytes: 0,
        model: None,
        required_weights: None,
        memory_fraction: 1.0,
        isolation_scope: "shared",
        exclude: &[],
        versions: &VersionSplit::Any,
        homes: HomeRegions::default(),
        shares: ShareView::default(),
        draw: || 0.0,
    }
}

fn choose(table: &FleetTable, now: Moment) -> usize {
    let segments = [PromptSegment { key: 1, tokens: 1_700 }];
    let choice = place(table, &request(&segments), now).unwrap().key;
    (0..ENGINES).find(|engine| key(*engine) == choice).unwrap()
}

/// Simulates 16 s in which the first engines are unreachable; returns the sends to those, and all sends.
///
/// Each VM sends 4.5 times a second.
fn simulate(reports_sends: bool) -> (u32, u32) {
    let mut random = SmallRng::seed_from_u64(11);
    let mut tables: Vec<FleetTable> = (0..VMS).map(|_| table(ENGINES)).collect();
    // VM and engine of each send, by the time at which it finishes.
    let mut sends: BTreeMap<u64, Vec<(usize, usize)>> = BTreeMap::new();
    let (mut lost, mut all) = (0, 0);
    let load = LoadCount { running: 1, pending_prefill_tokens: 1_700, memory_tokens: 1_700 };
    for millis in (0..16_000).step_by(STEP_MILLIS as usize) {
        let now = at(millis);
        for (sender, table) in tables.iter_mut().enumerate() {
            if random.random::<f64>() < 4.5 * STEP_MILLIS as f64 / 1_000.0 {
                // Loads are not reported here: a VM uses its own loads and a random start.
                let engine = choose_from(table, random.random_range(0..ENGINES), now);
                table.reserve(key(engine), load, &[], 0);
                let taken_millis = if engine < UNREACHABLE_ENGINES { CONNECT_FAILURE_MILLIS } else { 100 };
                sends.entry(millis + taken_millis).or_default().push((sender, engine));
                all += 1;
                lost += u32::from(engine < UNREACHABLE_ENGINES);
            }
        }
        for (reporter, engine) in sends.remove(&millis).unwrap_or_default() {
            let outcome =
                if engine < UNREACHABLE_ENGINES { SendOutcome::Unreached } else { SendOutcome::Answered };
            tables[reporter].release(key(engine), load);
            tables[reporter].record_outcome(key(engine), outcome, now);
            let report = SendReport { key: key(engine), outcome, pace: None, rest_millis: None };
            if reports_sends && tables[reporter].should_propagate(&report, now) {
                for (_, table) in tables.iter_mut().enumerate().filter(|(number, _)| *number != reporter) {
                    let slot = random.random::<f64>() * VMS as f64;
                    table.apply_send_report(vm(reporter as u64), &report, slot, now);
                }
            }
        }
        if millis % 500 == 0 {
            for table in &mut tables {
                table.sweep(now);
            }
        }
    }
    (lost, all)
}

/// Returns the first idle engine from a random start on, or else the one that `place` prefers.
fn choose_from(table: &FleetTable, start: usize, now: Moment) -> usize {
    let preferred = choose(table, now);
    let rotated = (start..ENGINES).chain(0..start);
    let is_idle = |engine: &usize| {
        table.row(key(*engine)).is_some_and(|row| !row.is_ejected(now) && row.own.running == 0)
    };
    rotated.into_iter().find(is_idle).unwrap_or(preferred)
}

#[test]
fn reports_reduce_sends_to_unreachable_engines() {
    let (lost, all) = simulate(false);
    // Without reports, over a fifth of all requests is sent to the unreachable engines while they are
    // unreachable.
    assert!(lost * 100 > all * 20, "{lost} of {all}");
    let (lost, all) = simulate(true);
    assert!(lost * 100 < all * 4, "{lost} of {all}");
}

/// The reporters are named until an answer; a flood of changes is spread over several sweeps.
#[test]
fn a_sweep_reports_whose_reports_exclude_endpoints_and_the_end_of_that() {
    let engines = MAX_AVOIDANCE_CHANGES + 3;
    let mut table = table(engines);
    let unreached = |engine| SendReport { key: key(engine), ..report(SendOutcome::Unreached) };
    for engine in 0..engines {
        assert!(!table.apply_send_report(vm(1), &unreached(engine), 0.0, at(0)));
        assert!(table.apply_send_report(vm(2), &unreached(engine), 0.0, at(100)));
        assert!(!table.apply_send_report(vm(3), &unreached(engine), 0.0, at(800)));
    }
    let sweep = table.sweep(at(900));
    assert_eq!((sweep.avoidances.len(), sweep.counts.avoided), (MAX_AVOIDANCE_CHANGES, engines));
    let basis = AvoidanceReport { cause: AvoidanceCause::Unreachable, reporters: [vm(1), vm(2)] };
    assert!(sweep.avoidances.iter().all(|change| change.basis == Some(basis)));
    assert_eq!(table.sweep(at(1_000)).avoidances.len(), 3);
    assert_eq!(table.sweep(at(1_100)).avoidances, []);
    table.apply_send_report(vm(4), &report(SendOutcome::Answered), 0.0, at(1_200));
    let ended = AvoidanceChange { endpoint: "i-0".to_owned(), basis: None };
    assert_eq!(table.sweep(at(1_300)).avoidances, [ended]);
}

#[test]
fn blocked_endpoints_are_counted_by_whose_sends_failed() {
    let mut table = table(4);
    for reporter in [vm(1), vm(2)] {
        table.apply_send_report(reporter, &report(SendOutcome::Unreached), 0.0, at(0));
    }
    table.record_outcome(key(1), SendOutcome::Unreached, at(0));
    let blocked = table.count_blocked(&request(&[]), at(100));
    assert_eq!((blocked.avoided, blocked.ejected, blocked.open()), (1, 1, 2));
    assert!(blocked.is_mostly_blocked());
    assert_eq!(blocked.to_string(), "4 listed, 1 ejected, 1 avoided");
    // After both ejections, one request at a time probes them.
    let load = LoadCount { running: 1, ..LoadCount::default() };
    table.reserve(key(0), load, &[], 0);
    let blocked = table.count_blocked(&request(&[]), at(4_000));
    assert_eq!((blocked.probed, blocked.open()), (1, 3));
    assert!(!blocked.is_mostly_blocked());
}
