//! Roll-outs over random histories of many VMs, without a network.
//!
//! Pattern: a service moves to a version that may fail or be slow, at once or later, on one route only, or not at all, while
//! VMs lose messages, learn of phases late, end and start again. Checked from what endpoints see: a bad version gets no more
//! than its share of all requests, none after it has given fifty bad answers and some time has passed; a good one is put in
//! use within its time.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanfold_decide::{
    ExposureTerms, RateTerms, RolloutAnswer, RolloutOrder, RolloutPhase, RolloutReason, RolloutRecord,
    RolloutTable, RouteCounts, ShareRight, StorePosition, SumKey, TestDraw, VersionSplit, VmKey,
};
use spanfold_entity::Moment;
use std::collections::{BTreeSet, VecDeque};

const TERMS: ExposureTerms = ExposureTerms { share: 0.1, slack: 50.0 };
/// Time of a roll-out, in milliseconds.
const DURATION: u64 = 12_000;
/// One step of a history, in milliseconds.
const STEP: u64 = 50;
/// What one VM tells reaches the others after so long, in milliseconds.
const TELL_MILLIS: u64 = 100;
/// Bad answers after which nothing may reach the version once the next constant has passed.
const BAD_MOST: u32 = 50;
/// In milliseconds.
const ROLLBACK_MILLIS: u64 = 5_000;

/// What is wrong with the version.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A part of the answers on these routes fails from a moment on, in milliseconds.
    Fails {
        part: f64,
        routes: u64,
        from: u64,
    },
    /// A part of the answers takes so many times as long.
    Slow {
        part: f64,
        factor: f64,
        from: u64,
    },
    /// A part of the answers fails as soon as the version gets this share of the requests.
    UnderLoad {
        part: f64,
        share: f64,
    },
}

/// Counts that a VM is told, when they arrive, and which VM.
type ToldCounts = (u64, usize, Vec<(SumKey, RouteCounts)>);

struct Fleet {
    rng: SmallRng,
    vms: Vec<RolloutTable>,
    rights: Vec<ShareRight>,
    /// Phases on their way: VM, when they arrive.
    records: VecDeque<(u64, usize, RolloutRecord)>,
    /// Counts on their way.
    told: VecDeque<ToldCounts>,
    decider: usize,
    per_second: u64,
    old_failures: f64,
    chaos: bool,
}

/// What a history showed.
#[derive(Debug, Default)]
struct Seen {
    all: u64,
    target: u64,
    bad: u32,
    bad_most_at: Option<u64>,
    late: u64,
    phase: RolloutPhase,
    concluded_at: u64,
    reason: Option<RolloutReason>,
}

