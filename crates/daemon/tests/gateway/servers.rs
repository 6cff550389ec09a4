//! Fake servers that register themselves and use dockwood's own protocol: model servers in groups, and plain servers.

pub use crate::behavior::{Arrival, Backoff, Behavior};
use dockwood_daemon::lock::lock;

use crate::event_stream::events;
use dockwood_api::gateway::{
    GroupCommand, GroupOrder, InstanceReport, InstanceState, MembershipReport, MembershipState,
};
use poem::http::{HeaderValue, StatusCode};
use poem::listener::TcpAcceptor;
use poem::web::Data;
use poem::{Body, EndpointExt, IntoResponse, Request, Response, Route, Server, handler};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// Number of events in a complete stream.
pub const EVENTS: u64 = 30;
/// Interval between two events.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// A request with this body crashes each server that begins to run it.
pub const CRASHES_SERVERS: &str = "ends whatever server runs it";
/// A request whose prompt contains this part crashes each server that begins to respond to it.
pub const CRASHING_PART: &str = "crashes-servers";
/// Header with the parts of a request's prompt.
pub const PROMPT_PARTS: &str = "dockwood-prompt-parts";
/// Time for which a server runs such a request before it crashes.
const RUNS_BEFORE_CRASH: Duration = Duration::from_millis(50);
/// Time after which a crashed server restarts at the same address.
const RESTARTS_AFTER: Duration = Duration::from_millis(500);
/// Id prefix of servers that keep their id when they restart.
pub const KEEPS_ID: &str = "lasting";
/// Time that a member takes to load its weights.
const LOAD_TIME: Duration = Duration::from_millis(100);

/// A fake server.
pub struct FakeServer {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    domain: Option<String>,
    behavior: Mutex<Behavior>,
    membership: Mutex<Option<MembershipReport>>,
    sequence: AtomicU64,
    state: Mutex<InstanceState>,
    pub is_stalled: AtomicBool,
    /// Whether a report was acknowledged.
    pub is_registered: AtomicBool,
    pub runs: AtomicU32,
    pub aborted_streams: AtomicU32,
    pub streaming: AtomicU32,
    pub tenants: Mutex<Vec<String>>,
    /// Reported remaining time until it is warm, in milliseconds.
    pub cold_ms: AtomicU64,
    /// Received requests including rejected ones, but without those addressed to another server.
    arrivals: Mutex<Vec<Arrival>>,
    /// Whether all its responses announce its shutdown, regardless of its reports.
    pub announces_leaving: AtomicBool,
    /// Rate limit announced in all its responses, in requests per second.
    limit: Mutex<Option<f64>>,
    /// Arrival times of requests that crash servers, at this instance and its successors.
    pub fatal_arrivals: Arc<Mutex<Vec<Instant>>>,
    /// Models whose weights are staged on its host.
    staged: Mutex<BTreeSet<String>>,
    /// Whether it restarts with the same id instead of as a new instance.
    keeps_id: bool,
    has_crashed: AtomicBool,
    listening: Mutex<Option<AbortHandle>>,
    /// A second handle on the listening socket, which stays open until it is closed as well.
    listener: Mutex<Option<std::net::TcpListener>>,
    /// How long the listening socket outlives the connections in a crash, in milliseconds; 0 if it is closed first.
    pub listener_outlives_ms: AtomicU64,
    operators: Vec<SocketAddr>,
}

impl FakeServer {
    /// Starts a server in the daemons' zone, which begins to report.
    pub async fn start(
        id: &str,
        service: &str,
        domain: Option<&str>,
        address: SocketAddr,
        operators: Vec<SocketAddr>,
    ) -> Arc<FakeServer> {
        FakeServer::start_in("z", id, service, domain, address, operators).await
    }

    /// Starts a server in a zone.
    pub async fn start_in(
        zone: &str,
        id: &str,
        service: &str,
        domain: Option<&str>,
        address: SocketAddr,
        operators: Vec<SocketAddr>,
    ) -> Arc<FakeServer> {
        FakeServer::start_after(Arc::default(), zone, id, service, domain, address, operators).await
    }

