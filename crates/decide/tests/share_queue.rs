//! Queue of a service whose endpoints all accept few requests: who is served, who is refused at once, and
//! when refused requests may return.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanfold_decide::{QueueEntry, ShareCapacity, ShareQueue, ShareVerdict};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

const SERVICE: &str = "llm";
const OBJECTIVE_MILLIS: u64 = 500;

fn at(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

fn queue_entry(number: u64, priority: u8, account: &str, millis: u64) -> QueueEntry {
    QueueEntry {
        number,
        priority,
        account: account.to_owned(),
        received_at: at(millis),
        objective_millis: OBJECTIVE_MILLIS,
    }
}

/// Endpoints that accept `own_per_s` requests per second from this VM, the next one at `next_millis`.
fn capacity(own_per_s: f64, next_millis: u64) -> ShareCapacity {
    ShareCapacity {
        next_at: Some(at(next_millis)),
        own_per_s,
        all_per_s: own_per_s * 9.0,
        vms: 9,
        backoff_until: None,
    }
}

#[test]
fn a_request_waits_while_it_can_be_in_time_and_is_refused_at_once_otherwise() {
    let mut queue = ShareQueue::default();
    let first = queue.admit(SERVICE, &queue_entry(1, 1, "a", 0), &capacity(2.0, 240), at(0));
    assert_eq!(first, ShareVerdict::Wait(at(240)));
    // The next request after it would go half a second later.
    let second = queue.admit(SERVICE, &queue_entry(2, 1, "a", 1), &capacity(2.0, 240), at(1));
    assert!(matches!(second, ShareVerdict::Refuse(_)), "{second:?}");
    assert_eq!(queue.waiting(), 1);
    let no_share = ShareCapacity { next_at: None, own_per_s: 0.0, ..capacity(2.0, 0) };
    assert!(matches!(
        queue.admit(SERVICE, &queue_entry(3, 0, "a", 2), &no_share, at(2)),
        ShareVerdict::Refuse(_)
    ));
}

#[test]
fn requests_go_by_priority_then_by_least_served_account_then_by_arrival() {
    let mut queue = ShareQueue::default();
    queue.record_served(SERVICE, &queue_entry(1, 1, "busy", 0), at(0));
    for (number, priority, account) in [(2, 1, "busy"), (3, 1, "quiet"), (4, 1, "quiet"), (5, 0, "busy")] {
        let verdict = queue.admit(
            SERVICE,
            &queue_entry(number, priority, account, number),
            &capacity(100.0, 50),
            at(10),
        );
        assert!(matches!(verdict, ShareVerdict::Wait(_)), "{number}: {verdict:?}");
    }
    let mut served = Vec::new();
    let mut waiting = vec![(2, 1, "busy"), (3, 1, "quiet"), (4, 1, "quiet"), (5, 0, "busy")];
    while !waiting.is_empty() {
        let now = at(60);
        let position = waiting.iter().position(|(number, priority, account)| {
            queue.is_next_in_queue(SERVICE, &queue_entry(*number, *priority, account, *number), now)
        });
        let (number, priority, account) = waiting.remove(position.expect("one of them is next in the queue"));
        queue.record_served(SERVICE, &queue_entry(number, priority, account, number), now);
        served.push(number);
    }
    // The quiet account's second request goes before the busy account's, which has been served twice by then.
    assert_eq!(served, [5, 3, 4, 2]);
}

#[test]
fn a_request_that_cannot_go_yet_delays_no_other() {
    let mut queue = ShareQueue::default();
    // Its endpoints accept it only later: it may be limited to other endpoints than the next request.
    let verdict = queue.admit(SERVICE, &queue_entry(1, 0, "a", 0), &capacity(2.0, 200), at(0));
    assert_eq!(verdict, ShareVerdict::Wait(at(200)));
    assert!(queue.is_next_in_queue(SERVICE, &queue_entry(2, 1, "b", 10), at(10)));
    assert!(!queue.is_next_in_queue(SERVICE, &queue_entry(2, 1, "b", 10), at(200)));
    queue.remove(SERVICE, 1);
    assert!(queue.is_next_in_queue(SERVICE, &queue_entry(2, 1, "b", 10), at(200)));
}

/// A waiting request can go to an endpoint whose limit ended. It must not stay in the queue for as long as it
/// runs there.
#[test]
fn a_request_that_has_gone_elsewhere_delays_no_other() {
    let mut queue = ShareQueue::default();
    let verdict = queue.admit(SERVICE, &queue_entry(1, 0, "a", 0), &capacity(2.0, 100), at(0));
    assert_eq!(verdict, ShareVerdict::Wait(at(100)));
    assert!(!queue.is_next_in_queue(SERVICE, &queue_entry(2, 1, "b", 120), at(120)));
    assert!(queue.is_next_in_queue(SERVICE, &queue_entry(2, 1, "b", 120), at(300)));
}

#[test]
fn requests_refused_together_return_one_after_the_other() {
    let mut queue = ShareQueue::default();
    let capacity =
        ShareCapacity { next_at: None, own_per_s: 0.0, all_per_s: 18.0, vms: 9, backoff_until: None };
    let return_delays: Vec<_> = (0..400)
        .map(|number| match queue.admit(SERVICE, &queue_entry(number, 1, "a", 0), &capacity, at(0)) {
            ShareVerdict::Refuse(return_delay_millis) => return_delay_millis,
            ShareVerdict::Wait(_) => panic!("no endpoint will accept a request"),
        })
        .collect();
    assert_eq!(return_delays[..3], [500, 1_000, 1_500]);
    assert_eq!(return_delays.last(), Some(&60_000));
    // The return times given out before have passed.
    let later = queue.admit(SERVICE, &queue_entry(400, 1, "a", 70_000), &capacity, at(70_000));
    assert_eq!(later, ShareVerdict::Refuse(500));
}

/// Results of one account's requests.
#[derive(Debug, Default)]
struct AccountTotals {
    sent: u32,
    served: u32,
    longest_millis: u64,
}

/// Simulates a minute at one VM. Its endpoints accept `per_s` requests a second, one after the other; each
/// account sends at its rate, and its waiting requests poll at each step of 10 ms.
fn simulate(per_s: f64, accounts: &[(&'static str, u8, f64)]) -> BTreeMap<&'static str, AccountTotals> {
    let mut random = SmallRng::seed_from_u64(11);
    let (mut queue, mut totals_by_account) = (ShareQueue::default(), BTreeMap::<_, AccountTotals>::new());
    let (mut waiting, mut next_at, mut number) = (Vec::<(&'static str, QueueEntry)>::new(), at(0), 0);
    for step in 0..6_000 {
        let now = at(step * 10);
        for &(account, priority, rate) in accounts {
            if random.random_bool(rate / 100.0) {
                number += 1;
                totals_by_account.entry(account).or_default().sent += 1;
                waiting.push((account, queue_entry(number, priority, account, step * 10)));
            }
        }
        waiting.retain(|(account, entry)| {
            let totals = totals_by_account.entry(account).or_default();
            if now >= next_at && queue.is_next_in_queue(SERVICE, entry, now) {
                queue.record_served(SERVICE, entry, now);
                next_at = now.after_micros((1e6 / per_s) as u64);
                totals.served += 1;
                return false;
            }
            let capacity = ShareCapacity {
                next_at: Some(next_at),
                own_per_s: per_s,
                all_per_s: per_s,
                vms: 1,
                backoff_until: None,
            };
            let is_waiting = matches!(queue.admit(SERVICE, entry, &capacity, now), ShareVerdict::Wait(_));
            totals.longest_millis = totals.longest_millis.max(now.micros_since(entry.received_at) / 1_000);
            is_waiting
        });
    }
    totals_by_account
}

#[test]
fn at_three_times_the_capacity_all_of_it_is_used_and_no_request_waits_in_vain() {
    let totals_by_account = simulate(10.0, &[("a", 1, 15.0), ("b", 1, 15.0)]);
    let served: u32 = totals_by_account.values().map(|totals| totals.served).sum();
    assert!((540..=601).contains(&served), "{totals_by_account:?}");
    // Half of the objective, and the step in which it passes.
    assert!(totals_by_account.values().all(|totals| totals.longest_millis <= 260), "{totals_by_account:?}");
}

#[test]
fn a_small_account_is_served_beside_one_that_requests_all_capacity() {
    let totals_by_account = simulate(10.0, &[("large", 1, 60.0), ("small", 1, 3.0)]);
    let served_fraction =
        |account| f64::from(totals_by_account[account].served) / f64::from(totals_by_account[account].sent);
    assert!(served_fraction("small") > 0.8, "{totals_by_account:?}");
    assert!(totals_by_account["large"].served > 300, "{totals_by_account:?}");
}

#[test]
fn the_higher_priority_is_served_before_the_lower_one() {
    let totals_by_account = simulate(10.0, &[("urgent", 0, 8.0), ("other", 1, 30.0)]);
    let served_fraction =
        |account| f64::from(totals_by_account[account].served) / f64::from(totals_by_account[account].sent);
    assert!(served_fraction("urgent") > 0.8 && served_fraction("other") < 0.2, "{totals_by_account:?}");
}
