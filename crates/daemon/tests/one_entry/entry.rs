//! Test fixtures: an entry within the test process, and servers in zones.

use dockwood_api::gateway::{GatewayConfiguration, InstanceState};
use dockwood_api::peer::DaemonRecord;
use dockwood_daemon::clock::monotonic_ms;
use dockwood_daemon::control::ControlHandle;
use dockwood_daemon::dialect::Dialect;
use dockwood_daemon::gateway::{Gateway, GatewayListeners};
use dockwood_daemon::metrics::Metrics;
use dockwood_daemon::native_dialect::NativeDialect;
use dockwood_daemon::peer::serve_peers;
use dockwood_daemon::probe::Reporter;
use dockwood_daemon::published::Published;
use dockwood_daemon::server_dialer::{ServerDialer, TcpDialer};
use dockwood_daemon::settings::Settings;
use dockwood_daemon::shared::Shared;
use dockwood_daemon::traffic::Traffic;
use dockwood_state::{
    Command, CommandBody, DaemonUpdate, GatewayCommand, GroupPhase, GroupPurpose, InstanceRow, State,
};
use serde_json::json;
use std::io::Result;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

const SETTINGS: &str = r#"{
    "name": "entry", "region": "r", "zone": "z",
    "listen": { "peer": "127.0.0.1:7101", "http": "127.0.0.1:7102" },
    "control": { "seeds": ["127.0.0.1:7103"], "seedPeerPort": 7101, "founding": false, "member": false },
    "gateway": { "frontend": "127.0.0.1:7104", "operators": "127.0.0.1:7105", "zones": { "z": "r", "y": "r" }RETRY_BUDGET }
}"#;
/// Generous time limit: the tests check responses, not time.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Target latency of the routes. A stream waits for a free slot for half of it, far longer than an immediate refusal
/// may take.
pub const TARGET_MS: u64 = 10_000;
/// Target latency of the resumable routes: a first event counts as stalled after about a second, and a stream waits
/// 200 ms for a free slot.
const RESUMABLE_TARGET_MS: u64 = 400;

/// Number of task polls between two polls for I/O events: so many that a server task that is always ready accepts a
/// connection before the task that connects is woken.
const TASKS_BETWEEN_IO_POLLS: u32 = 4_001;

/// Creates a runtime on which a server task that polls its listener continuously accepts a connection before the
/// entry's connecting task is woken.
pub fn runtime_with_early_accept() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let built = builder.enable_all().event_interval(TASKS_BETWEEN_IO_POLLS).build();
    built.unwrap_or_else(|error| panic!("{error}"))
}

/// An entry whose tables are published by the test.
pub struct Entry {
    pub shared: Arc<Shared>,
    pub gateway: Arc<Gateway>,
    state: Mutex<State>,
    pub frontend: SocketAddr,
    pub operators: SocketAddr,
}

/// The retry budget of an entry that is the only one of its fleet.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window in addition.
    pub extra: u32,
    /// Length of the window, in seconds.
    pub window_seconds: u32,
}

/// Options of an entry; the default is what most tests use.
pub struct EntryOptions {
    /// How it connects to servers.
    pub dialer: Arc<dyn ServerDialer>,
    /// Its protocol.
    pub dialect: Arc<dyn Dialect>,
    /// Retry budget; `None` for the default of the settings.
    pub retry_budget: Option<RetryBudget>,
    /// Number of requests that a group processes concurrently.
    pub slots: u32,
}

impl Default for EntryOptions {
    fn default() -> Self {
        EntryOptions {
            dialer: Arc::new(TcpDialer),
            dialect: Arc::new(NativeDialect),
            retry_budget: None,
            slots: 1,
        }
    }
}

