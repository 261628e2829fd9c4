//! One send of a request: choose an endpoint, set its headers, classify the answer.
//!
//! Invariant: after each send it is known whether the request may have run. It has not if no byte left this process or the
//! endpoint refused it.

use crate::clock::TimeIsUp;
use crate::endpoints::answer_facts::{AnswerFacts, AnswerOrigin};
use crate::endpoints::answer_handler::AnswerSource;
use crate::endpoints::endpoint_pool::{EndpointConnection, ExchangeError};
use crate::gateway::CountGuard;
use crate::operators::gateway_metrics::KindLabel;
use crate::peers::placed_note::PlacedNote;
use crate::requests::flight::SendFlight;
use crate::requests::outgoing_body::OutgoingBody;
use crate::requests::request_run::RequestRun;
use crate::rollout::VersionedSend;
use crate::salted_key;
use crate::{
    AdmissionVerdict, EndpointKey, FleetTable, PlacementChoice, PlacementRequest, SendOutcome, ShareVerdict,
    ShareView, TestDraw, VersionSplit, claim_probability, salt_text, short_digest,
};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Pause before a waiting prompt looks for room again, in milliseconds: a part of the time for which an engine runs one.
const POLL_INTERVAL_MILLIS: u64 = 20;
/// Pause for each other prompt that waits here, in milliseconds: a VM looks some 250 times a second at most.
const LOOK_SHARE_MILLIS: u64 = 4;
/// Pause before a request that waits for an endpoint that takes few looks at the endpoints again, in milliseconds.
const SHARE_LOOK_MILLIS: u64 = 20;
/// A repeatable request is sent elsewhere after this multiple of its objective without an answer.
const PATIENCE_FACTOR: u64 = 2;
/// The shortest such wait, in milliseconds: below it, a second send costs more than it saves.
const PATIENCE_LEAST_MILLIS: u64 = 400;
/// A fetch may take this many times its expected time before it is thrown away.
const FETCH_FACTOR: f64 = 2.0;
/// And this much longer, in milliseconds: the request may wait before its fetch begins.
const FETCH_EXTRA_MILLIS: u64 = 300;
/// A request that has not begun is cancelled this long before the weights of its engine are overdue, in milliseconds: VMs
/// learn of a new version with a delay, and the engine notices the cancellation some milliseconds later.
const TAKE_BACK_MILLIS: u64 = 300;
/// Pause between looks at whether weights are overdue, in milliseconds: namings set a bound some seconds ahead.
const OVERDUE_LOOK_MILLIS: u64 = 500;
/// Time kept for the way back to the caller, in milliseconds.
const RETURN_MILLIS: u64 = 5;

/// What came of an exchange with an endpoint.
type Exchanged = Result<(Response<Incoming>, EndpointConnection), ExchangeError>;

/// Where a request goes.
enum PlaceResult {
    /// To this endpoint.
    Placed(Box<PlacementChoice>, Box<SendFlight>),
    /// Nowhere yet: no engine has room.
    Wait,
    /// Nowhere yet: its endpoints take few requests, and the next one from this VM at this moment.
    WaitForShare(Moment),
    /// Nowhere: its endpoints take none from this VM in time. Its caller may retry after so many milliseconds.
    Limited(u64),
    /// Nowhere: the answer would be too late for its caller, who may retry after so many milliseconds.
    Late(u64),
}

/// An answer's head, with what its body and its end need.
pub(crate) struct ReceivedHead {
    pub head: response::Parts,
    pub body: Incoming,
    pub flight: SendFlight,
}

