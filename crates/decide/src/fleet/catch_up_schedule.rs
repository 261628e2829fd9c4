//! When a VM that lacks changes of the store requests them from another VM, and when it polls the store.
//!
//! Invariant: a VM that lacks changes requests them again and again until it has them, and polls the store
//! once the others had the time to answer. Requests between VMs cost nothing, calls to the store have a
//! price.

use crate::{StorePosition, VmKey};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

/// Delay after which changes are lacking that a VM of the same data centre has, in milliseconds: an update is
/// on its way for less.
const LOCAL_UPDATE_MILLIS: u64 = 100;
/// The same for a VM of another data centre, in milliseconds: the polling VM of each data centre gets changes
/// from the store, after the delay between two polls.
const REMOTE_UPDATE_MILLIS: u64 = 400;
/// Interval between requests, in milliseconds.
const REQUEST_INTERVAL_MILLIS: u64 = 150;
/// Time that other VMs have to send the changes before the store is polled, in milliseconds: that of a few
/// requests.
const ANSWER_MILLIS: u64 = 500;
/// Delay of the poll for changes that no other VM sends, in milliseconds.
const UNSENDABLE_MILLIS: u64 = 150;

/// Next steps of a VM that lacks changes.
#[derive(Clone, Copy, Debug)]
struct LackingState {
    request_at: Moment,
    poll_at: Moment,
}

/// Schedule of the requests and polls for lacking changes.
///
/// # Examples
/// ```
/// use spanfold_entity::Moment;
/// use spanfold_decide::CatchUpSchedule;
/// let mut schedule = CatchUpSchedule::default();
/// schedule.record_gap(Moment(0));
/// assert!(schedule.is_request_due(Moment(0)) && schedule.poll_at() > Moment(0));
/// schedule.record_caught_up();
/// assert!(!schedule.is_behind());
/// ```
#[derive(Debug, Default)]
pub struct CatchUpSchedule {
    lacking: Option<LackingState>,
    /// Since when other VMs of this data centre, and any VMs, have reported changes that no update has brought.
    local_since: Option<Moment>,
    remote_since: Option<Moment>,
}

impl CatchUpSchedule {
    /// Whether changes are lacking that other VMs have.
    pub const fn is_behind(&self) -> bool {
        self.lacking.is_some()
    }

    /// Whether another VM is to be asked for the lacking changes now.
    pub fn is_request_due(&self, now: Moment) -> bool {
        self.lacking.is_some_and(|lacking| now >= lacking.request_at)
    }

    /// Returns when the next request is due; never if nothing is lacking.
    pub fn request_at(&self) -> Moment {
        self.lacking.map_or(Moment::NEVER, |lacking| lacking.request_at)
    }

    /// Returns when the store is to be polled for the lacking changes; never if nothing is lacking.
    pub fn poll_at(&self) -> Moment {
        self.lacking.map_or(Moment::NEVER, |lacking| lacking.poll_at)
    }

    /// Records the newest positions in digests of this data centre and of others, beside the own one.
    ///
    /// `remote` counts only for a VM that polls the store for its data centre.
    pub fn record_reported(
        &mut self,
        own: StorePosition,
        (local, remote): (StorePosition, Option<StorePosition>),
        now: Moment,
    ) {
        let since = |since: Option<Moment>, is_ahead: bool| is_ahead.then(|| since.unwrap_or(now));
        self.local_since = since(self.local_since, local > own);
        self.remote_since = since(self.remote_since, remote.is_some_and(|remote| remote > own));
        let is_lacking =
            |since: Option<Moment>, millis| since.is_some_and(|at| now >= at.after_millis(millis));
        if is_lacking(self.local_since, LOCAL_UPDATE_MILLIS)
            || is_lacking(self.remote_since, REMOTE_UPDATE_MILLIS)
        {
            self.lacking_from(now);
        }
    }

    /// Records an update that builds on changes which this VM lacks.
    ///
    /// It may supersede changes that could not be sent, so another VM is asked again.
    pub fn record_gap(&mut self, now: Moment) {
        self.lacking_from(now);
        if let Some(lacking) = self.lacking.as_mut().filter(|lacking| lacking.request_at == Moment::NEVER) {
            lacking.request_at = now;
        }
    }

    /// Records a fragment of an update, the next of which is due at `next_at`.
    pub fn record_fragment(&mut self, next_at: Moment) {
        self.lacking = Some(LackingState {
            request_at: next_at.after_millis(REQUEST_INTERVAL_MILLIS),
            poll_at: next_at.after_millis(ANSWER_MILLIS),
        });
    }

    /// Records an update that its sender can't send, or that can't be read: only the store has its changes.
    pub fn record_unsendable(&mut self, now: Moment) {
        let poll_at = self.poll_at().min(now.after_millis(UNSENDABLE_MILLIS));
        self.lacking = Some(LackingState { request_at: Moment::NEVER, poll_at });
    }

    /// Records that another VM was asked for the lacking changes.
    pub fn record_request(&mut self, now: Moment) {
        if let Some(lacking) = &mut self.lacking {
            lacking.request_at = now.after_millis(REQUEST_INTERVAL_MILLIS);
        }
    }

    /// Records that changes were applied, so that what is lacking now is a matter of later reports.
    pub fn record_caught_up(&mut self) {
        *self = Self::default();
    }

    fn lacking_from(&mut self, now: Moment) {
        self.lacking
            .get_or_insert(LackingState { request_at: now, poll_at: now.after_millis(ANSWER_MILLIS) });
    }
}

/// Time within which requests are counted together, in milliseconds.
const REQUEST_WINDOW_MILLIS: u64 = 200;
/// VMs whose requests within the window show that an update was lost on the way to many.
const MIN_LOST_REQUESTS: usize = 8;

/// Count of the VMs that request changes at the same time.
///
/// # Examples
/// ```
/// use spanfold_entity::Moment;
/// use spanfold_decide::{RequestCount, StorePosition, VmKey};
/// let (mut requests, position) = (RequestCount::default(), StorePosition::default());
/// let mut record = |vm: u64| requests.record(VmKey(vm), position, Moment(vm));
/// assert!((1..8).all(|vm| record(vm).is_none()));
/// assert_eq!(record(8), Some(position));
/// ```
#[derive(Debug, Default)]
pub struct RequestCount {
    window_end: Moment,
    /// The VMs, and the position after which each requested the changes.
    vms: BTreeMap<VmKey, StorePosition>,
}

impl RequestCount {
    /// Records a request; returns the lowest requested position once many VMs have requested changes.
    pub fn record(&mut self, vm: VmKey, from: StorePosition, now: Moment) -> Option<StorePosition> {
        if now >= self.window_end {
            self.vms.clear();
            self.window_end = now.after_millis(REQUEST_WINDOW_MILLIS);
        }
        self.vms.insert(vm, from);
        if self.vms.len() < MIN_LOST_REQUESTS {
            return None;
        }
        std::mem::take(&mut self.vms).into_values().min()
    }
}
