//! One running VM: its listeners, control thread and tasks.

use crate::caller;
use crate::control::ControlActor;
use crate::secret::SecretKeys;
use crate::shared::{SharedParts, SharedState};
use kameo::actor::Spawn;
use kameo::mailbox;
use spanfold_declare::Settings;
use spanfold_kernel::{Event, Kernel, World};
use spanfold_peer::{IdentityError, PeerIdentity, PeerNode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Capacity of the queue of peer messages for the control thread.
const MAX_INBOX_MESSAGES: usize = 4_096;
/// Time in which the balancer notices that this VM is no longer ready.
const BALANCER_DRAIN_DELAY: Duration = Duration::from_secs(1);
/// Interval of checks for requests that are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The reason why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The VM's certificate, key or authority cannot be used.
    #[error(transparent)]
    Identity(#[from] IdentityError),
    /// A file cannot be read or created.
    #[error("{file}: {cause}")]
    File {
        /// The file.
        file: String,
        /// The system's error.
        cause: std::io::Error,
    },
    /// A listener cannot be bound to its address.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        cause: std::io::Error,
    },
}

/// One running VM.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<SharedState>,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    peer_address: SocketAddr,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Daemon {
    /// Starts a VM. Must be called within a multi-thread tokio runtime.
    ///
    /// # Errors
    /// If a file cannot be read or created, the identity cannot be used, or an address cannot be bound.
    pub async fn start(settings: Settings) -> Result<Self, DaemonError> {
        let file_error =
            |file: &std::path::Path, cause| DaemonError::File { file: file.display().to_string(), cause };
        let keys = SecretKeys::read(&settings.secret_file)
            .map_err(|cause| file_error(&settings.secret_file, cause))?;
        let identity =
            PeerIdentity::read(&settings.name, &settings.certificate, &settings.key, &settings.authority)?;
        let caller_listener = listen(settings.callers).await?;
        let operator_listener = listen(settings.operators).await?;
        let (caller_address, operator_address) =
            (local_address(&caller_listener), local_address(&operator_listener));
        let incarnation: u64 = rand::random::<u64>() | 1;
        let (inbox, received) = mpsc::channel(MAX_INBOX_MESSAGES);
        let node = PeerNode::listen(identity, settings.peers, incarnation, inbox)?;
        let peer_address = node.address().unwrap_or(settings.peers);
        let origin = Instant::now();
        let world = World {
            own_name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation,
            variant: settings.variant.clone(),
            shards: settings.shards,
            flush_millis: settings.flush_millis,
            ..World::default()
        };
        let session_file = settings.session_file.clone().unwrap_or_default();
        let shared =
            Arc::new(SharedState::new(SharedParts { settings, keys, incarnation, peers: node, origin }));
        let actor = ControlActor::new(Kernel::new(world), Arc::clone(&shared))
            .map_err(|cause| file_error(&session_file, cause))?;
        // Unbounded, since the event that ends a request must never be lost; the number of open requests
        // bounds its length.
        let control = ControlActor::spawn_in_thread_with_mailbox(actor, mailbox::unbounded());
        shared.set_control(control);
        let tasks = vec![
            tokio::spawn(forward_messages(Arc::clone(&shared), received)),
            tokio::spawn(tick(Arc::clone(&shared))),
            tokio::spawn(crate::platform_task::follow_vm_list(Arc::clone(&shared))),
            tokio::spawn(crate::platform_task::follow_head(Arc::clone(&shared))),
            tokio::spawn(caller::serve_callers(Arc::clone(&shared), caller_listener)),
            tokio::spawn(caller::serve_operators(Arc::clone(&shared), operator_listener)),
        ];
        log::info!(name = shared.settings.name.as_str(), callers:% = caller_address; "daemon.started");
        Ok(Self { shared, caller_address, operator_address, peer_address, tasks })
    }

    /// Returns the address for callers.
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for operators.
    pub const fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns the address for peers.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Performs a planned stop: leaves the balancer, gives up its roles, finishes requests in flight.
    ///
    /// New requests are served until the balancer has had time to choose other VMs; after that they
    /// are refused as not run.
    pub async fn stop(self) {
        let grace_deadline =
            tokio::time::Instant::now() + Duration::from_millis(self.shared.settings.grace_millis);
        log::info!(name = self.shared.settings.name.as_str(); "daemon.stopping");
        self.shared.stopping.store(true, Ordering::SeqCst);
        tokio::time::sleep(BALANCER_DRAIN_DELAY).await;
        self.shared.send_event(Event::Stop).await;
        while self.shared.open_requests.load(Ordering::SeqCst) > 0
            && tokio::time::Instant::now() < grace_deadline
        {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        // The events of the last answers and the last messages to peers may still be in transit.
        tokio::time::sleep(DRAIN_POLL_INTERVAL * 5).await;
        self.kill();
    }

    /// Aborts all tasks at once, as a crash would.
    pub fn kill(&self) {
        for task in &self.tasks {
            task.abort();
        }
        self.shared.peers.close();
        log::info!(name = self.shared.settings.name.as_str(); "daemon.stopped");
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.map_err(|cause| DaemonError::Listen { address, cause })
}

fn local_address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)))
}

async fn forward_messages(
    shared: Arc<SharedState>,
    mut received: mpsc::Receiver<spanfold_peer::ReceivedMessage>,
) {
    while let Some(message) = received.recv().await {
        shared.try_send_event(Event::Receive { from: message.from, message: message.message });
    }
}

async fn tick(shared: Arc<SharedState>) {
    let mut interval = tokio::time::interval(Duration::from_millis(shared.settings.tick_millis));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        shared.try_send_event(Event::Tick);
    }
}
