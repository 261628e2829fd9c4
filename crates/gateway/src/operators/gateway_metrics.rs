//! The gateway's metrics, in the Prometheus text form.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// One label of a metric: what kind.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct KindLabel {
    /// The kind.
    pub kind: String,
}

impl KindLabel {
    /// The label of `kind`.
    ///
    /// # Examples
    /// ```
    /// assert_eq!(spanfold_gateway::KindLabel::new("list").kind, "list");
    /// ```
    pub fn new(kind: &str) -> Self {
        Self { kind: kind.to_owned() }
    }
}

/// How many endpoints get less work than others, and why.
#[derive(Debug)]
pub(crate) struct FleetGauges {
    /// Endpoints that VMs could not reach, and that have answered none since.
    pub doubted_endpoints: Gauge,
    /// Data centres whose endpoints get no work because the operator asked for that.
    pub evacuated_data_centres: Gauge,
    /// Endpoints that are cold, and bear less than warm ones.
    pub cold_endpoints: Gauge,
    /// Endpoints that name a limit.
    pub limited_endpoints: Gauge,
    /// Endpoints that said in an answer that they leave.
    pub leaving_endpoints: Gauge,
    /// Endpoints that asked this VM for a rest.
    pub resting_endpoints: Gauge,
}

impl FleetGauges {
    fn register(registry: &mut Registry) -> Self {
        let gauges = Self {
            doubted_endpoints: Gauge::default(),
            evacuated_data_centres: Gauge::default(),
            cold_endpoints: Gauge::default(),
            limited_endpoints: Gauge::default(),
            leaving_endpoints: Gauge::default(),
            resting_endpoints: Gauge::default(),
        };
        let suspected = gauges.doubted_endpoints.clone();
        registry.register("doubted_endpoints", "Endpoints that VMs could not reach", suspected);
        let evacuated = gauges.evacuated_data_centres.clone();
        registry.register("evacuated_data_centres", "Data centres that get no work, as asked", evacuated);
        let cold = gauges.cold_endpoints.clone();
        registry.register("cold_endpoints", "Endpoints that are cold and bear less", cold);
        let limited = gauges.limited_endpoints.clone();
        registry.register("limited_endpoints", "Endpoints that name a limit", limited);
        let leaving = gauges.leaving_endpoints.clone();
        registry.register("leaving_endpoints", "Endpoints that said in an answer that they leave", leaving);
        let resting = gauges.resting_endpoints.clone();
        registry.register("resting_endpoints", "Endpoints that asked this VM for a rest", resting);
        gauges
    }
}

/// What is held for callers that send or read slowly.
#[derive(Debug)]
pub(crate) struct MemoryMetrics {
    /// Bytes held.
    pub held_bytes: Gauge,
    /// Requests ended because they held most when memory ran out, by what they held.
    pub ends: Family<KindLabel, Counter>,
}

impl MemoryMetrics {
    fn register(registry: &mut Registry) -> Self {
        let metrics = Self { held_bytes: Gauge::default(), ends: Family::default() };
        registry.register("held_bytes", "Bytes held for slow callers", metrics.held_bytes.clone());
        registry.register("memory_ends", "Requests ended for want of memory", metrics.ends.clone());
        metrics
    }
}

/// Messages between VMs, by kind.
#[derive(Debug)]
pub(crate) struct PeerCounters {
    /// Messages of other VMs.
    pub messages: Family<KindLabel, Counter>,
    /// Their bytes.
    pub bytes: Family<KindLabel, Counter>,
    /// Bytes of messages to other VMs.
    pub bytes_sent: Family<KindLabel, Counter>,
    /// Messages to other VMs that the system did not take: too large, or no way there.
    pub unsent: Family<KindLabel, Counter>,
}

impl PeerCounters {
    fn register(registry: &mut Registry) -> Self {
        let counters = Self {
            messages: Family::default(),
            bytes: Family::default(),
            bytes_sent: Family::default(),
            unsent: Family::default(),
        };
        registry.register("peer_messages", "Messages of other VMs, by kind", counters.messages.clone());
        registry.register("peer_bytes", "Bytes of messages of other VMs, by kind", counters.bytes.clone());
        let bytes_sent = counters.bytes_sent.clone();
        registry.register("peer_bytes_sent", "Bytes of messages to other VMs, by kind", bytes_sent);
        let unsent = counters.unsent.clone();
        registry.register("peer_unsent", "Messages that the system did not take, by kind", unsent);
        counters
    }
}

