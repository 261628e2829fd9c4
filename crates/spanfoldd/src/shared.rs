//! State shared by the daemon's tasks.

use crate::burn::BurnTable;
use crate::control::ControlActor;
use crate::endpoint_client::EndpointClient;
use crate::metrics::MetricsTable;
use crate::pending_answers::PendingAnswers;
use crate::secret::SecretKeys;
use kameo::actor::ActorRef;
use spanfold_declare::{Catalogue, Settings};
use spanfold_entity::Moment;
use spanfold_kernel::Event;
use spanfold_keyvalue::{KeyValueClient, VmListClient};
use spanfold_peer::PeerNode;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock};
use std::time::Instant;
use tokio::sync::watch;

/// State shared by the tasks of one daemon.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub settings: Settings,
    pub keys: SecretKeys,
    pub incarnation: u64,
    origin: Instant,
    next_request: AtomicU64,
    catalogue: RwLock<(u64, Arc<Catalogue>)>,
    pub vm_addresses: RwLock<HashMap<String, SocketAddr>>,
    pub pending: PendingAnswers,
    pub burn: BurnTable,
    pub metrics: MetricsTable,
    pub endpoints: EndpointClient,
    pub key_value: KeyValueClient,
    pub vm_list: VmListClient,
    pub peers: PeerNode,
    pub traffic: tokio::runtime::Handle,
    control: OnceLock<ActorRef<ControlActor>>,
    pub should_watch_head: watch::Sender<bool>,
    pub stopping: AtomicBool,
    pub open_requests: AtomicU64,
    pub cursors: Mutex<HashMap<String, u64>>,
    pub report: RwLock<serde_json::Value>,
}

/// Arguments of [`SharedState::new`].
pub(crate) struct SharedParts {
    pub settings: Settings,
    pub keys: SecretKeys,
    pub incarnation: u64,
    pub peers: PeerNode,
    pub origin: Instant,
}

impl SharedState {
    pub(crate) fn new(parts: SharedParts) -> Self {
        let SharedParts { settings, keys, incarnation, peers, origin } = parts;
        Self {
            key_value: KeyValueClient::new(settings.key_value),
            vm_list: VmListClient::new(settings.vm_list),
            settings,
            keys,
            incarnation,
            origin,
            // Keeps request numbers apart from those of an earlier process of this VM name.
            next_request: AtomicU64::new((incarnation & 0xffff_ffff) << 24),
            catalogue: RwLock::default(),
            vm_addresses: RwLock::default(),
            pending: PendingAnswers::default(),
            burn: BurnTable::default(),
            metrics: MetricsTable::new(),
            endpoints: EndpointClient::new(),
            peers,
            traffic: tokio::runtime::Handle::current(),
            control: OnceLock::new(),
            should_watch_head: watch::channel(false).0,
            stopping: AtomicBool::new(false),
            open_requests: AtomicU64::new(0),
            cursors: Mutex::default(),
            report: RwLock::default(),
        }
    }

    /// Returns the time since this process's origin.
    pub(crate) fn now(&self) -> Moment {
        Moment(self.origin.elapsed().as_micros() as u64)
    }

    /// Returns the time left until `moment`.
    pub(crate) fn time_until(&self, moment: Moment) -> std::time::Duration {
        std::time::Duration::from_micros(moment.micros_since(self.now()))
    }

    pub(crate) fn next_request_number(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the configuration in force and its generation.
    pub(crate) fn catalogue(&self) -> (u64, Arc<Catalogue>) {
        let current = self.catalogue.read().unwrap_or_else(PoisonError::into_inner);
        (current.0, Arc::clone(&current.1))
    }

    pub(crate) fn set_catalogue(&self, generation: u64, catalogue: Arc<Catalogue>) {
        let mut current = self.catalogue.write().unwrap_or_else(PoisonError::into_inner);
        if generation > current.0 {
            *current = (generation, catalogue);
        }
    }

    pub(crate) fn set_control(&self, control: ActorRef<ControlActor>) {
        let _ = self.control.set(control);
    }

    /// Sends an event to the control thread; returns false if its mailbox is full or closed.
    pub(crate) fn try_send_event(&self, event: Event) -> bool {
        let Some(control) = self.control.get() else { return false };
        control.tell(event).try_send().is_ok()
    }

    /// Sends an event that must not be lost to the control thread.
    pub(crate) async fn send_event(&self, event: Event) {
        if let Some(control) = self.control.get() {
            let _ = control.tell(event).send().await;
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }
}

/// Counts one request as in flight until the guard is dropped.
#[derive(Debug)]
pub(crate) struct FlightGuard(Arc<SharedState>);

impl FlightGuard {
    pub(crate) fn new(shared: &Arc<SharedState>) -> Self {
        shared.open_requests.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(shared))
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}
