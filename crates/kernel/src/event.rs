//! What goes into the kernel and what comes out of it.
//!
//! Invariant: events and effects are plain data with a text form. Names, not indices, cross this
//! border, so that a session file can be read by a person and replayed by another build.

use crate::{ClaimVerdict, Message};
use serde::{Deserialize, Serialize};
use spanfold_declare::Catalogue;
use spanfold_entity::Moment;
use std::sync::Arc;

/// Whether a request ran at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RanState {
    /// No byte of it left for an endpoint, or the endpoint refused it before running.
    No,
    /// It ran.
    Yes,
    /// It may have run.
    Unknown,
}

impl RanState {
    /// The word used in headers and bodies.
    ///
    /// # Examples
    /// ```
    /// assert_eq!(spanfold_kernel::RanState::No.word(), "no");
    /// ```
    pub const fn word(self) -> &'static str {
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
    /// Its deadline cannot be met.
    Deadline,
    /// The account is over its rate.
    Rate,
    /// The account is over its concurrency.
    Concurrency,
    /// The account has no share of the pool.
    NoShare,
    /// No endpoint of the pool takes work.
    NoEndpoint,
    /// The cell is busy and another may serve sooner; only between VMs.
    Busy,
    /// This VM is stopping.
    Stopping,
    /// Claims cannot be written now.
    ClaimsUnavailable,
}

/// What went wrong at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureKind {
    /// It refused the connection or the request before running it.
    Refused,
    /// Its stream broke or stalled.
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
    /// Short keys of the prompt's whole pieces, first to last; empty for plain services.
    pub keys: Vec<u64>,
    /// Tokens of the prompt, estimated.
    pub prompt_tokens: u32,
    /// Tokens that may be generated.
    pub max_tokens: u32,
    /// When the first token is due.
    pub deadline: Moment,
    /// The caller's priority; higher goes first within the account.
    pub priority: i8,
    /// Endpoints that have failed this request already.
    pub exclude: Vec<String>,
}

/// How the endpoint came by the prompt's state, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Found in the engine's memory.
    pub cached: u32,
    /// Imported from a store.
    pub imported: u32,
    /// Computed.
    pub computed: u32,
    /// Microseconds that the import took.
    pub import_micros: u64,
    /// Microseconds that the computation took, waiting in the engine left out.
    pub compute_micros: u64,
}

/// How a request left an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The first token is out.
    FirstToken(Usage),
    /// The answer is complete, with so many tokens generated.
    Complete(u32),
    /// The endpoint failed it.
    Failed(FailureKind),
    /// The caller went away.
    Abandoned,
}

/// What a listed VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// Runs this system.
    Entry,
    /// Runs an endpoint.
    Endpoint,
}

/// What the platform says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It is up.
    Live,
    /// It is going away.
    Leaving,
}

/// One row of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM's name.
    pub name: String,
    /// What it is for.
    pub role: VmRole,
    /// Peer address of an entry VM, `IP:PORT`; service address of an endpoint VM.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is leaving.
    pub state: VmState,
}

/// A call that may run at most once, on its way to be claimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTicket {
    /// Number of the request, unique at this VM.
    pub request: u64,
    /// Digest of account and idempotency key.
    pub key: u128,
    /// Digest of method, path and body.
    pub body: u128,
    /// Drawn once for this attempt; tells one's own write from another's.
    pub nonce: u128,
    /// After this moment the attempt may no longer be dispatched.
    pub deadline: Moment,
}

/// One entry of a claim log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its place in the shard's log, from one.
    pub sequence: u64,
    /// Its text, as written.
    pub text: String,
}

/// How the platform answered the creation of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CreateReply {
    /// It was created now.
    Created,
    /// It stood already, with this text.
    Exists(String),
    /// No answer came; it may have been created.
    Unknown,
}

/// What an engine says of its weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedWeights {
    /// The version that is loaded.
    pub version: String,
    /// Whether it loads another now.
    pub loading: bool,
}

