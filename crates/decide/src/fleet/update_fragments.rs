//! Changes of the store cut into pieces that fit into datagrams, and put together again.
//!
//! Invariant: changes count only as a whole; until the last piece is there, nothing of them is applied.
//! They are compressed: a configuration of thousands of routes repeats itself, and VMs with narrow links
//! would otherwise need most of a second of their links for it, in which callers wait.

use crate::{StoreEvent, StorePosition, VmKey, pack, unpack};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Largest piece, in bytes: a link of 10 Mbit/s takes 13 ms for it.
pub const PIECE_BYTES: usize = 16 << 10;
/// Largest changes once decompressed, in bytes: several values of the largest size that a store takes.
const CONTENT_LIMIT_BYTES: u64 = 8 << 20;
/// Most pieces of some news: what takes more is not told.
pub const PIECES_LIMIT: usize = 64;
/// News whose pieces are collected at once: several VMs may tell at once, each of a few changes.
const OPEN_LIMIT: usize = 16;

/// One piece of changes that a VM tells others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateFragment {
    /// Its place among the pieces, from zero.
    pub place: u32,
    /// How many pieces there are.
    pub count: u32,
    /// Its part of the compressed changes.
    pub content: Vec<u8>,
}

/// What has come of some news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReassemblyProgress {
    /// All changes.
    Whole(Vec<StoreEvent>),
    /// Pieces are missing still.
    Partial,
    /// The pieces make no changes.
    Unreadable,
}

/// Cuts changes into pieces; none if they are too large to be told.
///
/// No changes have no pieces.
///
/// # Examples
/// ```
/// use spanfold_decide::{NewsAssembly, NewsProgress, StoreEvent, StorePosition, VmKey, cut_news};
/// let at = |revision| StorePosition { era: 1, revision };
/// let events = vec![StoreEvent::Removed { key: "a".into(), position: at(7) }];
/// let pieces = cut_news(&events).unwrap();
/// assert_eq!(pieces.len(), 1);
/// let mut assembly = NewsAssembly::default();
/// let progress = assembly.take(VmKey::of("vm-1"), at(6), at(7), &pieces[0]);
/// assert_eq!(progress, NewsProgress::Whole(events));
/// ```
pub fn split_update(events: &[StoreEvent]) -> Option<Vec<UpdateFragment>> {
    if events.is_empty() {
        return Some(Vec::new());
    }
    let packed = pack(&events)?;
    let count = packed.chunks(PIECE_BYTES).len() as u32;
    if count as usize > PIECES_LIMIT {
        return None;
    }
    let pieces = packed.chunks(PIECE_BYTES).zip(0..);
    Some(pieces.map(|(content, place)| UpdateFragment { place, count, content: content.to_vec() }).collect())
}

/// Pieces of one VM's news.
#[derive(Debug)]
struct OpenNews {
    teller: VmKey,
    from: StorePosition,
    to: StorePosition,
    pieces: Vec<Option<Vec<u8>>>,
}

impl OpenNews {
    fn is_of(&self, teller: VmKey, from: StorePosition, to: StorePosition, count: u32) -> bool {
        (self.teller, self.from, self.to, self.pieces.len()) == (teller, from, to, count as usize)
    }
}

/// Collects the pieces of other VMs' news.
#[derive(Debug, Default)]
pub struct UpdateReassembly(VecDeque<OpenNews>);

impl UpdateReassembly {
    /// Takes a piece of the changes between two positions; tells what has come of them.
    pub fn take(
        &mut self,
        teller: VmKey,
        from: StorePosition,
        to: StorePosition,
        piece: &UpdateFragment,
    ) -> ReassemblyProgress {
        let (place, count) = (piece.place as usize, piece.count as usize);
        if place >= count || count > PIECES_LIMIT || piece.content.len() > PIECE_BYTES {
            return ReassemblyProgress::Unreadable;
        }
        let open = self.open(teller, from, to, piece.count);
        self.0[open].pieces[place] = Some(piece.content.clone());
        if self.0[open].pieces.iter().any(Option::is_none) {
            return ReassemblyProgress::Partial;
        }
        let pieces = self.0.remove(open).map(|news| news.pieces).unwrap_or_default();
        let packed: Vec<u8> = pieces.into_iter().flatten().flatten().collect();
        unpack(&packed, CONTENT_LIMIT_BYTES).map_or(ReassemblyProgress::Unreadable, ReassemblyProgress::Whole)
    }

    /// Forgets pieces of changes up to `position`: they are known.
    pub fn discard_up_to(&mut self, position: StorePosition) {
        self.0.retain(|news| news.to > position);
    }

    /// Where the pieces of these news are collected; the oldest others make room.
    fn open(&mut self, teller: VmKey, from: StorePosition, to: StorePosition, count: u32) -> usize {
        if let Some(place) = self.0.iter().position(|news| news.is_of(teller, from, to, count)) {
            return place;
        }
        if self.0.len() >= OPEN_LIMIT {
            self.0.pop_front();
        }
        self.0.push_back(OpenNews { teller, from, to, pieces: vec![None; count as usize] });
        self.0.len() - 1
    }
}
