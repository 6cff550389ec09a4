//! Cases 5, 6 and 7: starts a small deployment on loopback addresses, with stand-ins for model servers, the operator and clients.
//! Usage: case late_orders|late_beat|new_leader PLATFORM_PROGRAM RECORD_FILE. TROUBLE=0 plays the same without the disruptions.
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const MODEL: &str = "m0";
const LOAD_S: f64 = 9.0;
const FORM_S: f64 = 0.3;
const WARM_S: f64 = 1.1;
/// Orders that get no answer are carried out 2 to 12 s later.
const LATE_S: f64 = 9.6;
const LATE_OPEN_S: f64 = 9.0;
/// Case 7: orders come less late, before the leader that gave them would forget them.
const LESS_LATE_S: f64 = 7.4;
const LESS_LATE_OPEN_S: f64 = 6.4;
/// The second member of g1 says that it leaves, and signs off this much later.
const LEAVES_AT_S: f64 = 4.5;
const SIGNS_OFF_S: f64 = 2.6;
const LEAVES_EARLY_S: f64 = 3.0;
/// The leader is killed once the head has left g1, and started again after this time.
const KILLED_FOR_S: f64 = 3.0;
const END_S: f64 = 18.0;
/// Case 6: one heartbeat comes this much after the one before it, and the one of the earlier start arrives before it.
const BEAT_GAP_S: f64 = 3.4;
const OLD_BEAT_S: f64 = 2.8;
const OLD_START: &str = "i-x0";
/// The case ends before that: the rule is broken within a second, or the order is carried out.
const LATE_LEAVE_S: f64 = 5.0;

#[derive(Clone, Copy, PartialEq, Debug)]
enum State {
    Joining,
    Ready,
    Open,
}

#[derive(Clone)]
struct Group {
    name: String,
    epoch: u64,
    members: Vec<String>,
    state: State,
    ready_at: f64,
    open_at: Option<f64>,
}

#[derive(Default, Clone)]
struct Server {
    group: Option<Group>,
    max_epoch: u64,
    staged: bool,
    loading_until: Option<f64>,
    sequence: u64,
    last_was_model: bool,
    cut: bool,
    draining: bool,
    changed: bool,
    beat_at: f64,
    beat_held_until: f64,
}

struct World {
    begun: Instant,
    servers: BTreeMap<String, Server>,
    record: std::fs::File,
    first_join_at: Option<f64>,
    late: Option<(f64, String, Group)>,
    broken: Option<String>,
    answered: u32,
    failed: u32,
    rejoined: bool,
    ended: bool,
    old_beat_at: Option<f64>,
    silent_leave: bool,
    late_open: Option<(f64, String, u64)>,
    late_s: f64,
    late_open_s: f64,
    leader: Option<String>,
    head_left: bool,
    late_leaves: Vec<(f64, String, u64)>,
}
type Shared = Arc<Mutex<World>>;

