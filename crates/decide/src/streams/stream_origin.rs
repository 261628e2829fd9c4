//! The software that began a stream, and the key under which VMs record it.

use crate::{EndpointKey, short_digest};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies a stream: its client account, and the attempt that brought its first event.
///
/// Another account's attempt of the same id has another key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(u128);

impl StreamKey {
    /// Returns the key of the stream that an account's attempt began.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::StreamKey;
    /// assert_ne!(StreamKey::of("one", b"r-1"), StreamKey::of("two", b"r-1"));
    /// assert_ne!(StreamKey::of("a", b"br"), StreamKey::of("ab", b"r"));
    /// ```
    pub fn of(account: &str, attempt: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(account.len() as u64).to_le_bytes()).update(account.as_bytes()).update(attempt);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(u128::from_le_bytes(bytes))
    }

    /// Returns the bits that select the VMs that record the stream.
    pub(super) const fn selector(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// The software that wrote a stream's first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Short digest of the service's name.
    pub service: u64,
    /// Short digest of the software version.
    pub software: u64,
    /// The endpoint that wrote the event.
    pub endpoint: EndpointKey,
}

impl StreamOrigin {
    /// Returns the origin of a stream that an endpoint of a service began.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{EndpointKey, StreamOrigin};
    /// let origin = StreamOrigin::of("llm", "v1", EndpointKey::of("i-1"));
    /// assert_ne!(origin, StreamOrigin::of("llm", "v2", EndpointKey::of("i-1")));
    /// ```
    pub fn of(service: &str, software: &str, endpoint: EndpointKey) -> Self {
        Self { service: short_digest(service), software: short_digest(software), endpoint }
    }
}