fn position(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

fn at(millis: u64) -> Moment {
    Moment((86_400_000 + millis) * 1_000)
}

fn order() -> RolloutOrder {
    RolloutOrder { service: "desk".into(), target: "v2".into(), duration_millis: Some(DURATION) }
}

fn new_book(now: u64) -> RolloutTable {
    let mut book = RolloutTable::default();
    book.order(order(), position(5), at(now));
    book.run_mut("desk").unwrap().has_others = true;
    book
}

impl Fleet {
    fn new(vms: usize, per_second: u64, seed: u64) -> Self {
        let keys: Vec<_> = (0..vms).map(|vm| VmKey::of(&format!("vm-{vm}"))).collect();
        let right = |own: usize| ShareRight {
            own: keys[own],
            data_centre: "dc-a".to_owned(),
            is_fresh: true,
            near: Vec::new(),
            all: keys.iter().copied().filter(|key| *key != keys[own]).collect(),
            remote_data_centres: BTreeSet::new(),
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            vms: (0..vms).map(|_| new_book(0)).collect(),
            rights: (0..vms).map(right).collect(),
            records: VecDeque::new(),
            told: VecDeque::new(),
            decider: 0,
            per_second,
            old_failures: 0.01,
            chaos: false,
        }
    }

    fn request(&mut self, vm: usize, fault: Fault, now: u64, seen: &mut Seen) {
        let route = self.rng.random_range(1..=3_u64);
        let mut draw = TestDraw { number: self.rng.random(), has_slack: false };
        let right = &self.rights[vm];
        let part = |key, terms: &RateTerms| right.share_of_total(key, terms);
        let splits = self.vms[vm].splits("desk", &TERMS, &mut draw, |_, _| Some(u64::MAX), part);
        let is_target = matches!(splits[0], VersionSplit::Only(_) | VersionSplit::Tested(..))
            || (splits[0] == VersionSplit::Any && seen.phase == RolloutPhase::Succeeded);
        seen.all += 1;
        let share = seen.phase.share(&TERMS);
        let (bad_part, factor) = match fault {
            _ if !is_target => (self.old_failures, 1.0),
            Fault::Fails { part, routes, from } if now >= from && route <= routes => (part, 1.0),
            Fault::Slow { part, factor, from } if now >= from && self.rng.random::<f64>() < part => {
                (self.old_failures, factor)
            }
            Fault::UnderLoad { part, share: least } if share >= least => (part, 1.0),
            _ => (self.old_failures, 1.0),
        };
        let has_failed = self.rng.random::<f64>() < bad_part;
        let spread = 0.6 + 0.8 * self.rng.random::<f64>();
        if is_target {
            seen.target += 1;
            if seen.bad_most_at.is_some_and(|at| now > at + ROLLBACK_MILLIS) {
                seen.late += 1;
            }
            if has_failed || factor > 1.0 {
                seen.bad += 1;
                if seen.bad == BAD_MOST {
                    seen.bad_most_at = Some(now);
                }
            }
        }
        let answer = RolloutAnswer { is_target, has_failed, time_factor: Some(spread * factor) };
        self.vms[vm].observe("desk", route, &answer);
    }

    fn step(&mut self, fault: Fault, now: u64, seen: &mut Seen) {
        let count = self.vms.len();
        for _ in 0..self.per_second * STEP / 1_000 {
            let vm = self.rng.random_range(0..count);
            self.request(vm, fault, now, seen);
        }
        for vm in 0..count {
            let told = self.vms[vm].sums.near.take();
            if told.is_empty() {
                continue;
            }
            for other in (0..count).filter(|other| *other != vm) {
                // One message in 33 is lost.
                if self.rng.random_range(0..33) > 0 {
                    self.told.push_back((now + TELL_MILLIS, other, told.clone()));
                }
            }
        }
        while self.told.front().is_some_and(|(at, _, _)| *at <= now) {
            let (_, vm, told) = self.told.pop_front().unwrap();
            self.vms[vm].add(&told);
        }
        let due: Vec<_> = self.records.iter().filter(|(at, _, _)| *at <= now).cloned().collect();
        self.records.retain(|(at, _, _)| *at > now);
        for (_, vm, record) in due {
            self.vms[vm].apply(&record, at(now));
        }
        if self.chaos && self.rng.random_range(0..20) == 0 {
            // A VM ends and starts again: it knows what the store tells, and no answers.
            let vm = self.rng.random_range(0..count);
            let before = self.vms[vm].run("desk").unwrap().phase;
            self.vms[vm] = new_book(now);
            let record = Self::record(before, now);
            self.vms[vm].apply(&record, at(now));
            if vm == self.decider {
                self.decider = self.rng.random_range(0..count);
            }
        }
        self.decide(now, seen);
    }

    fn record(phase: RolloutPhase, now: u64) -> RolloutRecord {
        let (service, target) = ("desk".to_owned(), "v2".to_owned());
        RolloutRecord { service, target, order: position(5), phase, elapsed_millis: now }
    }

    fn decide(&mut self, now: u64, seen: &mut Seen) {
        let run = self.vms[self.decider].run("desk").unwrap();
        let old_runs = now < DURATION * 85 / 100;
        let Some(step) = run.next_step(old_runs, at(now)) else { return };
        let record = Self::record(step.phase, now);
        self.vms[self.decider].apply(&record, at(now));
        seen.phase = step.phase;
        if step.phase.is_concluded() {
            (seen.concluded_at, seen.reason) = (now, Some(step.reason));
        }
        for vm in 0..self.vms.len() {
            // Through the store's watch and another VM's news.
            let delay = self.rng.random_range(50..600);
            self.records.push_back((now + delay, vm, record.clone()));
        }
    }

    fn play(&mut self, fault: Fault) -> Seen {
        let mut seen = Seen::default();
        for now in (0..DURATION).step_by(STEP as usize) {
            self.step(fault, now, &mut seen);
        }
        seen
    }
}

const FAULTS: [Fault; 8] = [
    Fault::Fails { part: 0.3, routes: 3, from: 0 },
    Fault::Fails { part: 1.0, routes: 3, from: 0 },
    Fault::Fails { part: 0.4, routes: 1, from: 0 },
    Fault::Fails { part: 0.4, routes: 3, from: 5_000 },
    Fault::Fails { part: 0.5, routes: 3, from: 8_000 },
    Fault::Slow { part: 0.5, factor: 4.0, from: 0 },
    Fault::Slow { part: 1.0, factor: 3.5, from: 4_000 },
    Fault::UnderLoad { part: 0.4, share: 0.2 },
];

fn assert_kept(seen: &Seen, what: &str) {
    let allowed = TERMS.share * seen.all as f64 + TERMS.slack;
    assert!(seen.target as f64 <= allowed, "{what}: {} of {} reached it", seen.target, seen.all);
    assert_eq!(seen.late, 0, "{what}: sent long after its fiftieth bad answer");
}

#[test]
fn a_bad_version_gets_its_share_at_most_and_is_rolled_back() {
    for (vms, per_second) in [(9, 200), (71, 860), (300, 900)] {
        for (number, fault) in FAULTS.into_iter().enumerate() {
            for seed in 0..3 {
                let seen = Fleet::new(vms, per_second, seed * 100 + number as u64).play(fault);
                let what = format!("{vms} VMs, {fault:?}, seed {seed}: {seen:?}");
                assert_kept(&seen, &what);
                assert_eq!(
                    (seen.phase, seen.reason),
                    (RolloutPhase::RolledBack, Some(RolloutReason::Bad)),
                    "{what}"
                );
            }
        }
    }
}

#[test]
fn a_good_version_is_in_use_before_its_time_is_over() {
    for (vms, per_second) in [(9, 200), (71, 860), (300, 900)] {
        for seed in 0..12 {
            let mut fleet = Fleet::new(vms, per_second, seed);
            // The present version may be worse than the new one, and both may fail.
            fleet.old_failures = [0.0, 0.01, 0.14, 0.4][seed as usize % 4];
            let seen = fleet.play(Fault::None);
            let what = format!("{vms} VMs, seed {seed}: {seen:?}");
            assert_eq!(
                (seen.phase, seen.reason),
                (RolloutPhase::Succeeded, Some(RolloutReason::Good)),
                "{what}"
            );
            assert!(seen.concluded_at < DURATION, "{what}");
        }
    }
}

#[test]
fn vms_that_start_again_add_little_to_what_a_bad_version_gets() {
    for seed in 0..6 {
        for fault in FAULTS {
            let mut fleet = Fleet::new(71, 860, seed);
            fleet.chaos = true;
            let seen = fleet.play(fault);
            assert_kept(&seen, &format!("{fault:?}, seed {seed}: {seen:?}"));
        }
    }
}

#[test]
fn a_service_with_few_requests_is_tested_by_what_is_allowed_beyond_the_share() {
    let seen = Fleet::new(71, 20, 1).play(Fault::None);
    assert_eq!(seen.phase, RolloutPhase::Succeeded, "{seen:?}");
    let seen = Fleet::new(71, 20, 2).play(Fault::Fails { part: 1.0, routes: 3, from: 0 });
    assert_kept(&seen, "few requests");
    assert_eq!(seen.phase, RolloutPhase::RolledBack, "{seen:?}");
}

#[test]
fn a_version_without_answers_is_not_put_in_use() {
    let book = new_book(0);
    let run = book.run("desk").unwrap();
    assert_eq!(run.next_step(false, at(10_000)), None);
    let step = run.next_step(false, at(11_500)).unwrap();
    assert_eq!((step.phase, step.reason), (RolloutPhase::RolledBack, RolloutReason::Unknown));
}

#[test]
fn orders_that_follow_one_another() {
    let mut book = new_book(0);
    let bad = RolloutAnswer { is_target: true, has_failed: true, time_factor: None };
    for _ in 0..4 {
        book.observe("desk", 1, &bad);
    }
    // The same again, and one written before: nothing changes.
    assert!(!book.order(order(), position(5), at(1)));
    assert!(!book.order(order(), position(4), at(1)));
    // The same version with more time: what is known of it stays known.
    assert!(book.order(order(), position(9), at(2_000)));
    assert_eq!(book.run("desk").unwrap().evidence.totals().target.failed, 4);
    // Another version: it has no answers.
    let other = RolloutOrder { target: "v3".into(), ..order() };
    assert!(book.order(other, position(12), at(3_000)));
    assert_eq!(book.run("desk").unwrap().evidence.totals().target.answers, 0);
    // What was decided of the first order holds for that one alone.
    let late = RolloutRecord {
        service: "desk".into(),
        target: "v2".into(),
        order: position(5),
        phase: RolloutPhase::Succeeded,
        elapsed_millis: 11_000,
    };
    assert!(!book.apply(&late, at(4_000)));
    assert!(book.withdraw("desk") && !book.withdraw("desk"));
    let step = book.run("desk").unwrap().next_step(false, at(4_100)).unwrap();
    assert_eq!((step.phase, step.reason), (RolloutPhase::RolledBack, RolloutReason::Withdrawn));
}

#[test]
fn a_concluded_roll_out_stays_concluded() {
    let mut book = new_book(0);
    let record = |phase| RolloutRecord {
        service: "desk".into(),
        target: "v2".into(),
        order: position(5),
        phase,
        elapsed_millis: 5_000,
    };
    assert!(book.apply(&record(RolloutPhase::RolledBack), at(5_000)));
    for late in [RolloutPhase::Testing, RolloutPhase::Moving, RolloutPhase::Succeeded] {
        assert!(!book.apply(&record(late), at(6_000)), "{late:?}");
    }
    let mut draw = TestDraw { number: 0.0, has_slack: false };
    let splits = book.splits("desk", &TERMS, &mut draw, |_, _| Some(u64::MAX), |_, _| 20);
    assert_eq!(splits, [VersionSplit::Except("v2".into())]);
    // Known from its record alone, as at a VM that starts after the order was taken back.
    let mut other = RolloutTable::default();
    assert!(other.apply(&record(RolloutPhase::RolledBack), at(0)));
    assert_eq!(other.run("desk").unwrap().phase, RolloutPhase::RolledBack);
}
