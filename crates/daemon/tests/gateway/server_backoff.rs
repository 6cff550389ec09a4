//! `Retry-After` in rejections, and servers that announce their shutdown.
//!
//! Guards against a fault in which entries read a `503` only as "not run" and ignored its `Retry-After`: they retried the
//! request elsewhere and sent the next one to the same server, which looked idle because it rejected each request within a
//! millisecond. Servers that rejected requests for nine seconds, asking for 3 s of back-off each time, received up to 27
//! requests per second, and healthy servers beside them 1 to 9. In the first second, six such servers got 108 of 221
//! requests, and a third of the callers got no response. An entry sent to such a server 1.07 s after it had asked for 3 s:
//! `"code":2020,"codeName":"Overloaded","tookMs":15,"sends":[{"instance":…39,"atMs":3,"ended":"SaidNotRun"},
//! {"instance":…40,"atMs":9,"ended":"SaidNotRun"}]`.

use crate::fixture::{Fleet, configuration};
use crate::servers::{Arrival, Backoff, Behavior, FakeServer};
use crate::{complete_stream, with_groups, with_groups_of, with_plain_servers};
use poem::http::StatusCode as ServerStatus;
use reqwest::StatusCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Requests that are in flight when a server asks for back-off may still arrive for this long.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);
/// Number of requests of one entry that may reach a server after the grace period, during its back-off.
const MAX_DURING_BACKOFF: usize = 2;
/// The back-off that servers ask for, in seconds.
const BACKOFF_S: u64 = 2;
/// Number of concurrent callers, half of them at each entry.
const CALLERS: usize = 12;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);
/// A refusal without waiting arrives within this time, also on a busy machine.
const IMMEDIATE: Duration = Duration::from_millis(400);
/// An entry that knows that a server is leaving sends it nothing after this time.
const LEAVING_GRACE: Duration = Duration::from_millis(1_000);

/// Responses that callers received.
#[derive(Debug, Default)]
struct Outcome {
    answered: usize,
    refused: usize,
    slowest_refusal: Duration,
}

