//! State of one cache store at this VM: its contents, its free space, its link.
//!
//! Invariant: a segment counts as stored only after the store itself has reported it in its present
//! incarnation, which it does once a segment is complete. The store evicts nothing by itself. Its free space
//! is estimated from its reports and from the segments that were sent there and have not been reported yet.

use crate::CacheReport;
use crate::{CacheUpdate, EndpointKey, LoadSource, StoreSpec, VmKey, short_digest};
use spanfold_entity::Moment;
use std::collections::HashMap;

/// Time after which a segment that was sent and has not been reported counts as lost.
const SAVE_TIMEOUT_MILLIS: u64 = 4_000;
/// Fraction of the space that is left free, because the free space is only an estimate.
const SPARE_FRACTION: f64 = 0.03;
/// Documented factor for the time of transfers between data centres.
const CROSS_DATA_CENTRE_FACTOR: f64 = 2.0;
/// Maximum number of changes that wait for propagation; those beyond it are propagated with the full index.
const MAX_UNREPORTED: usize = 1_024;
/// Weight of the newest sample of the link's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.3;
/// Fraction of the distance to the nominal speed by which the slowdown decays in each sweep: a link that was
/// slow is tried again after some seconds.
const SLOWDOWN_DECAY: f64 = 0.06;
/// Time for which a measured slowdown is valid after the transfer that showed it, here and at peers.
const SLOWDOWN_LIFETIME_MILLIS: u64 = 1_500;
/// Maximum slowdown, as a multiple of the nominal transfer time.
const MAX_SLOWDOWN: f64 = 12.0;

/// Report of another VM or data centre on a store's link.
#[derive(Clone, Copy, Debug)]
struct PeerTransfers {
    /// When the transfers that the reporter requested end.
    end_at: Moment,
    /// Slowdown that the reporter's recent transfers have shown, if any, and until when that is valid.
    slowdown: Option<f64>,
    slowdown_deadline: Moment,
}

/// Segment that is being sent to a store.
#[derive(Clone, Copy, Debug)]
struct PendingSave {
    tokens: u32,
    /// When it counts as lost unless the store has reported it.
    deadline: Moment,
    /// Whether it is sent for a request of this VM.
    is_own: bool,
}

/// State of one store.
#[derive(Debug)]
pub struct StoreRow {
    /// Its configuration.
    pub spec: StoreSpec,
    incarnation: u64,
    segments: HashMap<u64, u32>,
    used_tokens: u64,
    /// Changes that have not been propagated to the other VMs of the data centre.
    unreported: HashMap<u64, u32>,
    /// Position in the index up to which it has been propagated, in the order of its segments.
    index_cursor: usize,
    pending_saves: HashMap<u64, PendingSave>,
    pending_tokens: u64,
    /// Until when its last report is valid.
    reachable_until: Moment,
    /// When the transfers that this VM requested end.
    own_transfers_end_at: Moment,
    /// Transfers that other VMs and data centres reported.
    peers: HashMap<LoadSource, PeerTransfers>,
    slowdown: f64,
    /// When a transfer last showed the slowdown; zero if none has yet.
    slowdown_at: Moment,
}

/// Returns the key of a segment under the cache salt with this digest.
pub fn salted_key(segment: u64, salt_digest: u64) -> u64 {
    segment ^ salt_digest
}

impl StoreRow {
    /// Creates the state of a store that has reported nothing yet.
    pub fn new(spec: StoreSpec) -> Self {
        Self {
            spec,
            incarnation: 0,
            segments: HashMap::new(),
            used_tokens: 0,
            unreported: HashMap::new(),
            index_cursor: 0,
            pending_saves: HashMap::new(),
            pending_tokens: 0,
            reachable_until: Moment(0),
            own_transfers_end_at: Moment(0),
            peers: HashMap::new(),
            slowdown: 1.0,
            slowdown_at: Moment(0),
        }
    }

    /// Returns the incarnation that the index belongs to; zero before the first update.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Replaces the contents by a full listing, which is valid until the given moment.
    pub fn replace(&mut self, update: &CacheUpdate, reachable_until: Moment) {
        self.segments.clear();
        self.used_tokens = 0;
        if self.incarnation != update.incarnation {
            self.pending_saves.clear();
            self.pending_tokens = 0;
        }
        self.incarnation = update.incarnation;
        self.apply(update, reachable_until);
    }

    /// Applies changes, which must be of the present incarnation and follow the last ones; they are valid
    /// until the given moment.
    pub fn apply(&mut self, update: &CacheUpdate, reachable_until: Moment) {
        self.reachable_until = reachable_until;
        for change in &update.changes {
            let key = salted_key(change.segment, short_digest(&change.cache_salt));
            self.set_segment(key, change.tokens);
            if self.unreported.len() < MAX_UNREPORTED {
                self.unreported.insert(key, change.tokens);
            }
        }
    }

