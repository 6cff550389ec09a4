//! What an entry does with requests when a zone is evacuated: the gateway within this process, with tables that the test
//! publishes itself, so that each step happens at a known moment.

use dockwood_api::gateway::{GatewayConfiguration, InstanceState};
use dockwood_daemon::clock::monotonic_ms;
use dockwood_daemon::control::ControlHandle;
use dockwood_daemon::gateway::{Gateway, GatewayListeners};
use dockwood_daemon::metrics::Metrics;
use dockwood_daemon::own_dialect::OwnDialect;
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
const LIMIT: Duration = Duration::from_secs(20);
/// Half of this is how long a stream waits for a place, far longer than a refusal at once may take.
const TARGET_MS: u64 = 10_000;
/// Tasks that run between two looks at sockets: so many that a server task that is always ready sees a connection
/// before the task that has made it does.
const TASKS_BETWEEN_LOOKS: u32 = 4_001;

/// An entry whose tables are the test's.
struct Entry {
    shared: Arc<Shared>,
    state: Mutex<State>,
    frontend: SocketAddr,
    operators: SocketAddr,
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
    fn start() -> Result<Arc<Entry>> {
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
        Gateway::start(shared.clone(), Arc::new(OwnDialect), listeners)?;
        let entry = Arc::new(Entry { shared, state: Mutex::default(), frontend, operators });
        entry.apply(GatewayCommand::Configure(Arc::new(configuration())));
        Ok(entry)
    }

    /// Applies a change and publishes the tables, as the control thread does.
    fn apply(&self, command: GatewayCommand) {
        let mut state = self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        state.apply(&Command { at_ms: 1, body: CommandBody::Gateway(command) });
        self.shared.publish(Published { tables: Arc::new(state.tables.clone()), ..Published::default() });
        self.shared.extend_lease(monotonic_ms());
    }

    fn set_evacuation(&self, zone: &str, evacuated: bool) {
        let generation = self.shared.tables().gateway.evacuation_generation(zone);
        self.apply(GatewayCommand::SetEvacuation { zone: zone.to_string(), evacuated, generation });
    }

    fn register(&self, id: &str, service: &str, zone: &str, address: SocketAddr) {
        self.apply(GatewayCommand::Register(InstanceRow {
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
    fn add(&self, service: &str, zone: &str, address: SocketAddr) {
        let id = format!("{service}-{zone}");
        self.register(&id, service, zone, address);
        if service != "writer" {
            return;
        }
        self.apply(GatewayCommand::Form {
            service: service.to_string(),
            model: "m".to_string(),
            purpose: GroupPurpose::Serve,
            members: vec![id],
            reason: String::new(),
        });
        let epoch = self.shared.tables().gateway.last_epoch;
        for phase in [GroupPhase::Opening, GroupPhase::Open] {
            self.apply(GatewayCommand::SetPhase { epoch, phase, reason: String::new() });
        }
    }

    fn kept(&self, result: &str) -> u64 {
        self.shared.metrics.kept_from_evacuated_zones.with_label_values(&[result]).get()
    }

    /// The whole answer to a request, once the entry has its tables.
    async fn ask(&self, path: &str) -> Result<String> {
        let asked = call(self.frontend, "POST", path, "dockwood-model: m\r\n");
        tokio::time::timeout(LIMIT, asked).await.unwrap_or_else(|_| panic!("{path} is not answered"))
    }
}

/// Makes a call and reads its whole answer.
async fn call(address: SocketAddr, method: &str, path: &str, headers: &str) -> Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: 0\r\n{headers}\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// A server that answers each request with its zone, as one event of a stream. It counts the requests that reach it.
#[derive(Default)]
struct Requests {
    begun: AtomicU32,
}

/// Answers the requests on one connection; the second half of each answer waits until it may end.
async fn serve(
    mut stream: TcpStream,
    zone: String,
    requests: Arc<Requests>,
    mut may_end: watch::Receiver<bool>,
) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return,
        }
    }
    requests.begun.fetch_add(1, Ordering::SeqCst);
    let event = |id: u8| format!("id: {id}\ndata: {zone}\n\n");
    let (first, second) = (event(1), event(2));
    let length = first.len() + second.len();
    let head =
        format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: {length}\r\n\r\n");
    let _ = stream.write_all(format!("{head}{first}").as_bytes()).await;
    let _ = may_end.wait_for(|may_end| *may_end).await;
    let _ = stream.write_all(second.as_bytes()).await;
    // The connection stays open until the entry ends it.
    let _ = stream.read_u8().await;
}

/// A server in a zone.
struct Server {
    address: SocketAddr,
    requests: Arc<Requests>,
    may_end: watch::Sender<bool>,
}

impl Server {
    async fn start(zone: &str) -> Result<Server> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (requests, may_end) = (Arc::new(Requests::default()), watch::channel(true).0);
        let server = Server { address, requests: requests.clone(), may_end };
        let (zone, ends) = (zone.to_string(), server.may_end.subscribe());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, zone.clone(), requests.clone(), ends.clone()));
            }
        });
        Ok(server)
    }

    fn begun(&self) -> u32 {
        self.requests.begun.load(Ordering::SeqCst)
    }
}

