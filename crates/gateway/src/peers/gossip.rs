//! Messages from VM to VM, over UDP.
//!
//! Within a data centre each VM sends a digest of its loads to every other one soon after they change,
//! several changes together, and at least every [`HEARTBEAT_INTERVAL`], which makes it the heartbeat too.
//! Each leader sends a digest of its whole data centre to the leaders of other data centres, and relays
//! theirs within its own: so a VM's messages grow with its data centre, not with the deployment.
//!
//! The digests of other data centres are relayed as one sum, and no faster than a fraction of the leader's
//! link carries them to all local VMs. Relayed one by one, they would take 80 Mbit/s with five data centres
//! of 59 VMs, and the leaders that remain after a fault may have 20. What a message means is defined with its
//! kind.

use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::peers::digest_relay::{LEADER_DIGEST_DELAY, RELAY_BATCH_DELAY, is_relay};
use crate::peers::load_digest::{DigestScope, LoadDigest};
use crate::peers::peer_message::{PeerMessage, PeerStamp};
use crate::store::follow::{ReceivedUpdate, StoreMessage};
use crate::store::store_updates::StoreUpdates;
use crate::{LEADERS_PER_DATA_CENTRE, SendPace, ViewAges};
use spanfold_declare::ReportedViews;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Changes within this time are sent together.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Longest time between digests.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between digests to other data centres, and between relayed ones, for each other data centre: what
/// a leader sends stays the same however many there are.
const REMOTE_DIGEST_INTERVAL: Duration = Duration::from_millis(35);
/// Fraction of a leader's own link that relaying may use.
const RELAY_LINK_FRACTION: f64 = 0.25;
/// Longest interval between relayed digests: loads count for 1.5 s.
const MAX_RELAY_INTERVAL: Duration = Duration::from_secs(1);
/// Factor on the intervals of the second leader, which only covers a crash of the first one.
const SECOND_LEADER_INTERVAL_FACTOR: u32 = 3;
/// Interval at which a VM that has nothing to relay checks whether it is a leader.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Time from the sending of a digest until its receiver has applied it.
const DELIVERY_DELAY: Duration = Duration::from_millis(5);
/// Largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Fraction of this VM's link for store updates. Callers and digests have the rest.
const UPDATE_LINK_FRACTION: f64 = 0.5;
/// Fraction of this VM's link for digests.
const DIGEST_LINK_FRACTION: f64 = 0.35;
/// Relayed messages of fewer bytes in sum are sent before the next message is read.
const MAX_INLINE_BYTES: usize = 32 << 10;

/// Paces of the messages that go to many VMs.
#[derive(Debug)]
pub(crate) struct LinkPaces {
    updates: Mutex<SendPace>,
    digests: Mutex<SendPace>,
}

impl LinkPaces {
    pub(crate) const fn new(link_mbps: f64) -> Self {
        Self {
            updates: Mutex::new(SendPace::new(link_mbps, UPDATE_LINK_FRACTION)),
            digests: Mutex::new(SendPace::new(link_mbps, DIGEST_LINK_FRACTION)),
        }
    }

    /// Returns the pace of a message; none for what goes to few VMs.
    const fn of(&self, message: &PeerMessage) -> Option<&Mutex<SendPace>> {
        match message {
            PeerMessage::Store(..) => Some(&self.updates),
            PeerMessage::Load(..) | PeerMessage::Batch(..) | PeerMessage::Kept(..) => Some(&self.digests),
            PeerMessage::StoreAsk(..) | PeerMessage::Stream(..) | PeerMessage::StreamCopies(..) => None,
        }
    }
}

impl Gateway {
    /// Returns how old other VMs' loads are when this VM reads them, apart from the interval between reports of
    /// other data centres. They count as current where every VM sends its digests to every other one, or where
    /// the settings say so.
    pub(crate) fn digest_ages(&self) -> ViewAges {
        if self.settings.views == ReportedViews::Current {
            return ViewAges::default();
        }
        let (broadcasts_to_all, relays_locally, remote_count) = {
            let peers = self.peers();
            (peers.broadcasts_to_all(), peers.relays_locally(), peers.remote_data_centre_count())
        };
        if broadcasts_to_all {
            return ViewAges::default();
        }
        let local = if relays_locally { LEADER_DIGEST_DELAY + RELAY_BATCH_DELAY } else { BATCH_DELAY };
        let local = local + DELIVERY_DELAY;
        let remote = if remote_count == 0 {
            Duration::ZERO
        } else {
            local + DELIVERY_DELAY * 2 + REMOTE_DIGEST_INTERVAL * remote_count as u32 / 2
        };
        ViewAges { local_micros: local.as_micros() as f64, remote_micros: remote.as_micros() as f64 }
    }
}

/// Waits until a message of `bytes` fits into its pace.
async fn wait_for_pace(gateway: &Gateway, pace: &Mutex<SendPace>, bytes: usize) {
    let now = gateway.now();
    let send_at = pace.lock().unwrap_or_else(PoisonError::into_inner).reserve(bytes, now);
    if send_at > now {
        gateway.wait_until(send_at).await;
    }
}

