//! Messages between VMs about loads and cached segments.

pub(crate) mod digest_relay;
pub(crate) mod gossip;
pub(crate) mod kept_digest;
pub(crate) mod kept_task;
pub(crate) mod load_digest;
pub(crate) mod peer_message;
pub(crate) mod placed_note;
pub(crate) mod relayed_news;
pub(crate) mod waiting_notes;
