//! A counting gate that lets the highest priority through first.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::oneshot;

type Line = BTreeMap<(std::cmp::Reverse<i64>, u64), oneshot::Sender<GatePass>>;

#[derive(Debug, Default)]
struct GateState {
    free: u32,
    arrivals: u64,
    line: Line,
}

/// A gate with a number of places; those who wait are let in by priority, then by arrival.
#[derive(Clone, Debug)]
pub(crate) struct PriorityGate(Arc<Mutex<GateState>>);

/// A place behind the gate, given back when dropped.
#[derive(Debug)]
pub(crate) struct GatePass(Option<PriorityGate>);

impl PriorityGate {
    pub(crate) fn new(places: u32) -> Self {
        Self(Arc::new(Mutex::new(GateState { free: places, ..GateState::default() })))
    }

    pub(crate) async fn enter(&self, priority: i64) -> GatePass {
        let receiver = {
            let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            if state.free > 0 && state.line.is_empty() {
                state.free -= 1;
                return GatePass(Some(self.clone()));
            }
            let (sender, receiver) = oneshot::channel();
            state.arrivals += 1;
            let place = (std::cmp::Reverse(priority), state.arrivals);
            state.line.insert(place, sender);
            receiver
        };
        receiver.await.unwrap_or(GatePass(None))
    }

    pub(crate) fn waiting(&self) -> usize {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).line.len()
    }

    fn leave(&self) {
        let mut pass = GatePass(Some(self.clone()));
        loop {
            let next = {
                let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
                let Some((_, next)) = state.line.pop_first() else {
                    state.free += 1;
                    pass.0 = None;
                    return;
                };
                next
            };
            // One who has gone away gives the pass back.
            match next.send(pass) {
                Ok(()) => return,
                Err(back) => pass = back,
            }
        }
    }
}

impl Drop for GatePass {
    fn drop(&mut self) {
        if let Some(gate) = self.0.take() {
            gate.leave();
        }
    }
}
