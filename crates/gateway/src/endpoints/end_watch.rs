//! Finds out whether an endpoint ended when connections to it broke.
//!
//! Invariant: a broken connection alone says nothing of its endpoint: it may have been reset on the way. An endpoint
//! counts as ended if its address refuses connections, if another one starts there, or if its entry goes while the store
//! is well. What had said that it leaves was expected to end, and does not count.

use crate::endpoints::endpoint_pool::open_stream;
use crate::gateway::Gateway;
use crate::{CrashReport, EndpointCrash, EndpointKey, RequestKey};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// An address is asked a second time after this pause: a process that ends closes one socket after the other.
const SECOND_ASK: Duration = Duration::from_millis(100);
/// Service discovery tells of an end within this time, in milliseconds: three heartbeats of 1.2 s, and more.
const TOLD_MILLIS: u64 = 6_000;
/// Broken sends whose endpoints are being asked, or may be told to have ended, at most.
const SENDS_LIMIT: usize = 1_024;

/// A send whose connection broke before its answer was whole.
#[derive(Clone, Debug)]
pub(crate) struct BrokenSend {
    pub request: RequestKey,
    /// The caller's id of it, for logs.
    pub request_id: String,
    /// What its endpoint's end would be.
    pub ending: EndpointCrash,
    /// Since the endpoint began to answer, or since the send if it had not, in microseconds.
    pub age_micros: u64,
}

/// Where an endpoint of broken sends stood.
#[derive(Clone, Debug)]
pub(crate) struct BrokenEndpoint {
    pub id: String,
    pub address: SocketAddr,
}

#[derive(Debug)]
struct AskedEnd {
    endpoint: BrokenEndpoint,
    sends: Vec<BrokenSend>,
    /// Turns true when the address has been asked.
    asked: watch::Sender<bool>,
    until: Moment,
}

/// Sends that broke, by endpoint, while it may turn out that it ended.
#[derive(Debug, Default)]
pub(crate) struct EndWatch(Mutex<HashMap<EndpointKey, AskedEnd>>);

/// Tells when it is known whether an endpoint's address refuses connections.
pub(crate) type EndAnswer = watch::Receiver<bool>;

impl EndWatch {
    /// Adds a send; tells when its endpoint has been asked, and whether it is to be asked now. None if there is no room.
    fn add(&self, endpoint: &BrokenEndpoint, send: BrokenSend, now: Moment) -> Option<(EndAnswer, bool)> {
        let mut ends = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        ends.retain(|_, end| now < end.until);
        if ends.values().map(|end| end.sends.len()).sum::<usize>() >= SENDS_LIMIT {
            return None;
        }
        let mut is_new = false;
        let end = ends.entry(send.ending.start).or_insert_with(|| {
            is_new = true;
            let (endpoint, asked) = (endpoint.clone(), watch::channel(false).0);
            AskedEnd { endpoint, sends: Vec::new(), asked, until: Moment(0) }
        });
        end.until = now.after_millis(TOLD_MILLIS);
        end.sends.push(send);
        // An endpoint that was asked and lives is asked again: it may have ended since.
        let is_due = is_new || end.asked.send_replace(false);
        Some((end.asked.subscribe(), is_due))
    }

    fn note_alive(&self, endpoint: EndpointKey) {
        let ends = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(end) = ends.get(&endpoint) {
            end.asked.send_replace(true);
        }
    }

    /// Takes the sends of an endpoint that ended; none that broke too long before, when it may have lived on.
    fn take(&self, endpoint: EndpointKey, now: Moment) -> Option<AskedEnd> {
        let end = self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&endpoint);
        end.filter(|end| now < end.until)
    }

    /// Endpoints of broken sends that stood at `address`.
    fn at(&self, address: SocketAddr) -> Vec<EndpointKey> {
        let ends = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        ends.iter().filter(|(_, end)| end.endpoint.address == address).map(|(key, _)| *key).collect()
    }
}

impl Gateway {
    /// Notes that a send broke, and finds out from a task of its own whether its endpoint ended; tells when it has been
    /// asked.
    pub(crate) fn note_broken(
        self: &Arc<Self>,
        endpoint: &BrokenEndpoint,
        send: BrokenSend,
    ) -> Option<EndAnswer> {
        let key = send.ending.start;
        let (answer, is_due) = self.ends.add(endpoint, send, self.now())?;
        if is_due {
            tokio::spawn(ask(Arc::clone(self), key, endpoint.address));
        }
        Some(answer)
    }

    /// Takes that an endpoint has ended, as `sign` shows: what it had is evidence.
    pub(crate) fn record_ended(&self, endpoint: EndpointKey, sign: &'static str) {
        let Some(end) = self.ends.take(endpoint, self.now()) else { return };
        log::warn!(endpoint = end.endpoint.id.as_str(), sends = end.sends.len(), sign; "endpoint.ended");
        for send in &end.sends {
            let BrokenSend { request, ending, age_micros, .. } = *send;
            self.take_own_report(&CrashReport { request, ending, age_micros }, send, &end.endpoint.id);
        }
        end.asked.send_replace(true);
    }

    /// Takes that an endpoint, not `started`, stood at an address where `started` begins now.
    pub(crate) fn note_started_at(&self, address: SocketAddr, started: EndpointKey) {
        for endpoint in self.ends.at(address).into_iter().filter(|endpoint| *endpoint != started) {
            self.record_ended(endpoint, "another one has its address");
        }
    }
}

async fn ask(gateway: Arc<Gateway>, endpoint: EndpointKey, address: SocketAddr) {
    for pause in [Duration::ZERO, SECOND_ASK] {
        tokio::time::sleep(pause).await;
        let asked = open_stream(address).await;
        if asked.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused) {
            gateway.record_ended(endpoint, "it refuses connections");
            return;
        }
    }
    gateway.ends.note_alive(endpoint);
}

/// An age for logs.
pub(crate) const fn millis(micros: u64) -> u64 {
    micros / MICROS_PER_MILLI
}
