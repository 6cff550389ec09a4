//! Plain services: calls go straight to one of the servers, streamed in both directions.

use super::chat::Failure;
use super::{Traffic, records};
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::native_dialect::NATIVE_SIGNALS;
use crate::pushback::{SendPermit, SendPurpose, SendTarget, signals_of};
use crate::suspects::{Admission, SuspectGate, has_ended};
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_api::caller::Outcome;
use dockwood_api::engine::HEADER_NOT_RUN;
use dockwood_api::peer::RequestRecord;
use dockwood_api::resource::{ServiceServer, ServiceSpec};
use dockwood_routing::{BackendPicker, CallResult};
use dockwood_state::SuspectAttempt;
use rand::RngExt;
use reqwest::header::HeaderMap;
use reqwest::{Method, StatusCode};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Attempts at one repeatable call, at most.
const MAX_ATTEMPTS: u32 = 3;
/// How long a server may take to answer the head of a response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// When to come back if every server is at its limit, in milliseconds.
const BUSY_RETRY_MS: u64 = 200;

/// Pickers by service.
#[derive(Debug, Default)]
pub struct ServiceRouter {
    pickers: Mutex<HashMap<String, BackendPicker>>,
}

/// A call to forward.
pub struct ServiceCall {
    /// Service name.
    pub service: String,
    /// Its spec.
    pub spec: ServiceSpec,
    /// Method.
    pub method: Method,
    /// Path and query at the server.
    pub path: String,
    /// Headers, without those of the connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: ServiceBody,
    /// Whether it may be run more than once.
    pub repeatable: bool,
    /// What it is recognised by when it comes again; absent where its body is not held whole.
    pub tried: Option<SuspectAttempt>,
    /// Under which its sendings are noted, if the caller named an id and may send it again.
    pub record_key: Option<String>,
}

/// A body that is whole, and can be sent again, or one that is still arriving.
pub enum ServiceBody {
    /// All of it.
    Whole(Bytes),
    /// To be passed on as it arrives; it can be sent once only.
    Streamed(reqwest::Body),
}

impl ServiceBody {
    /// The body to send, and one for another attempt if there may be one.
    fn for_sending(self) -> (reqwest::Body, Option<ServiceBody>) {
        match self {
            ServiceBody::Whole(bytes) => {
                (reqwest::Body::from(bytes.clone()), Some(ServiceBody::Whole(bytes)))
            }
            ServiceBody::Streamed(stream) => (stream, None),
        }
    }
}

/// Counts a call for as long as its answer is streamed.
pub struct CallGuard {
    traffic: Arc<Traffic>,
    service: String,
    server: String,
    servers: usize,
    /// What became of the call; `None` while the server has had none.
    result: Option<CallResult>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let now = monotonic_ms();
        let mut pickers = self.traffic.services.pickers();
        if let Some(picker) = pickers.get_mut(&self.service) {
            // A server that had no call has failed none.
            picker.finished(now, &self.server, self.result.unwrap_or(CallResult::Answered), self.servers);
        }
        let Some(result) = self.result else { return };
        let result = if result == CallResult::Answered { "answered" } else { "failed" };
        self.traffic.shared.metrics.service_calls.with_label_values(&[&self.service, result]).inc();
    }
}

impl ServiceRouter {
    fn pickers(&self) -> MutexGuard<'_, HashMap<String, BackendPicker>> {
        lock(&self.pickers)
    }
}

/// An answer, with what must live until its body has ended.
pub struct Answer {
    /// Head and body.
    pub response: reqwest::Response,
    /// What it tells of the call once it is whole.
    pub gate: Option<SuspectGate>,
    _guard: CallGuard,
}

/// Forwards a call. A failure says "not run" only if no server has had the call, in this sending or an earlier one.
pub async fn forward(traffic: &Arc<Traffic>, call: ServiceCall) -> Result<Answer, Failure> {
    traffic.count_request();
    let mut sendings = Sendings { traffic, key: call.record_key.clone(), noted: None };
    if let Some(failure) = traffic.closed(traffic.shared.holds_lease()) {
        return Err(sendings.truthful(failure).await);
    }
    match try_servers(traffic, call, &mut sendings).await {
        Ok(answer) => Ok(answer),
        Err(failure) => Err(sendings.truthful(failure).await),
    }
}

