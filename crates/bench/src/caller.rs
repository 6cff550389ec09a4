//! Reference caller: requests entry addresses, caches them for their lifetime, connects to them directly, and
//! retries with the same request id when it is told that nothing was run.

use crate::caller_record::{CallerRecord, CallerResult, classify_answer};
use crate::topology::{TenantPlan, Topology};
use crate::trace::{RequestKind, TraceRequest};
use dockwood_api::ResultCode;
use dockwood_api::caller::{
    ChatChunk, ChatCompletion, EntryAnswer, HEADER_DEADLINE_MS, HEADER_IDEMPOTENCY_KEY, HEADER_REPEATABLE,
    HEADER_SESSION, Outcome, OutcomeAnswer,
};
use dockwood_api::error::ErrorBody;
use dockwood_emulator::{expected_answer, wall_ms};
use serde_json::json;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Delay before a retry, unless the response specifies one.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper limit for a retry delay specified by a response.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// How long after the deadline a caller still waits for a final outcome.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);
/// Time limit for connecting, and for requests for addresses and outcomes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// The callers of one fleet, with a shared address cache.
pub struct Callers {
    http: reqwest::Client,
    daemons: Vec<String>,
    tenants: HashMap<String, TenantPlan>,
    /// Cached entry addresses by session, with their expiry time.
    entries: Mutex<HashMap<String, (Instant, Vec<String>)>>,
}

/// Result of sending a request once.
enum SendResult {
    /// A complete answer.
    Answer(String),
    /// An error response with a result code.
    Refused(Box<ErrorBody>),
    /// Connecting failed, so nothing was sent.
    Unreachable,
    /// The connection broke after the request may have been sent.
    Broken,
}

impl Callers {
    /// Creates callers that request addresses from the daemons of a fleet.
    pub fn new(topology: &Topology) -> Callers {
        let http = reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT).build().unwrap_or_default();
        Callers {
            http,
            daemons: topology.daemons.iter().map(|daemon| format!("http://{}", daemon.http)).collect(),
            tenants: topology.tenants.iter().map(|tenant| (tenant.name.clone(), tenant.clone())).collect(),
            entries: Mutex::default(),
        }
    }

    /// Sends one request, with retries, until its outcome is final.
    pub async fn call(&self, request: &TraceRequest) -> CallerRecord {
        let id = ulid::Ulid::new().to_string();
        let tenant = &self.tenants[&request.tenant];
        let engine_id = match request.kind {
            RequestKind::Chat => format!("{}.{id}", request.tenant),
            RequestKind::Service => id.clone(),
        };
        let record = CallerRecord {
            engine_id,
            kind: request.kind,
            tier: tenant.tier,
            repeatable: request.repeatable,
            sent_ms: wall_ms(),
            ended_ms: 0,
            first_token_ms: None,
            between_tokens_ms: Vec::new(),
            tokens: 0,
            result: CallerResult::Lost,
            code: None,
            told_not_run_ms: Vec::new(),
            attempts: 0,
        };
        let started = Instant::now();
        let deadline = started + Duration::from_millis(request.deadline_ms);
        let mut call = Call { callers: self, request, tenant, id, started, deadline, record };
        call.run().await;
        call.record.ended_ms = wall_ms();
        call.record
    }

    /// Addresses for a session, from the cache unless `fresh` is set or the entry has expired.
    async fn addresses(&self, request: &TraceRequest, key: &str, fresh: bool) -> Vec<String> {
        if !fresh && let Some(cached) = self.cached_addresses(&request.session) {
            return cached;
        }
        let offset = request.session.len() + request.at_ms as usize;
        for index in 0..self.daemons.len() {
            let daemon = &self.daemons[(offset + index) % self.daemons.len()];
            let sent = self
                .http
                .get(format!("{daemon}/v1/entry?session={}", request.session))
                .bearer_auth(key)
                .timeout(CONNECT_TIMEOUT)
                .send()
                .await;
            let Ok(response) = sent else { continue };
            let Ok(answer) = response.json::<EntryAnswer>().await else { continue };
            if answer.addresses.is_empty() {
                continue;
            }
            let until = Instant::now() + Duration::from_secs(answer.lifetime_seconds);
            let mut entries = self.entries.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            entries.insert(request.session.clone(), (until, answer.addresses.clone()));
            return answer.addresses;
        }
        Vec::new()
    }

    fn cached_addresses(&self, session: &str) -> Option<Vec<String>> {
        let entries = self.entries.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let (until, addresses) = entries.get(session)?;
        (Instant::now() < *until).then(|| addresses.clone())
    }
}

