//! Metrics of the gateway in the Prometheus text format.

use crate::requests::request_context::MAX_PRIORITY;
use crate::{CostModel, PathState, ViewAges};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;

/// Label `kind` of a metric.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct KindLabel {
    /// Value of the label.
    pub kind: String,
}

impl KindLabel {
    /// Creates the label with the value `kind`.
    ///
    /// # Examples
    /// ```
    /// assert_eq!(spanfold_gateway::KindLabel::new("list").kind, "list");
    /// ```
    pub fn new(kind: &str) -> Self {
        Self { kind: kind.to_owned() }
    }
}

/// Label `service` of a metric.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ServiceLabel {
    /// Name of the service.
    pub service: String,
}

/// How evenly the endpoints of each service are loaded.
#[derive(Debug, Default)]
pub(crate) struct SpreadMetrics {
    /// Coefficient of variation of work in flight divided by places, in the last sample.
    pub load_variation: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// Ratio of recent streams with a pause over their route's bound.
    pub overlong_pause_ratio: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// Time in which an endpoint was overrun while another one of its data centre was underused.
    pub overrun_beside_idle_seconds: Family<ServiceLabel, Counter<f64, AtomicU64>>,
}

impl SpreadMetrics {
    fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Variation of the load of a service's endpoints";
        registry.register("load_variation", help, metrics.load_variation.clone());
        let help = "Ratio of this VM's recent streams with a pause over their route's bound";
        registry.register("overlong_pause_ratio", help, metrics.overlong_pause_ratio.clone());
        let help = "Time with an endpoint over its places beside one of its data centre under half";
        registry.register("overrun_beside_idle_seconds", help, metrics.overrun_beside_idle_seconds.clone());
        metrics
    }
}

/// Counts of endpoints that get less work than others, by reason.
#[derive(Debug)]
pub(crate) struct FleetGauges {
    /// Endpoints that are suspected: VMs could not reach them, and they have answered none since.
    pub doubted_endpoints: Gauge,
    /// Endpoints that are skipped now on other VMs' reports.
    pub avoided_endpoints: Gauge,
    /// Avoidances that other VMs' reports began here.
    pub avoidances: Counter,
    /// Data centres that the operator evacuated: their endpoints get no work.
    pub evacuated_data_centres: Gauge,
    /// Cold endpoints, which take less load than warm ones.
    pub cold_endpoints: Gauge,
    /// Endpoints that reported a limit.
    pub limited_endpoints: Gauge,
    /// Endpoints that announced their departure in an answer.
    pub leaving_endpoints: Gauge,
    /// Endpoints that are backing off: they asked this VM for a backoff.
    pub resting_endpoints: Gauge,
    /// Endpoints without an entry that get work until their grace periods end.
    pub unlisted_endpoints: Gauge,
    /// How late this VM applied each departure at most: the time since the store last confirmed that the
    /// endpoint was listed, and the grace period that follows.
    pub departure_lateness_seconds: Histogram,
    /// Age that placement assumes of other VMs' loads, by reporter: local or remote.
    view_age_seconds: Family<KindLabel, Gauge<f64, AtomicU64>>,
}

impl FleetGauges {
    fn register(registry: &mut Registry) -> Self {
        let gauges = Self {
            doubted_endpoints: Gauge::default(),
            avoided_endpoints: Gauge::default(),
            avoidances: Counter::default(),
            evacuated_data_centres: Gauge::default(),
            cold_endpoints: Gauge::default(),
            limited_endpoints: Gauge::default(),
            leaving_endpoints: Gauge::default(),
            resting_endpoints: Gauge::default(),
            unlisted_endpoints: Gauge::default(),
            departure_lateness_seconds: Histogram::new(exponential_buckets(0.02, 2.0, 11)),
            view_age_seconds: Family::default(),
        };
        let suspected = gauges.doubted_endpoints.clone();
        registry.register("doubted_endpoints", "Endpoints that VMs could not reach", suspected);
        let avoided = gauges.avoided_endpoints.clone();
        registry.register("avoided_endpoints", "Endpoints skipped on other VMs' reports", avoided);
        let avoidances = gauges.avoidances.clone();
        registry.register("avoidances", "Avoidances of endpoints begun on other VMs' reports", avoidances);
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
        let unlisted = gauges.unlisted_endpoints.clone();
        registry.register("unlisted_endpoints", "Endpoints that are served without an entry", unlisted);
        let lateness = gauges.departure_lateness_seconds.clone();
        let help = "Time from the last confirmation of an endpoint's entry until it got no more work";
        registry.register("departure_lateness_seconds", help, lateness);
        let view_age = gauges.view_age_seconds.clone();
        registry.register("view_age_seconds", "Age that placement assumes of other VMs' loads", view_age);
        gauges
    }

