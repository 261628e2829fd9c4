//! Departures and rests over random histories, without a network: what engines would see of one VM.

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

fn ask(exclude: &[EndpointKey]) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "desk",
        data_centre: "dc-a",
        silent: &[],
        parts: &[],
        prompt_tokens: 0,
        output_tokens: 0,
        objective_millis: 300,
        bytes: 100,
        model: None,
        wanted: None,
        memory_fraction: 1.0,
        homes: HomeRegions::default(),
        wall: "shared",
        exclude,
        versions: &VersionSplit::Any,
        shares: shares(),
        draw: || 0.5,
    }
}

/// One step of a history; endpoints by their place, times in milliseconds.
#[derive(Clone, Debug)]
enum Step {
    /// Its entry is written, or comes late: with the start of then.
    Entry(usize, u64, u32),
    /// Its entry goes, held for so long.
    Gone(usize, u64),
    /// The store's listing holds these only.
    Listing(Vec<usize>),
    /// An answer of the present start says that it leaves, to this VM or to another one.
    Departure(usize),
    /// It turns a request away that was sent at this time, and asks for rest.
    Rest(usize, u64),
    /// It answers, without saying anything, a request sent so long ago.
    Success(usize, u64),
    /// Another VM was asked for rest.
    Reported(usize, u64, u64),
    Sweep,
    /// Requests arrive.
    Requests(u8),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let place = 0..IDS.len();
    let step = prop_oneof![
        3 => (place.clone(), 0..4_u64, 1..9_u32).prop_map(|(place, born, slots)| Step::Entry(place, born, slots)),
        1 => (place.clone(), 0..3_000_u64).prop_map(|(place, hold)| Step::Gone(place, hold)),
        1 => proptest::collection::vec(place.clone(), 0..3).prop_map(Step::Listing),
        1 => place.clone().prop_map(Step::Departure),
        2 => (place.clone(), 0..5_000_u64).prop_map(|(place, millis)| Step::Rest(place, millis)),
        2 => (place.clone(), 0..4_000_u64).prop_map(|(place, age)| Step::Success(place, age)),
        1 => (place, 0..3_u64, 0..5_000_u64).prop_map(|(place, vm, millis)| Step::Reported(place, vm, millis)),
        1 => Just(Step::Sweep),
        6 => (1..5_u8).prop_map(Step::Requests),
        6 => (1..900_u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..120)
}

/// What is known of the endpoints themselves.
#[derive(Default)]
struct Truth {
    born: [u64; 3],
    departed: BTreeSet<EndpointKey>,
    rests: BTreeMap<EndpointKey, Vec<(Moment, Moment)>>,
}

impl Truth {
    fn key(&self, place: usize) -> EndpointKey {
        EndpointKey::of_start(IDS[place], Some(self.born[place]))
    }
}

fn play(history: &[Step]) {
    let (mut table, mut truth, mut now) = (FleetTable::default(), Truth::default(), 0);
    for step in history {
        match *step {
            Step::Entry(place, born, slots) => {
                truth.born[place] = truth.born[place].max(born);
                table.apply_entry(entry(IDS[place], born, slots), at(now));
            }
            Step::Gone(place, hold) => table.mark_entry_missing(IDS[place], at(now + hold)),
            Step::Listing(ref places) => {
                let listed: HashSet<_> = places.iter().map(|place| truth.key(*place)).collect();
                table.mark_missing_except(&listed, at(now));
            }
            Step::Departure(place) => {
                truth.departed.insert(truth.key(place));
                table.record_departure(truth.key(place), at(now));
            }
            Step::Rest(place, millis) => {
                let key = truth.key(place);
                if table.row(key).is_some() {
                    truth.rests.entry(key).or_default().push((at(now), at(now + millis)));
                }
                table.record_backoff(key, millis, at(now));
                table.learn(key, SendOutcome::Refused, at(now));
            }
            Step::Success(place, age) => {
                table.learn(truth.key(place), SendOutcome::Answered, at(now));
                table.record_served(
                    truth.key(place),
                    at(now).min(Moment(at(now).0.saturating_sub(age * 1_000))),
                );
            }
            Step::Reported(place, vm, millis) => {
                let report = SendReport {
                    key: truth.key(place),
                    outcome: SendOutcome::Refused,
                    pace: None,
                    rest_millis: Some(millis),
                };
                table.apply_send_report(VmKey(vm), &report, 0.5, at(now));
            }
            Step::Sweep => {
                for key in table.sweep(at(now)).gone {
                    // Whoever returns after its row is gone has its rest behind it as far as this VM knows.
                    truth.rests.remove(&key);
                }
            }
            Step::Requests(count) => {
                for _ in 0..count {
                    send(&mut table, &truth, at(now));
                }
            }
            Step::Wait(millis) => now += millis,
        }
    }
}

/// Sends one request where it is placed; nothing goes to an endpoint that left or rests.
fn send(table: &mut FleetTable, truth: &Truth, now: Moment) {
    let Some(choice) = place(table, &ask(&[]), now) else { return };
    if !table.consume_share(choice.key, &shares(), now) {
        return;
    }
    assert!(!truth.departed.contains(&choice.key), "sent to one that left");
    let rests = truth.rests.get(&choice.key).into_iter().flatten();
    let mut broken = rests.filter(|(from, until)| (*from..*until).contains(&now));
    assert_eq!(broken.next(), None, "sent within a rest at {now:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(41), ..ProptestConfig::default() })]

    #[test]
    fn nothing_goes_to_an_endpoint_that_left_or_rests(history in steps()) {
        play(&history);
    }
}

#[test]
fn a_departure_that_was_reported_before_the_entry_was_read_holds() {
    let mut table = FleetTable::default();
    let key = EndpointKey::of_start("i-1", Some(1));
    assert!(table.record_departure(key, at(0)));
    assert!(!table.record_departure(key, at(1)));
    assert!(!table.apply_entry(entry("i-1", 1, 8), at(2)));
    assert!(table.row(key).is_none());
    // The next start is free of it.
    assert!(table.apply_entry(entry("i-1", 2, 8), at(3)));
    assert!(place(&table, &ask(&[]), at(4)).is_some());
}

/// Departures of a whole deployment, several times over, are remembered.
#[test]
fn departures_of_many_replaced_endpoints_are_remembered() {
    let mut table = FleetTable::default();
    for number in 0..12_000 {
        let id = format!("i-{number}");
        table.apply_entry(entry(&id, 1, 8), at(number));
        table.record_departure(EndpointKey::of_start(&id, Some(1)), at(number));
        table.mark_entry_missing(&id, Moment(0));
        if number % 100 == 99 {
            table.sweep(at(number));
        }
    }
    assert!(!table.apply_entry(entry("i-1", 1, 8), at(20_000)));
    assert!(!table.apply_entry(entry("i-11999", 1, 8), at(20_000)));
}

#[test]
fn an_endpoint_that_is_well_gets_work_when_its_rest_ends() {
    let mut table = FleetTable::default();
    table.set_services(&DeploymentConfig::default());
    table.apply_entry(entry("i-1", 1, 8), at(0));
    let key = EndpointKey::of_start("i-1", Some(1));
    assert_eq!(table.record_backoff(key, 3_000, at(0)), BackoffChange::Begun(3_000));
    // Shorter ones, and successes that cross it, shorten nothing; a longer one extends it.
    assert_eq!(table.record_backoff(key, 500, at(100)), BackoffChange::None);
    table.learn(key, SendOutcome::Answered, at(200));
    assert!(!table.record_served(key, at(50)));
    assert_eq!(table.record_backoff(key, 3_000, at(300)), BackoffChange::Extended(3_000));
    assert!(place(&table, &ask(&[]), at(3_299)).is_none());
    assert_eq!(
        table.backoff_capacity("desk", 9, |_| true, at(3_299)).unwrap().backoff_until,
        Some(at(3_300))
    );
    assert!(place(&table, &ask(&[]), at(3_300)).is_some());
    // One request at a time until one is served.
    assert!(table.consume_share(key, &shares(), at(3_300)));
    assert!(!table.consume_share(key, &shares(), at(3_400)));
    assert!(table.consume_share(key, &shares(), at(3_500)));
    assert!(table.record_served(key, at(3_300)));
    assert!((0..50).all(|_| table.consume_share(key, &shares(), at(3_510))));
}

/// A rest of years, said by one faulty answer, takes an endpoint from a VM for an hour.
#[test]
fn a_rest_is_kept_for_an_hour_at_most() {
    let mut rest = EndpointBackoff::default();
    assert_eq!(rest.ask(1_000_000_000_000, at(0)), BackoffChange::Begun(3_600_000));
    assert_eq!((rest.is_backing_off(at(3_599_999)), rest.is_backing_off(at(3_600_000))), (true, false));
    rest.record_send(at(3_600_000));
    assert!(rest.next_at(at(3_600_001)) > at(3_600_001));
    // It asks again, if it meant it.
    assert_eq!(rest.ask(1_000_000_000_000, at(3_600_010)), BackoffChange::Begun(3_600_000));
}

/// Two VMs that were asked make the others avoid an endpoint, while they have another one.
#[test]
fn vms_avoid_an_endpoint_that_asked_two_others_for_rest() {
    let mut table = FleetTable::default();
    for id in ["i-1", "i-2"] {
        table.apply_entry(entry(id, 1, 8), at(0));
    }
    let (key, other) = (EndpointKey::of_start("i-1", Some(1)), EndpointKey::of_start("i-2", Some(1)));
    let report =
        |millis| SendReport { key, outcome: SendOutcome::Refused, pace: None, rest_millis: Some(millis) };
    let avoided = |table: &FleetTable, millis| table.row(key).unwrap().is_ejected(at(millis));
    table.apply_send_report(VmKey(1), &report(3_000), 0.0, at(0));
    table.apply_send_report(VmKey(1), &report(3_000), 0.0, at(10));
    assert!(!avoided(&table, 20), "one VM's rest is its own");
    table.apply_send_report(VmKey(2), &report(1_000), 0.0, at(20));
    assert!(avoided(&table, 1_000) && !avoided(&table, 1_020), "until the first of both rests ends");
    assert_eq!(place(&table, &ask(&[]), at(500)).unwrap().key, other);
    assert_eq!(place(&table, &ask(&[other]), at(500)).unwrap().key, key, "while there is another one");
    let served = SendReport { outcome: SendOutcome::Answered, rest_millis: None, ..report(0) };
    table.apply_send_report(VmKey(3), &served, 0.0, at(600));
    assert!(!avoided(&table, 600), "an answer to anybody ends it");
}

/// VMs of one deployment whose store is silent, and messages between them that may be lost or come late.
struct SilentStore {
    vms: Vec<FleetTable>,
    /// Receiver, endpoint, and when the message arrives.
    messages: Vec<(usize, EndpointKey, u64)>,
    /// Endpoints that have said that they leave, and the VMs that passed such an answer on.
    departed: BTreeSet<EndpointKey>,
    told: BTreeSet<(usize, EndpointKey)>,
    random: SmallRng,
}

impl SilentStore {
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
            told: BTreeSet::new(),
            random: SmallRng::seed_from_u64(41),
        }
    }

