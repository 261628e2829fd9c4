//! Decides whether this VM has a path to the endpoints.
//!
//! Invariant: the path counts as lost only after connections to several endpoints failed in two successive
//! rounds of probes, or to all that are listed if those are few, and none was opened since the first failure.
//! Failed sends and silence only cause probes, so that neither a slow endpoint nor the loss of one service or
//! one data centre ends the path. An opened connection restores it.
//!
//! A lost path is cut unless bytes still arrive over open connections.

use crate::{EndpointKey, PathState};
use spanfold_entity::Moment;

/// Endpoints to which connections must fail, unless fewer are listed.
const MIN_FAILED_ENDPOINTS: usize = 3;
/// Rounds of probes that must fail.
const MIN_FAILED_ROUNDS: u32 = 2;
/// Time between the beginnings of failed rounds until the path counts as lost, in milliseconds.
const CONFIRMATION_DELAY_MILLIS: u64 = 100;
/// Minimum time between rounds while connections open, in milliseconds: it bounds their cost while endpoints
/// fail.
const MIN_ROUND_INTERVAL_MILLIS: u64 = 250;
/// Minimum time between rounds while the path is lost, in milliseconds; up to twice as long at random.
const LOST_ROUND_INTERVAL_MILLIS: u64 = 250;
/// Time without any byte from endpoints after which unanswered sends cause a round, in milliseconds.
const SILENCE_MILLIS: u64 = 300;
/// Sends without any byte from endpoints that cause a round after this time.
const MIN_SILENT_SENDS: u64 = 3;
/// Time without any byte from endpoints after which a lost path counts as cut, in milliseconds.
const POOLED_MILLIS: u64 = 500;
/// Endpoints to probe in a round after one that failed.
const CONFIRMATION_ROUND_SIZE: usize = 4;
/// Endpoints to probe in other rounds.
const ROUND_SIZE: usize = 2;

/// Counts of what passed between this VM and endpoints since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathTraffic {
    /// Sends.
    pub sends: u64,
    /// Reads that returned bytes.
    pub reads: u64,
    /// Attempts to open a connection, including probes.
    pub attempts: u64,
    /// Number of the newest attempt that opened one, from one.
    pub newest_opened: u64,
}

/// A change of the path's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathChange {
    /// The new state.
    pub state: PathState,
    /// The state before.
    pub before: PathState,
    /// First failure since the last opened connection, or since when the path was lost if it is open again.
    pub since: Moment,
    /// Endpoints to which connections failed since then, as far as counted.
    pub failed_endpoints: usize,
}

/// Observations of this VM's path to the endpoints.
///
/// # Examples
/// ```
/// use spanfold_decide::{EndpointKey, PathMonitor, PathState, PathTraffic};
/// use spanfold_entity::Moment;
/// let mut monitor = PathMonitor::default();
/// let mut traffic = PathTraffic { attempts: 2, newest_opened: 2, ..PathTraffic::default() };
/// monitor.observe(traffic, Moment(0));
/// monitor.record_failure(EndpointKey(1), true, Moment(0));
/// assert_eq!(monitor.next_round_at(), Some(Moment(0)));
/// for keys in [[EndpointKey(1), EndpointKey(2)], [EndpointKey(3), EndpointKey(4)]] {
///     monitor.record_failed_round(&keys, 18, 0.5, (Moment(0), Moment(0)));
/// }
/// assert_eq!(monitor.state(), PathState::Cut);
/// traffic.newest_opened = 7;
/// monitor.observe(traffic, Moment(0).after_millis(900));
/// assert_eq!(monitor.state(), PathState::Open);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PathMonitor {
    state: PathState,
    traffic: PathTraffic,
    last_read_at: Moment,
    /// Sends at the time of the last read, and the first send after it.
    sends_at_read: u64,
    unanswered_since: Option<Moment>,
    /// First failure since the last opened connection.
    suspected_since: Option<Moment>,
    /// Attempts up to then: a connection from one of these may have opened before.
    attempts_before: u64,
    /// Endpoints to which connections failed since then.
    failed: Vec<EndpointKey>,
    failed_rounds: u32,
    next_round_at: Moment,
}

impl PathMonitor {
    /// Returns the state of the path.
    pub const fn state(&self) -> PathState {
        self.state
    }

    /// Returns since when the path is suspected or lost.
    pub const fn suspected_since(&self) -> Option<Moment> {
        self.suspected_since
    }