    /// Starts a server as the successor of a crashed instance, whose `fatal_arrivals` it shares.
    async fn start_after(
        fatal_arrivals: Arc<Mutex<Vec<Instant>>>,
        zone: &str,
        id: &str,
        service: &str,
        domain: Option<&str>,
        address: SocketAddr,
        operators: Vec<SocketAddr>,
    ) -> Arc<FakeServer> {
        let server = Arc::new(FakeServer {
            id: id.to_string(),
            address,
            service: service.to_string(),
            zone: zone.to_string(),
            domain: domain.map(str::to_string),
            behavior: Mutex::new(Behavior::Normal),
            membership: Mutex::new(None),
            sequence: AtomicU64::new(0),
            state: Mutex::new(InstanceState::Ready),
            is_stalled: AtomicBool::new(false),
            is_registered: AtomicBool::new(false),
            runs: AtomicU32::new(0),
            aborted_streams: AtomicU32::new(0),
            streaming: AtomicU32::new(0),
            tenants: Mutex::default(),
            cold_ms: AtomicU64::new(0),
            arrivals: Mutex::default(),
            announces_leaving: AtomicBool::new(false),
            limit: Mutex::default(),
            fatal_arrivals,
            staged: Mutex::default(),
            keeps_id: id.starts_with(KEEPS_ID),
            has_crashed: AtomicBool::new(false),
            listening: Mutex::default(),
            listener: Mutex::default(),
            listener_outlives_ms: AtomicU64::new(0),
            operators: operators.clone(),
        });
        let routes = Route::new()
            .at("/group/orders", poem::post(take_order))
            .at("/group/report", poem::get(report))
            .at("/*path", poem::get(run).post(run))
            .data(server.clone());
        let acceptor = listen(&server).unwrap_or_else(|error| panic!("{address}: {error}"));
        let listening = tokio::spawn(Server::new_with_acceptor(acceptor).run(routes));
        *lock(&server.listening) = Some(listening.abort_handle());
        tokio::spawn(keep_reporting(server.clone(), operators));
        server
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        *lock(&self.behavior) = behavior;
    }

    /// Sets the announced rate limit, in requests per second; `None` for no limit.
    pub fn set_limit(&self, per_second: Option<f64>) {
        *lock(&self.limit) = per_second;
    }

    /// Returns the arrival times of requests since `since`.
    pub fn arrivals_since(&self, since: Instant) -> Vec<Instant> {
        self.requests_since(since).iter().map(|arrival| arrival.at).collect()
    }

    /// Returns the requests that arrived since `since`.
    pub fn requests_since(&self, since: Instant) -> Vec<Arrival> {
        lock(&self.arrivals).iter().filter(|arrival| arrival.at >= since).cloned().collect()
    }

    /// Returns whether the next request is rejected; rejections are spread evenly over the requests.
    fn rejects_next(&self, percent: usize) -> bool {
        let before = lock(&self.arrivals).len();
        (before + 1) * percent / 100 > before * percent / 100
    }

    /// Simulates a crash: the port refuses connections, open connections break, and reports cease. The server restarts
    /// after [`RESTARTS_AFTER`].
    pub fn crash(self: Arc<Self>) {
        if self.has_crashed.swap(true, Ordering::SeqCst) {
            return;
        }
        if let Some(listening) = lock(&self.listening).take() {
            listening.abort();
        }
        let listener = lock(&self.listener).take();
        let outlives_ms = self.listener_outlives_ms.load(Ordering::SeqCst);
        tokio::spawn(async move {
            if outlives_ms > 0 {
                tokio::time::sleep(EVENT_INTERVAL + Duration::from_millis(outlives_ms)).await;
            }
            drop(listener);
            tokio::time::sleep(RESTARTS_AFTER).await;
            let id = if self.keeps_id { self.id.clone() } else { format!("{}-again", self.id) };
            let domain = self.domain.as_deref();
            let (arrivals, operators) = (self.fatal_arrivals.clone(), self.operators.clone());
            let (zone, service) = (&self.zone, &self.service);
            let successor =
                FakeServer::start_after(arrivals, zone, &id, service, domain, self.address, operators).await;
            successor.listener_outlives_ms.store(outlives_ms, Ordering::SeqCst);
        });
    }

