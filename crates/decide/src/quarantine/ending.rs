//! Ends of endpoints, and what ran there.

use crate::{EndpointKey, RequestKey};
use spanfold_entity::Moment;

/// An endpoint that ended without having said that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCrash {
    /// Which start of which endpoint.
    pub start: EndpointKey,
    /// Short digest of its address.
    pub place: u64,
    /// Short digest of its service's name.
    pub service: u64,
    /// Endpoints that its service had then, it included.
    pub among: u32,
    /// When it ended.
    pub at: Moment,
}

/// A request that an endpoint had when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The request.
    pub request: RequestKey,
    /// The endpoint's end.
    pub ending: EndpointCrash,
    /// For how long the endpoint had been at the request, in microseconds: since it began to answer, or since the
    /// request was sent if it had not.
    pub age_micros: u64,
}
