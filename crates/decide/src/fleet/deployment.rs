//! What a deployment holds: routes, services, client accounts, endpoints, weight versions.
//!
//! Invariant: these types speak the project's words only. An adapter decodes the platform's form
//! into them once, and nothing downstream reads the platform's form again.

use crate::EndpointKey;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// The configuration in force, decoded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeploymentConfig {
    /// Its version; versions rise, by uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteRow>,
    /// All services by name.
    pub services: BTreeMap<String, ServiceRow>,
    /// All client accounts.
    pub accounts: Vec<AccountRow>,
    /// What a caller may send.
    pub limits: RequestLimits,
}

/// Callers leave no stream sooner than after this long without an event, in milliseconds (the users' pages).
const SILENCE_LEAST_MILLIS: u64 = 2_000;

/// How often a request may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouteKind {
    /// More than once.
    Idempotent,
    /// Once at most for each attempt of the caller.
    #[default]
    NotRepeatable,
    /// An event stream; repeatable only where the route may be resumed.
    Stream,
}

/// One route: which requests it takes and how they are to be served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteRow {
    /// Its name.
    pub name: String,
    /// The host that it belongs to, in lower case.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// How often its requests may run.
    pub kind: RouteKind,
    /// Services with their weights; one of them serves a request.
    pub targets: Vec<ServiceWeight>,
    /// Longest time that a request may be held, in milliseconds.
    pub timeout_millis: u64,
    /// Latency objective in milliseconds; for streams up to the first event.
    pub objective_millis: u64,
    /// Longest pause between events at which a stream is still in time, in milliseconds.
    pub gap_millis: u64,
    /// Rank; zero is the highest.
    pub priority: u8,
    /// Endpoints that one attempt of the caller may be sent to.
    pub attempts: u32,
    /// Whether no key is asked for.
    pub public: bool,
    /// Whether a stream may go on at another engine.
    pub resumable: bool,
    /// Regions that its requests may be served in; empty means anywhere.
    pub homes: Vec<String>,
}

impl RouteRow {
    /// Time without an event after which callers leave a stream, in milliseconds (the users' pages).
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::RouteRow;
    /// assert_eq!(RouteRow { objective_millis: 1_200, gap_millis: 300, ..RouteRow::default() }.silence_millis(), 4_800);
    /// ```
    pub fn silence_millis(&self) -> u64 {
        SILENCE_LEAST_MILLIS.max(self.objective_millis * 4).max(self.gap_millis * 8)
    }

    /// Whether its requests may run more than once.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NotRepeatable => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// A service and its part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWeight {
    /// The service's name.
    pub service: String,
    /// Its weight among the route's services.
    pub weight: f64,
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRow {
    /// Connections that one of its endpoints accepts from all VMs together.
    pub connections: u32,
    /// What its endpoints are, if they are model engines.
    pub engine: Option<EngineSpec>,
    /// Where it stands, if it is a store of kept cache.
    pub store: Option<StoreSpec>,
    /// What its endpoints bear while they are cold.
    pub cold: ColdSpec,
}

/// What an endpoint bears while it is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdSpec {
    /// How long one that has started without a word about it is taken for cold, in milliseconds.
    pub start_millis: u64,
    /// Requests a second from all VMs together; zero if it bears as many as a warm one.
    pub per_s: f64,
}

/// What all engines of a service have in common.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for running requests and cached parts, in tokens.
    pub memory_tokens: u64,
    /// Bytes of one token's cached state.
    pub token_bytes: u64,
    /// Models that the engines serve.
    pub models: Vec<String>,
}

/// A store of kept cache.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSpec {
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its room in tokens.
    pub tokens: u64,
    /// Its link in megabits a second.
    pub link_mbps: f64,
    /// Wait before each move, in milliseconds.
    pub first_millis: f64,
    /// Bytes of one token's cached state.
    pub token_bytes: u64,
    /// Calls for news that it holds back at once, from all VMs together.
    pub max_long_polls: u32,
}

/// One client account.
#[derive(Clone, Default, PartialEq)]
pub struct AccountRow {
    /// Its name.
    pub name: String,
    /// Keys that its callers present.
    pub keys: Vec<String>,
    /// Its rank, if it goes before the route's.
    pub priority: Option<u8>,
    /// Whether no cached part may be shared with other accounts.
    pub isolated: bool,
    /// Regions that its requests may be served in; empty means anywhere.
    pub homes: Vec<String>,
}

impl fmt::Debug for AccountRow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Keys are secrets: only their number is shown.
        formatter
            .debug_struct("AccountRow")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .field("isolated", &self.isolated)
            .field("homes", &self.homes)
            .finish()
    }
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Longest head, in bytes.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Time that a connection may be idle, in milliseconds.
    pub idle_millis: u64,
    /// Time that a caller may take for a head, in milliseconds.
    pub header_millis: u64,
}

impl Default for RequestLimits {
    /// Customary limits of HTTP servers, until a configuration names its own.
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 4 << 20, idle_millis: 15_000, header_millis: 10_000 }
    }
}

/// One running endpoint as service discovery tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its id. An endpoint may start again under the id that it had.
    pub id: String,
    /// Time of day of its start in milliseconds, if its platform tells starts apart: it holds and knows nothing of before.
    pub born_millis: Option<u64>,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// The version of its software.
    pub version: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it has said that it is leaving.
    pub draining: bool,
    /// How long it stays cold, in milliseconds, from when this was written; none if it does not tell.
    pub cold_millis: Option<u64>,
    /// Weight versions by model.
    pub weights: Arc<BTreeMap<String, u64>>,
}

impl EndpointEntry {
    /// The key of this start of the endpoint.
    pub fn key(&self) -> EndpointKey {
        EndpointKey::of_start(&self.id, self.born_millis)
    }
}

/// The weight version that a model's engines should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightTarget {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Weight versions by model.
    pub weights: BTreeMap<String, u64>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Time of day of its start in milliseconds, if it was told.
    pub born_millis: Option<u64>,
    /// Orders that it has taken since then.
    pub orders_taken: u64,
    /// The engines' clock at the answer, in milliseconds, if it was told.
    pub clock_millis: Option<u64>,
    /// Milliseconds until it ends, if it leaves; zero if it tells no time.
    pub departure_delay_millis: Option<u64>,
}

/// One change of what a store of kept cache holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheChange {
    /// The text under which the part is shared.
    pub salt: String,
    /// The part.
    pub part: u64,
    /// The part's identity as the store writes it.
    pub segment_text: String,
    /// Tokens that are held from now on; zero if the part is gone.
    pub tokens: u32,
}

/// What a store of kept cache tells: changes since the last call, or all that it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheUpdate {
    /// Differs at each start of the store.
    pub incarnation: u64,
    /// Where the next call goes on.
    pub next: u64,
    /// Whether changes in between are lost.
    pub gap: bool,
    /// The engines' clock at the answer, in milliseconds, if it was told.
    pub clock_millis: Option<u64>,
    /// The changes, or the parts held.
    pub changes: Vec<CacheChange>,
    /// Salts and parts that broke off on their way and take room; told by listings only.
    pub broken: Vec<(String, String)>,
}

/// One part of a prompt: its identity and size, as the caller states them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Short digest of the part's identity.
    pub key: u64,
    /// Its tokens.
    pub tokens: u32,
}