fn settings_text(retry_budget: Option<RetryBudget>) -> String {
    let section = |budget: RetryBudget| {
        let RetryBudget { ratio, extra, window_seconds } = budget;
        format!(
            r#", "retryBudget": {{ "ratio": {ratio}, "extra": {extra}, "windowSeconds": {window_seconds} }}"#
        )
    };
    SETTINGS.replace("RETRY_BUDGET", &retry_budget.map(section).unwrap_or_default())
}

/// Creates the state of an entry.
pub fn new_shared(retry_budget: Option<RetryBudget>, control: ControlHandle) -> Result<Shared> {
    let file = tempfile::NamedTempFile::new()?;
    std::fs::write(file.path(), settings_text(retry_budget))?;
    let settings = Settings::read(file.path()).unwrap_or_else(|problems| panic!("{problems:?}"));
    let metrics = Metrics::new().unwrap_or_else(|error| panic!("{error}"));
    Ok(Shared::new(settings, 1, metrics, control))
}

fn configuration(slots: u32) -> GatewayConfiguration {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "h", "path_prefix": format!("/{name}/"), "kind": kind,
            "services": [{ "service": service, "weight": 1 }], "timeout_ms": 20_000,
            "target_latency_ms": TARGET_MS, "target_gap_ms": 300, "max_attempts": 1, "priority": 1,
            "anonymous": true, "resumable": false,
        })
    };
    let resumable_route = |name: &str, max_attempts: u32| {
        let mut route = route(name, "Stream", "writer");
        route["resumable"] = json!(true);
        route["max_attempts"] = json!(max_attempts);
        route["target_latency_ms"] = json!(RESUMABLE_TARGET_MS);
        route
    };
    let model = |name: &str| json!({ "name": name, "size": 1, "share": 1.0, "pace": 1.0, "load_ms": 100, "warm_ms": 50 });
    let engine = json!({
        "slots": slots, "memory_tokens": 100_000, "step_ms": 4.0, "per_sequence_ms": 0.1, "read_per_second": 50_000.0,
        "chunk": 500, "stride": 5, "loads_per_second": 50.0, "loads_at_once": 50, "staged_models": 1,
        "models": [model("m"), model("other")],
    });
    let value = json!({
        "version": 1,
        "routes": [
            route("stream", "Stream", "writer"),
            resumable_route("resumable", 2),
            resumable_route("resumable-thrice", 3),
            route("once", "AtMostOnce", "board"),
            route("again", "Repeatable", "board"),
        ],
        "services": [
            { "name": "writer", "health_path": "/", "max_connections": 100, "engine": engine },
            { "name": "board", "health_path": "/", "max_connections": 100, "engine": null },
        ],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 100_000, "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000 },
        "tenants": [], "document": [],
    });
    serde_json::from_value(value).unwrap_or_else(|error| panic!("{error}"))
}

impl Entry {
    pub fn start() -> Result<Arc<Entry>> {
        Entry::start_with(EntryOptions::default())
    }

    /// Starts an entry that connects to servers with this dialer.
    pub fn start_with_dialer(dialer: Arc<dyn ServerDialer>) -> Result<Arc<Entry>> {
        Entry::start_with(EntryOptions { dialer, ..EntryOptions::default() })
    }

    /// Starts an entry with these options.
    pub fn start_with(options: EntryOptions) -> Result<Arc<Entry>> {
        let shared = new_shared(options.retry_budget, ControlHandle::new().0)?;
        let shared = Arc::new(shared.with_server_dialer(options.dialer));
        let listener = || {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            Ok::<_, std::io::Error>((listener.local_addr()?, listener))
        };
        let ((frontend, frontend_listener), (operators, operator_listener)) = (listener()?, listener()?);
        let listeners = GatewayListeners {
            frontend: Some(frontend_listener),
            operators: Some(operator_listener),
            ..GatewayListeners::default()
        };
        let gateway = Gateway::start(shared.clone(), options.dialect, listeners)?;
        let entry = Arc::new(Entry { shared, gateway, state: Mutex::default(), frontend, operators });
        entry.apply(GatewayCommand::Configure(Arc::new(configuration(options.slots))));
        Ok(entry)
    }

