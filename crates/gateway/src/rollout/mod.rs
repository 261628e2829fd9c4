//! Moves of a service to another version: what the operator orders, what a request draws, what answers tell, and the
//! decisions of the one VM that makes them.

mod rollout_desk;
mod rollout_status;
mod rollout_task;
mod versioned_send;

pub(crate) use rollout_status::RolloutStatus;
pub(crate) use rollout_task::decide_rollouts;
pub(crate) use versioned_send::VersionedSend;

/// Prefix of the records of roll-outs; the service's name follows.
pub(crate) const RECORD_PREFIX: &str = "spanfold/rollout/";
