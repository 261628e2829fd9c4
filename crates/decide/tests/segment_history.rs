//! Tests which segments of prompts are found fatal, over histories of crashing endpoints.
//!
//! Guards against a quarantine of all prompts with a segment that merely ran where endpoints crashed for
//! other reasons, and against a fatal segment that is not found.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanfold_decide::{
    CrashHistory, CrashReport, EndpointCrash, EndpointKey, IdentityKey, MIN_CRASHES_PER_TRIAL, SuspectKey,
    SuspectKind,
};
use spanfold_entity::Moment;
use std::collections::{BTreeMap, BTreeSet};

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000 * MICROS_PER_MILLI;
/// Number of further sends that are allowed once five crashes are known.
const MAX_TRIALS: usize = 3;
/// Time from the crash under one trial to the next trial.
const TRIAL_PAUSE_MICROS: u64 = 500 * MICROS_PER_MILLI;
/// Number of the segment that crashes endpoints.
const FATAL: u64 = 7;

fn segment(number: u64) -> SuspectKey {
    IdentityKey::derive(&[1; 32]).of_segment("llm", "m", &number.to_string())
}

fn crash(start: u64, at_millis: u64) -> EndpointCrash {
    EndpointCrash {
        start: EndpointKey(start),
        address_digest: start + 1_000,
        service: 7,
        service_size: 18,
        at: Moment(at_millis * MICROS_PER_MILLI),
    }
}

/// Adds a prompt with the segments `numbers` that had been running for `age_millis` when an endpoint crashed.
fn add(history: &mut CrashHistory, crash: EndpointCrash, numbers: &[u64], age_millis: u64) {
    for number in numbers {
        let report = CrashReport {
            suspect: segment(*number),
            kind: SuspectKind::Segment,
            crash,
            age_micros: age_millis * MICROS_PER_MILLI,
        };
        history.add_report(&report);
    }
}

fn is_fatal(history: &CrashHistory, number: u64) -> bool {
    history.verdict(segment(number)).is_fatal()
}

#[test]
fn segment_of_different_prompts_is_found_after_four_crashes() {
    let mut history = CrashHistory::default();
    for start in 0..4 {
        assert!(!is_fatal(&history, FATAL));
        add(&mut history, crash(start, 1_000 * start), &[100 + start, FATAL], 100);
    }
    assert!(is_fatal(&history, FATAL) && history.companions(segment(FATAL)).is_empty());
    assert!((100..104).all(|other| !is_fatal(&history, other)));
}

#[test]
fn segments_that_always_come_together_are_companions() {
    let mut history = CrashHistory::default();
    for start in 0..4 {
        add(&mut history, crash(start, 1_000 * start), &[1, FATAL, 100 + start], 100);
        // Another prompt with the first segment, at the same endpoint.
        add(&mut history, crash(start, 1_000 * start), &[200 + start], 300);
    }
    assert!(is_fatal(&history, FATAL) && is_fatal(&history, 1));
    assert_eq!(history.companions(segment(FATAL))[..], [segment(1)]);
    assert_eq!(history.companions(segment(1))[..], [segment(FATAL)]);
    // The next prompt does not have the first one.
    add(&mut history, crash(4, 5_000), &[FATAL], 100);
    assert!(is_fatal(&history, FATAL) && history.companions(segment(FATAL)).is_empty());
    assert_eq!(history.verdict(segment(1)).counted, 0);
}

#[test]
fn answered_companion_is_none() {
    let mut history = CrashHistory::default();
    for start in 0..4 {
        add(&mut history, crash(start, 1_000 * start), &[1, FATAL], 100);
    }
    assert!(history.record_answered(segment(1), Moment(4 * MICROS_PER_SECOND)));
    assert!(is_fatal(&history, FATAL) && history.companions(segment(FATAL)).is_empty());
}

#[test]
fn fatal_request_precedes_its_segments() {
    let mut history = CrashHistory::default();
    let request = segment(1_000);
    for start in 0..3 {
        let crash = crash(start, 1_000 * start);
        add(&mut history, crash, &[1, 2], 100);
        let (suspect, kind) = (request, SuspectKind::Request);
        history.add_report(&CrashReport { suspect, kind, crash, age_micros: 100 * MICROS_PER_MILLI });
    }
    assert!(history.verdict(request).is_fatal() && !is_fatal(&history, 1) && !is_fatal(&history, 2));
    // Another request with one of them crashes an endpoint, too.
    add(&mut history, crash(3, 4_000), &[2], 100);
    add(&mut history, crash(4, 9_000), &[2], 100);
    assert!(is_fatal(&history, 2) && history.verdict(request).counted == 0);
}

#[test]
fn crash_of_a_data_centre_finds_no_segment_that_was_everywhere() {
    let mut history = CrashHistory::default();
    for start in 0..18 {
        add(&mut history, crash(start, 5_000 + start), &[1, 100 + start % 4], 100 + 70 * (start % 5));
    }
    assert!([1, 100, 101, 102, 103].iter().all(|number| !is_fatal(&history, *number)));
}

