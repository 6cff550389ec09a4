//! One chat request from arrival to its last token.
//!
//! The entry holds the request, gets a slot, sends it to a replica itself, and forwards the tokens. A broken
//! stream is resumed elsewhere from the first token that was not forwarded; a request that may not be run
//! twice only after its engine has said what became of it.

use super::Traffic;
use super::engine_stream::{EngineStream, Next, OpenFailure, bar, cancel, request_state};
use super::records::{find, keep, record_key};
use super::slots::HeldSlot;
use crate::clock::monotonic_ms;
use crate::published::Route;
use dockwood_api::ResultCode;
use dockwood_api::caller::Outcome;
use dockwood_api::engine::{GenerateEvent, GenerateRequest, RequestPhase};
use dockwood_api::peer::{AcquireRequest, KeptAnswer, RequestRecord};
use dockwood_routing::{Millis, prefix_blocks};
use dockwood_state::{ClaimKey, ClaimRequest, ClaimVerdict};
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// A stream that brings nothing for this long is looked into.
const STALL: Duration = Duration::from_millis(1_000);
/// Looks at a silent engine before the outcome counts as unknown.
const RESOLVE_LOOKS: u32 = 4;
/// Pause between them.
const RESOLVE_PAUSE: Duration = Duration::from_millis(300);
/// A caller that takes nothing for this long is gone.
const SLOW_CALLER: Duration = Duration::from_secs(30);
/// Expected answer length for fair shares, where the request names none.
const DEFAULT_ANSWER_TOKENS: u32 = 64;
/// Bytes of prompt text in one token, about.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens of an answer where the request names no bound.
const DEFAULT_MAX_TOKENS: u32 = 512;
/// Time between looks at a request that another entry runs.
const OTHER_RUN_POLL: Duration = Duration::from_millis(200);

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
}

impl ChatJob {
    /// The id by which engines know the request: ids are unique within a tenant only.
    pub fn engine_id(&self) -> String {
        format!("{}.{}", self.tenant, self.id)
    }

    fn record_key(&self) -> String {
        record_key(&self.tenant, &self.id)
    }

    fn claim_key(&self) -> ClaimKey {
        ClaimKey { tenant: self.tenant.clone(), request: self.id.clone() }
    }

    fn cost_tokens(&self) -> u32 {
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
}

/// What the caller is told, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChatEvent {
    /// More text.
    Text(String),
    /// The answer is whole.
    Finished(Finish),
    /// The answer was kept from an earlier run of the same request.
    Kept(KeptAnswer),
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

/// How one attempt ended.
enum AttemptEnd {
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

/// A request in progress.
struct Run {
    traffic: Arc<Traffic>,
    job: ChatJob,
    events: mpsc::Sender<ChatEvent>,
    caller_gone: bool,
    /// A back end may have acted on the request: from here on "not run" can't be said any more.
    dispatched: bool,
    produced: u32,
    text: String,
    prompt_tokens: u32,
    queued_ms: u32,
    claim_attempt: Option<u64>,
    avoid: Vec<String>,
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
    let mut run = Run {
        traffic,
        job,
        events,
        caller_gone: false,
        dispatched: false,
        produced: 0,
        text: String::new(),
        prompt_tokens: 0,
        queued_ms: 0,
        claim_attempt: None,
        avoid: Vec::new(),
    };
    if run.job.keyed
        && let Some(event) = run.earlier_answer().await
    {
        run.tell(event).await;
        return;
    }
    let result = run.run().await;
    run.finish(result, keep_body).await;
}

/// Builds the body that is kept from the whole text.
pub type KeepBody = fn(&ChatJob, &str, &Finish) -> KeptAnswer;

impl Run {
    async fn tell(&mut self, event: ChatEvent) {
        if self.caller_gone {
            return;
        }
        let sent = self.events.send_timeout(event, SLOW_CALLER).await;
        self.caller_gone = sent.is_err();
    }

    /// Whether the run has a purpose without its caller.
    fn wanted_without_caller(&self) -> bool {
        self.job.keyed || !self.job.repeatable
    }

    fn milliseconds_left(&self) -> Millis {
        self.job.deadline.saturating_sub(monotonic_ms())
    }