/// Sends a message to each address; returns its bytes. A failed send counts as a lost datagram, and is
/// recorded in the metrics.
pub(crate) async fn send_message(
    gateway: &Gateway,
    socket: &UdpSocket,
    message: &PeerMessage,
    to: &[SocketAddr],
) -> usize {
    let Some(bytes) = gateway.seal(message) else { return 0 };
    let kind = KindLabel::new(message.kind());
    let pace = gateway.link_paces.of(message);
    let mut unsent = 0;
    for address in to {
        if let Some(pace) = pace {
            wait_for_pace(gateway, pace, bytes.len()).await;
        }
        unsent += u64::from(socket.send_to(&bytes, address).await.is_err());
    }
    let sent = bytes.len() as u64 * (to.len() as u64 - unsent);
    gateway.metrics.peers.bytes_sent.get_or_create(&kind).inc_by(sent);
    if unsent > 0 {
        gateway.metrics.peers.unsent.get_or_create(&kind).inc_by(unsent);
    }
    bytes.len()
}

/// Sends this VM's load digests until the process ends.
pub(crate) async fn send_digests(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    loop {
        let delay = if gateway.peers().relays_locally() { LEADER_DIGEST_DELAY } else { BATCH_DELAY };
        tokio::select! {
            () = gateway.loads_changed.notified() => tokio::time::sleep(delay).await,
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
        }
        let now = gateway.now();
        let (digest, stamp) = (LoadDigest::of_vm(&gateway), gateway.next_stamp());
        let targets = {
            let peers = gateway.peers();
            if peers.relays_locally() { peers.local_leaders(now) } else { peers.digest_targets() }
        };
        if is_relay(&gateway, now) {
            gateway.relay.push(stamp, digest.clone());
        }
        send_message(&gateway, &socket, &PeerMessage::Load(stamp, Box::new(digest)), &targets).await;
    }
}

/// Sends digests of this data centre to others while this VM is a leader, until the process ends.
pub(crate) async fn send_remote_digests(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    loop {
        let now = gateway.now();
        let (leader_rank, remote_data_centre_count, broadcasts_to_all) = {
            let peers = gateway.peers();
            (peers.leader_rank(now), peers.remote_data_centre_count(), peers.broadcasts_to_all())
        };
        if broadcasts_to_all || leader_rank >= LEADERS_PER_DATA_CENTRE || remote_data_centre_count == 0 {
            let _ = (gateway.remote_placements.take(), gateway.remote_send_reports.take());
            let _ = (gateway.remote_quarantine_messages.take(), gateway.remote_answers.take());
            gateway.rollouts().sums.remote.clear();
            tokio::time::sleep(LEADER_POLL_INTERVAL).await;
            continue;
        }
        let digest = LoadDigest::of_data_centre(&gateway, leader_rank == 0);
        let message = PeerMessage::Load(gateway.next_stamp(), Box::new(digest));
        let targets = gateway.peers().remote_leaders(leader_rank, now);
        send_message(&gateway, &socket, &message, &targets).await;
        let interval_factor = if leader_rank == 0 { 1 } else { SECOND_LEADER_INTERVAL_FACTOR };
        tokio::time::sleep(REMOTE_DIGEST_INTERVAL * remote_data_centre_count as u32 * interval_factor).await;
    }
}

/// Relays digests of other data centres within this one while this VM is a leader, until the process ends.
pub(crate) async fn relay_remote_digests(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    loop {
        let now = gateway.now();
        let (leader_rank, remote_data_centre_count, targets) = {
            let peers = gateway.peers();
            let leader_rank = peers.leader_rank(now);
            let is_relaying = !peers.broadcasts_to_all() && leader_rank < LEADERS_PER_DATA_CENTRE;
            let targets = if is_relaying { peers.local_peer_addresses() } else { Vec::new() };
            (leader_rank, peers.remote_data_centre_count(), targets)
        };
        if targets.is_empty() || remote_data_centre_count == 0 {
            let _ = (gateway.relayed_placements.take(), gateway.relayed_send_reports.take());
            let _ = (gateway.relayed_quarantine_messages.take(), gateway.relayed_answers.take());
            gateway.rollouts().sums.relayed.clear();
            tokio::time::sleep(LEADER_POLL_INTERVAL).await;
            continue;
        }
        let started_at = Instant::now();
        let digest = LoadDigest::of_elsewhere(&gateway, leader_rank == 0);
        let message = PeerMessage::Load(gateway.next_stamp(), Box::new(digest));
        let bytes = send_message(&gateway, &socket, &message, &targets).await;
        let interval_factor = if leader_rank == 0 { 1 } else { SECOND_LEADER_INTERVAL_FACTOR };
        let regular_interval = REMOTE_DIGEST_INTERVAL * remote_data_centre_count as u32 * interval_factor;
        let link_interval = relay_interval(bytes * targets.len(), gateway.settings.link_mbps);
        let interval = regular_interval.max(link_interval).min(MAX_RELAY_INTERVAL);
        tokio::time::sleep_until(started_at + interval).await;
    }
}

