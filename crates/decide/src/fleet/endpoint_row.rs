//! State of one endpoint at this VM: load, pace, health, kept parts.

use crate::fleet::peer_loads::PeerLoads;
use crate::fleet::told_health::ToldHealth;
use crate::{EndpointBackoff, EndpointEntry, KeptParts, RecentSends, ReportedLimit, SendReport, VmKey};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Work that one VM has in flight at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadCount {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Prompt tokens that the endpoint has yet to read before first events.
    pub unread_tokens: u64,
    /// Memory that those requests hold or will hold, in tokens.
    pub memory_tokens: u64,
}

impl LoadCount {
    /// Counts more work.
    pub fn add(&mut self, other: Self) {
        self.running += other.running;
        self.unread_tokens += other.unread_tokens;
        self.memory_tokens += other.memory_tokens;
    }

    /// Counts work as ended; never below zero.
    pub fn subtract(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

/// How a send to an endpoint went, as far as its health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendOutcome {
    /// It answered, or a stream brought an event.
    Answered,
    /// It answered that the work failed.
    Failed,
    /// It refused the request before running it.
    Refused,
    /// No connection came about.
    Unreached,
    /// A connection that was in use broke.
    Broken,
    /// It stayed silent for longer than it should.
    Silent,
}

/// First ejection after a break, in milliseconds; doubles with each further one.
const FIRST_EJECTION_MILLIS: u64 = 700;
/// Longest ejection, in milliseconds: a restarted endpoint has a new id and starts afresh.
const MAX_EJECTION_MILLIS: u64 = 6_000;
/// Rests after a refusal that names no reason, in milliseconds: a full queue drains in about that.
const REFUSED_MILLIS: u64 = 150;
/// Weight of the newest result in the failure ratio: ten results make the picture.
const FAILURE_WEIGHT: f64 = 0.1;
/// Weight of a pace sample from another VM; there are many more of them than own ones.
const REPORTED_PACE_WEIGHT: f64 = 0.1;
/// Weight of the newest sample of the pace.
const PACE_WEIGHT: f64 = 0.2;
/// Paces below this are outliers, in multiples of the expected one.
const PACE_LEAST: f64 = 0.5;
/// A pace that another VM reports counts as this multiple of the believed one at most: VMs that are slow themselves
/// report all engines as slow, and 15 in 100 of them then raise paces by a sixth only.
const REPORTED_PACE_FACTOR: f64 = 2.0;
/// From this failure ratio on, answers are worth reporting too: without them it would stay.
const NOTABLE_RATIO: f64 = 0.05;
/// Paces beyond this are outliers, in multiples of the expected one.
const PACE_MOST: f64 = 20.0;
/// Weights count as changed lately for this long, in milliseconds: longer than anybody is told of them.
const CHANGED_MILLIS: u64 = 10_000;
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

/// One endpoint.
#[derive(Debug)]
pub struct EndpointRow {
    /// What service discovery says.
    pub entry: EndpointEntry,
    /// Its entry vanished; until this moment it may return, and the endpoint goes on getting work.
    pub missing_until: Option<Moment>,
    /// Its entry cannot be read since it was written last: it names no endpoint to use.
    pub is_unreadable: bool,
    /// Until when its data centre is evacuated: it gets no new work, and what runs there ends by itself.
    pub evacuated_until: Moment,
    /// Until when it is cold, and bears a few requests a second only.
    pub cold_until: Moment,
    /// Requests a second that it takes from all VMs together.
    pub limit: ReportedLimit,
    /// The rest that it asked this VM for.
    pub rest: EndpointBackoff,
    /// Whether an answer of it said that it leaves.
    pub has_departed: bool,
    /// Headers that were invalid in its last answer.
    pub(crate) odd_headers: Vec<&'static str>,
    /// What this VM has sent there while it took few requests.
    pub(crate) recent_sends: RecentSends,
    /// What this VM has in flight there.
    pub own: LoadCount,
    /// What other VMs have in flight there, as they reported.
    pub(crate) peers: PeerLoads,
    /// What it is believed to keep.
    pub kept: KeptParts,
    /// Until when it gets no new work, because its weights are about to change.
    pub cordoned_until: Moment,
    /// Source of the report that its weights are about to change.
    pub cordoned_by: CordonSource,
    /// Weights as service discovery told them last; `entry` holds newer ones that were seen.
    pub listed_weights: Arc<BTreeMap<String, u64>>,
    /// When this VM last saw newer weights itself, so that peers are told.
    pub observed_weights_at: Option<Moment>,
    /// When a VM of this data centre told of newer weights, so that other data centres are told.
    pub reported_weights_at: Option<Moment>,
    /// When a VM of another data centre told of newer weights, so that those beside a lead are told.
    pub remote_weights_at: Option<Moment>,
    ejected_until: Moment,
    told: ToldHealth,
    breaks: u32,
    failure_ratio: f64,
    pace: f64,
}

impl EndpointRow {
    /// An endpoint that nothing is known of but its entry.
    pub fn new(entry: EndpointEntry) -> Self {
        Self {
            missing_until: None,
            is_unreadable: false,
            evacuated_until: Moment(0),
            cold_until: Moment(0),
            limit: ReportedLimit::default(),
            rest: EndpointBackoff::default(),
            has_departed: false,
            odd_headers: Vec::new(),
            recent_sends: RecentSends::default(),
            own: LoadCount::default(),
            peers: PeerLoads::default(),
            kept: KeptParts::default(),
            cordoned_until: Moment(0),
            cordoned_by: CordonSource::Own,
            listed_weights: Arc::clone(&entry.weights),
            observed_weights_at: None,
            reported_weights_at: None,
            remote_weights_at: None,
            ejected_until: Moment(0),
            told: ToldHealth::default(),
            breaks: 0,
            failure_ratio: 0.0,
            pace: 1.0,
            entry,
        }
    }

