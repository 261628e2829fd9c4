//! Determines whether this VM has a path to the endpoints, and holds back what it observes without one.
//!
//! Invariant: a failed send is reported to other VMs only after this VM has opened a connection to an
//! endpoint since. Connections for probes are opened only while something is suspected, and at a bounded
//! rate.

use crate::endpoints::endpoint_pool::{ENDPOINT_UNACKNOWLEDGED_TIMEOUT, open_stream};
use crate::gateway::Gateway;
use crate::rollout::VersionedSend;
use crate::{EndpointKey, PathChange, PathMonitor, PathState, PathTraffic, SendOutcome, SendReport};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Interval between checks for silence and for changes of the path.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A check that comes later than this, in milliseconds, shows that this VM was suspended.
const SUSPENSION_MILLIS: u64 = 500;
/// Timeout of a probe: some fourteen round trips.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time of a round, in milliseconds: after a longer one this VM was suspended meanwhile.
const MAX_ROUND_MILLIS: u64 = 600;
/// Time for which a failed send is held back, in milliseconds. Without a connection since, it is discarded.
const MAX_HOLD_MILLIS: u64 = 2_000;
/// Maximum number of failed sends that are held back; the oldest are discarded.
const MAX_HELD_SENDS: usize = 256;
/// Endpoints that are probed to determine whether a refused connection shows a crash.
const WITNESS_COUNT: usize = 3;
/// Endpoints up to which the listed ones are counted: more make no difference.
const MAX_COUNTED_ENDPOINTS: usize = 16;

/// Counts what passes between this VM and endpoints.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounters {
    sends: AtomicU64,
    reads: AtomicU64,
    attempts: AtomicU64,
    newest_opened: AtomicU64,
    /// Connections that were opened for exchanges.
    connections: AtomicU32,
    /// Whether connections read little at once, since there are many callers.
    is_crowded: AtomicBool,
}

impl TrafficCounters {
    pub(crate) fn set_crowded(&self, is_crowded: bool) {
        self.is_crowded.store(is_crowded, Ordering::Relaxed);
    }

    pub(crate) fn is_crowded(&self) -> bool {
        self.is_crowded.load(Ordering::Relaxed)
    }

