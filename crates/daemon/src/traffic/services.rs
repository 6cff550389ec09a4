//! Plain services: forwards calls to one of the servers, streamed in both directions.

use super::chat::Failure;
use super::service_response::{CallGuard, ServiceResponse};
use super::{Traffic, records};
use crate::clock::monotonic_ms;
use crate::content_coding::is_coding_accepted;
use crate::framed_response::{FramedResponse, send_request};
use crate::lock::lock;
use crate::native_dialect::NATIVE_SIGNALS;
use crate::pushback::{SendPermit, SendPurpose, SendTarget, signals_of};
use crate::suspects::{Admission, SuspectGate};
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_api::caller::Outcome;
use dockwood_api::engine::HEADER_NOT_RUN;
use dockwood_api::peer::RequestRecord;
use dockwood_api::resource::{ServiceServer, ServiceSpec};
use dockwood_routing::{BackendPicker, CallResult, WithheldSends};
use dockwood_state::SuspectAttempt;
use rand::RngExt;
use reqwest::header::HeaderMap;
use reqwest::{Method, StatusCode};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of attempts for a repeatable call, not counting those in which nothing was written.
const MAX_ATTEMPTS: u32 = 3;
/// Time limit for the response head of a server.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry-after time if all servers are at their limits, in milliseconds.
const BUSY_RETRY_AFTER_MS: u64 = 200;

/// Server selection by service.
#[derive(Debug, Default)]
pub struct ServiceRouter {
    pickers: Mutex<HashMap<String, BackendPicker>>,
}

/// A call to forward.
pub struct ServiceCall {
    /// Service name.
    pub service: String,
    /// Service specification.
    pub spec: ServiceSpec,
    /// HTTP method.
    pub method: Method,
    /// Path and query to request from the server.
    pub path: String,
    /// Headers, without connection-specific ones.
    pub headers: HeaderMap,
    /// Request body.
    pub body: ServiceBody,
    /// Whether the call may be run more than once.
    pub repeatable: bool,
    /// Identifies the call when it is sent again, in case it crashes servers; `None` if its body is not buffered.
    pub suspect_attempt: Option<SuspectAttempt>,
    /// Key of the record of its dispatch, if the caller sent an idempotency key and may send the call again.
    pub record_key: Option<String>,
}

/// A request body: buffered, so that it can be sent again, or still being received.
pub enum ServiceBody {
    /// The complete body.
    Buffered(Bytes),
    /// Forwarded while it is received; can be sent only once.
    Streamed(reqwest::Body),
}

impl ServiceBody {
    /// Returns the body to send, and a copy for another attempt if it is buffered.
    fn into_send_body(self) -> (reqwest::Body, Option<ServiceBody>) {
        match self {
            ServiceBody::Buffered(bytes) => {
                (reqwest::Body::from(bytes.clone()), Some(ServiceBody::Buffered(bytes)))
            }
            ServiceBody::Streamed(stream) => (stream, None),
        }
    }
}

impl ServiceRouter {
    /// Returns the server selection of each service.
    pub(super) fn pickers(&self) -> MutexGuard<'_, HashMap<String, BackendPicker>> {
        lock(&self.pickers)
    }
}

/// Forwards a call. A failure says "not run" only if neither this nor an earlier send of the call reached a server.
pub async fn forward(traffic: &Arc<Traffic>, call: ServiceCall) -> Result<ServiceResponse, Failure> {
    traffic.count_request();
    let mut send_history = SendHistory { traffic, key: call.record_key.clone(), earlier_may_have_run: None };
    if let Some(failure) = traffic.new_request_failure(traffic.shared.holds_lease()) {
        return Err(send_history.failure_to_report(failure).await);
    }
    match try_servers(traffic, call, &mut send_history).await {
        Ok(answer) => Ok(answer),
        Err(failure) => Err(send_history.failure_to_report(failure).await),
    }
}

/// Whether a call may have been sent to servers before, by this daemon or by others that the caller sent it to.
struct SendHistory<'a> {
    traffic: &'a Arc<Traffic>,
    key: Option<String>,
    /// Whether an earlier send may have run, known once this send is recorded.
    earlier_may_have_run: Option<bool>,
}

