//! The daemon's metrics, in the Prometheus text format.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use spanfold_gateway::KindLabel;

/// All metrics of one daemon.
#[derive(Debug)]
pub(crate) struct MetricsTable {
    registry: Registry,
    pub answers: Family<KindLabel, Counter>,
    pub refusals: Family<KindLabel, Counter>,
    pub prompt_tokens: Family<KindLabel, Counter>,
    pub recoveries: Family<KindLabel, Counter>,
    pub claims: Family<KindLabel, Counter>,
    pub platform_calls: Family<KindLabel, Gauge>,
    pub first_token_seconds: Histogram,
    pub events_out: Counter,
    pub exported_blocks: Counter,
    pub control_micros: Counter,
    pub control_events: Counter,
    pub peer_bytes: Gauge,
    pub peer_messages: Gauge,
    pub open_requests: Gauge,
    pub generation: Gauge,
}

impl MetricsTable {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("spanfold");
        let table = Self {
            registry: Registry::default(),
            answers: Family::default(),
            refusals: Family::default(),
            prompt_tokens: Family::default(),
            recoveries: Family::default(),
            claims: Family::default(),
            platform_calls: Family::default(),
            first_token_seconds: Histogram::new(exponential_buckets(0.005, 1.6, 18)),
            events_out: Counter::default(),
            exported_blocks: Counter::default(),
            control_micros: Counter::default(),
            control_events: Counter::default(),
            peer_bytes: Gauge::default(),
            peer_messages: Gauge::default(),
            open_requests: Gauge::default(),
            generation: Gauge::default(),
        };
        registry.register("answers", "Answers to callers, by HTTP status", table.answers.clone());
        registry.register("refusals", "Requests refused as not run, by reason", table.refusals.clone());
        registry.register(
            "prompt_tokens",
            "Prompt tokens, by where their state came from",
            table.prompt_tokens.clone(),
        );
        registry.register("recoveries", "Streams recovered, by way", table.recoveries.clone());
        registry.register("claims", "Claims, by verdict", table.claims.clone());
        registry.register(
            "platform_calls",
            "Calls to the key-value service, by kind",
            table.platform_calls.clone(),
        );
        registry.register("first_token_seconds", "Time to first token", table.first_token_seconds.clone());
        registry.register("events_out", "Streamed events passed on", table.events_out.clone());
        registry.register("exported_pieces", "Pieces written to stores", table.exported_blocks.clone());
        registry.register("control_micros", "Busy time of the control thread", table.control_micros.clone());
        registry.register("control_events", "Events handled by the kernel", table.control_events.clone());
        registry.register("peer_bytes", "Bytes of messages sent to other VMs", table.peer_bytes.clone());
        registry.register("peer_messages", "Messages sent to other VMs", table.peer_messages.clone());
        registry.register("open_requests", "Requests in flight at this VM", table.open_requests.clone());
        registry.register("configuration_generation", "Generation in force", table.generation.clone());
        Self { registry, ..table }
    }

    /// Encodes the metrics in the text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }
}