#[test]
fn oldest_run_of_a_segment_counts() {
    let mut history = CrashHistory::default();
    for start in 0..3 {
        add(&mut history, crash(start, 1_000 * start), &[1], 100);
        add(&mut history, crash(start, 1_000 * start), &[1], 2_500);
    }
    let old = history.verdict(segment(1)).log_odds;
    let mut young = CrashHistory::default();
    for start in 0..3 {
        add(&mut young, crash(start, 1_000 * start), &[1], 100);
    }
    assert!(old < young.verdict(segment(1)).log_odds - 6.0);
}

/// Cause of crashes in a history.
#[derive(Clone, Copy, Debug)]
enum FaultKind {
    /// Endpoints crash by themselves, one after the other, at an interval in milliseconds.
    SingleCrashes(u64),
    /// This fraction of the endpoints crashes at once, at an interval in milliseconds.
    GroupCrashes(f64, u64),
    /// The endpoint at one address crashes again as soon as it has restarted.
    SameAddress,
    /// This number of prompts with the fatal segment arrives each second, all different.
    FatalPrompts(u64),
}

/// Prompt that runs at an endpoint.
#[derive(Clone)]
struct HistoryRun {
    segments: Vec<u64>,
    begun_at: u64,
    ends_at: u64,
    is_fatal: bool,
    sends: u32,
}

/// Draws the segments of a prompt: a popular first one, one of some dozens, and one of many rare ones.
fn draw_segments(random: &mut SmallRng) -> Vec<u64> {
    let rank = |random: &mut SmallRng, count: f64| (count.powf(random.random::<f64>()) - 1.0) as u64;
    vec![100 + random.random_range(0..3), 200 + rank(random, 40.0), 1_000 + rank(random, 2_000.0)]
}

/// What a history found, with the time of each finding.
#[derive(Default)]
struct Findings {
    fatal: BTreeMap<u64, u64>,
    on_trial: BTreeSet<u64>,
    /// Number of prompts with the fatal segment that were sent while it was on trial.
    trials: usize,
}

/// Draws the endpoints that crash for other reasons than the fatal segment within a step of 10 ms.
fn crashing_endpoints(
    random: &mut SmallRng,
    faults: &[FaultKind],
    endpoints: usize,
    step: u64,
) -> BTreeSet<usize> {
    let mut crashing = BTreeSet::new();
    for fault in faults {
        match *fault {
            FaultKind::SingleCrashes(interval) if (10 * step).is_multiple_of(interval) => {
                crashing.insert(random.random_range(0..endpoints));
            }
            FaultKind::GroupCrashes(fraction, interval) if (10 * step) % interval == 500 => {
                crashing.extend((0..endpoints).filter(|_| random.random::<f64>() < fraction));
            }
            FaultKind::SameAddress if step.is_multiple_of(37) => {
                crashing.insert(0);
            }
            _ => {}
        }
    }
    crashing
}