    pub(crate) fn set_view_ages(&self, ages: ViewAges) {
        for (kind, micros) in [("local", ages.local_micros), ("remote", ages.remote_micros)] {
            self.view_age_seconds.get_or_create(&KindLabel::new(kind)).set(micros / 1_000_000.0);
        }
    }
}

/// Learned costs, by service.
#[derive(Debug)]
pub(crate) struct CostGauges {
    offset_seconds: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    token_seconds: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    samples: Family<ServiceLabel, Gauge>,
}

impl CostGauges {
    fn register(registry: &mut Registry) -> Self {
        let gauges = Self {
            offset_seconds: Family::default(),
            token_seconds: Family::default(),
            samples: Family::default(),
        };
        let help = "Learned time to a first event without prefill, by service";
        registry.register("learned_offset_seconds", help, gauges.offset_seconds.clone());
        let help = "Learned prefill time of a prompt token, by service";
        registry.register("learned_token_seconds", help, gauges.token_seconds.clone());
        let help = "First events that the learned costs were estimated from, by service";
        registry.register("learned_cost_samples", help, gauges.samples.clone());
        gauges
    }

    /// Sets the gauges of `models`, and removes those of other services.
    pub(crate) fn set<'a>(&self, models: impl Iterator<Item = (&'a str, &'a CostModel)>) {
        self.offset_seconds.clear();
        self.token_seconds.clear();
        self.samples.clear();
        for (service, model) in models {
            let label = ServiceLabel { service: service.to_owned() };
            let costs = model.costs();
            self.offset_seconds.get_or_create(&label).set(costs.offset_micros / 1e6);
            self.token_seconds.get_or_create(&label).set(costs.token_micros / 1e6);
            self.samples.get_or_create(&label).set(model.answers() as i64);
        }
    }
}

/// Gauges of this VM's path to the endpoints: one of them is 1 while the path is lost.
#[derive(Debug)]
pub(crate) struct PathGauges {
    pooled_only: Gauge,
    cut: Gauge,
}

impl PathGauges {
    fn register(registry: &mut Registry) -> Self {
        let gauges = Self { pooled_only: Gauge::default(), cut: Gauge::default() };
        let help = "Whether only open connections to endpoints work";
        registry.register("path_pooled_only", help, gauges.pooled_only.clone());
        registry.register("path_cut", "Whether this VM reaches no endpoint", gauges.cut.clone());
        gauges
    }

    pub(crate) fn set(&self, state: PathState) {
        self.pooled_only.set(i64::from(state == PathState::PooledOnly));
        self.cut.set(i64::from(state == PathState::Cut));
    }
}

/// Metrics of bytes buffered for callers that send or read slowly.
#[derive(Debug)]
pub(crate) struct MemoryMetrics {
    /// Bytes buffered now.
    pub held_bytes: Gauge,
    /// Requests aborted when memory ran out, by kind of their bytes.
    ///
    /// These are the requests with the most bytes buffered.
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

/// Metrics of connections from outside.
#[derive(Debug)]
pub(crate) struct ConnectionMetrics {
    /// Open connections of callers.
    pub open: Gauge,
    /// Largest number of them.
    pub limit: Gauge,
    /// Connections that this VM closed or did not accept, by cause.
    pub closed: Family<KindLabel, Counter>,
}

impl ConnectionMetrics {
    fn register(registry: &mut Registry) -> Self {
        let metrics = Self { open: Gauge::default(), limit: Gauge::default(), closed: Family::default() };
        registry.register("caller_connections", "Open connections of callers", metrics.open.clone());
        let help = "Largest number of connections of callers";
        registry.register("caller_connection_limit", help, metrics.limit.clone());
        registry.register("connections_closed", "Connections closed here, by cause", metrics.closed.clone());
        metrics
    }

