//! Shares of a rate limit that holds for all VMs together.
//!
//! An endpoint that is cold, or reports a limit in its answers, looks idle. All VMs would send to it
//! together, and it would fail or get more requests than it accepts. The limit bounds the sum over all VMs,
//! including VMs that cannot reach one another, and no request has the time to query another VM.
//!
//! The senders are VMs of the endpoint's data centre, or of all data centres if it has no VM there. There are
//! at most as many senders as the limit allows requests in its window, and each gets a share. The senders
//! follow from the VMs' names and the endpoint's key (rendezvous hashing), so that VMs with the same list
//! agree without a message. An equal share for each VM was rejected: with 295 VMs, one request each is a
//! hundred times a small limit. A single sender was rejected because few of its requests suit the endpoint.
//!
//! Invariant: all VMs together send at most [`RateTerms::count`] requests in any [`RateTerms::window_millis`]
//! while their lists agree. Where their lists cannot agree, no VM takes over a share that another may still
//! use. A VM removed from the list keeps its share for [`SHARE_RETENTION_MILLIS`], since it may be cut off
//! from the store and still sending; the others take the share over after that. A new VM has no share until
//! the others have recorded its entry.

use crate::{ColdSpec, EndpointKey, VmKey, is_view_current};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of VMs that send to one cold endpoint. The allowed rate is divided among this many senders,
/// so a VM with a wrong list adds only one share.
const MAX_COLD_SENDERS: usize = 5;
/// Fraction of the operator's allowance for a cold endpoint that is used: a second set of senders would not
/// exceed the allowance.
const COLD_USABLE_FRACTION: f64 = 0.5;
/// Extension of each window beyond its computed length, in milliseconds: requests differ in transit time.
const TRANSIT_MARGIN_MILLIS: u64 = 50;
/// Milliseconds in a second, as a factor of rates.
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Minimum rate at a limited endpoint, in requests per second, even if it reports less or zero. An endpoint
/// that gets no requests returns no reports, so the end of its limit would go unnoticed.
pub(crate) const MIN_REQUESTS_PER_S: f64 = 1.0 / 60.0;

/// Time after which all reachable VMs have recorded a new entry, in milliseconds. Store changes reach them
/// within 2 s. It is longer than a view of the store is current, so that a new VM begins only when VMs that use a
/// list without it have stopped.
const PROPAGATION_DELAY_MILLIS: u64 = 3_000;
/// Time for which a VM keeps its share without list confirmation, in milliseconds. The same applies after its
/// removal from the list. It exceeds most outages of the store, so that endpoints with a limit stay in use
/// meanwhile.
pub(crate) const SHARE_RETENTION_MILLIS: u64 = 20_000;

/// Rate that the operator allows all VMs together to send to a cold endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdTerms {
    /// Allowed multiple of the rate that the endpoint sustains.
    pub overrun: f64,
    /// Requests per second allowed beyond that.
    pub slack: f64,
}

/// Rate limit for all VMs together at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateTerms {
    /// Requests in any window.
    pub count: u64,
    /// Length of the window, in milliseconds.
    pub window_millis: u64,
    /// Maximum number of VMs that send to the endpoint.
    pub max_senders: usize,
    /// Whether only listed VMs with a current list may send to the endpoint. It is set where an endpoint
    /// fails above a small rate and sustains little for only some seconds: during a fault it gets fewer
    /// requests rather than more.
    pub needs_current_list: bool,
}

impl RateTerms {
    /// Returns the terms of a cold endpoint.
    pub fn of_cold(spec: ColdSpec, terms: ColdTerms) -> Self {
        let allowed = (spec.per_s * terms.overrun + terms.slack) * COLD_USABLE_FRACTION;
        Self {
            count: spec.per_s.min(allowed) as u64,
            window_millis: MILLIS_PER_SECOND as u64 + TRANSIT_MARGIN_MILLIS,
            max_senders: MAX_COLD_SENDERS,
            needs_current_list: true,
        }
    }

    /// Returns the terms of an endpoint that accepts `per_s` requests per second.
    ///
    /// A window holds a whole number of requests and lasts at most a second, or the time of one request.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::RateTerms;
    /// let terms = RateTerms::of_limit(2.5);
    /// assert_eq!((terms.count, terms.window_millis), (2, 850));
    /// let terms = RateTerms::of_limit(0.2);
    /// assert_eq!((terms.count, terms.window_millis), (1, 5_050));
    /// ```
    pub fn of_limit(per_s: f64) -> Self {
        let per_s = per_s.max(MIN_REQUESTS_PER_S);
        let count = per_s.floor().max(1.0);
        Self {
            count: count as u64,
            window_millis: (count / per_s * MILLIS_PER_SECOND).ceil() as u64 + TRANSIT_MARGIN_MILLIS,
            max_senders: usize::MAX,
            needs_current_list: false,
        }
    }

