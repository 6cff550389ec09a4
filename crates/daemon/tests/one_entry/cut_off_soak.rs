//! Randomized fault injection with entries that lose their paths to all servers: a seed selects which entries are cut off,
//! when, for how long, and what happens to their new connections while open ones live on, and when servers are silent for
//! up to a second and a half, before their responses or in the middle of them. Faults overlap, but one entry always
//! reaches the servers. Callers keep their connections open.
//!
//! `CUT_OFF_SOAK_SEEDS=50 cargo test -p dockwood-daemon --test one_entry cut_off_soak` runs 50 seeds, starting at
//! `CUT_OFF_SOAK_FIRST`.

use crate::cut_off::Cut;
use crate::entry::{Entry, TEST_TIMEOUT, wait_until};
use crate::scripted_server::{Reply, ScriptedServer};
use dockwood_daemon::server_dialer::ServerDialer;
use futures::FutureExt;
use futures::future::{BoxFuture, join_all};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Number of entries. The last one always reaches the servers.
const ENTRIES: usize = 5;
/// Zones with a server of each service.
const ZONES: [&str; 2] = ["z", "y"];
/// Duration of the run of one seed.
const DURATION: Duration = Duration::from_secs(5);
/// Latest start of a fault, in milliseconds; faults end before the run does.
const LAST_FAULT_MS: u64 = 3_000;
/// Paths of the requests: at-most-once ones, streams, and repeatable ones, which are sent on idle connections.
const PATHS: [&str; 3] = ["/once/1", "/stream/1", "/again/1"];
/// Callers at each entry, with the paths in turn.
const CALLERS: usize = 6;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);
/// Time limit of one request of a caller.
const CALLER_TIMEOUT: Duration = Duration::from_secs(8);
/// After the end of a partition, an entry uses its own connections again within this time.
const RECOVERS_WITHIN: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// An entry is cut off from all servers. Its open connections live on.
    CutOff { entry: usize, cut: Cut },
    /// A server is silent, before or in the middle of its responses.
    Silence { server: usize, in_responses: bool },
}

#[derive(Clone, Copy, Debug)]
struct PlannedFault {
    at_ms: u64,
    for_ms: u64,
    fault: Fault,
}

fn generate_faults(random: &mut StdRng, servers: usize) -> Vec<PlannedFault> {
    let cuts = [Cut::Refused, Cut::Reset, Cut::Silent];
    let mut faults = Vec::new();
    for _ in 0..random.random_range(3..9) {
        let fault = match random.random_range(0..4) {
            0 => Fault::Silence { server: random.random_range(0..servers), in_responses: random.random() },
            _ => Fault::CutOff {
                entry: random.random_range(0..ENTRIES - 1),
                cut: cuts[random.random_range(0..cuts.len())],
            },
        };
        let at_ms = random.random_range(0..LAST_FAULT_MS);
        faults.push(PlannedFault { at_ms, for_ms: random.random_range(200..1_500), fault });
    }
    faults
}

/// Connects to servers unless its entry is cut off.
#[derive(Clone, Default)]
struct PartitionedDialer {
    /// The cuts in progress; the newest one decides.
    cuts: Arc<Mutex<Vec<Cut>>>,
}

impl PartitionedDialer {
    fn cuts(&self) -> MutexGuard<'_, Vec<Cut>> {
        self.cuts.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn cut_off_for(&self, cut: Cut, duration: Duration) {
        self.cuts().push(cut);
        tokio::time::sleep(duration).await;
        let mut cuts = self.cuts();
        if let Some(position) = cuts.iter().position(|other| *other == cut) {
            cuts.remove(position);
        }
    }
}

impl ServerDialer for PartitionedDialer {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'static, Result<TcpStream>> {
        let cut = self.cuts().last().copied();
        async move {
            match cut {
                None => TcpStream::connect(address).await,
                Some(cut) => Err(cut.connection_error().await),
            }
        }
        .boxed()
    }
}

