//! Which requests are held back because endpoints end under them.

mod crash_history;
mod ending;
mod quarantine_message;
mod quarantine_table;
mod request_key;
mod request_quarantine;

pub use crash_history::{CrashHistory, CrashVerdict, ENDINGS_LEAST};
pub use ending::{CrashReport, EndpointCrash};
pub use quarantine_message::QuarantineMessage;
pub use quarantine_table::{QuarantinePhase, QuarantineTable, QuarantinedRequest};
pub use request_key::{IdentityKey, KeyTextError, RequestIdentity, RequestKey};
pub use request_quarantine::{QuarantineChange, RequestQuarantine};
