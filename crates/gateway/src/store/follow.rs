//! Follows the platform's store.
//!
//! Invariant: what a VM has applied is whole up to one position in the store's history.
//!
//! Calls to the store are priced, so one VM of a data centre watches it and tells the others. Nobody is
//! elected: each VM waits for news for a time that grows with its place among the leads, and asks
//! the store itself when that is over. The lead's time is zero; if it falls silent or is cut off from
//! the store, the next one's time runs out first, and its answers are news for those behind it.

use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::peers::peer_message::PeerKey;
use crate::store::call_link::{CallAnswer, CallLink, CallReply};
use crate::store::fetch_copy;
use crate::store::news_teller::{NewsTeller, ToldChanges};
use crate::store::store_news::{NewsBody, StoreNews};
use crate::store::store_view::{OrdersView, PEER_KEY_KEY, StoreListing, StoreView};
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

/// How long a watch waits for changes, in milliseconds; each is priced. With the pause after a change
/// and the turn of the next VM, a change is in force within 2 s (the shortest bound of the users'
/// sheets) although the lead is cut off without a word.
const WATCH_MILLIS: u64 = 900;
/// An answer to a watch that has not begun so long after its time is not waited for.
const WATCH_MARGIN: Duration = Duration::from_millis(500);
/// A listing whose answer has not begun by then has failed.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Pages that each VM lists for itself: the endpoints of small deployments fit into them, and need no other VM.
const PAGES_DIRECT: usize = 1;
/// VMs that start together know one another after so long, in milliseconds: each writes its entry first.
const SETTLE_MILLIS: u64 = 1_000;
/// Pause after a watch that brought changes, in milliseconds: one call then brings a burst of them.
const GATHER_MILLIS: u64 = 150;
/// First pause after a failed call, in milliseconds, doubled with each further one.
const RETRY_MILLIS: u64 = 100;
/// Longest pause after failed calls, in milliseconds.
const MAX_RETRY_DELAY_MILLIS: u64 = 800;
/// Failed calls in a row after which the store counts as having been away.
const AWAY_FAILURES: u32 = 2;
/// Without news for this long, in milliseconds, the VM behind the lead asks the store itself: a watch,
/// the pause after it, and a lost datagram's time.
const TURN_MILLIS: u64 = 1_300;
/// Each VM further behind waits this much longer, in milliseconds: a call and its news need less.
const TURN_STEP_MILLIS: u64 = 100;
/// A VM that lacks changes asks the store for them if no other VM told them for this long, in
/// milliseconds: several round trips between VMs.
const CATCH_UP_MILLIS: u64 = 150;
/// Of more VMs in a data centre than these, several miss the same change at once, and the one that told it answers one after
/// the other: each is waited for by so many milliseconds more.
const CATCH_UP_VMS: usize = 30;
const CATCH_UP_STEP_MILLIS: u64 = 3;
/// The next piece of news is waited for this much longer at most, in microseconds, whatever its teller says.
const PIECE_PAUSE_LIMIT_MICROS: u64 = 800_000;
/// It asks other VMs again with what they tell later than this, in milliseconds.
const ASK_AGAIN_MILLIS: u64 = 100;
/// A VM that lacks changes for so long says so, in milliseconds: by then they should have been fetched.
const LACKING_MILLIS: u64 = 1_000;
/// Who leads may change at any moment: looked at anew after this long, in milliseconds.
const POLL_INTERVAL_MILLIS: u64 = 100;

/// What another VM says of the store.
#[derive(Debug)]
pub(crate) enum StoreWord {
    /// Changes.
    News(StoreNews),
    /// It asks for the changes after this position.
    Ask(StorePosition),
}

/// What another VM says of the store, and which one.
pub(crate) type ToldNews = (VmKey, StoreWord);

/// Follows the store until the process ends.
pub(crate) async fn follow_store(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    orders: watch::Sender<OrdersView>,
    mut told: mpsc::Receiver<ToldNews>,
) {
    let view = StoreView::new(Arc::clone(&gateway), orders);
    let mut follower = StoreFollower {
        link: CallLink::new(gateway.settings.store),
        teller: NewsTeller::new(Arc::clone(&gateway), socket),
        view,
        position: StorePosition::default(),
        confirmed_at: Moment(0),
        backoff_until: Moment(0),
        behind_since: None,
        lacking_since: None,
        told_position: StorePosition::default(),
        history: UpdateHistory::default(),
        assembly: UpdateReassembly::default(),
        is_asking: false,
        has_copied: false,
        started_at: gateway.now(),
        watches: 0,
        failures: 0,
        gateway,
    };
    loop {
        if follower.list_all().await {
            while follower.step(&mut told).await {}
        } else {
            follower.gateway.until(follower.backoff_until).await;
        }
    }
}

