//! Plain services: calls go straight to one of the servers, streamed in both directions.

use super::Traffic;
use crate::clock::monotonic_ms;
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_api::resource::{ServiceServer, ServiceSpec};
use dockwood_routing::{BackendPicker, CallResult};
use rand::RngExt;
use reqwest::header::HeaderMap;
use reqwest::{Method, StatusCode};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use super::chat::Failure;

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
}

/// A body that is whole, and can be sent again, or one that is still arriving.
pub enum ServiceBody {
    /// All of it.
    Whole(Bytes),
    /// To be passed on as it arrives; it can be sent once only.
    Streamed(reqwest::Body),
}

/// Counts a call for as long as its answer is streamed.
pub struct CallGuard {
    traffic: std::sync::Arc<Traffic>,
    service: String,
    server: String,
    servers: usize,
    result: CallResult,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let now = monotonic_ms();
        let mut pickers = self.traffic.services.pickers();
        if let Some(picker) = pickers.get_mut(&self.service) {
            picker.finished(now, &self.server, self.result, self.servers);
        }
        let result = if self.result == CallResult::Answered { "answered" } else { "failed" };
        self.traffic.shared.metrics.service_calls.with_label_values(&[&self.service, result]).inc();
    }
}

impl ServiceRouter {
    fn pickers(&self) -> MutexGuard<'_, HashMap<String, BackendPicker>> {
        self.pickers.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Forwards a call. The guard must live until the answer's body has ended.
pub async fn forward(
    traffic: &std::sync::Arc<Traffic>,
    call: ServiceCall,
) -> Result<(reqwest::Response, CallGuard), Failure> {
    traffic.count_request();
    let ServiceCall { service, spec, method, path, headers, body, repeatable } = call;
    let mut body = Some(body);
    for attempt in 0..MAX_ATTEMPTS {
        let Some(server) = pick(traffic, &service, &spec) else { return Err(all_busy()) };
        let mut guard = CallGuard {
            traffic: traffic.clone(),
            service: service.clone(),
            server: server.name.clone(),
            servers: spec.servers.len(),
            result: CallResult::Failed,
        };
        let (sent, spare) = match body.take() {
            Some(ServiceBody::Whole(bytes)) => {
                (reqwest::Body::from(bytes.clone()), Some(ServiceBody::Whole(bytes)))
            }
            Some(ServiceBody::Streamed(stream)) => (stream, None),
            None => break,
        };
        body = spare;
        let request = traffic.http.request(method.clone(), format!("http://{}{path}", server.address));
        let sending = request.headers(headers.clone()).body(sent).send();
        let failure = match tokio::time::timeout(HEAD_TIMEOUT, sending).await {
            Ok(Ok(response)) => {
                if response.status() != StatusCode::SERVICE_UNAVAILABLE {
                    guard.result = CallResult::Answered;
                }
                return Ok((response, guard));
            }
            Ok(Err(error)) if error.is_connect() => {
                Failure::new(ResultCode::BackendUnreachable, "no server of the service could be reached")
            }
            _ => Failure::new(
                ResultCode::OutcomeUnknown,
                "the server did not answer; the call may have been run",
            ),
        };
        drop(guard);
        let may_retry = failure.code.is_not_run() || repeatable;
        let last = attempt + 1 == MAX_ATTEMPTS;
        if !may_retry || last || body.is_none() || !traffic.try_retry("service") {
            return Err(failure);
        }
    }
    Err(Failure::new(ResultCode::BackendUnreachable, "no server of the service could be reached"))
}

fn pick(traffic: &Traffic, service: &str, spec: &ServiceSpec) -> Option<ServiceServer> {
    let declared: Vec<&str> = spec.servers.iter().map(|server| server.name.as_str()).collect();
    let eligible: Vec<&str> =
        spec.servers.iter().filter(|server| !server.drain).map(|server| server.name.as_str()).collect();
    let random = rand::rng().random();
    let mut pickers = traffic.services.pickers();
    let picker = pickers.entry(service.to_string()).or_default();
    picker.retain(&declared);
    let name = picker.pick(monotonic_ms(), &eligible, spec.slots_per_server, random)?;
    spec.servers.iter().find(|server| server.name == name).cloned()
}

fn all_busy() -> Failure {
    Failure {
        code: ResultCode::QueueFull,
        message: "every server of the service is at its limit".to_string(),
        retry_after_ms: Some(BUSY_RETRY_MS),
    }
}
