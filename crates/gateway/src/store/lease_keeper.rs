//! This VM's lease in the store, which carries its entry in the VM list and the right to order engines.
//!
//! Invariant: the right is valid, by this VM's monotonic clock, for the lease's lifetime less a margin,
//! counted from the moment before the renewal was sent. After that nothing more is ordered, whatever the
//! store answers later. The store ends the lease of a VM that died, and with it both keys.

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

/// Number of VMs, by name, that hold short leases and claim a free right soon one after the other. The others
/// claim it only if none of these does.
const MAX_CANDIDATES: usize = 4;
/// VMs that start together have recorded one another after this long, in milliseconds.
const STARTUP_DELAY_MILLIS: u64 = 2_000;
/// Lifetime of a candidate's lease, in milliseconds: a dead holder is replaced soon after.
pub(crate) const CANDIDATE_LEASE_MILLIS: u64 = 2_500;
/// Interval between a candidate's renewals: two may fail before the right expires.
const CANDIDATE_RENEWAL_INTERVAL: Duration = Duration::from_millis(700);
/// Lifetime of the other VMs' leases, in milliseconds. That such a VM is gone is detected by its silence
/// timeout.
const LONG_LEASE_MILLIS: u64 = 10_000;
/// Interval between the other VMs' renewals.
const LONG_RENEWAL_INTERVAL: Duration = Duration::from_millis(2_800);
/// Smallest fraction of the interval after which a new lease is renewed first.
const MIN_FIRST_RENEWAL_FRACTION: f64 = 0.2;
/// The right expires this long before the lease does, in milliseconds.
const LEASE_MARGIN_MILLIS: u64 = 800;
/// Delay after the first failed call, doubled with each further one: calls are priced, refused ones too.
const FIRST_FAILURE_BACKOFF: Duration = Duration::from_millis(200);
/// Longest delay after failed calls. A lease expires if the store is unreachable for longer than its
/// lifetime, and is then taken again at most this much later.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_millis(800);
/// VMs try to claim a free right in the order of their names, this many milliseconds apart.
const CLAIM_STEP_MILLIS: u64 = 200;
/// Extra time that a new holder waits, in milliseconds. Its predecessor stopped `LEASE_MARGIN_MILLIS` before
/// the lease ended, and orders of two holders must not mix for a while after that.
const TAKEOVER_MARGIN_MILLIS: u64 = 400;

/// Lifetime of a lease and the interval between its renewals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LeaseTerms {
    lease_millis: u64,
    renewal_interval: Duration,
}

impl LeaseTerms {
    /// Returns the terms for the VM with this index by name; none is an index that isn't known yet.
    ///
    /// VMs that start together have not recorded one another yet: each would take itself for the first by
    /// name, and would renew at a candidate's interval as long as it runs.
    const fn for_name_index(name_index: Option<usize>) -> Self {
        let Some(name_index) = name_index else {
            return Self { lease_millis: LONG_LEASE_MILLIS, renewal_interval: LONG_RENEWAL_INTERVAL };
        };
        if name_index < MAX_CANDIDATES {
            Self { lease_millis: CANDIDATE_LEASE_MILLIS, renewal_interval: CANDIDATE_RENEWAL_INTERVAL }
        } else {
            Self { lease_millis: LONG_LEASE_MILLIS, renewal_interval: LONG_RENEWAL_INTERVAL }
        }
    }
}

/// This VM's right to order engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OrderRight {
    /// Fencing token: the position at which the right was claimed; zero if it is not held.
    pub fencing: u64,
    /// No order before this moment.
    pub from: Moment,
    /// No order at or after this moment.
    pub until: Moment,
}

/// Maintains the lease, the VM's entry and, where it is free, the right to order engines.
pub(crate) async fn keep_lease(
    gateway: Arc<Gateway>,
    mut orders: watch::Receiver<OrdersView>,
    right: watch::Sender<OrderRight>,
) {
    let mut keeper = LeaseKeeper {
        link: StoreLink::new(&gateway, "lease"),
        lease: None,
        lease_safe_until: Moment(0),
        free_since: None,
        terms: LeaseTerms::for_name_index(None),
        peers_listed_at: gateway.now().after_millis(STARTUP_DELAY_MILLIS),
        failures: 0,
        right,
        gateway,
    };
    let mut renew_at = Instant::now();
    while !keeper.gateway.is_stopping() {
        if keeper.drop_outdated_lease() || (keeper.failures == 0 && keeper.needs_shorter_lease()) {
            renew_at = Instant::now();
        }
        if Instant::now() >= renew_at {
            renew_at = Instant::now() + keeper.renew().await;
        }
        let view = orders.borrow_and_update().clone();
        keeper.claim_free_right(&view).await;
        let wake = renew_at.min(Instant::now() + Duration::from_millis(CLAIM_STEP_MILLIS));
        tokio::select! {
            () = tokio::time::sleep_until(wake) => {}
            changed = orders.changed() => if changed.is_err() { return },
        }
    }
    keeper.release_lease().await;
}

