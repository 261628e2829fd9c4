//! Messages between kernels of different VMs.
//!
//! Invariant: a message is a hint or a request, never a guarantee: a lost, late or repeated one may
//! cost efficiency only. Guarantees rely on the platform's compare-and-swap.

use crate::{ClaimTicket, Outcome, RefusalKind};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A heartbeat of an entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmHeartbeat {
    /// Differs at each start of the sender.
    pub incarnation: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// The sender's configuration generation.
    pub generation: u64,
    /// Endpoints of the sender's cells that it has found to accept no work.
    pub unwell: Vec<String>,
    /// Holder of the lease on orders, as last read by the sender; empty before the first read.
    #[serde(default)]
    pub orders_holder: String,
}

/// A request of an entry VM to a cell's home VM for an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRequest {
    /// Number of the request at the requesting VM.
    pub request: u64,
    /// The cell.
    pub cell: String,
    /// The client account.
    pub account: String,
    /// Short keys of the prompt's complete blocks.
    pub keys: Vec<u64>,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of generated tokens.
    pub max_tokens: u32,
    /// Microseconds from sending until the first token is due; relative, as clocks differ.
    pub micros_left: u64,
    /// The caller's priority.
    pub priority: i8,
    /// Endpoints that have already failed this request.
    pub exclude: Vec<String>,
    /// Whether the requesting VM can use another cell if this one is busy.
    pub may_move: bool,
}

/// Range of blocks to import from a store before computing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// The store.
    pub store: String,
    /// Number of the first block.
    pub first: u32,
    /// Number of the first block after the range.
    pub end: u32,
}

/// An endpoint that a cell's home VM grants for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the request at the requesting VM.
    pub request: u64,
    /// The endpoint.
    pub endpoint: String,
    /// Blocks to import first.
    pub import: Option<Import>,
    /// Priority for the engine.
    pub priority: i8,
}

/// One request that an entry VM has in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightRow {
    /// Number of the request at the sending VM.
    pub request: u64,
    /// The endpoint that runs it.
    pub endpoint: String,
    /// The client account.
    pub account: String,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Whether the first token was produced.
    pub started: bool,
}

/// The answer of a claim shard's home VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claim is written: the call may be dispatched until its deadline.
    Claimed,
    /// The call has run, with this recorded answer.
    Finished(String),
    /// Another attempt holds the claim: it may be running or may have run.
    Pending,
    /// The same key was used with a different body.
    Mismatch,
    /// The platform cannot be reached; the call was not dispatched.
    Unavailable,
}

/// A request for a claim, sent to the shard's home VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The shard.
    pub shard: u32,
    /// The ticket; its deadline is in the sender's clock.
    pub ticket: ClaimTicket,
}

/// A message between kernels.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat.
    Beat(VmHeartbeat),
    /// A request for an endpoint.
    Ask(EndpointRequest),
    /// An endpoint granted for a request.
    Grant(Grant),
    /// The home VM has queued the request.
    Queued {
        /// Number of the request at the requesting VM.
        request: u64,
    },
    /// A request for an endpoint was refused.
    Refusal {
        /// Number of the request at the requesting VM.
        request: u64,
        /// The reason.
        reason: RefusalKind,
        /// Delay before the caller may retry, in milliseconds.
        retry_after_millis: u64,
    },
    /// A granted request made progress.
    Progress {
        /// The cell.
        cell: String,
        /// Number of the request at the sending VM.
        request: u64,
        /// The progress.
        outcome: Outcome,
    },
    /// All requests that the sender has in flight in a cell, sent to the cell's home VM.
    InFlight {
        /// The cell.
        cell: String,
        /// The requests.
        requests: Vec<InFlightRow>,
    },
    /// A request for a claim.
    Claim(ClaimRequest),
    /// The answer to a request for a claim.
    ClaimReply {
        /// Number of the request at the requesting VM.
        request: u64,
        /// The verdict.
        verdict: ClaimVerdict,
    },
    /// A claimed call finished.
    Settle {
        /// The shard.
        shard: u32,
        /// Digest of account and idempotency key.
        key: u128,
        /// The claim's nonce.
        nonce: u128,
        /// The answer to replay; none if the call did not run.
        answer: Option<String>,
    },
    /// The result of a claimed call is recorded.
    Settled {
        /// The claim's nonce.
        nonce: u128,
    },
    /// An engine's weights, reported to the holder of the lease on orders.
    Weights {
        /// The engine.
        endpoint: String,
        /// The weights that it reports.
        weights: crate::LoadedWeights,
    },
    /// A request for the receiver's head record.
    HeadPull,
    /// A head record.
    Head {
        /// Its generation.
        generation: u64,
        /// Digests of its chunks, by bucket.
        digests: Vec<String>,
    },
    /// A request for chunks.
    ChunkPull {
        /// Their digests.
        digests: Vec<String>,
    },
    /// Chunks of the configuration.
    Chunks {
        /// Their texts.
        texts: Vec<Arc<str>>,
    },
    /// A message between plug-ins of the same name on two VMs.
    Custom {
        /// The plug-in's name.
        plugin: String,
        /// Its content.
        text: String,
    },
}