    /// What an earlier request of the same id left.
    async fn earlier_answer(&self) -> Option<ChatEvent> {
        let key = self.job.record_key();
        let record = find(&self.traffic.shared, &self.traffic.records, &key).await?;
        if record.content_digest != self.job.content_digest {
            let message = "the id was used with another body";
            return Some(ChatEvent::Failed(Failure::new(ResultCode::IdempotencyKeyReused, message)));
        }
        match (record.outcome, record.answer) {
            (Outcome::Done, Some(answer)) => Some(ChatEvent::Kept(answer)),
            (Outcome::Unknown, _) if !self.job.repeatable => Some(ChatEvent::Failed(unknown())),
            _ => None,
        }
    }

    async fn run(&mut self) -> Result<Finish, Failure> {
        let mut last_reason = "";
        for attempt in 0_u32.. {
            if attempt > 0 && !self.traffic.try_retry(last_reason) {
                return Err(self.exhausted("the retry budget is used up"));
            }
            let mut slot = self.acquire().await?;
            self.queued_ms += slot.grant.queued_ms;
            if let Some(failure) = self.claim().await {
                return Err(failure);
            }
            let end = self.attempt(&mut slot).await;
            slot.tokens = self.produced;
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
                AttemptEnd::Finished => return Ok(self.figures()),
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

    fn figures(&self) -> Finish {
        Finish {
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.produced,
            queued_ms: self.queued_ms,
            by_length: self.job.max_tokens.is_some_and(|bound| self.produced >= bound),
        }
    }

    /// The failure of a request that can't go on: not run if no back end has acted on it.
    fn exhausted(&self, message: &str) -> Failure {
        let code = if self.dispatched { ResultCode::Interrupted } else { ResultCode::BackendUnreachable };
        Failure::new(code, message)
    }

    async fn acquire(&mut self) -> Result<HeldSlot, Failure> {
        let pool = self.pool();
        let replicas = self.traffic.shared.tables().replicas_of(&pool).count();
        let request = AcquireRequest {
            request_id: self.job.engine_id(),
            entry: self.traffic.shared.settings.name.clone(),
            tenant: self.job.tenant.clone(),
            cost_tokens: self.job.cost_tokens(),
            prefix_blocks: prefix_blocks(&self.job.prompt),
            wait_ms: 0,
            // With a single replica there is nowhere else; its gate stays closed until it is whole again.
            avoid: if replicas > 1 { self.avoid.clone() } else { Vec::new() },
            only: String::new(),
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
    fn pool(&self) -> String {
        let tables = self.traffic.shared.tables();
        let routes = &self.job.routes;
        let existing = routes.iter().find(|route| tables.deployment(&route.pool).is_some());
        existing.or(routes.first()).map(|route| route.pool.clone()).unwrap_or_default()
    }

    /// Commits the claim of a request that must not run twice and could be sent twice. A request whose id was
    /// made here can't arrive anywhere else, so it needs none.
    async fn claim(&mut self) -> Option<Failure> {
        if self.job.repeatable || !self.job.keyed || self.claim_attempt.is_some() {
            return None;
        }
        let attempt: u64 = rand::rng().random();
        let request = ClaimRequest {
            key: self.job.claim_key(),
            entry: self.traffic.shared.settings.name.clone(),
            attempt,
            content_digest: self.job.content_digest,
            created_ms: ulid::Ulid::from_string(&self.job.id).map_or(0, |id| id.timestamp_ms()),
        };
        match self.traffic.claims.claim(request).await {
            Ok(ClaimVerdict::Held) => {
                self.claim_attempt = Some(attempt);
                None
            }
            Ok(ClaimVerdict::Taken(row)) => Some(self.await_other_run(row.settled).await),
            Ok(ClaimVerdict::ContentDiffers) => {
                Some(Failure::new(ResultCode::IdempotencyKeyReused, "the id was used with another body"))
            }
            Ok(ClaimVerdict::TooOld) => {
                Some(Failure::new(ResultCode::RequestIdTooOld, "the id is older than claims are kept"))
            }
            Err(error) => {
                // It may have been committed all the same: withdrawn, so that a resend is not blocked.
                self.traffic.claims.settle(self.job.claim_key(), attempt, None).await;
                Some(Failure::new(ResultCode::ClaimRefused, error.message()))
            }
        }
    }

    /// Another entry runs this request: its result is the answer.
    async fn await_other_run(&mut self, settled: Option<u16>) -> Failure {
        let key = self.job.record_key();
        while self.milliseconds_left() > 0 && !self.caller_gone {
            let record = find(&self.traffic.shared, &self.traffic.records, &key).await;
            match record {
                Some(RequestRecord { outcome: Outcome::Done, answer: Some(answer), .. }) => {
                    self.tell(ChatEvent::Kept(answer)).await;
                    self.caller_gone = true;
                    return Failure::new(ResultCode::AlreadyRunning, "answered from the other run");
                }
                Some(RequestRecord { outcome: Outcome::Unknown, .. }) => return unknown(),
                Some(RequestRecord { outcome: Outcome::NotRun, .. }) => {
                    return Failure::new(
                        ResultCode::BackendUnreachable,
                        "the other entry did not run it; send it again",
                    );
                }
                None if settled.is_some() => return unknown(),
                _ => tokio::time::sleep(OTHER_RUN_POLL).await,
            }
        }
        Failure::new(ResultCode::AlreadyRunning, "a request of this id is running at another entry")
    }

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
    async fn attempt(&mut self, slot: &mut HeldSlot) -> AttemptEnd {
        if !slot.is_fresh() || !self.traffic.shared.may_dispatch(&self.pool()) {
            return AttemptEnd::Movable("stale-grant");
        }
        let request = self.generate_request(slot);
        self.record_running();
        match EngineStream::open(&self.traffic.http, slot.grant.head, &request).await {
            Ok(stream) => {
                self.dispatched = true;
                self.forward(stream, slot).await
            }
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
                self.take_token(text, slot).await
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

    async fn take_token(&mut self, text: String, slot: &mut HeldSlot) {
        if self.produced == 0 {
            let elapsed = monotonic_ms().saturating_sub(self.job.arrived);
            slot.first_token_ms = elapsed as u32;
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
    async fn resolve(&mut self, slot: &mut HeldSlot) -> AttemptEnd {
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
        let request = self.generate_request(slot);
        match EngineStream::open(&self.traffic.http, slot.grant.head, &request).await {
            Ok(stream) => self.forward(stream, slot).await,
            Err(_) => AttemptEnd::Broken,
        }
    }

    fn record_running(&self) {
        if !self.job.keyed {
            return;
        }
        let record = self.record(Outcome::Running, None, None);
        let traffic = self.traffic.clone();
        tokio::spawn(async move { keep(&traffic.shared, &traffic.records, record).await });
    }

    fn record(
        &self,
        outcome: Outcome,
        code: Option<ResultCode>,
        answer: Option<KeptAnswer>,
    ) -> RequestRecord {
        RequestRecord {
            key: self.job.record_key(),
            content_digest: self.job.content_digest,
            outcome,
            code,
            entry: self.traffic.shared.settings.name.clone(),
            answer,
        }
    }

    /// Tells the caller the result, keeps it, and settles the claim.
    async fn finish(mut self, result: Result<Finish, Failure>, keep_body: KeepBody) {
        let (code, outcome, answer) = match &result {
            Ok(figures) => (ResultCode::Ok, Outcome::Done, Some(keep_body(&self.job, &self.text, figures))),
            Err(failure) if failure.code.is_not_run() => (failure.code, Outcome::NotRun, None),
            Err(failure) => (failure.code, Outcome::Unknown, None),
        };
        self.traffic.shared.metrics.answers.with_label_values(&[&code.number().to_string()]).inc();
        let was_dispatched = code == ResultCode::Ok || !code.is_not_run();
        let owns_record = self.claim_attempt.is_some() || self.job.repeatable;
        // Kept before the caller hears of the end, so that it can be asked for as soon as the caller can ask.
        if owns_record || !self.job.keyed {
            let record = self.record(outcome, Some(code), answer);
            let traffic = self.traffic.clone();
            let keeping = async move { keep(&traffic.shared, &traffic.records, record).await };
            if self.job.keyed {
                keeping.await;
            } else {
                tokio::spawn(keeping);
            }
        }
        if let Some(attempt) = self.claim_attempt {
            let settled = was_dispatched.then_some(code);
            self.traffic.claims.settle(self.job.claim_key(), attempt, settled).await;
        }
        match result {
            Ok(figures) => self.tell(ChatEvent::Finished(figures)).await,
            Err(failure) => self.tell(ChatEvent::Failed(failure)).await,
        }
    }
}

fn unknown() -> Failure {
    Failure::new(ResultCode::OutcomeUnknown, "the engine that had the request can't tell what became of it")
}
