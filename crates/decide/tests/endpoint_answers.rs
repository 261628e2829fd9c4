//! Departures and backoffs in random histories, without a network: the sends of one VM as engines would
//! receive them.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanfold_decide::{
    BackoffChange, ColdTerms, DeploymentConfig, EndpointBackoff, EndpointEntry, EndpointKey, FleetTable,
    HomeRegions, PlacementRequest, SendOutcome, SendReport, ShareView, VersionSplit, VmKey, place,
};
use spanfold_entity::Moment;
use std::collections::{BTreeMap, BTreeSet, HashSet};

const IDS: [&str; 3] = ["i-1", "i-2", "i-3"];

fn at(millis: u64) -> Moment {
    Moment(0).after_millis(1_000_000 + millis)
}

fn entry(id: &str, born: u64, slots: u32) -> EndpointEntry {
    EndpointEntry {
        id: id.to_owned(),
        born_millis: Some(born),
        service: "desk".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "dc-a".to_owned(),
        version: "v1".into(),
        slots,
        draining: false,
        cold_millis: Some(0),
        weights: BTreeMap::new().into(),
    }
}

fn shares() -> ShareView<'static> {
    ShareView { right: None, cold: ColdTerms::default(), vms: 9 }
}

fn request(exclude: &[EndpointKey]) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "desk",
        data_centre: "dc-a",
        unreachable_data_centres: &[],
        segments: &[],
        prompt_tokens: 0,
        output_tokens: 0,
        objective_millis: 300,
        bytes: 100,
        model: None,
        required_weights: None,
        memory_fraction: 1.0,
        homes: HomeRegions::default(),
        isolation_scope: "shared",
        exclude,
        versions: &VersionSplit::Any,
        shares: shares(),
        draw: || 0.5,
    }
}

