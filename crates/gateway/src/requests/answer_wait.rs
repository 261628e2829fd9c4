//! Waits for the next part of a request's answer, and sends the request elsewhere while its endpoint is silent.
//!
//! This is the only place that decides whether a request is sent again: before the head of its answer, while
//! a plain answer is read, before a stream's first event and after it, at endpoints and over other VMs.
//!
//! Invariant: the first send that brings the next part - a whole answer, the beginning of a long one, a new
//! event - goes on, and the others are cancelled at once. Until then each is kept, whatever becomes of the
//! others. There is one send at a time of a request that may not be repeated, and of one that endpoints crashed
//! under. Further sends are bounded by the route's attempts, the retry budget and a delay that doubles.

use crate::endpoints::observed_stream::ConnectionEnd;
use crate::operators::gateway_metrics::KindLabel;
use crate::requests::dispatch::{HeadVerdict, Unsent};
use crate::requests::event_reader::EventError;
use crate::requests::open_send::{AnswerStart, ExchangeResult, OpenSend, SendRoute, SendStep, UnframedEnd};
use crate::requests::open_sends::OpenSends;
use crate::requests::request_run::RequestRun;
use crate::{SendOutcome, StopSchedule};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::response;
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::borrow::Cow;
use std::future::pending;
use std::sync::Arc;

/// A request is sent elsewhere after this multiple of its objective without a sign of its answer.
const SILENCE_FACTOR: u64 = 2;
/// Minimum of that time before the caller's answer begins: below it, a second send costs more than it saves.
const MIN_SILENCE_MILLIS: u64 = 400;
/// Minimum of that time between events.
const MIN_STALL_MILLIS: u64 = 500;
/// Bound of the doublings of the delay between further sends of one request.
const MAX_DELAY_DOUBLINGS: u32 = 4;
/// Interval between checks for overdue weights: a publication sets a bound some seconds ahead.
const OVERDUE_POLL_INTERVAL_MILLIS: u64 = 500;
/// Failed connections to endpoints after which a request is sent to no other one.
const MAX_CONNECT_FAILURES: usize = 4;

/// What the caller gets next. The send that brought it is the only one left.
pub(crate) enum AnswerPart {
    /// A plain answer, or its beginning.
    Plain(AnswerStart),
    /// The next events of a stream; none at its end.
    Events(Option<Bytes>),
}

/// Why the caller gets no further part.
pub(crate) enum AnswerFault {
    /// The deadline passed.
    OutOfTime,
    /// The last send failed, and no other may be made.
    Failed,
    /// No send is left, and the next one could not be made.
    Unsent(Unsent),
}

/// How a wait for open sends ended.
enum WaitEnd {
    Step(usize, SendStep),
    /// Something is due.
    Timer,
    /// The VM of the newest send is silent.
    SilentPeer,
}

impl RequestRun {
    /// Returns the next part of the answer, from whichever send brings it first.
    pub(crate) async fn next_part(&mut self, open: &mut OpenSends) -> Result<AnswerPart, AnswerFault> {
        // An endpoint that sends comments only is as silent as one that sends nothing.
        open.offer_at = open.stalled_offer_at.take().unwrap_or_else(|| self.next_offer_at(open));
        let mut is_peer_silent = false;
        loop {
            let now = self.gateway.now();
            if now >= self.deadline() {
                self.record_unanswered(open);
                return Err(AnswerFault::OutOfTime);
            }
            self.end_overdue(open, now);
            let awaits_peer = open.newest().is_some_and(|send| send.peer().is_some());
            let is_due = now >= open.offer_at && (is_peer_silent || !awaits_peer);
            is_peer_silent = false;
            if open.is_empty() || is_due {
                self.send_another(open).await?;
                continue;
            }
            match self.wait(open).await {
                WaitEnd::Step(index, step) => {
                    if let Some(part) = self.apply_step(open, index, step)? {
                        return Ok(part);
                    }
                }
                WaitEnd::Timer => {}
                WaitEnd::SilentPeer => is_peer_silent = true,
            }
        }
    }

