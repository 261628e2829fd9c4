//! One send of a request to an endpoint, from the choice to its end.
//!
//! Invariant: whichever way a send ends, also when it is dropped because the caller left, its load is
//! released once and its connection is closed unless the answer was whole.

use crate::endpoints::endpoint_pool::EndpointConnection;
use crate::endpoints::observed_stream::ConnectionEnd;
use crate::gateway::Gateway;
use crate::rollout::VersionedSend;
use crate::{AnswerFacts, EndpointKey, LoadCount, PlacementChoice, SendOutcome, SendReport};
use spanfold_entity::Moment;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The endpoint of a send, as recorded when it was chosen.
#[derive(Debug)]
pub(crate) struct SendTarget {
    pub endpoint: String,
    pub address: SocketAddr,
    pub software: Arc<str>,
}

/// A send in flight.
#[derive(Debug)]
pub(crate) struct SendFlight {
    gateway: Arc<Gateway>,
    pub key: EndpointKey,
    pub endpoint: String,
    pub address: SocketAddr,
    /// Version of the endpoint's software.
    pub software: Arc<str>,
    load: LoadCount,
    pub sent_at: Moment,
    pub expected_micros: u64,
    /// Tokens to be prefilled before the first event, if its time is a sample of the service's costs.
    sample_tokens: Option<u64>,
    /// Tokens to transfer from each store for this request.
    transfers: Vec<(EndpointKey, u64)>,
    transfer_time_micros: f64,
    is_start_recorded: bool,
    /// When the endpoint's answer began.
    head_at: Option<Moment>,
    connection: Option<EndpointConnection>,
    granted: Option<Duration>,
    /// Whether the endpoint closes the connection after its answer.
    ends_connection: bool,
    /// Records the version of the endpoint during a rollout of its service.
    pub versioned: Option<VersionedSend>,
}