/// Something that happened.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A request needs an endpoint.
    Arrive(Arrival),
    /// A request passed its account's limits; raised by the limits plug-in.
    Admitted(Arrival),
    /// A granted request moved on.
    Progress {
        /// Number of the request at this VM.
        request: u64,
        /// How.
        outcome: Outcome,
    },
    /// A call needs a claim before dispatch.
    Claim(ClaimTicket),
    /// A claimed call ended.
    Settle {
        /// Digest of account and idempotency key.
        key: u128,
        /// The claim's nonce.
        nonce: u128,
        /// The answer to be given again; none if the call truly did not run.
        answer: Option<String>,
    },
    /// A peer's message came in.
    Receive {
        /// The peer's name.
        from: String,
        /// What it said.
        message: Message,
    },
    /// The VM list was read.
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
        /// Their texts; each is named by its digest. None: the reading has ended.
        texts: Vec<Arc<str>>,
    },
    /// A generation has been parsed and checked.
    Configured {
        /// Its generation.
        generation: u64,
        /// Its whole text.
        text: Arc<str>,
        /// The same, parsed by the sender so that the control thread need not; none in replays.
        #[serde(skip)]
        catalogue: Option<Arc<Catalogue>>,
    },
    /// An endpoint was probed.
    Probed {
        /// The endpoint.
        endpoint: String,
        /// Whether it takes new work; none if it did not answer.
        ready: Option<bool>,
        /// Requests that it works on.
        running: u32,
        /// Requests that wait in it.
        waiting: u32,
        /// The weight version that an engine has loaded or loads, if it says so.
        #[serde(default)]
        weights: Option<LoadedWeights>,
    },
    /// The lease record of the orders was read.
    LeaseRead {
        /// The revision of its last change; zero if it is not there.
        revision: u64,
        /// Its text; empty if it is not there.
        text: String,
    },
    /// A write of the lease record succeeded; a failed one is told by nothing.
    LeaseWritten {
        /// Its text.
        text: String,
    },
    /// Cache events of an engine were read.
    CacheRead {
        /// The engine.
        endpoint: String,
        /// Whether events between the last reading and this one are lost.
        gap: bool,
        /// Short keys that it now holds.
        stored: Vec<u64>,
        /// Short keys that it no longer holds.
        evicted: Vec<u64>,
    },
    /// A store's listing was read.
    StoreRead {
        /// The store.
        store: String,
        /// The pool whose pieces were listed.
        pool: String,
        /// Whether this is the whole listing; else a change since the last.
        whole: bool,
        /// Short keys that it holds.
        stored: Vec<u64>,
        /// Short keys that it no longer holds.
        freed: Vec<u64>,
        /// Pieces that it still has room for.
        room: u32,
    },
    /// An export ended.
    Exported {
        /// The store.
        store: String,
        /// The engine.
        endpoint: String,
        /// The pool.
        pool: String,
        /// Short keys whose pieces are now whole in the store.
        keys: Vec<u64>,
        /// How long it took, in microseconds.
        micros: u64,
    },
    /// The platform answered the creation of a log entry.
    LogCreated {
        /// The shard.
        shard: u32,
        /// The entry's place.
        sequence: u64,
        /// The answer.
        reply: CreateReply,
    },
    /// A shard's log was read.
    LogRead {
        /// The shard.
        shard: u32,
        /// Whether the read succeeded.
        known: bool,
        /// Entries from the asked sequence on.
        entries: Vec<LogEntry>,
    },
    /// A planned stop begins.
    Stop,
    /// Something for one plug-in alone.
    Custom {
        /// The plug-in's name.
        plugin: String,
        /// What it is, in that plug-in's own form.
        text: String,
    },
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a request to an endpoint.
    Dispatch {
        /// Number of the request at this VM.
        request: u64,
        /// The endpoint.
        endpoint: String,
        /// Pieces to import first.
        import: Option<crate::Import>,
        /// Priority for the engine; higher goes first.
        priority: i8,
    },
    /// Give a request its final answer: refused, not run.
    Refuse {
        /// Number of the request at this VM.
        request: u64,
        /// Why.
        reason: RefusalKind,
        /// When to come back, in milliseconds.
        retry_after_millis: u64,
    },
    /// Send a message to a peer.
    Send {
        /// The peer's name.
        to: String,
        /// What to say.
        message: Message,
    },
    /// Answer a claim.
    ClaimAnswer {
        /// Number of the request at this VM.
        request: u64,
        /// The verdict.
        verdict: ClaimVerdict,
    },
    /// The end of a claimed call is on record.
    Settled {
        /// The claim's nonce.
        nonce: u128,
    },
    /// Create a log entry if its place is free.
    CreateLog {
        /// The shard.
        shard: u32,
        /// The entry's place.
        sequence: u64,
        /// Its text.
        text: String,
    },
    /// Read a shard's log.
    ReadLog {
        /// The shard.
        shard: u32,
        /// The first sequence to read.
        from: u64,
    },
    /// Hold the data centre's watch on the configuration, or let it go.
    WatchConfiguration {
        /// Whether to hold it.
        hold: bool,
    },
    /// Read chunks from the platform.
    ReadChunks {
        /// Their digests.
        digests: Vec<String>,
    },
    /// Write a newer head back to a platform that has lost it.
    RestoreHead {
        /// The generation.
        generation: u64,
        /// Digests of its chunks.
        digests: Vec<String>,
        /// The chunks.
        texts: Vec<Arc<str>>,
    },
    /// Parse and check a generation, then report it as configured.
    Configure {
        /// The generation.
        generation: u64,
        /// Its chunks, by bucket.
        texts: Vec<Arc<str>>,
    },
    /// Probe an endpoint: readiness, load, and an engine's cache events.
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
        /// Whether the whole listing is wanted.
        whole: bool,
    },
    /// Have an engine export pieces to a store.
    Export {
        /// The engine.
        endpoint: String,
        /// The store.
        store: String,
        /// The pool.
        pool: String,
        /// Short keys of the pieces.
        keys: Vec<u64>,
    },
    /// Delete pieces from a store.
    Free {
        /// The store.
        store: String,
        /// The pool.
        pool: String,
        /// Short keys of the pieces.
        keys: Vec<u64>,
    },
    /// Read the lease record of the orders.
    ReadLease,
    /// Write the lease record if its last change is still at `revision`.
    WriteLease {
        /// The revision; zero if it must not be there.
        revision: u64,
        /// Its text.
        text: String,
    },
    /// Order an engine to load a weight version.
    Order {
        /// The engine.
        endpoint: String,
        /// What it should be, whatever it is now: the order may come twice.
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
    /// Something of one plug-in alone.
    Custom {
        /// The plug-in's name.
        plugin: String,
        /// What it is.
        text: String,
    },
}
