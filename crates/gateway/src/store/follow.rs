//! Follows the platform's store.
//!
//! Invariant: the changes that a VM has applied are complete up to one position. A position is an era of the
//! store (the count of its restorations from a backup) and a revision within it.
//!
//! Calls to the store are priced, so one VM of a data centre watches it and propagates the changes to the
//! others. There is no election: each VM waits for updates for a time that grows with its leader rank, and
//! polls the store itself when that time is over. The leader's time is zero. If it becomes unreachable or
//! loses the store, the time of the next VM by rank runs out first, and its answers serve as updates for
//! those behind it.

use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::peers::peer_message::PeerKey;
use crate::store::call_link::{CallAnswer, CallLink, CallReply};
use crate::store::fetch_snapshot;
use crate::store::store_updates::{StoreUpdates, UpdateBody};
use crate::store::store_view::{OrdersView, PEER_KEY_KEY, StoreListing, StoreView};
use crate::store::update_propagator::{StoreChanges, UpdatePropagator};
use crate::{
    ReassemblyProgress, StoreEvent, StorePosition, StoreRefusal, StoreReply, StoreTransaction, UpdateHistory,
    UpdateReassembly, VmKey, WireCall,
};
use spanfold_entity::Moment;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Long poll of a watch, in milliseconds; each watch is priced. Together with the delay after a change and
/// the fallback poll delay of the next VM, a change is in force within 2 s (the shortest bound that users
/// require) even if the leader is cut off without a message.
const WATCH_LONG_POLL_MILLIS: u64 = 900;
/// Timeout for the head of a watch's answer, counted from the end of its long poll.
const WATCH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the head of a listing's answer.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Pages that each VM lists itself before it requests a snapshot. The endpoints of a small deployment fit
/// into them and need no other VM.
const MAX_DIRECT_PAGES: usize = 1;
/// VMs that start together have recorded one another after this long, in milliseconds: each writes its entry
/// first.
const STARTUP_DELAY_MILLIS: u64 = 1_000;
/// Delay after a watch that returned changes, in milliseconds: the next call then returns a burst of them.
const CHANGE_BATCH_DELAY_MILLIS: u64 = 150;
/// Delay after the first failed call, in milliseconds; doubled with each further one.
const FIRST_RETRY_DELAY_MILLIS: u64 = 100;
/// Longest delay after failed calls, in milliseconds.
const MAX_RETRY_DELAY_MILLIS: u64 = 800;
/// Consecutive failed calls that count as an outage of the store.
const MIN_OUTAGE_FAILURES: u32 = 2;
/// Without an update for this long, in milliseconds, the VM behind the leader polls the store itself: a
/// watch, the delay after it, and the time of a lost datagram.
const FALLBACK_POLL_DELAY_MILLIS: u64 = 1_300;
/// Further delay for each leader rank, in milliseconds. A call and the propagation of its result take less.
const FALLBACK_POLL_STEP_MILLIS: u64 = 100;
/// A VM that lacks changes polls the store if no other VM sent them for this long, in milliseconds: several
/// round trips between VMs.
const CATCH_UP_DELAY_MILLIS: u64 = 150;
/// In a data centre with more local VMs than this, several miss the same change at once, and the VM that sent
/// it answers them one after the other. Each VM beyond the number adds the step to the catch-up delay.
const CATCH_UP_BASE_VMS: usize = 30;
const CATCH_UP_STEP_MILLIS: u64 = 3;
/// Upper bound on the interval that a sender states until its next fragment, in microseconds.
const MAX_FRAGMENT_INTERVAL_MICROS: u64 = 800_000;
/// A VM that still lacks changes requests them again from a VM whose update arrives later than this, in
/// milliseconds.
const REQUEST_RETRY_DELAY_MILLIS: u64 = 100;
/// Changes that are lacking for this long, in milliseconds, are logged; they should have been fetched by
/// then.
const LAG_LOG_DELAY_MILLIS: u64 = 1_000;
/// The leader may change at any moment: this VM checks its own leader rank again after this long, in
/// milliseconds.
const ROLE_POLL_INTERVAL_MILLIS: u64 = 100;

