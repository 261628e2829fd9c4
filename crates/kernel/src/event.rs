//! The kernel's inputs (events) and outputs (effects).
//!
//! Invariant: events and effects are plain data with a text form. They contain names, not indices,
//! so that a session file can be read by a person and replayed by another build.

use crate::{ClaimVerdict, Message};
use serde::{Deserialize, Serialize};
use spanfold_declare::Catalogue;
use spanfold_entity::Moment;
use std::sync::Arc;

/// Whether an endpoint ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RanState {
    /// No byte of it was sent to an endpoint, or the endpoint refused it before running it.
    No,
    /// It ran.
    Yes,
    /// It may have run.
    Unknown,
}

impl RanState {
    /// Returns the label used in headers and bodies.
    ///
    /// # Examples
    /// ```
    /// assert_eq!(spanfold_kernel::RanState::No.label(), "no");
    /// ```
    pub const fn label(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalKind {
    /// The request's deadline cannot be met.
    Deadline,
    /// The account exceeds its request rate.
    Rate,
    /// The account exceeds its limit of concurrent requests.
    Concurrency,
    /// The account has no share of the pool.
    NoShare,
    /// No endpoint of the pool accepts work.
    NoEndpoint,
    /// The cell is busy and another one may serve sooner; used between VMs only.
    Busy,
    /// This VM is stopping.
    Stopping,
    /// Claims cannot be written at present.
    ClaimsUnavailable,
}

/// How an endpoint failed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureKind {
    /// It refused the connection or the request before running it.
    Refused,
    /// Its response stream broke or stalled.
    Broken,
}

/// A request that needs an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Number of the request, unique at this VM.
    pub request: u64,
    /// The client account.
    pub account: String,
    /// The pool.
    pub pool: String,
    /// Short keys of the prompt's complete blocks, first to last; empty for plain services.
    pub keys: Vec<u64>,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of generated tokens.
    pub max_tokens: u32,
    /// When the first token is due.
    pub deadline: Moment,
    /// The caller's priority; within the account, higher values are served first.
    pub priority: i8,
    /// Endpoints that have already failed this request.
    pub exclude: Vec<String>,
}

/// Where the endpoint obtained the prompt's state, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptUsage {
    /// Tokens found in the engine's memory.
    pub cached: u32,
    /// Tokens imported from a store.
    pub imported: u32,
    /// Tokens computed.
    pub computed: u32,
    /// Duration of the import, in microseconds.
    pub import_micros: u64,
    /// Duration of the computation, in microseconds, without the wait in the engine.
    pub compute_micros: u64,
}

/// Progress of a request at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The first token was produced.
    FirstToken(PromptUsage),
    /// The answer is complete, with this number of generated tokens.
    Complete(u32),
    /// The endpoint failed the request.
    Failed(FailureKind),
    /// The caller closed the connection.
    Abandoned,
}

/// The role of a listed VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// Runs this system (entry VM).
    Entry,
    /// Runs an endpoint (endpoint VM).
    Endpoint,
}

/// State of a VM as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is up.
    Live,
    /// The VM is departing.
    Leaving,
}

/// One row of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM's name.
    pub name: String,
    /// The VM's role.
    pub role: VmRole,
    /// Peer address of an entry VM, `IP:PORT`; service address of an endpoint VM.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is live or departing.
    pub state: VmState,
}

/// A request for a claim on a call that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTicket {
    /// Number of the request, unique at this VM.
    pub request: u64,
    /// Digest of account and idempotency key.
    pub key: u128,
    /// Digest of method, path and body.
    pub body: u128,
    /// Random number of this attempt, which distinguishes its write from others.
    pub nonce: u128,
    /// The attempt may not be dispatched after this moment.
    pub deadline: Moment,
}

/// One entry of a claim log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its sequence number in the shard's log, from one.
    pub sequence: u64,
    /// The text as it was written.
    pub text: String,
}

/// The platform's answer to the creation of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CreateReply {
    /// This call created the entry.
    Created,
    /// The entry existed already, with this text.
    Exists(String),
    /// No answer was received; the entry may have been created.
    Unknown,
}

