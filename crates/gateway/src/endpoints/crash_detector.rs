//! Detects whether an endpoint crashed when connections to it broke.
//!
//! Invariant: a broken connection alone is no evidence of a crash: it may have been reset on the way. An
//! endpoint counts as crashed if its address refuses connections before and after this VM opened one to
//! another endpoint, if another one starts there, or if its entry is removed while the store is healthy. A stop
//! that the endpoint had announced does not count.

use crate::endpoints::endpoint_pool::{CALL_UNACKNOWLEDGED_TIMEOUT, open_stream};
use crate::gateway::Gateway;
use crate::{CrashReport, EndpointCrash, EndpointKey, PathState, RequestKey};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Delay of the second probe of an address: a process that stops closes one socket after the other.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(100);
/// Delay before an address is probed again that refused connections while no other endpoint was reached.
const UNPROVEN_PROBE_DELAY: Duration = Duration::from_millis(250);
/// Service discovery reports a crash within this time: three heartbeats of 1.2 s, plus a
/// margin.
const DISCOVERY_TIMEOUT_MILLIS: u64 = 6_000;
/// Maximum number of recorded broken sends: their endpoints are being probed, or may yet be reported as
/// crashed.
const MAX_BROKEN_SENDS: usize = 1_024;

/// A send whose connection broke before its answer was whole.
#[derive(Clone, Debug)]
pub(crate) struct BrokenSend {
    pub request: RequestKey,
    /// The caller's id of the request, for logs.
    pub request_id: String,
    /// The crash to record if the endpoint crashed.
    pub crash: EndpointCrash,
    /// Time since the endpoint began to answer, or since the send if it had not, in microseconds.
    pub age_micros: u64,
}

/// Id and address of an endpoint with broken sends.
#[derive(Clone, Debug)]
pub(crate) struct BrokenEndpoint {
    pub id: String,
    pub address: SocketAddr,
}

#[derive(Debug)]
struct CrashSuspicion {
    endpoint: BrokenEndpoint,
    sends: Vec<BrokenSend>,
    /// Becomes true when the address has been probed.
    probed: watch::Sender<bool>,
    is_probing: bool,
    expires_at: Moment,
}

/// Broken sends by endpoint, while it may turn out that the endpoint crashed.
#[derive(Debug, Default)]
pub(crate) struct CrashDetector(Mutex<HashMap<EndpointKey, CrashSuspicion>>);

/// Becomes true when an endpoint's address has been probed.
pub(crate) type ProbeCompletion = watch::Receiver<bool>;

impl CrashDetector {
    /// Adds a send. Returns the completion of its endpoint's probe, and whether to probe the endpoint now;
    /// none if [`MAX_BROKEN_SENDS`] are recorded already.
    fn add(
        &self,
        endpoint: &BrokenEndpoint,
        send: BrokenSend,
        now: Moment,
    ) -> Option<(ProbeCompletion, bool)> {
        let mut suspicions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        suspicions.retain(|_, suspicion| now < suspicion.expires_at);
        if suspicions.values().map(|suspicion| suspicion.sends.len()).sum::<usize>() >= MAX_BROKEN_SENDS {
            return None;
        }
        let suspicion = suspicions.entry(send.crash.start).or_insert_with(|| {
            let (endpoint, probed) = (endpoint.clone(), watch::channel(false).0);
            CrashSuspicion { endpoint, sends: Vec::new(), probed, is_probing: false, expires_at: Moment(0) }
        });
        suspicion.expires_at = now.after_millis(DISCOVERY_TIMEOUT_MILLIS);
        suspicion.sends.push(send);
        // An endpoint that was found alive is probed again: it may have crashed since.
        suspicion.probed.send_replace(false);
        let is_due = !std::mem::replace(&mut suspicion.is_probing, true);
        Some((suspicion.probed.subscribe(), is_due))
    }

    fn record_alive(&self, endpoint: EndpointKey) {
        let mut suspicions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(suspicion) = suspicions.get_mut(&endpoint) {
            suspicion.is_probing = false;
            suspicion.probed.send_replace(true);
        }
    }

