//! What a VM keeps of the requests that it forwards, and of those that it takes from other VMs.

use super::forward_message::ForwardEnvelope;
use crate::endpoints::endpoint_pool::EndpointPool;
use crate::gateway::{CountGuard, Gateway};
use crate::{
    EndpointKey, ForwardPeer, ForwardPeers, PathState, UsedSequences, VmKey, direct_share, short_digest,
};
use spanfold_entity::Moment;
use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Lifetime of the list of VMs that take requests, in milliseconds: less than the interval of their digests.
const PEERS_LIFETIME_MILLIS: u64 = 100;
/// Forwarded requests that a VM takes at once, for each megabyte of its memory.
const TAKEN_PER_MEGABYTE: f64 = 1.0;
/// Interval between checks whether another VM is silent: as long as that between its digests.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which no request goes to another VM for its shares after one had none left, in milliseconds.
const SPILL_PAUSE_MILLIS: u64 = 100;
/// Fraction of the bytes that a VM may buffer beyond which it takes no forwarded requests.
const MAX_HELD_FRACTION: f64 = 0.5;

/// The VMs that take requests of this one, and when they must be listed again.
type ListedPeers = (Arc<ForwardPeers>, Moment);

/// State of forwarding at one VM.
#[derive(Debug, Default)]
pub(crate) struct ForwardState {
    /// Connections to other VMs, by address and incarnation.
    pub pool: EndpointPool,
    peers: Mutex<Option<ListedPeers>>,
    /// Requests of this VM at each other one.
    in_flight: Mutex<HashMap<VmKey, u64>>,
    used_sequences: Mutex<UsedSequences>,
    /// Sequence number of the last forwarded request.
    sequence: AtomicU64,
    /// Forwarded requests that this VM serves.
    pub taken: AtomicU64,
    /// When this VM's path to the endpoints came back, in microseconds; zero if it was never gone.
    opened_at: AtomicU64,
    /// No request goes to another VM for its shares before, in microseconds.
    spills_from: AtomicU64,
}

/// A request's place at the VM that it is forwarded to, until it is dropped.
#[derive(Debug)]
pub(crate) struct ForwardPlace {
    gateway: Arc<Gateway>,
    pub peer: ForwardPeer,
}

impl ForwardPlace {
    /// Returns the pool of connections to other VMs.
    pub(crate) fn pool(&self) -> &EndpointPool {
        &self.gateway.forwards.pool
    }

    /// Returns the key of the VM's pooled connections.
    pub(crate) fn pool_key(&self) -> EndpointKey {
        EndpointKey(short_digest(&self.peer.address.to_string()) ^ self.peer.incarnation)
    }
}

impl Drop for ForwardPlace {
    fn drop(&mut self) {
        let mut in_flight = self.gateway.forwards.in_flight();
        if let Some(count) = in_flight.get_mut(&self.peer.vm) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.peer.vm);
            }
        }
        self.gateway.metrics.forwards.in_flight.dec();
    }
}

impl ForwardState {
    fn in_flight(&self) -> std::sync::MutexGuard<'_, HashMap<VmKey, u64>> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the fraction of requests that this VM sends to endpoints itself while its path is open.
    pub(crate) fn direct_share(&self, now: Moment) -> f64 {
        direct_share(Moment(self.opened_at.load(Ordering::Relaxed)), now)
    }

    /// Whether a request may go to another VM because this VM's shares of endpoints do not suffice.
    pub(super) fn may_spill(&self, now: Moment) -> bool {
        now.0 >= self.spills_from.load(Ordering::Relaxed)
    }

    /// Records that another VM's shares did not suffice either: more requests arrive than endpoints take.
    pub(super) fn pause_spills(&self, now: Moment) {
        self.spills_from.store(now.after_millis(SPILL_PAUSE_MILLIS).0, Ordering::Relaxed);
    }

    /// Returns the sequence number of the next forwarded request.
    pub(super) fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }
}

impl Gateway {
    /// Reports whether this VM reaches endpoints, unless a test has set the state.
    pub(crate) fn report_path(&self, state: PathState) {
        if !self.is_path_held.load(Ordering::Relaxed) {
            self.path.send_if_modified(|current| std::mem::replace(current, state) != state);
        }
    }

    /// Whether this VM takes no requests of other VMs.
    pub(crate) fn is_closed_to_peers(&self) -> bool {
        *self.path.borrow() != PathState::Open || !self.is_ready()
    }

