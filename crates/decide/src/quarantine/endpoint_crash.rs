//! Crashes of endpoints, and the requests and segments that were running there.

use crate::{EndpointKey, SuspectKey, SuspectKind};
use spanfold_entity::Moment;

/// Crash of an endpoint: a stop that it had not announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCrash {
    /// Identifies one start of the endpoint.
    pub start: EndpointKey,
    /// Short digest of its address.
    pub address_digest: u64,
    /// Short digest of the service's name.
    pub service: u64,
    /// Number of endpoints of the service at that time, including this one.
    pub service_size: u32,
    /// When the endpoint crashed.
    pub at: Moment,
}

/// Request, or segment of one, that was running at an endpoint when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The request or segment.
    pub suspect: SuspectKey,
    /// Which of the two it is.
    pub kind: SuspectKind,
    /// The crash.
    pub crash: EndpointCrash,
    /// Time for which the endpoint had been running it, in microseconds: since the endpoint began to answer,
    /// or else since the request was sent; of several requests with a segment, the longest.
    pub age_micros: u64,
}
