//! The state of one request: its sends, what is recorded of it, its outcome.
//!
//! Invariant: each request writes one log line when it ends, with the inputs of its last decision, also if
//! its caller left.

use crate::endpoints::crash_detector::{BrokenEndpoint, BrokenSend, millis};
use crate::forward::forward_client::ForwardPlan;
use crate::gateway::{CountGuard, Gateway};
use crate::memory::{MemoryReservation, RequestBody};
use crate::operators::gateway_metrics::KindLabel;
use crate::requests::answer_record::{AnswerRecord, UnansweredCause};
use crate::requests::dispatch::RetryDelay;
use crate::requests::flight::SendFlight;
use crate::requests::own_answer::{AnswerBody, OwnAnswer, full_body};
use crate::requests::relay::answer_with;
use crate::requests::request_context::{RequestContext, header_text};
use crate::requests::request_suspects::RequestSuspects;
use crate::requests::started_weights::StartedWeights;
use crate::{
    CanaryDraw, EndpointCrash, EndpointKey, EndpointRow, PlacementChoice, QueueEntry, StreamKey,
    StreamOrigin, short_digest,
};
use bytes::Bytes;
use hyper::header::HeaderName;
use hyper::http::response;
use hyper::{Response, StatusCode};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use tokio::sync::Notify;

/// Header with the id of the last event that the caller of a resumed stream has received.
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Maximum number of a prompt's segments that a log line names.
const MAX_LOGGED_SEGMENTS: usize = 16;
/// Bound of the random addition to retry delays, so that requests refused together return apart.
const MAX_RETRY_SPREAD_MILLIS: u64 = 300;

/// The caller's resources that a request uses until it ends.
#[derive(Debug)]
pub(crate) struct CallerResources {
    /// Counts the request as open.
    pub _open: CountGuard,
    /// Counts it as taken from another VM.
    pub _taken: Option<CountGuard>,
    /// Counts the bytes of its body.
    pub _reservation: MemoryReservation,
    /// Closes the caller's connection.
    pub disconnect: Arc<Notify>,
    /// What becomes of the answer.
    pub answer: Arc<AnswerRecord>,
}

/// One request in progress, with the endpoints that were tried for it.
#[derive(Debug)]
pub(crate) struct RequestRun {
    pub gateway: Arc<Gateway>,
    pub context: RequestContext,
    pub body: RequestBody,
    pub tried: Vec<EndpointKey>,
    /// Sends that reached an endpoint.
    pub sends: u32,
    /// Whether an endpoint may have run it.
    pub may_have_run: bool,
    /// The last placement, for the log.
    pub choice: Option<Arc<PlacementChoice>>,
    pub endpoint: String,
    /// The software that began the stream, once its first event has arrived or if it is resumed.
    pub origin: Option<StreamOrigin>,
    /// Key of the stream that the caller resumes.
    pub resumed_key: Option<StreamKey>,
    /// Scope within which its prompt's cached segments are shared, by the configuration of the last send.
    pub isolation_scope: String,
    /// Weights on which it began at the last engine that answered; none if no version is published.
    pub started_weights: Option<StartedWeights>,
    /// Software version of the engine that wrote the stream's first event.
    pub software: Option<Arc<str>>,
    /// Time spent waiting for an engine with free capacity or in the queue, in microseconds.
    pub waited_micros: u64,
    /// Whether it waits for an engine with free capacity.
    pub waits_for_capacity: bool,
    /// Whether it was counted as delayed while its service's load was uneven.
    pub is_counted_delayed: AtomicBool,
    /// Polls at which it left free memory to prompts that precede it.
    pub yields: u32,
    /// Retry time in the gateway's own answer, in milliseconds.
    retry_millis: Option<u64>,
    /// Decides its position among the requests that wait at this VM.
    pub queue_entry: QueueEntry,
    /// Decides whether it is a canary for a new version of its service.
    pub canary_draw: CanaryDraw,
    /// What it needs to know about other VMs.
    pub plan: ForwardPlan,
    pub first_at: Option<Moment>,
    /// An endpoint's own failure, forwarded if no later send succeeds.
    pub failure: Option<(Box<response::Parts>, Bytes)>,
    /// What crashes under it may be blamed on.
    pub suspects: RequestSuspects,
    outcome: &'static str,
    status: u16,
    pub resources: CallerResources,
}

