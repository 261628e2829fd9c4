//! The store's updates of the last seconds, for VMs that missed some of them.
//!
//! Invariant: an answer contains every update from the requested position to the newest one recorded here.

use crate::{StoreEvent, StorePosition};
use spanfold_entity::Moment;
use std::collections::VecDeque;

/// Retention of updates, in milliseconds.
///
/// This is several times the time that a VM needs to detect a gap.
const RETENTION_MILLIS: u64 = 15_000;
/// Maximum number of retained steps.
const MAX_STEPS: usize = 256;
/// Maximum number of retained bytes.
///
/// This is a few values of the largest size that a store accepts.
const MAX_HISTORY_BYTES: usize = 4 << 20;

/// The events between two positions.
#[derive(Debug)]
struct HistoryStep {
    from: StorePosition,
    to: StorePosition,
    at: Moment,
    events: Vec<StoreEvent>,
}

/// A sequence of steps without a gap.
#[derive(Debug, Default)]
pub struct UpdateHistory(VecDeque<HistoryStep>);

impl UpdateHistory {
    /// Adds a step; clears the history first if there is a gap before it.
    pub fn push(&mut self, from: StorePosition, to: StorePosition, events: &[StoreEvent], now: Moment) {
        if from >= to {
            return;
        }
        if self.0.back().is_some_and(|last| last.to != from) {
            self.0.clear();
        }
        self.0.push_back(HistoryStep { from, to, at: now, events: events.to_vec() });
        while self.0.len() > MAX_STEPS
            || self.bytes() > MAX_HISTORY_BYTES
            || self.0.front().is_some_and(|first| now >= first.at.after_millis(RETENTION_MILLIS))
        {
            self.0.pop_front();
        }
    }

    fn bytes(&self) -> usize {
        self.0.iter().flat_map(|step| &step.events).map(StoreEvent::size).sum()
    }

    /// Returns all events after `position`, and the newest position.
    ///
    /// Returns `None` if some of these events are missing here, or `position` is the newest.
    ///
    /// A step that contains `position` is returned whole.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_decide::{StorePosition, UpdateHistory};
    /// let at = |revision| StorePosition { era: 1, revision };
    /// let mut history = UpdateHistory::default();
    /// history.push(at(4), at(7), &[], Moment(0));
    /// assert_eq!(history.since(at(4)), Some((at(7), vec![])));
    /// assert_eq!(history.since(at(3)), None);
    /// ```
    pub fn since(&self, position: StorePosition) -> Option<(StorePosition, Vec<StoreEvent>)> {
        let (first, last) = (self.0.front()?, self.0.back()?);
        if position < first.from || position >= last.to {
            return None;
        }
        let steps = self.0.iter().filter(|step| step.to > position);
        Some((last.to, steps.flat_map(|step| step.events.iter().cloned()).collect()))
    }
}
