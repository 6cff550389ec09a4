//! One attempt at one replica: forwards the stream of tokens, and determines the state of the request after a failure.

use super::ChatEvent;
use super::run::ChatRun;
use super::stall::{Replacement, STALL_TIMEOUT, StallFinding, StalledRequest};
use crate::clock::monotonic_ms;
use crate::traffic::engine_stream::{EngineStream, OpenFailure, StreamRead, bar_request, request_state};
use crate::traffic::slots::HeldSlot;
use dockwood_api::engine::{GenerateEvent, RequestPhase};
use futures::future::{BoxFuture, FutureExt};
use std::time::Duration;

/// Maximum number of state queries before the outcome counts as unknown.
const MAX_STATE_QUERIES: u32 = 4;
/// Pause between these queries.
const STATE_QUERY_PAUSE: Duration = Duration::from_millis(300);

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

/// The source that a request is read from.
struct Source {
    /// `None` after its connection broke while a replacement was sought.
    stream: Option<EngineStream>,
    /// Investigation of its stall.
    investigation: Option<BoxFuture<'static, StallFinding>>,
    /// Whether the request may have been sent to another replica, beside this source.
    may_be_elsewhere: bool,
}

/// What happened next at a source.
enum SourceEvent {
    Read(StreamRead),
    Found(StallFinding),
}

impl Source {
    fn new(stream: EngineStream) -> Source {
        Source { stream: Some(stream), investigation: None, may_be_elsewhere: false }
    }

    /// Reads from the stream, also while its stall is being investigated.
    async fn next(&mut self, timeout: Duration) -> SourceEvent {
        let Source { stream, investigation, .. } = self;
        let read = async {
            match stream {
                Some(stream) => stream.next(timeout).await,
                None => {
                    tokio::time::sleep(timeout).await;
                    StreamRead::Stalled
                }
            }
        };
        let Some(running) = investigation else { return SourceEvent::Read(read.await) };
        let event = tokio::select! {
            biased;
            read = read => SourceEvent::Read(read),
            finding = running => SourceEvent::Found(finding),
        };
        if matches!(event, SourceEvent::Found(_) | SourceEvent::Read(StreamRead::Event(_))) {
            *investigation = None;
        }
        event
    }
}

impl ChatRun {
    /// Sends the request to the granted replica and forwards what it generates.
    pub(super) async fn attempt(&mut self, slot: &mut HeldSlot) -> AttemptResult {
        self.record_running().await;
        let Ok(permit) = self.search.acquire_permit(slot).await else {
            return AttemptResult::Withheld;
        };
        let stream = self.search.send(slot, self.forwarded_tokens, permit);
        let was_dispatched = std::mem::replace(&mut self.search.dispatched, true);
        match self.forward_stream(stream, slot).await {
            Ok(result) => result,
            Err(OpenFailure::MayHaveRun) => AttemptResult::Broken,
            Err(OpenFailure::Rejected) => {
                self.search.dispatched = was_dispatched;
                AttemptResult::Retryable("rejected")
            }
            Err(OpenFailure::NotRun) => {
                self.search.dispatched = was_dispatched;
                slot.replica_broken = true;
                AttemptResult::Retryable("not-taken")
            }
        }
    }

    /// Forwards a stream until it ends. A stream that stalls is kept until another replica has begun to answer, in which case
    /// `slot` becomes the slot of that one.
    async fn forward_stream(
        &mut self,
        stream: EngineStream,
        slot: &mut HeldSlot,
    ) -> Result<AttemptResult, OpenFailure> {
        let mut source = Source::new(stream);
        loop {
            if self.caller_disconnected && !self.continues_without_caller() {
                return Ok(AttemptResult::CallerDisconnected);
            }
            let left = self.milliseconds_left();
            if left == 0 {
                return Ok(AttemptResult::DeadlinePassed);
            }
            match source.next(STALL_TIMEOUT.min(Duration::from_millis(left))).await {
                SourceEvent::Read(StreamRead::Event(event)) => {
                    if let Some(result) = self.handle_event(event, slot).await {
                        return Ok(result);
                    }
                }
                SourceEvent::Read(StreamRead::Stalled) => {
                    self.caller_disconnected |= self.events.is_closed();
                    self.investigate_stall(&mut source, slot);
                }
                SourceEvent::Read(StreamRead::NotOpened(failure)) if !source.may_be_elsewhere => {
                    return Err(failure);
                }
                // A replacement that is already sought is waited for.
                SourceEvent::Read(StreamRead::Broken | StreamRead::NotOpened(_))
                    if source.investigation.is_some() =>
                {
                    source.stream = None
                }
                SourceEvent::Read(StreamRead::Broken | StreamRead::NotOpened(_)) => {
                    return Ok(AttemptResult::Broken);
                }
                SourceEvent::Found(finding) => {
                    if let Some(result) = self.act_on_finding(finding, &mut source, slot).await {
                        return Ok(result);
                    }
                }
            }
        }
    }

    /// Begins to investigate a stall, unless that is under way.
    fn investigate_stall(&self, source: &mut Source, slot: &HeldSlot) {
        if let (Some(stream), None) = (&source.stream, &source.investigation) {
            let stalled = StalledRequest::new(&self.search, slot, stream.is_open(), self.forwarded_tokens);
            source.investigation = Some(stalled.investigate().boxed());
            source.may_be_elsewhere |= self.job.repeatable;
        }
    }

    async fn act_on_finding(
        &mut self,
        finding: StallFinding,
        source: &mut Source,
        slot: &mut HeldSlot,
    ) -> Option<AttemptResult> {
        match finding {
            StallFinding::Replaced(replacement) => {
                return self.replace_source(*replacement, source, slot).await;
            }
            StallFinding::Lost => return Some(AttemptResult::Broken),
            StallFinding::NotReplaced { tried } => self.search.avoid(tried),
            StallFinding::Continues => {}
        }
        source.stream.is_none().then_some(AttemptResult::Broken)
    }

    /// Closes a stalled stream, and continues with the replica that has begun to answer in its place.
    async fn replace_source(
        &mut self,
        replacement: Replacement,
        source: &mut Source,
        slot: &mut HeldSlot,
    ) -> Option<AttemptResult> {
        let Replacement { slot: new_slot, search, stream, events } = replacement;
        *source = Source::new(stream);
        slot.replica_broken = true;
        *slot = new_slot;
        self.queued_ms += slot.grant.queued_ms;
        let replaced = std::mem::replace(&mut self.search, search);
        self.search.gate.check_in_background(replaced.gate, || ());
        for event in events {
            if let Some(result) = self.handle_event(event, slot).await {
                return Some(result);
            }
        }
        None
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
                        self.search.dispatched = false;
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
        let stream = self.search.reattach(slot, self.forwarded_tokens);
        self.forward_stream(stream, slot).await.unwrap_or(AttemptResult::Broken)
    }
}
