//! State of one gateway that `/status` reports to operators.

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
    /// Version of the configuration in force; none until one has been received.
    configuration: Option<u64>,
    /// Position of the store up to which this VM has applied all changes.
    store: StorePosition,
    endpoints: usize,
    /// Whether this VM reaches endpoints: `open`, `pooled_only` or `cut`.
    path: &'static str,
    /// Cold endpoints, which take less load than warm ones.
    cold_endpoints: usize,
    /// Endpoints that reported a limit.
    limits: Vec<LimitStatus>,
    /// Endpoints that announced their departure in an answer.
    leaving: Vec<String>,
    /// Endpoints that asked this VM for a backoff.
    rests: Vec<BackoffStatus>,
    /// Endpoints without an entry that get work, since it expired while the store was away.
    unlisted: Vec<UnlistedStatus>,
    /// Data centres that the operator evacuated: their endpoints get no work.
    evacuated: Vec<String>,
    /// Rollouts of services to other versions.
    rollouts: Vec<RolloutStatus>,
}

/// Status of an endpoint that reported a limit.
#[derive(Debug, Serialize)]
struct LimitStatus {
    endpoint: String,
    service: String,
    /// Reported limit, in requests per second.
    named_per_s: f64,
    /// Limit of all VMs together, in requests per second: above the reported one once that is old.
    kept_per_s: f64,
    /// This VM's share of `kept_per_s`.
    own_per_s: f64,
    /// Age of the report, in milliseconds.
    reported_ago_ms: u64,
}

impl LimitStatus {
    fn of(key: EndpointKey, row: &EndpointRow, right: Option<&ShareRight>, now: Moment) -> Option<Self> {
        let report = row.limit.report()?;
        let kept_per_s = row.limit.rate(now)?;
        let terms = RateTerms::of_limit(kept_per_s);
        let share = right.map_or(0, |right| right.share(key, &row.entry.data_centre, &terms));
        Some(Self {
            endpoint: row.entry.id.clone(),
            service: row.entry.service.clone(),
            named_per_s: report.per_s?,
            kept_per_s,
            own_per_s: terms.per_s(share),
            reported_ago_ms: now.micros_since(report.received_at) / MICROS_PER_MILLI,
        })
    }
}

/// Status of an endpoint that asked this VM for a backoff.
#[derive(Debug, Serialize)]
struct BackoffStatus {
    endpoint: String,
    service: String,
    /// Remaining backoff, in milliseconds.
    left_ms: u64,
}

impl BackoffStatus {
    fn of(row: &EndpointRow, now: Moment) -> Option<Self> {
        let left_ms = row.backoff.until(now)?.micros_since(now) / MICROS_PER_MILLI;
        let (endpoint, service) = (row.entry.id.clone(), row.entry.service.clone());
        Some(Self { endpoint, service, left_ms })
    }
}

/// Status of an endpoint that is served without an entry.
#[derive(Debug, Serialize)]
struct UnlistedStatus {
    endpoint: String,
    service: String,
    /// Time for which it still gets work unless its entry returns, in milliseconds.
    left_ms: u64,
}

impl UnlistedStatus {
    fn of(row: &EndpointRow, now: Moment) -> Option<Self> {
        let deadline = row.grace_deadline.filter(|deadline| now < *deadline)?;
        let left_ms = deadline.micros_since(now) / MICROS_PER_MILLI;
        Some(Self { endpoint: row.entry.id.clone(), service: row.entry.service.clone(), left_ms })
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
            path: gateway.path.borrow().label(),
            cold_endpoints: table.cold_count(now),
            limits: limits.collect(),
            leaving: table
                .rows()
                .filter(|(_, row)| row.has_departed)
                .map(|(_, row)| row.entry.id.clone())
                .collect(),
            rests: table.rows().filter_map(|(_, row)| BackoffStatus::of(row, now)).collect(),
            unlisted: table.rows().filter_map(|(_, row)| UnlistedStatus::of(row, now)).collect(),
            evacuated: table.evacuated(now).map(str::to_owned).collect(),
            rollouts,
        }
    }
}
