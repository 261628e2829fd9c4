//! Messages between VMs about the software versions of streams.

use crate::{SoleSoftware, StreamKey, StreamOrigin};
use serde::{Deserialize, Serialize};
use spanfold_entity::{MICROS_PER_MILLI, Moment};

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
    /// Requests what a VM knows of a stream.
    Question { number: u64, stream: SoughtStream },
    /// Answers a question.
    Answer { number: u64, knowledge: StreamKnowledge },
}

/// A stream whose origin is sought.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SoughtStream {
    pub key: StreamKey,
    /// Whether its caller names the attempt that began it, so that VMs may have a record.
    pub is_named: bool,
    /// Short digest of the service that began it, unless a record states another one.
    pub service: u64,
    /// Time within which it began, in milliseconds.
    pub window_millis: u32,
}

/// What one VM knows of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StreamKnowledge {
    /// Its record, if the VM has one.
    pub record: Option<StreamRecord>,
    /// The versions that can have begun it.
    pub software: SoleSoftware,
}

/// The origin of a stream, and for how long it is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StreamRecord {
    pub origin: StreamOrigin,
    /// Time until the record expires, in milliseconds.
    pub remaining_millis: u32,
}

impl StreamRecord {
    /// Creates the record of a stream that expires at a moment.
    pub(crate) fn new(origin: StreamOrigin, expires_at: Moment, now: Moment) -> Self {
        Self { origin, remaining_millis: (expires_at.micros_since(now) / MICROS_PER_MILLI) as u32 }
    }
}
