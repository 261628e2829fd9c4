//! How many requests each VM may send to an endpoint that is cold.
//!
//! Pattern: many engines start again at once under a burst. A fresh engine looks idle, so all VMs send to it together;
//! while it is cold it bears a few requests a second, and falls over at well above that. The limit binds all VMs
//! together, also those that cannot hear one another, and no request has the time for a question to another VM.
//!
//! With four fifths of 60 engines back at once under a burst of 2.2, twice, worth rose from 0.06 (22 and more requests in a
//! second, 40 times) to 0.17 with none over the limit, and to 0.01 where cold engines got nothing (one and two seeds).
//!
//! Of the VMs of an endpoint's data centre a few send to it while it is cold, each as many in a second as its part. Who
//! they are follows from the VMs' names and the endpoint's key (rendezvous hashing), so that VMs with the same list agree
//! without a message.
//!
//! Invariant: all VMs together send at most [`ColdSpec::per_s`], and half of what the operator allows, in any second. A VM
//! with another list than the rest could add to that; so a VM sends nothing to a cold endpoint while its own lease may
//! have lapsed, while its list may be old, and until the others have heard of it. The other half is for what is left of
//! such errors.

use crate::{ColdSpec, EndpointKey, VmKey};
use spanfold_entity::Moment;
use std::collections::VecDeque;

/// VMs that send to one cold endpoint. Free: with ten, one request a second each, worth was the same (0.159 and 0.185 with
/// ten, 0.169 and 0.179 with five, two seeds).
const SENDERS_MOST: usize = 5;
/// Part of what the operator allows that is used. Free: so much that one more set of senders would not pass the limit.
const USED_PART: f64 = 0.5;
/// Time over which requests are counted, in milliseconds: a second, and some for the way to the endpoint (chosen).
const WINDOW_MILLIS: u64 = 1_050;

/// After this long, in milliseconds, all VMs in touch know of a new entry: changes of the store reach them within 2 s.
const LISTED_MILLIS: u64 = 3_000;
/// What the store told of the VMs that there are counts for this long, in milliseconds; less than [`LISTED_MILLIS`], so
/// that a new VM begins only when those that go by a list without it have stopped.
const NEWS_MILLIS: u64 = 2_500;

/// What the operator allows all VMs together to send to a cold endpoint in a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTerms {
    /// Multiple of what it bears.
    pub overrun: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// Whether a VM and the others know the same list of VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListStanding {
    /// When this VM's entry was written under its present lease; none while there is no lease.
    pub listed_at: Option<Moment>,
    /// Until when its lease stands for sure.
    pub lease_until: Moment,
    /// When the store last told, directly or through another VM, that the list stands.
    pub news_at: Moment,
}

impl ListStanding {
    /// Whether the VM may act on the list that it knows.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::ListStanding;
    /// use spanfold_entity::Moment;
    /// let at = |millis: u64| Moment(millis * 1_000);
    /// let standing = ListStanding { listed_at: Some(at(0)), lease_until: at(9_000), news_at: at(4_000) };
    /// assert!(standing.holds(at(5_000)));
    /// assert!(!standing.holds(at(2_000)) && !standing.holds(at(7_000)) && !standing.holds(at(9_000)));
    /// ```
    pub fn holds(&self, now: Moment) -> bool {
        let is_known = self.listed_at.is_some_and(|at| now >= at.after_millis(LISTED_MILLIS));
        is_known && now < self.lease_until && now < self.news_at.after_millis(NEWS_MILLIS)
    }
}

/// A VM's right to send to cold endpoints of its data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdRight {
    /// This VM.
    pub own: VmKey,
    /// The other VMs of its data centre that the store lists.
    pub others: Vec<VmKey>,
    /// What the operator allows.
    pub terms: ColdTerms,
}

impl ColdRight {
    /// Requests that this VM may send to a cold endpoint in a second.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{ColdRight, ColdSpec, ColdTerms, EndpointKey, VmKey};
    /// let spec = ColdSpec { start_millis: 3_000, per_s: 11.0 };
    /// let terms = ColdTerms { overrun: 1.5, slack: 5.0 };
    /// let alone = ColdRight { own: VmKey::of("vm-1"), others: Vec::new(), terms };
    /// assert_eq!(alone.part(EndpointKey::of("i-1"), spec), 10);
    /// ```
    pub fn part(&self, endpoint: EndpointKey, spec: ColdSpec) -> usize {
        let allowed = (spec.per_s * self.terms.overrun + self.terms.slack) * USED_PART;
        let total = spec.per_s.min(allowed) as usize;
        let senders = SENDERS_MOST.min(self.others.len() + 1).min(total);
        let own = rendezvous(self.own, endpoint);
        let before = self.others.iter().filter(|vm| rendezvous(**vm, endpoint) < own).take(senders).count();
        if before < senders { total / senders } else { 0 }
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

/// Requests that a VM has sent to one endpoint while that was cold.
#[derive(Debug, Default)]
pub struct ColdSends(VecDeque<Moment>);

impl ColdSends {
    /// How many of them count at `now`.
    pub fn count(&self, now: Moment) -> usize {
        self.0.iter().filter(|at| now < at.after_millis(WINDOW_MILLIS)).count()
    }

    /// Counts one more.
    pub fn push(&mut self, now: Moment) {
        while self.0.front().is_some_and(|at| now >= at.after_millis(WINDOW_MILLIS)) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }
}
