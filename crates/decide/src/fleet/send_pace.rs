//! Pace of a VM's datagrams on its own link.
//!
//! A full link drops datagrams, and all of those that one VM sends to its data centre at the same instant share
//! one fate. So messages to many VMs are spread over the time that a fraction of the link needs for them.
//!
//! Invariant: what is sent exceeds the fraction of the link by a short burst at most, whatever is sent at once.

use spanfold_entity::Moment;

/// Largest burst, as the time that the paced fraction of the link needs for it, in microseconds.
const MAX_BURST_MICROS: u64 = 5_000;

/// Schedule of messages on a fraction of a link.
///
/// # Examples
/// ```
/// use spanfold_entity::Moment;
/// use spanfold_decide::SendPace;
/// // Half of a link of 10 Mbit/s takes 16 ms for 10 kB.
/// let mut pace = SendPace::new(10.0, 0.5);
/// assert_eq!(pace.reserve(10_000, Moment(0)), Moment(0));
/// assert_eq!(pace.reserve(10_000, Moment(0)), Moment(16_000 - 5_000));
/// ```
#[derive(Debug)]
pub struct SendPace {
    bits_per_micro: f64,
    /// The fraction of the link is reserved until then.
    busy_until: Moment,
}

impl SendPace {
    /// Creates the pace for a `fraction` of a link of `link_mbps` megabits a second.
    pub const fn new(link_mbps: f64, fraction: f64) -> Self {
        Self { bits_per_micro: link_mbps.max(1.0) * fraction, busy_until: Moment(0) }
    }

    /// Reserves the link for a message of `bytes`, and returns when it may be sent.
    pub fn reserve(&mut self, bytes: usize, now: Moment) -> Moment {
        let start = self.busy_until.max(now);
        self.busy_until = start.after_micros((bytes as f64 * 8.0 / self.bits_per_micro) as u64);
        Moment(start.0.saturating_sub(MAX_BURST_MICROS)).max(now)
    }
}
