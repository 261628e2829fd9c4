//! Messages between VMs about loads and cached segments.

pub(crate) mod cache_digest;
pub(crate) mod cache_index_task;
pub(crate) mod digest_relay;
pub(crate) mod gossip;
pub(crate) mod load_digest;
pub(crate) mod peer_message;
pub(crate) mod pending_messages;
pub(crate) mod placement_message;
pub(crate) mod relayed_updates;
