//! Records of streams whose copies at other VMs are not confirmed yet.
//!
//! Invariant: a record stays here until [`RECORD_COPIES`] VMs have confirmed a copy, or until it is given up,
//! which is reported if there were VMs enough. What is not confirmed in time is sent again, and to further VMs.

use crate::{CopyTarget, PeerTable, RECORD_COPIES, StreamKey, StreamOrigin, VmKey};
use spanfold_entity::Moment;
use std::collections::{BTreeSet, HashMap};

/// Time within which a VM confirms a copy, in milliseconds: as long as a VM may be silent and count as
/// reachable. It doubles each time.
const CONFIRMATION_TIMEOUT_MILLIS: u64 = 750;
/// Times that a record's copies are completed; then it is given up.
const MAX_COMPLETIONS: u32 = 3;
/// VMs that one record is sent to at most.
const MAX_SENT: usize = 2 * RECORD_COPIES;
/// Maximum number of records that await confirmations; they take 2 MB.
const MAX_RECORDS: usize = 8_192;

/// A record of a stream, as other VMs get it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamCopy {
    /// The stream.
    pub key: StreamKey,
    /// Short digest of the client account's name.
    pub account: u64,
    /// The software that began the stream.
    pub origin: StreamOrigin,
    /// When the record expires.
    pub expires_at: Moment,
}

/// A record that was given up with too few copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShortRecord {
    /// The stream.
    pub key: StreamKey,
    /// Number of VMs that confirmed a copy.
    pub confirmed: usize,
    /// Number of VMs that it was sent to.
    pub sent: usize,
}

/// A record whose copies are not confirmed in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueCopy {
    /// The record.
    pub copy: StreamCopy,
    /// VMs that it was sent to, and is sent to again.
    pub again: Vec<CopyTarget>,
    /// Further VMs that it is sent to.
    pub further: Vec<CopyTarget>,
}

/// What is due for the records that await confirmations.
#[derive(Debug, Default)]
pub struct DueCopies {
    /// Copies to send.
    pub copies: Vec<DueCopy>,
    /// Records that were given up.
    pub short: Vec<ShortRecord>,
}

#[derive(Debug)]
struct UnconfirmedRecord {
    copy: StreamCopy,
    /// VMs that it was sent to, and whether each has confirmed it.
    sent: Vec<(VmKey, bool)>,
    completions: u32,
    due_at: Moment,
}

impl UnconfirmedRecord {
    fn confirmed(&self) -> usize {
        self.sent.iter().filter(|(_, is_confirmed)| *is_confirmed).count()
    }

    /// Returns the VMs that get it next: those that have not confirmed it, and further ones for each copy that
    /// is missing.
    fn complete(&mut self, order: &[CopyTarget]) -> DueCopy {
        let missing = RECORD_COPIES.saturating_sub(self.confirmed());
        let is_confirmed =
            |vm| self.sent.iter().find(|(sent, _)| *sent == vm).map(|(_, is_confirmed)| *is_confirmed);
        let again = order.iter().filter(|target| is_confirmed(target.vm) == Some(false)).take(missing);
        let again: Vec<_> = again.copied().collect();
        let max_further = missing.min(MAX_SENT.saturating_sub(self.sent.len()));
        let further = order.iter().filter(|target| is_confirmed(target.vm).is_none()).take(max_further);
        let further: Vec<_> = further.copied().collect();
        self.sent.extend(further.iter().map(|target| (target.vm, false)));
        DueCopy { copy: self.copy, again, further }
    }
}

/// Records of streams that await confirmations of their copies.
#[derive(Debug, Default)]
pub struct CopyLedger {
    records: HashMap<StreamKey, UnconfirmedRecord>,
    /// When each record is due, the earliest first.
    schedule: BTreeSet<(Moment, StreamKey)>,
}

impl CopyLedger {
    /// Records that a copy leaves now, and returns the VMs that get it, in their order of preference.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{CopyLedger, EndpointKey, PeerTable, StreamCopy, StreamKey, StreamOrigin, VmEntry};
    /// use spanfold_entity::Moment;
    /// let vm = |number: u16| VmEntry {
    ///     name: format!("vm-{number}"),
    ///     address: std::net::SocketAddr::from(([127, 0, 0, 1], number)),
    ///     data_centre: "dc-a".into(),
    ///     incarnation: 1,
    ///     link_mbps: 20,
    /// };
    /// let mut peers = PeerTable::new(vm(1));
    /// (2..=9).for_each(|number| peers.list_at(vm(number), Moment(0)));
    /// let copy = StreamCopy {
    ///     key: StreamKey::of("one", b"r-1"),
    ///     account: 1,
    ///     origin: StreamOrigin::of("llm", "v1", EndpointKey::of("i-1")),
    ///     expires_at: Moment(60_000_000),
    /// };
    /// let mut ledger = CopyLedger::default();
    /// let targets = ledger.begin(copy, &peers, Moment(0));
    /// assert_eq!(targets.len(), 3);
    /// targets.iter().for_each(|target| ledger.confirm(target.vm, &[copy.key]));
    /// assert!(ledger.is_empty());
    /// ```
    pub fn begin(&mut self, copy: StreamCopy, peers: &PeerTable, now: Moment) -> Vec<CopyTarget> {
        let mut targets = peers.record_targets(copy.key, now);
        targets.truncate(RECORD_COPIES);
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&copy.key) {
            self.remove(copy.key);
            let due_at = now.after_millis(CONFIRMATION_TIMEOUT_MILLIS);
            let sent = targets.iter().map(|target| (target.vm, false)).collect();
            self.records.insert(copy.key, UnconfirmedRecord { copy, sent, completions: 0, due_at });
            self.schedule.insert((due_at, copy.key));
        }
        targets
    }

    /// Records that a VM has copies of streams' records.
    pub fn confirm(&mut self, vm: VmKey, keys: &[StreamKey]) {
        for key in keys {
            let Some(record) = self.records.get_mut(key) else { continue };
            if let Some((_, is_confirmed)) = record.sent.iter_mut().find(|(sent, _)| *sent == vm) {
                *is_confirmed = true;
            }
            if record.confirmed() >= RECORD_COPIES {
                self.remove(*key);
            }
        }
    }

    /// Whether no record awaits a confirmation.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns when the next record is due; never if there is none.
    pub fn next_due_at(&self) -> Moment {
        self.schedule.first().map_or(Moment::NEVER, |(at, _)| *at)
    }

    /// Returns the copies that are due, and the records that are given up.
    pub fn take_due(&mut self, peers: &PeerTable, now: Moment) -> DueCopies {
        let mut due = DueCopies::default();
        while let Some((_, key)) = self.schedule.first().copied().filter(|(at, _)| *at <= now) {
            let Some(mut record) = self.remove(key) else { continue };
            let order = peers.record_targets(key, now);
            record.completions += 1;
            if record.completions > MAX_COMPLETIONS || now >= record.copy.expires_at {
                let (confirmed, sent) = (record.confirmed(), record.sent.len());
                if confirmed < RECORD_COPIES.min(order.len()) {
                    due.short.push(ShortRecord { key, confirmed, sent });
                }
                continue;
            }
            due.copies.push(record.complete(&order));
            record.due_at = now.after_millis(CONFIRMATION_TIMEOUT_MILLIS << record.completions);
            self.schedule.insert((record.due_at, key));
            self.records.insert(key, record);
        }
        due
    }

    fn remove(&mut self, key: StreamKey) -> Option<UnconfirmedRecord> {
        let record = self.records.remove(&key)?;
        self.schedule.remove(&(record.due_at, key));
        Some(record)
    }
}
