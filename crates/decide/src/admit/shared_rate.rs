//! How many requests each VM may send to an endpoint that takes few from all VMs together.
//!
//! Pattern: an endpoint is cold, or names a limit in its answers. It looks idle, so all VMs send to it together, and
//! it falls over, or gets more than it takes. The limit binds the sum over all VMs, also of those that cannot hear one
//! another, and no request has the time for a question to another VM.
//!
//! Of the VMs of the endpoint's data centre as many send to it as the limit has requests for in its window, each its part;
//! where no VM stands there, those of all data centres do. Who they are follows from the VMs' names and the endpoint's key
//! (rendezvous hashing), so that VMs with the same list agree without a message. Not chosen: an equal part for each VM, since
//! with 295 VMs one request each is a hundred times a small limit; one VM alone, since few of its requests suit the endpoint.
//!
//! Invariant: all VMs together send at most [`RateTerms::count`] in any [`RateTerms::window_millis`] while their lists agree.
//! Where they cannot, nobody takes what another may still use: a VM that has left the list keeps its part for
//! [`PART_KEPT_MILLIS`], in which it may be cut off and go on; the others take it over after that. A new VM has no part
//! until the others have heard of it.

use crate::{ColdSpec, EndpointKey, VmKey};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::collections::{BTreeSet, VecDeque};

/// VMs that send to one cold endpoint: a VM whose list is wrong adds one of so few parts.
const COLD_SENDERS_MOST: usize = 5;
/// Part of what the operator allows to a cold endpoint that is used: one more set of senders would not pass it.
const COLD_USED_PART: f64 = 0.5;
/// Windows are this much longer than they must be, in milliseconds: requests take different times on their way.
const WAY_MILLIS: u64 = 50;
/// Milliseconds in a second, as a factor of rates.
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// An endpoint that names a lower limit, or zero, gets this many requests a second all the same: one that gets nothing says
/// nothing, and nobody would learn that its limit has ended.
pub(crate) const MIN_REQUESTS_PER_S: f64 = 1.0 / 60.0;

/// After this long, in milliseconds, all VMs in touch know of a new entry: changes of the store reach them within 2 s.
const LISTED_MILLIS: u64 = 3_000;
/// A list counts as fresh for this long after the store told that it stands, in milliseconds; less than [`LISTED_MILLIS`], so
/// that a new VM begins only when those that go by a list without it have stopped.
const NEWS_MILLIS: u64 = 2_500;
/// A VM that has left the list, or has no news of it, keeps its part for this long, in milliseconds: longer than most outages
/// of the store, so that endpoints with a limit are not out of use meanwhile.
pub(crate) const SHARE_RETENTION_MILLIS: u64 = 20_000;

/// What the operator allows all VMs together to send to a cold endpoint in a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdTerms {
    /// Multiple of what it bears.
    pub overrun: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// What all VMs together may send to one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateTerms {
    /// Requests in any span of the window's length.
    pub count: u64,
    /// Length of the window, in milliseconds.
    pub window_millis: u64,
    /// VMs that send to it at most.
    pub senders_most: usize,
    /// Whether only VMs send to it that are sure to stand in a list that is not old: an endpoint that falls over at more than
    /// it bears, and bears little for some seconds only, gets less in trouble rather than more.
    pub needs_fresh_list: bool,
}

impl RateTerms {
    /// The terms of an endpoint that is cold.
    pub fn of_cold(spec: ColdSpec, terms: ColdTerms) -> Self {
        let allowed = (spec.per_s * terms.overrun + terms.slack) * COLD_USED_PART;
        Self {
            count: spec.per_s.min(allowed) as u64,
            window_millis: MILLIS_PER_SECOND as u64 + WAY_MILLIS,
            senders_most: COLD_SENDERS_MOST,
            needs_fresh_list: true,
        }
    }

