//! What is kept where, and which parts of a prompt move or are saved.

mod cache_report;
mod index_reporter;
mod kept_parts;
mod outdated_segments;
mod poll_schedule;
mod store_row;
mod transfer_plan;

pub use cache_report::CacheReport;
pub use index_reporter::{IndexReporter, ToldBooks};
pub use kept_parts::KeptParts;
pub use outdated_segments::outdated_segments;
pub use poll_schedule::PollSchedule;
pub use store_row::{StoreRow, salted_key};
pub use transfer_plan::TransferPlan;
pub(crate) use transfer_plan::{
    RECOMPUTE_MICROS_PER_TOKEN, SaveTarget, SegmentHolders, SegmentTransfers, TransferTerms, plan_fetches,
    plan_saves, plan_transfers,
};
