//! One request in a group: what it asks for, and how far it is.

use crate::text::{answer_length, prompt_digest, token_count};
use dockwood_api::engine::{GenerateRequest, RequestPhase};
use std::sync::Mutex;
use tokio::sync::watch;

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Its phase.
    pub phase: RequestPhase,
    /// The first sequence not produced.
    pub next_sequence: u32,
}

/// A request in a group.
#[derive(Debug)]
pub struct Run {
    /// The request.
    pub request: GenerateRequest,
    /// Identifies the prompt, and with it the answer.
    pub prompt_digest: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the whole answer.
    pub total_tokens: u32,
    /// Prompt tokens that were in the cache; set when the run begins.
    cached_tokens: Mutex<u32>,
    progress: watch::Sender<Progress>,
}

impl Run {
    /// A request that runs from where it asks to be resumed.
    pub fn new(request: GenerateRequest) -> Run {
        let total_tokens = answer_length(&request.prompt, request.max_tokens);
        let first = request.resume_from.min(total_tokens);
        let progress = Progress { phase: RequestPhase::Running, next_sequence: first };
        Run {
            prompt_digest: prompt_digest(&request.prompt),
            prompt_tokens: token_count(&request.prompt),
            total_tokens,
            cached_tokens: Mutex::new(0),
            progress: watch::channel(progress).0,
            request,
        }
    }

    /// Follows the run.
    pub fn watch(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Prompt tokens that were in the cache.
    pub fn cached_tokens(&self) -> u32 {
        *self.cached_tokens.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Notes how many prompt tokens were in the cache.
    pub fn set_cached_tokens(&self, tokens: u32) {
        *self.cached_tokens.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = tokens;
    }

    /// How far it is.
    pub fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Notes how far it is.
    pub fn set_progress(&self, progress: Progress) {
        self.progress.send_replace(progress);
    }

    /// Whether anybody follows it.
    pub fn is_watched(&self) -> bool {
        self.progress.receiver_count() > 0
    }
}
