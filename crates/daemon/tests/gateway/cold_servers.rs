//! Limits on the request rate to cold servers, for all senders combined.

use crate::fixture::{Fleet, configuration, eventually};
use crate::servers::FakeServer;
use reqwest::StatusCode;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Requests per second that a cold server declares as its limit; the settings of the tests allow no excess.
const LIMIT: usize = 8;
/// Remaining cold time that servers report: longer than any test.
const COLD_MS: u64 = 600_000;
/// Time within which the entries learn what a server has reported.
const REPORT_DELAY: Duration = Duration::from_millis(1_000);
/// Number of concurrent callers.
const CALLERS: usize = 40;
/// How long callers send requests.
const DURATION: Duration = Duration::from_millis(3_500);

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

fn report_cold(servers: &[Arc<FakeServer>], cold_ms: u64) {
    servers.iter().for_each(|server| server.cold_ms.store(cold_ms, Ordering::SeqCst));
}

/// Sends requests to both entries without a pause; callers disconnect as soon as the response begins.
async fn run_callers(fleet: &Fleet, path: &str) {
    let until = Instant::now() + DURATION;
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

fn peak_per_second(times: &[Instant]) -> usize {
    let second = Duration::from_secs(1);
    let within = |from: &Instant| times.iter().filter(|at| **at >= *from && **at <= *from + second).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// Asserts that no server got more than its limit, and that cold servers do get requests.
fn assert_limits_kept(servers: &[Arc<FakeServer>], since: Instant) {
    for server in servers {
        let peak = peak_per_second(&server.arrivals_since(since));
        assert!(peak <= LIMIT, "{} got {peak} requests within a second", server.id);
    }
    let total: usize = servers.iter().map(|server| server.arrivals_since(since).len()).sum();
    assert!(total >= 3, "too few requests at cold servers: {total}");
}

async fn assert_limit_of_cold_heads_kept(fleet: Fleet) {
    let (fleet, models) = with_groups(fleet).await;
    report_cold(&models, COLD_MS);
    tokio::time::sleep(REPORT_DELAY).await;
    let since = Instant::now();
    run_callers(&fleet, "/stream/2").await;
    assert_limits_kept(&models, since);
    report_cold(&models, 0);
    // Time for the reports, and for the slow start.
    tokio::time::sleep(REPORT_DELAY + Duration::from_millis(2_400)).await;
    let since = Instant::now();
    run_callers(&fleet, "/stream/2").await;
    let peak = models.iter().map(|server| peak_per_second(&server.arrivals_since(since))).max();
    assert!(peak > Some(LIMIT), "warm servers are still limited: {peak:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_entries_together_keep_the_limit_of_a_cold_head() {
    assert_limit_of_cold_heads_kept(Fleet::start()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_of_a_cold_head_is_kept_when_entries_dispatch() {
    assert_limit_of_cold_heads_kept(Fleet::start_dispatched(0)).await;
}

/// From its own counts alone, an entry knows too little of what the others send.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_request_goes_to_a_cold_head_without_a_dispatcher() -> reqwest::Result<()> {
    let (mut fleet, models) = with_groups(Fleet::start()).await;
    report_cold(&models, COLD_MS);
    tokio::time::sleep(REPORT_DELAY).await;
    fleet.members.iter_mut().for_each(crate::fixture::Daemon::kill);
    let since = Instant::now();
    let answer = fleet.request(0, "/stream/2", "a-1").send().await?;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE, "the request was not refused as not run");
    assert!(models.iter().all(|server| server.arrivals_since(since).is_empty()));
    Ok(())
}

/// Entries that are suspended with requests or slots in hand do not exceed the limit of a cold head when they resume.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeatedly_suspended_entries_keep_the_limit() {
    let (fleet, models) = with_groups(Fleet::start()).await;
    report_cold(&models, COLD_MS);
    tokio::time::sleep(REPORT_DELAY).await;
    let since = Instant::now();
    let stops = async {
        for _ in 0..4 {
            tokio::time::sleep(Duration::from_millis(300)).await;
            fleet.entries.iter().for_each(|entry| entry.signal("-STOP"));
            tokio::time::sleep(Duration::from_millis(500)).await;
            fleet.entries.iter().for_each(|entry| entry.signal("-CONT"));
        }
    };
    tokio::join!(run_callers(&fleet, "/stream/2"), stops);
    assert_limits_kept(&models, since);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_share_the_limits_of_cold_plain_servers_and_prefer_warm_ones() -> reqwest::Result<()> {
    let fleet = Fleet::start();
    let servers = [fleet.plain_server(0).await, fleet.plain_server(1).await];
    fleet.configure(&limited_configuration()).await;
    fleet.wait_until_served("/plain/1").await;
    eventually("a server is not registered", || {
        servers.iter().all(|server| server.is_registered.load(Ordering::SeqCst))
    })
    .await;
    report_cold(&servers[..1], COLD_MS);
    tokio::time::sleep(REPORT_DELAY).await;
    let since = Instant::now();
    for number in 0..20 {
        let answer = fleet.request(number % 2, "/plain/1", "a").send().await?;
        assert_eq!(answer.text().await?, "plain-1", "a request did not go to the warm server");
    }
    assert!(servers[0].arrivals_since(since).is_empty());
    report_cold(&servers, COLD_MS);
    tokio::time::sleep(REPORT_DELAY).await;
    let since = Instant::now();
    run_callers(&fleet, "/plain/1").await;
    assert_limits_kept(&servers, since);
    Ok(())
}