/// Message of another VM about the store.
#[derive(Debug)]
pub(crate) enum StoreMessage {
    /// Changes.
    Updates(StoreUpdates),
    /// Request for the changes after this position.
    Request(StorePosition),
}

/// A message about the store, with its sender.
pub(crate) type ReceivedUpdate = (VmKey, StoreMessage);

/// Follows the store until the process ends.
pub(crate) async fn follow_store(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    orders: watch::Sender<OrdersView>,
    mut received: mpsc::Receiver<ReceivedUpdate>,
) {
    let view = StoreView::new(Arc::clone(&gateway), orders);
    let mut follower = StoreFollower {
        link: CallLink::new(gateway.settings.store),
        propagator: UpdatePropagator::new(Arc::clone(&gateway), socket),
        view,
        position: StorePosition::default(),
        confirmed_at: Moment(0),
        backoff_until: Moment(0),
        behind_since: None,
        lagging_since: None,
        newest_position: StorePosition::default(),
        history: UpdateHistory::default(),
        reassembly: UpdateReassembly::default(),
        is_polling: false,
        has_used_snapshot: false,
        started_at: gateway.now(),
        watch_count: 0,
        failures: 0,
        gateway,
    };
    loop {
        if follower.list_all().await {
            while follower.step(&mut received).await {}
        } else {
            follower.gateway.wait_until(follower.backoff_until).await;
        }
    }
}

/// Progress of a listing.
#[derive(Debug, Default)]
struct ListingProgress {
    /// The last key that was listed.
    last_key: Option<String>,
    is_complete: bool,
    /// The lowest position of the listing's pages: it contains all changes up to there.
    lowest_position: Option<StorePosition>,
    listing: StoreListing,
}

impl ListingProgress {
    fn record_page(&mut self, position: StorePosition) {
        self.lowest_position = Some(self.lowest_position.map_or(position, |lowest| lowest.min(position)));
    }

    /// Whether the last key has `prefix`, so that more such keys may follow.
    fn is_within(&self, prefix: &str) -> bool {
        self.last_key.as_ref().is_some_and(|key| key.starts_with(prefix))
    }
}

/// Returns the first text after all keys with `prefix`, which ends with a slash.
fn prefix_end(prefix: &str) -> String {
    format!("{}0", prefix.trim_end_matches('/'))
}

struct StoreFollower {
    gateway: Arc<Gateway>,
    propagator: UpdatePropagator,
    link: CallLink,
    view: StoreView,
    /// All changes up to here are applied.
    position: StorePosition,
    /// When the store last confirmed `position`, directly or through another VM.
    confirmed_at: Moment,
    /// No call before then.
    backoff_until: Moment,
    /// Since when other VMs have reported a position whose changes this VM lacks.
    behind_since: Option<Moment>,
    /// Since when reported changes have been lacking; [`Moment::NEVER`] once that was logged.
    lagging_since: Option<Moment>,
    /// Newest position that the store or another VM reported.
    newest_position: StorePosition,
    /// Changes that were applied recently.
    history: UpdateHistory,
    /// Received fragments of updates.
    reassembly: UpdateReassembly,
    /// Whether this VM polls the store for its data centre. A VM behind the leader does so once it gets no
    /// update from the VMs before it.
    is_polling: bool,
    /// Whether the last listing used a snapshot from another VM.
    has_used_snapshot: bool,
    /// When this process began to follow the store.
    started_at: Moment,
    /// Number of watches that were answered.
    watch_count: usize,
    failures: u32,
}

impl StoreFollower {
    /// Applies a received message or, when it is due, polls the store once; false if everything must be
    /// listed again.
    async fn step(&mut self, received: &mut mpsc::Receiver<ReceivedUpdate>) -> bool {
        let now = self.gateway.now();
        if self.gateway.era.known().is_some_and(|era| era > self.position.era) {
            log::warn!(position:% = self.position; "watch.relist");
            return false;
        }
        self.log_lag(now);
        let poll_at = self.next_poll_at(now);
        tokio::select! {
            biased;
            Some(message) = received.recv() => {
                self.apply_message(message).await;
                true
            }
            () = self.gateway.wait_until(poll_at.min(now.after_millis(ROLE_POLL_INTERVAL_MILLIS))) => {
                if now < poll_at { true } else { self.watch_once(received).await }
            }
        }
    }

