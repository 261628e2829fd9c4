//! The way from a traffic task to the control thread and back.
//!
//! Invariant: whatever becomes of the task, the kernel hears exactly once that its request ended.

use crate::caller::FinalError;
use crate::desk::Decision;
use crate::shared::SharedState;
use spanfold_kernel::{Arrival, Event, FailureKind, Outcome, RefusalKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

/// The control thread answers long before this; it is the backstop for a bug or a stall.
const DECISION_SLACK: Duration = Duration::from_secs(2);
/// A request adds this much to the retry budget, in thousandths of a retry.
const BUDGET_ADDED: i64 = 200;
/// A retry takes this much.
const BUDGET_TAKEN: i64 = 1_000;
/// The budget never holds more than this.
const BUDGET_MOST: i64 = 50_000;

/// Retries that this process may still make: a fifth of its requests.
///
/// Without it, a failing pool would get three times its usual load just when it is weakest.
static RETRY_BUDGET: AtomicI64 = AtomicI64::new(10_000);

/// A request known to the kernel; dropping it tells the kernel that it was abandoned.
#[derive(Debug)]
pub(crate) struct OpenGate {
    shared: Arc<SharedState>,
    pub number: u64,
    ended: bool,
}

/// Where the kernel sent a request.
#[derive(Debug)]
pub(crate) struct Destination {
    pub endpoint: String,
    pub import: Option<spanfold_kernel::Import>,
    pub priority: i8,
}

impl OpenGate {
    pub(crate) fn new(shared: &Arc<SharedState>) -> Self {
        let added = |held: i64| Some((held + BUDGET_ADDED).min(BUDGET_MOST));
        let _ = RETRY_BUDGET.fetch_update(Ordering::Relaxed, Ordering::Relaxed, added);
        Self { shared: Arc::clone(shared), number: shared.request_number(), ended: false }
    }

    /// Asks the kernel for an endpoint.
    pub(crate) async fn arrive(&self, mut arrival: Arrival) -> Result<Destination, FinalError> {
        arrival.request = self.number;
        let wait = self.shared.until(arrival.deadline) + DECISION_SLACK;
        let decision = self.shared.desk.decisions.wait(self.number);
        if !self.shared.raise(Event::Arrive(arrival)) {
            return Err(FinalError::refused(RefusalKind::Stopping, 1_000));
        }
        match tokio::time::timeout(wait, decision).await {
            Ok(Ok(Decision::Dispatch { endpoint, import, priority })) => {
                Ok(Destination { endpoint, import, priority })
            }
            Ok(Ok(Decision::Refuse { reason, retry_after_millis })) => {
                Err(FinalError::refused(reason, retry_after_millis))
            }
            _ => Err(FinalError::refused(RefusalKind::Deadline, 1_000)),
        }
    }

    pub(crate) fn progress(&self, outcome: Outcome) {
        self.shared.raise(Event::Progress { request: self.number, outcome });
    }

    pub(crate) fn failed(&self, kind: FailureKind) {
        self.progress(Outcome::Failed(kind));
    }

    pub(crate) fn complete(mut self, tokens: u32) {
        self.ended = true;
        self.progress(Outcome::Complete(tokens));
    }
}

impl Drop for OpenGate {
    fn drop(&mut self) {
        if !self.ended {
            self.progress(Outcome::Abandoned);
        }
    }
}

/// Takes a retry out of the budget; false if there is none left.
pub(crate) fn take_retry() -> bool {
    RETRY_BUDGET
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
            (held >= BUDGET_TAKEN).then_some(held - BUDGET_TAKEN)
        })
        .is_ok()
}
