//! This VM's part of what endpoints take that take few requests from all VMs together, and who waits for it.
//!
//! Invariant: a part counts only while the other VMs are sure to leave it to this one (`ListStanding`).

use crate::gateway::Gateway;
use crate::{ColdTerms, ShareQueue, ShareRight};
use spanfold_entity::Moment;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The list of VMs is looked through again after this long, in milliseconds: far less than a new VM waits.
const RIGHT_MILLIS: u64 = 100;

/// The right, and until when it is taken for the present one.
type KnownRight = (Arc<ShareRight>, Moment);

/// This VM's right, and the requests that wait for endpoints.
#[derive(Debug, Default)]
pub(crate) struct ShareDesk {
    right: Mutex<Option<KnownRight>>,
    queue: Mutex<ShareQueue>,
    numbers: AtomicU64,
}

impl ShareDesk {
    /// Requests that wait. Never held across a wait.
    pub(crate) fn queue(&self) -> MutexGuard<'_, ShareQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of the next request.
    pub(crate) fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }
}

impl Gateway {
    /// This VM's right to send to endpoints that take few requests; none while there are none such, and while others may
    /// not know of this VM or it may not know of them.
    pub(crate) fn share_right(&self) -> Option<Arc<ShareRight>> {
        if !self.table().is_any_limited(self.now()) {
            return None;
        }
        self.sharing_right()
    }

    /// This VM's right to a part of what all VMs share; none while others may not know of this VM or it may not know of
    /// them.
    pub(crate) fn sharing_right(&self) -> Option<Arc<ShareRight>> {
        let now = self.now();
        let standing = *self.list_standing();
        if !standing.holds(now) {
            return None;
        }
        let mut known = self.shares.right.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((right, until)) = known.as_ref()
            && now < *until
            && right.is_fresh == standing.is_fresh(now)
        {
            return Some(Arc::clone(right));
        }
        let right = Arc::new(self.peers().share_right(&standing, now));
        *known = Some((Arc::clone(&right), now.after_millis(RIGHT_MILLIS)));
        Some(right)
    }

    /// What the operator allows all VMs together to send to a cold endpoint.
    pub(crate) fn cold_terms(&self) -> ColdTerms {
        ColdTerms { overrun: self.settings.cold_overrun, slack: self.settings.cold_slack }
    }
}
