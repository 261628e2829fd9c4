//! Messages from VM to VM, over UDP.
//!
//! Within a data centre each VM tells every other of its loads soon after they change, several changes
//! together, and at least every [`REST`], which is also the heartbeat. Each lead tells the leads of
//! other data centres of its own as a whole, and passes on to its data centre what they tell: so a
//! VM's messages grow with its data centre, not with the deployment. What other data centres tell goes out as one sum
//! and no faster than a part of the lead's link carries to so many: passed on one by one, it would take 80
//! Mbit/s with five data centres of 59 VMs, and the leads that are left after a fault may have 20. What a message means is decided
//! where its kind is defined.

use crate::LEADERS_PER_DATA_CENTRE;
use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::peers::digest_relay::{TELL_PAUSE, relays};
use crate::peers::load_digest::{DigestScope, LoadDigest};
use crate::peers::peer_message::{PeerMessage, PeerStamp};
use crate::store::follow::{StoreWord, ToldNews};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Changes within this time go out together.
const GATHER_PAUSE: Duration = Duration::from_millis(20);
/// Longest time between digests.
const REST: Duration = Duration::from_millis(300);
/// Pause between digests of a data centre for each other data centre that passes them on: what a lead
/// sends stays the same however many there are.
const FAR_PAUSE: Duration = Duration::from_millis(35);
/// Part of a lead's own link that passing on may take.
const PASS_SHARE: f64 = 0.25;
/// Longest pause of a lead that passes on: loads count for 1.5 s.
const PASS_PAUSE_MOST: Duration = Duration::from_secs(1);
/// The second lead tells other data centres so many times as rarely: it is there for the death of the first one.
const SECOND_LEAD_FACTOR: u32 = 3;
/// Pause of a VM that has nothing to tell other data centres.
const NO_LEAD_PAUSE: Duration = Duration::from_millis(150);
/// Largest datagram that is read, in bytes.
const DATAGRAM_BYTES: usize = 65_536;

/// Sends one message to each address; gives its bytes. One that cannot be sent is as good as a lost one, but counted.
pub(crate) async fn tell(
    gateway: &Gateway,
    socket: &UdpSocket,
    message: &PeerMessage,
    to: &[SocketAddr],
) -> usize {
    let Some(bytes) = gateway.seal(message) else { return 0 };
    let kind = KindLabel::new(message.kind());
    let mut unsent = 0;
    for address in to {
        unsent += u64::from(socket.send_to(&bytes, address).await.is_err());
    }
    let sent = bytes.len() as u64 * (to.len() as u64 - unsent);
    gateway.metrics.peers.bytes_sent.get_or_create(&kind).inc_by(sent);
    if unsent > 0 {
        gateway.metrics.peers.unsent.get_or_create(&kind).inc_by(unsent);
    }
    bytes.len()
}

/// Tells the other VMs of this one's loads until the process ends.
pub(crate) async fn send_digests(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    loop {
        let pause = if gateway.peers().relays_locally() { TELL_PAUSE } else { GATHER_PAUSE };
        tokio::select! {
            () = gateway.loads_changed.notified() => tokio::time::sleep(pause).await,
            () = tokio::time::sleep(REST) => {}
        }
        let now = gateway.now();
        let (digest, stamp) = (LoadDigest::own(&gateway), gateway.next_stamp());
        let targets = {
            let peers = gateway.peers();
            if peers.relays_locally() { peers.local_leaders(now) } else { peers.digest_targets() }
        };
        if relays(&gateway, now) {
            gateway.relay.push(stamp, digest.clone());
        }
        tell(&gateway, &socket, &PeerMessage::Load(stamp, digest), &targets).await;
    }
}

/// Tells other data centres of this one while this VM is one of its leads, until the process ends.
pub(crate) async fn send_far_digests(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    loop {
        let now = gateway.now();
        let (place, remote_data_centre_count, broadcasts_to_all) = {
            let peers = gateway.peers();
            (peers.leader_rank(now), peers.remote_data_centre_count(), peers.broadcasts_to_all())
        };
        if broadcasts_to_all || place >= LEADERS_PER_DATA_CENTRE || remote_data_centre_count == 0 {
            let _ = (gateway.far_notes.take(), gateway.far_reports.take());
            let _ = (gateway.far_cases.take(), gateway.far_answers.take());
            gateway.rollouts().sums.far.clear();
            tokio::time::sleep(NO_LEAD_PAUSE).await;
            continue;
        }
        let message =
            PeerMessage::Load(gateway.next_stamp(), LoadDigest::of_data_centre(&gateway, place == 0));
        let targets = gateway.peers().remote_leaders(place, now);
        tell(&gateway, &socket, &message, &targets).await;
        let rarely = if place == 0 { 1 } else { SECOND_LEAD_FACTOR };
        tokio::time::sleep(FAR_PAUSE * remote_data_centre_count as u32 * rarely).await;
    }
}

