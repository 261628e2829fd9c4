//! Evaluates evidence, and writes quarantines to the platform's store.
//!
//! VMs that start later read them there. Each is stored under a lease that expires with it.
//!
//! Invariant: a key is written only if it is absent or contains an earlier quarantine of the same suspect,
//! or a wider set of companions.
//! The store deletes it when the quarantine ends, so no VM has to run for that.

use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::quarantine::stored_quarantine::StoredQuarantine;
use crate::store::store_link::StoreLink;
use crate::{QuarantinePhase, QuarantinedSuspect, StoreRefusal, StoreTransaction, SuspectKey, SuspectKind};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::sync::Arc;
use std::time::Duration;

/// Prefix of the keys of quarantines; the suspect's digest follows.
pub(crate) const QUARANTINE_PREFIX: &str = "spanfold/held/";

/// Interval between checks for expired quarantines and due writes, in milliseconds.
const POLL_INTERVAL_MILLIS: u64 = 500;
/// Delay after a failed call, in milliseconds: calls are priced, refused ones too.
const RETRY_DELAY_MILLIS: u64 = 2_000;
/// Minimum lifetime of a requested lease, in milliseconds.
const MIN_LEASE_MILLIS: u64 = 1_000;

/// Evaluates suspects whose evidence is due, and ends expired quarantines, until the process ends.
///
/// This task makes no calls: an unreachable store must not delay an evaluation.
pub(crate) async fn evaluate_evidence(gateway: Arc<Gateway>) {
    let mut next_sweep_at = Moment(0);
    loop {
        let wake_at = gateway.quarantine_tracker().quarantine.next_evaluation_at().min(next_sweep_at);
        tokio::select! {
            () = gateway.evidence_received.notified() => {}
            () = gateway.wait_until(wake_at) => {}
        }
        gateway.evaluate_suspects();
        if gateway.now() >= next_sweep_at {
            sweep(&gateway);
            next_sweep_at = gateway.now().after_millis(POLL_INTERVAL_MILLIS);
        }
    }
}

fn sweep(gateway: &Gateway) {
    let now = gateway.now();
    let (expired, held_requests, held_segments) = {
        let mut tracker = gateway.quarantine_tracker();
        let expired = tracker.quarantine.sweep(now);
        let held = |kind| {
            let rows = tracker.quarantine.rows();
            rows.filter(|(_, row)| row.phase == QuarantinePhase::Quarantined && row.kind == kind).count()
        };
        (expired, held(SuspectKind::Request), held(SuspectKind::Segment))
    };
    gateway.metrics.quarantine.held_requests.set(held_requests as i64);
    gateway.metrics.quarantine.held_parts.set(held_segments as i64);
    gateway.sweep_trials();
    for (suspect, row) in expired {
        let part = gateway.quarantine_tracker().part_name(suspect).to_owned();
        log::warn!(digest:% = suspect, part = part.as_str(), round = row.round, turned_away = row.turned_away;
            "quarantine.ended");
        gateway.metrics.quarantine.holds.get_or_create(&KindLabel::new("ended")).inc();
    }
}

/// Writes quarantines to the store, and deletes released ones there, until the process ends.
pub(crate) async fn write_quarantines(gateway: Arc<Gateway>) {
    let mut writer = QuarantineWriter { link: StoreLink::new(&gateway, "holds"), gateway };
    loop {
        tokio::select! {
            () = writer.gateway.quarantine_changed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MILLIS)) => {}
        }
        writer.write_due().await;
    }
}

struct QuarantineWriter {
    gateway: Arc<Gateway>,
    link: StoreLink,
}

impl QuarantineWriter {
    async fn write_due(&mut self) {
        loop {
            let now = self.gateway.now();
            let Some((suspect, row)) = self.gateway.quarantine_tracker().quarantine.due_write(now) else {
                return;
            };
            let is_done = match row.phase {
                QuarantinePhase::Quarantined => self.write(suspect, &row).await,
                QuarantinePhase::Suspected | QuarantinePhase::Probation => true,
                QuarantinePhase::Released => self.remove(suspect).await,
            };
            let retry_at =
                if is_done { Moment::NEVER } else { self.gateway.now().after_millis(RETRY_DELAY_MILLIS) };
            self.gateway.quarantine_tracker().quarantine.record_written(suspect, &row, retry_at);
        }
    }

    /// Writes a quarantine under a lease of its own; returns whether it or a later one is in the store.
    async fn write(&mut self, suspect: SuspectKey, row: &QuarantinedSuspect) -> bool {
        let dialect = self.gateway.dialect.store;
        let remaining_millis = row.until.micros_since(self.gateway.now()) / MICROS_PER_MILLI;
        let grant = (dialect.grant)(remaining_millis.max(MIN_LEASE_MILLIS));
        let Some(Ok(grant)) = self.link.call("grant", &grant, dialect.decode_grant).await else {
            return false;
        };
        let quarantine = self.gateway.quarantine_tracker().stored_form(suspect, row);
        // Plain structs of numbers and texts always have a JSON form.
        let value = serde_json::to_vec(&quarantine).unwrap_or_default();
        let key = format!("{QUARANTINE_PREFIX}{suspect}");
        let mut stored_position = None;
        for _ in 0..2 {
            let write = StoreTransaction {
                conditions: vec![(key.clone(), stored_position)],
                writes: vec![(key.clone(), value.clone(), grant.lease)],
                removals: Vec::new(),
            };
            match self.link.call("write", &(dialect.transact)(&write), dialect.decode_transact).await {
                Some(Ok(position)) => {
                    log::info!(digest:% = suspect, round = row.round, position:%; "quarantine.written");
                    return true;
                }
                Some(Err(StoreRefusal::Conflict(items))) => {
                    let Some(item) = items.first() else { return false };
                    let stored = serde_json::from_slice::<StoredQuarantine>(&item.value);
                    if stored.is_ok_and(|stored| stored.covers(&quarantine)) {
                        return true;
                    }
                    stored_position = Some(item.position);
                }
                _ => return false,
            }
        }
        false
    }

    async fn remove(&mut self, suspect: SuspectKey) -> bool {
        let dialect = self.gateway.dialect.store;
        let removals = vec![format!("{QUARANTINE_PREFIX}{suspect}")];
        let write = StoreTransaction { removals, ..StoreTransaction::default() };
        matches!(
            self.link.call("write", &(dialect.transact)(&write), dialect.decode_transact).await,
            Some(Ok(_))
        )
    }
}
