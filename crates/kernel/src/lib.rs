//! The deterministic kernel: an event and the time go in, a list of effects comes out.
//!
//! Nothing here reads a clock, opens a socket, starts a thread or draws an unseeded number, so a
//! recorded session replays to the same effects. Decisions live in plug-ins that register
//! themselves with [`register_plugin!`]; adding one touches no file of this crate.
//!
//! - [`Kernel`] runs the plug-ins; [`Event`] and [`Effect`] are its two sides.
//! - [`World`] is what all plug-ins see: VMs, configuration, names.
//! - [`Message`] is what kernels of different VMs say to each other.
//! - [`rendezvous`] derives every role from who is alive.
//! - [`SessionLine`] is the text form of sessions, recorded and replayed.

mod event;
mod kernel;
mod message;
mod plugin;
mod rendezvous;
mod session;
mod world;

pub use event::{
    Arrival, ClaimTicket, CreateReply, Effect, Event, FailureKind, ListedVm, LoadedWeights, LogEntry,
    Outcome, RanState, RefusalKind, Usage, VmRole, VmState,
};
pub use inventory;
pub use kernel::Kernel;
pub use message::{Ask, Beat, ClaimAsk, ClaimVerdict, Grant, Import, InFlightRow, Message};
pub use plugin::{Context, PluginEntry, PluginState};
pub use rendezvous::{rendezvous, rendezvous_order, spread};
pub use session::{SessionError, SessionLine, StartLine, replay};
pub use world::{AccountIndex, EndpointIndex, EndpointRow, VmIndex, VmRow, World};