/// What became of one send.
pub(crate) enum SendResult {
    /// The answer's head is here.
    Answer(Box<ReceivedHead>),
    /// The endpoint was not reached: no byte left.
    NotSent,
    /// The endpoint refused the request before running it.
    Refused,
    /// It may have run, but no answer came.
    Lost(&'static str),
    /// Another endpoint has the address: the one that was meant has ended and never saw the request.
    Ended,
    /// It was not sent, because its caller would leave before the answer.
    Late(u64),
    /// It was not sent, because its endpoints take no more in time.
    Limited(u64),
    /// It was not sent, because endpoints end under it.
    HeldBack,
    /// It was not sent, because its time was over before.
    OutOfTime,
}

impl RequestRun {
    /// Chooses an endpoint and sends the request there once; none if there is no endpoint.
    pub(crate) async fn send_once(&mut self, last_event_id: Option<&Bytes>) -> Option<SendResult> {
        let (choice, flight) = loop {
            // The request may have been quarantined while it waited.
            self.wait_for_judgement().await;
            if self.gateway.now() >= self.ticket.limit {
                return Some(SendResult::OutOfTime);
            }
            if self.is_held_back() {
                return Some(SendResult::HeldBack);
            }
            match self.choose()? {
                PlaceResult::Placed(choice, flight) => break (*choice, *flight),
                PlaceResult::Late(return_delay_millis) => return Some(SendResult::Late(return_delay_millis)),
                PlaceResult::Limited(return_delay_millis) => {
                    return Some(SendResult::Limited(return_delay_millis));
                }
                PlaceResult::Wait => {
                    self.waits_for_room = true;
                    self.wait_for_room().await;
                }
                PlaceResult::WaitForShare(until) => {
                    self.waits_for_room = false;
                    self.wait_for_share(until).await;
                }
            }
        };
        self.choice = Some(choice);
        let request = self.endpoint_request(&flight, last_event_id);
        let Ok(request) = request else { return Some(SendResult::Lost("the request cannot be formed")) };
        Some(self.send_to(flight, request).await)
    }

