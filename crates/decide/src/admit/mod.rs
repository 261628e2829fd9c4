//! Placement, admission, rate sharing and retries of requests.

mod admission;
mod blocked_counts;
mod connection_table;
mod cost_model;
mod endpoint_sample;
mod held_bytes;
mod placement;
mod prompt_queue;
mod recent_service;
mod retry_budget;
mod share_queue;
mod shared_rate;
mod stop_schedule;
mod stream_pauses;
mod unseen_load;

pub use admission::{AdmissionVerdict, AdmissionView, claim_probability};
pub use blocked_counts::BlockedCounts;
pub use connection_table::{
    CloseCause, ConnectionId, ConnectionPhase, ConnectionTable, ConnectionTimeouts, OpenRefusal,
};
pub use cost_model::{CostModel, ServiceCosts};
pub use held_bytes::{HeldBytes, ReservationId};
pub(crate) use placement::candidates;
pub use placement::{
    PlacementChoice, PlacementRequest, ShareView, UNKNOWN_VERSION, format_cache_salt, parse_cache_salt, place,
};
pub use prompt_queue::{PromptPlacement, PromptQueue, claim_share};
pub use retry_budget::{BudgetTerms, RetryBudget};
pub use share_queue::{QueueEntry, ShareCapacity, ShareQueue, ShareVerdict};
pub use shared_rate::{ColdTerms, ListMembership, RateTerms, RecentSends, ShareRight};
pub(crate) use shared_rate::{MIN_REQUESTS_PER_S, SHARE_RETENTION_MILLIS};
pub use stop_schedule::{AnswerTimes, StopSchedule};
pub use stream_pauses::{PauseTracker, StreamPauses};
pub use unseen_load::{CostedEndpoint, PendingTime, ViewAges, choose_endpoint};
