//! Tests which requests are found fatal, over histories of crashing endpoints.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use spanfold_decide::{
    CrashHistory, CrashReport, EndpointCrash, EndpointKey, IdentityKey, RequestIdentity, SuspectKey,
    SuspectKind,
};
use spanfold_entity::Moment;

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000 * MICROS_PER_MILLI;

fn request(number: u64) -> SuspectKey {
    let body = number.to_le_bytes();
    let identity = RequestIdentity { account: "a", method: "POST", host: "h", path: "/p", body: &body };
    IdentityKey::derive(&[1; 32]).of(&identity)
}

/// Returns the crash of the `start`th endpoint that ever ran, one of 18, at an address of its own.
fn crash(start: u64, at: u64) -> EndpointCrash {
    let start = EndpointKey(start);
    EndpointCrash { start, address_digest: start.0 + 1_000, service: 7, service_size: 18, at: Moment(at) }
}

fn report(number: u64, crash: EndpointCrash, age_millis: u64) -> CrashReport {
    CrashReport {
        suspect: request(number),
        kind: SuspectKind::Request,
        crash,
        age_micros: age_millis * MICROS_PER_MILLI,
    }
}

fn is_fatal(history: &CrashHistory, number: u64) -> bool {
    history.verdict(request(number)).is_fatal()
}

#[test]
fn three_early_crashes_suffice_in_a_fleet_without_others() {
    let mut history = CrashHistory::default();
    for start in 0..3 {
        assert!(!is_fatal(&history, 1));
        history.add_report(&report(1, crash(start, 2 * start * MICROS_PER_SECOND), 300));
    }
    assert!(is_fatal(&history, 1));
}

#[test]
fn duplicate_report_counts_once() {
    let mut history = CrashHistory::default();
    let crash_report = report(1, crash(1, MICROS_PER_SECOND), 50);
    assert!(history.add_report(&crash_report));
    assert!(!history.add_report(&crash_report));
    assert_eq!(history.crashes_of(request(1)), 1);
}

#[test]
fn crash_of_a_new_start_of_the_same_endpoint_counts_again() {
    let mut history = CrashHistory::default();
    for born in 0..3 {
        let mut crash = crash(1, born * 4 * MICROS_PER_SECOND);
        crash.start = EndpointKey::of_incarnation("i-1", Some(born));
        history.add_report(&report(1, crash, 60));
    }
    assert_eq!(history.crashes_of(request(1)), 3);
}

#[test]
fn service_of_one_endpoint_needs_at_most_six_crashes() {
    let mut history = CrashHistory::default();
    for born in 0..6 {
        let mut crash = EndpointCrash { service_size: 1, ..crash(1, born * 4 * MICROS_PER_SECOND) };
        crash.start = EndpointKey::of_incarnation("i-1", Some(born));
        history.add_report(&report(1, crash, 150));
    }
    assert!(is_fatal(&history, 1));
}

#[test]
fn completed_request_is_cleared_also_of_late_reports() {
    let mut history = CrashHistory::default();
    for start in 0..2 {
        history.add_report(&report(1, crash(start, start * MICROS_PER_SECOND), 50));
    }
    assert!(history.record_answered(request(1), Moment(3 * MICROS_PER_SECOND)));
    assert!(!history.add_report(&report(1, crash(2, 2 * MICROS_PER_SECOND), 50)));
    history.add_report(&report(1, crash(3, 4 * MICROS_PER_SECOND), 50));
    assert_eq!(history.crashes_of(request(1)), 1);
}

#[test]
fn other_requests_at_the_same_crashes_are_not_fatal() {
    // Six other requests are sent again together with the fatal one, twice; then it runs alone.
    let mut history = CrashHistory::default();
    for start in 0..2 {
        for number in 1..8 {
            history.add_report(&report(number, crash(start, start * MICROS_PER_SECOND), 60));
        }
    }
    history.add_report(&report(1, crash(2, 2 * MICROS_PER_SECOND), 60));
    assert!(is_fatal(&history, 1));
    assert!((2..8).all(|number| !is_fatal(&history, number)));
}

#[test]
fn requests_with_the_same_crashes_need_a_fourth_one() {
    let mut history = CrashHistory::default();
    for start in 0..3 {
        history.add_report(&report(1, crash(start, start * MICROS_PER_SECOND), 60));
        history.add_report(&report(2, crash(start, start * MICROS_PER_SECOND), 70));
    }
    assert!(!is_fatal(&history, 1) && !is_fatal(&history, 2));
    history.add_report(&report(2, crash(3, 4 * MICROS_PER_SECOND), 70));
    assert!(!is_fatal(&history, 1) && is_fatal(&history, 2));
}

