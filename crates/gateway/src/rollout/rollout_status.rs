//! State of rollouts that one VM reports to operators.

use crate::gateway::Gateway;
use crate::{AnswerCounts, RolloutRun};
use serde::Serialize;
use spanfold_entity::Moment;

/// State of a rollout at one VM.
#[derive(Debug, Serialize)]
pub(crate) struct RolloutStatus {
    service: String,
    target: String,
    phase: &'static str,
    /// Share of this VM's requests that go to the new version.
    share: f64,
    /// Time since the order, in milliseconds.
    ordered_ago_ms: u64,
    /// Answers of the new version.
    target_answers: CountStatus,
    /// Answers of the other versions.
    other_answers: CountStatus,
}

/// Counts of answers of one version.
#[derive(Debug, Serialize)]
struct CountStatus {
    all: u32,
    failed: u32,
    slow: u32,
}

impl From<AnswerCounts> for CountStatus {
    fn from(counts: AnswerCounts) -> Self {
        Self { all: counts.answers, failed: counts.failed, slow: counts.slow }
    }
}

impl RolloutStatus {
    /// Returns the state of all rollouts at this VM.
    pub(crate) fn all(gateway: &Gateway) -> Vec<Self> {
        let now = gateway.now();
        gateway.rollouts().runs().map(|run| Self::of(gateway, run, now)).collect()
    }

    fn of(gateway: &Gateway, run: &RolloutRun, now: Moment) -> Self {
        let counts = run.evidence.totals();
        Self {
            service: run.order.service.clone(),
            target: run.order.target.clone(),
            phase: run.phase.label(),
            share: run.share(&gateway.exposure_terms()),
            ordered_ago_ms: run.elapsed_millis(now),
            target_answers: counts.target.into(),
            other_answers: counts.other.into(),
        }
    }
}
