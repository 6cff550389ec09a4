//! Receives a caller's request: finds its route, checks its API key, and reads its body.

use super::Gateway;
use super::body::ResponseBody;
use super::headers::forwarded_headers;
use super::regions::allowed_zones;
use super::request_log::RequestInfo;
use super::responses::{RETRY_SOON_MS, error_response, retry_after_start_ms};
use crate::clock::monotonic_ms;
use crate::connection_slots::BodyGuard;
use crate::guarded_body::GuardedBody;
use crate::request_bodies::{BodyLimits, RequestBodyFault};
use crate::shared::Shared;
use crate::suspects::SuspectGate;
use crate::unread_body::DiscardingBody;
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_api::gateway::{Fingerprint, PromptPart, RequestIdentity, Route, RouteKind};
use dockwood_routing::Millis;
use dockwood_routing::gateway::{AllowedRegions, AllowedZones, Destination, KeyVerdict, RouteTable};
use dockwood_state::SuspectAttempt;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HOST, HeaderMap};
use hyper::{Method, Request, Response, Uri, Version};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long the caller of an interrupted stream waits for a daemon that has just started: if all daemons were down, they
/// elect a leader within about a second.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which the daemon's readiness is checked during that wait.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Highest rank that servers accept. A higher rank means a lower priority.
const MAX_RANK: u32 = 9;

/// A request whose body has been read completely.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Version of the caller's protocol.
    pub version: Version,
    /// Method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub uri: Uri,
    /// Headers that are forwarded to the server.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Its route.
    pub route: Arc<Route>,
    /// Service that processes it.
    pub service: Destination,
    /// API key in the request, if any.
    pub key: Option<String>,
    /// Tenant of the API key, if any.
    pub tenant: Option<String>,
    /// Zones in which its route and its tenant allow it to run.
    pub zones: AllowedZones,
    /// Rank in the server's queue.
    pub rank: u32,
    /// Fingerprint by which retries are recognized, independent of the attempt id.
    pub fingerprint: Fingerprint,
    /// Attempt id from the caller.
    pub attempt: Option<String>,
    /// Requested model.
    pub model: Option<String>,
    /// Number of prompt tokens; 0 if the caller did not state it.
    pub prompt_tokens: u64,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: Arc<[PromptPart]>,
    /// Id of the last event that the caller received before its stream was interrupted.
    pub last_event: Option<u64>,
    /// Deadline of the response, for timers, which do not advance while the machine is suspended.
    pub deadline: Instant,
    /// The same deadline on the clock that includes time in suspend.
    pub deadline_ms: Millis,
}

impl ReceivedRequest {
    /// Returns the time until the deadline, in milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(monotonic_ms())
    }

    /// The same as a duration.
    pub fn remaining(&self) -> Duration {
        Duration::from_millis(self.remaining_ms())
    }

    /// Returns the properties for the log line.
    pub fn info(&self) -> RequestInfo {
        RequestInfo {
            attempt: self.attempt.clone(),
            tenant: self.tenant.clone(),
            route: Some(self.route.name.clone()),
            service: Some(self.service.name.clone()),
            model: self.model.clone(),
            allowed_ms: self.remaining_ms(),
            prompt_tokens: self.prompt_tokens,
            fingerprint: Some(self.fingerprint),
        }
    }

    /// Creates the gate that decides whether the request may be sent to a server.
    pub fn suspect_gate(&self, shared: &Arc<Shared>) -> SuspectGate {
        let attempt = SuspectAttempt {
            fingerprint: self.fingerprint,
            request: self.attempt.clone().unwrap_or_default(),
            tenant: self.tenant.clone(),
            route: self.route.name.clone(),
        };
        SuspectGate::new(shared, attempt, self.deadline).with_shared_parts(self.shared_parts.clone())
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Stream
    }
}

/// Body of a caller's request. Its guard tells the connection that the body may still be read.
pub type CallerBody = DiscardingBody<GuardedBody<Incoming, BodyGuard>>;

/// Why a request is rejected on receipt. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Result code.
    pub code: ResultCode,
    /// Human-readable message.
    pub message: &'static str,
    /// When the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates the refusal of a request whose body is not read completely.
    pub fn of_body(fault: RequestBodyFault) -> Refusal {
        let (code, message, retry_after_ms) = match fault {
            RequestBodyFault::TooLarge => (ResultCode::BodyTooLarge, "the body is too large", None),
            RequestBodyFault::Broken => (ResultCode::BadHeader, "the body ended early", None),
            RequestBodyFault::TimedOut => (ResultCode::BodyTimeout, "the body did not arrive in time", None),
            RequestBodyFault::NoMemory => {
                (ResultCode::MemoryExhausted, "no memory is left for the body", Some(RETRY_SOON_MS))
            }
        };
        Refusal { code, message, retry_after_ms }
    }

    /// Returns the response to the caller.
    pub fn into_response(self) -> Response<ResponseBody> {
        error_response(self.code, self.message, self.retry_after_ms)
    }
}

/// Returns the attempt id from the caller.
pub fn attempt_id(gateway: &Gateway, headers: &HeaderMap) -> Option<String> {
    header_text(headers, gateway.dialect.headers().attempt)
}

