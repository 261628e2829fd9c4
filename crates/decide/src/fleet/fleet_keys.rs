//! Keys of endpoints, VMs and sources of load digests.
//!
//! Invariant: a key is a digest of names alone and the same on all VMs, so that messages between VMs need no
//! names.

use serde::{Deserialize, Serialize};

/// Short digest of an endpoint's id and start time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointKey(pub u64);

/// Short digest of a VM's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VmKey(pub u64);

/// Store, remaining transfer time on its link in microseconds, and recent slowdown of transfers.
pub type LinkTransfers = (EndpointKey, u64, Option<f32>);

/// VMs whose loads a digest contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LoadSource {
    /// One VM.
    Vm(VmKey),
    /// All VMs of a data centre together, by the short digest of its name.
    DataCentre(u64),
    /// All VMs of all other data centres together, as relayed by a leader of this data centre.
    Elsewhere,
}

impl LoadSource {
    /// Returns the source for all VMs of a data centre.
    pub fn data_centre(name: &str) -> Self {
        Self::DataCentre(short_digest(name))
    }
}

/// Returns a short digest of `text`, which is the same on every VM.
///
/// # Examples
/// ```
/// use spanfold_decide::short_digest;
/// assert_ne!(short_digest("a"), short_digest("b"));
/// ```
pub fn short_digest(text: &str) -> u64 {
    let hash = blake3::hash(text.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

impl EndpointKey {
    /// Returns the key of an endpoint on a platform where each start has a new id.
    pub fn of(id: &str) -> Self {
        Self(short_digest(id))
    }

    /// Returns the key of one incarnation of an endpoint, where `born_millis` distinguishes its starts.
    ///
    /// All state of an endpoint, here and at other VMs, is stored under this key. State of an earlier
    /// incarnation is therefore not found under the key of a later one.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::EndpointKey;
    /// assert_ne!(EndpointKey::of_incarnation("a", Some(1)), EndpointKey::of_incarnation("a", Some(2)));
    /// assert_eq!(EndpointKey::of_incarnation("a", None), EndpointKey::of("a"));
    /// ```
    pub fn of_incarnation(id: &str, born_millis: Option<u64>) -> Self {
        born_millis.map_or_else(|| Self::of(id), |born| Self(short_digest(&format!("{id}@{born}"))))
    }
}

impl VmKey {
    /// Returns the key of the VM called `name`.
    pub fn of(name: &str) -> Self {
        Self(short_digest(name))
    }
}
