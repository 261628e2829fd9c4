//! Routing, placement and membership decisions, implemented as plug-ins of the kernel.
//!
//! Linking this crate registers the plug-ins; [`plugin_names`] lists them. They handle each event in
//! this order:
//!
//! - `membership`: which VMs are live, from heartbeats and the VM list.
//! - `configuration`: which generation is in force, and how it is distributed.
//! - `health`: which endpoints take new work.
//! - `limits`: the rate and concurrency limit of each account.
//! - `entry`: which cell a request is sent to, and what happens when its home does not answer.
//! - `cell`: fair share, placement, import and export at a cell's home.
//! - `orders`: weight loads, under a lease with fencing numbers.
//! - `claims`: calls that may run at most once.

mod cell;
mod cell_state;
mod claims;
mod configuration;
mod entry;
mod estimate;
mod fair_queue;
mod health;
mod layout;
mod limits;
mod membership;
mod orders;
mod placement;
mod store_index;

pub use cell::CellTable;
pub use claims::ClaimTable;
pub use configuration::ConfigurationStore;
pub use entry::RequestTracker;
pub use fair_queue::FairQueue;
pub use layout::{CellLayout, ENDPOINTS_PER_CELL};
pub use placement::{PlacementEntry, placement_names};
pub use store_index::{StoreIndex, StoredBlock};

/// Names of the plug-ins of this crate.
///
/// # Examples
/// ```
/// assert!(spanfold_policy::plugin_names().contains(&"cell"));
/// ```
pub const fn plugin_names() -> [&'static str; 8] {
    ["membership", "configuration", "health", "limits", "entry", "cell", "claims", "orders"]
}
