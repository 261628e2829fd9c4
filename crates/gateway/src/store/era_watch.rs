//! What a VM does when answers of the store tell of its eras.
//!
//! Invariant: an answer of an era that is over changes nothing; one of a new era ends all that rests on the one before: what
//! was listed, leases, the right to order engines, conditions of writes.

use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use hyper::header::HeaderMap;

impl Gateway {
    /// Takes an era that the store or another VM told.
    pub(crate) fn note_era(&self, era: u64, source: &str) {
        if self.era.raise(era) {
            // What the copy lacks is written again soon: entries that vanish are held meanwhile.
            self.note_store_trouble(self.now());
            self.desk().quarantine.write_all_again();
            log::warn!(era, source; "store.restored");
        }
        self.metrics.store_era.set(self.era.known().unwrap_or_default() as i64);
    }

    /// The era of an answer of the store; none if that era is over, and the answer with it.
    ///
    /// An answer that tells none, or what is no number, counts as one of the era that is known.
    pub(crate) fn era_of(&self, headers: &HeaderMap) -> Option<u64> {
        let text = headers.get(&self.dialect.headers.store_era).map(|value| value.to_str().unwrap_or("?"));
        match text.map(str::parse) {
            Some(Ok(era)) => self.note_era(era, "store"),
            Some(Err(_)) => self.note_odd_era("unreadable", text),
            None if self.era.known().is_none() => self.note_era(0, "store"),
            None => {}
        }
        let known = self.era.known().unwrap_or_default();
        let told = text.and_then(|text| text.parse().ok()).unwrap_or(known);
        if told < known {
            self.note_odd_era("over", text);
            return None;
        }
        Some(told)
    }

    fn note_odd_era(&self, kind: &str, told: Option<&str>) {
        self.metrics.odd_eras.get_or_create(&KindLabel::new(kind)).inc();
        log::warn!(kind, told = told.unwrap_or_default(), known = self.era.known().unwrap_or_default(); "era.odd");
    }
}
