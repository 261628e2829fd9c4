//! Types of a deployment: routes, services, client accounts, endpoints and weight versions.
//!
//! Invariant: these types do not depend on a platform's formats. An adapter decodes a platform's data into
//! them once; no other code reads the platform's formats.

use crate::EndpointKey;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// The active configuration, decoded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeploymentConfig {
    /// Its version; versions increase, by irregular steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteRow>,
    /// All services by name.
    pub services: BTreeMap<String, ServiceRow>,
    /// All client accounts.
    pub accounts: Vec<AccountRow>,
    /// Limits of what a caller may send.
    pub limits: RequestLimits,
}

/// Shortest time without an event after which callers abandon a stream, in milliseconds.
///
/// The documentation for callers states it.
const MIN_STREAM_IDLE_TIMEOUT_MILLIS: u64 = 2_000;

/// How often requests of a route may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouteKind {
    /// More than once.
    Idempotent,
    /// At most once for each attempt of the caller.
    #[default]
    NotRepeatable,
    /// An event stream; may run more than once only if the route is resumable.
    Stream,
}

/// One route: the requests that it matches and how they are served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteRow {
    /// Its name.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// How often its requests may run.
    pub kind: RouteKind,
    /// Services with their weights; each request goes to one of them.
    pub targets: Vec<ServiceWeight>,
    /// Timeout of a request, in milliseconds.
    pub timeout_millis: u64,
    /// Latency objective in milliseconds; for streams, until the first event.
    pub objective_millis: u64,
    /// Longest interval between events at which a stream meets its objective, in milliseconds.
    pub gap_millis: u64,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Maximum number of endpoints to which one attempt of the caller may be sent.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may be resumed at another engine.
    pub resumable: bool,
    /// Regions in which its requests may be served; empty means anywhere.
    pub homes: Vec<String>,
}

impl RouteRow {
    /// Returns the time without an event after which callers abandon a stream, in milliseconds.
    ///
    /// The documentation for callers states it.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::RouteRow;
    /// assert_eq!(RouteRow { objective_millis: 1_200, gap_millis: 300, ..RouteRow::default() }.stream_idle_timeout_millis(), 4_800);
    /// ```
    pub fn stream_idle_timeout_millis(&self) -> u64 {
        MIN_STREAM_IDLE_TIMEOUT_MILLIS.max(self.objective_millis * 4).max(self.gap_millis * 8)
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

/// A service and its weight among the services of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWeight {
    /// The service's name.
    pub service: String,
    /// Its weight; it gets requests in proportion.
    pub weight: f64,
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRow {
    /// Connections that each of its endpoints accepts from all VMs together.
    pub connections: u32,
    /// Specification of its endpoints, if they are model engines.
    pub engine: Option<EngineSpec>,
    /// Specification of the store, if the service is a cache store.
    pub store: Option<StoreSpec>,
    /// Limits of its endpoints while they are cold.
    pub cold: ColdSpec,
}

/// Limits of an endpoint while it is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdSpec {
    /// Time for which a started endpoint counts as cold if it reports none, in milliseconds.
    pub default_cold_millis: u64,
    /// Requests a second from all VMs together.
    ///
    /// Zero if it accepts as many as a warm endpoint.
    pub per_s: f64,
}

/// Specification of all engines of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Memory for running requests and cached segments, in tokens.
    pub memory_tokens: u64,
    /// Bytes of one token's cached state.
    pub token_bytes: u64,
    /// Models that the engines serve.
    pub models: Vec<String>,
}

/// Specification of a cache store, which stores cached segments of prompts for engines.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSpec {
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its capacity in tokens.
    pub tokens: u64,
    /// Capacity of its link, in megabits a second.
    pub link_mbps: f64,
    /// Fixed latency of each transfer, in milliseconds.
    pub transfer_latency_millis: f64,
    /// Bytes of one token's cached state.
    pub token_bytes: u64,
    /// Long polls for updates that it accepts concurrently, from all VMs together.
    pub max_long_polls: u32,
}

/// One client account.
#[derive(Clone, Default, PartialEq)]
pub struct AccountRow {
    /// Its name.
    pub name: String,
    /// Keys that its callers present.
    pub keys: Vec<String>,
    /// Priority of its requests, if it overrides the route's.
    pub priority: Option<u8>,
    /// Whether no cached segment may be shared with other accounts.
    pub isolated: bool,
    /// Regions in which its requests may be served; empty means anywhere.
    pub homes: Vec<String>,
}

impl fmt::Debug for AccountRow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Keys are secrets, so only their number is written.
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

/// Limits of what a caller may send, and of the time that it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Longest header section, in bytes.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_millis: u64,
    /// Timeout for receiving a header section, in milliseconds.
    pub header_millis: u64,
}

impl Default for RequestLimits {
    /// Returns common limits of HTTP servers, used until a configuration sets its own.
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 4 << 20, idle_millis: 15_000, header_millis: 10_000 }
    }
}

/// One running endpoint as service discovery lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its id; an endpoint may restart under the same id.
    pub id: String,
    /// Wall-clock time of its start in milliseconds, if its platform distinguishes starts.
    ///
    /// The endpoint has no state from before its start.
    pub born_millis: Option<u64>,
    /// Name of its service.
    pub service: String,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// The version of its software.
    pub version: Arc<str>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it reported that it is departing.
    pub draining: bool,
    /// Time for which it stays cold, in milliseconds; `None` if not reported.
    ///
    /// The time counts from when the entry is written.
    pub cold_millis: Option<u64>,
    /// Weight versions by model.
    pub weights: Arc<BTreeMap<String, u64>>,
}

impl EndpointEntry {
    /// Returns the key that identifies this start of the endpoint.
    pub fn key(&self) -> EndpointKey {
        EndpointKey::of_incarnation(&self.id, self.born_millis)
    }
}

/// The weight version that a model's engines should load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightTarget {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
}

/// State that an engine reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Weight versions by model.
    pub weights: BTreeMap<String, u64>,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// Wall-clock time of its start in milliseconds, if reported.
    pub born_millis: Option<u64>,
    /// Number of orders that it has accepted since its start.
    pub orders_taken: u64,
    /// The engines' clock at the answer, in milliseconds, if reported.
    pub clock_millis: Option<u64>,
    /// Milliseconds until it stops, if it is departing; zero if it reports no time.
    pub departure_delay_millis: Option<u64>,
}

/// One change of the contents of a cache store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheChange {
    /// Cache salt under which the segment is shared.
    pub cache_salt: String,
    /// Key of the segment.
    pub segment: u64,
    /// Identity of the segment as the store writes it.
    pub segment_text: String,
    /// Tokens that the store contains after the change; zero if the segment was removed.
    pub tokens: u32,
}

/// Report of a cache store: changes since the last call, or its full index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheUpdate {
    /// Differs at each start of the store.
    pub incarnation: u64,
    /// Position from which the next call continues.
    pub next: u64,
    /// Whether changes since the last call were lost.
    pub gap: bool,
    /// The engines' clock at the answer, in milliseconds, if reported.
    pub clock_millis: Option<u64>,
    /// The changes, or all segments stored.
    pub changes: Vec<CacheChange>,
    /// Cache salts and identities of segments whose transfer broke off.
    ///
    /// They occupy space in the store. Only a full index contains them.
    pub broken_segments: Vec<(String, String)>,
}

/// One segment of a prompt: its identity and size, as the caller states them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Short digest of the segment's identity.
    pub key: u64,
    /// Its number of tokens.
    pub tokens: u32,
}
