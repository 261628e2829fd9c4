//! Interface to a platform: names, formats and calls, as plain structs of data and functions.
//!
//! Invariant: a dialect only translates. It never waits, retries or selects; each function is pure, so that a
//! stand-in and the real platform run the same code.

use crate::{
    AnswerFacts, CacheUpdate, DeploymentConfig, EndpointEntry, EngineReport, PromptSegment, RolloutOrder,
    RolloutPhase, StoreEvent, StoreItem, StorePosition, WeightTarget,
};
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, StatusCode};
use std::net::SocketAddr;

/// Names, formats and calls of one platform.
#[derive(Clone, Debug)]
pub struct WireDialect {
    /// Names of headers.
    pub headers: HeaderNames,
    /// Keys and key prefixes in the platform's store.
    pub keys: StoreKeys,
    /// Calls to the store and decoders of their answers.
    pub store: StoreDialect,
    /// Calls to engines and decoders of their answers.
    pub engine: EngineDialect,
    /// Calls to cache stores and decoders of their answers.
    pub cache: CacheDialect,
    /// Decoders of the store's values and of headers.
    pub decoders: ValueDialect,
    /// Path of the balancer's readiness check.
    pub readiness_path: &'static str,
}

/// Names of headers on requests and answers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; answers repeat it.
    pub request_id: HeaderName,
    /// Id of the attempt whose stream a request resumes: the one that brought its first event.
    pub resumes: HeaderName,
    /// Milliseconds that the caller waits; in requests to endpoints, the remaining ones.
    pub deadline_millis: HeaderName,
    /// Name of the client account, in requests to endpoints.
    pub account: HeaderName,
    /// Id of the endpoint incarnation that a request addresses.
    pub expect_endpoint: HeaderName,
    /// Model of the prompt.
    pub model: HeaderName,
    /// Count of prompt tokens and limit of generated tokens.
    pub token_usage: HeaderName,
    /// Segments of the prompt.
    pub prompt_segments: HeaderName,
    /// Cache salt: an engine shares cached segments only under the same one.
    pub cache_salt: HeaderName,
    /// Version of the weights that a request expects.
    pub expect_version: HeaderName,
    /// Addresses from which an engine may fetch each segment of the prompt.
    pub fetch_from: HeaderName,
    /// Addresses to which an engine saves each segment once its prefill is done.
    pub save_to: HeaderName,
    /// Moment on the engines' clock after which a fetch is discarded.
    pub fetch_until: HeaderName,
    /// Proof that an answer is the endpoint's own; never on answers that the gateway itself makes.
    pub seal: HeaderName,
    /// On answers of the store: its era, the count of its restorations from a backup.
    pub store_era: HeaderName,
    /// Headers that only this system sets in requests to endpoints: removed from callers' requests.
    pub system_only: Vec<HeaderName>,
}

/// Keys and key prefixes in the platform's store.
#[derive(Clone, Copy, Debug)]
pub struct StoreKeys {
    /// Key of the configuration.
    pub configuration: &'static str,
    /// Prefix of the endpoints' entries; the endpoint's id follows.
    pub endpoints: &'static str,
    /// Prefix of weight targets; the model's name follows.
    pub weights: &'static str,
    /// Prefix of evacuated data centres; the data centre's name follows.
    pub evacuations: &'static str,
    /// Prefix of the operator's rollout orders; the service's name follows.
    pub rollouts: &'static str,
    /// Prefix of rollout statuses for operators; the service's name follows.
    pub rollout_statuses: &'static str,
}

/// One call in its form on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireCall {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers except those that describe the body.
    pub headers: Vec<(HeaderName, String)>,
    /// The body, if there is one.
    pub body: Option<Vec<u8>>,
}

/// A page of a listing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangePage {
    /// The items, in the order of their keys.
    pub items: Vec<StoreItem>,
    /// Whether more follow.
    pub has_more: bool,
    /// Position of the store at the time of the listing.
    pub position: StorePosition,
}

