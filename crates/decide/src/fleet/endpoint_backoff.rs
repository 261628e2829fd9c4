//! Backoff that an endpoint asks this VM for when it refuses a request.
//!
//! Invariant: from the answer to the end of the backoff nothing is sent, not even a probe. Each answer holds
//! for its own time: a shorter or older one, or a success that arrives out of order, does not shorten it.
//! After a backoff, requests are sent one at a time until one of them is served, so that waiting requests do
//! not arrive all at once.
//!
//! A backoff applies to the VM that was asked, and ends with the endpoint's incarnation, since its row does.

use spanfold_entity::Moment;

/// Longest backoff that is accepted, in milliseconds.
///
/// An endpoint that asks for more gets one request after it, and its answer asks again if that was meant. A
/// faulty answer costs this VM the endpoint for that time.
const MAX_BACKOFF_MILLIS: u64 = 3_600_000;
/// Time between requests to an endpoint that has not served one since its backoff, in milliseconds.
const PROBE_INTERVAL_MILLIS: u64 = 200;

/// Effect of an answer that asks for a backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackoffChange {
    /// None: the current backoff ends later, or none was asked for.
    None,
    /// A backoff begins, for this many milliseconds.
    Begun(u64),
    /// The current backoff is extended and ends after this many milliseconds.
    Extended(u64),
}

/// Backoff of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointBackoff {
    /// End of the last backoff.
    until: Moment,
    /// Whether it has served no request since.
    is_recovering: bool,
    /// When the next request may be sent to a recovering endpoint.
    next_probe_at: Moment,
}

impl EndpointBackoff {
    /// Applies an answer that arrived at `now` and asks for a backoff of `millis`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{BackoffChange, EndpointBackoff};
    /// use spanfold_entity::Moment;
    /// let mut backoff = EndpointBackoff::default();
    /// assert_eq!(backoff.extend(3_000, Moment(0)), BackoffChange::Begun(3_000));
    /// assert_eq!(backoff.extend(1_000, Moment(0)), BackoffChange::None);
    /// assert_eq!(backoff.next_at(Moment(0)), Moment(3_000_000));
    /// ```
    pub fn extend(&mut self, millis: u64, now: Moment) -> BackoffChange {
        let until = now.after_millis(millis.min(MAX_BACKOFF_MILLIS));
        if until <= self.until.max(now) {
            return BackoffChange::None;
        }
        let was_backing_off = self.is_backing_off(now);
        *self = Self { until, is_recovering: true, next_probe_at: until };
        let millis = millis.min(MAX_BACKOFF_MILLIS);
        if was_backing_off { BackoffChange::Extended(millis) } else { BackoffChange::Begun(millis) }
    }

    /// Whether it gets no requests now.
    pub fn is_backing_off(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Whether it takes requests without restriction.
    ///
    /// It never backed off, or its backoff is over and it has served a request since.
    pub fn is_recovered(&self, now: Moment) -> bool {
        !self.is_recovering && !self.is_backing_off(now)
    }

    /// Returns when the next request may be sent to it; `now` if at once.
    pub fn next_at(&self, now: Moment) -> Moment {
        if self.is_recovering { now.max(self.next_probe_at) } else { now }
    }

    /// Returns the end of the current backoff.
    pub fn until(&self, now: Moment) -> Option<Moment> {
        self.is_backing_off(now).then_some(self.until)
    }

    /// Records that a request is about to be sent.
    pub fn record_send(&mut self, now: Moment) {
        if self.is_recovering {
            self.next_probe_at = now.after_millis(PROBE_INTERVAL_MILLIS);
        }
    }

    /// Records that it served a request that was sent at `sent_at`; returns whether it recovered with that.
    pub fn record_served(&mut self, sent_at: Moment) -> bool {
        let recovers = self.is_recovering && sent_at >= self.until;
        self.is_recovering &= !recovers;
        recovers
    }
}