    fn set_segment(&mut self, key: u64, tokens: u32) {
        if let Some(save) = self.pending_saves.remove(&key) {
            self.pending_tokens -= u64::from(save.tokens);
        }
        let before = if tokens == 0 { self.segments.remove(&key) } else { self.segments.insert(key, tokens) };
        self.used_tokens += u64::from(tokens);
        self.used_tokens = self.used_tokens.saturating_sub(u64::from(before.unwrap_or(0)));
    }

    /// Takes at most `limit` changed segments that have not been propagated to other VMs.
    pub fn take_unreported(&mut self, store: EndpointKey, limit: usize) -> CacheReport {
        let parts = if self.unreported.len() <= limit {
            std::mem::take(&mut self.unreported).into_iter().collect()
        } else {
            let taken: Vec<_> =
                self.unreported.iter().take(limit).map(|(key, tokens)| (*key, *tokens)).collect();
            for (key, _) in &taken {
                self.unreported.remove(key);
            }
            taken
        };
        CacheReport { store, incarnation: self.incarnation, used_tokens: self.used_tokens, parts }
    }

    /// Whether there are changes that have not been propagated to other VMs.
    pub fn has_unreported(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Returns at most `limit` of the stored segments, continuing where the last call ended.
    pub fn next_segments(&mut self, limit: usize) -> Vec<(u64, u32)> {
        let from = self.index_cursor % self.segments.len().max(1);
        let count = limit.min(self.segments.len());
        self.index_cursor = from + count;
        let rotated = self.segments.iter().cycle().skip(from);
        rotated.take(count).map(|(key, tokens)| (*key, *tokens)).collect()
    }

    /// Applies another VM's report on the store.
    pub fn apply_cache_report(&mut self, report: &CacheReport, reachable_until: Moment) {
        if self.incarnation != report.incarnation {
            self.segments.clear();
            self.pending_saves.clear();
            self.pending_tokens = 0;
            self.incarnation = report.incarnation;
        }
        self.reachable_until = reachable_until;
        for (key, tokens) in &report.parts {
            self.set_segment(*key, *tokens);
        }
        self.used_tokens = report.used_tokens;
    }

    /// Marks the store as unreachable: nothing is fetched until it reports again.
    pub fn mark_unreachable(&mut self) {
        self.reachable_until = Moment(0);
    }

    /// Whether the store's last report is still valid.
    pub fn is_reachable(&self, now: Moment) -> bool {
        now < self.reachable_until
    }

    /// Whether it contains all `tokens` of a segment.
    pub fn contains(&self, key: u64, tokens: u32, now: Moment) -> bool {
        self.is_reachable(now) && self.segments.get(&key).is_some_and(|stored| *stored >= tokens)
    }

    /// Whether the segment is stored, or is being sent for a request of this VM.
    pub fn has_or_awaits(&self, key: u64, now: Moment) -> bool {
        self.segments.contains_key(&key)
            || self.pending_saves.get(&key).is_some_and(|save| save.is_own && now < save.deadline)
    }

    /// Whether a segment of `tokens` fits beside the stored and the pending ones.
    pub fn has_capacity(&self, tokens: u32) -> bool {
        let used = self.used_tokens + self.pending_tokens + u64::from(tokens);
        used as f64 <= self.spec.tokens as f64 * (1.0 - SPARE_FRACTION)
    }

    /// Records that a segment is being sent to the store for a request of this VM.
    pub fn record_request(&mut self, key: u64, tokens: u32, now: Moment) {
        self.record_pending(
            key,
            PendingSave { tokens, deadline: now.after_millis(SAVE_TIMEOUT_MILLIS), is_own: true },
        );
    }

    /// Records that a segment is being sent to the store for a request of another VM: it takes space, but this
    /// VM cannot determine whether the engine needed to send it.
    pub fn record_remote_request(&mut self, key: u64, tokens: u32, now: Moment) {
        if !self.pending_saves.get(&key).is_some_and(|save| save.is_own) {
            self.record_pending(
                key,
                PendingSave { tokens, deadline: now.after_millis(SAVE_TIMEOUT_MILLIS), is_own: false },
            );
        }
    }

    fn record_pending(&mut self, key: u64, save: PendingSave) {
        if let Some(before) = self.pending_saves.insert(key, save) {
            self.pending_tokens -= u64::from(before.tokens);
        }
        self.pending_tokens += u64::from(save.tokens);
    }

    /// Discards segments that were sent and not reported in time, and lets the link's slowdown decay.
    pub fn sweep(&mut self, now: Moment) {
        let mut lost = 0;
        self.pending_saves.retain(|_, save| {
            let is_pending = now < save.deadline;
            lost += if is_pending { 0 } else { u64::from(save.tokens) };
            is_pending
        });
        self.pending_tokens -= lost;
        self.slowdown += SLOWDOWN_DECAY * (1.0 - self.slowdown);
    }

    /// Returns the expected time of a transfer of `tokens` to an engine, in microseconds, including waiting.
    pub fn transfer_time_micros(&self, tokens: u64, data_centre: &str, now: Moment) -> f64 {
        let peer_micros: u64 = self.peers.values().map(|transfers| transfers.end_at.micros_since(now)).sum();
        let waiting_micros = self.own_transfers_end_at.micros_since(now) + peer_micros;
        waiting_micros as f64
            + self.spec.transfer_latency_millis * 1_000.0
            + self.link_micros(tokens, data_centre, now)
    }

    /// Returns the time for which a transfer of `tokens` occupies the link, in microseconds.
    fn link_micros(&self, tokens: u64, data_centre: &str, now: Moment) -> f64 {
        let cross_factor = if self.spec.data_centre == data_centre { 1.0 } else { CROSS_DATA_CENTRE_FACTOR };
        let token_micros = self.spec.token_bytes as f64 * 8.0 / self.spec.link_mbps.max(1.0);
        tokens as f64 * cross_factor * token_micros * self.slowdown(now)
    }

    /// Returns the link's slowdown as a multiple of the nominal time: the mean over the VMs, this one
    /// included, whose transfers have shown it recently; without any, this VM's last value, which decays.
    pub fn slowdown(&self, now: Moment) -> f64 {
        let reported = self
            .peers
            .values()
            .filter(|transfers| now < transfers.slowdown_deadline)
            .filter_map(|transfers| transfers.slowdown);
        mean(self.own_slowdown(now).into_iter().chain(reported)).unwrap_or(self.slowdown)
    }

    /// Returns the slowdown that this VM's recent transfers have shown.
    fn own_slowdown(&self, now: Moment) -> Option<f64> {
        let is_current =
            self.slowdown_at.0 != 0 && now < self.slowdown_at.after_millis(SLOWDOWN_LIFETIME_MILLIS);
        is_current.then_some(self.slowdown)
    }

    /// Updates the link's slowdown after a transfer, from the time taken and the time expected.
    pub fn record_slowdown(&mut self, taken_micros: f64, expected_micros: f64, now: Moment) {
        // The expected time was based on the slowdown that all VMs have measured, so that is also the
        // previous value if this VM has measured none recently.
        let estimate = self.slowdown(now);
        let sample = (estimate * taken_micros / expected_micros.max(1.0)).clamp(1.0, MAX_SLOWDOWN);
        let previous = self.own_slowdown(now).unwrap_or(estimate);
        self.slowdown = previous + SLOWDOWN_WEIGHT * (sample - previous);
        self.slowdown_at = now;
    }

    /// Records that a transfer of `tokens` to an engine begins.
    pub fn begin_transfer(&mut self, tokens: u64, data_centre: &str, now: Moment) {
        let transfer_micros = self.link_micros(tokens, data_centre, now) as u64;
        self.own_transfers_end_at = self.own_transfers_end_at.max(now).after_micros(transfer_micros);
    }

    /// Returns the remaining time of the transfers of this VM and of the VMs that `is_counted` selects, in
    /// microseconds, and the mean of the slowdowns that their transfers have shown recently.
    pub fn transfers_of(&self, is_counted: impl Fn(VmKey) -> bool, now: Moment) -> (u64, Option<f64>) {
        let counted = self.transfers_where(|source| matches!(source, LoadSource::Vm(vm) if is_counted(vm)));
        let micros: u64 = counted.iter().map(|transfers| transfers.end_at.micros_since(now)).sum();
        let reported = reported_slowdowns(&counted, now);
        (
            self.own_transfers_end_at.micros_since(now) + micros,
            mean(self.own_slowdown(now).into_iter().chain(reported)),
        )
    }

    /// Returns the same as `transfers_of` for the VMs of other data centres, as their leaders report it.
    pub fn remote_transfers(&self, now: Moment) -> (u64, Option<f64>) {
        let counted = self.transfers_where(|source| matches!(source, LoadSource::DataCentre(_)));
        let micros = counted.iter().map(|transfers| transfers.end_at.micros_since(now)).sum();
        (micros, mean(reported_slowdowns(&counted, now)))
    }

    fn transfers_where(&self, is_counted: impl Fn(LoadSource) -> bool) -> Vec<PeerTransfers> {
        self.peers
            .iter()
            .filter(|(source, _)| is_counted(**source))
            .map(|(_, transfers)| *transfers)
            .collect()
    }

    /// Applies the report of another VM or data centre on its transfers.
    pub fn set_peer_transfers(
        &mut self,
        source: LoadSource,
        busy_micros: u64,
        slowdown: Option<f64>,
        now: Moment,
    ) {
        let slowdown_deadline = now.after_millis(SLOWDOWN_LIFETIME_MILLIS);
        self.peers.insert(
            source,
            PeerTransfers { end_at: now.after_micros(busy_micros), slowdown, slowdown_deadline },
        );
    }

    /// Records that another VM or data centre has no transfers here.
    pub(crate) fn clear_peer_transfers(&mut self, source: LoadSource) {
        self.peers.remove(&source);
    }
}

fn reported_slowdowns(transfers: &[PeerTransfers], now: Moment) -> impl Iterator<Item = f64> {
    transfers
        .iter()
        .filter(move |transfers| now < transfers.slowdown_deadline)
        .filter_map(|transfers| transfers.slowdown)
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}
