//! An entry within the test's process, and servers in zones.

use dockwood_api::gateway::{GatewayConfiguration, InstanceState};
use dockwood_daemon::clock::monotonic_ms;
use dockwood_daemon::control::ControlHandle;
use dockwood_daemon::gateway::{Gateway, GatewayListeners};
use dockwood_daemon::metrics::Metrics;
use dockwood_daemon::native_dialect::NativeDialect;
use dockwood_daemon::published::Published;
use dockwood_daemon::settings::Settings;
use dockwood_daemon::shared::Shared;
use dockwood_state::{Command, CommandBody, GatewayCommand, GroupPhase, GroupPurpose, InstanceRow, State};
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
    "gateway": { "frontend": "127.0.0.1:7104", "operators": "127.0.0.1:7105", "zones": { "z": "r", "y": "r" } }
}"#;
/// Generous: what is judged is judged by answers, not by time.
pub const LIMIT: Duration = Duration::from_secs(20);
/// Half of this is how long a stream waits for a place, far longer than a refusal at once may take.
pub const TARGET_MS: u64 = 10_000;

/// Tasks that run between two looks at sockets: so many that a server task that is always ready sees a connection
/// before the task that has made it does.
const TASKS_BETWEEN_LOOKS: u32 = 4_001;

/// A runtime on which a server's task that polls its listener all the time sees a connection before the entry does.
pub fn runtime_that_accepts_first() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let built = builder.enable_all().event_interval(TASKS_BETWEEN_LOOKS).build();
    built.unwrap_or_else(|error| panic!("{error}"))
}

/// An entry whose tables are the test's.
pub struct Entry {
    pub shared: Arc<Shared>,
    state: Mutex<State>,
    frontend: SocketAddr,
    pub operators: SocketAddr,
}

fn configuration() -> GatewayConfiguration {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "h", "path_prefix": format!("/{name}/"), "kind": kind,
            "services": [{ "service": service, "weight": 1 }], "timeout_ms": 20_000,
            "target_latency_ms": TARGET_MS, "target_gap_ms": 300, "max_attempts": 1, "priority": 1,
            "anonymous": true, "resumable": false,
        })
    };
    let engine = json!({
        "slots": 1, "memory_tokens": 100_000, "step_ms": 4.0, "per_sequence_ms": 0.1, "read_per_second": 50_000.0,
        "chunk": 500, "stride": 5, "loads_per_second": 50.0, "loads_at_once": 50, "staged_models": 1,
        "models": [{ "name": "m", "size": 1, "share": 1.0, "pace": 1.0, "load_ms": 100, "warm_ms": 50 }],
    });
    let whole = json!({
        "version": 1,
        "routes": [route("stream", "Stream", "writer"), route("once", "AtMostOnce", "board")],
        "services": [
            { "name": "writer", "health_path": "/", "max_connections": 100, "engine": engine },
            { "name": "board", "health_path": "/", "max_connections": 100, "engine": null },
        ],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 100_000, "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000 },
        "tenants": [], "document": [],
    });
    serde_json::from_value(whole).unwrap_or_else(|error| panic!("{error}"))
}

impl Entry {
    pub fn start() -> Result<Arc<Entry>> {
        let file = tempfile::NamedTempFile::new()?;
        std::fs::write(file.path(), SETTINGS)?;
        let settings = Settings::read(file.path()).unwrap_or_else(|problems| panic!("{problems:?}"));
        let metrics = Metrics::new().unwrap_or_else(|error| panic!("{error}"));
        let shared = Arc::new(Shared::new(settings, 1, metrics, ControlHandle::new().0));
        let listener = || {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            Ok::<_, std::io::Error>((listener.local_addr()?, listener))
        };
        let ((frontend, callers), (operators, calls)) = (listener()?, listener()?);
        let listeners = GatewayListeners {
            frontend: Some(callers),
            operators: Some(calls),
            ..GatewayListeners::default()
        };
        Gateway::start(shared.clone(), Arc::new(NativeDialect), listeners)?;
        let entry = Arc::new(Entry { shared, state: Mutex::default(), frontend, operators });
        entry.apply(GatewayCommand::Configure(Arc::new(configuration())));
        Ok(entry)
    }

    /// Keeps the lease from now on, as the control thread does.
    pub fn keep_lease(&self) {
        const EVERY: Duration = Duration::from_millis(50);
        let shared = self.shared.clone();
        tokio::spawn(async move {
            loop {
                shared.pause_detector.observe(monotonic_ms());
                shared.extend_lease(monotonic_ms());
                tokio::time::sleep(EVERY).await;
            }
        });
    }

    /// Applies a change and publishes the tables, as the control thread does.
    fn apply(&self, command: GatewayCommand) {
        let mut state = self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        state.apply(&Command { at_ms: 1, body: CommandBody::Gateway(command) });
        self.shared.publish(Published { tables: Arc::new(state.tables.clone()), ..Published::default() });
        self.shared.extend_lease(monotonic_ms());
    }

