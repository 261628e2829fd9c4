//! Stores publications of weights: a record of the versions, and a mark of each recent one.
//!
//! VMs propagate how long ago each version was published. Once every VM that knows this has stopped, VMs that
//! start read the newest version from the store, but not its age: its mark tells them that it is recent.
//!
//! Invariant: only a VM that knows a publication's time writes its mark.

use crate::gateway::Gateway;
use crate::store::store_link::StoreLink;
use crate::store::write_turn::WriteTurn;
use crate::{PublicationMark, PublicationRecord, PublishedVersion, StoreTransaction, UnstoredWeights};
use std::sync::Arc;
use std::time::Duration;

/// Prefix of the marks and records; the digest of the model's name follows.
pub(crate) const PUBLICATION_PREFIX: &str = "spanfold/named/";
/// Last part of a record's key, in place of a version.
const RECORD_NAME: &str = "all";

/// Interval between checks for publications that are not stored. If all VMs stop before one is, it counts as
/// overdue when they are back.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after a failed call: calls are priced, refused ones too.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Key of a mark or record, without its prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PublicationKey {
    Mark(PublicationMark),
    /// The record of the model with this digest.
    Record(u64),
}

impl PublicationKey {
    /// Parses a key; none if it is of another form.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let (model, name) = text.split_once('/')?;
        let model = u64::from_str_radix(model, 16).ok()?;
        match name {
            RECORD_NAME => Some(Self::Record(model)),
            version => Some(Self::Mark(PublicationMark { model, version: version.parse().ok()? })),
        }
    }

    /// Returns the key with its prefix.
    fn text(self) -> String {
        match self {
            Self::Mark(PublicationMark { model, version }) => {
                format!("{PUBLICATION_PREFIX}{model:016x}/{version}")
            }
            Self::Record(model) => format!("{PUBLICATION_PREFIX}{model:016x}/{RECORD_NAME}"),
        }
    }
}

/// Stores publications that the store lacks, until the process ends.
pub(crate) async fn store_publications(gateway: Arc<Gateway>) {
    let mut writer = PublicationWriter {
        link: StoreLink::new(&gateway, "publications"),
        gateway,
        turn: WriteTurn::default(),
    };
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if !writer.write_missing().await {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

struct PublicationWriter {
    gateway: Arc<Gateway>,
    link: StoreLink,
    turn: WriteTurn,
}

impl PublicationWriter {
    /// Stores what is missing, if it is this VM's turn; false if a call failed.
    async fn write_missing(&mut self) -> bool {
        let unstored = self.gateway.unstored_weights();
        if !self.turn.is_due(&self.gateway, !unstored.is_empty()) || self.gateway.is_stopping() {
            return true;
        }
        for (model, weights) in unstored {
            if !self.write(model, &weights).await {
                return false;
            }
        }
        true
    }

    /// Stores a model's record and missing marks.
    async fn write(&mut self, model: u64, weights: &UnstoredWeights) -> bool {
        for published in &weights.unmarked {
            let mark = PublicationMark { model, version: published.version };
            if !self.write_mark(mark, published, weights).await {
                return false;
            }
        }
        weights.is_recorded || !weights.unmarked.is_empty() || self.write_items(model, weights, None).await
    }

    /// Stores a mark under a lease of its own, and the record with it.
    async fn write_mark(
        &mut self,
        mark: PublicationMark,
        published: &PublishedVersion,
        weights: &UnstoredWeights,
    ) -> bool {
        let (sent_at, version_millis) = (self.gateway.now(), self.gateway.settings.version_ms);
        let Some(millis) = PublicationMark::lifetime_millis(published, version_millis, sent_at) else {
            return weights.is_recorded || self.write_items(mark.model, weights, None).await;
        };
        let dialect = self.gateway.dialect.store;
        let call = (dialect.grant)(millis);
        let Some(Ok(grant)) = self.link.call("grant", &call, dialect.decode_grant).await else {
            return false;
        };
        if grant.ttl_millis > millis || !PublicationMark::is_grant_timely(sent_at, self.gateway.now()) {
            log::warn!(model = mark.model, version = mark.version, ttl_millis = grant.ttl_millis; "mark.late");
            return false;
        }
        if !self.write_items(mark.model, weights, Some((mark, grant.lease))).await {
            return false;
        }
        log::info!(model = mark.model, version = mark.version, ttl_millis = millis; "mark.written");
        self.gateway.record_mark(&mark);
        true
    }

    /// Writes the record unless the store has it, and a mark under its lease.
    async fn write_items(
        &mut self,
        model: u64,
        weights: &UnstoredWeights,
        mark: Option<(PublicationMark, u64)>,
    ) -> bool {
        let mut write = StoreTransaction::default();
        if let Some((mark, lease)) = mark {
            let key = PublicationKey::Mark(mark).text();
            write.conditions.push((key.clone(), None));
            write.writes.push((key, to_json(&mark), lease));
        }
        if !weights.is_recorded {
            let record = PublicationRecord { model, versions: weights.versions.clone() };
            write.writes.push((PublicationKey::Record(model).text(), to_json(&record), 0));
        }
        let dialect = self.gateway.dialect.store;
        let call = (dialect.transact)(&write);
        // If another VM was first, the watch returns its items.
        let is_written = matches!(self.link.call("write", &call, dialect.decode_transact).await, Some(Ok(_)));
        if is_written && !weights.is_recorded {
            self.gateway.record_stored_versions(model, &weights.versions);
        }
        is_written
    }
}

/// Returns the JSON form of a plain struct of numbers, which always has one.
pub(crate) fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
