//! What is known of a request from its head: route, account, deadline, prompt.
//!
//! Invariant: after this module nothing of a caller's head steers an endpoint except what the caller
//! may set; headers that only the system sets are gone.

use crate::gateway::Gateway;
use crate::pick_target;
use crate::requests::own_answer::OwnAnswer;
use crate::{AccountRow, AdmissionView, HeaderNames, PromptSegment, RouteKind, RouteRow};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use spanfold_entity::Moment;

/// When to come back to a VM that knows no configuration yet, in milliseconds.
const UNCONFIGURED_RETRY_MILLIS: u64 = 500;
/// Highest number of a priority at engines.
const PRIORITY_MOST: u8 = 9;
/// Wall around all accounts that share cached parts.
const SHARED_WALL: &str = "shared";

/// Headers that belong to one connection.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// One request, checked and ready to be placed.
#[derive(Debug)]
pub(crate) struct RequestTicket {
    pub id: HeaderValue,
    pub method: Method,
    pub path: String,
    /// The host that was asked for.
    pub host: String,
    pub headers: HeaderMap,
    pub route: RouteRow,
    pub service: String,
    pub account: Option<String>,
    /// Who may share the prompt's cached parts.
    pub wall: String,
    pub priority: u8,
    pub model: Option<String>,
    pub parts: Vec<PromptSegment>,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    pub config_version: u64,
    pub received: Moment,
    /// Its answer must be out by then.
    pub limit: Moment,
}

impl RequestTicket {
    /// Reads a request's head.
    pub(crate) fn read(gateway: &Gateway, head: &Parts, received: Moment) -> Result<Self, OwnAnswer> {
        let names = &gateway.dialect.headers;
        let headers = &head.headers;
        check_framing(headers)?;
        let Some(table) = gateway.routes() else {
            return Err(OwnAnswer::not_run("no configuration is known yet", UNCONFIGURED_RETRY_MILLIS));
        };
        let host = text(headers, &hyper::header::HOST).or_else(|| head.uri.host()).unwrap_or_default();
        let Some(route) = table.route(host, head.uri.path()) else {
            return Err(OwnAnswer::plain(StatusCode::NOT_FOUND, "no route"));
        };
        let account = find_account(gateway, &table, route, headers)?;
        let Some(id) = headers.get(&names.request_id).cloned() else {
            return Err(OwnAnswer::plain(StatusCode::BAD_REQUEST, "the request has no id"));
        };
        let asked: u64 = match text(headers, &names.deadline_millis) {
            None => route.timeout_millis,
            Some(value) => value.trim().parse().map_err(|_error| {
                OwnAnswer::plain(StatusCode::BAD_REQUEST, "the deadline is not a number")
            })?,
        };
        let service = pick_target(&route.targets, rand::random())
            .ok_or(OwnAnswer::plain(StatusCode::NOT_FOUND, "the route has no service"))?;
        let wall = account
            .filter(|account| account.isolated)
            .map_or_else(|| SHARED_WALL.to_owned(), |account| format!("account:{}", account.name));
        let parts = text(headers, &names.prompt_segments).and_then(gateway.dialect.decode.prompt_segments);
        let usage = text(headers, &names.token_usage).and_then(gateway.dialect.decode.token_usage);
        let (prompt_tokens, output_tokens) = usage.unwrap_or_default();
        let priority = account.and_then(|account| account.priority).unwrap_or(route.priority);
        Ok(Self {
            id,
            method: head.method.clone(),
            path: head.uri.path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string),
            host: host.to_owned(),
            headers: forwarded(headers, names),
            service: service.to_owned(),
            account: account.map(|account| account.name.clone()),
            parts: parts.unwrap_or_default(),
            wall,
            priority: priority.min(PRIORITY_MOST),
            model: text(headers, &names.model).map(str::to_owned),
            prompt_tokens,
            output_tokens,
            config_version: table.config().version,
            received,
            limit: received.after_millis(asked.min(route.timeout_millis)),
            route: route.clone(),
        })
    }

    pub(crate) fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Stream
    }

    /// What decides whether it goes, waits or is refused; none if its service knows no prompts.
    pub(crate) fn admission(&self) -> Option<AdmissionView> {
        (!self.parts.is_empty()).then(|| AdmissionView {
            received: self.received,
            limit: self.limit,
            objective_millis: self.route.objective_millis,
            silence_millis: self.route.silence_millis(),
            rank: self.priority,
        })
    }

    /// The request's id as text, for logs.
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }
}

/// Refuses a body that is framed in two ways: what follows it could pass as another request.
fn check_framing(headers: &HeaderMap) -> Result<(), OwnAnswer> {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let coded = headers.contains_key(TRANSFER_ENCODING);
    if lengths > 1 || (coded && lengths > 0) {
        return Err(OwnAnswer::plain(StatusCode::BAD_REQUEST, "the body is framed in two ways"));
    }
    Ok(())
}

fn find_account<'a>(
    gateway: &Gateway,
    table: &'a crate::RouteTable,
    route: &RouteRow,
    headers: &HeaderMap,
) -> Result<Option<&'a AccountRow>, OwnAnswer> {
    let key = text(headers, &hyper::header::AUTHORIZATION).and_then(gateway.dialect.decode.caller_key);
    let account = key.and_then(|key| table.account(key));
    if account.is_none() && table.asks_for_keys() && !route.public {
        return Err(OwnAnswer::plain(StatusCode::UNAUTHORIZED, "no such key"));
    }
    Ok(account)
}

/// The caller's headers without those of one connection and those that only the system sets.
fn forwarded(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut forwarded = headers.clone();
    // Names listed in the Connection header belong to that connection, too, but not those that say
    // what the request is: a caller could have it run as another one.
    let essential = [&names.request_id, &names.model, &names.token_usage, &names.prompt_segments];
    for listed in headers.get_all(CONNECTION) {
        for name in listed.to_str().unwrap_or_default().split(',').map(str::trim) {
            if !essential.iter().any(|essential| essential.as_str().eq_ignore_ascii_case(name)) {
                forwarded.remove(name);
            }
        }
    }
    for name in HOP_HEADERS {
        forwarded.remove(name);
    }
    forwarded.remove(CONTENT_LENGTH);
    for name in &names.system_only {
        forwarded.remove(name);
    }
    forwarded
}

/// A header's text, if it is there and readable.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Whether a header belongs to one connection and is not passed on.
pub(crate) fn is_hop_header(name: &HeaderName) -> bool {
    HOP_HEADERS.contains(&name.as_str())
}
