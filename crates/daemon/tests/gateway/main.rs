//! End-to-end tests of the gateway without the bench: daemons run as processes and discover each other through seeds,
//! fake servers register themselves and form groups, and the tests inject failures.

mod behavior;
mod cold_servers;
mod configuration_changes;
mod configuration_soak;
mod delegated_leases;
mod evacuation;
mod event_stream;
mod fixture;
mod leader_search;
mod limit_check;
mod limit_soak;
mod planned_stop;
mod poison_prompt_parts;
mod poison_requests;
mod promises;
mod prompt_parts_soak;
mod regions;
mod retry_budget;
mod server_backoff;
mod servers;
mod servers_that_name_a_limit;
mod silent_servers_soak;
mod slow_callers;
mod waiting_for_places;

use fixture::{Fleet, LIMIT, configuration, eventually};
use reqwest::StatusCode;
use servers::{Behavior, EVENTS, FakeServer};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A dispatcher counts a request for up to one second after its entry's last report on it (`FORGET_MS` of the grouping
/// crate); entries report the end of a stream within 0.2 s. After this time, no request that has ended is counted.
const DISPATCHER_FORGETS_WITHIN: Duration = Duration::from_millis(1_300);

/// An entry that has just started has earned few retries: its predecessor may have used those of its part. After this
/// time, it has earned more than the tests below need at once (2.7 per second).
const RETRIES_EARNED_WITHIN: Duration = Duration::from_secs(3);

