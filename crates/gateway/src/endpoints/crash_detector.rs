//! Detects whether an endpoint crashed when connections to it broke.
//!
//! Invariant: a broken connection alone is no evidence of a crash: it may have been reset on the way. An
//! endpoint counts as crashed if its address refuses connections before and after this VM opened one to
//! another endpoint, if another one starts there, or if its entry is removed while the store is healthy. A stop
//! that the endpoint had announced does not count.

use crate::endpoints::endpoint_pool::{CALL_UNACKNOWLEDGED_TIMEOUT, open_stream};
use crate::gateway::Gateway;
use crate::orders::order_task::call_engine;
use crate::{CrashReport, EndpointCrash, EndpointKey, PathState, SuspectKey, SuspectKind};
use hyper::StatusCode;
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Delay of the second probe of an address: a process that stops closes one socket after the other.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(100);
/// Time within which all connections of a process that stops have ended, once the first one has.
const CONNECTIONS_END_DELAY: Duration = Duration::from_millis(30);
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
    /// What its endpoint's crash may be blamed on.
    pub suspects: Vec<(SuspectKey, SuspectKind)>,
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
    /// Adds a send; returns whether to probe its endpoint now. Beyond [`MAX_BROKEN_SENDS`], sends are dropped.
    fn add(&self, endpoint: &BrokenEndpoint, send: BrokenSend, now: Moment) -> bool {
        let mut suspicions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        suspicions.retain(|_, suspicion| now < suspicion.expires_at);
        if suspicions.values().map(|suspicion| suspicion.sends.len()).sum::<usize>() >= MAX_BROKEN_SENDS {
            return false;
        }
        let suspicion = suspicions.entry(send.crash.start).or_insert_with(|| {
            let (endpoint, probed) = (endpoint.clone(), watch::channel(false).0);
            CrashSuspicion { endpoint, sends: Vec::new(), probed, is_probing: false, expires_at: Moment(0) }
        });
        suspicion.expires_at = now.after_millis(DISCOVERY_TIMEOUT_MILLIS);
        suspicion.sends.push(send);
        // An endpoint that was found alive is probed again: it may have crashed since.
        suspicion.probed.send_replace(false);
        !std::mem::replace(&mut suspicion.is_probing, true)
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
        suspicion.is_probing = now < suspicion.expires_at;
        if !suspicion.is_probing {
            suspicion.probed.send_replace(true);
        }
        suspicion.is_probing
    }

    /// Whether no endpoint is being probed.
    pub(crate) fn is_idle(&self) -> bool {
        let suspicions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        suspicions.values().all(|suspicion| !suspicion.is_probing)
    }

    /// Whether a segment was at an endpoint that is being probed.
    pub(crate) fn suspects_segments(&self) -> bool {
        let suspicions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let probing = suspicions.values().filter(|suspicion| suspicion.is_probing);
        let mut suspects = probing.flat_map(|suspicion| &suspicion.sends).flat_map(|send| &send.suspects);
        suspects.any(|(_, kind)| *kind == SuspectKind::Segment)
    }

    /// Returns the completions of the probes of all endpoints that a suspect was at when their connections
    /// broke.
    pub(crate) fn pending_probes(&self, suspect: SuspectKey) -> Vec<ProbeCompletion> {
        let suspicions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let has_suspect = |send: &BrokenSend| send.suspects.iter().any(|(key, _)| *key == suspect);
        let pending = suspicions
            .values()
            .filter(|suspicion| suspicion.is_probing && suspicion.sends.iter().any(has_suspect));
        pending.map(|suspicion| suspicion.probed.subscribe()).collect()
    }

    /// Records that an endpoint answered suspects: no earlier crash is blamed on them.
    pub(crate) fn exonerate(&self, suspects: &[SuspectKey]) {
        let mut suspicions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for send in suspicions.values_mut().flat_map(|suspicion| &mut suspicion.sends) {
            send.suspects.retain(|(key, _)| !suspects.contains(key));
        }
    }

    /// Removes the sends of a crashed endpoint and passes them to `record`, unless they have expired: the
    /// endpoint may have survived these broken connections.
    ///
    /// Until they are recorded, they count as pending.
    fn confirm(&self, endpoint: EndpointKey, now: Moment, record: impl FnOnce(&CrashSuspicion)) {
        let mut suspicions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let suspicion = suspicions.remove(&endpoint).filter(|suspicion| now < suspicion.expires_at);
        if let Some(suspicion) = suspicion {
            record(&suspicion);
            suspicion.probed.send_replace(true);
        }
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
    /// Records a broken send, and probes its endpoint from a task of its own.
    pub(crate) fn record_broken_send(self: &Arc<Self>, endpoint: &BrokenEndpoint, send: BrokenSend) {
        let key = send.crash.start;
        if self.crash_detector.add(endpoint, send, self.now()) {
            tokio::spawn(probe(Arc::clone(self), key, endpoint.address));
        }
    }

    /// Records that an endpoint crashed, as `sign` shows: its broken sends are evidence.
    pub(crate) fn confirm_crash(&self, endpoint: EndpointKey, sign: &'static str) {
        let now = self.now();
        self.crash_detector.confirm(endpoint, now, |suspicion| {
            let broke_at = suspicion.sends.iter().map(|send| send.crash.at).min();
            let took_ms = broke_at.map_or(0, |at| millis(now.micros_since(at)));
            log::warn!(endpoint = suspicion.endpoint.id.as_str(), sends = suspicion.sends.len(), sign, took_ms;
                "endpoint.ended");
            self.record_own_crash(&reports_of(&suspicion.sends), &suspicion.endpoint.id);
        });
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

/// Returns a report for each suspect, with the id of a request: of several sends with a segment, the oldest
/// counts.
fn reports_of(sends: &[BrokenSend]) -> Vec<(CrashReport, &str)> {
    let mut oldest: BTreeMap<SuspectKey, (CrashReport, &str)> = BTreeMap::new();
    for send in sends {
        for (suspect, kind) in &send.suspects {
            let (crash, age_micros) = (send.crash, send.age_micros);
            let report = CrashReport { suspect: *suspect, kind: *kind, crash, age_micros };
            let row = oldest.entry(*suspect).or_insert((report, &send.request_id));
            if row.0.age_micros < age_micros {
                *row = (report, &send.request_id);
            }
        }
    }
    // Requests first: if messages are dropped, theirs are the narrower evidence.
    let mut reports: Vec<_> = oldest.into_values().collect();
    reports.sort_by_key(|(report, _)| report.kind);
    reports
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
            log::info!(address:% = address; "probe.undecided");
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

impl Gateway {
    /// Whether an endpoint ran on after an answer that ended with its connection, so that the answer is whole.
    ///
    /// A crash ends connections in the same way. Only that very start counts: a connection of its own that is
    /// still open, or its answer to a call that any other start refuses. An endpoint that does not answer may
    /// have crashed, also one that has announced its departure.
    pub(crate) async fn has_outlived_answer(self: Arc<Self>, endpoint: EndpointKey) -> bool {
        let opened_before = self.pool.connection_count();
        // The connections of a process that stops end one after the other.
        tokio::time::sleep(CONNECTIONS_END_DELAY).await;
        if self.pool.has_open_connection(endpoint, opened_before) {
            return true;
        }
        let call = (self.dialect.engine.report)();
        let answer = call_engine(&self, endpoint, &call, Moment::NEVER).await;
        answer.is_some_and(|(status, _)| status != StatusCode::MISDIRECTED_REQUEST.as_u16())
    }
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
