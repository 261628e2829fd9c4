//! Fetches a snapshot of all endpoints from another VM of this data centre.

use super::snapshot_port::{
    CODE_BYTES, CODE_HEADER, CodePurpose, NONCE_HEADER, SNAPSHOT_PATH, authentication_code,
};
use crate::gateway::Gateway;
use crate::store::call_link::CallLink;
use crate::{EndpointSnapshot, WireCall, unpack};
use hyper::Method;
use hyper::header::HeaderName;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for getting a snapshot, after which the store is listed instead. The sources may be starting
/// too.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(6);
/// An answer begins within this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest and longest delay before the next request, in milliseconds.
const RETRY_DELAY_MILLIS: std::ops::Range<u64> = 150..400;
/// Largest snapshot, in bytes: some ten times the entries of the largest deployment.
const MAX_SNAPSHOT_BYTES: u64 = 64 << 20;

/// Fetches a snapshot from one of the VMs that serve them. Returns none if this VM has to list the endpoints
/// itself, or if no VM sent a snapshot in time.
pub(crate) async fn fetch_snapshot(gateway: &Gateway) -> Option<EndpointSnapshot> {
    let deadline = Instant::now() + SNAPSHOT_TIMEOUT;
    let sources = gateway.peers().snapshot_sources();
    if sources.is_empty() {
        return None;
    }
    while Instant::now() < deadline {
        let source = sources[rand::random_range(0..sources.len())];
        match request_snapshot(gateway, source).await {
            Ok(snapshot) => {
                log::info!(source:%, position:% = snapshot.position, endpoints = snapshot.entries.len(); "copy.taken");
                return Some(snapshot);
            }
            Err(cause) => log::debug!(source:%, cause = cause.as_str(); "copy.failed"),
        }
        tokio::time::sleep(Duration::from_millis(rand::random_range(RETRY_DELAY_MILLIS))).await;
    }
    log::warn!(sources = sources.len(); "copy.given_up");
    None
}

async fn request_snapshot(gateway: &Gateway, source: SocketAddr) -> Result<EndpointSnapshot, String> {
    let key = gateway.peer_key().ok_or("the peer key is not known")?;
    let nonce = format!("{:032x}", rand::random::<u128>());
    let code_hash = blake3::Hash::from_bytes(authentication_code(&key, CodePurpose::Request, &nonce, &[]));
    let call = WireCall {
        method: Method::GET,
        path: SNAPSHOT_PATH.to_owned(),
        headers: vec![
            (HeaderName::from_static(NONCE_HEADER), nonce.clone()),
            (HeaderName::from_static(CODE_HEADER), code_hash.to_hex().to_string()),
        ],
        body: None,
    };
    let reply = CallLink::new(source).call_large(&call, Instant::now() + ANSWER_TIMEOUT).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if reply.status != 200 {
        return Err(format!("status {}", reply.status));
    }
    let (packed, code) = reply.body.split_last_chunk::<CODE_BYTES>().ok_or("an answer without its code")?;
    let expected = blake3::Hash::from_bytes(authentication_code(&key, CodePurpose::Answer, &nonce, packed));
    if expected != blake3::Hash::from_bytes(*code) {
        return Err("an answer that is not authentic".to_owned());
    }
    let snapshot: EndpointSnapshot =
        unpack(packed, MAX_SNAPSHOT_BYTES).ok_or("an answer that cannot be read")?;
    let newest_era = gateway.era.known();
    if newest_era.is_some_and(|newest_era| newest_era != snapshot.position.era) {
        return Err(format!("a copy of the era {}", snapshot.position.era));
    }
    Ok(snapshot)
}
