//! Access to the platform's store, and propagation of its contents between VMs.

pub(crate) mod call_link;
mod contact;
pub(crate) mod era_check;
pub(crate) mod follow;
pub(crate) mod lease_keeper;
mod snapshot_client;
mod snapshot_port;
pub(crate) mod store_era;
pub(crate) mod store_link;
pub(crate) mod store_updates;
pub(crate) mod store_view;
pub(crate) mod update_propagator;
pub(crate) mod write_turn;

pub(crate) use snapshot_client::fetch_snapshot;
pub(crate) use snapshot_port::{SnapshotCache, answer_snapshot_request, evict_expired_snapshot};
