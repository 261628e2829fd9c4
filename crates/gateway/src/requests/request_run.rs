//! One request on its way: what has been tried, what is known, how it ended.
//!
//! Invariant: each request writes one line when it ends, with the inputs of its last decision, also if
//! its caller left.

use crate::endpoints::end_watch::{BrokenEndpoint, BrokenSend, EndAnswer, millis};
use crate::gateway::{CountGuard, Gateway};
use crate::memory::HeldGuard;
use crate::operators::gateway_metrics::KindLabel;
use crate::requests::flight::SendFlight;
use crate::requests::own_answer::{AnswerBody, OwnAnswer, full_body};
use crate::requests::relay::answer_with;
use crate::requests::request_ticket::RequestTicket;
use crate::{
    EndpointCrash, EndpointKey, EndpointRow, PlacementChoice, QueueOrder, RequestIdentity, RequestKey,
    TestDraw, short_digest,
};
use bytes::Bytes;
use hyper::http::response;
use hyper::{Response, StatusCode};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::sync::Arc;
use tokio::sync::Notify;

/// Spread of the return time, in milliseconds, so that those refused together come back apart.
const RETRY_SPREAD_MILLIS: u64 = 300;

/// What a request holds of its caller's until it ends.
#[derive(Debug)]
pub(crate) struct CallerHold {
    /// Counts it as open.
    pub _open: CountGuard,
    /// Counts its body.
    pub _held: HeldGuard,
    /// Ends the caller's connection.
    pub cut: Arc<Notify>,
}

/// One request on its way, with what has been tried.
#[derive(Debug)]
pub(crate) struct RequestRun {
    pub gateway: Arc<Gateway>,
    pub ticket: RequestTicket,
    pub body: Bytes,
    pub tried: Vec<EndpointKey>,
    /// Sends that reached an endpoint.
    pub sends: u32,
    /// Whether an endpoint may have run it.
    pub may_have_run: bool,
    /// What the last choice was made on, for the log.
    pub choice: Option<PlacementChoice>,
    pub endpoint: String,
    /// How long it waited here for an engine with room, or for its turn, in microseconds.
    pub waited_micros: u64,
    /// Whether it waits for an engine with room.
    pub waits_for_room: bool,
    /// What decides when it has its turn at an endpoint that takes few requests.
    pub queue_order: QueueOrder,
    /// Whether it tests a new version of its service.
    pub test_draw: TestDraw,
    pub first_at: Option<Moment>,
    /// An endpoint's own failure, to be passed on if nothing better comes.
    pub failure: Option<(Box<response::Parts>, Bytes)>,
    /// Its identity, if that was asked for.
    key: Option<RequestKey>,
    /// Tells when the endpoint of the last broken send has been asked whether it ended.
    pub end_answer: Option<EndAnswer>,
    outcome: &'static str,
    status: u16,
    hold: CallerHold,
}

impl Drop for RequestRun {
    /// Writes the request's line: what was decided, on what, and how it ended.
    fn drop(&mut self) {
        let gateway = &self.gateway;
        let now = gateway.now();
        gateway.shares.queue().leave(&self.ticket.service, self.queue_order.number);
        let outcome = self.outcome;
        gateway.metrics.answers.get_or_create(&KindLabel::new(outcome)).inc();
        let millis = |moment: Moment| moment.micros_since(self.ticket.received) / MICROS_PER_MILLI;
        let (expected, kept, candidates) = self.choice.as_ref().map_or((0, 0, 0), |choice| {
            (choice.expected_micros / MICROS_PER_MILLI, choice.kept.kept_tokens, choice.candidates)
        });
        log::info!(
            request = self.ticket.id_text(),
            route = self.ticket.route.name.as_str(),
            account = self.ticket.account.as_deref().unwrap_or(""),
            config = self.ticket.config_version,
            digest = self.key.map_or_else(String::new, |key| key.to_string()).as_str(),
            endpoint = self.endpoint.as_str(),
            sends = self.sends,
            candidates,
            objective_ms = self.ticket.route.objective_millis,
            waited_ms = self.waited_micros / MICROS_PER_MILLI,
            expected_ms = expected,
            prompt = self.ticket.prompt_tokens,
            kept,
            held = self.choice.as_ref().map_or(0, |choice| choice.kept.held_tokens),
            saved = self.choice.as_ref().map_or(0, |choice| choice.kept.saves.iter().flatten().count()),
            moved = self.choice.as_ref().map_or(0, |choice| choice.kept.moved_tokens),
            weights = self.choice.as_ref().and_then(|choice| choice.version).unwrap_or(0),
            first_ms = self.first_at.map_or(-1, |at| millis(at) as i64),
            total_ms = millis(now),
            status = self.status,
            outcome;
            "request.ended"
        );
    }
}