    /// Returns the terms of `count` requests that all VMs together may send once.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::RateTerms;
    /// assert_eq!(RateTerms::of_count(20).count, 20);
    /// ```
    pub const fn of_count(count: u64) -> Self {
        Self { count, window_millis: u64::MAX, max_senders: usize::MAX, needs_current_list: false }
    }

    /// Returns the rate of a share of the window's count, in requests per second.
    pub fn per_s(&self, share: u64) -> f64 {
        share as f64 * MILLIS_PER_SECOND / self.window_millis as f64
    }
}

/// Membership of this VM in the VM list, and the age of its own list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListMembership {
    /// Start of this VM's unbroken membership in the other VMs' lists; none before it is listed.
    member_since: Option<Moment>,
    /// End of the time for which the other VMs certainly keep this VM's share.
    membership_deadline: Moment,
    /// Time until which this VM's own lease is certainly valid.
    lease_deadline: Moment,
    /// Time of the store's latest confirmation of the list, received directly or through another VM.
    confirmed_at: Moment,
    /// Start of the unbroken series of confirmations, in which removals were recorded too; none before the
    /// first.
    confirmed_since: Option<Moment>,
}

impl ListMembership {
    /// Records that the store lists this VM at `now`, until at least `lease_deadline`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::ListMembership;
    /// use spanfold_entity::Moment;
    /// let at = |seconds: u64| Moment(seconds * 1_000_000);
    /// let mut membership = ListMembership::default();
    /// membership.record_listing(at(9), at(0));
    /// membership.record_list_confirmation(at(1));
    /// assert!(!membership.may_use_share(at(5)));
    /// membership.record_list_confirmation(at(4));
    /// assert!(membership.may_use_share(at(5)) && membership.may_use_share(at(20)) && !membership.may_use_share(at(25)));
    /// assert!(membership.is_list_current(at(5)) && !membership.is_list_current(at(8)));
    /// ```
    pub fn record_listing(&mut self, lease_deadline: Moment, now: Moment) {
        if self.member_since.is_none() || now >= self.membership_deadline {
            self.member_since = Some(now);
        }
        self.lease_deadline = lease_deadline;
        self.membership_deadline =
            self.membership_deadline.max(lease_deadline.after_millis(SHARE_RETENTION_MILLIS));
    }

    /// Records that the store confirmed this VM's list at `confirmed_at`.
    pub fn record_list_confirmation(&mut self, confirmed_at: Moment) {
        if self.confirmed_since.is_none()
            || confirmed_at >= self.confirmed_at.after_millis(SHARE_RETENTION_MILLIS)
        {
            self.confirmed_since = Some(confirmed_at);
        }
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    /// Whether this VM may use its share. The other VMs have then recorded its entry, and it has recorded
    /// those of VMs that joined or returned at the same time.
    pub fn may_use_share(&self, now: Moment) -> bool {
        let is_propagated = |since: Option<Moment>| {
            since.is_some_and(|since| self.confirmed_at >= since.after_millis(PROPAGATION_DELAY_MILLIS))
        };
        let is_recorded = is_propagated(self.member_since) && is_propagated(self.confirmed_since);
        is_recorded
            && now < self.membership_deadline
            && now < self.confirmed_at.after_millis(SHARE_RETENTION_MILLIS)
    }

    /// Whether the store confirmed this VM's list a short while ago.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::ListMembership;
    /// use spanfold_entity::Moment;
    /// let at = |seconds: u64| Moment(seconds * 1_000_000);
    /// let mut membership = ListMembership::default();
    /// assert!(!membership.is_list_confirmed(at(1)));
    /// membership.record_list_confirmation(at(1));
    /// assert!(membership.is_list_confirmed(at(2)) && !membership.is_list_confirmed(at(8)));
    /// ```
    pub fn is_list_confirmed(&self, now: Moment) -> bool {
        self.confirmed_since.is_some() && is_view_current(self.confirmed_at, now)
    }

    /// Whether this VM may use its share, is listed, and has a current list.
    pub fn is_list_current(&self, now: Moment) -> bool {
        self.may_use_share(now) && now < self.lease_deadline && self.is_list_confirmed(now)
    }
}

/// A VM's right to send to endpoints that accept few requests from all VMs together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareRight {
    /// Key of this VM.
    pub own: VmKey,
    /// Data centre of this VM.
    pub data_centre: String,
    /// Whether this VM is listed and its list is current.
    pub is_list_current: bool,
    /// The other VMs of its data centre that may use their shares.
    pub local_vms: Vec<VmKey>,
    /// All other VMs that may use their shares.
    pub other_vms: Vec<VmKey>,
    /// The other data centres that have such VMs.
    pub remote_data_centres: BTreeSet<String>,
}

