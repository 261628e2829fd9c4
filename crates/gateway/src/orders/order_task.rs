//! Executes the weight scheduler's steps while this VM holds the right to order engines.
//!
//! Invariant: an unreachable engine does not delay the order to another one. Calls to engines run
//! concurrently, and each is cancelled when the right expires.

use crate::dialect::{OrderOutcome, WeightOrder};
use crate::endpoints::answer_handler::{AnswerSource, DepartureSource};
use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::store::call_link::CallLink;
use crate::store::lease_keeper::OrderRight;
use crate::{EndpointKey, EngineReport, PathState, short_digest};
use crate::{EngineState, UNKNOWN_VERSION, WeightScheduler, WeightStep};
use hyper::StatusCode;
use spanfold_entity::Moment;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Reported time to an engine's stop up to which the engine gets no new work, in milliseconds: the longest
/// deadline of requests that begin now. An engine that stops later reports that in its answers in time.
const MAX_DEPARTURE_DELAY_MILLIS: u64 = 15_000;
/// Interval between steps while loads are in progress: up to this much time is lost after each load.
const BUSY_INTERVAL: Duration = Duration::from_millis(70);
/// Interval between steps while no load is in progress.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);
/// Time within which an engine must answer a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which each step cordons an engine that is being changed, in milliseconds.
const CORDON_MILLIS: u64 = 700;
/// Delay before an order that was not accepted is repeated, in milliseconds.
const RETRY_DELAY_MILLIS: u64 = 600;

/// Orders engines to load published weights, until the process ends.
pub(crate) async fn order_weights(gateway: Arc<Gateway>, right: watch::Receiver<OrderRight>) {
    let mut runner = OrderRunner::new(&gateway);
    let mut fencing = 0;
    loop {
        let order_right = *right.borrow();
        let now = gateway.now();
        let has_right = order_right.fencing != 0
            && now >= order_right.from
            && now < order_right.until
            && !gateway.is_stopping()
            // Its orders would reach no engine, and cordons would keep work from those they are meant for.
            && *gateway.path.borrow() != PathState::Cut;
        if !has_right || fencing != order_right.fencing {
            fencing = if has_right { order_right.fencing } else { 0 };
            runner = OrderRunner::new(&gateway);
        }
        let delay = if has_right { runner.advance(&gateway, &right) } else { IDLE_INTERVAL };
        tokio::time::sleep(delay).await;
    }
}

/// Result of one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderResult {
    /// The engine answered.
    Answered(OrderOutcome),
    /// The order was sent and not answered: the load may be in progress.
    Unanswered,
    /// The engine did not report its count of orders, so no order was sent.
    Unreachable,
}

impl OrderResult {
    const fn label(self) -> &'static str {
        match self {
            Self::Answered(OrderOutcome::Accepted) => "accepted",
            Self::Answered(OrderOutcome::AlreadyLoaded) => "holds",
            Self::Answered(OrderOutcome::Conflict) => "conflict",
            Self::Answered(OrderOutcome::Refused(_)) => "refused",
            Self::Unanswered => "unanswered",
            Self::Unreachable => "unreached",
        }
    }
}

/// An order with its result.
#[derive(Debug)]
struct FinishedOrder {
    key: EndpointKey,
    model: String,
    version: u64,
    answer: OrderResult,
}

/// Loads that this VM orders while it holds the right, with their open calls.
///
/// Dropping the runner cancels the calls.
struct OrderRunner {
    scheduler: WeightScheduler,
    orders: JoinSet<FinishedOrder>,
    reports: JoinSet<EndpointKey>,
    /// Engines whose reports have been requested and not yet received.
    awaited_reports: HashSet<EndpointKey>,
}

impl OrderRunner {
    fn new(gateway: &Gateway) -> Self {
        let scheduler = WeightScheduler::new(gateway.settings.version_ms);
        Self { scheduler, orders: JoinSet::new(), reports: JoinSet::new(), awaited_reports: HashSet::new() }
    }