async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < LIMIT, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Asks until a request is served from a zone: the entry follows what is published a moment later.
async fn served_from(entry: &Entry, path: &str, zone: &str) -> Result<()> {
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

fn is_refused_for_evacuation(answer: &str) -> bool {
    let is_not_run = answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after");
    is_not_run && answer.contains("ZoneEvacuated")
}

#[yare::parameterized(
    stream = { "stream", "writer" },
    plain = { "once", "board" },
)]
#[test_macro(tokio::test)]
async fn where_all_zones_are_evacuated_requests_are_refused_at_once_and_served_after_it(
    route: &str,
    service: &str,
) -> Result<()> {
    let entry = Entry::start()?;
    let servers = [Server::start("z").await?, Server::start("y").await?];
    entry.add(service, "z", servers[0].address);
    entry.add(service, "y", servers[1].address);
    let path = format!("/{route}/1");
    served_from(&entry, &path, "z").await?;
    entry.set_evacuation("z", true);
    served_from(&entry, &path, "y").await?;
    let before = servers[0].begun();
    for _ in 0..6 {
        served_from(&entry, &path, "y").await?;
    }
    assert_eq!(servers[0].begun(), before, "nothing more is sent to it");
    entry.set_evacuation("y", true);
    let begun = Instant::now();
    let refused = entry.ask(&path).await?;
    assert!(is_refused_for_evacuation(&refused), "{refused}");
    assert!(begun.elapsed() < Duration::from_millis(TARGET_MS / 4), "it waits for nothing");
    assert!(entry.kept("refused") >= 1);
    if service == "board" {
        assert_eq!(entry.kept("stopped"), 0, "no connection is made in vain");
    }
    entry.set_evacuation("z", false);
    served_from(&entry, &path, "z").await
}

/// The server's task sees the connection before the entry does, and the zone is evacuated at that moment.
async fn evacuate_while_connecting(route: &str, service: &str) -> Result<()> {
    let entry = Entry::start()?;
    let zones = ["z", "y"];
    let mut listeners = Vec::new();
    for zone in zones {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        entry.add(service, zone, listener.local_addr()?);
        listeners.push(listener);
    }
    let followed = entry.shared.metrics.open_groups.with_label_values(&["writer"]);
    let expected = if service == "writer" { 2 } else { 0 };
    eventually("the entry follows its tables", || followed.get() == expected).await;
    let requests = [Arc::new(Requests::default()), Arc::new(Requests::default())];
    let evacuated = Arc::new(Mutex::new(None));
    let watching = {
        let (entry, requests, evacuated) = (entry.clone(), requests.clone(), evacuated.clone());
        let may_end = watch::channel(true).1;
        std::future::poll_fn(move |context| {
            for (position, listener) in listeners.iter().enumerate() {
                let Ok((stream, _)) = listener.accept() else { continue };
                let mut evacuated = evacuated.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                if evacuated.is_none() {
                    entry.set_evacuation(zones[position], true);
                    *evacuated = Some(position);
                }
                let _ = stream.set_nonblocking(true);
                if let Ok(stream) = TcpStream::from_std(stream) {
                    let (zone, requests) = (zones[position].to_string(), requests[position].clone());
                    tokio::spawn(serve(stream, zone, requests, may_end.clone()));
                }
            }
            context.waker().wake_by_ref();
            std::task::Poll::<()>::Pending
        })
    };
    let watching = tokio::spawn(watching);
    let answer = entry.ask(&format!("/{route}/1")).await?;
    watching.abort();
    let first = evacuated.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).unwrap_or_default();
    let other = 1 - first;
    assert!(answer.contains(&format!("data: {}\n\n", zones[other])), "{answer}");
    let begun = requests.each_ref().map(|requests| requests.begun.load(Ordering::SeqCst));
    assert_eq!((begun[first], begun[other]), (0, 1), "the request goes to the other zone alone");
    assert_eq!(entry.kept("stopped"), 1);
    Ok(())
}

