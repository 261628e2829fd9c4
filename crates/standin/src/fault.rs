//! Faults that a stand-in can be given while it runs.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Faults of one stand-in; all are off at first.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    cut: AtomicBool,
    frozen: AtomicBool,
    slow_millis: AtomicU64,
    lost_replies: AtomicU64,
    refuse_ready: AtomicBool,
    truncations: AtomicU64,
    cut_streams: AtomicU64,
    scrambled_streams: AtomicU64,
    stalled_streams: AtomicU64,
}

impl FaultSwitch {
    /// Cuts all connections and refuses new ones, or mends that.
    pub fn cut(&self, on: bool) {
        self.cut.store(on, Ordering::SeqCst);
    }

    /// Whether connections are cut.
    pub fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Leaves all requests without an answer, or mends that.
    pub fn freeze(&self, on: bool) {
        self.frozen.store(on, Ordering::SeqCst);
    }

    /// Delays each request by `millis`.
    pub fn slow(&self, millis: u64) {
        self.slow_millis.store(millis, Ordering::SeqCst);
    }

    /// Loses the replies of the next `count` requests after they took effect.
    pub fn lose_replies(&self, count: u64) {
        self.lost_replies.store(count, Ordering::SeqCst);
    }

    /// Says "not ready" while going on to serve, or mends that.
    pub fn announce_departure(&self, on: bool) {
        self.refuse_ready.store(on, Ordering::SeqCst);
    }

    pub(crate) fn is_departing(&self) -> bool {
        self.refuse_ready.load(Ordering::SeqCst)
    }

    /// Stores only half of the next `count` blocks.
    pub fn truncate(&self, count: u64) {
        self.truncations.store(count, Ordering::SeqCst);
    }

    /// Breaks the next `count` answer streams after a few frames; the runs go on.
    pub fn break_streams(&self, count: u64) {
        self.cut_streams.store(count, Ordering::SeqCst);
    }

    /// Repeats an event and then leaves one out in the next `count` answer streams.
    pub fn scramble_streams(&self, count: u64) {
        self.scrambled_streams.store(count, Ordering::SeqCst);
    }

    /// Lets the next `count` answer streams fall silent after a few frames; the runs go on.
    pub fn stall_streams(&self, count: u64) {
        self.stalled_streams.store(count, Ordering::SeqCst);
    }

    pub(crate) fn takes_scramble(&self) -> bool {
        take(&self.scrambled_streams)
    }

    pub(crate) fn takes_stall(&self) -> bool {
        take(&self.stalled_streams)
    }

    pub(crate) fn takes_truncation(&self) -> bool {
        take(&self.truncations)
    }

    pub(crate) fn takes_stream_break(&self) -> bool {
        take(&self.cut_streams)
    }

    pub(crate) fn takes_lost_reply(&self) -> bool {
        take(&self.lost_replies)
    }

    /// Waits as the faults say before a request is handled.
    pub(crate) async fn before_request(&self) {
        let millis = self.slow_millis.load(Ordering::SeqCst);
        if millis > 0 {
            tokio::time::sleep(Duration::from_millis(millis)).await;
        }
        while self.frozen.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

fn take(counter: &AtomicU64) -> bool {
    counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| count.checked_sub(1)).is_ok()
}
