//! The rest that an endpoint asks this VM for when it turns a request away.
//!
//! Invariant: between the answer and the end of the rest nothing is sent, not even a probe. Each answer holds for its own
//! time: a shorter or an older one, or a success that crosses it, shortens nothing. After a rest one request goes at a
//! time until one that was sent after it is served, so that what waited does not arrive at once.
//!
//! A rest belongs to the VM that was asked, and ends with the endpoint's start, since its row does.

use spanfold_entity::Moment;

/// Longest rest that is kept, in milliseconds. An endpoint that asks for more gets one request after it, whose answer asks
/// again if it was meant; a faulty answer costs this VM the endpoint for so long.
const REST_MOST_MILLIS: u64 = 3_600_000;
/// Time between requests to an endpoint that has not served one since its rest, in milliseconds.
const PROBE_INTERVAL_MILLIS: u64 = 200;

/// Effect of an answer that asks for rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackoffChange {
    /// None: a rest that ends later is under way, or none was asked for.
    None,
    /// A rest begins, for so many milliseconds.
    Begun(u64),
    /// The rest under way ends later, after so many milliseconds.
    Extended(u64),
}

/// The rest of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointBackoff {
    /// End of the last rest.
    until: Moment,
    /// Whether it has served nothing since.
    is_returning: bool,
    /// When the next request may go to an endpoint that returns.
    probe_at: Moment,
}

impl EndpointBackoff {
    /// Applies an answer that arrived at `now` and asks for a rest.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{EndpointRest, RestChange};
    /// use spanfold_entity::Moment;
    /// let mut rest = EndpointRest::default();
    /// assert_eq!(rest.ask(3_000, Moment(0)), RestChange::Begun(3_000));
    /// assert_eq!(rest.ask(1_000, Moment(0)), RestChange::None);
    /// assert_eq!(rest.next_at(Moment(0)), Moment(3_000_000));
    /// ```
    pub fn ask(&mut self, millis: u64, now: Moment) -> BackoffChange {
        let until = now.after_millis(millis.min(REST_MOST_MILLIS));
        if until <= self.until.max(now) {
            return BackoffChange::None;
        }
        let was_resting = self.is_backing_off(now);
        *self = Self { until, is_returning: true, probe_at: until };
        let millis = millis.min(REST_MOST_MILLIS);
        if was_resting { BackoffChange::Extended(millis) } else { BackoffChange::Begun(millis) }
    }

    /// Whether it takes nothing now.
    pub fn is_backing_off(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Whether it takes requests as if it had never rested.
    pub fn is_over(&self, now: Moment) -> bool {
        !self.is_returning && !self.is_backing_off(now)
    }

    /// When it takes a request; `now` if it does at once.
    pub fn next_at(&self, now: Moment) -> Moment {
        if self.is_returning { now.max(self.probe_at) } else { now }
    }

    /// End of the rest under way.
    pub fn until(&self, now: Moment) -> Option<Moment> {
        self.is_backing_off(now).then_some(self.until)
    }

    /// Notes that a request is about to be sent.
    pub fn record_send(&mut self, now: Moment) {
        if self.is_returning {
            self.probe_at = now.after_millis(PROBE_INTERVAL_MILLIS);
        }
    }

    /// Notes that it served a request that was sent at `sent_at`; whether it has returned with that.
    pub fn record_served(&mut self, sent_at: Moment) -> bool {
        let returns = self.is_returning && sent_at >= self.until;
        self.is_returning &= !returns;
        returns
    }
}
