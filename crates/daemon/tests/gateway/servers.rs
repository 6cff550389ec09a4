//! Small servers that register themselves and speak dockwood's own protocol: model servers in groups, and plain ones.

pub use crate::manner::{Arrival, Manner, Rest};

use crate::served_stream::events;
use dockwood_api::gateway::{
    GroupCommand, GroupOrder, InstanceReport, InstanceState, MembershipReport, MembershipState,
};
use poem::http::{HeaderValue, StatusCode};
use poem::listener::TcpListener;
use poem::web::Data;
use poem::{Body, EndpointExt, IntoResponse, Request, Response, Route, Server, handler};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// Events of a whole stream.
pub const EVENTS: u64 = 30;
/// Time between two events.
pub const EVENT_PAUSE: Duration = Duration::from_millis(20);
/// Time between two reports.
const REPORT_EVERY: Duration = Duration::from_millis(200);
/// A request with this body ends the process of each server that begins to run it.
pub const ENDS_SERVERS: &str = "ends whatever server runs it";
/// How long a server runs such a request before it ends.
const RUNS_BEFORE_END: Duration = Duration::from_millis(50);
/// How long after its end a server is back, as a new instance at its old address.
const RESTARTS_AFTER: Duration = Duration::from_millis(500);
/// What ids of servers begin with that start again under them.
pub const KEEPS_ID: &str = "lasting";
/// How long a member loads.
const LOAD: Duration = Duration::from_millis(100);