impl SendHistory<'_> {
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

    /// Records, once, that the call is about to be sent to a server. Its outcome is not recorded, because the response
    /// is not stored.
    async fn record_send(&mut self) {
        let Some(key) = self.key.as_ref().filter(|_| self.earlier_may_have_run.is_none()) else { return };
        let record = self.record(key, Outcome::Unknown);
        let before = records::store_before_dispatch(self.traffic, record).await;
        self.earlier_may_have_run = Some(before.as_ref().is_some_and(records::may_have_run));
    }

    /// Returns the failure to report to the caller, which says "not run" only if no send may have run.
    async fn failure_to_report(&self, failure: Failure) -> Failure {
        let Some(key) = self.key.as_ref().filter(|_| failure.code.is_not_run()) else { return failure };
        let may_have_run = match self.earlier_may_have_run {
            Some(may_have_run) => may_have_run,
            None => records::find_record(self.traffic, key).await.may_have_run(),
        };
        if may_have_run {
            return failure.of_resent_request();
        }
        if self.earlier_may_have_run.is_some() {
            records::store_at_holders(self.traffic, self.record(key, Outcome::NotRun)).await;
        }
        failure
    }
}

/// Why an attempt yielded no response to return.
enum AttemptFailure {
    /// The call was not written to the server: it is on hold, or the call is suspected of crashing servers.
    Withheld,
    /// The server could not be reached: it did not receive the call.
    NotConnected,
    /// The server responded that it did not run the call. Its response is returned if no other server accepts the call.
    Rejected(Box<ResponseWithGuard>),
    /// The server may have run the call.
    MayHaveRun,
}

/// A response whose body is still being received.
type ResponseWithGuard = (FramedResponse, CallGuard);

async fn try_servers(
    traffic: &Arc<Traffic>,
    call: ServiceCall,
    send_history: &mut SendHistory<'_>,
) -> Result<ServiceResponse, Failure> {
    let ServiceCall { service, spec, method, path, headers, body, repeatable, suspect_attempt, record_key } =
        call;
    let deadline = Instant::now() + RESPONSE_HEAD_TIMEOUT;
    let mut gate =
        suspect_attempt.map(|suspect_attempt| SuspectGate::new(&traffic.shared, suspect_attempt, deadline));
    let request_id = record_key.unwrap_or_default();
    let mut body = Some(body);
    let mut may_have_run = false;
    let mut withheld = WithheldSends::default();
    let mut attempts = 0;
    loop {
        let (server, guard) = pick_admitted_server(traffic, &service, &spec, &mut gate, may_have_run).await?;
        let Some((sent, retry_body)) = body.take().map(ServiceBody::into_send_body) else { break };
        body = retry_body;
        send_history.record_send().await;
        let request = traffic.http.request(method.clone(), format!("http://{}{path}", server.address));
        let sending = request.headers(headers.clone()).body(sent);
        let permit = SendPermit::acquire(&traffic.shared, send_target(&server, &spec), CALL_PURPOSE).await;
        let result = match permit {
            Ok(permit) if gate.as_ref().is_none_or(SuspectGate::may_write) => {
                send_call(sending, guard, permit, &request_id, &headers).await
            }
            _ => Err(AttemptFailure::Withheld),
        };
        let mut rejection = None;
        match result {
            Ok((response, guard)) => return Ok(ServiceResponse::new(response, gate, guard)),
            Err(AttemptFailure::Withheld) if withheld.record(&server.name) && body.is_some() => continue,
            Err(AttemptFailure::Withheld | AttemptFailure::NotConnected) => {}
            Err(AttemptFailure::Rejected(rejected_response)) => rejection = Some(rejected_response),
            Err(AttemptFailure::MayHaveRun) => {
                may_have_run = true;
                if let Some(gate) = &mut gate {
                    gate.connection_broke(|| ()).await;
                }
            }
        }
        attempts += 1;
        let may_retry = !may_have_run || repeatable;
        let is_last = attempts == MAX_ATTEMPTS;
        if !may_retry || is_last || body.is_none() || !traffic.try_retry("service") {
            if let Some((response, guard)) = rejection.map(|rejected_response| *rejected_response) {
                return Ok(ServiceResponse::new(response, gate, guard));
            }
            break;
        }
    }
    Err(if may_have_run { outcome_unknown() } else { unreachable() })
}

/// All calls have the same priority.
const CALL_PURPOSE: SendPurpose = SendPurpose::Request { rank: 0 };

/// Returns the target that pushback signals of a server apply to.
fn send_target(server: &ServiceServer, spec: &ServiceSpec) -> SendTarget {
    SendTarget::named(&server.name, spec.slots_per_server)
}