    /// Waits a little before the next look at the engines.
    async fn wait_for_room(&mut self) {
        let begun = self.gateway.now();
        let waiting = CountGuard::new(&self.gateway, |gateway| &gateway.waiting_prompts);
        let others = self.gateway.waiting_prompts.load(Ordering::Relaxed).saturating_sub(1);
        let pause = POLL_INTERVAL_MILLIS.max(others * LOOK_SHARE_MILLIS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        drop(waiting);
        self.waited_micros += self.gateway.now().micros_since(begun);
    }

    /// Waits until its turn at an endpoint that takes few requests, or the next look: others may end their limits.
    async fn wait_for_share(&mut self, until: Moment) {
        let begun = self.gateway.now();
        let look_at = begun.after_millis(SHARE_LOOK_MILLIS).min(until).max(begun.after_millis(1));
        self.gateway.until(look_at).await;
        self.waited_micros += self.gateway.now().micros_since(begun);
    }

    /// Whether a prompt that waited takes the room that it sees, or leaves it to another VM's.
    fn draws_room(&self) -> bool {
        let vms = self.gateway.peers().listed_count();
        rand::random::<f64>() < claim_probability(vms)
    }

    fn choose(&mut self) -> Option<PlaceResult> {
        let gateway = Arc::clone(&self.gateway);
        let ticket = &self.ticket;
        let model = ticket.model.as_deref();
        // What went out once was admitted.
        let admission = ticket.admission().filter(|_| self.sends == 0);
        let wanted = model.and_then(|model| gateway.required_weights(model));
        let silent = gateway.cut_data_centres();
        let silent: Vec<&str> = silent.iter().map(String::as_str).collect();
        // A change of homes holds for what waits, too.
        let routes = gateway.routes()?;
        let right = gateway.share_right();
        let vms = gateway.peers().listed_count();
        let shares = ShareView { right: right.as_deref(), cold: gateway.cold_terms(), vms };
        let ask = PlacementRequest {
            service: &ticket.service,
            silent: &silent,
            data_centre: &gateway.settings.data_centre,
            parts: &ticket.parts,
            prompt_tokens: ticket.prompt_tokens,
            output_tokens: ticket.output_tokens,
            objective_millis: ticket.route.objective_millis,
            bytes: self.body.len(),
            model,
            wanted: wanted.as_ref(),
            memory_fraction: admission.map_or(1.0, |view| view.memory_fraction(gateway.now())),
            homes: routes.homes(&ticket.host, &ticket.path, ticket.account.as_deref()),
            wall: &ticket.wall,
            exclude: &self.tried,
            versions: &VersionSplit::Any,
            shares,
            draw: rand::random,
        };
        // A second send tests nothing: it would be another request to a version that may be bad.
        let mut draw = if self.tried.is_empty() { self.test_draw } else { TestDraw::NONE };
        let splits = gateway.version_splits(&ticket.service, &mut draw);
        self.test_draw.has_slack |= draw.has_slack;
        let admit = |choice: &PlacementChoice| {
            admission.map_or(AdmissionVerdict::Go, |view| view.admit(choice, gateway.now()))
        };
        let placed = splits.iter().find_map(|versions| {
            let ask = PlacementRequest { versions, ..ask.clone() };
            let choice = gateway.place(&ask).filter(|choice| self.has_turn(choice));
            // Others go before it where endpoints take few: what is left are endpoints that take any number.
            let rest = PlacementRequest { shares: ShareView { right: None, ..shares }, ..ask };
            let choice = choice.or_else(|| gateway.place(&rest))?;
            let verdict = admit(&choice);
            // A test does not wait for room that other endpoints have.
            let waits = matches!(versions, VersionSplit::Tested(..)) && verdict != AdmissionVerdict::Go;
            (!waits).then_some((choice, verdict))
        });
        let ask = PlacementRequest { versions: splits.last().unwrap_or(&VersionSplit::Any), ..ask };
        let Some((choice, verdict)) = placed else { return self.wait_or_leave(&ask) };
        match verdict {
            AdmissionVerdict::Go if self.waits_for_room && !self.draws_room() => {
                return Some(PlaceResult::Wait);
            }
            AdmissionVerdict::Go => {}
            AdmissionVerdict::Wait => return Some(PlaceResult::Wait),
            AdmissionVerdict::Refuse(return_delay_millis) => {
                self.choice = Some(choice);
                return Some(PlaceResult::Late(return_delay_millis));
            }
        }
        let moves: Vec<_> = choice.kept.moves(&ticket.parts).collect();
        let (endpoint, address) = {
            let mut table = gateway.table();
            let takes_few = table.takes_few(choice.key, gateway.now());
            if !table.consume_share(choice.key, &shares, gateway.now()) {
                return Some(PlaceResult::WaitForShare(gateway.now()));
            }
            if takes_few {
                gateway.shares.queue().record_served(&ticket.service, &self.queue_order, gateway.now());
            }
            table.take(choice.key, choice.load, &ticket.parts, choice.salt);
            let row = table.row(choice.key)?;
            let (id, address) = (row.entry.id.clone(), row.entry.address);
            let data_centre = row.entry.data_centre.clone();
            for (store, tokens) in &moves {
                if let Some(row) = table.store_mut(*store) {
                    row.take(*tokens, &data_centre, gateway.now());
                }
            }
            (id, address)
        };
        gateway.note_placed(PlacedNote::new(&choice, &ticket.parts));
        gateway.metrics.kept_tokens.inc_by(choice.kept.kept_tokens + choice.kept.moved_tokens);
        let mut flight = SendFlight::new(&gateway, &choice, (endpoint, address), moves);
        flight.versioned = self.versioned(choice.key);
        self.tried.push(choice.key);
        self.endpoint.clone_from(&flight.endpoint);
        Some(PlaceResult::Placed(Box::new(choice), Box::new(flight)))
    }

    /// What the answer of an endpoint will tell of its version, while the service moves to another one.
    fn versioned(&self, key: EndpointKey) -> Option<VersionedSend> {
        let (gateway, service) = (&self.gateway, &self.ticket.service);
        let target = gateway.rollout_target(service)?;
        let table = gateway.table();
        let route = short_digest(&self.ticket.route.name);
        Some(VersionedSend::new(service, route, &target, table.row(key)?, gateway.now()))
    }

    /// Whether the request may go where it was placed, or others that wait for that endpoint go before it.
    fn has_turn(&self, choice: &PlacementChoice) -> bool {
        let gateway = &self.gateway;
        let now = gateway.now();
        !gateway.table().takes_few(choice.key, now)
            || gateway.shares.queue().is_next_in_queue(&self.ticket.service, &self.queue_order, now)
    }

    /// What becomes of a request that no endpoint takes now; none if there is no endpoint.
    fn wait_or_leave(&self, ask: &PlacementRequest<'_>) -> Option<PlaceResult> {
        let gateway = &self.gateway;
        let now = gateway.now();
        let outlook = gateway.table().share_capacity(ask, now);
        let Some(outlook) = outlook else {
            let blocked = gateway.table().blocked(ask, now);
            log::info!(request = self.ticket.id_text(), service = ask.service, blocked:%; "request.unplaced");
            return None;
        };
        let verdict = gateway.shares.queue().admit(ask.service, &self.queue_order, &outlook, now);
        Some(match verdict {
            ShareVerdict::Wait(until) => PlaceResult::WaitForShare(until),
            ShareVerdict::Refuse(return_delay_millis) => {
                let blocked = gateway.table().blocked(ask, now);
                log::info!(request = self.ticket.id_text(), service = ask.service, blocked:%,
                    own_per_s = outlook.own_per_s, all_per_s = outlook.all_per_s, back_ms = return_delay_millis;
                    "request.limited");
                PlaceResult::Limited(return_delay_millis)
            }
        })
    }

    fn endpoint_request(
        &self,
        flight: &SendFlight,
        last_event_id: Option<&Bytes>,
    ) -> Result<Request<OutgoingBody>, hyper::http::Error> {
        let names = &self.gateway.dialect.headers;
        let ticket = &self.ticket;
        let left = ticket.limit.micros_since(self.gateway.now()) / MICROS_PER_MILLI;
        let mut request = Request::builder()
            .method(ticket.method.clone())
            .uri(&ticket.path)
            .body(OutgoingBody::new(self.body.clone()))?;
        let headers = request.headers_mut();
        headers.clone_from(&ticket.headers);
        let mut set = |name: &HeaderName, value: &[u8]| {
            if let Ok(value) = HeaderValue::from_bytes(value) {
                headers.insert(name.clone(), value);
            }
        };
        set(&names.deadline_millis, left.saturating_sub(RETURN_MILLIS).max(1).to_string().as_bytes());
        set(&names.expect_endpoint, flight.endpoint.as_bytes());
        if let Some(account) = &ticket.account {
            set(&names.account, account.as_bytes());
        }
        if let Some(choice) = &self.choice
            && let Some(model) = &ticket.model
        {
            let version = choice.version.unwrap_or(0);
            set(&names.cache_salt, salt_text(&ticket.wall, model, version).as_bytes());
            if choice.version.is_some() {
                set(&names.expect_version, version.to_string().as_bytes());
                self.set_moves(choice, &mut set);
            }
        }
        if let Some(id) = last_event_id {
            set(&HeaderName::from_static("last-event-id"), id);
        }
        Ok(request)
    }

    /// Says where the engine may take parts from, and where it is to save them.
    fn set_moves(&self, choice: &PlacementChoice, set: &mut impl FnMut(&HeaderName, &[u8])) {
        let names = &self.gateway.dialect.headers;
        let write = self.gateway.dialect.kept.segment_addresses;
        let now = self.gateway.now();
        let mut table = self.gateway.table();
        let address = |table: &FleetTable, store: Option<EndpointKey>| {
            store.and_then(|store| table.store(store)).map(|row| row.spec.address)
        };
        if choice.kept.fetches.iter().any(Option::is_some) {
            let fetches: Vec<_> = choice.kept.fetches.iter().map(|store| address(&table, *store)).collect();
            set(&names.fetch_from, write(&fetches).as_bytes());
            let wait = choice.expected_micros + (choice.kept.transfer_time_micros * FETCH_FACTOR) as u64;
            let until = now.after_micros(wait).after_millis(FETCH_EXTRA_MILLIS);
            if let Some(clock) = self.gateway.engine_clock_at(until) {
                set(&names.fetch_until, clock.to_string().as_bytes());
            }
        }
        if choice.kept.saves.iter().any(Option::is_some) {
            let saves: Vec<_> = choice.kept.saves.iter().map(|store| address(&table, *store)).collect();
            set(&names.save_to, write(&saves).as_bytes());
            for (store, part) in choice.kept.saves.iter().zip(&self.ticket.parts) {
                if let Some(row) = store.and_then(|store| table.store_mut(store)) {
                    row.ask(salted_key(part.key, choice.salt), part.tokens, now);
                }
            }
        }
    }

    async fn send_to(&mut self, mut flight: SendFlight, request: Request<OutgoingBody>) -> SendResult {
        let gateway = Arc::clone(&self.gateway);
        let result = match self.exchange(&flight, request).await {
            Err(TimeIsUp) if gateway.now() >= self.begin_until() => {
                // The engine is not to blame: it was busy for longer than expected.
                self.sent();
                SendResult::Lost("not begun before its weights are overdue")
            }
            Err(TimeIsUp) => {
                flight.learn(SendOutcome::Silent);
                self.sent();
                SendResult::Lost("silent")
            }
            Ok(Err(ExchangeError::NotSent(cause))) => {
                flight.learn(SendOutcome::Unreached);
                log::warn!(request = self.ticket.id_text(), endpoint = flight.endpoint.as_str(),
                    cause = cause.as_str(); "endpoint.unreached");
                SendResult::NotSent
            }
            Ok(Err(ExchangeError::Withdrawn)) => {
                log::info!(request = self.ticket.id_text(), endpoint = flight.endpoint.as_str();
                    "send.withdrawn");
                SendResult::NotSent
            }
            Ok(Err(ExchangeError::Lost(cause))) => {
                flight.learn(SendOutcome::Broken);
                self.note_broken(&flight);
                self.sent();
                log::warn!(request = self.ticket.id_text(), endpoint = flight.endpoint.as_str(),
                    cause = cause.as_str(); "endpoint.broke");
                SendResult::Lost("broken")
            }
            Ok(Ok((answer, connection))) => {
                let facts = (gateway.dialect.decode.answer)(answer.status(), answer.headers());
                flight.hold(connection, &facts);
                let result = self.judge(answer, &facts, flight);
                // Only endpoints that live count towards the route's attempts.
                self.sends += u32::from(!matches!(result, SendResult::Ended));
                result
            }
        };
        let word = match &result {
            SendResult::Answer(_) => "answered",
            SendResult::NotSent => "not_sent",
            SendResult::Refused => "refused",
            SendResult::Ended => "ended",
            SendResult::Lost(_) => "lost",
            SendResult::Late(_) => "late",
            SendResult::Limited(_) => "limited",
            SendResult::HeldBack => "held_back",
            SendResult::OutOfTime => "out_of_time",
        };
        gateway.metrics.sends.get_or_create(&KindLabel::new(word)).inc();
        result
    }

    /// Waits for an answer's head; a long body may go on for as long as the endpoint takes more of it.
    async fn exchange(
        &self,
        flight: &SendFlight,
        request: Request<OutgoingBody>,
    ) -> Result<Exchanged, TimeIsUp> {
        let gateway = &self.gateway;
        let (mark, is_long) = (request.body().mark(), request.body().is_long());
        let mut exchange =
            pin!(gateway.pool.exchange(flight.key, flight.address, request, || self.may_reach(flight)));
        let (mut patience, mut rest) = (self.patience(), mark.rest());
        loop {
            // Newer weights may be named meanwhile.
            let look = gateway.now().after_millis(OVERDUE_LOOK_MILLIS).min(self.begin_until());
            let result = gateway.within(patience.min(look), exchange.as_mut()).await;
            let now = gateway.now();
            match result {
                Err(TimeIsUp) if now >= self.begin_until() => return result,
                Err(TimeIsUp) if now < patience => {}
                // What is on its way would begin from zero elsewhere.
                Err(TimeIsUp) if is_long && mark.rest() < rest && patience < self.ticket.limit => {
                    (patience, rest) = (self.patience(), mark.rest());
                }
                _ => return result,
            }
        }
    }

    /// Whether the endpoint that was chosen still takes requests.
    fn may_reach(&self, flight: &SendFlight) -> bool {
        let (table, now) = (self.gateway.table(), self.gateway.now());
        table.row(flight.key).is_none_or(|row| !row.has_announced_end() && !row.rest.is_backing_off(now))
    }

    fn sent(&mut self) {
        self.sends += 1;
        self.may_have_run = true;
    }

    /// When the engine's weights become overdue: the request must have begun by then. Its expected start is only an estimate.
    fn begin_until(&self) -> Moment {
        let version = self.choice.as_ref().and_then(|choice| choice.version);
        let wanted = self.ticket.model.as_deref().and_then(|model| self.gateway.required_weights(model));
        let (Some(version), Some(wanted)) = (version, wanted) else { return Moment::NEVER };
        match wanted.last_start(version) {
            Moment::NEVER => Moment::NEVER,
            last => Moment(last.0.saturating_sub(TAKE_BACK_MILLIS * MICROS_PER_MILLI)),
        }
    }

    /// Until when an answer's head is waited for.
    fn patience(&self) -> Moment {
        let ticket = &self.ticket;
        if !ticket.route.repeatable() || self.sends + 1 >= ticket.route.attempts {
            return ticket.limit;
        }
        let expected = self.choice.as_ref().map_or(0, |choice| choice.expected_micros);
        let wait = (ticket.route.objective_millis * PATIENCE_FACTOR).max(PATIENCE_LEAST_MILLIS);
        self.gateway.now().after_millis(wait).after_micros(expected).min(ticket.limit)
    }

    /// Learns that an endpoint is gone for good: another one has its address.
    fn learn_ended(&self, flight: &SendFlight) {
        log::info!(request = self.ticket.id_text(), endpoint = flight.endpoint.as_str(),
            source = "its address", held_until = 0; "endpoint.missing");
        self.gateway.table().mark_key_missing(flight.key, Moment(0));
    }

    /// Classifies an answer's head: whether it answers this request, and whether the endpoint ran it.
    fn judge(&mut self, answer: Response<Incoming>, facts: &AnswerFacts, flight: SendFlight) -> SendResult {
        let (head, body) = answer.into_parts();
        let origin = facts.origin(&flight.endpoint, &self.ticket.id);
        if origin == AnswerOrigin::Addressed {
            let source =
                AnswerSource { key: flight.key, request: self.ticket.id_text(), sent_at: flight.sent_at };
            self.gateway.observe_answer(&source, facts);
            if let (Some(model), Some(version)) = (&self.ticket.model, facts.weights.value()) {
                self.gateway.observe_weights(&source, model, version);
            }
        }
        // A surplus refusal of an earlier request is no promise for this one, which its endpoint may be running.
        if facts.is_refusal() && origin != AnswerOrigin::OtherRequest {
            if head.status == StatusCode::MISDIRECTED_REQUEST && origin == AnswerOrigin::OtherEndpoint {
                self.learn_ended(&flight);
                return SendResult::Ended;
            }
            flight.refused(facts.rest_millis.value());
            if head.status == StatusCode::MISDIRECTED_REQUEST {
                self.gateway.table().revert_weights(flight.key);
            }
            log::info!(request = self.ticket.id_text(), endpoint = flight.endpoint.as_str(),
                status = head.status.as_u16(); "endpoint.refused");
            return SendResult::Refused;
        }
        self.may_have_run = true;
        if facts.request_id.as_ref() != Some(&self.ticket.id) {
            // The answer to this request may still follow, but cannot be told from further surplus ones.
            flight.learn(SendOutcome::Failed);
            return SendResult::Lost("an answer to another request");
        }
        if head.status.is_success() && !facts.is_signed {
            log::warn!(request = self.ticket.id_text(), endpoint = flight.endpoint.as_str(),
                status = head.status.as_u16(); "answer.unsigned");
            flight.learn(SendOutcome::Failed);
            return SendResult::Lost("an answer without its endpoint's signature");
        }
        SendResult::Answer(Box::new(ReceivedHead { head, body, flight }))
    }
}
