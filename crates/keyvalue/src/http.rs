//! JSON calls over HTTP.
//!
//! Errors distinguish calls that were not sent from those that may have taken effect. Invariant:
//! [`PlatformError::NotSent`] is returned only if no byte of the call left this process; after any
//! other error the call may have taken effect. A watch has no effect, so each failure to open one is
//! returned as `NotSent`.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of [`post_json`] and [`read_json`].
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No connection was established: the call was not sent.
    #[error("the platform cannot be reached: {0}")]
    NotSent(String),
    /// The call was sent, but no usable answer was received: it may have taken effect.
    #[error("the platform did not answer: {0}")]
    Unknown(String),
    /// The platform answered with an error status.
    #[error("the platform answered {status}: {text}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The answer's text.
        text: String,
    },
}

pub(crate) type JsonClient = Client<HttpConnector, Full<Bytes>>;

pub(crate) fn json_client() -> JsonClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(Duration::from_millis(500)));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Sends a POST with a JSON body, or a GET without one, and returns the JSON answer.
pub(crate) async fn call(
    client: &JsonClient,
    address: SocketAddr,
    path: &str,
    body: Option<&Value>,
    timeout: Duration,
) -> Result<Value, PlatformError> {
    let request = json_request(address, path, body)?;
    let exchange = async {
        let response = client.request(request).await.map_err(|error| {
            if error.is_connect() {
                PlatformError::NotSent(error.to_string())
            } else {
                PlatformError::Unknown(error.to_string())
            }
        })?;
        let status = response.status();
        let body_error = |error: hyper::Error| PlatformError::Unknown(error.to_string());
        let bytes = response.into_body().collect().await.map_err(body_error)?.to_bytes();
        if !status.is_success() {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            return Err(PlatformError::Refused { status: status.as_u16(), text });
        }
        serde_json::from_slice(&bytes).map_err(|error| PlatformError::Unknown(error.to_string()))
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or_else(|_| Err(PlatformError::Unknown("timeout".to_owned())))
}

pub(crate) fn json_request(
    address: SocketAddr,
    path: &str,
    body: Option<&Value>,
) -> Result<Request<Full<Bytes>>, PlatformError> {
    let builder = Request::builder().uri(format!("http://{address}{path}"));
    let builder = builder.header("content-type", "application/json");
    let request = match body {
        Some(body) => builder.method("POST").body(Full::new(Bytes::from(body.to_string()))),
        None => builder.method("GET").body(Full::new(Bytes::new())),
    };
    request.map_err(|error| PlatformError::NotSent(error.to_string()))
}

/// Posts `body` to a JSON resource of the server at `address`.
///
/// # Errors
/// If there is no answer, or it is an error or not JSON.
pub async fn post_json(address: SocketAddr, path: &str, body: &Value) -> Result<Value, PlatformError> {
    call(&json_client(), address, path, Some(body), READ_TIMEOUT).await
}

/// Reads a JSON resource of the server at `address`, such as a VM's `/status`.
///
/// # Errors
/// If there is no answer, or it is an error or not JSON.
pub async fn read_json(address: SocketAddr, path: &str) -> Result<Value, PlatformError> {
    call(&json_client(), address, path, None, READ_TIMEOUT).await
}
