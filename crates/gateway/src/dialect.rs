//! The seam to a platform: names, formats and calls, as plain structs of data and functions.
//!
//! Invariant: a dialect translates and decides nothing. It never waits, retries or picks; each
//! function is pure, so that a stand-in and the real platform meet the same code.

use crate::{
    AnswerFacts, CacheUpdate, DeploymentConfig, EndpointEntry, EngineReport, PromptSegment, RolloutOrder,
    RolloutPhase, StoreEvent, StoreItem, StorePosition, WeightTarget,
};
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, StatusCode};
use std::net::SocketAddr;

/// All that differs between platforms.
#[derive(Clone, Debug)]
pub struct WireDialect {
    /// Names of headers.
    pub headers: HeaderNames,
    /// Where things lie in the platform's store.
    pub keys: StoreKeys,
    /// Calls to the store and what their answers mean.
    pub store: StoreDialect,
    /// Calls to engines and what their answers mean.
    pub engine: EngineDialect,
    /// Calls that tell what is kept where, and what their answers mean.
    pub kept: CacheDialect,
    /// What the store's values and the callers' headers mean.
    pub decode: ValueDialect,
    /// Path at which the balancer asks whether this VM takes connections.
    pub readiness_path: &'static str,
}

/// Names of headers on requests and answers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identity of one attempt of a caller; answers echo it.
    pub request_id: HeaderName,
    /// Milliseconds that the caller waits; towards endpoints what is left of them.
    pub deadline_millis: HeaderName,
    /// Name of the client account, set for endpoints.
    pub account: HeaderName,
    /// Id of the endpoint incarnation that a request is meant for.
    pub expect_endpoint: HeaderName,
    /// The prompt's model.
    pub model: HeaderName,
    /// Tokens of the prompt and tokens that may be generated.
    pub token_usage: HeaderName,
    /// The prompt's parts.
    pub prompt_segments: HeaderName,
    /// Text under which an engine shares cached parts.
    pub cache_salt: HeaderName,
    /// Version of the weights that a request is meant for.
    pub expect_version: HeaderName,
    /// Where an engine may take each part of the prompt from.
    pub fetch_from: HeaderName,
    /// Where an engine is to send each part once it is read.
    pub save_to: HeaderName,
    /// Moment on the engines' clock after which a fetch is thrown away.
    pub fetch_until: HeaderName,
    /// Proof that an answer is the endpoint's own; never on answers made here.
    pub seal: HeaderName,
    /// On answers of the store: how often it has been restored from a copy.
    pub store_era: HeaderName,
    /// Headers that only this system sets towards endpoints: removed from callers' requests.
    pub system_only: Vec<HeaderName>,
}

/// Where things lie in the platform's store.
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
    /// Prefix of orders to move a service to another version; the service's name follows.
    pub rollouts: &'static str,
    /// Prefix of what operators read of such moves; the service's name follows.
    pub rollout_statuses: &'static str,
}

/// One call, ready to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireCall {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers beside those that the body needs.
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
    pub more: bool,
    /// How far the store has come.
    pub position: StorePosition,
}

/// What a watch brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchPage {
    /// Changes in order; none if the time was up.
    pub events: Vec<StoreEvent>,
    /// Where to go on from.
    pub position: StorePosition,
}

/// Writes that take place together if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreTransaction {
    /// Keys with their last change; none means that the key is absent.
    pub conditions: Vec<(String, Option<StorePosition>)>,
    /// Keys with the values to write and the lease that they live under (zero: none).
    pub writes: Vec<(String, Vec<u8>, u64)>,
    /// Keys to remove.
    pub removals: Vec<String>,
}

/// Why the store did not do what was asked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreRefusal {
    /// The history that a watch needs is gone: list anew.
    #[error("the store has forgotten the history asked for")]
    HistoryGone,
    /// The lease has ended.
    #[error("the lease has ended")]
    LeaseGone,
    /// A condition does not hold; these items stand.
    #[error("a condition of the transaction does not hold")]
    Conflict(Vec<StoreItem>),
    /// Nothing was done; the status tells why.
    #[error("the store answered {0}")]
    NotDone(u16),
    /// The store has been restored from a copy since the call was made, which may have been done there.
    #[error("the store has been restored from a copy")]
    Restored,
    /// The answer cannot be read; the call may have been done.
    #[error("the store's answer cannot be read: {0}")]
    Malformed(String),
}

/// A lease of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Its id.
    pub lease: u64,
    /// How long it holds after the call's arrival, in milliseconds.
    pub ttl_millis: u64,
}

/// An answer of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReply<'a> {
    /// Its status.
    pub status: u16,
    /// How often the store has been restored from a copy.
    pub era: u64,
    /// Its body.
    pub body: &'a [u8],
}

