//! Randomized fault injection with real processes and servers that announce limits: a seed selects who dispatches, which
//! entries and which member of the control group are suspended, or killed and restarted, and when, which limits the servers
//! announce, and when they ask for back-off. Callers keep their connections for as long as these live. Faults overlap.
//!
//! `LIMIT_SOAK_SEEDS=50 cargo test -p dockwood-daemon --test gateway limit_soak` runs 50 seeds, starting at `LIMIT_SOAK_FIRST`.

use crate::fixture::{Daemon, Fleet, configuration};
use crate::limit_check::{Exemption, first_excess_with_exemptions};
use crate::servers::{Backoff, Behavior, FakeServer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reqwest::StatusCode;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of entries.
const ENTRIES: u8 = 5;
/// Number of members of the control group.
const MEMBERS: usize = 3;
/// Duration of the run of one seed.
const DURATION: Duration = Duration::from_secs(20);
/// Number of callers at each entry; half of them send plain at-most-once requests, half of them streams.
const CALLERS: usize = 4;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);
/// Time for which an entry stays exempt after a fault of it has ended.
const EXEMPT_AFTER_FAULT: Duration = Duration::from_secs(3);
/// Time limit of one request of a caller.
const CALLER_TIMEOUT: Duration = Duration::from_secs(6);
/// Limits that servers announce, in requests per second; `None` for no limit.
const LIMITS: [Option<f64>; 7] = [None, Some(0.0), Some(0.3), Some(1.0), Some(2.5), Some(6.0), Some(20.0)];

/// A daemon process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Process {
    Entry(usize),
    Member(usize),
}

/// A fault, or a change of what a server announces.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// A process is suspended for `for_ms`.
    Stop { process: Process, for_ms: u64 },
    /// A process is killed, and restarted after `for_ms`.
    Kill { process: Process, for_ms: u64 },
    /// A server announces another limit.
    Limit { server: usize, per_second: Option<f64> },
    /// A server rejects all requests and asks for back-off for `for_ms`.
    Rest { server: usize, for_ms: u64 },
}

/// Selects the faults of a run, with their times in milliseconds from the start, in order of time.
fn generate_faults(random: &mut StdRng, servers: usize) -> Vec<(u64, Fault)> {
    let duration_ms = DURATION.as_millis() as u64;
    let mut faults = vec![(200, Fault::Limit { server: 0, per_second: Some(2.5) })];
    for _ in 0..random.random_range(4..9) {
        let server = random.random_range(0..servers);
        let per_second = LIMITS[random.random_range(0..LIMITS.len())];
        faults.push((random.random_range(500..duration_ms), Fault::Limit { server, per_second }));
    }
    for _ in 0..random.random_range(2..8) {
        let for_ms = random.random_range(100..3_000);
        let process = match random.random_range(0..4) {
            0 => Process::Member(random.random_range(0..MEMBERS)),
            _ => Process::Entry(random.random_range(0..usize::from(ENTRIES))),
        };
        let fault = match random.random_range(0..5) {
            0 => Fault::Rest { server: random.random_range(0..servers), for_ms },
            1 | 2 => Fault::Kill { process, for_ms },
            _ => Fault::Stop { process, for_ms },
        };
        faults.push((random.random_range(500..duration_ms - 4_000), fault));
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}

/// Statuses that one caller received, by attempt id; `None` for no response.
type Answers = BTreeMap<String, Option<StatusCode>>;

async fn run_caller(url: String, name: String, until: Instant) -> Answers {
    let http = reqwest::Client::new();
    let mut answers = Answers::new();
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let attempt = format!("{name}-{number}");
        let request = http.post(&url).header("host", "h.example").header("authorization", "Bearer key-1");
        let request = request
            .header("dockwood-model", "m")
            .header("dockwood-attempt", &attempt)
            .timeout(CALLER_TIMEOUT);
        let answer = request.send().await.ok();
        if let Some(response) = answer.as_ref().filter(|answer| answer.status() == StatusCode::OK) {
            assert_eq!(
                response.headers().get("dockwood-attempt").map(|id| id.as_bytes()),
                Some(attempt.as_bytes())
            );
        }
        answers.insert(attempt, answer.map(|answer| answer.status()));
        tokio::time::sleep(PAUSE).await;
    }
    answers
}

/// The processes and servers of one run, and the faults in progress.
struct Run<'a> {
    fleet: &'a mut Fleet,
    servers: &'a [Arc<FakeServer>],
    /// Faults in progress, with the times at which they end.
    active: Vec<(Instant, Fault)>,
    exemptions: Vec<Exemption>,
}

