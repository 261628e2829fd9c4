//! Shares, charges and idle accounts of the fair queue.

use spanfold_entity::Moment;
use spanfold_kernel::AccountIndex;
use spanfold_policy::FairQueue;

const LARGE: AccountIndex = AccountIndex(0);
const SMALL: AccountIndex = AccountIndex(1);

/// Takes `count` items in fair order at a cost of 10 each; returns how many belong to `LARGE`.
fn take_fairly(queue: &mut FairQueue<u64>, count: usize) -> usize {
    (0..count)
        .filter(|_| {
            let account = queue.fair_order()[0];
            queue.take(account, 0, 10.0);
            account == LARGE
        })
        .count()
}

#[test]
fn waiting_accounts_are_served_by_weight() {
    let mut queue = FairQueue::default();
    for item in 0..100 {
        queue.push(LARGE, 0.75, 0, Moment(item), item);
        queue.push(SMALL, 0.25, 0, Moment(item), item);
    }
    assert_eq!(take_fairly(&mut queue, 80), 60);
}

#[test]
fn an_idle_account_keeps_its_charge() {
    let mut queue = FairQueue::default();
    queue.push(LARGE, 0.5, 0, Moment(0), 0);
    queue.take(LARGE, 0, 1_000.0);
    // Many idle accounts must not evict the record of this charge.
    for other in 2..500 {
        queue.push(AccountIndex(other), 0.5, 0, Moment(0), 0);
        queue.take(AccountIndex(other), 0, 1.0);
    }
    queue.push(LARGE, 0.5, 0, Moment(1), 1);
    queue.push(SMALL, 0.5, 0, Moment(2), 2);
    assert_eq!(queue.fair_order(), [SMALL, LARGE]);
}

#[test]
fn idle_time_gives_no_credit() {
    let mut queue = FairQueue::default();
    for item in 0..50 {
        queue.push(LARGE, 0.5, 0, Moment(item), item);
    }
    take_fairly(&mut queue, 40);
    for item in 0..50 {
        queue.push(SMALL, 0.5, 0, Moment(item), item);
    }
    // The new account is served next and then alternates, instead of catching up on its idle time.
    assert!((9..=11).contains(&take_fairly(&mut queue, 20)));
}

#[test]
fn within_an_account_priority_and_deadline_decide() {
    let mut queue = FairQueue::default();
    queue.push(LARGE, 1.0, 0, Moment(5), 1);
    queue.push(LARGE, 1.0, 0, Moment(3), 2);
    queue.push(LARGE, 1.0, 4, Moment(9), 3);
    assert_eq!(queue.items(LARGE).copied().collect::<Vec<_>>(), [3, 2, 1]);
    assert_eq!(queue.remove_if(|item| *item == 2), [2]);
    assert_eq!(queue.len(), 2);
}
