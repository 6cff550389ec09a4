//! One chat request from arrival to its last token.
//!
//! The entry holds the request, gets a slot, sends it to a replica itself, and forwards the tokens. A broken
//! stream is resumed elsewhere from the first token that was not forwarded; a request that may not be run
//! twice only after its engine has said what became of it.

mod admission;
mod outcome;
mod run;
mod stream;

use super::Traffic;
use super::records::record_key;
use crate::published::Route;
use crate::pushback::Unavailable;
use dockwood_api::ResultCode;
use dockwood_api::gateway::Fingerprint;
use dockwood_api::peer::StoredAnswer;
use dockwood_routing::Millis;
use dockwood_state::ClaimKey;
use run::Run;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Expected answer length for fair shares, where the request names none.
const DEFAULT_ANSWER_TOKENS: u32 = 64;
/// Bytes of prompt text in one token, about.
const BYTES_PER_TOKEN: usize = 4;

/// A checked chat request.
#[derive(Clone, Debug)]
pub struct ChatJob {
    /// Request id.
    pub id: String,
    /// Whether the id is the caller's, who may send it again.
    pub keyed: bool,
    /// Tenant.
    pub tenant: String,
    /// Its tier, for metrics.
    pub tier: u8,
    /// The model or adapter that was asked for.
    pub model: String,
    /// Where it may go, best first.
    pub routes: Vec<Route>,
    /// Prompt.
    pub prompt: String,
    /// Bound of the answer.
    pub max_tokens: Option<u32>,
    /// Whether it may be run more than once.
    pub repeatable: bool,
    /// When it arrived.
    pub arrived: Millis,
    /// When the caller ceases to wait.
    pub deadline: Millis,
    /// Digest of the content.
    pub content_digest: u64,
    /// What the request is recognised by when it comes again, under whatever id.
    pub fingerprint: Fingerprint,
}

impl ChatJob {
    /// The id by which engines know the request: ids are unique within a tenant only.
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

/// Why a request got no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The numbered code.
    pub code: ResultCode,
    /// For people.
    pub message: String,
    /// When to come back.
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// A failure without a retry time.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Failure { code, message: message.into(), retry_after_ms: None }
    }

    /// A request for which there is no server.
    pub fn unavailable(unavailable: Unavailable) -> Self {
        let Unavailable { code, retry_after_ms, .. } = unavailable;
        Failure { code, message: code.meaning().to_string(), retry_after_ms }
    }

    /// The same for a request whose earlier sending may have run: the reason stays, "not run" does not.
    pub fn of_resend(self) -> Self {
        let message = format!("{}; an earlier sending of this request may have run", self.message);
        Failure { code: ResultCode::RanBefore, message, ..self }
    }
}

/// What the caller is told, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChatEvent {
    /// More text.
    Text(String),
    /// The answer is whole.
    Finished(Finish),
    /// The answer was kept from an earlier run of the same request.
    Kept(StoredAnswer),
    /// There will be no whole answer.
    Failed(Failure),
}

/// Figures of a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub answer_tokens: u32,
    /// Milliseconds waited for slots.
    pub queued_ms: u32,
    /// The bound of the request ended the answer.
    pub by_length: bool,
}

/// Runs a request to its end; every event goes to `events`. Returns the whole text, if there is one, for
/// keeping.
pub async fn run_chat(
    traffic: Arc<Traffic>,
    job: ChatJob,
    events: mpsc::Sender<ChatEvent>,
    keep_body: KeepBody,
) {
    traffic.count_request();
    let mut run = Run::new(traffic, job, events);
    if run.job.keyed
        && let Some(event) = run.earlier_answer().await
    {
        run.tell(event).await;
        return;
    }
    let may_serve = run.job.routes.iter().any(|route| run.traffic.shared.may_dispatch(&route.pool));
    let result = match run.traffic.closed(may_serve) {
        Some(failure) => Err(failure),
        None => run.run().await,
    };
    let result = result.map_err(|failure| run.truthful(failure));
    run.finish(result, keep_body).await;
}

/// Builds the body that is kept from the whole text.
pub type KeepBody = fn(&ChatJob, &str, &Finish) -> StoredAnswer;

fn unknown() -> Failure {
    Failure::new(ResultCode::OutcomeUnknown, "the engine that had the request can't tell what became of it")
}
