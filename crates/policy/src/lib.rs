//! The decisions, as plug-ins of the kernel.
//!
//! Linking this crate registers them; [`plugin_names`] tells which. In the order in which they
//! see events:
//!
//! - `membership`: who is alive, from heartbeats and the VM list.
//! - `configuration`: which generation is in force, and how it spreads.
//! - `health`: which endpoints take new work.
//! - `limits`: each account's rate and concurrency.
//! - `entry`: which cell a request asks, and what happens when its home is silent.
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
mod kept_index;
mod layout;
mod limits;
mod membership;
mod orders;
mod placement;

pub use cell::CellTable;
pub use claims::ClaimTable;
pub use configuration::ConfigurationStore;
pub use entry::RequestTracker;
pub use fair_queue::FairQueue;
pub use kept_index::{KeptIndex, KeptPiece};
pub use layout::{CELL_SIZE, CellLayout};
pub use placement::{PlacementEntry, placement_names};

/// Names of the plug-ins of this crate.
///
/// # Examples
/// ```
/// assert!(spanfold_policy::plugin_names().contains(&"cell"));
/// ```
pub const fn plugin_names() -> [&'static str; 8] {
    ["membership", "configuration", "health", "limits", "entry", "cell", "claims", "orders"]
}
