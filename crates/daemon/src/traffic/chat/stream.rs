//! One attempt at one replica: forwards the stream of tokens, and determines the state of the request after a failure.

use super::ChatEvent;
use super::run::ChatRun;
use crate::clock::monotonic_ms;
use crate::pushback::{SendPermit, SendPurpose};
use crate::traffic::engine_stream::{EngineStream, OpenFailure, StreamRead, bar_request, request_state};
use crate::traffic::slots::HeldSlot;
use dockwood_api::engine::{GenerateEvent, GenerateRequest, RequestPhase};
use std::net::SocketAddr;
use std::time::Duration;

/// If a stream delivers nothing for this long, the state of the request is queried.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of state queries before the outcome counts as unknown.
const MAX_STATE_QUERIES: u32 = 4;
/// Pause between these queries.
const STATE_QUERY_PAUSE: Duration = Duration::from_millis(300);
/// Maximum length of an answer if the request sets none, in tokens.
const DEFAULT_MAX_TOKENS: u32 = 512;

/// How one attempt ended.
pub(super) enum AttemptResult {
    Finished,
    /// The request was not run beyond the forwarded tokens, and will not be: it may be sent to another replica. Carries
    /// the reason, for metrics.
    Retryable(&'static str),
    /// The request was not written to the replica: its grant had expired, or its head is on hold.
    Withheld,
    /// The engine reported that it aborted the run, after no more than the forwarded tokens. It may be exiting.
    Aborted,
    /// The stream failed; the state of the request at the engine is unknown.
    Broken,
    /// The caller has disconnected, and the answer is not needed otherwise.
    CallerDisconnected,
    DeadlinePassed,
    Unknown,
}

impl ChatRun {
    fn generate_request(&self, slot: &HeldSlot) -> GenerateRequest {
        let route = self.job.routes.iter().find(|route| route.pool == self.pool());
        GenerateRequest {
            id: self.job.engine_id(),
            replica: slot.grant.replica.clone(),
            epoch: slot.grant.epoch,
            prompt: self.job.prompt.clone(),
            adapter: route.and_then(|route| route.adapter.clone()),
            max_tokens: self.job.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            priority: slot.grant.priority,
            resume_from: self.forwarded_tokens,
            repeatable: self.job.repeatable,
        }
    }

    /// Sends the request to the granted replica and forwards what it generates.
    pub(super) async fn attempt(&mut self, slot: &mut HeldSlot) -> AttemptResult {
        self.record_running().await;
        let purpose = SendPurpose::Request { rank: slot.grant.priority.into() };
        let permit = SendPermit::acquire(&self.traffic.shared, self.send_target(slot), purpose).await;
        // Checked last: recording the request at another daemon may have taken longer than the grant's evidence is
        // valid.
        let may_write = slot.is_grant_valid() && self.gate.may_write();
        if !may_write || !self.traffic.shared.may_dispatch(&self.pool()) {
            return AttemptResult::Withheld;
        }
        let Ok(permit) = permit else {
            return AttemptResult::Withheld;
        };
        let request = self.generate_request(slot);
        match EngineStream::open(&self.traffic.http, slot.grant.head, &request, permit).await {
            Ok(stream) => {
                self.dispatched = true;
                self.forward_stream(stream, slot).await
            }
            Err(OpenFailure::Rejected) => AttemptResult::Retryable("rejected"),
            Err(OpenFailure::NotRun) => {
                slot.replica_broken = true;
                AttemptResult::Retryable("not-taken")
            }
            Err(OpenFailure::MayHaveRun) => {
                self.dispatched = true;
                AttemptResult::Broken
            }
        }
    }

    async fn forward_stream(&mut self, mut stream: EngineStream, slot: &mut HeldSlot) -> AttemptResult {
        loop {
            if self.caller_disconnected && !self.continues_without_caller() {
                return AttemptResult::CallerDisconnected;
            }
            let left = self.milliseconds_left();
            if left == 0 {
                return AttemptResult::DeadlinePassed;
            }
            match stream.next(STALL_TIMEOUT.min(Duration::from_millis(left))).await {
                StreamRead::Event(event) => {
                    if let Some(result) = self.handle_event(event, slot).await {
                        return result;
                    }
                }
                StreamRead::Stalled if self.events.is_closed() => self.caller_disconnected = true,
                StreamRead::Stalled if self.is_still_running(slot.grant.head).await => {}
                StreamRead::Stalled | StreamRead::Broken => return AttemptResult::Broken,
            }
        }
    }

