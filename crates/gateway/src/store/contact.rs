//! Answers and failed calls of the store, and the grace periods of entries that depend on them.

use crate::gateway::Gateway;
use crate::peers::load_digest::DigestScope;
use crate::{ContactAges, ContactChange, ContactSource, StoreOutage};
use spanfold_entity::{MICROS_PER_MILLI, Moment};

/// Time in which a VM that has listed the store receives what was written meanwhile, in milliseconds.
const UPDATE_DELAY_MILLIS: u64 = 1_000;

impl Gateway {
    /// Records that the store answered a VM.
    pub(crate) fn record_store_answer(&self, source: ContactSource, at: Moment) {
        let change = self.contact().record_answer(source, at.min(self.now()));
        self.apply_contact_change(change);
    }

    /// Records that a VM's call to the store failed.
    pub(crate) fn record_store_failure(&self, source: ContactSource, at: Moment) {
        let change = self.contact().record_failure(source, at.min(self.now()));
        self.apply_contact_change(change);
    }

    /// Holds grace periods while the store is away.
    pub(crate) fn hold_grace_periods(&self) {
        let now = self.now();
        let silence = self.contact().silence(now);
        if let Some(silence) = silence {
            self.table().hold_grace(silence, now);
        }
    }

    /// Records that the store was restored from a backup, which may lack entries.
    pub(crate) fn record_store_restoration(&self) {
        let now = self.now();
        self.forget_stored_publications();
        self.table().software_record_mut().record_restoration();
        let outage = self.contact().record_restoration(now);
        self.table().apply_contact_change(ContactChange::Returned(outage), now);
    }

    /// Returns until when the endpoint of an entry that was gone at `read_at` gets work; zero if it left.
    pub(crate) fn entry_grace_deadline(&self, read_at: Moment) -> Moment {
        let Some(deadline) = self.contact().grace_deadline(read_at) else { return Moment(0) };
        let now = self.now();
        // The entry may have been written since.
        if read_at < now { deadline.max(now.after_millis(UPDATE_DELAY_MILLIS)) } else { deadline }
    }

    /// Returns the last outage of the store.
    pub(crate) fn last_outage(&self) -> Option<StoreOutage> {
        self.contact().last_outage()
    }

    /// Returns what a digest of `scope` reports of the store.
    ///
    /// VMs report only what others cannot report back to them.
    pub(crate) fn contact_ages(&self, scope: DigestScope) -> ContactAges {
        let sources: &[_] = match scope {
            DigestScope::Vm => &[ContactSource::Own],
            DigestScope::DataCentre => &[ContactSource::Own, ContactSource::Local],
            DigestScope::Elsewhere => &[ContactSource::Remote],
        };
        self.contact().ages(sources, self.now())
    }

    /// Applies what another VM's digest reports of the store.
    pub(crate) fn apply_contact_ages(&self, ages: ContactAges, scope: DigestScope, is_local: bool) {
        let source = match scope {
            DigestScope::Vm if is_local => ContactSource::Local,
            DigestScope::Elsewhere => ContactSource::Indirect,
            DigestScope::Vm | DigestScope::DataCentre => ContactSource::Remote,
        };
        let now = self.now();
        let moment = |age: u64| Moment(now.0.saturating_sub(age));
        // A failure precedes the answer that ends its outage.
        if let Some(age) = ages.failed_micros {
            self.record_store_failure(source, moment(age));
        }
        if let Some(age) = ages.answered_micros {
            self.record_store_answer(source, moment(age));
        }
    }

    /// Logs which endpoints are no longer served without an entry, because it is back or the time is over.
    pub(crate) fn log_ended_graces(&self, endpoints: &[String]) {
        let now = self.now();
        for endpoint in endpoints {
            let is_listed = {
                let table = self.table();
                table.row(table.key_of(endpoint)).is_some_and(|row| row.grace_deadline.is_none())
            };
            let ago_ms =
                self.last_outage().map_or(0, |outage| now.micros_since(outage.ended_at) / MICROS_PER_MILLI);
            log::info!(endpoint = endpoint.as_str(), is_listed, returned_ms_ago = ago_ms; "endpoint.grace_ended");
        }
    }

    fn apply_contact_change(&self, change: ContactChange) {
        if change == ContactChange::None {
            return;
        }
        self.table().apply_contact_change(change, self.now());
        let away_ms = |outage: StoreOutage| outage.ended_at.micros_since(outage.began_at) / MICROS_PER_MILLI;
        match change {
            ContactChange::None => {}
            ContactChange::Returned(outage) => log::warn!(away_ms = away_ms(outage); "store.returned"),
            ContactChange::Refuted(outage) => {
                log::info!(away_ms = outage.map_or(0, away_ms); "store.outage_shortened");
            }
        }
    }
}
