//! Updates of the platform's store that one VM of a data centre sends to the others.
//!
//! Invariant: an update states the position that it builds on. A VM that has not reached that position, or
//! that misses a fragment, does not apply it; it requests the changes, in the end from the store itself,
//! which loses nothing. So a lost datagram costs one call.

use crate::{
    MAX_FRAGMENT_BYTES, PropagationPlan, RelayGroup, StoreEvent, StorePosition, UpdateFragment, split_update,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Shortest interval between fragments: they use half of a link of 10 Mbit/s, and callers have the other
/// half.
const SEND_INTERVAL: Duration = Duration::from_millis(25);
/// Fraction of the sender's own link that fragments may use.
const LINK_FRACTION: f64 = 0.5;
/// Updates that take no longer than this to send are always sent.
const MIN_PROPAGATION_LIMIT: Duration = Duration::from_millis(800);
/// Presumed capacity of the store's link, in megabits a second. An update that takes longer to send than the
/// store takes to answer all receivers is fetched by each VM itself.
const STORE_LINK_MBPS: f64 = 1_000.0;

/// Changes in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoreUpdates {
    /// The position that the changes build on.
    pub from: StorePosition,
    /// The position that is reached with them.
    pub to: StorePosition,
    /// The changes.
    pub body: UpdateBody,
    /// Whether it is for all VMs of the data centre, so that some of them relay it.
    pub is_spread: bool,
    /// The VM that relays it, and to which VMs; it follows the message. None from VMs of the former form.
    #[serde(skip)]
    pub group: Option<RelayGroup>,
    /// Interval until the next fragment, if there is one, in microseconds.
    pub pause_micros: u64,
    /// Time since the store returned the changes, in microseconds.
    pub age_micros: u64,
    /// Time since a call to the store last failed, in microseconds; none if the store doesn't count as failing.
    pub trouble_micros: Option<u64>,
}

/// The changes of an update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum UpdateBody {
    /// No changes.
    Unchanged,
    /// One fragment of them.
    Piece(UpdateFragment),
    /// Too large to be sent to all targets: each VM fetches them.
    TooLarge,
}

/// The messages of an update, and the interval between them.
#[derive(Debug)]
pub(crate) struct UpdatePlan {
    pub bodies: Vec<UpdateBody>,
    pub interval: Duration,
}

impl UpdatePlan {
    /// Plans how a VM sends `events` by `propagation`.
    pub(crate) fn new(events: &[StoreEvent], propagation: &PropagationPlan) -> Self {
        let interval = fragment_interval(propagation.max_load);
        let limit = MIN_PROPAGATION_LIMIT.max(fetch_time(events, propagation.receiver_count()));
        let is_sendable =
            |fragments: &Vec<_>| fragments.len() <= 1 || interval * fragments.len() as u32 <= limit;
        let bodies = match split_update(events).filter(is_sendable) {
            None => vec![UpdateBody::TooLarge],
            Some(fragments) if fragments.is_empty() => vec![UpdateBody::Unchanged],
            Some(fragments) => fragments.into_iter().map(UpdateBody::Piece).collect(),
        };
        Self { bodies, interval }
    }
}

/// Time in which a VM with `max_load` receivers for each Mbit/s sends one fragment to each of them over its
/// fraction of the link.
fn fragment_interval(max_load: f64) -> Duration {
    let micros = max_load * (MAX_FRAGMENT_BYTES * 8) as f64 / LINK_FRACTION;
    SEND_INTERVAL.max(Duration::from_micros(micros as u64))
}

/// Time in which the store's link carries `events` to each of `receivers`.
fn fetch_time(events: &[StoreEvent], receivers: usize) -> Duration {
    let bytes: usize = events.iter().map(StoreEvent::size).sum();
    Duration::from_micros(((bytes * receivers * 8) as f64 / STORE_LINK_MBPS) as u64)
}
