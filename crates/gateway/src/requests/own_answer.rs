//! Answers that the gateway makes itself, and what they promise.
//!
//! Invariant: 429 and 503 are given only to requests of which no byte reached an endpoint, or that every
//! endpoint refused before running them; whatever may have run gets 502 or 504.

use crate::requests::stopping::STOPPING;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Reason of a refusal because connections to several endpoints failed.
pub(crate) const NO_ENDPOINT_REACHED: &str = "no endpoint is reached";
/// Reason of a refusal because there is no endpoint to send to.
pub(crate) const NO_ENDPOINT_TAKES_WORK: &str = "no endpoint takes work";

/// Reason of a refusal because this VM may not send more to rate-limited endpoints in time.
pub(crate) const ENDPOINTS_LIMITED: &str = "its endpoints take no more in time";

/// Header with the reason why a stream is not resumed.
const RESUME_REFUSED: HeaderName = HeaderName::from_static("resume-refused");
/// Retry delay of a resumption while other VMs do not answer; a random delay is added.
const UNANSWERED_RETRY_MILLIS: u64 = 300;

/// Why a stream is not resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResumeRefusal {
    /// The version that began it is not known.
    UnknownVersion,
    /// VMs that may know the version did not answer.
    Unanswered,
    /// No engine of its version takes work.
    NoEngine,
    /// Its service is none of the route's any more.
    OtherService,
}

impl ResumeRefusal {
    /// Its label in headers, logs and metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::UnknownVersion => "unknown-version",
            Self::Unanswered => "unanswered",
            Self::NoEngine => "no-engine",
            Self::OtherService => "other-service",
        }
    }

    /// Returns the answer, which states what the caller can do.
    ///
    /// Except while other VMs do not answer, the same resumption would be refused again: it has no retry delay.
    pub(crate) fn answer(self) -> OwnAnswer {
        let reason = match self {
            Self::UnknownVersion => {
                "the software version that began the stream is not known; \
                 send the request without Resumes and Last-Event-Id"
            }
            Self::Unanswered => {
                "the software version that began the stream is not known here now; \
                 retry, or send the request without Resumes and Last-Event-Id"
            }
            Self::NoEngine => {
                "no engine of the software version that began the stream takes work; \
                 send the request without Resumes and Last-Event-Id"
            }
            Self::OtherService => {
                "the route has left the service that began the stream; \
                 send the request without Resumes and Last-Event-Id"
            }
        };
        let retry_after_millis = match self {
            Self::Unanswered => {
                Some(UNANSWERED_RETRY_MILLIS + rand::random_range(0..UNANSWERED_RETRY_MILLIS))
            }
            _ => None,
        };
        OwnAnswer {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_millis,
            resume_refusal: Some(self),
        }
    }
}

/// Why an answer's body was aborted.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off: {0}")]
pub(crate) struct BrokenAnswer(pub String);

/// Body of an answer to a caller.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, BrokenAnswer>;

/// A final answer made by the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OwnAnswer {
    pub status: StatusCode,
    /// The cause, for logs and callers.
    pub reason: &'static str,
    /// Retry delay, in milliseconds; only with answers that promise "not run".
    pub retry_after_millis: Option<u64>,
    /// Why a stream is not resumed, if that is the cause.
    pub resume_refusal: Option<ResumeRefusal>,
}

impl OwnAnswer {
    /// Endpoints crash under the request, and this one has reached none. It has no retry delay: a retry
    /// would end the same way.
    pub(crate) const QUARANTINED: Self = Self::plain(
        StatusCode::SERVICE_UNAVAILABLE,
        "held back: endpoints end under this request; it was not run",
    );
    /// Endpoints crash under the request, and it has reached one.
    pub(crate) const QUARANTINED_AFTER_RUN: Self =
        Self::plain(StatusCode::BAD_GATEWAY, "held back: endpoints end under this request; it may have run");

    /// Endpoints crash under a segment of the prompt, and the request has reached none.
    pub(crate) const SEGMENT_QUARANTINED: Self = Self::plain(
        StatusCode::SERVICE_UNAVAILABLE,
        "held back: endpoints end under a part of this prompt; it was not run",
    );
    /// Endpoints crash under a segment of the prompt, and the request has reached one.
    pub(crate) const SEGMENT_QUARANTINED_AFTER_RUN: Self = Self::plain(
        StatusCode::BAD_GATEWAY,
        "held back: endpoints end under a part of this prompt; it may have run",
    );

    pub(crate) const fn plain(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after_millis: None, resume_refusal: None }
    }

    /// A refusal before running, with the retry delay `millis`.
    pub(crate) const fn not_run(reason: &'static str, millis: u64) -> Self {
        Self { retry_after_millis: Some(millis), ..Self::plain(StatusCode::SERVICE_UNAVAILABLE, reason) }
    }

    /// Whether it says that no endpoint was reached, or may be used, or that this VM is stopping, which may differ at
    /// another VM.
    pub(crate) fn is_unreached(&self) -> bool {
        [NO_ENDPOINT_REACHED, NO_ENDPOINT_TAKES_WORK, ENDPOINTS_LIMITED, STOPPING].contains(&self.reason)
    }

    /// Builds the HTTP response.
    ///
    /// It has this answer as an extension, which distinguishes it from an endpoint's.
    pub(crate) fn response(&self) -> Response<AnswerBody> {
        let mut response = Response::new(full_body(Bytes::from_static(self.reason.as_bytes())));
        *response.status_mut() = self.status;
        response.extensions_mut().insert(*self);
        if let Some(refusal) = self.resume_refusal {
            response.headers_mut().insert(RESUME_REFUSED, HeaderValue::from_static(refusal.label()));
        }
        if let Some(millis) = self.retry_after_millis {
            let text = format!("{}.{:03}", millis / 1_000, millis % 1_000);
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Creates a body from bytes that are all present.
pub(crate) fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
