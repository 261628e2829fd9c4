//! Which requests are found fatal, over histories of endpoints that end.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use spanfold_decide::{
    CrashHistory, CrashReport, EndpointCrash, EndpointKey, IdentityKey, RequestIdentity, RequestKey,
};
use spanfold_entity::Moment;

const MILLI: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLI;

fn request(number: u64) -> RequestKey {
    let body = number.to_le_bytes();
    let identity = RequestIdentity { account: "a", method: "POST", host: "h", path: "/p", body: &body };
    IdentityKey::derive(&[1; 32]).of(&identity)
}

/// The end of the `start`th endpoint that ever ran, at a place of its own among 18.
fn ending(start: u64, at: u64) -> EndpointCrash {
    let start = EndpointKey(start);
    EndpointCrash { start, place: start.0 + 1_000, service: 7, among: 18, at: Moment(at) }
}

fn report(number: u64, ending: EndpointCrash, age_millis: u64) -> CrashReport {
    CrashReport { request: request(number), ending, age_micros: age_millis * MILLI }
}

fn is_fatal(ledger: &CrashHistory, number: u64) -> bool {
    ledger.verdict(request(number)).is_fatal()
}

#[test]
fn three_ends_soon_after_the_begin_are_enough_in_a_quiet_fleet() {
    let mut ledger = CrashHistory::default();
    for start in 0..3 {
        assert!(!is_fatal(&ledger, 1));
        ledger.take(&report(1, ending(start, 2 * start * SECOND), 300));
    }
    assert!(is_fatal(&ledger, 1));
}

#[test]
fn the_same_end_told_twice_counts_once() {
    let mut ledger = CrashHistory::default();
    let told = report(1, ending(1, SECOND), 50);
    assert!(ledger.take(&told));
    assert!(!ledger.take(&told));
    assert_eq!(ledger.crashes_of(request(1)), 1);
}

#[test]
fn a_new_start_of_the_same_endpoint_is_another_end() {
    let mut ledger = CrashHistory::default();
    for born in 0..3 {
        let mut ending = ending(1, born * 4 * SECOND);
        ending.start = EndpointKey::of_start("i-1", Some(born));
        ledger.take(&report(1, ending, 60));
    }
    assert_eq!(ledger.crashes_of(request(1)), 3);
}

#[test]
fn a_service_of_one_endpoint_is_protected_within_three_more_ends() {
    let mut ledger = CrashHistory::default();
    for born in 0..6 {
        let mut ending = EndpointCrash { among: 1, ..ending(1, born * 4 * SECOND) };
        ending.start = EndpointKey::of_start("i-1", Some(born));
        ledger.take(&report(1, ending, 150));
    }
    assert!(is_fatal(&ledger, 1));
}

#[test]
fn a_request_that_an_endpoint_ran_to_its_end_is_cleared_also_of_ends_told_later() {
    let mut ledger = CrashHistory::default();
    for start in 0..2 {
        ledger.take(&report(1, ending(start, start * SECOND), 50));
    }
    assert!(ledger.clear(request(1), Moment(3 * SECOND)));
    assert!(!ledger.take(&report(1, ending(2, 2 * SECOND), 50)));
    ledger.take(&report(1, ending(3, 4 * SECOND), 50));
    assert_eq!(ledger.crashes_of(request(1)), 1);
}

#[test]
fn others_that_ran_there_are_not_blamed() {
    // Six others are sent on together with the fatal request, twice; then it goes alone.
    let mut ledger = CrashHistory::default();
    for start in 0..2 {
        for number in 1..8 {
            ledger.take(&report(number, ending(start, start * SECOND), 60));
        }
    }
    ledger.take(&report(1, ending(2, 2 * SECOND), 60));
    assert!(is_fatal(&ledger, 1));
    assert!((2..8).all(|number| !is_fatal(&ledger, number)));
}

#[test]
fn requests_that_were_at_the_same_ends_wait_for_a_fourth() {
    let mut ledger = CrashHistory::default();
    for start in 0..3 {
        ledger.take(&report(1, ending(start, start * SECOND), 60));
        ledger.take(&report(2, ending(start, start * SECOND), 70));
    }
    assert!(!is_fatal(&ledger, 1) && !is_fatal(&ledger, 2));
    ledger.take(&report(2, ending(3, 4 * SECOND), 70));
    assert!(!is_fatal(&ledger, 1) && is_fatal(&ledger, 2));
}