    async fn is_still_running(&self, head: SocketAddr) -> bool {
        let state = request_state(&self.traffic.http, head, &self.job.engine_id()).await;
        state.is_some_and(|state| matches!(state.phase, RequestPhase::Running | RequestPhase::Finished))
    }

    async fn handle_event(&mut self, event: GenerateEvent, slot: &mut HeldSlot) -> Option<AttemptResult> {
        match event {
            GenerateEvent::Started { prompt_tokens, .. } => self.prompt_tokens = prompt_tokens,
            // A repetition of a forwarded token.
            GenerateEvent::Token { sequence, .. } if sequence < self.forwarded_tokens => {}
            GenerateEvent::Token { sequence, text } if sequence == self.forwarded_tokens => {
                self.forward_token(text).await
            }
            // A gap: tokens were lost.
            GenerateEvent::Token { .. } => return Some(AttemptResult::Broken),
            GenerateEvent::Finished { tokens } if tokens == self.forwarded_tokens => {
                return Some(AttemptResult::Finished);
            }
            GenerateEvent::Finished { .. } => return Some(AttemptResult::Broken),
            // The engine reported that it generated no more than the forwarded tokens.
            GenerateEvent::Aborted { next_sequence, .. } if next_sequence == self.forwarded_tokens => {
                slot.replica_broken = true;
                return Some(AttemptResult::Aborted);
            }
            GenerateEvent::Aborted { .. } => return Some(AttemptResult::Broken),
        }
        None
    }

    async fn forward_token(&mut self, text: String) {
        if self.forwarded_tokens == 0 {
            let elapsed = monotonic_ms().saturating_sub(self.job.arrived);
            let metrics = &self.traffic.shared.metrics;
            let tier = self.job.tier.to_string();
            metrics.first_token_seconds.with_label_values(&[&tier]).observe(elapsed as f64 / 1000.0);
            metrics.queue_seconds.with_label_values(&[&tier]).observe(f64::from(self.queued_ms) / 1000.0);
        }
        self.forwarded_tokens += 1;
        self.traffic.shared.metrics.tokens.inc();
        self.text.push_str(&text);
        self.send_event(ChatEvent::Text(text)).await;
    }

    /// Determines the state of an at-most-once request by querying the engine to which it was sent.
    pub(super) async fn query_outcome(&mut self, slot: &mut HeldSlot) -> AttemptResult {
        let (head, id) = (slot.grant.head, self.job.engine_id());
        for query in 0..MAX_STATE_QUERIES {
            if query > 0 {
                tokio::time::sleep(STATE_QUERY_PAUSE).await;
            }
            let Some(state) = request_state(&self.traffic.http, head, &id).await else { continue };
            match state.phase {
                RequestPhase::Unseen if self.forwarded_tokens == 0 => {
                    let barred = bar_request(&self.traffic.http, head, &id).await;
                    if barred.is_some_and(|state| state.phase == RequestPhase::Barred) {
                        self.dispatched = false;
                        return AttemptResult::Retryable("barred");
                    }
                }
                RequestPhase::Barred if self.forwarded_tokens == 0 => {
                    return AttemptResult::Retryable("barred");
                }
                RequestPhase::Aborted if state.next_sequence == self.forwarded_tokens => {
                    return AttemptResult::Retryable("aborted");
                }
                RequestPhase::Running | RequestPhase::Finished | RequestPhase::Aborted => {
                    match self.reattach(slot).await {
                        AttemptResult::Broken => {}
                        result => return result,
                    }
                }
                // The engine has lost the state of a request that it began: it was restarted.
                RequestPhase::Unseen | RequestPhase::Barred => return AttemptResult::Unknown,
            }
        }
        AttemptResult::Unknown
    }

    /// Continues to read from a run that continued, or ended, after the stream failed.
    async fn reattach(&mut self, slot: &mut HeldSlot) -> AttemptResult {
        // The engine runs the request already, so that reading its output is allowed also during a back-off.
        let permit = SendPermit::of_running(&self.traffic.shared, self.send_target(slot));
        let request = self.generate_request(slot);
        match EngineStream::open(&self.traffic.http, slot.grant.head, &request, permit).await {
            Ok(stream) => self.forward_stream(stream, slot).await,
            Err(_) => AttemptResult::Broken,
        }
    }
}