    /// Records what has passed up to now; returns the change of the state, if any.
    pub fn observe(&mut self, traffic: PathTraffic, now: Moment) -> Option<PathChange> {
        let before = self.traffic;
        self.traffic = traffic;
        if traffic.reads != before.reads {
            self.last_read_at = now;
            self.sends_at_read = traffic.sends;
            self.unanswered_since = None;
        } else if traffic.sends != self.sends_at_read {
            self.unanswered_since.get_or_insert(now);
        }
        if self.suspected_since.is_some() && traffic.newest_opened > self.attempts_before {
            return self.restore();
        }
        let has_answers = now < self.last_read_at.after_millis(POOLED_MILLIS);
        match self.state {
            PathState::Open => None,
            PathState::PooledOnly | PathState::Cut => self.change(Self::lost_state(has_answers)),
        }
    }

    /// Records a failed send to an endpoint. `is_connection` states that no connection to it was opened.
    pub fn record_failure(&mut self, key: EndpointKey, is_connection: bool, now: Moment) {
        self.suspect(now);
        if is_connection {
            self.add_failed(key);
        }
    }

    /// Returns when the next round of probes is due; none while nothing is suspected.
    pub fn next_round_at(&self) -> Option<Moment> {
        let silent_at = self
            .unanswered_since
            .filter(|_| self.traffic.sends.saturating_sub(self.sends_at_read) >= MIN_SILENT_SENDS)
            .map(|since| since.after_millis(SILENCE_MILLIS));
        let suspected_at = self.suspected_since.or(silent_at)?;
        Some(suspected_at.max(self.next_round_at))
    }

    /// Returns the number of endpoints to probe in a round.
    pub const fn round_size(&self) -> usize {
        match self.state {
            PathState::Open if self.failed_rounds > 0 => CONFIRMATION_ROUND_SIZE,
            PathState::Open | PathState::PooledOnly | PathState::Cut => ROUND_SIZE,
        }
    }

    /// Records a round in which connections to all of `probed` failed, out of `listed` endpoints.
    ///
    /// `draw` is a random number from 0 to 1, which staggers the probes of VMs that lost their paths together.
    /// Returns the change of the state, if any.
    pub fn record_failed_round(
        &mut self,
        probed: &[EndpointKey],
        listed: usize,
        draw: f64,
        (started_at, now): (Moment, Moment),
    ) -> Option<PathChange> {
        if probed.is_empty() {
            self.next_round_at = now.after_millis(MIN_ROUND_INTERVAL_MILLIS);
            return None;
        }
        self.suspect(started_at);
        self.failed_rounds += 1;
        for key in probed {
            self.add_failed(*key);
        }
        if !matches!(self.state, PathState::Open) {
            let millis = LOST_ROUND_INTERVAL_MILLIS as f64 * (1.0 + draw);
            self.next_round_at = now.after_millis(millis as u64);
            return None;
        }
        self.next_round_at = started_at.after_millis(CONFIRMATION_DELAY_MILLIS);
        let is_lost = self.failed_rounds >= MIN_FAILED_ROUNDS
            && self.failed.len() >= MIN_FAILED_ENDPOINTS.min(listed.max(1));
        if !is_lost {
            return None;
        }
        let has_answers = self.suspected_since.is_some_and(|since| self.last_read_at > since);
        self.change(Self::lost_state(has_answers))
    }

    /// Records a round in which a connection was opened.
    pub fn record_opened_round(&mut self, now: Moment) {
        self.next_round_at = now.after_millis(MIN_ROUND_INTERVAL_MILLIS);
        // Without bytes since, the same silence would cause the next round at once.
        self.unanswered_since = None;
        self.sends_at_read = self.traffic.sends;
    }

    /// Discards what was suspected: this VM was suspended, and failures at its end show nothing.
    pub fn record_suspension(&mut self) {
        if matches!(self.state, PathState::Open) {
            self.clear_suspicion();
        }
    }

    const fn lost_state(has_answers: bool) -> PathState {
        if has_answers { PathState::PooledOnly } else { PathState::Cut }
    }

    fn suspect(&mut self, at: Moment) {
        if self.suspected_since.is_none() {
            self.suspected_since = Some(at);
            self.attempts_before = self.traffic.attempts;
        }
    }

    fn add_failed(&mut self, key: EndpointKey) {
        if self.failed.len() < MIN_FAILED_ENDPOINTS && !self.failed.contains(&key) {
            self.failed.push(key);
        }
    }

    fn restore(&mut self) -> Option<PathChange> {
        let change = self.change(PathState::Open);
        self.clear_suspicion();
        change
    }

    fn clear_suspicion(&mut self) {
        self.suspected_since = None;
        self.unanswered_since = None;
        self.sends_at_read = self.traffic.sends;
        self.failed.clear();
        self.failed_rounds = 0;
    }

    fn change(&mut self, state: PathState) -> Option<PathChange> {
        let before = std::mem::replace(&mut self.state, state);
        (before != state).then(|| PathChange {
            state,
            before,
            since: self.suspected_since.unwrap_or_default(),
            failed_endpoints: self.failed.len(),
        })
    }
}
