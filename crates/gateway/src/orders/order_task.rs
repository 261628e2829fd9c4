//! Carries out the weight desk's steps while this VM holds the right to order engines.
//!
//! Invariant: no engine's silence holds up another's order: calls to engines are under way beside one another, and
//! each is cut when the right ends.

use crate::dialect::{OrderOutcome, WeightOrder};
use crate::endpoints::answer_handler::{AnswerSource, DepartureSource};
use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::store::call_link::CallLink;
use crate::store::lease_keeper::OrderRight;
use crate::{EndpointKey, EngineReport, short_digest};
use crate::{EngineState, WeightScheduler, WeightStep};
use hyper::StatusCode;
use spanfold_entity::Moment;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// An engine that ends so soon gets no new work, in milliseconds: the longest deadline of requests that begin now. One that
/// ends later says so in its answers when the time has come.
const LEAVES_SOON_MILLIS: u64 = 15_000;
/// Pause between looks while loads are under way: a part of a load's time that may be lost.
const BUSY_PAUSE: Duration = Duration::from_millis(70);
/// Pause between looks otherwise.
const IDLE_PAUSE: Duration = Duration::from_millis(300);
/// A call to an engine that takes longer has failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// An engine that is being changed is passed over for this long after each look, in milliseconds.
const CLOSED_MILLIS: u64 = 700;
/// An order that was not taken is given again after this long, in milliseconds.
const RETRY_MILLIS: u64 = 600;

/// Orders engines to load the weights that were named, until the process ends.
pub(crate) async fn order_weights(gateway: Arc<Gateway>, right: watch::Receiver<OrderRight>) {
    let mut work = OrderWork::new(&gateway);
    let mut fencing = 0;
    loop {
        let held = *right.borrow();
        let now = gateway.now();
        let holds = held.fencing != 0 && now >= held.from && now < held.until && !gateway.is_stopping();
        if !holds || fencing != held.fencing {
            fencing = if holds { held.fencing } else { 0 };
            work = OrderWork::new(&gateway);
        }
        let pause = if holds { work.look(&gateway, &right) } else { IDLE_PAUSE };
        tokio::time::sleep(pause).await;
    }
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderAnswer {
    /// The engine told.
    Told(OrderOutcome),
    /// It was given and not answered: it may be under way.
    Unanswered,
    /// The engine did not tell how many orders it has taken: none was given.
    Unreached,
}

impl OrderAnswer {
    const fn word(self) -> &'static str {
        match self {
            Self::Told(OrderOutcome::Accepted) => "accepted",
            Self::Told(OrderOutcome::Holds) => "holds",
            Self::Told(OrderOutcome::Conflict) => "conflict",
            Self::Told(OrderOutcome::Refused(_)) => "refused",
            Self::Unanswered => "unanswered",
            Self::Unreached => "unreached",
        }
    }
}

/// An order that was given, and what came of it.
#[derive(Debug)]
struct GivenOrder {
    key: EndpointKey,
    model: String,
    version: u64,
    answer: OrderAnswer,
}

/// The loads of one holder, with the calls that are under way for them. Dropping it cuts them.
struct OrderWork {
    desk: WeightScheduler,
    orders: JoinSet<GivenOrder>,
    reports: JoinSet<EndpointKey>,
    /// Engines whose reports are waited for.
    asked: HashSet<EndpointKey>,
}

impl OrderWork {
    fn new(gateway: &Gateway) -> Self {
        let desk = WeightScheduler::new(gateway.settings.version_ms);
        Self { desk, orders: JoinSet::new(), reports: JoinSet::new(), asked: HashSet::new() }
    }

    /// Takes what came of earlier calls and makes the next ones; gives the pause until the next look.
    fn look(&mut self, gateway: &Arc<Gateway>, right: &watch::Receiver<OrderRight>) -> Duration {
        while let Some(Ok(key)) = self.reports.try_join_next() {
            self.asked.remove(&key);
        }
        while let Some(Ok(given)) = self.orders.try_join_next() {
            self.judge(gateway, given);
        }
        self.ask_reports(gateway);
        for step in self.desk.steps(&engine_states(gateway), gateway.now()) {
            match step {
                WeightStep::Close(key) => close_engines(gateway, &[key]),
                WeightStep::Order(key, model, version) => {
                    let (gateway, right) = (Arc::clone(gateway), right.clone());
                    self.orders.spawn(async move {
                        let answer = give_order(&gateway, &right, key, &model, version).await;
                        GivenOrder { key, model, version, answer }
                    });
                }
            }
        }
        let closed: Vec<_> = self.desk.closed().collect();
        close_engines(gateway, &closed);
        if closed.is_empty() { IDLE_PAUSE } else { BUSY_PAUSE }
    }

