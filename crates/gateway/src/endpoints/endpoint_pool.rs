//! Connections to endpoints, pooled between requests.
//!
//! Invariant: a connection serves one request at a time and is returned only after a whole answer to a
//! request that was sent whole. Dropping it earlier closes it, which makes the endpoint stop the work. The
//! most recently used connection is taken first, so that spare ones expire.

use crate::EndpointKey;
use crate::endpoints::head_limit::HeadLimitedStream;
use crate::endpoints::observed_stream::{ConnectionEnd, EndRecord, EndSide, ObservedStream, cause_text};
use crate::endpoints::path_probe::TrafficCounters;
use crate::requests::outgoing_body::{BodyProgress, OutgoingBody, WRITE_BUFFER_BYTES};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;

/// Timeout of a connection attempt: some twenty round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Bytes to an endpoint that stay unacknowledged for longer indicate a dead host or a cut link.
///
/// A sound host may be silent for a second or two, and the retransmission that ends its silence may come
/// twice as late. When a request is sent elsewhere is decided by its own deadlines.
pub(crate) const ENDPOINT_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);
/// The same for a connection whose calls can be repeated at once.
pub(crate) const CALL_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before the first keep-alive probe and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Idle timeout if the endpoint states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Subtracted from a granted idle timeout, so that a connection is not used near its end.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Receive buffer of a connection in bytes. What an endpoint sends while a caller does not read counts towards the
/// VM's memory.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;
/// Idle connections kept for one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Why an exchange with an endpoint yielded no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No byte of the request left this process.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent; it may have run. Contains the cause and who ended the connection, if known.
    #[error("no answer: {0}")]
    Lost(String, Option<EndSide>),
    /// No byte of the request left this process: the endpoint stopped taking requests meanwhile.
    #[error("withdrawn before it was sent")]
    Withdrawn,
}

/// One connection to an endpoint. Dropping it closes it.
#[derive(Debug)]
pub(crate) struct EndpointConnection {
    sender: SendRequest<OutgoingBody>,
    driver: AbortHandle,
    /// Number of connections that were opened before.
    number: u32,
    is_new: bool,
    /// Whether it waits for an endpoint that reads slowly; for one long body only.
    has_long_body: bool,
    /// Progress of its current request's body.
    progress: BodyProgress,
    end: EndRecord,
}

impl EndpointConnection {
    /// Returns how the connection ended, as the operating system reported it.
    pub(crate) fn end(&self) -> Option<ConnectionEnd> {
        self.end.end()
    }
}

impl Drop for EndpointConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: EndpointConnection,
    usable_until: Instant,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct EndpointPool {
    idle: Mutex<HashMap<EndpointKey, Vec<IdleConnection>>>,
    pub traffic: Arc<TrafficCounters>,
}

