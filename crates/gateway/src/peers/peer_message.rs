//! Messages between VMs, and their form in a datagram.
//!
//! Invariant: a message is accepted only if its sender has the deployment's peer key, which is in the
//! platform's store; a forged one could put a configuration in force. The whole deployment shares one key:
//! VMs trust one another, and their messages are no secret from the network.
//!
//! What a message of the former form has no place for follows it in the same datagram: VMs of that form do not
//! read to the end.
//!
//! Messages are sent over UDP rather than QUIC: each replaces the previous one, or its loss is detected from
//! messages that build on it.

use crate::peers::cache_digest::CacheDigest;
use crate::peers::load_digest::LoadDigest;
use crate::store::store_updates::StoreUpdates;
use crate::streams::stream_message::StreamMessage;
use crate::{ContactAges, RelayGroup, StorePosition, StreamKey, SuspectMessage, VmKey};
use serde::{Deserialize, Serialize};

/// Version of the message format; messages of other versions are ignored.
const FORMAT_VERSION: u8 = 19;
/// Bytes of the authentication code at the end of a datagram.
const CODE_BYTES: usize = 16;

/// The deployment's key for messages between VMs.
pub(crate) type PeerKey = [u8; 32];

/// Identifies a message and its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerStamp {
    pub vm: VmKey,
    pub incarnation: u64,
    pub sequence: u64,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Loads and all else that matters for placement.
    Load(PeerStamp, Box<LoadDigest>),
    /// Digests of several VMs of the sender's data centre, each with its own stamp.
    Batch(PeerStamp, Vec<(PeerStamp, LoadDigest)>),
    /// Changes in the platform's store.
    Store(PeerStamp, StoreUpdates),
    /// Requests the changes in the platform's store after this position.
    StoreAsk(PeerStamp, StorePosition),
    /// Digest of the cache stores' indexes: changes, and the full indexes in turn.
    Kept(PeerStamp, CacheDigest),
    /// Software version that began a stream, or a question for it.
    Stream(PeerStamp, StreamMessage),
    /// Confirms copies of streams' records that the sender has received.
    StreamCopies(PeerStamp, Vec<StreamKey>),
}

/// What follows a message. Each form added its part at the end, where VMs of former forms do not look.
#[derive(Debug, Default, Serialize)]
struct MessageExtension {
    /// The extended cases of each of its digests.
    cases: Vec<Vec<SuspectMessage>>,
    /// The position of each of its digests.
    positions: Vec<StorePosition>,
    /// The group of an update.
    group: Option<RelayGroup>,
    /// What each of its digests reports of the store.
    contacts: Vec<ContactAges>,
}

impl MessageExtension {
    fn is_empty(&self) -> bool {
        self.cases.iter().all(Vec::is_empty)
            && self.positions.iter().all(|position| *position == StorePosition::default())
            && self.group.is_none()
            && self.contacts.iter().all(|contact| *contact == ContactAges::default())
    }

    /// Decodes what a VM of this form or another one sent; a part that can't be read says nothing, nor do
    /// those behind it.
    fn decode(bytes: &[u8]) -> Self {
        let mut extension = Self::default();
        let Ok((cases, bytes)) = postcard::take_from_bytes(bytes) else { return extension };
        extension.cases = cases;
        let Ok((positions, bytes)) = postcard::take_from_bytes(bytes) else { return extension };
        extension.positions = positions;
        let Ok((group, bytes)) = postcard::take_from_bytes(bytes) else { return extension };
        extension.group = group;
        extension.contacts = postcard::from_bytes(bytes).unwrap_or_default();
        extension
    }
}

impl PeerMessage {
    pub(crate) const fn stamp(&self) -> PeerStamp {
        match self {
            Self::Load(stamp, _)
            | Self::Batch(stamp, _)
            | Self::Store(stamp, _)
            | Self::StoreAsk(stamp, _)
            | Self::Kept(stamp, _)
            | Self::Stream(stamp, _)
            | Self::StreamCopies(stamp, _) => *stamp,
        }
    }

    /// Label of its kind, for metrics.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Load(..) => "load",
            Self::Batch(..) => "batch",
            Self::Store(..) => "store",
            Self::StoreAsk(..) => "store_ask",
            Self::Kept(..) => "kept",
            Self::Stream(..) => "stream",
            Self::StreamCopies(..) => "stream_copies",
        }
    }

    /// Returns its digests.
    fn digests_mut(&mut self) -> Vec<&mut LoadDigest> {
        match self {
            Self::Load(_, digest) => vec![digest],
            Self::Batch(_, digests) => digests.iter_mut().map(|(_, digest)| digest).collect(),
            _ => Vec::new(),
        }
    }

    fn digests(&self) -> Vec<&LoadDigest> {
        match self {
            Self::Load(_, digest) => vec![digest],
            Self::Batch(_, digests) => digests.iter().map(|(_, digest)| digest).collect(),
            _ => Vec::new(),
        }
    }

    /// Returns what follows the message.
    fn extension(&self) -> MessageExtension {
        let digests = self.digests();
        MessageExtension {
            cases: digests.iter().map(|digest| digest.extended_cases.clone()).collect(),
            positions: digests.iter().map(|digest| digest.position).collect(),
            group: if let Self::Store(_, updates) = self { updates.group.clone() } else { None },
            contacts: digests.iter().map(|digest| digest.contact).collect(),
        }
    }

    fn apply_extension(&mut self, extension: MessageExtension) {
        let MessageExtension { cases, positions, group, contacts } = extension;
        for (digest, cases) in self.digests_mut().into_iter().zip(cases) {
            digest.extended_cases = cases;
        }
        for (digest, position) in self.digests_mut().into_iter().zip(positions) {
            digest.position = position;
        }
        for (digest, contact) in self.digests_mut().into_iter().zip(contacts) {
            digest.contact = contact;
        }
        if let Self::Store(_, updates) = self {
            updates.group = group;
        }
    }

    /// Returns the datagram of this message; none if it has no binary form.
    pub(crate) fn seal(&self, key: &PeerKey) -> Option<Vec<u8>> {
        let mut bytes = postcard::to_extend(self, vec![FORMAT_VERSION]).ok()?;
        let extension = self.extension();
        if !extension.is_empty() {
            bytes = postcard::to_extend(&extension, bytes).ok()?;
        }
        let code = blake3::keyed_hash(key, &bytes);
        bytes.extend_from_slice(&code.as_bytes()[..CODE_BYTES]);
        Some(bytes)
    }

    /// Decodes a datagram; none if it is not authentic or has another version.
    pub(crate) fn unseal(key: &PeerKey, bytes: &[u8]) -> Option<Self> {
        let (content, code) = bytes.split_last_chunk::<CODE_BYTES>()?;
        let mut expected = [0; CODE_BYTES];
        expected.copy_from_slice(&blake3::keyed_hash(key, content).as_bytes()[..CODE_BYTES]);
        // Hashes compare in constant time, so the hashes of both codes are compared.
        if blake3::hash(&expected) != blake3::hash(code) {
            return None;
        }
        let (version, message) = content.split_first()?;
        if *version != FORMAT_VERSION {
            return None;
        }
        let (mut message, extension) = postcard::take_from_bytes::<Self>(message).ok()?;
        message.apply_extension(MessageExtension::decode(extension));
        Some(message)
    }
}
