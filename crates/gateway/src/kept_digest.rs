//! What the lead of a data centre tells the others of the stores of kept cache.
//!
//! Invariant: what is told was told by the store itself, in the incarnation that is named. Changes may
//! get lost on the way; since whole books follow in turn, a part is missed for some seconds at most,
//! which costs reading it. That a part was freed may be missed, too: only parts of weights that no
//! engine has are freed, and nobody asks for those.

use crate::KeptRow;
use crate::gateway::Gateway;
use crate::gossip;
use crate::peer_message::PeerMessage;
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
/// Parts of a book in one digest; 12 bytes each. Those beyond them follow with the next turns.
const BOOK_MOST: usize = 1_000;
/// What is told counts for this long, in milliseconds: several digests.
const COUNTS_MILLIS: u64 = 1_500;

/// What is told of all stores.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeptDigest {
    /// The engines' clock, in milliseconds, if it is known.
    clock_millis: Option<u64>,
    rows: Vec<KeptRow>,
}

impl KeptDigest {
    /// What this VM heard of the stores since the last call, and the book of the one whose turn it is.
    fn take(gateway: &Gateway, book_turn: Option<usize>) -> Self {
        let now = gateway.now();
        let clock_millis = gateway.engine_clock_at(now);
        let mut table = gateway.table();
        let heard = table.stores_mut().filter(|(_, row)| row.is_heard(now));
        let mut rows: Vec<_> = heard.map(|(store, row)| row.take_untold(store)).collect();
        if let Some(turn) = book_turn
            && !rows.is_empty()
        {
            let chosen = turn % rows.len();
            let store = rows[chosen].store;
            let book = table.store_mut(store).map(|row| row.next_parts(BOOK_MOST));
            rows[chosen].parts = book.unwrap_or_default();
        }
        Self { clock_millis, rows }
    }

    /// Takes what the lead told.
    pub(crate) fn apply(&self, gateway: &Gateway) {
        let until = gateway.now().after_millis(COUNTS_MILLIS);
        gateway.set_engine_clock(self.clock_millis);
        let mut table = gateway.table();
        for row in &self.rows {
            if let Some(book) = table.store_mut(row.store) {
                book.apply_told(row, until);
            }
        }
    }
}

/// Whether this VM asks the stores: in a small deployment each one does, for itself.
pub(crate) fn asks_stores(gateway: &Gateway, now: Moment) -> bool {
    let peers = gateway.peers();
    peers.tells_all() || peers.lead_place(now) == 0
}

/// VMs that ask each store.
pub(crate) fn askers(gateway: &Gateway) -> usize {
    let peers = gateway.peers();
    if peers.tells_all() { peers.listed_count() } else { peers.far_count() + 1 }
}

/// Where this VM tells what it hears from the stores: nowhere if the others ask themselves.
fn told_to(gateway: &Gateway) -> Vec<SocketAddr> {
    let peers = gateway.peers();
    let tells = !peers.tells_all() && peers.lead_place(gateway.now()) == 0;
    if tells { peers.near_addresses() } else { Vec::new() }
}

/// Tells the other VMs of the data centre what this one hears from the stores, until the process ends.
pub(crate) async fn tell_kept(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut turn = 0;
    let mut book_at = Instant::now();
    loop {
        tokio::select! {
            () = gateway.kept_changed.notified() => tokio::time::sleep(GATHER_PAUSE).await,
            () = tokio::time::sleep_until(book_at) => {}
        }
        let book_due = Instant::now() >= book_at;
        if book_due {
            book_at = Instant::now() + REST;
            turn += 1;
        }
        let targets = told_to(&gateway);
        if targets.is_empty() {
            continue;
        }
        let digest = KeptDigest::take(&gateway, book_due.then_some(turn));
        let message = PeerMessage::Kept(gateway.next_stamp(), digest);
        gossip::tell(&gateway, &socket, &message, &targets).await;
    }
}