/// Weights that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedWeights {
    /// The loaded version.
    pub version: String,
    /// Whether another version is being loaded.
    pub loading: bool,
}

/// An input of the kernel.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Event {
    /// A timer tick.
    Tick,
    /// A request needs an endpoint.
    Arrive(Arrival),
    /// A request is within its account's limits; raised by the limits plug-in.
    Admitted(Arrival),
    /// A granted request made progress.
    Progress {
        /// Number of the request at this VM.
        request: u64,
        /// The progress.
        outcome: Outcome,
    },
    /// A call needs a claim before dispatch.
    Claim(ClaimTicket),
    /// A claimed call finished.
    Settle {
        /// Digest of account and idempotency key.
        key: u128,
        /// The claim's nonce.
        nonce: u128,
        /// The answer to replay; none if the call certainly did not run.
        answer: Option<String>,
    },
    /// A message from a peer was received.
    Receive {
        /// The peer's name.
        from: String,
        /// The message.
        message: Message,
    },
    /// The VM list was read from the platform.
    Listed {
        /// All its rows.
        vms: Vec<ListedVm>,
    },
    /// A head record was read from the platform.
    HeadRead {
        /// Its generation.
        generation: u64,
        /// Digests of its chunks, by bucket.
        digests: Vec<String>,
    },
    /// Chunks were read from the platform.
    ChunksRead {
        /// Their texts; each chunk is named by its digest. Empty when a read has ended, whether or not it
        /// returned all chunks.
        texts: Vec<Arc<str>>,
    },
    /// A generation of the configuration was parsed and checked.
    Configured {
        /// Its generation.
        generation: u64,
        /// The whole text of the configuration.
        text: Arc<str>,
        /// The text parsed by the sender, to spare the control thread; none in replays.
        #[serde(skip)]
        catalogue: Option<Arc<Catalogue>>,
    },
    /// An endpoint was probed.
    Probed {
        /// The endpoint.
        endpoint: String,
        /// Whether it accepts new work; none if it did not answer.
        ready: Option<bool>,
        /// Number of requests that it is running.
        running: u32,
        /// Number of requests in its queue.
        waiting: u32,
        /// The weight version that an engine has loaded or is loading, if it reports one.
        #[serde(default)]
        weights: Option<LoadedWeights>,
    },
    /// The record of the lease on orders was read.
    LeaseRead {
        /// The revision of its last change; zero if there is no record.
        revision: u64,
        /// Its text; empty if there is no record.
        text: String,
    },
    /// A write of the lease record succeeded; a failed write raises no event.
    LeaseWritten {
        /// Its text.
        text: String,
    },
    /// Cache events of an engine were read.
    CacheRead {
        /// The engine.
        endpoint: String,
        /// Whether events between the previous read and this one were lost.
        gap: bool,
        /// Short keys of blocks that it now contains.
        stored: Vec<u64>,
        /// Short keys of blocks that it no longer contains.
        evicted: Vec<u64>,
    },
    /// A store's listing was read.
    StoreRead {
        /// The store.
        store: String,
        /// The pool whose blocks were listed.
        pool: String,
        /// Whether this is the full listing; otherwise it is a change since the last one.
        whole: bool,
        /// Short keys of blocks that it contains.
        stored: Vec<u64>,
        /// Short keys of blocks that it no longer contains.
        freed: Vec<u64>,
        /// Number of further blocks that it has space for.
        room: u32,
    },
    /// An export finished.
    Exported {
        /// The store.
        store: String,
        /// The engine.
        endpoint: String,
        /// The pool.
        pool: String,
        /// Short keys of the blocks that are now complete in the store.
        keys: Vec<u64>,
        /// Duration of the export, in microseconds.
        micros: u64,
    },
    /// The platform answered the creation of a log entry.
    LogCreated {
        /// The shard.
        shard: u32,
        /// The entry's sequence number.
        sequence: u64,
        /// The platform's answer.
        reply: CreateReply,
    },
    /// A shard's log was read.
    LogRead {
        /// The shard.
        shard: u32,
        /// Whether the read succeeded.
        known: bool,
        /// Entries from the requested sequence number on.
        entries: Vec<LogEntry>,
    },
    /// A planned stop begins.
    Stop,
    /// An event for a single plug-in.
    Custom {
        /// The plug-in's name.
        plugin: String,
        /// Its content, in the format of that plug-in.
        text: String,
    },
}

