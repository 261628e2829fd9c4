//! Tests of rollouts over random histories of many VMs, without a network.
//!
//! A service changes to a version that may fail or be slow, at once or later, on one route only, or not at
//! all, while messages between VMs are lost, phases arrive late, and VMs stop and start again. Checked from
//! the endpoints' side: a bad version gets no more than its share of all requests, and none once it has given
//! fifty bad answers and the time for a rollback has passed; a good one succeeds within the duration.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanfold_decide::{
    CanaryDraw, ExposureTerms, RateTerms, RolloutAnswer, RolloutOrder, RolloutPhase, RolloutReason,
    RolloutRecord, RolloutTable, RouteCounts, ShareRight, StorePosition, SumKey, VersionSplit, VmKey,
};
use spanfold_entity::Moment;
use std::collections::{BTreeSet, VecDeque};

const TERMS: ExposureTerms = ExposureTerms { share: 0.1, slack: 50.0 };
/// Duration of a rollout.
const DURATION_MILLIS: u64 = 12_000;
/// Time of one step of a history.
const STEP_MILLIS: u64 = 50;
/// Delay of a message between VMs.
const DELIVERY_DELAY_MILLIS: u64 = 100;
/// Number of bad answers after which, once `ROLLBACK_MILLIS` have passed, no request may reach the version.
const MAX_BAD_ANSWERS: u32 = 50;
const ROLLBACK_MILLIS: u64 = 5_000;

/// Fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// From a moment on, in milliseconds, a fraction of the answers on these routes fails.
    Fails {
        fraction: f64,
        routes: u64,
        from: u64,
    },
    /// From a moment on, a fraction of the answers takes this multiple of the time.
    Slow {
        fraction: f64,
        factor: f64,
        from: u64,
    },
    /// A fraction of the answers fails as soon as the version gets this share of the requests.
    UnderLoad {
        fraction: f64,
        share: f64,
    },
}

/// Counts on their way to a VM: when they arrive, the VM, the counts.
type PendingCounts = (u64, usize, Vec<(SumKey, RouteCounts)>);

struct Fleet {
    rng: SmallRng,
    vms: Vec<RolloutTable>,
    rights: Vec<ShareRight>,
    /// Phases on their way to a VM: when they arrive, the VM, the record.
    records: VecDeque<(u64, usize, RolloutRecord)>,
    /// Counts on their way.
    pending_counts: VecDeque<PendingCounts>,
    decider: usize,
    requests_per_s: u64,
    old_failures: f64,
    restarts_vms: bool,
}

/// Outcome of a history.
#[derive(Debug, Default)]
struct HistoryOutcome {
    all_requests: u64,
    target_requests: u64,
    bad_answers: u32,
    bad_limit_at: Option<u64>,
    late_requests: u64,
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
    RolloutOrder { service: "desk".into(), target: "v2".into(), duration_millis: Some(DURATION_MILLIS) }
}

fn new_table(now: u64) -> RolloutTable {
    let mut table = RolloutTable::default();
    table.order(order(), position(5), at(now));
    table.run_mut("desk").unwrap().has_other_versions = true;
    table
}

impl Fleet {
    fn new(vms: usize, requests_per_s: u64, seed: u64) -> Self {
        let keys: Vec<_> = (0..vms).map(|vm| VmKey::of(&format!("vm-{vm}"))).collect();
        let right = |own: usize| ShareRight {
            own: keys[own],
            data_centre: "dc-a".to_owned(),
            is_list_current: true,
            local_vms: Vec::new(),
            other_vms: keys.iter().copied().filter(|key| *key != keys[own]).collect(),
            remote_data_centres: BTreeSet::new(),
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            vms: (0..vms).map(|_| new_table(0)).collect(),
            rights: (0..vms).map(right).collect(),
            records: VecDeque::new(),
            pending_counts: VecDeque::new(),
            decider: 0,
            requests_per_s,
            old_failures: 0.01,
            restarts_vms: false,
        }
    }

