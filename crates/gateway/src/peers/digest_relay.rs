//! Passes on to the VMs of a large data centre what each of them says of its loads.
//!
//! Pattern: where each VM tells each other, a data centre of n VMs sends n times n messages for every change, and small VMs
//! spend most of their processor time on them. So VMs tell the two leads, and these tell all, several digests in one
//! message.
//!
//! Invariant: a digest keeps the stamp of the VM that made it, so it counts once whoever passes it on, and an older one
//! never replaces a newer one. The second lead passes on only while the first one does not.

use crate::gateway::Gateway;
use crate::peers::gossip::{pass_pause, tell};
use crate::peers::load_digest::LoadDigest;
use crate::peers::peer_message::{PeerMessage, PeerStamp};
use crate::{LEADERS_PER_DATA_CENTRE, VmKey};
use spanfold_entity::Moment;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// A VM's changes within this time go out together to the leads: two messages cost little.
pub(crate) const TELL_PAUSE: Duration = Duration::from_millis(4);
/// Digests within this time go out together to all. The older they are, the more prompts meet at one engine.
const GATHER_PAUSE: Duration = Duration::from_millis(8);
/// A lead is silent if it has passed on nothing for this long, in milliseconds: VMs tell of themselves each 300 at
/// least, some fifty of them all the time.
const SILENCE_TIMEOUT_MILLIS: u64 = 150;
/// Digests in one message: a hundred bytes each, so that a usual message is of some packets' size.
const DIGESTS_MOST: usize = 32;

/// Digests that wait to be passed on.
#[derive(Debug, Default)]
pub(crate) struct DigestRelay {
    waiting: Mutex<BTreeMap<VmKey, (PeerStamp, LoadDigest)>>,
    changed: Notify,
    /// When a VM that goes before this one as a lead passed on something last, in microseconds.
    other_at: AtomicU64,
}

impl DigestRelay {
    /// Adds a digest; it takes the place of an earlier one of its VM.
    pub(crate) fn push(&self, stamp: PeerStamp, mut digest: LoadDigest) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, earlier)) = waiting.remove(&stamp.vm) {
            digest.follow(earlier);
        }
        waiting.insert(stamp.vm, (stamp, digest));
        drop(waiting);
        self.changed.notify_one();
    }

    /// Notes that a VM that goes before this one passes digests on.
    pub(crate) fn note_other(&self, now: Moment) {
        self.other_at.fetch_max(now.0, Ordering::Relaxed);
    }

    fn other_is_silent(&self, now: Moment) -> bool {
        now >= Moment(self.other_at.load(Ordering::Relaxed)).after_millis(SILENCE_TIMEOUT_MILLIS)
    }

    fn take(&self) -> Vec<(PeerStamp, LoadDigest)> {
        let waiting = std::mem::take(&mut *self.waiting.lock().unwrap_or_else(PoisonError::into_inner));
        waiting.into_values().collect()
    }
}

/// Whether this VM passes on what the others of its data centre tell.
pub(crate) fn relays(gateway: &Gateway, now: Moment) -> bool {
    let peers = gateway.peers();
    peers.relays_locally() && peers.expected_leader_rank(now) < LEADERS_PER_DATA_CENTRE
}

/// Passes on digests while this VM leads a large data centre, until the process ends.
pub(crate) async fn relay_digests(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    loop {
        gateway.relay.changed.notified().await;
        tokio::time::sleep(GATHER_PAUSE).await;
        let now = gateway.now();
        let mut digests = gateway.relay.take();
        if !relays(&gateway, now) || !gateway.relay.other_is_silent(now) {
            continue;
        }
        let own = VmKey::of(&gateway.settings.name);
        for (stamp, _) in digests.iter_mut().filter(|(stamp, _)| stamp.vm == own) {
            // What this VM has said of other data centres meanwhile must not make its own word an old one.
            *stamp = gateway.next_stamp();
        }
        let targets = gateway.peers().local_peer_addresses();
        let mut bytes = 0;
        while !digests.is_empty() {
            let rest = digests.split_off(digests.len().min(DIGESTS_MOST));
            let message = PeerMessage::Batch(gateway.next_stamp(), digests);
            bytes += tell(&gateway, &socket, &message, &targets).await;
            digests = rest;
        }
        tokio::time::sleep(pass_pause(bytes * targets.len(), gateway.settings.link_mbps)).await;
    }
}
