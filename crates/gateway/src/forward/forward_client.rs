//! Forwards a request to another VM.
//!
//! Invariant: "not run" stays true only if no byte left this process or the other VM itself states it. After a
//! broken connection the request may have run, and only a repeatable one is sent again, within the budget.

use super::forward_message::{AnswerKind, ForwardEnvelope, RequestCode};
use super::forward_state::ForwardPlace;
use crate::endpoints::endpoint_pool::{EndpointConnection, ExchangeError};
use crate::peers::peer_message::{PeerKey, PeerStamp};
use crate::requests::dispatch::{HeadVerdict, Unsent};
use crate::requests::open_send::{ExchangeResult, OpenSend, SendRoute};
use crate::requests::outgoing_body::OutgoingBody;
use crate::requests::request_run::{LAST_EVENT_ID, RequestRun};
use crate::{PathState, StreamOrigin, VmKey};
use bytes::Bytes;
use hyper::Request;
use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use spanfold_entity::MICROS_PER_MILLI;
use std::collections::BTreeSet;
use std::sync::Arc;

/// VMs to which one request is sent at most.
const MAX_PEERS: usize = 3;
/// Subtracted from the time that the other VM gets, so that its answer reaches the caller in time.
const RESPONSE_MARGIN_MICROS: u64 = 5 * MICROS_PER_MILLI;

/// What a request needs to know about other VMs.
#[derive(Debug)]
pub(crate) struct ForwardPlan {
    /// The VM that forwarded it to this one; empty if its caller sent it here.
    pub taken_from: String,
    /// The VM that it was last forwarded to; empty if there is none.
    pub given_to: String,
    /// VMs that it was forwarded to.
    pub tried: Vec<VmKey>,
    /// VMs that have shares of the endpoints that this VM's shares do not suffice for.
    pub share_holders: BTreeSet<VmKey>,
    /// Whether its endpoint needs a new connection, and only pooled ones work.
    pub needs_connection: bool,
    /// Whether it is sent to endpoints although others are still forwarded.
    pub is_direct: bool,
    /// Whether it was counted for the retry budget.
    pub is_counted: bool,
    /// Decides whether it is forwarded while the path has just come back.
    pub draw: f64,
}

impl ForwardPlan {
    /// Creates the plan of a request that its caller sent to this VM.
    pub(crate) fn new() -> Self {
        Self {
            taken_from: String::new(),
            given_to: String::new(),
            tried: Vec::new(),
            share_holders: BTreeSet::new(),
            needs_connection: false,
            is_direct: false,
            is_counted: false,
            draw: rand::random(),
        }
    }
}

/// A request at another VM.
pub(crate) struct PeerSend {
    pub place: ForwardPlace,
    key: PeerKey,
    code: RequestCode,
    /// Its connection, once its answer's head was received.
    pub connection: Option<EndpointConnection>,
    /// What that answer says of the request; none before.
    kind: Option<AnswerKind>,
    /// The software that began the stream, if it is one.
    pub origin: Option<StreamOrigin>,
}

impl PeerSend {
    /// Whether the answer is an endpoint's.
    pub(crate) fn is_answered(&self) -> bool {
        self.kind == Some(AnswerKind::Answered)
    }

    /// Whether the VM states that the request did not run there.
    pub(crate) const fn has_not_run(&self) -> bool {
        matches!(self.kind, Some(AnswerKind::NotRun | AnswerKind::NotTaken))
    }

    /// Returns the outcome of a request that ends with this answer, for its log line.
    pub(crate) const fn outcome(&self) -> &'static str {
        match self.kind {
            Some(AnswerKind::Answered) => "answered",
            Some(AnswerKind::NotTaken | AnswerKind::NotRun) => "refused by another VM",
            Some(AnswerKind::Own) | None => "failed at another VM",
        }
    }

    /// Returns the connection to the pool: the answer was whole.
    pub(crate) fn complete(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.place.pool().return_connection(self.place.pool_key(), connection, None);
        }
    }
}

