//! Outcome of one send to an endpoint, as VMs report it to one another.

use crate::{EndpointKey, SendOutcome};
use serde::{Deserialize, Serialize};

/// Outcome of one send.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SendReport {
    /// Endpoint of the send.
    pub key: EndpointKey,
    /// Outcome of the send.
    pub outcome: SendOutcome,
    /// Slowdown: multiple of the usual time that the first event took, if it arrived.
    pub pace: Option<f32>,
    /// Backoff that the endpoint asked the sender for when it refused the request, in milliseconds.
    pub rest_millis: Option<u64>,
}
