//! Evidence that one send gives about the version of its endpoint.

use crate::{EndpointRow, RolloutAnswer, SendOutcome};
use spanfold_entity::Moment;

/// Send to an endpoint of a service with a rollout.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct VersionedSend {
    pub service: String,
    /// Digest of the route's name.
    pub route: u64,
    is_target: bool,
    /// Whether the endpoint was cold: its time then is no evidence about its version.
    is_cold: bool,
    /// Slowdown of the endpoint that the expected time included.
    slowdown: f64,
    time_factor: Option<f64>,
}

impl VersionedSend {
    pub(crate) fn new(service: &str, route: u64, target: &str, row: &EndpointRow, now: Moment) -> Self {
        Self {
            service: service.to_owned(),
            route,
            is_target: *row.entry.version == *target,
            is_cold: now < row.cold_until,
            slowdown: row.slowdown(),
            time_factor: None,
        }
    }

    /// Records the time to the first event or the answer, relative to the expected time.
    pub(crate) fn begin(&mut self, elapsed_micros: u64, expected_micros: u64) {
        if !self.is_cold && expected_micros > 0 {
            self.time_factor = Some(self.slowdown * elapsed_micros as f64 / expected_micros as f64);
        }
    }

    /// Returns the evidence from the send's outcome; none if its endpoint did not process it.
    pub(crate) fn answer(&self, outcome: SendOutcome) -> Option<RolloutAnswer> {
        let has_failed = match outcome {
            SendOutcome::Answered => false,
            SendOutcome::Failed | SendOutcome::Broken | SendOutcome::Silent => true,
            SendOutcome::Unreached | SendOutcome::Refused => return None,
        };
        Some(RolloutAnswer { is_target: self.is_target, has_failed, time_factor: self.time_factor })
    }
}