    /// The terms of an endpoint that takes `per_s` requests a second.
    ///
    /// Windows hold a whole number of requests and last a second at most, or the time of one request.
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
            window_millis: (count / per_s * MILLIS_PER_SECOND).ceil() as u64 + WAY_MILLIS,
            senders_most: usize::MAX,
            needs_fresh_list: false,
        }
    }

    /// The terms of a number of requests that all VMs together may send once.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::RateTerms;
    /// assert_eq!(RateTerms::of_count(20).count, 20);
    /// ```
    pub const fn of_count(count: u64) -> Self {
        Self { count, window_millis: u64::MAX, senders_most: usize::MAX, needs_fresh_list: false }
    }

    /// Requests a second that a part of the window's count comes to.
    pub fn per_s(&self, part: u64) -> f64 {
        part as f64 * MILLIS_PER_SECOND / self.window_millis as f64
    }
}

/// Whether the other VMs count this one among those that send, and whether it knows of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListMembership {
    /// Since when they count it, without a break; none before it was listed.
    member_since: Option<Moment>,
    /// Until when they do so for sure.
    member_until: Moment,
    /// Until when this VM's own lease stands for sure.
    lease_until: Moment,
    /// When the store last told, directly or through another VM, that the list stands.
    confirmed_at: Moment,
    /// Since when it has had such news, so that those who left meanwhile are known; none before the first.
    news_since: Option<Moment>,
}

impl ListMembership {
    /// Notes that this VM's entry stands in the store at `now`, until `lease_until` at least.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::ListStanding;
    /// use spanfold_entity::Moment;
    /// let at = |seconds: u64| Moment(seconds * 1_000_000);
    /// let mut standing = ListStanding::default();
    /// standing.list_until(at(9), at(0));
    /// standing.hear_news(at(1));
    /// assert!(!standing.holds(at(5)));
    /// standing.hear_news(at(4));
    /// assert!(standing.holds(at(5)) && standing.holds(at(20)) && !standing.holds(at(25)));
    /// assert!(standing.is_fresh(at(5)) && !standing.is_fresh(at(8)));
    /// ```
    pub fn list_until(&mut self, lease_until: Moment, now: Moment) {
        if self.member_since.is_none() || now >= self.member_until {
            self.member_since = Some(now);
        }
        self.lease_until = lease_until;
        self.member_until = self.member_until.max(lease_until.after_millis(SHARE_RETENTION_MILLIS));
    }

    /// Notes that the store told at `news_at` that the list stands as this VM knows it.
    pub fn record_list_confirmation(&mut self, confirmed_at: Moment) {
        if self.news_since.is_none() || confirmed_at >= self.confirmed_at.after_millis(SHARE_RETENTION_MILLIS)
        {
            self.news_since = Some(confirmed_at);
        }
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    /// Whether this VM may use its part: the others have heard of it, and it of those that came, or came back, with it.
    pub fn holds(&self, now: Moment) -> bool {
        let is_settled = |since: Option<Moment>| {
            since.is_some_and(|since| self.confirmed_at >= since.after_millis(LISTED_MILLIS))
        };
        let is_known = is_settled(self.member_since) && is_settled(self.news_since);
        is_known && now < self.member_until && now < self.confirmed_at.after_millis(SHARE_RETENTION_MILLIS)
    }

    /// Whether besides it stands in the list, and the list is not old.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.holds(now) && now < self.lease_until && now < self.confirmed_at.after_millis(NEWS_MILLIS)
    }
}

/// A VM's right to send to endpoints that take few requests from all VMs together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareRight {
    /// This VM.
    pub own: VmKey,
    /// Its data centre.
    pub data_centre: String,
    /// Whether the list that it knows is fresh, and it stands there.
    pub is_fresh: bool,
    /// The other VMs of its data centre that may use their parts.
    pub near: Vec<VmKey>,
    /// All other VMs that may.
    pub all: Vec<VmKey>,
    /// The other data centres where such VMs stand.
    pub remote_data_centres: BTreeSet<String>,
}