    /// Applies the results of earlier calls and starts the next ones; returns the delay until the next step.
    fn advance(&mut self, gateway: &Arc<Gateway>, right: &watch::Receiver<OrderRight>) -> Duration {
        while let Some(Ok(key)) = self.reports.try_join_next() {
            self.awaited_reports.remove(&key);
        }
        while let Some(Ok(finished)) = self.orders.try_join_next() {
            self.apply_result(gateway, finished);
        }
        self.query_reports(gateway);
        for step in self.scheduler.steps(&engine_states(gateway), gateway.now()) {
            match step {
                WeightStep::Cordon(key) => cordon_engines(gateway, &[key]),
                WeightStep::Order(key, model, version) => {
                    let (gateway, right) = (Arc::clone(gateway), right.clone());
                    self.orders.spawn(async move {
                        let answer = send_order(&gateway, &right, key, &model, version).await;
                        FinishedOrder { key, model, version, answer }
                    });
                }
            }
        }
        let cordoned: Vec<_> = self.scheduler.cordoned().collect();
        cordon_engines(gateway, &cordoned);
        if cordoned.is_empty() { IDLE_INTERVAL } else { BUSY_INTERVAL }
    }

    /// Queries engines whose loads may have finished.
    fn query_reports(&mut self, gateway: &Arc<Gateway>) {
        let now = gateway.now();
        for key in self.scheduler.finishing_loads(now) {
            // A departing engine gets no more requests, so its weights do not matter.
            let is_serving = gateway.table().row(key).is_some_and(|row| !row.is_departing(now));
            if is_serving && self.awaited_reports.insert(key) {
                let gateway = Arc::clone(gateway);
                self.reports.spawn(async move {
                    let report = read_report(&gateway, key).await;
                    if let Some(report) = report.filter(|report| !report.busy) {
                        gateway.table().set_weights(key, &report.weights, gateway.now());
                    }
                    key
                });
            }
        }
    }

    fn apply_result(&mut self, gateway: &Gateway, finished: FinishedOrder) {
        let FinishedOrder { key, model, version, answer } = finished;
        let label = answer.label();
        gateway.metrics.orders.get_or_create(&KindLabel::new(label)).inc();
        let id = gateway.table().row(key).map(|row| row.entry.id.clone()).unwrap_or_default();
        log::info!(endpoint = id.as_str(), model = model.as_str(), version, outcome = label; "order.given");
        let retry_at = gateway.now().after_millis(RETRY_DELAY_MILLIS);
        if answer == OrderResult::Unreachable {
            self.scheduler.set_aside(key, &model, version, retry_at);
            return;
        }
        self.scheduler.record_reached(key);
        match answer {
            OrderResult::Answered(OrderOutcome::Accepted) => {}
            OrderResult::Answered(OrderOutcome::AlreadyLoaded) => {
                gateway.table().set_weights(key, &BTreeMap::from([(model, version)]), gateway.now());
            }
            _ => self.scheduler.repeat(key, &model, version, retry_at),
        }
    }
}

fn engine_states(gateway: &Gateway) -> Vec<EngineState> {
    let (weights, now) = (gateway.weights(), gateway.now());
    let table = gateway.table();
    let mut states = Vec::new();
    for (key, row) in table.rows().filter(|(_, row)| !row.is_departing(now)) {
        for model in table.models_of(row) {
            let Some(target) = weights.get(&short_digest(model)) else { continue };
            states.push(EngineState {
                key,
                model: model.to_owned(),
                version: row.entry.weights.get(model).copied().unwrap_or(UNKNOWN_VERSION),
                target: *target,
                running: row.load(now).running,
            });
        }
    }
    states
}

fn cordon_engines(gateway: &Gateway, keys: &[EndpointKey]) {
    let cordoned_until = gateway.now().after_millis(CORDON_MILLIS);
    let mut table = gateway.table();
    for key in keys {
        table.cordon_until(*key, cordoned_until);
    }
    drop(table);
    if !keys.is_empty() {
        gateway.loads_changed.notify_one();
    }
}

