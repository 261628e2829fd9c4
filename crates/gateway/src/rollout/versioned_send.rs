//! What a send tells of the version of its endpoint.

use crate::{EndpointRow, RolloutAnswer, SendOutcome};
use spanfold_entity::Moment;

/// A send to an endpoint of a service that moves to another version.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct VersionedSend {
    pub service: String,
    /// Digest of the route's name.
    pub route: u64,
    is_target: bool,
    /// Whether the endpoint was cold: the time that it takes then says nothing of its version.
    is_cold: bool,
    /// Pace that the expected time counted on.
    pace: f64,
    time_factor: Option<f64>,
}

impl VersionedSend {
    pub(crate) fn new(service: &str, route: u64, target: &str, row: &EndpointRow, now: Moment) -> Self {
        Self {
            service: service.to_owned(),
            route,
            is_target: *row.entry.version == *target,
            is_cold: now < row.cold_until,
            pace: row.pace(),
            time_factor: None,
        }
    }

    /// Notes how long the first event or the answer took, where `expected_micros` was expected.
    pub(crate) fn begin(&mut self, taken_micros: u64, expected_micros: u64) {
        if !self.is_cold && expected_micros > 0 {
            self.time_factor = Some(self.pace * taken_micros as f64 / expected_micros as f64);
        }
    }

    /// What the end of the send tells; none if its endpoint did not work on it.
    pub(crate) fn answer(&self, outcome: SendOutcome) -> Option<RolloutAnswer> {
        let has_failed = match outcome {
            SendOutcome::Answered => false,
            SendOutcome::Failed | SendOutcome::Broken | SendOutcome::Silent => true,
            SendOutcome::Unreached | SendOutcome::Refused => return None,
        };
        Some(RolloutAnswer { is_target: self.is_target, has_failed, time_factor: self.time_factor })
    }
}
