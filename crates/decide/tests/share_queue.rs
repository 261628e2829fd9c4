//! A service whose endpoints all take few requests: who is served, who is refused at once, and when those return.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanfold_decide::{QueueOrder, ShareCapacity, ShareQueue, ShareVerdict};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

const SERVICE: &str = "llm";
const OBJECTIVE_MILLIS: u64 = 500;

fn at(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

fn order(number: u64, rank: u8, account: &str, millis: u64) -> QueueOrder {
    QueueOrder {
        number,
        rank,
        account: account.to_owned(),
        received: at(millis),
        objective_millis: OBJECTIVE_MILLIS,
    }
}

/// Endpoints that take so many requests a second from this VM, the next one at so many milliseconds.
fn outlook(own_per_s: f64, next_millis: u64) -> ShareCapacity {
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
    let soon = queue.admit(SERVICE, &order(1, 1, "a", 0), &outlook(2.0, 240), at(0));
    assert_eq!(soon, ShareVerdict::Wait(at(240)));
    // The next turn after that is half a second later.
    let second = queue.admit(SERVICE, &order(2, 1, "a", 1), &outlook(2.0, 240), at(1));
    assert!(matches!(second, ShareVerdict::Refuse(_)), "{second:?}");
    assert_eq!(queue.waiting(), 1);
    let no_part = ShareCapacity { next_at: None, own_per_s: 0.0, ..outlook(2.0, 0) };
    assert!(matches!(queue.admit(SERVICE, &order(3, 0, "a", 2), &no_part, at(2)), ShareVerdict::Refuse(_)));
}

#[test]
fn the_highest_rank_goes_first_then_the_account_served_least_then_the_first_to_come() {
    let mut queue = ShareQueue::default();
    queue.record_served(SERVICE, &order(1, 1, "busy", 0), at(0));
    for (number, rank, account) in [(2, 1, "busy"), (3, 1, "quiet"), (4, 1, "quiet"), (5, 0, "busy")] {
        let verdict =
            queue.admit(SERVICE, &order(number, rank, account, number), &outlook(100.0, 50), at(10));
        assert!(matches!(verdict, ShareVerdict::Wait(_)), "{number}: {verdict:?}");
    }
    let mut turns = Vec::new();
    let mut left = vec![(2, 1, "busy"), (3, 1, "quiet"), (4, 1, "quiet"), (5, 0, "busy")];
    while !left.is_empty() {
        let now = at(60);
        let place = left.iter().position(|(number, rank, account)| {
            queue.is_next_in_queue(SERVICE, &order(*number, *rank, account, *number), now)
        });
        let (number, rank, account) = left.remove(place.expect("one of them has its turn"));
        queue.record_served(SERVICE, &order(number, rank, account, number), now);
        turns.push(number);
    }
    // The quiet account's second one is behind nobody: the busy one has been served twice by then.
    assert_eq!(turns, [5, 3, 4, 2]);
}

#[test]
fn one_that_cannot_go_yet_keeps_nobody_back() {
    let mut queue = ShareQueue::default();
    // Its own endpoints take it only later: it may go to others than the next request may.
    let waits = queue.admit(SERVICE, &order(1, 0, "a", 0), &outlook(2.0, 200), at(0));
    assert_eq!(waits, ShareVerdict::Wait(at(200)));
    assert!(queue.is_next_in_queue(SERVICE, &order(2, 1, "b", 10), at(10)));
    assert!(!queue.is_next_in_queue(SERVICE, &order(2, 1, "b", 10), at(200)));
    queue.leave(SERVICE, 1);
    assert!(queue.is_next_in_queue(SERVICE, &order(2, 1, "b", 10), at(200)));
}

/// A request that had waited went to an endpoint whose limit ended, and stayed in the queue for as long as it ran there.
#[test]
fn one_that_has_gone_elsewhere_keeps_nobody_back() {
    let mut queue = ShareQueue::default();
    let waits = queue.admit(SERVICE, &order(1, 0, "a", 0), &outlook(2.0, 100), at(0));
    assert_eq!(waits, ShareVerdict::Wait(at(100)));
    assert!(!queue.is_next_in_queue(SERVICE, &order(2, 1, "b", 120), at(120)));
    assert!(queue.is_next_in_queue(SERVICE, &order(2, 1, "b", 120), at(300)));
}

#[test]
fn those_that_are_refused_together_return_one_after_the_other() {
    let mut queue = ShareQueue::default();
    let outlook =
        ShareCapacity { next_at: None, own_per_s: 0.0, all_per_s: 18.0, vms: 9, backoff_until: None };
    let backs: Vec<_> = (0..400)
        .map(|number| match queue.admit(SERVICE, &order(number, 1, "a", 0), &outlook, at(0)) {
            ShareVerdict::Refuse(return_delay_millis) => return_delay_millis,
            ShareVerdict::Wait(_) => panic!("there is no turn to wait for"),
        })
        .collect();
    assert_eq!(backs[..3], [500, 1_000, 1_500]);
    assert_eq!(backs.last(), Some(&60_000));
    // What was told counts down.
    let later = queue.admit(SERVICE, &order(400, 1, "a", 70_000), &outlook, at(70_000));
    assert_eq!(later, ShareVerdict::Refuse(500));
}

/// What became of one account's requests.
#[derive(Debug, Default)]
struct Tally {
    sent: u32,
    served: u32,
    longest_millis: u64,
}

/// Plays a minute at one VM: endpoints take `per_s` from it, one after the other; `accounts` send so many a second, and look
/// again each 20 ms while they wait.
fn play(per_s: f64, accounts: &[(&'static str, u8, f64)]) -> BTreeMap<&'static str, Tally> {
    let mut random = SmallRng::seed_from_u64(11);
    let (mut queue, mut tallies) = (ShareQueue::default(), BTreeMap::<_, Tally>::new());
    let (mut waiting, mut next_at, mut number) = (Vec::<(&'static str, QueueOrder)>::new(), at(0), 0);
    for step in 0..6_000 {
        let now = at(step * 10);
        for &(account, rank, rate) in accounts {
            if random.random_bool(rate / 100.0) {
                number += 1;
                tallies.entry(account).or_default().sent += 1;
                waiting.push((account, order(number, rank, account, step * 10)));
            }
        }
        waiting.retain(|(account, order)| {
            let tally = tallies.entry(account).or_default();
            if now >= next_at && queue.is_next_in_queue(SERVICE, order, now) {
                queue.record_served(SERVICE, order, now);
                next_at = now.after_micros((1e6 / per_s) as u64);
                tally.served += 1;
                return false;
            }
            let outlook = ShareCapacity {
                next_at: Some(next_at),
                own_per_s: per_s,
                all_per_s: per_s,
                vms: 1,
                backoff_until: None,
            };
            let stays = matches!(queue.admit(SERVICE, order, &outlook, now), ShareVerdict::Wait(_));
            tally.longest_millis = tally.longest_millis.max(now.micros_since(order.received) / 1_000);
            stays
        });
    }
    tallies
}

#[test]
fn under_three_times_what_they_take_all_is_used_and_nobody_waits_in_vain() {
    let tallies = play(10.0, &[("a", 1, 15.0), ("b", 1, 15.0)]);
    let served: u32 = tallies.values().map(|tally| tally.served).sum();
    assert!((540..=601).contains(&served), "{tallies:?}");
    // Half of the objective, and the step in which it ends.
    assert!(tallies.values().all(|tally| tally.longest_millis <= 260), "{tallies:?}");
}

#[test]
fn a_small_account_is_served_beside_one_that_asks_for_all() {
    let tallies = play(10.0, &[("large", 1, 60.0), ("small", 1, 3.0)]);
    let part = |account| f64::from(tallies[account].served) / f64::from(tallies[account].sent);
    assert!(part("small") > 0.8, "{tallies:?}");
    assert!(tallies["large"].served > 300, "{tallies:?}");
}

#[test]
fn the_higher_rank_is_served_before_the_lower_one() {
    let tallies = play(10.0, &[("urgent", 0, 8.0), ("other", 1, 30.0)]);
    let part = |account| f64::from(tallies[account].served) / f64::from(tallies[account].sent);
    assert!(part("urgent") > 0.8 && part("other") < 0.2, "{tallies:?}");
}