impl World {
    fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }
    fn note(&mut self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now());
        let _ = self.record.write_all(line.as_bytes());
    }
    fn head_is_open(&self, group: &Group) -> bool {
        let head = group
            .members
            .first()
            .and_then(|id| self.servers.get(id))
            .and_then(|server| server.group.as_ref());
        head.is_some_and(|held| held.epoch == group.epoch && held.state == State::Open)
    }
    /// A server takes a join: the rule TWO is checked here.
    fn join(&mut self, id: &str, group: Group, how: &str) -> u16 {
        let server = self.servers[id].clone();
        if group.epoch < server.max_epoch {
            return 412;
        }
        if let Some(held) = server.group.as_ref().filter(|held| held.epoch == group.epoch) {
            if held.members != group.members {
                return 412;
            }
            return 200;
        }
        if let Some(held) = &server.group {
            if self.head_is_open(held) {
                let text = format!("TWO: server {id} was joined to group {} while group {} of {}, which it hadn't left, was open", group.name, held.name, held.members[0]);
                self.note(&text);
                self.broken.get_or_insert(text);
            }
        }
        let wait = if server.last_was_model { 0.2 } else { WARM_S };
        self.note(&format!("server {id} joins {} {:?} ({how})", group.name, group.members));
        let now = self.now();
        let held = self.servers.get_mut(id).unwrap();
        held.max_epoch = group.epoch;
        held.last_was_model = true;
        held.changed = true;
        held.group = Some(Group { state: State::Joining, ready_at: now + wait, ..group });
        202
    }
    /// Lets time pass for all servers.
    fn advance(&mut self) {
        let now = self.now();
        for server in self.servers.values_mut() {
            if let Some(group) =
                server.group.as_mut().filter(|group| group.state == State::Joining && now >= group.ready_at)
            {
                group.state = State::Ready;
                server.changed = true;
            }
            if let Some(group) = server
                .group
                .as_mut()
                .filter(|group| group.state == State::Ready && group.open_at.is_some_and(|at| now >= at))
            {
                (group.state, group.open_at) = (State::Open, None);
                server.changed = true;
            }
            if server.loading_until.is_some_and(|until| now >= until) {
                server.loading_until = None;
                server.staged = true;
                server.changed = true;
            }
        }
        if self.late_open.as_ref().is_some_and(|(at, _, _)| now >= *at) {
            let (_, id, epoch) =
                std::mem::replace(&mut self.late_open, Some((f64::MAX, String::new(), 0))).unwrap();
            let server = self.servers.get_mut(&id).unwrap();
            let group =
                server.group.as_mut().filter(|group| group.epoch == epoch && group.state == State::Ready);
            if let Some(group) = group {
                group.open_at = Some(now + FORM_S);
                self.note(&format!(
                    "server {id}: the order to open g{epoch} that got no answer is carried out"
                ));
            }
        }
        let due: Vec<(f64, String, u64)> = self.late_leaves.extract_if(.., |(at, _, _)| now >= *at).collect();
        for (_, id, epoch) in due {
            let server = self.servers.get_mut(&id).unwrap();
            server.group.take_if(|group| group.epoch == epoch);
            server.changed = true;
        }
        if self.late.as_ref().is_some_and(|(at, _, _)| now >= *at) {
            let (_, id, group) = self.late.take().unwrap();
            let status = self.join(&id, group, "the order that got no answer is carried out");
            self.rejoined = status == 202;
        }
    }
}

fn text_of(body: &str, key: &str) -> Option<String> {
    let rest = &body[body.find(&format!("\"{key}\""))? + key.len() + 2..];
    let rest = &rest[rest.find('"')? + 1..];
    Some(rest[..rest.find('"')?].to_string())
}
fn number_of(body: &str, key: &str) -> Option<u64> {
    let rest = &body[body.find(&format!("\"{key}\""))? + key.len() + 2..];
    let digits: String =
        rest.chars().skip_while(|sign| !sign.is_ascii_digit()).take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
fn members_of(body: &str) -> Vec<String> {
    let Some(at) = body.find("\"members\"") else { return Vec::new() };
    let rest = &body[at..];
    let (Some(from), Some(to)) = (rest.find('['), rest.find(']')) else { return Vec::new() };
    rest[from + 1..to].split(',').map(|name| name.trim().trim_matches('"').to_string()).collect()
}

/// Reads a message: its head and its body (with a length only).
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, BTreeMap<String, String>, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_string(), headers, String::from_utf8_lossy(&body).into_owned()))
}

fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
    Some(call_for_body(address, method, path, body)?.0)
}

fn call_for_body(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let message = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len());
    stream.write_all(message.as_bytes()).ok()?;
    let (first, _, answer) = read_message(&mut BufReader::new(stream))?;
    Some((first.split(' ').nth(1)?.parse().ok()?, answer))
}

fn is_cut(world: &Shared, id: &str) -> bool {
    world.lock().unwrap().servers[id].cut
}
/// A server that is cut off neither gets nor sends anything; its connections only hang.
fn wait_while_cut(world: &Shared, id: &str) {
    while is_cut(world, id) {
        sleep(Duration::from_millis(5));
    }
}

