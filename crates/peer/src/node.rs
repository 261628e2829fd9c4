//! Sending and receiving of messages between VMs.
//!
//! Invariant: sending never blocks. Each peer has a bounded queue; messages that do not fit in or
//! cannot be delivered are dropped, because every message may be lost and a repeat or a heartbeat
//! compensates for it. Blocking the control thread on a broken link would be worse.

use crate::identity::is_certified_as;
use crate::{IdentityError, PeerIdentity, frame};
use serde::{Deserialize, Serialize};
use spanfold_kernel::Message;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Capacity of the send queue of one peer.
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Delay after a failed attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Time after which a handshake counts as failed.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// The first frame of a stream, which identifies the sender.
#[derive(Debug, Serialize, Deserialize)]
struct HelloFrame {
    name: String,
    incarnation: u64,
}

/// A message with the name of its sender.
#[derive(Debug)]
pub struct ReceivedMessage {
    /// The sender's name, for which its certificate is valid.
    pub from: String,
    /// The message.
    pub message: Message,
}

/// Counters of sent bytes and of sent and received messages.
#[derive(Debug, Default)]
struct TrafficCounters {
    bytes_sent: AtomicU64,
    messages_sent: AtomicU64,
    messages_received: AtomicU64,
}

/// Send queue of one peer, with the signal that closes the connection to its previous process.
#[derive(Debug)]
struct PeerQueue {
    address: SocketAddr,
    sender: mpsc::Sender<Vec<u8>>,
    incarnation: watch::Sender<u64>,
}

/// A VM's side of the peer protocol.
#[derive(Debug, Clone)]
pub struct PeerNode {
    endpoint: quinn::Endpoint,
    name: String,
    incarnation: u64,
    queues: Arc<Mutex<HashMap<String, PeerQueue>>>,
    traffic: Arc<TrafficCounters>,
}

impl PeerNode {
    /// Listens on `address` and sends received messages to `inbox`.
    ///
    /// Must be called within a tokio runtime.
    ///
    /// # Errors
    /// If the address cannot be listened on.
    pub fn listen(
        identity: PeerIdentity,
        address: SocketAddr,
        incarnation: u64,
        inbox: mpsc::Sender<ReceivedMessage>,
    ) -> Result<Self, IdentityError> {
        let mut endpoint = quinn::Endpoint::server(identity.server, address)?;
        endpoint.set_default_client_config(identity.client);
        let node = Self {
            endpoint,
            name: identity.name,
            incarnation,
            queues: Arc::default(),
            traffic: Arc::default(),
        };
        tokio::spawn(accept_connections(node.clone(), inbox));
        Ok(node)
    }

    /// Queues `message` for the peer called `name` at `address`.
    pub fn send(&self, name: &str, address: SocketAddr, message: &Message) {
        let Some(bytes) = frame::encode(message) else { return };
        self.traffic.bytes_sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.traffic.messages_sent.fetch_add(1, Ordering::Relaxed);
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = match queues.get(name) {
            Some(queue) if queue.address == address => queue,
            _ => {
                let queue = self.open_queue(name, address);
                queues.insert(name.to_owned(), queue);
                &queues[name]
            }
        };
        if queue.sender.try_send(bytes).is_err() {
            log::debug!(name:% = name; "peer.line_full");
        }
    }

    /// Discards the queues of all peers whose names `is_known` rejects.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner).retain(|name, _| is_known(name));
    }

    /// Returns bytes sent, messages sent and messages received, since the start.
    pub fn traffic(&self) -> (u64, u64, u64) {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (
            load(&self.traffic.bytes_sent),
            load(&self.traffic.messages_sent),
            load(&self.traffic.messages_received),
        )
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> Option<SocketAddr> {
        self.endpoint.local_addr().ok()
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.endpoint.close(0_u32.into(), b"stop");
    }

    fn open_queue(&self, name: &str, address: SocketAddr) -> PeerQueue {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (incarnation, incarnations) = watch::channel(0);
        tokio::spawn(send_queued(self.clone(), name.to_owned(), address, receiver, incarnations));
        PeerQueue { address, sender, incarnation }
    }

    /// Records a peer's incarnation; a change closes the connection, which a restarted peer has lost.
    fn record_incarnation(&self, name: &str, incarnation: u64) {
        let queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(queue) = queues.get(name) {
            queue
                .incarnation
                .send_if_modified(|recorded| std::mem::replace(recorded, incarnation) != incarnation);
        }
    }
}

async fn accept_connections(node: PeerNode, inbox: mpsc::Sender<ReceivedMessage>) {
    while let Some(incoming) = node.endpoint.accept().await {
        let (node, inbox) = (node.clone(), inbox.clone());
        tokio::spawn(async move {
            let Ok(connection) = incoming.await else { return };
            let Ok(mut stream) = connection.accept_uni().await else { return };
            let Some(hello) = frame::read::<HelloFrame>(&mut stream).await else { return };
            if !is_certified_as(&connection, &hello.name) {
                log::warn!(claimed:% = hello.name; "peer.name_refused");
                return;
            }
            node.record_incarnation(&hello.name, hello.incarnation);
            while let Some(message) = frame::read::<Message>(&mut stream).await {
                node.traffic.messages_received.fetch_add(1, Ordering::Relaxed);
                let received = ReceivedMessage { from: hello.name.clone(), message };
                if inbox.send(received).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Connects to a peer, sends its queued messages, and reconnects when the connection breaks.
async fn send_queued(
    node: PeerNode,
    name: String,
    address: SocketAddr,
    mut receiver: mpsc::Receiver<Vec<u8>>,
    mut incarnations: watch::Receiver<u64>,
) {
    while let Some(first) = receiver.recv().await {
        let Some((connection, mut stream)) = connect(&node, &name, address).await else {
            // Messages queued for an unreachable peer are of no use to it when it returns.
            while receiver.try_recv().is_ok() {}
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        incarnations.mark_unchanged();
        let mut next = Some(first);
        while let Some(bytes) = next.take() {
            if stream.write_all(&bytes).await.is_err() {
                break;
            }
            next = tokio::select! {
                bytes = receiver.recv() => bytes,
                _ = connection.closed() => None,
                changed = incarnations.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    None
                }
            };
        }
    }
}

async fn connect(
    node: &PeerNode,
    name: &str,
    address: SocketAddr,
) -> Option<(quinn::Connection, quinn::SendStream)> {
    let connecting = node.endpoint.connect(address, name).ok()?;
    let connection = tokio::time::timeout(HANDSHAKE_TIMEOUT, connecting).await.ok()?.ok()?;
    let mut stream = connection.open_uni().await.ok()?;
    let hello = HelloFrame { name: node.name.clone(), incarnation: node.incarnation };
    stream.write_all(&frame::encode(&hello)?).await.ok()?;
    Some((connection, stream))
}