impl RequestRun {
    pub(crate) fn new(gateway: Arc<Gateway>, ticket: RequestTicket, body: Bytes, hold: CallerHold) -> Self {
        let queue_order = QueueOrder {
            number: gateway.shares.next_number(),
            rank: ticket.priority,
            account: ticket.account.clone().unwrap_or_default(),
            received: ticket.received,
            objective_millis: ticket.route.objective_millis,
        };
        Self {
            gateway,
            ticket,
            body,
            tried: Vec::new(),
            sends: 0,
            may_have_run: false,
            choice: None,
            endpoint: String::new(),
            waited_micros: 0,
            waits_for_room: false,
            queue_order,
            test_draw: TestDraw { number: rand::random(), has_slack: false },
            first_at: None,
            failure: None,
            key: None,
            end_answer: None,
            outcome: "caller left",
            status: 0,
            hold,
        }
    }

    /// What the request is known by, on every VM; none until the deployment's secret is known.
    fn request_key(&mut self) -> Option<RequestKey> {
        if self.key.is_none() {
            let ticket = &self.ticket;
            let identity = RequestIdentity {
                account: ticket.account.as_deref().unwrap_or_default(),
                method: ticket.method.as_str(),
                host: &ticket.host,
                path: &ticket.path,
                body: &self.body,
            };
            self.key = Some(self.gateway.identity_key()?.of(&identity));
        }
        self.key
    }

    /// Whether it is turned away, because endpoints end under it.
    pub(crate) fn is_held_back(&mut self) -> bool {
        // Most of the time no request is suspicious, and no body is hashed.
        if self.gateway.desk().quarantine.is_idle() {
            return false;
        }
        let Some(key) = self.request_key() else { return false };
        let now = self.gateway.now();
        self.gateway.desk().quarantine.held(key, now).is_some()
    }

    /// Waits until what is known of the request has been weighed, if that may hold it back: whether the endpoint of its
    /// last send ended, and other evidence that has just come.
    pub(crate) async fn wait_for_judgement(&mut self) {
        if self.gateway.desk().quarantine.is_idle() {
            return;
        }
        let Some(key) = self.request_key() else { return };
        if let Some(mut answer) = self.end_answer.take()
            && self.gateway.is_close_to_hold(key)
        {
            // The sender is gone once the endpoint has ended: that is an answer, too.
            let _ = answer.wait_for(|asked| *asked).await;
        }
        let next_evaluation_at = self.gateway.desk().quarantine.evaluation_at_of(key);
        if let Some(next_evaluation_at) = next_evaluation_at {
            self.gateway.until(next_evaluation_at).await;
            self.gateway.judge_requests();
        }
    }

    /// The final answer of a request that is turned away: it says whether it ran, and invites nobody back.
    pub(crate) fn hold_back(&mut self) -> Response<AnswerBody> {
        if let Some(key) = self.key {
            let label = self.label();
            let mut desk = self.gateway.desk();
            desk.quarantine.count_turned_away(key);
            desk.describe(key, &label);
        }
        self.gateway.metrics.turned_away.inc();
        self.own(if self.may_have_run { OwnAnswer::HELD_AFTER_RUN } else { OwnAnswer::HELD_BACK })
    }

    /// Notes that an endpoint ran it to its end.
    pub(crate) fn record_answered(&mut self) {
        if self.gateway.desk().quarantine.is_idle() {
            return;
        }
        if let Some(key) = self.request_key() {
            self.gateway.record_answered(key);
        }
    }

    /// Notes that the connection of a send broke before its answer was whole: if its endpoint ended, that is evidence.
    pub(crate) fn note_broken(&mut self, flight: &SendFlight) {
        let (has_begun, age_micros) = flight.age();
        let key = self.request_key();
        let digest = key.map_or_else(String::new, |key| key.to_string());
        log::warn!(request = self.ticket.id_text(), digest = digest.as_str(), endpoint = flight.endpoint.as_str(),
            begun = has_begun, age_ms = millis(age_micros); "send.broke");
        let (Some(request), Some(ending)) = (key, self.ending_of(flight)) else { return };
        let label = self.label();
        self.gateway.desk().describe(request, &label);
        let endpoint = BrokenEndpoint { id: flight.endpoint.clone(), address: flight.address };
        let request_id = self.ticket.id_text().to_owned();
        let send = BrokenSend { request, request_id, ending, age_micros };
        self.end_answer = self.gateway.note_broken(&endpoint, send);
    }

