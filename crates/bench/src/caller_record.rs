//! What a caller observed of a request, and the comparison of its answer with the expected one.

use crate::trace::RequestKind;
use serde::{Deserialize, Serialize};

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerResult {
    /// The complete and correct answer.
    Whole,
    /// Reported as not run.
    NotRun,
    /// Reported as unknown or incomplete.
    Unknown,
    /// Complete according to the protocol, but truncated.
    Cut,
    /// An answer that belongs to another request.
    Mixed,
    /// No final outcome.
    Lost,
}

/// Observations of one caller on one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct CallerRecord {
    /// Request id as seen by engines and services.
    pub engine_id: String,
    /// Kind of request.
    pub kind: RequestKind,
    /// Tier of the tenant.
    pub tier: u8,
    /// Whether it may be executed more than once.
    pub repeatable: bool,
    /// When it was first sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// When the caller had the final outcome, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// Time from first sending to the first token, in milliseconds; streamed chats only.
    pub first_token_ms: Option<f64>,
    /// Times between tokens, in milliseconds.
    pub between_tokens_ms: Vec<f64>,
    /// Number of tokens received.
    pub tokens: u32,
    /// Result.
    pub result: CallerResult,
    /// Last result code other than success.
    pub code: Option<u16>,
    /// Each time the caller was told "not run", in milliseconds since the Unix epoch.
    pub told_not_run_ms: Vec<u64>,
    /// Number of times the request was sent.
    pub attempts: u32,
}

/// Classifies an answer: the expected text, a prefix of it, or a different text.
pub fn classify_answer(text: &str, expected: &str) -> CallerResult {
    if text == expected {
        CallerResult::Whole
    } else if expected.starts_with(text) {
        CallerResult::Cut
    } else {
        CallerResult::Mixed
    }
}
