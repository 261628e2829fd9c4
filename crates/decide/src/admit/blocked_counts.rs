//! Counts of the endpoints that do not accept a request, by reason.

use crate::{FleetTable, PlacementRequest};
use spanfold_entity::Moment;
use std::fmt;

/// Counts of a service's endpoints that do not accept a request. Each is counted by the first reason that
/// applies, the strictest reason first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BlockedCounts {
    /// All listed endpoints.
    pub listed: usize,
    /// Endpoints that are departing, or whose entries are missing or unreadable.
    pub departing: usize,
    /// Endpoints in an evacuated data centre.
    pub evacuated: usize,
    /// Endpoints outside the home regions of the request.
    pub outside_homes: usize,
    /// Endpoints whose version the request may not use during a rollout.
    pub other_version: usize,
    /// Endpoints to which the request was sent before.
    pub tried: usize,
    /// Endpoints that asked this VM to back off, or are returning from a backoff.
    pub backing_off: usize,
    /// Endpoints with a limit, or cold, for which this VM's share is used up.
    pub limited: usize,
    /// Endpoints to which sends of this VM failed.
    pub ejected: usize,
    /// Endpoints that are avoided on other VMs' reports.
    pub avoided: usize,
    /// Endpoints that failed before, while one request of this VM probes them.
    pub probed: usize,
    /// Endpoints that are cordoned because their weights are being changed.
    pub cordoned: usize,
}

impl BlockedCounts {
    /// Returns the number of endpoints that accept the request.
    pub const fn open(&self) -> usize {
        let blocked = self.departing
            + self.evacuated
            + self.outside_homes
            + self.other_version
            + self.tried
            + self.backing_off
            + self.limited
            + self.ejected
            + self.avoided
            + self.probed
            + self.cordoned;
        self.listed - blocked
    }

    /// Whether the request may use at most half of the endpoints that are listed.
    pub const fn is_mostly_blocked(&self) -> bool {
        self.open() * 2 <= self.listed
    }
}

impl fmt::Display for BlockedCounts {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} listed", self.listed)?;
        let reasons = [
            ("leaving", self.departing),
            ("evacuated", self.evacuated),
            ("elsewhere", self.outside_homes),
            ("of another version", self.other_version),
            ("tried", self.tried),
            ("resting", self.backing_off),
            ("limited", self.limited),
            ("ejected", self.ejected),
            ("avoided", self.avoided),
            ("probed", self.probed),
            ("closing", self.cordoned),
        ];
        reasons
            .iter()
            .filter(|(_, count)| *count > 0)
            .try_for_each(|(name, count)| write!(out, ", {count} {name}"))
    }
}

impl FleetTable {
    /// Counts the endpoints of a service that do not accept a request, by reason.
    pub fn count_blocked(&self, request: &PlacementRequest<'_>, now: Moment) -> BlockedCounts {
        let mut counts = BlockedCounts::default();
        for (key, row) in self.rows_of(request.service) {
            counts.listed += 1;
            let is_backing_off = row.backoff.next_at(now) > now;
            let reason = if row.is_departing(now) {
                &mut counts.departing
            } else if !row.takes_work(now) {
                &mut counts.evacuated
            } else if !self.is_home(request.homes, &row.entry.data_centre) {
                &mut counts.outside_homes
            } else if !request.versions.allows(key, row) {
                &mut counts.other_version
            } else if request.exclude.contains(&key) {
                &mut counts.tried
            } else if is_backing_off {
                &mut counts.backing_off
            } else if self.next_share(key, row, &request.shares, now) != Some(now) {
                &mut counts.limited
            } else if row.is_ejected_by_own_sends(now) {
                &mut counts.ejected
            } else if row.is_avoided(now) {
                &mut counts.avoided
            } else if row.is_ejected(now) {
                &mut counts.probed
            } else if row.is_cordoned(now) {
                &mut counts.cordoned
            } else {
                continue;
            };
            *reason += 1;
        }
        counts
    }
}
