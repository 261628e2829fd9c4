//! State of one endpoint at this VM: load, slowdown, health, cached segments.

use crate::fleet::peer_loads::PeerLoads;
use crate::fleet::reported_health::{AvoidanceReport, ReportedHealth};
use crate::{
    CachedSegments, EndpointBackoff, EndpointEntry, RecentSends, ReportedLimit, SendReport, SoftwareState,
    VmKey,
};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Work that VMs have in flight at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadCount {
    /// Requests that were sent and have not finished.
    pub running: u32,
    /// Prompt tokens that the endpoint still has to prefill before first events.
    pub pending_prefill_tokens: u64,
    /// Memory that those requests use or will use, in tokens.
    pub memory_tokens: u64,
}

impl LoadCount {
    /// Adds `load`.
    pub fn add(&mut self, load: Self) {
        self.running += load.running;
        self.pending_prefill_tokens += load.pending_prefill_tokens;
        self.memory_tokens += load.memory_tokens;
    }

    /// Subtracts `load`, saturating at zero.
    pub fn subtract(&mut self, load: Self) {
        self.running = self.running.saturating_sub(load.running);
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_sub(load.pending_prefill_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(load.memory_tokens);
    }
}

/// Outcome of a send to an endpoint, as far as its health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendOutcome {
    /// It answered, or a stream delivered an event.
    Answered,
    /// It answered that the work failed.
    Failed,
    /// It refused the request before running it.
    Refused,
    /// No connection was established.
    Unreached,
    /// An established connection broke.
    Broken,
    /// It sent nothing within the expected time.
    Silent,
}

/// First ejection after a failed send, in milliseconds; doubles with each further one.
const FIRST_EJECTION_MILLIS: u64 = 700;
/// Longest ejection, in milliseconds: a restarted endpoint has a new id and starts without one.
const MAX_EJECTION_MILLIS: u64 = 6_000;
/// Ejection after a refusal, also one without a reason, in milliseconds.
///
/// A full queue drains in about that time.
const REFUSAL_EJECTION_MILLIS: u64 = 150;
/// Weight of the newest result in the failure ratio: it covers about ten results.
const FAILURE_WEIGHT: f64 = 0.1;
/// Weight of a slowdown sample from another VM; there are many more of them than own samples.
const REPORTED_SLOWDOWN_WEIGHT: f64 = 0.1;
/// Weight of the newest slowdown sample of this VM.
const SLOWDOWN_WEIGHT: f64 = 0.2;
/// Lower bound of slowdown samples, in multiples of the expected time: those below are outliers.
const MIN_SLOWDOWN: f64 = 0.5;
/// Largest factor between a slowdown sample from another VM and the current estimate.
///
/// VMs that are slow themselves report all engines as slow. If 15 in 100 VMs do, estimates rise by only a
/// sixth.
const MAX_REPORTED_SLOWDOWN_RATIO: f64 = 2.0;
/// Failure ratio above which answers are reported too: without them other VMs' ratios would not fall.
const MIN_REPORTED_FAILURE_RATIO: f64 = 0.05;
/// Upper bound of slowdown samples, in multiples of the expected time: those above are outliers.
const MAX_SLOWDOWN: f64 = 20.0;
/// Time for which weights count as recently changed, in milliseconds.
///
/// Exceeds the time for which any VM is sent the change.
const RECENT_CHANGE_MILLIS: u64 = 10_000;
/// Source of the report that an engine's weights are about to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CordonSource {
    /// This VM, which orders the change.
    Own,
    /// A VM of this data centre.
    Local,
    /// A VM of another data centre.
    Remote,
}

/// What became of the grace period of an endpoint without an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct GraceState {
    /// Whether another outage of the store has renewed it, which none does again.
    pub is_renewed: bool,
    /// Whether it was extended because the store may have been away, which is done once.
    pub was_held: bool,
    /// Whether the last sweep found it running.
    pub was_running: bool,
}