/// Result of one watch call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchPage {
    /// Changes in order; empty after a time-out.
    pub events: Vec<StoreEvent>,
    /// Position from which the next watch continues.
    pub position: StorePosition,
}

/// Writes that are applied together if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreTransaction {
    /// Keys with the position of their last change; none if the key must be absent.
    pub conditions: Vec<(String, Option<StorePosition>)>,
    /// Keys with the values to write and the lease to which they are bound (zero: none).
    pub writes: Vec<(String, Vec<u8>, u64)>,
    /// Keys to delete.
    pub removals: Vec<String>,
}

/// Reason why the store refused a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreRefusal {
    /// The history that a watch needs has been discarded: a new listing is required.
    #[error("the store has discarded the requested history")]
    HistoryGone,
    /// The lease has ended: it expired, was revoked, or is unknown to the store.
    #[error("the lease has ended")]
    LeaseGone,
    /// A condition does not hold; contains the current items of the condition's keys.
    #[error("a condition of the transaction does not hold")]
    Conflict(Vec<StoreItem>),
    /// Nothing was done; contains the answer's status.
    #[error("the store answered {0}")]
    NotDone(u16),
    /// The store was restored from a backup after the call was sent; the call may have been executed.
    #[error("the store has been restored from a copy")]
    Restored,
    /// The answer cannot be decoded; the call may have been executed.
    #[error("the store's answer cannot be decoded: {0}")]
    Malformed(String),
}

/// Lease granted by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Its id.
    pub lease: u64,
    /// Lifetime from the arrival of the call at the store, in milliseconds.
    pub ttl_millis: u64,
}

/// Answer of the store, before decoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReply<'a> {
    /// Its status.
    pub status: u16,
    /// Era of the store: counts its restorations from a backup.
    pub era: u64,
    /// Its body.
    pub body: &'a [u8],
}

/// Decoder of an answer of the store.
pub type StoreDecoder<T> = fn(&StoreReply<'_>) -> Result<T, StoreRefusal>;

/// Calls to the store and decoders of their answers.
#[derive(Clone, Copy, Debug)]
pub struct StoreDialect {
    /// Lists the items under a prefix, after a key if one is given.
    pub range: fn(&str, Option<&str>) -> WireCall,
    /// Decodes a listing.
    pub decode_range: StoreDecoder<RangePage>,
    /// Waits for changes under a prefix after a position, with a limit in milliseconds.
    pub watch: fn(&str, StorePosition, u64) -> WireCall,
    /// Decodes the answer to a watch.
    pub decode_watch: StoreDecoder<WatchPage>,
    /// Runs a transaction.
    pub transact: fn(&StoreTransaction) -> WireCall,
    /// Decodes the position of a transaction in the store's history.
    pub decode_transact: StoreDecoder<StorePosition>,
    /// Requests a lease with a lifetime in milliseconds.
    pub grant: fn(u64) -> WireCall,
    /// Renews a lease.
    pub renew: fn(u64) -> WireCall,
    /// Revokes a lease.
    pub revoke: fn(u64) -> WireCall,
    /// Decodes a grant.
    pub decode_grant: StoreDecoder<LeaseGrant>,
    /// Decodes a renewal: the remaining lifetime of the lease in milliseconds.
    pub decode_renew: StoreDecoder<u64>,
}

/// Order to an engine: the weight version that it should reach.
///
/// Repeating an order is harmless: an engine that has the version already answers `AlreadyLoaded`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightOrder {
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// Name of the VM that gives the order.
    pub holder: String,
    /// Fencing token of that VM.
    pub fencing: u64,
    /// Count of orders that the engine must have taken before.
    pub orders_taken: u64,
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The load has started.
    Accepted,
    /// The engine has these weights already.
    AlreadyLoaded,
    /// Another load is in progress, or the count of orders differs.
    Conflict,
    /// The engine is not the addressed one, or refuses the order; contains the answer's status.
    Refused(u16),
}

