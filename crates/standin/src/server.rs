//! A minimal HTTP server for the stand-ins.

use crate::FaultSwitch;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Paths whose replies are never lost, since the requests have no effect.
const READ_ONLY_PATHS: [&str; 5] = ["/healthz", "/metrics", "/kv/events", "/v3/kv/range", "/v3/watch"];

pub(crate) type StandinBody = BoxBody<Bytes, Infallible>;

/// Serves `handle` on `address` until the returned task is aborted; port zero picks a free port.
pub(crate) async fn serve<H, F>(
    address: SocketAddr,
    faults: Arc<FaultSwitch>,
    handle: H,
) -> std::io::Result<(SocketAddr, tokio::task::JoinHandle<()>)>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<StandinBody>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let Ok((socket, _)) = listener.accept().await else { continue };
            if faults.is_cut() {
                continue;
            }
            let _ = socket.set_nodelay(true);
            let (faults, handle) = (Arc::clone(&faults), handle.clone());
            connections.spawn(async move {
                let connection_faults = Arc::clone(&faults);
                let service = service_fn(move |request| {
                    let (faults, handle) = (Arc::clone(&faults), handle.clone());
                    async move {
                        faults.before_request().await;
                        // Only replies to requests with an effect are lost.
                        let takes_effect = !READ_ONLY_PATHS.contains(&request.uri().path());
                        let response = handle(request).await;
                        if takes_effect && faults.consume_lost_reply() {
                            return Err(std::io::Error::other("reply lost on purpose"));
                        }
                        Ok(response)
                    }
                });
                let connection = hyper::server::conn::http1::Builder::new()
                    .timer(TokioTimer::new())
                    .serve_connection(TokioIo::new(socket), service);
                tokio::select! {
                    _ = connection => {}
                    () = wait_for_cut(&connection_faults) => {}
                }
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Ok((address, task))
}

async fn wait_for_cut(faults: &FaultSwitch) {
    while !faults.is_cut() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

pub(crate) fn reply(status: u16, text: impl Into<Bytes>) -> Response<StandinBody> {
    let mut response = Response::new(Full::new(text.into()).boxed());
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

pub(crate) fn reply_json(value: &serde_json::Value) -> Response<StandinBody> {
    reply(200, value.to_string())
}

/// Reads the whole body; `None` if the sender broke off.
pub(crate) async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    request.into_body().collect().await.ok().map(http_body_util::Collected::to_bytes)
}

/// Returns the number under `key` in the query string.
pub(crate) fn query_number(request: &Request<Incoming>, key: &str) -> Option<u64> {
    let query = request.uri().query()?;
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|(name, _)| *name == key)?.1.parse().ok()
}
