//! Sends a request once: chooses an endpoint, classifies the head of the answer.
//!
//! Invariant: once a send has failed, it is known whether the endpoint may have run the request. It has not
//! run it if no byte left this process or if the endpoint refused it.

use crate::endpoints::answer_facts::{AnswerFacts, AnswerOrigin};
use crate::endpoints::answer_handler::AnswerSource;
use crate::endpoints::endpoint_pool::ExchangeError;
use crate::endpoints::observed_stream::EndSide;
use crate::gateway::Gateway;
use crate::peers::placement_message::PlacementMessage;
use crate::requests::flight::{SendFlight, SendTarget};
use crate::requests::open_send::{ExchangeFuture, OpenSend, SendRoute};
use crate::requests::outgoing_body::OutgoingBody;
use crate::requests::request_run::RequestRun;
use crate::requests::stopping::STOPPING;
use crate::rollout::VersionedSend;
use crate::{
    AdmissionVerdict, AdmissionView, CanaryDraw, EndpointKey, PlacementChoice, PlacementRequest,
    PromptPlacement, SendOutcome, ShareVerdict, ShareView, UNKNOWN_VERSION, VersionSplit, VmKey,
    short_digest,
};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A request that has not begun is cancelled this long before its engine's weights are overdue: VMs receive
/// a new version with a delay, and the engine notices the cancellation some milliseconds later.
const CANCELLATION_MARGIN_MILLIS: u64 = 300;

/// Retry time of a refused prompt, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryDelay {
    /// A random delay is added.
    Base(u64),
    /// It was assigned in the order of return, random delay included.
    Assigned(u64),
}

/// The result of choosing an endpoint.
enum PlaceResult {
    /// An endpoint was chosen.
    Placed(Box<PlacementChoice>, Box<SendFlight>),
    /// No engine has free capacity yet.
    Wait,
    /// Its endpoints are rate limited, and this VM may send one the next request at this moment.
    WaitForShare(Moment),
    /// Its endpoints take no request from this VM in time. Contains the retry delay, in milliseconds, and the
    /// VMs from which they may take one.
    Limited(u64, BTreeSet<VmKey>),
    /// The answer would be too late for its caller.
    Late(RetryDelay),
}

/// Why a request was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unsent {
    /// No endpoint takes it.
    NoEndpoint,
    /// This VM reaches no endpoint.
    Unreached,
    /// No other VM takes it.
    NoPeer,
    /// No engine has free capacity yet.
    NoRoom,
    /// Its endpoints are rate limited, and this VM may send one the next request at this moment.
    NoShare(Moment),
    /// Its caller would leave before the answer.
    Late(RetryDelay),
    /// Its endpoints take no more in time. Contains the retry delay, in milliseconds.
    Limited(u64),
    /// It is quarantined, because endpoints crash under it.
    Quarantined,
    /// It is on trial: it may run once at a time in the whole deployment.
    OnTrial,
    /// Its deadline passed before.
    OutOfTime,
    /// This VM stops before the answer would be whole.
    Stopping,
}

impl Unsent {
    /// The reason in logs.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no endpoint takes it",
            Self::Unreached => "no endpoint is reached",
            Self::NoPeer => "no other VM takes it",
            Self::NoRoom => "no engine has room",
            Self::NoShare(_) => "its endpoints are at their limits",
            Self::Late(_) => "late",
            Self::Limited(_) => "limited",
            Self::Quarantined => "held back",
            Self::OnTrial => "on trial",
            Self::OutOfTime => "out of time",
            Self::Stopping => STOPPING,
        }
    }
}

/// What the head of an answer, or its absence, says of a send.
pub(crate) enum HeadVerdict {
    /// The answer begins.
    Answer(Box<response::Parts>, Incoming),
    /// No byte was sent: the endpoint was unreachable or had stopped taking requests. Another VM may also
    /// state it.
    NotSent,
    /// The endpoint refused the request before running it.
    Refused,
    /// The endpoint may have run it, but gave no valid answer.
    Lost(&'static str),
    /// Another endpoint has the address: the addressed one is gone and never received the request.
    Replaced,
}

impl HeadVerdict {
    /// The label in metrics.
    pub(crate) const fn label(&self) -> &'static str {
        match self {
            Self::Answer(..) => "answered",
            Self::NotSent => "not_sent",
            Self::Refused => "refused",
            Self::Lost(_) => "lost",
            Self::Replaced => "ended",
        }
    }
}

