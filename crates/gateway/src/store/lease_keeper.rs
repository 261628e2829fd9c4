//! This VM's lease in the store: its entry among the VMs, and the right to order engines.
//!
//! Invariant: the right counts by this VM's monotonic clock from the moment before the renewal was
//! sent, less a margin; when that moment has passed, nothing more is ordered, whatever the store
//! says later. The store ends the lease of a VM that died, and with it both keys.

use crate::gateway::Gateway;
use crate::store::store_link::StoreLink;
use crate::store::store_view::OrdersView;
use crate::{LeaseHolder, LeaseOwnership};
use crate::{StoreDecoder, StorePosition, StoreRefusal, StoreTransaction, WireCall};
use spanfold_entity::Moment;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Prefix of the VMs' entries; the VM's name follows.
pub(crate) const VM_PREFIX: &str = "spanfold/vm/";
/// Key of the holder of the right to order engines.
pub(crate) const ORDERS_KEY: &str = "spanfold/orders";

/// VMs that take a free right one soon after the other; the others do so only if none of these does.
const CANDIDATES: usize = 4;
/// VMs that start together know one another after so long, in milliseconds.
const RANK_KNOWN_MILLIS: u64 = 2_000;
/// Time for which a candidate asks its lease, in milliseconds: a dead holder is replaced soon after.
const CANDIDATE_LEASE_MILLIS: u64 = 2_500;
/// Pause between a candidate's renewals: two may fail before the right lapses.
const CANDIDATE_RENEW_PAUSE: Duration = Duration::from_millis(700);
/// Time for which the others ask theirs, in milliseconds: that a VM is gone is learned from its silence.
const LONG_LEASE_MILLIS: u64 = 10_000;
/// Pause between the others' renewals.
const LONG_RENEW_PAUSE: Duration = Duration::from_millis(2_800);
/// The right ends this long before the lease does, in milliseconds.
const SAFETY_MILLIS: u64 = 800;
/// First pause after a failed call, doubled with each further one: calls are priced, refused ones too.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failed calls: a lease lapses if its store is away for longer than it lasts, and
/// is taken anew this much later at most.
const FAILURE_PAUSE_MOST: Duration = Duration::from_millis(800);
/// VMs try for a free right one after the other, in the order of their names, so far apart.
const RANK_PAUSE_MILLIS: u64 = 200;
/// A new holder waits this much longer than it must: its predecessor stopped `SAFETY_MILLIS` before
/// the lease ended, and orders of two holders may not mix for a while after that.
const SETTLE_EXTRA_MILLIS: u64 = 400;

/// How long a lease lasts and when it is renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LeaseTerms {
    lease_millis: u64,
    renew_pause: Duration,
}

impl LeaseTerms {
    /// The terms for the VM at place `rank` in the order of names; none while it is not known.
    ///
    /// VMs that start together know nobody: each would take itself for the first one, and renew as often, for as long as it
    /// runs.
    const fn for_rank(rank: Option<usize>) -> Self {
        let Some(rank) = rank else {
            return Self { lease_millis: LONG_LEASE_MILLIS, renew_pause: LONG_RENEW_PAUSE };
        };
        if rank < CANDIDATES {
            Self { lease_millis: CANDIDATE_LEASE_MILLIS, renew_pause: CANDIDATE_RENEW_PAUSE }
        } else {
            Self { lease_millis: LONG_LEASE_MILLIS, renew_pause: LONG_RENEW_PAUSE }
        }
    }
}

/// The right to order engines, as this VM has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OrderRight {
    /// Fencing token: where in the store's history the right was taken; zero if it is not held.
    pub fencing: u64,
    /// No order before this moment.
    pub from: Moment,
    /// No order at or after this moment.
    pub until: Moment,
}

/// Keeps the lease, the VM's entry and, where it is free, the right to order engines.
pub(crate) async fn keep_lease(
    gateway: Arc<Gateway>,
    mut orders: watch::Receiver<OrdersView>,
    right: watch::Sender<OrderRight>,
) {
    let mut keeper = LeaseKeeper {
        link: StoreLink::new(&gateway, "lease"),
        lease: None,
        safe_until: Moment(0),
        free_since: None,
        terms: LeaseTerms::for_rank(None),
        known_at: gateway.now().after_millis(RANK_KNOWN_MILLIS),
        failures: 0,
        right,
        gateway,
    };
    let mut renew_at = Instant::now();
    while !keeper.gateway.is_stopping() {
        if keeper.lose_old_lease() || (keeper.failures == 0 && keeper.needs_shorter_lease()) {
            renew_at = Instant::now();
        }
        if Instant::now() >= renew_at {
            renew_at = Instant::now() + keeper.renew().await;
        }
        let view = orders.borrow_and_update().clone();
        keeper.seek_right(&view).await;
        let wake = renew_at.min(Instant::now() + Duration::from_millis(RANK_PAUSE_MILLIS));
        tokio::select! {
            () = tokio::time::sleep_until(wake) => {}
            changed = orders.changed() => if changed.is_err() { return },
        }
    }
    keeper.give_up().await;
}