/// What is known of a call's sendings to servers, by this daemon and by others that the caller sent it to before.
struct Sendings<'a> {
    traffic: &'a Arc<Traffic>,
    key: Option<String>,
    /// Whether an earlier sending may have run, learnt when this one was noted.
    noted: Option<bool>,
}

impl Sendings<'_> {
    fn record(&self, key: &str, outcome: Outcome) -> RequestRecord {
        RequestRecord {
            key: key.to_string(),
            content_digest: 0,
            outcome,
            code: None,
            entry: self.traffic.shared.settings.name.clone(),
            answer: None,
        }
    }

    /// Notes, once, that a server is about to have the call. What comes of it is not noted: the answer is not kept.
    async fn note(&mut self) {
        let Some(key) = self.key.as_ref().filter(|_| self.noted.is_none()) else { return };
        let record = self.record(key, Outcome::Unknown);
        let before = records::keep_before_dispatch(self.traffic, record).await;
        self.noted = Some(before.as_ref().is_some_and(records::may_have_run));
    }

    /// The failure that the caller may be told.
    async fn truthful(&self, failure: Failure) -> Failure {
        let Some(key) = self.key.as_ref().filter(|_| failure.code.is_not_run()) else { return failure };
        let may_have_run = match self.noted {
            Some(may_have_run) => may_have_run,
            None => records::find(self.traffic, key).await.may_have_run(),
        };
        if may_have_run {
            return failure.of_resend();
        }
        if self.noted.is_some() {
            records::keep(self.traffic, self.record(key, Outcome::NotRun)).await;
        }
        failure
    }
}

/// How one attempt at a server ended without an answer.
enum AttemptEnd {
    /// The server could not be reached: it has not had the call.
    NotSent,
    /// The server said that it did not run the call; its answer is passed on if no other server takes the call.
    Rejected(Box<Answered>),
    /// The server may have had the call.
    Unclear,
}

/// The head of a server's answer.
type Answered = (reqwest::Response, CallGuard);

async fn try_servers(
    traffic: &Arc<Traffic>,
    call: ServiceCall,
    sendings: &mut Sendings<'_>,
) -> Result<Answer, Failure> {
    let ServiceCall { service, spec, method, path, headers, body, repeatable, tried, record_key } = call;
    let deadline = Instant::now() + HEAD_TIMEOUT;
    let mut gate = tried.map(|tried| SuspectGate::new(&traffic.shared, tried, deadline));
    let request_id = record_key.unwrap_or_default();
    let mut body = Some(body);
    let mut may_have_run = false;
    for attempt in 0..MAX_ATTEMPTS {
        let (server, guard) = admitted_server(traffic, &service, &spec, &mut gate, may_have_run).await?;
        let Some((sent, spare)) = body.take().map(ServiceBody::for_sending) else { break };
        body = spare;
        sendings.note().await;
        let request = traffic.http.request(method.clone(), format!("http://{}{path}", server.address));
        let sending = request.headers(headers.clone()).body(sent);
        let permit = SendPermit::acquire(&traffic.shared, addressee(&server, &spec), CALL).await;
        let end = match permit {
            Ok(permit) if gate.as_ref().is_none_or(SuspectGate::may_write) => {
                send(sending, guard, permit, &request_id).await
            }
            _ => Err(AttemptEnd::NotSent),
        };
        let mut rejection = None;
        match end {
            Ok((response, guard)) => return Ok(Answer { response, gate, _guard: guard }),
            Err(AttemptEnd::NotSent) => {}
            Err(AttemptEnd::Rejected(answered)) => rejection = Some(answered),
            Err(AttemptEnd::Unclear) => {
                may_have_run = true;
                if has_ended(server.address).await {
                    gate.iter_mut().for_each(SuspectGate::server_ended);
                }
            }
        }
        let may_retry = !may_have_run || repeatable;
        let is_last = attempt + 1 == MAX_ATTEMPTS;
        if !may_retry || is_last || body.is_none() || !traffic.try_retry("service") {
            if let Some((response, guard)) = rejection.map(|answered| *answered) {
                return Ok(Answer { response, gate, _guard: guard });
            }
            break;
        }
    }
    Err(if may_have_run { outcome_unknown() } else { unreachable() })
}

/// Calls have no ranks among each other.
const CALL: SendPurpose = SendPurpose::Request { rank: 0 };

