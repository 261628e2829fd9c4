//! Serves what other VMs request over TCP: forwarded requests, and snapshots of all endpoints.
//!
//! Invariant: a forwarded request is served only if it is authentic, for this incarnation, and not received
//! before. It is served as if its caller had sent it here, under this VM's configuration, which is not older
//! than the one that its sender accepted it under, and is not forwarded again.

use super::forward_message::{AnswerKind, FORWARD_PATH, ForwardEnvelope};
use crate::clock::DeadlinePassed;
use crate::gateway::{CountGuard, Gateway};
use crate::memory::{BodyFault, MemoryReservation, RequestBody, read_limited};
use crate::requests::accept_loop::{ACCEPT_RETRY_DELAY, ListenerState};
use crate::requests::answer_record::AnswerRecord;
use crate::requests::own_answer::{AnswerBody, OwnAnswer, full_body};
use crate::requests::relay;
use crate::requests::request_context::RequestContext;
use crate::requests::request_run::{CallerResources, RequestRun};
use crate::requests::stopping::STOPPING;
use crate::{StopSchedule, store};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use spanfold_entity::Moment;
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// Timeout for a head, from the end of the previous answer: more than other VMs keep a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest head of a forwarded request: a caller's head takes twice its size in it.
const MAX_HEAD_BYTES: usize = 1 << 20;
/// Time in which a configuration that another VM already has should arrive, in milliseconds.
const CONFIGURATION_WAIT_MILLIS: u64 = 250;
/// Interval between checks for that configuration.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Serves other VMs until `state` leaves [`ListenerState::Serving`]. Then it accepts nothing new, and kept-alive connections close after
/// their current request.
pub(crate) async fn serve_peers(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    mut state: watch::Receiver<ListenerState>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = state.wait_for(|state| *state >= ListenerState::Draining) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let guard = CountGuard::new(&gateway, |gateway| &gateway.peer_connections);
                tokio::spawn(serve_peer(Arc::clone(&gateway), stream, state.clone(), guard));
            }
            Err(error) => {
                log::warn!(cause:% = error; "accept.failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    mut state: watch::Receiver<ListenerState>,
    _guard: CountGuard,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(cause:% = error; "connection.lost");
        return;
    }
    let disconnect = Arc::new(Notify::new());
    let service = service_fn(|request| answer_peer(Arc::clone(&gateway), request, Arc::clone(&disconnect)));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => {
            if let Err(error) = ended {
                log::debug!(cause:% = error; "connection.ended");
            }
            return;
        }
        // Dropping the connection shows the other VM that the answer broke off.
        () = disconnect.notified() => return,
        _ = state.wait_for(|state| *state >= ListenerState::Draining) => {}
    }
    connection.as_mut().graceful_shutdown();
    // The result is ignored: the process is stopping.
    tokio::select! {
        _ = connection => {}
        () = disconnect.notified() => {}
    }
}

async fn answer_peer(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    disconnect: Arc<Notify>,
) -> Result<Response<AnswerBody>, Infallible> {
    Ok(if request.uri().path() == FORWARD_PATH {
        Box::pin(take(gateway, request, disconnect)).await
    } else {
        store::answer_snapshot_request(&gateway, &request)
    })
}

/// Answers a forwarded request. Only an authentic one is read further, and only its answer is marked.
async fn take(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    disconnect: Arc<Notify>,
) -> Response<AnswerBody> {
    gateway.wait_until_current().await;
    let (head, body) = request.into_parts();
    let opened = gateway.peer_key().and_then(|key| {
        let (envelope, code) = ForwardEnvelope::unseal(&key, &head.headers)?;
        gateway.accept_forwarded(&envelope).then_some((key, envelope, code))
    });
    let Some((key, envelope, code)) = opened else {
        log::warn!(from = "unknown"; "forward.rejected");
        gateway.metrics.forwards.count("rejected");
        return plain(StatusCode::UNAUTHORIZED);
    };
    let taken = TakenRequest { gateway: &gateway, envelope: &envelope, received_at: gateway.now() };
    let mut response = match Box::pin(taken.serve(body, disconnect)).await {
        Ok(response) => response,
        Err(NotServed::Altered) => {
            log::warn!(from = taken.sender().as_str(), cause = "its body was altered"; "forward.rejected");
            gateway.metrics.forwards.count("rejected");
            return plain(StatusCode::BAD_REQUEST);
        }
        Err(NotServed::NotTaken(reason)) => {
            log::info!(request = taken.request_id(), from = taken.sender().as_str(), reason; "forward.refused");
            gateway.metrics.forwards.count("not_taken");
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
            AnswerKind::NotTaken.seal(&key, &code, &mut response);
            return response;
        }
        Err(NotServed::Answered(answer)) => answer.response(),
    };
    let kind = AnswerKind::of(&response);
    if kind == AnswerKind::NotTaken {
        *response.body_mut() = full_body(Bytes::new());
    }
    kind.seal(&key, &code, &mut response);
    response
}

