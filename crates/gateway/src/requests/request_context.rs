//! The parsed head of a request: route, account, deadline, prompt.
//!
//! Invariant: beyond this module, nothing in a caller's head affects an endpoint except the headers that a
//! caller may set; headers that only the system sets are removed.

use crate::gateway::Gateway;
use crate::pick_target;
use crate::requests::own_answer::OwnAnswer;
use crate::{AccountRow, AdmissionView, HeaderNames, PromptSegment, RouteKind, RouteRow};
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use spanfold_entity::Moment;

/// Retry delay while this VM has no configuration.
const UNCONFIGURED_RETRY_MILLIS: u64 = 500;
/// Segments of a prompt by which it is placed. Each costs time at each engine, and a head holds thousands.
const MAX_SEGMENTS: usize = 64;
/// Largest priority number that engines accept.
pub(crate) const MAX_PRIORITY: u8 = 9;

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
pub(crate) struct RequestContext {
    pub id: HeaderValue,
    pub method: Method,
    pub path: String,
    /// The requested host.
    pub host: String,
    pub headers: HeaderMap,
    /// The caller's authorization, which endpoints do not get.
    pub authorization: Option<HeaderValue>,
    pub route: RouteRow,
    pub service: String,
    pub account: Option<String>,
    pub priority: u8,
    pub model: Option<String>,
    pub segments: Vec<PromptSegment>,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    pub config_version: u64,
    pub received_at: Moment,
    /// The answer must be complete by then.
    pub deadline: Moment,
}

impl RequestContext {
    /// Parses and checks a request's head.
    pub(crate) fn parse(gateway: &Gateway, head: &Parts, received_at: Moment) -> Result<Self, OwnAnswer> {
        let names = &gateway.dialect.headers;
        let headers = &head.headers;
        check_framing(headers)?;
        let Some(table) = gateway.routes() else {
            return Err(OwnAnswer::not_run("no configuration is known yet", UNCONFIGURED_RETRY_MILLIS));
        };
        let host = header_text(headers, &hyper::header::HOST).or_else(|| head.uri.host()).unwrap_or_default();
        let Some(route) = table.route(host, head.uri.path()) else {
            return Err(OwnAnswer::plain(StatusCode::NOT_FOUND, "no route"));
        };
        let account = find_account(gateway, &table, route, headers)?;
        let Some(id) = headers.get(&names.request_id).cloned() else {
            return Err(OwnAnswer::plain(StatusCode::BAD_REQUEST, "the request has no id"));
        };
        let timeout_millis: u64 = match header_text(headers, &names.deadline_millis) {
            None => route.timeout_millis,
            Some(value) => value.trim().parse().map_err(|_error| {
                OwnAnswer::plain(StatusCode::BAD_REQUEST, "the deadline is not a number")
            })?,
        };
        let service = pick_target(&route.targets, rand::random())
            .ok_or(OwnAnswer::plain(StatusCode::NOT_FOUND, "the route has no service"))?;
        let segments =
            header_text(headers, &names.prompt_segments).and_then(gateway.dialect.decoders.prompt_segments);
        let usage = header_text(headers, &names.token_usage).and_then(gateway.dialect.decoders.token_usage);
        let (prompt_tokens, output_tokens) = usage.unwrap_or_default();
        let priority = account.and_then(|account| account.priority).unwrap_or(route.priority);
        Ok(Self {
            id,
            method: head.method.clone(),
            path: head.uri.path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string),
            host: host.to_owned(),
            headers: forwarded_headers(headers, names),
            authorization: headers.get(AUTHORIZATION).cloned(),
            service: service.to_owned(),
            account: account.map(|account| account.name.clone()),
            segments: segments.map_or_else(Vec::new, |segments| merge_tail(segments, MAX_SEGMENTS)),
            priority: priority.min(MAX_PRIORITY),
            model: header_text(headers, &names.model).map(str::to_owned),
            prompt_tokens,
            output_tokens,
            config_version: table.config().version,
            received_at,
            deadline: received_at.after_millis(timeout_millis.min(route.timeout_millis)),
            route: route.clone(),
        })
    }

    pub(crate) fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Stream
    }

    /// Returns the inputs of admission; none if the request has no prompt.
    pub(crate) fn admission(&self) -> Option<AdmissionView> {
        (!self.segments.is_empty()).then(|| AdmissionView {
            received_at: self.received_at,
            answer_deadline: self.deadline,
            objective_millis: self.route.objective_millis,
            silence_timeout_millis: self.route.stream_idle_timeout_millis(),
            priority: self.priority,
        })
    }

    /// Returns the names of the segments that the prompt may share with others: all but the last, which is its
    /// own.
    pub(crate) fn shared_segment_names(&self, gateway: &Gateway) -> Vec<&str> {
        let text = header_text(&self.headers, &gateway.dialect.headers.prompt_segments).unwrap_or_default();
        let mut names = (gateway.dialect.decoders.segment_names)(text);
        names.pop();
        names
    }

    /// The request's id as text, for logs.
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }
}

/// Merges the segments beyond `max_segments` into the last one, which belongs to the request itself.
fn merge_tail(mut segments: Vec<PromptSegment>, max_segments: usize) -> Vec<PromptSegment> {
    if segments.len() > max_segments {
        let tail = segments.split_off(max_segments - 1);
        let tokens = tail.iter().fold(0_u32, |total, segment| total.saturating_add(segment.tokens));
        segments.extend(tail.last().map(|last| PromptSegment { key: last.key, tokens }));
    }
    segments
}

/// Rejects a body with two framings: the bytes after it could be parsed as another request.
fn check_framing(headers: &HeaderMap) -> Result<(), OwnAnswer> {
    let length_count = headers.get_all(CONTENT_LENGTH).iter().count();
    let has_transfer_coding = headers.contains_key(TRANSFER_ENCODING);
    if length_count > 1 || (has_transfer_coding && length_count > 0) {
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
    let key = header_text(headers, &AUTHORIZATION).and_then(gateway.dialect.decoders.caller_key);
    let account = key.and_then(|key| table.account(key));
    if account.is_none() && table.requires_keys() && !route.public {
        return Err(OwnAnswer::plain(StatusCode::UNAUTHORIZED, "no such key"));
    }
    Ok(account)
}

/// Returns the caller's headers without those of one connection and those that only the system sets.
fn forwarded_headers(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut forwarded = headers.clone();
    // Names listed in the Connection header belong to that connection, too, except for those that define
    // the request: by listing them, a caller could have it run as another one.
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

/// Returns a header's text, if it is present and readable.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Whether a header belongs to one connection and is not forwarded.
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_HEADERS.contains(&name.as_str())
}
