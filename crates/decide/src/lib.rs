//! Decisions of a gateway and the soft state on which they depend, without I/O.
//!
//! Invariant: nothing here does I/O or reads a clock. Each decision is a function of the state and of a
//! [`Moment`](spanfold_entity::Moment) that the caller passes, so it can be tested and replayed without a
//! network. The gateway's tasks carry the decisions out.
//!
//! | folder | content |
//! | --- | --- |
//! | `fleet` | state of the deployment: endpoints with their loads, VMs, routes, updates of the store |
//! | `kept` | contents of engines and cache stores, and which segments of a prompt are transferred or saved |
//! | `admit` | placement of requests, refusal, and repeated sends |
//! | `quarantine` | which requests and segments are quarantined because endpoints crash under them |
//! | `weights` | which engine loads which weights next |
//! | `streams` | which software version began a stream, and which VMs know it |
//! | `rollout` | which share of a service's requests goes to a new version, and whether it is rolled back |

mod admit;
mod fleet;
mod kept;
mod quarantine;
mod rollout;
mod streams;
mod weights;

pub use admit::{
    AdmissionVerdict, AdmissionView, AnswerTimes, BlockedCounts, BudgetTerms, CloseCause, ColdTerms,
    ConnectionId, ConnectionPhase, ConnectionTable, ConnectionTimeouts, CostModel, CostedEndpoint, HeldBytes,
    ListMembership, OpenRefusal, PauseTracker, PendingTime, PlacementChoice, PlacementRequest,
    PromptPlacement, PromptQueue, QueueEntry, RateTerms, RecentSends, ReservationId, RetryBudget,
    ServiceCosts, ShareCapacity, ShareQueue, ShareRight, ShareVerdict, ShareView, StopSchedule, StreamPauses,
    UNKNOWN_VERSION, ViewAges, choose_endpoint, claim_probability, claim_share, format_cache_salt,
    parse_cache_salt, place,
};
pub use fleet::{
    AccountRow, AvoidanceCause, AvoidanceChange, AvoidanceReport, BackoffChange, CacheChange, CacheUpdate,
    CatchUpSchedule, ColdSpec, ContactAges, ContactChange, ContactSource, CordonSource, DeploymentConfig,
    EndpointBackoff, EndpointEntry, EndpointKey, EndpointRow, EndpointSnapshot, EngineReport, EngineSpec,
    FleetCounts, FleetSweep, FleetTable, ForwardPeer, ForwardPeers, HomeRegions, LEADERS_PER_DATA_CENTRE,
    LimitChange, LimitReport, LinkTransfers, LoadCount, LoadSource, LoadSpread, MAX_AVOIDANCE_CHANGES,
    MAX_FRAGMENT_BYTES, MAX_FRAGMENTS, PathChange, PathMonitor, PathState, PathTraffic, PeerHeartbeat,
    PeerTable, PollDuty, PromptSegment, PropagationPlan, ReassemblyProgress, RelayGroup, ReportedLimit,
    RequestCount, RequestLimits, RouteKind, RouteRow, RouteTable, SendOutcome, SendPace, SendReport,
    ServiceRow, ServiceWeight, SpreadSample, SpreadUpdate, StoreContact, StoreEvent, StoreItem, StoreOutage,
    StorePosition, StoreSilence, StoreSpec, UnevenReport, UpdateFragment, UpdateHistory, UpdateReassembly,
    UsedSequences, VmEntry, VmKey, WeightTarget, direct_share, known_everywhere_at, pack, pick_target,
    short_digest, split_update, unpack,
};
pub(crate) use fleet::{SharedWeights, is_view_current};
pub use kept::{
    CacheReport, CachedSegments, IndexReport, IndexReporter, PollSchedule, StoreRow, TransferPlan,
    outdated_segments, salted_key,
};
pub use quarantine::{
    CrashHistory, CrashReport, CrashVerdict, EndpointCrash, IdentityKey, KeyTextError, MIN_CRASHES_PER_TRIAL,
    MIN_CRASHES_PER_VERDICT, QuarantineChange, QuarantineMessage, QuarantinePhase, QuarantineTable,
    QuarantinedSuspect, RequestIdentity, RequestQuarantine, SuspectKey, SuspectKind, SuspectMessage,
};
pub use rollout::{
    AnswerCounts, CanaryDraw, ExposureTerms, PendingSums, RolloutAnswer, RolloutEvidence, RolloutOrder,
    RolloutPhase, RolloutReason, RolloutRecord, RolloutRun, RolloutStep, RolloutSums, RolloutTable,
    RouteCounts, StoredStatus, SumKey, VersionSplit,
};
pub(crate) use streams::SoftwareHistory;
pub use streams::{
    CopyLedger, CopyTarget, DueCopies, DueCopy, RECORD_COPIES, RecordHolders, ShortRecord, SoftwareKey,
    SoftwareRecord, SoftwareState, SoleSoftware, StoredSoftware, StreamCopy, StreamKey, StreamOrigin,
    StreamRecords, UnstoredSoftware,
};
pub use weights::{
    EngineState, LeaseHolder, LeaseOwnership, PublicationMark, PublicationRecord, PublicationSource,
    PublishedVersion, PublishedWeights, RequiredWeights, UnstoredWeights, WeightScheduler, WeightStep,
};
