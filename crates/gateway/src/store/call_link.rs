//! HTTP calls to the platform's store and to engines' own interfaces, over persistent connections.
//!
//! Invariant: a connection on which an answer failed to arrive is never used again. A call without an answer
//! may or may not have been carried out; callers make their calls conditional or repeatable.
//!
//! A small answer must be complete by a deadline. For an answer that may be large, the deadline bounds only
//! the wait for its head: its body takes as long as a narrow link needs. A limit on the whole answer would
//! fail each time, since a repeated call begins at the first byte again. Every answer is bounded in bytes, and
//! so in time.

use crate::WireCall;
use crate::endpoints::endpoint_pool::{CALL_UNACKNOWLEDGED_TIMEOUT, open_stream};
use crate::endpoints::head_limit::{HeadBudget, HeadLimitedStream};
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

/// Timeout for the next frame of a large answer. It leaves time for several retransmissions, and for large
/// frames over links of 10 Mbit/s that carry other traffic too.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Lowest mean rate of a large answer's body; a slower one has broken off. A hundredth of a link of 10
/// Mbit/s.
const MIN_BODY_BYTES_PER_S: u64 = 12_500;

/// Largest body of a small answer, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Largest body of an answer that may be large, in bytes: the changes of half a minute in a large deployment.
const MAX_LARGE_BODY_BYTES: usize = 32 << 20;
/// Longest time for the body of a large answer.
const MAX_BODY_TIME: Duration = Duration::from_mins(1);
/// Size of a connection's buffers, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// Why a call got no answer. The call may have been carried out.
#[derive(Debug, thiserror::Error)]
#[error("no answer: {0}")]
pub(crate) struct LinkError(String);

impl From<hyper::Error> for LinkError {
    fn from(error: hyper::Error) -> Self {
        Self(error.to_string())
    }
}

/// The answer to a call.
#[derive(Debug)]
pub(crate) struct CallReply {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// The answer to a call, or why there is none.
pub(crate) type CallAnswer = Result<CallReply, LinkError>;

/// A caller's persistent connection to one address.
#[derive(Debug)]
pub(crate) struct CallLink {
    address: SocketAddr,
    connection: Option<OpenConnection>,
}

#[derive(Debug)]
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    budget: HeadBudget,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl CallLink {
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Makes a call and returns its answer, which must be complete by `deadline`.
    pub(crate) async fn call(&mut self, call: &WireCall, deadline: Instant) -> CallAnswer {
        self.exchange(call, deadline, MAX_BODY_BYTES, |_| deadline).await
    }

    /// Makes a call whose answer may be large; its head must arrive by `deadline`.
    pub(crate) async fn call_large(&mut self, call: &WireCall, deadline: Instant) -> CallAnswer {
        self.exchange(call, deadline, MAX_LARGE_BODY_BYTES, |received_bytes| {
            let transfer_time = Duration::from_millis(received_bytes as u64 * 1_000 / MIN_BODY_BYTES_PER_S);
            let transfer_time = transfer_time.min(MAX_BODY_TIME);
            (Instant::now() + BODY_IDLE_TIMEOUT).min(deadline + BODY_IDLE_TIMEOUT + transfer_time)
        })
        .await
    }

    /// Makes a call whose answer has at most `max_bytes`; `frame_deadline` maps the bytes received so far to the deadline of the next frame.
    async fn exchange(
        &mut self,
        call: &WireCall,
        deadline: Instant,
        max_bytes: usize,
        frame_deadline: impl Fn(usize) -> Instant,
    ) -> CallAnswer {
        let open_connection = self.connection.take();
        let send_result = tokio::time::timeout_at(deadline, send(self.address, open_connection, call)).await;
        let (response, connection) =
            send_result.map_err(|_elapsed| LinkError("no answer in time".to_owned()))??;
        let (head, body) = response.into_parts();
        connection.budget.end();
        let body = read_body(body, max_bytes, frame_deadline).await?;
        self.connection = Some(connection);
        Ok(CallReply { status: head.status.as_u16(), headers: head.headers, body })
    }
}

/// Sends a call over the open connection or a new one; returns the answer's head.
async fn send(
    address: SocketAddr,
    open_connection: Option<OpenConnection>,
    call: &WireCall,
) -> Result<(Response<Incoming>, OpenConnection), LinkError> {
    let mut connection = match open_connection {
        Some(connection) if !connection.sender.is_closed() => connection,
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
    connection.sender.ready().await?;
    connection.budget.begin();
    let response = connection.sender.send_request(request).await?;
    Ok((response, connection))
}

/// Reads an answer's body of at most `max_bytes`, each frame by its `frame_deadline`.
async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    frame_deadline: impl Fn(usize) -> Instant,
) -> Result<Bytes, LinkError> {
    let mut content = Vec::new();
    loop {
        let Ok(frame) = tokio::time::timeout_at(frame_deadline(content.len()), body.frame()).await else {
            return Err(LinkError(format!("the answer broke off after {} bytes", content.len())));
        };
        let Some(frame) = frame else { return Ok(content.into()) };
        if let Ok(chunk) = frame?.into_data() {
            if content.len() + chunk.len() > max_bytes {
                return Err(LinkError(format!("the answer is longer than {max_bytes} bytes")));
            }
            content.extend_from_slice(&chunk);
        }
    }
}

async fn open(address: SocketAddr) -> Result<OpenConnection, LinkError> {
    let stream = open_stream(address, CALL_UNACKNOWLEDGED_TIMEOUT)
        .await
        .map_err(|error| LinkError(error.to_string()))?;
    let budget = HeadBudget::default();
    let (sender, http_connection) = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(TokioIo::new(HeadLimitedStream::new(stream, budget.clone())))
        .await
        .map_err(|error| LinkError(error.to_string()))?;
    // An error of the connection is reported by the call that uses it.
    let driver = tokio::spawn(async move { drop(http_connection.await) }).abort_handle();
    Ok(OpenConnection { sender, driver, budget })
}
