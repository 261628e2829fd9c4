//! Rollouts: which share of a service's requests goes to the version that replaces the present one.

mod rollout_evidence;
mod rollout_order;
mod rollout_run;
mod rollout_table;
mod version_split;

pub use rollout_evidence::{AnswerCounts, RolloutAnswer, RolloutEvidence, RolloutSums, RouteCounts, SumKey};
pub use rollout_order::{ExposureTerms, RolloutOrder, RolloutPhase, RolloutRecord};
pub use rollout_run::{RolloutReason, RolloutRun, RolloutStep};
pub use rollout_table::{CanaryDraw, PendingSums, RolloutTable, StoredStatus};
pub use version_split::VersionSplit;