/// How far a listing has come.
#[derive(Debug, Default)]
struct ListWalk {
    /// The last key that was listed.
    after: Option<String>,
    is_over: bool,
    /// The lowest position of its parts: all changes up to there are in it.
    lowest: Option<StorePosition>,
    listing: StoreListing,
}

impl ListWalk {
    fn note(&mut self, position: StorePosition) {
        self.lowest = Some(self.lowest.map_or(position, |lowest| lowest.min(position)));
    }

    /// Whether the last key has a prefix, so that more of it may follow.
    fn is_among(&self, prefix: &str) -> bool {
        self.after.as_ref().is_some_and(|key| key.starts_with(prefix))
    }
}

/// The first text that follows all keys with a prefix, which ends with a slash.
fn past_prefix(prefix: &str) -> String {
    format!("{}0", prefix.trim_end_matches('/'))
}

struct StoreFollower {
    gateway: Arc<Gateway>,
    teller: NewsTeller,
    link: CallLink,
    view: StoreView,
    /// All changes up to here are applied.
    position: StorePosition,
    /// When the store last told that `position` stands, directly or through another VM.
    confirmed_at: Moment,
    /// No call before then.
    backoff_until: Moment,
    /// Since when other VMs tell of a position whose changes this one lacks.
    behind_since: Option<Moment>,
    /// Since when changes are lacking that others tell of; [`Moment::NEVER`] once that was logged.
    lacking_since: Option<Moment>,
    /// Newest position that another VM or the store told of.
    told_position: StorePosition,
    /// Changes that were applied a short while ago.
    history: UpdateHistory,
    /// Pieces of changes that other VMs are telling.
    assembly: UpdateReassembly,
    /// Whether this VM, though not the first one, goes on asking because those before it brought no news.
    is_asking: bool,
    /// Whether the last listing holds a copy of another VM.
    has_copied: bool,
    /// When this process began to follow the store.
    started_at: Moment,
    /// Watches that were answered.
    watches: usize,
    failures: u32,
}

impl StoreFollower {
    /// Takes news or, when its turn has come, asks the store once; false if all must be listed anew.
    async fn step(&mut self, told: &mut mpsc::Receiver<ToldNews>) -> bool {
        let now = self.gateway.now();
        if self.gateway.era.known().is_some_and(|era| era > self.position.era) {
            log::warn!(position:% = self.position; "watch.relist");
            return false;
        }
        self.note_lacking(now);
        let turn = self.turn(now);
        tokio::select! {
            biased;
            Some(word) = told.recv() => {
                self.take_word(word).await;
                true
            }
            () = self.gateway.until(turn.min(now.after_millis(POLL_INTERVAL_MILLIS))) => {
                if now < turn { true } else { self.watch_once(told).await }
            }
        }
    }

    /// Takes what another VM says.
    async fn take_word(&mut self, (vm, word): ToldNews) {
        match word {
            StoreWord::News(news) => self.take_news(vm, &news).await,
            StoreWord::Ask(position) => self.answer_ask(vm, position),
        }
    }

    /// When this VM asks the store itself.
    fn turn(&self, now: Moment) -> Moment {
        let place = self.gateway.peers().expected_leader_rank(now) as u64;
        let turn = if place == 0 || self.is_asking || self.gateway.is_stale() {
            Moment(0)
        } else {
            self.confirmed_at.after_millis(TURN_MILLIS + TURN_STEP_MILLIS * place)
        };
        let catch_up = self.behind_since.map_or(Moment::NEVER, |since| {
            let beyond = self.gateway.peers().local_peer_count().saturating_sub(CATCH_UP_VMS) as u64;
            since.after_millis(CATCH_UP_MILLIS + CATCH_UP_STEP_MILLIS * beyond)
        });
        turn.min(catch_up).max(self.backoff_until)
    }

