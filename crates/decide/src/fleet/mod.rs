//! Endpoints with their loads, VMs, routes, and updates from the store.

mod catch_up_schedule;
mod deployment;
mod endpoint_backoff;
mod endpoint_row;
mod endpoint_snapshot;
mod fleet_answers;
mod fleet_entries;
mod fleet_keys;
mod fleet_limits;
mod fleet_loads;
mod fleet_stores;
mod fleet_table;
mod fleet_versions;
mod fleet_weights;
mod forward_peers;
mod home_regions;
mod load_spread;
mod path_monitor;
mod path_state;
pub(crate) mod peer_loads;
mod peer_table;
mod poll_duty;
mod propagation_plan;
pub(crate) mod reported_health;
mod reported_limit;
mod route_table;
mod send_pace;
mod send_report;
mod sequence_window;
mod shared_weights;
mod store_contact;
mod store_event;
mod store_position;
mod update_fragments;
mod update_history;
mod view_lifetime;

pub use catch_up_schedule::{CatchUpSchedule, RequestCount};
pub use deployment::{
    AccountRow, CacheChange, CacheUpdate, ColdSpec, DeploymentConfig, EndpointEntry, EngineReport,
    EngineSpec, PromptSegment, RequestLimits, RouteKind, RouteRow, ServiceRow, ServiceWeight, StoreSpec,
    WeightTarget,
};
pub use endpoint_backoff::{BackoffChange, EndpointBackoff};
pub use endpoint_row::{CordonSource, EndpointRow, LoadCount, SendOutcome};
pub use endpoint_snapshot::{EndpointSnapshot, pack, unpack};
pub use fleet_keys::{EndpointKey, LinkTransfers, LoadSource, VmKey, short_digest};
pub use fleet_table::{AvoidanceChange, FleetCounts, FleetSweep, FleetTable, MAX_AVOIDANCE_CHANGES};
pub use forward_peers::{ForwardPeer, ForwardPeers, direct_share};
pub use home_regions::HomeRegions;
pub use load_spread::{LoadSpread, SpreadSample, SpreadUpdate, UnevenReport};
pub use path_monitor::{PathChange, PathMonitor, PathTraffic};
pub use path_state::PathState;
pub use peer_table::{LEADERS_PER_DATA_CENTRE, PeerHeartbeat, PeerTable, VmEntry};
pub use poll_duty::PollDuty;
pub use propagation_plan::{PropagationPlan, RelayGroup};
pub use reported_health::{AvoidanceCause, AvoidanceReport};
pub use reported_limit::{LimitChange, LimitReport, ReportedLimit};
pub use route_table::{RouteTable, pick_target};
pub use send_pace::SendPace;
pub use send_report::SendReport;
pub use sequence_window::UsedSequences;
pub(crate) use shared_weights::SharedWeights;
pub use store_contact::{ContactAges, ContactChange, ContactSource, StoreContact, StoreOutage, StoreSilence};
pub use store_event::{StoreEvent, StoreItem};
pub use store_position::StorePosition;
pub use update_fragments::{
    MAX_FRAGMENT_BYTES, MAX_FRAGMENTS, ReassemblyProgress, UpdateFragment, UpdateReassembly, split_update,
};
pub use update_history::UpdateHistory;

pub(crate) use view_lifetime::is_view_current;
pub use view_lifetime::known_everywhere_at;