/// Time in which `RELAY_LINK_FRACTION` of a link of `link_mbps` carries `bytes`.
pub(crate) fn relay_interval(bytes: usize, link_mbps: f64) -> Duration {
    Duration::from_micros((bytes as f64 * 8.0 / (link_mbps.max(1.0) * RELAY_LINK_FRACTION)) as u64)
}

/// Receives and applies other VMs' messages until the process ends.
pub(crate) async fn receive(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    queue: mpsc::Sender<ReceivedUpdate>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            // An earlier send caused the error; the socket itself is intact.
            tokio::time::sleep(BATCH_DELAY).await;
            continue;
        };
        let bytes = &buffer[..length];
        let message = gateway.unseal(bytes);
        let kind = message.as_ref().map_or("rejected", PeerMessage::kind);
        let kind = KindLabel::new(kind);
        gateway.metrics.peers.messages.get_or_create(&kind).inc();
        gateway.metrics.peers.bytes.get_or_create(&kind).inc_by(length as u64);
        let Some(message) = message else { continue };
        let stamp = message.stamp();
        if let PeerMessage::Store(_, update) = &message
            && update.is_spread
        {
            relay_updates(&gateway, &socket, (stamp, update), bytes).await;
        }
        match message {
            PeerMessage::Store(_, update) => {
                enqueue(&gateway, &queue, (stamp.vm, StoreMessage::Updates(update)), &kind);
            }
            PeerMessage::StoreAsk(_, from) => {
                enqueue(&gateway, &queue, (stamp.vm, StoreMessage::Request(from)), &kind);
            }
            PeerMessage::Kept(_, digest) => digest.apply(&gateway),
            PeerMessage::Stream(stamp, message) => gateway.apply_stream_message(stamp, message, source).await,
            PeerMessage::StreamCopies(stamp, keys) => gateway.streams.copies.confirm(stamp.vm, &keys),
            PeerMessage::Load(_, digest) => apply_digest(&gateway, stamp, &digest),
            PeerMessage::Batch(_, digests) => apply_batch(&gateway, stamp, &digests),
        }
    }
}

/// Passes a message on to the task that follows the store.
///
/// If its queue is full, the message is dropped: the task detects the gap, and requests what it lacks.
fn enqueue(
    gateway: &Gateway,
    queue: &mpsc::Sender<ReceivedUpdate>,
    message: ReceivedUpdate,
    kind: &KindLabel,
) {
    if queue.try_send(message).is_err() {
        gateway.metrics.peers.dropped.get_or_create(kind).inc();
    }
}

/// Relays an update that a VM sends to its whole data centre, if this VM is one of its relays.
async fn relay_updates(
    gateway: &Arc<Gateway>,
    socket: &Arc<UdpSocket>,
    (stamp, update): (PeerStamp, &StoreUpdates),
    bytes: &[u8],
) {
    let targets = match &update.group {
        Some(group) => gateway.peers().leaf_addresses(group),
        None if gateway.relay_history.record(stamp) => gateway.peers().former_relay_targets(stamp.vm),
        None => return,
    };
    let relayed_bytes = bytes.len() * targets.len();
    let kind = KindLabel::new("relayed");
    gateway.metrics.peers.bytes_sent.get_or_create(&kind).inc_by(relayed_bytes as u64);
    if relayed_bytes <= MAX_INLINE_BYTES {
        return send_relayed(gateway, socket, bytes, &targets).await;
    }
    // Other messages are read meanwhile.
    let (gateway, socket, bytes) = (Arc::clone(gateway), Arc::clone(socket), bytes.to_vec());
    tokio::spawn(async move { send_relayed(&gateway, &socket, &bytes, &targets).await });
}

async fn send_relayed(gateway: &Gateway, socket: &UdpSocket, bytes: &[u8], targets: &[SocketAddr]) {
    for address in targets {
        wait_for_pace(gateway, &gateway.link_paces.updates, bytes.len()).await;
        // A failed send counts as a lost datagram: a VM that misses the update requests it.
        let _ = socket.send_to(bytes, address).await;
    }
}

/// Applies a VM's digest, and queues it for relaying if this VM relays.
fn apply_digest(gateway: &Gateway, stamp: PeerStamp, digest: &LoadDigest) {
    let now = gateway.now();
    if !digest.accept(&mut gateway.peers(), stamp, now) {
        return;
    }
    digest.apply(gateway, stamp.vm);
    let is_local = gateway.peers().is_local(stamp.vm);
    if digest.scope == DigestScope::Vm && is_local && is_relay(gateway, now) {
        gateway.relay.push(stamp, digest.clone());
    }
}

/// Applies the digests that a leader of this data centre relays.
fn apply_batch(gateway: &Gateway, sender: PeerStamp, digests: &[(PeerStamp, LoadDigest)]) {
    let now = gateway.now();
    if gateway.peers().precedes_as_leader(sender.vm) {
        gateway.relay.record_preceding_leader(now);
    }
    for (stamp, digest) in digests {
        // This VM's own digests are not accepted, since the peer table doesn't list it.
        if digest.accept(&mut gateway.peers(), *stamp, now) {
            digest.apply(gateway, stamp.vm);
        }
    }
}
