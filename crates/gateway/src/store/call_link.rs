//! Calls to the platform's store and to engines' own interfaces, over kept connections.
//!
//! Invariant: a connection on which an answer failed to come is never used again. Whether a call
//! that got no answer was done is unknown; callers make their calls conditional or repeatable.
//!
//! Small answers are waited for until a deadline. Of an answer that may be large the deadline bounds the
//! wait for its head only: over a narrow link its body takes as long as it takes, a limit on the whole
//! would fail each time, and a repeated call begins at the first byte again.

use crate::WireCall;
use crate::endpoints::endpoint_pool::open_stream;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A large answer that brings nothing for this long has broken off: several retransmissions fit, and large
/// frames over links of 10 Mbit/s that others use too.
const BODY_SILENCE: Duration = Duration::from_secs(1);

/// A large answer that comes more slowly than this on the whole, in bytes a second, is as good as silent: a
/// hundredth of a link of 10 Mbit/s.
const LEAST_BYTES_PER_S: u64 = 12_500;

/// Why a call brought no answer; it may have been done.
#[derive(Debug, thiserror::Error)]
#[error("no answer: {0}")]
pub(crate) struct LinkError(String);

impl From<hyper::Error> for LinkError {
    fn from(error: hyper::Error) -> Self {
        Self(error.to_string())
    }
}

/// An answer.
#[derive(Debug)]
pub(crate) struct CallReply {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// What a call brought.
pub(crate) type CallAnswer = Result<CallReply, LinkError>;

/// One caller's connection to one place.
#[derive(Debug)]
pub(crate) struct CallLink {
    address: SocketAddr,
    open: Option<OpenCall>,
}

#[derive(Debug)]
struct OpenCall {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl CallLink {
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self { address, open: None }
    }

    /// Makes one call whose whole answer comes before `deadline`; gives the answer.
    pub(crate) async fn call(&mut self, call: &WireCall, deadline: Instant) -> CallAnswer {
        self.exchange(call, deadline, |_| deadline).await
    }

    /// Makes one call whose answer begins before `deadline` and may be large.
    pub(crate) async fn call_large(&mut self, call: &WireCall, deadline: Instant) -> CallAnswer {
        self.exchange(call, deadline, |received| {
            let earned = Duration::from_millis(received as u64 * 1_000 / LEAST_BYTES_PER_S);
            (Instant::now() + BODY_SILENCE).min(deadline + BODY_SILENCE + earned)
        })
        .await
    }

    /// Makes one call; `frame_deadline` tells by the bytes received until when the next frame must come.
    async fn exchange(
        &mut self,
        call: &WireCall,
        deadline: Instant,
        frame_deadline: impl Fn(usize) -> Instant,
    ) -> CallAnswer {
        let kept = self.open.take();
        let sent = tokio::time::timeout_at(deadline, send(self.address, kept, call)).await;
        let (response, link) = sent.map_err(|_elapsed| LinkError("no answer in time".to_owned()))??;
        let (head, body) = response.into_parts();
        let body = read_body(body, frame_deadline).await?;
        self.open = Some(link);
        Ok(CallReply { status: head.status.as_u16(), headers: head.headers, body })
    }
}

/// Sends a call over the kept connection or a new one; gives the answer's head.
async fn send(
    address: SocketAddr,
    kept: Option<OpenCall>,
    call: &WireCall,
) -> Result<(Response<Incoming>, OpenCall), LinkError> {
    let mut link = match kept {
        Some(link) if !link.sender.is_closed() => link,
        _ => open(address).await?,
    };
    let mut request =
        Request::builder().method(call.method.clone()).uri(&call.path).header("host", address.to_string());
    for (name, value) in &call.headers {
        request = request.header(name, value);
    }
    if call.body.is_some() {
        request = request.header("content-type", "application/json");
    }
    let body = Full::new(Bytes::from(call.body.clone().unwrap_or_default()));
    let request = request.body(body).map_err(|error| LinkError(error.to_string()))?;
    link.sender.ready().await?;
    let response = link.sender.send_request(request).await?;
    Ok((response, link))
}

/// Reads an answer's body; `frame_deadline` as for an exchange.
async fn read_body(
    mut body: Incoming,
    frame_deadline: impl Fn(usize) -> Instant,
) -> Result<Bytes, LinkError> {
    let mut content = Vec::new();
    loop {
        let Ok(frame) = tokio::time::timeout_at(frame_deadline(content.len()), body.frame()).await else {
            return Err(LinkError(format!("the answer broke off after {} bytes", content.len())));
        };
        let Some(frame) = frame else { return Ok(content.into()) };
        if let Ok(piece) = frame?.into_data() {
            content.extend_from_slice(&piece);
        }
    }
}

async fn open(address: SocketAddr) -> Result<OpenCall, LinkError> {
    let stream = open_stream(address).await.map_err(|error| LinkError(error.to_string()))?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| LinkError(error.to_string()))?;
    // How the connection ends is told by the call that uses it.
    let driver = tokio::spawn(async move { drop(connection.await) }).abort_handle();
    Ok(OpenCall { sender, driver })
}