    /// Renews the lease from now on, like the control thread.
    pub fn renew_lease_continuously(&self) {
        const RENEWAL_INTERVAL: Duration = Duration::from_millis(50);
        let shared = self.shared.clone();
        tokio::spawn(async move {
            loop {
                shared.pause_detector.observe(monotonic_ms());
                shared.extend_lease(monotonic_ms());
                tokio::time::sleep(RENEWAL_INTERVAL).await;
            }
        });
    }

    /// Serves the calls of other daemons, and returns the record by which they know this entry.
    pub async fn serve_peers(&self) -> Result<DaemonRecord> {
        // An address of its own, as if it ran on another machine.
        let listener = tokio::net::TcpListener::bind("127.0.0.2:0").await?;
        let peer = listener.local_addr()?;
        let http = reqwest::Client::new();
        let traffic = Traffic::start(self.shared.clone(), Arc::new(Reporter::default()), http);
        tokio::spawn(serve_peers(self.shared.clone(), traffic, listener));
        Ok(DaemonRecord { name: format!("entry-{}", peer.port()), peer, ..self.shared.record() })
    }

    /// Adds another daemon to the tables.
    pub fn add_daemon(&self, record: DaemonRecord) {
        self.apply_body(CommandBody::UpdateDaemons(vec![DaemonUpdate::Joined { record, incarnation: 1 }]));
    }

    /// Applies a command and publishes the tables, like the control thread.
    fn apply(&self, command: GatewayCommand) {
        self.apply_body(CommandBody::Gateway(command));
    }

    fn apply_body(&self, body: CommandBody) {
        let mut state = self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        state.apply(&Command { at_ms: 1, body });
        self.shared.publish(Published { tables: Arc::new(state.tables.clone()), ..Published::default() });
        self.shared.extend_lease(monotonic_ms());
    }

    pub fn set_evacuation(&self, zone: &str, evacuated: bool) {
        let generation = self.shared.tables().gateway.evacuation_generation(zone);
        self.apply(GatewayCommand::SetEvacuation { zone: zone.to_string(), evacuated, generation });
    }

    fn register(&self, id: &str, service: &str, zone: &str, address: SocketAddr) {
        self.register_with_start(id, None, service, zone, address);
    }

    /// Registers a server with its start time.
    pub fn register_with_start(
        &self,
        id: &str,
        started_ms: Option<u64>,
        service: &str,
        zone: &str,
        address: SocketAddr,
    ) {
        self.apply(GatewayCommand::Register(InstanceRow {
            started_ms,
            id: id.to_string(),
            service: service.to_string(),
            address,
            zone: zone.to_string(),
            slots: 1,
            state: InstanceState::Ready,
            is_cold: false,
            domain: (service == "writer").then(|| format!("domain-{zone}")),
        }));
    }

    /// Registers a server in a zone. A model server becomes the only member of an open group.
    pub fn add(&self, service: &str, zone: &str, address: SocketAddr) {
        let id = format!("{service}-{zone}");
        self.register(&id, service, zone, address);
        if service == "writer" {
            self.open_group(&id);
        }
    }

    /// Opens a group whose only member is the given model server.
    pub fn open_group(&self, id: &str) {
        self.open_group_of_model(id, "m");
    }

    /// The same for a model.
    pub fn open_group_of_model(&self, id: &str, model: &str) {
        self.apply(GatewayCommand::Form {
            service: "writer".to_string(),
            model: model.to_string(),
            purpose: GroupPurpose::Serve,
            members: vec![id.to_string()],
            reason: String::new(),
        });
        let epoch = self.shared.tables().gateway.last_epoch;
        for phase in [GroupPhase::Opening, GroupPhase::Open] {
            self.apply(GatewayCommand::SetPhase { epoch, phase, reason: String::new() });
        }
    }

