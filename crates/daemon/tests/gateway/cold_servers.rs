//! What reaches servers that are cold, whoever sends it.

use crate::fixture::{Fleet, configuration, eventually};
use crate::servers::FakeServer;
use reqwest::StatusCode;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// What a cold server declares to bear in a second; the settings of the tests allow no more.
const LIMIT: usize = 8;
/// A server says that it is cold for as long as a test may take.
const COLD_MS: u64 = 600_000;
/// Within this time the entries know what a server has reported.
const KNOWN_AFTER: Duration = Duration::from_millis(1_000);
/// Callers at work at once.
const CALLERS: usize = 40;
/// How long they are.
const SPAN: Duration = Duration::from_millis(3_500);

fn limited_configuration() -> Value {
    let mut configuration = configuration(1);
    for service in configuration["services"].as_array_mut().into_iter().flatten() {
        service["cold_start"] = json!({ "usual_ms": 15_000, "requests_per_second": LIMIT });
    }
    configuration
}

async fn with_groups(fleet: Fleet) -> (Fleet, Vec<Arc<FakeServer>>) {
    let mut models = Vec::new();
    for number in 0..4 {
        models.push(fleet.model_server(number).await);
    }
    fleet.configure(&limited_configuration()).await;
    fleet.wait_until_served("/stream/1").await;
    fleet.wait_until_open("writer", 2).await;
    (fleet, models)
}

fn say_cold(servers: &[Arc<FakeServer>], cold_ms: u64) {
    servers.iter().for_each(|server| server.cold_ms.store(cold_ms, Ordering::SeqCst));
}

/// Callers that ask both entries without a pause, each leaving as soon as its answer begins.
async fn ask_on(fleet: &Fleet, path: &str) {
    let until = Instant::now() + SPAN;
    let caller = |number: usize| async move {
        while Instant::now() < until {
            let answer = fleet.request((number % 2) as u8, path, "a").send().await;
            if answer.is_ok_and(|answer| answer.status() != StatusCode::OK) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    };
    futures::future::join_all((0..CALLERS).map(caller)).await;
}

fn most_in_a_second(times: &[Instant]) -> usize {
    let second = Duration::from_secs(1);
    let within = |from: &Instant| times.iter().filter(|at| **at >= *from && **at <= *from + second).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// Asserts that each server got no more than its limit, and some of them something.
fn assert_limited(servers: &[Arc<FakeServer>], since: Instant) {
    for server in servers {
        let most = most_in_a_second(&server.arrivals_since(since));
        assert!(most <= LIMIT, "{} got {most} requests within a second", server.id);
    }
    let all: usize = servers.iter().map(|server| server.arrivals_since(since).len()).sum();
    assert!(all >= 3, "cold servers serve what they can: {all}");
}

async fn keeps_the_limit_of_cold_heads(fleet: Fleet) {
    let (fleet, models) = with_groups(fleet).await;
    say_cold(&models, COLD_MS);
    tokio::time::sleep(KNOWN_AFTER).await;
    let since = Instant::now();
    ask_on(&fleet, "/stream/2").await;
    assert_limited(&models, since);
    say_cold(&models, 0);
    // Reports, and the time of the slow start.
    tokio::time::sleep(KNOWN_AFTER + Duration::from_millis(2_400)).await;
    let since = Instant::now();
    ask_on(&fleet, "/stream/2").await;
    let most = models.iter().map(|server| most_in_a_second(&server.arrivals_since(since))).max();
    assert!(most > Some(LIMIT), "warm ones are not limited: {most:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_entries_together_keep_the_limit_of_a_cold_head() {
    keeps_the_limit_of_cold_heads(Fleet::start()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_entries_together_keep_the_limit_of_a_cold_head_also_where_entries_dispatch() {
    keeps_the_limit_of_cold_heads(Fleet::start_dispatched(0)).await;
}

/// By its own figures an entry knows too little of what the others send.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_dispatcher_no_request_goes_to_a_cold_head() -> reqwest::Result<()> {
    let (mut fleet, models) = with_groups(Fleet::start()).await;
    say_cold(&models, COLD_MS);
    tokio::time::sleep(KNOWN_AFTER).await;
    fleet.members.iter_mut().for_each(crate::fixture::Daemon::kill);
    let since = Instant::now();
    let answer = fleet.request(0, "/stream/2", "a-1").send().await?;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE, "refused, and not run");
    assert!(models.iter().all(|server| server.arrivals_since(since).is_empty()));
    Ok(())
}

/// Stops of entries, whatever they hold at that moment, bring no more requests to a cold head.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_that_are_stopped_again_and_again_keep_the_limit() {
    let (fleet, models) = with_groups(Fleet::start()).await;
    say_cold(&models, COLD_MS);
    tokio::time::sleep(KNOWN_AFTER).await;
    let since = Instant::now();
    let stops = async {
        for _ in 0..4 {
            tokio::time::sleep(Duration::from_millis(300)).await;
            fleet.entries.iter().for_each(|entry| entry.signal("-STOP"));
            tokio::time::sleep(Duration::from_millis(500)).await;
            fleet.entries.iter().for_each(|entry| entry.signal("-CONT"));
        }
    };
    tokio::join!(ask_on(&fleet, "/stream/2"), stops);
    assert_limited(&models, since);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_share_what_cold_plain_servers_take_and_prefer_warm_ones() -> reqwest::Result<()> {
    let fleet = Fleet::start();
    let servers = [fleet.plain_server(0).await, fleet.plain_server(1).await];
    fleet.configure(&limited_configuration()).await;
    fleet.wait_until_served("/plain/1").await;
    eventually("both are known", || servers.iter().all(|server| server.is_registered.load(Ordering::SeqCst)))
        .await;
    say_cold(&servers[..1], COLD_MS);
    tokio::time::sleep(KNOWN_AFTER).await;
    let since = Instant::now();
    for number in 0..20 {
        let answer = fleet.request(number % 2, "/plain/1", "a").send().await?;
        assert_eq!(answer.text().await?, "plain-1", "the warm one takes them");
    }
    assert!(servers[0].arrivals_since(since).is_empty());
    say_cold(&servers, COLD_MS);
    tokio::time::sleep(KNOWN_AFTER).await;
    let since = Instant::now();
    ask_on(&fleet, "/plain/1").await;
    assert_limited(&servers, since);
    Ok(())
}