    fn request(&mut self, vm: usize, fault: Fault, now: u64, outcome: &mut HistoryOutcome) {
        let route = self.rng.random_range(1..=3_u64);
        let mut draw = CanaryDraw { number: self.rng.random(), has_slack: false };
        let right = &self.rights[vm];
        let slack_share = |key, terms: &RateTerms| right.share_of_total(key, terms);
        let splits = self.vms[vm].splits("desk", &TERMS, &mut draw, |_, _| Some(u64::MAX), slack_share);
        let is_target = matches!(splits[0], VersionSplit::Only(_) | VersionSplit::Tested(..))
            || (splits[0] == VersionSplit::Any && outcome.phase == RolloutPhase::Succeeded);
        outcome.all_requests += 1;
        let share = outcome.phase.share(&TERMS);
        let (bad_fraction, factor) = match fault {
            _ if !is_target => (self.old_failures, 1.0),
            Fault::Fails { fraction, routes, from } if now >= from && route <= routes => (fraction, 1.0),
            Fault::Slow { fraction, factor, from } if now >= from && self.rng.random::<f64>() < fraction => {
                (self.old_failures, factor)
            }
            Fault::UnderLoad { fraction, share: min_share } if share >= min_share => (fraction, 1.0),
            _ => (self.old_failures, 1.0),
        };
        let has_failed = self.rng.random::<f64>() < bad_fraction;
        let spread = 0.6 + 0.8 * self.rng.random::<f64>();
        if is_target {
            outcome.target_requests += 1;
            if outcome.bad_limit_at.is_some_and(|at| now > at + ROLLBACK_MILLIS) {
                outcome.late_requests += 1;
            }
            if has_failed || factor > 1.0 {
                outcome.bad_answers += 1;
                if outcome.bad_answers == MAX_BAD_ANSWERS {
                    outcome.bad_limit_at = Some(now);
                }
            }
        }
        let answer = RolloutAnswer { is_target, has_failed, time_factor: Some(spread * factor) };
        self.vms[vm].observe("desk", route, &answer);
    }

    fn step(&mut self, fault: Fault, now: u64, outcome: &mut HistoryOutcome) {
        let count = self.vms.len();
        for _ in 0..self.requests_per_s * STEP_MILLIS / 1_000 {
            let vm = self.rng.random_range(0..count);
            self.request(vm, fault, now, outcome);
        }
        for vm in 0..count {
            let counts = self.vms[vm].sums.local.take();
            if counts.is_empty() {
                continue;
            }
            for other in (0..count).filter(|other| *other != vm) {
                // One message in 33 is lost.
                if self.rng.random_range(0..33) > 0 {
                    self.pending_counts.push_back((now + DELIVERY_DELAY_MILLIS, other, counts.clone()));
                }
            }
        }
        while self.pending_counts.front().is_some_and(|(at, _, _)| *at <= now) {
            let (_, vm, counts) = self.pending_counts.pop_front().unwrap();
            self.vms[vm].add(&counts);
        }
        let due: Vec<_> = self.records.iter().filter(|(at, _, _)| *at <= now).cloned().collect();
        self.records.retain(|(at, _, _)| *at > now);
        for (_, vm, record) in due {
            self.vms[vm].apply(&record, at(now));
        }
        if self.restarts_vms && self.rng.random_range(0..20) == 0 {
            // A VM restarts: it has the store's records, and no answers.
            let vm = self.rng.random_range(0..count);
            let before = self.vms[vm].run("desk").unwrap().phase;
            self.vms[vm] = new_table(now);
            let record = Self::record(before, now);
            self.vms[vm].apply(&record, at(now));
            if vm == self.decider {
                self.decider = self.rng.random_range(0..count);
            }
        }
        self.decide(now, outcome);
    }

    fn record(phase: RolloutPhase, now: u64) -> RolloutRecord {
        let (service, target) = ("desk".to_owned(), "v2".to_owned());
        RolloutRecord { service, target, order: position(5), phase, elapsed_millis: now }
    }