fn order(world: &Shared, id: &str, body: &str, trouble: bool) -> Option<u16> {
    let mut world = world.lock().unwrap();
    let operation = text_of(body, "operation").unwrap_or_default();
    let (name, epoch) = (text_of(body, "group").unwrap_or_default(), number_of(body, "epoch").unwrap_or(0));
    let now = world.now();
    let holds = world.servers[id].group.as_ref().is_some_and(|group| group.epoch == epoch);
    let status = match operation.as_str() {
        "join" => {
            let group = Group {
                name: name.clone(),
                epoch,
                members: members_of(body),
                state: State::Joining,
                ready_at: 0.0,
                open_at: None,
            };
            if world.first_join_at.is_none() {
                world.first_join_at = Some(now);
            }
            let is_head = group.members.first().is_some_and(|member| member == id);
            if trouble && epoch == 1 && is_head && world.late.is_none() && !holds && !world.rejoined {
                let late_s = world.late_s;
                world.note(&format!("server {id} gives no answer to the order to join {name}; it will be carried out in {late_s} s"));
                world.late = Some((now + late_s, id.to_string(), group));
                return None;
            }
            world.join(id, group, "ordered")
        }
        "open" if holds && trouble && epoch == 1 && world.late_open.is_none() => {
            let late_s = world.late_open_s;
            world.note(&format!("server {id} gives no answer to the order to open {name}; it will be carried out in {late_s} s"));
            world.late_open = Some((now + late_s, id.to_string(), epoch));
            return None;
        }
        "open" if holds => {
            let group = world.servers.get_mut(id).unwrap().group.as_mut().unwrap();
            match group.state {
                State::Ready => {
                    group.open_at.get_or_insert(now + FORM_S);
                    202
                }
                State::Open => 200,
                State::Joining => 409,
            }
        }
        "close" if holds => {
            let group = world.servers.get_mut(id).unwrap().group.as_mut().unwrap();
            match (group.state, group.open_at) {
                (State::Open, _) | (State::Ready, Some(_)) => {
                    (group.state, group.open_at) = (State::Ready, None);
                    202
                }
                _ => 409,
            }
        }
        "leave"
            if holds
                && world.silent_leave
                && world.late_leaves.is_empty()
                && world.servers[id].group.as_ref().is_some_and(|group| group.members[0] != id) =>
        {
            world.note(&format!("server {id} gives no answer to the order to leave {name}; it will be carried out in {LATE_LEAVE_S} s"));
            world.late_leaves.push((now + LATE_LEAVE_S, id.to_string(), epoch));
            return None;
        }
        "leave" if holds => {
            world.servers.get_mut(id).unwrap().group = None;
            world.head_left |= epoch == 1;
            200
        }
        "phase" => {
            let server = world.servers.get_mut(id).unwrap();
            if server.staged {
                200
            } else {
                server.loading_until.get_or_insert(now + LOAD_S);
                202
            }
        }
        _ => 409,
    };
    world.servers.get_mut(id).unwrap().changed = true;
    world.note(&format!("server {id}: order {operation} {name} -> {status}"));
    Some(status)
}