/// Calls to engines and decoders of their answers.
#[derive(Clone, Copy, Debug)]
pub struct EngineDialect {
    /// Requests an engine's state.
    pub report: fn() -> WireCall,
    /// Decodes an engine's state.
    pub decode_report: fn(&[u8]) -> Result<EngineReport, EntryError>,
    /// Sends an order.
    pub order: fn(&WeightOrder) -> WireCall,
    /// Decodes the answer to an order from its status.
    pub decode_order: fn(u16) -> OrderOutcome,
}

/// Calls to cache stores and decoders of their answers.
#[derive(Clone, Copy, Debug)]
pub struct CacheDialect {
    /// Requests changes from a position on: a long poll with a maximum duration in milliseconds.
    pub events: fn(u64, u64) -> WireCall,
    /// Decodes changes.
    pub decode_events: fn(&[u8]) -> Result<CacheUpdate, String>,
    /// Requests the full cache index.
    pub list: fn() -> WireCall,
    /// Decodes the full cache index.
    pub decode_list: fn(&[u8]) -> Result<CacheUpdate, String>,
    /// Releases segments if the store's incarnation is still the given one.
    ///
    /// Each segment is given with its cache salt.
    pub release: fn(&[(String, String)], u64) -> WireCall,
    /// Encodes one optional address for each segment of a prompt.
    pub segment_addresses: fn(&[Option<SocketAddr>]) -> String,
}

/// Reason why an endpoint's entry or report is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// The bytes cannot be parsed.
    #[error("the bytes cannot be parsed: {0}")]
    Bytes(String),
    /// A field is missing or of another type.
    #[error("a field is missing or of another type: {0}")]
    Field(String),
    /// The state is unknown to this system.
    #[error("unknown state `{0}`")]
    State(String),
    /// The start time is not a whole number of milliseconds.
    #[error("the start time is not a whole number of milliseconds")]
    InvalidStart,
    /// The remaining cold time is negative.
    #[error("the remaining cold time is negative")]
    NegativeColdTime,
}

impl EntryError {
    /// Returns the label for metrics.
    ///
    /// # Examples
    /// ```
    /// assert_eq!(spanfold_gateway::EntryError::InvalidStart.kind(), "born");
    /// ```
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Bytes(_) => "bytes",
            Self::Field(_) => "field",
            Self::State(_) => "state",
            Self::InvalidStart => "born",
            Self::NegativeColdTime => "cold",
        }
    }
}

/// Decoders of the store's values, and of headers of callers and endpoints.
#[derive(Clone, Copy, Debug)]
pub struct ValueDialect {
    /// Decodes a configuration; the error lists all faults.
    pub configuration: fn(&[u8]) -> Result<DeploymentConfig, Vec<String>>,
    /// Decodes the entry of the endpoint with the given id.
    pub endpoint: fn(&str, &[u8]) -> Result<EndpointEntry, EntryError>,
    /// Decodes a weight target.
    pub weights: fn(&[u8]) -> Result<WeightTarget, String>,
    /// Decodes an order to roll out a version of a service.
    pub rollout: fn(&[u8]) -> Result<RolloutOrder, String>,
    /// Encodes the status of a rollout for operators: its phase and its target version.
    pub rollout_status: fn(RolloutPhase, &str) -> Vec<u8>,
    /// Decodes the segments of a prompt from their header.
    pub prompt_segments: fn(&str) -> Option<Vec<PromptSegment>>,
    /// Returns the names of a prompt's segments, as its caller states them in the same header.
    pub segment_names: fn(&str) -> Vec<&str>,
    /// Decodes the count of prompt tokens and the limit of generated tokens.
    pub token_usage: fn(&str) -> Option<(u32, u32)>,
    /// Decodes the head of an endpoint's answer.
    pub answer: fn(StatusCode, &HeaderMap) -> AnswerFacts,
    /// Decodes the newest weight version that whole events of a stream report, if any does.
    pub event_weights: fn(&[u8]) -> Option<u64>,
    /// Returns the caller's key in an authorization header.
    pub caller_key: fn(&str) -> Option<&str>,
}
