//! Answer texts. They are a pure function of the prompt, so that a caller can distinguish a complete answer
//! to its own request from a truncated one or one to another request.

use xxhash_rust::xxh64::xxh64;

const SYLLABLES: [&str; 32] = [
    "ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "qui", "ro", "su", "ta", "ve",
    "wi", "xo", "yu", "za", "bre", "cli", "dro", "flu", "gra", "ple", "sti", "tro", "sku", "sha", "che",
];

/// A prompt that contains this text crashes every engine that starts to run it.
pub const FATAL_PROMPT: &str = "ends whatever engine runs it";

/// Minimum length of an answer that is not limited by the request, in tokens.
const MIN_ANSWER_TOKENS: u64 = 12;
/// Range of the lengths of such answers, in tokens.
const ANSWER_RANGE_TOKENS: u64 = 64;
/// Bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Returns a digest that identifies a prompt.
pub fn prompt_digest(prompt: &str) -> u64 {
    xxh64(prompt.as_bytes(), 1)
}

/// Returns the number of tokens in a text.
pub fn token_count(text: &str) -> u32 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u32
}

/// Returns the number of tokens in the answer to a prompt.
pub fn answer_length(prompt: &str, max_tokens: u32) -> u32 {
    let unlimited = MIN_ANSWER_TOKENS + prompt_digest(prompt) % ANSWER_RANGE_TOKENS;
    max_tokens.min(unlimited as u32)
}

/// Returns the text of one token.
pub fn token_text(prompt_digest: u64, sequence: u32) -> String {
    let hash = xxh64(&sequence.to_le_bytes(), prompt_digest);
    let syllable = |shift: u32| SYLLABLES[(hash >> shift) as usize % SYLLABLES.len()];
    let separator = if sequence == 0 { "" } else { " " };
    format!("{separator}{}{}", syllable(0), syllable(20))
}

/// Returns the complete answer to a prompt.
pub fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    let digest = prompt_digest(prompt);
    (0..answer_length(prompt, max_tokens)).map(|sequence| token_text(digest, sequence)).collect()
}
