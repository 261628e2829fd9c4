//! Applies what the store, answers and other VMs tell of roll-outs.
//!
//! Invariant: the book of roll-outs is locked before the table of endpoints, never after it.

use super::versioned_send::VersionedSend;
use crate::endpoints::answer_handler::ForwardScope;
use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::{
    EndpointEntry, ExposureTerms, RolloutPhase, RolloutRecord, RolloutTable, RouteCounts, SendOutcome,
    StoreItem, SumKey, TestDraw, VersionSplit,
};
use std::sync::{MutexGuard, PoisonError};

/// A VM that has known a roll-out for less than this, in milliseconds, has just started: endpoints of other versions that it
/// sees may have started after the roll-out's end.
const KNOWN_MILLIS: u64 = 100;

impl Gateway {
    /// All roll-outs. Never held across a wait.
    pub(crate) fn rollouts(&self) -> MutexGuard<'_, RolloutTable> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What all VMs together may send to a version that turns out to be bad.
    pub(crate) fn exposure_terms(&self) -> ExposureTerms {
        ExposureTerms { share: self.settings.exposure_share, slack: self.settings.exposure_slack }
    }

    /// Takes an order of the operator for `service`.
    pub(crate) fn order_rollout(&self, service: &str, item: &StoreItem) {
        let order = (self.dialect.decode.rollout)(&item.value).and_then(|order| {
            let names = order.service == service;
            names.then_some(order).ok_or_else(|| "it names another service than its key".to_owned())
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
        let mut book = self.rollouts();
        if !book.order(order, item.position, now) {
            return;
        }
        let others = {
            let table = self.table();
            let rows = table.rows_of(service).filter(|(_, row)| !row.is_departing(now));
            rows.filter(|(_, row)| *row.entry.version != *target).count()
        };
        if let Some(run) = book.run_mut(service) {
            run.has_others = others > 0;
        }
        drop(book);
        self.count_rollout("begun");
        log::warn!(service, target = target.as_str(), duration_ms:?, others, position:% = item.position;
            "rollout.begun");
    }

    /// Notes that the operator took the order for `service` back.
    pub(crate) fn withdraw_rollout(&self, service: &str) {
        if self.rollouts().withdraw(service) {
            self.count_rollout("withdrawn");
            log::warn!(service; "rollout.withdrawn");
        }
    }

    /// Takes what the deciding VM keeps in the store.
    pub(crate) fn record_rollout(&self, item: &StoreItem) {
        match serde_json::from_slice::<RolloutRecord>(&item.value) {
            Ok(record) => {
                self.rollouts().records_at.insert(record.service.clone(), item.position);
                self.apply_rollout(&record);
            }
            Err(error) => log::error!(key = item.key.as_str(), cause:% = error; "rollout.unreadable"),
        }
    }

    /// Puts a phase in force.
    pub(crate) fn apply_rollout(&self, record: &RolloutRecord) {
        let now = self.now();
        let mut book = self.rollouts();
        if !book.apply(record, now) {
            return;
        }
        let Some(run) = book.run(&record.service) else { return };
        let (service, target) = (record.service.as_str(), record.target.as_str());
        let was_known = now >= run.known_at.after_millis(KNOWN_MILLIS);
        if record.phase == RolloutPhase::Succeeded && was_known {
            self.table().leave_behind(service, target);
        }
        let counts = run.evidence.totals();
        drop(book);
        let phase = record.phase.label();
        self.count_rollout(phase);
        log::warn!(service, target, phase, elapsed_ms = record.elapsed_millis,
            target_answers = counts.target.answers, target_failed = counts.target.failed,
            target_slow = counts.target.slow, other_answers = counts.other.answers,
            other_failed = counts.other.failed, other_slow = counts.other.slow; "rollout.phase");
    }

    /// Notes the version of an endpoint whose entry was written.
    pub(crate) fn note_version(&self, entry: &EndpointEntry) {
        let mut book = self.rollouts();
        if let Some(run) = book.run_mut(&entry.service) {
            run.has_others |= *entry.version != *run.order.target && !entry.draining;
        }
    }

    /// Where a request of `service` may go, in the order of preference.
    pub(crate) fn version_splits(&self, service: &str, draw: &mut TestDraw) -> Vec<VersionSplit> {
        let mut book = self.rollouts();
        if book.run(service).is_none() {
            return vec![VersionSplit::Any];
        }
        let now = self.now();
        book.splits(
            service,
            &self.exposure_terms(),
            draw,
            |target, share| self.table().last_tested(service, target, share, now),
            |key, terms| self.sharing_right().map_or(0, |right| right.share_of_total(key, terms)),
        )
    }

    /// The target of a roll-out of `service` that is under way.
    pub(crate) fn rollout_target(&self, service: &str) -> Option<String> {
        let book = self.rollouts();
        book.run(service).filter(|run| !run.phase.is_concluded()).map(|run| run.order.target.clone())
    }

    /// Learns from how a send to an endpoint of a service that moves went.
    pub(crate) fn observe_version(&self, send: &VersionedSend, outcome: SendOutcome) {
        let Some(answer) = send.answer(outcome) else { return };
        if self.rollouts().observe(&send.service, send.route, &answer) {
            self.log_doubt(&send.service, "answers");
        }
    }

    /// Adds what other VMs counted, and keeps it for those to which this VM forwards it.
    pub(crate) fn add_rollout_sums(&self, told: &[(SumKey, RouteCounts)], forward: ForwardScope) {
        if told.is_empty() {
            return;
        }
        let mut book = self.rollouts();
        for (key, counts) in told {
            match forward {
                ForwardScope::Nobody => {}
                ForwardScope::Remote => book.sums.far.add(*key, *counts),
                ForwardScope::Passed => book.sums.passed.add(*key, *counts),
            }
        }
        let suspected = book.add(told);
        drop(book);
        for service in suspected {
            self.log_doubt(&service, "other VMs");
        }
    }

    fn log_doubt(&self, service: &str, source: &str) {
        let book = self.rollouts();
        let Some(run) = book.run(service) else { return };
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