    fn decide(&mut self, now: u64, outcome: &mut HistoryOutcome) {
        let run = self.vms[self.decider].run("desk").unwrap();
        let has_old_requests = now < DURATION_MILLIS * 85 / 100;
        let Some(step) = run.next_step(has_old_requests, at(now)) else { return };
        let record = Self::record(step.phase, now);
        self.vms[self.decider].apply(&record, at(now));
        outcome.phase = step.phase;
        if step.phase.is_concluded() {
            (outcome.concluded_at, outcome.reason) = (now, Some(step.reason));
        }
        for vm in 0..self.vms.len() {
            // The delay of the store's watch, or of another VM's update.
            let delay = self.rng.random_range(50..600);
            self.records.push_back((now + delay, vm, record.clone()));
        }
    }

    fn simulate(&mut self, fault: Fault) -> HistoryOutcome {
        let mut outcome = HistoryOutcome::default();
        for now in (0..DURATION_MILLIS).step_by(STEP_MILLIS as usize) {
            self.step(fault, now, &mut outcome);
        }
        outcome
    }
}

const FAULTS: [Fault; 8] = [
    Fault::Fails { fraction: 0.3, routes: 3, from: 0 },
    Fault::Fails { fraction: 1.0, routes: 3, from: 0 },
    Fault::Fails { fraction: 0.4, routes: 1, from: 0 },
    Fault::Fails { fraction: 0.4, routes: 3, from: 5_000 },
    Fault::Fails { fraction: 0.5, routes: 3, from: 8_000 },
    Fault::Slow { fraction: 0.5, factor: 4.0, from: 0 },
    Fault::Slow { fraction: 1.0, factor: 3.5, from: 4_000 },
    Fault::UnderLoad { fraction: 0.4, share: 0.2 },
];

fn assert_within_exposure(outcome: &HistoryOutcome, context: &str) {
    let allowed = TERMS.share * outcome.all_requests as f64 + TERMS.slack;
    assert!(
        outcome.target_requests as f64 <= allowed,
        "{context}: {} of {} reached it",
        outcome.target_requests,
        outcome.all_requests
    );
    assert_eq!(outcome.late_requests, 0, "{context}: sent long after its fiftieth bad answer");
}

#[test]
fn bad_version_gets_at_most_its_share_and_is_rolled_back() {
    for (vms, requests_per_s) in [(9, 200), (71, 860), (300, 900)] {
        for (number, fault) in FAULTS.into_iter().enumerate() {
            for seed in 0..3 {
                let outcome = Fleet::new(vms, requests_per_s, seed * 100 + number as u64).simulate(fault);
                let context = format!("{vms} VMs, {fault:?}, seed {seed}: {outcome:?}");
                assert_within_exposure(&outcome, &context);
                assert_eq!(
                    (outcome.phase, outcome.reason),
                    (RolloutPhase::RolledBack, Some(RolloutReason::Bad)),
                    "{context}"
                );
            }
        }
    }
}

#[test]
fn good_version_succeeds_within_the_duration() {
    for (vms, requests_per_s) in [(9, 200), (71, 860), (300, 900)] {
        for seed in 0..12 {
            let mut fleet = Fleet::new(vms, requests_per_s, seed);
            // The present version may be worse than the new one, and both may fail.
            fleet.old_failures = [0.0, 0.01, 0.14, 0.4][seed as usize % 4];
            let outcome = fleet.simulate(Fault::None);
            let context = format!("{vms} VMs, seed {seed}: {outcome:?}");
            assert_eq!(
                (outcome.phase, outcome.reason),
                (RolloutPhase::Succeeded, Some(RolloutReason::Good)),
                "{context}"
            );
            assert!(outcome.concluded_at < DURATION_MILLIS, "{context}");
        }
    }
}

