//! Identity of a request: client account, method, host, path and body.
//!
//! Invariant: the key is the same on every VM of a deployment and cannot be computed outside it, so a caller
//! can choose neither its requests' position in a table nor two requests that share a key.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Length of a request's key: at 40,000 requests a second, two different requests share a key once in 10^14
/// years.
const KEY_BYTES: usize = 16;
/// Context string for key derivation, which separates this use of the deployment's secret from others.
const CONTEXT: &str = "spanfold 1 identity of requests";

/// Key of all requests with the same identity, whatever their ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey([u8; KEY_BYTES]);

/// Secret key under which a deployment's request keys are computed.
#[derive(Clone, Copy)]
pub struct IdentityKey([u8; 32]);

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
        Self(blake3::derive_key(CONTEXT, secret))
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
    pub fn of(&self, identity: &RequestIdentity<'_>) -> RequestKey {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        let host = identity.host.to_ascii_lowercase();
        for text in [identity.account, identity.method, &host, identity.path] {
            // The length prefix keeps different sequences of texts from hashing alike.
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(identity.body);
        let mut key = [0; KEY_BYTES];
        hasher.finalize_xof().fill(&mut key);
        RequestKey(key)
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// Error for a text that is not a request key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyTextError;

impl fmt::Display for KeyTextError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a request's key has {} hexadecimal digits", 2 * KEY_BYTES)
    }
}

impl std::error::Error for KeyTextError {}

impl FromStr for RequestKey {
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
