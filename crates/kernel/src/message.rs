//! What kernels of different VMs say to each other.
//!
//! Invariant: a message is a hint or a request, never a promise: a lost, late or repeated one may
//! cost efficiency only. What must hold rests on the platform's compare-and-swap.

use crate::{ClaimTicket, Outcome, RefusalKind};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Differs at each start of the sender.
    pub incarnation: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// The sender's configuration generation.
    pub generation: u64,
    /// Endpoints of the sender's cells that it has found to take no work.
    pub unwell: Vec<String>,
    /// Who holds the lease on orders, as far as the sender has read; empty if it has not.
    #[serde(default)]
    pub orders_holder: String,
}

/// An entry VM asks a cell's home for an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Number of the request at the asking VM.
    pub request: u64,
    /// The cell.
    pub cell: String,
    /// The client account.
    pub account: String,
    /// Short keys of the prompt's whole pieces.
    pub keys: Vec<u64>,
    /// Tokens of the prompt, estimated.
    pub prompt_tokens: u32,
    /// Tokens that may be generated.
    pub max_tokens: u32,
    /// Microseconds until the first token is due, counted from the sending; clocks differ.
    pub micros_left: u64,
    /// The caller's priority.
    pub priority: i8,
    /// Endpoints that have failed this request already.
    pub exclude: Vec<String>,
    /// Whether the asker has another cell to ask, should this one be busy.
    pub may_move: bool,
}

/// Pieces to import from a store before computing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// The store.
    pub store: String,
    /// Number of the first piece.
    pub first: u32,
    /// Number of the first piece that is not imported.
    pub end: u32,
}

/// A cell's home grants an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the request at the asking VM.
    pub request: u64,
    /// The endpoint.
    pub endpoint: String,
    /// Pieces to import first.
    pub import: Option<Import>,
    /// Priority for the engine.
    pub priority: i8,
}

/// One request that an entry VM has in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightRow {
    /// Number of the request at the sending VM.
    pub request: u64,
    /// The endpoint that works on it.
    pub endpoint: String,
    /// The client account.
    pub account: String,
    /// Tokens of the prompt, estimated.
    pub prompt_tokens: u32,
    /// Whether the first token is out.
    pub started: bool,
}

/// What the home of a claim shard answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claim is written: the call may be dispatched by its deadline.
    Claimed,
    /// The call has run; this is its recorded answer.
    Finished(String),
    /// Another attempt holds the claim: it may be running or may have run.
    Pending,
    /// The same key was used with another body.
    Mismatch,
    /// The platform cannot be reached; the call was not dispatched.
    Unavailable,
}

/// A claim on its way to its shard's home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAsk {
    /// The shard.
    pub shard: u32,
    /// The ticket; its deadline is in the sender's time.
    pub ticket: ClaimTicket,
}

/// A message between kernels.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat.
    Beat(Beat),
    /// A request for an endpoint.
    Ask(Ask),
    /// An endpoint.
    Grant(Grant),
    /// The home holds the request in its queue.
    Queued {
        /// Number of the request at the asking VM.
        request: u64,
    },
    /// No endpoint.
    Refusal {
        /// Number of the request at the asking VM.
        request: u64,
        /// Why.
        reason: RefusalKind,
        /// When to come back, in milliseconds.
        retry_after_millis: u64,
    },
    /// A granted request moved on.
    Progress {
        /// The cell.
        cell: String,
        /// Number of the request at the sending VM.
        request: u64,
        /// How.
        outcome: Outcome,
    },
    /// All requests that the sender has in flight in a cell, told to its home.
    InFlight {
        /// The cell.
        cell: String,
        /// The requests.
        requests: Vec<InFlightRow>,
    },
    /// A claim.
    Claim(ClaimAsk),
    /// The answer to a claim.
    ClaimReply {
        /// Number of the request at the asking VM.
        request: u64,
        /// The verdict.
        verdict: ClaimVerdict,
    },
    /// A claimed call ended.
    Settle {
        /// The shard.
        shard: u32,
        /// Digest of account and idempotency key.
        key: u128,
        /// The claim's nonce.
        nonce: u128,
        /// The answer to be given again; none if the call did not run.
        answer: Option<String>,
    },
    /// The end of a claimed call is on record.
    Settled {
        /// The claim's nonce.
        nonce: u128,
    },
    /// An engine's weights, told to the holder of the lease on orders.
    Weights {
        /// The engine.
        endpoint: String,
        /// What it says.
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
    /// Chunks.
    Chunks {
        /// Their texts.
        texts: Vec<Arc<str>>,
    },
    /// Something between two plug-ins of one name.
    Custom {
        /// The plug-in's name.
        plugin: String,
        /// What it is.
        text: String,
    },
}
