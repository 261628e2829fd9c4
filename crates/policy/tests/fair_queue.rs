//! Shares, debts and idleness of the fair queue.

use spanfold_entity::Moment;
use spanfold_kernel::AccountIndex;
use spanfold_policy::FairQueue;

const LARGE: AccountIndex = AccountIndex(0);
const SMALL: AccountIndex = AccountIndex(1);

/// Takes `count` items in fair order, each at a cost of 10; returns how many were the large one's.
fn take(queue: &mut FairQueue<u64>, count: usize) -> usize {
    (0..count)
        .filter(|_| {
            let account = queue.order()[0];
            queue.take(account, 0, 10.0);
            account == LARGE
        })
        .count()
}

#[test]
fn accounts_that_wait_are_served_by_weight() {
    let mut queue = FairQueue::default();
    for item in 0..100 {
        queue.push(LARGE, 0.75, 0, Moment(item), item);
        queue.push(SMALL, 0.25, 0, Moment(item), item);
    }
    assert_eq!(take(&mut queue, 80), 60);
}

#[test]
fn an_idle_account_that_owes_goes_on_owing() {
    let mut queue = FairQueue::default();
    queue.push(LARGE, 0.5, 0, Moment(0), 0);
    queue.take(LARGE, 0, 1_000.0);
    // A crowd of idle accounts must not make it forgotten.
    for other in 2..500 {
        queue.push(AccountIndex(other), 0.5, 0, Moment(0), 0);
        queue.take(AccountIndex(other), 0, 1.0);
    }
    queue.push(LARGE, 0.5, 0, Moment(1), 1);
    queue.push(SMALL, 0.5, 0, Moment(2), 2);
    assert_eq!(queue.order(), [SMALL, LARGE]);
}

#[test]
fn idle_time_is_not_saved_up() {
    let mut queue = FairQueue::default();
    for item in 0..50 {
        queue.push(LARGE, 0.5, 0, Moment(item), item);
    }
    take(&mut queue, 40);
    for item in 0..50 {
        queue.push(SMALL, 0.5, 0, Moment(item), item);
    }
    // The newcomer is served next, and then in turn, not until it has caught up.
    assert!((9..=11).contains(&take(&mut queue, 20)));
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