impl RequestRun {
    /// Sends the request to an endpoint, or to another VM if this one reaches none, once one takes it.
    pub(crate) async fn open_send(&mut self, last_event_id: Option<&Bytes>) -> Result<OpenSend, Unsent> {
        loop {
            // The request may have been quarantined while it waited, or while this VM was suspended.
            self.gateway.wait_until_current().await;
            self.wait_for_evaluation().await;
            let opened = self.try_open_send(last_event_id);
            if !matches!(opened, Err(Unsent::NoRoom)) {
                // It is sent, refused, or waits for something else: it must hold back no prompt.
                self.gateway.prompt_waits.queue().remove(&self.context.service, self.queue_entry.number);
            }
            match opened {
                Err(Unsent::NoRoom) => {
                    self.waits_for_capacity = true;
                    self.count_delayed();
                    self.wait_for_capacity().await;
                }
                Err(Unsent::OnTrial) if self.wait_for_trial().await => {}
                Err(Unsent::NoShare(next_at)) => {
                    self.waits_for_capacity = false;
                    self.count_delayed();
                    self.wait_for_share(next_at).await;
                }
                opened => return opened,
            }
        }
    }

    /// Sends the request to an endpoint, or to another VM if this one reaches none, if one takes it now.
    pub(crate) fn try_open_send(&mut self, last_event_id: Option<&Bytes>) -> Result<OpenSend, Unsent> {
        loop {
            let now = self.gateway.now();
            if now >= self.context.deadline {
                return Err(Unsent::OutOfTime);
            }
            if now >= self.send_deadline() {
                return Err(Unsent::Stopping);
            }
            if self.goes_to_peer() {
                if let Some(send) = self.open_peer_send(last_event_id)? {
                    return Ok(send);
                }
                continue;
            }
            match self.open_endpoint_send(last_event_id) {
                Err(Unsent::NoEndpoint | Unsent::Unreached) if self.needs_peer() => {}
                Err(Unsent::Limited(delay_millis)) => {
                    let holders = std::mem::take(&mut self.plan.share_holders);
                    let spilled = self.open_spilled_send(&holders, last_event_id);
                    return spilled.ok_or(Unsent::Limited(delay_millis));
                }
                opened => return opened,
            }
        }
    }

    /// Chooses an endpoint and sends the request there.
    fn open_endpoint_send(&mut self, last_event_id: Option<&Bytes>) -> Result<OpenSend, Unsent> {
        self.count_once();
        if self.is_quarantined() {
            return Err(Unsent::Quarantined);
        }
        if !self.begin_trial() {
            return Err(Unsent::OnTrial);
        }
        let opened = self.send_to_endpoint(last_event_id);
        if opened.is_err() {
            self.give_back_trial();
        }
        opened
    }

    fn send_to_endpoint(&mut self, last_event_id: Option<&Bytes>) -> Result<OpenSend, Unsent> {
        let (choice, flight) = match self.choose().ok_or(Unsent::NoEndpoint)? {
            PlaceResult::Placed(choice, flight) => (choice, *flight),
            PlaceResult::Late(delay) => return Err(Unsent::Late(delay)),
            PlaceResult::Limited(return_delay_millis, holders) => {
                self.plan.share_holders = holders;
                return Err(Unsent::Limited(return_delay_millis));
            }
            // It would wait for engines that it does not reach.
            PlaceResult::Wait | PlaceResult::WaitForShare(_) if self.has_lost_path() => {
                return Err(Unsent::Unreached);
            }
            PlaceResult::Wait => return Err(Unsent::NoRoom),
            PlaceResult::WaitForShare(next_at) => return Err(Unsent::NoShare(next_at)),
        };
        let choice: Arc<PlacementChoice> = Arc::from(choice);
        self.choice = Some(Arc::clone(&choice));
        self.resources.answer.record_send(&flight.endpoint, self.sends + 1);
        // The head was checked when the caller's request was parsed.
        let request = self.endpoint_request(&flight, last_event_id).map_err(|_invalid| Unsent::NoEndpoint)?;
        let upload = request.body().is_long().then(|| request.body().progress());
        let exchange = self.exchange(&flight, request);
        let sent_at = flight.sent_at;
        let route = SendRoute::Endpoint { flight, choice };
        Ok(OpenSend::new(route, exchange, upload, last_event_id.is_some(), sent_at, &self.gateway.memory))
    }

