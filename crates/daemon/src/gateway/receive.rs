//! Takes a caller's request: finds its route, checks its key, and reads it whole.

use super::Gateway;
use super::account::About;
use super::body::{AnswerBody, BodyFault, read_whole};
use super::headers::from_caller;
use super::refusal::{RETRY_SOON_MS, refuse, retry_after_start_ms};
use super::regions::zones_of;
use crate::clock::monotonic_ms;
use crate::shared::Shared;
use crate::suspects::SuspectGate;
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_api::gateway::{Fingerprint, RequestIdentity, Route, RouteKind};
use dockwood_routing::Millis;
use dockwood_routing::gateway::{AllowedRegions, AllowedZones, Destination, KeyVerdict, RouteTable};
use dockwood_state::SuspectAttempt;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HOST, HeaderMap};
use hyper::{Method, Request, Response, Uri};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long the caller of a cut stream waits for a daemon that has just started: where all daemons were down, they agree on
/// a leader within about a second.
const START_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause between two looks at whether it is ready.
const START_POLL: Duration = Duration::from_millis(20);
/// Highest rank number that servers know.
const LOWEST_RANK: u32 = 9;

/// A request that was read whole.
#[derive(Clone, Debug)]
pub struct Received {
    /// Method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub uri: Uri,
    /// Headers that go on to the server.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that takes it.
    pub service: Destination,
    /// The key that it came with.
    pub key: Option<String>,
    /// The tenant that the key belongs to.
    pub tenant: Option<String>,
    /// Zones whose servers may take it, by its route and its tenant.
    pub zones: AllowedZones,
    /// Rank for the server's queue.
    pub rank: u32,
    /// What it is recognised by when it comes again, under whatever attempt id.
    pub fingerprint: Fingerprint,
    /// The caller's attempt id.
    pub attempt: Option<String>,
    /// The model that it names.
    pub model: Option<String>,
    /// Tokens of its prompt, as far as they are told.
    pub prompt_tokens: u64,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// When the answer must be given, for timers: they stand still while the machine sleeps.
    pub deadline: Instant,
    /// The same by the clock that counts sleep.
    pub deadline_ms: Millis,
}

impl Received {
    /// Milliseconds left.
    pub fn left_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(monotonic_ms())
    }

    /// What is told of it.
    pub fn about(&self) -> About {
        About {
            attempt: self.attempt.clone(),
            tenant: self.tenant.clone(),
            route: Some(self.route.name.clone()),
            service: Some(self.service.name.clone()),
            model: self.model.clone(),
            allowed_ms: self.left_ms(),
            prompt_tokens: self.prompt_tokens,
            fingerprint: Some(self.fingerprint),
        }
    }

    /// What decides whether it may be sent to a server.
    pub fn suspect_gate(&self, shared: &Arc<Shared>) -> SuspectGate {
        let tried = SuspectAttempt {
            fingerprint: self.fingerprint,
            request: self.attempt.clone().unwrap_or_default(),
            tenant: self.tenant.clone(),
            route: self.route.name.clone(),
        };
        SuspectGate::new(shared, tried, self.deadline)
    }

    /// Whether it asks for a stream of events.
    pub fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Stream
    }
}

/// Why a request goes no further. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The code.
    pub code: ResultCode,
    /// For people.
    pub message: &'static str,
    /// When the caller may come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// The answer to the caller.
    pub fn answer(self) -> Response<AnswerBody> {
        refuse(self.code, self.message, self.retry_after_ms)
    }
}

/// The caller's attempt id.
pub fn attempt_of(gateway: &Gateway, headers: &HeaderMap) -> Option<String> {
    text(headers, gateway.dialect.headers().attempt)
}

