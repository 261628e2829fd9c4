//! What one VM of a data centre tells the others of the platform's store.
//!
//! Invariant: news say which revision they build on. A VM that has not come that far does not take
//! them; it asks the store itself, which loses nothing. So a lost datagram costs one call.

use crate::StoreEvent;
use serde::{Deserialize, Serialize};

/// Largest news that go into one datagram, in bytes; VMs fetch larger changes themselves. A link of
/// 10 Mbit/s takes 39 ms for as much.
const NEWS_MOST_BYTES: usize = 48 << 10;

/// Changes in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoreNews {
    /// The revision that they build on.
    pub from: u64,
    /// The revision that stands with them.
    pub to: u64,
    /// The changes; none if they are too large to be told.
    pub events: Option<Vec<StoreEvent>>,
    /// How long ago the store told them, in microseconds.
    pub age_micros: u64,
    /// How long ago a call to the store failed last, in microseconds, if that matters still.
    pub trouble_micros: Option<u64>,
}

impl StoreNews {
    /// News of changes that the store has just told.
    pub(crate) fn new(from: u64, to: u64, events: &[StoreEvent], trouble_micros: Option<u64>) -> Self {
        let size: usize = events.iter().map(event_bytes).sum();
        let events = (size <= NEWS_MOST_BYTES).then(|| events.to_vec());
        Self { from, to, events, age_micros: 0, trouble_micros }
    }
}

fn event_bytes(event: &StoreEvent) -> usize {
    match event {
        StoreEvent::Written(item) => item.key.len() + item.value.len(),
        StoreEvent::Removed { key, .. } => key.len(),
    }
}
