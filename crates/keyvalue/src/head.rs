//! The head record, which names the accepted configuration.
//!
//! Invariant: a change is accepted by one compare-and-swap on the head, after its chunks are
//! written; chunks are named by their content, so a lost or repeated chunk write is harmless.

use crate::{KeyValueClient, PlatformError, StoredValue, SwapOutcome};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The key of the head record.
pub const HEAD_KEY: &str = "spanfold/head";

/// The record that names the accepted configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationHead {
    /// Generation of the configuration, which increases by one with each accepted change.
    pub generation: u64,
    /// Digests of the chunks, by bucket.
    pub digests: Vec<String>,
    /// Author of the change, as given by the author.
    pub author: String,
    /// Random value of each change, which distinguishes its write from others.
    pub nonce: String,
}

impl ConfigurationHead {
    /// Reads the head and the revision at which it was written.
    ///
    /// If there is no record, returns a head of generation zero and revision zero.
    ///
    /// # Errors
    /// If the platform did not answer or reported an error.
    pub async fn read(client: &KeyValueClient) -> Result<(Self, u64), PlatformError> {
        Ok(client.get(HEAD_KEY).await?.map_or_else(Default::default, |value| parse_head(&value)))
    }
}

fn parse_head(value: &StoredValue) -> (ConfigurationHead, u64) {
    (serde_json::from_str(&value.text).unwrap_or_default(), value.revision)
}

/// Returns the key of the chunk with this digest.
///
/// # Examples
/// ```
/// assert_eq!(spanfold_keyvalue::chunk_key("ab"), "spanfold/chunk/ab");
/// ```
pub fn chunk_key(digest: &str) -> String {
    format!("spanfold/chunk/{digest}")
}

/// Why a change was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum AcceptError {
    /// Another change was accepted first.
    #[error("lost the race: generation {} by {} is accepted, {expected} was expected", .head.generation, .head.author)]
    Conflict {
        /// The current head.
        head: ConfigurationHead,
        /// The generation that was expected.
        expected: u64,
    },
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

/// Writes `chunks` and then their head, if the accepted generation is `expected`.
///
/// If the write of the head gets no answer, the head is read back: its nonce shows whether the
/// write took effect.
///
/// # Errors
/// If another change was accepted first, or a call to the platform failed.
pub async fn accept_bundle(
    client: &KeyValueClient,
    expected: u64,
    digests: &[String],
    chunks: &BTreeMap<String, String>,
    author: &str,
    nonce: &str,
) -> Result<ConfigurationHead, AcceptError> {
    let (current_head, revision) = ConfigurationHead::read(client).await?;
    if current_head.generation != expected {
        return Err(AcceptError::Conflict { head: current_head, expected });
    }
    for (digest, text) in chunks {
        if !current_head.digests.contains(digest) {
            client.put(&chunk_key(digest), text).await?;
        }
    }
    let head = ConfigurationHead {
        generation: expected + 1,
        digests: digests.to_vec(),
        author: author.to_owned(),
        nonce: nonce.to_owned(),
    };
    let text = serde_json::to_string(&head).unwrap_or_default();
    match client.compare_and_swap(HEAD_KEY, revision, &text).await {
        Ok(SwapOutcome::Written) => Ok(head),
        Ok(SwapOutcome::Conflict(stored_value)) => {
            let stored_head = stored_value.map(|value| parse_head(&value).0).unwrap_or_default();
            if stored_head == head {
                Ok(head)
            } else {
                Err(AcceptError::Conflict { head: stored_head, expected })
            }
        }
        Err(error) => {
            let (stored_head, _) = ConfigurationHead::read(client).await.map_err(|_error| error)?;
            if stored_head == head {
                Ok(head)
            } else {
                Err(AcceptError::Conflict { head: stored_head, expected })
            }
        }
    }
}

/// Reads the chunks named by `digests`; omits missing ones.
///
/// # Errors
/// If the platform did not answer or reported an error.
pub async fn read_bundle(client: &KeyValueClient, digests: &[String]) -> Result<Vec<String>, PlatformError> {
    let mut texts = Vec::new();
    for digest in digests {
        if let Some(value) = client.get(&chunk_key(digest)).await? {
            texts.push(value.text);
        }
    }
    Ok(texts)
}