#[yare::parameterized(
    stream = { "stream", "writer" },
    plain = { "once", "board" },
)]
fn a_request_whose_connection_is_being_made_when_its_zone_is_evacuated_goes_elsewhere(
    route: &str,
    service: &str,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .event_interval(TASKS_BETWEEN_LOOKS)
        .build()
        .unwrap_or_else(|error| panic!("{error}"));
    runtime.block_on(evacuate_while_connecting(route, service)).unwrap_or_else(|error| panic!("{error}"));
}

#[tokio::test]
async fn streams_in_an_evacuated_zone_finish_and_requests_that_wait_for_it_go_elsewhere() -> Result<()> {
    let entry = Entry::start()?;
    let (near, far) = (Server::start("z").await?, Server::start("y").await?);
    entry.add("writer", "z", near.address);
    served_from(&entry, "/stream/1", "z").await?;
    near.may_end.send_replace(false);
    let before = near.begun();
    let ask = |entry: &Arc<Entry>| {
        let entry = entry.clone();
        tokio::spawn(async move { entry.ask("/stream/1").await })
    };
    let running = ask(&entry);
    eventually("the stream has begun", || near.begun() > before).await;
    // The group's only place is taken.
    let waiting = ask(&entry);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!waiting.is_finished());
    let begun = Instant::now();
    entry.set_evacuation("z", true);
    let refused = waiting.await??;
    assert!(is_refused_for_evacuation(&refused), "{refused}");
    assert!(begun.elapsed() < Duration::from_millis(TARGET_MS / 4), "it is not left to wait");
    entry.add("writer", "y", far.address);
    served_from(&entry, "/stream/1", "y").await?;
    assert!(!running.is_finished(), "what runs in the zone goes on");
    near.may_end.send_replace(true);
    let whole = running.await??;
    assert_eq!(whole.matches("data: z\n\n").count(), 2, "{whole}");
    assert_eq!(near.begun(), before + 1, "nothing more was sent to it");
    entry.set_evacuation("z", false);
    served_from(&entry, "/stream/1", "z").await
}

/// A request that waits for a place in another zone gets one in the zone that is given back.
#[tokio::test]
async fn the_end_of_an_evacuation_wakes_requests_that_wait() -> Result<()> {
    let entry = Entry::start()?;
    let (near, far) = (Server::start("z").await?, Server::start("y").await?);
    entry.add("writer", "z", near.address);
    entry.add("writer", "y", far.address);
    entry.set_evacuation("z", true);
    served_from(&entry, "/stream/1", "y").await?;
    far.may_end.send_replace(false);
    let before = far.begun();
    let ask = |entry: &Arc<Entry>| {
        let entry = entry.clone();
        tokio::spawn(async move { entry.ask("/stream/1").await })
    };
    let _running = ask(&entry);
    eventually("the stream has begun", || far.begun() > before).await;
    let waiting = ask(&entry);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let begun = Instant::now();
    entry.set_evacuation("z", false);
    let answer = waiting.await??;
    assert!(answer.contains("data: z\n\n"), "{answer}");
    assert!(begun.elapsed() < Duration::from_millis(TARGET_MS / 4), "it waited for its time to pass");
    Ok(())
}

#[yare::parameterized(
    unknown = { "POST", "x", "404", "ZoneUnknown" },
    unknown_withdrawn = { "DELETE", "x", "404", "ZoneUnknown" },
    empty = { "POST", "", "400", "ZoneMalformed" },
    odd = { "POST", "z%00", "400", "ZoneMalformed" },
    nested = { "DELETE", "z/y", "400", "ZoneMalformed" },
    long = { "POST", "zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz", "400", "ZoneMalformed" },
)]
#[test_macro(tokio::test)]
async fn a_call_for_what_is_no_zone_is_refused(
    method: &str,
    zone: &str,
    status: &str,
    code: &str,
) -> Result<()> {
    let entry = Entry::start()?;
    let answer = call(entry.operators, method, &format!("/v1/gateway/evacuations/{zone}"), "").await?;
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")) && answer.contains(code), "{answer}");
    Ok(())
}

/// Without a leader nothing is decided; the caller goes on to another daemon after a second.
#[tokio::test]
async fn a_call_that_no_leader_takes_fails_within_a_second() -> Result<()> {
    let entry = Entry::start()?;
    let begun = Instant::now();
    let answer = call(entry.operators, "POST", "/v1/gateway/evacuations/y", "").await?;
    assert!(answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 504"), "{answer}");
    assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    Ok(())
}