fn plain(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Why a forwarded request is not served.
enum NotServed {
    /// Its body is not the one that its sender sent.
    Altered,
    /// Another VM may serve it.
    NotTaken(&'static str),
    /// Its head is refused.
    Answered(OwnAnswer),
}

/// An authentic forwarded request.
struct TakenRequest<'a> {
    gateway: &'a Arc<Gateway>,
    envelope: &'a ForwardEnvelope,
    received_at: Moment,
}

impl TakenRequest<'_> {
    fn sender(&self) -> String {
        self.gateway.peers().name_of(self.envelope.stamp.vm).unwrap_or_default().to_owned()
    }

    /// Returns the request's id, for logs.
    fn request_id(&self) -> &str {
        let name = self.gateway.dialect.headers.request_id.as_str();
        let id = self.envelope.headers.iter().find(|(header, _)| header == name);
        id.and_then(|(_, value)| std::str::from_utf8(value).ok()).unwrap_or("?")
    }

    async fn serve(
        &self,
        body: Incoming,
        disconnect: Arc<Notify>,
    ) -> Result<Response<AnswerBody>, NotServed> {
        let gateway = self.gateway;
        let Some(place) = gateway.take_place() else {
            drain(body).await;
            return Err(NotServed::NotTaken("it serves as many as it can"));
        };
        let context = match self.context().await {
            Ok(context) => context,
            Err(refusal) => {
                drain(body).await;
                return Err(refusal);
            }
        };
        let reservation = gateway.memory.reserve();
        reservation.grow_request(relay::REQUEST_BYTES);
        let body = self.read_body(body, &reservation, &context).await?;
        let open_guard = CountGuard::new(gateway, |gateway| &gateway.open_requests);
        let answer = AnswerRecord::of_forwarded(gateway, context.id.clone());
        let resources = CallerResources {
            _open: open_guard,
            _taken: Some(place),
            _reservation: reservation,
            disconnect,
            answer,
        };
        let mut run = RequestRun::new(Arc::clone(gateway), context, body, resources);
        run.sends = self.envelope.sends;
        run.plan.taken_from = self.sender();
        run.plan.is_counted = self.envelope.is_counted;
        if let Some(origin) = self.envelope.origin
            && let Err(refusal) = run.bind_to(origin)
        {
            return Ok(run.refuse_resumption(refusal));
        }
        gateway.metrics.forwards.count("taken");
        Ok(relay::serve(run).await)
    }

    /// Parses the request's head under a configuration that is not older than the sender's.
    async fn context(&self) -> Result<RequestContext, NotServed> {
        let (gateway, envelope) = (self.gateway, self.envelope);
        if gateway.is_stopping() {
            return Err(NotServed::NotTaken(STOPPING));
        }
        if gateway.is_closed_to_peers() {
            return Err(NotServed::NotTaken("it reaches no endpoints"));
        }
        let wait_deadline = self.received_at.after_millis(CONFIGURATION_WAIT_MILLIS);
        while gateway.routes().map_or(0, |table| table.config().version) < envelope.config_version {
            if gateway.now() >= wait_deadline {
                return Err(NotServed::NotTaken("its configuration is older"));
            }
            tokio::time::sleep(CONFIGURATION_POLL_INTERVAL).await;
        }
        let head = self.caller_head().ok_or(NotServed::Altered)?;
        let caller_received_at = Moment(self.received_at.0.saturating_sub(envelope.elapsed_micros));
        let mut context = RequestContext::parse(gateway, &head, caller_received_at).map_err(|answer| {
            match answer.retry_after_millis {
                Some(_) => NotServed::NotTaken(answer.reason),
                None => NotServed::Answered(answer),
            }
        })?;
        context.deadline = context.deadline.min(self.received_at.after_micros(envelope.remaining_micros));
        Ok(context)
    }

    /// Returns the head that the caller sent.
    fn caller_head(&self) -> Option<Parts> {
        let envelope = self.envelope;
        let mut request =
            Request::builder().method(envelope.method.as_str()).uri(&envelope.path).body(()).ok()?;
        for (name, value) in &envelope.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            request.headers_mut().append(name, HeaderValue::from_bytes(value).ok()?);
        }
        request.headers_mut().insert(HOST, HeaderValue::from_str(&envelope.host).ok()?);
        Some(request.into_parts().0)
    }

    async fn read_body(
        &self,
        mut body: Incoming,
        reservation: &MemoryReservation,
        context: &RequestContext,
    ) -> Result<RequestBody, NotServed> {
        // Its sender has checked its length, under a configuration that may differ.
        let max_bytes = self.envelope.body_bytes as usize;
        let read = read_limited(&mut body, max_bytes, reservation, |_| {});
        let deadline = |stop: &StopSchedule| self.gateway.send_deadline_in(stop, context);
        let content = match self.gateway.complete_before_due(deadline, read).await {
            Ok(Ok(content)) => content,
            Ok(Err(BodyFault::TooLong)) => return Err(NotServed::Altered),
            Ok(Err(BodyFault::Broken)) => return Err(NotServed::NotTaken("its body broke off")),
            Ok(Err(BodyFault::NoMemory)) => return Err(NotServed::NotTaken("no memory for its body")),
            Err(DeadlinePassed) => {
                return Err(NotServed::NotTaken(self.gateway.late_body_answer(context).reason));
            }
        };
        if content.len() != max_bytes || *content.hash().as_bytes() != self.envelope.body_hash {
            return Err(NotServed::Altered);
        }
        Ok(content)
    }
}

/// Reads a body to its end: with unread bytes the connection would be reset, and the answer could be lost.
async fn drain(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}
