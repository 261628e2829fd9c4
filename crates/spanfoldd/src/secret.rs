//! Keys derived from the deployment's secret, and the resume tokens signed with them.
//!
//! Invariant: a resume token is valid only for the account that it was issued for; any VM with the
//! deployment's secret can verify it without shared state. The token of a stream is issued once, and
//! each event appends its offset in clear: an offset reveals nothing and grants no access to a stream.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;

/// Bytes of a token's message authentication code.
const MAC_BYTES: usize = 16;

/// Keys derived from the deployment's secret.
#[derive(Clone)]
pub(crate) struct SecretKeys {
    token: [u8; 32],
    pub(crate) cache: [u8; 32],
    claim: [u8; 32],
}

impl fmt::Debug for SecretKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretKeys(..)")
    }
}

/// The endpoint and the stream at which a run can be resumed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StreamLocation {
    pub endpoint: String,
    pub stream: String,
}

impl SecretKeys {
    pub(crate) fn read(file: &Path) -> std::io::Result<Self> {
        let secret = std::fs::read_to_string(file)?;
        Ok(Self::derive(secret.trim()))
    }

    pub(crate) fn derive(secret: &str) -> Self {
        let key = |purpose| blake3::derive_key(purpose, secret.as_bytes());
        Self {
            token: key("spanfold 2026 resume token"),
            cache: key("spanfold 2026 cache salt"),
            claim: key("spanfold 2026 claim key"),
        }
    }

    /// Returns the resume token of a stream, bound to `account`.
    pub(crate) fn stream_token(&self, account: &str, location: &StreamLocation) -> String {
        let body = serde_json::to_vec(location).unwrap_or_default();
        let mac = self.mac(account, &body);
        format!("{}.{}", URL_SAFE_NO_PAD.encode(&body), URL_SAFE_NO_PAD.encode(mac))
    }

    /// Parses `TOKEN.OFFSET`; `None` unless this deployment issued it for `account`.
    pub(crate) fn read_event_id(&self, account: &str, id: &str) -> Option<(StreamLocation, u64)> {
        let (token, offset) = id.rsplit_once('.')?;
        let (body, mac) = token.split_once('.')?;
        let body = URL_SAFE_NO_PAD.decode(body).ok()?;
        let mac: [u8; MAC_BYTES] = URL_SAFE_NO_PAD.decode(mac).ok()?.try_into().ok()?;
        if !equal_macs(&mac, &self.mac(account, &body)) {
            return None;
        }
        Some((serde_json::from_slice(&body).ok()?, offset.parse().ok()?))
    }

    fn mac(&self, account: &str, body: &[u8]) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.token);
        hasher.update(account.as_bytes()).update(&[0]).update(body);
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        mac
    }

    /// Returns the claim key of an account's idempotency key.
    pub(crate) fn claim_key(&self, account: &str, key: &str) -> u128 {
        digest(&self.claim, &[account.as_bytes(), key.as_bytes()])
    }

    /// Returns the digest of a call's method, path and body.
    pub(crate) fn call_digest(&self, method: &str, path: &str, body: &[u8]) -> u128 {
        digest(&self.claim, &[method.as_bytes(), path.as_bytes(), body])
    }
}

/// Compares in constant time.
fn equal_macs(left: &[u8; MAC_BYTES], right: &[u8; MAC_BYTES]) -> bool {
    left.iter().zip(right).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}

fn digest(key: &[u8; 32], fields: &[&[u8]]) -> u128 {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for field in fields {
        hasher.update(&(field.len() as u64).to_be_bytes()).update(field);
    }
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    u128::from_be_bytes(bytes)
}
