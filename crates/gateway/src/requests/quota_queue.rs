//! This VM's share of rate-limited endpoints' capacity, and the requests that wait for it. An endpoint is
//! rate limited while it has a reported limit or is cold.
//!
//! Invariant: a share is used only while the other VMs are sure to leave it to this one (`ListMembership`).

use crate::gateway::Gateway;
use crate::{ColdTerms, ShareQueue, ShareRight};
use spanfold_entity::Moment;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Lifetime of a computed right: far less than the time for which a new VM waits before it uses its share.
const RIGHT_LIFETIME_MILLIS: u64 = 100;

/// The right, and when it must be computed again.
type CachedRight = (Arc<ShareRight>, Moment);

/// This VM's right, and the requests that wait for endpoints.
#[derive(Debug, Default)]
pub(crate) struct QuotaQueue {
    right: Mutex<Option<CachedRight>>,
    queue: Mutex<ShareQueue>,
    request_count: AtomicU64,
}

impl QuotaQueue {
    /// Locks the waiting requests; the lock is not held across an await.
    pub(crate) fn queue(&self) -> MutexGuard<'_, ShareQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of the next request.
    pub(crate) fn next_number(&self) -> u64 {
        self.request_count.fetch_add(1, Ordering::Relaxed)
    }
}

impl Gateway {
    /// Returns this VM's right to send to rate-limited endpoints. None if no endpoint is limited, or while
    /// others may not have this VM in their list or it may not have them.
    pub(crate) fn share_right(&self) -> Option<Arc<ShareRight>> {
        if !self.table().is_any_limited(self.now()) {
            return None;
        }
        self.sharing_right()
    }

    /// Returns this VM's right to a share of what all VMs share. None while others may not have this VM in
    /// their list or it may not have them.
    pub(crate) fn sharing_right(&self) -> Option<Arc<ShareRight>> {
        let now = self.now();
        let membership = *self.list_membership();
        if !membership.may_use_share(now) {
            return None;
        }
        let mut cached = self.quota_queue.right.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((right, expires_at)) = cached.as_ref()
            && now < *expires_at
            && right.is_list_current == membership.is_list_current(now)
        {
            return Some(Arc::clone(right));
        }
        let right = Arc::new(self.peers().share_right(&membership, now));
        *cached = Some((Arc::clone(&right), now.after_millis(RIGHT_LIFETIME_MILLIS)));
        Some(right)
    }

    /// Returns what the operator allows all VMs together to send to a cold endpoint.
    pub(crate) fn cold_terms(&self) -> ColdTerms {
        ColdTerms { overrun: self.settings.cold_overrun, slack: self.settings.cold_slack }
    }
}
