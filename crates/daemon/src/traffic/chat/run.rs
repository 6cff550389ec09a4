//! The course of a request: a slot, an attempt, and another one elsewhere if need be.

use super::admission::gate_of;
use super::stream::AttemptEnd;
use super::{ChatEvent, ChatJob, Failure, Finish, unknown};
use crate::clock::monotonic_ms;
use crate::suspects::{SuspectGate, has_ended};
use crate::traffic::Traffic;
use crate::traffic::engine_stream::cancel;
use crate::traffic::slots::HeldSlot;
use dockwood_api::ResultCode;
use dockwood_api::peer::AcquireRequest;
use dockwood_routing::{Millis, prefix_blocks};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// A caller that takes nothing for this long is gone.
const SLOW_CALLER: Duration = Duration::from_secs(30);

/// A request in progress.
pub(super) struct Run {
    pub(super) traffic: Arc<Traffic>,
    pub(super) job: ChatJob,
    pub(super) events: mpsc::Sender<ChatEvent>,
    pub(super) caller_gone: bool,
    /// A back end may have acted on the request: from here on "not run" can't be said any more.
    pub(super) dispatched: bool,
    /// An earlier sending of the same request may have reached a back end.
    pub(super) may_have_run_before: bool,
    /// Its record says that it runs here.
    pub(super) is_recorded: bool,
    pub(super) produced: u32,
    pub(super) text: String,
    pub(super) prompt_tokens: u32,
    pub(super) queued_ms: u32,
    pub(super) claim_attempt: Option<u64>,
    pub(super) avoid: Vec<String>,
    /// What decides whether the request may be sent to a replica.
    pub(super) gate: SuspectGate,
}

impl Run {
    /// A request that has just arrived.
    pub(super) fn new(traffic: Arc<Traffic>, job: ChatJob, events: mpsc::Sender<ChatEvent>) -> Self {
        let gate = gate_of(&traffic, &job);
        Run {
            gate,
            traffic,
            job,
            events,
            caller_gone: false,
            dispatched: false,
            may_have_run_before: false,
            is_recorded: false,
            produced: 0,
            text: String::new(),
            prompt_tokens: 0,
            queued_ms: 0,
            claim_attempt: None,
            avoid: Vec::new(),
        }
    }

    pub(super) async fn tell(&mut self, event: ChatEvent) {
        if self.caller_gone {
            return;
        }
        let sent = self.events.send_timeout(event, SLOW_CALLER).await;
        self.caller_gone = sent.is_err();
    }

    /// Whether the run has a purpose without its caller.
    pub(super) fn wanted_without_caller(&self) -> bool {
        self.job.keyed || !self.job.repeatable
    }

    pub(super) fn milliseconds_left(&self) -> Millis {
        self.job.deadline.saturating_sub(monotonic_ms())
    }

    pub(super) async fn run(&mut self) -> Result<Finish, Failure> {
        let mut last_reason = "";
        for attempt in 0_u32.. {
            if attempt > 0 && !self.traffic.try_retry(last_reason) {
                return Err(self.exhausted("the retry budget is used up"));
            }
            let mut slot = self.admitted_slot().await?;
            self.queued_ms += slot.grant.queued_ms;
            if let Some(failure) = self.claim().await {
                return Err(failure);
            }
            let end = self.attempt(&mut slot).await;
            if matches!(end, AttemptEnd::Broken) && has_ended(slot.grant.head).await {
                self.gate.server_ended();
            }
            let end = match end {
                AttemptEnd::Broken if self.job.repeatable => {
                    slot.replica_broken = true;
                    AttemptEnd::Movable("broken")
                }
                AttemptEnd::Broken => {
                    slot.replica_broken = true;
                    self.resolve(&mut slot).await
                }
                end => end,
            };
            self.avoid = vec![slot.grant.replica.clone()];
            match end {
                AttemptEnd::Finished => {
                    self.gate.answered();
                    return Ok(self.figures());
                }
                AttemptEnd::Movable(reason) => last_reason = reason,
                AttemptEnd::CallerGone => {
                    cancel(&self.traffic.http, slot.grant.head, &self.job.engine_id()).await;
                    return Err(Failure::new(ResultCode::Interrupted, "the caller left"));
                }
                AttemptEnd::DeadlinePassed => {
                    cancel(&self.traffic.http, slot.grant.head, &self.job.engine_id()).await;
                    return Err(Failure::new(ResultCode::DeadlinePassed, "the deadline passed while it ran"));
                }
                AttemptEnd::Unknown | AttemptEnd::Broken => return Err(unknown()),
            }
        }
        Err(unknown())
    }

    pub(super) fn figures(&self) -> Finish {
        Finish {
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.produced,
            queued_ms: self.queued_ms,
            by_length: self.job.max_tokens.is_some_and(|bound| self.produced >= bound),
        }
    }

    /// The failure of a request that can't go on: not run if no back end has acted on it.
    pub(super) fn exhausted(&self, message: &str) -> Failure {
        let code = if self.dispatched { ResultCode::Interrupted } else { ResultCode::BackendUnreachable };
        Failure::new(code, message)
    }

    pub(super) async fn acquire(&mut self) -> Result<HeldSlot, Failure> {
        let pool = self.pool();
        let request = AcquireRequest {
            request_id: self.job.engine_id(),
            entry: self.traffic.shared.settings.name.clone(),
            tenant: self.job.tenant.clone(),
            cost_tokens: self.job.cost_tokens(),
            prefix_blocks: prefix_blocks(&self.job.prompt),
            wait_ms: 0,
            avoid: self.avoid.clone(),
            pool,
        };
        let acquired = self.traffic.slots.acquire(request, self.job.deadline).await;
        acquired.map_err(|refusal| {
            let code = if self.dispatched { ResultCode::Interrupted } else { refusal.code };
            Failure {
                code,
                message: refusal.message,
                retry_after_ms: Some(u64::from(refusal.retry_after_ms)),
            }
        })
    }

    /// The pool to ask: the first route whose deployment still exists.
    pub(super) fn pool(&self) -> String {
        let tables = self.traffic.shared.tables();
        let routes = &self.job.routes;
        let existing = routes.iter().find(|route| tables.deployment(&route.pool).is_some());
        existing.or(routes.first()).map(|route| route.pool.clone()).unwrap_or_default()
    }
}
