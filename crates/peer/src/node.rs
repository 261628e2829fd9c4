//! A VM's side of the peer protocol.
//!
//! Invariant: sending never waits. Each peer has a bounded line; what does not fit or cannot be
//! delivered is dropped, because every message may be lost and every loss is made good by a
//! repeat or a heartbeat. Blocking the control thread on a cut link would be worse.

use crate::identity::speaks_for;
use crate::{IdentityError, PeerIdentity, frame};
use serde::{Deserialize, Serialize};
use spanfold_kernel::Message;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Messages that wait for one peer.
const LINE_LENGTH: usize = 4_096;
/// Pause after a failed connection.
const RECONNECT: Duration = Duration::from_millis(200);
/// A handshake that takes longer has failed.
const HANDSHAKE: Duration = Duration::from_secs(2);

/// The first frame of a stream: who speaks.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    name: String,
    incarnation: u64,
}

/// A message and the name of the VM that sent it.
#[derive(Debug)]
pub struct ReceivedMessage {
    /// The sender's name, as its certificate says.
    pub from: String,
    /// What it said.
    pub message: Message,
}

/// Bytes and messages that went out and came in.
#[derive(Debug, Default)]
struct Traffic {
    bytes_out: AtomicU64,
    messages_out: AtomicU64,
    messages_in: AtomicU64,
}

/// One peer: its line, and how its connection is dropped when it has restarted.
#[derive(Debug)]
struct PeerLine {
    address: SocketAddr,
    sender: mpsc::Sender<Vec<u8>>,
    reset: watch::Sender<u64>,
}

/// A VM's side of the peer protocol.
#[derive(Debug, Clone)]
pub struct PeerNode {
    endpoint: quinn::Endpoint,
    name: String,
    incarnation: u64,
    lines: Arc<Mutex<HashMap<String, PeerLine>>>,
    traffic: Arc<Traffic>,
}

impl PeerNode {
    /// Listens on `address` and gives incoming messages to `inbox`.
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
            lines: Arc::default(),
            traffic: Arc::default(),
        };
        tokio::spawn(accept(node.clone(), inbox));
        Ok(node)
    }

    /// Puts `message` in the line of the peer called `name` at `address`.
    pub fn send(&self, name: &str, address: SocketAddr, message: &Message) {
        let Some(bytes) = frame::encode(message) else { return };
        self.traffic.bytes_out.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.traffic.messages_out.fetch_add(1, Ordering::Relaxed);
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let line = match lines.get(name) {
            Some(line) if line.address == address => line,
            _ => {
                let line = self.open_line(name, address);
                lines.insert(name.to_owned(), line);
                &lines[name]
            }
        };
        if line.sender.try_send(bytes).is_err() {
            log::debug!(name:% = name; "peer.line_full");
        }
    }

    /// Forgets the lines of all peers but `known`.
    pub fn retain(&self, known: impl Fn(&str) -> bool) {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).retain(|name, _| known(name));
    }

    /// Bytes sent, messages sent and messages received, since the start.
    pub fn traffic(&self) -> (u64, u64, u64) {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (read(&self.traffic.bytes_out), read(&self.traffic.messages_out), read(&self.traffic.messages_in))
    }

    /// The address that it listens on.
    pub fn address(&self) -> Option<SocketAddr> {
        self.endpoint.local_addr().ok()
    }

    /// Ends all connections.
    pub fn close(&self) {
        self.endpoint.close(0_u32.into(), b"stop");
    }

    fn open_line(&self, name: &str, address: SocketAddr) -> PeerLine {
        let (sender, receiver) = mpsc::channel(LINE_LENGTH);
        let (reset, resets) = watch::channel(0);
        tokio::spawn(drive_line(self.clone(), name.to_owned(), address, receiver, resets));
        PeerLine { address, sender, reset }
    }

    /// A peer that has restarted does not know the old connection.
    fn note_incarnation(&self, name: &str, incarnation: u64) {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(line) = lines.get(name) {
            line.reset.send_if_modified(|known| std::mem::replace(known, incarnation) != incarnation);
        }
    }
}

async fn accept(node: PeerNode, inbox: mpsc::Sender<ReceivedMessage>) {
    while let Some(incoming) = node.endpoint.accept().await {
        let (node, inbox) = (node.clone(), inbox.clone());
        tokio::spawn(async move {
            let Ok(connection) = incoming.await else { return };
            let Ok(mut stream) = connection.accept_uni().await else { return };
            let Some(hello) = frame::read::<Hello>(&mut stream).await else { return };
            if !speaks_for(&connection, &hello.name) {
                log::warn!(claimed:% = hello.name; "peer.name_refused");
                return;
            }
            node.note_incarnation(&hello.name, hello.incarnation);
            while let Some(message) = frame::read::<Message>(&mut stream).await {
                node.traffic.messages_in.fetch_add(1, Ordering::Relaxed);
                let received = ReceivedMessage { from: hello.name.clone(), message };
                if inbox.send(received).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Connects, writes what comes down the line, and connects again when that breaks.
async fn drive_line(
    node: PeerNode,
    name: String,
    address: SocketAddr,
    mut receiver: mpsc::Receiver<Vec<u8>>,
    mut resets: watch::Receiver<u64>,
) {
    while let Some(first) = receiver.recv().await {
        let Some((connection, mut stream)) = connect(&node, &name, address).await else {
            // What waited for a peer that is gone is of no use to the one that comes back.
            while receiver.try_recv().is_ok() {}
            tokio::time::sleep(RECONNECT).await;
            continue;
        };
        resets.mark_unchanged();
        let mut next = Some(first);
        while let Some(bytes) = next.take() {
            if stream.write_all(&bytes).await.is_err() {
                break;
            }
            next = tokio::select! {
                bytes = receiver.recv() => bytes,
                _ = connection.closed() => None,
                changed = resets.changed() => {
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
    let connection = tokio::time::timeout(HANDSHAKE, connecting).await.ok()?.ok()?;
    let mut stream = connection.open_uni().await.ok()?;
    let hello = Hello { name: node.name.clone(), incarnation: node.incarnation };
    stream.write_all(&frame::encode(&hello)?).await.ok()?;
    Some((connection, stream))
}
