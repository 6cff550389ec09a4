//! Answers: a pure function of the prompt, so that a caller can tell a whole answer to its own request from a
//! cut one, or one that belongs to somebody else.

use xxhash_rust::xxh64::xxh64;

const SYLLABLES: [&str; 32] = [
    "ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "qui", "ro", "su", "ta", "ve",
    "wi", "xo", "yu", "za", "bre", "cli", "dro", "flu", "gra", "ple", "sti", "tro", "sku", "sha", "che",
];

/// A prompt with these words ends the process of each engine that begins to run it.
pub const FATAL_PROMPT: &str = "ends whatever engine runs it";

/// Shortest natural answer, in tokens.
const MIN_ANSWER_TOKENS: u64 = 12;
/// Spread of natural answer lengths, in tokens.
const ANSWER_SPREAD_TOKENS: u64 = 64;
/// Bytes of text in one token of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// Identifies a prompt.
pub fn prompt_digest(prompt: &str) -> u64 {
    xxh64(prompt.as_bytes(), 1)
}

/// Tokens in a text.
pub fn token_count(text: &str) -> u32 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u32
}

/// Tokens in the answer to a prompt.
pub fn answer_length(prompt: &str, max_tokens: u32) -> u32 {
    let natural = MIN_ANSWER_TOKENS + prompt_digest(prompt) % ANSWER_SPREAD_TOKENS;
    max_tokens.min(natural as u32)
}

/// Text of one token.
pub fn token_text(prompt_digest: u64, sequence: u32) -> String {
    let mixed = xxh64(&sequence.to_le_bytes(), prompt_digest);
    let syllable = |shift: u32| SYLLABLES[(mixed >> shift) as usize % SYLLABLES.len()];
    let separator = if sequence == 0 { "" } else { " " };
    format!("{separator}{}{}", syllable(0), syllable(20))
}

/// The whole answer to a prompt.
pub fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    let digest = prompt_digest(prompt);
    (0..answer_length(prompt, max_tokens)).map(|sequence| token_text(digest, sequence)).collect()
}
