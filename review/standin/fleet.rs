//! Stand-ins shared by the scripts: the platform (settings from the deploy file's templates, processes, signals), an
//! operator, plain servers that register themselves, and a client. Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
const PEER_PORT: u16 = 7340;
const FRONTEND_PORT: u16 = 8227;
const READINESS_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
const DIRECTORY_PORT: u16 = 8224;
pub const SERVER_PORT: u16 = 8080;

const PR_SET_PDEATHSIG: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Keeps the receive window of a connection small, as that of the links on the page on machines.
pub fn keep_window_small(stream: &TcpStream) {
    let bytes = 64 << 10;
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// What was sent, answered and run, one line each, with the seconds since the start.
pub struct Record {
    file: Mutex<File>,
    since: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|error| could_not_run(&format!("{path}: {error}")));
        Arc::new(Record { file: Mutex::new(file), since: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.since.elapsed().as_secs_f64());
        print!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

/// Ends the script: the case could not run.
pub fn could_not_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    std::process::exit(2)
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---- settings ----------------------------------------------------------------------------------------------------

#[derive(Clone)]
pub enum Value {
    Text(String),
    Flag(bool),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

pub fn text(value: impl ToString) -> Value {
    Value::Text(value.to_string())
}

fn table(entries: &[(&str, Value)]) -> Value {
    Value::Table(entries.iter().map(|(key, value)| (key.to_string(), value.clone())).collect())
}

fn look_up(scopes: &[Value], name: &str) -> Option<Value> {
    for scope in scopes.iter().rev() {
        let mut found = Some(scope.clone());
        for part in name.split('.') {
            found = match found {
                Some(Value::Table(entries)) => entries.into_iter().find(|(key, _)| key == part).map(|entry| entry.1),
                Some(Value::List(items)) => part.parse::<usize>().ok().and_then(|at| items.into_iter().nth(at)),
                _ => None,
            };
        }
        if found.is_some() {
            return found;
        }
    }
    None
}

fn is_set(value: &Option<Value>) -> bool {
    match value {
        None | Some(Value::Flag(false)) => false,
        Some(Value::Text(content)) => !content.is_empty(),
        Some(Value::List(items)) => !items.is_empty(),
        _ => true,
    }
}

/// Fills a template as the platform's page on deploy files says.
fn fill(template: &str, scopes: &mut Vec<Value>, key: &str, is_last: bool) -> String {
    let mut result = String::new();
    let mut rest = template;
    while let Some(open) = rest.find("{{") {
        result.push_str(&rest[..open]);
        let Some(close) = rest[open..].find("}}").map(|at| open + at) else { break };
        let gap = &rest[open + 2..close];
        rest = &rest[close + 2..];
        match gap {
            "." => {
                if let Some(Value::Text(content)) = scopes.last() {
                    result.push_str(content);
                }
            }
            "@" => result.push_str(key),
            "," => result.push_str(if is_last { "" } else { "," }),
            _ if gap.starts_with('#') || gap.starts_with('^') => {
                let name = &gap[1..];
                let end = format!("{{{{/{name}}}}}");
                let Some(at) = rest.find(&end) else { break };
                let inner = rest[..at].to_string();
                rest = &rest[at + end.len()..];
                let value = look_up(scopes, name);
                if gap.starts_with('^') {
                    if !is_set(&value) {
                        result.push_str(&fill(&inner, scopes, key, is_last));
                    }
                    continue;
                }
                let entries: Vec<(String, Value)> = match value {
                    Some(Value::List(items)) => {
                        items.into_iter().enumerate().map(|(at, item)| (at.to_string(), item)).collect()
                    }
                    Some(Value::Table(entries)) => entries,
                    other if is_set(&other) => vec![(String::new(), Value::Table(Vec::new()))],
                    _ => Vec::new(),
                };
                let count = entries.len();
                for (at, (entry_key, entry)) in entries.into_iter().enumerate() {
                    scopes.push(entry);
                    result.push_str(&fill(&inner, scopes, &entry_key, at + 1 == count));
                    scopes.pop();
                }
            }
            name => match look_up(scopes, name) {
                Some(Value::Text(content)) => result.push_str(&content),
                Some(Value::Flag(flag)) => result.push_str(if flag { "true" } else { "false" }),
                _ => {}
            },
        }
    }
    result.push_str(rest);
    result
}

/// The `run` command and the template of a role, from the deploy file.
fn role(name: &str) -> (String, String) {
    let deploy = fs::read_to_string("deploy/system.toml").unwrap_or_else(|_| could_not_run("no deploy file"));
    let mut inside = false;
    let (mut run, mut template) = (String::new(), String::new());
    for line in deploy.lines() {
        if line.starts_with('[') {
            inside = line == format!("[roles.{name}]");
        }
        let value = || line.split('"').nth(1).unwrap_or_default().to_string();
        if inside && line.starts_with("run") {
            run = value();
        }
        if inside && line.starts_with("template") {
            template = value();
        }
    }
    if run.is_empty() || template.is_empty() {
        could_not_run(&format!("the deploy file has no role {name}"));
    }
    (run, template)
}

// ---- processes ---------------------------------------------------------------------------------------------------

pub struct Process {
    pub name: String,
    run: String,
    settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) {
        let log = OpenOptions::new().create(true).append(true).open(self.settings.with_extension("log"));
        let log = log.unwrap_or_else(|error| could_not_run(&error.to_string()));
        let mut words = self.run.split(' ');
        let mut command = Command::new(words.next().unwrap_or_default());
        command.args(words).env("DOCKWOOD_BOOT", &self.settings).stdin(Stdio::null()).stderr(Stdio::null());
        // The process doesn't outlive the script, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command.stdout(log).spawn();
        self.child = Some(child.unwrap_or_else(|error| could_not_run(&format!("{}: {error}", self.run))));
    }

    pub fn pid(&self) -> i32 {
        self.child.as_ref().map_or(0, |child| child.id() as i32)
    }

    pub fn signal(&self, signal: i32) {
        if self.pid() > 0 {
            unsafe { kill(self.pid(), signal) };
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Machines of a small deployment, in one zone each: a process of the role `control` and one of the role `entry` on each.
pub struct Fleet {
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    network: [u8; 2],
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.controls.iter_mut().chain(&mut self.entries).for_each(Process::kill);
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub const ZONES: [&str; 3] = ["sanjose", "heredia", "cartago"];

impl Fleet {
    pub fn start() -> Fleet {
        let pid = std::process::id();
        let mut network = [64 + (pid % 128) as u8, 1 + (pid / 128 % 250) as u8];
        for _ in 0..50 {
            let ports = [PEER_PORT, FRONTEND_PORT, CONTROL_PORT, SERVER_PORT];
            let is_free = |port: &u16| TcpListener::bind((Ipv4Addr::new(127, network[0], network[1], 1), *port)).is_ok();
            if ports.iter().all(is_free) {
                break;
            }
            network[1] = network[1] % 250 + 1;
        }
        let folder = std::env::temp_dir().join(format!("dockwood-review-{pid}"));
        fs::create_dir_all(&folder).unwrap_or_else(|error| could_not_run(&error.to_string()));
        let mut fleet = Fleet { controls: Vec::new(), entries: Vec::new(), network, folder };
        for machine in 0..3 {
            let control = fleet.process(machine, "control");
            let entry = fleet.process(machine, "entry");
            fleet.controls.push(control);
            fleet.entries.push(entry);
        }
        fleet.controls.iter_mut().chain(&mut fleet.entries).for_each(Process::start);
        fleet
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], host + 1)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(host), port))
    }

    pub fn frontend(&self, machine: u8) -> SocketAddr {
        self.address(machine, FRONTEND_PORT)
    }

    pub fn readiness(&self, machine: u8) -> SocketAddr {
        self.address(machine, READINESS_PORT)
    }

    pub fn control(&self, machine: u8) -> SocketAddr {
        self.address(machine, CONTROL_PORT)
    }

    pub fn server(&self, number: u8) -> SocketAddr {
        self.address(100 + number, SERVER_PORT)
    }

    fn process(&self, machine: u8, role_name: &str) -> Process {
        let (run, template) = role(role_name);
        let is_control = role_name == "control";
        let zone = ZONES[machine as usize];
        let node = format!("edge-{zone}-1");
        let seeds = (0..3).map(|other| text(self.control(other))).collect();
        let data = self.folder.join(format!("{node}-data"));
        // The figures are those of the page on settings.
        let mut fields = vec![
            ("node_name", text(&node)),
            ("region", text("valle-central")),
            ("zone", text(zone)),
            ("ip", text(self.ip(machine))),
            ("internal_ports", Value::List(vec![text(PEER_PORT), text(PEER_PORT + 15)])),
            ("seeds", Value::List(seeds)),
            ("bootstrap", Value::Flag(true)),
            ("heartbeat_ms", text(1200)),
            ("zones", table(&ZONES.map(|zone| (zone, text("valle-central"))))),
            ("fault_tolerance", table(&[("machines", text(1)), ("zones", text(0)), ("regions", text(0))])),
            (
                "listen",
                table(&[
                    ("frontend", text(self.frontend(machine))),
                    ("readiness", text(self.readiness(machine))),
                    ("control_plane", text(self.control(machine))),
                    ("directory", text(self.address(machine, DIRECTORY_PORT))),
                ]),
            ),
            (
                "bounds",
                table(&[
                    ("grace_s", text(8)),
                    ("stall_ms", text(6000)),
                    ("drain_ms", text(2000)),
                    ("revoke_ms", text(5000)),
                    ("retry_budget_ratio", text("0.2")),
                    ("budget_window_s", text(10)),
                    ("retry_budget_slack", text(115)),
                ]),
            ),
        ];
        if is_control {
            fields.push(("data_dir", text(data.display())));
        }
        let content = fs::read_to_string(&template).unwrap_or_else(|_| could_not_run(&template));
        let settings = self.folder.join(format!("{node}-{role_name}.yaml"));
        let filled = fill(&content, &mut vec![table(&fields)], "", true);
        fs::write(&settings, filled).unwrap_or_else(|error| could_not_run(&error.to_string()));
        Process { name: format!("{node}.{role_name}"), run, settings, child: None }
    }

    /// Sends a configuration to the daemons in turn until one acknowledges it.
    pub fn configure(&self, configuration: &str) {
        let until = Instant::now() + Duration::from_secs(30);
        let mut machine = 0;
        while Instant::now() < until {
            let headers = [("Content-Type", "application/json")];
            let answer =
                call(self.control(machine), "PUT", "/api/configuration", &headers, configuration.as_bytes(), SECOND);
            if answer.is_ok_and(|answer| answer.status == 200) {
                return;
            }
            machine = (machine + 1) % 3;
            std::thread::sleep(Duration::from_millis(200));
        }
        could_not_run("no daemon acknowledged the configuration")
    }

    /// Waits until an entry says that it is ready and serves `path`.
    pub fn wait_until_served(&self, machine: u8, method: &str, path: &str) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            let ready = call(self.readiness(machine), "GET", "/api/readyz", &[], b"", SECOND);
            if ready.is_ok_and(|ready| ready.status == 200) {
                let answer = self.ask(machine, method, path, "warm-up", 1000, b"");
                if answer.is_ok_and(|answer| answer.status == 200) {
                    return;
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        could_not_run("an entry does not serve")
    }

    pub fn ask(
        &self,
        machine: u8,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        body: &[u8],
    ) -> std::io::Result<Answer> {
        self.ask_with_key("key-1", machine, method, path, id, deadline_ms, body)
    }

    #[allow(clippy::too_many_arguments)]
    pub fn ask_with_key(
        &self,
        key: &str,
        machine: u8,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        body: &[u8],
    ) -> std::io::Result<Answer> {
        let (deadline, authorization) = (deadline_ms.to_string(), format!("Bearer {key}"));
        let headers = [
            ("Host", "despacho.example"),
            ("X-Attempt-Id", id),
            ("X-Deadline-Ms", deadline.as_str()),
            ("Authorization", authorization.as_str()),
        ];
        call(self.frontend(machine), method, path, &headers, body, Duration::from_millis(deadline_ms + 1000))
    }
}

pub const SECOND: Duration = Duration::from_secs(1);

// ---- HTTP --------------------------------------------------------------------------------------------------------

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

pub fn request_bytes(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if headers.iter().all(|(name, _)| !name.eq_ignore_ascii_case("host")) {
        head.push_str("Host: daemon\r\n");
    }
    headers.iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
    if !body.is_empty() || method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One call on a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(&request_bytes(method, path, headers, body))?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?;
    read_rest(&mut reader, &mut answer);
    Ok(answer)
}

pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Answer> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let status = line.split(' ').nth(1).and_then(|status| status.trim().parse().ok()).unwrap_or(0);
    Ok(Answer { status, headers: read_headers(reader)?, ..Answer::default() })
}

fn read_headers(reader: &mut impl BufRead) -> std::io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { return Ok(headers) };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
}

fn read_rest(reader: &mut impl BufRead, answer: &mut Answer) {
    if let Some(length) = answer.headers.get("content-length").and_then(|length| length.parse::<usize>().ok()) {
        let mut body = vec![0; length];
        answer.is_whole = reader.read_exact(&mut body).is_ok();
        answer.body = if answer.is_whole { body } else { Vec::new() };
        return;
    }
    if answer.headers.get("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return;
            }
            answer.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                answer.is_whole = true;
                return;
            }
        }
    }
    answer.is_whole = reader.read_to_end(&mut answer.body).is_ok();
}

