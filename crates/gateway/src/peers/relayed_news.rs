//! Which messages of others this VM has passed on.
//!
//! Invariant: a message is passed on once, also where VMs disagree on who passes on: none goes round.

use crate::VmKey;
use crate::peers::peer_message::PeerStamp;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// Tellers that are remembered: those of a data centre that tell at the same time are few.
const TELLERS_MOST: usize = 256;

/// The newest message of each teller that was passed on.
#[derive(Debug, Default)]
pub(crate) struct RelayedNews(Mutex<HashMap<VmKey, (u64, u64)>>);

impl RelayedNews {
    /// Notes a message; whether it is newer than all of its teller's before.
    pub(crate) fn note(&self, stamp: PeerStamp) -> bool {
        let mut newest = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if newest.len() >= TELLERS_MOST && !newest.contains_key(&stamp.vm) {
            newest.clear();
        }
        let (incarnation, sequence) = newest.entry(stamp.vm).or_default();
        let is_newer = *incarnation != stamp.incarnation || *sequence < stamp.sequence;
        if is_newer {
            (*incarnation, *sequence) = (stamp.incarnation, stamp.sequence);
        }
        is_newer
    }
}
