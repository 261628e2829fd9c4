//! Clients of the platform: its key-value service and its VM list.
//!
//! - [`KeyValueClient`] speaks etcd v3's JSON gateway and counts its own calls by kind.
//! - [`ListClient`] reads the VM list.
//! - [`PlatformError`] tells a call that was not made from one whose outcome is unknown.
//! - [`ConfigurationHead`] is the record that names the configuration in force.

mod head;
mod http;
mod key_value;
mod list;

pub use head::{AcceptError, ConfigurationHead, HEAD_KEY, accept_bundle, chunk_key, read_bundle};
pub use http::{PlatformError, post_json, read_json};
pub use key_value::{CallCounts, KeyValueClient, StoredValue, SwapOutcome};
pub use list::{ListClient, PlatformVm};