    /// Handles a message of another VM.
    async fn apply_message(&mut self, (vm, message): ReceivedUpdate) {
        match message {
            StoreMessage::Updates(update) => self.apply_updates(vm, &update).await,
            StoreMessage::Request(position) => self.answer_request(vm, position),
        }
    }

    /// Returns when this VM polls the store itself.
    fn next_poll_at(&self, now: Moment) -> Moment {
        let leader_rank = self.gateway.peers().expected_leader_rank(now) as u64;
        let poll_at = if leader_rank == 0 || self.is_polling || self.gateway.is_stale() {
            Moment(0)
        } else {
            self.confirmed_at
                .after_millis(FALLBACK_POLL_DELAY_MILLIS + FALLBACK_POLL_STEP_MILLIS * leader_rank)
        };
        let catch_up = self.behind_since.map_or(Moment::NEVER, |since| {
            let excess_vms = self.gateway.peers().local_peer_count().saturating_sub(CATCH_UP_BASE_VMS) as u64;
            since.after_millis(CATCH_UP_DELAY_MILLIS + CATCH_UP_STEP_MILLIS * excess_vms)
        });
        poll_at.min(catch_up).max(self.backoff_until)
    }

    /// Applies an update that another VM of this data centre got from the store.
    async fn apply_updates(&mut self, vm: VmKey, update: &StoreUpdates) {
        let now = self.gateway.now();
        if update.to.era != self.position.era {
            // An update of a past era changes nothing; one of a new era causes a new listing.
            self.gateway.record_era(update.to.era, "peer");
            return;
        }
        if let Some(micros) = update.trouble_micros {
            self.gateway.record_store_failure(Moment(now.0.saturating_sub(micros)));
        }
        self.record_newest_position(update.to);
        if update.to > self.position && !self.apply_changes(vm, update, now).await {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Moment(now.0.saturating_sub(update.age_micros)));
        self.gateway.list_membership().record_list_confirmation(self.confirmed_at);
        if self.is_polling && self.gateway.peers().precedes_as_leader(vm) {
            self.is_polling = false;
            log::info!(teller = vm.0, position:% = self.position; "watch.ceased");
        }
    }

    /// Applies another VM's changes; false if some are lacking and it isn't about to send them.
    async fn apply_changes(&mut self, vm: VmKey, update: &StoreUpdates, now: Moment) -> bool {
        if update.from > self.position {
            if self.behind_since.is_none_or(|since| now >= since.after_millis(REQUEST_RETRY_DELAY_MILLIS)) {
                self.propagator.request_updates(vm, self.position).await;
            }
            self.behind_since.get_or_insert(now);
            return false;
        }
        let progress = match &update.body {
            UpdateBody::Unchanged => ReassemblyProgress::Whole(Vec::new()),
            UpdateBody::Piece(fragment) => self.reassembly.add_fragment(vm, update.from, update.to, fragment),
            UpdateBody::TooLarge => ReassemblyProgress::Unreadable,
        };
        match progress {
            ReassemblyProgress::Whole(events) => {
                self.view.apply_all(&events, "peer");
                self.history.push(self.position, update.to, &events, now);
                self.set_position(update.to);
                self.behind_since = None;
                true
            }
            // The store is polled only if the next fragment doesn't arrive in time.
            ReassemblyProgress::Partial => {
                let interval_micros = update.pause_micros.min(MAX_FRAGMENT_INTERVAL_MICROS);
                self.behind_since = Some(now.after_micros(interval_micros));
                true
            }
            ReassemblyProgress::Unreadable => {
                self.behind_since.get_or_insert(now);
                false
            }
        }
    }

