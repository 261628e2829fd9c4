//! One send of a request to an endpoint, from the choice to its end.
//!
//! Invariant: whatever way a send ends, also by being dropped because the caller left, its load is
//! given back once and its connection is cut unless the answer was whole.

use crate::endpoints::endpoint_pool::EndpointConnection;
use crate::gateway::Gateway;
use crate::rollout::VersionedSend;
use crate::{AnswerFacts, EndpointKey, LoadCount, PlacementChoice, SendOutcome, SendReport};
use spanfold_entity::Moment;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A send under way.
#[derive(Debug)]
pub(crate) struct SendFlight {
    gateway: Arc<Gateway>,
    pub key: EndpointKey,
    pub endpoint: String,
    pub address: SocketAddr,
    load: LoadCount,
    pub sent_at: Moment,
    pub expected_micros: u64,
    /// Tokens that move from each store for this request.
    moves: Vec<(EndpointKey, u64)>,
    transfer_time_micros: f64,
    begun: bool,
    /// When the endpoint's answer began.
    head_at: Option<Moment>,
    connection: Option<EndpointConnection>,
    granted: Option<Duration>,
    /// Whether the endpoint ends the connection after its answer.
    ends_connection: bool,
    /// What its answer tells of its endpoint's version, while its service moves to another one.
    pub versioned: Option<VersionedSend>,
}

impl SendFlight {
    /// A flight for a request whose load has been counted at its endpoint.
    pub(crate) fn new(
        gateway: &Arc<Gateway>,
        choice: &PlacementChoice,
        (endpoint, address): (String, SocketAddr),
        moves: Vec<(EndpointKey, u64)>,
    ) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            key: choice.key,
            endpoint,
            address,
            load: choice.load,
            sent_at: gateway.now(),
            expected_micros: choice.expected_micros,
            moves,
            transfer_time_micros: choice.kept.transfer_time_micros,
            begun: false,
            head_at: None,
            connection: None,
            granted: None,
            ends_connection: false,
            versioned: None,
        }
    }

    /// Holds the connection on which the answer comes.
    pub(crate) fn hold(&mut self, connection: EndpointConnection, facts: &AnswerFacts) {
        self.head_at = Some(self.gateway.now());
        self.connection = Some(connection);
        self.granted = facts.granted_idle;
        self.ends_connection = facts.ends_connection;
    }

    /// Whether its endpoint had begun to answer, and for how long it has been at it, in microseconds.
    pub(crate) fn age(&self) -> (bool, u64) {
        (self.head_at.is_some(), self.gateway.now().micros_since(self.head_at.unwrap_or(self.sent_at)))
    }

    /// The first event or the answer's head is here: the prompt has been read.
    pub(crate) fn begin(&mut self) {
        if self.begun {
            return;
        }
        self.begun = true;
        let taken = self.gateway.now().micros_since(self.sent_at);
        if let Some(send) = &mut self.versioned {
            send.begin(taken, self.expected_micros);
        }
        let pace = self.record_slowdown(taken);
        self.gateway.record_send(SendReport {
            key: self.key,
            outcome: SendOutcome::Answered,
            pace,
            rest_millis: None,
        });
        let mut table = self.gateway.table();
        let read = LoadCount { unread_tokens: self.load.unread_tokens, ..LoadCount::default() };
        table.release(self.key, read);
        self.load.unread_tokens = 0;
        drop(table);
        self.gateway.loads_changed.notify_one();
    }

    /// Learns the pace of the engine, or of the store that parts came from: what comes later than
    /// expected after a move is the move's doing, since engines' paces are known from other prompts. Gives the
    /// multiple of the engine's usual time, if it was that.
    fn record_slowdown(&self, taken: u64) -> Option<f32> {
        let mut table = self.gateway.table();
        let Some((store, _)) = self.moves.iter().max_by_key(|(_, tokens)| *tokens) else {
            return table.record_slowdown(self.key, taken, self.expected_micros);
        };
        if let Some(row) = table.store_mut(*store) {
            let rest = self.expected_micros as f64 - self.transfer_time_micros;
            row.record_slowdown(taken as f64 - rest, self.transfer_time_micros, self.gateway.now());
        }
        None
    }

    /// The answer was whole: the connection may serve another request.
    pub(crate) fn complete(&mut self) {
        if let Some(connection) = self.connection.take()
            && !self.ends_connection
        {
            self.gateway.pool.give_back(self.key, connection, self.granted);
        }
    }

    /// Cuts the connection: the endpoint is to stop working on this request.
    pub(crate) fn cut(&mut self) {
        self.connection = None;
    }

    /// Learns that the endpoint refused the request, and for how long it wants to rest.
    pub(crate) fn refused(&self, rest_millis: Option<u64>) {
        let outcome = SendOutcome::Refused;
        self.gateway.table().learn(self.key, outcome, self.gateway.now());
        self.gateway.record_send(SendReport { key: self.key, outcome, pace: None, rest_millis });
    }

    /// Learns from how the send went.
    pub(crate) fn learn(&self, outcome: SendOutcome) {
        self.gateway.table().learn(self.key, outcome, self.gateway.now());
        if let Some(send) = &self.versioned {
            self.gateway.observe_version(send, outcome);
        }
        let is_served = matches!(outcome, SendOutcome::Answered | SendOutcome::Failed);
        if is_served && self.gateway.table().record_served(self.key, self.sent_at) {
            log::info!(endpoint = self.endpoint.as_str(); "endpoint.rested");
        }
        self.gateway.record_send(SendReport { key: self.key, outcome, pace: None, rest_millis: None });
    }
}

impl Drop for SendFlight {
    fn drop(&mut self) {
        self.gateway.table().release(self.key, self.load);
        self.gateway.loads_changed.notify_one();
    }
}