    /// Takes what another VM of this data centre heard from the store.
    async fn take_news(&mut self, vm: VmKey, news: &StoreNews) {
        let now = self.gateway.now();
        if news.to.era != self.position.era {
            // Of an era that is over it changes nothing; of a new one, all is listed anew.
            self.gateway.note_era(news.to.era, "peer");
            return;
        }
        if let Some(micros) = news.trouble_micros {
            self.gateway.note_store_trouble(Moment(now.0.saturating_sub(micros)));
        }
        self.note_told(news.to);
        if news.to > self.position && !self.take_changes(vm, news, now).await {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Moment(now.0.saturating_sub(news.age_micros)));
        self.gateway.list_standing().record_list_confirmation(self.confirmed_at);
        if self.is_asking && self.gateway.peers().precedes_as_leader(vm) {
            self.is_asking = false;
            log::info!(teller = vm.0, position:% = self.position; "watch.ceased");
        }
    }

    /// Applies changes that another VM tells; false if some are lacking and it is not about to tell them.
    async fn take_changes(&mut self, vm: VmKey, news: &StoreNews, now: Moment) -> bool {
        if news.from > self.position {
            if self.behind_since.is_none_or(|since| now >= since.after_millis(ASK_AGAIN_MILLIS)) {
                self.teller.ask(vm, self.position).await;
            }
            self.behind_since.get_or_insert(now);
            return false;
        }
        let progress = match &news.body {
            NewsBody::Unchanged => ReassemblyProgress::Whole(Vec::new()),
            NewsBody::Piece(piece) => self.assembly.take(vm, news.from, news.to, piece),
            NewsBody::TooLarge => ReassemblyProgress::Unreadable,
        };
        match progress {
            ReassemblyProgress::Whole(events) => {
                self.view.apply_all(&events, "peer");
                self.history.push(self.position, news.to, &events, now);
                self.set_position(news.to);
                self.behind_since = None;
                true
            }
            // The store is asked only if the next piece does not come when it should.
            ReassemblyProgress::Partial => {
                let pause_micros = news.pause_micros.min(PIECE_PAUSE_LIMIT_MICROS);
                self.behind_since = Some(now.after_micros(pause_micros));
                true
            }
            ReassemblyProgress::Unreadable => {
                self.behind_since.get_or_insert(now);
                false
            }
        }
    }

    /// Tells another VM the changes that it lacks, if they are known here.
    fn answer_ask(&mut self, vm: VmKey, from: StorePosition) {
        let Some((to, mut events)) = self.history.since(from) else { return };
        events.retain(|event| !self.view.is_superseded(event));
        if !self.teller.may_answer(vm, events.iter().map(StoreEvent::size).sum()) {
            return;
        }
        let age_micros = self.gateway.now().micros_since(self.confirmed_at);
        self.teller.answer(vm, ToldChanges { from, to, events, age_micros });
    }

    /// Notes that this VM asks the store for its data centre from now on.
    fn note_asking(&mut self) {
        if !self.is_asking {
            self.is_asking = true;
            let place = self.gateway.peers().expected_leader_rank(self.gateway.now());
            log::info!(place, position:% = self.position; "watch.begun");
        }
    }

    /// Lists everything; false if a call failed, or the store was restored meanwhile.
    async fn list_all(&mut self) -> bool {
        let mut walk = ListWalk { listing: self.view.begin_listing(), ..ListWalk::default() };
        // A copy may be too old to go on from: what follows it is then listed in the store.
        let mut may_copy = !std::mem::take(&mut self.has_copied);
        for pages in 1.. {
            if !self.list_page(&mut walk).await {
                return false;
            }
            if walk.is_over {
                break;
            }
            if may_copy && pages >= PAGES_DIRECT && walk.is_among(self.gateway.dialect.keys.endpoints) {
                may_copy = false;
                if !self.list_around(&mut walk).await {
                    return false;
                }
                if walk.is_over {
                    break;
                }
            }
        }
        let lowest = walk.lowest.unwrap_or_default();
        self.view.end_listing(walk.listing, lowest);
        self.answered(lowest);
        true
    }