/// Returns a response that contains the attempt id of its request, in two events if it is a stream.
fn reply_with_attempt(is_stream: bool) -> Reply {
    let (kind, body) = match is_stream {
        true => ("text/event-stream", "id: 1\ndata: ATTEMPT\n\nid: 2\ndata: ATTEMPT\n\n"),
        false => ("text/plain", "ATTEMPT"),
    };
    let length = body.replace("ATTEMPT", &attempt_id(0, 0, 0)).len();
    let head = format!("HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\ncontent-type: {kind}\r\n");
    Reply::Bytes(format!("{head}content-length: {length}\r\n\r\n{body}"))
}

/// Attempt ids have the same length, so that responses have a known one.
fn attempt_id(entry: usize, caller: usize, number: usize) -> String {
    format!("{entry:02}-{caller:02}-{number:06}")
}

/// Attempt id of the requests that the test sends beside the callers.
const OWN_ATTEMPT: &str = "99-99-999999";

/// What a caller received for one attempt.
#[derive(Debug)]
struct Answer {
    status: u16,
    body: String,
}

/// The answers of all callers, by attempt id; `None` for no complete response.
type Answers = BTreeMap<String, Option<Answer>>;

async fn receive(request: reqwest::RequestBuilder) -> reqwest::Result<Answer> {
    let response = request.timeout(CALLER_TIMEOUT).send().await?;
    let status = response.status().as_u16();
    Ok(Answer { status, body: response.text().await? })
}

async fn run_caller(frontend: SocketAddr, entry: usize, caller: usize, until: Instant) -> Answers {
    let http = reqwest::Client::new();
    let url = format!("http://{frontend}{}", PATHS[caller % PATHS.len()]);
    let mut answers = Answers::new();
    while Instant::now() < until {
        let attempt = attempt_id(entry, caller, answers.len());
        let request = http.post(&url).header("host", "h").header("dockwood-model", "m");
        let answer = receive(request.header("dockwood-attempt", &attempt)).await.ok();
        answers.insert(attempt, answer);
        tokio::time::sleep(PAUSE).await;
    }
    answers
}

struct SoakFleet {
    entries: Vec<Arc<Entry>>,
    dialers: Vec<PartitionedDialer>,
    servers: Vec<Arc<ScriptedServer>>,
}

impl SoakFleet {
    async fn start() -> Result<SoakFleet> {
        let dialers: Vec<PartitionedDialer> = (0..ENTRIES).map(|_| PartitionedDialer::default()).collect();
        let entries = dialers.iter().map(|dialer| Entry::start_with_dialer(Arc::new(dialer.clone())));
        let entries = entries.collect::<Result<Vec<_>>>()?;
        let mut fleet = SoakFleet { entries, dialers, servers: Vec::new() };
        let mut records = Vec::new();
        for entry in &fleet.entries {
            entry.renew_lease_continuously();
            records.push(entry.serve_peers().await?);
        }
        for (entry, own) in fleet.entries.iter().zip(&records) {
            let others = records.iter().filter(|other| other.name != own.name);
            others.for_each(|other| entry.add_daemon(other.clone()));
        }
        for (service, is_stream) in [("board", false), ("writer", true)] {
            for zone in ZONES {
                let server = ScriptedServer::start_with([], reply_with_attempt(is_stream)).await?;
                fleet.entries.iter().for_each(|entry| entry.add(service, zone, server.address));
                fleet.servers.push(server);
            }
        }
        Ok(fleet)
    }