fn serve(world: Shared, id: String, stream: TcpStream, trouble: bool) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers, body) = read_message(&mut reader)?;
        wait_while_cut(&world, &id);
        let attempt = headers.get("x-attempt-id").cloned().unwrap_or_default();
        if headers.get("x-expected-instance").is_some_and(|expected| *expected != id) {
            write!(writer, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").ok()?;
        } else if first.starts_with("GET /healthz") {
            write!(writer, "HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n").ok()?;
        } else if first.starts_with("GET /api/report") {
            let body = "{\"phase\":\"combined\",\"models\":[],\"utilization\":false,\"sequence\":1,\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":90000,\"handles\":0}";
            write!(writer, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Instance-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
        } else if first.starts_with("POST /api/order") {
            match order(&world, &id, &body, trouble) {
                Some(status) => write!(writer, "HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n").ok()?,
                None => sleep(Duration::from_secs(1)),
            }
        } else {
            let is_open = world.lock().unwrap().servers[&id]
                .group
                .as_ref()
                .is_some_and(|group| group.state == State::Open);
            if !is_open {
                write!(writer, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").ok()?;
                continue;
            }
            write!(writer, "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s.{id}.{attempt}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
            for number in 1..=12 {
                sleep(Duration::from_millis(40));
                wait_while_cut(&world, &id);
                let event = format!("id: {number}\ndata: t{number}\n\n");
                write!(writer, "{:x}\r\n{event}\r\n", event.len()).ok()?;
            }
            write!(writer, "0\r\n\r\n").ok()?;
        }
    }
}

fn beat(world: &Shared, id: &str, address: SocketAddr, control: &[SocketAddr]) {
    let body = {
        let mut world = world.lock().unwrap();
        let server = world.servers.get_mut(id).unwrap();
        server.sequence += 1;
        server.changed = false;
        let staged = if server.staged { format!("\"{MODEL}\"") } else { String::new() };
        let says = if server.draining { "draining" } else { "ready" };
        let group = server.group.as_ref().map_or(String::new(), |group| {
            let state = match group.state {
                State::Joining => "joining",
                State::Ready => "ready",
                State::Open => "open",
            };
            let rank = group.members.iter().position(|member| member == id).unwrap_or(0);
            format!(
                ",\"group\":{{\"name\":\"{}\",\"epoch\":{},\"rank\":{rank},\"state\":\"{state}\"}}",
                group.name, group.epoch
            )
        });
        format!("{{\"service\":\"llm\",\"address\":\"{address}\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":17,\"state\":\"{says}\",\"cold_remaining_ms\":0,\"phase\":\"combined\",\"models\":[],\"domain\":\"za-d0\",\"staged\":[{staged}]{group},\"sequence\":{}}}", server.sequence)
    };
    for target in control {
        let answered = call_for_body(*target, "PUT", &format!("/api/instances/{id}"), &body);
        if let Some((200..300, answer)) = answered {
            // Reports go to the daemon that leads.
            world.lock().unwrap().leader = text_of(&answer, "heartbeat_address");
            return;
        }
    }
}

/// Starts a server, which is registered from now on.
fn start_server(
    world: &Shared,
    id: &str,
    address: SocketAddr,
    staged: bool,
    control: Vec<SocketAddr>,
    trouble: bool,
) {
    let listener = TcpListener::bind(address).expect("a free port for a server");
    world.lock().unwrap().servers.insert(id.to_string(), Server { staged, ..Server::default() });
    world.lock().unwrap().note(&format!("server {id} starts at {address}"));
    let (accepting, name) = (world.clone(), id.to_string());
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let has_ended = {
                let held = accepting.lock().unwrap();
                held.servers[&name].draining && held.servers[&name].cut
            };
            if has_ended {
                continue;
            }
            let (world, id) = (accepting.clone(), name.clone());
            spawn(move || serve(world, id, stream, trouble));
        }
    });
    let (world, id) = (world.clone(), id.to_string());
    spawn(move || loop {
        wait_while_cut(&world, &id);
        while {
            let held = world.lock().unwrap();
            held.now() < held.servers[&id].beat_held_until
        } {
            sleep(Duration::from_millis(5));
        }
        beat(&world, &id, address, &control);
        {
            let mut held = world.lock().unwrap();
            let now = held.now();
            held.servers.get_mut(&id).unwrap().beat_at = now;
        }
        let sent = Instant::now();
        while sent.elapsed() < Duration::from_millis(1_200) && !world.lock().unwrap().servers[&id].changed {
            sleep(Duration::from_millis(5));
        }
    });
}

