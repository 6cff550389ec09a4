//! The retry budget of all entries together, counted at the servers while an entry is killed again and again.

use crate::fixture::{Fleet, configuration, eventually};
use crate::servers::{Behavior, FakeServer};
use futures::future::join_all;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Servers, all of which reject every request, so that each request asks for several retries.
const SERVERS: u8 = 6;
/// Number of times that the entry is killed.
const KILLS: usize = 3;
/// Time between two kills; all of them are within one window of the budget.
const KILL_INTERVAL: Duration = Duration::from_millis(2_500);
/// Callers of each entry.
const CALLERS: usize = 4;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(50);
/// The budget in the settings of the entries: retries per hundred requests, and in addition to that, within a window.
const PERCENT: usize = 20;
const EXTRA: usize = 100;
const WINDOW: Duration = Duration::from_secs(10);

/// Arrivals at all servers within any window, beyond the first of each request, less what the budget allows.
fn max_excess(servers: &[Arc<FakeServer>], requests: &[Instant], since: Instant) -> isize {
    let mut arrivals: Vec<(Instant, String)> = servers
        .iter()
        .flat_map(|server| server.requests_since(since))
        .map(|arrival| (arrival.at, arrival.attempt))
        .collect();
    arrivals.sort();
    let mut seen: BTreeMap<String, usize> = BTreeMap::new();
    let mut retries = Vec::new();
    for (at, attempt) in arrivals {
        let earlier = seen.entry(attempt).or_default();
        if *earlier > 0 {
            retries.push(at);
        }
        *earlier += 1;
    }
    let within = |times: &[Instant], from: Instant| {
        times.iter().filter(|at| **at >= from && **at < from + WINDOW).count()
    };
    let excess = |from: &Instant| {
        let allowed = within(requests, *from) * PERCENT / 100 + EXTRA;
        within(&retries, *from) as isize - allowed as isize
    };
    retries.iter().map(excess).max().unwrap_or(isize::MIN)
}

/// Sends requests to an entry until `until`; returns when each was sent.
async fn run_caller(fleet: &Fleet, entry: u8, caller: usize, until: Instant) -> Vec<Instant> {
    let mut sent = Vec::new();
    while Instant::now() < until {
        let attempt = format!("e{entry}-{caller}-{}", sent.len());
        sent.push(Instant::now());
        // A refusal is as good as an answer here, and so is a connection to an entry that was killed.
        let _ = fleet.request(entry, "/once/1", &attempt).send().await;
        tokio::time::sleep(PAUSE).await;
    }
    sent
}

/// An entry that started again had a new part of the budget, as what it had sent before was only in its memory.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_is_killed_repeatedly_stays_within_the_retry_budget() {
    let mut fleet = Fleet::start();
    let servers = join_all((0..SERVERS).map(|number| fleet.plain_server(number))).await;
    fleet.configure(&configuration(1)).await;
    fleet.wait_until_served("/plain/1").await;
    eventually("a server is not registered", || {
        servers.iter().all(|server| server.is_registered.load(Ordering::SeqCst))
    })
    .await;
    servers.iter().for_each(|server| server.set_behavior(Behavior::Rejects));
    // Both entries have their whole part of the budget by now.
    tokio::time::sleep(WINDOW * 2).await;

    let since = Instant::now();
    let mut killed = std::mem::take(&mut fleet.entries);
    let until = since + KILL_INTERVAL * (KILLS as u32 + 1);
    let callers = (0..2_u8).flat_map(|entry| (0..CALLERS).map(move |caller| (entry, caller)));
    let callers = join_all(callers.map(|(entry, caller)| run_caller(&fleet, entry, caller, until)));
    let kills = async {
        for _ in 0..KILLS {
            tokio::time::sleep(KILL_INTERVAL).await;
            killed[0].kill();
            killed[0].start();
        }
    };
    let (sent, ()) = tokio::join!(callers, kills);
    fleet.entries = killed;
    let sent: Vec<Instant> = sent.into_iter().flatten().collect();
    let excess = max_excess(&servers, &sent, since);
    assert!(excess <= 0, "{excess} retries more than allowed, for {} requests", sent.len());
}
