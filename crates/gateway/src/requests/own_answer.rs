//! Answers that the gateway makes itself, and what they promise.
//!
//! Invariant: 429 and 503 are given only to requests of which no byte reached an endpoint, or that every
//! endpoint refused before running them; whatever may have run gets 502 or 504.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Reason of a refusal because connections to several endpoints failed.
pub(crate) const NO_ENDPOINT_REACHED: &str = "no endpoint is reached";
/// Reason of a refusal because there is no endpoint to send to.
pub(crate) const NO_ENDPOINT_TAKES_WORK: &str = "no endpoint takes work";

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

    pub(crate) const fn plain(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after_millis: None }
    }

    /// A refusal before running, with the retry delay `millis`.
    pub(crate) const fn not_run(reason: &'static str, millis: u64) -> Self {
        Self { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_millis: Some(millis) }
    }

    /// Whether it says that no endpoint was reached, which another VM may do.
    pub(crate) fn is_unreached(&self) -> bool {
        [NO_ENDPOINT_REACHED, NO_ENDPOINT_TAKES_WORK].contains(&self.reason)
    }

    /// Builds the HTTP response.
    ///
    /// It has this answer as an extension, which distinguishes it from an endpoint's.
    pub(crate) fn response(&self) -> Response<AnswerBody> {
        let mut response = Response::new(full_body(Bytes::from_static(self.reason.as_bytes())));
        *response.status_mut() = self.status;
        response.extensions_mut().insert(*self);
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
