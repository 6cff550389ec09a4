//! Requests that may run in some regions only. The daemons stand in zone `z` of region `r`; zone `y` lies in region
//! `s`.

use super::fixture::{Fleet, LIMIT, configuration, eventually};
use super::servers::{FakeServer, Manner};
use super::{runs, serving, whole_stream};
use reqwest::{RequestBuilder, Response, StatusCode};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Target for the first event where a test tells a refusal at once from one after a wait, which takes half of it.
const DISTANT_TARGET_MS: u64 = 8_000;
/// Generous for a busy machine, and far below that wait and the requests' time limit.
const AT_ONCE: Duration = Duration::from_secs(1);

/// All routes allow the regions that are given; three tenants allow any, `r` alone and `s` alone.
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

/// One plain server in each region.
pub async fn with_plain_servers(regions: &[&str]) -> (Fleet, [Arc<FakeServer>; 2]) {
    let fleet = Fleet::start();
    let servers = [fleet.plain_server_in("z", 0).await, fleet.plain_server_in("y", 1).await];
    eventually("both are registered", || {
        servers.iter().all(|server| server.is_registered.load(Ordering::SeqCst))
    })
    .await;
    fleet.configure(&restricted(1, regions)).await;
    fleet.wait_until_served("/plain/1").await;
    (fleet, servers)
}

/// One group in each region.
pub async fn with_groups(fleet: Fleet) -> (Fleet, [Vec<Arc<FakeServer>>; 2]) {
    let near = vec![fleet.model_server_in("z", 0).await, fleet.model_server_in("z", 1).await];
    let far = vec![fleet.model_server_in("y", 2).await, fleet.model_server_in("y", 3).await];
    fleet.configure(&restricted(1, &["r"])).await;
    fleet.wait_until_served("/stream/1").await;
    fleet.wait_until_open("writer", 2).await;
    (fleet, [near, far])
}

/// A request that came with this key instead.
fn with_key(fleet: &Fleet, path: &str, key: &str, attempt: &str) -> RequestBuilder {
    let url = format!("{}{path}", fleet.entry(0));
    let request = fleet.http.post(url).header("host", "h.example").timeout(LIMIT);
    request
        .header("authorization", format!("Bearer {key}"))
        .header("dockwood-attempt", attempt)
        .header("dockwood-model", "m")
}

