//! Orders engines to load weight versions.
//!
//! Invariant: an order is sent only while enough of its sender's lease remains by the sender's own
//! clock, and carries the lease's fencing number. Engines that check the number refuse orders of an
//! earlier holder. For engines that do not, the next holder waits, by its own clock, until the old
//! lease and the last order sent under it have expired. An order states the target version, so that a
//! repeated order changes nothing.
//!
//! The lease is a record that its holder renews by compare-and-swap; another VM takes it over once it
//! has been unchanged for long enough. A lease of the platform would expire as well, but a paused holder
//! would not notice that it has expired. One gateway in each data centre polls the record.

use crate::membership::is_gateway;
use serde::{Deserialize, Serialize};
use spanfold_declare::EndpointKind;
use spanfold_entity::Moment;
use spanfold_kernel::{Context, Effect, Event, LoadedWeights, Message, World, register_plugin};
use std::collections::BTreeMap;

/// Lifetime of a lease that is not renewed.
const LEASE_LIFETIME_MILLIS: u64 = 6_000;
/// A holder stops sending orders this long before its lease expires.
const LEASE_MARGIN_MILLIS: u64 = 1_500;
/// An order is not sent later than this after it was decided.
const ORDER_LIFETIME_MILLIS: u64 = 1_000;
/// Interval between reads of the lease record.
const POLL_INTERVAL_MILLIS: u64 = 1_500;
/// A new holder receives reports of loading engines for this long before its first order.
const OBSERVATION_MILLIS: u64 = 2_500;
/// A load that takes longer no longer counts as in progress.
const LOAD_TIMEOUT_MILLIS: u64 = 120_000;
/// An order without a visible effect is repeated after this long.
const REPEAT_INTERVAL_MILLIS: u64 = 5_000;
/// Number of reports of an engine's return to the required version.
const RECOVERY_REPORT_COUNT: u8 = 4;
/// Engines of the deployment that load at once: loading slows down beyond that.
const MAX_CONCURRENT_LOADS: usize = 3;

/// The lease record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseRecord {
    holder: String,
    incarnation: u64,
    fencing: u64,
    renewals: u64,
}

/// The holder's record of one engine.
#[derive(Clone, Debug)]
struct EngineOrder {
    weights: LoadedWeights,
    load_deadline: Moment,
    next_order_at: Moment,
}

/// State of the orders plug-in.
#[derive(Debug)]
pub struct OrderScheduler {
    next_poll_at: Moment,
    record: LeaseRecord,
    revision: u64,
    /// Since when the record is unchanged, by this VM's clock.
    unchanged_since: Moment,
    /// When each pending write was first requested; a lease is valid from that moment.
    requested_writes: BTreeMap<String, Moment>,
    lease_safe_until: Moment,
    orders_start_at: Moment,
    engines: BTreeMap<String, EngineOrder>,
    /// Engines probed by this VM whose version differs from the required one, or did until recently. The
    /// value is the number of reports still to send after the version matches.
    differing_engines: BTreeMap<String, u8>,
}

impl OrderScheduler {
    fn start(_world: &World) -> Self {
        Self {
            next_poll_at: Moment(0),
            record: LeaseRecord::default(),
            revision: 0,
            unchanged_since: Moment(0),
            requested_writes: BTreeMap::new(),
            lease_safe_until: Moment(0),
            orders_start_at: Moment::NEVER,
            engines: BTreeMap::new(),
            differing_engines: BTreeMap::new(),
        }
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        match event {
            Event::Probed { endpoint, weights: Some(weights), .. } => {
                self.report_to_holder(context, endpoint, weights);
            }
            Event::Receive { message: Message::Weights { endpoint, weights }, .. } => {
                self.record_weights(context.now, endpoint, weights);
            }
            Event::LeaseRead { revision, text } => self.apply_lease_read(context, *revision, text),
            Event::LeaseWritten { text } => self.apply_lease_written(context, text),
            Event::Tick => self.tick(context),
            _ => {}
        }
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        if context.now >= self.next_poll_at && is_gateway(context) {
            self.next_poll_at = context.now.after_millis(POLL_INTERVAL_MILLIS);
            context.emit(Effect::ReadLease);
        }
        if context.now < self.lease_safe_until && context.now >= self.orders_start_at {
            self.send_orders(context);
        }
    }