/// State of one endpoint.
#[derive(Debug)]
pub struct EndpointRow {
    /// Entry in service discovery; its weights may be newer than the listed ones.
    pub entry: EndpointEntry,
    /// Its entry is gone; until this deadline it may return, and the endpoint continues to get work.
    pub grace_deadline: Option<Moment>,
    pub(super) grace: GraceState,
    /// Whether its last written entry cannot be parsed, and so gives no endpoint to use.
    pub is_unreadable: bool,
    /// Whether all VMs know its software version, as last checked.
    pub software_state: SoftwareState,
    /// End of its data centre's evacuation; it gets no new work until then, and running work finishes.
    pub evacuated_until: Moment,
    /// End of its warm-up; until then it takes only a few requests a second if its service has a reduced rate.
    pub cold_until: Moment,
    /// Limit of requests a second from all VMs together.
    pub limit: ReportedLimit,
    /// Backoff that it asked this VM for.
    pub backoff: EndpointBackoff,
    /// Fraction of its usual memory that new prompts may fill.
    pub(crate) new_prompt_fraction: f64,
    /// Whether it announced its departure in an answer.
    pub has_departed: bool,
    /// Headers that were invalid in its last answer.
    pub(crate) invalid_headers: Vec<&'static str>,
    /// Sends of this VM while the endpoint took few requests.
    pub(crate) recent_sends: RecentSends,
    /// Work that this VM has in flight there.
    pub own: LoadCount,
    /// Work that other VMs have in flight there, as they report it.
    pub(crate) peer_loads: PeerLoads,
    /// Prompt segments that it is estimated to have cached.
    pub cached_segments: CachedSegments,
    /// Time until which it gets no new work, because its weights are about to change.
    pub cordoned_until: Moment,
    /// Source of the report that its weights are about to change.
    pub cordoned_by: CordonSource,
    /// Weights as last listed by service discovery; those in `entry` may be newer.
    pub listed_weights: Arc<BTreeMap<String, u64>>,
    /// When this VM last observed newer weights itself, so that it reports them to peers.
    pub observed_weights_at: Option<Moment>,
    /// When a VM of this data centre reported newer weights, so that other data centres are sent them.
    pub reported_weights_at: Option<Moment>,
    /// When a VM of another data centre reported newer weights, so that a leader relays them locally.
    pub remote_weights_at: Option<Moment>,
    ejected_until: Moment,
    /// When a send of this VM last failed.
    failed_at: Moment,
    reported_health: ReportedHealth,
    /// Whether a sweep has reported that other VMs' reports exclude it.
    pub(super) is_avoidance_reported: bool,
    consecutive_failures: u32,
    failure_ratio: f64,
    slowdown: f64,
}

impl EndpointRow {
    /// Returns the state of an endpoint of which only the entry was received.
    pub fn new(entry: EndpointEntry) -> Self {
        Self {
            grace_deadline: None,
            grace: GraceState::default(),
            is_unreadable: false,
            software_state: SoftwareState::Unsettled,
            evacuated_until: Moment(0),
            cold_until: Moment(0),
            limit: ReportedLimit::default(),
            backoff: EndpointBackoff::default(),
            new_prompt_fraction: 1.0,
            has_departed: false,
            invalid_headers: Vec::new(),
            recent_sends: RecentSends::default(),
            own: LoadCount::default(),
            peer_loads: PeerLoads::default(),
            cached_segments: CachedSegments::default(),
            cordoned_until: Moment(0),
            cordoned_by: CordonSource::Own,
            listed_weights: Arc::clone(&entry.weights),
            observed_weights_at: None,
            reported_weights_at: None,
            remote_weights_at: None,
            ejected_until: Moment(0),
            failed_at: Moment(0),
            reported_health: ReportedHealth::default(),
            is_avoidance_reported: false,
            consecutive_failures: 0,
            failure_ratio: 0.0,
            slowdown: 1.0,
            entry,
        }
    }

    /// Returns the load of all VMs, with the reports that are valid at `now`.
    pub fn load(&self, now: Moment) -> LoadCount {
        let mut sum = self.own;
        sum.add(self.peer_loads.sum(now));
        sum
    }

