//! The form in which a quarantine is in the platform's store.

use crate::{SuspectKey, SuspectKind};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Quarantine in its stored form.
///
/// VMs of the former form read the first three fields; they take the digest of a segment for that of a request
/// that none of theirs has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredQuarantine {
    pub round: u32,
    pub endings: u32,
    /// Client account, method, host and path; for a segment, what prompts have it.
    #[serde(default)]
    pub request: String,
    /// The segment's name; none for a request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<String>,
    /// Digests of the companions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub together: Vec<String>,
}

impl StoredQuarantine {
    /// Whether it is a request's or a segment's.
    pub(crate) const fn kind(&self) -> SuspectKind {
        if self.part.is_some() { SuspectKind::Segment } else { SuspectKind::Request }
    }

    /// Returns the companions; those that cannot be parsed are left out.
    pub(crate) fn companions(&self) -> Arc<[SuspectKey]> {
        self.together.iter().filter_map(|digest| digest.parse().ok()).collect()
    }

    /// Whether `other` says nothing more: it is no later quarantine, and has no fewer companions.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        self.round > other.round
            || self.round == other.round && self.together.iter().all(|digest| other.together.contains(digest))
    }
}
