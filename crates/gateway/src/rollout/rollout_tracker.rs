//! Applies orders, records and evidence of rollouts from the store, answers and other VMs.
//!
//! Invariant: the table of rollouts is locked before the table of endpoints, never after it.

use super::versioned_send::VersionedSend;
use crate::endpoints::answer_handler::ForwardScope;
use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::{
    CanaryDraw, EndpointEntry, ExposureTerms, RolloutPhase, RolloutRecord, RolloutTable, RouteCounts,
    SendOutcome, StoreItem, SumKey, VersionSplit,
};
use std::sync::{MutexGuard, PoisonError};

/// Time after receiving an order from which a VM may mark endpoints departed, in milliseconds.
///
/// It marks those of other versions when the rollout succeeds. A VM that received the order more recently has
/// just started: the endpoints that it sees may have started after the rollout finished.
const MIN_OBSERVATION_MILLIS: u64 = 100;

impl Gateway {
    /// Locks the table of rollouts; the lock is not held across an await.
    pub(crate) fn rollouts(&self) -> MutexGuard<'_, RolloutTable> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the bound on requests that all VMs together send to a bad version.
    pub(crate) fn exposure_terms(&self) -> ExposureTerms {
        ExposureTerms { share: self.settings.exposure_share, slack: self.settings.exposure_slack }
    }

    /// Applies an order of the operator for `service`.
    pub(crate) fn apply_rollout_order(&self, service: &str, item: &StoreItem) {
        let order = (self.dialect.decoders.rollout)(&item.value).and_then(|order| {
            let is_same_service = order.service == service;
            is_same_service
                .then_some(order)
                .ok_or_else(|| "the service in the order differs from the one in its key".to_owned())
        });
        let order = match order {
            Ok(order) => order,
            Err(cause) => {
                self.count_rollout("unreadable");
                log::error!(key = item.key.as_str(), cause = cause.as_str(); "rollout.unreadable");
                return;
            }
        };
        if self.routes().is_some_and(|routes| !routes.config().services.contains_key(service)) {
            log::warn!(service; "rollout.unknown_service");
        }
        let (now, target) = (self.now(), order.target.clone());
        let duration_ms = order.duration_millis;
        let mut rollouts = self.rollouts();
        if !rollouts.order(order, item.position, now) {
            return;
        }
        let others = {
            let table = self.table();
            let rows = table.rows_of(service).filter(|(_, row)| !row.is_departing(now));
            rows.filter(|(_, row)| *row.entry.version != *target).count()
        };
        if let Some(run) = rollouts.run_mut(service) {
            run.has_other_versions = others > 0;
        }
        drop(rollouts);
        self.count_rollout("begun");
        log::warn!(service, target = target.as_str(), duration_ms:?, others, position:% = item.position;
            "rollout.begun");
    }

    /// Records that the operator withdrew the order for `service`.
    pub(crate) fn withdraw_rollout(&self, service: &str) {
        if self.rollouts().withdraw(service) {
            self.count_rollout("withdrawn");
            log::warn!(service; "rollout.withdrawn");
        }
    }

    /// Applies a record that the deciding VM stored.
    pub(crate) fn record_rollout(&self, item: &StoreItem) {
        match serde_json::from_slice::<RolloutRecord>(&item.value) {
            Ok(record) => {
                self.rollouts().record_positions.insert(record.service.clone(), item.position);
                self.apply_rollout(&record);
            }
            Err(error) => log::error!(key = item.key.as_str(), cause:% = error; "rollout.unreadable"),
        }
    }

    /// Applies the phase of a record, and logs it if it is new.
    pub(crate) fn apply_rollout(&self, record: &RolloutRecord) {
        let now = self.now();
        let mut rollouts = self.rollouts();
        if !rollouts.apply(record, now) {
            return;
        }
        let Some(run) = rollouts.run(&record.service) else { return };
        let (service, target) = (record.service.as_str(), record.target.as_str());
        let has_observed = now >= run.received_order_at.after_millis(MIN_OBSERVATION_MILLIS);
        if record.phase == RolloutPhase::Succeeded && has_observed {
            self.table().mark_other_versions_departed(service, target);
        }
        let counts = run.evidence.totals();
        drop(rollouts);
        let phase = record.phase.label();
        self.count_rollout(phase);
        log::warn!(service, target, phase, elapsed_ms = record.elapsed_millis,
            target_answers = counts.target.answers, target_failed = counts.target.failed,
            target_slow = counts.target.slow, other_answers = counts.other.answers,
            other_failed = counts.other.failed, other_slow = counts.other.slow; "rollout.phase");
    }

    /// Records the version of an endpoint whose entry was written.
    pub(crate) fn record_entry_version(&self, entry: &EndpointEntry) {
        let mut rollouts = self.rollouts();
        if let Some(run) = rollouts.run_mut(&entry.service) {
            run.has_other_versions |= *entry.version != *run.order.target && !entry.draining;
        }
    }

    /// Returns the versions that a request of `service` may use, in order of preference.
    pub(crate) fn version_splits(&self, service: &str, draw: &mut CanaryDraw) -> Vec<VersionSplit> {
        let mut rollouts = self.rollouts();
        if rollouts.run(service).is_none() {
            return vec![VersionSplit::Any];
        }
        let now = self.now();
        rollouts.splits(
            service,
            &self.exposure_terms(),
            draw,
            |target, share| self.table().last_canary_order(service, target, share, now),
            |key, terms| self.sharing_right().map_or(0, |right| right.share_of_total(key, terms)),
        )
    }

    /// Returns the target version of `service` while a rollout is in progress.
    pub(crate) fn rollout_target(&self, service: &str) -> Option<String> {
        let rollouts = self.rollouts();
        rollouts.run(service).filter(|run| !run.phase.is_concluded()).map(|run| run.order.target.clone())
    }

    /// Records the outcome of a send to an endpoint of a service with a rollout.
    pub(crate) fn record_version_outcome(&self, send: &VersionedSend, outcome: SendOutcome) {
        let Some(answer) = send.answer(outcome) else { return };
        if self.rollouts().observe(&send.service, send.route, &answer) {
            self.log_suspicion(&send.service, "answers");
        }
    }

    /// Adds counts of other VMs, and queues those that this VM forwards.
    pub(crate) fn add_rollout_sums(&self, reported: &[(SumKey, RouteCounts)], forward: ForwardScope) {
        if reported.is_empty() {
            return;
        }
        let mut rollouts = self.rollouts();
        for (key, counts) in reported {
            match forward {
                ForwardScope::Nobody => {}
                ForwardScope::Remote => rollouts.sums.remote.add(*key, *counts),
                ForwardScope::Relayed => rollouts.sums.relayed.add(*key, *counts),
            }
        }
        let suspected = rollouts.add(reported);
        drop(rollouts);
        for service in suspected {
            self.log_suspicion(&service, "other VMs");
        }
    }

    fn log_suspicion(&self, service: &str, source: &str) {
        let rollouts = self.rollouts();
        let Some(run) = rollouts.run(service) else { return };
        let counts = run.evidence.totals();
        log::warn!(service, target = run.order.target.as_str(), source,
            target_answers = counts.target.answers, target_failed = counts.target.failed,
            target_slow = counts.target.slow, other_answers = counts.other.answers,
            other_failed = counts.other.failed, other_slow = counts.other.slow; "rollout.doubted");
    }

    fn count_rollout(&self, kind: &str) {
        self.metrics.rollouts.get_or_create(&KindLabel::new(kind)).inc();
    }
}
