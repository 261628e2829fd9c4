//! Endpoints of a service that a request may go to during a rollout.

use crate::{EndpointKey, EndpointRow, SoftwareState, short_digest};
use std::sync::Arc;

/// Set of endpoints that one request may go to, by version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionSplit {
    /// All endpoints.
    #[default]
    Any,
    /// Endpoints of all versions but this one.
    Except(Arc<str>),
    /// Endpoints of this version.
    Only(Arc<str>),
    /// Of the given endpoints, those whose version all VMs know, so that a stream may begin there that its caller takes
    /// up at any VM.
    Settled(Box<Self>),
    /// Endpoints of the version with this short digest, which began the request's stream.
    Began(u64),
    /// Endpoints of this version with a [`canary_order`](VersionSplit::canary_order) up to a bound. A small share
    /// of the requests then loads each of these few endpoints as much as all requests will load all of them,
    /// so that a fault under load shows.
    Tested(Arc<str>, u64),
}

impl VersionSplit {
    /// Whether a request may go to an endpoint.
    pub fn allows(&self, key: EndpointKey, row: &EndpointRow) -> bool {
        match self {
            Self::Any => true,
            Self::Except(version) => *row.entry.version != **version,
            Self::Only(version) => *row.entry.version == **version,
            Self::Settled(split) => row.software_state == SoftwareState::Settled && split.allows(key, row),
            Self::Began(software) => short_digest(&row.entry.version) == *software,
            Self::Tested(version, max) => *row.entry.version == **version && Self::canary_order(key) <= *max,
        }
    }

    /// Whether it leads to canaries only.
    pub fn is_canary(&self) -> bool {
        match self {
            Self::Settled(split) => split.is_canary(),
            _ => matches!(self, Self::Tested(..)),
        }
    }

    /// Returns the position of an endpoint in the canary order of its version, which is the same on all VMs.
    pub const fn canary_order(key: EndpointKey) -> u64 {
        key.0.wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }
}