impl Drop for RequestRun {
    /// Writes the request's log line: the last decision, its inputs and the outcome.
    fn drop(&mut self) {
        let gateway = &self.gateway;
        let now = gateway.now();
        if let Some(suspect) = self.suspects.trial {
            gateway.end_trial(suspect);
        }
        self.leave_queue();
        let outcome = self.outcome;
        gateway.metrics.answers.get_or_create(&KindLabel::new(outcome)).inc();
        let millis = |moment: Moment| moment.micros_since(self.context.received_at) / MICROS_PER_MILLI;
        let (expected_millis, cached_tokens, candidates) = self.choice.as_ref().map_or((0, 0, 0), |choice| {
            (choice.expected_micros / MICROS_PER_MILLI, choice.transfers.cached_tokens, choice.candidates)
        });
        let started = self.started_weights.as_ref();
        log::info!(
            request = self.context.id_text(),
            route = self.context.route.name.as_str(),
            account = self.context.account.as_deref().unwrap_or(""),
            config = self.context.config_version,
            digest = self.suspects.request.map_or_else(String::new, |key| key.to_string()).as_str(),
            blamed = self.suspects.blamed.map_or_else(String::new, |key| key.to_string()).as_str(),
            part = self.blamed_part().as_str(),
            endpoint = self.endpoint.as_str(),
            taken_from = self.plan.taken_from.as_str(),
            given_to = self.plan.given_to.as_str(),
            sends = self.sends,
            candidates,
            objective_ms = self.context.route.objective_millis,
            priority = self.context.priority,
            waited_ms = self.waited_micros / MICROS_PER_MILLI,
            yields = self.yields,
            retry_ms = self.retry_millis.map_or(-1, |millis| millis as i64),
            expected_ms = expected_millis,
            prompt = self.context.prompt_tokens,
            kept = cached_tokens,
            held = self.choice.as_ref().map_or(0, |choice| choice.transfers.stored_tokens),
            saved = self.choice.as_ref().map_or(0, |choice| choice.transfers.saves.iter().flatten().count()),
            moved = self.choice.as_ref().map_or(0, |choice| choice.transfers.transferred_tokens),
            software = self.software.as_deref().unwrap_or(""),
            resumes = header_text(&self.context.headers, &gateway.dialect.headers.resumes).unwrap_or(""),
            after_event = header_text(&self.context.headers, &LAST_EVENT_ID).unwrap_or(""),
            weights = self.choice.as_ref().and_then(|choice| choice.version).unwrap_or(0),
            newest_weights = started.map_or(0, |weights| weights.newest),
            published_ms = started.map_or(-1, |weights| weights.age_millis as i64),
            published_by = started.map_or("", |weights| weights.source),
            margin_ms = started.and_then(|weights| weights.margin_millis).unwrap_or(-1),
            first_ms = self.first_at.map_or(-1, |at| millis(at) as i64),
            total_ms = millis(now),
            status = self.status,
            outcome;
            "request.ended"
        );
    }
}

