//! What an engine answers: a function of the whole prefix, piece by piece.
//!
//! The state after each piece is a digest of the state before it and the piece's text; it is the
//! stand-in's "KV cache". Cache salt and weight version are in the first state.

use serde_json::Value;

/// Bytes of one whole piece of a prompt.
pub const PIECE_BYTES: usize = 4_096;

/// The state after some pieces.
pub(crate) type PieceState = [u8; 32];

const WORDS: [&str; 32] = [
    "form", "date", "slot", "file", "rule", "list", "page", "seal", "copy", "name", "part", "print",
    "nozzle", "layer", "sheet", "check", "desk", "queue", "stamp", "photo", "visa", "clerk", "fee", "door",
    "hour", "proof", "spool", "model", "wall", "speed", "bed", "answer",
];

pub(crate) fn first_state(salt: &str, version: &str) -> PieceState {
    let mut hasher = blake3::Hasher::new();
    hasher.update(salt.as_bytes()).update(&[0]).update(version.as_bytes());
    *hasher.finalize().as_bytes()
}

pub(crate) fn next_state(state: &PieceState, piece: &[u8]) -> PieceState {
    let mut hasher = blake3::Hasher::new();
    hasher.update(state).update(piece);
    *hasher.finalize().as_bytes()
}

/// Word number `place` of the answer that follows from `state`.
pub(crate) fn answer_word(state: &PieceState, place: u32) -> &'static str {
    let mut hasher = blake3::Hasher::new();
    hasher.update(state).update(&place.to_be_bytes());
    WORDS[usize::from(hasher.finalize().as_bytes()[0]) % WORDS.len()]
}

/// The answer that an engine of weight `version` must give under `salt`.
///
/// # Examples
/// ```
/// use spanfold_standin::expected_answer;
/// assert_ne!(expected_answer("a", "1", "hello", 8), expected_answer("b", "1", "hello", 8));
/// ```
pub fn expected_answer(salt: &str, version: &str, prompt: &str, tokens: u32) -> String {
    let state = prompt
        .as_bytes()
        .chunks(PIECE_BYTES)
        .fold(first_state(salt, version), |state, piece| next_state(&state, piece));
    let words: Vec<&str> = (0..tokens).map(|place| answer_word(&state, place)).collect();
    words.iter().map(|word| format!("{word} ")).collect()
}

/// The prompt that a list of chat messages stands for, as INTERFACES gives it.
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
