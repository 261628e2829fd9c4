//! Rendezvous hashing: every role is derived from who is alive.
//!
//! Invariant: two VMs with the same view choose the same holder, and a holder's death moves only
//! its own roles. A hash ring would need virtual nodes to spread as evenly over 25 VMs.

/// The candidate with the highest hash for `key`.
///
/// # Examples
/// ```
/// use spanfold_kernel::rendezvous;
/// let all = ["a", "b", "c"];
/// let holder = rendezvous("cell", all.iter().copied()).unwrap();
/// let others = all.iter().copied().filter(|name| *name != holder);
/// assert_ne!(rendezvous("cell", others), Some(holder));
/// ```
pub fn rendezvous<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    candidates.max_by_key(|candidate| (spread(key, candidate), *candidate))
}

/// The candidates from the highest hash for `key` to the lowest.
///
/// # Examples
/// ```
/// use spanfold_kernel::{rendezvous, rendezvous_order};
/// let all = ["a", "b", "c"];
/// assert_eq!(Some(rendezvous_order("k", all.into_iter())[0]), rendezvous("k", all.into_iter()));
/// ```
pub fn rendezvous_order<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut order: Vec<_> = candidates.collect();
    order.sort_by_key(|candidate| std::cmp::Reverse((spread(key, candidate), *candidate)));
    order
}

/// A well-spread 64-bit hash of two texts, the same in every process.
///
/// # Examples
/// ```
/// use spanfold_kernel::spread;
/// assert_ne!(spread("ab", "c"), spread("a", "bc"));
/// ```
pub fn spread(left: &str, right: &str) -> u64 {
    let mut hash = fnv(0xcbf2_9ce4_8422_2325, left.as_bytes());
    hash = fnv(hash ^ 0xff, &[0xff]);
    mix(fnv(hash, right.as_bytes()))
}

fn fnv(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// The finalizer of `SplitMix64`: FNV alone leaves the high bits poorly mixed for short texts.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
