//! Serves callers over another VM while this VM has no path to the endpoints.
//!
//! Invariant: a request is forwarded once at most, and served by the VM that took it, as if its caller had sent
//! it there. It counts as run once its bytes left for that VM, unless that VM itself states that it did not
//! run it.

pub(crate) mod forward_client;
mod forward_message;
pub(crate) mod forward_port;
pub(crate) mod forward_state;
