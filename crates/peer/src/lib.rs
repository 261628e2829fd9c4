//! The protocol between entry VMs: typed messages over QUIC with mutual TLS.
//!
//! - [`PeerNode`] listens, connects on demand, and carries [`spanfold_kernel::Message`]s.
//! - [`PeerIdentity`] is a VM's name, certificate and key, and the authority it trusts.
//!
//! Each direction has a connection and one stream of length-prefixed frames of its own, so that
//! messages from one VM to another keep their order.

mod frame;
mod identity;
mod node;

pub use identity::{IdentityError, PeerIdentity};
pub use node::{PeerNode, ReceivedMessage};