    pub(crate) fn count_closed(&self, cause: &str) {
        self.closed.get_or_create(&KindLabel::new(cause)).inc();
    }
}

/// Metrics of quarantines of requests, and of parts of prompts, under which endpoints crash.
#[derive(Debug, Default)]
pub(crate) struct QuarantineMetrics {
    /// Requests and segments that an endpoint had when it crashed, by reporter: this VM or another one.
    pub reports: Family<KindLabel, Counter>,
    /// Quarantines by change at this VM.
    pub holds: Family<KindLabel, Counter>,
    /// Requests that this VM refused because endpoints crash while serving them.
    pub turned_away: Counter,
    /// Requests that are quarantined now.
    pub held_requests: Gauge,
    /// Segments that are quarantined now.
    pub held_parts: Gauge,
    /// Requests that this VM refused because of a segment, by the segment's name.
    pub part_refusals: Family<KindLabel, Counter>,
}

impl QuarantineMetrics {
    fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "quarantine_reports",
            "Requests that were at an endpoint's end, by who says so",
            metrics.reports.clone(),
        );
        registry.register(
            "quarantine_holds",
            "Holds of requests, by what became of them",
            metrics.holds.clone(),
        );
        registry.register(
            "turned_away",
            "Requests turned away because endpoints end under them",
            metrics.turned_away.clone(),
        );
        registry.register("held_requests", "Requests that are held back", metrics.held_requests.clone());
        registry.register("held_parts", "Parts of prompts that are held back", metrics.held_parts.clone());
        registry.register(
            "part_refusals",
            "Requests turned away because endpoints end under a part of their prompts, by part",
            metrics.part_refusals.clone(),
        );
        metrics
    }
}

/// The configuration in force, and what requests lost around its changes.
#[derive(Debug)]
pub(crate) struct ConfigurationMetrics {
    /// Version in force.
    pub version: Gauge,
    /// When the version took effect, in seconds since 1970.
    pub since_seconds: Gauge,
    /// How late each version took effect here at most: the time since the store last confirmed that the
    /// previous one was current.
    pub lateness_seconds: Histogram,
    /// Requests that were read whole and have no whole answer, by cause.
    pub unanswered: Family<KindLabel, Counter>,
}

impl ConfigurationMetrics {
    fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            version: Gauge::default(),
            since_seconds: Gauge::default(),
            lateness_seconds: Histogram::new(exponential_buckets(0.02, 2.0, 11)),
            unanswered: Family::default(),
        };
        registry.register("configuration_version", "Version in force", metrics.version.clone());
        let since_seconds = metrics.since_seconds.clone();
        registry.register("configuration_since_seconds", "When the version took effect", since_seconds);
        let lateness_seconds = metrics.lateness_seconds.clone();
        let help = "Time from the last confirmation of the earlier version until a version took effect";
        registry.register("configuration_lateness_seconds", help, lateness_seconds);
        let unanswered = metrics.unanswered.clone();
        registry.register("unanswered", "Requests without a whole answer, by cause", unanswered);
        metrics
    }
}

/// Counters of messages between VMs, by kind of message.
#[derive(Debug)]
pub(crate) struct PeerCounters {
    /// Messages received from other VMs.
    pub messages: Family<KindLabel, Counter>,
    /// Bytes of these messages.
    pub bytes: Family<KindLabel, Counter>,
    /// Bytes of messages to other VMs.
    pub bytes_sent: Family<KindLabel, Counter>,
    /// Messages to other VMs that the operating system refused: too large, or no route.
    pub unsent: Family<KindLabel, Counter>,
    /// Messages about the store that were dropped while earlier ones waited to be applied.
    pub dropped: Family<KindLabel, Counter>,
}

