//! A randomized run of real processes beside servers that name limits: a seed draws which entries are stopped, killed and
//! started, when, and what the servers say they take. Callers keep their connections for as long as these live. Troubles overlap.
//!
//! `LIMIT_SOAK_SEEDS=50 cargo test -p dockwood-daemon --test gateway limit_soak` plays that many seeds, from `LIMIT_SOAK_FIRST` on.

use crate::fixture::{Fleet, configuration};
use crate::limit_judge::{Excuse, first_unexcused_excess};
use crate::servers::FakeServer;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reqwest::StatusCode;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Entries of a run.
const ENTRIES: u8 = 5;
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

/// What happens to a run.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// An entry is stopped for so long.
    Stop { entry: usize, for_ms: u64 },
    /// An entry is killed, and started after so long.
    Kill { entry: usize, for_ms: u64 },
    /// A server says how many requests a second it takes.
    Limit { server: usize, per_second: Option<f64> },
}

/// When what happens, in milliseconds from the start, in this order.
fn draw(seed: u64, servers: usize) -> Vec<(u64, Trouble)> {
    let mut random = StdRng::seed_from_u64(seed);
    let span_ms = SPAN.as_millis() as u64;
    let mut troubles = vec![(200, Trouble::Limit { server: 0, per_second: Some(2.5) })];
    for _ in 0..random.random_range(4..9) {
        let server = random.random_range(0..servers);
        let per_second = LIMITS[random.random_range(0..LIMITS.len())];
        troubles.push((random.random_range(500..span_ms), Trouble::Limit { server, per_second }));
    }
    for _ in 0..random.random_range(2..7) {
        let (entry, for_ms) = (random.random_range(0..usize::from(ENTRIES)), random.random_range(100..3_000));
        let trouble =
            if random.random() { Trouble::Stop { entry, for_ms } } else { Trouble::Kill { entry, for_ms } };
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

/// Carries the troubles out, and returns which entries are excused when.
async fn bring_about(
    fleet: &mut Fleet,
    servers: &[Arc<FakeServer>],
    troubles: &[(u64, Trouble)],
) -> Vec<Excuse> {
    let begun = Instant::now();
    // Ends of stops and kills, by time.
    let mut ends: Vec<(Instant, Trouble)> = Vec::new();
    let mut excuses = Vec::new();
    let mut next = troubles.iter().peekable();
    while begun.elapsed() < SPAN {
        let now = Instant::now();
        for (_, trouble) in ends.extract_if(.., |(at, _)| *at <= now) {
            match trouble {
                Trouble::Stop { entry, .. } => fleet.entries[entry].signal("-CONT"),
                Trouble::Kill { entry, .. } => fleet.entries[entry].start(),
                Trouble::Limit { .. } => {}
            }
        }
        while let Some((_, trouble)) = next.next_if(|(at, _)| begun + Duration::from_millis(*at) <= now) {
            let (Trouble::Stop { entry, for_ms } | Trouble::Kill { entry, for_ms }) = *trouble else {
                if let Trouble::Limit { server, per_second } = *trouble {
                    servers[server].set_limit(per_second);
                }
                continue;
            };
            // What is stopped or killed already is left alone.
            if ends.iter().any(|(_, other)| matches!(other, Trouble::Stop { entry: one, .. } | Trouble::Kill { entry: one, .. } if *one == entry)) {
                continue;
            }
            match trouble {
                Trouble::Stop { .. } => fleet.entries[entry].signal("-STOP"),
                _ => fleet.entries[entry].kill(),
            }
            let until = now + Duration::from_millis(for_ms);
            ends.push((until, *trouble));
            excuses.push(Excuse { entry: format!("e{entry}"), from: now, until: until + EXCUSED_FOR });
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for (_, trouble) in ends {
        match trouble {
            Trouble::Stop { entry, .. } => fleet.entries[entry].signal("-CONT"),
            Trouble::Kill { entry, .. } => fleet.entries[entry].start(),
            Trouble::Limit { .. } => {}
        }
    }
    excuses
}

/// What may run once ran at most once, and what was said not to have run didn't.
fn assert_promises(seed: u64, servers: &[Arc<FakeServer>], since: Instant, answers: &Answers) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for arrival in servers.iter().flat_map(|server| server.requests_since(since)) {
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
    let mut fleet = Fleet::start_with_entries(ENTRIES, 64);
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
    let troubles = draw(seed, servers.len());
    let since = Instant::now();
    let until = since + SPAN;
    let callers = (0..usize::from(ENTRIES) * CALLERS).map(|number| {
        let (entry, caller) = (number % usize::from(ENTRIES), number / usize::from(ENTRIES));
        let (path, kind) = if caller % 2 == 0 { ("/once/1", "calls") } else { ("/stream/2", STREAMS) };
        let url = format!("{}{path}", fleet.entry(entry as u8));
        tokio::spawn(call(url, format!("e{entry}-{kind}-{caller}"), until))
    });
    let callers: Vec<_> = callers.collect();
    let excuses = bring_about(&mut fleet, &servers, &troubles).await;
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
