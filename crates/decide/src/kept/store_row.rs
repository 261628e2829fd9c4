//! What this VM knows of one store of kept cache: what it holds, its room, its link.
//!
//! Invariant: a part counts as held only after the store itself told so in its present
//! incarnation, which it does once a part is whole. The store drops nothing by itself; room is
//! estimated from what it told and from what was sent there and has not been told yet.

use crate::CacheReport;
use crate::{CacheUpdate, EndpointKey, LoadSource, StoreSpec, VmKey, short_digest};
use spanfold_entity::Moment;
use std::collections::HashMap;

/// A part that was sent and is not told of by then is believed lost, in milliseconds.
const ASKED_MILLIS: u64 = 4_000;
/// Part of the room that is left free, because it is only estimated.
const SPARE_PART: f64 = 0.03;
/// Moves between data centres take this many times as long (the users' pages).
const CROSS_FACTOR: f64 = 2.0;
/// Changes that wait to be told at most; whole books make up for those beyond them.
const UNTOLD_MOST: usize = 1_024;
/// Weight of the newest sample of the link's pace.
const PACE_WEIGHT: f64 = 0.3;
/// Part of the distance to the stated pace that is forgotten in each sweep: a link that was slow is
/// tried again after some seconds.
const PACE_RELAX: f64 = 0.06;
/// A pace counts for this long after the move that showed it, in milliseconds, here and at peers.
const PACE_COUNTS_MILLIS: u64 = 1_500;
/// Slowest pace that is believed, as a multiple of the stated one.
const PACE_MOST: f64 = 12.0;

/// What another VM told of a store's link.
#[derive(Clone, Copy, Debug)]
struct PeerMoves {
    /// When the moves that it asked for will be over.
    until: Moment,
    /// The pace that it sees, if moves have shown it lately, and until when that counts.
    pace: Option<f64>,
    pace_until: Moment,
}

/// A part that is on its way to a store.
#[derive(Clone, Copy, Debug)]
struct AskedPart {
    tokens: u32,
    /// It is believed lost if the store has not told it by then.
    until: Moment,
    /// Whether a request of this VM sends it.
    is_own: bool,
}

/// One store.
#[derive(Debug)]
pub struct StoreRow {
    /// What the configuration says of it.
    pub spec: StoreSpec,
    incarnation: u64,
    parts: HashMap<u64, u32>,
    used_tokens: u64,
    /// Changes that the other VMs of the data centre have not been told.
    untold: HashMap<u64, u32>,
    /// How far the book has been told, in the order of its parts.
    told_to: usize,
    asked: HashMap<u64, AskedPart>,
    asked_tokens: u64,
    /// Until when what it told last counts.
    heard_until: Moment,
    /// When the moves that this VM asked for will be over.
    own_until: Moment,
    /// The same of other VMs, as they told.
    peers: HashMap<LoadSource, PeerMoves>,
    pace: f64,
    /// When a move showed the pace last; none yet if zero.
    pace_at: Moment,
}

/// Identity of a part under the text that it is shared under.
pub fn salted_key(part: u64, salt_digest: u64) -> u64 {
    part ^ salt_digest
}

impl StoreRow {
    /// A store of which nothing is known yet.
    pub fn new(spec: StoreSpec) -> Self {
        Self {
            spec,
            incarnation: 0,
            parts: HashMap::new(),
            used_tokens: 0,
            untold: HashMap::new(),
            told_to: 0,
            asked: HashMap::new(),
            asked_tokens: 0,
            heard_until: Moment(0),
            own_until: Moment(0),
            peers: HashMap::new(),
            pace: 1.0,
            pace_at: Moment(0),
        }
    }

    /// Incarnation that the book belongs to; zero before the first news.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Takes all that the store holds; it counts until the given moment.
    pub fn replace(&mut self, news: &CacheUpdate, until: Moment) {
        self.parts.clear();
        self.used_tokens = 0;
        if self.incarnation != news.incarnation {
            self.asked.clear();
            self.asked_tokens = 0;
        }
        self.incarnation = news.incarnation;
        self.apply(news, until);
    }

    /// Takes changes, which must be of the present incarnation and follow the last ones; they count
    /// until the given moment.
    pub fn apply(&mut self, news: &CacheUpdate, until: Moment) {
        self.heard_until = until;
        for change in &news.changes {
            let key = salted_key(change.part, short_digest(&change.salt));
            self.set_part(key, change.tokens);
            if self.untold.len() < UNTOLD_MOST {
                self.untold.insert(key, change.tokens);
            }
        }
    }

