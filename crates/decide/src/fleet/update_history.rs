//! The store's changes of the last seconds, for VMs that missed some.
//!
//! Invariant: what is handed out is whole from the position asked for to the newest one known here.

use crate::{StoreEvent, StorePosition};
use spanfold_entity::Moment;
use std::collections::VecDeque;

/// Changes are kept for this long, in milliseconds: several times what a VM needs to notice a gap.
const KEPT_MILLIS: u64 = 15_000;
/// Steps kept at most.
const STEPS_LIMIT: usize = 256;
/// Bytes kept at most: a few values of the largest size that a store takes.
const BYTES_LIMIT: usize = 4 << 20;

/// One step from one position to another.
#[derive(Debug)]
struct HistoryStep {
    from: StorePosition,
    to: StorePosition,
    at: Moment,
    events: Vec<StoreEvent>,
}

/// Steps that follow one another without a gap.
#[derive(Debug, Default)]
pub struct UpdateHistory(VecDeque<HistoryStep>);

impl UpdateHistory {
    /// Adds a step. One that does not follow the last one begins the history anew.
    pub fn push(&mut self, from: StorePosition, to: StorePosition, events: &[StoreEvent], now: Moment) {
        if from >= to {
            return;
        }
        if self.0.back().is_some_and(|last| last.to != from) {
            self.0.clear();
        }
        self.0.push_back(HistoryStep { from, to, at: now, events: events.to_vec() });
        while self.0.len() > STEPS_LIMIT
            || self.bytes() > BYTES_LIMIT
            || self.0.front().is_some_and(|first| now >= first.at.after_millis(KEPT_MILLIS))
        {
            self.0.pop_front();
        }
    }

    fn bytes(&self) -> usize {
        self.0.iter().flat_map(|step| &step.events).map(StoreEvent::size).sum()
    }

    /// All changes after `position`, and the position that they lead to; none if some are not known.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_decide::{NewsHistory, StorePosition};
    /// let at = |revision| StorePosition { era: 1, revision };
    /// let mut history = NewsHistory::default();
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
