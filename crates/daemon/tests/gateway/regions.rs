//! Requests that may run only in some regions. The daemons run in zone `z` of region `r`; zone `y` belongs to region `s`.

use super::fixture::{Fleet, LIMIT, configuration, eventually};
use super::servers::{Behavior, FakeServer};
use super::{complete_stream, runs, streaming_server};
use reqwest::{RequestBuilder, Response, StatusCode};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// First-event target of a test that distinguishes an immediate refusal from one after waiting for half of the target.
const LONG_TARGET_MS: u64 = 8_000;
/// An immediate refusal arrives within this time, also on a busy machine. Much shorter than that wait and the requests'
/// time limit.
const IMMEDIATE: Duration = Duration::from_secs(1);

/// Returns a configuration whose routes allow the given regions, with three tenants: one allows any region, one only
/// `r`, and one only `s`.
fn restricted(version: u64, regions: &[&str]) -> Value {
    let mut configuration = configuration(version);
    for route in configuration["routes"].as_array_mut().into_iter().flatten() {
        route["allowed_regions"] = json!(regions);
    }
    configuration["tenants"] = json!([
        { "name": "x", "keys": ["key-1"], "priority": null },
        { "name": "in-r", "keys": ["key-r"], "priority": null, "allowed_regions": ["r"] },
        { "name": "in-s", "keys": ["key-s"], "priority": null, "allowed_regions": ["s"] },
    ]);
    configuration
}

/// Starts a fleet with one plain server in each region.
pub async fn with_plain_servers(regions: &[&str]) -> (Fleet, [Arc<FakeServer>; 2]) {
    let fleet = Fleet::start();
    let servers = [fleet.plain_server_in("z", 0).await, fleet.plain_server_in("y", 1).await];
    eventually("the servers are not registered", || {
        servers.iter().all(|server| server.is_registered.load(Ordering::SeqCst))
    })
    .await;
    fleet.configure(&restricted(1, regions)).await;
    fleet.wait_until_served("/plain/1").await;
    (fleet, servers)
}

/// Starts a fleet with one group in each region.
pub async fn with_groups(fleet: Fleet) -> (Fleet, [Vec<Arc<FakeServer>>; 2]) {
    let near = vec![fleet.model_server_in("z", 0).await, fleet.model_server_in("z", 1).await];
    let far = vec![fleet.model_server_in("y", 2).await, fleet.model_server_in("y", 3).await];
    fleet.configure(&restricted(1, &["r"])).await;
    fleet.wait_until_served("/stream/1").await;
    fleet.wait_until_open("writer", 2).await;
    (fleet, [near, far])
}

/// Creates a request with another API key.
fn with_key(fleet: &Fleet, path: &str, key: &str, attempt: &str) -> RequestBuilder {
    let url = format!("{}{path}", fleet.entry(0));
    let request = fleet.http.post(url).header("host", "h.example").timeout(LIMIT);
    request
        .header("authorization", format!("Bearer {key}"))
        .header("dockwood-attempt", attempt)
        .header("dockwood-model", "m")
}