impl PeerCounters {
    fn register(registry: &mut Registry) -> Self {
        let counters = Self {
            messages: Family::default(),
            bytes: Family::default(),
            bytes_sent: Family::default(),
            unsent: Family::default(),
            dropped: Family::default(),
        };
        registry.register("peer_messages", "Messages of other VMs, by kind", counters.messages.clone());
        registry.register("peer_bytes", "Bytes of messages of other VMs, by kind", counters.bytes.clone());
        let bytes_sent = counters.bytes_sent.clone();
        registry.register("peer_bytes_sent", "Bytes of messages to other VMs, by kind", bytes_sent);
        let unsent = counters.unsent.clone();
        registry.register("peer_unsent", "Messages that the system did not take, by kind", unsent);
        let dropped = counters.dropped.clone();
        registry.register("peer_dropped", "Messages about the store dropped for want of room", dropped);
        counters
    }
}

/// Metrics of requests between VMs.
#[derive(Debug)]
pub(crate) struct ForwardMetrics {
    /// Forwarded requests, by what became of them at this VM.
    forwards: Family<KindLabel, Counter>,
    /// Requests that this VM has at other VMs now.
    pub in_flight: Gauge,
}

impl ForwardMetrics {
    fn register(registry: &mut Registry) -> Self {
        let metrics = Self { forwards: Family::default(), in_flight: Gauge::default() };
        let forwards = metrics.forwards.clone();
        registry.register("forwards", "Requests passed between VMs, by what became of them", forwards);
        registry.register("forwards_in_flight", "Requests at other VMs", metrics.in_flight.clone());
        metrics
    }

    /// Counts a forwarded request.
    pub(crate) fn count(&self, kind: &str) {
        self.forwards.get_or_create(&KindLabel::new(kind)).inc();
    }
}

/// Metrics of the software versions of streams.
#[derive(Debug)]
pub(crate) struct StreamMetrics {
    /// Requests that resume a stream, by result.
    resumptions: Family<KindLabel, Counter>,
    /// Copies of streams' records at other VMs, by what became of them.
    copies: Family<KindLabel, Counter>,
    /// Streams whose version this VM has recorded.
    pub records: Gauge,
    /// Records that were evicted before their time.
    pub evictions: Counter,
}

impl StreamMetrics {
    fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            resumptions: Family::default(),
            copies: Family::default(),
            records: Gauge::default(),
            evictions: Counter::default(),
        };
        let copies = metrics.copies.clone();
        registry.register("stream_copies", "Copies of records of streams at other VMs, by kind", copies);
        let resumptions = metrics.resumptions.clone();
        registry.register("resumptions", "Streams that callers resume, by result", resumptions);
        registry.register("stream_records", "Streams with a recorded version", metrics.records.clone());
        let evictions = metrics.evictions.clone();
        registry.register("stream_evictions", "Records of streams evicted before their time", evictions);
        metrics
    }

    /// Counts copies of records, or records that lack some.
    pub(crate) fn count_copies(&self, kind: &str, count: usize) {
        self.copies.get_or_create(&KindLabel::new(kind)).inc_by(count as u64);
    }

    /// Counts a request that resumes a stream.
    pub(crate) fn count_resumption(&self, kind: &str) {
        self.resumptions.get_or_create(&KindLabel::new(kind)).inc();
    }
}

/// Metrics of the weights on which requests begin.
#[derive(Debug)]
pub(crate) struct WeightMetrics {
    /// Requests that began at engines, by their weights.
    starts: Family<KindLabel, Counter>,
    /// Time left until the weights were overdue, of requests that began on older ones.
    pub margin_seconds: Histogram,
    /// How late this VM applied each publication at most: the time since the store last confirmed that there
    /// was none.
    pub lateness_seconds: Histogram,
}