    /// Sends a message from `vm` to all others; a third is lost, the others take `delay` milliseconds.
    fn spread(&mut self, vm: usize, key: EndpointKey, now: u64, delay: u64) {
        for other in (0..self.vms.len()).filter(|other| *other != vm) {
            if self.random.random_range(0..3) > 0 {
                self.messages.push((other, key, now + delay));
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, later) = self.messages.drain(..).partition(|(_, _, arrives)| *arrives <= now);
        self.messages = later;
        for (vm, key, _) in due {
            self.vms[vm].record_departure(key, at(now));
        }
    }

    /// A request at `vm`: a leaving endpoint that serves it says so in its answer.
    fn request(&mut self, vm: usize, now: u64, delay: u64) -> Option<EndpointKey> {
        let key = place(&self.vms[vm], &ask(&[]), at(now))?.key;
        assert!(!self.told.contains(&(vm, key)), "sent by a VM that had passed the answer on");
        if self.departed.contains(&key) {
            self.told.insert((vm, key));
            if self.vms[vm].record_departure(key, at(now)) {
                self.spread(vm, key, now, delay);
            }
        }
        Some(key)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(42), ..ProptestConfig::default() })]

    /// The store is silent for 20 s, in which endpoints leave one after the other and say so in answers only, all of them to
    /// the first VM. The others have no requests before 15 s.
    #[test]
    fn departures_that_only_answers_tell_reach_all_vms(
        vms in 2..9_usize,
        leaving in 1..5_usize,
        delay in 0..1_500_u64,
        pause in 1..40_u64,
    ) {
        let mut fleet = SilentStore::new(vms, leaving + 1);
        for step in 0..20_000 / pause {
            let now = step * pause;
            if step % 20 == 0 && fleet.departed.len() < leaving {
                let id = format!("i-{}", fleet.departed.len());
                fleet.departed.insert(EndpointKey::of_start(&id, Some(1)));
            }
            fleet.deliver(now);
            // Each VM repeats one departure each half second.
            if now % 500 < pause {
                for vm in 0..vms {
                    for key in fleet.vms[vm].rotating_departures((now / 500) as usize, 1) {
                        fleet.spread(vm, key, now, delay);
                    }
                }
            }
            let vm = if now < 15_000 { 0 } else { step as usize % vms };
            let chosen = fleet.request(vm, now, delay);
            prop_assert!(chosen.is_some(), "one endpoint stays");
            let leaves = chosen.is_some_and(|key| fleet.departed.contains(&key));
            prop_assert!(now < 15_000 || !leaves, "a VM that was not told itself, {now} ms");
        }
        prop_assert!(!fleet.told.is_empty());
    }
}