/// An output of the kernel: an action for the daemon to carry out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a request to an endpoint.
    Dispatch {
        /// Number of the request at this VM.
        request: u64,
        /// The endpoint.
        endpoint: String,
        /// Blocks to import first.
        import: Option<crate::Import>,
        /// Priority for the engine; higher values are served first.
        priority: i8,
    },
    /// Refuse a request that was not run; this is its final answer.
    Refuse {
        /// Number of the request at this VM.
        request: u64,
        /// The reason.
        reason: RefusalKind,
        /// Delay before the caller may retry, in milliseconds.
        retry_after_millis: u64,
    },
    /// Send a message to a peer.
    Send {
        /// The peer's name.
        to: String,
        /// The message.
        message: Message,
    },
    /// Answer a claim.
    ClaimAnswer {
        /// Number of the request at this VM.
        request: u64,
        /// The verdict.
        verdict: ClaimVerdict,
    },
    /// The result of a claimed call is recorded.
    Settled {
        /// The claim's nonce.
        nonce: u128,
    },
    /// Create a log entry if its sequence number is unused.
    CreateLog {
        /// The shard.
        shard: u32,
        /// The entry's sequence number.
        sequence: u64,
        /// Its text.
        text: String,
    },
    /// Read a shard's log.
    ReadLog {
        /// The shard.
        shard: u32,
        /// The first sequence number to read.
        from: u64,
    },
    /// Keep the data centre's watch on the configuration open, or close it.
    WatchConfiguration {
        /// Whether to keep it open.
        hold: bool,
    },
    /// Read chunks from the platform.
    ReadChunks {
        /// Their digests.
        digests: Vec<String>,
    },
    /// Write a newer head record back to a platform that has lost it.
    RestoreHead {
        /// The generation.
        generation: u64,
        /// Digests of its chunks.
        digests: Vec<String>,
        /// The chunks.
        texts: Vec<Arc<str>>,
    },
    /// Parse and check a generation, then return it as [`Event::Configured`].
    Configure {
        /// The generation.
        generation: u64,
        /// Its chunks, by bucket.
        texts: Vec<Arc<str>>,
    },
    /// Probe an endpoint for its readiness, its load and, of an engine, its cache events.
    Probe {
        /// The endpoint.
        endpoint: String,
    },
    /// Read a store's listing of a pool.
    ListStore {
        /// The store.
        store: String,
        /// The pool.
        pool: String,
        /// Whether the full listing is requested.
        whole: bool,
    },
    /// Have an engine export blocks to a store.
    Export {
        /// The engine.
        endpoint: String,
        /// The store.
        store: String,
        /// The pool.
        pool: String,
        /// Short keys of the blocks.
        keys: Vec<u64>,
    },
    /// Delete blocks from a store.
    Free {
        /// The store.
        store: String,
        /// The pool.
        pool: String,
        /// Short keys of the blocks.
        keys: Vec<u64>,
    },
    /// Read the record of the lease on orders.
    ReadLease,
    /// Write the lease record if the revision of its last change is still `revision`.
    WriteLease {
        /// The expected revision; zero if the record must not exist.
        revision: u64,
        /// Its text.
        text: String,
    },
    /// Order an engine to load a weight version.
    Order {
        /// The engine.
        endpoint: String,
        /// The version to load, regardless of the current one, since an order may arrive twice.
        target: String,
        /// The lease's fencing number.
        fencing: u64,
        /// The order must not be sent after this moment.
        valid_until: Moment,
    },
    /// Write a log line.
    Log {
        /// The event's name.
        name: String,
        /// Its fields.
        text: String,
    },
    /// An effect of a single plug-in.
    Custom {
        /// The plug-in's name.
        plugin: String,
        /// Its content.
        text: String,
    },
}
