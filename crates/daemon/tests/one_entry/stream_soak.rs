//! Randomized fault injection with streams: a seed selects which servers are silent, when, for how long and where in their
//! responses, which ones stop for good or end, which ones break their connections, and which ones refuse requests. Faults
//! overlap. A silent server never breaks its connections by itself.
//!
//! `STREAM_SOAK_SEEDS=50 cargo test -p dockwood-daemon --test one_entry stream_soak` runs 50 seeds, starting at
//! `STREAM_SOAK_FIRST`.

use crate::entry::{RetryBudget, wait_until};
use crate::stream_caller::{StreamCall, StreamCaller};
use crate::stream_fleet::{MANY_RETRIES, NO_RETRIES, ROUTE, ROUTE_WITH_THREE_ATTEMPTS, StreamFleet};
use crate::stream_server::{Reaction, Silence, StreamServer};
use crate::stream_soak_checks::{CallerResponse, SoakRun};
use futures::future::join_all;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use std::io::Result;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Number of servers, each in a group of its own.
const SERVERS: usize = 5;
/// Number of requests that a group processes concurrently.
const SLOTS: u32 = 4;
/// Number of servers that stop for good, or end, at most.
const MAX_ENDED: usize = 2;
/// Number of callers. Each sends its requests one after the other.
const CALLERS: usize = 16;
/// Time for which the callers of one seed send requests.
const DURATION: Duration = Duration::from_secs(4);
/// Latest start of a fault, in milliseconds.
const LAST_FAULT_MS: u64 = 3_000;
/// Lengths of the faults that end, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 200..2_000;
/// Time allowed for a response, longer than all faults together last.
const DEADLINE: Duration = Duration::from_secs(8);
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);
/// A budget of which streams that stall together use up all.
const FEW_RETRIES: RetryBudget = RetryBudget { ratio: 0.0, extra: 6, window_seconds: 1 };

#[derive(Clone, Debug)]
enum Fault {
    /// Servers are silent.
    Silence { servers: Vec<usize>, silence: Silence },
    /// A server reacts to new requests in this way.
    Reaction { server: usize, reaction: Reaction },
    /// A server breaks its connections.
    Break { server: usize },
    /// A server is silent for good.
    Stop { server: usize },
    /// The process of a server ends.
    Exit { server: usize },
}

#[derive(Clone, Debug)]
struct PlannedFault {
    at_ms: u64,
    for_ms: u64,
    fault: Fault,
}

fn generate_silence(random: &mut StdRng) -> Fault {
    let count = match random.random_range(0..3) {
        0 => 1,
        1 => random.random_range(2..SERVERS),
        _ => SERVERS,
    };
    let silences = [Silence::WithinEvent, Silence::Events, Silence::Everything, Silence::Everything];
    Fault::Silence {
        servers: (0..SERVERS).sample(random, count),
        silence: silences[random.random_range(0..silences.len())],
    }
}

fn generate_faults(random: &mut StdRng) -> Vec<PlannedFault> {
    let mut faults: Vec<Fault> = (0..random.random_range(2..5)).map(|_| generate_silence(random)).collect();
    for _ in 0..random.random_range(0..4) {
        let server = random.random_range(0..SERVERS);
        faults.push(match random.random_range(0..3) {
            0 => Fault::Break { server },
            1 => Fault::Reaction { server, reaction: Reaction::Break },
            _ => Fault::Reaction { server, reaction: Reaction::Refuse },
        });
    }
    // The other servers are enough for the callers.
    for server in (0..SERVERS).sample(random, MAX_ENDED) {
        match random.random_range(0..5) {
            0..3 => faults.push(Fault::Stop { server }),
            3 => faults.push(Fault::Exit { server }),
            _ => {}
        }
    }
    let planned = faults.into_iter().map(|fault| PlannedFault {
        at_ms: random.random_range(0..LAST_FAULT_MS),
        for_ms: random.random_range(FAULT_MS),
        fault,
    });
    planned.collect()
}

/// The faults in progress at one server.
#[derive(Default)]
struct ServerFaults {
    silences: Vec<Silence>,
    reactions: Vec<Reaction>,
}

impl ServerFaults {
    /// Applies what has the most effect among overlapping silences, and the newest of overlapping reactions.
    fn apply(&self, server: &StreamServer) {
        server.set_silence(self.silences.iter().copied().max().unwrap_or(Silence::None));
        server.set_reaction(self.reactions.last().copied().unwrap_or(Reaction::Answer));
    }
}

