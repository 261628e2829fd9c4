//! What VMs tell one another, and its form in a datagram.
//!
//! Invariant: a message counts only if it was made by a VM that knows the deployment's peer key, which
//! lies in the platform's store; a forged one could put a configuration in force. The key is one for
//! the whole deployment: VMs trust one another, and what they say is no secret from the network.
//! UDP and not QUIC: a message replaces the one before, or its loss is noticed by what it builds on.

use crate::peers::kept_digest::KeptDigest;
use crate::peers::load_digest::LoadDigest;
use crate::store::store_news::StoreNews;
use crate::{StorePosition, VmKey};
use serde::{Deserialize, Serialize};

/// Version of the messages' form; others are ignored.
const FORM: u8 = 17;
/// Bytes of the authentication code at the end of a datagram.
const CODE_BYTES: usize = 16;

/// The deployment's key for messages between VMs.
pub(crate) type PeerKey = [u8; 32];

/// Who sent a message, and which of its messages it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerStamp {
    pub vm: VmKey,
    pub incarnation: u64,
    pub sequence: u64,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Loads and what else bears on placement.
    Load(PeerStamp, LoadDigest),
    /// What several VMs of the sender's data centre said of themselves, each with its own stamp.
    Batch(PeerStamp, Vec<(PeerStamp, LoadDigest)>),
    /// Changes in the platform's store.
    Store(PeerStamp, StoreNews),
    /// Asks for the changes in the platform's store after this position.
    StoreAsk(PeerStamp, StorePosition),
    /// What stores of kept cache hold.
    Kept(PeerStamp, KeptDigest),
}

impl PeerMessage {
    pub(crate) const fn stamp(&self) -> PeerStamp {
        match self {
            Self::Load(stamp, _)
            | Self::Batch(stamp, _)
            | Self::Store(stamp, _)
            | Self::StoreAsk(stamp, _)
            | Self::Kept(stamp, _) => *stamp,
        }
    }

    /// A word for its kind, for metrics.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Load(..) => "load",
            Self::Batch(..) => "batch",
            Self::Store(..) => "store",
            Self::StoreAsk(..) => "store_ask",
            Self::Kept(..) => "kept",
        }
    }

    /// The datagram that carries this message; none if it has no binary form.
    pub(crate) fn seal(&self, key: &PeerKey) -> Option<Vec<u8>> {
        let mut bytes = postcard::to_extend(self, vec![FORM]).ok()?;
        let code = blake3::keyed_hash(key, &bytes);
        bytes.extend_from_slice(&code.as_bytes()[..CODE_BYTES]);
        Some(bytes)
    }

    /// Reads a datagram; none if it is not authentic or of another form.
    pub(crate) fn unseal(key: &PeerKey, bytes: &[u8]) -> Option<Self> {
        let (content, code) = bytes.split_last_chunk::<CODE_BYTES>()?;
        let mut expected = [0; CODE_BYTES];
        expected.copy_from_slice(&blake3::keyed_hash(key, content).as_bytes()[..CODE_BYTES]);
        // Compared in constant time: whole hashes of both codes.
        if blake3::hash(&expected) != blake3::hash(code) {
            return None;
        }
        let (form, message) = content.split_first()?;
        if *form != FORM {
            return None;
        }
        postcard::from_bytes(message).ok()
    }
}
