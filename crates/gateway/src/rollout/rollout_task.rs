//! Decides the phases of rollouts, while this VM holds the right to order engines.
//!
//! Invariant: each write has three conditions: this VM still holds the right, and neither the record nor the
//! operators' status was written by another VM since this one read it. So of two VMs that both assume that
//! they hold the right, only one can write.

use super::RECORD_PREFIX;
use crate::gateway::Gateway;
use crate::store::lease_keeper::{ORDERS_KEY, OrderRight};
use crate::store::store_link::StoreLink;
use crate::{
    RolloutPhase, RolloutReason, RolloutRecord, RolloutRun, RolloutStep, StoreItem, StorePosition,
    StoreRefusal, StoreTransaction,
};
use spanfold_entity::Moment;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Interval between decisions: a bad version gets requests for up to this much longer.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed call: calls are priced, refused ones too.
const RETRY_DELAY: Duration = Duration::from_millis(800);

/// Decides the phases of all rollouts, until the process ends.
pub(crate) async fn decide_rollouts(gateway: Arc<Gateway>, right: watch::Receiver<OrderRight>) {
    let mut decider = RolloutDecider { link: StoreLink::new(&gateway, "rollouts"), gateway, right };
    loop {
        let delay = decider.write_due().await;
        tokio::time::sleep(delay).await;
    }
}

/// Record and status of one rollout that are due to be written.
struct DueRecord {
    record: RolloutRecord,
    reason: Option<RolloutReason>,
    record_position: Option<StorePosition>,
    status_position: Option<StorePosition>,
}

struct RolloutDecider {
    gateway: Arc<Gateway>,
    link: StoreLink,
    right: watch::Receiver<OrderRight>,
}

impl RolloutDecider {
    /// Writes due records; returns the delay until the next decision.
    async fn write_due(&mut self) -> Duration {
        let now = self.gateway.now();
        let order_right = *self.right.borrow();
        let has_right = order_right.fencing != 0 && now >= order_right.from && now < order_right.until;
        if !has_right || self.gateway.is_stopping() {
            return DECISION_INTERVAL;
        }
        for due in self.due_records(now) {
            if !self.write(&due, StorePosition::of_fencing(order_right.fencing)).await {
                return RETRY_DELAY;
            }
        }
        DECISION_INTERVAL
    }

    /// Returns the records that are due to be written.
    fn due_records(&self, now: Moment) -> Vec<DueRecord> {
        let gateway = &self.gateway;
        let rollouts = gateway.rollouts();
        let encode_status = gateway.dialect.decoders.rollout_status;
        let records = rollouts.runs().filter_map(|run| {
            let step = self.next_step(run, now);
            let phase = step.map_or(run.phase, |step| step.phase);
            let service = &run.order.service;
            let stored_status = rollouts.statuses.get(service);
            let is_status_current = stored_status
                .is_some_and(|stored| stored.value == encode_status(phase, &run.order.target).as_slice());
            if run.recorded == Some(phase) && is_status_current {
                return None;
            }
            let record = RolloutRecord {
                service: service.clone(),
                target: run.order.target.clone(),
                order: run.position,
                phase,
                elapsed_millis: run.elapsed_millis(now),
            };
            let record_position = rollouts.record_positions.get(service).copied();
            let reason = step.map(|step| step.reason);
            Some(DueRecord {
                record,
                reason,
                record_position,
                status_position: stored_status.map(|stored| stored.position),
            })
        });
        records.collect()
    }

    fn next_step(&self, run: &RolloutRun, now: Moment) -> Option<RolloutStep> {
        let table = self.gateway.table();
        let rows = || table.rows_of(&run.order.service).map(|(_, row)| row);
        let is_target = |version: &str| *version == *run.order.target;
        let is_complete =
            !run.has_other_versions && rows().any(|row| is_target(&row.entry.version) && row.takes_work(now));
        if is_complete && !run.phase.is_concluded() && !run.is_withdrawn {
            return Some(RolloutStep { phase: RolloutPhase::Succeeded, reason: RolloutReason::InPlace });
        }
        let is_old_version_busy =
            rows().any(|row| !is_target(&row.entry.version) && row.load(now).running > 0);
        run.next_step(is_old_version_busy, now)
    }

    /// Writes one record and its status for operators; false if the write may have failed.
    async fn write(&mut self, due: &DueRecord, right_position: StorePosition) -> bool {
        let record = &due.record;
        let dialect = &self.gateway.dialect;
        let record_key = format!("{RECORD_PREFIX}{}", record.service);
        let status_key = format!("{}{}", dialect.keys.rollout_statuses, record.service);
        // A plain struct of texts and numbers always has a JSON form.
        let value = serde_json::to_vec(record).unwrap_or_default();
        let status = (dialect.decoders.rollout_status)(record.phase, &record.target);
        let write = StoreTransaction {
            conditions: vec![
                (ORDERS_KEY.to_owned(), Some(right_position)),
                (record_key.clone(), due.record_position),
                (status_key.clone(), due.status_position),
            ],
            writes: vec![(record_key.clone(), value, 0), (status_key.clone(), status.clone(), 0)],
            removals: Vec::new(),
        };
        let (call, read) = ((dialect.store.transact)(&write), dialect.store.decode_transact);
        match self.link.call("write", &call, read).await {
            Some(Ok(position)) => {
                let reason = due.reason.map_or("ordered", RolloutReason::label);
                log::warn!(service = record.service.as_str(), target = record.target.as_str(),
                    phase = record.phase.label(), reason, position:%; "rollout.decided");
                self.gateway.rollouts().record_positions.insert(record.service.clone(), position);
                self.gateway.rollouts().record_status(&record.service, &status, position);
                self.gateway.apply_rollout(record);
                true
            }
            Some(Err(StoreRefusal::Conflict(items))) => {
                self.apply_conflict(&record.service, &items, (&record_key, &status_key));
                false
            }
            _ => false,
        }
    }

    /// Applies the items that the store contains instead of those that the write expected.
    fn apply_conflict(&self, service: &str, items: &[StoreItem], (record_key, status_key): (&str, &str)) {
        let find = |key: &str| items.iter().find(|item| item.key == key);
        match find(record_key) {
            Some(item) => self.gateway.record_rollout(item),
            None => drop(self.gateway.rollouts().record_positions.remove(service)),
        }
        let mut rollouts = self.gateway.rollouts();
        match find(status_key) {
            Some(item) => rollouts.record_status(service, &item.value, item.position),
            None => drop(rollouts.statuses.remove(service)),
        }
    }
}