struct FaultInjector<'a> {
    fleet: &'a StreamFleet,
    faults: Vec<Mutex<ServerFaults>>,
}

impl FaultInjector<'_> {
    fn update(&self, server: usize, change: impl FnOnce(&mut ServerFaults)) {
        let mut faults = self.faults[server].lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        change(&mut faults);
        faults.apply(&self.fleet.servers[server]);
    }

    async fn inject(&self, planned: &PlannedFault) {
        tokio::time::sleep(Duration::from_millis(planned.at_ms)).await;
        let duration = Duration::from_millis(planned.for_ms);
        match &planned.fault {
            Fault::Silence { servers, silence } => {
                servers
                    .iter()
                    .for_each(|server| self.update(*server, |faults| faults.silences.push(*silence)));
                tokio::time::sleep(duration).await;
                servers.iter().for_each(|server| {
                    self.update(*server, |faults| remove_first(&mut faults.silences, silence));
                });
            }
            Fault::Reaction { server, reaction } => {
                self.update(*server, |faults| faults.reactions.push(*reaction));
                tokio::time::sleep(duration).await;
                self.update(*server, |faults| remove_first(&mut faults.reactions, reaction));
            }
            Fault::Break { server } => self.fleet.servers[*server].break_connections(),
            Fault::Stop { server } => {
                self.update(*server, |faults| faults.silences.push(Silence::Everything))
            }
            Fault::Exit { server } => self.fleet.servers[*server].exit(),
        }
    }
}

fn remove_first<T: PartialEq>(values: &mut Vec<T>, value: &T) {
    if let Some(position) = values.iter().position(|other| other == value) {
        values.remove(position);
    }
}

async fn run_caller(frontend: SocketAddr, caller: usize, until: Instant) -> Vec<CallerResponse> {
    let (route, max_attempts) =
        if caller.is_multiple_of(2) { (ROUTE, 2) } else { (ROUTE_WITH_THREE_ATTEMPTS, 3) };
    let mut responses = Vec::new();
    while Instant::now() < until {
        let attempt = format!("{caller:02}-{:04}", responses.len());
        let call = StreamCall { deadline: Some(DEADLINE), ..StreamCall::new(route, attempt) };
        let response = StreamCaller::start(frontend, call).finish().await;
        responses.push(CallerResponse { response, deadline: DEADLINE, max_attempts });
        tokio::time::sleep(PAUSE).await;
    }
    responses
}

async fn run_seed(seed: u64) -> Result<()> {
    let mut random = StdRng::seed_from_u64(seed);
    let budgets = [NO_RETRIES, FEW_RETRIES, MANY_RETRIES];
    let retry_budget = budgets[seed as usize % budgets.len()];
    let fleet = StreamFleet::start(SERVERS, SLOTS, retry_budget).await?;
    let faults = generate_faults(&mut random);
    let until = Instant::now() + DURATION;
    let callers: Vec<_> =
        (0..CALLERS).map(|caller| tokio::spawn(run_caller(fleet.entry.frontend, caller, until))).collect();
    let injector = FaultInjector { fleet: &fleet, faults: (0..SERVERS).map(|_| Mutex::default()).collect() };
    join_all(faults.iter().map(|planned| injector.inject(planned))).await;
    let mut responses = Vec::new();
    for caller in callers {
        responses.extend(caller.await.unwrap_or_else(|error| panic!("seed {seed}: {error}")));
    }
    wait_until("a request stays in flight", || fleet.entry.shared.in_flight() == 0).await;
    let all_ended = || fleet.records().iter().all(|record| record.ending.is_some());
    wait_until("a connection to a server stays open", all_ended).await;
    let run = SoakRun { responses, records: fleet.records(), retry_budget };
    println!("seed {seed}: {}; {retry_budget:?}, {faults:?}", run.summary());
    let violations = run.violations();
    assert!(
        violations.is_empty(),
        "seed {seed}: {} violations:\n{}",
        violations.len(),
        violations.join("\n")
    );
    Ok(())
}

fn environment_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_whole_while_servers_are_silent_break_and_refuse() -> Result<()> {
    let first = environment_or("STREAM_SOAK_FIRST", 1);
    for seed in first..first + environment_or("STREAM_SOAK_SEEDS", 3) {
        run_seed(seed).await?;
    }
    Ok(())
}