/// One step of a history; endpoints by index, times in milliseconds.
#[derive(Clone, Debug)]
enum Step {
    /// Its entry is written, or a late one arrives: index, start time, slots.
    Entry(usize, u64, u32),
    /// Its entry is removed: index, grace period.
    Removed(usize, u64),
    /// The store's listing contains only these.
    Listing(Vec<usize>),
    /// An answer of the current incarnation, to this VM or to another one, announces its departure.
    Departure(usize),
    /// It refuses a request and asks for a backoff of this length.
    Backoff(usize, u64),
    /// It answers a request of this age, without a departure or backoff.
    Success(usize, u64),
    /// Another VM was asked for a backoff: index, VM, length.
    Reported(usize, u64, u64),
    Sweep,
    /// This many requests arrive.
    Requests(u8),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let index = 0..IDS.len();
    let step = prop_oneof![
        3 => (index.clone(), 0..4_u64, 1..9_u32).prop_map(|(index, born, slots)| Step::Entry(index, born, slots)),
        1 => (index.clone(), 0..3_000_u64).prop_map(|(index, millis)| Step::Removed(index, millis)),
        1 => proptest::collection::vec(index.clone(), 0..3).prop_map(Step::Listing),
        1 => index.clone().prop_map(Step::Departure),
        2 => (index.clone(), 0..5_000_u64).prop_map(|(index, millis)| Step::Backoff(index, millis)),
        2 => (index.clone(), 0..4_000_u64).prop_map(|(index, age)| Step::Success(index, age)),
        1 => (index, 0..3_u64, 0..5_000_u64).prop_map(|(index, vm, millis)| Step::Reported(index, vm, millis)),
        1 => Just(Step::Sweep),
        6 => (1..5_u8).prop_map(Step::Requests),
        6 => (1..900_u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..120)
}

/// State of the endpoints themselves.
#[derive(Default)]
struct ActualState {
    born: [u64; 3],
    departed: BTreeSet<EndpointKey>,
    backoffs: BTreeMap<EndpointKey, Vec<(Moment, Moment)>>,
}

impl ActualState {
    fn key(&self, index: usize) -> EndpointKey {
        EndpointKey::of_incarnation(IDS[index], Some(self.born[index]))
    }
}

fn simulate(history: &[Step]) {
    let (mut table, mut actual, mut now) = (FleetTable::default(), ActualState::default(), 0);
    for step in history {
        match *step {
            Step::Entry(index, born, slots) => {
                actual.born[index] = actual.born[index].max(born);
                table.apply_entry(entry(IDS[index], born, slots), at(now));
            }
            Step::Removed(index, millis) => table.mark_entry_missing(IDS[index], at(now + millis)),
            Step::Listing(ref indices) => {
                let listed: HashSet<_> = indices.iter().map(|index| actual.key(*index)).collect();
                table.mark_missing_except(&listed, at(now));
            }
            Step::Departure(index) => {
                actual.departed.insert(actual.key(index));
                table.record_departure(actual.key(index), at(now));
            }
            Step::Backoff(index, millis) => {
                let key = actual.key(index);
                if table.row(key).is_some() {
                    actual.backoffs.entry(key).or_default().push((at(now), at(now + millis)));
                }
                table.record_backoff(key, millis, at(now));
                table.record_outcome(key, SendOutcome::Refused, at(now));
            }
            Step::Success(index, age) => {
                table.record_outcome(actual.key(index), SendOutcome::Answered, at(now));
                table.record_served(
                    actual.key(index),
                    at(now).min(Moment(at(now).0.saturating_sub(age * 1_000))),
                );
            }
            Step::Reported(index, vm, millis) => {
                let report = SendReport {
                    key: actual.key(index),
                    outcome: SendOutcome::Refused,
                    pace: None,
                    rest_millis: Some(millis),
                };
                table.apply_send_report(VmKey(vm), &report, 0.5, at(now));
            }
            Step::Sweep => {
                for key in table.sweep(at(now)).removed {
                    // An endpoint that returns after its row was removed has no backoff at this VM.
                    actual.backoffs.remove(&key);
                }
            }
            Step::Requests(count) => {
                for _ in 0..count {
                    send(&mut table, &actual, at(now));
                }
            }
            Step::Wait(millis) => now += millis,
        }
    }
}

/// Places and sends one request; checks that its endpoint has not departed and is not backing off.
fn send(table: &mut FleetTable, actual: &ActualState, now: Moment) {
    let Some(choice) = place(table, &request(&[]), now) else { return };
    if !table.consume_share(choice.key, &shares(), now) {
        return;
    }
    assert!(!actual.departed.contains(&choice.key), "sent to an endpoint that departed");
    let backoffs = actual.backoffs.get(&choice.key).into_iter().flatten();
    let mut violated = backoffs.filter(|(from, until)| (*from..*until).contains(&now));
    assert_eq!(violated.next(), None, "sent during a backoff at {now:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(41), ..ProptestConfig::default() })]

    #[test]
    fn nothing_is_sent_to_an_endpoint_that_departed_or_is_backing_off(history in steps()) {
        simulate(&history);
    }
}

#[test]
fn a_departure_reported_before_the_entry_is_listed_is_final() {
    let mut table = FleetTable::default();
    let key = EndpointKey::of_incarnation("i-1", Some(1));
    assert!(table.record_departure(key, at(0)));
    assert!(!table.record_departure(key, at(1)));
    assert!(!table.apply_entry(entry("i-1", 1, 8), at(2)));
    assert!(table.row(key).is_none());
    // It does not apply to the next incarnation.
    assert!(table.apply_entry(entry("i-1", 2, 8), at(3)));
    assert!(place(&table, &request(&[]), at(4)).is_some());
}

/// Departures are retained over several replacements of all endpoints of a deployment.
#[test]
fn departures_of_many_replaced_endpoints_are_retained() {
    let mut table = FleetTable::default();
    for number in 0..12_000 {
        let id = format!("i-{number}");
        table.apply_entry(entry(&id, 1, 8), at(number));
        table.record_departure(EndpointKey::of_incarnation(&id, Some(1)), at(number));
        table.mark_entry_missing(&id, Moment(0));
        if number % 100 == 99 {
            table.sweep(at(number));
        }
    }
    assert!(!table.apply_entry(entry("i-1", 1, 8), at(20_000)));
    assert!(!table.apply_entry(entry("i-11999", 1, 8), at(20_000)));
}

#[test]
fn a_healthy_endpoint_gets_work_when_its_backoff_ends() {
    let mut table = FleetTable::default();
    table.set_services(&DeploymentConfig::default());
    table.apply_entry(entry("i-1", 1, 8), at(0));
    let key = EndpointKey::of_incarnation("i-1", Some(1));
    assert_eq!(table.record_backoff(key, 3_000, at(0)), BackoffChange::Begun(3_000));
    // Neither a shorter backoff nor a success that arrives out of order shortens it; a longer one extends it.
    assert_eq!(table.record_backoff(key, 500, at(100)), BackoffChange::None);
    table.record_outcome(key, SendOutcome::Answered, at(200));
    assert!(!table.record_served(key, at(50)));
    assert_eq!(table.record_backoff(key, 3_000, at(300)), BackoffChange::Extended(3_000));
    assert!(place(&table, &request(&[]), at(3_299)).is_none());
    assert_eq!(
        table.backoff_capacity("desk", 9, |_| true, at(3_299)).unwrap().backoff_until,
        Some(at(3_300))
    );
    assert!(place(&table, &request(&[]), at(3_300)).is_some());
    // Requests are sent one at a time until one is served.
    assert!(table.consume_share(key, &shares(), at(3_300)));
    assert!(!table.consume_share(key, &shares(), at(3_400)));
    assert!(table.consume_share(key, &shares(), at(3_500)));
    assert!(table.record_served(key, at(3_300)));
    assert!((0..50).all(|_| table.consume_share(key, &shares(), at(3_510))));
}

/// A backoff of years in one faulty answer excludes an endpoint at a VM for an hour only.
#[test]
fn a_backoff_lasts_an_hour_at_most() {
    let mut backoff = EndpointBackoff::default();
    assert_eq!(backoff.extend(1_000_000_000_000, at(0)), BackoffChange::Begun(3_600_000));
    assert_eq!((backoff.is_backing_off(at(3_599_999)), backoff.is_backing_off(at(3_600_000))), (true, false));
    backoff.record_send(at(3_600_000));
    assert!(backoff.next_at(at(3_600_001)) > at(3_600_001));
    // Its next answer may ask again.
    assert_eq!(backoff.extend(1_000_000_000_000, at(3_600_010)), BackoffChange::Begun(3_600_000));
}

/// Reports of two VMs that were asked for a backoff make others avoid an endpoint while they have an
/// alternative.
#[test]
fn vms_avoid_an_endpoint_that_asked_two_others_for_a_backoff() {
    let mut table = FleetTable::default();
    for id in ["i-1", "i-2"] {
        table.apply_entry(entry(id, 1, 8), at(0));
    }
    let (key, alternative) =
        (EndpointKey::of_incarnation("i-1", Some(1)), EndpointKey::of_incarnation("i-2", Some(1)));
    let report =
        |millis| SendReport { key, outcome: SendOutcome::Refused, pace: None, rest_millis: Some(millis) };
    let is_avoided = |table: &FleetTable, millis| table.row(key).unwrap().is_ejected(at(millis));
    table.apply_send_report(VmKey(1), &report(3_000), 0.0, at(0));
    table.apply_send_report(VmKey(1), &report(3_000), 0.0, at(10));
    assert!(!is_avoided(&table, 20), "a backoff applies only to the VM that was asked");
    table.apply_send_report(VmKey(2), &report(1_000), 0.0, at(20));
    assert!(is_avoided(&table, 1_000) && !is_avoided(&table, 1_020), "until the first of both backoffs ends");
    assert_eq!(place(&table, &request(&[]), at(500)).unwrap().key, alternative);
    assert_eq!(
        place(&table, &request(&[alternative]), at(500)).unwrap().key,
        key,
        "only while there is an alternative"
    );
    let served = SendReport { outcome: SendOutcome::Answered, rest_millis: None, ..report(0) };
    table.apply_send_report(VmKey(3), &served, 0.0, at(600));
    assert!(!is_avoided(&table, 600), "an answer to any VM ends it");
}

/// VMs of a deployment whose store is unreachable, and messages between them that may be lost or delayed.
struct StorelessFleet {
    vms: Vec<FleetTable>,
    /// Receiver, endpoint, and when the message arrives.
    messages: Vec<(usize, EndpointKey, u64)>,
    /// Endpoints that announce their departure in answers.
    departed: BTreeSet<EndpointKey>,
    /// VMs that relayed such an answer, with its endpoint.
    relayed: BTreeSet<(usize, EndpointKey)>,
    random: SmallRng,
}

impl StorelessFleet {
    fn new(vms: usize, endpoints: usize) -> Self {
        let mut tables: Vec<_> = (0..vms).map(|_| FleetTable::default()).collect();
        for table in &mut tables {
            for number in 0..endpoints {
                table.apply_entry(entry(&format!("i-{number}"), 1, 8), at(0));
            }
        }
        Self {
            vms: tables,
            messages: Vec::new(),
            departed: BTreeSet::new(),
            relayed: BTreeSet::new(),
            random: SmallRng::seed_from_u64(41),
        }
    }

    /// Sends a message from `vm` to all others: a third is lost, the others take `delay_millis`.
    fn propagate(&mut self, vm: usize, key: EndpointKey, now: u64, delay_millis: u64) {
        for receiver in (0..self.vms.len()).filter(|receiver| *receiver != vm) {
            if self.random.random_range(0..3) > 0 {
                self.messages.push((receiver, key, now + delay_millis));
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, later) = self.messages.drain(..).partition(|(_, _, arrives_at)| *arrives_at <= now);
        self.messages = later;
        for (vm, key, _) in due {
            self.vms[vm].record_departure(key, at(now));
        }
    }

    /// Sends a request of `vm`; a departing endpoint that serves it announces that in its answer.
    fn send(&mut self, vm: usize, now: u64, delay_millis: u64) -> Option<EndpointKey> {
        let key = place(&self.vms[vm], &request(&[]), at(now))?.key;
        assert!(!self.relayed.contains(&(vm, key)), "sent by a VM that had relayed the departure");
        if self.departed.contains(&key) {
            self.relayed.insert((vm, key));
            if self.vms[vm].record_departure(key, at(now)) {
                self.propagate(vm, key, now, delay_millis);
            }
        }
        Some(key)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(42), ..ProptestConfig::default() })]

    /// The store is unreachable for 20 s, in which endpoints depart one after the other and announce it only
    /// in answers to the first VM. The others have no requests before 15 s.
    #[test]
    fn departures_that_are_announced_only_in_answers_reach_all_vms(
        vms in 2..9_usize,
        departures in 1..5_usize,
        delay_millis in 0..1_500_u64,
        interval_millis in 1..40_u64,
    ) {
        let mut fleet = StorelessFleet::new(vms, departures + 1);
        for step in 0..20_000 / interval_millis {
            let now = step * interval_millis;
            if step % 20 == 0 && fleet.departed.len() < departures {
                let id = format!("i-{}", fleet.departed.len());
                fleet.departed.insert(EndpointKey::of_incarnation(&id, Some(1)));
            }
            fleet.deliver(now);
            // Each VM repeats one departure every half second.
            if now % 500 < interval_millis {
                for vm in 0..vms {
                    for key in fleet.vms[vm].rotating_departures((now / 500) as usize, 1) {
                        fleet.propagate(vm, key, now, delay_millis);
                    }
                }
            }
            let vm = if now < 15_000 { 0 } else { step as usize % vms };
            let chosen = fleet.send(vm, now, delay_millis);
            prop_assert!(chosen.is_some(), "one endpoint does not depart");
            let has_departed = chosen.is_some_and(|key| fleet.departed.contains(&key));
            prop_assert!(now < 15_000 || !has_departed, "sent by a VM without the departure at {now} ms");
        }
        prop_assert!(!fleet.relayed.is_empty());
    }
}