/// A lease with the era of the store that granted it: the next era assigns the ids of leases again.
#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    id: u64,
    era: Option<u64>,
}

struct LeaseKeeper {
    gateway: Arc<Gateway>,
    link: StoreLink,
    lease: Option<GrantedLease>,
    /// The lease is valid until then, by this VM's clock, with the margin deducted.
    lease_safe_until: Moment,
    free_since: Option<Moment>,
    /// Terms of the current lease.
    terms: LeaseTerms,
    /// The VMs that started together with this one are recorded from then on.
    peers_listed_at: Moment,
    /// Consecutive failed calls.
    failures: u32,
    right: watch::Sender<OrderRight>,
}

impl LeaseKeeper {
    /// Drops a lease of a past era, and all that depends on it; returns whether there was one.
    fn drop_outdated_lease(&mut self) -> bool {
        let era = self.gateway.era.known();
        let is_outdated = self.lease.is_some_and(|lease| lease.era != era);
        if is_outdated {
            self.drop_lease("the store was restored from a copy");
        }
        is_outdated
    }

    /// Returns this VM's index by name; none until the VMs that started together are recorded.
    fn name_index(&self) -> Option<usize> {
        (self.gateway.now() >= self.peers_listed_at).then(|| self.gateway.peers().own_name_index())
    }

    /// Whether the current lease is longer than that of a candidate. A new lease is then taken first.
    fn needs_shorter_lease(&self) -> bool {
        let required_terms = LeaseTerms::for_name_index(self.name_index());
        self.lease.is_some() && required_terms.lease_millis < self.terms.lease_millis
    }

    fn drop_lease(&mut self, reason: &str) {
        if let Some(lease) = self.lease.take() {
            log::warn!(lease = lease.id, reason; "lease.lost");
        }
        self.right.send_replace(OrderRight::default());
    }

    /// Renews the lease or takes a new one; returns the delay until the next renewal.
    async fn renew(&mut self) -> Duration {
        let sent_at = self.gateway.now();
        let dialect = self.gateway.dialect.store;
        if let Some(lease) = self.lease.filter(|_| !self.needs_shorter_lease()) {
            match self.call("renew", &(dialect.renew)(lease.id), dialect.decode_renew).await {
                Some(Ok(ttl_millis)) => {
                    self.failures = 0;
                    self.record_renewal(sent_at, ttl_millis);
                    return self.terms.renewal_interval;
                }
                Some(Err(StoreRefusal::LeaseGone)) => self.drop_lease("it has ended"),
                Some(Err(StoreRefusal::Restored)) => self.drop_lease("the store was restored from a copy"),
                _ => return self.next_failure_backoff(),
            }
        }
        let sent_at = self.gateway.now();
        self.terms = LeaseTerms::for_name_index(self.name_index());
        let call = (dialect.grant)(self.terms.lease_millis);
        let Some(Ok(grant)) = self.call("grant", &call, dialect.decode_grant).await else {
            return self.next_failure_backoff();
        };
        if !self.write_entry(grant.lease).await {
            return self.next_failure_backoff();
        }
        self.lease = Some(GrantedLease { id: grant.lease, era: self.gateway.era.known() });
        self.lease_safe_until = Moment(0);
        self.record_renewal(sent_at, grant.ttl_millis);
        self.failures = 0;
        log::info!(lease = grant.lease, ttl_millis = grant.ttl_millis; "lease.taken");
        // VMs that start together would all renew at the same moments: each answer also tells the others that the
        // store works.
        self.terms.renewal_interval.mul_f64(rand::random_range(MIN_FIRST_RENEWAL_FRACTION..1.0))
    }

    /// Returns the backoff after a failed call.
    fn next_failure_backoff(&mut self) -> Duration {
        let backoff = FIRST_FAILURE_BACKOFF * (1 << self.failures.min(4));
        self.failures += 1;
        backoff.min(MAX_FAILURE_BACKOFF)
    }

    fn record_renewal(&mut self, sent_at: Moment, ttl_millis: u64) {
        self.lease_safe_until = sent_at.after_millis(ttl_millis.saturating_sub(LEASE_MARGIN_MILLIS));
        let safe_until = self.lease_safe_until;
        self.gateway.list_membership().record_listing(safe_until, self.gateway.now());
        self.right.send_modify(|right| {
            if right.fencing != 0 {
                right.until = safe_until;
            }
        });
    }

