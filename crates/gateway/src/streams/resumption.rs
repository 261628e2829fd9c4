//! A caller's request to resume its stream: its headers, and the version at which the stream goes on.

use super::stream_message::SoughtStream;
use super::stream_tracker::OriginSearch;
use crate::gateway::Gateway;
use crate::requests::own_answer::{AnswerBody, OwnAnswer, ResumeRefusal};
use crate::requests::request_context::RequestContext;
use crate::requests::request_run::{LAST_EVENT_ID, RequestRun};
use crate::{EndpointKey, StreamKey, StreamOrigin, short_digest};
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Response, StatusCode};
use spanfold_entity::MICROS_PER_MILLI;
use std::sync::Arc;

/// Longest id of an attempt or an event, in bytes.
const MAX_ID_BYTES: usize = 1_024;

/// Time within which a caller returns after its stream broke, in milliseconds.
pub(crate) const RETURN_WINDOW_MILLIS: u64 = 5_000;

/// What a caller resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Resumption {
    /// Key of the stream: of the attempt that the caller names, else of its own id.
    pub key: StreamKey,
    /// Whether the caller names the attempt.
    pub is_named: bool,
}

impl Resumption {
    /// Parses the headers of a request; none if it resumes no stream.
    ///
    /// # Errors
    /// If a header does not contain one id, if only the attempt is named, or if the route's streams cannot be
    /// resumed.
    pub(crate) fn parse(gateway: &Gateway, context: &RequestContext) -> Result<Option<Self>, OwnAnswer> {
        if !context.is_stream() {
            return Ok(None);
        }
        let malformed = |reason| Err(OwnAnswer::plain(StatusCode::BAD_REQUEST, reason));
        let attempt = single_id(&context.headers, &gateway.dialect.headers.resumes);
        let event = single_id(&context.headers, &LAST_EVENT_ID);
        match (attempt, event) {
            (IdHeader::Missing, IdHeader::Missing) => Ok(None),
            (_, IdHeader::Missing) => malformed("Resumes without Last-Event-Id: name the last event"),
            (IdHeader::Malformed, _) => malformed("Resumes is not the id of one attempt"),
            (_, IdHeader::Malformed) => malformed("Last-Event-Id is not the id of one event"),
            _ if !context.route.resumable => malformed("Resumes: the route's streams cannot be resumed"),
            (attempt, IdHeader::Id(_)) => {
                let account = context.account.as_deref().unwrap_or_default();
                let key = StreamKey::of(account, attempt.id().unwrap_or(context.id.as_bytes()));
                Ok(Some(Self { key, is_named: attempt.id().is_some() }))
            }
        }
    }
}

/// A header that contains an id.
#[derive(Clone, Copy)]
enum IdHeader<'a> {
    Missing,
    /// It is empty, too long, not text, or there are several.
    Malformed,
    Id(&'a [u8]),
}

impl<'a> IdHeader<'a> {
    const fn id(self) -> Option<&'a [u8]> {
        match self {
            Self::Id(id) => Some(id),
            Self::Missing | Self::Malformed => None,
        }
    }
}

fn single_id<'a>(headers: &'a HeaderMap, name: &HeaderName) -> IdHeader<'a> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return IdHeader::Missing };
    let is_valid = values.next().is_none()
        && (1..=MAX_ID_BYTES).contains(&value.len())
        && value.as_bytes().iter().all(u8::is_ascii_graphic);
    if is_valid { IdHeader::Id(value.as_bytes()) } else { IdHeader::Malformed }
}

