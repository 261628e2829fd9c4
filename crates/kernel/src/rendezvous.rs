//! Rendezvous hashing: assigns every role to one of the live VMs.
//!
//! Invariant: two VMs with the same view choose the same holder, and the failure of a holder moves
//! only its own roles. A hash ring would need virtual nodes to distribute roles as evenly over 25
//! VMs.

/// Returns the candidate with the highest hash for `key`.
///
/// # Examples
/// ```
/// use spanfold_kernel::rendezvous;
/// let candidates = ["a", "b", "c"];
/// let holder = rendezvous("cell", candidates.iter().copied()).unwrap();
/// let others = candidates.iter().copied().filter(|name| *name != holder);
/// assert_ne!(rendezvous("cell", others), Some(holder));
/// ```
pub fn rendezvous<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    candidates.max_by_key(|candidate| (hash_pair(key, candidate), *candidate))
}

/// Returns the candidates from the highest hash for `key` to the lowest.
///
/// # Examples
/// ```
/// use spanfold_kernel::{rendezvous, rendezvous_order};
/// let names = ["a", "b", "c"];
/// assert_eq!(Some(rendezvous_order("k", names.into_iter())[0]), rendezvous("k", names.into_iter()));
/// ```
pub fn rendezvous_order<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut order: Vec<_> = candidates.collect();
    order.sort_by_key(|candidate| std::cmp::Reverse((hash_pair(key, candidate), *candidate)));
    order
}

/// Returns a well-mixed 64-bit hash of two texts, the same in every process.
///
/// # Examples
/// ```
/// use spanfold_kernel::hash_pair;
/// assert_ne!(hash_pair("ab", "c"), hash_pair("a", "bc"));
/// ```
pub fn hash_pair(left: &str, right: &str) -> u64 {
    let mut hash = fnv(0xcbf2_9ce4_8422_2325, left.as_bytes());
    hash = fnv(hash ^ 0xff, &[0xff]);
    mix(fnv(hash, right.as_bytes()))
}

fn fnv(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// The finalizer of `SplitMix64`, as FNV alone mixes the high bits poorly for short texts.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
