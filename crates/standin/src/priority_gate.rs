//! A semaphore that admits waiters by priority.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::oneshot;

type WaitingQueue = BTreeMap<(std::cmp::Reverse<i64>, u64), oneshot::Sender<GatePermit>>;

#[derive(Debug, Default)]
struct GateState {
    free_slots: u32,
    arrivals: u64,
    queue: WaitingQueue,
}

/// A gate with a number of slots; waiters are admitted by priority, then by order of arrival.
#[derive(Clone, Debug)]
pub(crate) struct PriorityGate(Arc<Mutex<GateState>>);

/// A slot of the gate, released when dropped.
#[derive(Debug)]
pub(crate) struct GatePermit(Option<PriorityGate>);

impl PriorityGate {
    pub(crate) fn new(slots: u32) -> Self {
        Self(Arc::new(Mutex::new(GateState { free_slots: slots, ..GateState::default() })))
    }

    pub(crate) async fn enter(&self, priority: i64) -> GatePermit {
        let receiver = {
            let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            if state.free_slots > 0 && state.queue.is_empty() {
                state.free_slots -= 1;
                return GatePermit(Some(self.clone()));
            }
            let (sender, receiver) = oneshot::channel();
            state.arrivals += 1;
            let position = (std::cmp::Reverse(priority), state.arrivals);
            state.queue.insert(position, sender);
            receiver
        };
        receiver.await.unwrap_or(GatePermit(None))
    }

    pub(crate) fn waiting(&self) -> usize {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).queue.len()
    }

    fn release(&self) {
        let mut permit = GatePermit(Some(self.clone()));
        loop {
            let waiter = {
                let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
                let Some((_, waiter)) = state.queue.pop_first() else {
                    state.free_slots += 1;
                    permit.0 = None;
                    return;
                };
                waiter
            };
            // A waiter that was dropped returns the permit; the next one gets it.
            match waiter.send(permit) {
                Ok(()) => return,
                Err(returned) => permit = returned,
            }
        }
    }
}

impl Drop for GatePermit {
    fn drop(&mut self) {
        if let Some(gate) = self.0.take() {
            gate.release();
        }
    }
}
