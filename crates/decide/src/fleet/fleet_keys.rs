//! By what endpoints, VMs and sources of loads are known, on all VMs alike.
//!
//! Invariant: a key is a digest of names alone, so that messages between VMs need no names.

use serde::{Deserialize, Serialize};

/// Short digest of an endpoint's id and of its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointKey(pub u64);

/// Short digest of a VM's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VmKey(pub u64);

/// A store, how long moves still take its link in microseconds, and the pace that they have shown lately.
pub type LinkTransfers = (EndpointKey, u64, Option<f32>);

/// Whose loads a digest tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LoadSource {
    /// Those of one VM.
    Vm(VmKey),
    /// Those of all VMs of a data centre together, by the short digest of its name.
    DataCentre(u64),
    /// Those of all VMs of all other data centres together, as a lead of this one passed them on.
    Elsewhere,
}

impl LoadSource {
    /// The VMs of a data centre.
    pub fn data_centre(name: &str) -> Self {
        Self::DataCentre(short_digest(name))
    }
}

/// Short digest of `text`; the same on every VM.
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
    /// The key of the endpoint called `id`, on a platform that does not tell starts apart: a new start has a new id.
    pub fn of(id: &str) -> Self {
        Self(short_digest(id))
    }

    /// The key of a start of the endpoint called `id`, where `born_millis` tells starts apart.
    ///
    /// All that is believed of an endpoint, here and at other VMs, stands under this key: what belongs to an earlier start
    /// is not found under a later one's.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::EndpointKey;
    /// assert_ne!(EndpointKey::of_start("a", Some(1)), EndpointKey::of_start("a", Some(2)));
    /// assert_eq!(EndpointKey::of_start("a", None), EndpointKey::of("a"));
    /// ```
    pub fn of_start(id: &str, born_millis: Option<u64>) -> Self {
        born_millis.map_or_else(|| Self::of(id), |born| Self(short_digest(&format!("{id}@{born}"))))
    }
}

impl VmKey {
    /// The key of the VM called `name`.
    pub fn of(name: &str) -> Self {
        Self(short_digest(name))
    }
}