    /// Writes this VM's entry under the lease.
    async fn write_entry(&mut self, lease: u64) -> bool {
        let entry = self.gateway.peers().own().clone();
        let key = format!("{VM_PREFIX}{}", entry.name);
        let transaction =
            StoreTransaction { writes: vec![(key, to_json(&entry), lease)], ..StoreTransaction::default() };
        let dialect = self.gateway.dialect.store;
        matches!(
            self.call("write", &(dialect.transact)(&transaction), dialect.decode_transact).await,
            Some(Ok(_))
        )
    }

    /// Claims the right to order engines if it is free, or if a previous process of this VM holds it.
    async fn claim_free_right(&mut self, view: &OrdersView) {
        let Some(lease) = self.lease else { return };
        // Until the index by name is known, the lease may be too long for a holder.
        if self.name_index().is_none() {
            return;
        }
        let now = self.gateway.now();
        if now >= self.lease_safe_until {
            return;
        }
        let own = self.own_holder(lease.id);
        let holder = view.holder.as_ref().filter(|(_, position)| Some(position.era) == lease.era);
        let ownership = holder.map(|(holder, position)| (holder.ownership(&own), *position));
        let takeover_delay_millis = self.takeover_delay_millis();
        let (expected_position, delay_millis) = match ownership {
            Some((LeaseOwnership::Own, position)) => {
                self.adopt_right(position);
                return;
            }
            // Claimed a moment ago; the watch has not returned it yet.
            Some((LeaseOwnership::PreviousProcess | LeaseOwnership::Expired, _)) | None
                if self.right.borrow().fencing != 0 =>
            {
                return;
            }
            Some((LeaseOwnership::PreviousProcess, position)) => (Some(position), 0),
            // The holder's key is removed with its lease, unless the store was restored from a backup that
            // contains the key without the lease. It is overwritten at its stored position: if another VM has
            // claimed the right meanwhile, the condition fails.
            Some((LeaseOwnership::Expired, position)) => (Some(position), takeover_delay_millis),
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
                let name_index = self.gateway.peers().own_name_index() as u64;
                if now < since.after_millis(CLAIM_STEP_MILLIS * name_index) {
                    return;
                }
                (None, takeover_delay_millis)
            }
        };
        self.claim_right(lease.id, expected_position, delay_millis).await;
    }

    /// Delay before a new holder's first order, in milliseconds.
    fn takeover_delay_millis(&self) -> u64 {
        self.gateway.settings.lease_ms.saturating_sub(LEASE_MARGIN_MILLIS) + TAKEOVER_MARGIN_MILLIS
    }

    fn own_holder(&self, lease: u64) -> LeaseHolder {
        let name = self.gateway.settings.name.clone();
        LeaseHolder { name, incarnation: self.gateway.incarnation, lease }
    }

    async fn claim_right(&mut self, lease: u64, expected_position: Option<StorePosition>, delay_millis: u64) {
        let holder = self.own_holder(lease);
        let transaction = StoreTransaction {
            conditions: vec![(ORDERS_KEY.to_owned(), expected_position)],
            writes: vec![(ORDERS_KEY.to_owned(), to_json(&holder), lease)],
            removals: Vec::new(),
        };
        let dialect = self.gateway.dialect.store;
        let answer = self.call("write", &(dialect.transact)(&transaction), dialect.decode_transact).await;
        if let Some(Ok(position)) = answer {
            let fencing = position.fencing();
            let from = self.gateway.now().after_millis(delay_millis);
            self.right.send_replace(OrderRight { fencing, from, until: self.lease_safe_until });
            log::info!(fencing, settle_millis = delay_millis; "orders.right_taken");
        }
        self.free_since = None;
    }

    /// Adopts a right that the store shows for this process, if the answer to the claim was lost.
    fn adopt_right(&mut self, position: StorePosition) {
        self.free_since = None;
        let fencing = position.fencing();
        if self.right.borrow().fencing == fencing || self.gateway.now() >= self.lease_safe_until {
            return;
        }
        let delay_millis = self.takeover_delay_millis();
        let from = self.gateway.now().after_millis(delay_millis);
        self.right.send_replace(OrderRight { fencing, from, until: self.lease_safe_until });
        log::info!(fencing, reason = "found in the store"; "orders.right_taken");
    }

    /// Ends the lease at a planned stop, so that other VMs need not wait until it expires.
    async fn release_lease(&mut self) {
        self.right.send_replace(OrderRight::default());
        self.drop_outdated_lease();
        if let Some(lease) = self.lease.take() {
            let call = (self.gateway.dialect.store.revoke)(lease.id);
            let decoder: StoreDecoder<()> = |_| Ok(());
            let _ = self.call("end", &call, decoder).await;
        }
    }

    async fn call<T>(
        &mut self,
        kind: &str,
        call: &WireCall,
        decoder: StoreDecoder<T>,
    ) -> Option<Result<T, StoreRefusal>> {
        self.link.call(kind, call, decoder).await
    }
}

fn to_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Plain structs of texts and numbers always have a JSON form.
    serde_json::to_vec(value).unwrap_or_default()
}