    pub fn set_evacuation(&self, zone: &str, evacuated: bool) {
        let generation = self.shared.tables().gateway.evacuation_generation(zone);
        self.apply(GatewayCommand::SetEvacuation { zone: zone.to_string(), evacuated, generation });
    }

    fn register(&self, id: &str, service: &str, zone: &str, address: SocketAddr) {
        self.register_start(id, None, service, zone, address);
    }

    /// A server registers itself, with the time of its start.
    pub fn register_start(
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

    /// A server in a zone: one of the plain service, or an open group of one model server.
    pub fn add(&self, service: &str, zone: &str, address: SocketAddr) {
        let id = format!("{service}-{zone}");
        self.register(&id, service, zone, address);
        if service == "writer" {
            self.open_group(&id);
        }
    }

    /// A model server is the only member of a group that opens.
    pub fn open_group(&self, id: &str) {
        self.apply(GatewayCommand::Form {
            service: "writer".to_string(),
            model: "m".to_string(),
            purpose: GroupPurpose::Serve,
            members: vec![id.to_string()],
            reason: String::new(),
        });
        let epoch = self.shared.tables().gateway.last_epoch;
        for phase in [GroupPhase::Opening, GroupPhase::Open] {
            self.apply(GatewayCommand::SetPhase { epoch, phase, reason: String::new() });
        }
    }

    /// The newest group ends.
    pub fn end_group(&self) {
        let epoch = self.shared.tables().gateway.last_epoch;
        self.apply(GatewayCommand::End { epoch, reason: String::new() });
    }

    pub fn kept(&self, result: &str) -> u64 {
        self.shared.metrics.kept_from_evacuated_zones.with_label_values(&[result]).get()
    }

    /// The whole answer to a request, once the entry has its tables.
    pub async fn ask(&self, path: &str) -> Result<String> {
        let headers = "dockwood-model: m\r\ndockwood-attempt: a-1\r\n";
        let asked = call(self.frontend, "POST", path, headers);
        tokio::time::timeout(LIMIT, asked).await.unwrap_or_else(|_| panic!("{path} is not answered"))
    }
}

/// Makes a call and reads its whole answer.
pub async fn call(address: SocketAddr, method: &str, path: &str, headers: &str) -> Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: 0\r\n{headers}\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// Answers the request on one connection with two events that name the zone, the second one once the answer may end.
pub async fn serve(
    mut stream: TcpStream,
    zone: String,
    begun: Arc<AtomicU32>,
    mut may_end: watch::Receiver<bool>,
) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return,
        }
    }
    begun.fetch_add(1, Ordering::SeqCst);
    let event = |id: u8| format!("id: {id}\ndata: {zone}\n\n");
    let (first, second) = (event(1), event(2));
    let length = first.len() + second.len();
    let head = format!(
        "HTTP/1.1 200 OK\r\ndockwood-attempt: a-1\r\ncontent-type: text/event-stream\r\ncontent-length: {length}\r\n\r\n"
    );
    let _ = stream.write_all(format!("{head}{first}").as_bytes()).await;
    let _ = may_end.wait_for(|may_end| *may_end).await;
    let _ = stream.write_all(second.as_bytes()).await;
    // The connection stays open until the entry ends it.
    let _ = stream.read_u8().await;
}

/// A server in a zone, which counts the requests that reach it.
pub struct Server {
    pub address: SocketAddr,
    begun: Arc<AtomicU32>,
    /// Whether answers may end.
    pub may_end: watch::Sender<bool>,
}

impl Server {
    pub async fn start(zone: &str) -> Result<Server> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (begun, may_end) = (Arc::new(AtomicU32::new(0)), watch::channel(true).0);
        let server = Server { address, begun: begun.clone(), may_end };
        let (zone, ends) = (zone.to_string(), server.may_end.subscribe());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, zone.clone(), begun.clone(), ends.clone()));
            }
        });
        Ok(server)
    }

    pub fn begun(&self) -> u32 {
        self.begun.load(Ordering::SeqCst)
    }
}

pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < LIMIT, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Asks until a request is served from a zone: the entry follows what is published a moment later.
pub async fn served_from(entry: &Entry, path: &str, zone: &str) -> Result<()> {
    let begun = Instant::now();
    loop {
        let answer = entry.ask(path).await?;
        if answer.contains(&format!("data: {zone}\n\n")) {
            return Ok(());
        }
        assert!(begun.elapsed() < LIMIT, "{path} is never served from {zone}: {answer}");
        tokio::time::sleep(Duration::from_millis(20)).await;
        entry.shared.extend_lease(monotonic_ms());
    }
}