impl RequestRun {
    pub(crate) fn new(
        gateway: Arc<Gateway>,
        context: RequestContext,
        body: RequestBody,
        resources: CallerResources,
    ) -> Self {
        let queue_entry = QueueEntry {
            number: gateway.quota_queue.next_number(),
            priority: context.priority,
            account: context.account.clone().unwrap_or_default(),
            received_at: context.received_at,
            objective_millis: context.route.objective_millis,
        };
        Self {
            gateway,
            context,
            body,
            tried: Vec::new(),
            sends: 0,
            may_have_run: false,
            choice: None,
            endpoint: String::new(),
            origin: None,
            resumed_key: None,
            isolation_scope: String::new(),
            started_weights: None,
            software: None,
            waited_micros: 0,
            waits_for_capacity: false,
            is_counted_delayed: AtomicBool::new(false),
            yields: 0,
            retry_millis: None,
            queue_entry,
            canary_draw: CanaryDraw { number: rand::random(), has_slack: false },
            plan: ForwardPlan::new(),
            first_at: None,
            failure: None,
            suspects: RequestSuspects::default(),
            outcome: "caller left",
            status: 0,
            resources,
        }
    }

    /// Records a connection that broke before the answer was whole: it is evidence if the endpoint crashed.
    pub(crate) fn record_broken(&mut self, flight: &SendFlight) {
        let (is_answering, age_micros) = flight.age();
        let key = self.request_key();
        let digest = key.map_or_else(String::new, |key| key.to_string());
        let mut names = self.context.shared_segment_names(&self.gateway);
        names.truncate(MAX_LOGGED_SEGMENTS);
        let parts = names.join(",");
        log::warn!(request = self.context.id_text(), digest = digest.as_str(), parts = parts.as_str(),
            endpoint = flight.endpoint.as_str(), begun = is_answering, age_ms = millis(age_micros);
            "send.broke");
        let (Some(_), Some(crash)) = (key, self.crash_of(flight)) else { return };
        let suspects = self.all_suspects();
        self.describe_suspects();
        let endpoint = BrokenEndpoint { id: flight.endpoint.clone(), address: flight.address };
        let request_id = self.context.id_text().to_owned();
        let send = BrokenSend { suspects, request_id, crash, age_micros };
        self.gateway.record_broken_send(&endpoint, send);
    }

    /// Returns what to record if a send's endpoint crashed; none if it is departing or not listed.
    fn crash_of(&self, flight: &SendFlight) -> Option<EndpointCrash> {
        let now = self.gateway.now();
        let table = self.gateway.table();
        let row = table
            .row(flight.key)
            .filter(|row| !row.has_announced_departure() && row.grace_deadline.is_none())?;
        let service = &row.entry.service;
        let service_size = table.rows_of(service).filter(|(_, row)| !row.is_departing(now)).count();
        Some(EndpointCrash {
            start: flight.key,
            address_digest: short_digest(&flight.address.to_string()),
            service: short_digest(service),
            service_size: service_size as u32,
            at: now,
        })
    }

    /// Returns the id of the event after which its caller resumes a stream.
    pub(crate) fn resumed_event(&self) -> Option<Bytes> {
        let id = self.context.headers.get(LAST_EVENT_ID).filter(|_| self.origin.is_some())?;
        Some(Bytes::copy_from_slice(id.as_bytes()))
    }