/// All metrics of one gateway.
#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    registry: Registry,
    pub answers: Family<KindLabel, Counter>,
    pub sends: Family<KindLabel, Counter>,
    pub store_calls: Family<KindLabel, Counter>,
    pub orders: Family<KindLabel, Counter>,
    pub first_event_seconds: Histogram,
    pub prompt_tokens: Counter,
    pub kept_tokens: Counter,
    pub configuration_version: Gauge,
    /// Revision of the store up to which all changes are applied.
    pub store_revision: Gauge,
    /// How often the store has been restored from a copy.
    pub store_era: Gauge,
    /// Answers of the store whose era was no number, or over.
    pub odd_eras: Family<KindLabel, Counter>,
    /// Newest revision of the store that this VM was told of; beyond `store_revision` it lacks changes.
    pub told_revision: Gauge,
    /// Messages between VMs.
    pub peers: PeerCounters,
    pub open_requests: Gauge,
    /// Entries of endpoints that could not be read, by cause.
    pub unreadable_entries: Family<KindLabel, Counter>,
    /// Requests that were at an endpoint's end, by who says so: this VM or another one.
    pub quarantine_reports: Family<KindLabel, Counter>,
    /// Holds, by what became of them here.
    pub quarantine_holds: Family<KindLabel, Counter>,
    /// Requests that this VM turned away because endpoints end under them.
    pub turned_away: Counter,
    /// Requests that are held back now.
    pub held_requests: Gauge,
    /// Limits that endpoints named in answers to this VM, by what was said.
    pub limit_reports: Family<KindLabel, Counter>,
    /// Departures of endpoints, by source.
    pub departures: Family<KindLabel, Counter>,
    /// Answers that asked for a rest, by what was said.
    pub rests: Family<KindLabel, Counter>,
    /// Copies of all endpoints that VMs asked this one for, by answer.
    pub endpoint_copies: Family<KindLabel, Counter>,
    /// What is held for callers that send or read slowly.
    pub memory: MemoryMetrics,
    /// Moves of services to other versions, by what became of them here.
    pub rollouts: Family<KindLabel, Counter>,
    /// Endpoints that get less work than others.
    pub fleet: FleetGauges,
}

impl GatewayMetrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("spanfold_gateway");
        let answers = Family::<KindLabel, Counter>::default();
        let sends = Family::<KindLabel, Counter>::default();
        let store_calls = Family::<KindLabel, Counter>::default();
        let orders = Family::<KindLabel, Counter>::default();
        let first_event_seconds = first_event_histogram();
        let (prompt_tokens, kept_tokens) = (Counter::default(), Counter::default());
        let peers = PeerCounters::register(&mut registry);
        let (configuration_version, open_requests) = (Gauge::default(), Gauge::default());
        let (store_revision, told_revision) = <(Gauge, Gauge)>::default();
        registry.register("store_revision", "Revision of the store that is applied", store_revision.clone());
        registry.register("told_revision", "Newest revision that this VM was told of", told_revision.clone());
        let (store_era, odd_eras) = (Gauge::default(), Family::<KindLabel, Counter>::default());
        registry.register("store_era", "How often the store was restored from a copy", store_era.clone());
        registry.register("odd_eras", "Answers of the store of no era, or an old one", odd_eras.clone());
        registry.register("answers", "Ended requests, by outcome", answers.clone());
        registry.register("sends", "Sends to endpoints, by outcome", sends.clone());
        registry.register("store_calls", "Calls to the platform's store, by kind", store_calls.clone());
        registry.register("orders", "Orders to engines, by outcome", orders.clone());
        registry.register(
            "first_event_seconds",
            "Time from a request to its first event or answer",
            first_event_seconds.clone(),
        );
        registry.register("prompt_tokens", "Prompt tokens sent to engines", prompt_tokens.clone());
        registry.register("kept_tokens", "Of these, tokens believed kept there", kept_tokens.clone());
        registry.register("configuration_version", "Version in force", configuration_version.clone());
        let unreadable_entries = Family::<KindLabel, Counter>::default();
        registry.register(
            "unreadable_entries",
            "Entries of endpoints that could not be read, by cause",
            unreadable_entries.clone(),
        );
        let quarantine_reports = Family::<KindLabel, Counter>::default();
        registry.register(
            "quarantine_reports",
            "Requests that were at an endpoint's end, by who says so",
            quarantine_reports.clone(),
        );
        let quarantine_holds = Family::<KindLabel, Counter>::default();
        registry.register(
            "quarantine_holds",
            "Holds of requests, by what became of them",
            quarantine_holds.clone(),
        );
        let (turned_away, held_requests) = (Counter::default(), Gauge::default());
        registry.register(
            "turned_away",
            "Requests turned away because endpoints end under them",
            turned_away.clone(),
        );
        registry.register("held_requests", "Requests that are held back", held_requests.clone());
        registry.register("open_requests", "Requests in flight at this VM", open_requests.clone());
        let limit_reports = Family::<KindLabel, Counter>::default();
        registry.register(
            "limit_reports",
            "Limits that endpoints named, by what was said",
            limit_reports.clone(),
        );
        let (departures, rests) = (Family::<KindLabel, Counter>::default(), Family::default());
        registry.register("departures", "Departures of endpoints, by source", departures.clone());
        registry.register("rests", "Answers that asked for a rest, by what was said", rests.clone());
        let memory = MemoryMetrics::register(&mut registry);
        let (endpoint_copies, rollouts) =
            <(Family<KindLabel, Counter>, Family<KindLabel, Counter>)>::default();
        registry.register("endpoint_copies", "Copies of all endpoints asked for", endpoint_copies.clone());
        registry.register("rollouts", "Moves of services to other versions, by step", rollouts.clone());
        let fleet = FleetGauges::register(&mut registry);
        Self {
            registry,
            answers,
            sends,
            store_calls,
            orders,
            first_event_seconds,
            prompt_tokens,
            kept_tokens,
            configuration_version,
            store_revision,
            store_era,
            odd_eras,
            told_revision,
            peers,
            open_requests,
            unreadable_entries,
            quarantine_reports,
            quarantine_holds,
            turned_away,
            held_requests,
            limit_reports,
            departures,
            rests,
            endpoint_copies,
            memory,
            rollouts,
            fleet,
        }
    }

    /// The text form.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }
}

/// From 2 ms, doubling, to about 8 s: from a plain answer to a late first event.
fn first_event_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.002, 2.0, 13))
}
