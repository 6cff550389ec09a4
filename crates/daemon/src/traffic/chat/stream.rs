//! One attempt at one replica: the stream of tokens, and what became of it if it broke.

use super::ChatEvent;
use super::run::Run;
use crate::clock::monotonic_ms;
use crate::pushback::{SendPermit, SendPurpose};
use crate::traffic::engine_stream::{EngineStream, Next, OpenFailure, bar, request_state};
use crate::traffic::slots::HeldSlot;
use dockwood_api::engine::{GenerateEvent, GenerateRequest, RequestPhase};
use std::net::SocketAddr;
use std::time::Duration;

/// A stream that brings nothing for this long is looked into.
const STALL: Duration = Duration::from_millis(1_000);
/// Looks at a silent engine before the outcome counts as unknown.
const RESOLVE_LOOKS: u32 = 4;
/// Pause between them.
const RESOLVE_PAUSE: Duration = Duration::from_millis(300);
/// Tokens of an answer where the request names no bound.
const DEFAULT_MAX_TOKENS: u32 = 512;

/// How one attempt ended.
pub(super) enum AttemptEnd {
    Finished,
    /// Certainly not run beyond what was forwarded, and it never will be: may go elsewhere.
    Movable(&'static str),
    /// The stream broke; what the engine does now is not known.
    Broken,
    /// The caller is gone, and nobody else wants the answer.
    CallerGone,
    DeadlinePassed,
    Unknown,
}

impl Run {
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
            resume_from: self.produced,
            repeatable: self.job.repeatable,
        }
    }

    /// Sends the request to the granted replica and forwards what it generates.
    pub(super) async fn attempt(&mut self, slot: &mut HeldSlot) -> AttemptEnd {
        self.record_running().await;
        let purpose = SendPurpose::Request { rank: slot.grant.priority.into() };
        let permit = SendPermit::acquire(&self.traffic.shared, self.addressee(slot), purpose).await;
        // Looked at last: noting it at another daemon may have taken longer than the grant's evidence holds.
        let may_write = slot.is_fresh() && self.gate.may_write();
        if !may_write || !self.traffic.shared.may_dispatch(&self.pool()) {
            return AttemptEnd::Movable("stale-grant");
        }
        let Ok(permit) = permit else {
            return AttemptEnd::Movable("held-back");
        };
        let request = self.generate_request(slot);
        match EngineStream::open(&self.traffic.http, slot.grant.head, &request, permit).await {
            Ok(stream) => {
                self.dispatched = true;
                self.forward(stream, slot).await
            }
            Err(OpenFailure::Rejected) => AttemptEnd::Movable("rejected"),
            Err(OpenFailure::NotRun) => {
                slot.replica_broken = true;
                AttemptEnd::Movable("not-taken")
            }
            Err(OpenFailure::Unclear) => {
                self.dispatched = true;
                AttemptEnd::Broken
            }
        }
    }

    async fn forward(&mut self, mut stream: EngineStream, slot: &mut HeldSlot) -> AttemptEnd {
        loop {
            if self.caller_gone && !self.wanted_without_caller() {
                return AttemptEnd::CallerGone;
            }
            let left = self.milliseconds_left();
            if left == 0 {
                return AttemptEnd::DeadlinePassed;
            }
            match stream.next(STALL.min(Duration::from_millis(left))).await {
                Next::Event(event) => {
                    if let Some(end) = self.take_event(event, slot).await {
                        return end;
                    }
                }
                Next::Stalled if self.events.is_closed() => self.caller_gone = true,
                Next::Stalled if self.still_runs(slot.grant.head).await => {}
                Next::Stalled | Next::Broken => return AttemptEnd::Broken,
            }
        }
    }

    async fn still_runs(&self, head: SocketAddr) -> bool {
        let state = request_state(&self.traffic.http, head, &self.job.engine_id()).await;
        state.is_some_and(|state| matches!(state.phase, RequestPhase::Running | RequestPhase::Finished))
    }

    async fn take_event(&mut self, event: GenerateEvent, slot: &mut HeldSlot) -> Option<AttemptEnd> {
        match event {
            GenerateEvent::Started { prompt_tokens, .. } => self.prompt_tokens = prompt_tokens,
            // A repeat of what was forwarded already.
            GenerateEvent::Token { sequence, .. } if sequence < self.produced => {}
            GenerateEvent::Token { sequence, text } if sequence == self.produced => {
                self.take_token(text).await
            }
            // A gap: something was lost on the way.
            GenerateEvent::Token { .. } => return Some(AttemptEnd::Broken),
            GenerateEvent::Finished { tokens } if tokens == self.produced => {
                return Some(AttemptEnd::Finished);
            }
            GenerateEvent::Finished { .. } => return Some(AttemptEnd::Broken),
            // The engine has said that it goes no further than what was forwarded.
            GenerateEvent::Aborted { next_sequence, .. } if next_sequence == self.produced => {
                slot.replica_broken = true;
                return Some(AttemptEnd::Movable("aborted"));
            }
            GenerateEvent::Aborted { .. } => return Some(AttemptEnd::Broken),
        }
        None
    }

    async fn take_token(&mut self, text: String) {
        if self.produced == 0 {
            let elapsed = monotonic_ms().saturating_sub(self.job.arrived);
            let metrics = &self.traffic.shared.metrics;
            let tier = self.job.tier.to_string();
            metrics.first_token_seconds.with_label_values(&[&tier]).observe(elapsed as f64 / 1000.0);
            metrics.queue_seconds.with_label_values(&[&tier]).observe(f64::from(self.queued_ms) / 1000.0);
        }
        self.produced += 1;
        self.traffic.shared.metrics.tokens.inc();
        self.text.push_str(&text);
        self.tell(ChatEvent::Text(text)).await;
    }

    /// Finds out what became of a request that may not be run twice, from the engine that had it.
    pub(super) async fn resolve(&mut self, slot: &mut HeldSlot) -> AttemptEnd {
        let (head, id) = (slot.grant.head, self.job.engine_id());
        for look in 0..RESOLVE_LOOKS {
            if look > 0 {
                tokio::time::sleep(RESOLVE_PAUSE).await;
            }
            let Some(state) = request_state(&self.traffic.http, head, &id).await else { continue };
            match state.phase {
                RequestPhase::Unseen if self.produced == 0 => {
                    let barred = bar(&self.traffic.http, head, &id).await;
                    if barred.is_some_and(|state| state.phase == RequestPhase::Barred) {
                        self.dispatched = false;
                        return AttemptEnd::Movable("barred");
                    }
                }
                RequestPhase::Barred if self.produced == 0 => return AttemptEnd::Movable("barred"),
                RequestPhase::Aborted if state.next_sequence == self.produced => {
                    return AttemptEnd::Movable("aborted");
                }
                RequestPhase::Running | RequestPhase::Finished | RequestPhase::Aborted => {
                    match self.reattach(slot).await {
                        AttemptEnd::Broken => {}
                        end => return end,
                    }
                }
                // The engine has forgotten what it began: it was restarted.
                RequestPhase::Unseen | RequestPhase::Barred => return AttemptEnd::Unknown,
            }
        }
        AttemptEnd::Unknown
    }

    /// Reads on from a run that goes on, or ended, without a listener.
    async fn reattach(&mut self, slot: &mut HeldSlot) -> AttemptEnd {
        // The engine has the request already, and a rest is no reason to leave its run unheard.
        let permit = SendPermit::of_running(&self.traffic.shared, self.addressee(slot));
        let request = self.generate_request(slot);
        match EngineStream::open(&self.traffic.http, slot.grant.head, &request, permit).await {
            Ok(stream) => self.forward(stream, slot).await,
            Err(_) => AttemptEnd::Broken,
        }
    }
}
