//! What the lead of a data centre tells the others of the stores of kept cache.
//!
//! Invariant: a digest repeats only what the store itself reported, in the incarnation that it names. Changes may
//! get lost on the way; since whole books follow in turn, a part is missed for some seconds at most,
//! which costs reading it. That a part was freed may be missed, too: only parts of weights that no
//! engine has are freed, and nobody asks for those.

use crate::gateway::Gateway;
use crate::peers::gossip;
use crate::peers::peer_message::PeerMessage;
use crate::{CacheReport, IndexReporter};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Changes within this time go out together.
const GATHER_PAUSE: Duration = Duration::from_millis(40);
/// Longest time between digests: it is also that between two whole books.
const REST: Duration = Duration::from_millis(400);
/// Most parts in one digest, of 12 bytes each: with the names of 300 stores it stays below half of the largest datagram.
const PARTS_MOST: usize = 1_000;
/// Least parts in one digest, so that it goes on at the narrowest link.
const PARTS_LEAST: usize = 20;
/// Bytes of a part in a digest, with its part of the row and of the datagram's head.
const PART_BYTES: usize = 16;
/// Part of the teller's own link that digests may take.
const LINK_SHARE: f64 = 0.2;
/// What is told counts for this long, in milliseconds: several digests.
const COUNTS_MILLIS: u64 = 1_500;

/// What is told of all stores.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeptDigest {
    /// The engines' clock, in milliseconds, if it is known.
    clock_millis: Option<u64>,
    rows: Vec<CacheReport>,
}

impl KeptDigest {
    /// What is told next, with at most `parts_most` parts; and whether more is left to be told.
    fn take(
        gateway: &Gateway,
        teller: &mut IndexReporter,
        max_segments: usize,
        is_full_index_due: bool,
    ) -> (Self, bool) {
        let now = gateway.now();
        let clock_millis = gateway.engine_clock_at(now);
        let told = teller.next(&mut gateway.table(), max_segments, is_full_index_due, now);
        (Self { clock_millis, rows: told.rows }, told.is_partial)
    }

    /// Takes what the lead told.
    pub(crate) fn apply(&self, gateway: &Gateway) {
        let until = gateway.now().after_millis(COUNTS_MILLIS);
        gateway.set_engine_clock(self.clock_millis);
        let mut table = gateway.table();
        for row in &self.rows {
            if let Some(book) = table.store_mut(row.store) {
                book.apply_cache_report(row, until);
            }
        }
    }
}

/// Whether this VM asks the stores: in a small deployment each one does, for itself.
pub(crate) fn asks_stores(gateway: &Gateway, now: Moment) -> bool {
    let peers = gateway.peers();
    peers.broadcasts_to_all() || peers.leader_rank(now) == 0
}

/// VMs that ask each store.
pub(crate) fn askers(gateway: &Gateway) -> usize {
    let peers = gateway.peers();
    if peers.broadcasts_to_all() { peers.listed_count() } else { peers.remote_data_centre_count() + 1 }
}

/// Where this VM tells what it hears from the stores: nowhere if the others ask themselves.
fn told_to(gateway: &Gateway) -> Vec<SocketAddr> {
    let peers = gateway.peers();
    let tells = !peers.broadcasts_to_all() && peers.leader_rank(gateway.now()) == 0;
    if tells { peers.local_peer_addresses() } else { Vec::new() }
}

/// Parts that one digest may tell to so many VMs over a link of `link_mbps` without taking more than its share.
fn max_segments(targets: usize, link_mbps: f64) -> usize {
    let bytes = link_mbps * 1e6 / 8.0 * LINK_SHARE * GATHER_PAUSE.as_secs_f64();
    let parts = bytes as usize / (targets.max(1) * PART_BYTES);
    parts.clamp(PARTS_LEAST, PARTS_MOST)
}

/// Tells the other VMs of the data centre what this one hears from the stores, until the process ends.
pub(crate) async fn tell_kept(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut teller = IndexReporter::default();
    let mut book_at = Instant::now();
    let mut is_partial = false;
    loop {
        tokio::select! {
            () = gateway.kept_changed.notified() => tokio::time::sleep(GATHER_PAUSE).await,
            () = tokio::time::sleep(GATHER_PAUSE), if is_partial => {}
            () = tokio::time::sleep_until(book_at) => {}
        }
        let is_full_index_due = Instant::now() >= book_at;
        if is_full_index_due {
            book_at = Instant::now() + REST;
        }
        let targets = told_to(&gateway);
        if targets.is_empty() {
            is_partial = false;
            continue;
        }
        let parts = max_segments(targets.len(), gateway.settings.link_mbps);
        let digest;
        (digest, is_partial) = KeptDigest::take(&gateway, &mut teller, parts, is_full_index_due);
        let message = PeerMessage::Kept(gateway.next_stamp(), digest);
        gossip::tell(&gateway, &socket, &message, &targets).await;
    }
}
