//! Messages between VMs about requests that crash endpoints.
//!
//! Invariant: times are sent as ages and remaining times, since each VM counts from its own start; a message
//! that arrives twice or late has no further effect.

use crate::{CrashReport, EndpointCrash, EndpointKey, RequestKey};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;

/// One message; at most 60 bytes in its binary form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// An endpoint crashed while it was running a request.
    Ended {
        /// The request.
        request: RequestKey,
        /// Identifies one start of the endpoint.
        start: EndpointKey,
        /// Short digest of its address.
        place: u64,
        /// Short digest of the service's name.
        service: u64,
        /// Number of endpoints of the service.
        among: u32,
        /// Time for which it had been running the request, in microseconds.
        age_micros: u64,
        /// Time since it crashed, in microseconds.
        ago_micros: u64,
    },
    /// An endpoint completed a request.
    Answered {
        /// The request.
        request: RequestKey,
        /// Time since then, in microseconds.
        ago_micros: u64,
    },
    /// A request is quarantined.
    Held {
        /// The request.
        request: RequestKey,
        /// Number of this quarantine of the request.
        round: u32,
        /// Number of endpoints that crashed under it.
        endings: u32,
        /// Remaining time, in microseconds.
        rest_micros: u64,
    },
    /// A request was released from quarantine.
    Lifted {
        /// The request.
        request: RequestKey,
        /// Number of this quarantine of the request.
        round: u32,
    },
}

impl QuarantineMessage {
    /// Converts a report to a message.
    pub fn of_report(report: &CrashReport, now: Moment) -> Self {
        let EndpointCrash { start, address_digest: place, service, service_size: among, at } = report.crash;
        let (request, age_micros) = (report.request, report.age_micros);
        Self::Ended { request, start, place, service, among, age_micros, ago_micros: now.micros_since(at) }
    }
}