    /// Sends another VM the changes that it lacks, if the history has them.
    fn answer_request(&mut self, vm: VmKey, from: StorePosition) {
        let Some((to, mut events)) = self.history.since(from) else { return };
        events.retain(|event| !self.view.is_superseded(event));
        if !self.propagator.may_answer(vm, events.iter().map(StoreEvent::size).sum()) {
            return;
        }
        let age_micros = self.gateway.now().micros_since(self.confirmed_at);
        self.propagator.answer(vm, StoreChanges { from, to, events, age_micros });
    }

    /// Records that this VM polls the store for its data centre from now on.
    fn record_polling(&mut self) {
        if !self.is_polling {
            self.is_polling = true;
            let leader_rank = self.gateway.peers().expected_leader_rank(self.gateway.now());
            log::info!(place = leader_rank, position:% = self.position; "watch.begun");
        }
    }

    /// Lists the whole store; false if a call failed, or the store was restored meanwhile.
    async fn list_all(&mut self) -> bool {
        let mut listing_progress =
            ListingProgress { listing: self.view.begin_listing(), ..ListingProgress::default() };
        // A snapshot may be too old for a watch to continue from it; the listing that follows then uses none.
        let mut may_use_snapshot = !std::mem::take(&mut self.has_used_snapshot);
        for page_count in 1.. {
            if !self.list_page(&mut listing_progress).await {
                return false;
            }
            if listing_progress.is_complete {
                break;
            }
            if may_use_snapshot
                && page_count >= MAX_DIRECT_PAGES
                && listing_progress.is_within(self.gateway.dialect.keys.endpoints)
            {
                may_use_snapshot = false;
                if !self.list_with_snapshot(&mut listing_progress).await {
                    return false;
                }
                if listing_progress.is_complete {
                    break;
                }
            }
        }
        let lowest_position = listing_progress.lowest_position.unwrap_or_default();
        self.view.finish_listing(listing_progress.listing, lowest_position);
        self.record_confirmed(lowest_position);
        true
    }

    /// Lists the keys after the endpoints, and takes the endpoints from another VM's snapshot. Without a
    /// snapshot the listing continues among the endpoints.
    async fn list_with_snapshot(&mut self, listing_progress: &mut ListingProgress) -> bool {
        // A VM that starts together with others has recorded the sources of snapshots only after a while.
        self.gateway.wait_until(self.started_at.after_millis(STARTUP_DELAY_MILLIS)).await;
        let resume_key = listing_progress.last_key.replace(prefix_end(self.gateway.dialect.keys.endpoints));
        while !listing_progress.is_complete {
            if !self.list_page(listing_progress).await {
                return false;
            }
        }
        if let Some(snapshot) = fetch_snapshot(&self.gateway).await {
            listing_progress.record_page(snapshot.position);
            self.view.apply_snapshot(snapshot);
            self.has_used_snapshot = true;
        } else {
            (listing_progress.last_key, listing_progress.is_complete) = (resume_key, false);
        }
        true
    }

    /// Lists one page and applies it.
    async fn list_page(&mut self, listing_progress: &mut ListingProgress) -> bool {
        let call = (self.gateway.dialect.store.range)("", listing_progress.last_key.as_deref());
        let decoder = self.gateway.dialect.store.decode_range;
        let Some(Ok(page)) = self.call("list", &call, Instant::now() + LIST_TIMEOUT, decoder).await else {
            return false;
        };
        if listing_progress.lowest_position.is_some_and(|lowest| lowest.era != page.position.era) {
            return false;
        }
        listing_progress.record_page(page.position);
        listing_progress.last_key =
            page.items.last().map(|item| item.key.clone()).or(listing_progress.last_key.take());
        listing_progress.is_complete = !page.has_more;
        self.view.apply_page(page.items, &mut listing_progress.listing);
        true
    }