/// Picks a server to which the call may be sent. The guard of the server is held while the gate decides, because the
/// caller may disconnect in the meantime.
async fn pick_admitted_server(
    traffic: &Arc<Traffic>,
    service: &str,
    spec: &ServiceSpec,
    gate: &mut Option<SuspectGate>,
    may_have_run: bool,
) -> Result<(ServiceServer, CallGuard), Failure> {
    let hide_not_run = |failure: Failure| {
        if may_have_run && failure.code.is_not_run() { outcome_unknown() } else { failure }
    };
    let refused = |code: ResultCode| hide_not_run(Failure::new(code, code.meaning()));
    let pick = || pick_and_count(traffic, service, spec).map_err(hide_not_run);
    let Some(gate) = gate else { return pick() };
    loop {
        let is_suspect = gate.is_suspect().await.map_err(refused)?;
        let (server, guard) = pick()?;
        let mut admission = gate.admit(is_suspect, &server.name, &server.zone, server.address).await;
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

/// Picks a server and counts the call as in flight from now on.
fn pick_and_count(
    traffic: &Arc<Traffic>,
    service: &str,
    spec: &ServiceSpec,
) -> Result<(ServiceServer, CallGuard), Failure> {
    let server = pick_server(traffic, service, spec)?;
    let guard = CallGuard {
        traffic: traffic.clone(),
        service: service.to_string(),
        server: server.name.clone(),
        address: server.address,
        servers: spec.servers.len(),
        result: None,
    };
    Ok((server, guard))
}

async fn send_call(
    request: reqwest::RequestBuilder,
    mut guard: CallGuard,
    mut permit: SendPermit,
    request_id: &str,
    request_headers: &HeaderMap,
) -> Result<ResponseWithGuard, AttemptFailure> {
    guard.result = Some(CallResult::Failed);
    match tokio::time::timeout(RESPONSE_HEAD_TIMEOUT, send_request(request)).await {
        Ok(Ok(response)) => {
            permit.record_response(
                &signals_of(response.status(), response.headers(), &NATIVE_SIGNALS),
                request_id,
            );
            if response.headers().contains_key(HEADER_NOT_RUN) {
                guard.result = Some(CallResult::Answered);
                return Err(AttemptFailure::Rejected(Box::new((response, guard))));
            }
            if !is_coding_accepted(request_headers, response.headers()) {
                return Err(AttemptFailure::MayHaveRun);
            }
            if response.status() != StatusCode::SERVICE_UNAVAILABLE {
                guard.result = Some(CallResult::Answered);
            }
            Ok((response, guard))
        }
        Ok(Err(fault)) if fault.is_connect() => Err(AttemptFailure::NotConnected),
        _ => Err(AttemptFailure::MayHaveRun),
    }
}

fn unreachable() -> Failure {
    Failure::new(ResultCode::BackendUnreachable, "no server of the service could be reached")
}

fn outcome_unknown() -> Failure {
    Failure::new(ResultCode::OutcomeUnknown, "the server did not answer; the call may have been run")
}

fn pick_server(traffic: &Traffic, service: &str, spec: &ServiceSpec) -> Result<ServiceServer, Failure> {
    let declared: Vec<&str> = spec.servers.iter().map(|server| server.name.as_str()).collect();
    let not_draining = spec.servers.iter().filter(|server| !server.drain);
    let (open, held) = traffic.shared.pushback.split(not_draining, |server| send_target(server, spec).start);
    if open.is_empty() && !held.is_empty() {
        return Err(Failure::unavailable(held.refused()));
    }
    let eligible: Vec<&str> = open.iter().map(|server| server.name.as_str()).collect();
    let random = rand::rng().random();
    let mut pickers = traffic.services.pickers();
    let picker = pickers.entry(service.to_string()).or_default();
    picker.retain(&declared);
    let name =
        picker.pick(monotonic_ms(), &eligible, spec.slots_per_server, random).ok_or_else(all_servers_busy)?;
    spec.servers.iter().find(|server| server.name == name).cloned().ok_or_else(all_servers_busy)
}

fn all_servers_busy() -> Failure {
    Failure {
        code: ResultCode::QueueFull,
        message: "every server of the service is at its limit".to_string(),
        retry_after_ms: Some(BUSY_RETRY_AFTER_MS),
    }
}
