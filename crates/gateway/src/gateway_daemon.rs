//! One running gateway: its listeners, its tasks, and its planned stop.

use crate::clock::GatewayClock;
use crate::gateway::Gateway;
use crate::operators::operator_port;
use crate::orders::{free_task, naming_task, order_task};
use crate::peers::{digest_relay, gossip, kept_digest, kept_task};
use crate::quarantine::quarantine_task;
use crate::requests::front_door;
use crate::store::lease_keeper::OrderRight;
use crate::store::store_view::OrdersView;
use crate::store::{follow, lease_keeper};
use crate::{FleetSweep, WireDialect, clock, rollout, store};
use spanfold_declare::GatewaySettings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Time for the balancer to notice that this VM is not ready: it asks once a second and believes
/// the second miss.
const BALANCER_DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// Period of looking whether requests are still open at a stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Part of the grace that is left unused, so that the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(600);
/// Period of dropping what has ended.
const SWEEP_PAUSE: Duration = Duration::from_millis(500);

/// News of the store from other VMs that wait to be taken; those beyond them are asked for.
const NEWS_WAITING: usize = 64;

/// Why a gateway could not start.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {cause}")]
pub struct GatewayError {
    /// The address.
    pub address: SocketAddr,
    /// Why.
    pub cause: std::io::Error,
}

/// One running gateway.
#[derive(Debug)]
pub struct GatewayDaemon {
    gateway: Arc<Gateway>,
    closing: watch::Sender<bool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    addresses: [SocketAddr; 3],
}

impl GatewayDaemon {
    /// Starts a gateway. Must be called within a tokio runtime.
    ///
    /// # Errors
    /// If an address cannot be listened on.
    pub async fn start(settings: GatewaySettings, dialect: WireDialect) -> Result<Self, GatewayError> {
        Self::start_with_clock(settings, dialect, GatewayClock::system()).await
    }

    /// The same with a clock of its own, as tests need it.
    ///
    /// # Errors
    /// If an address cannot be listened on.
    pub async fn start_with_clock(
        mut settings: GatewaySettings,
        dialect: WireDialect,
        clock: GatewayClock,
    ) -> Result<Self, GatewayError> {
        let callers = listen(settings.callers).await?;
        let readiness = listen(settings.readiness).await?;
        let metrics = listen(settings.metrics).await?;
        let socket = UdpSocket::bind(settings.peers)
            .await
            .map_err(|cause| GatewayError { address: settings.peers, cause })?;
        // With port zero the system chose one, and that is the one to tell.
        settings.peers = socket.local_addr().unwrap_or(settings.peers);
        let addresses = [&callers, &readiness, &metrics].map(local);
        // The port of messages between VMs, by TCP: large answers go there.
        let copies = listen(settings.peers).await.inspect_err(|error| {
            log::warn!(cause:% = error; "copies.unavailable");
        });
        let socket = Arc::new(socket);
        let gateway = Arc::new(Gateway::new(settings, dialect, clock));
        let closing = watch::channel(false).0;
        let (orders, orders_view) = watch::channel(OrdersView::default());
        let (right, right_view) = watch::channel(OrderRight::default());
        let (news, told) = mpsc::channel(NEWS_WAITING);
        let share = || Arc::clone(&gateway);
        let tasks = vec![
            tokio::spawn(clock::compare_clocks(share())),
            tokio::spawn(follow::follow_store(share(), Arc::clone(&socket), orders, told)),
            tokio::spawn(kept_task::follow_stores(share())),
            tokio::spawn(kept_digest::tell_kept(share(), Arc::clone(&socket))),
            tokio::spawn(lease_keeper::keep_lease(share(), orders_view, right)),
            tokio::spawn(order_task::order_weights(share(), right_view.clone())),
            tokio::spawn(naming_task::keep_namings(share(), right_view.clone())),
            tokio::spawn(rollout::decide_rollouts(share(), right_view.clone())),
            tokio::spawn(quarantine_task::judge_holds(share())),
            tokio::spawn(quarantine_task::write_holds(share())),
            tokio::spawn(free_task::free_old_parts(share(), right_view)),
            tokio::spawn(gossip::send_digests(share(), Arc::clone(&socket))),
            tokio::spawn(gossip::send_far_digests(share(), Arc::clone(&socket))),
            tokio::spawn(gossip::pass_on(share(), Arc::clone(&socket))),
            tokio::spawn(digest_relay::relay_digests(share(), Arc::clone(&socket))),
            tokio::spawn(gossip::receive(share(), socket, news)),
            tokio::spawn(operator_port::serve_operators(share(), readiness, operator_port::answer_readiness)),
            tokio::spawn(operator_port::serve_operators(share(), metrics, operator_port::answer_management)),
            tokio::spawn(front_door::serve_callers(share(), callers, closing.subscribe())),
            tokio::spawn(sweep(share())),
        ];
        let mut tasks = tasks;
        if let Ok(copies) = copies {
            tasks.push(tokio::spawn(operator_port::serve_operators(share(), copies, store::answer_copy)));
        }
        let name = gateway.settings.name.as_str();
        log::info!(name, incarnation = gateway.incarnation; "gateway.started");
        Ok(Self { gateway, closing, tasks, addresses })
    }

