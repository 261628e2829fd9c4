//! Carries out the weight desk's steps while this VM holds the right to order engines.

use crate::call_link::CallLink;
use crate::dialect::{OrderOutcome, WeightOrder};
use crate::gateway::Gateway;
use crate::gateway_metrics::KindLabel;
use crate::lease_keeper::OrderRight;
use crate::{DeskStep, EngineState, WeightDesk};
use crate::{EndpointKey, EngineReport, short_digest};
use spanfold_entity::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

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
    let mut desk = WeightDesk::new(gateway.settings.version_ms);
    let mut fencing = 0;
    loop {
        let held = *right.borrow();
        let now = gateway.now();
        if held.fencing == 0 || now < held.from || now >= held.until || gateway.is_stopping() {
            desk = WeightDesk::new(gateway.settings.version_ms);
            tokio::time::sleep(IDLE_PAUSE).await;
            continue;
        }
        if fencing != held.fencing {
            fencing = held.fencing;
            desk = WeightDesk::new(gateway.settings.version_ms);
        }
        read_reports(&gateway, &desk).await;
        let engines = engine_states(&gateway);
        for step in desk.steps(&engines, gateway.now()) {
            carry_out(&gateway, &mut desk, &right, step).await;
        }
        let closed: Vec<_> = desk.closed().collect();
        let pause = if closed.is_empty() { IDLE_PAUSE } else { BUSY_PAUSE };
        close_engines(&gateway, &closed);
        tokio::time::sleep(pause).await;
    }
}

fn engine_states(gateway: &Gateway) -> Vec<EngineState> {
    let (weights, now) = (gateway.weights(), gateway.now());
    let table = gateway.table();
    let mut states = Vec::new();
    for (key, row) in table.rows().filter(|(_, row)| !row.is_leaving(now)) {
        for (model, version) in &row.entry.weights {
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
        table.close_until(*key, until);
    }
    drop(table);
    if !keys.is_empty() {
        gateway.loads_changed.notify_one();
    }
}

async fn carry_out(
    gateway: &Gateway,
    desk: &mut WeightDesk,
    right: &watch::Receiver<OrderRight>,
    step: DeskStep,
) {
    match step {
        DeskStep::Close(key) => close_engines(gateway, &[key]),
        DeskStep::Order(key, model, version) => {
            let outcome = give_order(gateway, right, key, &model, version).await;
            let word = match outcome {
                Some(OrderOutcome::Accepted) => "accepted",
                Some(OrderOutcome::Holds) => "holds",
                Some(OrderOutcome::Conflict) => "conflict",
                Some(OrderOutcome::Refused(_)) => "refused",
                None => "unanswered",
            };
            gateway.metrics.orders.get_or_create(&KindLabel::new(word)).inc();
            let id = gateway.table().row(key).map(|row| row.entry.id.clone()).unwrap_or_default();
            log::info!(endpoint = id.as_str(), model = model.as_str(), version, outcome = word; "order.given");
            match outcome {
                Some(OrderOutcome::Accepted) => {}
                Some(OrderOutcome::Holds) => {
                    gateway.table().set_weights(key, &BTreeMap::from([(model, version)]), gateway.now());
                }
                _ => desk.repeat(key, gateway.now().after_millis(RETRY_MILLIS)),
            }
        }
    }
}

/// Asks the engine how many orders it has taken, then gives the order; none if it did not answer.
async fn give_order(
    gateway: &Gateway,
    right: &watch::Receiver<OrderRight>,
    key: EndpointKey,
    model: &str,
    version: u64,
) -> Option<OrderOutcome> {
    let report = read_report(gateway, key).await?;
    // While an order is under way, requests may still run on what the engine had.
    if report.busy {
        return Some(OrderOutcome::Conflict);
    }
    if report.weights.get(model).is_some_and(|loaded| *loaded >= version) {
        gateway.table().set_weights(key, &report.weights, gateway.now());
        return Some(OrderOutcome::Holds);
    }
    let held = *right.borrow();
    let now = gateway.now();
    // Looked at anew right before the order leaves: the process may have stood still meanwhile.
    if held.fencing == 0 || now < held.from || now >= held.until {
        return None;
    }
    let order = WeightOrder {
        model: model.to_owned(),
        version,
        holder: gateway.settings.name.clone(),
        fencing: held.fencing,
        orders_taken: report.orders_taken,
    };
    let call = (gateway.dialect.engine.order)(&order);
    let (status, _) = call_engine(gateway, key, &call, held.until).await?;
    Some((gateway.dialect.engine.read_order)(status))
}

/// Asks all engines whose loads may be over, at the same time: one that is silent holds up no other.
async fn read_reports(gateway: &Arc<Gateway>, desk: &WeightDesk) {
    let mut asked = JoinSet::new();
    for key in desk.nearly_loaded(gateway.now()) {
        let gateway = Arc::clone(gateway);
        asked.spawn(async move { (key, read_report(&gateway, key).await) });
    }
    while let Some(answered) = asked.join_next().await {
        if let Ok((key, Some(report))) = answered
            && !report.busy
        {
            gateway.table().set_weights(key, &report.weights, gateway.now());
        }
    }
}

pub(crate) async fn read_report(gateway: &Gateway, key: EndpointKey) -> Option<EngineReport> {
    let call = (gateway.dialect.engine.report)();
    let (status, body) = call_engine(gateway, key, &call, Moment::NEVER).await?;
    if status != 200 {
        return None;
    }
    match (gateway.dialect.engine.read_report)(&body) {
        Ok(report) => {
            gateway.set_engine_clock(report.clock_millis);
            Some(report)
        }
        Err(cause) => {
            log::warn!(cause = cause.as_str(); "report.unreadable");
            None
        }
    }
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
    let deadline = Instant::now() + CALL_TIMEOUT;
    let deadline = if until == Moment::NEVER { deadline } else { deadline.min(gateway.instant(until)) };
    let mut call = call.clone();
    call.headers.push((gateway.dialect.headers.expect_endpoint.clone(), id.clone()));
    match CallLink::new(address).call(&call, deadline).await {
        Ok((status, body)) => Some((status, body)),
        Err(error) => {
            log::warn!(endpoint = id.as_str(), path = call.path.as_str(), cause:% = error; "engine.unanswered");
            None
        }
    }
}