#[test]
fn where_endpoints_fall_over_by_themselves_three_ends_are_not_enough() {
    let mut ledger = CrashHistory::default();
    for start in 100..130 {
        ledger.record_crash(ending(start, (start - 100) * 300 * MILLI));
    }
    for start in 0..3 {
        ledger.take(&report(1, ending(start, start * 3 * SECOND), 300));
    }
    assert!(!is_fatal(&ledger, 1));
}

#[test]
fn an_endpoint_that_falls_over_again_and_again_blames_nobody() {
    // Its place is the same each time, and it takes others with it too.
    let mut ledger = CrashHistory::default();
    let at_place = |start: u64| EndpointCrash { place: 5, among: 5_500, ..ending(start, start * SECOND) };
    for start in 0..30 {
        ledger.take(&report(start % 5, at_place(start), 200));
    }
    assert!((0..5).all(|number| !is_fatal(&ledger, number)));
}

#[test]
fn a_flood_of_first_ends_keeps_what_is_known_of_others() {
    let mut ledger = CrashHistory::default();
    for start in 0..2 {
        ledger.take(&report(0, ending(start, start * SECOND), 60));
    }
    for number in 1..20_000 {
        ledger.take(&report(number, ending(100 + number / 20, 100 * SECOND + number), 60));
    }
    ledger.take(&report(0, ending(90, 400 * SECOND), 60));
    assert!(is_fatal(&ledger, 0));
    assert!(ledger.reports().len() <= 2_048);
}

#[test]
fn evidence_is_forgotten_in_time() {
    let mut ledger = CrashHistory::default();
    ledger.take(&report(1, ending(0, 0), 60));
    ledger.sweep(Moment(899 * SECOND));
    assert_eq!(ledger.crashes_of(request(1)), 1);
    ledger.sweep(Moment(900 * SECOND));
    assert!(ledger.is_empty());
}

/// What goes wrong in a history.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// Endpoints end by themselves, one after the other, each pause so many milliseconds long.
    Series(u64),
    /// This part of them ends at once, each second.
    Groups(f64),
    /// One place falls over again as soon as it is back.
    Place,
    /// So many requests are fatal and come again each second.
    Fatal(u64),
}

/// One request of a history that runs at an endpoint.
#[derive(Clone, Copy)]
struct HistoryRun {
    number: u64,
    begun: u64,
    ends: u64,
    sends: u32,
}

