//! A forwarded request and its answer, between two VMs.
//!
//! Invariant: nothing in a forwarded request can be changed or used again without its receiver noticing it:
//! the code covers its sender, receiver, sequence number, head and the hash of its body. The code of an answer
//! covers the request's code, so that it belongs to this request alone.

use crate::peers::peer_message::{PeerKey, PeerStamp};
use crate::requests::own_answer::OwnAnswer;
use crate::requests::stream_relay::StreamBeginning;
use crate::{StreamOrigin, VmKey};
use blake3::Hash;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

/// Path of forwarded requests at the port for messages of VMs.
pub(super) const FORWARD_PATH: &str = "/requests";
/// Header with the encoded [`ForwardEnvelope`].
const ENVELOPE_HEADER: HeaderName = HeaderName::from_static("x-peer-request");
/// Header with the code of a forwarded request.
const CODE_HEADER: HeaderName = HeaderName::from_static("x-peer-code");
/// Header with the kind and the code of an answer.
const ANSWER_HEADER: HeaderName = HeaderName::from_static("x-peer-answer");
/// Version of the envelope's format; others are rejected.
const FORMAT_VERSION: u8 = 2;

/// The head of a forwarded request, and what its receiver needs to serve it as its sender would.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ForwardEnvelope {
    pub stamp: PeerStamp,
    /// VM and incarnation that the request is for.
    pub receiver: (VmKey, u64),
    /// Version of the configuration under which its sender accepted the request.
    pub config_version: u64,
    pub method: String,
    /// Path and query.
    pub path: String,
    pub host: String,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body_bytes: u64,
    pub body_hash: [u8; 32],
    /// Time since the caller's request arrived, in microseconds.
    pub elapsed_micros: u64,
    /// Time until its deadline, in microseconds.
    pub remaining_micros: u64,
    /// Sends that may have reached an endpoint.
    pub sends: u32,
    /// The software that began its stream, if it resumes one.
    pub origin: Option<StreamOrigin>,
    /// Whether the sender has counted it for the retry budget.
    pub is_counted: bool,
}

/// Code of a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestCode(Hash);

impl RequestCode {
    fn of(key: &PeerKey, content: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(key);
        hasher.update(b"forwarded request ").update(&[FORMAT_VERSION]).update(content);
        Self(hasher.finalize())
    }
}

impl ForwardEnvelope {
    /// Returns a request's head with this envelope, and its code; none if it has no binary form.
    pub(super) fn seal(&self, key: &PeerKey) -> Option<(request::Builder, RequestCode)> {
        let content = postcard::to_allocvec(self).ok()?;
        let code = RequestCode::of(key, &content);
        let builder = Request::post(FORWARD_PATH)
            .header(ENVELOPE_HEADER, to_hex(&content))
            .header(CODE_HEADER, code.0.to_hex().as_str());
        Some((builder, code))
    }

    /// Decodes the envelope of a request; none if it is not authentic.
    pub(super) fn unseal(key: &PeerKey, headers: &HeaderMap) -> Option<(Self, RequestCode)> {
        let content = from_hex(headers.get(ENVELOPE_HEADER)?.as_bytes())?;
        let code = Hash::from_hex(headers.get(CODE_HEADER)?.as_bytes()).ok()?;
        let expected = RequestCode::of(key, &content);
        // Hashes compare in constant time.
        (expected.0 == code).then_some(())?;
        Some((postcard::from_bytes(&content).ok()?, expected))
    }
}

/// What an answer to a forwarded request says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerKind {
    /// An endpoint's answer.
    Answered,
    /// The VM did not take it: it did not run, and another VM may serve it.
    NotTaken,
    /// The VM's own refusal: the request did not run.
    NotRun,
    /// Another answer of the VM itself; the request may have run.
    Own,
}

impl AnswerKind {
    const ALL: [Self; 4] = [Self::Answered, Self::NotTaken, Self::NotRun, Self::Own];

    const fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotTaken => "not_taken",
            Self::NotRun => "not_run",
            Self::Own => "own",
        }
    }

    /// Returns what an answer of this VM says of its request.
    pub(super) fn of<B>(response: &Response<B>) -> Self {
        let Some(own) = response.extensions().get::<OwnAnswer>() else { return Self::Answered };
        let is_refusal = matches!(
            own.status,
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
        );
        match is_refusal {
            true if own.is_unreached() => Self::NotTaken,
            true => Self::NotRun,
            false => Self::Own,
        }
    }

    /// Marks an answer to the request with `code` as this VM's.
    pub(super) fn seal<B>(self, key: &PeerKey, code: &RequestCode, response: &mut Response<B>) {
        let origin = response.extensions().get::<StreamBeginning>().and_then(|beginning| beginning.0);
        let origin = origin.and_then(|origin| postcard::to_allocvec(&origin).ok()).unwrap_or_default();
        let hash = self.code(key, code, &origin, response);
        let text = format!("{} {} {}", self.label(), hash.to_hex(), to_hex(&origin));
        let text = text.trim_end();
        if let Ok(value) = HeaderValue::try_from(text) {
            response.headers_mut().insert(ANSWER_HEADER, value);
        }
    }

    /// Reads and removes the mark of an answer, with the software that began its stream; none if it is not
    /// authentic.
    pub(super) fn unseal<B>(
        key: &PeerKey,
        code: &RequestCode,
        response: &mut Response<B>,
    ) -> Option<(Self, Option<StreamOrigin>)> {
        let value = response.headers_mut().remove(ANSWER_HEADER)?;
        let mut words = value.to_str().ok()?.split(' ');
        let (label, hash) = (words.next()?, words.next()?);
        let kind = Self::ALL.into_iter().find(|kind| kind.label() == label)?;
        let hash = Hash::from_hex(hash).ok()?;
        let origin = from_hex(words.next().unwrap_or_default().as_bytes())?;
        // Hashes compare in constant time.
        (kind.code(key, code, &origin, response) == hash).then_some(())?;
        let origin = if origin.is_empty() { None } else { Some(postcard::from_bytes(&origin).ok()?) };
        Some((kind, origin))
    }

    fn code<B>(self, key: &PeerKey, code: &RequestCode, origin: &[u8], response: &Response<B>) -> Hash {
        let mut hasher = blake3::Hasher::new_keyed(key);
        hasher
            .update(b"forwarded answer ")
            .update(code.0.as_bytes())
            .update(&response.status().as_u16().to_le_bytes())
            .update(self.label().as_bytes())
            .update(b" origin ")
            .update(origin);
        if let Some(delay) = response.headers().get(RETRY_AFTER) {
            hasher.update(b" retry ").update(delay.as_bytes());
        }
        hasher.finalize()
    }
}

fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digits = bytes.iter().flat_map(|byte| [byte >> 4, byte & 15]);
    digits.map(|digit| char::from(DIGITS[usize::from(digit)])).collect()
}

fn from_hex(text: &[u8]) -> Option<Vec<u8>> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let (pairs, []) = text.as_chunks::<2>() else { return None };
    pairs.iter().map(|[high, low]| Some((digit(*high)? << 4 | digit(*low)?) as u8)).collect()
}