/// Tells the VMs of this data centre of all others while this VM is one of its leads, until the process ends.
pub(crate) async fn pass_on(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    loop {
        let now = gateway.now();
        let (place, remote_data_centre_count, targets) = {
            let peers = gateway.peers();
            let place = peers.leader_rank(now);
            let passes = !peers.broadcasts_to_all() && place < LEADERS_PER_DATA_CENTRE;
            let targets = if passes { peers.local_peer_addresses() } else { Vec::new() };
            (place, peers.remote_data_centre_count(), targets)
        };
        if targets.is_empty() || remote_data_centre_count == 0 {
            let _ = (gateway.passed_notes.take(), gateway.passed_reports.take());
            let _ = (gateway.passed_cases.take(), gateway.passed_answers.take());
            gateway.rollouts().sums.passed.clear();
            tokio::time::sleep(NO_LEAD_PAUSE).await;
            continue;
        }
        let message = PeerMessage::Load(gateway.next_stamp(), LoadDigest::of_elsewhere(&gateway, place == 0));
        let bytes = tell(&gateway, &socket, &message, &targets).await;
        let rarely = if place == 0 { 1 } else { SECOND_LEAD_FACTOR };
        let usual = FAR_PAUSE * remote_data_centre_count as u32 * rarely;
        let link = pass_pause(bytes * targets.len(), gateway.settings.link_mbps);
        tokio::time::sleep(usual.max(link).min(PASS_PAUSE_MOST)).await;
    }
}

/// Time in which a part of a link of `link_mbps` carries so many bytes.
pub(crate) fn pass_pause(bytes: usize, link_mbps: f64) -> Duration {
    Duration::from_micros((bytes as f64 * 8.0 / (link_mbps.max(1.0) * PASS_SHARE)) as u64)
}

/// Takes the other VMs' messages until the process ends.
pub(crate) async fn receive(gateway: Arc<Gateway>, socket: Arc<UdpSocket>, news: mpsc::Sender<ToldNews>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            // An earlier send was answered with an error: the socket itself is sound.
            tokio::time::sleep(GATHER_PAUSE).await;
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
        if let PeerMessage::Store(_, told) = &message
            && told.is_spread
        {
            pass_on_news(&gateway, &socket, stamp, bytes).await;
        }
        match message {
            // A follower that is so far behind notices the gap and asks the store itself.
            PeerMessage::Store(_, told) => drop(news.try_send((stamp.vm, StoreWord::News(told)))),
            PeerMessage::StoreAsk(_, position) => drop(news.try_send((stamp.vm, StoreWord::Ask(position)))),
            PeerMessage::Kept(_, digest) => digest.apply(&gateway),
            PeerMessage::Load(_, digest) => take_digest(&gateway, stamp, &digest),
            PeerMessage::Batch(_, digests) => take_batch(&gateway, stamp, &digests),
        }
    }
}

/// Passes on what a VM tells all of its data centre, if this VM does that, each message once.
async fn pass_on_news(gateway: &Gateway, socket: &UdpSocket, stamp: PeerStamp, bytes: &[u8]) {
    if !gateway.relayed.note(stamp) {
        return;
    }
    let targets = gateway.peers().relay_targets(stamp.vm);
    for address in &targets {
        // One that cannot be sent is as good as a lost one: who misses it asks.
        let _ = socket.send_to(bytes, address).await;
    }
    let kind = KindLabel::new("relayed");
    gateway.metrics.peers.bytes_sent.get_or_create(&kind).inc_by((bytes.len() * targets.len()) as u64);
}

/// Takes what a VM tells itself, and has it passed on if this VM does that.
fn take_digest(gateway: &Gateway, stamp: PeerStamp, digest: &LoadDigest) {
    let now = gateway.now();
    if !digest.is_heard(&mut gateway.peers(), stamp, now) {
        return;
    }
    digest.apply(gateway, stamp.vm);
    let is_local = gateway.peers().is_local(stamp.vm);
    if digest.scope == DigestScope::Vm && is_local && relays(gateway, now) {
        gateway.relay.push(stamp, digest.clone());
    }
}

/// Takes what a lead of this data centre passes on of its VMs.
fn take_batch(gateway: &Gateway, sender: PeerStamp, digests: &[(PeerStamp, LoadDigest)]) {
    let now = gateway.now();
    if gateway.peers().precedes_as_leader(sender.vm) {
        gateway.relay.note_other(now);
    }
    for (stamp, digest) in digests {
        // This VM's own are not in its book, and thus not heard.
        if digest.is_heard(&mut gateway.peers(), *stamp, now) {
            digest.apply(gateway, stamp.vm);
        }
    }
}