    fn choose(&mut self) -> Option<PlaceResult> {
        let gateway = Arc::clone(&self.gateway);
        // Read at each attempt: a change of home regions or isolation applies to waiting requests, too.
        let routes = gateway.routes()?;
        self.isolation_scope = routes.isolation_scope(self.context.account.as_deref());
        let (splits, is_settled) = self.usable_versions();
        let context = &self.context;
        let model = context.model.as_deref();
        // A request that was sent once has passed admission.
        // One that resumes a stream goes first: only a few engines can continue it.
        let admission = context.admission().filter(|_| self.sends == 0).map(|view| match self.origin {
            Some(_) => AdmissionView { priority: 0, ..view },
            None => view,
        });
        let required = model.and_then(|model| gateway.required_weights(model));
        let unreachable = gateway.partitioned_data_centres();
        let unreachable: Vec<&str> = unreachable.iter().map(String::as_str).collect();
        let right = gateway.share_right();
        let vms = gateway.peers().listed_count();
        let shares = ShareView { right: right.as_deref(), cold: gateway.cold_terms(), vms };
        let request = PlacementRequest {
            service: &context.service,
            unreachable_data_centres: &unreachable,
            data_centre: &gateway.settings.data_centre,
            segments: &context.segments,
            prompt_tokens: context.prompt_tokens,
            output_tokens: context.output_tokens,
            objective_millis: context.route.objective_millis,
            bytes: self.body.len(),
            model,
            required_weights: required.as_ref(),
            memory_fraction: admission.map_or(1.0, |view| view.memory_fraction(gateway.now())),
            homes: routes.homes(&context.host, &context.path, context.account.as_deref()),
            isolation_scope: &self.isolation_scope,
            exclude: &self.tried,
            versions: &VersionSplit::Any,
            shares,
            draw: rand::random,
        };
        let regions = request.homes.digest();
        // A prompt that resumes a stream goes first.
        // In small deployments, prompts wait as they did before.
        let are_views_aged = !gateway.table().view_ages().are_current();
        let order_view = admission
            .filter(|_| self.origin.is_none() && are_views_aged && routes.orders_prompts(&context.service));
        let admit = |choice: &PlacementChoice| {
            let verdict = admission.map_or(AdmissionVerdict::Go, |view| view.admit(choice, gateway.now()));
            match order_view {
                Some(view) if verdict == AdmissionVerdict::Go => {
                    let placement = PromptPlacement { entry: &self.queue_entry, view, choice, regions };
                    (self.admit_in_order(&placement), true)
                }
                _ => (verdict, false),
            }
        };
        let placed = splits.iter().find_map(|versions| {
            let request = PlacementRequest { versions, ..request.clone() };
            let choice = gateway.place(&request).filter(|choice| self.is_next_for(choice));
            // Requests ahead in the queue precede it at rate-limited endpoints: the others remain.
            let unlimited = PlacementRequest { shares: ShareView { right: None, ..shares }, ..request };
            let choice = choice.or_else(|| gateway.place(&unlimited))?;
            let (verdict, has_room) = admit(&choice);
            // A canary does not wait for capacity that other endpoints have.
            let must_wait = versions.is_canary() && verdict != AdmissionVerdict::Go;
            (!must_wait).then_some((choice, verdict, has_room))
        });
        let request = PlacementRequest { versions: splits.last().unwrap_or(&VersionSplit::Any), ..request };
        let Some((choice, verdict, has_room)) = placed else {
            let result = self.queue_or_refuse(&request);
            // Soon the remaining endpoints may take it.
            return result.or_else(|| (!is_settled).then_some(PlaceResult::Wait));
        };
        self.count_if_late_at_full(&choice);
        let ordered = order_view.map(|view| PromptPlacement {
            entry: &self.queue_entry,
            view,
            choice: &choice,
            regions,
        });
        match verdict {
            AdmissionVerdict::Go
                if !self.waits_for_capacity
                    || self.origin.is_some()
                    || self.claims_capacity(ordered.as_ref()) => {}
            AdmissionVerdict::Go | AdmissionVerdict::Wait => {
                if let Some(placement) = &ordered {
                    gateway.prompt_waits.queue().wait(&context.service, placement, gateway.now());
                }
                self.yields += u32::from(has_room && verdict == AdmissionVerdict::Wait);
                return Some(PlaceResult::Wait);
            }
            AdmissionVerdict::Refuse(base_millis) => {
                let is_ordered = ordered.is_some();
                self.log_few_candidates(&request, choice.candidates);
                self.choice = Some(Arc::new(choice));
                return Some(PlaceResult::Late(self.retry_delay(is_ordered, base_millis)));
            }
        }
        let is_ordered = ordered.is_some();
        self.occupy(choice, &shares, is_ordered)
    }

