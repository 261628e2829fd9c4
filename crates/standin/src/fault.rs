//! Faults that tests switch on in a running stand-in.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Faults of one stand-in; all are off initially.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    cut: AtomicBool,
    frozen: AtomicBool,
    delay_millis: AtomicU64,
    lost_replies: AtomicU64,
    departing: AtomicBool,
    truncations: AtomicU64,
    broken_streams: AtomicU64,
    scrambled_streams: AtomicU64,
    stalled_streams: AtomicU64,
}

impl FaultSwitch {
    /// Cuts all connections and drops new ones while `on`.
    pub fn cut(&self, on: bool) {
        self.cut.store(on, Ordering::SeqCst);
    }

    /// Returns whether connections are cut.
    pub fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Leaves all requests unanswered while `on`.
    pub fn freeze(&self, on: bool) {
        self.frozen.store(on, Ordering::SeqCst);
    }

    /// Sets the delay of each request.
    pub fn set_delay_millis(&self, millis: u64) {
        self.delay_millis.store(millis, Ordering::SeqCst);
    }

    /// Drops the replies to the next `count` requests with an effect, after they took effect.
    pub fn lose_replies(&self, count: u64) {
        self.lost_replies.store(count, Ordering::SeqCst);
    }

    /// Reports "not ready" while `on`, as a departing endpoint does; open requests continue.
    pub fn announce_departure(&self, on: bool) {
        self.departing.store(on, Ordering::SeqCst);
    }

    pub(crate) fn is_departing(&self) -> bool {
        self.departing.load(Ordering::SeqCst)
    }

    /// Stores only half of each of the next `count` blocks.
    pub fn truncate_blocks(&self, count: u64) {
        self.truncations.store(count, Ordering::SeqCst);
    }

    /// Breaks off the next `count` answer streams after a few frames; the runs continue.
    pub fn break_streams(&self, count: u64) {
        self.broken_streams.store(count, Ordering::SeqCst);
    }

    /// Repeats an event and omits the one after it in the next `count` answer streams.
    pub fn scramble_streams(&self, count: u64) {
        self.scrambled_streams.store(count, Ordering::SeqCst);
    }

    /// Stalls the next `count` answer streams after a few frames; the runs continue.
    pub fn stall_streams(&self, count: u64) {
        self.stalled_streams.store(count, Ordering::SeqCst);
    }

    pub(crate) fn consume_scramble(&self) -> bool {
        consume_fault(&self.scrambled_streams)
    }

    pub(crate) fn consume_stall(&self) -> bool {
        consume_fault(&self.stalled_streams)
    }

    pub(crate) fn consume_truncation(&self) -> bool {
        consume_fault(&self.truncations)
    }

    pub(crate) fn consume_stream_break(&self) -> bool {
        consume_fault(&self.broken_streams)
    }

    pub(crate) fn consume_lost_reply(&self) -> bool {
        consume_fault(&self.lost_replies)
    }

    /// Delays a request by the set delay, and while the stand-in is frozen.
    pub(crate) async fn before_request(&self) {
        let millis = self.delay_millis.load(Ordering::SeqCst);
        if millis > 0 {
            tokio::time::sleep(Duration::from_millis(millis)).await;
        }
        while self.frozen.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

fn consume_fault(counter: &AtomicU64) -> bool {
    counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| count.checked_sub(1)).is_ok()
}