/// A server as what is sent to it is answered for.
fn addressee(server: &ServiceServer, spec: &ServiceSpec) -> SendTarget {
    SendTarget::named(&server.name, spec.slots_per_server)
}

/// A server to which the call may be sent, or why there is none. Its guard is held while the gate is
/// asked: the caller may leave meanwhile.
async fn admitted_server(
    traffic: &Arc<Traffic>,
    service: &str,
    spec: &ServiceSpec,
    gate: &mut Option<SuspectGate>,
    may_have_run: bool,
) -> Result<(ServiceServer, CallGuard), Failure> {
    let truthful = |failure: Failure| {
        if may_have_run && failure.code.is_not_run() { outcome_unknown() } else { failure }
    };
    let refused = |code: ResultCode| truthful(Failure::new(code, code.meaning()));
    let pick = || guarded_pick(traffic, service, spec).map_err(truthful);
    let Some(gate) = gate else { return pick() };
    loop {
        let is_suspect = gate.is_suspect().await.map_err(refused)?;
        let (server, guard) = pick()?;
        let mut admission = gate.admit(is_suspect, &server.name, &server.zone).await;
        if admission == Admission::Admitted {
            return Ok((server, guard));
        }
        drop(guard);
        if admission == Admission::OtherServer {
            admission = gate.wait_for_free_server().await;
        }
        if let Admission::Refused(code) = admission {
            return Err(refused(code));
        }
    }
}

/// Picks a server, and counts the call from now on.
fn guarded_pick(
    traffic: &Arc<Traffic>,
    service: &str,
    spec: &ServiceSpec,
) -> Result<(ServiceServer, CallGuard), Failure> {
    let server = pick(traffic, service, spec)?;
    let guard = CallGuard {
        traffic: traffic.clone(),
        service: service.to_string(),
        server: server.name.clone(),
        servers: spec.servers.len(),
        result: None,
    };
    Ok((server, guard))
}

async fn send(
    request: reqwest::RequestBuilder,
    mut guard: CallGuard,
    mut permit: SendPermit,
    request_id: &str,
) -> Result<Answered, AttemptEnd> {
    guard.result = Some(CallResult::Failed);
    match tokio::time::timeout(HEAD_TIMEOUT, request.send()).await {
        Ok(Ok(response)) => {
            permit.record_response(
                &signals_of(response.status(), response.headers(), &NATIVE_SIGNALS),
                request_id,
            );
            if response.headers().contains_key(HEADER_NOT_RUN) {
                guard.result = Some(CallResult::Answered);
                return Err(AttemptEnd::Rejected(Box::new((response, guard))));
            }
            if response.status() != StatusCode::SERVICE_UNAVAILABLE {
                guard.result = Some(CallResult::Answered);
            }
            Ok((response, guard))
        }
        Ok(Err(error)) if error.is_connect() => Err(AttemptEnd::NotSent),
        _ => Err(AttemptEnd::Unclear),
    }
}

fn unreachable() -> Failure {
    Failure::new(ResultCode::BackendUnreachable, "no server of the service could be reached")
}

fn outcome_unknown() -> Failure {
    Failure::new(ResultCode::OutcomeUnknown, "the server did not answer; the call may have been run")
}

fn pick(traffic: &Traffic, service: &str, spec: &ServiceSpec) -> Result<ServiceServer, Failure> {
    let declared: Vec<&str> = spec.servers.iter().map(|server| server.name.as_str()).collect();
    let stays = spec.servers.iter().filter(|server| !server.drain);
    let (open, held) = traffic.shared.pushback.split(stays, |server| addressee(server, spec).start);
    if open.is_empty() && !held.is_empty() {
        return Err(Failure::unavailable(held.refused()));
    }
    let eligible: Vec<&str> = open.iter().map(|server| server.name.as_str()).collect();
    let random = rand::rng().random();
    let mut pickers = traffic.services.pickers();
    let picker = pickers.entry(service.to_string()).or_default();
    picker.retain(&declared);
    let name = picker.pick(monotonic_ms(), &eligible, spec.slots_per_server, random).ok_or_else(all_busy)?;
    spec.servers.iter().find(|server| server.name == name).cloned().ok_or_else(all_busy)
}

fn all_busy() -> Failure {
    Failure {
        code: ResultCode::QueueFull,
        message: "every server of the service is at its limit".to_string(),
        retry_after_ms: Some(BUSY_RETRY_MS),
    }
}