/// Simulates a minute of `per_s` prompts a second at `endpoints`, each of which takes a crashed prompt again up
/// to `sends` times. Segments are evaluated 150 ms after a report, as answers arrive meanwhile.
fn simulate(seed: u64, endpoints: usize, per_s: u64, sends: u32, faults: &[FaultKind]) -> Findings {
    let mut random = SmallRng::seed_from_u64(seed);
    let (mut history, mut findings) = (CrashHistory::default(), Findings::default());
    let mut runs: Vec<Vec<HistoryRun>> = vec![Vec::new(); endpoints];
    let mut down_until = vec![0; endpoints];
    let (mut starts, mut next_start): (Vec<u64>, u64) = ((0..endpoints as u64).collect(), endpoints as u64);
    let (mut due, mut fatal_crash_at): (BTreeMap<u64, u64>, u64) = (BTreeMap::new(), 0);
    for step in 0..6_000_u64 {
        let now = step * 10 * MICROS_PER_MILLI;
        let mut arriving = Vec::new();
        let mut arrive = |random: &mut SmallRng, is_fatal: bool| {
            let mut segments = draw_segments(random);
            let lasts = if is_fatal { random.random_range(60..140) } else { random.random_range(50..1_500) };
            if is_fatal {
                segments[1] = FATAL;
            }
            let ends_at = now + lasts * MICROS_PER_MILLI;
            arriving.push(HistoryRun { segments, begun_at: now, ends_at, is_fatal, sends: 1 });
        };
        for _ in 0..(per_s as f64 / 100.0 + random.random::<f64>()) as u64 {
            arrive(&mut random, false);
        }
        for fault in faults {
            if let FaultKind::FatalPrompts(count) = fault
                && random.random::<f64>() < *count as f64 / 100.0
            {
                arrive(&mut random, true);
            }
        }
        let mut crashing = crashing_endpoints(&mut random, faults, endpoints, step);
        for (place, running) in runs.iter_mut().enumerate() {
            if running.iter().any(|run| run.is_fatal && run.ends_at <= now) {
                crashing.insert(place);
            }
            for run in running.iter().filter(|run| !run.is_fatal && run.ends_at <= now) {
                for number in &run.segments {
                    history.record_answered(segment(*number), Moment(now));
                }
            }
            running.retain(|run| run.is_fatal || run.ends_at > now);
        }
        crashing.retain(|place| down_until[*place] <= now);
        for place in crashing {
            let end = EndpointCrash {
                start: EndpointKey(starts[place]),
                address_digest: place as u64,
                service: 1,
                service_size: endpoints as u32,
                at: Moment(now),
            };
            history.record_crash(end);
            if runs[place].iter().any(|run| run.is_fatal) {
                fatal_crash_at = now;
            }
            for run in std::mem::take(&mut runs[place]) {
                add(&mut history, end, &run.segments, (now - run.begun_at) / MICROS_PER_MILLI);
                for number in &run.segments {
                    due.entry(*number).or_insert(now + 150 * MICROS_PER_MILLI);
                }
                if run.sends < sends && !run.is_fatal {
                    let ends_at = now + run.ends_at - run.begun_at;
                    arriving.push(HistoryRun { begun_at: now, ends_at, sends: run.sends + 1, ..run });
                }
            }
            starts[place] = next_start;
            next_start += 1;
            down_until[place] = now + 3_000 * MICROS_PER_MILLI;
        }
        let evaluated: Vec<_> = due.iter().filter(|(_, at)| now >= **at).map(|(number, _)| *number).collect();
        for number in evaluated {
            due.remove(&number);
            let verdict = history.verdict(segment(number));
            if verdict.is_fatal() {
                findings.fatal.entry(number).or_insert(now);
                history.mark_explained(segment(number));
                continue;
            }
            if verdict.counted >= MIN_CRASHES_PER_TRIAL {
                findings.on_trial.insert(number);
            }
        }
        let up: Vec<_> = (0..endpoints).filter(|place| down_until[*place] <= now).collect();
        for run in arriving {
            let is_running = |number: &u64| runs.iter().flatten().any(|run| run.segments.contains(number));
            let is_held = run.segments.iter().any(|number| {
                let is_on_trial = history.crashes_of(segment(*number)) >= MIN_CRASHES_PER_TRIAL
                    && findings.on_trial.contains(number);
                let is_undecided = is_running(number) || now < fatal_crash_at + TRIAL_PAUSE_MICROS;
                findings.fatal.contains_key(number) || (is_on_trial && is_undecided)
            });
            if !up.is_empty() && !is_held {
                findings.trials += usize::from(run.is_fatal && findings.on_trial.contains(&FATAL));
                runs[up[random.random_range(0..up.len())]].push(run);
            }
        }
    }
    findings
}

#[test]
fn no_unrelated_segment_is_found_fatal_over_random_histories() {
    let histories: [&[FaultKind]; 8] = [
        &[FaultKind::SingleCrashes(1_000)],
        &[FaultKind::SingleCrashes(200)],
        &[FaultKind::GroupCrashes(0.3, 4_000)],
        &[FaultKind::GroupCrashes(1.0, 8_000)],
        &[FaultKind::GroupCrashes(0.6, 5_000), FaultKind::SingleCrashes(500)],
        &[FaultKind::SameAddress, FaultKind::SingleCrashes(2_000)],
        &[FaultKind::FatalPrompts(1), FaultKind::SingleCrashes(1_000)],
        &[FaultKind::FatalPrompts(3), FaultKind::GroupCrashes(0.3, 5_000)],
    ];
    for faults in histories {
        for (endpoints, per_s, sends) in [(18, 100, 1), (18, 15, 4), (60, 200, 2), (4, 20, 2)] {
            for seed in 0..5 {
                let findings = simulate(seed, endpoints, per_s, sends, faults);
                let unrelated: Vec<_> = findings.fatal.keys().filter(|number| **number != FATAL).collect();
                assert!(
                    unrelated.is_empty(),
                    "{unrelated:?}: {faults:?}, {endpoints} endpoints, {per_s} a second, seed {seed}"
                );
            }
        }
    }
}

#[test]
fn a_fatal_segment_is_found_after_five_crashes_and_at_most_three_on_trial() {
    for faults in [
        &[FaultKind::FatalPrompts(1)][..],
        &[FaultKind::FatalPrompts(3)],
        &[FaultKind::FatalPrompts(10)],
        &[FaultKind::FatalPrompts(1), FaultKind::SingleCrashes(10_000)],
        &[FaultKind::FatalPrompts(3), FaultKind::SingleCrashes(5_000)],
        &[FaultKind::FatalPrompts(1), FaultKind::GroupCrashes(0.15, 20_000)],
    ] {
        for (endpoints, per_s) in [(18, 100), (18, 15), (60, 200)] {
            for seed in 0..5 {
                let findings = simulate(seed, endpoints, per_s, 1, faults);
                assert!(
                    findings.fatal.contains_key(&FATAL) && findings.trials <= MAX_TRIALS,
                    "{} trials: {faults:?}, {endpoints} endpoints, {per_s} a second, seed {seed}",
                    findings.trials
                );
            }
        }
    }
}