impl RequestRun {
    /// Whether the request goes to another VM next.
    pub(crate) fn goes_to_peer(&self) -> bool {
        if !self.plan.taken_from.is_empty() || self.plan.is_direct {
            return false;
        }
        match *self.gateway.path.borrow() {
            PathState::Cut => true,
            PathState::PooledOnly => self.plan.needs_connection,
            PathState::Open => self.plan.draw >= self.gateway.forwards.direct_share(self.gateway.now()),
        }
    }

    /// Sends the request to endpoints from now on if this VM reaches them: another VM has failed it.
    pub(crate) fn prefer_own_path(&mut self) {
        self.plan.is_direct |= *self.gateway.path.borrow() == PathState::Open;
    }

    /// Whether the request, which could not be sent, goes to another VM instead.
    pub(crate) fn needs_peer(&mut self) -> bool {
        self.plan.needs_connection |= *self.gateway.path.borrow() == PathState::PooledOnly;
        self.goes_to_peer()
    }

    /// Whether this VM took the request from another one and can no longer serve it.
    pub(crate) fn has_lost_path(&self) -> bool {
        !self.plan.taken_from.is_empty() && *self.gateway.path.borrow() == PathState::Cut
    }

    /// Counts the request for the retry budget, at the VM that first sends it to an endpoint.
    pub(crate) fn count_once(&mut self) {
        if !std::mem::replace(&mut self.plan.is_counted, true) {
            self.gateway.count_request(&self.context.service);
            self.gateway.metrics.prompt_tokens.inc_by(u64::from(self.context.prompt_tokens));
        }
    }

    /// Sends the request to another VM; none if it goes to endpoints after all, because no VM takes it and this
    /// one reaches some.
    pub(crate) fn open_peer_send(
        &mut self,
        last_event_id: Option<&Bytes>,
    ) -> Result<Option<OpenSend>, Unsent> {
        let gateway = Arc::clone(&self.gateway);
        let sent = (self.plan.tried.len() < MAX_PEERS)
            .then(|| gateway.choose_peer(&self.plan.tried))
            .flatten()
            .and_then(|place| {
                let cause = gateway.path.borrow().label();
                self.send_to_peer(place, cause, last_event_id)
            });
        if sent.is_some() {
            return Ok(sent);
        }
        if gateway.path.borrow().opens_connections() {
            self.plan.is_direct = true;
            return Ok(None);
        }
        let tried = self.plan.tried.len();
        log::warn!(request = self.context.id_text(), tried; "forward.untaken");
        gateway.metrics.forwards.count("untaken");
        Err(Unsent::NoPeer)
    }

    /// Sends a request that this VM's shares of rate-limited endpoints do not suffice for to a VM that has others;
    /// none if there is none to try.
    ///
    /// Shares assume that callers are spread over the VMs.
    pub(crate) fn open_spilled_send(
        &mut self,
        holders: &BTreeSet<VmKey>,
        last_event_id: Option<&Bytes>,
    ) -> Option<OpenSend> {
        let gateway = Arc::clone(&self.gateway);
        let may_spill = self.plan.taken_from.is_empty()
            && self.plan.tried.len() < MAX_PEERS
            && gateway.forwards.may_spill(gateway.now());
        let place = may_spill.then(|| gateway.choose_share_holder(holders, &self.plan.tried)).flatten()?;
        self.leave_queue();
        self.send_to_peer(place, "limited", last_event_id)
    }

    fn send_to_peer(
        &mut self,
        place: ForwardPlace,
        cause: &'static str,
        last_event_id: Option<&Bytes>,
    ) -> Option<OpenSend> {
        let gateway = Arc::clone(&self.gateway);
        self.plan.tried.push(place.peer.vm);
        self.plan.given_to.clone_from(&place.peer.name);
        log::info!(request = self.context.id_text(), peer = place.peer.name.as_str(), cause;
            "request.forwarded");
        gateway.metrics.forwards.count("sent");
        let key = gateway.peer_key()?;
        let (request, code) = self.peer_request(&key, &place, last_event_id)?;
        let (pool_key, address, sent_at) = (place.pool_key(), place.peer.address, gateway.now());
        let upload = request.body().is_long().then(|| request.body().progress());
        let exchange = Box::pin(async move {
            gateway.forwards.pool.exchange(pool_key, address, request, || true, || true).await
        });
        let send = PeerSend { place, key, code, connection: None, kind: None, origin: None };
        Some(OpenSend::new(
            SendRoute::Peer(send),
            exchange,
            upload,
            last_event_id.is_some(),
            sent_at,
            &self.gateway.memory,
        ))
    }

