//! Small stand-ins for the outside systems of spanfold: the platform, engines, stores and plain services.
//!
//! Each implements the interface of `docs/INTERFACES.md`, nothing more. A [`FaultSwitch`] delays its
//! requests, cuts its connections, leaves requests unanswered or loses replies. No shipped binary depends
//! on this package.
//!
//! - [`EngineStandin`] derives its answer from the cached blocks that it used. [`expected_answer`]
//!   returns the right answer, so the use of a wrong block shows as a wrong answer.
//! - [`StoreStandin`] stores blocks behind a link of limited speed.
//! - [`ServiceStandin`] counts how often each call ran.
//! - [`PlatformStandin`] is the key-value service and the VM list.
//! - [`Deployment`] runs all of these and daemons, in this process or as child processes.

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

pub use answer::{BLOCK_BYTES, expected_answer, render_messages};
pub use authority::{CertificateAuthority, write_identity};
pub use caller::{Answer, Caller, CallerError};
pub use deployment::{Deployment, DeploymentPlan, EnginePlan, MAX_START_ATTEMPTS, StorePlan, VmPorts};
pub use engine::{EngineRates, EngineStandin};
pub use fault::FaultSwitch;
pub use platform::PlatformStandin;
pub use service::ServiceStandin;
pub use store::StoreStandin;