    /// Returns the endpoint versions that the request may use, in the order of preference, and whether all VMs know
    /// them.
    fn usable_versions(&mut self) -> (Vec<VersionSplit>, bool) {
        let gateway = &self.gateway;
        if let Some(origin) = self.origin {
            return (vec![VersionSplit::Began(origin.software)], true);
        }
        let service = &self.context.service;
        // A second send is no canary: it would be another request to a version that may be bad.
        let mut draw = if self.tried.is_empty() { self.canary_draw } else { CanaryDraw::NONE };
        let splits = gateway.version_splits(service, &mut draw);
        self.canary_draw.has_slack |= draw.has_slack;
        // Its caller may take the stream up at a VM that does not know a new version yet.
        let is_settled = !self.context.route.resumable || gateway.settle_software(service);
        if is_settled {
            return (splits, true);
        }
        (splits.into_iter().map(|split| VersionSplit::Settled(Box::new(split))).collect(), false)
    }

    /// Reserves the capacity of the chosen endpoint for the request; none if the endpoint is gone.
    fn occupy(
        &mut self,
        choice: PlacementChoice,
        shares: &ShareView<'_>,
        is_ordered: bool,
    ) -> Option<PlaceResult> {
        let gateway = Arc::clone(&self.gateway);
        let context = &self.context;
        let transfers: Vec<_> = choice.transfers.store_transfers(&context.segments).collect();
        let (endpoint, address, software) = {
            let mut table = gateway.table();
            let is_limited = table.takes_few_requests(choice.key, gateway.now());
            if !table.consume_share(choice.key, shares, gateway.now()) {
                return Some(PlaceResult::WaitForShare(gateway.now()));
            }
            if is_limited {
                gateway.quota_queue.queue().record_served(&context.service, &self.queue_entry, gateway.now());
            }
            table.reserve(choice.key, choice.load, &context.segments, choice.salt_digest);
            let row = table.row(choice.key)?;
            let (id, address) = (row.entry.id.clone(), row.entry.address);
            let (data_centre, software) = (row.entry.data_centre.clone(), Arc::clone(&row.entry.version));
            for (store, tokens) in &transfers {
                if let Some(row) = table.store_mut(*store) {
                    row.begin_transfer(*tokens, &data_centre, gateway.now());
                }
            }
            (id, address, software)
        };
        if is_ordered {
            let (service, tokens) = (&context.service, choice.load.memory_tokens);
            let mut queue = gateway.prompt_waits.queue();
            queue.record_served(service, &self.queue_entry, tokens, gateway.now());
            if self.waits_for_capacity {
                gateway.metrics.prompts.record_wait(context.priority, self.waited_micros);
            }
        }
        gateway.record_placement(PlacementMessage::new(&choice, &context.segments));
        gateway
            .metrics
            .kept_tokens
            .inc_by(choice.transfers.cached_tokens + choice.transfers.transferred_tokens);
        let mut flight =
            SendFlight::new(&gateway, &choice, SendTarget { endpoint, address, software }, transfers);
        flight.versioned = self.versioned(choice.key);
        self.tried.push(choice.key);
        self.endpoint.clone_from(&flight.endpoint);
        Some(PlaceResult::Placed(Box::new(choice), Box::new(flight)))
    }

