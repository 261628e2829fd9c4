//! Connections to endpoints, kept between requests.
//!
//! Invariant: a connection serves one request at a time and goes back only after a whole answer to a
//! request that went out whole; whoever drops it in between cuts it, which is how an endpoint learns that its work is not
//! wanted any more. The latest used connection is taken first, so that spare ones grow old.

use crate::EndpointKey;
use crate::requests::outgoing_body::{BodyMark, OutgoingBody, WRITE_BUFFER_BYTES};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// A connection that does not come up by then has failed: some twenty round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Bytes that stay unacknowledged for longer mean a dead peer or a cut link: several
/// retransmissions fit, and a caller of a short objective can still be told.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before the first keep-alive probe and between probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Idle connections are used for this long if the endpoint names no time of its own.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
/// A connection is not used in the last part of the time that the endpoint grants it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Idle connections kept for one endpoint.
const IDLE_MOST: usize = 16;

/// Why an exchange with an endpoint brought no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No byte of the request left this process.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent; it may have run.
    #[error("no answer: {0}")]
    Lost(String),
    /// No byte of the request left this process: meanwhile the endpoint takes none.
    #[error("withdrawn before it was sent")]
    Withdrawn,
}

/// One connection to an endpoint. Dropping it cuts it.
#[derive(Debug)]
pub(crate) struct EndpointConnection {
    sender: SendRequest<OutgoingBody>,
    driver: AbortHandle,
    fresh: bool,
    /// Whether it waits for an endpoint that reads late; for one long body only.
    is_patient: bool,
    /// How far the body of its present request went.
    body: BodyMark,
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
}

impl EndpointPool {
    /// Sends `request` over a kept or a new connection; gives the answer's head.
    ///
    /// A kept connection that turns out to be closed before a byte was written is replaced. A long body
    /// has a connection of its own. `may_send` is asked right before the first byte: what was learned while a connection was
    /// opened counts.
    pub(crate) async fn exchange(
        &self,
        key: EndpointKey,
        address: SocketAddr,
        mut request: Request<OutgoingBody>,
        may_send: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, EndpointConnection), ExchangeError> {
        loop {
            let is_long = request.body().is_long();
            let kept = if is_long { None } else { self.take(key) };
            let mut connection = match kept {
                Some(connection) => connection,
                None => connect(address, is_long).await?,
            };
            if let Err(error) = connection.sender.ready().await {
                if connection.fresh {
                    return Err(ExchangeError::NotSent(error.to_string()));
                }
                continue;
            }
            if !may_send() {
                return Err(ExchangeError::Withdrawn);
            }
            connection.body = request.body().mark();
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !connection.fresh => request = unsent,
                    Some(_) => return Err(ExchangeError::NotSent(error.error().to_string())),
                    None => return Err(ExchangeError::Lost(error.error().to_string())),
                },
            }
        }
    }

    /// Keeps a connection whose answer was whole, for as long as its endpoint grants.
    pub(crate) fn give_back(
        &self,
        key: EndpointKey,
        mut connection: EndpointConnection,
        granted: Option<Duration>,
    ) {
        let rest = granted.map_or(IDLE_DEFAULT, |time| time.saturating_sub(IDLE_MARGIN).min(IDLE_DEFAULT));
        let is_spent = connection.is_patient || !connection.body.is_handed_on();
        if connection.sender.is_closed() || rest.is_zero() || is_spent {
            return;
        }
        connection.fresh = false;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(key).or_default();
        if kept.len() < IDLE_MOST {
            kept.push(IdleConnection { connection, usable_until: Instant::now() + rest });
        }
    }

    /// Cuts all idle connections to an endpoint that is gone.
    pub(crate) fn forget(&self, key: EndpointKey) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&key);
    }

    /// Cuts all idle connections: their endpoints may have closed them long ago.
    pub(crate) fn forget_all(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Cuts idle connections whose time is over.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for kept in idle.values_mut() {
            kept.retain(|row| now < row.usable_until && !row.connection.sender.is_closed());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    fn take(&self, key: EndpointKey) -> Option<EndpointConnection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&key)?;
        while let Some(row) = kept.pop() {
            if now < row.usable_until && !row.connection.sender.is_closed() {
                return Some(row.connection);
            }
        }
        None
    }
}

async fn connect(address: SocketAddr, is_patient: bool) -> Result<EndpointConnection, ExchangeError> {
    let not_sent = |error: io::Error| ExchangeError::NotSent(error.to_string());
    let stream = open_stream(address).await.map_err(not_sent)?;
    if is_patient {
        // An endpoint whose window is full is cut at this time although it acknowledges each probe. How
        // long a body may take is for the request's own patience to say.
        SockRef::from(&stream).set_tcp_user_timeout(None).map_err(not_sent)?;
    }
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(WRITE_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
    // How the connection ends is told by the exchange that uses it.
    let driver = tokio::spawn(async move { drop(connection.await) }).abort_handle();
    Ok(EndpointConnection { sender, driver, fresh: true, is_patient, body: BodyMark::default() })
}

/// Opens a TCP connection that notices a silent peer by itself.
pub(crate) async fn open_stream(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_elapsed| io::Error::new(io::ErrorKind::TimedOut, "no connection in time"))??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probes = TcpKeepalive::new().with_time(PROBE_PAUSE).with_interval(PROBE_PAUSE);
    socket.set_tcp_keepalive(&probes)?;
    Ok(stream)
}
