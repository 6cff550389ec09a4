//! What one caller saw of one request, and how its answer is held against the only right one.

use crate::trace::RequestKind;
use serde::{Deserialize, Serialize};

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerResult {
    /// The whole answer, and the right one.
    Whole,
    /// Told that it was not run.
    NotRun,
    /// Told that the outcome is not known, or that the answer is incomplete.
    Unknown,
    /// Taken for whole by the protocol, but incomplete.
    Cut,
    /// An answer that belongs to another request.
    Mixed,
    /// No final word at all.
    Lost,
}

/// What one caller saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct CallerRecord {
    /// The id by which engines and services know the request.
    pub engine_id: String,
    /// What it was for.
    pub kind: RequestKind,
    /// Its tenant's tier.
    pub tier: u8,
    /// Whether it could be run more than once.
    pub repeatable: bool,
    /// When it was first sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// When the caller had its final word.
    pub ended_ms: u64,
    /// Milliseconds from first sending to the first token; streamed chats only.
    pub first_token_ms: Option<f64>,
    /// Milliseconds between tokens.
    pub between_tokens_ms: Vec<f64>,
    /// Tokens received.
    pub tokens: u32,
    /// How it ended.
    pub result: CallerResult,
    /// The last result code that was not success.
    pub code: Option<u16>,
    /// When the caller was told "not run", each time, in milliseconds since the Unix epoch.
    pub told_not_run_ms: Vec<u64>,
    /// Times it was sent.
    pub attempts: u32,
}

/// Whether a text is the expected one, a part of it, or something else.
pub fn judge_text(text: &str, expected: &str) -> CallerResult {
    if text == expected {
        CallerResult::Whole
    } else if expected.starts_with(text) {
        CallerResult::Cut
    } else {
        CallerResult::Mixed
    }
}