    /// Waits for the next step of an open send, or until something is due.
    async fn wait(&self, open: &mut OpenSends) -> WaitEnd {
        let gateway = &self.gateway;
        let peer = open.newest().and_then(OpenSend::peer).filter(|_| open.offer_at < Moment::NEVER);
        let offer_at = if peer.is_some() { Moment::NEVER } else { open.offer_at };
        let wake_at = self.context.deadline.min(offer_at).min(self.overdue_check_at(open));
        let wake_at = |stop: &StopSchedule| wake_at.min(stop.answer_deadline());
        let peer_silence = async {
            match peer {
                Some(vm) => gateway.wait_until_silent(vm).await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            (index, step) = open.step() => WaitEnd::Step(index, step),
            () = gateway.wait_until_due(wake_at) => WaitEnd::Timer,
            () = peer_silence => WaitEnd::SilentPeer,
        }
    }

    /// Returns when the next send may be made beside the open ones; never if none may.
    fn next_offer_at(&self, open: &OpenSends) -> Moment {
        let (route, now) = (&self.context.route, self.gateway.now());
        let may_offer =
            if open.has_begun() { route.resumable && open.last_id().is_some() } else { route.repeatable() };
        if !may_offer || self.sends >= route.attempts {
            return Moment::NEVER;
        }
        if open.offers == 0 && open.newest().is_some_and(|send| send.peer().is_some()) {
            // Due as soon as that VM is silent.
            return now;
        }
        let (objective_millis, min_millis, expected_micros) = if open.has_begun() {
            (route.gap_millis, MIN_STALL_MILLIS, 0)
        } else {
            let expected_micros = self.choice.as_ref().map_or(0, |choice| choice.expected_micros);
            (route.objective_millis, MIN_SILENCE_MILLIS, expected_micros)
        };
        let delay_millis = (objective_millis * SILENCE_FACTOR).max(min_millis);
        now.after_millis(delay_millis << open.offers.min(MAX_DELAY_DOUBLINGS)).after_micros(expected_micros)
    }

    /// Sends the request: to another endpoint beside the open sends, or anew if there are none.
    async fn send_another(&mut self, open: &mut OpenSends) -> Result<(), AnswerFault> {
        let is_beside = !open.is_empty();
        if is_beside && !self.prepare_offer(open) {
            open.offer_at = self.next_offer_at(open);
            return Ok(());
        }
        if !open.has_permit && !self.take_permit(open) {
            open.offer_at = self.next_offer_at(open);
            return if is_beside { Ok(()) } else { Err(AnswerFault::Failed) };
        }
        let last_id = open.last_id().cloned();
        let opened = if is_beside {
            self.try_open_send(last_id.as_ref())
        } else {
            self.open_send(last_id.as_ref()).await
        };
        match opened {
            Ok(send) => {
                open.has_permit = false;
                self.sends += 1;
                open.push(send);
            }
            Err(unsent) if is_beside => {
                log::info!(request = self.context.id_text(), reason = unsent.label(); "offer.unplaced");
                self.leave_queue();
                self.return_permit(open);
            }
            Err(unsent) => return Err(AnswerFault::Unsent(unsent)),
        }
        open.offer_at = self.next_offer_at(open);
        Ok(())
    }

    /// Charges the retry budget for a further send; returns whether it may be made.
    fn take_permit(&mut self, open: &mut OpenSends) -> bool {
        open.has_permit = self.may_go_on(open) && self.may_send_again();
        if open.has_permit && !open.has_begun() {
            let cause = if open.is_empty() { &*open.cause } else { "silent" };
            log::info!(request = self.context.id_text(), endpoint = self.last_target(open), cause;
                "request.sent_again");
        }
        open.has_permit
    }

    /// Returns the endpoint or the VM of the newest send, or of the last one that failed.
    fn last_target<'a>(&'a self, open: &'a OpenSends) -> &'a str {
        match open.newest() {
            Some(send) => send.target(),
            None if open.is_peer_at_fault => &self.plan.given_to,
            None => &self.endpoint,
        }
    }

    /// Prepares a send beside the open ones; returns whether it may be made.
    fn prepare_offer(&mut self, open: &mut OpenSends) -> bool {
        // At another endpoint it would start from zero.
        if open.has_progressed() {
            return false;
        }
        // The previous one was not sent.
        if open.has_permit {
            return true;
        }
        self.record_silence(open);
        open.offers += 1;
        !self.is_suspected()
    }

    /// Whether a stream that has begun may go on elsewhere; true before that.
    fn may_go_on(&self, open: &OpenSends) -> bool {
        if !open.has_begun() {
            return true;
        }
        if open.last_id().is_none() || !self.context.route.resumable {
            return false;
        }
        let may_resume = self.may_resume();
        if !may_resume {
            log::warn!(request = self.context.id_text(), endpoint = self.endpoint.as_str(); "resume.unbound");
        }
        may_resume
    }

    /// Gives back the permit of a send that was not made.
    fn return_permit(&self, open: &mut OpenSends) {
        if std::mem::take(&mut open.has_permit) {
            self.gateway.restore_second_send(&self.context.service);
        }
    }

    /// Records that the open sends are silent.
    fn record_silence(&self, open: &mut OpenSends) {
        let (begun, offers) = (open.has_begun(), open.offers + 1);
        for send in open.iter_mut().filter(|send| !send.is_silent) {
            send.is_silent = true;
            match &send.route {
                SendRoute::Endpoint { flight, .. } => {
                    flight.record_silent();
                    if begun {
                        log::warn!(request = self.context.id_text(), endpoint = flight.endpoint.as_str(),
                            offers; "stream.stalled");
                    }
                }
                SendRoute::Peer(peer) => {
                    log::warn!(request = self.context.id_text(), peer = peer.place.peer.name.as_str();
                        "peer.silent");
                    self.gateway.avoid_peer(peer.place.peer.vm);
                }
            }
        }
    }

    /// Records that no open send was answered by the deadline.
    fn record_unanswered(&self, open: &mut OpenSends) {
        if open.has_begun() {
            return;
        }
        self.record_silence(open);
        for send in open.iter() {
            if let SendRoute::Endpoint { flight, .. } = &send.route {
                self.count_send("lost");
                flight.record_silent_end();
            }
        }
    }

    /// Returns when to check again whether an engine's weights are overdue.
    fn overdue_check_at(&self, open: &OpenSends) -> Moment {
        let start_deadline = open.iter().map(|send| self.start_deadline(send)).min().unwrap_or(Moment::NEVER);
        if self.context.model.is_none() || !open.iter().any(OpenSend::awaits_head) {
            return start_deadline;
        }
        // Newer weights may be published meanwhile.
        start_deadline.min(self.gateway.now().after_millis(OVERDUE_POLL_INTERVAL_MILLIS))
    }

    /// Cancels the sends that have not begun before their engine's weights are overdue.
    fn end_overdue(&mut self, open: &mut OpenSends, now: Moment) {
        loop {
            let index = open.iter().position(|send| now >= self.start_deadline(send));
            let Some(index) = index else { return };
            // The engine is not at fault: it was busy for longer than expected.
            self.may_have_run = true;
            self.count_send("lost");
            self.fail(open, index, "not begun before its weights are overdue");
        }
    }

    /// Applies a step of an open send; returns the part of the answer that it completes.
    fn apply_step(
        &mut self,
        open: &mut OpenSends,
        index: usize,
        step: SendStep,
    ) -> Result<Option<AnswerPart>, AnswerFault> {
        match step {
            SendStep::Head(result) => self.apply_head(open, index, result)?,
            SendStep::Body(Ok(start)) => {
                let has_ended = matches!(start, AnswerStart::Whole(_));
                if has_ended && open.send_mut(index).is_unframed() {
                    self.check_end(open, index, UnframedEnd::Body(start));
                } else {
                    return Ok(self.apply_body(open, index, start));
                }
            }
            SendStep::Events(Ok(None)) if open.send_mut(index).is_unframed() => {
                if open.send_mut(index).has_brought_events() {
                    self.check_end(open, index, UnframedEnd::Events);
                } else {
                    // A head alone may be all that an endpoint sent before it crashed.
                    self.fail_broken(open, index, "it ended before its first event", "the stream broke");
                }
            }
            SendStep::Checked(_, false) => {
                self.fail_broken(open, index, "its endpoint may have crashed", "the answer broke off");
            }
            SendStep::Checked(UnframedEnd::Body(start), true) => {
                return Ok(self.apply_body(open, index, start));
            }
            SendStep::Checked(UnframedEnd::Events, true) => {
                self.select(open, index);
                return Ok(Some(AnswerPart::Events(None)));
            }
            SendStep::Body(Err(error)) => {
                self.fail_broken(open, index, &error.to_string(), "the answer broke off");
            }
            SendStep::Events(Ok(Some(comments)))
                if open.has_begun() && !open.send_mut(index).has_brought_progress() =>
            {
                // While another send may go on with the stream, they decide nothing.
                if open.count() > 1 {
                    return Ok(None);
                }
                open.stalled_offer_at = Some(open.offer_at);
                return Ok(Some(AnswerPart::Events(Some(comments))));
            }
            SendStep::Events(Ok(events)) => {
                self.select(open, index);
                return Ok(Some(AnswerPart::Events(events)));
            }
            SendStep::Events(Err(error)) => {
                let end = open.send_mut(index).connection_end();
                self.fail_broken(open, index, &broken_text(&error, end), "the stream broke");
            }
        }
        Ok(None)
    }

    /// Probes the endpoint of an unframed answer before its end is passed on.
    fn check_end(&self, open: &mut OpenSends, index: usize, end: UnframedEnd) {
        let send = open.send_mut(index);
        if let SendRoute::Endpoint { flight, .. } = &send.route {
            let check = Arc::clone(&self.gateway).has_outlived_answer(flight.key);
            send.check_end(end, Box::pin(check));
        }
    }

    fn apply_head(
        &mut self,
        open: &mut OpenSends,
        index: usize,
        result: ExchangeResult,
    ) -> Result<(), AnswerFault> {
        let send = open.send_mut(index);
        let verdict = match &mut send.route {
            SendRoute::Endpoint { flight, .. } => match result {
                Ok((answer, connection)) => {
                    let facts = (self.gateway.dialect.decoders.answer)(answer.status(), answer.headers());
                    flight.set_connection(connection, &facts);
                    self.classify(answer, &facts, flight)
                }
                Err(error) => self.classify_failure(error, flight),
            },
            SendRoute::Peer(peer) => self.classify_peer(result, peer),
        };
        if send.peer().is_none() {
            self.count_send(verdict.label());
        }
        match verdict {
            HeadVerdict::Answer(head, body) => {
                self.record_started_weights(open, index);
                self.read_answer(open, index, *head, body);
            }
            HeadVerdict::NotSent => {
                open.remove(index);
                self.sends -= 1;
                return self.apply_unsent(open);
            }
            HeadVerdict::Refused => self.fail(open, index, "refused by the endpoint"),
            HeadVerdict::Replaced => {
                // Only live endpoints count towards the route's attempts.
                self.sends -= 1;
                self.fail(open, index, "another endpoint has its address");
            }
            HeadVerdict::Lost(cause) => self.fail(open, index, cause),
        }
        Ok(())
    }

    /// Records the weights on which the request begins at the endpoint that answers.
    fn record_started_weights(&mut self, open: &mut OpenSends, index: usize) {
        let (SendRoute::Endpoint { choice, .. }, Some(model)) =
            (&open.send_mut(index).route, self.context.model.as_deref())
        else {
            return;
        };
        self.started_weights = self.gateway.started_weights(model, choice.version);
        if let Some(started) = &self.started_weights {
            self.gateway.count_start(started);
        }
    }

    /// Goes on after a send that was not made: its permit is used for another endpoint. Unless the answer has
    /// begun, connections to a few are tried.
    fn apply_unsent(&mut self, open: &mut OpenSends) -> Result<(), AnswerFault> {
        open.has_permit = true;
        open.offer_at = self.gateway.now();
        let may_connect = open.has_begun() || self.tried.len() < MAX_CONNECT_FAILURES;
        if self.needs_peer() || (may_connect && !self.has_lost_path()) {
            return Ok(());
        }
        if open.is_empty() {
            return Err(AnswerFault::Unsent(Unsent::Unreached));
        }
        self.return_permit(open);
        open.offer_at = Moment::NEVER;
        Ok(())
    }

    /// Goes on to read an answer whose head was received.
    fn read_answer(&mut self, open: &mut OpenSends, index: usize, head: response::Parts, body: Incoming) {
        let is_stream = self.context.is_stream() && head.status.is_success();
        let is_events = is_stream && open.send_mut(index).is_answered();
        if open.has_begun() && !is_events {
            log::warn!(request = self.context.id_text(), endpoint = open.send_mut(index).target(),
                status = head.status.as_u16(); "resume.refused");
            self.fail(open, index, "another engine declined the stream");
            return;
        }
        let last_id = open.last_id().cloned().or_else(|| self.resumed_event());
        let send = open.send_mut(index);
        if is_events {
            send.read_events(head, body, last_id);
        } else {
            send.read_body(head, body);
        }
        open.offer_at = self.next_offer_at(open);
    }

    fn apply_body(&mut self, open: &mut OpenSends, index: usize, start: AnswerStart) -> Option<AnswerPart> {
        let is_alone = open.count() == 1;
        let send = open.send_mut(index);
        let is_failure = send.head().is_some_and(|head| head.status.is_server_error());
        let has_failed = match &send.route {
            SendRoute::Endpoint { .. } => is_failure,
            SendRoute::Peer(peer) if peer.has_not_run() => !is_alone || self.may_have_run,
            // The other VM has sent it again where that was allowed.
            SendRoute::Peer(_) => is_failure && !is_alone,
        };
        match start {
            AnswerStart::Whole(bytes) if has_failed => {
                self.apply_failure(open, index, bytes);
                None
            }
            start => {
                self.select(open, index);
                Some(AnswerPart::Plain(start))
            }
        }
    }

    /// Removes a send whose endpoint or VM answered that it failed; the answer is kept for the caller.
    fn apply_failure(&mut self, open: &mut OpenSends, index: usize, bytes: Bytes) {
        let mut send = open.fail(index, "the endpoint failed");
        send.complete();
        match &mut send.route {
            SendRoute::Endpoint { flight, .. } => {
                // It says nothing of what happens to endpoints that succeed.
                self.record_first_event();
                flight.discard_cost_sample();
                flight.record_answer_start();
                flight.record_outcome(SendOutcome::Failed);
            }
            SendRoute::Peer(peer) if peer.has_not_run() => {
                open.cause = Cow::Borrowed("refused by another VM");
                return;
            }
            SendRoute::Peer(_) => {}
        }
        self.failure = send.into_head().map(|head| (head, bytes));
    }

    /// Goes on with a send that brings the next part, and cancels the others.
    fn select(&mut self, open: &mut OpenSends, index: usize) {
        let is_silent = std::mem::take(&mut open.send_mut(index).is_silent);
        let is_resuming = std::mem::take(&mut open.send_mut(index).is_resuming);
        if open.has_begun() && open.count() == 1 && !is_silent && !is_resuming {
            return;
        }
        self.return_permit(open);
        for other in open.select(index) {
            self.cancel(&other);
        }
        let has_begun = open.has_begun();
        let send = open.send_mut(0);
        let is_success = send.head().is_some_and(|head| head.status.is_success());
        if is_resuming {
            self.log_resumption(send, true);
        }
        if let SendRoute::Endpoint { flight, choice } = &mut send.route {
            if self.endpoint != flight.endpoint {
                self.endpoint.clone_from(&flight.endpoint);
                self.choice = Some(Arc::clone(choice));
            }
            self.resources.answer.record_send(&self.endpoint, self.sends);
            if is_silent || !is_success {
                flight.discard_cost_sample();
            }
            flight.record_answer_start();
            if has_begun && is_silent {
                flight.record_outcome(SendOutcome::Answered);
            }
        }
    }

    /// Records that a send is cancelled, because another one goes on.
    fn cancel(&self, send: &OpenSend) {
        let begun = !send.awaits_head();
        log::info!(request = self.context.id_text(), endpoint = send.target(), begun; "send.cancelled");
        if let SendRoute::Endpoint { flight, .. } = &send.route {
            self.count_send("cancelled");
            if send.is_silent {
                flight.record_silent_end();
            }
        }
    }

    /// Removes a send whose connection broke before its answer was whole.
    fn fail_broken(&mut self, open: &mut OpenSends, index: usize, cause: &str, kind: &'static str) {
        let has_begun = open.has_begun();
        let send = open.send_mut(index);
        let ended_by = send.connection_end().map_or("", |end| end.side.name());
        let is_stream = self.context.is_stream();
        match &send.route {
            SendRoute::Endpoint { flight, .. } => {
                flight.record_outcome(SendOutcome::Broken);
                self.record_broken(flight);
                if is_stream {
                    log::warn!(request = self.context.id_text(), endpoint = flight.endpoint.as_str(), cause,
                        ended_by; "stream.broke");
                }
            }
            SendRoute::Peer(peer) => {
                log::warn!(request = self.context.id_text(), peer = peer.place.peer.name.as_str(), cause;
                    "peer.broke");
                self.gateway.metrics.forwards.count("lost");
            }
        }
        self.may_have_run = true;
        let cause: Cow<'static, str> =
            if has_begun { Cow::Owned(cause.to_owned()) } else { Cow::Borrowed(kind) };
        self.fail(open, index, cause);
    }

    /// Removes a send that failed.
    fn fail(&mut self, open: &mut OpenSends, index: usize, cause: impl Into<Cow<'static, str>>) {
        let send = open.fail(index, cause);
        if send.peer().is_some() {
            self.prefer_own_path();
        }
        self.resources.answer.record_send(&self.endpoint, self.sends);
        if send.is_resuming {
            self.log_resumption(&send, false);
        }
    }

    fn log_resumption(&self, send: &OpenSend, went_on: bool) {
        let next_software = if went_on { send.software() } else { "" };
        let took_ms = self.gateway.now().micros_since(send.sent_at) / MICROS_PER_MILLI;
        let software = self.software.as_deref().unwrap_or("");
        let (request, target) = (self.context.id_text(), send.target());
        match send.peer() {
            None => {
                log::info!(request, endpoint = target, went_on, software, next_software, took_ms; "stream.resumed");
            }
            Some(_) => log::info!(request, peer = target, went_on, took_ms; "stream.resumed"),
        }
    }

    fn count_send(&self, outcome: &'static str) {
        self.gateway.metrics.sends.get_or_create(&KindLabel::new(outcome)).inc();
    }
}

/// Returns why a stream broke: as the operating system reported it, if it did.
fn broken_text(error: &EventError, end: Option<ConnectionEnd>) -> String {
    match (error, end) {
        (EventError::Broken(_), Some(end)) => end.cause.to_owned(),
        _ => error.to_string(),
    }
}