    fn apply_lease_read(&mut self, context: &mut Context<'_>, revision: u64, text: &str) {
        if revision != self.revision || revision == 0 {
            self.record = serde_json::from_str(text).unwrap_or_default();
            self.revision = revision;
            self.unchanged_since = context.now;
            context.world.orders_holder.clone_from(&self.record.holder);
        }
        let is_own = self.record.holder == context.world.own_name
            && self.record.incarnation == context.world.incarnation;
        let lease_expires_at =
            self.unchanged_since.after_millis(LEASE_LIFETIME_MILLIS + ORDER_LIFETIME_MILLIS);
        let is_free = revision == 0 || context.now >= lease_expires_at;
        if !is_gateway(context) || !(is_own || is_free) {
            return;
        }
        let record = LeaseRecord {
            holder: context.world.own_name.clone(),
            incarnation: context.world.incarnation,
            fencing: self.record.fencing + u64::from(!is_own),
            renewals: if is_own { self.record.renewals + 1 } else { 0 },
        };
        if let Ok(text) = serde_json::to_string(&record) {
            self.requested_writes.entry(text.clone()).or_insert(context.now);
            context.emit(Effect::WriteLease { revision, text });
        }
    }

    fn apply_lease_written(&mut self, context: &mut Context<'_>, text: &str) {
        let Some(requested_at) = self.requested_writes.remove(text) else { return };
        self.requested_writes.retain(|_, at| *at > requested_at);
        let record: LeaseRecord = serde_json::from_str(text).unwrap_or_default();
        if record.fencing != self.record.fencing || self.orders_start_at == Moment::NEVER {
            context.log("orders.lease_taken", record.fencing.to_string());
            self.engines.clear();
            self.orders_start_at = context.now.after_millis(OBSERVATION_MILLIS);
        }
        context.world.orders_holder.clone_from(&record.holder);
        self.record = record;
        // The lease is valid from before the write, because the reply may have taken long.
        self.lease_safe_until = requested_at.after_millis(LEASE_LIFETIME_MILLIS - LEASE_MARGIN_MILLIS);
    }

    /// Reports a probed engine to the lease holder if its version differs from the required one.
    ///
    /// When the version no longer differs, this is reported a few times, because the report ends a load
    /// and may be lost. Reporting all engines would send the holder one message a second for each engine
    /// of the deployment.
    fn report_to_holder(&mut self, context: &mut Context<'_>, endpoint: &str, weights: &LoadedWeights) {
        let Some(required) = required_version(context.world, endpoint) else { return };
        if required != weights.version || weights.loading {
            self.differing_engines.insert(endpoint.to_owned(), RECOVERY_REPORT_COUNT);
        } else {
            let Some(reports_left) = self.differing_engines.get_mut(endpoint) else { return };
            *reports_left -= 1;
            if *reports_left == 0 {
                self.differing_engines.remove(endpoint);
            }
        }
        let holder = context.world.orders_holder.clone();
        if !holder.is_empty() {
            let message = Message::Weights { endpoint: endpoint.to_owned(), weights: weights.clone() };
            context.send(&holder, message);
        }
    }

    fn record_weights(&mut self, now: Moment, endpoint: &str, weights: &LoadedWeights) {
        let order = self.engines.entry(endpoint.to_owned()).or_insert_with(|| EngineOrder {
            weights: weights.clone(),
            load_deadline: Moment(0),
            next_order_at: Moment(0),
        });
        let changed = order.weights.version != weights.version;
        order.weights = weights.clone();
        if changed && !weights.loading {
            order.load_deadline = now;
        }
    }

    /// Orders loads until the maximum number of engines is loading.
    fn send_orders(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        let is_busy = |order: &EngineOrder| order.weights.loading || now < order.load_deadline;
        let mut loading = self.engines.values().filter(|order| is_busy(order)).count();
        let valid_until = self.lease_safe_until.min(now.after_millis(ORDER_LIFETIME_MILLIS));
        for (endpoint, order) in &mut self.engines {
            let Some(target) = required_version(context.world, endpoint) else { continue };
            if order.weights.version == target || order.weights.loading || now < order.next_order_at {
                continue;
            }
            let is_loading = now < order.load_deadline;
            if !is_loading && loading >= MAX_CONCURRENT_LOADS {
                continue;
            }
            loading += usize::from(!is_loading);
            order.load_deadline = now.after_millis(LOAD_TIMEOUT_MILLIS);
            order.next_order_at = now.after_millis(REPEAT_INTERVAL_MILLIS);
            let (endpoint, fencing) = (endpoint.clone(), self.record.fencing);
            context.emit(Effect::Order { endpoint, target, fencing, valid_until });
        }
    }
}

/// Returns the weight version that the configuration requires an engine to have.
fn required_version(world: &World, endpoint: &str) -> Option<String> {
    let declared = &world.catalogue.declarations;
    let endpoint =
        declared.endpoints.get(endpoint).filter(|endpoint| endpoint.kind == EndpointKind::Engine)?;
    let pool = declared
        .pools
        .values()
        .find(|pool| pool.kind == EndpointKind::Engine && pool.selector.matches(&endpoint.labels))?;
    Some(pool.version.clone())
}

register_plugin!("orders", 70, OrderScheduler);