/// A request in progress.
struct Call<'a> {
    callers: &'a Callers,
    request: &'a TraceRequest,
    tenant: &'a TenantPlan,
    id: String,
    started: Instant,
    deadline: Instant,
    record: CallerRecord,
}

impl Call<'_> {
    async fn run(&mut self) {
        let mut addresses = self.callers.addresses(self.request, &self.tenant.key, false).await;
        let mut position = 0;
        let mut may_have_run = false;
        while Instant::now() < self.deadline + DEADLINE_GRACE {
            if position >= addresses.len() {
                tokio::time::sleep(RETRY_DELAY).await;
                addresses = self.callers.addresses(self.request, &self.tenant.key, true).await;
                position = 0;
                if addresses.is_empty() {
                    continue;
                }
            }
            let address = addresses[position].clone();
            if may_have_run && self.resolve_from_outcome(&address).await {
                return;
            }
            match self.send(&address).await {
                SendResult::Answer(text) => {
                    self.check_answer(&text);
                    return;
                }
                SendResult::Refused(body) => match self.handle_refusal(&body).await {
                    Some(delay) => {
                        tokio::time::sleep(delay).await;
                        position += 1;
                    }
                    None => return,
                },
                SendResult::Unreachable => position += 1,
                SendResult::Broken => {
                    may_have_run = true;
                    position += 1;
                }
            }
        }
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Handles an error response. Returns the delay before the next attempt, or `None` if the outcome is final.
    async fn handle_refusal(&mut self, body: &ErrorBody) -> Option<Duration> {
        self.record.code = Some(body.error.code);
        let may_have_run_before = body.error.code == ResultCode::RanBefore.number();
        match body.error.outcome {
            Some(Outcome::NotRun) => {
                self.record.told_not_run_ms.push(wall_ms());
                self.record.result = CallerResult::NotRun;
                let requested = body.error.retry_after_ms.map(Duration::from_millis).unwrap_or(RETRY_DELAY);
                let delay = requested.min(MAX_RETRY_DELAY);
                let has_other_addresses = !body.error.addresses.is_empty();
                let delay = if has_other_addresses { Duration::ZERO } else { delay };
                (self.remaining() > delay).then_some(delay)
            }
            Some(Outcome::Running) => Some(RETRY_DELAY),
            // This attempt was refused, but an earlier one may have run; a repeatable request is retried.
            Some(Outcome::Unknown) if self.request.repeatable && may_have_run_before => {
                let delay =
                    body.error.retry_after_ms.map_or(RETRY_DELAY, Duration::from_millis).min(MAX_RETRY_DELAY);
                self.record.result = CallerResult::Unknown;
                (self.remaining() > delay).then_some(delay)
            }
            _ => {
                self.record.result = CallerResult::Unknown;
                None
            }
        }
    }

    /// Queries another daemon for the outcome after a connection broke. Returns true if the outcome is final.
    async fn resolve_from_outcome(&mut self, address: &str) -> bool {
        if self.request.kind == RequestKind::Service {
            if self.request.repeatable {
                return false;
            }
            // Outcomes of plain service calls are not stored, so the outcome stays unknown.
            self.record.result = CallerResult::Unknown;
            return true;
        }
        let Some(outcome) = self.outcome(address).await else { return false };
        match outcome.outcome {
            Outcome::Done if outcome.answer_kept => {
                let Some(text) = self.kept_answer(address).await else { return false };
                self.check_answer(&text);
                true
            }
            Outcome::Unknown if !self.request.repeatable => {
                self.record.result = CallerResult::Unknown;
                true
            }
            _ => false,
        }
    }

    async fn outcome(&self, address: &str) -> Option<OutcomeAnswer> {
        self.get_json(&format!("{address}/v1/requests/{}", self.id)).await
    }

    async fn kept_answer(&self, address: &str) -> Option<String> {
        let completion: ChatCompletion =
            self.get_json(&format!("{address}/v1/requests/{}/answer", self.id)).await?;
        completion.choices.into_iter().next().map(|choice| choice.message.content)
    }

    async fn get_json<T: serde::de::DeserializeOwned>(&self, url: &str) -> Option<T> {
        let request = self.callers.http.get(url).bearer_auth(&self.tenant.key).timeout(CONNECT_TIMEOUT);
        request.send().await.ok()?.error_for_status().ok()?.json().await.ok()
    }

    fn request_builder(&self, address: &str) -> reqwest::RequestBuilder {
        let request = self.request;
        let http = &self.callers.http;
        let request_builder = match request.kind {
            RequestKind::Chat => http.post(format!("{address}/v1/chat/completions")).json(&json!({
                "model": request.target, "stream": request.stream, "max_tokens": request.max_tokens,
                "messages": [{ "role": "user", "content": request.prompt }],
            })),
            RequestKind::Service => http
                .post(format!("{address}/services/{}/records", request.target))
                .body(request.prompt.clone()),
        };
        let remaining_ms = self.remaining().as_millis().max(1);
        request_builder
            .bearer_auth(&self.tenant.key)
            .header(HEADER_IDEMPOTENCY_KEY, &self.id)
            .header(HEADER_REPEATABLE, if request.repeatable { "yes" } else { "no" })
            .header(HEADER_DEADLINE_MS, remaining_ms.to_string())
            .header(HEADER_SESSION, &request.session)
            .timeout(self.remaining() + DEADLINE_GRACE)
    }

    async fn send(&mut self, address: &str) -> SendResult {
        self.record.attempts += 1;
        let mut response = match self.request_builder(address).send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return SendResult::Unreachable,
            Err(_) => return SendResult::Broken,
        };
        let status = response.status();
        if !status.is_success() {
            let body = response.json::<ErrorBody>().await;
            return body.map_or(SendResult::Broken, |body| SendResult::Refused(Box::new(body)));
        }
        if self.request.kind == RequestKind::Service {
            return response.text().await.map_or(SendResult::Broken, SendResult::Answer);
        }
        let is_stream =
            response.headers().get("content-type").is_some_and(|kind| kind == "text/event-stream");
        if !is_stream {
            let completion = response.json::<ChatCompletion>().await;
            let first = completion.ok().and_then(|completion| completion.choices.into_iter().next());
            return first.map_or(SendResult::Broken, |choice| SendResult::Answer(choice.message.content));
        }
        self.read_stream(&mut response).await
    }

    async fn read_stream(&mut self, response: &mut reqwest::Response) -> SendResult {
        let mut buffer = Vec::new();
        let mut text = String::new();
        let mut last_token: Option<Instant> = None;
        self.record.between_tokens_ms.clear();
        self.record.tokens = 0;
        while let Ok(Some(bytes)) = response.chunk().await {
            buffer.extend_from_slice(&bytes);
            while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event: Vec<u8> = buffer.drain(..end + 2).collect();
                let Some(data) = event.strip_prefix(b"data: ") else { continue };
                let data = data.trim_ascii_end();
                if data == b"[DONE]" {
                    return SendResult::Answer(text);
                }
                if let Ok(body) = serde_json::from_slice::<ErrorBody>(data) {
                    return SendResult::Refused(Box::new(body));
                }
                let Ok(chunk) = serde_json::from_slice::<ChatChunk>(data) else { return SendResult::Broken };
                let content =
                    chunk.choices.into_iter().find_map(|choice| choice.delta.content).unwrap_or_default();
                if content.is_empty() {
                    continue;
                }
                text.push_str(&content);
                self.record_token(&mut last_token);
            }
        }
        SendResult::Broken
    }

    fn record_token(&mut self, last_token: &mut Option<Instant>) {
        let now = Instant::now();
        self.record.tokens += 1;
        match last_token.replace(now) {
            Some(last) => self.record.between_tokens_ms.push(now.duration_since(last).as_secs_f64() * 1000.0),
            None if self.record.first_token_ms.is_none() => {
                self.record.first_token_ms = Some(now.duration_since(self.started).as_secs_f64() * 1000.0);
            }
            None => {}
        }
    }

    /// Compares an answer that is complete according to the protocol with the expected one.
    fn check_answer(&mut self, text: &str) {
        let expected = match self.request.kind {
            RequestKind::Service => self.request.prompt.clone(),
            RequestKind::Chat => {
                expected_answer(&format!("user: {}\n", self.request.prompt), self.request.max_tokens)
            }
        };
        self.record.result = classify_answer(text, &expected);
    }
}