/// Sends requests to both entries for a time. The attempt ids start with the entry.
async fn run_callers(fleet: &Fleet, path: &str, duration: Duration) -> Outcome {
    let until = Instant::now() + duration;
    let caller = |number: usize| async move {
        let entry = (number % 2) as u8;
        let mut outcome = Outcome::default();
        while Instant::now() < until {
            let started = Instant::now();
            let answer = fleet.request(entry, path, &format!("e{entry}-{number}")).send().await;
            match answer.map(|answer| answer.status()) {
                Ok(StatusCode::OK) => outcome.answered += 1,
                _ => {
                    outcome.refused += 1;
                    outcome.slowest_refusal = outcome.slowest_refusal.max(started.elapsed());
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        outcome
    };
    let outcomes = futures::future::join_all((0..CALLERS).map(caller)).await;
    outcomes.into_iter().fold(Outcome::default(), |sum, one| Outcome {
        answered: sum.answered + one.answered,
        refused: sum.refused + one.refused,
        slowest_refusal: sum.slowest_refusal.max(one.slowest_refusal),
    })
}

/// Returns the maximum number of requests of one entry that reached a server during a back-off requested from that entry.
fn max_requests_during_backoff(server: &FakeServer, since: Instant) -> usize {
    let arrivals = server.requests_since(since);
    let of_entry = |entry: &str| -> Vec<&Arrival> {
        arrivals.iter().filter(|arrival| arrival.attempt.starts_with(entry)).collect()
    };
    let max_requests = |arrivals: Vec<&Arrival>| {
        let count_during_backoff = |rejected: &&Arrival| {
            let asked = rejected.backoff.unwrap_or_default();
            let is_within = |at: Instant| at > rejected.at + IN_FLIGHT_GRACE && at < rejected.at + asked;
            arrivals.iter().filter(|arrival| is_within(arrival.at)).count()
        };
        arrivals.iter().map(count_during_backoff).max().unwrap_or(0)
    };
    max_requests(of_entry("e0")).max(max_requests(of_entry("e1")))
}

/// Lets one server ask for back-off, and asserts that it gets it and that the other servers answer the callers.
async fn assert_backoff_is_respected(fleet: &Fleet, path: &str, server: &Arc<FakeServer>, rest: Backoff) {
    let since = Instant::now();
    server.set_behavior(Behavior::RequestsBackoff(rest));
    let outcome = run_callers(fleet, path, Duration::from_secs(2 * BACKOFF_S)).await;
    let asked = server.requests_since(since).iter().filter(|arrival| arrival.backoff.is_some()).count();
    assert!(asked > 0, "the server received no request: {outcome:?}");
    let max_requests = max_requests_during_backoff(server, since);
    assert!(
        max_requests <= MAX_DURING_BACKOFF,
        "{max_requests} requests of one entry during {BACKOFF_S} s of back-off: {outcome:?}"
    );
    assert!(
        outcome.refused * 20 <= outcome.answered,
        "too many refusals while other servers are available: {outcome:?}"
    );
}

/// Starts a fleet with four groups. Three of them have enough slots for all callers, including requests that a dispatcher
/// still counts for a while after they have ended.
async fn with_spare_groups(fleet: Fleet) -> (Fleet, Vec<Arc<FakeServer>>) {
    let (fleet, mut models) = with_groups_of(fleet).await;
    for number in 4..8 {
        models.push(fleet.model_server(number).await);
    }
    fleet.wait_until_open("writer", 4).await;
    (fleet, models)
}

/// Returns the model server that receives the most requests, as the head of its group.
async fn busiest_head(fleet: &Fleet, models: &[Arc<FakeServer>]) -> Arc<FakeServer> {
    let since = Instant::now();
    run_callers(fleet, "/stream/2", Duration::from_millis(300)).await;
    let heads = models.iter().filter(|server| !server.requests_since(since).is_empty());
    heads.max_by_key(|server| server.requests_since(since).len()).unwrap_or(&models[0]).clone()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_group_head_gets_no_requests_during_its_backoff() {
    let (fleet, models) = with_spare_groups(Fleet::start()).await;
    let head = busiest_head(&fleet, &models).await;
    assert_backoff_is_respected(&fleet, "/stream/2", &head, Backoff::of(BACKOFF_S)).await;
    head.set_behavior(Behavior::Normal);
    let since = Instant::now();
    run_callers(&fleet, "/stream/2", Duration::from_secs(2 * BACKOFF_S)).await;
    assert!(!head.requests_since(since).is_empty(), "the server gets no requests after its back-off");
}

/// The same with entries as dispatchers, as in a large fleet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn backoff_of_a_group_head_is_respected_when_entries_dispatch() {
    let (fleet, models) = with_spare_groups(Fleet::start_dispatched(0)).await;
    let head = busiest_head(&fleet, &models).await;
    assert_backoff_is_respected(&fleet, "/stream/2", &head, Backoff::of(BACKOFF_S)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_plain_server_gets_no_requests_during_its_backoff() {
    let (fleet, servers) = with_plain_servers().await;
    assert_backoff_is_respected(&fleet, "/plain/1", &servers[0], Backoff::of(BACKOFF_S)).await;
}

/// Requests that may run at most once respect the back-off as well.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn at_most_once_requests_respect_backoff() {
    let (fleet, servers) = with_plain_servers().await;
    assert_backoff_is_respected(&fleet, "/once/1", &servers[0], Backoff::of(BACKOFF_S)).await;
}

/// The header alone requests the back-off, whether or not the response also says that the request did not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn backoff_is_respected_without_a_not_run_header() {
    let (fleet, servers) = with_plain_servers().await;
    let rest =
        Backoff { status: ServerStatus::TOO_MANY_REQUESTS, says_not_run: false, ..Backoff::of(BACKOFF_S) };
    let since = Instant::now();
    servers[0].set_behavior(Behavior::RequestsBackoff(rest));
    run_callers(&fleet, "/plain/1", Duration::from_secs(2 * BACKOFF_S)).await;
    let max_requests = max_requests_during_backoff(&servers[0], since);
    assert!(
        max_requests <= MAX_DURING_BACKOFF,
        "{max_requests} requests of one entry during {BACKOFF_S} s of back-off"
    );
}

/// While all eligible servers are in back-off, a request is refused immediately as not run, with the time after which the
/// first server accepts requests again. A request after that time is served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_refused_immediately_while_all_servers_back_off() -> reqwest::Result<()> {
    let (fleet, servers) = with_plain_servers().await;
    assert_refused_while_all_back_off(&fleet, "/plain/1", &servers, "plain").await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_refused_immediately_while_all_heads_back_off() -> reqwest::Result<()> {
    let (fleet, models) = with_groups().await;
    assert_refused_while_all_back_off(&fleet, "/stream/2", &models, "id: 1").await
}

async fn assert_refused_while_all_back_off(
    fleet: &Fleet,
    path: &str,
    servers: &[Arc<FakeServer>],
    expected_body: &str,
) -> reqwest::Result<()> {
    let since = Instant::now();
    servers.iter().for_each(|server| server.set_behavior(Behavior::RequestsBackoff(Backoff::of(BACKOFF_S))));
    run_callers(fleet, path, Duration::from_millis(300)).await;
    let asked_at = Instant::now();
    let refused = fleet.request(0, path, "e0-refused").send().await?;
    assert!(asked_at.elapsed() < IMMEDIATE, "{:?}", asked_at.elapsed());
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = refused.headers().get("retry-after").and_then(|value| value.to_str().ok());
    let retry_after_s: f64 = retry_after.and_then(|text| text.parse().ok()).unwrap_or(0.0);
    assert!(
        (0.5..=2.0 * BACKOFF_S as f64).contains(&retry_after_s),
        "Retry-After does not match the back-off: {retry_after:?}"
    );
    let outcome = run_callers(fleet, path, Duration::from_millis(500)).await;
    assert!(outcome.answered == 0 && outcome.slowest_refusal < IMMEDIATE, "{outcome:?}");
    for server in servers {
        let max_requests = max_requests_during_backoff(server, since);
        assert!(
            max_requests <= MAX_DURING_BACKOFF,
            "{max_requests} requests of one entry during {BACKOFF_S} s of back-off"
        );
    }
    servers.iter().for_each(|server| server.set_behavior(Behavior::Normal));
    tokio::time::sleep(Duration::from_secs_f64(retry_after_s) + PAUSE).await;
    let answer = fleet.request(0, path, "e0-back").send().await?;
    let (status, body) = (answer.status(), answer.text().await?);
    assert_eq!(status, StatusCode::OK, "{body}");
    assert!(body.contains(expected_body), "{body}");
    Ok(())
}

/// The announcement in a response precedes the server's next report, and the leader's knowledge. Running requests finish.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_group_head_gets_no_new_requests() -> reqwest::Result<()> {
    let (fleet, models) = with_spare_groups(Fleet::start()).await;
    let head = busiest_head(&fleet, &models).await;
    let since = Instant::now();
    head.announces_leaving.store(true, Ordering::SeqCst);
    let running = fleet.request(0, "/stream/2", "e0-running");
    let running = tokio::spawn(async move { running.send().await?.text().await });
    assert_no_new_requests(&fleet, "/stream/2", &head, since).await;
    let whole = running.await.unwrap_or_else(|error| panic!("{error}"))?;
    assert_eq!(whole, complete_stream());
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_plain_server_gets_no_new_requests() {
    let (fleet, servers) = with_plain_servers().await;
    let since = Instant::now();
    servers[0].announces_leaving.store(true, Ordering::SeqCst);
    assert_no_new_requests(&fleet, "/plain/1", &servers[0], since).await;
}

async fn assert_no_new_requests(fleet: &Fleet, path: &str, server: &Arc<FakeServer>, since: Instant) {
    run_callers(fleet, path, Duration::from_millis(500)).await;
    let arrivals: Vec<Arrival> = server.requests_since(since);
    assert!(
        !arrivals.is_empty(),
        "the server received no request in whose response it could announce its shutdown"
    );
    let drained_at = Instant::now() + LEAVING_GRACE;
    let outcome = run_callers(fleet, path, 2 * LEAVING_GRACE).await;
    let late = server.requests_since(drained_at).len();
    assert_eq!(late, 0, "requests arrived long after the server announced its shutdown: {outcome:?}");
    assert!(
        outcome.refused * 20 <= outcome.answered,
        "too many refusals while other servers are available: {outcome:?}"
    );
}

/// Requests do not wait for servers if all of them are leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_refused_immediately_when_all_servers_are_leaving() {
    let (fleet, servers) = with_plain_servers().await;
    servers.iter().for_each(|server| server.announces_leaving.store(true, Ordering::SeqCst));
    run_callers(&fleet, "/plain/1", Duration::from_millis(500)).await;
    let since = Instant::now();
    let outcome = run_callers(&fleet, "/plain/1", Duration::from_millis(500)).await;
    assert!(servers.iter().all(|server| server.requests_since(since).is_empty()));
    assert!(outcome.answered == 0 && outcome.slowest_refusal < IMMEDIATE, "{outcome:?}");
}

/// Number of servers that reject requests, and the percentage of requests that these reject.
const REJECTION_CASES: [(usize, usize); 12] = [
    (1, 10),
    (1, 50),
    (1, 100),
    (3, 10),
    (3, 50),
    (3, 100),
    (8, 10),
    (8, 50),
    (8, 100),
    (10, 10),
    (10, 50),
    (10, 100),
];
/// Number of servers of the service.
const SERVERS: u8 = 10;
/// Duration of each case.
const CASE_DURATION: Duration = Duration::from_millis(1_500);
/// By the end of this pause, back-offs of one second are over, including their jitter.
const PAUSE_BETWEEN_CASES: Duration = Duration::from_millis(2_200);

/// A rejected request is retried elsewhere, where it may be rejected again. As long as back-offs are respected, these
/// retries do not amplify the load on the servers, however many servers reject whatever part of their requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_do_not_amplify_the_load_of_rejected_requests() {
    let fleet = Fleet::start();
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        servers.push(fleet.plain_server(number).await);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_until_served("/plain/1").await;
    for (rejecting, percent) in REJECTION_CASES {
        let rest = Backoff { percent, ..Backoff::of(1) };
        servers
            .iter()
            .take(rejecting)
            .for_each(|server| server.set_behavior(Behavior::RequestsBackoff(rest)));
        let since = Instant::now();
        let outcome = run_callers(&fleet, "/plain/1", CASE_DURATION).await;
        let arrivals: usize = servers.iter().map(|server| server.requests_since(since).len()).sum();
        let requests = outcome.answered + outcome.refused;
        println!(
            "{rejecting} of {SERVERS} servers reject {percent} %: {requests} requests, {arrivals} arrivals, {outcome:?}"
        );
        // Each of two entries sends one request to each server before it knows of the back-off, and one after each back-off.
        let discovery_requests = 2 * 3 * usize::from(SERVERS);
        assert!(
            arrivals <= requests * 11 / 10 + discovery_requests,
            "{rejecting}, {percent}: {arrivals} for {requests}"
        );
        assert!(outcome.slowest_refusal < IMMEDIATE, "{rejecting}, {percent}: {outcome:?}");
        let has_healthy_server = rejecting < usize::from(SERVERS);
        assert!(
            !has_healthy_server || outcome.refused * 20 <= outcome.answered,
            "{rejecting}, {percent}: {outcome:?}"
        );
        servers.iter().for_each(|server| server.set_behavior(Behavior::Normal));
        tokio::time::sleep(PAUSE_BETWEEN_CASES).await;
    }
}

/// An entry that was suspended during part of a back-off counts the time that has passed: it neither sends immediately nor
/// restarts the back-off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_suspended_entry_respects_the_remaining_backoff() {
    let (fleet, servers) = with_plain_servers().await;
    let since = Instant::now();
    servers[0].set_behavior(Behavior::RequestsBackoff(Backoff::of(BACKOFF_S)));
    run_callers(&fleet, "/plain/1", Duration::from_millis(300)).await;
    servers[0].set_behavior(Behavior::Normal);
    fleet.entries[0].signal("-STOP");
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.entries[0].signal("-CONT");
    run_callers(&fleet, "/plain/1", Duration::from_millis(500)).await;
    let max_requests = max_requests_during_backoff(&servers[0], since);
    assert!(
        max_requests <= MAX_DURING_BACKOFF,
        "{max_requests} requests of one entry during {BACKOFF_S} s of back-off"
    );
    let resumed_at = Instant::now();
    run_callers(&fleet, "/plain/1", Duration::from_secs(2 * BACKOFF_S)).await;
    let after = servers[0].requests_since(resumed_at);
    assert!(
        after.iter().any(|arrival| arrival.attempt.starts_with("e0")),
        "the entry that was suspended sends no requests after the back-off"
    );
}
