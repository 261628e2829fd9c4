//! Relays the load digests of a large data centre's VMs to all of them.
//!
//! Pattern: if each VM sends its digests to each other one, a data centre of n VMs sends n times n messages
//! for every change, and small VMs spend most of their processor time on them. So VMs send their digests to
//! the two leaders, and these relay them to all, several digests in one message.
//!
//! Invariant: a digest keeps the stamp of the VM that made it, so it counts once whichever VM relays it, and
//! an older one never replaces a newer one. The second leader relays only while the first one does not.

use crate::gateway::Gateway;
use crate::peers::gossip::{relay_interval, send_message};
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
use tokio::time::Instant;

/// A VM's changes within this time are sent to the leaders together: two messages cost little.
pub(crate) const LEADER_DIGEST_DELAY: Duration = Duration::from_millis(4);
/// Digests within this time are relayed together. The older they are, the more VMs place their prompts at the
/// same engine.
pub(crate) const RELAY_BATCH_DELAY: Duration = Duration::from_millis(8);
/// A leader counts as unreachable if it has relayed nothing for this long, in milliseconds: each of some
/// fifty VMs sends a digest at least every 300 ms, so digests arrive all the time.
const SILENCE_TIMEOUT_MILLIS: u64 = 150;
/// Digests in one message. Each takes a hundred bytes, so that a usual message has the size of a few packets.
const MAX_DIGESTS_PER_MESSAGE: usize = 32;

/// Digests that wait to be relayed.
#[derive(Debug, Default)]
pub(crate) struct DigestRelay {
    pending: Mutex<BTreeMap<VmKey, (PeerStamp, LoadDigest)>>,
    changed: Notify,
    /// When a leader that precedes this VM last relayed something, in microseconds.
    preceding_leader_at: AtomicU64,
}

impl DigestRelay {
    /// Adds a digest; it replaces an earlier one of the same VM.
    pub(crate) fn push(&self, stamp: PeerStamp, mut digest: LoadDigest) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, earlier)) = pending.remove(&stamp.vm) {
            digest.merge_earlier(earlier);
        }
        pending.insert(stamp.vm, (stamp, digest));
        drop(pending);
        self.changed.notify_one();
    }

    /// Records that a leader that precedes this VM relays digests.
    pub(crate) fn record_preceding_leader(&self, now: Moment) {
        self.preceding_leader_at.fetch_max(now.0, Ordering::Relaxed);
    }

    fn preceding_leader_is_unreachable(&self, now: Moment) -> bool {
        now >= Moment(self.preceding_leader_at.load(Ordering::Relaxed)).after_millis(SILENCE_TIMEOUT_MILLIS)
    }

    fn take_pending(&self) -> Vec<(PeerStamp, LoadDigest)> {
        let pending = std::mem::take(&mut *self.pending.lock().unwrap_or_else(PoisonError::into_inner));
        pending.into_values().collect()
    }
}

/// Whether this VM relays the digests of its data centre's other VMs.
pub(crate) fn is_relay(gateway: &Gateway, now: Moment) -> bool {
    let peers = gateway.peers();
    peers.relays_locally() && peers.expected_leader_rank(now) < LEADERS_PER_DATA_CENTRE
}

/// Relays digests while this VM is a leader of a large data centre, until the process ends.
pub(crate) async fn relay_digests(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    loop {
        gateway.relay.changed.notified().await;
        tokio::time::sleep(RELAY_BATCH_DELAY).await;
        let now = gateway.now();
        let mut digests = gateway.relay.take_pending();
        if !is_relay(&gateway, now) || !gateway.relay.preceding_leader_is_unreachable(now) {
            continue;
        }
        let own = VmKey::of(&gateway.settings.name);
        for (stamp, _) in digests.iter_mut().filter(|(stamp, _)| stamp.vm == own) {
            // Digests that this VM has sent about other data centres since then have later stamps, which
            // would make its own digest outdated.
            *stamp = gateway.next_stamp();
        }
        let targets = gateway.peers().local_peer_addresses();
        let (started_at, mut bytes) = (Instant::now(), 0);
        while !digests.is_empty() {
            let remaining = digests.split_off(digests.len().min(MAX_DIGESTS_PER_MESSAGE));
            let message = PeerMessage::Batch(gateway.next_stamp(), digests);
            bytes += send_message(&gateway, &socket, &message, &targets).await;
            digests = remaining;
        }
        let interval = relay_interval(bytes * targets.len(), gateway.settings.link_mbps);
        tokio::time::sleep_until(started_at + interval).await;
    }
}
