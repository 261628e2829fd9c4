//! Which software version began each stream, and the VMs that know it.

mod record_holders;
mod software_history;
mod stream_origin;
mod stream_records;

pub use record_holders::RecordHolders;
pub(crate) use software_history::SoftwareHistory;
pub use software_history::SoleSoftware;
pub use stream_origin::{StreamKey, StreamOrigin};
pub use stream_records::StreamRecords;
