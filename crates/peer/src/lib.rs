//! The protocol between entry VMs: typed messages over QUIC with mutual TLS.
//!
//! - [`PeerNode`] listens, connects on demand, and transfers [`spanfold_kernel::Message`]s.
//! - [`PeerIdentity`] is a VM's name, certificate and key, and its certificate authority.
//!
//! Each direction has its own connection with one stream of length-prefixed frames, so that
//! messages from one VM to another keep their order.

mod frame;
mod identity;
mod node;

pub use identity::{IdentityError, PeerIdentity};
pub use node::{PeerNode, ReceivedMessage};
