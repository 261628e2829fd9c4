//! The deterministic kernel: turns an event and the time into a list of effects.
//!
//! Nothing here reads a clock, opens a socket, starts a thread or draws an unseeded random number,
//! so a recorded session replays to the same effects. Decisions are made by plug-ins that register
//! themselves with [`register_plugin!`]; adding one changes no file of this crate.
//!
//! - [`Kernel`] runs the plug-ins; [`Event`] is its input, [`Effect`] its output.
//! - [`World`] is the state that all plug-ins share: VMs, configuration, names.
//! - [`Message`] is a message between kernels of different VMs.
//! - [`rendezvous`] assigns every role to one of the live VMs.
//! - [`SessionLine`] is one line of the text form in which sessions are recorded and replayed.

mod event;
mod kernel;
mod message;
mod plugin;
mod rendezvous;
mod session;
mod world;

pub use event::{
    Arrival, ClaimTicket, CreateReply, Effect, Event, FailureKind, ListedVm, LoadedWeights, LogEntry,
    Outcome, PromptUsage, RanState, RefusalKind, VmRole, VmState,
};
pub use inventory;
pub use kernel::Kernel;
pub use message::{
    ClaimRequest, ClaimVerdict, EndpointRequest, Grant, Import, InFlightRow, Message, VmHeartbeat,
};
pub use plugin::{Context, PluginEntry, PluginState};
pub use rendezvous::{hash_pair, rendezvous, rendezvous_order};
pub use session::{SessionError, SessionLine, StartLine, replay};
pub use world::{AccountIndex, EndpointIndex, EndpointRow, VmIndex, VmRow, World};
