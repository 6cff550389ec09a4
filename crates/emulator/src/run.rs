//! The execution of a request in a group.

use crate::text::{answer_length, prompt_digest, token_count};
use dockwood_api::engine::{GenerateRequest, RequestPhase};
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// Progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Phase of the request.
    pub phase: RequestPhase,
    /// First sequence number not produced yet.
    pub next_sequence: u32,
}

/// A run with a subscription to its progress. As long as it exists, the run is not abandoned.
#[derive(Debug)]
pub struct SubscribedRun {
    /// The run.
    pub run: Arc<Run>,
    /// Its progress.
    pub progress: watch::Receiver<Progress>,
}

impl SubscribedRun {
    /// Subscribes to a run.
    pub fn new(run: Arc<Run>) -> SubscribedRun {
        SubscribedRun { progress: run.progress.subscribe(), run }
    }
}

/// The execution of a request in a group.
#[derive(Debug)]
pub struct Run {
    /// The request.
    pub request: GenerateRequest,
    /// Digest of the prompt, which determines the answer.
    pub prompt_digest: u64,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens in the complete answer.
    pub total_tokens: u32,
    /// Number of prompt tokens found in the prefix cache; set when the run enters the batch.
    cached_tokens: Mutex<u32>,
    progress: watch::Sender<Progress>,
}

impl Run {
    /// Creates a run that starts at the sequence number from which the request resumes.
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

    /// Returns the number of prompt tokens found in the prefix cache.
    pub fn cached_tokens(&self) -> u32 {
        *self.cached_tokens.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Sets the number of prompt tokens found in the prefix cache.
    pub fn set_cached_tokens(&self, tokens: u32) {
        *self.cached_tokens.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = tokens;
    }

    /// Returns the progress.
    pub fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Sets the progress.
    pub fn set_progress(&self, progress: Progress) {
        self.progress.send_replace(progress);
    }

    /// Whether anyone is subscribed to the run.
    pub fn is_subscribed(&self) -> bool {
        self.progress.receiver_count() > 0
    }
}
