//! Quarantine of requests and segments that crash endpoints.

pub(crate) mod quarantine_task;
pub(crate) mod quarantine_tracker;
pub(crate) mod stored_quarantine;
pub(crate) mod trial_claims;
pub(crate) mod trial_task;
