//! Cache keys of a prompt's blocks.
//!
//! Invariant: a key depends on the account, the model, the weight version and all text up to the
//! block's end. Two accounts, or two versions, never share a key. The first 16 bits are those of
//! the first block's hash: the group by which prompts are distributed over cells.

use crate::secret::SecretKeys;

/// Bytes of one whole block, about a thousand tokens.
pub const BLOCK_BYTES: usize = 4_096;
/// Bytes of a prompt that count as one token in estimates.
const BYTES_PER_TOKEN: usize = 4;

/// The cache keys of a prompt's whole blocks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct BlockKeys {
    /// Keys as engines and stores use them: 32 hexadecimal digits.
    pub full: Vec<String>,
    /// The first 64 bits of the keys.
    pub short: Vec<u64>,
}

impl BlockKeys {
    pub(crate) fn new(keys: &SecretKeys, account: &str, model: &str, version: &str, prompt: &[u8]) -> Self {
        let mut chain = blake3::Hasher::new_keyed(&keys.cache);
        for field in [account, model, version] {
            chain.update(&(field.len() as u64).to_be_bytes()).update(field.as_bytes());
        }
        let mut blocks = Self::default();
        let mut group = [0; 2];
        for block in prompt.chunks_exact(BLOCK_BYTES) {
            chain.update(block);
            let hash = chain.finalize();
            if blocks.full.is_empty() {
                group.copy_from_slice(&hash.as_bytes()[..2]);
            }
            let mut key = [0; 16];
            key[..2].copy_from_slice(&group);
            key[2..].copy_from_slice(&hash.as_bytes()[2..16]);
            let number = u128::from_be_bytes(key);
            blocks.full.push(format!("{number:032x}"));
            blocks.short.push((number >> 64) as u64);
        }
        blocks
    }
}

/// Estimates the tokens of a prompt from its bytes.
pub(crate) fn estimate_tokens(bytes: usize) -> u32 {
    (bytes / BYTES_PER_TOKEN).max(1) as u32
}

/// Returns the cache salt of an account's prompts at engines, given the deployment's secret.
///
/// # Examples
/// ```
/// use spanfoldd::cache_salt;
/// assert_ne!(cache_salt("secret", "a"), cache_salt("secret", "b"));
/// ```
pub fn cache_salt(secret: &str, account: &str) -> String {
    derive_cache_salt(&SecretKeys::derive(secret), account)
}

pub(crate) fn derive_cache_salt(keys: &SecretKeys, account: &str) -> String {
    blake3::keyed_hash(&keys.cache, account.as_bytes()).to_hex()[..32].to_owned()
}
