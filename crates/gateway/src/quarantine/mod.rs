//! Requests under which endpoints end.

pub(crate) mod quarantine_desk;
pub(crate) mod quarantine_task;
