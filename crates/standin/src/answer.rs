//! The answer of an engine stand-in, computed from the whole prompt block by block.
//!
//! The state after each block is a digest of the state before it and the block's text; it is the
//! stand-in's "KV cache". The first state is a digest of cache salt and weight version.

use serde_json::Value;

/// Length of a whole block of a prompt.
pub const BLOCK_BYTES: usize = 4_096;

/// The state after a prefix of the prompt's blocks.
pub(crate) type PrefixState = [u8; 32];

const ANSWER_TOKENS: [&str; 32] = [
    "form", "date", "slot", "file", "rule", "list", "page", "seal", "copy", "name", "part", "print",
    "nozzle", "layer", "sheet", "check", "desk", "queue", "stamp", "photo", "visa", "clerk", "fee", "door",
    "hour", "proof", "spool", "model", "wall", "speed", "bed", "answer",
];

pub(crate) fn first_state(cache_salt: &str, version: &str) -> PrefixState {
    let mut hasher = blake3::Hasher::new();
    hasher.update(cache_salt.as_bytes()).update(&[0]).update(version.as_bytes());
    *hasher.finalize().as_bytes()
}

pub(crate) fn next_state(state: &PrefixState, block: &[u8]) -> PrefixState {
    let mut hasher = blake3::Hasher::new();
    hasher.update(state).update(block);
    *hasher.finalize().as_bytes()
}

/// Returns token number `index` of the answer to a prompt with the final state `state`.
pub(crate) fn answer_token(state: &PrefixState, index: u32) -> &'static str {
    let mut hasher = blake3::Hasher::new();
    hasher.update(state).update(&index.to_be_bytes());
    ANSWER_TOKENS[usize::from(hasher.finalize().as_bytes()[0]) % ANSWER_TOKENS.len()]
}

/// Returns the right answer of an engine with weight `version` under `cache_salt`.
///
/// # Examples
/// ```
/// use spanfold_standin::expected_answer;
/// assert_ne!(expected_answer("a", "1", "hello", 8), expected_answer("b", "1", "hello", 8));
/// ```
pub fn expected_answer(cache_salt: &str, version: &str, prompt: &str, tokens: u32) -> String {
    let state = prompt
        .as_bytes()
        .chunks(BLOCK_BYTES)
        .fold(first_state(cache_salt, version), |state, block| next_state(&state, block));
    let answer_tokens: Vec<&str> = (0..tokens).map(|index| answer_token(&state, index)).collect();
    answer_tokens.iter().map(|token| format!("{token} ")).collect()
}

/// Renders chat messages as a prompt, as `docs/INTERFACES.md` specifies.
///
/// # Examples
/// ```
/// let messages = serde_json::json!([{"role": "user", "content": "hi"}]);
/// assert_eq!(spanfold_standin::render_messages(&messages), "<|user|>hi\n");
/// ```
pub fn render_messages(messages: &Value) -> String {
    let rows = messages.as_array().map_or(&[][..], Vec::as_slice);
    rows.iter()
        .map(|row| {
            let text = |key: &str| row[key].as_str().unwrap_or_default().to_owned();
            format!("<|{}|>{}\n", text("role"), text("content"))
        })
        .collect()
}
