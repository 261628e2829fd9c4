//! Store updates split into fragments that fit into datagrams, and their reassembly.
//!
//! Invariant: an update is applied as a whole, and only after its last fragment arrived. Updates are
//! compressed: a configuration of thousands of routes is repetitive, and without compression VMs with narrow
//! links would need most of a second of link time for it, while callers wait.

use crate::{StoreEvent, StorePosition, VmKey, pack, unpack};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Largest content of a fragment, in bytes.
///
/// A link of 10 Mbit/s takes 13 ms for it.
pub const MAX_FRAGMENT_BYTES: usize = 16 << 10;
/// Largest update after decompression, in bytes.
///
/// It contains several values of the largest size that a store accepts.
const MAX_UPDATE_BYTES: u64 = 8 << 20;
/// Maximum number of fragments of an update; larger updates are not propagated.
pub const MAX_FRAGMENTS: usize = 64;
/// Maximum number of updates in reassembly at a time.
///
/// Several VMs may propagate a few updates each at once.
const MAX_OPEN_UPDATES: usize = 16;

/// One fragment of a propagated update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateFragment {
    /// Its index among the fragments of the update, from zero.
    pub place: u32,
    /// Number of fragments of the update.
    pub count: u32,
    /// Its section of the compressed update.
    pub content: Vec<u8>,
}

/// State of an update after a fragment was added.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReassemblyProgress {
    /// The update is complete.
    Whole(Vec<StoreEvent>),
    /// Fragments are missing.
    Partial,
    /// The fragment is invalid, or the fragments cannot be decoded.
    Unreadable,
}

/// Splits an update into fragments; `None` if it needs more than `MAX_FRAGMENTS`.
///
/// An update without events has no fragments.
///
/// # Examples
/// ```
/// use spanfold_decide::{
///     ReassemblyProgress, StoreEvent, StorePosition, UpdateReassembly, VmKey, split_update,
/// };
/// let at = |revision| StorePosition { era: 1, revision };
/// let events = vec![StoreEvent::Removed { key: "a".into(), position: at(7) }];
/// let fragments = split_update(&events).unwrap();
/// assert_eq!(fragments.len(), 1);
/// let mut reassembly = UpdateReassembly::default();
/// let progress = reassembly.add_fragment(VmKey::of("vm-1"), at(6), at(7), &fragments[0]);
/// assert_eq!(progress, ReassemblyProgress::Whole(events));
/// ```
pub fn split_update(events: &[StoreEvent]) -> Option<Vec<UpdateFragment>> {
    if events.is_empty() {
        return Some(Vec::new());
    }
    let packed = pack(&events)?;
    let count = packed.chunks(MAX_FRAGMENT_BYTES).len() as u32;
    if count as usize > MAX_FRAGMENTS {
        return None;
    }
    let chunks = packed.chunks(MAX_FRAGMENT_BYTES).zip(0..);
    Some(chunks.map(|(content, place)| UpdateFragment { place, count, content: content.to_vec() }).collect())
}

/// An update in reassembly.
#[derive(Debug)]
struct OpenUpdate {
    reporter: VmKey,
    from: StorePosition,
    to: StorePosition,
    fragments: Vec<Option<Vec<u8>>>,
}

impl OpenUpdate {
    fn matches(&self, reporter: VmKey, from: StorePosition, to: StorePosition, count: u32) -> bool {
        (self.reporter, self.from, self.to, self.fragments.len()) == (reporter, from, to, count as usize)
    }
}

/// Reassembles the updates of other VMs from their fragments.
#[derive(Debug, Default)]
pub struct UpdateReassembly(VecDeque<OpenUpdate>);

impl UpdateReassembly {
    /// Adds a fragment of the update between two positions; returns the state of the update.
    pub fn add_fragment(
        &mut self,
        reporter: VmKey,
        from: StorePosition,
        to: StorePosition,
        fragment: &UpdateFragment,
    ) -> ReassemblyProgress {
        let (index, count) = (fragment.place as usize, fragment.count as usize);
        if index >= count || count > MAX_FRAGMENTS || fragment.content.len() > MAX_FRAGMENT_BYTES {
            return ReassemblyProgress::Unreadable;
        }
        let open = self.open(reporter, from, to, fragment.count);
        self.0[open].fragments[index] = Some(fragment.content.clone());
        if self.0[open].fragments.iter().any(Option::is_none) {
            return ReassemblyProgress::Partial;
        }
        let fragments = self.0.remove(open).map(|update| update.fragments).unwrap_or_default();
        let packed: Vec<u8> = fragments.into_iter().flatten().flatten().collect();
        unpack(&packed, MAX_UPDATE_BYTES).map_or(ReassemblyProgress::Unreadable, ReassemblyProgress::Whole)
    }

    /// Discards fragments of updates up to `position`, which this VM has applied.
    pub fn discard_up_to(&mut self, position: StorePosition) {
        self.0.retain(|update| update.to > position);
    }

    /// Returns the index of an update in reassembly, which is created if missing.
    ///
    /// Evicts the oldest update if there are too many.
    fn open(&mut self, reporter: VmKey, from: StorePosition, to: StorePosition, count: u32) -> usize {
        if let Some(index) = self.0.iter().position(|update| update.matches(reporter, from, to, count)) {
            return index;
        }
        if self.0.len() >= MAX_OPEN_UPDATES {
            self.0.pop_front();
        }
        self.0.push_back(OpenUpdate { reporter, from, to, fragments: vec![None; count as usize] });
        self.0.len() - 1
    }
}