/// Queries the engine for its count of taken orders, then sends the order.
async fn send_order(
    gateway: &Gateway,
    right: &watch::Receiver<OrderRight>,
    key: EndpointKey,
    model: &str,
    version: u64,
) -> OrderResult {
    let Some(report) = read_report(gateway, key).await else { return OrderResult::Unreachable };
    // While a load is in progress, requests may still run on the engine's previous weights.
    if report.busy {
        return OrderResult::Answered(OrderOutcome::Conflict);
    }
    if report.weights.get(model).is_some_and(|loaded| *loaded >= version) {
        gateway.table().set_weights(key, &report.weights, gateway.now());
        return OrderResult::Answered(OrderOutcome::AlreadyLoaded);
    }
    let order_right = *right.borrow();
    let now = gateway.now();
    let is_departing = gateway.table().row(key).is_none_or(|row| row.is_departing(now));
    // Checked again right before the order is sent: the report may have announced the engine's departure, and
    // the process may have been suspended meanwhile.
    if is_departing || order_right.fencing == 0 || now < order_right.from || now >= order_right.until {
        return OrderResult::Unanswered;
    }
    let order = WeightOrder {
        model: model.to_owned(),
        version,
        holder: gateway.settings.name.clone(),
        fencing: order_right.fencing,
        orders_taken: report.orders_taken,
    };
    let call = (gateway.dialect.engine.order)(&order);
    let answer = call_engine(gateway, key, &call, order_right.until).await;
    answer.map_or(OrderResult::Unanswered, |(status, _)| {
        OrderResult::Answered((gateway.dialect.engine.decode_order)(status))
    })
}

/// Queries an engine for its state; none without a valid report of the expected incarnation.
pub(crate) async fn read_report(gateway: &Gateway, key: EndpointKey) -> Option<EngineReport> {
    let call = (gateway.dialect.engine.report)();
    let (status, body) = call_engine(gateway, key, &call, Moment::NEVER).await?;
    if status != 200 {
        return None;
    }
    match (gateway.dialect.engine.decode_report)(&body) {
        Ok(report) if is_other_incarnation(gateway, key, &report) => {
            log::info!(path = "report"; "engine.restarted");
            None
        }
        Ok(report) => {
            gateway.set_engine_clock(report.clock_millis);
            if report.departure_delay_millis.is_some_and(|millis| millis <= MAX_DEPARTURE_DELAY_MILLIS) {
                let source = AnswerSource { key, request: call.path.as_str(), sent_at: gateway.now() };
                gateway.record_departure(&source, DepartureSource::Report);
            }
            Some(report)
        }
        Err(cause) => {
            log::warn!(cause:% = cause; "report.unreadable");
            None
        }
    }
}

/// Whether a report is of another incarnation than the one that was queried.
///
/// The engine's entry will report the new incarnation. Orders, weights and counts of one incarnation do not
/// apply to another.
fn is_other_incarnation(gateway: &Gateway, key: EndpointKey, report: &EngineReport) -> bool {
    let expected_start = gateway.table().row(key).and_then(|row| row.entry.born_millis);
    expected_start.is_some() && report.born_millis != expected_start
}

/// Calls an engine on a connection of its own; returns the answer's status and body.
pub(crate) async fn call_engine(
    gateway: &Gateway,
    key: EndpointKey,
    call: &crate::WireCall,
    call_deadline: Moment,
) -> Option<(u16, bytes::Bytes)> {
    let (id, address) = {
        let table = gateway.table();
        let row = table.row(key)?;
        (row.entry.id.clone(), row.entry.address)
    };
    let sent_at = gateway.now();
    let deadline = Instant::now() + CALL_TIMEOUT;
    let deadline =
        if call_deadline == Moment::NEVER { deadline } else { deadline.min(gateway.instant(call_deadline)) };
    let mut call = call.clone();
    call.headers.push((gateway.dialect.headers.expect_endpoint.clone(), id.clone()));
    match CallLink::new(address).call(&call, deadline).await {
        Ok(reply) => {
            // A refusal may come from another endpoint at the same address.
            if let Some(status) = StatusCode::from_u16(reply.status).ok().filter(StatusCode::is_success) {
                let facts = (gateway.dialect.decoders.answer)(status, &reply.headers);
                gateway.observe_answer(&AnswerSource { key, request: &call.path, sent_at }, &facts);
            }
            Some((reply.status, reply.body))
        }
        Err(error) => {
            log::warn!(endpoint = id.as_str(), path = call.path.as_str(), cause:% = error; "engine.unanswered");
            None
        }
    }
}