impl RequestRun {
    /// Binds a request that resumes a stream to the version that began it; returns the refusal if it cannot
    /// go on.
    pub(crate) async fn bind_resumption(&mut self) -> Option<Response<AnswerBody>> {
        let gateway = Arc::clone(&self.gateway);
        let resumption = match Resumption::parse(&gateway, &self.context) {
            Ok(resumption) => resumption?,
            Err(answer) => {
                gateway.metrics.streams.count_resumption("malformed");
                return Some(self.refuse_with(answer));
            }
        };
        self.resumed_key = resumption.is_named.then_some(resumption.key);
        let started_at = gateway.now();
        let account = self.context.account.as_deref().unwrap_or_default();
        let window_millis = self.context.route.timeout_millis + RETURN_WINDOW_MILLIS;
        let stream = SoughtStream {
            key: resumption.key,
            is_named: resumption.is_named,
            service: short_digest(&self.context.service),
            window_millis: u32::try_from(window_millis).unwrap_or(u32::MAX),
        };
        let search = match gateway.find_origin(stream, account).await {
            // The first attempt may have gone to another of the route's services.
            OriginSearch::Found(origin)
                if self.context.route.targets.len() > 1 && origin.endpoint == EndpointKey::default() =>
            {
                OriginSearch::Unknown
            }
            search => search,
        };
        let refusal = match search {
            OriginSearch::Found(origin) => match self.bind_to(origin) {
                Ok(()) => {
                    gateway.metrics.streams.count_resumption("bound");
                    let is_recorded = origin.endpoint != EndpointKey::default();
                    log::info!(request = self.context.id_text(), software = origin.software, is_recorded,
                        is_named = resumption.is_named; "resume.bound");
                    return None;
                }
                Err(refusal) => refusal,
            },
            OriginSearch::Unknown => ResumeRefusal::UnknownVersion,
            OriginSearch::Unanswered => ResumeRefusal::Unanswered,
        };
        let took_millis = gateway.now().micros_since(started_at) / MICROS_PER_MILLI;
        let software = gateway.table().describe_software(&self.context.service);
        log::info!(request = self.context.id_text(), reason = refusal.label(), took_ms = took_millis,
            is_named = resumption.is_named, window_ms = window_millis, software = software.as_str();
            "resume.unbound");
        Some(self.refuse_resumption(refusal))
    }

    /// Binds the request to the version that began its stream.
    pub(crate) fn bind_to(&mut self, origin: StreamOrigin) -> Result<(), ResumeRefusal> {
        let (gateway, route) = (&self.gateway, &self.context.route);
        let service = route.targets.iter().find(|target| short_digest(&target.service) == origin.service);
        let service = service.ok_or(ResumeRefusal::OtherService)?.service.clone();
        if !gateway.table().confirms_origin(&origin) {
            return Err(ResumeRefusal::UnknownVersion);
        }
        if !gateway.table().has_software(&service, &origin, gateway.now()) {
            return Err(ResumeRefusal::NoEngine);
        }
        self.context.service = service;
        self.origin = Some(origin);
        Ok(())
    }

    /// Whether no engine of the version that began the stream takes work.
    pub(crate) fn has_no_engine(&self) -> bool {
        self.origin.is_some_and(|origin| {
            let now = self.gateway.now();
            !self.gateway.table().has_software(&self.context.service, &origin, now)
        })
    }

    /// Answers a resumption that cannot go on.
    pub(crate) fn refuse_resumption(&mut self, refusal: ResumeRefusal) -> Response<AnswerBody> {
        self.gateway.metrics.streams.count_resumption(refusal.label());
        self.refuse_with(refusal.answer())
    }

    /// Records the software that began the stream, before its first event leaves for the caller.
    ///
    /// `began` is the origin of a new stream; none if its version is not known.
    pub(crate) async fn record_stream(&mut self, began: Option<StreamOrigin>) {
        if self.origin.is_none() {
            self.origin = began;
        }
        let (gateway, context) = (&self.gateway, &self.context);
        // The VM that the caller is connected to records it.
        if !self.plan.taken_from.is_empty() || !context.route.resumable {
            return;
        }
        let account = context.account.as_deref().unwrap_or_default();
        let own_key = StreamKey::of(account, context.id.as_bytes());
        let keys: Vec<_> = std::iter::once(own_key).chain(self.resumed_key).collect();
        match self.origin {
            Some(origin) => gateway.record_origin(&keys, account, origin, context.deadline).await,
            None => log::warn!(request = context.id_text(), endpoint = self.endpoint.as_str();
                "stream.unbound"),
        }
    }

    /// Whether a stream that has begun may go on at another engine: its version is known.
    pub(crate) fn may_resume(&self) -> bool {
        self.origin.is_some_and(|origin| self.gateway.table().confirms_origin(&origin))
    }
}