fn complete_stream() -> String {
    (1..=EVENTS).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

/// Starts a fleet with two groups of two model servers, and waits until it serves.
async fn with_groups() -> (Fleet, Vec<Arc<FakeServer>>) {
    with_groups_of(Fleet::start()).await
}

async fn with_groups_of(fleet: Fleet) -> (Fleet, Vec<Arc<FakeServer>>) {
    let mut models = Vec::new();
    for number in 0..4 {
        models.push(fleet.model_server(number).await);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_until_served("/stream/1").await;
    // The state of the members is not sufficient: an entry learns of an open group after its head has reported to the
    // leader.
    fleet.wait_until_open("writer", 2).await;
    (fleet, models)
}

/// Starts a fleet with two plain servers.
async fn with_plain_servers() -> (Fleet, [Arc<FakeServer>; 2]) {
    let fleet = Fleet::start();
    let servers = [fleet.plain_server(0).await, fleet.plain_server(1).await];
    fleet.configure(&configuration(1)).await;
    fleet.wait_until_known(servers.len()).await;
    fleet.wait_until_served("/plain/1").await;
    (fleet, servers)
}

fn runs(servers: &[Arc<FakeServer>]) -> u32 {
    servers.iter().map(|server| server.runs.load(Ordering::SeqCst)).sum()
}

fn streaming_server(models: &[Arc<FakeServer>]) -> Option<&Arc<FakeServer>> {
    models.iter().find(|server| server.streaming.load(Ordering::SeqCst) > 0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_answered_completely_and_invalid_ones_are_refused() -> reqwest::Result<()> {
    let (fleet, models) = with_groups().await;
    let answer = fleet.request(0, "/stream/2", "a-1").send().await?;
    assert_eq!(answer.headers().get("dockwood-attempt").and_then(|id| id.to_str().ok()), Some("a-1"));
    assert_eq!(answer.text().await?, complete_stream());
    let tenants = models[0].tenants.lock().map(|tenants| tenants.clone()).unwrap_or_default();
    assert!(tenants.iter().all(|tenant| tenant == "x"));
    let status =
        |request: reqwest::RequestBuilder| async move { request.send().await.map(|answer| answer.status()) };
    let url = format!("{}/stream/1", fleet.entry(1));
    let without_key = fleet.http.post(&url).header("host", "h.example");
    assert_eq!(status(without_key).await?, StatusCode::UNAUTHORIZED);
    assert_eq!(status(fleet.request(1, "/nowhere/1", "a-2")).await?, StatusCode::NOT_FOUND);
    let large = fleet.request(1, "/stream/1", "a-3").body(vec![0; 200_000]);
    assert_eq!(status(large).await?, StatusCode::PAYLOAD_TOO_LARGE);
    let unserved = fleet.request(1, "/plain/1", "a-4").send().await?;
    assert_eq!(unserved.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(
        unserved.headers().contains_key("retry-after"),
        "the refusal has no retry time although the request did not run"
    );
    Ok(())
}

/// Returns the log lines of all entries about one request.
fn log_lines_of(fleet: &Fleet, attempt: &str) -> Vec<serde_json::Value> {
    let lines = fleet.entries.iter().flat_map(|entry| entry.log_lines());
    lines.filter(|line| line["kind"] == "request" && line["request"] == attempt).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_request_has_one_log_line_with_its_result() -> reqwest::Result<()> {
    let (fleet, models) = with_groups().await;
    let whole = fleet.request(0, "/stream/2", "whole").send().await?.text().await?;
    assert_eq!(whole, complete_stream());
    fleet.request(1, "/plain/1", "no-server").send().await?;
    fleet.request(1, "/nowhere/1", "no-route").send().await?;
    eventually("warm-up requests are still running", || streaming_server(&models).is_none()).await;
    let disconnecting = tokio::spawn(fleet.request(1, "/stream/2", "left").send());
    eventually("no stream has begun", || streaming_server(&models).is_some()).await;
    disconnecting.abort();
    eventually("the stream of the disconnected caller is still running", || {
        streaming_server(&models).is_none()
    })
    .await;
    let streaming = tokio::spawn(fleet.request(0, "/stream/2", "moved").send());
    eventually("the stream has not begun", || streaming_server(&models).is_some()).await;
    if let Some(server) = streaming_server(&models) {
        server.is_stalled.store(true, Ordering::SeqCst);
    }
    if let Ok(answer) = streaming.await {
        assert_eq!(answer?.text().await?, complete_stream());
    }
    let expected = [
        ("whole", "Ok"),
        ("no-server", "NoServer"),
        ("no-route", "NoRoute"),
        ("moved", "Ok"),
        ("left", "CallerLeft"),
    ];
    for (attempt, code) in expected {
        eventually(&format!("no log line on {attempt}"), || !log_lines_of(&fleet, attempt).is_empty()).await;
        let lines = log_lines_of(&fleet, attempt);
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert_eq!(lines[0]["codeName"], code, "{}", lines[0]);
    }
    let moved = &log_lines_of(&fleet, "moved")[0];
    assert_eq!(moved["sends"][0]["ended"], "Abandoned", "{moved}");
    assert_eq!(moved["sends"][0]["stall"]["cause"], "silent", "{moved}");
    assert_eq!(moved["sends"][0]["stall"]["groupsInUse"], 1, "{moved}");
    assert_eq!(moved["sends"][0]["stall"]["groupsSilent"], 1, "{moved}");
    assert!(moved["sends"][1]["epoch"].is_u64(), "{moved}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stalled_stream_is_resumed_at_another_group_without_gaps_or_duplicates() -> reqwest::Result<()> {
    assert_resumed_elsewhere(with_groups().await).await
}

/// The same with entries as dispatchers, as in a large fleet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stalled_stream_is_resumed_when_entries_dispatch() -> reqwest::Result<()> {
    assert_resumed_elsewhere(with_groups_of(Fleet::start_dispatched(0)).await).await
}

async fn assert_resumed_elsewhere((fleet, models): (Fleet, Vec<Arc<FakeServer>>)) -> reqwest::Result<()> {
    eventually("warm-up requests are still running", || streaming_server(&models).is_none()).await;
    let streaming = tokio::spawn(fleet.request(0, "/stream/2", "a-1").send());
    eventually("the stream has not begun", || streaming_server(&models).is_some()).await;
    tokio::time::sleep(Duration::from_millis(150)).await;
    if let Some(server) = streaming_server(&models) {
        server.is_stalled.store(true, Ordering::SeqCst);
    }
    let answer = streaming.await.unwrap_or_else(|error| panic!("{error}"))?;
    assert_eq!(answer.text().await?, complete_stream());
    assert_eq!(models.iter().filter(|server| server.runs.load(Ordering::SeqCst) > 0).count(), 2);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_is_cancelled_at_the_server_when_its_caller_disconnects() -> reqwest::Result<()> {
    let (fleet, models) = with_groups().await;
    eventually("warm-up requests are still running", || streaming_server(&models).is_none()).await;
    let aborted_streams =
        || models.iter().map(|server| server.aborted_streams.load(Ordering::SeqCst)).sum::<u32>();
    let before = aborted_streams();
    let mut answer = fleet.request(0, "/stream/2", "a-1").send().await?;
    assert!(answer.chunk().await?.is_some());
    drop(answer);
    eventually("the server's stream is not aborted", || aborted_streams() > before).await;
    assert!(streaming_server(&models).is_none(), "another server resumed the stream");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn at_most_once_requests_are_retried_only_if_they_did_not_run() -> reqwest::Result<()> {
    let (fleet, servers) = with_plain_servers().await;
    tokio::time::sleep(RETRIES_EARNED_WITHIN).await;
    servers[0].set_behavior(Behavior::Rejects);
    for number in 0..6 {
        let answer = fleet.request(0, "/once/1", &format!("a-{number}")).send().await?;
        assert_eq!((answer.status(), answer.text().await?), (StatusCode::OK, "plain-1".to_string()));
    }
    servers.iter().for_each(|server| server.set_behavior(Behavior::DropsResponse));
    let before = runs(&servers);
    for number in 0..6 {
        let answer = fleet.request(0, "/once/1", &format!("b-{number}")).send().await?;
        let promises = answer.headers().contains_key("retry-after");
        assert_eq!((answer.status(), promises), (StatusCode::BAD_GATEWAY, false), "{}", answer.text().await?);
    }
    assert_eq!(runs(&servers) - before, 6);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeatable_requests_are_retried_at_another_server() -> reqwest::Result<()> {
    let (fleet, servers) = with_plain_servers().await;
    tokio::time::sleep(RETRIES_EARNED_WITHIN).await;
    servers[0].set_behavior(Behavior::DropsResponse);
    for number in 0..6 {
        let answer = fleet.request(1, "/plain/1", &format!("a-{number}")).send().await?;
        assert_eq!((answer.status(), answer.text().await?), (StatusCode::OK, "plain-1".to_string()));
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_server_gets_no_new_requests() -> reqwest::Result<()> {
    let (fleet, servers) = with_plain_servers().await;
    servers[0].drain();
    // Its next report contains the new state, which is sent to the entries immediately.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = servers[0].runs.load(Ordering::SeqCst);
    for number in 0..10 {
        let answer = fleet.request(number % 2, "/plain/1", &format!("a-{number}")).send().await?;
        assert_eq!(answer.status(), StatusCode::OK);
    }
    assert_eq!(servers[0].runs.load(Ordering::SeqCst), before);
    Ok(())
}

/// Guards against a fault found in a search with random faults: streams were moved away from groups that were only
/// completing their remaining requests, and some of them found no place at another group.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_completes_at_its_group_when_members_drain() -> reqwest::Result<()> {
    let (fleet, models) = with_groups().await;
    eventually("warm-up requests are still running", || streaming_server(&models).is_none()).await;
    let before = runs(&models);
    let streaming = tokio::spawn(fleet.request(0, "/stream/2", "a-1").send());
    eventually("the stream has not begun", || streaming_server(&models).is_some()).await;
    models.iter().for_each(|server| server.drain());
    let answer = streaming.await.unwrap_or_else(|error| panic!("{error}"))?;
    assert_eq!(answer.text().await?, complete_stream());
    assert_eq!(runs(&models) - before, 1, "the stream did not run exactly once");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_of_an_entry_interrupts_no_stream() -> reqwest::Result<()> {
    let (mut fleet, models) = with_groups().await;
    eventually("warm-up requests are still running", || streaming_server(&models).is_none()).await;
    let streaming = tokio::spawn(fleet.request(0, "/stream/2", "a-1").send());
    eventually("the stream has not begun", || streaming_server(&models).is_some()).await;
    fleet.entries[0].terminate();
    let answer = streaming.await.unwrap_or_else(|error| panic!("{error}"))?;
    assert_eq!(answer.text().await?, complete_stream());
    let started = std::time::Instant::now();
    while !fleet.entries[0].has_exited() {
        assert!(started.elapsed() < LIMIT, "the entry does not exit");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let answer = fleet.request(1, "/stream/2", "a-2").send().await?;
    assert_eq!(answer.text().await?, complete_stream());
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_survives_the_loss_of_one_disk_after_another() {
    let mut fleet = Fleet::start();
    fleet.configure(&configuration(1)).await;
    for lost in 0..3 {
        let version = lost as u64 + 2;
        fleet.configure(&configuration(version)).await;
        fleet.members[lost].kill();
        let folder = fleet.members[lost].data_directory.clone();
        std::fs::remove_dir_all(folder).unwrap_or_else(|error| panic!("{error}"));
        let name = format!("member-{lost}");
        let mut replaced = fleet.daemon(&name, lost as u8, true, false);
        replaced.start();
        fleet.members[lost] = replaced;
        // The member must be a voter again before the next disk is lost.
        fleet.configure(&configuration(version + 100 * (lost as u64 + 1))).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    assert_eq!(fleet.settled_version().await, Some(304));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_configuration_survives_a_crash_of_all_members() {
    let mut fleet = Fleet::start();
    fleet.configure(&configuration(7)).await;
    fleet.configure(&configuration(5)).await;
    assert_eq!(
        fleet.settled_version().await,
        Some(7),
        "the configuration with the highest version is not in force"
    );
    fleet.members.iter_mut().for_each(fixture::Daemon::kill);
    assert_eq!(fleet.read_version().await, None);
    fleet.members.iter_mut().for_each(fixture::Daemon::start);
    assert_eq!(fleet.settled_version().await, Some(7));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_member_without_a_majority_does_not_return_the_configuration() {
    let mut fleet = Fleet::start();
    fleet.configure(&configuration(3)).await;
    fleet.members[0].kill();
    fleet.members[1].kill();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.read_version().await, None);
    fleet.members[0].start();
    assert_eq!(fleet.settled_version().await, Some(3));
}

/// In a large fleet, an entry gets its places from a dispatcher, and does not use its own load figures while the
/// dispatcher responds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dispatcher_spreads_the_requests_of_all_entries() -> reqwest::Result<()> {
    let (mut fleet, models) = with_groups_of(Fleet::start_dispatched(0)).await;
    eventually("warm-up requests are still running", || streaming_server(&models).is_none()).await;
    tokio::time::sleep(DISPATCHER_FORGETS_WITHIN).await;
    let runs_of_each =
        || -> Vec<u32> { models.iter().map(|server| server.runs.load(Ordering::SeqCst)).collect() };
    let before = runs_of_each();
    let both = [fleet.request(0, "/stream/2", "a-1").send(), fleet.request(1, "/stream/2", "a-2").send()];
    for answer in futures::future::join_all(both).await {
        assert_eq!(answer?.text().await?, complete_stream());
    }
    let mut additional: Vec<u32> =
        runs_of_each().iter().zip(&before).map(|(after, before)| after - before).collect();
    additional.sort_unstable();
    assert_eq!(additional, [0, 0, 1, 1], "the two streams do not run at different groups");
    let assigned = fleet.peer_calls(0, "assign_place").await? + fleet.peer_calls(1, "assign_place").await?;
    assert!(assigned >= 2.0, "only {assigned} places were assigned by entries");
    // Without the dispatchers and the leader, entries use their own load figures.
    fleet.members.iter_mut().for_each(fixture::Daemon::kill);
    let answer = fleet.request(0, "/stream/2", "a-3").send().await?;
    assert_eq!(answer.text().await?, complete_stream());
    Ok(())
}

/// Guards against a fault in which daemons without a disk never returned the configuration. In a fleet in which 22 of
/// the 27 daemons that accept operators' calls had no disk, an operator that tried several of them in turn gave up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_diskless_daemon_returns_the_configuration_and_accepts_reports() -> reqwest::Result<()> {
    let fleet = Fleet::start();
    fleet.configure(&configuration(4)).await;
    let mut other = fleet.diskless_daemon();
    other.start();
    let started = std::time::Instant::now();
    while fleet.version_at(fleet.diskless_daemon_operators()).await != Some(4) {
        assert!(started.elapsed() < LIMIT, "the daemon does not return the configuration");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.configure(&configuration(9)).await;
    let read = fleet.version_at(fleet.diskless_daemon_operators()).await;
    assert!(
        matches!(read, None | Some(9)),
        "the daemon returns a version other than the acknowledged one: {read:?}"
    );
    let (id, address) = ("plain-0", fleet.server_address(10));
    let _server =
        FakeServer::start(id, "board", None, address, vec![fleet.diskless_daemon_operators()]).await;
    fleet.wait_until_served("/plain/1").await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_survive_sighup() -> reqwest::Result<()> {
    let (mut fleet, _servers) = with_plain_servers().await;
    for daemon in fleet.members.iter_mut().chain(&mut fleet.entries) {
        daemon.signal("-HUP");
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!fleet.members.iter_mut().chain(&mut fleet.entries).any(fixture::Daemon::has_exited));
    let answer = fleet.request(0, "/plain/1", "a-1").send().await?;
    assert_eq!(answer.status(), StatusCode::OK);
    Ok(())
}

/// Guards against a fault in which four of eleven entries were partitioned from the control group for seven seconds,
/// lost their leases after three, and refused the callers of a whole zone although they could reach the other entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_without_a_path_to_members_gets_its_lease_through_another_entry() -> reqwest::Result<()> {
    let (fleet, _servers) = with_plain_servers().await;
    let mut partitioned = fleet.entry_with_seed(0);
    partitioned.start();
    let number = fleet.entries.len() as u8;
    let started = std::time::Instant::now();
    loop {
        let answer = fleet.request(number, "/plain/1", "a-1").send().await;
        if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
            break;
        }
        assert!(started.elapsed() < LIMIT, "the entry does not serve");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(fleet.relayed_calls(0).await? > 0.0, "the other entry relayed no calls");
    partitioned.kill();
    Ok(())
}

/// Guards against a fault in which callers of interrupted streams, after all daemons had been down, retried at daemons
/// that had just started, were refused, and had no attempt left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_caller_of_an_interrupted_stream_waits_for_a_starting_daemon() -> reqwest::Result<()> {
    let fleet = Fleet::start();
    let server = fleet.plain_server(0).await;
    eventually("the server is not registered", || server.is_registered.load(Ordering::SeqCst)).await;
    let started = std::time::Instant::now();
    while fleet.request(0, "/plain/1", "a-0").send().await.is_err() {
        assert!(started.elapsed() < LIMIT, "the entry does not listen");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let refused = fleet.request(0, "/plain/1", "a-1").send().await?;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE, "a first attempt is not refused");
    let retry = tokio::spawn(fleet.request(0, "/plain/1", "a-2").header("last-event-id", "3").send());
    fleet.configure(&configuration(1)).await;
    let answer = retry.await.unwrap_or_else(|error| panic!("{error}"))?;
    assert_eq!(answer.status(), StatusCode::OK);
    Ok(())
}