/// A lease, and the era of the store that granted it: ids of leases are given out again in the next one.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: u64,
    era: Option<u64>,
}

struct LeaseKeeper {
    gateway: Arc<Gateway>,
    link: StoreLink,
    lease: Option<HeldLease>,
    /// The lease is safe until then, by this VM's clock.
    safe_until: Moment,
    free_since: Option<Moment>,
    /// Terms of the present lease.
    terms: LeaseTerms,
    /// From then on it knows the VMs that started with it.
    known_at: Moment,
    /// Failed calls in a row.
    failures: u32,
    right: watch::Sender<OrderRight>,
}

impl LeaseKeeper {
    /// Drops a lease of an era that is over, and all that rests on it; whether there was one.
    fn lose_old_lease(&mut self) -> bool {
        let era = self.gateway.era.known();
        let is_old = self.lease.is_some_and(|lease| lease.era != era);
        if is_old {
            self.lose_lease("the store was restored from a copy");
        }
        is_old
    }

    /// This VM's place in the order of names; none while it does not know those that started with it.
    fn rank(&self) -> Option<usize> {
        (self.gateway.now() >= self.known_at).then(|| self.gateway.peers().own_rank())
    }

    /// Whether the present lease is longer than that of a VM that may take the right: it takes a new one first.
    fn needs_shorter_lease(&self) -> bool {
        let wanted = LeaseTerms::for_rank(self.rank());
        self.lease.is_some() && wanted.lease_millis < self.terms.lease_millis
    }

    fn lose_lease(&mut self, reason: &str) {
        if let Some(lease) = self.lease.take() {
            log::warn!(lease = lease.id, reason; "lease.lost");
        }
        self.right.send_replace(OrderRight::default());
    }

    /// Renews the lease or takes a new one; gives the pause until the next renewal.
    async fn renew(&mut self) -> Duration {
        let asked_at = self.gateway.now();
        let dialect = self.gateway.dialect.store;
        if let Some(lease) = self.lease.filter(|_| !self.needs_shorter_lease()) {
            match self.call("renew", &(dialect.renew)(lease.id), dialect.read_renew).await {
                Some(Ok(ttl_millis)) => {
                    self.failures = 0;
                    self.extend(asked_at, ttl_millis);
                    return self.terms.renew_pause;
                }
                Some(Err(StoreRefusal::LeaseGone)) => self.lose_lease("it has ended"),
                Some(Err(StoreRefusal::Restored)) => self.lose_lease("the store was restored from a copy"),
                _ => return self.failure_pause(),
            }
        }
        let asked_at = self.gateway.now();
        self.terms = LeaseTerms::for_rank(self.rank());
        let call = (dialect.grant)(self.terms.lease_millis);
        let Some(Ok(grant)) = self.call("grant", &call, dialect.read_grant).await else {
            return self.failure_pause();
        };
        if !self.enter(grant.lease).await {
            return self.failure_pause();
        }
        self.lease = Some(HeldLease { id: grant.lease, era: self.gateway.era.known() });
        self.safe_until = Moment(0);
        self.extend(asked_at, grant.ttl_millis);
        self.failures = 0;
        log::info!(lease = grant.lease, ttl_millis = grant.ttl_millis; "lease.taken");
        self.terms.renew_pause
    }

    /// The pause after a failed call.
    fn failure_pause(&mut self) -> Duration {
        let pause = FAILURE_PAUSE * (1 << self.failures.min(4));
        self.failures += 1;
        pause.min(FAILURE_PAUSE_MOST)
    }

    fn extend(&mut self, asked_at: Moment, ttl_millis: u64) {
        self.safe_until = asked_at.after_millis(ttl_millis.saturating_sub(SAFETY_MILLIS));
        let until = self.safe_until;
        self.gateway.list_standing().list_until(until, self.gateway.now());
        self.right.send_modify(|right| {
            if right.fencing != 0 {
                right.until = until;
            }
        });
    }

    /// Writes this VM's entry under the lease.
    async fn enter(&mut self, lease: u64) -> bool {
        let entry = self.gateway.peers().own().clone();
        let key = format!("{VM_PREFIX}{}", entry.name);
        let write =
            StoreTransaction { writes: vec![(key, json(&entry), lease)], ..StoreTransaction::default() };
        let dialect = self.gateway.dialect.store;
        matches!(self.call("write", &(dialect.transact)(&write), dialect.read_transact).await, Some(Ok(_)))
    }

