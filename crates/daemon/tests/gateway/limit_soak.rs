//! A randomized run of real processes beside servers that name limits: a seed draws who dispatches, which entries are stopped,
//! killed and started, which member of the control group is, when, what the servers say they take, and when they ask for rest.
//! Callers keep their connections for as long as these live. Troubles overlap.
//!
//! `LIMIT_SOAK_SEEDS=50 cargo test -p dockwood-daemon --test gateway limit_soak` plays that many seeds, from `LIMIT_SOAK_FIRST` on.

use crate::fixture::{Daemon, Fleet, configuration};
use crate::limit_check::{Excuse, first_unexcused_excess};
use crate::servers::{FakeServer, Manner, Rest};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reqwest::StatusCode;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Entries of a run.
const ENTRIES: u8 = 5;
/// Members of the control group.
const MEMBERS: usize = 3;
/// How long one seed is played.
const SPAN: Duration = Duration::from_secs(20);
/// Callers at each entry, of plain requests that may run once and of streams.
const CALLERS: usize = 4;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);
/// How long an entry is excused after it was stopped, killed or started.
const EXCUSED_FOR: Duration = Duration::from_secs(3);
/// A caller gives up after this long.
const CALLER_LIMIT: Duration = Duration::from_secs(6);
/// What servers name, in requests a second; `None` for no limit.
const LIMITS: [Option<f64>; 7] = [None, Some(0.0), Some(0.3), Some(1.0), Some(2.5), Some(6.0), Some(20.0)];

/// A process of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Process {
    Entry(usize),
    Member(usize),
}

/// What happens to a run.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// A process is stopped for so long.
    Stop { process: Process, for_ms: u64 },
    /// A process is killed, and started after so long.
    Kill { process: Process, for_ms: u64 },
    /// A server says how many requests a second it takes.
    Limit { server: usize, per_second: Option<f64> },
    /// A server asks for rest in each answer for so long.
    Rest { server: usize, for_ms: u64 },
}

/// When what happens, in milliseconds from the start, in this order.
fn draw(random: &mut StdRng, servers: usize) -> Vec<(u64, Trouble)> {
    let span_ms = SPAN.as_millis() as u64;
    let mut troubles = vec![(200, Trouble::Limit { server: 0, per_second: Some(2.5) })];
    for _ in 0..random.random_range(4..9) {
        let server = random.random_range(0..servers);
        let per_second = LIMITS[random.random_range(0..LIMITS.len())];
        troubles.push((random.random_range(500..span_ms), Trouble::Limit { server, per_second }));
    }
    for _ in 0..random.random_range(2..8) {
        let for_ms = random.random_range(100..3_000);
        let process = match random.random_range(0..4) {
            0 => Process::Member(random.random_range(0..MEMBERS)),
            _ => Process::Entry(random.random_range(0..usize::from(ENTRIES))),
        };
        let trouble = match random.random_range(0..5) {
            0 => Trouble::Rest { server: random.random_range(0..servers), for_ms },
            1 | 2 => Trouble::Kill { process, for_ms },
            _ => Trouble::Stop { process, for_ms },
        };
        troubles.push((random.random_range(500..span_ms - 4_000), trouble));
    }
    troubles.sort_by_key(|(at, _)| *at);
    troubles
}

/// What one caller was told of its requests, by attempt; `None` for no answer.
type Answers = BTreeMap<String, Option<StatusCode>>;

async fn call(url: String, name: String, until: Instant) -> Answers {
    let http = reqwest::Client::new();
    let mut answers = Answers::new();
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let attempt = format!("{name}-{number}");
        let request = http.post(&url).header("host", "h.example").header("authorization", "Bearer key-1");
        let request =
            request.header("dockwood-model", "m").header("dockwood-attempt", &attempt).timeout(CALLER_LIMIT);
        let answer = request.send().await.ok();
        if let Some(echoed) = answer.as_ref().filter(|answer| answer.status() == StatusCode::OK) {
            assert_eq!(
                echoed.headers().get("dockwood-attempt").map(|id| id.as_bytes()),
                Some(attempt.as_bytes())
            );
        }
        answers.insert(attempt, answer.map(|answer| answer.status()));
        tokio::time::sleep(PAUSE).await;
    }
    answers
}

/// One run's processes and servers, as troubles come over them.
struct Stage<'a> {
    fleet: &'a mut Fleet,
    servers: &'a [Arc<FakeServer>],
    /// What is to end, and when.
    ends: Vec<(Instant, Trouble)>,
    excuses: Vec<Excuse>,
}