/// One server.
pub struct FakeServer {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    domain: Option<String>,
    manner: Mutex<Manner>,
    membership: Mutex<Option<MembershipReport>>,
    sequence: AtomicU64,
    state: Mutex<InstanceState>,
    pub stands_still: AtomicBool,
    /// Some report of it was acknowledged.
    pub is_registered: AtomicBool,
    pub runs: AtomicU32,
    pub broken_off: AtomicU32,
    pub streaming: AtomicU32,
    pub tenants: Mutex<Vec<String>>,
    /// For how long it says that it is still cold.
    pub cold_ms: AtomicU64,
    /// Requests that arrived, those among them that it refused; without those that were meant for another server.
    arrivals: Mutex<Vec<Arrival>>,
    /// It says in all its answers that it is about to leave, whatever it reports.
    pub says_leaving: AtomicBool,
    /// Requests a second that it says it takes, in all its answers.
    limit: Mutex<Option<f64>>,
    /// When requests arrived that end servers, here and at the instances that followed this one.
    pub fatal_arrivals: Arc<Mutex<Vec<Instant>>>,
    /// Models whose weights its host keeps.
    staged: Mutex<BTreeSet<String>>,
    /// It is back under its own id, not as a new instance.
    keeps_id: bool,
    has_ended: AtomicBool,
    listening: Mutex<Option<AbortHandle>>,
    operators: Vec<SocketAddr>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl FakeServer {
    /// Starts a server in the daemons' zone, and its reports.
    pub async fn start(
        id: &str,
        service: &str,
        domain: Option<&str>,
        address: SocketAddr,
        operators: Vec<SocketAddr>,
    ) -> Arc<FakeServer> {
        FakeServer::start_in("z", id, service, domain, address, operators).await
    }

    /// The same in a zone.
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

    /// The same, following an instance that has ended.
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
            manner: Mutex::new(Manner::Sound),
            membership: Mutex::new(None),
            sequence: AtomicU64::new(0),
            state: Mutex::new(InstanceState::Ready),
            stands_still: AtomicBool::new(false),
            is_registered: AtomicBool::new(false),
            runs: AtomicU32::new(0),
            broken_off: AtomicU32::new(0),
            streaming: AtomicU32::new(0),
            tenants: Mutex::default(),
            cold_ms: AtomicU64::new(0),
            arrivals: Mutex::default(),
            says_leaving: AtomicBool::new(false),
            limit: Mutex::default(),
            fatal_arrivals,
            staged: Mutex::default(),
            keeps_id: id.starts_with(KEEPS_ID),
            has_ended: AtomicBool::new(false),
            listening: Mutex::default(),
            operators: operators.clone(),
        });
        let routes = Route::new()
            .at("/group/orders", poem::post(take_order))
            .at("/group/report", poem::get(report))
            .at("/*path", poem::get(run).post(run))
            .data(server.clone());
        let listening = tokio::spawn(Server::new(TcpListener::bind(address)).run(routes));
        *lock(&server.listening) = Some(listening.abort_handle());
        tokio::spawn(keep_reporting(server.clone(), operators));
        server
    }

    pub fn set_manner(&self, manner: Manner) {
        *lock(&self.manner) = manner;
    }

    /// Sets how many requests a second it says it takes; `None` for as many as come.
    pub fn set_limit(&self, per_second: Option<f64>) {
        *lock(&self.limit) = per_second;
    }

    /// When requests arrived since `since`.
    pub fn arrivals_since(&self, since: Instant) -> Vec<Instant> {
        self.requests_since(since).iter().map(|arrival| arrival.at).collect()
    }

    /// Requests that arrived since `since`.
    pub fn requests_since(&self, since: Instant) -> Vec<Arrival> {
        lock(&self.arrivals).iter().filter(|arrival| arrival.at >= since).cloned().collect()
    }

    /// Whether the next request is among the part that is turned away: these are spread evenly.
    fn turns_away_next(&self, part: usize) -> bool {
        let before = lock(&self.arrivals).len();
        (before + 1) * part / 100 > before * part / 100
    }

    /// Ends as a process does: its port refuses, its connections break, it reports nothing. It is back some time later.
    fn end(self: Arc<Self>) {
        if self.has_ended.swap(true, Ordering::SeqCst) {
            return;
        }
        if let Some(listening) = lock(&self.listening).take() {
            listening.abort();
        }
        tokio::spawn(async move {
            tokio::time::sleep(RESTARTS_AFTER).await;
            let id = if self.keeps_id { self.id.clone() } else { format!("{}-again", self.id) };
            let domain = self.domain.as_deref();
            let (arrivals, operators) = (self.fatal_arrivals.clone(), self.operators.clone());
            let (zone, service) = (&self.zone, &self.service);
            FakeServer::start_after(arrivals, zone, &id, service, domain, self.address, operators).await;
        });
    }

    /// Breaks the connection that calls this, if the process has ended.
    pub fn break_if_ended(&self) {
        if self.has_ended.load(Ordering::SeqCst) {
            std::panic::resume_unwind(Box::new("the process has ended"));
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

    /// Its next report.
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

async fn keep_reporting(server: Arc<FakeServer>, operators: Vec<SocketAddr>) {
    let http = reqwest::Client::new();
    let mut turn = 0;
    while !server.has_ended.load(Ordering::SeqCst) {
        if !server.stands_still.load(Ordering::SeqCst) {
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
        tokio::time::sleep(REPORT_EVERY).await;
    }
}

#[handler]
fn report() -> StatusCode {
    StatusCode::OK
}

#[handler]
async fn take_order(server: Data<&Arc<FakeServer>>, body: Vec<u8>) -> StatusCode {
    let server = server.0.clone();
    server.break_if_ended();
    if server.stands_still.load(Ordering::SeqCst) {
        std::future::pending::<()>().await;
    }
    let Ok(order) = serde_json::from_slice::<GroupOrder>(&body) else { return StatusCode::BAD_REQUEST };
    let epoch = order.epoch;
    match order.command {
        GroupCommand::Join { .. } => {
            let joining = MembershipReport { group: order.group, epoch, state: MembershipState::Joining };
            *lock(&server.membership) = Some(joining);
            tokio::spawn(async move {
                tokio::time::sleep(LOAD).await;
                server.set_state(epoch, MembershipState::Ready);
            });
        }
        GroupCommand::Open => server.set_state(epoch, MembershipState::Open),
        GroupCommand::Close { truncate: true } => server.set_state(epoch, MembershipState::Ready),
        GroupCommand::Close { truncate: false } => {
            server.set_state(epoch, MembershipState::Closing);
            tokio::spawn(async move {
                while server.streaming.load(Ordering::SeqCst) > 0 {
                    tokio::time::sleep(EVENT_PAUSE).await;
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
    server.break_if_ended();
    let attempt = header(request, "dockwood-attempt").unwrap_or_default();
    if header(request, "dockwood-instance").as_ref() != Some(&server.id) {
        let refusal = StatusCode::MISDIRECTED_REQUEST.with_header("dockwood-attempt", attempt);
        return refusal.with_header("dockwood-own-instance", &server.id).into_response();
    }
    let manner = match *lock(&server.manner) {
        Manner::AsksForRest(rest) if !server.turns_away_next(rest.part) => Manner::Sound,
        manner => manner,
    };
    let asked = match manner {
        Manner::AsksForRest(rest) => Some(Duration::from_secs(rest.seconds)),
        _ => None,
    };
    let named = *lock(&server.limit);
    lock(&server.arrivals).push(Arrival { at: Instant::now(), attempt: attempt.clone(), asked, named });
    let mut answer = answer(server.clone(), request, body, manner, attempt).await;
    if server.says_leaving.load(Ordering::SeqCst) {
        answer.headers_mut().insert("dockwood-leaving", HeaderValue::from_static("1"));
    }
    if let Some(limit) = named.and_then(|limit| HeaderValue::from_str(&limit.to_string()).ok()) {
        answer.headers_mut().insert("dockwood-limit", limit);
    }
    answer
}

async fn answer(
    server: Arc<FakeServer>,
    request: &Request,
    body: Vec<u8>,
    manner: Manner,
    attempt: String,
) -> Response {
    if manner == Manner::Sheds {
        let refusal = StatusCode::SERVICE_UNAVAILABLE.with_header("dockwood-not-run", "1");
        return refusal.with_header("dockwood-attempt", attempt).into_response();
    }
    if let Manner::AsksForRest(rest) = manner {
        let refusal = rest.status.with_header("dockwood-attempt", attempt);
        let mut refusal = refusal.with_header("retry-after", rest.seconds.to_string()).into_response();
        if rest.says_not_run {
            refusal.headers_mut().insert("dockwood-not-run", HeaderValue::from_static("1"));
        }
        return refusal;
    }
    server.runs.fetch_add(1, Ordering::SeqCst);
    lock(&server.tenants).extend(header(request, "dockwood-tenant"));
    if manner == Manner::LosesAnswers {
        // Ends the connection's task without a word: the HTTP library would end a failing body as if it were whole.
        std::panic::resume_unwind(Box::new("the answer is lost"));
    }
    if manner == Manner::Holds {
        std::future::pending::<()>().await;
    }
    if let Manner::Fails(status) = manner {
        return status.with_header("dockwood-attempt", attempt).into_response();
    }
    if body == ENDS_SERVERS.as_bytes() {
        lock(&server.fatal_arrivals).push(Instant::now());
        tokio::time::sleep(RUNS_BEFORE_END).await;
        server.clone().end();
        tokio::time::sleep(EVENT_PAUSE).await;
        server.break_if_ended();
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
