//! Messages from VM to VM, over UDP.
//!
//! Within a data centre each VM tells every other of its loads soon after they change, several changes
//! together, and at least every [`REST`], which is also the heartbeat. Each lead tells the leads of
//! other data centres of its own as a whole, and passes on to its data centre what they tell: so a
//! VM's messages grow with its data centre, not with the deployment. What a message means is decided
//! where its kind is defined.

use crate::LEADS;
use crate::VmKey;
use crate::follow::{StoreWord, ToldNews};
use crate::gateway::Gateway;
use crate::gateway_metrics::KindLabel;
use crate::load_digest::{DigestScope, LoadDigest};
use crate::peer_message::PeerMessage;
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
/// Pause of a VM that has nothing to tell other data centres.
const NO_LEAD_PAUSE: Duration = Duration::from_millis(150);
/// Largest datagram that is read, in bytes.
const DATAGRAM_BYTES: usize = 65_536;

/// Sends one message to each address. One that cannot be sent is as good as a lost one.
pub(crate) async fn tell(gateway: &Gateway, socket: &UdpSocket, message: &PeerMessage, to: &[SocketAddr]) {
    if let Some(bytes) = gateway.seal(message) {
        send_all(socket, &bytes, to).await;
    }
}

async fn send_all(socket: &UdpSocket, bytes: &[u8], to: &[SocketAddr]) {
    for address in to {
        let _ = socket.send_to(bytes, address).await;
    }
}

/// Tells the other VMs of this one's loads until the process ends.
pub(crate) async fn send_digests(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    loop {
        tokio::select! {
            () = gateway.loads_changed.notified() => tokio::time::sleep(GATHER_PAUSE).await,
            () = tokio::time::sleep(REST) => {}
        }
        let message = PeerMessage::Load(gateway.next_stamp(), LoadDigest::own(&gateway));
        let targets = gateway.peers().digest_targets();
        tell(&gateway, &socket, &message, &targets).await;
    }
}

/// Tells other data centres of this one while this VM is one of its leads, until the process ends.
pub(crate) async fn send_far_digests(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    loop {
        let now = gateway.now();
        let (place, far_count, tells_all) = {
            let peers = gateway.peers();
            (peers.lead_place(now), peers.far_count(), peers.tells_all())
        };
        if tells_all || place >= LEADS || far_count == 0 {
            let _ = gateway.far_notes.take();
            tokio::time::sleep(NO_LEAD_PAUSE).await;
            continue;
        }
        let message = PeerMessage::Load(gateway.next_stamp(), LoadDigest::of_data_centre(&gateway));
        let targets = gateway.peers().far_leads(place, now);
        tell(&gateway, &socket, &message, &targets).await;
        tokio::time::sleep(FAR_PAUSE * far_count as u32).await;
    }
}

/// Takes the other VMs' messages until the process ends.
pub(crate) async fn receive(gateway: Arc<Gateway>, socket: Arc<UdpSocket>, news: mpsc::Sender<ToldNews>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            // An earlier send was answered with an error: the socket itself is sound.
            tokio::time::sleep(GATHER_PAUSE).await;
            continue;
        };
        let bytes = &buffer[..length];
        let message = gateway.unseal(bytes);
        let kind = message.as_ref().map_or("rejected", PeerMessage::kind);
        gateway.metrics.peer_messages.get_or_create(&KindLabel::new(kind)).inc();
        let Some(message) = message else { continue };
        let stamp = message.stamp();
        match message {
            // A follower that is so far behind notices the gap and asks the store itself.
            PeerMessage::Store(_, told) => drop(news.try_send((stamp.vm, StoreWord::News(told)))),
            PeerMessage::StoreAsk(_, revision) => drop(news.try_send((stamp.vm, StoreWord::Ask(revision)))),
            PeerMessage::Kept(_, digest) => digest.apply(&gateway),
            PeerMessage::Load(_, digest) => {
                let now = gateway.now();
                if !gateway.peers().hear(stamp.vm, stamp.incarnation, stamp.sequence, now) {
                    continue;
                }
                digest.apply(&gateway, stamp.vm);
                if digest.scope == DigestScope::DataCentre {
                    let targets = passed_to(&gateway, stamp.vm, sender);
                    send_all(&socket, bytes, &targets).await;
                }
            }
        }
    }
}

/// Where a lead passes on what another data centre told: to the VMs of its own, unless it came from one
/// of them.
fn passed_to(gateway: &Gateway, vm: VmKey, sender: SocketAddr) -> Vec<SocketAddr> {
    let peers = gateway.peers();
    let direct = peers.address_of(vm) == Some(sender);
    if direct && !peers.is_near(vm) && peers.lead_place(gateway.now()) < LEADS {
        peers.near_addresses()
    } else {
        Vec::new()
    }
}
