//! Which VM of a data centre polls the store for changes, and when the next one takes over.
//!
//! Pattern: turns instead of an election. A VM polls once no poll has confirmed its state for a time that grows
//! with its turn; the first VM's time is zero. A VM that takes over makes a short call first: its result
//! reaches the others before the next turn comes. One whose call failed waits until the others had their turns,
//! so that calls in an outage grow with its length and not with the number of VMs.
//!
//! Invariant: while any VM of the data centre gets answers from the store, one polls; one that gets none leaves
//! the polls to it.

use spanfold_entity::Moment;

/// Without a confirmation for this long, in milliseconds, the VM behind the first one polls the store itself: a
/// poll, the delay after it, and the time of a lost datagram.
const FALLBACK_DELAY_MILLIS: u64 = 1_300;
/// Further delay for each turn, in milliseconds. A short call and the propagation of its result take less.
const TURN_DELAY_MILLIS: u64 = 60;
/// Longest delay after a failed call, in milliseconds, while other VMs have their turns. The first VM calls
/// again after it although another one polls.
const RETURN_DELAY_MILLIS: u64 = 3_000;
/// Delay after the first failed call, in milliseconds; doubled with each further one.
const FIRST_RETRY_DELAY_MILLIS: u64 = 100;
/// Longest delay after failed calls, in milliseconds.
const MAX_RETRY_DELAY_MILLIS: u64 = 800;
/// Exponent of the longest delay.
const MAX_DOUBLINGS: u32 = 4;

/// A VM's duty to poll the store.
///
/// # Examples
/// ```
/// use spanfold_entity::Moment;
/// use spanfold_decide::PollDuty;
/// let mut duty = PollDuty::default();
/// duty.record_confirmation(Moment(0).after_millis(5_000));
/// assert_eq!(duty.next_poll_at(0, 9), Moment(0));
/// assert_eq!(duty.next_poll_at(2, 9), Moment(0).after_millis(5_000 + 1_300 + 120));
/// assert!(duty.begin() && duty.next_poll_at(2, 9) == Moment(0));
/// ```
#[derive(Debug, Default)]
pub struct PollDuty {
    confirmed_at: Moment,
    backoff_until: Moment,
    failed_at: Moment,
    failures: u32,
    is_polling: bool,
}

impl PollDuty {
    /// Whether this VM polls the store for its data centre.
    pub const fn is_polling(&self) -> bool {
        self.is_polling
    }

    /// Returns the number of failed calls since the last answer.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns when the store last confirmed this VM's state, directly or through another VM.
    pub const fn confirmed_at(&self) -> Moment {
        self.confirmed_at
    }

    /// Returns until when no call is made.
    pub const fn backoff_until(&self) -> Moment {
        self.backoff_until
    }

    /// Returns when this VM polls the store for its data centre of `vm_count` VMs, if its turn is `turn`.
    pub fn next_poll_at(&self, turn: usize, vm_count: usize) -> Moment {
        let is_first = turn == 0;
        if self.failures == 0 {
            return if is_first || self.is_polling { Moment(0) } else { self.fallback_at(turn) };
        }
        if !is_first {
            let round_millis = TURN_DELAY_MILLIS * vm_count as u64;
            let delay_millis = round_millis.clamp(MAX_RETRY_DELAY_MILLIS, RETURN_DELAY_MILLIS);
            return self.fallback_at(turn).max(self.failed_at.after_millis(delay_millis));
        }
        let is_replaced = self.confirmed_at > self.failed_at;
        let return_at = self.failed_at.after_millis(RETURN_DELAY_MILLIS).min(self.fallback_at(turn));
        if is_replaced { return_at } else { Moment(0) }
    }

    /// Returns when its turn comes.
    fn fallback_at(&self, turn: usize) -> Moment {
        self.confirmed_at.after_millis(FALLBACK_DELAY_MILLIS + TURN_DELAY_MILLIS * turn as u64)
    }

    /// Whether its next call may wait at the store for changes.
    ///
    /// A VM that takes over, or whose last call failed, asks for a result at once.
    pub const fn may_wait(&self) -> bool {
        self.is_polling && self.failures == 0
    }

    /// Records that this VM polls from now on; returns whether it did not before.
    pub const fn begin(&mut self) -> bool {
        let begins = !self.is_polling;
        self.is_polling = true;
        begins
    }

    /// Records that another VM's update arrived; returns whether this VM ceases to poll on it.
    ///
    /// It does if the other one `precedes` it, or has had an answer since this VM's last call failed.
    pub fn cease_for(&mut self, precedes: bool) -> bool {
        let ceases =
            self.is_polling && (precedes || (self.failures > 0 && self.confirmed_at > self.failed_at));
        self.is_polling &= !ceases;
        ceases
    }

    /// Records when the store confirmed this VM's state.
    pub fn record_confirmation(&mut self, at: Moment) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Records an answer of the store.
    pub const fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Records a failed call, after which the next one waits.
    pub fn record_failure(&mut self, now: Moment) {
        self.failures += 1;
        self.failed_at = now;
        let delay_millis = FIRST_RETRY_DELAY_MILLIS << self.failures.min(MAX_DOUBLINGS);
        self.backoff_until = now.after_millis(delay_millis.min(MAX_RETRY_DELAY_MILLIS));
    }

    /// Records that no call is made until a moment.
    pub const fn back_off_until(&mut self, until: Moment) {
        self.backoff_until = until;
    }
}