    /// Sets the outcome for the request's log line.
    pub(crate) fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }

    /// Ends the request because its reservation was the largest when memory ran out.
    pub(crate) fn end_for_memory(&mut self) {
        self.gateway.metrics.memory.ends.get_or_create(&KindLabel::new("answer")).inc();
        self.set_outcome("no memory for what waits");
        self.resources.answer.record_cause(UnansweredCause::NoMemory);
        self.resources.disconnect.notify_one();
    }

    /// Refuses a request that did not run, with a random addition to its retry delay.
    pub(crate) fn refuse(&mut self, reason: &'static str, base_millis: u64) -> Response<AnswerBody> {
        let spread_millis = rand::random_range(0..MAX_RETRY_SPREAD_MILLIS);
        self.finish_with(OwnAnswer::not_run(reason, base_millis + spread_millis))
    }

    /// Refuses a prompt whose caller would leave before its first event.
    pub(crate) fn refuse_late(&mut self, delay: RetryDelay) -> Response<AnswerBody> {
        let reason = "no engine has room in time";
        match delay {
            RetryDelay::Base(millis) => self.refuse(reason, millis),
            RetryDelay::Assigned(millis) => {
                self.gateway.metrics.prompts.record_retry(self.context.priority, millis);
                self.finish_with(OwnAnswer::not_run(reason, millis))
            }
        }
    }

    /// Answers a request that no endpoint takes, or takes again.
    pub(crate) fn give_up(&mut self, reason: &'static str, base_millis: u64) -> Response<AnswerBody> {
        let return_delay_millis = if self.may_have_run { None } else { self.backoff_retry_millis() };
        self.refuse_unless_run(reason, return_delay_millis.unwrap_or(base_millis))
    }

    /// Refuses the request with the given retry delay, unless it may have run.
    pub(crate) fn refuse_unless_run(
        &mut self,
        reason: &'static str,
        base_millis: u64,
    ) -> Response<AnswerBody> {
        if self.may_have_run {
            return self
                .finish_with(OwnAnswer::plain(StatusCode::BAD_GATEWAY, "the endpoint gave no answer"));
        }
        self.refuse(reason, base_millis)
    }

    /// Returns the retry delay if all endpoints that may serve the request are backing off, including those
    /// that it was sent to.
    fn backoff_retry_millis(&self) -> Option<u64> {
        let (gateway, context, now) = (&self.gateway, &self.context, self.gateway.now());
        let routes = gateway.routes()?;
        let homes = routes.homes(&context.host, &context.path, context.account.as_deref());
        let vms = gateway.peers().listed_count();
        let capacity = {
            let table = gateway.table();
            let may_serve = |row: &EndpointRow| table.is_home(homes, &row.entry.data_centre);
            table.backoff_capacity(&context.service, vms, may_serve, now)?
        };
        Some(gateway.quota_queue.queue().refuse(&context.service, &capacity, now))
    }

    /// Answers a request whose deadline has passed.
    pub(crate) fn time_out(&mut self) -> Response<AnswerBody> {
        self.finish_with(OwnAnswer::plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"))
    }

    /// Answers with the gateway's own answer to a request that it does not send.
    pub(crate) fn refuse_with(&mut self, answer: OwnAnswer) -> Response<AnswerBody> {
        self.finish_with(answer)
    }

    /// Answers with the gateway's own answer, unless an endpoint's failure can be forwarded.
    fn finish_with(&mut self, answer: OwnAnswer) -> Response<AnswerBody> {
        if let Some((head, bytes)) = self.failure.take() {
            return self.forward_answer(&head, bytes);
        }
        self.outcome = answer.reason;
        self.retry_millis = answer.retry_after_millis;
        self.status = answer.status.as_u16();
        answer.response()
    }

    /// Whether another send is allowed now; consumes the retry budget if so.
    pub(crate) fn may_send_again(&self) -> bool {
        (self.context.route.repeatable() || !self.may_have_run)
            && self.sends < self.context.route.attempts
            && self.gateway.now() < self.send_deadline()
            && self.gateway.try_spend_second_send(&self.context.service)
    }

    /// Records when the first event or the answer arrived.
    pub(crate) fn record_first_event(&mut self) {
        if self.first_at.is_none() {
            let now = self.gateway.now();
            self.first_at = Some(now);
            let seconds = now.micros_since(self.context.received_at) as f64 / 1e6;
            self.gateway.metrics.first_event_seconds.observe(seconds);
        }
    }

    /// Ends the request with an endpoint's whole answer.
    pub(crate) fn forward_answer(&mut self, head: &response::Parts, bytes: Bytes) -> Response<AnswerBody> {
        self.status = head.status.as_u16();
        self.outcome = "answered";
        answer_with(head, full_body(bytes))
    }

    pub(crate) fn set_status(&mut self, status: u16) {
        self.status = status;
    }
}