    /// Records that a refused connection proves nothing yet; returns whether to probe again.
    fn record_unproven(&self, endpoint: EndpointKey, now: Moment) -> bool {
        let mut suspicions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(suspicion) = suspicions.get_mut(&endpoint) else { return false };
        suspicion.probed.send_replace(true);
        suspicion.is_probing = now < suspicion.expires_at;
        suspicion.is_probing
    }

    /// Removes and returns the sends of a crashed endpoint; none if they have expired: the endpoint may have
    /// survived these broken connections.
    fn take(&self, endpoint: EndpointKey, now: Moment) -> Option<CrashSuspicion> {
        let suspicion = self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&endpoint);
        suspicion.filter(|suspicion| now < suspicion.expires_at)
    }

    /// Returns the endpoints of broken sends that had `address`.
    fn endpoints_at(&self, address: SocketAddr) -> Vec<EndpointKey> {
        let suspicions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        suspicions
            .iter()
            .filter(|(_, suspicion)| suspicion.endpoint.address == address)
            .map(|(key, _)| *key)
            .collect()
    }
}

impl Gateway {
    /// Records a broken send, and probes its endpoint from a task of its own. Returns the completion of the
    /// probe.
    pub(crate) fn record_broken_send(
        self: &Arc<Self>,
        endpoint: &BrokenEndpoint,
        send: BrokenSend,
    ) -> Option<ProbeCompletion> {
        let key = send.crash.start;
        let (completion, is_due) = self.crash_detector.add(endpoint, send, self.now())?;
        if is_due {
            tokio::spawn(probe(Arc::clone(self), key, endpoint.address));
        }
        Some(completion)
    }

    /// Records that an endpoint crashed, as `sign` shows: its broken sends are evidence.
    pub(crate) fn confirm_crash(&self, endpoint: EndpointKey, sign: &'static str) {
        let Some(suspicion) = self.crash_detector.take(endpoint, self.now()) else { return };
        log::warn!(endpoint = suspicion.endpoint.id.as_str(), sends = suspicion.sends.len(), sign;
            "endpoint.ended");
        for send in &suspicion.sends {
            let BrokenSend { request, crash, age_micros, .. } = *send;
            self.record_own_crash(&CrashReport { request, crash, age_micros }, send, &suspicion.endpoint.id);
        }
        suspicion.probed.send_replace(true);
    }

    /// Records that the endpoint `started` has an address: any other endpoint with broken sends there has
    /// crashed.
    pub(crate) fn record_started_at(&self, address: SocketAddr, started: EndpointKey) {
        for endpoint in
            self.crash_detector.endpoints_at(address).into_iter().filter(|endpoint| *endpoint != started)
        {
            self.confirm_crash(endpoint, "another one has its address");
        }
    }
}

async fn probe(gateway: Arc<Gateway>, endpoint: EndpointKey, address: SocketAddr) {
    for delay in [Duration::ZERO, SECOND_PROBE_DELAY] {
        tokio::time::sleep(delay).await;
        while refuses_connections(address).await {
            // Without a path to the endpoints, a refused connection proves nothing.
            if gateway.reaches_others(endpoint).await {
                if refuses_connections(address).await {
                    gateway.confirm_crash(endpoint, "it refuses connections");
                    return;
                }
                break;
            }
            if !gateway.crash_detector.record_unproven(endpoint, gateway.now()) {
                return;
            }
            tokio::time::sleep(UNPROVEN_PROBE_DELAY).await;
            let expires_at = gateway.now().after_millis(DISCOVERY_TIMEOUT_MILLIS);
            let mut path = gateway.path.subscribe();
            let is_open = path.wait_for(|state| *state == PathState::Open);
            let _ = gateway.complete_before(expires_at, is_open).await;
        }
    }
    gateway.crash_detector.record_alive(endpoint);
}

async fn refuses_connections(address: SocketAddr) -> bool {
    open_stream(address, CALL_UNACKNOWLEDGED_TIMEOUT)
        .await
        .is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Converts microseconds to milliseconds, for logs.
pub(crate) const fn millis(micros: u64) -> u64 {
    micros / MICROS_PER_MILLI
}
