//! Work that other VMs have in flight at one endpoint, as they told.
//!
//! Invariant: the sum is that of the rows, so that a choice among many endpoints reads one number of each
//! and not a row of each VM; it holds as long as no row can have run out. With 256 engines, each with rows of seven
//! sources, a choice took 570 us while sums were made and plans were built for each engine, and
//! 52 us since (`placement_cost`).

use crate::{LoadCount, LoadSource, VmKey};
use spanfold_entity::Moment;

/// A peer's load counts for this long after its last digest, in milliseconds.
const PEER_LOAD_MILLIS: u64 = 1_500;

/// Loads by the source that told them.
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    rows: Vec<(LoadSource, LoadCount, Moment)>,
    sum: LoadCount,
    /// No row was told before this moment.
    oldest: Moment,
}

impl PeerLoads {
    /// Takes what `source` says that it has in flight.
    pub(crate) fn set(&mut self, source: LoadSource, load: LoadCount, now: Moment) {
        self.oldest = if self.rows.is_empty() { now } else { self.oldest.min(now) };
        match self.rows.iter_mut().find(|(other, _, _)| *other == source) {
            Some((_, known, told_at)) => {
                self.sum.subtract(*known);
                (*known, *told_at) = (load, now);
            }
            None => self.rows.push((source, load, now)),
        }
        self.sum.add(load);
    }

    /// Notes that `source` has nothing in flight.
    pub(crate) fn clear(&mut self, source: LoadSource) {
        let Some(place) = self.rows.iter().position(|(other, _, _)| *other == source) else { return };
        let (_, before, _) = self.rows.swap_remove(place);
        self.sum.subtract(before);
        if self.rows.is_empty() {
            // Most endpoints are busy for a moment only: an idle one holds no memory.
            self.rows = Vec::new();
        }
    }

    /// Load of all sources that told theirs lately.
    pub(crate) fn sum(&self, now: Moment) -> LoadCount {
        if now < self.oldest.after_millis(PEER_LOAD_MILLIS) {
            return self.sum;
        }
        self.sum_where(|_| true, now)
    }

    /// Load of the VMs that `counts` names.
    pub(crate) fn sum_of(&self, counts: impl Fn(VmKey) -> bool, now: Moment) -> LoadCount {
        self.sum_where(|source| matches!(source, LoadSource::Vm(vm) if counts(vm)), now)
    }

    /// Load of the VMs of other data centres, as their leads told.
    pub(crate) fn sum_far(&self, now: Moment) -> LoadCount {
        self.sum_where(|source| matches!(source, LoadSource::DataCentre(_)), now)
    }

    fn sum_where(&self, counts: impl Fn(LoadSource) -> bool, now: Moment) -> LoadCount {
        let mut sum = LoadCount::default();
        for (source, load, told_at) in &self.rows {
            if counts_at(*told_at, now) && counts(*source) {
                sum.add(*load);
            }
        }
        sum
    }

    /// Forgets what was told too long ago.
    pub(crate) fn sweep(&mut self, now: Moment) {
        let mut sum = LoadCount::default();
        let mut oldest = now;
        self.rows.retain(|(_, load, told_at)| {
            let stays = counts_at(*told_at, now);
            if stays {
                sum.add(*load);
                oldest = oldest.min(*told_at);
            }
            stays
        });
        if self.rows.is_empty() {
            self.rows = Vec::new();
        }
        self.sum = sum;
        self.oldest = oldest;
    }
}

fn counts_at(told_at: Moment, now: Moment) -> bool {
    now < told_at.after_millis(PEER_LOAD_MILLIS)
}
