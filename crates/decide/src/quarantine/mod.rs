//! Quarantine of requests that crash endpoints.

mod crash_history;
mod endpoint_crash;
mod quarantine_message;
mod quarantine_table;
mod request_key;
mod request_quarantine;

pub use crash_history::{CrashHistory, CrashVerdict, MIN_CRASHES_PER_VERDICT};
pub use endpoint_crash::{CrashReport, EndpointCrash};
pub use quarantine_message::QuarantineMessage;
pub use quarantine_table::{QuarantinePhase, QuarantineTable, QuarantinedRequest};
pub use request_key::{IdentityKey, KeyTextError, RequestIdentity, RequestKey};
pub use request_quarantine::{QuarantineChange, RequestQuarantine};
