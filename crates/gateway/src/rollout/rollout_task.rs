//! Decides how far roll-outs have come, while this VM holds the right to order engines.
//!
//! Invariant: what is written stands under three conditions: the right is still this VM's, and neither the record nor what
//! operators read was written by anybody else since it was read. So of two VMs that both believe to hold the right, one
//! writes.

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

/// Pause between looks: a bad version gets requests for so much longer.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a call that failed: calls are priced, refused ones too.
const FAILURE_PAUSE: Duration = Duration::from_millis(800);

/// Decides until the process ends.
pub(crate) async fn decide_rollouts(gateway: Arc<Gateway>, right: watch::Receiver<OrderRight>) {
    let mut decider = RolloutDecider { link: StoreLink::new(&gateway, "rollouts"), gateway, right };
    loop {
        let pause = decider.look().await;
        tokio::time::sleep(pause).await;
    }
}

/// What is to be written of one roll-out.
struct DueRecord {
    record: RolloutRecord,
    reason: Option<RolloutReason>,
    record_at: Option<StorePosition>,
    status_at: Option<StorePosition>,
}

struct RolloutDecider {
    gateway: Arc<Gateway>,
    link: StoreLink,
    right: watch::Receiver<OrderRight>,
}

impl RolloutDecider {
    /// Writes what is due; gives the pause until the next look.
    async fn look(&mut self) -> Duration {
        let now = self.gateway.now();
        let right = *self.right.borrow();
        let holds = right.fencing != 0 && now >= right.from && now < right.until;
        if !holds || self.gateway.is_stopping() {
            return LOOK_PAUSE;
        }
        for due in self.due(now) {
            if !self.write(&due, StorePosition::of_fencing(right.fencing)).await {
                return FAILURE_PAUSE;
            }
        }
        LOOK_PAUSE
    }

    /// What is to be written now.
    fn due(&self, now: Moment) -> Vec<DueRecord> {
        let gateway = &self.gateway;
        let book = gateway.rollouts();
        let status = gateway.dialect.decode.rollout_status;
        let due = book.runs().filter_map(|run| {
            let step = self.next_step(run, now);
            let phase = step.map_or(run.phase, |step| step.phase);
            let service = &run.order.service;
            let known = book.statuses.get(service);
            let is_told =
                known.is_some_and(|known| known.value == status(phase, &run.order.target).as_slice());
            if run.recorded == Some(phase) && is_told {
                return None;
            }
            let record = RolloutRecord {
                service: service.clone(),
                target: run.order.target.clone(),
                order: run.position,
                phase,
                elapsed_millis: run.elapsed_millis(now),
            };
            let record_at = book.records_at.get(service).copied();
            let reason = step.map(|step| step.reason);
            Some(DueRecord { record, reason, record_at, status_at: known.map(|known| known.position) })
        });
        due.collect()
    }

    fn next_step(&self, run: &RolloutRun, now: Moment) -> Option<RolloutStep> {
        let table = self.gateway.table();
        let rows = || table.rows_of(&run.order.service).map(|(_, row)| row);
        let has_target = |version: &str| *version == *run.order.target;
        let is_in_place =
            !run.has_others && rows().any(|row| has_target(&row.entry.version) && row.takes_work(now));
        if is_in_place && !run.phase.is_concluded() && !run.is_withdrawn {
            return Some(RolloutStep { phase: RolloutPhase::Succeeded, reason: RolloutReason::InPlace });
        }
        let old_runs = rows().any(|row| !has_target(&row.entry.version) && row.load(now).running > 0);
        run.next_step(old_runs, now)
    }

    /// Writes one record, and what operators read of it; false if it may not have been done.
    async fn write(&mut self, due: &DueRecord, right_at: StorePosition) -> bool {
        let record = &due.record;
        let dialect = &self.gateway.dialect;
        let record_key = format!("{RECORD_PREFIX}{}", record.service);
        let status_key = format!("{}{}", dialect.keys.rollout_statuses, record.service);
        // A plain struct of texts and numbers always has a JSON form.
        let value = serde_json::to_vec(record).unwrap_or_default();
        let status = (dialect.decode.rollout_status)(record.phase, &record.target);
        let write = StoreTransaction {
            conditions: vec![
                (ORDERS_KEY.to_owned(), Some(right_at)),
                (record_key.clone(), due.record_at),
                (status_key.clone(), due.status_at),
            ],
            writes: vec![(record_key.clone(), value, 0), (status_key.clone(), status.clone(), 0)],
            removals: Vec::new(),
        };
        let (call, read) = ((dialect.store.transact)(&write), dialect.store.read_transact);
        match self.link.call("write", &call, read).await {
            Some(Ok(position)) => {
                let reason = due.reason.map_or("ordered", RolloutReason::label);
                log::warn!(service = record.service.as_str(), target = record.target.as_str(),
                    phase = record.phase.label(), reason, position:%; "rollout.decided");
                self.gateway.rollouts().records_at.insert(record.service.clone(), position);
                self.gateway.rollouts().record_status(&record.service, &status, position);
                self.gateway.apply_rollout(record);
                true
            }
            Some(Err(StoreRefusal::Conflict(items))) => {
                self.reread(&record.service, &items, (&record_key, &status_key));
                false
            }
            _ => false,
        }
    }

    /// Applies the items that the store holds in place of those that the write expected.
    fn reread(&self, service: &str, items: &[StoreItem], (record_key, status_key): (&str, &str)) {
        let find = |key: &str| items.iter().find(|item| item.key == key);
        match find(record_key) {
            Some(item) => self.gateway.record_rollout(item),
            None => drop(self.gateway.rollouts().records_at.remove(service)),
        }
        let mut book = self.gateway.rollouts();
        match find(status_key) {
            Some(item) => book.record_status(service, &item.value, item.position),
            None => drop(book.statuses.remove(service)),
        }
    }
}