/// Returns the status and the result code of a refusal, and whether it has a retry time.
pub async fn refusal(answer: Response) -> reqwest::Result<(StatusCode, Value, bool)> {
    let (status, has_retry_time) = (answer.status(), answer.headers().contains_key("retry-after"));
    let body: Value = answer.json().await?;
    Ok((status, body["error"]["code"].clone(), has_retry_time))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_run_only_in_regions_that_route_and_tenant_allow() -> reqwest::Result<()> {
    let (fleet, servers) = with_plain_servers(&["r"]).await;
    for number in 0..12 {
        let path = if number % 3 == 0 { "/once/1" } else { "/plain/1" };
        let answer = fleet.request(number % 2, path, &format!("a-{number}")).send().await?;
        assert_eq!(answer.text().await?, "plain-0");
    }
    let excluded = with_key(&fleet, "/plain/1", "key-s", "b-1").send().await?;
    let refused = (StatusCode::SERVICE_UNAVAILABLE, json!(2030), false);
    assert_eq!(
        refusal(excluded).await?,
        refused,
        "a request without a region that both allow is not refused finally"
    );
    assert_eq!(runs(&servers[1..]), 0);
    fleet.configure(&restricted(2, &[])).await;
    let started = Instant::now();
    while with_key(&fleet, "/plain/1", "key-s", "b-2").send().await?.status() != StatusCode::OK {
        assert!(started.elapsed() < LIMIT, "the tenant is not served in its region");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for number in 0..10 {
        let near = with_key(&fleet, "/plain/1", "key-r", &format!("c-{number}")).send().await?;
        assert_eq!(near.text().await?, "plain-0");
        let far = with_key(&fleet, "/once/1", "key-s", &format!("d-{number}")).send().await?;
        assert_eq!(far.text().await?, "plain-1");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failed_or_refused_request_is_not_sent_to_another_region() -> reqwest::Result<()> {
    let (fleet, servers) = with_plain_servers(&["r"]).await;
    servers[0].set_behavior(Behavior::DropsResponse);
    let lost = fleet.request(0, "/plain/1", "a-1").send().await?;
    assert_eq!(
        refusal(lost).await?,
        (StatusCode::BAD_GATEWAY, json!(3001), false),
        "the request may have run"
    );
    servers[0].set_behavior(Behavior::Rejects);
    for path in ["/plain/1", "/once/1"] {
        let shed = fleet.request(1, path, "a-2").send().await?;
        assert_eq!(refusal(shed).await?, (StatusCode::SERVICE_UNAVAILABLE, json!(2030), true), "{path}");
    }
    servers[0].set_behavior(Behavior::Normal);
    servers[0].drain();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let started = Instant::now();
    let gone = fleet.request(0, "/plain/1", "a-3").send().await?;
    assert!(started.elapsed() < IMMEDIATE, "refused after {:?}", started.elapsed());
    assert_eq!(refusal(gone).await?, (StatusCode::SERVICE_UNAVAILABLE, json!(2030), true));
    assert_eq!(runs(&servers[1..]), 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_is_started_and_resumed_only_in_its_region() -> reqwest::Result<()> {
    assert_stays_in_region(with_groups(Fleet::start()).await).await
}

/// The same with entries as dispatchers, as in a large fleet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_stays_in_its_region_when_entries_dispatch() -> reqwest::Result<()> {
    assert_stays_in_region(with_groups(Fleet::start_dispatched(0)).await).await
}

async fn assert_stays_in_region(
    (fleet, [near, far]): (Fleet, [Vec<Arc<FakeServer>>; 2]),
) -> reqwest::Result<()> {
    for number in 0..6 {
        let answer = fleet.request(number % 2, "/stream/2", &format!("a-{number}")).send().await?;
        assert_eq!(answer.text().await?, complete_stream());
    }
    let excluded = with_key(&fleet, "/stream/2", "key-s", "b-1").send().await?;
    assert_eq!(refusal(excluded).await?, (StatusCode::SERVICE_UNAVAILABLE, json!(2030), false));
    eventually("earlier streams are still running", || streaming_server(&near).is_none()).await;
    let streaming = tokio::spawn(fleet.request(0, "/stream/2", "b-2").send());
    eventually("the stream has not begun", || streaming_server(&near).is_some()).await;
    // By then some events have been forwarded, so that the response is a truncated stream.
    tokio::time::sleep(Duration::from_millis(150)).await;
    near.iter().for_each(|server| server.is_stalled.store(true, Ordering::SeqCst));
    if let Ok(answer) = streaming.await {
        // The group in the other region must not resume the stream.
        assert!(
            answer?.text().await.is_err(),
            "the stream is complete although no group is left in its region"
        );
    }
    let refused = fleet.request(1, "/stream/2", "b-3").send().await?;
    let (status, _, has_retry_time) = refusal(refused).await?;
    assert_eq!((status, has_retry_time), (StatusCode::SERVICE_UNAVAILABLE, true));
    assert_eq!(runs(&far), 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_does_not_wait_if_its_region_has_no_group() -> reqwest::Result<()> {
    let fleet = Fleet::start();
    let near = [fleet.model_server_in("z", 0).await, fleet.model_server_in("z", 1).await];
    let mut configuration = restricted(1, &["s"]);
    configuration["routes"][0]["target_latency_ms"] = json!(LONG_TARGET_MS);
    fleet.configure(&configuration).await;
    fleet.wait_until_open("writer", 1).await;
    let started = Instant::now();
    let refused = fleet.request(0, "/stream/1", "a-1").send().await?;
    assert!(started.elapsed() < IMMEDIATE, "refused after {:?}", started.elapsed());
    assert_eq!(refusal(refused).await?, (StatusCode::SERVICE_UNAVAILABLE, json!(2030), true));
    assert_eq!(runs(&near), 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn regions_without_a_zone_are_accepted_and_reported_once() -> reqwest::Result<()> {
    let fleet = Fleet::start();
    let _server = fleet.plain_server(0).await;
    fleet.configure(&restricted(1, &["nowhere"])).await;
    fleet.configure(&restricted(2, &["nowhere"])).await;
    let started = Instant::now();
    while refusal(fleet.request(0, "/plain/1", "a-1").send().await?).await?.1 != json!(2030) {
        assert!(started.elapsed() < LIMIT, "the configuration is not in force");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.configure(&restricted(3, &["nowhere", "r"])).await;
    fleet.wait_until_served("/plain/1").await;
    let reported = fleet.entries[0].log_lines().into_iter().filter(|line| line["reason"] == "RegionsUnknown");
    assert_eq!(reported.count(), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_directory_lists_other_regions_only_if_the_callers_has_no_entry() {
    let fleet = Fleet::start();
    let mut elsewhere = fleet.entry_in("y", "s");
    elsewhere.start();
    let near = [fleet.frontend(0), fleet.frontend(1)];
    let far = [fleet.frontend_in_other_region()];
    fleet.wait_until_directory(0, "zone=z&region=r", &near).await;
    fleet.wait_until_directory(0, "zone=y&region=s", &far).await;
    assert_eq!(fleet.directory(0, "zone=y").await, far, "the region is not derived from the zone");
    assert_eq!(fleet.directory(0, "zone=z&region=r").await, near, "entries in another region are listed");
    assert_eq!(fleet.directory(0, "zone=unknown&region=r").await, near);
    assert_eq!(
        fleet.directory(0, "").await,
        [near[0], near[1], far[0]],
        "not all entries are listed without zone and region"
    );
    elsewhere.kill();
    fleet.wait_until_directory(0, "zone=y&region=s", &near).await;
}
