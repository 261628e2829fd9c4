//! The errors returned to callers.
//!
//! Invariant: each states whether the request ran; if a request that did not run may succeed later,
//! it states when to retry. No message contains a key, a prompt, or data of another account.

use crate::caller::{CallerBody, text_response};
use crate::shared::SharedState;
use hyper::Response;
use hyper::header::HeaderValue;
use serde_json::json;
use spanfold_gateway::KindLabel;
use spanfold_kernel::{RanState, RefusalKind};

/// Retry delay of errors that state none.
const DEFAULT_RETRY_MILLIS: u64 = 1_000;

/// A final answer that is an error.
#[derive(Clone, Debug)]
pub(crate) struct FinalError {
    pub status: u16,
    pub code: &'static str,
    pub message: String,
    pub ran: RanState,
    pub retry_after_millis: Option<u64>,
}

impl FinalError {
    /// Returns an error of the caller's own; a retry of the same request would fail too.
    pub(crate) fn bad_request(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into(), ran: RanState::No, retry_after_millis: None }
    }

    /// Returns an error of a request that did not run, for a temporary reason.
    pub(crate) fn not_run(code: &'static str, message: impl Into<String>, retry_after_millis: u64) -> Self {
        let message = message.into();
        Self { status: 503, code, message, ran: RanState::No, retry_after_millis: Some(retry_after_millis) }
    }

    /// Returns an error of a request that ran in part, or may have run.
    pub(crate) fn ran(status: u16, code: &'static str, message: impl Into<String>, ran: RanState) -> Self {
        Self { status, code, message: message.into(), ran, retry_after_millis: Some(DEFAULT_RETRY_MILLIS) }
    }

    /// Returns the error of a refusal by the kernel.
    pub(crate) fn refused(reason: RefusalKind, retry_after_millis: u64) -> Self {
        let (status, code, message) = match reason {
            RefusalKind::Deadline => (503, "deadline", "the deadline cannot be met now"),
            RefusalKind::Rate => (429, "rate_limit", "the client account is over its rate"),
            RefusalKind::Concurrency => (429, "concurrency_limit", "too many requests in flight"),
            RefusalKind::NoShare => (403, "no_share", "the client account has no share of this"),
            RefusalKind::NoEndpoint | RefusalKind::Busy => (503, "no_endpoint", "no endpoint takes work now"),
            RefusalKind::Stopping => (503, "stopping", "this VM is stopping"),
            RefusalKind::ClaimsUnavailable => (503, "claims_unavailable", "the call cannot be recorded now"),
        };
        let message = message.to_owned();
        Self { status, code, message, ran: RanState::No, retry_after_millis: Some(retry_after_millis) }
    }

    /// Returns the body of the answer.
    pub(crate) fn body(&self) -> String {
        json!({ "error": {
            "message": self.message,
            "type": if self.status < 500 { "invalid_request_error" } else { "server_error" },
            "code": self.code,
            "ran": self.ran.label(),
            "retry_after_ms": self.retry_after_millis,
        } })
        .to_string()
    }

    pub(crate) fn into_response(self, shared: &SharedState) -> Response<CallerBody> {
        if self.ran == RanState::No {
            shared.metrics.refusals.get_or_create(&KindLabel::new(self.code)).inc();
        }
        let mut response = text_response(self.status, self.body());
        let headers = response.headers_mut();
        headers.insert("content-type", HeaderValue::from_static("application/json"));
        headers.insert("spanfold-ran", HeaderValue::from_static(self.ran.label()));
        if let Some(millis) = self.retry_after_millis {
            // The header has whole seconds; the body states milliseconds.
            headers.insert("retry-after", HeaderValue::from(millis.div_ceil(1_000)));
        }
        response
    }
}