    /// Load of all VMs, as far as known at `now`.
    pub fn load(&self, now: Moment) -> LoadCount {
        let mut sum = self.own;
        sum.add(self.peers.sum(now));
        sum
    }

    /// Load of this VM and of the VMs that `counts` names.
    pub fn load_of(&self, counts: impl Fn(VmKey) -> bool, now: Moment) -> LoadCount {
        let mut sum = self.own;
        sum.add(self.peers.sum_of(counts, now));
        sum
    }

    /// Multiple of the expected time that it takes.
    pub const fn pace(&self) -> f64 {
        self.pace
    }

    /// Share of its recent answers that failed.
    pub const fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }

    /// Whether it is ejected after failed sends; afterwards one request at a time probes it.
    pub fn is_ejected(&self, now: Moment) -> bool {
        let is_tried = (self.breaks > 0 || self.told.is_suspected()) && self.own.running > 0;
        now < self.ejected_until || self.told.is_avoided(now) || is_tried
    }

    /// Whether VMs could not reach it, and none has had an answer from it since.
    pub const fn is_suspected(&self) -> bool {
        self.told.is_suspected()
    }

    /// Passes it over until `until`.
    pub(crate) fn eject_until(&mut self, until: Moment) {
        self.ejected_until = self.ejected_until.max(until);
    }

    /// Whether it said that it leaves, in an answer or in its entry: its end is expected.
    pub const fn has_announced_end(&self) -> bool {
        self.has_departed || self.entry.draining
    }

    /// Whether it gets no new work: it has said that it leaves, its entry is gone for good, or cannot be read.
    pub fn is_departing(&self, now: Moment) -> bool {
        self.has_announced_end() || self.is_unreadable || self.missing_until.is_some_and(|until| now >= until)
    }

    /// Whether it may get new work: it does not leave, and its data centre is not evacuated.
    pub fn takes_work(&self, now: Moment) -> bool {
        now >= self.evacuated_until && !self.is_departing(now)
    }

