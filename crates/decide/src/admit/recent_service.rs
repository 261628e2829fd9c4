//! Service that client accounts received recently. Queues serve the account that received least first.

use spanfold_entity::Moment;
use std::collections::{BTreeMap, VecDeque};

/// Time for which service counts for its account, in milliseconds. It covers several requests of an account,
/// even at small rates.
const SERVICE_RETENTION_MILLIS: u64 = 10_000;
/// Key of requests without an account, and of accounts beyond the maximum.
const SHARED_ACCOUNT: &str = "";

/// Recent service by account, in units that the caller chooses, such as requests or tokens.
#[derive(Debug)]
pub(crate) struct RecentService {
    /// Accounts that are counted separately. All others share the count of requests without an account, which
    /// bounds memory.
    max_accounts: usize,
    /// Time until which each service counts, its account and its units, oldest first.
    served: VecDeque<(Moment, String, u64)>,
    /// Sum and number of each account's entries in `served`.
    totals: BTreeMap<String, (u64, usize)>,
}

impl Default for RecentService {
    /// Counts every account separately.
    fn default() -> Self {
        Self::with_max_accounts(usize::MAX)
    }
}

impl RecentService {
    /// Creates a record that counts `max_accounts` accounts separately.
    pub(crate) const fn with_max_accounts(max_accounts: usize) -> Self {
        Self { max_accounts, served: VecDeque::new(), totals: BTreeMap::new() }
    }

    /// Returns the units that an account received recently.
    pub(crate) fn units(&self, account: &str) -> u64 {
        self.totals.get(self.key(account)).map_or(0, |(units, _)| *units)
    }

    /// Returns the units of all accounts that are not counted separately.
    pub(crate) fn shared_units(&self) -> u64 {
        self.units(SHARED_ACCOUNT)
    }

    /// Adds units that an account received at `now`.
    pub(crate) fn record(&mut self, account: &str, units: u64, now: Moment) {
        self.discard_expired(now);
        let key = self.key(account).to_owned();
        let (total, count) = self.totals.entry(key.clone()).or_default();
        *total = total.saturating_add(units);
        *count += 1;
        self.served.push_back((now.after_millis(SERVICE_RETENTION_MILLIS), key, units));
    }

    /// Discards service that no longer counts.
    pub(crate) fn discard_expired(&mut self, now: Moment) {
        while self.served.front().is_some_and(|(counts_until, ..)| now >= *counts_until) {
            let Some((_, account, units)) = self.served.pop_front() else { return };
            match self.totals.get_mut(&account) {
                Some((total, count)) if *count > 1 => {
                    *total = total.saturating_sub(units);
                    *count -= 1;
                }
                _ => drop(self.totals.remove(&account)),
            }
        }
    }

    /// Whether no service counts any more.
    pub(crate) fn is_empty(&self) -> bool {
        self.served.is_empty()
    }

    fn key<'a>(&self, account: &'a str) -> &'a str {
        if self.totals.len() < self.max_accounts || self.totals.contains_key(account) {
            account
        } else {
            SHARED_ACCOUNT
        }
    }
}
