//! Quarantine of requests and segments that crash endpoints.

mod crash_history;
mod crash_verdict;
mod endpoint_crash;
mod quarantine_message;
mod quarantine_table;
mod request_quarantine;
mod suspect_key;

pub use crash_history::CrashHistory;
pub use crash_verdict::{CrashVerdict, MIN_CRASHES_PER_TRIAL, MIN_CRASHES_PER_VERDICT};
pub use endpoint_crash::{CrashReport, EndpointCrash};
pub use quarantine_message::{QuarantineMessage, SuspectMessage};
pub use quarantine_table::{QuarantinePhase, QuarantineTable, QuarantinedSuspect};
pub use request_quarantine::{QuarantineChange, RequestQuarantine};
pub use suspect_key::{IdentityKey, KeyTextError, RequestIdentity, SuspectKey, SuspectKind};