/// One request after the other, each with an id of its own, until the end.
fn client(world: Shared, entry: SocketAddr, number: u32) {
    for count in 0..200 {
        let attempt = format!("c{number}x{count}");
        let ask = || -> Option<bool> {
            let mut stream = TcpStream::connect_timeout(&entry, Duration::from_millis(1_000)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
            write!(stream, "POST /m/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {attempt}\r\nX-Model: {MODEL}\r\nX-Token-Usage: 100,60\r\nX-Prefix-Hash: {number}{count}:100\r\nX-Deadline-Ms: 6000\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi").ok()?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).ok()?;
            Some(answer.starts_with("HTTP/1.1 200") && answer.ends_with("0\r\n\r\n"))
        };
        let is_served = ask().unwrap_or(false);
        let mut world = world.lock().unwrap();
        if world.ended {
            return;
        }
        if is_served {
            world.answered += 1
        } else {
            world.failed += 1
        }
        world.note(&format!(
            "client: request {attempt} {}",
            if is_served { "answered" } else { "not answered" }
        ));
        if world.now() > 60.0 {
            return;
        }
        drop(world);
        if !is_served {
            sleep(Duration::from_millis(100));
        }
    }
}

struct Daemons(Vec<Child>);
impl Drop for Daemons {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("dockwood-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let code = run(&arguments[1], &arguments[2], &arguments[3], &folder, trouble);
    let _ = std::fs::remove_dir_all(&folder);
    std::process::exit(code);
}

fn start_daemon(program: &str, folder: &std::path::Path, name: &str) -> Child {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.join(format!("{name}.log")));
    let log = log.expect("log");
    let child = Command::new(program)
        .env("DOCKWOOD_BOOT", folder.join(format!("{name}.yaml")))
        .stdin(Stdio::null())
        .stderr(log.try_clone().unwrap())
        .stdout(log)
        .spawn();
    child.expect("the program of the deploy file")
}