    async fn wait_until_configured(&self) -> Result<()> {
        for entry in &self.entries {
            for path in PATHS {
                let started = Instant::now();
                while !entry.request_with_attempt(path, OWN_ATTEMPT).await?.starts_with("HTTP/1.1 200") {
                    assert!(started.elapsed() < TEST_TIMEOUT, "{path} is not served");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
        Ok(())
    }

    async fn inject(&self, planned: &PlannedFault) {
        tokio::time::sleep(Duration::from_millis(planned.at_ms)).await;
        let duration = Duration::from_millis(planned.for_ms);
        match planned.fault {
            Fault::CutOff { entry, cut } => self.dialers[entry].cut_off_for(cut, duration).await,
            Fault::Silence { server, in_responses } => {
                let server = &self.servers[server];
                let may_write = if in_responses { &server.may_complete } else { &server.may_answer };
                may_write.send_replace(false);
                tokio::time::sleep(duration).await;
                may_write.send_replace(true);
            }
        }
    }

    /// Asserts that each request was served as a whole, and by one server at most.
    fn assert_served(&self, seed: u64, answers: &Answers) {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for attempt in self.servers.iter().flat_map(|server| server.attempts()) {
            *runs.entry(attempt).or_default() += 1;
        }
        for (attempt, answer) in answers {
            let ran = runs.get(attempt).copied().unwrap_or(0);
            assert!(ran <= 1, "seed {seed}: {attempt} ran {ran} times");
            let complete = [attempt.clone(), format!("id: 1\ndata: {attempt}\n\nid: 2\ndata: {attempt}\n\n")];
            let is_served = |answer: &Answer| answer.status == 200 && complete.contains(&answer.body);
            assert!(
                answer.as_ref().is_some_and(is_served),
                "seed {seed}: {attempt}, ran {ran} times: {answer:?}"
            );
        }
    }

    /// Asserts that the entries have returned to their own connections, and that nothing is left of the tunnels.
    async fn assert_restored(&self, seed: u64) -> Result<()> {
        let ended_at = Instant::now();
        for (number, entry) in self.entries.iter().enumerate() {
            let metrics = &entry.shared.metrics;
            let connections = |path| metrics.server_connections.with_label_values(&[path]).get();
            let before = connections("direct");
            while connections("direct") == before || metrics.cut_off.get() != 0 {
                assert!(
                    ended_at.elapsed() < RECOVERS_WITHIN,
                    "seed {seed}: entry {number} goes on to use tunnels: {} direct connections, {} tunnels, cut off: {}",
                    connections("direct") - before,
                    connections("tunnel"),
                    metrics.cut_off.get(),
                );
                entry.request_with_attempt("/once/1", OWN_ATTEMPT).await?;
                tokio::time::sleep(PAUSE).await;
            }
        }
        for entry in &self.entries {
            wait_until("a tunnel stays open", || entry.shared.metrics.open_tunnels.get() == 0).await;
            assert_eq!(entry.shared.in_flight(), 0, "seed {seed}");
            let checks = &entry.shared.metrics.process_checks;
            assert_eq!(checks.with_label_values(&["refused"]).get(), 0, "seed {seed}: a crash was recorded");
        }
        Ok(())
    }
}

async fn run_seed(seed: u64) -> Result<()> {
    let mut random = StdRng::seed_from_u64(seed);
    let fleet = SoakFleet::start().await?;
    fleet.wait_until_configured().await?;
    let faults = generate_faults(&mut random, fleet.servers.len());
    let until = Instant::now() + DURATION;
    let callers = (0..ENTRIES * CALLERS).map(|number| {
        let (entry, caller) = (number % ENTRIES, number / ENTRIES);
        tokio::spawn(run_caller(fleet.entries[entry].frontend, entry, caller, until))
    });
    let callers: Vec<_> = callers.collect();
    join_all(faults.iter().map(|planned| fleet.inject(planned))).await;
    let mut answers = Answers::new();
    for caller in callers {
        answers.extend(caller.await.unwrap_or_else(|error| panic!("seed {seed}: {error}")));
    }
    println!("seed {seed}: {} requests; {faults:?}", answers.len());
    fleet.assert_served(seed, &answers);
    fleet.assert_restored(seed).await
}

fn environment_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_served_while_entries_lose_their_paths_to_servers() -> Result<()> {
    let first = environment_or("CUT_OFF_SOAK_FIRST", 1);
    for seed in first..first + environment_or("CUT_OFF_SOAK_SEEDS", 2) {
        run_seed(seed).await?;
    }
    Ok(())
}
