//! Which endpoints of a service a request may go to while the service moves to another version.

use crate::{EndpointKey, EndpointRow};
use std::sync::Arc;

/// The endpoints that one request may go to, by their version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionSplit {
    /// All.
    #[default]
    Any,
    /// Those of all versions but this one.
    Except(Arc<str>),
    /// Those of this version.
    Only(Arc<str>),
    /// Those of this version whose [`test_order`](VersionSplit::test_order) is up to a bound: a small share of the requests
    /// then loads each of a few endpoints as all requests will load all of them, so that a fault under load shows.
    Tested(Arc<str>, u64),
}

impl VersionSplit {
    /// Whether a request may go to an endpoint.
    pub fn allows(&self, key: EndpointKey, row: &EndpointRow) -> bool {
        match self {
            Self::Any => true,
            Self::Except(version) => *row.entry.version != **version,
            Self::Only(version) => *row.entry.version == **version,
            Self::Tested(version, last) => *row.entry.version == **version && Self::test_order(key) <= *last,
        }
    }

    /// The order in which endpoints of a version are tested: the same on all VMs.
    pub const fn test_order(key: EndpointKey) -> u64 {
        key.0.wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }
}
