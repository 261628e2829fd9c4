//! Digests of the cache stores' indexes, which the leader of a data centre sends to its other VMs.
//!
//! Invariant: a digest repeats only what the store itself reported, in the incarnation that it names. Changes
//! may be lost on the way. Since full indexes follow one after the other, a segment is missing for some
//! seconds at most, which costs its recomputation. The release of a segment may be missed too: only segments
//! of weights that no engine has are released, and nobody requests those.

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

/// Changes within this time are sent together.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// Longest time between digests, and the interval between two full indexes.
const FULL_INDEX_INTERVAL: Duration = Duration::from_millis(400);
/// Most segments in one digest, of 12 bytes each: with the names of 300 stores it stays below half of the
/// largest datagram.
const MAX_SEGMENTS_PER_DIGEST: usize = 1_000;
/// Fewest segments in one digest, so that the propagation progresses on the narrowest link too.
const MIN_SEGMENTS_PER_DIGEST: usize = 20;
/// Bytes of a segment in a digest, with its share of the row and of the datagram's head.
const SEGMENT_BYTES: usize = 16;
/// Fraction of the sender's own link that digests may use.
const LINK_FRACTION: f64 = 0.2;
/// A digest is valid for this long, in milliseconds: several intervals between digests.
const REPORT_LIFETIME_MILLIS: u64 = 1_500;

/// Contents of all stores' cache indexes: changes, and the full indexes in turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CacheDigest {
    /// The engines' clock, in milliseconds, if it is known.
    clock_millis: Option<u64>,
    rows: Vec<CacheReport>,
}

impl CacheDigest {
    /// Takes the next digest, with at most `max_segments` segments; returns whether more remains to be sent.
    fn take(
        gateway: &Gateway,
        reporter: &mut IndexReporter,
        max_segments: usize,
        is_full_index_due: bool,
    ) -> (Self, bool) {
        let now = gateway.now();
        let clock_millis = gateway.engine_clock_at(now);
        let report = reporter.next(&mut gateway.table(), max_segments, is_full_index_due, now);
        (Self { clock_millis, rows: report.rows }, report.is_partial)
    }

    /// Applies the leader's digest.
    pub(crate) fn apply(&self, gateway: &Gateway) {
        let report_deadline = gateway.now().after_millis(REPORT_LIFETIME_MILLIS);
        gateway.set_engine_clock(self.clock_millis);
        let mut table = gateway.table();
        for row in &self.rows {
            if let Some(store_row) = table.store_mut(row.store) {
                store_row.apply_cache_report(row, report_deadline);
            }
        }
    }
}

/// Whether this VM polls the stores. In a small deployment each VM does, for itself.
pub(crate) fn polls_stores(gateway: &Gateway, now: Moment) -> bool {
    let peers = gateway.peers();
    peers.broadcasts_to_all() || peers.leader_rank(now) == 0
}

/// Number of VMs that poll each store.
pub(crate) fn poller_count(gateway: &Gateway) -> usize {
    let peers = gateway.peers();
    if peers.broadcasts_to_all() { peers.listed_count() } else { peers.remote_data_centre_count() + 1 }
}

/// Returns the receivers of this VM's digests: none if the others poll the stores themselves.
fn report_targets(gateway: &Gateway) -> Vec<SocketAddr> {
    let peers = gateway.peers();
    let is_leader = !peers.broadcasts_to_all() && peers.leader_rank(gateway.now()) == 0;
    if is_leader { peers.local_peer_addresses() } else { Vec::new() }
}

/// Segments that one digest may contain for `targets` VMs over a link of `link_mbps`, within `LINK_FRACTION`
/// of it.
fn max_segments(targets: usize, link_mbps: f64) -> usize {
    let bytes = link_mbps * 1e6 / 8.0 * LINK_FRACTION * BATCH_DELAY.as_secs_f64();
    let segments = bytes as usize / (targets.max(1) * SEGMENT_BYTES);
    segments.clamp(MIN_SEGMENTS_PER_DIGEST, MAX_SEGMENTS_PER_DIGEST)
}

/// Sends the stores' changes to the other VMs of the data centre until the process ends.
pub(crate) async fn send_cache_digests(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut reporter = IndexReporter::default();
    let mut full_index_at = Instant::now();
    let mut is_partial = false;
    loop {
        tokio::select! {
            () = gateway.cache_index_changed.notified() => tokio::time::sleep(BATCH_DELAY).await,
            () = tokio::time::sleep(BATCH_DELAY), if is_partial => {}
            () = tokio::time::sleep_until(full_index_at) => {}
        }
        let is_full_index_due = Instant::now() >= full_index_at;
        if is_full_index_due {
            full_index_at = Instant::now() + FULL_INDEX_INTERVAL;
        }
        let targets = report_targets(&gateway);
        if targets.is_empty() {
            is_partial = false;
            continue;
        }
        let segments = max_segments(targets.len(), gateway.settings.link_mbps);
        let digest;
        (digest, is_partial) = CacheDigest::take(&gateway, &mut reporter, segments, is_full_index_due);
        let message = PeerMessage::Kept(gateway.next_stamp(), digest);
        gossip::send_message(&gateway, &socket, &message, &targets).await;
    }
}
