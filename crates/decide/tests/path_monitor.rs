//! Loss and return of this VM's path to the endpoints.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanfold_decide::{
    EndpointEntry, EndpointKey, FleetTable, PathMonitor, PathState, PathTraffic, SendOutcome,
};
use spanfold_entity::Moment;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// Endpoints that are listed.
const LISTED: usize = 18;

fn at(millis: u64) -> Moment {
    Moment(0).after_millis(60_000 + millis)
}

fn key(number: usize) -> EndpointKey {
    EndpointKey::of(&format!("i-{number}"))
}

/// A monitor with what passes.
#[derive(Default)]
struct ObservedPath {
    monitor: PathMonitor,
    traffic: PathTraffic,
}

impl ObservedPath {
    fn observe(&mut self, millis: u64) {
        self.monitor.observe(self.traffic, at(millis));
    }

    fn read(&mut self, millis: u64) {
        self.traffic.reads += 1;
        self.observe(millis);
    }

    fn connect(&mut self, millis: u64) {
        self.traffic.attempts += 1;
        self.traffic.newest_opened = self.traffic.attempts;
        self.observe(millis);
    }

    fn fail(&mut self, endpoint: usize, is_connection: bool, millis: u64) {
        self.observe(millis);
        self.monitor.record_failure(key(endpoint), is_connection, at(millis));
    }

    /// Records a round in which connections to `endpoints` failed.
    fn fail_round(&mut self, endpoints: &[usize], listed: usize, millis: u64) {
        self.observe(millis);
        self.traffic.attempts += endpoints.len() as u64;
        let keys: Vec<_> = endpoints.iter().map(|endpoint| key(*endpoint)).collect();
        self.monitor.record_failed_round(&keys, listed, 0.5, (at(millis), at(millis)));
    }

    /// Runs the rounds that are due up to `until`, which all fail; returns their number.
    fn fail_due_rounds(&mut self, from: u64, until: u64) -> usize {
        let mut rounds = 0;
        for millis in (from..until).step_by(50) {
            self.observe(millis);
            if self.monitor.next_round_at().is_some_and(|due| at(millis) >= due) {
                rounds += 1;
                let first = rounds * 4 % LISTED;
                self.fail_round(&[first, first + 1], LISTED, millis);
            }
        }
        rounds
    }
}

/// Guards against a cut that is noticed too late to serve callers again within 3 s.
#[test]
fn refused_connections_to_all_endpoints_end_the_path_within_a_second() {
    let mut path = ObservedPath::default();
    path.read(0);
    path.fail(1, true, 10);
    assert_eq!(path.monitor.next_round_at(), Some(at(10)));
    path.fail_due_rounds(10, 900);
    assert_eq!(path.monitor.state(), PathState::Cut);
}

/// Guards against a cut whose connections hang: no send fails for almost a second.
#[test]
fn silence_with_unanswered_sends_causes_a_round() {
    let mut path = ObservedPath::default();
    path.read(0);
    path.traffic.sends += 3;
    path.observe(100);
    assert_eq!(path.monitor.next_round_at(), Some(at(400)));
    path.fail_due_rounds(100, 900);
    assert_eq!(path.monitor.state(), PathState::Cut);
}

/// Guards against probes while single endpoints are silent and others answer.
#[test]
fn silence_with_few_sends_or_with_answers_causes_no_round() {
    let mut path = ObservedPath::default();
    path.traffic.sends += 2;
    path.observe(100);
    assert_eq!(path.monitor.next_round_at(), None);
    for millis in (100..2_000).step_by(100) {
        path.traffic.sends += 5;
        path.read(millis);
        assert_eq!(path.monitor.next_round_at(), None, "{millis}");
    }
}

/// Guards against failures of some endpoints, of a service or of a data centre that count as a cut.
#[test]
fn the_path_is_not_lost_while_connections_to_some_endpoints_open() {
    let mut path = ObservedPath::default();
    for millis in (0..5_000).step_by(50) {
        for endpoint in 0..4 {
            path.fail(endpoint, true, millis);
        }
        path.connect(millis + 1);
        path.monitor.record_opened_round(at(millis + 1));
        assert_eq!(path.monitor.state(), PathState::Open);
    }
    // Failures while connections open cause at most four rounds a second.
    path.fail(1, true, 5_000);
    assert!(path.monitor.next_round_at() >= Some(at(5_200)));
}

/// Guards against a single failed round, or one endpoint alone, that counts as a cut.
#[test]
fn one_round_or_one_endpoint_does_not_end_the_path() {
    let mut path = ObservedPath::default();
    path.fail_round(&[0, 1, 2, 3], LISTED, 0);
    assert_eq!(path.monitor.state(), PathState::Open);
    let mut path = ObservedPath::default();
    for round in 0..10 {
        path.fail_round(&[0], LISTED, round * 100);
        assert_eq!(path.monitor.state(), PathState::Open);
    }
}

/// Guards against a small deployment whose VMs never notice a cut.
#[test]
fn all_of_a_few_endpoints_suffice() {
    let mut path = ObservedPath::default();
    path.fail_round(&[0], 1, 0);
    path.fail_round(&[0], 1, 100);
    assert_eq!(path.monitor.state(), PathState::Cut);
    // Without endpoints there is nothing to lose.
    let mut path = ObservedPath::default();
    path.fail_round(&[], 0, 0);
    path.fail_round(&[], 0, 100);
    assert_eq!(path.monitor.state(), PathState::Open);
}

