//! A caller as the brief describes one: asks for addresses, keeps the answer for a while, connects there itself,
//! and sends again under the same id when it was told that nothing was run.

use crate::caller_record::{CallerRecord, CallerResult, judge_text};
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

/// Pause before a request is sent again, unless the answer names one.
const RESEND_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause that a caller takes on an answer's word.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// How long after its deadline a caller still waits for a final word.
const GRACE: Duration = Duration::from_secs(5);
/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Callers of one fleet.
pub struct Callers {
    http: reqwest::Client,
    daemons: Vec<String>,
    tenants: HashMap<String, TenantPlan>,
    /// Entry answers by session, with the time until which they may be kept.
    entries: Mutex<HashMap<String, (Instant, Vec<String>)>>,
}

/// How one sending ended.
enum Sending {
    /// The whole answer.
    Answer(String),
    /// A numbered refusal.
    Refused(Box<ErrorBody>),
    /// The connection failed before anything was sent.
    Unreachable,
    /// The connection broke afterwards.
    Broken,
}

impl Callers {
    /// Callers that know some daemons to ask for addresses.
    pub fn new(topology: &Topology) -> Callers {
        let http = reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT).build().unwrap_or_default();
        Callers {
            http,
            daemons: topology.daemons.iter().map(|daemon| format!("http://{}", daemon.http)).collect(),
            tenants: topology.tenants.iter().map(|tenant| (tenant.name.clone(), tenant.clone())).collect(),
            entries: Mutex::default(),
        }
    }

    /// Sends one request until there is a final word.
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

    /// Addresses for a session, kept for as long as the answer allows.
    async fn addresses(&self, request: &TraceRequest, key: &str, fresh: bool) -> Vec<String> {
        if !fresh && let Some(kept) = self.kept_addresses(&request.session) {
            return kept;
        }
        let offset = request.session.len() + request.at_ms as usize;
        for index in 0..self.daemons.len() {
            let daemon = &self.daemons[(offset + index) % self.daemons.len()];
            let asked = self
                .http
                .get(format!("{daemon}/v1/entry?session={}", request.session))
                .bearer_auth(key)
                .timeout(CONNECT_TIMEOUT)
                .send()
                .await;
            let Ok(response) = asked else { continue };
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

    fn kept_addresses(&self, session: &str) -> Option<Vec<String>> {
        let entries = self.entries.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let (until, addresses) = entries.get(session)?;
        (Instant::now() < *until).then(|| addresses.clone())
    }
}

/// One request being made.
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
        while Instant::now() < self.deadline + GRACE {
            if position >= addresses.len() {
                tokio::time::sleep(RESEND_PAUSE).await;
                addresses = self.callers.addresses(self.request, &self.tenant.key, true).await;
                position = 0;
                if addresses.is_empty() {
                    continue;
                }
            }
            let address = addresses[position].clone();
            if may_have_run && self.settle_from_outcome(&address).await {
                return;
            }
            match self.send(&address).await {
                Sending::Answer(text) => {
                    self.judge(&text);
                    return;
                }
                Sending::Refused(body) => match self.refused(&body).await {
                    Some(pause) => {
                        tokio::time::sleep(pause).await;
                        position += 1;
                    }
                    None => return,
                },
                Sending::Unreachable => position += 1,
                Sending::Broken => {
                    may_have_run = true;
                    position += 1;
                }
            }
        }
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Takes a refusal; the pause before the next try, or `None` if it is final.
    async fn refused(&mut self, body: &ErrorBody) -> Option<Duration> {
        self.record.code = Some(body.error.code);
        let is_refused_now = body.error.code == ResultCode::RanBefore.number();
        match body.error.outcome {
            Some(Outcome::NotRun) => {
                self.record.told_not_run_ms.push(wall_ms());
                self.record.result = CallerResult::NotRun;
                let named = body.error.retry_after_ms.map(Duration::from_millis).unwrap_or(RESEND_PAUSE);
                let pause = named.min(MAX_PAUSE);
                let elsewhere = !body.error.addresses.is_empty();
                let pause = if elsewhere { Duration::ZERO } else { pause };
                (self.left() > pause).then_some(pause)
            }
            Some(Outcome::Running) => Some(RESEND_PAUSE),
            // Refused now, though an earlier sending may have run: what may repeat is sent again.
            Some(Outcome::Unknown) if self.request.repeatable && is_refused_now => {
                let pause =
                    body.error.retry_after_ms.map_or(RESEND_PAUSE, Duration::from_millis).min(MAX_PAUSE);
                self.record.result = CallerResult::Unknown;
                (self.left() > pause).then_some(pause)
            }
            _ => {
                self.record.result = CallerResult::Unknown;
                None
            }
        }
    }

    /// After a broken connection: asks another daemon what became of the request. True if that was the final
    /// word.
    async fn settle_from_outcome(&mut self, address: &str) -> bool {
        if self.request.kind == RequestKind::Service {
            if self.request.repeatable {
                return false;
            }
            // A plain service keeps no outcomes: nobody can tell.
            self.record.result = CallerResult::Unknown;
            return true;
        }
        let Some(outcome) = self.outcome(address).await else { return false };
        match outcome.outcome {
            Outcome::Done if outcome.answer_kept => {
                let Some(text) = self.kept_answer(address).await else { return false };
                self.judge(&text);
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
        self.ask(&format!("{address}/v1/requests/{}", self.id)).await
    }

    async fn kept_answer(&self, address: &str) -> Option<String> {
        let completion: ChatCompletion =
            self.ask(&format!("{address}/v1/requests/{}/answer", self.id)).await?;
        completion.choices.into_iter().next().map(|choice| choice.message.content)
    }

    async fn ask<T: serde::de::DeserializeOwned>(&self, url: &str) -> Option<T> {
        let request = self.callers.http.get(url).bearer_auth(&self.tenant.key).timeout(CONNECT_TIMEOUT);
        request.send().await.ok()?.error_for_status().ok()?.json().await.ok()
    }

    fn builder(&self, address: &str) -> reqwest::RequestBuilder {
        let request = self.request;
        let http = &self.callers.http;
        let builder = match request.kind {
            RequestKind::Chat => http.post(format!("{address}/v1/chat/completions")).json(&json!({
                "model": request.target, "stream": request.stream, "max_tokens": request.max_tokens,
                "messages": [{ "role": "user", "content": request.prompt }],
            })),
            RequestKind::Service => http
                .post(format!("{address}/services/{}/records", request.target))
                .body(request.prompt.clone()),
        };
        let left = self.left().as_millis().max(1);
        builder
            .bearer_auth(&self.tenant.key)
            .header(HEADER_IDEMPOTENCY_KEY, &self.id)
            .header(HEADER_REPEATABLE, if request.repeatable { "yes" } else { "no" })
            .header(HEADER_DEADLINE_MS, left.to_string())
            .header(HEADER_SESSION, &request.session)
            .timeout(self.left() + GRACE)
    }

    async fn send(&mut self, address: &str) -> Sending {
        self.record.attempts += 1;
        let mut response = match self.builder(address).send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Sending::Unreachable,
            Err(_) => return Sending::Broken,
        };
        let status = response.status();
        if !status.is_success() {
            let body = response.json::<ErrorBody>().await;
            return body.map_or(Sending::Broken, |body| Sending::Refused(Box::new(body)));
        }
        if self.request.kind == RequestKind::Service {
            return response.text().await.map_or(Sending::Broken, Sending::Answer);
        }
        let is_stream =
            response.headers().get("content-type").is_some_and(|kind| kind == "text/event-stream");
        if !is_stream {
            let completion = response.json::<ChatCompletion>().await;
            let first = completion.ok().and_then(|completion| completion.choices.into_iter().next());
            return first.map_or(Sending::Broken, |choice| Sending::Answer(choice.message.content));
        }
        self.read_stream(&mut response).await
    }

    async fn read_stream(&mut self, response: &mut reqwest::Response) -> Sending {
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
                    return Sending::Answer(text);
                }
                if let Ok(body) = serde_json::from_slice::<ErrorBody>(data) {
                    return Sending::Refused(Box::new(body));
                }
                let Ok(chunk) = serde_json::from_slice::<ChatChunk>(data) else { return Sending::Broken };
                let more =
                    chunk.choices.into_iter().find_map(|choice| choice.delta.content).unwrap_or_default();
                if more.is_empty() {
                    continue;
                }
                text.push_str(&more);
                self.note_token(&mut last_token);
            }
        }
        Sending::Broken
    }

    fn note_token(&mut self, last_token: &mut Option<Instant>) {
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

    /// Holds an answer that the protocol calls whole against the only right one.
    fn judge(&mut self, text: &str) {
        let expected = match self.request.kind {
            RequestKind::Service => self.request.prompt.clone(),
            RequestKind::Chat => {
                expected_answer(&format!("user: {}\n", self.request.prompt), self.request.max_tokens)
            }
        };
        self.record.result = judge_text(text, &expected);
    }
}
