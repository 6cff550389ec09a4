//! Execution of a request: acquires a slot, makes an attempt, and retries at another replica if necessary.

use super::admission::ReplicaSearch;
use super::stream::AttemptResult;
use super::{ChatEvent, ChatJob, CompletionStats, Failure, outcome_unknown};
use crate::clock::monotonic_ms;
use crate::traffic::Traffic;
use crate::traffic::engine_stream::cancel_request;
use dockwood_api::ResultCode;
use dockwood_routing::{Millis, WithheldSends};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// A caller that accepts no data for this long counts as disconnected.
const CALLER_SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// A request in progress.
pub(super) struct ChatRun {
    pub(super) traffic: Arc<Traffic>,
    pub(super) job: Arc<ChatJob>,
    pub(super) events: mpsc::Sender<ChatEvent>,
    pub(super) caller_disconnected: bool,
    /// Whether an earlier send of the same request may have reached a back end.
    pub(super) may_have_run_before: bool,
    /// Whether the request was recorded as running here.
    pub(super) is_recorded: bool,
    pub(super) forwarded_tokens: u32,
    pub(super) text: String,
    pub(super) prompt_tokens: u32,
    pub(super) queued_ms: u32,
    pub(super) claim_attempt: Option<u64>,
    pub(super) search: ReplicaSearch,
}

impl ChatRun {
    /// Creates the state of a request that has just arrived.
    pub(super) fn new(traffic: Arc<Traffic>, job: ChatJob, events: mpsc::Sender<ChatEvent>) -> Self {
        let job = Arc::new(job);
        ChatRun {
            search: ReplicaSearch::new(traffic.clone(), job.clone()),
            traffic,
            job,
            events,
            caller_disconnected: false,
            may_have_run_before: false,
            is_recorded: false,
            forwarded_tokens: 0,
            text: String::new(),
            prompt_tokens: 0,
            queued_ms: 0,
            claim_attempt: None,
        }
    }

    pub(super) async fn send_event(&mut self, event: ChatEvent) {
        if self.caller_disconnected {
            return;
        }
        let sent = self.events.send_timeout(event, CALLER_SEND_TIMEOUT).await;
        self.caller_disconnected = sent.is_err();
    }

    /// Returns whether the request continues after its caller has disconnected.
    pub(super) fn continues_without_caller(&self) -> bool {
        self.job.has_idempotency_key || !self.job.repeatable
    }

    pub(super) fn milliseconds_left(&self) -> Millis {
        self.job.deadline.saturating_sub(monotonic_ms())
    }

    pub(super) async fn run_to_end(&mut self) -> Result<CompletionStats, Failure> {
        let mut retry_reason: Option<&str> = None;
        let mut withheld = WithheldSends::default();
        loop {
            if retry_reason.take().is_some_and(|reason| !self.traffic.try_retry(reason)) {
                return Err(self.final_failure("the retry budget is used up"));
            }
            let mut slot = self.search.acquire_admitted_slot().await?;
            self.queued_ms += slot.grant.queued_ms;
            if let Some(failure) = self.claim().await {
                return Err(failure);
            }
            let result = self.attempt(&mut slot).await;
            // An engine that crashes may still report that it aborted its runs.
            if matches!(result, AttemptResult::Broken | AttemptResult::Aborted) {
                self.search.gate.connection_broke(|| ()).await;
            }
            let result = match result {
                AttemptResult::Broken if self.job.repeatable => {
                    slot.replica_broken = true;
                    AttemptResult::Retryable("broken")
                }
                AttemptResult::Broken => {
                    slot.replica_broken = true;
                    self.query_outcome(&mut slot).await
                }
                result => result,
            };
            self.search.avoided_replicas = vec![slot.grant.replica.clone()];
            match result {
                AttemptResult::Finished => {
                    self.search.gate.answered();
                    return Ok(self.completion_stats());
                }
                AttemptResult::Retryable(reason) => retry_reason = Some(reason),
                AttemptResult::Aborted => retry_reason = Some("aborted"),
                AttemptResult::Withheld if withheld.record(&slot.grant.replica) => {}
                AttemptResult::Withheld => {
                    return Err(self.final_failure("no replica accepted the request in time"));
                }
                AttemptResult::CallerDisconnected => {
                    self.cancel_at(slot.grant.head);
                    return Err(Failure::new(ResultCode::Interrupted, "the caller left"));
                }
                AttemptResult::DeadlinePassed => {
                    self.cancel_at(slot.grant.head);
                    return Err(Failure::new(ResultCode::DeadlinePassed, "the deadline passed while it ran"));
                }
                AttemptResult::Unknown | AttemptResult::Broken => return Err(outcome_unknown()),
            }
        }
    }

    /// Cancels the request at a head. The caller does not wait for it: the head may be silent.
    fn cancel_at(&self, head: SocketAddr) {
        let (http, id) = (self.traffic.http.clone(), self.job.engine_id());
        tokio::spawn(async move { cancel_request(&http, head, &id).await });
    }

    pub(super) fn completion_stats(&self) -> CompletionStats {
        CompletionStats {
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.forwarded_tokens,
            queued_ms: self.queued_ms,
            reached_max_tokens: self.job.max_tokens.is_some_and(|bound| self.forwarded_tokens >= bound),
        }
    }

    /// Returns the failure of a request that can't be continued: "not run" if no back end may have run it.
    pub(super) fn final_failure(&self, message: &str) -> Failure {
        let code =
            if self.search.dispatched { ResultCode::Interrupted } else { ResultCode::BackendUnreachable };
        Failure::new(code, message)
    }
}
