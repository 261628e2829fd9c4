//! Decisions of a gateway, and the soft state that they read, as values.
//!
//! Invariant: nothing here reads or writes anything outside the process, nor asks for the time: each
//! decision is a function of the state and of a [`Moment`](spanfold_entity::Moment) that its caller names. So each can be
//! tested, and replayed, without a network; the gateway's tasks carry out what is decided.
//!
//! | folder | decides |
//! | --- | --- |
//! | `fleet` | what is there: endpoints with their loads, VMs, routes, the store's changes |
//! | `kept` | what is kept where, and which parts of a prompt move or are saved |
//! | `admit` | where a request goes, whether it is refused, whether it is sent again |
//! | `quarantine` | which requests are held back because endpoints end under them |
//! | `weights` | which engine loads which weights next |
//! | `rollout` | which share of a service's requests goes to a new version, and whether that is kept |

mod admit;
mod fleet;
mod kept;
mod quarantine;
mod rollout;
mod weights;

pub use admit::{
    AdmissionVerdict, AdmissionView, BlockedCounts, BudgetTerms, ColdTerms, HeldBytes, ListMembership,
    PlacementChoice, PlacementRequest, QueueOrder, RateTerms, RecentSends, ReservationId, RetryBudget,
    ShareCapacity, ShareQueue, ShareRight, ShareVerdict, ShareView, claim_probability, place, salt_text,
    salt_version,
};
pub(crate) use fleet::SharedWeights;
pub use fleet::{
    AccountRow, BackoffChange, CacheChange, CacheUpdate, ColdSpec, CordonSource, DeploymentConfig,
    EndpointBackoff, EndpointEntry, EndpointKey, EndpointRow, EndpointSnapshot, EngineReport, EngineSpec,
    FleetCounts, FleetSweep, FleetTable, HomeRegions, LEADERS_PER_DATA_CENTRE, LimitChange, LimitReport,
    LinkTransfers, LoadCount, LoadSource, PIECE_BYTES, PIECES_LIMIT, PeerHeartbeat, PeerTable, PromptSegment,
    PropagationPlan, ReassemblyProgress, ReportedLimit, RequestLimits, RouteKind, RouteRow, RouteTable,
    SendOutcome, SendReport, ServiceRow, ServiceWeight, StoreEvent, StoreItem, StorePosition, StoreSpec,
    UpdateFragment, UpdateHistory, UpdateReassembly, VmEntry, VmKey, WeightTarget, pack, pick_target,
    short_digest, split_update, unpack,
};
pub use kept::{
    CacheReport, IndexReporter, KeptParts, PollSchedule, StoreRow, ToldBooks, TransferPlan,
    outdated_segments, salted_key,
};
pub use quarantine::{
    CrashHistory, CrashReport, CrashVerdict, ENDINGS_LEAST, EndpointCrash, IdentityKey, KeyTextError,
    QuarantineChange, QuarantineMessage, QuarantinePhase, QuarantineTable, QuarantinedRequest,
    RequestIdentity, RequestKey, RequestQuarantine,
};
pub use rollout::{
    AnswerCounts, ExposureTerms, RolloutAnswer, RolloutEvidence, RolloutOrder, RolloutPhase, RolloutReason,
    RolloutRecord, RolloutRun, RolloutStep, RolloutSums, RolloutTable, RouteCounts, StoredStatus, SumKey,
    TestDraw, VersionSplit, WaitingSums,
};
pub use weights::{
    EngineState, LeaseHolder, LeaseOwnership, NamingTime, PublicationRecord, PublishedVersion,
    PublishedWeights, RequiredWeights, WeightScheduler, WeightStep,
};