#[test]
fn three_crashes_are_too_few_where_endpoints_crash_by_themselves() {
    let mut history = CrashHistory::default();
    for start in 100..130 {
        history.record_crash(crash(start, (start - 100) * 300 * MICROS_PER_MILLI));
    }
    for start in 0..3 {
        history.add_report(&report(1, crash(start, start * 3 * MICROS_PER_SECOND), 300));
    }
    assert!(!is_fatal(&history, 1));
}

#[test]
fn repeated_crashes_at_one_address_make_no_request_fatal() {
    // Its address is the same each time, and other requests run there too.
    let mut history = CrashHistory::default();
    let at_same_address = |start: u64| EndpointCrash {
        address_digest: 5,
        service_size: 5_500,
        ..crash(start, start * MICROS_PER_SECOND)
    };
    for start in 0..30 {
        history.add_report(&report(start % 5, at_same_address(start), 200));
    }
    assert!((0..5).all(|number| !is_fatal(&history, number)));
}

#[test]
fn burst_of_single_crashes_evicts_no_stronger_evidence() {
    let mut history = CrashHistory::default();
    for start in 0..2 {
        history.add_report(&report(0, crash(start, start * MICROS_PER_SECOND), 60));
    }
    for number in 1..20_000 {
        history.add_report(&report(number, crash(100 + number / 20, 100 * MICROS_PER_SECOND + number), 60));
    }
    history.add_report(&report(0, crash(90, 400 * MICROS_PER_SECOND), 60));
    assert!(is_fatal(&history, 0));
    assert!(history.reports().len() <= 2_048);
}

#[test]
fn evidence_expires() {
    let mut history = CrashHistory::default();
    history.add_report(&report(1, crash(0, 0), 60));
    history.sweep(Moment(899 * MICROS_PER_SECOND));
    assert_eq!(history.crashes_of(request(1)), 1);
    history.sweep(Moment(900 * MICROS_PER_SECOND));
    assert!(history.is_empty());
}

/// Cause of crashes in a history.
#[derive(Clone, Copy, Debug)]
enum FaultKind {
    /// Endpoints crash by themselves, one after the other, at an interval in milliseconds.
    SingleCrashes(u64),
    /// This fraction of the endpoints crashes at once, each second.
    GroupCrashes(f64),
    /// The endpoint at one address crashes again as soon as it has restarted.
    SameAddress,
    /// This number of fatal requests arrives again each second.
    FatalRequests(u64),
}

/// Request of a history that runs at an endpoint.
#[derive(Clone, Copy)]
struct HistoryRun {
    number: u64,
    begun_at: u64,
    ends_at: u64,
    sends: u32,
}

