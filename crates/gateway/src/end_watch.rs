//! Finds out whether an endpoint ended when connections to it broke.
//!
//! Invariant: a broken connection alone says nothing of its endpoint: it may have been reset on the way. An endpoint
//! counts as ended if its address refuses connections, or if service discovery says so within a while after the break.

use crate::endpoint_pool::open_stream;
use crate::gateway::Gateway;
use crate::{EndpointKey, RequestKey};
use spanfold_entity::MICROS_PER_MILLI;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// A send whose connection broke before its answer was whole.
#[derive(Clone, Debug)]
pub(crate) struct BrokenSend {
    /// Identity of the request; none while the deployment's secret is not known.
    pub request: Option<RequestKey>,
    /// The caller's id of it, for logs.
    pub request_id: String,
    pub endpoint: EndpointKey,
    /// The endpoint's id, for logs.
    pub endpoint_id: String,
    pub address: SocketAddr,
    /// Whether the endpoint had begun to answer.
    pub has_begun: bool,
    /// Since it began to answer, or since the send if it had not, in microseconds.
    pub age_micros: u64,
}

/// Sends that broke, by endpoint, while it is being found out whether it ended.
#[derive(Debug, Default)]
pub(crate) struct EndWatch {
    asked: Mutex<HashMap<EndpointKey, Vec<BrokenSend>>>,
}

impl EndWatch {
    /// Adds a send; whether its endpoint is to be asked now.
    fn add(&self, send: BrokenSend) -> bool {
        let mut asked = self.asked.lock().unwrap_or_else(PoisonError::into_inner);
        let sends = asked.entry(send.endpoint).or_default();
        sends.push(send);
        sends.len() == 1
    }

    fn take(&self, endpoint: EndpointKey) -> Vec<BrokenSend> {
        let mut asked = self.asked.lock().unwrap_or_else(PoisonError::into_inner);
        asked.remove(&endpoint).unwrap_or_default()
    }
}

impl Gateway {
    /// Notes that a send broke, and finds out from a task of its own whether its endpoint ended.
    pub(crate) fn note_broken(self: &Arc<Self>, send: BrokenSend) {
        let digest = send.request.map_or_else(String::new, |key| key.to_string());
        log::warn!(request = send.request_id.as_str(), digest = digest.as_str(),
            endpoint = send.endpoint_id.as_str(), begun = send.has_begun,
            age_ms = send.age_micros / MICROS_PER_MILLI; "send.broke");
        let (endpoint, address, id) = (send.endpoint, send.address, send.endpoint_id.clone());
        if self.ends.add(send) {
            tokio::spawn(ask(Arc::clone(self), endpoint, address, id));
        }
    }
}

async fn ask(gateway: Arc<Gateway>, endpoint: EndpointKey, address: SocketAddr, id: String) {
    let is_refused =
        open_stream(address).await.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused);
    let sends = gateway.ends.take(endpoint);
    if is_refused {
        log::warn!(endpoint = id.as_str(), sends = sends.len(), sign = "it refuses connections"; "endpoint.ended");
    }
}