    /// Ends the newest group.
    pub fn end_group(&self) {
        let epoch = self.shared.tables().gateway.last_epoch;
        self.apply(GatewayCommand::End { epoch, reason: String::new() });
    }

    /// Ends the group whose head is the given model server.
    pub fn end_group_of(&self, id: &str) {
        let tables = self.shared.tables();
        let group = tables.gateway.groups.values().find(|group| group.is_headed_by(id));
        let Some(epoch) = group.map(|group| group.epoch) else { return };
        self.apply(GatewayCommand::End { epoch, reason: String::new() });
    }

    pub fn kept_from_evacuated_zones(&self, result: &str) -> u64 {
        self.shared.metrics.kept_from_evacuated_zones.with_label_values(&[result]).get()
    }

    /// Sends a request to the entry and returns the complete response.
    pub async fn request(&self, path: &str) -> Result<String> {
        self.request_with_attempt(path, "a-1").await
    }

    /// The same with this attempt id.
    pub async fn request_with_attempt(&self, path: &str, attempt: &str) -> Result<String> {
        let headers = format!("dockwood-model: m\r\ndockwood-attempt: {attempt}\r\n");
        let response = send_request(self.frontend, "POST", path, &headers);
        tokio::time::timeout(TEST_TIMEOUT, response).await.unwrap_or_else(|_| panic!("{path} timed out"))
    }
}

/// Sends a request and reads the complete response.
pub async fn send_request(address: SocketAddr, method: &str, path: &str, headers: &str) -> Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: 0\r\n{headers}\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// Answers the request on one connection with two events that contain the zone, the second one when `may_end` is set.
pub async fn serve(
    mut stream: TcpStream,
    zone: String,
    received: Arc<AtomicU32>,
    mut may_end: watch::Receiver<bool>,
) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return,
        }
    }
    received.fetch_add(1, Ordering::SeqCst);
    let event = |id: u8| format!("id: {id}\ndata: {zone}\n\n");
    let (first, second) = (event(1), event(2));
    let length = first.len() + second.len();
    let head = format!(
        "HTTP/1.1 200 OK\r\ndockwood-attempt: a-1\r\ncontent-type: text/event-stream\r\ncontent-length: {length}\r\n\r\n"
    );
    let _ = stream.write_all(format!("{head}{first}").as_bytes()).await;
    let _ = may_end.wait_for(|may_end| *may_end).await;
    let _ = stream.write_all(second.as_bytes()).await;
    // The connection stays open until the entry closes it.
    let _ = stream.read_u8().await;
}

/// A server in a zone that counts the requests it receives.
pub struct Server {
    pub address: SocketAddr,
    received: Arc<AtomicU32>,
    /// Whether responses may be completed.
    pub may_end: watch::Sender<bool>,
}

impl Server {
    pub async fn start(zone: &str) -> Result<Server> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (received, may_end) = (Arc::new(AtomicU32::new(0)), watch::channel(true).0);
        let server = Server { address, received: received.clone(), may_end };
        let (zone, ends) = (zone.to_string(), server.may_end.subscribe());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, zone.clone(), received.clone(), ends.clone()));
            }
        });
        Ok(server)
    }

    pub fn received(&self) -> u32 {
        self.received.load(Ordering::SeqCst)
    }
}

pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TEST_TIMEOUT, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Sends requests until one is served from a zone, because the entry applies published tables with a delay.
pub async fn wait_until_served_from(entry: &Entry, path: &str, zone: &str) -> Result<()> {
    let started = Instant::now();
    loop {
        let answer = entry.request(path).await?;
        if answer.contains(&format!("data: {zone}\n\n")) {
            return Ok(());
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "{path} is never served from {zone}: {answer}");
        tokio::time::sleep(Duration::from_millis(20)).await;
        entry.shared.extend_lease(monotonic_ms());
    }
}
