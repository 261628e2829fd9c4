//! Small stand-ins for what spanfold meets: the platform, engines, stores and plain services.
//!
//! Each speaks the interface of `docs/INTERFACES.md`, nothing more, and can be slowed, cut, frozen
//! or made to lose replies with a [`FaultSwitch`]. No shipped binary depends on this package.
//!
//! - [`EngineStandin`] answers as a function of the blocks it really holds; [`expected_answer`]
//!   tells the right answer, so a wrong block is a visibly wrong answer.
//! - [`StoreStandin`] keeps blocks behind a limited link.
//! - [`ServiceStandin`] counts how often each call ran.
//! - [`PlatformStandin`] is the key-value service and the VM list.
//! - [`Deployment`] puts them together with daemons, in this process or beside it.

mod answer;
mod authority;
mod caller;
mod deployment;
mod engine;
mod engine_cache;
mod fault;
mod platform;
mod priority_gate;
mod server;
mod service;
mod store;

pub use answer::{PIECE_BYTES, expected_answer, render_messages};
pub use authority::{Authority, write_identity};
pub use caller::{Answer, Caller, CallerError};
pub use deployment::{Deployment, DeploymentPlan, EnginePlan, START_TRIES, StorePlan, VmPorts};
pub use engine::{EngineRates, EngineStandin};
pub use fault::FaultSwitch;
pub use platform::PlatformStandin;
pub use service::ServiceStandin;
pub use store::StoreStandin;