/// Simulates endpoints and requests, each of which is sent up to `sends` times. Endpoints are chosen at
/// random or, if `prefers_restarted`, half of the time the last restarted one, as new ones look idle. Returns
/// the requests found fatal.
fn simulate(
    seed: u64,
    endpoints: usize,
    sends: u32,
    prefers_restarted: bool,
    faults: &[FaultKind],
) -> Vec<u64> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut history = CrashHistory::default();
    let mut runs: Vec<Vec<HistoryRun>> = vec![Vec::new(); endpoints];
    let mut starts: Vec<u64> = (0..endpoints as u64).collect();
    let (mut next_start, mut next_request) = (endpoints as u64, 1_000_u64);
    let (mut found, mut last_restarted) = (Vec::new(), 0);
    // Each endpoint has about ten requests.
    let per_step = endpoints as f64 * 10.0 / 100.0;
    for step in 0..6_000_u64 {
        let now = step * 10 * MICROS_PER_MILLI;
        let mut arriving: Vec<HistoryRun> = Vec::new();
        for _ in 0..(per_step + random.random::<f64>()) as u64 {
            next_request += 1;
            let ends_at = now + random.random_range(20..2_000) * MICROS_PER_MILLI;
            arriving.push(HistoryRun { number: next_request, begun_at: now, ends_at, sends: 1 });
        }
        for fault in faults {
            if let FaultKind::FatalRequests(count) = fault
                && step % 100 == 0
            {
                arriving.extend((0..*count).map(|number| HistoryRun {
                    number,
                    begun_at: now,
                    ends_at: now + 60 * MICROS_PER_MILLI,
                    sends,
                }));
            }
        }
        let mut crashing: Vec<usize> = Vec::new();
        for fault in faults {
            match *fault {
                FaultKind::SingleCrashes(interval) if now.is_multiple_of(interval * MICROS_PER_MILLI) => {
                    crashing.push(random.random_range(0..endpoints));
                }
                FaultKind::GroupCrashes(fraction) if step % 100 == 50 => {
                    crashing.extend((0..endpoints).filter(|_| random.random::<f64>() < fraction));
                }
                FaultKind::SameAddress if step % 37 == 0 => crashing.push(0),
                _ => {}
            }
        }
        for (place, running) in runs.iter_mut().enumerate() {
            let is_killed = running.iter().any(|run| run.number < 1_000 && run.ends_at <= now);
            if is_killed && !crashing.contains(&place) {
                crashing.push(place);
            }
            for run in running.iter().filter(|run| run.number >= 1_000 && run.ends_at <= now) {
                history.record_answered(request(run.number), Moment(now));
            }
            running.retain(|run| run.number < 1_000 || run.ends_at > now);
        }
        let mut ended = Vec::new();
        for place in crashing {
            let start = EndpointKey(starts[place]);
            let (at, service_size) = (Moment(now), endpoints as u32);
            let end = EndpointCrash { start, address_digest: place as u64, service: 1, service_size, at };
            history.record_crash(end);
            for run in std::mem::take(&mut runs[place]) {
                let age_micros = now - run.begun_at;
                history.add_report(&CrashReport {
                    suspect: request(run.number),
                    kind: SuspectKind::Request,
                    crash: end,
                    age_micros,
                });
                ended.push(run);
            }
            starts[place] = next_start;
            next_start += 1;
            last_restarted = place;
        }
        // All requests at a crash are reported before any of them is evaluated.
        for run in ended {
            if history.verdict(request(run.number)).is_fatal() && !found.contains(&run.number) {
                history.mark_explained(request(run.number));
                found.push(run.number);
            } else if run.sends < sends {
                let lasts = run.ends_at - run.begun_at;
                arriving.push(HistoryRun {
                    begun_at: now,
                    ends_at: now + lasts,
                    sends: run.sends + 1,
                    ..run
                });
            }
        }
        let places: Vec<usize> = (0..endpoints).collect();
        for run in arriving {
            if found.contains(&run.number) {
                continue;
            }
            let place = if prefers_restarted && random.random() {
                last_restarted
            } else {
                *places.choose(&mut random).unwrap()
            };
            runs[place].push(run);
        }
    }
    found
}

/// Simulates a minute with each of several seeds; returns the number of unrelated requests found fatal.
fn count_false_positives(
    faults: &[FaultKind],
    endpoints: usize,
    sends: u32,
    prefers_restarted: bool,
) -> usize {
    let found = (0..6).flat_map(|seed| simulate(seed, endpoints, sends, prefers_restarted, faults));
    found.filter(|number| *number >= 1_000).count()
}

#[test]
fn no_unrelated_request_is_found_fatal_over_random_histories() {
    let histories: [&[FaultKind]; 7] = [
        &[FaultKind::SingleCrashes(1_000)],
        &[FaultKind::SingleCrashes(100)],
        &[FaultKind::GroupCrashes(0.3)],
        &[FaultKind::GroupCrashes(0.15), FaultKind::SingleCrashes(300)],
        &[FaultKind::SameAddress, FaultKind::SingleCrashes(2_000)],
        &[FaultKind::FatalRequests(1), FaultKind::SingleCrashes(1_000)],
        &[FaultKind::FatalRequests(3), FaultKind::GroupCrashes(0.1)],
    ];
    for faults in histories {
        for (endpoints, sends, prefers_restarted) in
            [(18, 4, false), (18, 4, true), (100, 4, true), (4, 3, true)]
        {
            let found = count_false_positives(faults, endpoints, sends, prefers_restarted);
            assert_eq!(
                found, 0,
                "{faults:?}, {endpoints} endpoints, {sends} sends, prefers_restarted: {prefers_restarted}"
            );
        }
    }
}

#[test]
fn fatal_requests_are_found_also_where_endpoints_crash_for_other_reasons() {
    for faults in [
        &[FaultKind::FatalRequests(1)][..],
        &[FaultKind::FatalRequests(3), FaultKind::SingleCrashes(1_000)],
        &[FaultKind::FatalRequests(1), FaultKind::GroupCrashes(0.1)],
    ] {
        for seed in 0..6 {
            let found = simulate(seed, 18, 4, true, faults);
            let count = faults.iter().find_map(|fault| match fault {
                FaultKind::FatalRequests(count) => Some(*count),
                _ => None,
            });
            let fatal = found.iter().filter(|number| **number < 1_000).count() as u64;
            assert_eq!(Some(fatal), count, "{faults:?}, seed {seed}");
        }
    }
}
