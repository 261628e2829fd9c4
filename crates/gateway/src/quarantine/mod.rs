//! Quarantine of requests that crash endpoints.

pub(crate) mod quarantine_desk;
pub(crate) mod quarantine_task;
