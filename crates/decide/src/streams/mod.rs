//! Which software version began each stream, and the VMs that know it.

mod copy_ledger;
mod record_holders;
mod software_history;
mod software_record;
mod stream_origin;
mod stream_records;

pub use copy_ledger::{CopyLedger, DueCopies, DueCopy, ShortRecord, StreamCopy};
pub use record_holders::{CopyTarget, RECORD_COPIES, RecordHolders};
pub(crate) use software_history::SoftwareHistory;
pub use software_history::SoleSoftware;
pub use software_record::{SoftwareKey, SoftwareRecord, SoftwareState, StoredSoftware, UnstoredSoftware};
pub use stream_origin::{StreamKey, StreamOrigin};
pub use stream_records::StreamRecords;