/// Guards against streams that are withdrawn although their connections work.
#[test]
fn a_path_over_which_answers_still_arrive_is_pooled_only_until_they_cease() {
    let mut path = ObservedPath::default();
    path.fail(1, true, 0);
    path.fail_round(&[0, 1], LISTED, 10);
    path.read(60);
    path.fail_round(&[2, 3], LISTED, 110);
    assert_eq!(path.monitor.state(), PathState::PooledOnly);
    path.read(500);
    path.observe(900);
    assert_eq!(path.monitor.state(), PathState::PooledOnly);
    path.observe(1_000);
    assert_eq!(path.monitor.state(), PathState::Cut);
    path.read(1_100);
    assert_eq!(path.monitor.state(), PathState::PooledOnly);
}

/// Guards against a connection that opened right before the cut and is counted after its first failure.
#[test]
fn only_a_connection_attempted_after_the_first_failure_restores_the_path() {
    let mut path = ObservedPath::default();
    path.traffic.attempts += 1;
    let early = path.traffic.attempts;
    path.fail(1, true, 0);
    path.traffic.newest_opened = early;
    path.fail_round(&[0, 1], LISTED, 10);
    path.fail_round(&[2, 3], LISTED, 110);
    assert_eq!(path.monitor.state(), PathState::Cut);
    path.connect(200);
    assert_eq!(path.monitor.state(), PathState::Open);
    assert_eq!(path.monitor.next_round_at(), None);
}

/// Guards against a VM that takes its own suspension for a cut.
#[test]
fn failures_before_a_suspension_are_discarded() {
    let mut path = ObservedPath::default();
    path.fail_round(&[0, 1, 2, 3], LISTED, 0);
    path.monitor.record_suspension();
    assert_eq!(path.monitor.next_round_at(), None);
    path.fail_round(&[0, 1, 2, 3], LISTED, 100);
    assert_eq!(path.monitor.state(), PathState::Open);
}

/// Guards against VMs that probe often, or all at the same moment, while they are cut off.
#[test]
fn a_lost_path_is_probed_at_a_bounded_rate() {
    let mut path = ObservedPath::default();
    path.fail(1, true, 0);
    path.fail_due_rounds(0, 500);
    assert_eq!(path.monitor.state(), PathState::Cut);
    let rounds = path.fail_due_rounds(500, 10_500);
    assert!((20..=40).contains(&rounds), "{rounds}");
    assert_eq!(path.monitor.round_size(), 2);
}

/// Returns a table with `count` endpoints in each of `places`, which are data centres and services.
fn table(places: &[(&str, &str)], count: usize) -> FleetTable {
    let mut table = FleetTable::default();
    for (data_centre, service) in places {
        for number in 0..count {
            let entry = EndpointEntry {
                id: format!("{data_centre}-{service}-{number}"),
                born_millis: None,
                service: (*service).to_owned(),
                address: "127.0.0.1:9".parse().unwrap(),
                data_centre: (*data_centre).to_owned(),
                version: "v1".into(),
                slots: 8,
                draining: false,
                cold_millis: None,
                weights: BTreeMap::new().into(),
            };
            table.apply_entry(entry, Moment(0));
        }
    }
    table
}

/// Guards against the loss of one data centre or service that counts as a cut.
#[test]
fn probes_spread_over_data_centres_and_services() {
    let table = table(&[("dc-a", "llm"), ("dc-b", "llm"), ("dc-a", "desk"), ("dc-c", "desk")], 100);
    let random = RefCell::new(SmallRng::seed_from_u64(7));
    for _ in 0..100 {
        let drawn = table.draw_probe_targets(4, &[], || random.borrow_mut().random::<f64>(), at(0));
        assert_eq!(drawn.iter().collect::<BTreeSet<_>>().len(), 4);
        let places: BTreeSet<_> = drawn
            .iter()
            .filter_map(|key| table.row(*key))
            .map(|row| (row.entry.data_centre.clone(), row.entry.service.clone()))
            .collect();
        assert!(places.len() >= 3, "{places:?}");
    }
}

/// Guards against an endpoint that is its own witness.
#[test]
fn excluded_endpoints_are_not_drawn() {
    let table = table(&[("dc-a", "desk")], 2);
    let excluded = EndpointKey::of("dc-a-desk-0");
    let random = RefCell::new(SmallRng::seed_from_u64(7));
    let drawn = table.draw_probe_targets(3, &[excluded], || random.borrow_mut().random::<f64>(), at(0));
    assert_eq!(drawn, [EndpointKey::of("dc-a-desk-1")]);
}

/// Guards against endpoints that a VM avoids after a cut because it could not reach them meanwhile.
#[test]
fn only_failures_since_the_cut_are_discarded() {
    let mut table = table(&[("dc-a", "desk")], 2);
    let [before, since] = ["dc-a-desk-0", "dc-a-desk-1"].map(EndpointKey::of);
    table.record_outcome(before, SendOutcome::Unreached, at(0));
    table.record_outcome(since, SendOutcome::Unreached, at(100));
    table.discard_failures(at(100));
    assert!(table.row(before).unwrap().is_ejected(at(200)));
    assert!(!table.row(since).unwrap().is_ejected(at(200)));
    assert!(table.row(since).unwrap().failure_ratio().abs() < f64::EPSILON);
}
