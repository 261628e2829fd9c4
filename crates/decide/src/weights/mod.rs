//! Published weight versions, and the order in which engines load them.

mod publication_mark;
mod published_weights;
mod required_weights;
mod weight_scheduler;

pub use publication_mark::{PublicationMark, PublicationRecord};
pub use published_weights::{PublicationSource, PublishedVersion, PublishedWeights, UnstoredWeights};
pub use required_weights::RequiredWeights;
pub use weight_scheduler::{EngineState, LeaseHolder, LeaseOwnership, WeightScheduler, WeightStep};