    /// Breaks the caller's connection if the server has crashed.
    pub fn break_if_crashed(&self) {
        if self.has_crashed.load(Ordering::SeqCst) {
            std::panic::resume_unwind(Box::new("the server has crashed"));
        }
    }

    pub fn drain(&self) {
        *lock(&self.state) = InstanceState::Draining;
    }

    fn set_state(&self, epoch: u64, state: MembershipState) {
        if let Some(held) = lock(&self.membership).as_mut().filter(|held| held.epoch == epoch) {
            held.state = state;
        }
    }

    /// Returns its next report.
    pub fn current_report(&self) -> InstanceReport {
        InstanceReport {
            started_ms: None,
            id: self.id.clone(),
            service: self.service.clone(),
            address: self.address,
            zone: self.zone.clone(),
            slots: 8,
            state: *lock(&self.state),
            cold_ms: self.cold_ms.load(Ordering::SeqCst),
            sequence: self.sequence.fetch_add(1, Ordering::SeqCst) + 1,
            domain: self.domain.clone(),
            staged: lock(&self.staged).iter().cloned().collect(),
            membership: lock(&self.membership).clone(),
        }
    }
}

/// Listens at the server's address, and keeps a second handle on the socket.
fn listen(server: &FakeServer) -> std::io::Result<TcpAcceptor> {
    let listener = std::net::TcpListener::bind(server.address)?;
    listener.set_nonblocking(true)?;
    *lock(&server.listener) = Some(listener.try_clone()?);
    TcpAcceptor::from_std(listener)
}

