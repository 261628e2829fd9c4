//! Clients of the platform: its key-value service and its VM list.
//!
//! - [`KeyValueClient`] uses etcd v3's JSON gateway and counts its calls by kind.
//! - [`VmListClient`] reads the VM list.
//! - [`PlatformError`] distinguishes calls that were not sent from those of unknown outcome.
//! - [`ConfigurationHead`] is the record that names the accepted configuration.

mod head;
mod http;
mod key_value;
mod list;

pub use head::{AcceptError, ConfigurationHead, HEAD_KEY, accept_bundle, chunk_key, read_bundle};
pub use http::{PlatformError, post_json, read_json};
pub use key_value::{CallCounts, KeyValueClient, StoredValue, SwapOutcome};
pub use list::{PlatformVm, VmListClient};
