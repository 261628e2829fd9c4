//! Orders to engines: which weight version to load.
//!
//! Invariant: an order is sent only while its sender's lease has a safe remainder by the sender's
//! own clock, and bears the lease's fencing number. Engines that check the number refuse an old
//! holder's orders. For those that do not, the next holder waits, by its own clock, until the old
//! lease and the last order sent under it have run out; and an order states the target, so that
//! one that comes twice changes nothing.
//!
//! The lease is a record that its holder rewrites by compare-and-swap; others take it over when it
//! has not changed for long enough. The platform's own leases would do the same, but a paused
//! holder would not notice that one has lapsed. One gateway a data centre looks at the record.

use crate::membership::is_gateway;
use serde::{Deserialize, Serialize};
use spanfold_declare::EndpointKind;
use spanfold_entity::Moment;
use spanfold_kernel::{Context, Effect, Event, LoadedWeights, Message, World, register_plugin};
use std::collections::BTreeMap;

/// A lease that is not renewed lasts this long, in milliseconds.
const LEASE_MILLIS: u64 = 6_000;
/// A holder stops sending orders this long before its lease ends, in milliseconds.
const MARGIN_MILLIS: u64 = 1_500;
/// An order is not sent later than this after it was decided, in milliseconds.
const ORDER_MILLIS: u64 = 1_000;
/// Period of looking at the lease record, in milliseconds.
const POLL_INTERVAL_MILLIS: u64 = 1_500;
/// A new holder first hears for this long which engines are loading, in milliseconds.
const SETTLE_MILLIS: u64 = 2_500;
/// A load that takes longer does not count any more, in milliseconds.
const LOAD_MILLIS: u64 = 120_000;
/// An order that has shown no effect is given again after this long, in milliseconds.
const REPEAT_INTERVAL_MILLIS: u64 = 5_000;
/// That an engine is as it should be is told this often.
const TOLD_AGAIN: u8 = 4;
/// Engines of the deployment that load at once: loading slows beyond that.
const LOADS_AT_ONCE: usize = 3;

/// The lease record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseRecord {
    holder: String,
    incarnation: u64,
    fencing: u64,
    renewals: u64,
}

/// What the holder knows of one engine.
#[derive(Clone, Debug)]
struct EngineOrder {
    weights: LoadedWeights,
    ordered_until: Moment,
    repeat_at: Moment,
}

/// State of the orders plug-in.
#[derive(Debug)]
pub struct OrderDesk {
    look_at: Moment,
    record: LeaseRecord,
    revision: u64,
    /// Since when the record has stood unchanged, by this VM's clock.
    unchanged_since: Moment,
    /// When each write on its way was first asked for; a lease counts from there.
    asked: BTreeMap<String, Moment>,
    safe_until: Moment,
    settled_at: Moment,
    engines: BTreeMap<String, EngineOrder>,
    /// Engines probed here that are or were not as they should be, and how often that is still told.
    differing: BTreeMap<String, u8>,
}

impl OrderDesk {
    fn start(_world: &World) -> Self {
        Self {
            look_at: Moment(0),
            record: LeaseRecord::default(),
            revision: 0,
            unchanged_since: Moment(0),
            asked: BTreeMap::new(),
            safe_until: Moment(0),
            settled_at: Moment::NEVER,
            engines: BTreeMap::new(),
            differing: BTreeMap::new(),
        }
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        match event {
            Event::Probed { endpoint, weights: Some(weights), .. } => {
                self.tell_holder(context, endpoint, weights);
            }
            Event::Receive { message: Message::Weights { endpoint, weights }, .. } => {
                self.note(context.now, endpoint, weights);
            }
            Event::LeaseRead { revision, text } => self.lease_read(context, *revision, text),
            Event::LeaseWritten { text } => self.lease_written(context, text),
            Event::Tick => self.tick(context),
            _ => {}
        }
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        if context.now >= self.look_at && is_gateway(context) {
            self.look_at = context.now.after_millis(POLL_INTERVAL_MILLIS);
            context.emit(Effect::ReadLease);
        }
        if context.now < self.safe_until && context.now >= self.settled_at {
            self.give_orders(context);
        }
    }

