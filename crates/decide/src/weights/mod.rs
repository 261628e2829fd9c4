//! Which engine loads which weights next.

mod wanted_weights;
mod weight_desk;

pub use wanted_weights::WantedWeights;
pub use weight_desk::{DeskStep, EngineState, HolderRecord, HolderStanding, WeightDesk};