    /// Where callers connect.
    pub const fn callers(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// Where the balancer asks for readiness.
    pub const fn readiness(&self) -> SocketAddr {
        self.addresses[1]
    }

    /// Where metrics are served.
    pub const fn metrics(&self) -> SocketAddr {
        self.addresses[2]
    }

    /// Ends all tasks at once, as a crash would.
    pub fn kill(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Stops as planned: leaves the balancer, ends kept connections, finishes what is open.
    pub async fn stop(self) {
        let begun = Instant::now();
        let grace = Duration::from_secs(self.gateway.settings.grace_s).saturating_sub(GRACE_MARGIN);
        log::info!(name = self.gateway.settings.name.as_str(); "gateway.stopping");
        self.gateway.stopping.send_replace(true);
        tokio::time::sleep_until(begun + BALANCER_DRAIN_DELAY).await;
        self.closing.send_replace(true);
        loop {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            let open = self.gateway.open_requests.load(Ordering::SeqCst)
                + self.gateway.caller_connections.load(Ordering::SeqCst);
            // A connection counts until its last answer is out, and nothing new is accepted.
            if open == 0 || begun.elapsed() >= grace {
                log::info!(open; "gateway.stopped");
                break;
            }
        }
        // The last bytes of the last answers are still on their way out.
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        self.kill();
    }
}

fn local(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|cause| GatewayError { address, cause })
}

async fn sweep(gateway: Arc<Gateway>) {
    for turn in 0.. {
        tokio::time::sleep(SWEEP_PAUSE).await;
        let now = gateway.now();
        gateway.repeat_answers(turn);
        store::sweep_copies(&gateway);
        gateway.metrics.memory.held_bytes.set(gateway.memory.total() as i64);
        let (swept, evacuated) = {
            let mut table = gateway.table();
            for data_centre in table.expire_evacuations(now) {
                log::warn!(data_centre = data_centre.as_str(), source = "a restored store"; "evacuation.ended");
            }
            for endpoint in table.expire_limits(now) {
                log::warn!(endpoint = endpoint.as_str(); "limit.lapsed");
            }
            (table.sweep(now), table.evacuated(now).count())
        };
        let FleetSweep { gone, counts } = swept;
        let gauges = &gateway.metrics.fleet;
        gauges.cold_endpoints.set(counts.cold as i64);
        gauges.limited_endpoints.set(counts.limited as i64);
        gauges.leaving_endpoints.set(counts.departed as i64);
        gauges.resting_endpoints.set(counts.resting as i64);
        gauges.doubted_endpoints.set(counts.suspected as i64);
        gauges.evacuated_data_centres.set(evacuated as i64);
        for key in gone {
            gateway.pool.forget(key);
        }
        gateway.shares.queue().sweep(now);
        gateway.pool.sweep();
        gateway.peers().sweep(now);
    }
}
