//! Identity of what a crash may be blamed on: a request, or a segment that prompts share.
//!
//! A request is identified by its client account, method, host, path and body; a segment by its service, its
//! model and its name.
//!
//! Invariant: the key is the same on every VM of a deployment and cannot be computed outside it, so a caller
//! can choose neither its position in a table nor two suspects that share a key.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Length of a key: at 40,000 requests a second, two different requests share a key once in 10^14
/// years.
const KEY_BYTES: usize = 16;
/// Context strings for key derivation, which separate these uses of the deployment's secret from others.
const REQUEST_CONTEXT: &str = "spanfold 1 identity of requests";
const SEGMENT_CONTEXT: &str = "spanfold 1 identity of segments";

/// Kind of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SuspectKind {
    /// All requests with the same identity.
    Request,
    /// All prompts for a model of a service that share a segment.
    Segment,
}

/// Key of all requests with the same identity, whatever their ids, or of all prompts that share a segment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SuspectKey([u8; KEY_BYTES]);

/// Secret keys under which a deployment's suspect keys are computed.
#[derive(Clone, Copy)]
pub struct IdentityKey {
    requests: [u8; 32],
    segments: [u8; 32],
}

impl fmt::Debug for IdentityKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("IdentityKey")
    }
}

/// Properties that identify a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Name of the client account; empty if there is none.
    pub account: &'a str,
    /// The method.
    pub method: &'a str,
    /// The requested host; case is ignored.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The complete body.
    pub body: &'a [u8],
}

impl IdentityKey {
    /// Derives the key from the secret that all VMs of a deployment share.
    pub fn derive(secret: &[u8; 32]) -> Self {
        Self {
            requests: blake3::derive_key(REQUEST_CONTEXT, secret),
            segments: blake3::derive_key(SEGMENT_CONTEXT, secret),
        }
    }

    /// Returns the key of a request.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{IdentityKey, RequestIdentity};
    /// let key = IdentityKey::derive(&[7; 32]);
    /// let first = RequestIdentity { account: "a", method: "POST", host: "h", path: "/p", body: b"x" };
    /// let second = RequestIdentity { body: b"y", ..first };
    /// assert_eq!(key.of(&first), key.of(&RequestIdentity { host: "H", ..first }));
    /// assert_ne!(key.of(&first), key.of(&second));
    /// assert_ne!(key.of(&first), IdentityKey::derive(&[8; 32]).of(&first));
    /// ```
    pub fn of(&self, identity: &RequestIdentity<'_>) -> SuspectKey {
        let mut hasher = blake3::Hasher::new_keyed(&self.requests);
        let host = identity.host.to_ascii_lowercase();
        update_with_texts(&mut hasher, &[identity.account, identity.method, &host, identity.path]);
        hasher.update(identity.body);
        finish(&hasher)
    }

    /// Returns the key of the segment `name` in prompts for `model` at `service`; case is ignored.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::IdentityKey;
    /// let key = IdentityKey::derive(&[7; 32]);
    /// assert_eq!(key.of_segment("llm", "m", "5c1e"), key.of_segment("llm", "m", "5C1E"));
    /// assert_ne!(key.of_segment("llm", "m", "5c1e"), key.of_segment("llm", "m", "5c1f"));
    /// assert_ne!(key.of_segment("llm", "m", "5c1e"), key.of_segment("other", "m", "5c1e"));
    /// ```
    pub fn of_segment(&self, service: &str, model: &str, name: &str) -> SuspectKey {
        let mut hasher = blake3::Hasher::new_keyed(&self.segments);
        update_with_texts(&mut hasher, &[service, model, &name.to_ascii_lowercase()]);
        finish(&hasher)
    }
}

/// Hashes texts, each with its length, which keeps different sequences of texts from hashing alike.
fn update_with_texts(hasher: &mut blake3::Hasher, texts: &[&str]) {
    for text in texts {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
}

fn finish(hasher: &blake3::Hasher) -> SuspectKey {
    let mut key = [0; KEY_BYTES];
    hasher.finalize_xof().fill(&mut key);
    SuspectKey(key)
}

impl SuspectKey {
    /// Returns its first 64 bits, for hashing.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::SuspectKey;
    /// let key: SuspectKey = "00000000000000ff0000000000000000".parse()?;
    /// assert_eq!(key.short(), 255);
    /// # Ok::<_, spanfold_decide::KeyTextError>(())
    /// ```
    pub fn short(&self) -> u64 {
        self.0.first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes))
    }
}

impl fmt::Display for SuspectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// Error for a text that is not a suspect's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyTextError;

impl fmt::Display for KeyTextError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a suspect's key has {} hexadecimal digits", 2 * KEY_BYTES)
    }
}

impl std::error::Error for KeyTextError {}

impl FromStr for SuspectKey {
    type Err = KeyTextError;

    /// Parses the form that [`fmt::Display`] writes.
    fn from_str(text: &str) -> Result<Self, KeyTextError> {
        if text.len() != 2 * KEY_BYTES || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return Err(KeyTextError);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_error| KeyTextError)?;
        Ok(Self(number.to_be_bytes()))
    }
}