/// Plays endpoints and requests of which each is sent up to `sends` times, the endpoints chosen at random or, if
/// `follows`, the one that came back last half of the time, as new ones look idle. Gives which were found fatal.
fn play(seed: u64, endpoints: usize, sends: u32, follows: bool, troubles: &[Trouble]) -> Vec<u64> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut ledger = CrashHistory::default();
    let mut runs: Vec<Vec<HistoryRun>> = vec![Vec::new(); endpoints];
    let mut starts: Vec<u64> = (0..endpoints as u64).collect();
    let (mut next_start, mut next_request) = (endpoints as u64, 1_000_u64);
    let (mut found, mut last_back) = (Vec::new(), 0);
    // The fleet's endpoints have some ten requests each.
    let per_step = endpoints as f64 * 10.0 / 100.0;
    for step in 0..6_000_u64 {
        let now = step * 10 * MILLI;
        let mut arriving: Vec<HistoryRun> = Vec::new();
        for _ in 0..(per_step + random.random::<f64>()) as u64 {
            next_request += 1;
            let ends = now + random.random_range(20..2_000) * MILLI;
            arriving.push(HistoryRun { number: next_request, begun: now, ends, sends: 1 });
        }
        for trouble in troubles {
            if let Trouble::Fatal(count) = trouble
                && step % 100 == 0
            {
                arriving.extend((0..*count).map(|number| HistoryRun {
                    number,
                    begun: now,
                    ends: now + 60 * MILLI,
                    sends,
                }));
            }
        }
        let mut ending: Vec<usize> = Vec::new();
        for trouble in troubles {
            match *trouble {
                Trouble::Series(pause) if now.is_multiple_of(pause * MILLI) => {
                    ending.push(random.random_range(0..endpoints));
                }
                Trouble::Groups(part) if step % 100 == 50 => {
                    ending.extend((0..endpoints).filter(|_| random.random::<f64>() < part));
                }
                Trouble::Place if step % 37 == 0 => ending.push(0),
                _ => {}
            }
        }
        for (place, running) in runs.iter_mut().enumerate() {
            let is_killed = running.iter().any(|run| run.number < 1_000 && run.ends <= now);
            if is_killed && !ending.contains(&place) {
                ending.push(place);
            }
            for run in running.iter().filter(|run| run.number >= 1_000 && run.ends <= now) {
                ledger.clear(request(run.number), Moment(now));
            }
            running.retain(|run| run.number < 1_000 || run.ends > now);
        }
        let mut ended = Vec::new();
        for place in ending {
            let start = EndpointKey(starts[place]);
            let (at, among) = (Moment(now), endpoints as u32);
            let end = EndpointCrash { start, place: place as u64, service: 1, among, at };
            ledger.record_crash(end);
            for run in std::mem::take(&mut runs[place]) {
                let age_micros = now - run.begun;
                ledger.take(&CrashReport { request: request(run.number), ending: end, age_micros });
                ended.push(run);
            }
            starts[place] = next_start;
            next_start += 1;
            last_back = place;
        }
        // All that was there has been reported before any of it is judged.
        for run in ended {
            if ledger.verdict(request(run.number)).is_fatal() && !found.contains(&run.number) {
                ledger.explain(request(run.number));
                found.push(run.number);
            } else if run.sends < sends {
                let lasts = run.ends - run.begun;
                arriving.push(HistoryRun { begun: now, ends: now + lasts, sends: run.sends + 1, ..run });
            }
        }
        let places: Vec<usize> = (0..endpoints).collect();
        for run in arriving {
            if found.contains(&run.number) {
                continue;
            }
            let place =
                if follows && random.random() { last_back } else { *places.choose(&mut random).unwrap() };
            runs[place].push(run);
        }
    }
    found
}

/// Plays a minute with each of some troubles, over several seeds; gives the innocent requests found fatal, and those tried.
fn innocents_found(troubles: &[Trouble], endpoints: usize, sends: u32, follows: bool) -> usize {
    let found = (0..6).flat_map(|seed| play(seed, endpoints, sends, follows, troubles));
    found.filter(|number| *number >= 1_000).count()
}

#[test]
fn no_innocent_request_is_found_fatal_over_random_histories() {
    let histories: [&[Trouble]; 7] = [
        &[Trouble::Series(1_000)],
        &[Trouble::Series(100)],
        &[Trouble::Groups(0.3)],
        &[Trouble::Groups(0.15), Trouble::Series(300)],
        &[Trouble::Place, Trouble::Series(2_000)],
        &[Trouble::Fatal(1), Trouble::Series(1_000)],
        &[Trouble::Fatal(3), Trouble::Groups(0.1)],
    ];
    for troubles in histories {
        for (endpoints, sends, follows) in [(18, 4, false), (18, 4, true), (100, 4, true), (4, 3, true)] {
            let found = innocents_found(troubles, endpoints, sends, follows);
            assert_eq!(found, 0, "{troubles:?}, {endpoints} endpoints, {sends} sends, follows: {follows}");
        }
    }
}

#[test]
fn fatal_requests_are_found_also_where_endpoints_end_for_other_reasons() {
    for troubles in [
        &[Trouble::Fatal(1)][..],
        &[Trouble::Fatal(3), Trouble::Series(1_000)],
        &[Trouble::Fatal(1), Trouble::Groups(0.1)],
    ] {
        for seed in 0..6 {
            let found = play(seed, 18, 4, true, troubles);
            let count = troubles.iter().find_map(|trouble| match trouble {
                Trouble::Fatal(count) => Some(*count),
                _ => None,
            });
            let fatal = found.iter().filter(|number| **number < 1_000).count() as u64;
            assert_eq!(Some(fatal), count, "{troubles:?}, seed {seed}");
        }
    }
}
