//! Record of the store updates that this VM has relayed for VMs of the former message form, which do not name
//! the receivers.
//!
//! Invariant: an update is relayed once, even where VMs disagree on which of them relays it, so no update
//! circulates.

use crate::VmKey;
use crate::peers::peer_message::PeerStamp;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// Maximum number of recorded senders: few VMs of a data centre send updates at the same time.
const MAX_REPORTERS: usize = 256;

/// Incarnation and sequence of the newest relayed message of each sender.
#[derive(Debug, Default)]
pub(crate) struct RelayedUpdates(Mutex<HashMap<VmKey, (u64, u64)>>);

impl RelayedUpdates {
    /// Records a message; returns whether it is newer than all earlier ones of its sender.
    pub(crate) fn record(&self, stamp: PeerStamp) -> bool {
        let mut newest = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if newest.len() >= MAX_REPORTERS && !newest.contains_key(&stamp.vm) {
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