// ---- servers -----------------------------------------------------------------------------------------------------

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

pub fn read_request(reader: &mut impl BufRead) -> std::io::Result<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_string();
    let path = words.next().unwrap_or_default().to_string();
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|length| length.parse::<usize>().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Request { method, path, headers, body })
}

/// Answers one request on its connection; returns whether the connection is kept.
pub type Handler = dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync;

/// A server of a plain service: listens, and registers itself with a heartbeat about every 1.2 s.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub is_registered: AtomicBool,
    pub is_silent: AtomicBool,
    sequence: AtomicU64,
}

impl Server {
    pub fn start(id: &str, service: &str, zone: &str, fleet: &Fleet, number: u8, handler: Arc<Handler>) -> Arc<Server> {
        let address = fleet.server(number);
        let listener = TcpListener::bind(address).unwrap_or_else(|error| could_not_run(&format!("{address}: {error}")));
        let server = Arc::new(Server {
            id: id.to_string(),
            address,
            is_registered: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
        });
        let own_id = id.to_string();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handler, own_id) = (handler.clone(), own_id.clone());
                std::thread::spawn(move || serve(stream, &own_id, &*handler));
            }
        });
        let controls: Vec<SocketAddr> = (0..3).map(|machine| fleet.control(machine)).collect();
        let (beating, service, zone) = (server.clone(), service.to_string(), zone.to_string());
        std::thread::spawn(move || {
            let mut next = 0;
            loop {
                if !beating.is_silent.load(Ordering::SeqCst) {
                    let acknowledged = beating.beat(controls[next], &service, &zone);
                    if !acknowledged {
                        next = (next + 1) % controls.len();
                        std::thread::sleep(Duration::from_millis(100));
                        continue;
                    }
                    beating.is_registered.store(true, Ordering::SeqCst);
                }
                std::thread::sleep(Duration::from_millis(1200));
            }
        });
        server
    }

    fn beat(&self, to: SocketAddr, service: &str, zone: &str) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
            self.address
        );
        let path = format!("/api/instances/{}", self.id);
        let headers = [("Content-Type", "application/json")];
        call(to, "PUT", &path, &headers, body.as_bytes(), SECOND).is_ok_and(|answer| answer.status / 100 == 2)
    }

    pub fn wait_until_registered(&self) {
        let until = Instant::now() + Duration::from_secs(30);
        while !self.is_registered.load(Ordering::SeqCst) {
            if Instant::now() > until {
                could_not_run("a server was not registered");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

fn serve(mut stream: TcpStream, own_id: &str, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reading);
    while let Ok(request) = read_request(&mut reader) {
        if request.path == "/healthz" {
            let head = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {own_id}\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let expected = request.header("x-expected-instance");
        if !expected.is_empty() && expected != own_id {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {}\r\nContent-Length: 0\r\n\r\n",
                request.header("x-attempt-id")
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if !handler(&request, &mut stream) {
            return;
        }
    }
}

/// The head of a server's answer.
pub fn answer_head(request: &Request, own_id: &str, length: usize) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Signature: {own_id}.{}\r\nContent-Type: text/plain\r\n\
         Content-Length: {length}\r\n\r\n",
        request.header("x-attempt-id"),
        request.header("x-attempt-id")
    )
}

/// A configuration with one service of plain servers, a repeatable route and one that may run at most once.
pub fn configuration(version: u64, timeout_ms: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"despacho.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":300,\"priority\":2,\"service\":\"tablero\",\
             \"max_attempts\":{attempts},\"anonymous\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"tablero\",\"health_path\":\"/healthz\",\
         \"max_connections\":130,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"coop\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}",
        route("tarifa", "safe", 2),
        route("estado", "unsafe", 1)
    )
}

/// Path of the record, from the first argument.
pub fn record_path() -> String {
    std::env::args().nth(1).unwrap_or_else(|| could_not_run("no path for the record"))
}
