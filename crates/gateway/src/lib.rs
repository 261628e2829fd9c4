//! The gateway: serves callers' requests at endpoints that a platform's store lists.
//!
//! Routes, client accounts, endpoints and weights are independent of the platform; a [`WireDialect`]
//! translates a platform's names, formats and calls. Decisions are plain state machines without input or
//! output; tasks execute them.
//!
//! - [`GatewayDaemon`] is one running gateway.
//! - [`DeploymentConfig`], [`EndpointEntry`], [`WeightTarget`] are decoded from the store's values.
//! - [`RouteTable`] finds routes and accounts; [`place`] chooses endpoints from a [`FleetTable`].
//! - [`RetryBudget`] limits second sends; [`WeightScheduler`] decides which engine loads weights next.
//! - [`EventReader`] splits streams into whole events.

mod clock;
mod connections;
mod dialect;
mod endpoints;
mod forward;
mod gateway;
mod gateway_daemon;
mod memory;
mod operators;
mod orders;
mod peers;
mod quarantine;
mod requests;
mod rollout;
mod store;
mod streams;

pub use clock::GatewayClock;
pub use dialect::{
    CacheDialect, EngineDialect, EntryError, HeaderNames, LeaseGrant, OrderOutcome, RangePage, StoreDecoder,
    StoreDialect, StoreKeys, StoreRefusal, StoreReply, StoreTransaction, ValueDialect, WatchPage,
    WeightOrder, WireCall, WireDialect,
};
pub use endpoints::answer_facts::{AnswerFacts, FaultKind, HeaderFault, HeaderField};
pub use gateway_daemon::{GatewayDaemon, GatewayError};
pub use operators::gateway_metrics::KindLabel;
pub use requests::event_reader::{EventError, EventReader};
pub use spanfold_decide::{
    AccountRow, CacheChange, CacheUpdate, ColdSpec, DeploymentConfig, EndpointEntry, EndpointKey,
    EngineReport, EngineSpec, PathState, PromptSegment, RequestLimits, RolloutOrder, RolloutPhase, RouteKind,
    RouteRow, ServiceRow, ServiceWeight, StoreEvent, StoreItem, StorePosition, StoreSpec, WeightTarget,
    format_cache_salt,
};
pub(crate) use spanfold_decide::{
    AdmissionVerdict, AdmissionView, AnswerCounts, AnswerTimes, AvoidanceCause, AvoidanceChange,
    AvoidanceReport, BackoffChange, BudgetTerms, CacheReport, CanaryDraw, CatchUpSchedule, CloseCause,
    ColdTerms, ConnectionId, ConnectionPhase, ConnectionTable, ConnectionTimeouts, ContactAges,
    ContactChange, ContactSource, CopyLedger, CopyTarget, CordonSource, CostModel, CrashReport, CrashVerdict,
    DueCopies, DueCopy, EndpointCrash, EndpointRow, EndpointSnapshot, EngineState, ExposureTerms, FleetSweep,
    FleetTable, ForwardPeer, ForwardPeers, HeldBytes, IdentityKey, IndexReporter, LEADERS_PER_DATA_CENTRE,
    LeaseHolder, LeaseOwnership, LimitChange, LimitReport, LinkTransfers, ListMembership, LoadCount,
    LoadSource, LoadSpread, MAX_FRAGMENT_BYTES, OpenRefusal, PathChange, PathMonitor, PathTraffic,
    PauseTracker, PeerHeartbeat, PeerTable, PlacementChoice, PlacementRequest, PollDuty, PollSchedule,
    PromptPlacement, PromptQueue, PropagationPlan, PublicationMark, PublicationRecord, PublicationSource,
    PublishedVersion, PublishedWeights, QuarantineChange, QuarantineMessage, QuarantinePhase,
    QuarantinedSuspect, QueueEntry, RateTerms, ReassemblyProgress, RecordHolders, RelayGroup, RequestCount,
    RequestIdentity, RequestQuarantine, RequiredWeights, ReservationId, RetryBudget, RolloutAnswer,
    RolloutReason, RolloutRecord, RolloutRun, RolloutStep, RolloutTable, RouteCounts, RouteTable,
    SendOutcome, SendPace, SendReport, ShareQueue, ShareRight, ShareVerdict, ShareView, ShortRecord,
    SoftwareKey, SoleSoftware, StopSchedule, StoreContact, StoreOutage, StoredSoftware, StreamCopy,
    StreamKey, StreamOrigin, StreamRecords, SumKey, SuspectKey, SuspectKind, SuspectMessage, UNKNOWN_VERSION,
    UnstoredSoftware, UnstoredWeights, UpdateFragment, UpdateHistory, UpdateReassembly, UsedSequences,
    VersionSplit, ViewAges, VmEntry, VmKey, WeightScheduler, WeightStep, claim_probability, direct_share,
    outdated_segments, pack, pick_target, place, salted_key, short_digest, split_update, unpack,
};
