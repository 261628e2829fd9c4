//! Propagates changes in the platform's store to other VMs, in fragments if they are large.
//!
//! Invariant: the fragments of an update are sent in order, no faster than the links of this VM and of its
//! receivers allow.

use crate::gateway::Gateway;
use crate::peers::gossip;
use crate::peers::peer_message::PeerMessage;
use crate::store::store_updates::{StoreUpdates, UpdatePlan};
use crate::{PropagationPlan, RelayGroup, StoreEvent, StorePosition, VmKey};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

/// Number of large answers that are sent at the same time. Further VMs poll the store, which has the wider
/// link.
const MAX_LARGE_ANSWERS: usize = 4;
/// Answers up to this size are sent to all VMs that request changes. Right after a start each VM of a data
/// centre has listed at another position, and a VM without an answer polls the store, where each call has its
/// price.
const MAX_SMALL_ANSWER_BYTES: usize = 32 * 1_024;

/// Changes between two positions.
#[derive(Clone, Debug)]
pub(crate) struct StoreChanges {
    pub from: StorePosition,
    pub to: StorePosition,
    pub events: Vec<StoreEvent>,
    /// Time since the store returned them, in microseconds.
    pub age_micros: u64,
}

/// Sends changes and requests for changes to other VMs.
#[derive(Debug)]
pub(crate) struct UpdatePropagator {
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    /// Answers being sent, by the requesting VM.
    answers: HashMap<VmKey, JoinHandle<()>>,
}

impl UpdatePropagator {
    pub(crate) fn new(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) -> Self {
        Self { gateway, socket, answers: HashMap::new() }
    }

    /// Propagates changes to all VMs of this data centre; returns when the last fragment is sent.
    pub(crate) async fn propagate_locally(&self, changes: &StoreChanges) {
        let now = self.gateway.now();
        let propagation = self.gateway.peers().propagation_plan(now);
        send_changes(&self.gateway, &self.socket, changes, (&propagation, true)).await;
        if !changes.events.is_empty() {
            // A VM that missed the update learns of it from the next digest.
            self.gateway.loads_changed.notify_one();
        }
    }

    /// Requests the changes after `position` from another VM. Unlike a call to the store this costs nothing,
    /// and the store may be unreachable.
    pub(crate) async fn request_updates(&self, vm: VmKey, position: StorePosition) {
        let message = PeerMessage::StoreAsk(self.gateway.next_stamp(), position);
        let target = self.gateway.peers().address_of(vm);
        gossip::send_message(&self.gateway, &self.socket, &message, target.as_slice()).await;
    }

    /// Whether a VM's request for changes of `bytes` may be answered now: each VM gets one answer at a time,
    /// and only `MAX_LARGE_ANSWERS` VMs a large one.
    pub(crate) fn may_answer(&mut self, vm: VmKey, bytes: usize) -> bool {
        self.answers.retain(|_, answer| !answer.is_finished());
        let has_capacity = bytes <= MAX_SMALL_ANSWER_BYTES || self.answers.len() < MAX_LARGE_ANSWERS;
        has_capacity && !self.answers.contains_key(&vm)
    }

    /// Answers a VM's request in a separate task.
    pub(crate) fn answer(&mut self, vm: VmKey, changes: StoreChanges) {
        let Some(target) = self.gateway.peers().address_of(vm) else { return };
        let (gateway, socket) = (Arc::clone(&self.gateway), Arc::clone(&self.socket));
        let propagation = PropagationPlan::single(target, self.gateway.settings.link_mbps);
        let answer =
            tokio::spawn(
                async move { send_changes(&gateway, &socket, &changes, (&propagation, false)).await },
            );
        self.answers.insert(vm, answer);
    }
}

/// Sends `changes` to the receivers of a plan; `is_spread` if these are all VMs of the data centre.
async fn send_changes(
    gateway: &Gateway,
    socket: &UdpSocket,
    changes: &StoreChanges,
    (propagation, is_spread): (&PropagationPlan, bool),
) {
    if propagation.receiver_count() == 0 {
        return;
    }
    let StoreChanges { from, to, ref events, age_micros } = *changes;
    let plan = UpdatePlan::new(events, propagation);
    let pause_micros = plan.interval.as_micros() as u64;
    let own_group = RelayGroup { relay: VmKey::of(&gateway.settings.name), leaves: Vec::new() };
    for (index, body) in plan.bodies.into_iter().enumerate() {
        if index > 0 {
            tokio::time::sleep(plan.interval).await;
        }
        let trouble_micros = gateway.store_failure_age();
        let group = is_spread.then(|| own_group.clone());
        let updates =
            StoreUpdates { from, to, body, is_spread, group, pause_micros, age_micros, trouble_micros };
        for (address, group) in &propagation.relays {
            let updates = StoreUpdates { group: Some(group.clone()), ..updates.clone() };
            let message = PeerMessage::Store(gateway.next_stamp(), updates);
            gossip::send_message(gateway, socket, &message, &[*address]).await;
        }
        if !propagation.targets.is_empty() {
            let message = PeerMessage::Store(gateway.next_stamp(), updates);
            gossip::send_message(gateway, socket, &message, &propagation.targets).await;
        }
    }
}