    /// What the end of a send's endpoint would be; none if it leaves, or is not known any more.
    fn ending_of(&self, flight: &SendFlight) -> Option<EndpointCrash> {
        let now = self.gateway.now();
        let table = self.gateway.table();
        let row =
            table.row(flight.key).filter(|row| !row.has_announced_end() && row.missing_until.is_none())?;
        let service = &row.entry.service;
        let among = table.rows_of(service).filter(|(_, row)| !row.is_departing(now)).count();
        Some(EndpointCrash {
            start: flight.key,
            place: short_digest(&flight.address.to_string()),
            service: short_digest(service),
            among: among as u32,
            at: now,
        })
    }

    /// What operators know the request by: client account, method, host and path.
    fn label(&self) -> String {
        let ticket = &self.ticket;
        let account = ticket.account.as_deref().unwrap_or("-");
        format!("{account} {} {}{} ({} bytes)", ticket.method, ticket.host, ticket.path, self.body.len())
    }

    /// Marks how the request ended; told by its log line.
    pub(crate) fn end(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }

    /// Marks that it ends because it held most when memory ran out.
    pub(crate) fn end_for_memory(&mut self) {
        self.gateway.metrics.memory.ends.get_or_create(&KindLabel::new("answer")).inc();
        self.end("no memory for what waits");
        self.hold.cut.notify_one();
    }

    /// The final answer of a request that did not run, with a spread time to return.
    pub(crate) fn refuse(&mut self, reason: &'static str, base_millis: u64) -> Response<AnswerBody> {
        let spread = rand::random_range(0..RETRY_SPREAD_MILLIS);
        self.own(OwnAnswer::not_run(reason, base_millis + spread))
    }

    /// The final answer of a request that found no endpoint to go to or go on to.
    pub(crate) fn give_up(&mut self, reason: &'static str, base_millis: u64) -> Response<AnswerBody> {
        let return_delay_millis = if self.may_have_run { None } else { self.rest_back_millis() };
        self.refuse_unless_run(reason, return_delay_millis.unwrap_or(base_millis))
    }

    /// The same, with a time to return that is known.
    pub(crate) fn refuse_unless_run(
        &mut self,
        reason: &'static str,
        base_millis: u64,
    ) -> Response<AnswerBody> {
        if self.may_have_run {
            return self.own(OwnAnswer::plain(StatusCode::BAD_GATEWAY, "the endpoint gave no answer"));
        }
        self.refuse(reason, base_millis)
    }

    /// When the request may return if all endpoints that may serve it rest, those included that it was sent to.
    fn rest_back_millis(&self) -> Option<u64> {
        let (gateway, ticket, now) = (&self.gateway, &self.ticket, self.gateway.now());
        let routes = gateway.routes()?;
        let homes = routes.homes(&ticket.host, &ticket.path, ticket.account.as_deref());
        let vms = gateway.peers().listed_count();
        let outlook = {
            let table = gateway.table();
            let may_serve = |row: &EndpointRow| table.is_home(homes, &row.entry.data_centre);
            table.backoff_capacity(&ticket.service, vms, may_serve, now)?
        };
        Some(gateway.shares.queue().refuse(&ticket.service, &outlook, now))
    }

    /// The final answer of a request whose time is over.
    pub(crate) fn time_up(&mut self) -> Response<AnswerBody> {
        self.own(OwnAnswer::plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"))
    }

    /// Ends with an answer of this system's own, unless an endpoint's failure can be passed on.
    fn own(&mut self, answer: OwnAnswer) -> Response<AnswerBody> {
        if let Some((head, bytes)) = self.failure.take() {
            return self.pass_on(&head, bytes);
        }
        self.outcome = answer.reason;
        self.status = answer.status.as_u16();
        answer.response()
    }

    /// Whether another send is allowed now; spends the budget if so.
    pub(crate) fn may_send_again(&self) -> bool {
        (self.ticket.route.repeatable() || !self.may_have_run)
            && self.sends < self.ticket.route.attempts
            && self.gateway.now() < self.ticket.limit
            && self.gateway.try_spend_repeat(&self.ticket.service)
    }

    /// Notes when the first event or the answer came.
    pub(crate) fn note_first(&mut self) {
        if self.first_at.is_none() {
            let now = self.gateway.now();
            self.first_at = Some(now);
            let seconds = now.micros_since(self.ticket.received) as f64 / 1e6;
            self.gateway.metrics.first_event_seconds.observe(seconds);
        }
    }

    /// Ends the request with an endpoint's whole answer.
    pub(crate) fn pass_on(&mut self, head: &response::Parts, bytes: Bytes) -> Response<AnswerBody> {
        self.status = head.status.as_u16();
        self.outcome = "answered";
        answer_with(head, full_body(bytes))
    }

    pub(crate) fn set_status(&mut self, status: u16) {
        self.status = status;
    }
}
