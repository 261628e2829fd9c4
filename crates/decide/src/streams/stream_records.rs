//! Records of the software that began each stream, bounded in number and age.
//!
//! Invariant: an account loses a record before its time only while no other account has more records. So
//! however many streams one account begins, those of the others stay.

use crate::{StreamKey, StreamOrigin};
use spanfold_entity::Moment;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Records of streams, by key.
#[derive(Debug)]
pub struct StreamRecords {
    capacity: usize,
    rows: HashMap<StreamKey, RecordRow>,
    /// Keys of each account's records, the earliest recorded first.
    ///
    /// Few records are renewed, so that they expire about in this order.
    keys_by_account: HashMap<u64, VecDeque<StreamKey>>,
    /// Accounts by their number of keys.
    accounts_by_size: BTreeSet<(usize, u64)>,
}

#[derive(Debug)]
struct RecordRow {
    origin: StreamOrigin,
    expires_at: Moment,
}

impl StreamRecords {
    /// Creates an empty table for at most `capacity` records.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            rows: HashMap::new(),
            keys_by_account: HashMap::new(),
            accounts_by_size: BTreeSet::new(),
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Records a stream of an account, given by the short digest of its name; returns whether another record
    /// was evicted.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{EndpointKey, StreamKey, StreamOrigin, StreamRecords};
    /// use spanfold_entity::Moment;
    /// let mut records = StreamRecords::new(100);
    /// let (key, origin) = (StreamKey::of("one", b"r-1"), StreamOrigin::of("llm", "v1", EndpointKey(1)));
    /// records.insert(key, 1, origin, Moment(5_000));
    /// assert_eq!(records.find(key, Moment(4_999)), Some((origin, Moment(5_000))));
    /// assert_eq!(records.find(key, Moment(5_000)), None);
    /// ```
    pub fn insert(&mut self, key: StreamKey, account: u64, origin: StreamOrigin, expires_at: Moment) -> bool {
        if let Some(row) = self.rows.get_mut(&key) {
            row.origin = origin;
            row.expires_at = row.expires_at.max(expires_at);
            return false;
        }
        let is_full = self.rows.len() >= self.capacity;
        if is_full && let Some((size, largest)) = self.accounts_by_size.last().copied() {
            let own_size = self.keys_by_account.get(&account).map_or(0, VecDeque::len);
            let evicted = if own_size >= size { account } else { largest };
            self.change_keys(evicted, |keys, rows| {
                if let Some(oldest) = keys.pop_front() {
                    rows.remove(&oldest);
                }
            });
        }
        self.rows.insert(key, RecordRow { origin, expires_at });
        self.change_keys(account, |keys, _| keys.push_back(key));
        is_full
    }

    /// Returns the origin of a stream, and when its record expires; none if there is no record.
    pub fn find(&self, key: StreamKey, now: Moment) -> Option<(StreamOrigin, Moment)> {
        let row = self.rows.get(&key).filter(|row| now < row.expires_at)?;
        Some((row.origin, row.expires_at))
    }

    /// Removes expired records.
    pub fn sweep(&mut self, now: Moment) {
        let accounts: Vec<u64> = self.keys_by_account.keys().copied().collect();
        for account in accounts {
            self.change_keys(account, |keys, rows| {
                while let Some(key) = keys.front()
                    && rows.get(key).is_none_or(|row| now >= row.expires_at)
                {
                    rows.remove(key);
                    keys.pop_front();
                }
            });
        }
    }

    /// Changes an account's keys, and keeps its number of keys up to date.
    fn change_keys(
        &mut self,
        account: u64,
        change: impl FnOnce(&mut VecDeque<StreamKey>, &mut HashMap<StreamKey, RecordRow>),
    ) {
        let keys = self.keys_by_account.entry(account).or_default();
        let size_before = keys.len();
        change(keys, &mut self.rows);
        let size = keys.len();
        if size == 0 {
            self.keys_by_account.remove(&account);
        }
        if size != size_before {
            self.accounts_by_size.remove(&(size_before, account));
            if size > 0 {
                self.accounts_by_size.insert((size, account));
            }
        }
    }
}
