//! Rollouts of services to other versions: orders of the operator, canary draws of requests, evidence from
//! answers, and the decisions of the one VM that holds the right to order engines.

mod rollout_status;
mod rollout_task;
mod rollout_tracker;
mod versioned_send;

pub(crate) use rollout_status::RolloutStatus;
pub(crate) use rollout_task::decide_rollouts;
pub(crate) use versioned_send::VersionedSend;

/// Prefix of the keys of rollout records; the service's name follows.
pub(crate) const RECORD_PREFIX: &str = "spanfold/rollout/";