fn run(case: &str, program: &str, record: &str, folder: &std::path::Path, trouble: bool) -> i32 {
    let is_late_orders = case == "late_orders" || case == "new_leader";
    let (late_orders, late_beat) = (trouble && is_late_orders, trouble && case == "late_beat");
    let kills_leader =
        trouble && case == "new_leader" && std::env::var("KILL").map_or(true, |value| value != "0");
    let leaves_at_s = if case == "new_leader" { LEAVES_EARLY_S } else { LEAVES_AT_S };
    let mut killed: Option<(usize, f64)> = None;
    let mut is_back = false;
    let net = 64 + std::process::id() % 128;
    let ip = |last: u32| format!("127.{net}.7.{last}");
    let at = |last: u32, port: u32| format!("{}:{port}", ip(last)).parse::<SocketAddr>().unwrap();
    let control: Vec<SocketAddr> = (11..14).map(|last| at(last, 18229)).collect();
    let seeds: Vec<String> = control.iter().map(|address| format!("\"{address}\"")).collect();
    let common = |name: &str, last: u32, slot: u32| {
        format!("name: {name}\nregion: r\nzone: za\nlisten:\n  ip: {}\n  ports: {{ first: 17340, last: 17355 }}\n  slot: {slot}\ncontrol:\n  seeds: [{}]\n  seedPeerPort: 17340\n", ip(last), seeds.join(","))
    };
    let limits = "traffic:\n  threads: 1\nlimits:\n  memoryMegabytes: 260\n  fileDescriptors: 4100\n";
    let mut daemons = Daemons(Vec::new());
    let mut start = |name: &str, settings: String| {
        std::fs::write(folder.join(format!("{name}.yaml")), settings).expect("settings");
        daemons.0.push(start_daemon(program, folder, name));
    };
    for last in 11..14 {
        let data = folder.join(format!("data-{last}"));
        start(&format!("m{last}.control"), format!("{}  founding: true\n  member: true\n  dataFolder: {}\n  lossesTolerated: 1\n  zoneLossesTolerated: 0\ngateway:\n  zones: {{ \"za\": \"r\" }}\n  operators: {}:18229\n  stopLimitSeconds: 8\n  stallMs: 6000\n  drainMs: 2000\n  heartbeatMs: 1200\n{limits}", common(&format!("m{last}.control"), last, 0), data.display(), ip(last)));
    }
    for last in 21..23 {
        start(&format!("m{last}.entry"), format!("{1}gateway:\n  zones: {{ \"za\": \"r\" }}\n  frontend: {0}:18227\n  readiness: {0}:18220\n  directory: {0}:18224\n  answerLifetimeMs: 2000\n  stopLimitSeconds: 8\n  revokedWithinMs: 5000\n  retryBudget:\n    ratio: 0.2\n    windowSeconds: 10\n    extra: 109\n{limits}", ip(last), common(&format!("m{last}.entry"), last, 1)));
    }
    let world: Shared = Arc::new(Mutex::new(World {
        begun: Instant::now(),
        servers: BTreeMap::new(),
        record: std::fs::File::create(record).expect("record"),
        first_join_at: None,
        late: None,
        broken: None,
        answered: 0,
        failed: 0,
        rejoined: false,
        ended: false,
        old_beat_at: None,
        silent_leave: late_beat,
        late_leaves: Vec::new(),
        late_open: None,
        late_s: if case == "new_leader" { LESS_LATE_S } else { LATE_S },
        late_open_s: if case == "new_leader" { LESS_LATE_OPEN_S } else { LATE_OPEN_S },
        leader: None,
        head_left: false,
    }));
    let configuration = format!("{{\"version\":1,\"routes\":[{{\"name\":\"r1\",\"host\":\"h.example\",\"path_prefix\":\"/m/\",\"kind\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\"anonymous\":true,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":200}}],\"services\":[{{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_connections\":288,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":17,\"kv_capacity\":1860000,\"kv_bytes\":96256,\"link_mbps\":400000.0,\"stride\":5,\"models\":[{{\"name\":\"{MODEL}\",\"size\":2,\"share\":1.0,\"pace\":1.0,\"load_s\":{LOAD_S},\"warm_s\":{WARM_S}}}],\"step_ms\":7.8,\"per_seq_ms\":0.0947,\"context_per_k\":0.0096,\"read_per_s\":45900.0,\"pairs_per_m\":0.433,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_per_s\":5.0,\"loads_at_once\":7,\"delays\":[],\"usual\":{{\"prompt\":100,\"answer\":60}},\"cached_prefixes\":1,\"far_x\":4.0,\"form_ms\":300.0}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}");
    let begun = Instant::now();
    while !control
        .iter()
        .any(|address| call(*address, "PUT", "/api/configuration", &configuration) == Some(200))
    {
        if begun.elapsed() > Duration::from_secs(20) {
            world.lock().unwrap().note("no daemon took the configuration");
            return 2;
        }
        sleep(Duration::from_millis(200));
    }
    world.lock().unwrap().note("the configuration is acknowledged");
    for (id, last) in [("i-aa", 31), ("i-bb", 32)] {
        start_server(&world, id, at(last, 8080), true, control.clone(), late_orders);
    }
    let (mut has_third, mut has_clients, mut head) = (false, false, String::new());
    loop {
        sleep(Duration::from_millis(5));
        let mut held = world.lock().unwrap();
        held.advance();
        let now = held.now();
        if let Some(first) = held.first_join_at {
            let since = now - first;
            if head.is_empty() {
                let open = held.servers.iter().find(|(_, server)| {
                    server.group.as_ref().is_some_and(|group| group.state == State::Open)
                });
                if let Some((id, _)) = open {
                    head = id.clone();
                }
            }
            if !head.is_empty() && !has_clients {
                has_clients = true;
                held.note(&format!("{head} is open as the head of g1"));
                for number in 0..4 {
                    let (world, entry) = (world.clone(), at(21 + number % 2, 18227));
                    spawn(move || client(world, entry, number));
                }
            }
            // An empty server is added, as at any scale-out.
            if is_late_orders && has_clients && !has_third && held.answered > 0 {
                has_third = true;
                drop(held);
                start_server(&world, "i-cc", at(33, 8080), false, control.clone(), late_orders);
                continue;
            }
            // Planned work, also without the disruption: the other member leaves.
            if is_late_orders && !head.is_empty() {
                let other = if head == "i-aa" { "i-bb" } else { "i-aa" };
                let server = held.servers.get_mut(other).unwrap();
                if since > leaves_at_s && !server.draining {
                    (server.draining, server.changed) = (true, true);
                    held.note(&format!("server {other} says that it leaves"));
                } else if since > leaves_at_s + SIGNS_OFF_S && !server.cut {
                    // It ends: nothing reaches it any more, and it says nothing.
                    server.cut = true;
                    held.note(&format!("server {other} signs off and ends"));
                    drop(held);
                    control
                        .iter()
                        .find_map(|target| call(*target, "DELETE", &format!("/api/instances/{other}"), ""));
                    continue;
                }
            }
            if kills_leader && held.head_left && killed.is_none() {
                let index =
                    control.iter().position(|address| held.leader.as_deref() == Some(&address.to_string()));
                let Some(index) = index else {
                    held.note("the leader is not known");
                    return 2;
                };
                let _ = daemons.0[index].kill();
                let _ = daemons.0[index].wait();
                killed = Some((index, now));
                held.note(&format!("the leader, m{}.control, is killed", 11 + index));
            }
            if let Some((index, at)) = killed.filter(|(_, at)| !is_back && now > at + KILLED_FOR_S) {
                is_back = true;
                let name = format!("m{}.control", 11 + index);
                let path = folder.join(format!("{name}.yaml"));
                let settings = std::fs::read_to_string(&path).expect("settings");
                std::fs::write(&path, settings.replace("founding: true", "founding: false"))
                    .expect("settings");
                daemons.0[index] = start_daemon(program, folder, &name);
                held.note(&format!("{name} is back after {:.1} s", now - at));
            }
            if late_beat && !head.is_empty() && since > LEAVES_AT_S {
                let server = held.servers[&head].clone();
                match held.old_beat_at {
                    None if server.beat_at > first + LEAVES_AT_S => {
                        held.servers.get_mut(&head).unwrap().beat_held_until = server.beat_at + BEAT_GAP_S;
                        held.old_beat_at = Some(server.beat_at + OLD_BEAT_S);
                        held.note(&format!(
                            "the next heartbeat of {head} comes late, {BEAT_GAP_S} s after the one before"
                        ));
                    }
                    Some(due) if now >= due => {
                        held.old_beat_at = Some(f64::MAX);
                        held.note(&format!("a heartbeat of {OLD_START}, an earlier start at the address of {head} that has crashed behind a cut, arrives"));
                        drop(held);
                        let address = if head == "i-aa" { at(31, 8080) } else { at(32, 8080) };
                        let body = format!("{{\"service\":\"llm\",\"address\":\"{address}\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":17,\"state\":\"ready\",\"cold_remaining_ms\":0,\"phase\":\"combined\",\"models\":[],\"domain\":\"za-d0\",\"staged\":[\"{MODEL}\"],\"sequence\":2}}");
                        let status = control.iter().find_map(|target| {
                            call(*target, "PUT", &format!("/api/instances/{OLD_START}"), &body)
                        });
                        world.lock().unwrap().note(&format!("the heartbeat of {OLD_START} -> {status:?}"));
                        continue;
                    }
                    _ => {}
                }
            }
            if since > END_S || held.broken.is_some() {
                break;
            }
        } else if now > 40.0 {
            held.note("no group was formed");
            return 2;
        }
    }
    let mut held = world.lock().unwrap();
    let (answered, failed) = (held.answered, held.failed);
    held.ended = true;
    held.note(&format!("end: {answered} requests answered, {failed} not answered"));
    let code = match (&held.broken, head.is_empty() || (is_late_orders && !has_third) || answered == 0) {
        (Some(_), _) => 1,
        (None, true) => 2,
        (None, false) => 0,
    };
    held.note(match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    });
    if std::env::var("KEEP_LOGS").is_ok() {
        for last in 11..14 {
            let _ =
                std::fs::copy(folder.join(format!("m{last}.control.log")), format!("{record}.m{last}.log"));
        }
    }
    code
}