/// Reads an answer of the store.
pub type StoreDecoder<T> = fn(&StoreReply<'_>) -> Result<T, StoreRefusal>;

/// Calls to the store and what their answers mean.
#[derive(Clone, Copy, Debug)]
pub struct StoreDialect {
    /// Lists the items under a prefix, after a key if one is given.
    pub range: fn(&str, Option<&str>) -> WireCall,
    /// Reads a listing.
    pub read_range: StoreDecoder<RangePage>,
    /// Waits for changes under a prefix after a position, for so many milliseconds at most.
    pub watch: fn(&str, StorePosition, u64) -> WireCall,
    /// Reads what a watch brought.
    pub read_watch: StoreDecoder<WatchPage>,
    /// Runs a transaction.
    pub transact: fn(&StoreTransaction) -> WireCall,
    /// Reads where a transaction stands.
    pub read_transact: StoreDecoder<StorePosition>,
    /// Asks for a lease of so many milliseconds.
    pub grant: fn(u64) -> WireCall,
    /// Renews a lease.
    pub renew: fn(u64) -> WireCall,
    /// Ends a lease.
    pub end: fn(u64) -> WireCall,
    /// Reads a grant.
    pub read_grant: StoreDecoder<LeaseGrant>,
    /// Reads a renewal: the milliseconds for which the lease holds on.
    pub read_renew: StoreDecoder<u64>,
}

/// An order to an engine: the state that it should reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightOrder {
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// The VM that gives the order.
    pub holder: String,
    /// Its fencing token.
    pub fencing: u64,
    /// Orders that the engine should have taken before.
    pub orders_taken: u64,
}

/// What an engine made of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is under way.
    Accepted,
    /// It holds already.
    Holds,
    /// Another is under way, or the count of orders differs.
    Conflict,
    /// The engine is not the one that was meant, or does not take it.
    Refused(u16),
}

/// Calls to engines and what their answers mean.
#[derive(Clone, Copy, Debug)]
pub struct EngineDialect {
    /// Asks an engine for its state.
    pub report: fn() -> WireCall,
    /// Reads an engine's state.
    pub read_report: fn(&[u8]) -> Result<EngineReport, EntryError>,
    /// Gives an order.
    pub order: fn(&WeightOrder) -> WireCall,
    /// Reads the answer to an order from its status.
    pub read_order: fn(u16) -> OrderOutcome,
}

/// Calls that tell what is kept where, and what their answers mean.
#[derive(Clone, Copy, Debug)]
pub struct CacheDialect {
    /// Asks for changes from a position on, held back until there are some or so many milliseconds
    /// are over.
    pub events: fn(u64, u64) -> WireCall,
    /// Reads changes.
    pub read_events: fn(&[u8]) -> Result<CacheUpdate, String>,
    /// Asks for all that is held.
    pub list: fn() -> WireCall,
    /// Reads all that is held.
    pub read_list: fn(&[u8]) -> Result<CacheUpdate, String>,
    /// Frees parts, given as salt and part, if the store's incarnation is still the given one.
    pub free: fn(&[(String, String)], u64) -> WireCall,
    /// Writes one address for each part of a prompt, where there is one.
    pub segment_addresses: fn(&[Option<SocketAddr>]) -> String,
}

/// Why an endpoint's entry, or what it says of itself, names no endpoint to use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// Its bytes have no form at all.
    #[error("the bytes cannot be read: {0}")]
    Bytes(String),
    /// A field is missing or of another type.
    #[error("a field is missing or of another type: {0}")]
    Field(String),
    /// It states what this system does not know.
    #[error("unknown state `{0}`")]
    State(String),
    /// Its start is no whole number of milliseconds.
    #[error("the start is no whole number of milliseconds")]
    Born,
    /// The time for which it is cold is less than none.
    #[error("the time for which it is cold is less than none")]
    Cold,
}

impl EntryError {
    /// A word for metrics.
    ///
    /// # Examples
    /// ```
    /// assert_eq!(spanfold_gateway::EntryError::Born.kind(), "born");
    /// ```
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Bytes(_) => "bytes",
            Self::Field(_) => "field",
            Self::State(_) => "state",
            Self::Born => "born",
            Self::Cold => "cold",
        }
    }
}

/// What the store's values, and headers of callers and endpoints, mean.
#[derive(Clone, Copy, Debug)]
pub struct ValueDialect {
    /// Reads a configuration; on faults, all of them.
    pub configuration: fn(&[u8]) -> Result<DeploymentConfig, Vec<String>>,
    /// Reads the entry of the endpoint with the given id.
    pub endpoint: fn(&str, &[u8]) -> Result<EndpointEntry, EntryError>,
    /// Reads a weight target.
    pub weights: fn(&[u8]) -> Result<WeightTarget, String>,
    /// Reads an order to move a service to another version.
    pub rollout: fn(&[u8]) -> Result<RolloutOrder, String>,
    /// Writes what operators read of such a move: how far it has come, and to which version.
    pub rollout_status: fn(RolloutPhase, &str) -> Vec<u8>,
    /// Reads the prompt's parts from their header.
    pub prompt_segments: fn(&str) -> Option<Vec<PromptSegment>>,
    /// Reads tokens of the prompt and tokens that may be generated.
    pub token_usage: fn(&str) -> Option<(u32, u32)>,
    /// Decodes the head of an endpoint's answer.
    pub answer: fn(StatusCode, &HeaderMap) -> AnswerFacts,
    /// Reads the newest version of weights that whole events of a stream tell, if any does.
    pub event_weights: fn(&[u8]) -> Option<u64>,
    /// The caller's key in an authorization header.
    pub caller_key: fn(&str) -> Option<&str>,
}