impl Run<'_> {
    fn daemon(&mut self, process: Process) -> &mut Daemon {
        match process {
            Process::Entry(number) => &mut self.fleet.entries[number],
            Process::Member(number) => &mut self.fleet.members[number],
        }
    }

    /// Returns whether a process may not fail now: it is down, or it is a member and another one is, as a majority must remain.
    fn must_not_fail(&self, process: Process) -> bool {
        self.active.iter().any(|(_, fault)| match fault {
            Fault::Stop { process: other, .. } | Fault::Kill { process: other, .. } => {
                let are_both_members = matches!((process, other), (Process::Member(_), Process::Member(_)));
                *other == process || are_both_members
            }
            Fault::Limit { .. } | Fault::Rest { .. } => false,
        })
    }

    fn start_fault(&mut self, fault: Fault) {
        let now = Instant::now();
        let for_ms = match fault {
            Fault::Limit { server, per_second } => return self.servers[server].set_limit(per_second),
            Fault::Rest { server, for_ms } => {
                self.servers[server].set_behavior(Behavior::RequestsBackoff(Backoff::of(1)));
                for_ms
            }
            Fault::Stop { process, .. } | Fault::Kill { process, .. } if self.must_not_fail(process) => {
                return;
            }
            Fault::Stop { process, for_ms } => {
                self.daemon(process).signal("-STOP");
                for_ms
            }
            Fault::Kill { process, for_ms } => {
                self.daemon(process).kill();
                for_ms
            }
        };
        let until = now + Duration::from_millis(for_ms);
        self.active.push((until, fault));
        if let Fault::Stop { process: Process::Entry(entry), .. }
        | Fault::Kill { process: Process::Entry(entry), .. } = fault
        {
            self.exemptions.push(Exemption {
                entry: format!("e{entry}"),
                from: now,
                until: until + EXEMPT_AFTER_FAULT,
            });
        }
    }

    fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Stop { process, .. } => self.daemon(process).signal("-CONT"),
            Fault::Kill { process, .. } => self.daemon(process).start(),
            Fault::Rest { server, .. } => self.servers[server].set_behavior(Behavior::Normal),
            Fault::Limit { .. } => {}
        }
    }

    /// Injects the faults and ends them.
    async fn execute(&mut self, faults: &[(u64, Fault)]) {
        let started = Instant::now();
        let mut next = faults.iter().peekable();
        while started.elapsed() < DURATION {
            let now = Instant::now();
            let expired: Vec<(Instant, Fault)> = self.active.extract_if(.., |(at, _)| *at <= now).collect();
            expired.into_iter().for_each(|(_, fault)| self.end_fault(fault));
            while let Some((_, fault)) = next.next_if(|(at, _)| started + Duration::from_millis(*at) <= now) {
                self.start_fault(*fault);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        std::mem::take(&mut self.active).into_iter().for_each(|(_, fault)| self.end_fault(fault));
    }
}

/// Asserts that at-most-once requests ran at most once, and that requests reported as not run did not run.
fn assert_execution_guarantees(seed: u64, servers: &[Arc<FakeServer>], since: Instant, answers: &Answers) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    let arrivals = servers.iter().flat_map(|server| server.requests_since(since));
    // A server that asked for back-off did not run the request.
    for arrival in arrivals.filter(|arrival| arrival.backoff.is_none()) {
        *runs.entry(arrival.attempt).or_default() += 1;
    }
    for (attempt, status) in answers.iter().filter(|(attempt, _)| !attempt.contains(STREAMS)) {
        let ran = runs.get(attempt).copied().unwrap_or(0);
        assert!(ran <= 1, "seed {seed}: {attempt} ran {ran} times");
        let says_not_run = *status == Some(StatusCode::SERVICE_UNAVAILABLE);
        assert!(!says_not_run || ran == 0, "seed {seed}: {attempt} ran although it was reported as not run");
    }
}

/// Part of the attempt ids of callers that request streams.
const STREAMS: &str = "streams";

async fn run_seed(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let leader_dispatches_up_to = if random.random() { 64 } else { 0 };
    let mut fleet = Fleet::start_with_entries(ENTRIES, leader_dispatches_up_to);
    let mut servers = Vec::new();
    for number in 0..3 {
        servers.push(fleet.plain_server(number).await);
    }
    for number in 3..7 {
        servers.push(fleet.model_server(number).await);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_until_served("/once/1").await;
    fleet.wait_until_open("writer", 2).await;
    let faults = generate_faults(&mut random, servers.len());
    let since = Instant::now();
    let until = since + DURATION;
    let callers = (0..usize::from(ENTRIES) * CALLERS).map(|number| {
        let (entry, caller) = (number % usize::from(ENTRIES), number / usize::from(ENTRIES));
        let (path, kind) = if caller % 2 == 0 { ("/once/1", "calls") } else { ("/stream/2", STREAMS) };
        let url = format!("{}{path}", fleet.entry(entry as u8));
        tokio::spawn(run_caller(url, format!("e{entry}-{kind}-{caller}"), until))
    });
    let callers: Vec<_> = callers.collect();
    let mut run = Run { fleet: &mut fleet, servers: &servers, active: Vec::new(), exemptions: Vec::new() };
    run.execute(&faults).await;
    let exemptions = run.exemptions;
    let mut answers = Answers::new();
    for caller in callers {
        answers.extend(caller.await.unwrap_or_else(|error| panic!("seed {seed}: {error}")));
    }
    for server in &servers {
        let excess = first_excess_with_exemptions(&server.requests_since(since), &exemptions);
        assert!(excess.is_none(), "seed {seed}, {}: {excess:?}; {faults:?}", server.id);
    }
    assert_execution_guarantees(seed, &servers, since, &answers);
    let served = answers.values().filter(|status| **status == Some(StatusCode::OK)).count();
    assert!(served > 0, "seed {seed}: no request was served");
}

/// A number from an environment variable.
pub fn environment_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limits_are_kept_under_random_faults() {
    let first = environment_or("LIMIT_SOAK_FIRST", 1);
    for seed in first..first + environment_or("LIMIT_SOAK_SEEDS", 2) {
        run_seed(seed).await;
    }
}
