//! Why a request finds no endpoint, in counts of the endpoints that do not take it.

use crate::{FleetTable, PlacementRequest};
use spanfold_entity::Moment;
use std::fmt;

/// Endpoints of a service by the first reason for which they do not take a request, the strictest first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BlockedCounts {
    /// All that are listed.
    pub listed: usize,
    /// They leave, or their entries are gone or cannot be read.
    pub leaving: usize,
    /// Their data centre is evacuated.
    pub evacuated: usize,
    /// They stand outside the regions of the request.
    pub elsewhere: usize,
    /// The request may not go to their version while its service moves to another one.
    pub version: usize,
    /// The request was sent to them before.
    pub tried: usize,
    /// They asked this VM for rest, or return from one.
    pub resting: usize,
    /// They name a limit or are cold, and this VM's part is used up.
    pub limited: usize,
    /// Sends to them failed, or VMs that tried them report so.
    pub ejected: usize,
    /// Their weights are being changed.
    pub closing: usize,
}

impl fmt::Display for BlockedCounts {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} listed", self.listed)?;
        let reasons = [
            ("leaving", self.leaving),
            ("evacuated", self.evacuated),
            ("elsewhere", self.elsewhere),
            ("of another version", self.version),
            ("tried", self.tried),
            ("resting", self.resting),
            ("limited", self.limited),
            ("ejected", self.ejected),
            ("closing", self.closing),
        ];
        reasons
            .iter()
            .filter(|(_, count)| *count > 0)
            .try_for_each(|(name, count)| write!(out, ", {count} {name}"))
    }
}

impl FleetTable {
    /// Counts why the endpoints of a service do not take a request.
    pub fn blocked(&self, ask: &PlacementRequest<'_>, now: Moment) -> BlockedCounts {
        let mut counts = BlockedCounts::default();
        for (key, row) in self.rows_of(ask.service) {
            counts.listed += 1;
            let rests = row.rest.next_at(now) > now;
            let reason = if row.is_departing(now) {
                &mut counts.leaving
            } else if !row.takes_work(now) {
                &mut counts.evacuated
            } else if !self.is_home(ask.homes, &row.entry.data_centre) {
                &mut counts.elsewhere
            } else if !ask.versions.allows(key, row) {
                &mut counts.version
            } else if ask.exclude.contains(&key) {
                &mut counts.tried
            } else if rests {
                &mut counts.resting
            } else if self.next_share(key, row, &ask.shares, now) != Some(now) {
                &mut counts.limited
            } else if row.is_ejected(now) {
                &mut counts.ejected
            } else if row.is_closing(now) {
                &mut counts.closing
            } else {
                continue;
            };
            *reason += 1;
        }
        counts
    }
}
