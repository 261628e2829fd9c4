//! What is kept where, and which parts of a prompt move or are saved.

mod index_reporter;
mod kept_parts;
mod kept_plan;
mod kept_row;
mod outdated_segments;
mod poll_schedule;
mod store_row;

pub use index_reporter::{IndexReporter, ToldBooks};
pub use kept_parts::KeptParts;
pub use kept_plan::KeptPlan;
pub(crate) use kept_plan::{
    MoveTerms, REREAD_MICROS, SavePlace, SegmentHolders, SegmentTransfers, plan_fetches, plan_kept,
    plan_saves,
};
pub use kept_row::KeptRow;
pub use outdated_segments::outdated_segments;
pub use poll_schedule::PollSchedule;
pub use store_row::{StoreRow, salted_key};
