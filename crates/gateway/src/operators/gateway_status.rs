//! What a gateway tells operators of itself and of what it believes.

use crate::gateway::Gateway;
use crate::rollout::RolloutStatus;
use crate::{EndpointKey, EndpointRow, RateTerms, ShareRight, StorePosition};
use serde::Serialize;
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::sync::atomic::Ordering;

/// The state of one gateway.
#[derive(Debug, Serialize)]
pub(crate) struct GatewayStatus {
    name: String,
    data_centre: String,
    stopping: bool,
    open_requests: u64,
    /// Version of the configuration in force; none until one is known.
    configuration: Option<u64>,
    /// How far this VM has followed the store.
    store: StorePosition,
    endpoints: usize,
    /// Those that are cold and bear less than warm ones.
    cold_endpoints: usize,
    /// Those that name a limit.
    limits: Vec<LimitStatus>,
    /// Endpoints that said in an answer that they leave.
    leaving: Vec<String>,
    /// Endpoints that asked this VM for rest.
    rests: Vec<RestStatus>,
    /// Data centres whose endpoints get no work because the operator asked for that.
    evacuated: Vec<String>,
    /// Moves of services to other versions.
    rollouts: Vec<RolloutStatus>,
}

/// An endpoint that names a limit.
#[derive(Debug, Serialize)]
struct LimitStatus {
    endpoint: String,
    service: String,
    /// Requests a second that it named.
    named_per_s: f64,
    /// Requests a second that all VMs together send it: more than it named once nobody has heard it for long.
    kept_per_s: f64,
    /// This VM's part of them.
    own_per_s: f64,
    /// How long ago an answer named it, in milliseconds.
    reported_ago_ms: u64,
}

impl LimitStatus {
    fn of(key: EndpointKey, row: &EndpointRow, right: Option<&ShareRight>, now: Moment) -> Option<Self> {
        let report = row.limit.report()?;
        let kept_per_s = row.limit.rate(now)?;
        let terms = RateTerms::of_limit(kept_per_s);
        let part = right.map_or(0, |right| right.part(key, &row.entry.data_centre, &terms));
        Some(Self {
            endpoint: row.entry.id.clone(),
            service: row.entry.service.clone(),
            named_per_s: report.per_s?,
            kept_per_s,
            own_per_s: terms.per_s(part),
            reported_ago_ms: now.micros_since(report.received_at) / MICROS_PER_MILLI,
        })
    }
}

/// An endpoint that asked this VM for rest.
#[derive(Debug, Serialize)]
struct RestStatus {
    endpoint: String,
    service: String,
    /// How long the rest still lasts, in milliseconds.
    left_ms: u64,
}

impl RestStatus {
    fn of(row: &EndpointRow, now: Moment) -> Option<Self> {
        let left_ms = row.rest.until(now)?.micros_since(now) / MICROS_PER_MILLI;
        let (endpoint, service) = (row.entry.id.clone(), row.entry.service.clone());
        Some(Self { endpoint, service, left_ms })
    }
}

impl GatewayStatus {
    pub(crate) fn of(gateway: &Gateway) -> Self {
        let now = gateway.now();
        let configuration = gateway.routes().map(|table| table.config().version);
        let right = gateway.share_right();
        let rollouts = RolloutStatus::all(gateway);
        let table = gateway.table();
        let limits = table.rows().filter_map(|(key, row)| LimitStatus::of(key, row, right.as_deref(), now));
        Self {
            name: gateway.settings.name.clone(),
            data_centre: gateway.settings.data_centre.clone(),
            stopping: gateway.is_stopping(),
            open_requests: gateway.open_requests.load(Ordering::Relaxed),
            configuration,
            store: StorePosition {
                era: gateway.era.known().unwrap_or_default(),
                revision: gateway.metrics.store_revision.get() as u64,
            },
            endpoints: table.rows().count(),
            cold_endpoints: table.cold_count(now),
            limits: limits.collect(),
            leaving: table
                .rows()
                .filter(|(_, row)| row.has_departed)
                .map(|(_, row)| row.entry.id.clone())
                .collect(),
            rests: table.rows().filter_map(|(_, row)| RestStatus::of(row, now)).collect(),
            evacuated: table.evacuated(now).map(str::to_owned).collect(),
            rollouts,
        }
    }
}
