//! What VMs tell one another of requests under which endpoints end.
//!
//! Invariant: times are told as ages and rests, since each VM counts from its own start; a note that comes twice or late
//! changes nothing more.

use crate::{CrashReport, EndpointCrash, EndpointKey, RequestKey};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;

/// One thing to tell; 60 bytes at most in its binary form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// An endpoint ended while it had a request.
    Ended {
        /// The request.
        request: RequestKey,
        /// Which start of which endpoint.
        start: EndpointKey,
        /// Short digest of its address.
        place: u64,
        /// Short digest of its service's name.
        service: u64,
        /// Endpoints of its service.
        among: u32,
        /// For how long it had been at the request, in microseconds.
        age_micros: u64,
        /// How long ago it ended, in microseconds.
        ago_micros: u64,
    },
    /// An endpoint ran a request to its end.
    Answered {
        /// The request.
        request: RequestKey,
        /// How long ago, in microseconds.
        ago_micros: u64,
    },
    /// A request is held back.
    Held {
        /// The request.
        request: RequestKey,
        /// Which hold of it.
        round: u32,
        /// Endpoints that ended under it.
        endings: u32,
        /// For how long still, in microseconds.
        rest_micros: u64,
    },
    /// A hold was lifted.
    Lifted {
        /// The request.
        request: RequestKey,
        /// Which hold of it.
        round: u32,
    },
}

impl QuarantineMessage {
    /// The note of a report.
    pub fn of_report(report: &CrashReport, now: Moment) -> Self {
        let EndpointCrash { start, place, service, among, at } = report.ending;
        let (request, age_micros) = (report.request, report.age_micros);
        Self::Ended { request, start, place, service, among, age_micros, ago_micros: now.micros_since(at) }
    }
}