    /// Classifies the head of another VM's answer, or its absence.
    pub(crate) fn classify_peer(&mut self, result: ExchangeResult, send: &mut PeerSend) -> HeadVerdict {
        let gateway = Arc::clone(&self.gateway);
        let count = |kind| gateway.metrics.forwards.count(kind);
        let (request, peer) = (self.context.id_text(), send.place.peer.name.as_str());
        let (mut response, connection) = match result {
            Ok(received) => received,
            Err(ExchangeError::NotSent(cause)) => {
                log::warn!(request, peer, cause = cause.as_str(); "peer.unreached");
                gateway.avoid_peer(send.place.peer.vm);
                count("unreached");
                return HeadVerdict::NotSent;
            }
            Err(ExchangeError::Withdrawn) => return HeadVerdict::NotSent,
            Err(ExchangeError::Lost(cause, _)) => {
                log::warn!(request, peer, cause = cause.as_str(); "peer.broke");
                gateway.avoid_peer(send.place.peer.vm);
                count("lost");
                self.may_have_run = true;
                return HeadVerdict::Lost("the connection to the VM broke");
            }
        };
        let mark = AnswerKind::unseal(&send.key, &send.code, &mut response);
        let (head, body) = response.into_parts();
        send.connection = Some(connection);
        let Some((kind, origin)) = mark else {
            log::warn!(request, peer, status = head.status.as_u16(); "peer.rejected");
            gateway.avoid_peer(send.place.peer.vm);
            count("lost");
            self.may_have_run = true;
            return HeadVerdict::Lost("the VM's answer is not authentic");
        };
        (send.kind, send.origin) = (Some(kind), origin);
        if kind == AnswerKind::NotTaken {
            // It has no body.
            send.complete();
            count("refused");
            if gateway.path.borrow().opens_connections() {
                gateway.forwards.pause_spills(gateway.now());
            }
            return HeadVerdict::NotSent;
        }
        self.may_have_run |= kind != AnswerKind::NotRun;
        HeadVerdict::Answer(Box::new(head), body)
    }

    fn peer_request(
        &self,
        key: &PeerKey,
        place: &ForwardPlace,
        last_event_id: Option<&Bytes>,
    ) -> Option<(Request<OutgoingBody>, RequestCode)> {
        let (gateway, context) = (&self.gateway, &self.context);
        let now = gateway.now();
        let mut headers = context.headers.clone();
        if let Some(authorization) = &context.authorization {
            headers.insert(AUTHORIZATION, authorization.clone());
        }
        headers.remove(HOST);
        if let Some(id) = last_event_id {
            headers.insert(LAST_EVENT_ID, HeaderValue::from_bytes(id).ok()?);
        }
        let remaining_micros = self.deadline().micros_since(now).saturating_sub(RESPONSE_MARGIN_MICROS);
        let envelope = ForwardEnvelope {
            stamp: PeerStamp {
                vm: VmKey::of(&gateway.settings.name),
                incarnation: gateway.incarnation,
                sequence: gateway.forwards.next_sequence(),
            },
            receiver: (place.peer.vm, place.peer.incarnation),
            config_version: context.config_version,
            method: context.method.to_string(),
            path: context.path.clone(),
            host: context.host.clone(),
            headers: headers
                .iter()
                .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_owned()))
                .collect(),
            body_bytes: self.body.len() as u64,
            body_hash: *self.body.hash().as_bytes(),
            elapsed_micros: now.micros_since(context.received_at),
            remaining_micros,
            sends: self.sends,
            origin: self.origin,
            is_counted: self.plan.is_counted,
        };
        let (request, code) = envelope.seal(key)?;
        Some((request.body(OutgoingBody::new(self.body.clone())).ok()?, code))
    }
}
