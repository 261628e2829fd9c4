//! One running gateway: its listeners, its tasks, and its planned stop.

use crate::clock::GatewayClock;
use crate::endpoints::path_probe;
use crate::forward::{forward_port, forward_state};
use crate::gateway::Gateway;
use crate::operators::operator_port::OperatorPort;
use crate::operators::{load_sampler, operator_port};
use crate::orders::{order_task, publication_task, release_task};
use crate::peers::{cache_digest, cache_index_task, digest_relay, gossip};
use crate::quarantine::{quarantine_task, trial_task};
use crate::requests::accept_loop::{self, ListenerState};
use crate::store::lease_keeper::OrderRight;
use crate::store::store_view::OrdersView;
use crate::store::{follow, lease_keeper};
use crate::streams::{copy_task, software_task};
use crate::{FleetSweep, PathState, StopSchedule, WireDialect, clock, connections, rollout, store};
use spanfold_declare::GatewaySettings;
use spanfold_entity::Moment;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};

/// Interval between checks for open requests during a stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between removals of expired state.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between two such removals of a VM that was not suspended.
const MAX_SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Ports that are tried if the operating system chooses the one of messages between VMs.
const MAX_PORT_ATTEMPTS: usize = 16;

/// Capacity of the queue of store updates from other VMs; those beyond it are dropped, and queried later.
const MAX_PENDING_UPDATES: usize = 64;

/// Error of a gateway that could not start.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {cause}")]
pub struct GatewayError {
    /// Address that the gateway could not bind.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub cause: std::io::Error,
}

/// One running gateway.
#[derive(Debug)]
pub struct GatewayDaemon {
    gateway: Arc<Gateway>,
    listener_state: watch::Sender<ListenerState>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    addresses: [SocketAddr; 3],
}

impl GatewayDaemon {
    /// Starts a gateway. Must be called within a tokio runtime.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub async fn start(settings: GatewaySettings, dialect: WireDialect) -> Result<Self, GatewayError> {
        Self::start_with_clock(settings, dialect, GatewayClock::system()).await
    }

    /// Starts a gateway with the given clock, for tests.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub async fn start_with_clock(
        mut settings: GatewaySettings,
        dialect: WireDialect,
        clock: GatewayClock,
    ) -> Result<Self, GatewayError> {
        let callers = listen(settings.callers)?;
        let readiness = listen(settings.readiness)?;
        let metrics = listen(settings.metrics)?;
        let (socket, snapshot_listener) = bind_peer_port(settings.peers).await?;
        // With port zero the operating system chose a port, which other VMs need to receive.
        settings.peers = socket.local_addr().unwrap_or(settings.peers);
        let addresses = [&callers, &readiness, &metrics].map(local_address);
        let snapshot_listener = snapshot_listener.inspect_err(|error| {
            log::warn!(cause:% = error; "copies.unavailable");
        });
        let socket = Arc::new(socket);
        let gateway = Arc::new(Gateway::new(settings, dialect, clock));
        gateway.streams.set_socket(Arc::clone(&socket));
        let listener_state = watch::channel(ListenerState::Serving).0;
        let (orders, orders_view) = watch::channel(OrdersView::default());
        let (right, right_view) = watch::channel(OrderRight::default());
        let (updates, received_updates) = mpsc::channel(MAX_PENDING_UPDATES);
        let handle = || Arc::clone(&gateway);
        let tasks = vec![
            tokio::spawn(clock::compare_clocks(handle())),
            tokio::spawn(follow::follow_store(handle(), Arc::clone(&socket), orders, received_updates)),
            tokio::spawn(cache_index_task::follow_stores(handle())),
            tokio::spawn(cache_digest::send_cache_digests(handle(), Arc::clone(&socket))),
            tokio::spawn(lease_keeper::keep_lease(handle(), orders_view, right)),
            tokio::spawn(order_task::order_weights(handle(), right_view.clone())),
            tokio::spawn(publication_task::store_publications(handle())),
            tokio::spawn(rollout::decide_rollouts(handle(), right_view.clone())),
            tokio::spawn(quarantine_task::evaluate_evidence(handle())),
            tokio::spawn(quarantine_task::write_quarantines(handle())),
            tokio::spawn(trial_task::claim_trials(handle())),
            tokio::spawn(release_task::release_outdated_segments(handle(), right_view)),
            tokio::spawn(gossip::send_digests(handle(), Arc::clone(&socket))),
            tokio::spawn(gossip::send_remote_digests(handle(), Arc::clone(&socket))),
            tokio::spawn(gossip::relay_remote_digests(handle(), Arc::clone(&socket))),
            tokio::spawn(digest_relay::relay_digests(handle(), Arc::clone(&socket))),
            tokio::spawn(gossip::receive(handle(), socket, updates)),
            tokio::spawn(operator_port::serve_operators(handle(), readiness, OperatorPort::READINESS)),
            tokio::spawn(operator_port::serve_operators(handle(), metrics, OperatorPort::MANAGEMENT)),
            tokio::spawn(accept_loop::serve_callers(handle(), callers, listener_state.subscribe())),
            tokio::spawn(path_probe::watch_path(handle())),
            tokio::spawn(copy_task::keep_copies(handle())),
            tokio::spawn(software_task::record_software(handle())),
            tokio::spawn(forward_state::follow_path(handle())),
            tokio::spawn(accept_loop::adjust_pauses(handle())),
            tokio::spawn(sweep(handle())),
            tokio::spawn(load_sampler::sample_loads(handle())),
        ];
        let mut tasks = tasks;
        if let Ok(listener) = snapshot_listener {
            tasks.push(tokio::spawn(forward_port::serve_peers(
                handle(),
                listener,
                listener_state.subscribe(),
            )));
        }
        let name = gateway.settings.name.as_str();
        log::info!(name, incarnation = gateway.incarnation; "gateway.started");
        Ok(Self { gateway, listener_state, tasks, addresses })
    }

    /// Returns the address for callers.
    pub const fn callers(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// Returns the address for readiness checks of the balancer.
    pub const fn readiness(&self) -> SocketAddr {
        self.addresses[1]
    }

    /// Returns the address for metrics.
    pub const fn metrics(&self) -> SocketAddr {
        self.addresses[2]
    }

    /// Sets whether this VM reaches endpoints, and keeps that state, for tests.
    pub fn hold_path(&self, state: PathState) {
        self.gateway.is_path_held.store(true, Ordering::Relaxed);
        self.gateway.path.send_replace(state);
    }

    /// Presumes that this VM has always followed the services' software versions, for tests.
    pub fn presume_software_followed(&self) {
        self.gateway.table().set_software_followed_since(Moment(0));
    }

    /// Aborts all tasks at once, as a crash would.
    pub fn kill(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Stops gracefully: leaves the balancer, closes idle connections, and waits for open requests.
    ///
    /// Each request is answered, or refused as not run, before the end of the grace period.
    pub async fn stop(self) {
        let schedule = StopSchedule::begin(self.gateway.now(), self.gateway.settings.grace_s * 1_000);
        log::info!(name = self.gateway.settings.name.as_str(), grace_s = self.gateway.settings.grace_s;
            "gateway.stopping");
        self.gateway.stop.send_replace(schedule);
        self.gateway.wait_until(schedule.closes_at()).await;
        self.listener_state.send_replace(ListenerState::Draining);
        loop {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            let open = self.gateway.open_requests.load(Ordering::SeqCst)
                + self.gateway.caller_connections.load(Ordering::SeqCst)
                + self.gateway.peer_connections.load(Ordering::SeqCst);
            // A connection counts until its last answer is written, and no new one is accepted.
            if open == 0 || self.gateway.now() >= schedule.ends_at() {
                log::info!(open; "gateway.stopped");
                break;
            }
        }
        // The last bytes of the last answers may still be in transmission.
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        if self.gateway.caller_connections.load(Ordering::SeqCst) > 0 {
            // Their requests are logged before the process exits.
            self.listener_state.send_replace(ListenerState::Closed);
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.kill();
    }
}

fn local_address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    connections::listen(address).map_err(|cause| GatewayError { address, cause })
}

async fn listen_to_peers(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|cause| GatewayError { address, cause })
}