    /// Polls the store for changes once; false if everything must be listed again.
    async fn watch_once(&mut self, received: &mut mpsc::Receiver<ReceivedUpdate>) -> bool {
        // A VM that only catches up makes no long poll: updates still arrive from another VM.
        let is_regular_poll =
            self.gateway.peers().expected_leader_rank(self.gateway.now()) == 0 || self.behind_since.is_none();
        // Nor does a VM that was suspended: requests wait for the answer.
        let long_poll_millis =
            if is_regular_poll && !self.gateway.is_stale() { WATCH_LONG_POLL_MILLIS } else { 0 };
        let from = self.position;
        let call = (self.gateway.dialect.store.watch)("", from, long_poll_millis);
        let deadline = Instant::now() + Duration::from_millis(long_poll_millis) + WATCH_RESPONSE_TIMEOUT;
        let decoder = self.gateway.dialect.store.decode_watch;
        if is_regular_poll {
            self.record_polling();
        }
        let Some(answer) = self.call_while_receiving(&call, deadline, received).await else { return true };
        let page = match self.classify("watch", answer, decoder) {
            None => return true,
            Some(Ok(page)) if page.position.era != self.position.era => {
                log::warn!(cause = "the store was restored from a copy", position:% = from; "watch.relist");
                return false;
            }
            Some(Ok(page)) => page,
            Some(Err(error)) => {
                log::warn!(cause:% = error, position:% = from; "watch.relist");
                return false;
            }
        };
        // Updates from other VMs may have reached this position or a later one meanwhile.
        let from = self.position;
        let mut events: Vec<_> = page.events.into_iter().filter(|event| event.position() > from).collect();
        self.view.apply_all(&events, "watch");
        self.record_confirmed(page.position.max(from));
        self.history.push(from, self.position, &events, self.confirmed_at);
        if !events.is_empty() {
            self.backoff_until = self.gateway.now().after_millis(CHANGE_BATCH_DELAY_MILLIS);
        }
        // A VM that only caught up, or that meanwhile got an update from one preceding it as a leader,
        // propagates nothing again.
        if is_regular_poll && self.is_polling {
            events.retain(|event| !self.view.is_superseded(event));
            let changes = StoreChanges { from, to: self.position, events, age_micros: 0 };
            self.propagator.propagate_locally(&changes).await;
        }
        self.offer_peer_key().await;
        self.watch_count += 1;
        true
    }

    /// Calls the store while handling other VMs' messages; none if these brought the lacking changes.
    async fn call_while_receiving(
        &mut self,
        call: &WireCall,
        deadline: Instant,
        received: &mut mpsc::Receiver<ReceivedUpdate>,
    ) -> Option<CallAnswer> {
        self.gateway.metrics.store_calls.get_or_create(&KindLabel::new("watch")).inc();
        let mut link = std::mem::replace(&mut self.link, CallLink::new(self.gateway.settings.store));
        let answer = {
            let mut was_behind = self.behind_since.is_some();
            let mut exchange = pin!(link.call_large(call, deadline));
            loop {
                tokio::select! {
                    answer = &mut exchange => break answer,
                    Some(message) = received.recv() => self.apply_message(message).await,
                    // A call made before a suspension is made again: its answer may be lost long since.
                    () = self.gateway.clock_jumped.notified() => return None,
                }
                let is_behind = self.behind_since.is_some();
                if was_behind && !is_behind {
                    return None;
                }
                was_behind |= is_behind;
            }
        };
        self.link = link;
        Some(answer)
    }

    /// Records that all changes up to `position` are applied, as the store has just confirmed.
    fn record_confirmed(&mut self, position: StorePosition) {
        self.set_position(position);
        self.record_newest_position(position);
        self.confirmed_at = self.gateway.now();
        self.gateway.list_membership().record_list_confirmation(self.confirmed_at);
        self.behind_since = None;
        self.gateway.mark_current();
    }

    fn set_position(&mut self, position: StorePosition) {
        self.position = position;
        self.gateway.set_applied_position(position);
        self.reassembly.discard_up_to(position);
        self.gateway.metrics.store_revision.set(position.revision as i64);
    }

    /// Records that the store has reached `position`.
    fn record_newest_position(&mut self, position: StorePosition) {
        self.newest_position = self.newest_position.max(position);
        self.gateway.metrics.told_revision.set(self.newest_position.revision as i64);
    }

