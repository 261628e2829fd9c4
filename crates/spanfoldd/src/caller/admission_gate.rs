//! Admission of a request by the control thread, and reports of its progress.
//!
//! Invariant: however the task ends, the kernel is notified exactly once that its request finished.

use crate::caller::FinalError;
use crate::pending_answers::Decision;
use crate::shared::SharedState;
use spanfold_kernel::{Arrival, Event, FailureKind, Outcome, RefusalKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

/// Time past a request's deadline in which the kernel must decide.
///
/// The control thread decides long before; this bound covers only a bug or a stall.
const DECISION_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Thousandths of a retry that a request adds to the retry budget.
const REQUEST_CREDIT_MILLIRETRIES: i64 = 200;
/// Thousandths of a retry that a retry takes from the budget.
const RETRY_COST_MILLIRETRIES: i64 = 1_000;
/// Bound on the retry budget, in thousandths of a retry.
const MAX_BUDGET_MILLIRETRIES: i64 = 50_000;

/// Retries that this process may still make, in thousandths: a fifth of its requests.
///
/// Without this budget a failing pool would receive three times its usual load when it can least
/// serve it.
static RETRY_BUDGET_MILLIRETRIES: AtomicI64 = AtomicI64::new(10_000);

/// A request at the kernel; dropping it reports the request as abandoned.
#[derive(Debug)]
pub(crate) struct AdmissionGate {
    shared: Arc<SharedState>,
    pub number: u64,
    finished: bool,
}

/// The endpoint that the kernel chose for a request.
#[derive(Debug)]
pub(crate) struct DispatchTarget {
    pub endpoint: String,
    pub import: Option<spanfold_kernel::Import>,
    pub priority: i8,
}

impl AdmissionGate {
    pub(crate) fn new(shared: &Arc<SharedState>) -> Self {
        let credited =
            |budget: i64| Some((budget + REQUEST_CREDIT_MILLIRETRIES).min(MAX_BUDGET_MILLIRETRIES));
        let _ = RETRY_BUDGET_MILLIRETRIES.fetch_update(Ordering::Relaxed, Ordering::Relaxed, credited);
        Self { shared: Arc::clone(shared), number: shared.next_request_number(), finished: false }
    }

    /// Requests an endpoint from the kernel.
    pub(crate) async fn admit(&self, mut arrival: Arrival) -> Result<DispatchTarget, FinalError> {
        arrival.request = self.number;
        let timeout = self.shared.time_until(arrival.deadline) + DECISION_TIMEOUT_MARGIN;
        let decision = self.shared.pending.decisions.register(self.number);
        if !self.shared.try_send_event(Event::Arrive(arrival)) {
            return Err(FinalError::refused(RefusalKind::Stopping, 1_000));
        }
        match tokio::time::timeout(timeout, decision).await {
            Ok(Ok(Decision::Dispatch { endpoint, import, priority })) => {
                Ok(DispatchTarget { endpoint, import, priority })
            }
            Ok(Ok(Decision::Refuse { reason, retry_after_millis })) => {
                Err(FinalError::refused(reason, retry_after_millis))
            }
            _ => Err(FinalError::refused(RefusalKind::Deadline, 1_000)),
        }
    }

    pub(crate) fn report_progress(&self, outcome: Outcome) {
        self.shared.try_send_event(Event::Progress { request: self.number, outcome });
    }

    pub(crate) fn report_failure(&self, kind: FailureKind) {
        self.report_progress(Outcome::Failed(kind));
    }

    pub(crate) fn complete(mut self, tokens: u32) {
        self.finished = true;
        self.report_progress(Outcome::Complete(tokens));
    }
}

impl Drop for AdmissionGate {
    fn drop(&mut self) {
        if !self.finished {
            self.report_progress(Outcome::Abandoned);
        }
    }
}

/// Takes a retry from the budget; returns false if none is left.
pub(crate) fn spend_retry() -> bool {
    RETRY_BUDGET_MILLIRETRIES
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |budget| {
            (budget >= RETRY_COST_MILLIRETRIES).then_some(budget - RETRY_COST_MILLIRETRIES)
        })
        .is_ok()
}
