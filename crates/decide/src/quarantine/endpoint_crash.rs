//! Crashes of endpoints, and the requests that were running there.

use crate::{EndpointKey, RequestKey};
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

/// Request that was running at an endpoint when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The request.
    pub request: RequestKey,
    /// The crash.
    pub crash: EndpointCrash,
    /// Time for which the endpoint had been running the request, in microseconds: since it began to answer,
    /// or else since the request was sent.
    pub age_micros: u64,
}