impl Stage<'_> {
    fn daemon(&mut self, process: Process) -> &mut Daemon {
        match process {
            Process::Entry(number) => &mut self.fleet.entries[number],
            Process::Member(number) => &mut self.fleet.members[number],
        }
    }

    /// Whether a process is stopped or killed already; of the members one at a time, so that a majority is left.
    fn is_down(&self, process: Process) -> bool {
        self.ends.iter().any(|(_, trouble)| match trouble {
            Trouble::Stop { process: other, .. } | Trouble::Kill { process: other, .. } => {
                let both_members = matches!((process, other), (Process::Member(_), Process::Member(_)));
                *other == process || both_members
            }
            Trouble::Limit { .. } | Trouble::Rest { .. } => false,
        })
    }

    fn begin(&mut self, trouble: Trouble) {
        let now = Instant::now();
        let for_ms = match trouble {
            Trouble::Limit { server, per_second } => return self.servers[server].set_limit(per_second),
            Trouble::Rest { server, for_ms } => {
                self.servers[server].set_manner(Manner::AsksForRest(Rest::of(1)));
                for_ms
            }
            Trouble::Stop { process, .. } | Trouble::Kill { process, .. } if self.is_down(process) => return,
            Trouble::Stop { process, for_ms } => {
                self.daemon(process).signal("-STOP");
                for_ms
            }
            Trouble::Kill { process, for_ms } => {
                self.daemon(process).kill();
                for_ms
            }
        };
        let until = now + Duration::from_millis(for_ms);
        self.ends.push((until, trouble));
        if let Trouble::Stop { process: Process::Entry(entry), .. }
        | Trouble::Kill { process: Process::Entry(entry), .. } = trouble
        {
            self.excuses.push(Excuse { entry: format!("e{entry}"), from: now, until: until + EXCUSED_FOR });
        }
    }

    fn end(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Stop { process, .. } => self.daemon(process).signal("-CONT"),
            Trouble::Kill { process, .. } => self.daemon(process).start(),
            Trouble::Rest { server, .. } => self.servers[server].set_manner(Manner::Sound),
            Trouble::Limit { .. } => {}
        }
    }

    /// Carries the troubles out, and ends them.
    async fn play(&mut self, troubles: &[(u64, Trouble)]) {
        let begun = Instant::now();
        let mut next = troubles.iter().peekable();
        while begun.elapsed() < SPAN {
            let now = Instant::now();
            let over: Vec<(Instant, Trouble)> = self.ends.extract_if(.., |(at, _)| *at <= now).collect();
            over.into_iter().for_each(|(_, trouble)| self.end(trouble));
            while let Some((_, trouble)) = next.next_if(|(at, _)| begun + Duration::from_millis(*at) <= now) {
                self.begin(*trouble);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        std::mem::take(&mut self.ends).into_iter().for_each(|(_, trouble)| self.end(trouble));
    }
}

/// What may run once ran at most once, and what was said not to have run didn't.
fn assert_promises(seed: u64, servers: &[Arc<FakeServer>], since: Instant, answers: &Answers) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    let arrivals = servers.iter().flat_map(|server| server.requests_since(since));
    // One that asks for rest has not run it.
    for arrival in arrivals.filter(|arrival| arrival.asked.is_none()) {
        *runs.entry(arrival.attempt).or_default() += 1;
    }
    for (attempt, status) in answers.iter().filter(|(attempt, _)| !attempt.contains(STREAMS)) {
        let ran = runs.get(attempt).copied().unwrap_or(0);
        assert!(ran <= 1, "seed {seed}: {attempt} ran {ran} times");
        let says_not_run = *status == Some(StatusCode::SERVICE_UNAVAILABLE);
        assert!(!says_not_run || ran == 0, "seed {seed}: {attempt} was said not to have run");
    }
}

/// What names of callers that ask for streams hold.
const STREAMS: &str = "streams";

async fn play(seed: u64) {
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
    let troubles = draw(&mut random, servers.len());
    let since = Instant::now();
    let until = since + SPAN;
    let callers = (0..usize::from(ENTRIES) * CALLERS).map(|number| {
        let (entry, caller) = (number % usize::from(ENTRIES), number / usize::from(ENTRIES));
        let (path, kind) = if caller % 2 == 0 { ("/once/1", "calls") } else { ("/stream/2", STREAMS) };
        let url = format!("{}{path}", fleet.entry(entry as u8));
        tokio::spawn(call(url, format!("e{entry}-{kind}-{caller}"), until))
    });
    let callers: Vec<_> = callers.collect();
    let mut stage = Stage { fleet: &mut fleet, servers: &servers, ends: Vec::new(), excuses: Vec::new() };
    stage.play(&troubles).await;
    let excuses = stage.excuses;
    let mut answers = Answers::new();
    for caller in callers {
        answers.extend(caller.await.unwrap_or_else(|error| panic!("seed {seed}: {error}")));
    }
    for server in &servers {
        let excess = first_unexcused_excess(&server.requests_since(since), &excuses);
        assert!(excess.is_none(), "seed {seed}, {}: {excess:?}; {troubles:?}", server.id);
    }
    assert_promises(seed, &servers, since, &answers);
    let served = answers.values().filter(|status| **status == Some(StatusCode::OK)).count();
    assert!(served > 0, "seed {seed}: nobody was served");
}

fn from_environment(name: &str, otherwise: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(otherwise)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limits_are_kept_whatever_becomes_of_entries() {
    let first = from_environment("LIMIT_SOAK_FIRST", 1);
    for seed in first..first + from_environment("LIMIT_SOAK_SEEDS", 2) {
        play(seed).await;
    }
}
