//! Messages between VMs about requests and segments that crash endpoints.
//!
//! Invariant: times are sent as ages and remaining times, since each VM counts from its own start; a message
//! that arrives twice or late has no further effect.

use crate::{CrashReport, EndpointCrash, EndpointKey, SuspectKey, SuspectKind};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use std::sync::Arc;

/// One message; at most 60 bytes in its binary form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// An endpoint crashed while it was running a suspect.
    Ended {
        /// The request or segment.
        suspect: SuspectKey,
        /// Identifies one start of the endpoint.
        start: EndpointKey,
        /// Short digest of its address.
        place: u64,
        /// Short digest of the service's name.
        service: u64,
        /// Number of endpoints of the service.
        among: u32,
        /// Time for which it had been running the suspect, in microseconds.
        age_micros: u64,
        /// Time since it crashed, in microseconds.
        ago_micros: u64,
    },
    /// An endpoint answered a suspect, and did not crash.
    Answered {
        /// The request or segment.
        suspect: SuspectKey,
        /// Time since then, in microseconds.
        ago_micros: u64,
    },
    /// A suspect is quarantined.
    Held {
        /// The request or segment.
        suspect: SuspectKey,
        /// Number of this quarantine of the suspect.
        round: u32,
        /// Number of endpoints that crashed under it.
        endings: u32,
        /// Remaining time, in microseconds.
        rest_micros: u64,
    },
    /// A suspect was released from quarantine.
    Lifted {
        /// The request or segment.
        suspect: SuspectKey,
        /// Number of this quarantine of the suspect.
        round: u32,
    },
}

impl QuarantineMessage {
    /// Converts a report to a message.
    pub fn of_report(report: &CrashReport, now: Moment) -> Self {
        let EndpointCrash { start, address_digest: place, service, service_size: among, at } = report.crash;
        let (suspect, age_micros) = (report.suspect, report.age_micros);
        Self::Ended { suspect, start, place, service, among, age_micros, ago_micros: now.micros_since(at) }
    }
}

/// A message, with what it is about.
///
/// VMs of the former form of messages read only those about requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectMessage {
    /// About a request.
    Request(QuarantineMessage),
    /// About a segment.
    Segment {
        /// The message.
        message: QuarantineMessage,
        /// With [`QuarantineMessage::Held`], segments without which the segment is not refused.
        companions: Arc<[SuspectKey]>,
    },
    /// A suspect may run once at a time in the whole deployment.
    Trial {
        /// The request or segment.
        suspect: SuspectKey,
        /// Which of the two it is.
        kind: SuspectKind,
        /// Number of its last quarantine; zero if there was none.
        round: u32,
        /// Number of endpoints that crashed under it.
        endings: u32,
        /// Remaining time, in microseconds.
        rest_micros: u64,
        /// Segments without which a segment is not on trial.
        companions: Arc<[SuspectKey]>,
    },
}

impl SuspectMessage {
    /// Returns `message` as one about a suspect of the given kind, without companions.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{QuarantineMessage, SuspectKey, SuspectKind, SuspectMessage};
    /// let message = QuarantineMessage::Lifted { suspect: SuspectKey::default(), round: 1 };
    /// assert_eq!(SuspectMessage::of(SuspectKind::Request, message), SuspectMessage::Request(message));
    /// ```
    pub fn of(kind: SuspectKind, message: QuarantineMessage) -> Self {
        match kind {
            SuspectKind::Request => Self::Request(message),
            SuspectKind::Segment => Self::Segment { message, companions: Arc::default() },
        }
    }
}