impl WeightMetrics {
    fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            starts: Family::default(),
            margin_seconds: Histogram::new(exponential_buckets(0.05, 2.0, 10)),
            lateness_seconds: Histogram::new(exponential_buckets(0.02, 2.0, 11)),
        };
        let help = "Requests that began while newer weights are published or were, by their weights";
        registry.register("weight_starts", help, metrics.starts.clone());
        let help = "Time left until older weights were overdue when a request began on them";
        registry.register("weight_margin_seconds", help, metrics.margin_seconds.clone());
        let help = "Time from the last confirmation that weights were the newest until newer ones were known";
        registry.register("weight_lateness_seconds", help, metrics.lateness_seconds.clone());
        metrics
    }

    /// Counts a request that began on the newest, on older, on overdue or on unknown weights.
    pub(crate) fn count_start(&self, kind: &str) {
        self.starts.get_or_create(&KindLabel::new(kind)).inc();
    }
}

/// Metrics of prompts that wait for engine memory in order.
#[derive(Debug)]
pub(crate) struct PromptMetrics {
    /// Prompts that wait now, by priority.
    waiting: Family<KindLabel, Gauge>,
    /// Time for which prompts waited until they were sent, by priority.
    wait_seconds: Family<KindLabel, Histogram>,
    /// Retry times of refused prompts, by priority.
    retry_seconds: Family<KindLabel, Histogram>,
}

impl PromptMetrics {
    fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            waiting: Family::default(),
            wait_seconds: Family::new_with_constructor(prompt_histogram),
            retry_seconds: Family::new_with_constructor(prompt_histogram),
        };
        let waiting = metrics.waiting.clone();
        registry.register(
            "waiting_prompts",
            "Prompts waiting in order for engine memory, by priority",
            waiting,
        );
        let wait_seconds = metrics.wait_seconds.clone();
        let help = "Time for which prompts waited in order until they were sent, by priority";
        registry.register("prompt_wait_seconds", help, wait_seconds);
        let retry_seconds = metrics.retry_seconds.clone();
        let help = "Retry times assigned to refused prompts, by priority";
        registry.register("prompt_retry_seconds", help, retry_seconds);
        metrics
    }

    /// Sets the number of waiting prompts of each priority; zero where `counts` has none.
    pub(crate) fn set_waiting(&self, counts: &BTreeMap<u8, usize>) {
        for priority in 0..=MAX_PRIORITY {
            let count = counts.get(&priority).copied().unwrap_or_default();
            self.waiting.get_or_create(&priority_label(priority)).set(count as i64);
        }
    }

    /// Records for how long a prompt waited that is sent.
    pub(crate) fn record_wait(&self, priority: u8, micros: u64) {
        self.wait_seconds.get_or_create(&priority_label(priority)).observe(micros as f64 / 1e6);
    }

    /// Records the retry time of a refused prompt.
    pub(crate) fn record_retry(&self, priority: u8, millis: u64) {
        self.retry_seconds.get_or_create(&priority_label(priority)).observe(millis as f64 / 1e3);
    }
}

/// Creates buckets from 10 ms, doubling, to about 10 s: from half a poll interval to the longest retry times.
fn prompt_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.01, 2.0, 11))
}