async fn keep_reporting(server: Arc<FakeServer>, operators: Vec<SocketAddr>) {
    let http = reqwest::Client::new();
    let mut turn = 0;
    while !server.has_crashed.load(Ordering::SeqCst) {
        if !server.is_stalled.load(Ordering::SeqCst) {
            let url =
                format!("http://{}/v1/gateway/instances/{}", operators[turn % operators.len()], server.id);
            let sent =
                http.put(url).timeout(Duration::from_secs(1)).json(&server.current_report()).send().await;
            if sent.is_ok_and(|answer| answer.status().is_success()) {
                server.is_registered.store(true, Ordering::SeqCst);
            } else {
                turn += 1;
            }
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

#[handler]
fn report() -> StatusCode {
    StatusCode::OK
}

#[handler]
async fn take_order(server: Data<&Arc<FakeServer>>, body: Vec<u8>) -> StatusCode {
    let server = server.0.clone();
    server.break_if_crashed();
    if server.is_stalled.load(Ordering::SeqCst) {
        std::future::pending::<()>().await;
    }
    let Ok(order) = serde_json::from_slice::<GroupOrder>(&body) else { return StatusCode::BAD_REQUEST };
    let epoch = order.epoch;
    match order.command {
        GroupCommand::Join { .. } => {
            let joining = MembershipReport { group: order.group, epoch, state: MembershipState::Joining };
            *lock(&server.membership) = Some(joining);
            tokio::spawn(async move {
                tokio::time::sleep(LOAD_TIME).await;
                server.set_state(epoch, MembershipState::Ready);
            });
        }
        GroupCommand::Open => server.set_state(epoch, MembershipState::Open),
        GroupCommand::Close { truncate: true } => server.set_state(epoch, MembershipState::Ready),
        GroupCommand::Close { truncate: false } => {
            server.set_state(epoch, MembershipState::Closing);
            tokio::spawn(async move {
                while server.streaming.load(Ordering::SeqCst) > 0 {
                    tokio::time::sleep(EVENT_INTERVAL).await;
                }
                server.set_state(epoch, MembershipState::Ready);
            });
        }
        GroupCommand::Leave => *lock(&server.membership) = None,
        GroupCommand::Stage { model } => {
            lock(&server.staged).insert(model);
        }
    }
    StatusCode::ACCEPTED
}

fn header(request: &Request, name: &str) -> Option<String> {
    request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_string)
}

#[handler]
async fn run(server: Data<&Arc<FakeServer>>, request: &Request, body: Vec<u8>) -> Response {
    let server = server.0.clone();
    server.break_if_crashed();
    let attempt = header(request, "dockwood-attempt").unwrap_or_default();
    if header(request, "dockwood-instance").as_ref() != Some(&server.id) {
        let refusal = StatusCode::MISDIRECTED_REQUEST.with_header("dockwood-attempt", attempt);
        return refusal.with_header("dockwood-own-instance", &server.id).into_response();
    }
    let behavior = match *lock(&server.behavior) {
        Behavior::RequestsBackoff(backoff) if !server.rejects_next(backoff.percent) => Behavior::Normal,
        behavior => behavior,
    };
    let backoff = match behavior {
        Behavior::RequestsBackoff(backoff) => Some(Duration::from_secs(backoff.seconds)),
        _ => None,
    };
    let announced_limit = *lock(&server.limit);
    lock(&server.arrivals).push(Arrival {
        at: Instant::now(),
        attempt: attempt.clone(),
        backoff,
        announced_limit,
    });
    let mut answer = answer(server.clone(), request, body, behavior, attempt).await;
    if server.announces_leaving.load(Ordering::SeqCst) {
        answer.headers_mut().insert("dockwood-leaving", HeaderValue::from_static("1"));
    }
    if let Some(limit) = announced_limit.and_then(|limit| HeaderValue::from_str(&limit.to_string()).ok()) {
        answer.headers_mut().insert("dockwood-limit", limit);
    }
    answer
}

/// Crashes a server that has begun to respond.
async fn crash_soon(server: Arc<FakeServer>) {
    tokio::time::sleep(RUNS_BEFORE_CRASH).await;
    server.crash();
}

async fn answer(
    server: Arc<FakeServer>,
    request: &Request,
    body: Vec<u8>,
    behavior: Behavior,
    attempt: String,
) -> Response {
    if behavior == Behavior::Rejects {
        let refusal = StatusCode::SERVICE_UNAVAILABLE.with_header("dockwood-not-run", "1");
        return refusal.with_header("dockwood-attempt", attempt).into_response();
    }
    if let Behavior::RequestsBackoff(backoff) = behavior {
        let refusal = backoff.status.with_header("dockwood-attempt", attempt);
        let mut refusal = refusal.with_header("retry-after", backoff.seconds.to_string()).into_response();
        if backoff.says_not_run {
            refusal.headers_mut().insert("dockwood-not-run", HeaderValue::from_static("1"));
        }
        return refusal;
    }
    server.runs.fetch_add(1, Ordering::SeqCst);
    lock(&server.tenants).extend(header(request, "dockwood-tenant"));
    if behavior == Behavior::DropsResponse {
        // Unwinds the connection's task: the HTTP library would end a failing body as if it were complete.
        std::panic::resume_unwind(Box::new("the response is dropped"));
    }
    if behavior == Behavior::NeverResponds {
        std::future::pending::<()>().await;
    }
    if let Behavior::RespondsWith(status) = behavior {
        return status.with_header("dockwood-attempt", attempt).into_response();
    }
    if let Behavior::RespondsWithBytes(bytes) = behavior {
        return vec![b'x'; bytes].with_header("dockwood-attempt", attempt).into_response();
    }
    if body == CRASHES_SERVERS.as_bytes() {
        lock(&server.fatal_arrivals).push(Instant::now());
        tokio::time::sleep(RUNS_BEFORE_CRASH).await;
        server.clone().crash();
        tokio::time::sleep(EVENT_INTERVAL).await;
        server.break_if_crashed();
    }
    if header(request, PROMPT_PARTS).is_some_and(|parts| parts.split(',').any(|part| part == CRASHING_PART)) {
        lock(&server.fatal_arrivals).push(Instant::now());
        tokio::spawn(crash_soon(server.clone()));
    }
    if server.domain.is_none() {
        return server.id.clone().with_header("dockwood-attempt", attempt).into_response();
    }
    let after = header(request, "last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    Response::builder()
        .header("dockwood-attempt", attempt)
        .content_type("text/event-stream")
        .body(Body::from_bytes_stream(events(server, after)))
}
