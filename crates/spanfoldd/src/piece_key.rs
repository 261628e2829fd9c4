//! Keys of a prompt's pieces.
//!
//! Invariant: a key binds the account, the model, the weight version and all text up to the
//! piece's end. Two accounts, or two versions, never have a key in common. The first 16 bits are
//! those of the first piece's hash: the group by which prompts are spread over cells.

use crate::secret::SecretKeys;

/// Bytes of one whole piece, about a thousand tokens.
pub const PIECE_BYTES: usize = 4_096;
/// Bytes of a prompt that are counted as one token.
const BYTES_PER_TOKEN: usize = 4;

/// The keys of a prompt's whole pieces.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PieceKeys {
    /// Keys as engines and stores know them: 32 hexadecimal digits.
    pub full: Vec<String>,
    /// Their first 64 bits.
    pub short: Vec<u64>,
}

impl PieceKeys {
    pub(crate) fn new(keys: &SecretKeys, account: &str, model: &str, version: &str, prompt: &[u8]) -> Self {
        let mut chain = blake3::Hasher::new_keyed(&keys.cache);
        for part in [account, model, version] {
            chain.update(&(part.len() as u64).to_be_bytes()).update(part.as_bytes());
        }
        let mut pieces = Self::default();
        let mut group = [0; 2];
        for piece in prompt.chunks_exact(PIECE_BYTES) {
            chain.update(piece);
            let hash = chain.finalize();
            if pieces.full.is_empty() {
                group.copy_from_slice(&hash.as_bytes()[..2]);
            }
            let mut key = [0; 16];
            key[..2].copy_from_slice(&group);
            key[2..].copy_from_slice(&hash.as_bytes()[2..16]);
            let number = u128::from_be_bytes(key);
            pieces.full.push(format!("{number:032x}"));
            pieces.short.push((number >> 64) as u64);
        }
        pieces
    }
}

/// Tokens of a prompt, estimated from its bytes.
pub(crate) fn estimate_tokens(bytes: usize) -> u32 {
    (bytes / BYTES_PER_TOKEN).max(1) as u32
}

/// The salt under which engines cache an account's prompts, given the deployment's secret.
///
/// # Examples
/// ```
/// use spanfoldd::cache_salt;
/// assert_ne!(cache_salt("secret", "a"), cache_salt("secret", "b"));
/// ```
pub fn cache_salt(secret: &str, account: &str) -> String {
    salt_of(&SecretKeys::derive(secret), account)
}

pub(crate) fn salt_of(keys: &SecretKeys, account: &str) -> String {
    blake3::keyed_hash(&keys.cache, account.as_bytes()).to_hex()[..32].to_owned()
}