fn priority_label(priority: u8) -> KindLabel {
    KindLabel::new(&priority.to_string())
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
    pub configuration: ConfigurationMetrics,
    /// Revision of the store up to which this VM has applied all changes.
    pub store_revision: Gauge,
    /// Era of the store: counts its restorations from a backup.
    pub store_era: Gauge,
    /// Answers of the store with an invalid era, or a lower one than the current.
    pub odd_eras: Family<KindLabel, Counter>,
    /// When the store last confirmed, to this VM or another one, that this VM has all changes, in seconds since
    /// 1970.
    pub store_confirmed_seconds: Gauge,
    /// Newest revision of the store that was reported to this VM; above `store_revision`, this VM lacks
    /// changes.
    pub told_revision: Gauge,
    /// Counters of messages between VMs.
    pub peers: PeerCounters,
    pub open_requests: Gauge,
    /// Endpoint entries that could not be decoded, by cause.
    pub unreadable_entries: Family<KindLabel, Counter>,
    /// Quarantines, and the evidence for them.
    pub quarantine: QuarantineMetrics,
    /// Limits that endpoints reported in answers, by kind of report; `told`: in answers to another VM.
    pub limit_reports: Family<KindLabel, Counter>,
    /// Departures of endpoints, by source of the announcement.
    pub departures: Family<KindLabel, Counter>,
    /// Answers that asked for a backoff, by state of the header field.
    pub rests: Family<KindLabel, Counter>,
    /// Snapshots of all endpoints that other VMs requested from this one, by answer.
    pub endpoint_copies: Family<KindLabel, Counter>,
    /// Metrics of bytes buffered for callers that send or read slowly.
    pub memory: MemoryMetrics,
    /// Metrics of connections from outside.
    pub connections: ConnectionMetrics,
    /// Rollouts of services, by step at this VM.
    pub rollouts: Family<KindLabel, Counter>,
    /// Counts of endpoints that get less work than others.
    pub fleet: FleetGauges,
    /// How evenly endpoints are loaded.
    pub spread: SpreadMetrics,
    /// Learned costs of services.
    pub costs: CostGauges,
    /// State of this VM's path to the endpoints.
    pub path: PathGauges,
    /// Metrics of requests between VMs.
    pub forwards: ForwardMetrics,
    /// Metrics of the software versions of streams.
    pub streams: StreamMetrics,
    /// Metrics of prompts that wait for engine memory in order.
    pub prompts: PromptMetrics,
    /// Metrics of the weights on which requests begin.
    pub weights: WeightMetrics,
}

impl GatewayMetrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("spanfold_gateway");
        let answers = Family::<KindLabel, Counter>::default();
        let sends = Family::<KindLabel, Counter>::default();
        let (store_calls, orders) = (Family::<KindLabel, Counter>::default(), Family::default());
        let first_event_seconds = first_event_histogram();
        let (prompt_tokens, kept_tokens) = (Counter::default(), Counter::default());
        let peers = PeerCounters::register(&mut registry);
        let configuration = ConfigurationMetrics::register(&mut registry);
        let open_requests = Gauge::default();
        let (store_revision, told_revision) = <(Gauge, Gauge)>::default();
        let store_confirmed_seconds = Gauge::default();
        let help = "When the store last confirmed that all changes are applied";
        registry.register("store_confirmed_seconds", help, store_confirmed_seconds.clone());
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
        let unreadable_entries = Family::<KindLabel, Counter>::default();
        registry.register(
            "unreadable_entries",
            "Entries of endpoints that could not be read, by cause",
            unreadable_entries.clone(),
        );
        let quarantine = QuarantineMetrics::register(&mut registry);
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
        let connections = ConnectionMetrics::register(&mut registry);
        let (endpoint_copies, rollouts) =
            <(Family<KindLabel, Counter>, Family<KindLabel, Counter>)>::default();
        registry.register("endpoint_copies", "Copies of all endpoints asked for", endpoint_copies.clone());
        registry.register("rollouts", "Moves of services to other versions, by step", rollouts.clone());
        Self {
            answers,
            sends,
            store_calls,
            orders,
            first_event_seconds,
            prompt_tokens,
            kept_tokens,
            configuration,
            store_revision,
            store_era,
            odd_eras,
            told_revision,
            store_confirmed_seconds,
            peers,
            open_requests,
            unreadable_entries,
            quarantine,
            limit_reports,
            departures,
            rests,
            endpoint_copies,
            memory,
            connections,
            rollouts,
            fleet: FleetGauges::register(&mut registry),
            spread: SpreadMetrics::register(&mut registry),
            costs: CostGauges::register(&mut registry),
            path: PathGauges::register(&mut registry),
            forwards: ForwardMetrics::register(&mut registry),
            streams: StreamMetrics::register(&mut registry),
            prompts: PromptMetrics::register(&mut registry),
            weights: WeightMetrics::register(&mut registry),
            registry,
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }
}

/// Creates buckets from 2 ms, doubling, to about 8 s.
///
/// A plain answer takes the least time, a late first event the most.
fn first_event_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.002, 2.0, 13))
}