    /// Whether its weights change, or have changed lately, so that other VMs are told.
    pub(crate) fn is_changing(&self, now: Moment) -> bool {
        let lately = |at: Option<Moment>| at.is_some_and(|at| now < at.after_millis(CHANGED_MILLIS));
        let has_changed = lately(self.observed_weights_at)
            || lately(self.reported_weights_at)
            || lately(self.remote_weights_at);
        has_changed || self.is_closing(now)
    }

    /// Whether its weights are being changed, or about to be.
    pub fn is_closing(&self, now: Moment) -> bool {
        now < self.cordoned_until
    }

    /// Learns from how a send went.
    pub fn learn(&mut self, outcome: SendOutcome, now: Moment) {
        let failed = match outcome {
            SendOutcome::Answered => 0.0,
            SendOutcome::Failed | SendOutcome::Unreached | SendOutcome::Broken | SendOutcome::Silent => 1.0,
            SendOutcome::Refused => self.failure_ratio,
        };
        self.failure_ratio += FAILURE_WEIGHT * (failed - self.failure_ratio);
        match outcome {
            SendOutcome::Answered | SendOutcome::Failed => {
                self.breaks = 0;
                self.ejected_until = Moment(0);
                self.told.answered();
            }
            SendOutcome::Refused => {
                self.ejected_until = self.ejected_until.max(now.after_millis(REFUSED_MILLIS));
            }
            SendOutcome::Unreached | SendOutcome::Broken | SendOutcome::Silent => {
                let rest = (FIRST_EJECTION_MILLIS << self.breaks.min(4)).min(MAX_EJECTION_MILLIS);
                // Requests that were under way together break together: that is one break.
                if now >= self.ejected_until {
                    self.breaks += 1;
                    self.ejected_until = now.after_millis(rest);
                }
            }
        }
    }

    /// Applies another VM's report of a send.
    pub(crate) fn apply_send_report(&mut self, teller: VmKey, report: &SendReport, turn: f64, now: Moment) {
        let failed = match report.outcome {
            SendOutcome::Answered => {
                self.told.answered();
                0.0
            }
            SendOutcome::Failed | SendOutcome::Broken | SendOutcome::Silent => 1.0,
            SendOutcome::Unreached => {
                self.told.unreached(teller, turn, now);
                return;
            }
            SendOutcome::Refused => {
                if let Some(millis) = report.rest_millis {
                    self.told.asked_rest(teller, millis, turn, now);
                }
                return;
            }
        };
        self.failure_ratio += FAILURE_WEIGHT * (failed - self.failure_ratio);
        if let Some(pace) = report.pace {
            // The reporting VM may be slow itself: one sample moves the pace by a part only.
            let most = self.pace * REPORTED_PACE_FACTOR;
            let sample =
                f64::from(pace).clamp(self.pace / REPORTED_PACE_FACTOR, most).clamp(PACE_LEAST, PACE_MOST);
            self.pace += REPORTED_PACE_WEIGHT * (sample - self.pace);
        }
    }

    /// Whether a send to it is reported to other VMs: it failed, measured the pace, or probed an endpoint in doubt.
    pub(crate) fn should_propagate(&self, report: &SendReport) -> bool {
        report.outcome != SendOutcome::Answered
            || self.told.is_suspected()
            || self.failure_ratio > NOTABLE_RATIO
            || report.pace.is_some()
    }

    /// Learns its pace from a first event that came after `taken` where `expected` was expected; gives the
    /// multiple of the usual time that it took.
    pub fn record_slowdown(&mut self, taken_micros: u64, expected_micros: u64) -> Option<f32> {
        if expected_micros == 0 {
            return None;
        }
        let sample = (self.pace * taken_micros as f64 / expected_micros as f64).clamp(PACE_LEAST, PACE_MOST);
        self.pace += PACE_WEIGHT * (sample - self.pace);
        Some(sample as f32)
    }

    /// Lets the pace of an endpoint that gets no work relax, so that it is tried again.
    pub fn relax(&mut self) {
        self.pace += 0.05 * (1.0 - self.pace);
    }
}