/// Status, number of the code, and whether a time to come back is told.
pub async fn refusal(answer: Response) -> reqwest::Result<(StatusCode, Value, bool)> {
    let (status, is_timed) = (answer.status(), answer.headers().contains_key("retry-after"));
    let body: Value = answer.json().await?;
    Ok((status, body["error"]["code"].clone(), is_timed))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_run_in_the_regions_that_route_and_tenant_allow() -> reqwest::Result<()> {
    let (fleet, servers) = with_plain_servers(&["r"]).await;
    for number in 0..12 {
        let path = if number % 3 == 0 { "/once/1" } else { "/plain/1" };
        let answer = fleet.request(number % 2, path, &format!("a-{number}")).send().await?;
        assert_eq!(answer.text().await?, "plain-0");
    }
    let excluded = with_key(&fleet, "/plain/1", "key-s", "b-1").send().await?;
    let refused = (StatusCode::SERVICE_UNAVAILABLE, json!(2030), false);
    assert_eq!(refusal(excluded).await?, refused, "no region is allowed by both, and no wait mends that");
    assert_eq!(runs(&servers[1..]), 0);
    fleet.configure(&restricted(2, &[])).await;
    let begun = Instant::now();
    while with_key(&fleet, "/plain/1", "key-s", "b-2").send().await?.status() != StatusCode::OK {
        assert!(begun.elapsed() < LIMIT, "the tenant is never served in its region");
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
async fn a_call_that_fails_or_finds_no_place_in_its_region_goes_nowhere_else() -> reqwest::Result<()> {
    let (fleet, servers) = with_plain_servers(&["r"]).await;
    servers[0].set_manner(Manner::LosesAnswers);
    let lost = fleet.request(0, "/plain/1", "a-1").send().await?;
    assert_eq!(refusal(lost).await?, (StatusCode::BAD_GATEWAY, json!(3001), false), "it may have run");
    servers[0].set_manner(Manner::Sheds);
    for path in ["/plain/1", "/once/1"] {
        let shed = fleet.request(1, path, "a-2").send().await?;
        assert_eq!(refusal(shed).await?, (StatusCode::SERVICE_UNAVAILABLE, json!(2030), true), "{path}");
    }
    servers[0].set_manner(Manner::Sound);
    servers[0].drain();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let begun = Instant::now();
    let gone = fleet.request(0, "/plain/1", "a-3").send().await?;
    assert!(begun.elapsed() < AT_ONCE, "refused after {:?}", begun.elapsed());
    assert_eq!(refusal(gone).await?, (StatusCode::SERVICE_UNAVAILABLE, json!(2030), true));
    assert_eq!(runs(&servers[1..]), 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_begins_and_goes_on_in_its_region_alone() -> reqwest::Result<()> {
    stays_in_its_region(with_groups(Fleet::start()).await).await
}

/// The same where the entries dispatch for each other, as in a large fleet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_stays_in_its_region_also_where_entries_dispatch() -> reqwest::Result<()> {
    stays_in_its_region(with_groups(Fleet::start_dispatched(0)).await).await
}

async fn stays_in_its_region(
    (fleet, [near, far]): (Fleet, [Vec<Arc<FakeServer>>; 2]),
) -> reqwest::Result<()> {
    for number in 0..6 {
        let answer = fleet.request(number % 2, "/stream/2", &format!("a-{number}")).send().await?;
        assert_eq!(answer.text().await?, whole_stream());
    }
    let excluded = with_key(&fleet, "/stream/2", "key-s", "b-1").send().await?;
    assert_eq!(refusal(excluded).await?, (StatusCode::SERVICE_UNAVAILABLE, json!(2030), false));
    eventually("earlier streams have left", || serving(&near).is_none()).await;
    let streaming = tokio::spawn(fleet.request(0, "/stream/2", "b-2").send());
    eventually("the stream has begun", || serving(&near).is_some()).await;
    // Some events have been passed on by then, so that its answer is a stream that is cut.
    tokio::time::sleep(Duration::from_millis(150)).await;
    near.iter().for_each(|server| server.stands_still.store(true, Ordering::SeqCst));
    if let Ok(answer) = streaming.await {
        // The group elsewhere could go on with it, and must not.
        assert!(answer?.text().await.is_err(), "the stream is cut, as no group in its region is left");
    }
    let refused = fleet.request(1, "/stream/2", "b-3").send().await?;
    let (status, _, is_timed) = refusal(refused).await?;
    assert_eq!((status, is_timed), (StatusCode::SERVICE_UNAVAILABLE, true));
    assert_eq!(runs(&far), 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_whose_region_has_no_group_does_not_wait_for_a_place() -> reqwest::Result<()> {
    let fleet = Fleet::start();
    let near = [fleet.model_server_in("z", 0).await, fleet.model_server_in("z", 1).await];
    let mut configuration = restricted(1, &["s"]);
    configuration["routes"][0]["target_latency_ms"] = json!(DISTANT_TARGET_MS);
    fleet.configure(&configuration).await;
    fleet.wait_until_open("writer", 1).await;
    let begun = Instant::now();
    let refused = fleet.request(0, "/stream/1", "a-1").send().await?;
    assert!(begun.elapsed() < AT_ONCE, "refused after {:?}", begun.elapsed());
    assert_eq!(refusal(refused).await?, (StatusCode::SERVICE_UNAVAILABLE, json!(2030), true));
    assert_eq!(runs(&near), 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn regions_without_a_zone_are_accepted_and_told_of_once() -> reqwest::Result<()> {
    let fleet = Fleet::start();
    let _server = fleet.plain_server(0).await;
    fleet.configure(&restricted(1, &["nowhere"])).await;
    fleet.configure(&restricted(2, &["nowhere"])).await;
    let begun = Instant::now();
    while refusal(fleet.request(0, "/plain/1", "a-1").send().await?).await?.1 != json!(2030) {
        assert!(begun.elapsed() < LIMIT, "the configuration is never in force");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.configure(&restricted(3, &["nowhere", "r"])).await;
    fleet.wait_until_served("/plain/1").await;
    let told = fleet.entries[0].log_lines().into_iter().filter(|line| line["reason"] == "RegionsUnknown");
    assert_eq!(told.count(), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_directory_leaves_the_callers_region_only_while_that_has_no_entry() {
    let fleet = Fleet::start();
    let mut elsewhere = fleet.entry_in("y", "s");
    elsewhere.start();
    let near = [fleet.frontend(0), fleet.frontend(1)];
    let far = [fleet.frontend_elsewhere()];
    fleet.wait_until_directory(0, "zone=z&region=r", &near).await;
    fleet.wait_until_directory(0, "zone=y&region=s", &far).await;
    assert_eq!(fleet.directory(0, "zone=y").await, far, "the region follows from the zone");
    assert_eq!(fleet.directory(0, "zone=z&region=r").await, near, "and stays apart");
    assert_eq!(fleet.directory(0, "zone=unknown&region=r").await, near);
    assert_eq!(fleet.directory(0, "").await, [near[0], near[1], far[0]], "neither is told");
    elsewhere.kill();
    fleet.wait_until_directory(0, "zone=y&region=s", &near).await;
}