    /// Lists what follows the endpoints, and takes these from another VM. If none gives them, the walk goes on among them.
    async fn list_around(&mut self, walk: &mut ListWalk) -> bool {
        // Whoever starts together with others knows those that may give them only after a while.
        self.gateway.until(self.started_at.after_millis(SETTLE_MILLIS)).await;
        let resumed = walk.after.replace(past_prefix(self.gateway.dialect.keys.endpoints));
        while !walk.is_over {
            if !self.list_page(walk).await {
                return false;
            }
        }
        if let Some(copy) = fetch_copy(&self.gateway).await {
            walk.note(copy.position);
            self.view.take_copy(copy);
            self.has_copied = true;
        } else {
            (walk.after, walk.is_over) = (resumed, false);
        }
        true
    }

    /// Lists one page and applies it.
    async fn list_page(&mut self, walk: &mut ListWalk) -> bool {
        let call = (self.gateway.dialect.store.range)("", walk.after.as_deref());
        let read = self.gateway.dialect.store.read_range;
        let Some(Ok(page)) = self.call("list", &call, Instant::now() + LIST_TIMEOUT, read).await else {
            return false;
        };
        if walk.lowest.is_some_and(|lowest| lowest.era != page.position.era) {
            return false;
        }
        walk.note(page.position);
        walk.after = page.items.last().map(|item| item.key.clone()).or(walk.after.take());
        walk.is_over = !page.more;
        self.view.take_page(page.items, &mut walk.listing);
        true
    }

