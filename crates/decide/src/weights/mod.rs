//! Which engine loads which weights next.

mod named_weights;
mod naming_record;
mod wanted_weights;
mod weight_scheduler;

pub use named_weights::{NamedVersion, NamedWeights};
pub use naming_record::{NamingRecord, NamingTime};
pub use wanted_weights::WantedWeights;
pub use weight_scheduler::{EngineState, HolderRecord, HolderStanding, WeightScheduler, WeightStep};