    /// Returns the load of this VM and of the VMs that `includes` selects.
    pub fn load_of(&self, includes: impl Fn(VmKey) -> bool, now: Moment) -> LoadCount {
        let mut sum = self.own;
        sum.add(self.peer_loads.sum_of(includes, now));
        sum
    }

    /// Returns the load that VMs of this data centre report, and the load that other data centres report.
    pub(crate) fn peer_load_split(&self, now: Moment) -> (LoadCount, LoadCount) {
        self.peer_loads.split_sum(now)
    }

    /// Returns its slowdown: the multiple of the expected time that it takes.
    pub const fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns the fraction of its recent answers that failed.
    pub const fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }

    /// Whether it is ejected after failed sends; afterwards one request at a time probes it.
    pub fn is_ejected(&self, now: Moment) -> bool {
        let is_probed =
            (self.consecutive_failures > 0 || self.reported_health.is_suspected()) && self.own.running > 0;
        now < self.ejected_until || self.reported_health.is_avoided(now) || is_probed
    }

    /// Whether it is ejected on the outcomes of this VM's own sends.
    pub fn is_ejected_by_own_sends(&self, now: Moment) -> bool {
        now < self.ejected_until
    }

    /// Whether it is skipped on other VMs' reports.
    pub fn is_avoided(&self, now: Moment) -> bool {
        self.reported_health.is_avoided(now)
    }

    /// Returns the reports on which it is avoided, or suspected since; none after an answer.
    pub const fn avoidance_basis(&self) -> Option<AvoidanceReport> {
        self.reported_health.basis()
    }

    /// Whether VMs could not reach it, and none has received an answer from it since.
    pub const fn is_suspected(&self) -> bool {
        self.reported_health.is_suspected()
    }

    /// Ejects it until `until` at least.
    pub(crate) fn eject_until(&mut self, until: Moment) {
        self.ejected_until = self.ejected_until.max(until);
    }

    /// Whether it announced its departure, in an answer or in its entry.
    ///
    /// Its end is then expected, and no crash.
    pub const fn has_announced_departure(&self) -> bool {
        self.has_departed || self.entry.draining
    }

    /// Whether it gets no new work: it announced its departure, or its entry is gone or unreadable.
    ///
    /// An entry counts as gone after its grace period.
    pub fn is_departing(&self, now: Moment) -> bool {
        self.has_announced_departure()
            || self.is_unreadable
            || self.grace_deadline.is_some_and(|deadline| now >= deadline)
    }

    /// Whether it may get new work: it is not departing, and its data centre is not evacuated.
    pub fn takes_work(&self, now: Moment) -> bool {
        now >= self.evacuated_until && !self.is_departing(now)
    }

    /// Whether its weights change or changed recently, so that it is reported to other VMs.
    pub(crate) fn has_changing_weights(&self, now: Moment) -> bool {
        let is_recent = |at: Option<Moment>| at.is_some_and(|at| now < at.after_millis(RECENT_CHANGE_MILLIS));
        let has_changed = is_recent(self.observed_weights_at)
            || is_recent(self.reported_weights_at)
            || is_recent(self.remote_weights_at);
        has_changed || self.is_cordoned(now)
    }

    /// Whether it is cordoned, because its weights change or are about to.
    pub fn is_cordoned(&self, now: Moment) -> bool {
        now < self.cordoned_until
    }

    /// Records the outcome of a send by this VM.
    pub fn record_outcome(&mut self, outcome: SendOutcome, now: Moment) {
        let failure = match outcome {
            SendOutcome::Answered => 0.0,
            SendOutcome::Failed | SendOutcome::Unreached | SendOutcome::Broken | SendOutcome::Silent => 1.0,
            SendOutcome::Refused => self.failure_ratio,
        };
        self.failure_ratio += FAILURE_WEIGHT * (failure - self.failure_ratio);
        match outcome {
            SendOutcome::Answered | SendOutcome::Failed => {
                self.consecutive_failures = 0;
                self.ejected_until = Moment(0);
                self.reported_health.record_answer();
            }
            SendOutcome::Refused => {
                self.ejected_until = self.ejected_until.max(now.after_millis(REFUSAL_EJECTION_MILLIS));
            }
            SendOutcome::Unreached | SendOutcome::Broken | SendOutcome::Silent => {
                self.failed_at = now;
                let millis =
                    (FIRST_EJECTION_MILLIS << self.consecutive_failures.min(4)).min(MAX_EJECTION_MILLIS);
                // Requests that were in flight together fail together, and count as one failure.
                if now >= self.ejected_until {
                    self.consecutive_failures += 1;
                    self.ejected_until = now.after_millis(millis);
                }
            }
        }
    }

    /// Discards this VM's failures since `since`, when it had no path to any endpoint.
    pub(crate) fn discard_failures(&mut self, since: Moment) {
        if self.failed_at >= since {
            self.failed_at = Moment(0);
            self.consecutive_failures = 0;
            self.ejected_until = Moment(0);
            self.failure_ratio = 0.0;
        }
    }

    /// Applies another VM's report of a send.
    ///
    /// Returns whether it begins an avoidance.
    pub(crate) fn apply_send_report(
        &mut self,
        reporter: VmKey,
        report: &SendReport,
        slot: f64,
        now: Moment,
    ) -> bool {
        let was_suspected = self.is_suspected();
        self.apply_reported_outcome(reporter, report, slot, now);
        self.is_suspected() && !was_suspected
    }

    fn apply_reported_outcome(&mut self, reporter: VmKey, report: &SendReport, slot: f64, now: Moment) {
        let failure = match report.outcome {
            SendOutcome::Answered => {
                self.reported_health.record_answer();
                0.0
            }
            SendOutcome::Failed | SendOutcome::Broken | SendOutcome::Silent => 1.0,
            SendOutcome::Unreached => {
                self.reported_health.record_unreachable(reporter, slot, now);
                return;
            }
            SendOutcome::Refused => {
                if let Some(millis) = report.rest_millis {
                    self.reported_health.record_requested_backoff(reporter, millis, slot, now);
                }
                return;
            }
        };
        self.failure_ratio += FAILURE_WEIGHT * (failure - self.failure_ratio);
        if let Some(slowdown) = report.pace {
            // The reporting VM may be slow itself, so that one sample changes the estimate only a little.
            let upper_bound = self.slowdown * MAX_REPORTED_SLOWDOWN_RATIO;
            let sample = f64::from(slowdown)
                .clamp(self.slowdown / MAX_REPORTED_SLOWDOWN_RATIO, upper_bound)
                .clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
            self.slowdown += REPORTED_SLOWDOWN_WEIGHT * (sample - self.slowdown);
        }
    }

    /// Whether a send to it is reported to other VMs.
    ///
    /// It is if it failed, measured the slowdown, or probed an endpoint that is suspected or failed before.
    pub(crate) fn should_propagate(&self, report: &SendReport) -> bool {
        report.outcome != SendOutcome::Answered
            || self.reported_health.is_suspected()
            || self.failure_ratio > MIN_REPORTED_FAILURE_RATIO
            || report.pace.is_some()
    }

    /// Updates its slowdown from the time to a first event; returns the sample, a multiple of the usual time.
    pub fn record_slowdown(&mut self, taken_micros: u64, expected_micros: u64) -> Option<f32> {
        if expected_micros == 0 {
            return None;
        }
        let sample =
            (self.slowdown * taken_micros as f64 / expected_micros as f64).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        self.slowdown += SLOWDOWN_WEIGHT * (sample - self.slowdown);
        Some(sample as f32)
    }

    /// Decays the slowdown of an endpoint towards 1, so that a slow one that gets no work is tried again.
    pub fn decay_slowdown(&mut self) {
        self.slowdown += 0.05 * (1.0 - self.slowdown);
    }
}