impl ShareRight {
    /// Requests in a window that this VM may send to an endpoint of `data_centre`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{EndpointKey, RateTerms, ShareRight, VmKey};
    /// let alone = ShareRight::alone(VmKey::of("vm-1"), "dc-a");
    /// let terms = RateTerms::of_limit(4.0);
    /// assert_eq!(alone.part(EndpointKey::of("i-1"), "dc-a", &terms), 4);
    /// ```
    pub fn part(&self, endpoint: EndpointKey, data_centre: &str, terms: &RateTerms) -> u64 {
        if terms.needs_fresh_list && !self.is_fresh {
            return 0;
        }
        self.senders(data_centre).map_or(0, |others| self.part_among(others, endpoint, terms))
    }

    fn part_among(&self, others: &[VmKey], endpoint: EndpointKey, terms: &RateTerms) -> u64 {
        let count = usize::try_from(terms.count).unwrap_or(usize::MAX);
        let senders = terms.senders_most.min(others.len() + 1).min(count);
        let own = rendezvous(self.own, endpoint);
        let place = others.iter().filter(|vm| rendezvous(**vm, endpoint) < own).take(senders).count();
        if place >= senders {
            return 0;
        }
        let rest = count % senders;
        (count / senders + usize::from(place < rest)) as u64
    }

    /// Requests that this VM may send of those that all VMs of all data centres share on these terms.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{EndpointKey, RateTerms, ShareRight, VmKey};
    /// let alone = ShareRight::alone(VmKey::of("vm-1"), "dc-a");
    /// assert_eq!(alone.part_of_all(EndpointKey::of("a"), &RateTerms::of_count(20)), 20);
    /// ```
    pub fn share_of_total(&self, key: EndpointKey, terms: &RateTerms) -> u64 {
        self.part_among(&self.all, key, terms)
    }

    /// The right of a VM that knows of no other, with a fresh list.
    pub fn alone(own: VmKey, data_centre: &str) -> Self {
        Self {
            own,
            data_centre: data_centre.to_owned(),
            is_fresh: true,
            near: Vec::new(),
            all: Vec::new(),
            remote_data_centres: BTreeSet::new(),
        }
    }

    /// The other VMs among which the parts of an endpoint of `data_centre` are dealt; none if this VM has none there.
    fn senders(&self, data_centre: &str) -> Option<&[VmKey]> {
        if data_centre == self.data_centre {
            Some(&self.near)
        } else if self.remote_data_centres.contains(data_centre) {
            None
        } else {
            Some(&self.all)
        }
    }
}

/// Order of the VMs that may send to an endpoint: the same on all VMs, and another one for each endpoint.
const fn rendezvous(vm: VmKey, endpoint: EndpointKey) -> u64 {
    // The finalizer of SplitMix64: each bit of both keys bears on each bit of the result.
    let mut mixed = vm.0 ^ endpoint.0.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// What a VM has sent to one endpoint while that took few requests, oldest first.
#[derive(Debug, Default)]
pub struct RecentSends(VecDeque<Moment>);

impl RecentSends {
    /// When one more may be sent, if a VM may send `part` in a window; none if it may send nothing.
    pub fn next_at(&self, part: u64, window_millis: u64, now: Moment) -> Option<Moment> {
        let part = usize::try_from(part).unwrap_or(usize::MAX);
        if part == 0 {
            return None;
        }
        let Some(place) = self.0.len().checked_sub(part) else { return Some(now) };
        Some(self.0[place].after_millis(window_millis).max(now))
    }

    /// Counts one more, and forgets those that no window of `window_millis` holds any more.
    pub fn push(&mut self, window_millis: u64, now: Moment) {
        let oldest = Moment(now.0.saturating_sub(window_millis.saturating_mul(MICROS_PER_MILLI)));
        while self.0.front().is_some_and(|at| *at <= oldest) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }
}