/// Reads a request; `Err` if it is rejected, possibly before its body has been read.
pub async fn receive(gateway: &Gateway, request: Request<CallerBody>) -> Result<ReceivedRequest, Refusal> {
    let (arrived, arrived_ms) = (Instant::now(), monotonic_ms());
    if header_text(request.headers(), gateway.dialect.headers().last_event).is_some() {
        wait_for_startup(gateway).await;
    }
    let table = gateway.routes.load_full();
    let refusal = |code: ResultCode, message: &'static str, retry_after_ms: Option<u64>| Refusal {
        code,
        message,
        retry_after_ms,
    };
    if table.version == 0 {
        return Err(refusal(
            ResultCode::NoConfiguration,
            "no configuration yet",
            Some(retry_after_start_ms()),
        ));
    }
    if !gateway.shared.holds_lease() {
        return Err(refusal(ResultCode::NoLease, "no configuration lease", Some(RETRY_SOON_MS)));
    }
    let (parts, body) = request.into_parts();
    let host = request_host(&parts.headers, &parts.uri);
    let Some(route) = table.route(&host, parts.uri.path()).cloned() else {
        return Err(refusal(ResultCode::NoRoute, "no route has this host and path", None));
    };
    let key = api_key(gateway, &parts.headers);
    let KeyVerdict::Passes { tenant, priority, allowed_regions } = table.check_key(&route, key.as_deref())
    else {
        return Err(refusal(ResultCode::UnknownTenant, "the key is not known", None));
    };
    let regions = AllowedRegions::named(&route.allowed_regions).and(&allowed_regions);
    let zones = allowed_zones(gateway, &regions)?;
    let Some(service) = table.destination(&route, rand::random()) else {
        return Err(refusal(ResultCode::NoServer, "the route has no service", Some(RETRY_SOON_MS)));
    };
    let names = gateway.dialect.headers();
    let number =
        |name: &str| header_text(&parts.headers, name).and_then(|value| value.trim().parse::<u64>().ok());
    let requested_ms = number(names.deadline_ms);
    let timeout_ms = requested_ms.map_or(route.timeout_ms, |requested| requested.min(route.timeout_ms));
    let deadline = arrived + Duration::from_millis(timeout_ms);
    let limits =
        BodyLimits { max_bytes: table.limits.max_body_bytes, deadline, copies: 1, patience: Duration::ZERO };
    let body = gateway.shared.request_bodies.read(body, limits).await.map_err(Refusal::of_body)?;
    let usage = header_text(&parts.headers, names.token_usage);
    let prompt_parts = header_text(&parts.headers, names.prompt_parts);
    let prompt_parts = prompt_parts.map(|value| gateway.dialect.prompt_parts(&value)).unwrap_or_default();
    let drop_key = key.is_some() || !route.anonymous;
    let identity = RequestIdentity {
        tenant: tenant.as_deref(),
        method: parts.method.as_str(),
        host: &route.host,
        path: parts.uri.path_and_query().map_or("/", |path| path.as_str()),
        body: &body,
    };
    Ok(ReceivedRequest {
        fingerprint: Fingerprint::of(&identity),
        headers: forwarded_headers(&parts.headers, names, drop_key),
        attempt: header_text(&parts.headers, names.attempt),
        model: header_text(&parts.headers, names.model),
        // A request that doesn't state its prompt tokens is treated as one without a prompt.
        prompt_tokens: usage.and_then(|usage| gateway.dialect.prompt_tokens(&usage)).unwrap_or(0),
        shared_parts: PromptPart::shared(prompt_parts).into(),
        last_event: number(names.last_event),
        rank: priority.unwrap_or(route.priority).min(MAX_RANK),
        version: parts.version,
        method: parts.method,
        uri: parts.uri,
        deadline,
        deadline_ms: arrived_ms + timeout_ms,
        body,
        route,
        service,
        key,
        tenant,
        zones,
    })
}

/// Waits up to [`STARTUP_TIMEOUT`] until a daemon that has just started has a configuration and a lease. Used for callers
/// whose stream was interrupted: this is already their retry, and a refusal would end their request.
async fn wait_for_startup(gateway: &Gateway) {
    let ready = async {
        while gateway.routes.load().version == 0 || !gateway.shared.holds_lease() {
            tokio::time::sleep(STARTUP_POLL_INTERVAL).await;
        }
    };
    if gateway.routes.load().version == 0 {
        // On a timeout, the request is refused like any other.
        let _ = tokio::time::timeout(STARTUP_TIMEOUT, ready).await;
    }
}

/// Returns whether a request that has waited may still be sent: the newest configuration accepts its API key for its
/// route, and this daemon holds a configuration lease.
pub fn may_still_send(gateway: &Gateway, received: &ReceivedRequest) -> bool {
    let table: Arc<RouteTable> = gateway.routes.load_full();
    let is_key_valid =
        !matches!(table.check_key(&received.route, received.key.as_deref()), KeyVerdict::Refused);
    gateway.shared.holds_lease() && is_key_valid
}

fn request_host(headers: &HeaderMap, uri: &Uri) -> String {
    let named = uri.host().map(str::to_string);
    named.or_else(|| header_text(headers, HOST.as_str())).unwrap_or_default()
}

fn api_key(gateway: &Gateway, headers: &HeaderMap) -> Option<String> {
    let authorization = header_text(headers, AUTHORIZATION.as_str())?;
    gateway.dialect.key(&authorization).map(str::to_string)
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_string)
}