    /// Asks engines whose loads may be over.
    fn ask_reports(&mut self, gateway: &Arc<Gateway>) {
        let now = gateway.now();
        for key in self.desk.finishing_loads(now) {
            // One that leaves is not asked: what it has loaded matters no more.
            let is_known = gateway.table().row(key).is_some_and(|row| !row.is_departing(now));
            if is_known && self.asked.insert(key) {
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

    fn judge(&mut self, gateway: &Gateway, given: GivenOrder) {
        let GivenOrder { key, model, version, answer } = given;
        let word = answer.word();
        gateway.metrics.orders.get_or_create(&KindLabel::new(word)).inc();
        let id = gateway.table().row(key).map(|row| row.entry.id.clone()).unwrap_or_default();
        log::info!(endpoint = id.as_str(), model = model.as_str(), version, outcome = word; "order.given");
        let again = gateway.now().after_millis(RETRY_MILLIS);
        if answer == OrderAnswer::Unreached {
            self.desk.set_aside(key, version, again);
            return;
        }
        self.desk.record_reached(key);
        match answer {
            OrderAnswer::Told(OrderOutcome::Accepted) => {}
            OrderAnswer::Told(OrderOutcome::Holds) => {
                gateway.table().set_weights(key, &BTreeMap::from([(model, version)]), gateway.now());
            }
            _ => self.desk.repeat(key, version, again),
        }
    }
}

fn engine_states(gateway: &Gateway) -> Vec<EngineState> {
    let (weights, now) = (gateway.weights(), gateway.now());
    let table = gateway.table();
    let mut states = Vec::new();
    for (key, row) in table.rows().filter(|(_, row)| !row.is_departing(now)) {
        for (model, version) in row.entry.weights.iter() {
            let Some(named) = weights.get(&short_digest(model)) else { continue };
            states.push(EngineState {
                key,
                model: model.clone(),
                version: *version,
                target: *named,
                running: row.load(now).running,
            });
        }
    }
    states
}

fn close_engines(gateway: &Gateway, keys: &[EndpointKey]) {
    let until = gateway.now().after_millis(CLOSED_MILLIS);
    let mut table = gateway.table();
    for key in keys {
        table.cordon_until(*key, until);
    }
    drop(table);
    if !keys.is_empty() {
        gateway.loads_changed.notify_one();
    }
}

/// Asks the engine how many orders it has taken, then gives the order.
async fn give_order(
    gateway: &Gateway,
    right: &watch::Receiver<OrderRight>,
    key: EndpointKey,
    model: &str,
    version: u64,
) -> OrderAnswer {
    let Some(report) = read_report(gateway, key).await else { return OrderAnswer::Unreached };
    // While an order is under way, requests may still run on what the engine had.
    if report.busy {
        return OrderAnswer::Told(OrderOutcome::Conflict);
    }
    if report.weights.get(model).is_some_and(|loaded| *loaded >= version) {
        gateway.table().set_weights(key, &report.weights, gateway.now());
        return OrderAnswer::Told(OrderOutcome::Holds);
    }
    let held = *right.borrow();
    let now = gateway.now();
    let leaves = gateway.table().row(key).is_none_or(|row| row.is_departing(now));
    // Looked at anew right before the order leaves: the report may have said that the engine leaves, and the process may
    // have stood still meanwhile.
    if leaves || held.fencing == 0 || now < held.from || now >= held.until {
        return OrderAnswer::Unanswered;
    }
    let order = WeightOrder {
        model: model.to_owned(),
        version,
        holder: gateway.settings.name.clone(),
        fencing: held.fencing,
        orders_taken: report.orders_taken,
    };
    let call = (gateway.dialect.engine.order)(&order);
    let answer = call_engine(gateway, key, &call, held.until).await;
    answer.map_or(OrderAnswer::Unanswered, |(status, _)| {
        OrderAnswer::Told((gateway.dialect.engine.read_order)(status))
    })
}

pub(crate) async fn read_report(gateway: &Gateway, key: EndpointKey) -> Option<EngineReport> {
    let call = (gateway.dialect.engine.report)();
    let (status, body) = call_engine(gateway, key, &call, Moment::NEVER).await?;
    if status != 200 {
        return None;
    }
    match (gateway.dialect.engine.read_report)(&body) {
        Ok(report) if is_other_start(gateway, key, &report) => {
            log::info!(path = "report"; "engine.restarted");
            None
        }
        Ok(report) => {
            gateway.set_engine_clock(report.clock_millis);
            if report.departure_delay_millis.is_some_and(|millis| millis <= LEAVES_SOON_MILLIS) {
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

/// Whether a report is of another start than the one that was asked, which its entry will tell: orders, weights and
/// counts of that one are not this one's.
fn is_other_start(gateway: &Gateway, key: EndpointKey, report: &EngineReport) -> bool {
    let born = gateway.table().row(key).and_then(|row| row.entry.born_millis);
    born.is_some() && report.born_millis != born
}

/// Calls an engine on a connection of its own; the answer's status and body.
async fn call_engine(
    gateway: &Gateway,
    key: EndpointKey,
    call: &crate::WireCall,
    until: Moment,
) -> Option<(u16, bytes::Bytes)> {
    let (id, address) = {
        let table = gateway.table();
        let row = table.row(key)?;
        (row.entry.id.clone(), row.entry.address)
    };
    let sent_at = gateway.now();
    let deadline = Instant::now() + CALL_TIMEOUT;
    let deadline = if until == Moment::NEVER { deadline } else { deadline.min(gateway.instant(until)) };
    let mut call = call.clone();
    call.headers.push((gateway.dialect.headers.expect_endpoint.clone(), id.clone()));
    match CallLink::new(address).call(&call, deadline).await {
        Ok(reply) => {
            // One that refuses may be another endpoint at the same address.
            if let Some(status) = StatusCode::from_u16(reply.status).ok().filter(StatusCode::is_success) {
                let facts = (gateway.dialect.decode.answer)(status, &reply.headers);
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
