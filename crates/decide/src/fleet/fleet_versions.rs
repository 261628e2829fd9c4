//! Endpoints of a service by the version of their software.

use crate::{FleetTable, VersionSplit};
use spanfold_entity::Moment;

impl FleetTable {
    /// The last endpoint, in the order of tests, of those that a share of the requests tests; none if no endpoint of the
    /// version takes work.
    pub fn last_tested(&self, service: &str, version: &str, share: f64, now: Moment) -> Option<u64> {
        let rows = self.rows_of(service).filter(|(_, row)| *row.entry.version == *version);
        let mut orders: Vec<_> = rows
            .filter(|(_, row)| row.takes_work(now))
            .map(|(key, _)| VersionSplit::test_order(key))
            .collect();
        let count = ((orders.len() as f64 * share).ceil() as usize).max(1);
        if orders.len() < count {
            return None;
        }
        let (_, last, _) = orders.select_nth_unstable(count - 1);
        Some(*last)
    }

    /// Notes that the endpoints of other versions than the one in use are stopped: they end without saying so.
    pub fn leave_behind(&mut self, service: &str, version: &str) {
        let rows = self.rows.values_mut().filter(|row| row.entry.service == *service);
        for row in rows.filter(|row| *row.entry.version != *version) {
            row.has_departed = true;
        }
    }
}
