//! Sends copies of streams' records to other VMs until enough of them have confirmed one.
//!
//! Invariant: a record that lacks copies has a log line and is counted. A VM confirms each copy that it
//! receives, several together.

use super::stream_message::{StreamMessage, StreamRecord};
use crate::gateway::Gateway;
use crate::peers::gossip::send_message;
use crate::peers::peer_message::PeerMessage;
use crate::{CopyLedger, CopyTarget, DueCopies, DueCopy, ShortRecord, StreamCopy, StreamKey, VmKey};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Copies received within this time are confirmed together.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of confirmations in one datagram, which then has 1.1 kB.
const MAX_CONFIRMATIONS: usize = 60;

/// Copies that this VM sent and that are not confirmed, and copies that it received and has to confirm.
#[derive(Debug, Default)]
pub(crate) struct CopyState {
    ledger: Mutex<CopyLedger>,
    received: Mutex<HashMap<SocketAddr, Vec<StreamKey>>>,
    changed: Notify,
}

impl CopyState {
    fn ledger(&self) -> MutexGuard<'_, CopyLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn received(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<StreamKey>>> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a VM has copies that this one sent.
    pub(crate) fn confirm(&self, vm: VmKey, keys: &[StreamKey]) {
        self.ledger().confirm(vm, keys);
    }

    /// Records that a copy was received from `source`.
    pub(crate) fn record_received(&self, key: StreamKey, source: SocketAddr) {
        self.received().entry(source).or_default().push(key);
        self.changed.notify_one();
    }
}

impl Gateway {
    /// Sends copies of a stream's record to other VMs.
    pub(crate) async fn send_copies(&self, copy: StreamCopy) {
        let now = self.now();
        let targets = {
            let peers = self.peers();
            self.streams.copies.ledger().begin(copy, &peers, now)
        };
        self.streams.copies.changed.notify_one();
        self.send_copy(&copy, &targets, "sent").await;
    }

    async fn send_copy(&self, copy: &StreamCopy, targets: &[CopyTarget], kind: &str) {
        let StreamCopy { key, account, origin, expires_at } = *copy;
        let record = StreamRecord::new(origin, expires_at, self.now());
        let addresses: Vec<_> = targets.iter().map(|target| target.address).collect();
        self.metrics.streams.count_copies(kind, targets.len());
        self.send_about_stream(StreamMessage::Record { key, account, record }, &addresses).await;
    }

    /// Confirms the copies that were received.
    async fn confirm_received(&self) {
        let received = std::mem::take(&mut *self.streams.copies.received());
        let Some(socket) = self.streams.socket() else { return };
        for (source, keys) in received {
            for keys in keys.chunks(MAX_CONFIRMATIONS) {
                let message = PeerMessage::StreamCopies(self.next_stamp(), keys.to_vec());
                send_message(self, socket, &message, &[source]).await;
            }
        }
    }

    /// Sends the copies again that are not confirmed in time.
    async fn complete_copies(&self) {
        let now = self.now();
        let DueCopies { copies, short } = {
            let peers = self.peers();
            self.streams.copies.ledger().take_due(&peers, now)
        };
        for DueCopy { copy, again, further } in copies {
            self.send_copy(&copy, &again, "resent").await;
            self.send_copy(&copy, &further, "replaced").await;
        }
        for ShortRecord { key, confirmed, sent } in short {
            self.metrics.streams.count_copies("short", 1);
            log::warn!(stream:% = key, confirmed, sent, listed = self.peers().listed_count() - 1;
                "stream.copies_missing");
        }
    }
}

/// Confirms received copies, and completes those of this VM's streams, until the process ends.
pub(crate) async fn keep_copies(gateway: Arc<Gateway>) {
    loop {
        let due_at = gateway.streams.copies.ledger().next_due_at();
        tokio::select! {
            () = gateway.streams.copies.changed.notified() => tokio::time::sleep(CONFIRMATION_DELAY).await,
            () = gateway.wait_until(due_at) => {}
        }
        gateway.confirm_received().await;
        gateway.complete_copies().await;
    }
}
