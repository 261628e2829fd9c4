//! The head of an endpoint's answer, decoded once into one typed value.
//!
//! Invariant: whatever an endpoint may state about itself in a head has a field here. Code outside the
//! adapter reads [`AnswerFacts`], never headers by name.

use hyper::StatusCode;
use hyper::header::HeaderValue;
use std::time::Duration;

/// A field of a head that may be absent, repeated or invalid.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum HeaderField<T> {
    /// The head does not contain it.
    #[default]
    Absent,
    /// Its value.
    One(T),
    /// It has several values; this is the strictest.
    Several(T),
    /// Its value cannot be parsed.
    Invalid(HeaderFault),
}

impl<T: Copy> HeaderField<T> {
    /// Returns the value, or the strictest of several.
    ///
    /// # Examples
    /// ```
    /// use spanfold_gateway::HeaderField;
    /// assert_eq!(HeaderField::Several(3).value(), Some(3));
    /// assert_eq!(HeaderField::<u8>::Absent.value(), None);
    /// ```
    pub const fn value(&self) -> Option<T> {
        match self {
            Self::One(value) | Self::Several(value) => Some(*value),
            Self::Absent | Self::Invalid(_) => None,
        }
    }

    /// Label of the field's state, for metrics; none if it is absent.
    pub(crate) const fn label(&self) -> Option<&'static str> {
        match self {
            Self::Absent => None,
            Self::One(_) => Some("named"),
            Self::Several(_) => Some("several"),
            Self::Invalid(fault) => Some(fault.kind.label()),
        }
    }

    /// Describes what is wrong with the field called `name`, if anything.
    pub(crate) fn cause(&self, name: &str) -> Option<String> {
        match self {
            Self::Absent | Self::One(_) => None,
            Self::Several(_) => Some(format!("{name} has several values; the strictest counts")),
            Self::Invalid(fault) => Some(fault.to_string()),
        }
    }
}

/// A header's value that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name} {value:?} {kind}")]
pub struct HeaderFault {
    /// Name of the header.
    pub name: &'static str,
    /// Its value, with replacement characters for bytes that are not text.
    pub value: String,
    /// Why it is invalid.
    pub kind: FaultKind,
}

/// Why a header's value is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultKind {
    /// It is not a number.
    #[error("is not a number")]
    Number,
    /// It is below zero or not finite.
    #[error("is below zero or not finite")]
    Range,
    /// It is a date, and the head has no `Date` to compare it with.
    #[error("is a date, and the answer has no Date")]
    Undated,
}

impl FaultKind {
    /// Returns the label for metrics.
    ///
    /// # Examples
    /// ```
    /// assert_eq!(spanfold_gateway::FaultKind::Range.label(), "range");
    /// ```
    pub const fn label(self) -> &'static str {
        match self {
            Self::Number => "number",
            Self::Range => "range",
            Self::Undated => "undated",
        }
    }
}

/// The facts that the head of an endpoint's answer states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerFacts {
    /// The status.
    pub status: StatusCode,
    /// Id of the request that it answers.
    pub request_id: Option<HeaderValue>,
    /// Id of the endpoint that sent it.
    pub endpoint_id: Option<String>,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether it has the endpoint's signature.
    pub is_signed: bool,
    /// Requests per second that the endpoint accepts from all VMs together.
    pub limit: HeaderField<f64>,
    /// Whether the endpoint is departing.
    pub leaving: HeaderField<bool>,
    /// Backoff that the endpoint requests from this VM, in milliseconds; only with a refusal.
    pub rest_millis: HeaderField<u64>,
    /// Version of the weights that the answer was computed with.
    pub weights: HeaderField<u64>,
    /// Time for which the endpoint stays cold, in milliseconds.
    pub cold_millis: HeaderField<u64>,
    /// Idle timeout that the endpoint grants the connection.
    pub granted_idle: Option<Duration>,
    /// Whether the endpoint closes the connection after this answer.
    pub ends_connection: bool,
}

/// The endpoint and the request that an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerOrigin {
    /// The addressed endpoint answers this request.
    Addressed,
    /// The addressed endpoint rejects a condition of the request, such as its version of the weights.
    Mismatch,
    /// Another endpoint has the address.
    OtherEndpoint,
    /// It answers another request of the connection.
    OtherRequest,
}

impl AnswerFacts {
    /// Returns the origin of an answer to the request with id `request`, sent to `endpoint`.
    pub(crate) fn origin(&self, endpoint: &str, request: &HeaderValue) -> AnswerOrigin {
        if self.request_id.as_ref().is_some_and(|id| id != request) {
            return AnswerOrigin::OtherRequest;
        }
        if self.endpoint_id.as_deref().is_some_and(|id| id != endpoint) {
            return AnswerOrigin::OtherEndpoint;
        }
        if self.status == StatusCode::MISDIRECTED_REQUEST {
            return AnswerOrigin::Mismatch;
        }
        AnswerOrigin::Addressed
    }

    /// Whether the endpoint refused the request before running it.
    pub(crate) fn is_refusal(&self) -> bool {
        self.not_run || self.status == StatusCode::MISDIRECTED_REQUEST
    }
}
