//! Forwards a request to another VM.
//!
//! Invariant: "not run" stays true only if no byte left this process or the other VM itself states it. After a
//! broken connection the request may have run, and only a repeatable one is sent again, within the budget.

use super::forward_message::{AnswerKind, ForwardEnvelope, RequestCode};
use super::forward_state::ForwardPlace;
use super::passed_answer;
use crate::clock::DeadlinePassed;
use crate::endpoints::endpoint_pool::{EndpointConnection, ExchangeError};
use crate::peers::peer_message::{PeerKey, PeerStamp};
use crate::requests::outgoing_body::OutgoingBody;
use crate::requests::own_answer::AnswerBody;
use crate::requests::request_run::{LAST_EVENT_ID, RequestRun};
use crate::{PathState, StreamOrigin, VmKey};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use hyper::http::response;
use hyper::{Request, Response};
use spanfold_entity::MICROS_PER_MILLI;
use std::sync::Arc;

/// VMs to which one request is sent at most.
pub(super) const MAX_PEERS: usize = 3;
/// Retry delay if no VM takes a request; a random delay is added.
const NO_PEER_RETRY_MILLIS: u64 = 1_000;
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
            needs_connection: false,
            is_direct: false,
            is_counted: false,
            draw: rand::random(),
        }
    }
}

/// The head of another VM's answer, with its body and connection.
pub(super) struct PeerAnswer {
    pub kind: AnswerKind,
    pub head: response::Parts,
    pub body: Incoming,
    pub connection: EndpointConnection,
    pub place: ForwardPlace,
    /// The software that began the stream, if it is one.
    pub origin: Option<StreamOrigin>,
}

/// The outcome of forwarding a request once.
pub(super) enum ForwardResult {
    Answer(Box<PeerAnswer>),
    /// It did not run there, and another VM may take it.
    NotTaken,
    /// It may have run.
    Lost(&'static str),
    /// Its deadline passed meanwhile.
    OutOfTime,
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

    /// Sends the request to the VM at `place`, and awaits the head of its answer.
    pub(super) async fn send_to_peer(
        &mut self,
        place: ForwardPlace,
        last_event_id: Option<&Bytes>,
    ) -> ForwardResult {
        let gateway = Arc::clone(&self.gateway);
        let cause = gateway.path.borrow().label();
        self.plan.tried.push(place.peer.vm);
        self.plan.given_to.clone_from(&place.peer.name);
        log::info!(request = self.context.id_text(), peer = place.peer.name.as_str(), cause;
            "request.forwarded");
        let count = |kind| gateway.metrics.forwards.count(kind);
        count("sent");
        let Some(key) = gateway.peer_key() else { return ForwardResult::NotTaken };
        let Some((request, code)) = self.peer_request(&key, &place, last_event_id) else {
            return ForwardResult::NotTaken;
        };
        let pool_key = place.pool_key();
        let exchange =
            gateway.forwards.pool.exchange(pool_key, place.peer.address, request, || true, || true);
        let exchange = async {
            tokio::select! {
                biased;
                result = exchange => result,
                // A request that may not be repeated is waited for: it may still be answered.
                () = gateway.wait_until_silent(place.peer.vm), if self.context.route.repeatable() => {
                    Err(ExchangeError::Lost("it sends no digests".to_owned(), None))
                }
            }
        };
        let received = match gateway.complete_before(self.context.deadline, exchange).await {
            Ok(Ok(received)) => received,
            Ok(Err(ExchangeError::NotSent(cause))) => {
                log::warn!(request = self.context.id_text(), peer = place.peer.name.as_str(),
                    cause = cause.as_str(); "peer.unreached");
                gateway.avoid_peer(place.peer.vm);
                count("unreached");
                return ForwardResult::NotTaken;
            }
            Ok(Err(ExchangeError::Withdrawn)) => return ForwardResult::NotTaken,
            Ok(Err(ExchangeError::Lost(cause, _))) => {
                log::warn!(request = self.context.id_text(), peer = place.peer.name.as_str(),
                    cause = cause.as_str(); "peer.broke");
                gateway.avoid_peer(place.peer.vm);
                count("lost");
                return ForwardResult::Lost("the connection to the VM broke");
            }
            Err(DeadlinePassed) => {
                count("lost");
                return ForwardResult::OutOfTime;
            }
        };
        let (mut response, connection) = received;
        let mark = AnswerKind::unseal(&key, &code, &mut response);
        let (head, body) = response.into_parts();
        match mark {
            None => {
                log::warn!(request = self.context.id_text(), peer = place.peer.name.as_str(),
                    status = head.status.as_u16(); "peer.rejected");
                gateway.avoid_peer(place.peer.vm);
                count("lost");
                ForwardResult::Lost("the VM's answer is not authentic")
            }
            Some((AnswerKind::NotTaken, _)) => {
                // It has no body.
                gateway.forwards.pool.return_connection(place.pool_key(), connection, None);
                count("refused");
                ForwardResult::NotTaken
            }
            Some((kind, origin)) => {
                let answer = PeerAnswer { kind, head, body, connection, place, origin };
                ForwardResult::Answer(Box::new(answer))
            }
        }
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
        let remaining_micros = context.deadline.micros_since(now).saturating_sub(RESPONSE_MARGIN_MICROS);
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
            body_hash: *blake3::hash(&self.body).as_bytes(),
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

/// Serves a request over another VM; returns it if it has to be sent otherwise.
pub(crate) async fn forward_request(mut run: RequestRun) -> Result<Response<AnswerBody>, Box<RequestRun>> {
    let gateway = Arc::clone(&run.gateway);
    while run.plan.tried.len() < MAX_PEERS {
        if gateway.now() >= run.context.deadline {
            return Ok(run.time_out());
        }
        let Some(place) = gateway.choose_peer(&run.plan.tried) else { break };
        let lost = match run.send_to_peer(place, None).await {
            ForwardResult::Answer(answer) => match passed_answer::pass_answer(run, *answer).await {
                Ok(response) => return Ok(response),
                Err(failed) => {
                    gateway.metrics.forwards.count("lost");
                    run = failed.run;
                    failed.cause
                }
            },
            ForwardResult::NotTaken => continue,
            ForwardResult::OutOfTime => return Ok(run.time_out()),
            ForwardResult::Lost(cause) => cause,
        };
        run.record_sent();
        if run.may_send_again() {
            log::info!(request = run.context.id_text(), peer = run.plan.given_to.as_str(), cause = lost;
                "request.sent_again");
            return Err(Box::new(run));
        }
        if gateway.now() >= run.context.deadline {
            return Ok(run.time_out());
        }
        return Ok(run.refuse_unless_run("lost at another VM", NO_PEER_RETRY_MILLIS));
    }
    if gateway.path.borrow().opens_connections() {
        run.plan.is_direct = true;
        return Err(Box::new(run));
    }
    let tried = run.plan.tried.len();
    log::warn!(request = run.context.id_text(), tried; "forward.untaken");
    gateway.metrics.forwards.count("untaken");
    Ok(run.refuse_unless_run("no other VM takes it", NO_PEER_RETRY_MILLIS))
}
