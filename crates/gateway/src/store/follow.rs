//! Follows the platform's store.
//!
//! Invariant: the changes that a VM has applied are complete up to one position. A position is an era of the
//! store (the count of its restorations from a backup) and a revision within it.
//!
//! Calls to the store are priced, so one VM of a data centre watches it and propagates the changes to the
//! others. There is no election: each VM waits for updates for a time that grows with its turn, and polls the
//! store itself when that time is over. The leader's turn is the first, and its time is zero. If it becomes
//! unreachable or loses the store, the time of the next VM by turn runs out first, and its answers serve as
//! updates for those behind it.
//!
//! A VM that misses updates does not wait for its turn: each digest of another VM states up to which position
//! that one has applied all changes, and a VM that is behind requests them from one that has them.

use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::orders::publication_task::to_json;
use crate::peers::peer_message::PeerKey;
use crate::store::call_link::{CallAnswer, CallLink, CallReply};
use crate::store::fetch_snapshot;
use crate::store::store_updates::{StoreUpdates, UpdateBody};
use crate::store::store_view::{OrdersView, PEER_KEY_KEY, StoreListing, StoreView};
use crate::store::update_propagator::{StoreChanges, UpdatePropagator};
use crate::streams::software_task::COMPLETE_KEY;
use crate::{
    CatchUpSchedule, ContactSource, PollDuty, ReassemblyProgress, RequestCount, StoreEvent, StorePosition,
    StoreRefusal, StoreReply, StoreTransaction, UpdateHistory, UpdateReassembly, VmKey, WireCall,
};
use spanfold_entity::Moment;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
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
/// Consecutive failed calls that count as an outage of the store.
const MIN_OUTAGE_FAILURES: u32 = 2;
/// Upper bound on the interval that a sender states until its next fragment, in microseconds.
const MAX_FRAGMENT_INTERVAL_MICROS: u64 = 800_000;
/// Changes that are lacking for this long, in milliseconds, are logged; they should have been fetched by
/// then.
const LAG_LOG_DELAY_MILLIS: u64 = 1_000;
/// The leader may change at any moment: this VM checks its own leader rank again after this long, in
/// milliseconds.
const ROLE_POLL_INTERVAL_MILLIS: u64 = 100;
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(ROLE_POLL_INTERVAL_MILLIS);

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
        duty: PollDuty::default(),
        catch_up: CatchUpSchedule::default(),
        lagging_since: None,
        newest_position: StorePosition::default(),
        history: UpdateHistory::default(),
        requests: RequestCount::default(),
        reassembly: UpdateReassembly::default(),
        has_used_snapshot: false,
        started_at: gateway.now(),
        watch_count: 0,
        gateway,
    };
    loop {
        if follower.list_all().await {
            while follower.step(&mut received).await {}
        } else {
            follower.gateway.wait_until(follower.duty.backoff_until()).await;
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
    /// When this VM polls the store for its data centre.
    duty: PollDuty,
    /// When it requests changes that it lacks.
    catch_up: CatchUpSchedule,
    /// Since when reported changes have been lacking; [`Moment::NEVER`] once that was logged.
    lagging_since: Option<Moment>,
    /// Newest position that the store or another VM reported.
    newest_position: StorePosition,
    /// Changes that were applied recently.
    history: UpdateHistory,
    /// VMs that requested changes of this VM.
    requests: RequestCount,
    /// Received fragments of updates.
    reassembly: UpdateReassembly,
    /// Whether the last listing used a snapshot from another VM.
    has_used_snapshot: bool,
    /// When this process began to follow the store.
    started_at: Moment,
    /// Number of watches that were answered.
    watch_count: usize,
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
        self.request_lacking(now).await;
        self.log_lag(now);
        let poll_at = self.next_poll_at(now);
        let role_poll_at = now.after_millis(ROLE_POLL_INTERVAL_MILLIS);
        tokio::select! {
            biased;
            Some(message) = received.recv() => {
                self.apply_message(message).await;
                true
            }
            () = self.gateway.wait_until(poll_at.min(self.catch_up.request_at()).min(role_poll_at)) => {
                if now < poll_at { true } else { self.watch_once(received).await }
            }
        }
    }

    /// Handles a message of another VM.
    async fn apply_message(&mut self, (vm, message): ReceivedUpdate) {
        match message {
            StoreMessage::Updates(update) => self.apply_updates(vm, &update).await,
            StoreMessage::Request(position) => self.answer_request(vm, position).await,
        }
    }

    /// Returns when this VM polls the store itself.
    fn next_poll_at(&self, now: Moment) -> Moment {
        let poll_at = if self.gateway.is_stale() {
            Moment(0)
        } else {
            let peers = self.gateway.peers();
            self.duty.next_poll_at(peers.poll_turn(now), peers.local_peer_count() + 1)
        };
        poll_at.min(self.catch_up.poll_at()).max(self.duty.backoff_until())
    }

    /// Whether this VM polls the store for its data centre now.
    fn polls_for_others(&self, now: Moment) -> bool {
        self.duty.is_polling() || self.gateway.peers().poll_turn(now) == 0
    }

    /// Requests changes from another VM if it reported some that this VM lacks.
    async fn request_lacking(&mut self, now: Moment) {
        self.gateway.hold_grace_periods();
        let polls_for_others = self.polls_for_others(now);
        let (local, remote) = {
            let peers = self.gateway.peers();
            (peers.newest_position(true, now), peers.newest_position(false, now))
        };
        let remote = Some(remote).filter(|_| polls_for_others);
        for reported in [Some(local), remote].into_iter().flatten() {
            if reported > self.position {
                self.record_newest_position(reported);
            }
        }
        self.catch_up.record_reported(self.position, (local, remote), now);
        if !self.catch_up.is_request_due(now) {
            return;
        }
        let is_local = local > self.position;
        let wanted = if is_local { local } else { remote.unwrap_or(local) };
        let source = self.gateway.peers().vm_at(is_local, wanted, rand::random(), now);
        if let Some(source) = source.filter(|_| wanted > self.position) {
            self.propagator.request_updates(source, self.position).await;
        }
        self.catch_up.record_request(now);
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
            let failed_at = Moment(now.0.saturating_sub(micros));
            self.gateway.record_store_failure(ContactSource::Indirect, failed_at);
        }
        // Before its changes: whether an entry expired in an outage depends on when the store answered.
        let answered_at = Moment(now.0.saturating_sub(update.age_micros));
        self.gateway.record_store_answer(ContactSource::Indirect, answered_at);
        self.record_newest_position(update.to);
        if update.to > self.position && !self.apply_changes(vm, update, now).await {
            return;
        }
        self.record_confirmation(answered_at);
        let precedes = self.gateway.peers().precedes_as_leader(vm);
        if self.duty.cease_for(precedes) {
            log::info!(teller = vm.0, position:% = self.position; "watch.ceased");
        }
    }

    /// Applies another VM's changes; false if some are lacking and it isn't about to send them.
    async fn apply_changes(&mut self, vm: VmKey, update: &StoreUpdates, now: Moment) -> bool {
        if update.from > self.position {
            self.catch_up.record_gap(now);
            if self.catch_up.is_request_due(now) {
                let source = self.gateway.peers().vm_at(true, update.from, rand::random(), now);
                self.propagator.request_updates(source.unwrap_or(vm), self.position).await;
                self.catch_up.record_request(now);
            }
            return false;
        }
        let progress = match &update.body {
            UpdateBody::Unchanged => ReassemblyProgress::Whole(Vec::new()),
            UpdateBody::Piece(fragment) => self.reassembly.add_fragment(vm, update.from, update.to, fragment),
            UpdateBody::TooLarge => ReassemblyProgress::Unreadable,
        };
        match progress {
            ReassemblyProgress::Whole(events) => {
                let from = self.position;
                self.view.apply_all(&events, "peer");
                self.history.push(from, update.to, &events, now);
                self.set_position(update.to);
                self.catch_up.record_caught_up();
                let is_local = self.gateway.peers().is_local(vm);
                if !is_local && self.polls_for_others(now) {
                    let changes = StoreChanges { from, to: update.to, events, age_micros: update.age_micros };
                    self.propagator.propagate_locally(&changes).await;
                }
                true
            }
            // The store is polled only if the next fragment doesn't arrive in time.
            ReassemblyProgress::Partial => {
                let interval_micros = update.pause_micros.min(MAX_FRAGMENT_INTERVAL_MICROS);
                self.catch_up.record_fragment(now.after_micros(interval_micros));
                true
            }
            ReassemblyProgress::Unreadable => {
                self.catch_up.record_unsendable(now);
                false
            }
        }
    }

    /// Sends another VM the changes that it lacks, if the history has them.
    ///
    /// If many VMs request changes at once, an update was lost on the way to all of them: it is propagated
    /// again.
    async fn answer_request(&mut self, vm: VmKey, from: StorePosition) {
        let now = self.gateway.now();
        let lost_from = self.requests.record(vm, from, now);
        let lost_from = lost_from.filter(|_| self.duty.is_polling());
        let Some((to, mut events)) = self.history.since(lost_from.unwrap_or(from)) else { return };
        events.retain(|event| !self.view.is_superseded(event));
        let age_micros = now.micros_since(self.duty.confirmed_at());
        if let Some(from) = lost_from {
            log::info!(position:% = from, to:%; "changes.repeated");
            self.propagator.propagate_locally(&StoreChanges { from, to, events, age_micros }).await;
            return;
        }
        if !self.propagator.may_answer(vm, events.iter().map(StoreEvent::size).sum()) {
            return;
        }
        self.propagator.answer(vm, StoreChanges { from, to, events, age_micros });
    }

    /// Records that this VM polls the store for its data centre from now on.
    fn record_polling(&mut self) {
        if self.duty.begin() {
            let turn = self.gateway.peers().poll_turn(self.gateway.now());
            log::info!(place = turn, position:% = self.position; "watch.begun");
        }
    }

    /// Lists the whole store; false if a call failed, or the store was restored meanwhile.
    async fn list_all(&mut self) -> bool {
        let before = self.position;
        let is_current = before != StorePosition::default() && self.gateway.era.known() == Some(before.era);
        let mut listing_progress =
            ListingProgress { listing: self.view.begin_listing(is_current), ..ListingProgress::default() };
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
        let events = self.view.finish_listing(listing_progress.listing, lowest_position);
        self.record_confirmed(lowest_position);
        let events = events.filter(|_| lowest_position.era == before.era && lowest_position > before);
        if let Some(events) = events {
            // The others of this data centre need not list the store too.
            self.history.push(before, lowest_position, &events, self.duty.confirmed_at());
            if self.polls_for_others(self.gateway.now()) {
                let changes = StoreChanges { from: before, to: lowest_position, events, age_micros: 0 };
                self.propagator.propagate_locally(&changes).await;
            }
        }
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
            self.view.apply_snapshot(snapshot, &mut listing_progress.listing);
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
            self.gateway.peers().poll_turn(self.gateway.now()) == 0 || !self.catch_up.is_behind();
        // Nor does a VM that takes over, so that the next ones learn of it before their turns come, nor one that
        // was suspended: requests wait for the answer.
        let is_long_poll = is_regular_poll && self.duty.may_wait() && !self.gateway.is_stale();
        let long_poll_millis = if is_long_poll { WATCH_LONG_POLL_MILLIS } else { 0 };
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
        self.history.push(from, self.position, &events, self.duty.confirmed_at());
        if !events.is_empty() {
            self.duty.back_off_until(self.gateway.now().after_millis(CHANGE_BATCH_DELAY_MILLIS));
        }
        // A VM that only caught up, or that meanwhile got an update from one preceding it as a leader,
        // propagates nothing again.
        if is_regular_poll && self.duty.is_polling() {
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
            let mut was_behind = self.catch_up.is_behind();
            let mut exchange = pin!(link.call_large(call, deadline));
            loop {
                tokio::select! {
                    answer = &mut exchange => break answer,
                    Some(message) = received.recv() => self.apply_message(message).await,
                    () = tokio::time::sleep(ROLE_POLL_INTERVAL) => {
                        self.request_lacking(self.gateway.now()).await;
                    }
                    // A call made before a suspension is made again: its answer may be lost long since.
                    () = self.gateway.clock_jumped.notified() => return None,
                }
                let is_behind = self.catch_up.is_behind();
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
        self.record_confirmation(self.gateway.now());
        self.catch_up.record_caught_up();
        self.gateway.mark_current();
    }

    /// Records that the store confirmed this VM's state at a moment.
    fn record_confirmation(&mut self, at: Moment) {
        self.duty.record_confirmation(at);
        let confirmed_at = self.duty.confirmed_at();
        self.view.confirmed_at = confirmed_at;
        self.gateway.list_membership().record_list_confirmation(confirmed_at);
        let age = Duration::from_micros(self.gateway.now().micros_since(confirmed_at));
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.gateway.metrics.store_confirmed_seconds.set(since_1970.saturating_sub(age).as_secs() as i64);
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
            log::warn!(position:%, told:% = newest, failures = self.duty.failures(); "changes.lacking");
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
        let known_key = self.gateway.peer_key();
        let key = known_key.unwrap_or_else(rand::random::<PeerKey>);
        let mut writes = vec![(PEER_KEY_KEY.to_owned(), key.to_vec(), 0)];
        if known_key.is_none() {
            // The deployment starts for the first time: no version has begun a stream.
            writes.push((COMPLETE_KEY.to_owned(), to_json(&true), 0));
        }
        let transaction = StoreTransaction {
            conditions: vec![(PEER_KEY_KEY.to_owned(), None)],
            writes,
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
        let now = self.gateway.now();
        self.duty.record_failure(now);
        self.gateway.record_store_failure(ContactSource::Own, now);
        if self.duty.failures() == MIN_OUTAGE_FAILURES {
            log::warn!(dependency = "store", call = kind, cause = cause.as_str(); "dependency.lost");
        }
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
        if self.duty.failures() >= MIN_OUTAGE_FAILURES {
            log::info!(dependency = "store", failures = self.duty.failures(); "dependency.regained");
        }
        self.duty.record_answer();
        self.gateway.record_store_answer(ContactSource::Own, self.gateway.now());
    }
}
