//! The HTTP client for endpoints.
//!
//! Invariant: [`CallError::NotSent`] is returned only if no byte of the request left this VM.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time after which an attempt to connect fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed; most endpoints would close it later.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The body of a request to an endpoint.
pub(crate) type OutgoingBody = BoxBody<Bytes, Box<dyn std::error::Error + Send + Sync>>;

/// The reason why a call to an endpoint failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    #[error("not sent: {0}")]
    NotSent(String),
    #[error("no answer: {0}")]
    Unknown(String),
}

/// A client that pools connections for the calls that may be repeated.
#[derive(Clone, Debug)]
pub(crate) struct EndpointClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
}

impl EndpointClient {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pooled = Client::builder(TokioExecutor::new()).pool_idle_timeout(IDLE_TIMEOUT).build(connector);
        Self { pooled }
    }

    /// Sends a request that may be repeated, over a pooled connection.
    pub(crate) async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
        self.pooled.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::NotSent(error.to_string())
            } else {
                CallError::Unknown(error.to_string())
            }
        })
    }

    /// Sends a request that may be repeated and reads its small answer whole.
    pub(crate) async fn read(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(u16, Bytes), CallError> {
        let exchange = async {
            let response = self.send(request).await?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await;
            let body = body.map_err(|error| CallError::Unknown(error.to_string()))?.to_bytes();
            Ok((status, body))
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(CallError::Unknown("timeout".to_owned())))
    }

    /// Opens a separate connection for a call that may not be repeated.
    ///
    /// The call's body is passed only after the connection is established, so a refused connection
    /// does not consume it.
    pub(crate) async fn open(address: SocketAddr) -> Result<http1::SendRequest<OutgoingBody>, CallError> {
        let not_sent = |error: &dyn std::fmt::Display| CallError::NotSent(error.to_string());
        let socket = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_error| CallError::NotSent("timeout".to_owned()))?
            .map_err(|error| not_sent(&error))?;
        socket.set_nodelay(true).map_err(|error| not_sent(&error))?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(socket)).await.map_err(|error| not_sent(&error))?;
        tokio::spawn(async move {
            // The sender returns the connection's errors.
            let _ = connection.await;
        });
        Ok(sender)
    }
}
