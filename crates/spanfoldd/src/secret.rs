//! Keys derived from the deployment's secret, and the resume tokens made with them.
//!
//! Invariant: a resume token is good only for the account that it was made for; any VM with the
//! deployment's secret can check it without shared state. The token of a stream is made once and
//! each event adds its offset in clear: an offset reveals nothing and lets nobody into a stream.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;

/// Bytes of a token's code.
const CODE_BYTES: usize = 16;

/// Keys of the deployment.
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

/// Where a stream can be resumed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StreamPlace {
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

    /// The token of a stream, bound to `account`.
    pub(crate) fn stream_token(&self, account: &str, place: &StreamPlace) -> String {
        let body = serde_json::to_vec(place).unwrap_or_default();
        let code = self.code(account, &body);
        format!("{}.{}", URL_SAFE_NO_PAD.encode(&body), URL_SAFE_NO_PAD.encode(code))
    }

    /// Reads `TOKEN.OFFSET`; none if it was not made for `account` by this deployment.
    pub(crate) fn read_event_id(&self, account: &str, id: &str) -> Option<(StreamPlace, u64)> {
        let (token, offset) = id.rsplit_once('.')?;
        let (body, code) = token.split_once('.')?;
        let body = URL_SAFE_NO_PAD.decode(body).ok()?;
        let code: [u8; CODE_BYTES] = URL_SAFE_NO_PAD.decode(code).ok()?.try_into().ok()?;
        if !same_code(&code, &self.code(account, &body)) {
            return None;
        }
        Some((serde_json::from_slice(&body).ok()?, offset.parse().ok()?))
    }

    fn code(&self, account: &str, body: &[u8]) -> [u8; CODE_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.token);
        hasher.update(account.as_bytes()).update(&[0]).update(body);
        let mut code = [0; CODE_BYTES];
        code.copy_from_slice(&hasher.finalize().as_bytes()[..CODE_BYTES]);
        code
    }

    /// The claim key of an account's idempotency key.
    pub(crate) fn claim_key(&self, account: &str, key: &str) -> u128 {
        digest(&self.claim, &[account.as_bytes(), key.as_bytes()])
    }

    /// The digest of a call's method, path and body.
    pub(crate) fn call_digest(&self, method: &str, path: &str, body: &[u8]) -> u128 {
        digest(&self.claim, &[method.as_bytes(), path.as_bytes(), body])
    }
}

/// Compares in constant time.
fn same_code(left: &[u8; CODE_BYTES], right: &[u8; CODE_BYTES]) -> bool {
    left.iter().zip(right).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}

fn digest(key: &[u8; 32], parts: &[&[u8]]) -> u128 {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes()).update(part);
    }
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    u128::from_be_bytes(bytes)
}