    /// Logs once that changes have been lacking for long.
    fn log_lag(&mut self, now: Moment) {
        if self.newest_position <= self.position {
            self.lagging_since = None;
            return;
        }
        let since = *self.lagging_since.get_or_insert(now);
        if now >= since.after_millis(LAG_LOG_DELAY_MILLIS) {
            let (position, newest) = (self.position, self.newest_position);
            log::warn!(position:%, told:% = newest, failures = self.failures; "changes.lacking");
            self.lagging_since = Some(Moment::NEVER);
        }
    }

    /// Writes a peer key if the store contains none. The first VMs of a deployment do so, and the first write
    /// wins. After the store was restored from a backup without the key, the VMs write the one that they
    /// have.
    ///
    /// VMs do so one after the other, in the order of their names, until a key is stored.
    async fn offer_peer_key(&mut self) {
        if self.view.contains_key(PEER_KEY_KEY) || self.gateway.peers().own_name_index() > self.watch_count {
            return;
        }
        let key = self.gateway.peer_key().unwrap_or_else(rand::random::<PeerKey>);
        let transaction = StoreTransaction {
            conditions: vec![(PEER_KEY_KEY.to_owned(), None)],
            writes: vec![(PEER_KEY_KEY.to_owned(), key.to_vec(), 0)],
            removals: Vec::new(),
        };
        let dialect = self.gateway.dialect.store;
        let deadline = Instant::now() + LIST_TIMEOUT;
        match self.call("write", &(dialect.transact)(&transaction), deadline, dialect.decode_transact).await {
            Some(Ok(position)) => log::info!(position:%; "peer_key.offered"),
            // Another VM was first, or nothing was done: the watch returns the key, or it is offered again.
            Some(Err(error)) => log::info!(cause:% = error; "peer_key.not_taken"),
            None => {}
        }
    }

    /// Makes a call and returns its decoded answer.
    async fn call<T>(
        &mut self,
        kind: &str,
        call: &WireCall,
        deadline: Instant,
        decoder: crate::StoreDecoder<T>,
    ) -> Option<Result<T, StoreRefusal>> {
        self.gateway.metrics.store_calls.get_or_create(&KindLabel::new(kind)).inc();
        let answer = self.link.call_large(call, deadline).await;
        self.classify(kind, answer, decoder)
    }

    /// Classifies an answer. None: the call failed, and a backoff follows. An error: the call must not be
    /// repeated as is.
    fn classify<T>(
        &mut self,
        kind: &str,
        answer: CallAnswer,
        decoder: crate::StoreDecoder<T>,
    ) -> Option<Result<T, StoreRefusal>> {
        let cause = match answer {
            Ok(reply) => match self.decode(&reply, decoder) {
                None => "an answer of an era that is over".to_owned(),
                Some(Err(StoreRefusal::NotDone(status))) => format!("status {status}"),
                Some(Err(error)) => return Some(Err(error)),
                Some(Ok(value)) => {
                    self.record_answer();
                    return Some(Ok(value));
                }
            },
            Err(error) => error.to_string(),
        };
        self.failures += 1;
        let now = self.gateway.now();
        self.gateway.record_store_failure(now);
        if self.failures == MIN_OUTAGE_FAILURES {
            log::warn!(dependency = "store", call = kind, cause = cause.as_str(); "dependency.lost");
        }
        let delay_millis = FIRST_RETRY_DELAY_MILLIS << self.failures.min(4);
        self.backoff_until = now.after_millis(delay_millis.min(MAX_RETRY_DELAY_MILLIS));
        None
    }

    /// Decodes an answer; none if its era is past.
    fn decode<T>(
        &self,
        reply: &CallReply,
        decoder: crate::StoreDecoder<T>,
    ) -> Option<Result<T, StoreRefusal>> {
        let era = self.gateway.checked_era(&reply.headers)?;
        Some(decoder(&StoreReply { status: reply.status, era, body: &reply.body }))
    }

    fn record_answer(&mut self) {
        if self.failures >= MIN_OUTAGE_FAILURES {
            self.gateway.record_store_failure(self.gateway.now());
            log::info!(dependency = "store", failures = self.failures; "dependency.regained");
        }
        self.failures = 0;
    }
}