    /// Takes the right to order engines if nobody holds it, or an earlier process of this VM does.
    async fn seek_right(&mut self, view: &OrdersView) {
        let Some(lease) = self.lease else { return };
        // Its lease may be too long for that, until its place is known.
        if self.rank().is_none() {
            return;
        }
        let now = self.gateway.now();
        if now >= self.safe_until {
            return;
        }
        let own = self.own_record(lease.id);
        let holder = view.holder.as_ref().filter(|(_, position)| Some(position.era) == lease.era);
        let standing = holder.map(|(record, position)| (record.standing(&own), *position));
        let settled = self.settle_millis();
        let (position, settle) = match standing {
            Some((LeaseOwnership::Own, position)) => {
                self.hold(position);
                return;
            }
            // Taken a moment ago, and the watch has not told yet.
            Some((LeaseOwnership::PreviousProcess | LeaseOwnership::Expired, _)) | None
                if self.right.borrow().fencing != 0 =>
            {
                return;
            }
            Some((LeaseOwnership::PreviousProcess, position)) => (Some(position), 0),
            // The record goes with its lease, unless the store was restored from a copy that holds it without one. It is
            // written over as it stands: if another VM has taken the right meanwhile, the condition fails.
            Some((LeaseOwnership::Expired, position)) => (Some(position), settled),
            Some((LeaseOwnership::Other, _)) => {
                self.free_since = None;
                if self.right.borrow().fencing != 0 {
                    log::warn!(reason = "another VM holds it"; "orders.right_lost");
                    self.right.send_replace(OrderRight::default());
                }
                return;
            }
            None => {
                let since = *self.free_since.get_or_insert(now);
                let rank = self.gateway.peers().own_rank() as u64;
                if now < since.after_millis(RANK_PAUSE_MILLIS * rank) {
                    return;
                }
                (None, settled)
            }
        };
        self.take_right(lease.id, position, settle).await;
    }

    /// How long a new holder waits before its first order, in milliseconds.
    fn settle_millis(&self) -> u64 {
        self.gateway.settings.lease_ms.saturating_sub(SAFETY_MILLIS) + SETTLE_EXTRA_MILLIS
    }

    fn own_record(&self, lease: u64) -> LeaseHolder {
        let name = self.gateway.settings.name.clone();
        LeaseHolder { name, incarnation: self.gateway.incarnation, lease }
    }

    async fn take_right(&mut self, lease: u64, standing_at: Option<StorePosition>, settle_millis: u64) {
        let record = self.own_record(lease);
        let take = StoreTransaction {
            conditions: vec![(ORDERS_KEY.to_owned(), standing_at)],
            writes: vec![(ORDERS_KEY.to_owned(), json(&record), lease)],
            removals: Vec::new(),
        };
        let dialect = self.gateway.dialect.store;
        let taken = self.call("write", &(dialect.transact)(&take), dialect.read_transact).await;
        if let Some(Ok(position)) = taken {
            let fencing = position.fencing();
            let from = self.gateway.now().after_millis(settle_millis);
            self.right.send_replace(OrderRight { fencing, from, until: self.safe_until });
            log::info!(fencing, settle_millis; "orders.right_taken");
        }
        self.free_since = None;
    }

    /// Learns from the store that the right is held by this process, if the answer was lost.
    fn hold(&mut self, position: StorePosition) {
        self.free_since = None;
        let fencing = position.fencing();
        if self.right.borrow().fencing == fencing || self.gateway.now() >= self.safe_until {
            return;
        }
        let settle = self.settle_millis();
        let from = self.gateway.now().after_millis(settle);
        self.right.send_replace(OrderRight { fencing, from, until: self.safe_until });
        log::info!(fencing, reason = "found in the store"; "orders.right_taken");
    }

    /// Ends the lease at a planned stop, so that others need not wait for it to lapse.
    async fn give_up(&mut self) {
        self.right.send_replace(OrderRight::default());
        self.lose_old_lease();
        if let Some(lease) = self.lease.take() {
            let call = (self.gateway.dialect.store.end)(lease.id);
            let done: StoreDecoder<()> = |_| Ok(());
            let _ = self.call("end", &call, done).await;
        }
    }

    async fn call<T>(
        &mut self,
        kind: &str,
        call: &WireCall,
        read: StoreDecoder<T>,
    ) -> Option<Result<T, StoreRefusal>> {
        let result = self.link.call(kind, call, read).await;
        if matches!(result, None | Some(Err(StoreRefusal::NotDone(_)))) {
            self.gateway.note_store_trouble(self.gateway.now());
        }
        result
    }
}

fn json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Plain structs of texts and numbers always have a JSON form.
    serde_json::to_vec(value).unwrap_or_default()
}
