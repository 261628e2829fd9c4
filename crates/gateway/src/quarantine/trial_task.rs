//! Claims the rights to run suspects that are on trial.
//!
//! A right is a key in the platform's store under a short lease: the VM that creates it has the right. While
//! the store does not answer, one live VM has it by rendezvous hashing.
//!
//! Invariant: a right is used only while its key exists.

use crate::gateway::Gateway;
use crate::store::store_link::StoreLink;
use crate::{StoreRefusal, StoreTransaction, SuspectKey};
use spanfold_entity::Moment;
use std::sync::Arc;

/// Prefix of the keys of rights; the suspect's digest follows.
const TRIAL_PREFIX: &str = "spanfold/trial/";
/// Lifetime of a right, in milliseconds: time for a long answer, and for its endpoint's crash to be noticed.
const TRIAL_LEASE_MILLIS: u64 = 10_000;
/// A right ends here this long before its lease may end in the store.
const TRIAL_MARGIN_MILLIS: u64 = 1_000;
/// Time after which a right that another VM has is claimed again, in milliseconds.
const DENIED_MILLIS: u64 = 300;

/// Claims wanted rights, and gives up used ones, until the process ends.
pub(crate) async fn claim_trials(gateway: Arc<Gateway>) {
    let mut link = StoreLink::new(&gateway, "trials");
    loop {
        let next_end_at = gateway.quarantine_tracker().trials.next_end_at();
        tokio::select! {
            () = gateway.trial_wanted.notified() => {}
            () = gateway.wait_until(next_end_at) => {}
        }
        let ended = gateway.quarantine_tracker().trials.take_ended(gateway.now());
        for suspect in ended {
            let removals = vec![format!("{TRIAL_PREFIX}{suspect}")];
            let removal = StoreTransaction { removals, ..StoreTransaction::default() };
            // The key ends with its lease if the store does not answer.
            let dialect = gateway.dialect.store;
            let _ = link.call("write", &(dialect.transact)(&removal), dialect.decode_transact).await;
        }
        let wanted = gateway.quarantine_tracker().trials.wanted();
        for suspect in wanted {
            let until = gateway.now().after_millis(TRIAL_LEASE_MILLIS - TRIAL_MARGIN_MILLIS);
            let is_granted = claim(&gateway, &mut link, suspect).await;
            let until = if is_granted { until } else { gateway.now().after_millis(DENIED_MILLIS) };
            log::info!(digest:% = suspect, granted = is_granted; "quarantine.trial");
            gateway.quarantine_tracker().trials.record(suspect, is_granted, until);
        }
    }
}

async fn claim(gateway: &Gateway, link: &mut StoreLink, suspect: SuspectKey) -> bool {
    let created = create_key(gateway, link, suspect).await;
    created.unwrap_or_else(|| gateway.peers().is_first_for(suspect.short(), gateway.now()))
}

/// Creates a right's key; returns whether this VM did, or none if the store does not say.
async fn create_key(gateway: &Gateway, link: &mut StoreLink, suspect: SuspectKey) -> Option<bool> {
    let dialect = gateway.dialect.store;
    let grant = link.call("grant", &(dialect.grant)(TRIAL_LEASE_MILLIS), dialect.decode_grant).await;
    let grant = grant?.ok()?;
    let key = format!("{TRIAL_PREFIX}{suspect}");
    let write = StoreTransaction {
        conditions: vec![(key.clone(), None)],
        writes: vec![(key, Vec::new(), grant.lease)],
        removals: Vec::new(),
    };
    match link.call("write", &(dialect.transact)(&write), dialect.decode_transact).await? {
        Ok(_) => Some(true),
        Err(StoreRefusal::Conflict(_)) => Some(false),
        Err(_) => None,
    }
}

impl Gateway {
    /// Records that the request that used the right to run a suspect has ended.
    pub(crate) fn end_trial(&self, suspect: SuspectKey) {
        self.quarantine_tracker().trials.end(suspect, self.now());
        self.trial_wanted.notify_one();
    }

    /// Forgets rights to suspects that are no longer on trial.
    pub(crate) fn sweep_trials(&self) {
        let (now, mut tracker) = (self.now(), self.quarantine_tracker());
        let tracker = &mut *tracker;
        tracker.trials.retain(|suspect| is_on_trial(&tracker.quarantine, suspect, now));
    }
}

fn is_on_trial(quarantine: &crate::RequestQuarantine, suspect: SuspectKey, now: Moment) -> bool {
    quarantine.rows().any(|(key, row)| key == suspect && row.phase.is_trial() && now < row.until)
}