    fn lease_read(&mut self, context: &mut Context<'_>, revision: u64, text: &str) {
        if revision != self.revision || revision == 0 {
            self.record = serde_json::from_str(text).unwrap_or_default();
            self.revision = revision;
            self.unchanged_since = context.now;
            context.world.orders_holder.clone_from(&self.record.holder);
        }
        let own =
            self.record.holder == context.world.me && self.record.incarnation == context.world.incarnation;
        let run_out = self.unchanged_since.after_millis(LEASE_MILLIS + ORDER_MILLIS);
        let free = revision == 0 || context.now >= run_out;
        if !is_gateway(context) || !(own || free) {
            return;
        }
        let record = LeaseRecord {
            holder: context.world.me.clone(),
            incarnation: context.world.incarnation,
            fencing: self.record.fencing + u64::from(!own),
            renewals: if own { self.record.renewals + 1 } else { 0 },
        };
        if let Ok(text) = serde_json::to_string(&record) {
            self.asked.entry(text.clone()).or_insert(context.now);
            context.emit(Effect::WriteLease { revision, text });
        }
    }

    fn lease_written(&mut self, context: &mut Context<'_>, text: &str) {
        let Some(asked_at) = self.asked.remove(text) else { return };
        self.asked.retain(|_, at| *at > asked_at);
        let record: LeaseRecord = serde_json::from_str(text).unwrap_or_default();
        if record.fencing != self.record.fencing || self.settled_at == Moment::NEVER {
            context.log("orders.lease_taken", record.fencing.to_string());
            self.engines.clear();
            self.settled_at = context.now.after_millis(SETTLE_MILLIS);
        }
        context.world.orders_holder.clone_from(&record.holder);
        self.record = record;
        // The lease counts from before the write: the reply may have taken long.
        self.safe_until = asked_at.after_millis(LEASE_MILLIS - MARGIN_MILLIS);
    }

    /// Who probes an engine tells the holder if it is not as it should be.
    ///
    /// When it is again, that is told a few times, because it ends a load and may be lost. Telling
    /// all that is well would bring one VM a message a second for each engine of the deployment.
    fn tell_holder(&mut self, context: &mut Context<'_>, endpoint: &str, weights: &LoadedWeights) {
        let Some(wanted) = wanted_version(context.world, endpoint) else { return };
        if wanted != weights.version || weights.loading {
            self.differing.insert(endpoint.to_owned(), TOLD_AGAIN);
        } else {
            let Some(left) = self.differing.get_mut(endpoint) else { return };
            *left -= 1;
            if *left == 0 {
                self.differing.remove(endpoint);
            }
        }
        let holder = context.world.orders_holder.clone();
        if !holder.is_empty() {
            let message = Message::Weights { endpoint: endpoint.to_owned(), weights: weights.clone() };
            context.send(&holder, message);
        }
    }

    fn note(&mut self, now: Moment, endpoint: &str, weights: &LoadedWeights) {
        let order = self.engines.entry(endpoint.to_owned()).or_insert_with(|| EngineOrder {
            weights: weights.clone(),
            ordered_until: Moment(0),
            repeat_at: Moment(0),
        });
        let changed = order.weights.version != weights.version;
        order.weights = weights.clone();
        if changed && !weights.loading {
            order.ordered_until = now;
        }
    }

    /// Orders loads until as many engines load as may at once.
    fn give_orders(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        let busy = |order: &EngineOrder| order.weights.loading || now < order.ordered_until;
        let mut loading = self.engines.values().filter(|order| busy(order)).count();
        let valid_until = self.safe_until.min(now.after_millis(ORDER_MILLIS));
        for (endpoint, order) in &mut self.engines {
            let Some(target) = wanted_version(context.world, endpoint) else { continue };
            if order.weights.version == target || order.weights.loading || now < order.repeat_at {
                continue;
            }
            let counted = now < order.ordered_until;
            if !counted && loading >= LOADS_AT_ONCE {
                continue;
            }
            loading += usize::from(!counted);
            order.ordered_until = now.after_millis(LOAD_MILLIS);
            order.repeat_at = now.after_millis(REPEAT_INTERVAL_MILLIS);
            let (endpoint, fencing) = (endpoint.clone(), self.record.fencing);
            context.emit(Effect::Order { endpoint, target, fencing, valid_until });
        }
    }
}

/// The weight version that the configuration wants an engine to have.
fn wanted_version(world: &World, endpoint: &str) -> Option<String> {
    let declared = &world.catalogue.declarations;
    let endpoint =
        declared.endpoints.get(endpoint).filter(|endpoint| endpoint.kind == EndpointKind::Engine)?;
    let pool = declared
        .pools
        .values()
        .find(|pool| pool.kind == EndpointKind::Engine && pool.selector.matches(&endpoint.labels))?;
    Some(pool.version.clone())
}

register_plugin!("orders", 70, OrderDesk);