    fn set_part(&mut self, key: u64, tokens: u32) {
        if let Some(asked) = self.asked.remove(&key) {
            self.asked_tokens -= u64::from(asked.tokens);
        }
        let before = if tokens == 0 { self.parts.remove(&key) } else { self.parts.insert(key, tokens) };
        self.used_tokens += u64::from(tokens);
        self.used_tokens = self.used_tokens.saturating_sub(u64::from(before.unwrap_or(0)));
    }

    /// What was heard and has not been told to other VMs, with at most so many parts.
    pub fn take_untold(&mut self, store: EndpointKey, most: usize) -> CacheReport {
        let parts = if self.untold.len() <= most {
            std::mem::take(&mut self.untold).into_iter().collect()
        } else {
            let some: Vec<_> = self.untold.iter().take(most).map(|(key, tokens)| (*key, *tokens)).collect();
            for (key, _) in &some {
                self.untold.remove(key);
            }
            some
        };
        CacheReport { store, incarnation: self.incarnation, used_tokens: self.used_tokens, parts }
    }

    /// Whether something was heard that other VMs have not been told.
    pub fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// At most so many of the parts held, going on where the last ones ended.
    pub fn next_segments(&mut self, most: usize) -> Vec<(u64, u32)> {
        let from = self.told_to % self.parts.len().max(1);
        let count = most.min(self.parts.len());
        self.told_to = from + count;
        let turned = self.parts.iter().cycle().skip(from);
        turned.take(count).map(|(key, tokens)| (*key, *tokens)).collect()
    }

    /// Takes what another VM heard from the store.
    pub fn apply_cache_report(&mut self, told: &CacheReport, until: Moment) {
        if self.incarnation != told.incarnation {
            self.parts.clear();
            self.asked.clear();
            self.asked_tokens = 0;
            self.incarnation = told.incarnation;
        }
        self.heard_until = until;
        for (key, tokens) in &told.parts {
            self.set_part(*key, *tokens);
        }
        self.used_tokens = told.used_tokens;
    }

    /// Notes that the store cannot be reached: nothing is fetched until it is heard again.
    pub fn lose(&mut self) {
        self.heard_until = Moment(0);
    }

    /// Whether the store was heard a short while ago.
    pub fn is_heard(&self, now: Moment) -> bool {
        now < self.heard_until
    }

    /// Whether it holds the whole of a part of `tokens`.
    pub fn holds(&self, key: u64, tokens: u32, now: Moment) -> bool {
        self.is_heard(now) && self.parts.get(&key).is_some_and(|held| *held >= tokens)
    }

    /// Whether the part is held, or was sent there a short while ago.
    pub fn has_or_awaits(&self, key: u64, now: Moment) -> bool {
        self.parts.contains_key(&key)
            || self.asked.get(&key).is_some_and(|asked| asked.is_own && now < asked.until)
    }

    /// Whether a part of `tokens` fits beside what is there and on its way.
    pub fn has_capacity(&self, tokens: u32) -> bool {
        let taken = self.used_tokens + self.asked_tokens + u64::from(tokens);
        taken as f64 <= self.spec.tokens as f64 * (1.0 - SPARE_PART)
    }

    /// Notes that a part is being sent there for a request of this VM.
    pub fn ask(&mut self, key: u64, tokens: u32, now: Moment) {
        self.note_asked(key, AskedPart { tokens, until: now.after_millis(ASKED_MILLIS), is_own: true });
    }

    /// Notes that a part is being sent there for a request of another VM: it takes room, but whether the
    /// engine there needed to send it is not known here.
    pub fn record_remote_request(&mut self, key: u64, tokens: u32, now: Moment) {
        if !self.asked.get(&key).is_some_and(|asked| asked.is_own) {
            self.note_asked(key, AskedPart { tokens, until: now.after_millis(ASKED_MILLIS), is_own: false });
        }
    }

    fn note_asked(&mut self, key: u64, asked: AskedPart) {
        if let Some(before) = self.asked.insert(key, asked) {
            self.asked_tokens -= u64::from(before.tokens);
        }
        self.asked_tokens += u64::from(asked.tokens);
    }

    /// Forgets parts that were sent and never told of.
    pub fn sweep(&mut self, now: Moment) {
        let mut lost = 0;
        self.asked.retain(|_, asked| {
            let waits = now < asked.until;
            lost += if waits { 0 } else { u64::from(asked.tokens) };
            waits
        });
        self.asked_tokens -= lost;
        self.pace += PACE_RELAX * (1.0 - self.pace);
    }