    /// Logs why a request that is refused had few candidates.
    fn log_few_candidates(&self, request: &PlacementRequest<'_>, candidates: u32) {
        let blocked = self.gateway.table().count_blocked(request, self.gateway.now());
        if blocked.is_mostly_blocked() {
            log::info!(request = self.context.id_text(), service = request.service, candidates, blocked:%;
                "request.crowded");
        }
    }

    /// Returns what to record of the endpoint's version during a rollout of its service.
    fn versioned(&self, key: EndpointKey) -> Option<VersionedSend> {
        let (gateway, service) = (&self.gateway, &self.context.service);
        let target = gateway.rollout_target(service)?;
        let table = gateway.table();
        let route = short_digest(&self.context.route.name);
        Some(VersionedSend::new(service, route, &target, table.row(key)?, gateway.now()))
    }

    /// Whether no other waiting request precedes this one at the chosen endpoint.
    fn is_next_for(&self, choice: &PlacementChoice) -> bool {
        let gateway = &self.gateway;
        let now = gateway.now();
        !gateway.table().takes_few_requests(choice.key, now)
            || gateway.quota_queue.queue().is_next_in_queue(&self.context.service, &self.queue_entry, now)
    }

    /// Queues or refuses a request that no endpoint takes now; none if there is no endpoint.
    fn queue_or_refuse(&self, request: &PlacementRequest<'_>) -> Option<PlaceResult> {
        let gateway = &self.gateway;
        let now = gateway.now();
        let capacity = gateway.table().share_capacity(request, now);
        let Some(capacity) = capacity else {
            let blocked = gateway.table().count_blocked(request, now);
            log::info!(request = self.context.id_text(), service = request.service, blocked:%;
                "request.unplaced");
            return None;
        };
        let verdict = gateway.quota_queue.queue().admit(request.service, &self.queue_entry, &capacity, now);
        Some(match verdict {
            ShareVerdict::Wait(next_at) => PlaceResult::WaitForShare(next_at),
            ShareVerdict::Refuse(return_delay_millis) => {
                let blocked = gateway.table().count_blocked(request, now);
                log::info!(request = self.context.id_text(), service = request.service, blocked:%,
                    own_per_s = capacity.own_per_s, all_per_s = capacity.all_per_s,
                    back_ms = return_delay_millis; "request.limited");
                PlaceResult::Limited(return_delay_millis, gateway.table().share_holders(request, now))
            }
        })
    }

    /// Returns the exchange of a request with its endpoint.
    fn exchange(&self, flight: &SendFlight, request: Request<OutgoingBody>) -> ExchangeFuture {
        let gateway = Arc::clone(&self.gateway);
        let (key, address) = (flight.key, flight.address);
        Box::pin(async move {
            let may_connect = || gateway.path.borrow().opens_connections();
            let may_send = || gateway.takes_requests(key);
            gateway.pool.exchange(key, address, request, may_connect, may_send).await
        })
    }

    /// Returns when a send must have begun, since its engine's weights become overdue. Its expected start is
    /// only an estimate.
    pub(crate) fn start_deadline(&self, send: &OpenSend) -> Moment {
        let SendRoute::Endpoint { choice, .. } = &send.route else { return Moment::NEVER };
        let (Some(model), true) = (self.context.model.as_deref(), send.awaits_head()) else {
            return Moment::NEVER;
        };
        let version = choice.version.unwrap_or(UNKNOWN_VERSION);
        let Some(required) = self.gateway.required_weights(model) else { return Moment::NEVER };
        match required.start_deadline(version) {
            Moment::NEVER => Moment::NEVER,
            last => Moment(last.0.saturating_sub(CANCELLATION_MARGIN_MILLIS * MICROS_PER_MILLI)),
        }
    }