/// Reads a request, or refuses it.
pub async fn receive(gateway: &Gateway, request: Request<Incoming>) -> Result<Received, Refusal> {
    let (arrived, arrived_ms) = (Instant::now(), monotonic_ms());
    if text(request.headers(), gateway.dialect.headers().last_event).is_some() {
        ready_after_start(gateway).await;
    }
    let table = gateway.routes.load_full();
    let refuse = |code: ResultCode, message: &'static str, retry_after_ms: Option<u64>| Refusal {
        code,
        message,
        retry_after_ms,
    };
    if table.version == 0 {
        return Err(refuse(
            ResultCode::NoConfiguration,
            "no configuration yet",
            Some(retry_after_start_ms()),
        ));
    }
    if !gateway.shared.holds_lease() {
        return Err(refuse(ResultCode::NoLease, "no configuration lease", Some(RETRY_SOON_MS)));
    }
    let (parts, body) = request.into_parts();
    let host = host_of(&parts.headers, &parts.uri);
    let Some(route) = table.route(&host, parts.uri.path()).cloned() else {
        return Err(refuse(ResultCode::NoRoute, "no route has this host and path", None));
    };
    let key = key_of(gateway, &parts.headers);
    let KeyVerdict::Passes { tenant, priority, allowed_regions } = table.check_key(&route, key.as_deref())
    else {
        return Err(refuse(ResultCode::UnknownTenant, "the key is not known", None));
    };
    let regions = AllowedRegions::named(&route.allowed_regions).and(&allowed_regions);
    let zones = zones_of(gateway, &regions)?;
    let Some(service) = table.destination(&route, rand::random()) else {
        return Err(refuse(ResultCode::NoServer, "the route has no service", Some(RETRY_SOON_MS)));
    };
    let body = match read_whole(body, table.limits.max_body_bytes).await {
        Ok(body) => body,
        Err(BodyFault::TooLarge) => {
            return Err(refuse(ResultCode::BodyTooLarge, "the body is too large", None));
        }
        Err(BodyFault::Broken) => return Err(refuse(ResultCode::BadHeader, "the body ended early", None)),
    };
    let names = gateway.dialect.headers();
    let number = |name: &str| text(&parts.headers, name).and_then(|value| value.trim().parse::<u64>().ok());
    let told_ms = number(names.deadline_ms);
    let timeout_ms = told_ms.map_or(route.timeout_ms, |told| told.min(route.timeout_ms));
    let usage = text(&parts.headers, names.token_usage);
    let drop_key = key.is_some() || !route.anonymous;
    let identity = RequestIdentity {
        tenant: tenant.as_deref(),
        method: parts.method.as_str(),
        host: &route.host,
        path: parts.uri.path_and_query().map_or("/", |path| path.as_str()),
        body: &body,
    };
    Ok(Received {
        fingerprint: Fingerprint::of(&identity),
        headers: from_caller(&parts.headers, names, drop_key),
        attempt: text(&parts.headers, names.attempt),
        model: text(&parts.headers, names.model),
        // A request that doesn't tell its tokens counts as one without a prompt.
        prompt_tokens: usage.and_then(|usage| gateway.dialect.prompt_tokens(&usage)).unwrap_or(0),
        last_event: number(names.last_event),
        rank: priority.unwrap_or(route.priority).min(LOWEST_RANK),
        method: parts.method,
        uri: parts.uri,
        deadline: arrived + Duration::from_millis(timeout_ms),
        deadline_ms: arrived_ms + timeout_ms,
        body,
        route,
        service,
        key,
        tenant,
        zones,
    })
}

/// Waits shortly until a daemon that has just started has a configuration and a lease. For callers whose stream was cut:
/// they have come back already, and a refusal would be the end of their request.
async fn ready_after_start(gateway: &Gateway) {
    let ready = async {
        while gateway.routes.load().version == 0 || !gateway.shared.holds_lease() {
            tokio::time::sleep(START_POLL).await;
        }
    };
    if gateway.routes.load().version == 0 {
        // Not ready in time: the request is refused as any other.
        let _ = tokio::time::timeout(START_LIMIT, ready).await;
    }
}

/// Whether a request that waited may still be sent: its key and route hold by the newest configuration, which this
/// daemon has a lease on.
pub fn may_still_run(gateway: &Gateway, received: &Received) -> bool {
    let table: Arc<RouteTable> = gateway.routes.load_full();
    let key_holds = !matches!(table.check_key(&received.route, received.key.as_deref()), KeyVerdict::Refused);
    gateway.shared.holds_lease() && key_holds
}

fn host_of(headers: &HeaderMap, uri: &Uri) -> String {
    let named = uri.host().map(str::to_string);
    named.or_else(|| text(headers, HOST.as_str())).unwrap_or_default()
}

fn key_of(gateway: &Gateway, headers: &HeaderMap) -> Option<String> {
    let authorization = text(headers, AUTHORIZATION.as_str())?;
    gateway.dialect.key(&authorization).map(str::to_string)
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_string)
}
