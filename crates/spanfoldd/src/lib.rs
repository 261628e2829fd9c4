//! The daemon of one entry VM: the process between callers and endpoints.
//!
//! One control thread runs the kernel as an actor; other threads serve traffic. The kernel returns
//! its decisions as effects, which [`Daemon`]'s tasks execute.
//!
//! - [`Daemon`] is one running VM; [`DaemonError`] is the reason why it could not start.
//! - [`cache_salt`] returns the cache salt of an account's prompts at engines.
//! - [`start_logging`] and [`start_output_logging`] set up logging as JSON lines.

mod block_key;
mod burn;
mod caller;
mod control;
mod daemon;
mod effects;
mod endpoint_client;
mod logging;
mod metrics;
mod operators;
mod pending_answers;
mod platform_task;
mod probe;
mod secret;
mod shared;

pub use block_key::{BLOCK_BYTES, cache_salt};
pub use daemon::{Daemon, DaemonError};
pub use logging::{dropped_log_lines, start_logging, start_output_logging};