    /// Classifies a send without an answer.
    pub(crate) fn classify_failure(&mut self, error: ExchangeError, flight: &SendFlight) -> HeadVerdict {
        let endpoint = flight.endpoint.as_str();
        match error {
            ExchangeError::NotSent(cause) => {
                flight.record_outcome(SendOutcome::Unreached);
                log::warn!(request = self.context.id_text(), endpoint, cause = cause.as_str();
                    "endpoint.unreached");
                HeadVerdict::NotSent
            }
            ExchangeError::Withdrawn => {
                log::info!(request = self.context.id_text(), endpoint; "send.withdrawn");
                HeadVerdict::NotSent
            }
            ExchangeError::Lost(cause, side) => {
                flight.record_outcome(SendOutcome::Broken);
                self.record_broken(flight);
                self.may_have_run = true;
                log::warn!(request = self.context.id_text(), endpoint, cause = cause.as_str(),
                    ended_by = side.map_or("", EndSide::name); "endpoint.broke");
                HeadVerdict::Lost("broken")
            }
        }
    }

    /// Records that an endpoint is gone for good: another one has its address.
    fn record_replaced(&self, flight: &SendFlight) {
        log::info!(request = self.context.id_text(), endpoint = flight.endpoint.as_str(),
            source = "its address", served_ms = 0; "endpoint.missing");
        self.gateway.table().mark_key_missing(flight.key, Moment(0));
    }

    /// Classifies an answer's head: whether it answers this request, and whether the endpoint ran it.
    pub(crate) fn classify(
        &mut self,
        answer: Response<Incoming>,
        facts: &AnswerFacts,
        flight: &SendFlight,
    ) -> HeadVerdict {
        let (head, body) = answer.into_parts();
        let origin = facts.origin(&flight.endpoint, &self.context.id);
        if origin == AnswerOrigin::Addressed {
            let source =
                AnswerSource { key: flight.key, request: self.context.id_text(), sent_at: flight.sent_at };
            self.gateway.observe_answer(&source, facts);
            if let (Some(model), Some(version)) = (&self.context.model, facts.weights.value()) {
                self.gateway.observe_weights(&source, model, version);
            }
        }
        // A surplus refusal belongs to an earlier request: the endpoint may be running this one.
        if facts.is_refusal() && origin != AnswerOrigin::OtherRequest {
            if head.status == StatusCode::MISDIRECTED_REQUEST && origin == AnswerOrigin::OtherEndpoint {
                self.record_replaced(flight);
                return HeadVerdict::Replaced;
            }
            flight.record_refusal(facts.rest_millis.value());
            if head.status == StatusCode::MISDIRECTED_REQUEST {
                self.gateway.table().revert_weights(flight.key);
            }
            log::info!(request = self.context.id_text(), endpoint = flight.endpoint.as_str(),
                status = head.status.as_u16(); "endpoint.refused");
            return HeadVerdict::Refused;
        }
        self.may_have_run = true;
        if facts.request_id.as_ref() != Some(&self.context.id) {
            // This request's answer may still follow, but cannot be distinguished from more surplus ones.
            flight.record_outcome(SendOutcome::Failed);
            return HeadVerdict::Lost("an answer to another request");
        }
        if head.status.is_success() && !facts.is_signed {
            log::warn!(request = self.context.id_text(), endpoint = flight.endpoint.as_str(),
                status = head.status.as_u16(); "answer.unsigned");
            flight.record_outcome(SendOutcome::Failed);
            return HeadVerdict::Lost("an answer without its endpoint's signature");
        }
        HeadVerdict::Answer(Box::new(head), body)
    }
}

impl Gateway {
    /// Whether an endpoint still takes requests.
    fn takes_requests(&self, key: EndpointKey) -> bool {
        let (table, now) = (self.table(), self.now());
        table.row(key).is_none_or(|row| !row.has_announced_departure() && !row.backoff.is_backing_off(now))
    }
}
