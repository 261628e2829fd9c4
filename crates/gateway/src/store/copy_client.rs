//! Takes a copy of all endpoints from another VM of this data centre.

use super::copy_port::{CODE_BYTES, CODE_HEADER, COPY_PATH, CodeUse, NONCE_HEADER, copy_code};
use crate::gateway::Gateway;
use crate::store::call_link::CallLink;
use crate::{EndpointSnapshot, WireCall, unpack};
use hyper::Method;
use hyper::header::HeaderName;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A copy is waited for this long; then the store is asked. Those that were asked may be starting too.
const COPY_WAIT: Duration = Duration::from_secs(6);
/// An answer begins within this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest and longest pause before another VM is asked, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 150..400;
/// Largest copy, in bytes: some ten times the entries of the largest deployment.
const COPY_BYTES_MOST: u64 = 64 << 20;

/// A copy from one of the VMs that are to give one; none if this VM is to list the endpoints itself, or nobody gave one.
pub(crate) async fn fetch_copy(gateway: &Gateway) -> Option<EndpointSnapshot> {
    let until = Instant::now() + COPY_WAIT;
    let sources = gateway.peers().snapshot_sources();
    if sources.is_empty() {
        return None;
    }
    while Instant::now() < until {
        let source = sources[rand::random_range(0..sources.len())];
        match ask(gateway, source).await {
            Ok(copy) => {
                log::info!(source:%, position:% = copy.position, endpoints = copy.entries.len(); "copy.taken");
                return Some(copy);
            }
            Err(cause) => log::debug!(source:%, cause = cause.as_str(); "copy.failed"),
        }
        tokio::time::sleep(Duration::from_millis(rand::random_range(PAUSE_MILLIS))).await;
    }
    log::warn!(sources = sources.len(); "copy.given_up");
    None
}

async fn ask(gateway: &Gateway, source: SocketAddr) -> Result<EndpointSnapshot, String> {
    let key = gateway.peer_key().ok_or("the peer key is not known")?;
    let nonce = format!("{:032x}", rand::random::<u128>());
    let code = blake3::Hash::from_bytes(copy_code(&key, CodeUse::Question, &nonce, &[]));
    let call = WireCall {
        method: Method::GET,
        path: COPY_PATH.to_owned(),
        headers: vec![
            (HeaderName::from_static(NONCE_HEADER), nonce.clone()),
            (HeaderName::from_static(CODE_HEADER), code.to_hex().to_string()),
        ],
        body: None,
    };
    let reply = CallLink::new(source).call_large(&call, Instant::now() + ANSWER_TIMEOUT).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if reply.status != 200 {
        return Err(format!("status {}", reply.status));
    }
    let (packed, code) = reply.body.split_last_chunk::<CODE_BYTES>().ok_or("an answer without its code")?;
    let expected = blake3::Hash::from_bytes(copy_code(&key, CodeUse::Answer, &nonce, packed));
    if expected != blake3::Hash::from_bytes(*code) {
        return Err("an answer that is not authentic".to_owned());
    }
    let copy: EndpointSnapshot = unpack(packed, COPY_BYTES_MOST).ok_or("an answer that cannot be read")?;
    let era = gateway.era.known();
    if era.is_some_and(|era| era != copy.position.era) {
        return Err(format!("a copy of the era {}", copy.position.era));
    }
    Ok(copy)
}
