//! Messages between VMs about the software versions of streams.

use crate::{StreamKey, StreamOrigin};
use serde::{Deserialize, Serialize};

/// A message about one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StreamMessage {
    /// A copy of a record.
    Record {
        key: StreamKey,
        /// Short digest of the client account's name.
        account: u64,
        record: StreamRecord,
    },
    /// Requests the record of a stream.
    Question { number: u64, key: StreamKey },
    /// Answers a question; none if the VM has no record.
    Answer { number: u64, record: Option<StreamRecord> },
}

/// The origin of a stream, and for how long it is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StreamRecord {
    pub origin: StreamOrigin,
    /// Time until the record expires, in milliseconds.
    pub remaining_millis: u32,
}
