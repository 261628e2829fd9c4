//! How one send to an endpoint went, as VMs report it to one another.

use crate::{EndpointKey, SendOutcome};
use serde::{Deserialize, Serialize};

/// How one send went.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SendReport {
    /// Where it went.
    pub key: EndpointKey,
    /// What came of it.
    pub outcome: SendOutcome,
    /// Multiple of the usual time that the first event took, if it came.
    pub pace: Option<f32>,
    /// Milliseconds of rest that the endpoint asked the sender for, if it turned the request away with that.
    pub rest_millis: Option<u64>,
}