    pub(crate) fn count_read(&self) {
        self.reads.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_send(&self) {
        self.sends.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a connection; returns how many were opened before it.
    pub(crate) fn next_connection(&self) -> u32 {
        self.connections.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the number of connections that were opened for exchanges.
    pub(crate) fn connection_count(&self) -> u32 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Opens a counted connection.
    pub(crate) async fn open(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed) + 1;
        let stream = open_stream(address, ENDPOINT_UNACKNOWLEDGED_TIMEOUT).await?;
        self.newest_opened.fetch_max(attempt, Ordering::Relaxed);
        Ok(stream)
    }

    fn read(&self) -> PathTraffic {
        PathTraffic {
            sends: self.sends.load(Ordering::Relaxed),
            reads: self.reads.load(Ordering::Relaxed),
            attempts: self.attempts.load(Ordering::Relaxed),
            newest_opened: self.newest_opened.load(Ordering::Relaxed),
        }
    }
}

/// A failed send that is held back.
#[derive(Debug)]
struct HeldSend {
    report: SendReport,
    versioned: Option<VersionedSend>,
    /// Attempts to open connections before the failure.
    attempts: u64,
    discarded_at: Moment,
}

/// State of this VM's path to the endpoints.
#[derive(Debug, Default)]
pub(crate) struct PathWatch {
    monitor: Mutex<PathMonitor>,
    held: Mutex<VecDeque<HeldSend>>,
    /// Wakes the task that probes.
    failed: Notify,
}

impl PathWatch {
    fn monitor(&self) -> MutexGuard<'_, PathMonitor> {
        self.monitor.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn held(&self) -> MutexGuard<'_, VecDeque<HeldSend>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gateway {
    /// Records a failed send, and reports it once this VM is known to have a path to the endpoints.
    pub(crate) fn hold_failed_send(&self, report: SendReport, versioned: Option<VersionedSend>) {
        let now = self.now();
        let traffic = self.pool.traffic.read();
        let is_connection = report.outcome == SendOutcome::Unreached;
        let mut state = PathState::Open;
        self.update_path(|monitor| {
            let change = monitor.observe(traffic, now);
            monitor.record_failure(report.key, is_connection, now);
            state = monitor.state();
            change
        });
        if state != PathState::Open {
            return;
        }
        let mut held = self.path_watch.held();
        if held.len() >= MAX_HELD_SENDS {
            held.pop_front();
        }
        let discarded_at = now.after_millis(MAX_HOLD_MILLIS);
        held.push_back(HeldSend { report, versioned, attempts: traffic.attempts, discarded_at });
        drop(held);
        self.path_watch.failed.notify_one();
    }

    /// Reports the failed sends that were followed by an opened connection.
    fn release_held_sends(&self, now: Moment) {
        let newest_opened = self.pool.traffic.read().newest_opened;
        let mut released = Vec::new();
        self.path_watch.held().retain_mut(|send| {
            let is_released = newest_opened > send.attempts;
            if is_released {
                released.push((send.report, send.versioned.take()));
            }
            !is_released && now < send.discarded_at
        });
        for (report, versioned) in released {
            if let Some(send) = &versioned {
                self.record_version_outcome(send, report.outcome);
            }
            self.record_send(report);
        }
    }

    /// Updates the monitor and applies the change of the state, if any. The lock is held meanwhile, so that
    /// changes are applied in order.
    fn update_path(&self, update: impl FnOnce(&mut PathMonitor) -> Option<PathChange>) {
        let mut monitor = self.path_watch.monitor();
        if let Some(change) = update(&mut monitor) {
            self.apply_path_change(&change);
        }
    }

    fn apply_path_change(&self, change: &PathChange) {
        let PathChange { state, before, since, failed_endpoints } = *change;
        let now = self.now();
        self.report_path(state);
        self.metrics.path.set(state);
        self.path_watch.held().clear();
        let (label, since_ms) = (state.label(), now.micros_since(since) / MICROS_PER_MILLI);
        if state == PathState::Open {
            self.table().discard_failures(since);
            log::warn!(before = before.label(), since_ms; "path.regained");
            return;
        }
        if before == PathState::Open {
            log::error!(state = label, since_ms, failed_endpoints; "path.lost");
        } else {
            log::warn!(state = label, before = before.label(), since_ms; "path.changed");
        }
    }

    fn observe_path(&self, now: Moment) {
        let traffic = self.pool.traffic.read();
        self.update_path(|monitor| monitor.observe(traffic, now));
        self.release_held_sends(now);
    }

    /// Returns endpoints to probe, with their addresses, and how many are listed.
    fn probe_targets(
        &self,
        count: usize,
        exclude: &[EndpointKey],
    ) -> (Vec<(EndpointKey, SocketAddr)>, usize) {
        let table = self.table();
        let keys = table.draw_probe_targets(count, exclude, rand::random, self.now());
        let targets = keys.iter().filter_map(|key| Some((*key, table.row(*key)?.entry.address)));
        (targets.collect(), table.rows().take(MAX_COUNTED_ENDPOINTS).count())
    }

    /// Opens connections to other endpoints than `endpoint`; whether one opened, or there are no others.
    pub(crate) async fn reaches_others(&self, endpoint: EndpointKey) -> bool {
        let (targets, _) = self.probe_targets(WITNESS_COUNT, &[endpoint]);
        targets.is_empty() || self.opens_any(&targets).await
    }

    /// Whether a connection to one of `targets` opens.
    async fn opens_any(&self, targets: &[(EndpointKey, SocketAddr)]) -> bool {
        let mut attempts = JoinSet::new();
        for (_, address) in targets {
            let (traffic, address) = (Arc::clone(&self.pool.traffic), *address);
            attempts.spawn(async move {
                let attempt = tokio::time::timeout(PROBE_TIMEOUT, traffic.open(address)).await;
                matches!(attempt, Ok(Ok(_)))
            });
        }
        while let Some(attempt) = attempts.join_next().await {
            if matches!(attempt, Ok(true)) {
                return true;
            }
        }
        false
    }
}

/// Observes the path to the endpoints, and probes it while something is suspected, until the process ends.
pub(crate) async fn watch_path(gateway: Arc<Gateway>) {
    loop {
        let checked_at = gateway.now();
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = gateway.path_watch.failed.notified() => {}
        }
        let now = gateway.now();
        if now >= checked_at.after_millis(SUSPENSION_MILLIS) {
            gateway.path_watch.monitor().record_suspension();
        }
        gateway.observe_path(now);
        let is_due = gateway.path_watch.monitor().next_round_at().is_some_and(|at| now >= at);
        if is_due {
            probe_round(&gateway, now).await;
        }
    }
}

async fn probe_round(gateway: &Gateway, started_at: Moment) {
    let count = gateway.path_watch.monitor().round_size();
    let (targets, listed) = gateway.probe_targets(count, &[]);
    let is_open = gateway.opens_any(&targets).await;
    let now = gateway.now();
    if is_open {
        gateway.path_watch.monitor().record_opened_round(now);
        gateway.observe_path(now);
        return;
    }
    if now >= started_at.after_millis(MAX_ROUND_MILLIS) {
        gateway.path_watch.monitor().record_suspension();
        return;
    }
    let keys: Vec<_> = targets.iter().map(|(key, _)| *key).collect();
    let draw = rand::random();
    gateway.update_path(|monitor| monitor.record_failed_round(&keys, listed, draw, (started_at, now)));
}
