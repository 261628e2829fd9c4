//! Quarantine of requests that crash endpoints.

pub(crate) mod quarantine_task;
pub(crate) mod quarantine_tracker;
