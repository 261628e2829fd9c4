//! Selects the segments in a store's listing that were computed with outdated weights.
//!
//! Invariant: a segment with a newer copy in the same store is not released before that copy is gone, too.
//! Transfers of the newer copy may be under way, and the protocol doesn't state whether a store distinguishes
//! the copies of one segment while it releases one of them. Little space is lost, because releases follow
//! soon after a change of weights.

use crate::CacheUpdate;
use crate::parse_cache_salt;
use std::collections::HashSet;

/// Returns the salts and segments of `model` in a listing that were computed with weights older than
/// `version`.
///
/// # Examples
/// ```
/// use spanfold_decide::{CacheChange, CacheUpdate, outdated_segments};
/// let change = |salt: &str| CacheChange { cache_salt: salt.into(), segment: 7, segment_text: "7".into(), tokens: 9 };
/// let update = CacheUpdate { changes: vec![change("shared.m.1")], ..CacheUpdate::default() };
/// assert_eq!(outdated_segments(&update, "m", 2), [("shared.m.1".to_owned(), "7".to_owned())]);
/// assert!(outdated_segments(&update, "m", 1).is_empty());
/// ```
pub fn outdated_segments(update: &CacheUpdate, model: &str, version: u64) -> Vec<(String, String)> {
    let version_of =
        |salt: &str| parse_cache_salt(salt).filter(|(name, _)| *name == model).map(|(_, used)| used);
    let is_outdated = |salt: &str| version_of(salt).is_some_and(|used| used < version);
    let renewed: HashSet<&str> = update
        .changes
        .iter()
        .filter(|change| !is_outdated(&change.cache_salt))
        .map(|change| change.segment_text.as_str())
        .collect();
    let listed = update.changes.iter().map(|change| (&change.cache_salt, &change.segment_text));
    let broken = update.broken_segments.iter().map(|(salt, segment)| (salt, segment));
    listed
        .chain(broken)
        .filter(|(salt, segment)| is_outdated(salt) && !renewed.contains(segment.as_str()))
        .map(|(salt, segment)| (salt.clone(), segment.clone()))
        .collect()
}