impl ShareRight {
    /// Returns the requests per window that this VM may send to an endpoint of `data_centre`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{EndpointKey, RateTerms, ShareRight, VmKey};
    /// let alone = ShareRight::alone(VmKey::of("vm-1"), "dc-a");
    /// let terms = RateTerms::of_limit(4.0);
    /// assert_eq!(alone.share(EndpointKey::of("i-1"), "dc-a", &terms), 4);
    /// ```
    pub fn share(&self, endpoint: EndpointKey, data_centre: &str, terms: &RateTerms) -> u64 {
        if terms.needs_current_list && !self.is_list_current {
            return 0;
        }
        self.senders(data_centre).map_or(0, |others| self.share_among(others, endpoint, terms))
    }

    fn share_among(&self, others: &[VmKey], endpoint: EndpointKey, terms: &RateTerms) -> u64 {
        let count = usize::try_from(terms.count).unwrap_or(usize::MAX);
        let senders = terms.max_senders.min(others.len() + 1).min(count);
        let own_hash = rendezvous(self.own, endpoint);
        let position = others.iter().filter(|vm| rendezvous(**vm, endpoint) < own_hash).take(senders).count();
        if position >= senders {
            return 0;
        }
        let remainder = count % senders;
        (count / senders + usize::from(position < remainder)) as u64
    }

    /// Returns the other VMs that have shares of an endpoint of `data_centre`; none if this VM's data centre has no
    /// share there.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{EndpointKey, RateTerms, ShareRight, VmKey};
    /// let others: Vec<_> = ["vm-2", "vm-3"].map(VmKey::of).to_vec();
    /// let right = ShareRight { local_vms: others.clone(), ..ShareRight::alone(VmKey::of("vm-1"), "dc-a") };
    /// let senders = right.other_senders(EndpointKey::of("i-1"), "dc-a", &RateTerms::of_limit(6.0));
    /// assert_eq!(senders.len(), 2);
    /// ```
    pub fn other_senders(&self, endpoint: EndpointKey, data_centre: &str, terms: &RateTerms) -> Vec<VmKey> {
        let others = self.senders(data_centre).unwrap_or_default();
        let count = usize::try_from(terms.count).unwrap_or(usize::MAX);
        let mut senders: Vec<_> = others.iter().copied().chain([self.own]).collect();
        senders.sort_unstable_by_key(|vm| rendezvous(*vm, endpoint));
        senders.truncate(terms.max_senders.min(count));
        senders.retain(|vm| *vm != self.own);
        senders
    }

    /// Returns this VM's share of a count for the VMs of all data centres.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{EndpointKey, RateTerms, ShareRight, VmKey};
    /// let alone = ShareRight::alone(VmKey::of("vm-1"), "dc-a");
    /// assert_eq!(alone.share_of_total(EndpointKey::of("a"), &RateTerms::of_count(20)), 20);
    /// ```
    pub fn share_of_total(&self, key: EndpointKey, terms: &RateTerms) -> u64 {
        self.share_among(&self.other_vms, key, terms)
    }

    /// Returns the right of a VM that has a current list without other VMs.
    pub fn alone(own: VmKey, data_centre: &str) -> Self {
        Self {
            own,
            data_centre: data_centre.to_owned(),
            is_list_current: true,
            local_vms: Vec::new(),
            other_vms: Vec::new(),
            remote_data_centres: BTreeSet::new(),
        }
    }

    /// Returns the other VMs that share an endpoint of `data_centre`; none if this VM has no share there.
    fn senders(&self, data_centre: &str) -> Option<&[VmKey]> {
        if data_centre == self.data_centre {
            Some(&self.local_vms)
        } else if self.remote_data_centres.contains(data_centre) {
            None
        } else {
            Some(&self.other_vms)
        }
    }
}

/// Returns the sort key of a VM among the senders to an endpoint. It is the same on all VMs and differs
/// between endpoints.
const fn rendezvous(vm: VmKey, endpoint: EndpointKey) -> u64 {
    // The finalizer of SplitMix64: each bit of both keys affects each bit of the result.
    let mut mixed = vm.0 ^ endpoint.0.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Times of a VM's recent sends to one endpoint that accepts few requests, oldest first.
#[derive(Debug, Default)]
pub struct RecentSends(VecDeque<Moment>);

impl RecentSends {
    /// Returns the time from which one more request may be sent. The VM may send `share` requests per window;
    /// none is returned if it is zero.
    pub fn next_at(&self, share: u64, window_millis: u64, now: Moment) -> Option<Moment> {
        let share = usize::try_from(share).unwrap_or(usize::MAX);
        if share == 0 {
            return None;
        }
        let Some(index) = self.0.len().checked_sub(share) else { return Some(now) };
        Some(self.0[index].after_millis(window_millis).max(now))
    }

    /// Records a send, and discards those that no window of `window_millis` contains any more.
    pub fn push(&mut self, window_millis: u64, now: Moment) {
        let window_start = Moment(now.0.saturating_sub(window_millis.saturating_mul(MICROS_PER_MILLI)));
        while self.0.front().is_some_and(|sent_at| *sent_at <= window_start) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }
}
