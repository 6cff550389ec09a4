//! Execution of a chat request, from its arrival to the last token.
//!
//! The entry acquires a slot, sends the request to the replica itself, and forwards the tokens. After a failure the
//! stream is resumed at another replica from the first token that was not forwarded. An at-most-once request is resumed
//! only after its engine has reported its state. A stream that merely stalls is read on until another replica has begun to
//! answer.

mod admission;
mod outcome;
mod run;
mod sending;
mod stall;
mod stream;

use super::Traffic;
use super::records::record_key;
use crate::published::Route;
use crate::pushback::Unavailable;
use dockwood_api::ResultCode;
use dockwood_api::gateway::{Fingerprint, PromptPart};
use dockwood_api::peer::StoredAnswer;
use dockwood_routing::Millis;
use dockwood_state::ClaimKey;
use run::ChatRun;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Answer length that is assumed for fair sharing if the request sets no maximum, and at most assumed otherwise, in
/// tokens.
const DEFAULT_ANSWER_TOKENS: u32 = 64;
/// Approximate number of bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;

/// A validated chat request.
#[derive(Clone, Debug)]
pub struct ChatJob {
    /// Request id, unique within the tenant.
    pub id: String,
    /// Whether the caller provided the id, so that it may send the request again.
    pub has_idempotency_key: bool,
    /// Name of the tenant.
    pub tenant: String,
    /// Tier of the tenant, for metrics.
    pub tier: u8,
    /// Requested model or adapter.
    pub model: String,
    /// Possible routes, in order of preference.
    pub routes: Vec<Route>,
    /// Prompt text.
    pub prompt: String,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: Arc<[PromptPart]>,
    /// Maximum length of the answer.
    pub max_tokens: Option<u32>,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// Time of arrival.
    pub arrived: Millis,
    /// Time until which the caller waits.
    pub deadline: Millis,
    /// Digest of the request body.
    pub content_digest: u64,
    /// Identifies the request when it is sent again, also under another id.
    pub fingerprint: Fingerprint,
}

impl ChatJob {
    /// Returns the request id for engines. It includes the tenant, because ids are unique only within a tenant.
    pub fn engine_id(&self) -> String {
        format!("{}.{}", self.tenant, self.id)
    }

    pub(super) fn record_key(&self) -> String {
        record_key(&self.tenant, &self.id)
    }

    pub(super) fn claim_key(&self) -> ClaimKey {
        ClaimKey { tenant: self.tenant.clone(), request: self.id.clone() }
    }

    pub(super) fn cost_tokens(&self) -> u32 {
        let prompt = self.prompt.len().div_ceil(BYTES_PER_TOKEN) as u32;
        prompt + self.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS).min(DEFAULT_ANSWER_TOKENS)
    }
}

/// Why a request has no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Result code.
    pub code: ResultCode,
    /// Human-readable description.
    pub message: String,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Creates a failure without a retry-after time.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Failure { code, message: message.into(), retry_after_ms: None }
    }

    /// Creates the failure of a request for which no server is available.
    pub fn unavailable(unavailable: Unavailable) -> Self {
        let Unavailable { code, retry_after_ms, .. } = unavailable;
        Failure { code, message: code.meaning().to_string(), retry_after_ms }
    }

    /// Converts the failure for a request of which an earlier send may have run: the reason is kept, but the code no
    /// longer says "not run".
    pub fn of_resent_request(self) -> Self {
        let message = format!("{}; an earlier sending of this request may have run", self.message);
        Failure { code: ResultCode::RanBefore, message, ..self }
    }
}

/// An event of the answer, in the order in which they are sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChatEvent {
    /// The next piece of text.
    Text(String),
    /// The answer is complete.
    Finished(CompletionStats),
    /// The stored answer of an earlier run of the same request.
    Kept(StoredAnswer),
    /// There is no complete answer.
    Failed(Failure),
}

/// Statistics of a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletionStats {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens in the answer.
    pub answer_tokens: u32,
    /// Time spent waiting for slots, in milliseconds.
    pub queued_ms: u32,
    /// Whether the answer ended because it reached its maximum length.
    pub reached_max_tokens: bool,
}

/// Runs a request to its end and sends its events to `events`. A complete answer is encoded by `encode_answer` and
/// stored.
pub async fn run_chat(
    traffic: Arc<Traffic>,
    job: ChatJob,
    events: mpsc::Sender<ChatEvent>,
    encode_answer: AnswerEncoder,
) {
    traffic.count_request();
    let mut run = ChatRun::new(traffic, job, events);
    if run.job.has_idempotency_key
        && let Some(event) = run.find_earlier_result().await
    {
        run.send_event(event).await;
        return;
    }
    let may_serve = run.job.routes.iter().any(|route| run.traffic.shared.may_dispatch(&route.pool));
    let result = match run.traffic.new_request_failure(may_serve) {
        Some(failure) => Err(failure),
        None => run.run_to_end().await,
    };
    let result = result.map_err(|failure| run.failure_to_report(failure));
    run.finish(result, encode_answer).await;
}

/// Encodes a complete answer for storage.
pub type AnswerEncoder = fn(&ChatJob, &str, &CompletionStats) -> StoredAnswer;

fn outcome_unknown() -> Failure {
    Failure::new(ResultCode::OutcomeUnknown, "the engine that had the request can't tell what became of it")
}
