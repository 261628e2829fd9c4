//! Handling of the store's era, which its answers report.
//!
//! The era counts restorations of the store from a backup. Invariant: an answer of a past era changes
//! nothing, and one of a new era invalidates all that depends on the previous one: what was listed, leases,
//! the right to order engines, conditions of writes.

use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use hyper::header::HeaderMap;

impl Gateway {
    /// Records an era that the store or another VM reported.
    pub(crate) fn record_era(&self, era: u64, source: &str) {
        if self.era.record(era) {
            // What the backup lacks is written again soon; entries that disappear meanwhile get a grace
            // period.
            self.record_store_restoration();
            self.quarantine_tracker().quarantine.rewrite_all();
            log::warn!(era, source; "store.restored");
        }
        self.metrics.store_era.set(self.era.known().unwrap_or_default() as i64);
    }

    /// Returns the era of an answer of the store; none if that era is past, and the answer with it.
    ///
    /// An answer without an era, or with one that isn't a number, counts as one of the newest era recorded.
    pub(crate) fn checked_era(&self, headers: &HeaderMap) -> Option<u64> {
        let header = headers.get(&self.dialect.headers.store_era).map(|value| value.to_str().unwrap_or("?"));
        match header.map(str::parse) {
            Some(Ok(era)) => self.record_era(era, "store"),
            Some(Err(_)) => self.record_invalid_era("unreadable", header),
            None if self.era.known().is_none() => self.record_era(0, "store"),
            None => {}
        }
        let newest = self.era.known().unwrap_or_default();
        let reported = header.and_then(|header| header.parse().ok()).unwrap_or(newest);
        if reported < newest {
            self.record_invalid_era("over", header);
            return None;
        }
        Some(reported)
    }

    fn record_invalid_era(&self, kind: &str, reported: Option<&str>) {
        self.metrics.odd_eras.get_or_create(&KindLabel::new(kind)).inc();
        log::warn!(kind, told = reported.unwrap_or_default(), known = self.era.known().unwrap_or_default(); "era.odd");
    }
}
