//! Prompt cache: which engine or store contains which segments, and which of them are transferred or saved.

mod cache_report;
mod cached_segments;
mod index_reporter;
mod outdated_segments;
mod poll_schedule;
mod store_row;
mod transfer_plan;

pub use cache_report::CacheReport;
pub use cached_segments::CachedSegments;
pub use index_reporter::{IndexReport, IndexReporter};
pub use outdated_segments::outdated_segments;
pub use poll_schedule::PollSchedule;
pub use store_row::{StoreRow, salted_key};
pub use transfer_plan::TransferPlan;
pub(crate) use transfer_plan::{
    RECOMPUTE_MICROS_PER_TOKEN, SaveTarget, SegmentHolders, SegmentTransfers, TransferTerms, plan_fetches,
    plan_saves, plan_transfers,
};
