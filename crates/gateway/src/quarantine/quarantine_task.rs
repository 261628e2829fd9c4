//! Keeps holds in the platform's store, each under a lease that ends with it, so that VMs that start later know them.
//!
//! Invariant: a key is written only over none or over an earlier hold of the same request; the store removes it by itself
//! when the hold is over, and nobody has to live for that.

use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::quarantine::quarantine_desk::StoredHold;
use crate::store::store_link::StoreLink;
use crate::{QuarantinePhase, QuarantinedRequest, RequestKey, StoreRefusal, StoreTransaction};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::sync::Arc;
use std::time::Duration;

/// Prefix of holds; the request's digest follows.
pub(crate) const HOLD_PREFIX: &str = "spanfold/held/";

/// Pause between looks at what is over, in milliseconds.
const POLL_INTERVAL_MILLIS: u64 = 500;
/// Pause after a failed call, in milliseconds: calls are priced, refused ones too.
const RETRY_MILLIS: u64 = 2_000;
/// The shortest lease that is asked for, in milliseconds.
const LEASE_LEAST_MILLIS: u64 = 1_000;

/// Judges requests when their evidence has settled, and ends holds whose time is over, until the process ends.
///
/// No call is made here: a store that is silent must not hold a judgement up.
pub(crate) async fn judge_holds(gateway: Arc<Gateway>) {
    let mut sweep_at = Moment(0);
    loop {
        let wake = gateway.desk().quarantine.next_evaluation_at().min(sweep_at);
        tokio::select! {
            () = gateway.evidence_came.notified() => {}
            () = gateway.until(wake) => {}
        }
        gateway.judge_requests();
        if gateway.now() >= sweep_at {
            sweep(&gateway);
            sweep_at = gateway.now().after_millis(POLL_INTERVAL_MILLIS);
        }
    }
}

fn sweep(gateway: &Gateway) {
    let now = gateway.now();
    let (ended, held) = {
        let mut desk = gateway.desk();
        let ended = desk.quarantine.sweep(now);
        (ended, desk.quarantine.rows().filter(|(_, row)| row.phase == QuarantinePhase::Held).count())
    };
    gateway.metrics.held_requests.set(held as i64);
    for (request, row) in ended {
        log::warn!(digest:% = request, round = row.round, turned_away = row.turned_away; "quarantine.ended");
        gateway.metrics.quarantine_holds.get_or_create(&KindLabel::new("ended")).inc();
    }
}

/// Writes holds into the store, and removes lifted ones there, until the process ends.
pub(crate) async fn write_holds(gateway: Arc<Gateway>) {
    let mut writer = HoldWriter { link: StoreLink::new(&gateway, "holds"), gateway };
    loop {
        tokio::select! {
            () = writer.gateway.holds_changed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MILLIS)) => {}
        }
        writer.write_due().await;
    }
}

struct HoldWriter {
    gateway: Arc<Gateway>,
    link: StoreLink,
}

impl HoldWriter {
    async fn write_due(&mut self) {
        loop {
            let now = self.gateway.now();
            let Some((request, row)) = self.gateway.desk().quarantine.due_write(now) else { return };
            let is_done = match row.phase {
                QuarantinePhase::Held => self.write(request, &row).await,
                QuarantinePhase::Trial => true,
                QuarantinePhase::Lifted => self.remove(request).await,
            };
            let again = if is_done { Moment::NEVER } else { self.gateway.now().after_millis(RETRY_MILLIS) };
            self.gateway.desk().quarantine.record_written(request, &row, again);
        }
    }

    /// Writes a hold under a lease of its own; whether it stands in the store, or a later one does.
    async fn write(&mut self, request: RequestKey, row: &QuarantinedRequest) -> bool {
        let dialect = self.gateway.dialect.store;
        let rest_millis = row.until.micros_since(self.gateway.now()) / MICROS_PER_MILLI;
        let grant = (dialect.grant)(rest_millis.max(LEASE_LEAST_MILLIS));
        let Some(Ok(grant)) = self.link.call("grant", &grant, dialect.read_grant).await else { return false };
        let label = self.gateway.desk().label(request).to_owned();
        let hold = StoredHold { round: row.round, endings: row.endings, request: label };
        // Plain structs of numbers and texts always have a JSON form.
        let value = serde_json::to_vec(&hold).unwrap_or_default();
        let key = format!("{HOLD_PREFIX}{request}");
        let mut standing_at = None;
        for _ in 0..2 {
            let write = StoreTransaction {
                conditions: vec![(key.clone(), standing_at)],
                writes: vec![(key.clone(), value.clone(), grant.lease)],
                removals: Vec::new(),
            };
            match self.link.call("write", &(dialect.transact)(&write), dialect.read_transact).await {
                Some(Ok(position)) => {
                    log::info!(digest:% = request, round = row.round, position:%; "quarantine.written");
                    return true;
                }
                Some(Err(StoreRefusal::Conflict(items))) => {
                    let Some(item) = items.first() else { return false };
                    let standing = serde_json::from_slice::<StoredHold>(&item.value);
                    if standing.is_ok_and(|standing| standing.round >= row.round) {
                        return true;
                    }
                    standing_at = Some(item.position);
                }
                _ => return false,
            }
        }
        false
    }

    async fn remove(&mut self, request: RequestKey) -> bool {
        let dialect = self.gateway.dialect.store;
        let removals = vec![format!("{HOLD_PREFIX}{request}")];
        let write = StoreTransaction { removals, ..StoreTransaction::default() };
        matches!(
            self.link.call("write", &(dialect.transact)(&write), dialect.read_transact).await,
            Some(Ok(_))
        )
    }
}