    /// Chooses another VM for a request; none if no VM takes requests.
    pub(super) fn choose_peer(self: &Arc<Self>, tried: &[VmKey]) -> Option<ForwardPlace> {
        self.choose_peer_among(&self.forward_peers(), tried)
    }

    /// Chooses one of `holders` for a request that this VM's shares of endpoints do not suffice for.
    pub(super) fn choose_share_holder(
        self: &Arc<Self>,
        holders: &BTreeSet<VmKey>,
        tried: &[VmKey],
    ) -> Option<ForwardPlace> {
        self.choose_peer_among(&self.forward_peers().only(|vm| holders.contains(&vm)), tried)
    }

    fn choose_peer_among(self: &Arc<Self>, peers: &ForwardPeers, tried: &[VmKey]) -> Option<ForwardPlace> {
        let mut in_flight = self.forwards.in_flight();
        let load = |vm: VmKey| in_flight.get(&vm).copied().unwrap_or(0);
        let peer = peers.choose(tried, load, rand::random)?.clone();
        *in_flight.entry(peer.vm).or_default() += 1;
        drop(in_flight);
        self.metrics.forwards.in_flight.inc();
        Some(ForwardPlace { gateway: Arc::clone(self), peer })
    }

    fn forward_peers(&self) -> Arc<ForwardPeers> {
        let now = self.now();
        let mut cached = self.forwards.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((peers, expires_at)) = cached.as_ref()
            && now < *expires_at
        {
            return Arc::clone(peers);
        }
        let peers = Arc::new(self.peers().forward_peers(now));
        *cached = Some((Arc::clone(&peers), now.after_millis(PEERS_LIFETIME_MILLIS)));
        peers
    }

    /// Returns once a VM has been silent for so long that it counts as dead.
    ///
    /// It has to be silent twice in a row: after a suspension of this VM, all seem to be.
    pub(crate) async fn wait_until_silent(&self, vm: VmKey) {
        let mut silent_polls = 0;
        while silent_polls < 2 {
            tokio::time::sleep(SILENCE_POLL_INTERVAL).await;
            silent_polls = if self.peers().is_silent(vm, self.now()) { silent_polls + 1 } else { 0 };
        }
    }

    /// Records that a request could not be forwarded to `vm`.
    pub(crate) fn avoid_peer(&self, vm: VmKey) {
        let now = self.now();
        self.peers().avoid_forwarding(vm, now);
        *self.forwards.peers.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Whether a forwarded request is for this incarnation of this VM, and was not received before.
    pub(super) fn accept_forwarded(&self, envelope: &ForwardEnvelope) -> bool {
        let stamp = envelope.stamp;
        if envelope.receiver != (VmKey::of(&self.settings.name), self.incarnation) {
            return false;
        }
        let is_current = self.peers().has_incarnation(stamp.vm, stamp.incarnation);
        let mut sequences = self.forwards.used_sequences.lock().unwrap_or_else(PoisonError::into_inner);
        sequences.accept(stamp.vm, stamp.incarnation, stamp.sequence, is_current)
    }

    /// Counts a forwarded request that this VM takes; none if it serves as many as it can.
    pub(super) fn take_place(self: &Arc<Self>) -> Option<CountGuard> {
        let max_taken = (self.settings.memory_mb * TAKEN_PER_MEGABYTE) as u64;
        let guard = CountGuard::new(self, |gateway| &gateway.forwards.taken);
        let is_full = self.forwards.taken.load(Ordering::SeqCst) > max_taken
            || self.memory.held_fraction() > MAX_HELD_FRACTION;
        (!is_full).then_some(guard)
    }

    /// Discards what is no longer needed of VMs that are gone.
    pub(crate) fn sweep_forwards(&self) {
        self.forwards.pool.sweep();
        let mut sequences = self.forwards.used_sequences.lock().unwrap_or_else(PoisonError::into_inner);
        let peers = self.peers();
        sequences.retain(|vm| peers.name_of(vm).is_some());
    }
}

/// Follows this VM's path to the endpoints until the process ends: other VMs learn of each change.
pub(crate) async fn follow_path(gateway: Arc<Gateway>) {
    let mut path = gateway.path.subscribe();
    let mut previous = *path.borrow_and_update();
    while path.changed().await.is_ok() {
        let state = *path.borrow_and_update();
        if state == PathState::Open && previous != PathState::Open {
            gateway.forwards.opened_at.store(gateway.now().0, Ordering::Relaxed);
        }
        previous = state;
        gateway.loads_changed.notify_one();
    }
}
