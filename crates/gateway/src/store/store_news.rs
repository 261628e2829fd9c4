//! What one VM of a data centre tells the others of the platform's store.
//!
//! Invariant: news say which position they build on. A VM that has not come that far, or that misses a
//! piece, does not take them; it asks, in the end the store itself, which loses nothing. So a lost
//! datagram costs one call.

use crate::{PIECE_BYTES, PropagationPlan, StoreEvent, StorePosition, UpdateFragment, split_update};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Shortest pause between pieces: they take half of a link of 10 Mbit/s, and callers have the rest.
const SEND_INTERVAL: Duration = Duration::from_millis(25);
/// Part of the teller's own link that pieces may take.
const LINK_SHARE: f64 = 0.5;
/// Changes that take longer to tell are not told but fetched by each VM itself: a link of 10 Mbit/s brings
/// the largest value of a store in 1.2 s.
const TELL_LIMIT: Duration = Duration::from_millis(800);

/// Changes in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoreNews {
    /// What they build on.
    pub from: StorePosition,
    /// What stands with them.
    pub to: StorePosition,
    /// The changes.
    pub body: NewsBody,
    /// Whether it is for all VMs of the data centre, so that some of them pass it on.
    pub is_spread: bool,
    /// When the next piece follows if there is one, in microseconds.
    pub pause_micros: u64,
    /// How long ago the store told them, in microseconds.
    pub age_micros: u64,
    /// How long ago a call to the store failed last, in microseconds, if that matters still.
    pub trouble_micros: Option<u64>,
}

/// The changes of some news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum NewsBody {
    /// There are none.
    Unchanged,
    /// One piece of them.
    Piece(UpdateFragment),
    /// Too large to be told to so many: each VM fetches them.
    TooLarge,
}

/// The messages that tell some changes, and the pause between them.
#[derive(Debug)]
pub(crate) struct NewsPlan {
    pub bodies: Vec<NewsBody>,
    pub pause: Duration,
}

impl NewsPlan {
    /// How a VM with a link of `link_mbps` tells others of `events`.
    pub(crate) fn new(events: &[StoreEvent], spread: &PropagationPlan, link_mbps: f64) -> Self {
        let relayed = piece_pause(spread.relayed_count, spread.relay_mbps);
        let pause = piece_pause(spread.targets.len(), link_mbps).max(relayed);
        let is_told = |pieces: &Vec<_>| pieces.len() <= 1 || pause * pieces.len() as u32 <= TELL_LIMIT;
        let bodies = match split_update(events).filter(is_told) {
            None => vec![NewsBody::TooLarge],
            Some(pieces) if pieces.is_empty() => vec![NewsBody::Unchanged],
            Some(pieces) => pieces.into_iter().map(NewsBody::Piece).collect(),
        };
        Self { bodies, pause }
    }
}

/// Time in which a VM sends one piece to each of `targets` over its part of the link.
fn piece_pause(targets: usize, link_mbps: f64) -> Duration {
    if targets == 0 {
        return SEND_INTERVAL;
    }
    let micros = (targets * PIECE_BYTES * 8) as f64 / (link_mbps.max(1.0) * LINK_SHARE);
    SEND_INTERVAL.max(Duration::from_micros(micros as u64))
}
