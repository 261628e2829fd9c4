//! Which parts of a store's listing were made by weights that are gone.
//!
//! Invariant: a part whose newer copy stands in the same store is left alone until that copy goes,
//! too. Moves of the newer copy may be under way, and whether a store tells the copies of one part
//! apart while it frees one of them is not said by its protocol; the room lost is small, because
//! freeing comes soon after a change of weights.

use crate::CacheUpdate;
use crate::salt_version;
use std::collections::HashSet;

/// Salts and parts of `model` in a listing that weights older than `version` made.
///
/// # Examples
/// ```
/// use spanfold_decide::{KeptChange, KeptNews, old_parts};
/// let part = |salt: &str| KeptChange { salt: salt.into(), part: 7, part_text: "7".into(), tokens: 9 };
/// let news = KeptNews { changes: vec![part("shared.m.1")], ..KeptNews::default() };
/// assert_eq!(old_parts(&news, "m", 2), [("shared.m.1".to_owned(), "7".to_owned())]);
/// assert!(old_parts(&news, "m", 1).is_empty());
/// ```
pub fn outdated_segments(news: &CacheUpdate, model: &str, version: u64) -> Vec<(String, String)> {
    let made_by = |salt: &str| salt_version(salt).filter(|(other, _)| *other == model).map(|(_, made)| made);
    let is_old = |salt: &str| made_by(salt).is_some_and(|made| made < version);
    let renewed: HashSet<&str> = news
        .changes
        .iter()
        .filter(|change| !is_old(&change.salt))
        .map(|change| change.segment_text.as_str())
        .collect();
    let held = news.changes.iter().map(|change| (&change.salt, &change.segment_text));
    let broken = news.broken.iter().map(|(salt, part)| (salt, part));
    held.chain(broken)
        .filter(|(salt, part)| is_old(salt) && !renewed.contains(part.as_str()))
        .map(|(salt, part)| (salt.clone(), part.clone()))
        .collect()
}