    /// Waits for changes once; false if everything must be listed anew.
    async fn watch_once(&mut self, told: &mut mpsc::Receiver<ToldNews>) -> bool {
        // Who only catches up does not wait: the news go on coming from another VM.
        let waits =
            self.gateway.peers().expected_leader_rank(self.gateway.now()) == 0 || self.behind_since.is_none();
        // Nor does one that was suspended: requests wait for the answer.
        let wait_millis = if waits && !self.gateway.is_stale() { WATCH_MILLIS } else { 0 };
        let from = self.position;
        let call = (self.gateway.dialect.store.watch)("", from, wait_millis);
        let deadline = Instant::now() + Duration::from_millis(wait_millis) + WATCH_MARGIN;
        let read = self.gateway.dialect.store.read_watch;
        if waits {
            self.note_asking();
        }
        let Some(answer) = self.call_beside_news(&call, deadline, told).await else { return true };
        let page = match self.judge("watch", answer, read) {
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
        // Other VMs may have told of as much or more meanwhile.
        let from = self.position;
        let mut events: Vec<_> = page.events.into_iter().filter(|event| event.position() > from).collect();
        self.view.apply_all(&events, "watch");
        self.answered(page.position.max(from));
        self.history.push(from, self.position, &events, self.confirmed_at);
        if !events.is_empty() {
            self.backoff_until = self.gateway.now().after_millis(GATHER_MILLIS);
        }
        // Who only caught up, or heard meanwhile from a VM that goes before it, tells nothing again.
        if waits && self.is_asking {
            events.retain(|event| !self.view.is_superseded(event));
            let changes = ToldChanges { from, to: self.position, events, age_micros: 0 };
            self.teller.tell_near(&changes).await;
        }
        self.offer_peer_key().await;
        self.watches += 1;
        true
    }

    /// Calls the store and takes what other VMs say meanwhile; none if that brought what was lacking.
    async fn call_beside_news(
        &mut self,
        call: &WireCall,
        deadline: Instant,
        told: &mut mpsc::Receiver<ToldNews>,
    ) -> Option<CallAnswer> {
        self.gateway.metrics.store_calls.get_or_create(&KindLabel::new("watch")).inc();
        let mut link = std::mem::replace(&mut self.link, CallLink::new(self.gateway.settings.store));
        let answer = {
            let mut was_behind = self.behind_since.is_some();
            let mut exchange = pin!(link.call_large(call, deadline));
            loop {
                tokio::select! {
                    answer = &mut exchange => break answer,
                    Some(word) = told.recv() => self.take_word(word).await,
                    // What was asked before a suspension is asked anew: its answer may be long lost.
                    () = self.gateway.jumped.notified() => return None,
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

    /// Notes that all changes up to `position` are applied, as the store has just said.
    fn answered(&mut self, position: StorePosition) {
        self.set_position(position);
        self.note_told(position);
        self.confirmed_at = self.gateway.now();
        self.gateway.list_standing().record_list_confirmation(self.confirmed_at);
        self.behind_since = None;
        self.gateway.note_fresh();
    }

    fn set_position(&mut self, position: StorePosition) {
        self.position = position;
        self.gateway.set_applied_position(position);
        self.assembly.discard_up_to(position);
        self.gateway.metrics.store_revision.set(position.revision as i64);
    }

    /// Notes that the store has come to `position`.
    fn note_told(&mut self, position: StorePosition) {
        self.told_position = self.told_position.max(position);
        self.gateway.metrics.told_revision.set(self.told_position.revision as i64);
    }

    /// Logs once that changes have been lacking for long.
    fn note_lacking(&mut self, now: Moment) {
        if self.told_position <= self.position {
            self.lacking_since = None;
            return;
        }
        let since = *self.lacking_since.get_or_insert(now);
        if now >= since.after_millis(LACKING_MILLIS) {
            let (position, told) = (self.position, self.told_position);
            log::warn!(position:%, told:%, failures = self.failures; "changes.lacking");
            self.lacking_since = Some(Moment::NEVER);
        }
    }

    /// Writes a peer key if the store holds none: the first VMs of a deployment do, and the first
    /// of their writes stands. After the store was restored from a copy without it, it is the one that VMs know.
    ///
    /// One VM after the other does so, in the order of their names, for as long as none is told.
    async fn offer_peer_key(&mut self) {
        if self.view.holds(PEER_KEY_KEY) || self.gateway.peers().own_rank() > self.watches {
            return;
        }
        let key = self.gateway.peer_key().unwrap_or_else(rand::random::<PeerKey>);
        let offer = StoreTransaction {
            conditions: vec![(PEER_KEY_KEY.to_owned(), None)],
            writes: vec![(PEER_KEY_KEY.to_owned(), key.to_vec(), 0)],
            removals: Vec::new(),
        };
        let dialect = self.gateway.dialect.store;
        let deadline = Instant::now() + LIST_TIMEOUT;
        match self.call("write", &(dialect.transact)(&offer), deadline, dialect.read_transact).await {
            Some(Ok(position)) => log::info!(position:%; "peer_key.offered"),
            // Another VM was first, or nothing was done: the watch tells, or it is offered again.
            Some(Err(error)) => log::info!(cause:% = error; "peer_key.not_taken"),
            None => {}
        }
    }

    /// Makes one call; gives what its answer means.
    async fn call<T>(
        &mut self,
        kind: &str,
        call: &WireCall,
        deadline: Instant,
        read: crate::StoreDecoder<T>,
    ) -> Option<Result<T, StoreRefusal>> {
        self.gateway.metrics.store_calls.get_or_create(&KindLabel::new(kind)).inc();
        let answer = self.link.call_large(call, deadline).await;
        self.judge(kind, answer, read)
    }

    /// What an answer means. None: the call failed, and a rest follows; an error: it must not be repeated as is.
    fn judge<T>(
        &mut self,
        kind: &str,
        answer: CallAnswer,
        read: crate::StoreDecoder<T>,
    ) -> Option<Result<T, StoreRefusal>> {
        let cause = match answer {
            Ok(reply) => match self.read(&reply, read) {
                None => "an answer of an era that is over".to_owned(),
                Some(Err(StoreRefusal::NotDone(status))) => format!("status {status}"),
                Some(Err(error)) => return Some(Err(error)),
                Some(Ok(value)) => {
                    self.note_answer();
                    return Some(Ok(value));
                }
            },
            Err(error) => error.to_string(),
        };
        self.failures += 1;
        let now = self.gateway.now();
        self.gateway.note_store_trouble(now);
        if self.failures == AWAY_FAILURES {
            log::warn!(dependency = "store", call = kind, cause = cause.as_str(); "dependency.lost");
        }
        let pause = RETRY_MILLIS << self.failures.min(4);
        self.backoff_until = now.after_millis(pause.min(MAX_RETRY_DELAY_MILLIS));
        None
    }

    /// What an answer says; none if its era is over.
    fn read<T>(&self, reply: &CallReply, read: crate::StoreDecoder<T>) -> Option<Result<T, StoreRefusal>> {
        let era = self.gateway.era_of(&reply.headers)?;
        Some(read(&StoreReply { status: reply.status, era, body: &reply.body }))
    }

    fn note_answer(&mut self) {
        if self.failures >= AWAY_FAILURES {
            self.gateway.note_store_trouble(self.gateway.now());
            log::info!(dependency = "store", failures = self.failures; "dependency.regained");
        }
        self.failures = 0;
    }
}