    /// Expected time of a move of `tokens` to an engine, in microseconds, waiting included.
    pub fn transfer_time_micros(&self, tokens: u64, data_centre: &str, now: Moment) -> f64 {
        let peers: u64 = self.peers.values().map(|moves| moves.until.micros_since(now)).sum();
        let waiting = self.own_until.micros_since(now) + peers;
        waiting as f64 + self.spec.first_millis * 1_000.0 + self.link_micros(tokens, data_centre, now)
    }

    /// Time that a move of `tokens` takes the link, in microseconds.
    fn link_micros(&self, tokens: u64, data_centre: &str, now: Moment) -> f64 {
        let cross = if self.spec.data_centre == data_centre { 1.0 } else { CROSS_FACTOR };
        let token_micros = self.spec.token_bytes as f64 * 8.0 / self.spec.link_mbps.max(1.0);
        tokens as f64 * cross * token_micros * self.pace(now)
    }

    /// The link's pace as a multiple of the stated one: the mean of what those saw whose moves have shown
    /// it lately, this VM included; if there are none, what this VM saw before, relaxing.
    pub fn pace(&self, now: Moment) -> f64 {
        let told = self.peers.values().filter(|moves| now < moves.pace_until).filter_map(|moves| moves.pace);
        mean(self.own_pace(now).into_iter().chain(told)).unwrap_or(self.pace)
    }

    /// The pace as this VM's own moves have shown it lately.
    fn own_pace(&self, now: Moment) -> Option<f64> {
        let counts = self.pace_at.0 != 0 && now < self.pace_at.after_millis(PACE_COUNTS_MILLIS);
        counts.then_some(self.pace)
    }

    /// Learns the link's pace from a move that took `taken` where `expected` was expected.
    pub fn record_slowdown(&mut self, taken_micros: f64, expected_micros: f64, now: Moment) {
        // What was expected rested on the pace that all saw; so does what is learned, if nothing was
        // seen here lately.
        let believed = self.pace(now);
        let sample = (believed * taken_micros / expected_micros.max(1.0)).clamp(1.0, PACE_MOST);
        let before = self.own_pace(now).unwrap_or(believed);
        self.pace = before + PACE_WEIGHT * (sample - before);
        self.pace_at = now;
    }

    /// Notes that a move of `tokens` to an engine begins.
    pub fn take(&mut self, tokens: u64, data_centre: &str, now: Moment) {
        let micros = self.link_micros(tokens, data_centre, now) as u64;
        self.own_until = self.own_until.max(now).after_micros(micros);
    }

    /// How long the moves of this VM and of the VMs that `counts` names still take, in microseconds, and
    /// the mean of the paces that their moves have shown lately.
    pub fn moves_of(&self, counts: impl Fn(VmKey) -> bool, now: Moment) -> (u64, Option<f64>) {
        let counted = self.moves_where(|source| matches!(source, LoadSource::Vm(vm) if counts(vm)));
        let micros: u64 = counted.iter().map(|moves| moves.until.micros_since(now)).sum();
        let told = told_paces(&counted, now);
        (self.own_until.micros_since(now) + micros, mean(self.own_pace(now).into_iter().chain(told)))
    }

    /// The same of the VMs of other data centres, as their leads told.
    pub fn remote_transfers(&self, now: Moment) -> (u64, Option<f64>) {
        let counted = self.moves_where(|source| matches!(source, LoadSource::DataCentre(_)));
        let micros = counted.iter().map(|moves| moves.until.micros_since(now)).sum();
        (micros, mean(told_paces(&counted, now)))
    }

    fn moves_where(&self, counts: impl Fn(LoadSource) -> bool) -> Vec<PeerMoves> {
        self.peers.iter().filter(|(source, _)| counts(**source)).map(|(_, moves)| *moves).collect()
    }

    /// Takes what another VM or data centre says of its moves.
    pub fn set_peer(&mut self, source: LoadSource, micros: u64, pace: Option<f64>, now: Moment) {
        let pace_until = now.after_millis(PACE_COUNTS_MILLIS);
        self.peers.insert(source, PeerMoves { until: now.after_micros(micros), pace, pace_until });
    }

    /// Notes that another VM or data centre has no moves here.
    pub(crate) fn clear_peer(&mut self, source: LoadSource) {
        self.peers.remove(&source);
    }
}

fn told_paces(moves: &[PeerMoves], now: Moment) -> impl Iterator<Item = f64> {
    moves.iter().filter(move |moves| now < moves.pace_until).filter_map(|moves| moves.pace)
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}
