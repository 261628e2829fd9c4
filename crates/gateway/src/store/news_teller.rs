//! Tells other VMs of changes in the platform's store, in pieces if they are large.
//!
//! Invariant: pieces of one telling leave in order and no faster than this VM's link and its hearers' allow.

use crate::gateway::Gateway;
use crate::peers::gossip;
use crate::peers::peer_message::PeerMessage;
use crate::store::store_news::{NewsPlan, StoreNews};
use crate::{PropagationPlan, StoreEvent, StorePosition, VmKey};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

/// VMs that are answered large changes at once: who asks beyond them asks the store, which has the wider link.
const ANSWERS_LIMIT: usize = 4;
/// Changes of at most so many bytes are answered to all that ask: right after a start each VM of a data centre has
/// listed at another position, and those that get no answer here ask the store, where each call has its price.
const SMALL_BYTES: usize = 32 * 1_024;

/// What is told: changes between two positions.
#[derive(Clone, Debug)]
pub(crate) struct ToldChanges {
    pub from: StorePosition,
    pub to: StorePosition,
    pub events: Vec<StoreEvent>,
    /// How long ago the store told them, in microseconds.
    pub age_micros: u64,
}

/// Tells other VMs of changes.
#[derive(Debug)]
pub(crate) struct NewsTeller {
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    /// Answers on their way, by the VM that asked.
    answers: HashMap<VmKey, JoinHandle<()>>,
}

impl NewsTeller {
    pub(crate) fn new(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) -> Self {
        Self { gateway, socket, answers: HashMap::new() }
    }

    /// Tells all VMs of this data centre; returns when the last piece is on its way.
    pub(crate) async fn tell_near(&self, changes: &ToldChanges) {
        let spread = self.gateway.peers().propagation_plan();
        tell(&self.gateway, &self.socket, changes, (&spread, true)).await;
    }

    /// Asks another VM for the changes after `position`: that costs nothing, and the store may be out of reach.
    pub(crate) async fn ask(&self, vm: VmKey, position: StorePosition) {
        let message = PeerMessage::StoreAsk(self.gateway.next_stamp(), position);
        let target = self.gateway.peers().address_of(vm);
        gossip::tell(&self.gateway, &self.socket, &message, target.as_slice()).await;
    }

    /// Whether a VM that asks for so many bytes may be answered now: one answer to each at once, and few large ones.
    pub(crate) fn may_answer(&mut self, vm: VmKey, bytes: usize) -> bool {
        self.answers.retain(|_, answer| !answer.is_finished());
        let is_free = bytes <= SMALL_BYTES || self.answers.len() < ANSWERS_LIMIT;
        is_free && !self.answers.contains_key(&vm)
    }

    /// Tells a VM that asked, from a task of its own.
    pub(crate) fn answer(&mut self, vm: VmKey, changes: ToldChanges) {
        let Some(target) = self.gateway.peers().address_of(vm) else { return };
        let (gateway, socket) = (Arc::clone(&self.gateway), Arc::clone(&self.socket));
        let spread = PropagationPlan { targets: vec![target], ..PropagationPlan::default() };
        let answer = tokio::spawn(async move { tell(&gateway, &socket, &changes, (&spread, false)).await });
        self.answers.insert(vm, answer);
    }
}

async fn tell(
    gateway: &Gateway,
    socket: &UdpSocket,
    changes: &ToldChanges,
    (spread, is_spread): (&PropagationPlan, bool),
) {
    if spread.targets.is_empty() {
        return;
    }
    let ToldChanges { from, to, ref events, age_micros } = *changes;
    let plan = NewsPlan::new(events, spread, gateway.settings.link_mbps);
    let pause_micros = plan.pause.as_micros() as u64;
    for (place, body) in plan.bodies.into_iter().enumerate() {
        if place > 0 {
            tokio::time::sleep(plan.pause).await;
        }
        let trouble_micros = gateway.store_trouble_age();
        let news = StoreNews { from, to, body, is_spread, pause_micros, age_micros, trouble_micros };
        gossip::tell(gateway, socket, &PeerMessage::Store(gateway.next_stamp(), news), &spread.targets).await;
    }
}
