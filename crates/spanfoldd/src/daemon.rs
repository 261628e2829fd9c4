//! One running VM: its listeners, its control thread and its tasks.

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

/// Messages of peers that wait for the control thread.
const INBOX: usize = 4_096;
/// Time for the balancer to notice that this VM is not ready any more.
const BALANCER_DRAIN_DELAY: Duration = Duration::from_secs(1);
/// Period of looking whether requests are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// Its identity cannot be used.
    #[error(transparent)]
    Identity(#[from] IdentityError),
    /// A file cannot be read.
    #[error("{file}: {cause}")]
    File {
        /// The file.
        file: String,
        /// Why.
        cause: std::io::Error,
    },
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        cause: std::io::Error,
    },
}

/// One running VM.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<SharedState>,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Daemon {
    /// Starts a VM. Must be called within a multi-thread tokio runtime.
    ///
    /// # Errors
    /// If a file cannot be read or an address cannot be listened on.
    pub async fn start(settings: Settings) -> Result<Self, DaemonError> {
        let file_error =
            |file: &std::path::Path, cause| DaemonError::File { file: file.display().to_string(), cause };
        let keys = SecretKeys::read(&settings.secret_file)
            .map_err(|cause| file_error(&settings.secret_file, cause))?;
        let identity =
            PeerIdentity::read(&settings.name, &settings.certificate, &settings.key, &settings.authority)?;
        let caller_listener = listen(settings.callers).await?;
        let operator_listener = listen(settings.operators).await?;
        let (callers, operators) = (local(&caller_listener), local(&operator_listener));
        let incarnation: u64 = rand::random::<u64>() | 1;
        let (inbox, received) = mpsc::channel(INBOX);
        let node = PeerNode::listen(identity, settings.peers, incarnation, inbox)?;
        let peers = node.address().unwrap_or(settings.peers);
        let origin = Instant::now();
        let world = World {
            me: settings.name.clone(),
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
        // Unbounded: its length is bounded by open requests, and an end must never be lost.
        let control = ControlActor::spawn_in_thread_with_mailbox(actor, mailbox::unbounded());
        shared.set_control(control);
        let tasks = vec![
            tokio::spawn(pass_messages(Arc::clone(&shared), received)),
            tokio::spawn(tick(Arc::clone(&shared))),
            tokio::spawn(crate::platform_task::follow_vm_list(Arc::clone(&shared))),
            tokio::spawn(crate::platform_task::follow_head(Arc::clone(&shared))),
            tokio::spawn(caller::serve_callers(Arc::clone(&shared), caller_listener)),
            tokio::spawn(caller::serve_operators(Arc::clone(&shared), operator_listener)),
        ];
        log::info!(name = shared.settings.name.as_str(), callers:% = callers; "daemon.started");
        Ok(Self { shared, callers, operators, peers, tasks })
    }

    /// Address for callers.
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Address for operators.
    pub const fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Address for peers.
    pub const fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Stops as planned: leaves the balancer, gives up its roles, finishes what is in flight.
    ///
    /// New requests are served until the balancer has had time to look elsewhere; after that they
    /// are refused as not run.
    pub async fn stop(self) {
        let grace = tokio::time::Instant::now() + Duration::from_millis(self.shared.settings.grace_millis);
        log::info!(name = self.shared.settings.name.as_str(); "daemon.stopping");
        self.shared.stopping.store(true, Ordering::SeqCst);
        tokio::time::sleep(BALANCER_DRAIN_DELAY).await;
        self.shared.raise_surely(Event::Stop).await;
        while self.shared.open_requests.load(Ordering::SeqCst) > 0 && tokio::time::Instant::now() < grace {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        // The last answers' events and the last words to peers are still on their way.
        tokio::time::sleep(DRAIN_POLL_INTERVAL * 5).await;
        self.kill();
    }

    /// Ends all tasks at once, as a crash would.
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

fn local(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)))
}

async fn pass_messages(
    shared: Arc<SharedState>,
    mut received: mpsc::Receiver<spanfold_peer::ReceivedMessage>,
) {
    while let Some(message) = received.recv().await {
        shared.raise(Event::Receive { from: message.from, message: message.message });
    }
}

async fn tick(shared: Arc<SharedState>) {
    let mut interval = tokio::time::interval(Duration::from_millis(shared.settings.tick_millis));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        shared.raise(Event::Tick);
    }
}
