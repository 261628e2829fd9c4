//! Which share of a service's requests goes to the version that replaces the present one.

mod rollout_book;
mod rollout_evidence;
mod rollout_order;
mod rollout_run;
mod version_split;

pub use rollout_book::{RolloutBook, StoredStatus, TestDraw, WaitingSums};
pub use rollout_evidence::{AnswerCounts, RolloutAnswer, RolloutEvidence, RolloutSums, RouteCounts, SumKey};
pub use rollout_order::{ExposureTerms, RolloutOrder, RolloutPhase, RolloutRecord};
pub use rollout_run::{RolloutReason, RolloutRun, RolloutStep};
pub use version_split::VersionSplit;