/// Binds the port of messages between VMs, and the same port over TCP for answers too large for datagrams.
async fn bind_peer_port(
    address: SocketAddr,
) -> Result<(UdpSocket, Result<TcpListener, GatewayError>), GatewayError> {
    let bind_socket =
        async |address| UdpSocket::bind(address).await.map_err(|cause| GatewayError { address, cause });
    if address.port() != 0 {
        return Ok((bind_socket(address).await?, listen_to_peers(address).await));
    }
    // The system chooses the port over TCP, where it skips those in TIME_WAIT. The same number may be taken
    // over UDP: then it chooses another one.
    let mut attempts = 1;
    loop {
        let listener = listen_to_peers(address).await?;
        match bind_socket(local_address(&listener)).await {
            Ok(socket) => return Ok((socket, Ok(listener))),
            Err(error) if error.cause.kind() != ErrorKind::AddrInUse => return Err(error),
            Err(error) if attempts == MAX_PORT_ATTEMPTS => return Err(error),
            Err(_) => attempts += 1,
        }
    }
}

async fn sweep(gateway: Arc<Gateway>) {
    for round in 0.. {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = gateway.now();
        gateway.repeat_answers(round);
        store::evict_expired_snapshot(&gateway);
        gateway.metrics.memory.held_bytes.set(gateway.memory.total() as i64);
        let digest_ages = gateway.digest_ages();
        let (swept, evacuated, view_ages) = {
            let mut table = gateway.table();
            table.set_digest_ages(digest_ages);
            for data_centre in table.expire_evacuations(now) {
                log::warn!(data_centre = data_centre.as_str(), source = "a restored store"; "evacuation.ended");
            }
            for endpoint in table.expire_limits(now) {
                log::warn!(endpoint = endpoint.as_str(); "limit.lapsed");
            }
            (table.sweep(now), table.evacuated(now).count(), table.view_ages())
        };
        let FleetSweep { removed, counts, avoidances, unlisted } = swept;
        gateway.log_avoidances(&avoidances);
        gateway.log_ended_graces(&unlisted);
        let gauges = &gateway.metrics.fleet;
        gauges.cold_endpoints.set(counts.cold as i64);
        gauges.limited_endpoints.set(counts.limited as i64);
        gauges.leaving_endpoints.set(counts.departed as i64);
        gauges.resting_endpoints.set(counts.backing_off as i64);
        gauges.unlisted_endpoints.set(counts.unlisted as i64);
        gauges.doubted_endpoints.set(counts.suspected as i64);
        gauges.avoided_endpoints.set(counts.avoided as i64);
        gauges.evacuated_data_centres.set(evacuated as i64);
        gauges.set_view_ages(view_ages);
        for key in removed {
            gateway.pool.close_idle(key);
        }
        gateway.metrics.costs.set(gateway.table().cost_models());
        gateway.quota_queue.queue().sweep(now);
        gateway.prompt_waits.queue().sweep(now);
        gateway.pool.sweep();
        accept_loop::close_overdue(&gateway, MAX_SWEEP_INTERVAL);
        operator_port::close_overdue(&gateway, MAX_SWEEP_INTERVAL);
        gateway.sweep_forwards();
        gateway.sweep_streams();
        gateway.peers().sweep(now);
    }
}