impl EndpointPool {
    /// Sends `request` over a pooled or a new connection; returns the answer's head.
    ///
    /// A pooled connection that is found closed before a byte was written is replaced. A long body has a
    /// connection of its own. No connection is opened unless `may_connect`. `may_send` is called right before the first byte, so that changes during
    /// connection set-up count.
    pub(crate) async fn exchange(
        &self,
        key: EndpointKey,
        address: SocketAddr,
        mut request: Request<OutgoingBody>,
        may_connect: impl Fn() -> bool,
        may_send: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, EndpointConnection), ExchangeError> {
        self.traffic.count_send();
        loop {
            let is_long = request.body().is_long();
            let pooled = if is_long { None } else { self.take(key) };
            let mut connection = match pooled {
                Some(connection) => connection,
                None if !may_connect() => return Err(ExchangeError::Withdrawn),
                None => connect(address, is_long, &self.traffic).await?,
            };
            if let Err(error) = connection.sender.ready().await {
                if connection.is_new {
                    return Err(ExchangeError::NotSent(cause_text(&error, connection.end())));
                }
                continue;
            }
            if !may_send() {
                return Err(ExchangeError::Withdrawn);
            }
            connection.progress = request.body().progress();
            connection.end.budget().begin();
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.end.budget().end();
                    return Ok((response, connection));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !connection.is_new => request = unsent,
                    Some(_) => {
                        return Err(ExchangeError::NotSent(cause_text(error.error(), connection.end())));
                    }
                    None => {
                        let end = connection.end();
                        let cause = cause_text(error.error(), end);
                        return Err(ExchangeError::Lost(cause, end.map(|end| end.side)));
                    }
                },
            }
        }
    }

    /// Returns the number of connections that were opened so far.
    pub(crate) fn connection_count(&self) -> u32 {
        self.traffic.connection_count()
    }

    /// Whether an idle connection to an endpoint is open that was among the first `count`.
    pub(crate) fn has_open_connection(&self, key: EndpointKey, count: u32) -> bool {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let is_older =
            |entry: &IdleConnection| entry.connection.number < count && !entry.connection.sender.is_closed();
        idle.get(&key).is_some_and(|connections| connections.iter().any(is_older))
    }

    /// Returns a connection to the pool after a whole answer, for as long as its endpoint grants.
    pub(crate) fn return_connection(
        &self,
        key: EndpointKey,
        mut connection: EndpointConnection,
        granted: Option<Duration>,
    ) {
        let idle_timeout = granted.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| {
            timeout.saturating_sub(IDLE_TIMEOUT_MARGIN).min(DEFAULT_IDLE_TIMEOUT)
        });
        let is_unusable = connection.has_long_body || !connection.progress.is_consumed();
        if connection.sender.is_closed() || idle_timeout.is_zero() || is_unusable {
            return;
        }
        connection.is_new = false;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(key).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection { connection, usable_until: Instant::now() + idle_timeout });
        }
    }

    /// Closes all idle connections to an endpoint that is gone.
    pub(crate) fn close_idle(&self, key: EndpointKey) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&key);
    }

    /// Closes all idle connections: their endpoints may have closed them long ago.
    pub(crate) fn close_all_idle(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Closes expired idle connections.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|entry| now < entry.usable_until && !entry.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take(&self, key: EndpointKey) -> Option<EndpointConnection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&key)?;
        while let Some(entry) = connections.pop() {
            if now < entry.usable_until && !entry.connection.sender.is_closed() {
                return Some(entry.connection);
            }
        }
        None
    }
}

async fn connect(
    address: SocketAddr,
    has_long_body: bool,
    traffic: &Arc<TrafficCounters>,
) -> Result<EndpointConnection, ExchangeError> {
    let not_sent = |error: io::Error| ExchangeError::NotSent(error.to_string());
    let stream = traffic.open(address).await.map_err(not_sent)?;
    if has_long_body {
        // With this timeout an endpoint with a full receive window is disconnected although it acknowledges
        // each probe. How long a body may take is decided by the request's own deadline.
        SockRef::from(&stream).set_tcp_user_timeout(None).map_err(not_sent)?;
    }
    handshake(stream, has_long_body, traffic).await.map_err(not_sent)
}

async fn handshake(
    stream: TcpStream,
    has_long_body: bool,
    traffic: &Arc<TrafficCounters>,
) -> io::Result<EndpointConnection> {
    let stream = ObservedStream::new(stream, traffic);
    let end = stream.record();
    let stream = HeadLimitedStream::new(stream, end.budget().clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(WRITE_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    // The exchange that uses the connection reports its result.
    let driver = tokio::spawn(async move { drop(connection.await) }).abort_handle();
    Ok(EndpointConnection {
        sender,
        driver,
        number: traffic.next_connection(),
        is_new: true,
        has_long_body,
        progress: BodyProgress::default(),
        end,
    })
}

/// Opens a TCP connection that ends by itself if its peer acknowledges nothing for `unacknowledged_timeout`.
///
/// The timeout also decides when keep-alive probes give up, whatever their count.
pub(crate) async fn open_stream(
    address: SocketAddr,
    unacknowledged_timeout: Duration,
) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address))
        .await
        .map_err(|_elapsed| io::Error::new(io::ErrorKind::TimedOut, "no connection in time"))??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(unacknowledged_timeout))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    Ok(stream)
}