impl SendFlight {
    /// Creates a send whose load has been counted at its endpoint.
    pub(crate) fn new(
        gateway: &Arc<Gateway>,
        choice: &PlacementChoice,
        SendTarget { endpoint, address, software }: SendTarget,
        transfers: Vec<(EndpointKey, u64)>,
    ) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            key: choice.key,
            endpoint,
            address,
            software,
            load: choice.load,
            sent_at: gateway.now(),
            expected_micros: choice.expected_micros,
            sample_tokens: choice.sample_tokens,
            transfers,
            transfer_time_micros: choice.transfers.transfer_time_micros,
            is_start_recorded: false,
            head_at: None,
            connection: None,
            granted: None,
            ends_connection: false,
            versioned: None,
        }
    }

    /// Stores the connection that the answer is read from.
    pub(crate) fn set_connection(&mut self, connection: EndpointConnection, facts: &AnswerFacts) {
        self.head_at = Some(self.gateway.now());
        self.connection = Some(connection);
        self.granted = facts.granted_idle;
        self.ends_connection = facts.ends_connection;
    }

    /// Whether the endpoint has begun to answer, and microseconds since then, or since the send.
    pub(crate) fn age(&self) -> (bool, u64) {
        (self.head_at.is_some(), self.gateway.now().micros_since(self.head_at.unwrap_or(self.sent_at)))
    }

    /// Excludes the send from the samples of the service's costs: it failed, was refused or was silent.
    pub(crate) const fn discard_cost_sample(&mut self) {
        self.sample_tokens = None;
    }

    /// Records the first event or the answer's head: the prompt has been prefilled.
    pub(crate) fn record_answer_start(&mut self) {
        if self.is_start_recorded {
            return;
        }
        self.is_start_recorded = true;
        let taken_micros = self.gateway.now().micros_since(self.sent_at);
        if let Some(send) = &mut self.versioned {
            send.begin(taken_micros, self.expected_micros);
        }
        let slowdown = self.record_slowdown(taken_micros);
        self.gateway.record_send(SendReport {
            key: self.key,
            outcome: SendOutcome::Answered,
            pace: slowdown,
            rest_millis: None,
        });
        let mut table = self.gateway.table();
        let prefill =
            LoadCount { pending_prefill_tokens: self.load.pending_prefill_tokens, ..LoadCount::default() };
        if self.load.pending_prefill_tokens > 0 {
            table.record_pending(self.key, self.load.pending_prefill_tokens, taken_micros);
        }
        table.release(self.key, prefill);
        self.load.pending_prefill_tokens = 0;
        drop(table);
        self.gateway.loads_changed.notify_one();
    }

    /// Records the slowdown of the engine, or of the store that supplied segments. A delay after a transfer
    /// counts against the store, since engines' slowdowns are measured on other prompts. Returns the
    /// engine's slowdown, if that was recorded.
    fn record_slowdown(&self, taken_micros: u64) -> Option<f32> {
        let mut table = self.gateway.table();
        let Some((store, _)) = self.transfers.iter().max_by_key(|(_, tokens)| *tokens) else {
            if let Some(tokens) = self.sample_tokens {
                table.record_first_event(self.key, tokens, taken_micros, self.gateway.now());
            }
            return table.record_slowdown(self.key, taken_micros, self.expected_micros);
        };
        if let Some(row) = table.store_mut(*store) {
            let compute_micros = self.expected_micros as f64 - self.transfer_time_micros;
            row.record_slowdown(
                taken_micros as f64 - compute_micros,
                self.transfer_time_micros,
                self.gateway.now(),
            );
        }
        None
    }

    /// Returns the connection to the pool: the answer was whole.
    pub(crate) fn complete(&mut self) {
        if let Some(connection) = self.connection.take()
            && !self.ends_connection
        {
            self.gateway.pool.return_connection(self.key, connection, self.granted);
        }
    }

    /// Returns how the connection ended, as the operating system reported it.
    pub(crate) fn connection_end(&self) -> Option<ConnectionEnd> {
        self.connection.as_ref().and_then(EndpointConnection::end)
    }

    /// Records a refusal, with the backoff that the endpoint requested.
    pub(crate) fn record_refusal(&self, backoff_millis: Option<u64>) {
        let outcome = SendOutcome::Refused;
        self.gateway.table().record_outcome(self.key, outcome, self.gateway.now());
        self.gateway.record_send(SendReport {
            key: self.key,
            outcome,
            pace: None,
            rest_millis: backoff_millis,
        });
    }

    /// Records that the endpoint is silent, and may still answer.
    pub(crate) fn record_silent(&self) {
        let outcome = SendOutcome::Silent;
        self.gateway.table().record_outcome(self.key, outcome, self.gateway.now());
        let report = SendReport { key: self.key, outcome, pace: None, rest_millis: None };
        self.gateway.hold_failed_send(report, None);
    }

    /// Records that the endpoint, which is recorded as silent, did not answer: that counts against its version.
    pub(crate) fn record_silent_end(&self) {
        if self.versioned.is_some() {
            let report =
                SendReport { key: self.key, outcome: SendOutcome::Silent, pace: None, rest_millis: None };
            self.gateway.hold_failed_send(report, self.versioned.clone());
        }
    }

    /// Records the outcome of the send.
    pub(crate) fn record_outcome(&self, outcome: SendOutcome) {
        self.gateway.table().record_outcome(self.key, outcome, self.gateway.now());
        let report = SendReport { key: self.key, outcome, pace: None, rest_millis: None };
        if matches!(outcome, SendOutcome::Unreached | SendOutcome::Broken | SendOutcome::Silent) {
            self.gateway.hold_failed_send(report, self.versioned.clone());
            return;
        }
        if let Some(send) = &self.versioned {
            self.gateway.record_version_outcome(send, outcome);
        }
        let is_served = matches!(outcome, SendOutcome::Answered | SendOutcome::Failed);
        if is_served && self.gateway.table().record_served(self.key, self.sent_at) {
            log::info!(endpoint = self.endpoint.as_str(); "endpoint.rested");
        }
        self.gateway.record_send(report);
    }
}

impl Drop for SendFlight {
    fn drop(&mut self) {
        let mut table = self.gateway.table();
        if self.load.memory_tokens == 0 {
            table.record_pending(self.key, 1, self.gateway.now().micros_since(self.sent_at));
        }
        table.release(self.key, self.load);
        drop(table);
        self.gateway.loads_changed.notify_one();
    }
}