#[test]
fn restarted_vms_keep_a_bad_version_within_its_share() {
    for seed in 0..6 {
        for fault in FAULTS {
            let mut fleet = Fleet::new(71, 860, seed);
            fleet.restarts_vms = true;
            let outcome = fleet.simulate(fault);
            assert_within_exposure(&outcome, &format!("{fault:?}, seed {seed}: {outcome:?}"));
        }
    }
}

#[test]
fn service_with_few_requests_is_tested_by_the_slack() {
    let outcome = Fleet::new(71, 20, 1).simulate(Fault::None);
    assert_eq!(outcome.phase, RolloutPhase::Succeeded, "{outcome:?}");
    let outcome = Fleet::new(71, 20, 2).simulate(Fault::Fails { fraction: 1.0, routes: 3, from: 0 });
    assert_within_exposure(&outcome, "few requests");
    assert_eq!(outcome.phase, RolloutPhase::RolledBack, "{outcome:?}");
}

#[test]
fn version_without_answers_is_rolled_back() {
    let table = new_table(0);
    let run = table.run("desk").unwrap();
    assert_eq!(run.next_step(false, at(10_000)), None);
    let step = run.next_step(false, at(11_500)).unwrap();
    assert_eq!((step.phase, step.reason), (RolloutPhase::RolledBack, RolloutReason::Unknown));
}

#[test]
fn successive_orders_keep_evidence_of_the_same_version_only() {
    let mut table = new_table(0);
    let bad = RolloutAnswer { is_target: true, has_failed: true, time_factor: None };
    for _ in 0..4 {
        table.observe("desk", 1, &bad);
    }
    // The same order again, and an older one: nothing changes.
    assert!(!table.order(order(), position(5), at(1)));
    assert!(!table.order(order(), position(4), at(1)));
    // The same version with more time: the evidence is retained.
    assert!(table.order(order(), position(9), at(2_000)));
    assert_eq!(table.run("desk").unwrap().evidence.totals().target.failed, 4);
    // Another version: there are no answers yet.
    let other = RolloutOrder { target: "v3".into(), ..order() };
    assert!(table.order(other, position(12), at(3_000)));
    assert_eq!(table.run("desk").unwrap().evidence.totals().target.answers, 0);
    // A decision on the first order applies to that order alone.
    let outdated = RolloutRecord {
        service: "desk".into(),
        target: "v2".into(),
        order: position(5),
        phase: RolloutPhase::Succeeded,
        elapsed_millis: 11_000,
    };
    assert!(!table.apply(&outdated, at(4_000)));
    assert!(table.withdraw("desk") && !table.withdraw("desk"));
    let step = table.run("desk").unwrap().next_step(false, at(4_100)).unwrap();
    assert_eq!((step.phase, step.reason), (RolloutPhase::RolledBack, RolloutReason::Withdrawn));
}

#[test]
fn concluded_rollout_stays_concluded() {
    let mut table = new_table(0);
    let record = |phase| RolloutRecord {
        service: "desk".into(),
        target: "v2".into(),
        order: position(5),
        phase,
        elapsed_millis: 5_000,
    };
    assert!(table.apply(&record(RolloutPhase::RolledBack), at(5_000)));
    for phase in [RolloutPhase::Testing, RolloutPhase::Moving, RolloutPhase::Succeeded] {
        assert!(!table.apply(&record(phase), at(6_000)), "{phase:?}");
    }
    let mut draw = CanaryDraw { number: 0.0, has_slack: false };
    let splits = table.splits("desk", &TERMS, &mut draw, |_, _| Some(u64::MAX), |_, _| 20);
    assert_eq!(splits, [VersionSplit::Except("v2".into())]);
    // Created from its record alone, as at a VM that starts after the order was withdrawn.
    let mut other = RolloutTable::default();
    assert!(other.apply(&record(RolloutPhase::RolledBack), at(0)));
    assert_eq!(other.run("desk").unwrap().phase, RolloutPhase::RolledBack);
}
