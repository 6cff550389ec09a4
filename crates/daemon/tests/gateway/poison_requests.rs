//! A caller sent the same request again and again, and each server that began to run it ended some 50 ms later. Every
//! layer repeated it: the entry went on with the cut stream at the next server, the caller retried, and its next try came
//! with a new id to another entry. Each try was judged by itself, so nothing remembered what the tries before had done:
//! 36 servers ended under one such request and 46 under another, which were sent 13 and 18 times more than three seconds
//! after the third, and of 257 requests for the same model in three of those seconds 37 were answered in time. What
//! settled it was one try at two servers, each of which ended 56 ms after it had begun to run it, whatever else it ran:
//! begun at 43.480 s, ended at 43.536 s; begun at the next one at 43.712 s, ended at 43.768 s.

use super::fixture::{Daemon, Fleet, LIMIT, OPERATOR_TOKEN, configuration, eventually};
use super::servers::{ENDS_SERVERS, FakeServer, KEEPS_ID, Manner};
use super::whole_stream;
use reqwest::{Method, StatusCode};
use serde_json::Value;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Entries up to which the leader dispatches, where it is to dispatch for the two of these tests.
const SMALL_FLEET: u32 = 64;
/// The same where they are to dispatch for each other.
const LARGE_FLEET: u32 = 0;
/// What is answered to a request under quarantine.
const QUARANTINED: u64 = 3_009;
/// An entry that is stopped for this long knows that it did not run, and its lease still holds.
const STANDS_STILL: Duration = Duration::from_millis(400);
/// Servers that end under a request before the fleet must know it.
const ENDED: usize = 3;
/// Time that the fleet has to know it everywhere: the bound that operators were promised.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Sends that are allowed after that, over all entries.
const MOST_SENDS_LATER: usize = 3;
/// Servers that may end under it in all: the sends before the third has ended, and those allowed later.
const MOST_ENDED: usize = ENDED + MOST_SENDS_LATER;

/// A fleet with two groups of model servers in each of two zones.
async fn with_four_groups(leader_dispatches_up_to: u32) -> (Fleet, Vec<Arc<FakeServer>>) {
    let fleet = Fleet::start_dispatched(leader_dispatches_up_to);
    let mut models = Vec::new();
    for (number, zone) in ["z", "z", "z", "z", "y", "y", "y", "y"].into_iter().enumerate() {
        models.push(fleet.model_server_in(zone, number as u8).await);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_until_served("/stream/1").await;
    fleet.wait_until_open("writer", 4).await;
    (fleet, models)
}

/// A fleet with two plain servers in each of two zones.
async fn with_four_plain_servers() -> (Fleet, Vec<Arc<FakeServer>>) {
    let fleet = Fleet::start();
    let mut servers = Vec::new();
    for number in 0..4 {
        let zone = if number % 2 == 0 { "z" } else { "y" };
        servers.push(fleet.plain_server_in(zone, number).await);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_until_served("/plain/1").await;
    (fleet, servers)
}

/// When requests that end servers arrived at servers, in order.
fn arrivals(servers: &[Arc<FakeServer>]) -> Vec<Instant> {
    let of =
        |server: &Arc<FakeServer>| server.fatal_arrivals.lock().map(|all| all.clone()).unwrap_or_default();
    let mut all: Vec<Instant> = servers.iter().flat_map(of).collect();
    all.sort();
    all
}

/// Sends the fatal request once more, to one entry after the other.
async fn send_fatal(fleet: &Fleet, path: &str, number: u32) {
    let request = fleet.request((number % 2) as u8, path, &format!("fatal-{number}"));
    // Cut midway, refused or failed: its caller comes again in any case.
    if let Ok(answer) = request.body(ENDS_SERVERS).send().await {
        let _ = answer.text().await;
    }
}

/// Sends the fatal request from two callers' machines until the bound has passed and for a second after it.
async fn insist(fleet: &Fleet, servers: &[Arc<FakeServer>], path: &str) {
    let mut number = 0;
    loop {
        tokio::join!(send_fatal(fleet, path, number), send_fatal(fleet, path, number + 1));
        number += 2;
        let third = arrivals(servers).get(ENDED - 1).copied();
        if third.is_some_and(|at| at.elapsed() > KNOWN_WITHIN + Duration::from_secs(1)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn assert_contained(arrivals: &[Instant]) {
    let known_at = arrivals[ENDED - 1] + KNOWN_WITHIN;
    let later = arrivals.iter().filter(|at| **at > known_at).count();
    assert!(later <= MOST_SENDS_LATER, "sent {later} times more after three servers had ended under it");
    assert!(arrivals.len() <= MOST_ENDED, "{} servers ended under it", arrivals.len());
}

#[yare::parameterized(
    the_leader_dispatches = { SMALL_FLEET },
    entries_dispatch = { LARGE_FLEET },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_request_under_which_three_servers_have_ended_is_sent_to_no_more(
    leader_dispatches_up_to: u32,
) -> reqwest::Result<()> {
    let (fleet, models) = with_four_groups(leader_dispatches_up_to).await;
    insist(&fleet, &models, "/stream/2").await;
    assert_contained(&arrivals(&models));
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_same_holds_for_servers_of_plain_services() -> reqwest::Result<()> {
    let (fleet, servers) = with_four_plain_servers().await;
    insist(&fleet, &servers, "/plain/2").await;
    assert_contained(&arrivals(&servers));
    Ok(())
}

/// Callers that share servers with such a request lose nothing but a moment: what ran beside it goes on elsewhere, and
/// the same path and another body are another request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_ran_beside_such_a_request_is_answered_whole() -> reqwest::Result<()> {
    let (fleet, models) = with_four_groups(SMALL_FLEET).await;
    let beside: Vec<_> = (0..8)
        .map(|number| {
            let request = fleet.request(number % 2, "/stream/2", &format!("beside-{number}"));
            tokio::spawn(request.body(format!("body {number}")).send())
        })
        .collect();
    eventually("streams have begun", || models.iter().any(|server| server.runs.load(Ordering::SeqCst) > 0))
        .await;
    send_fatal(&fleet, "/stream/2", 0).await;
    for stream in beside {
        let answer = stream.await.unwrap_or_else(|error| panic!("{error}"))?;
        assert_eq!(answer.status(), StatusCode::OK);
        // A panic keeps the daemons' logs.
        let text = answer.text().await.unwrap_or_else(|error| panic!("{error:?}"));
        assert_eq!(text, whole_stream());
    }
    insist(&fleet, &models, "/stream/2").await;
    fleet.wait_until_open("writer", 4).await;
    for number in 0..8 {
        let request = fleet.request(number % 2, "/stream/2", &format!("after-{number}"));
        let answer = request.body(format!("body {number}")).send().await?;
        assert_eq!(answer.text().await?, whole_stream());
    }
    Ok(())
}

/// Sends the fatal request to an entry until it is answered with a code, and returns that answer.
async fn until_refused(
    fleet: &Fleet,
    entry: u8,
    path: &str,
    code: u64,
) -> reqwest::Result<reqwest::Response> {
    let begun = Instant::now();
    for number in 0.. {
        let request = fleet.request(entry, path, &format!("refused-{entry}-{number}")).body(ENDS_SERVERS);
        let answer = request.send().await?;
        let status = answer.status();
        let is_refused = !answer.headers().contains_key("retry-after") && status == StatusCode::BAD_GATEWAY;
        let bytes = answer.bytes().await.unwrap_or_default();
        let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        if is_refused && body["error"]["code"] == code {
            break;
        }
        assert!(begun.elapsed() < LIMIT, "entry {entry} never answers {code}, but {status}: {body}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.request(entry, path, "once more").body(ENDS_SERVERS).send().await
}

async fn operator_call(fleet: &Fleet, method: Method, path: &str) -> reqwest::Result<(StatusCode, Value)> {
    let url = format!("{}/quarantine{path}", fleet.resource_api(0));
    let answer = fleet.http.request(method, url).bearer_auth(OPERATOR_TOKEN).send().await?;
    Ok((answer.status(), answer.json().await.unwrap_or_default()))
}

/// The list of requests under quarantine, once the member that is asked has heard of one.
async fn listed(fleet: &Fleet) -> reqwest::Result<Value> {
    let begun = Instant::now();
    loop {
        let (status, list) = operator_call(fleet, Method::GET, "").await?;
        assert_eq!(status, StatusCode::OK);
        if list["items"].as_array().is_some_and(|items| !items.is_empty()) {
            return Ok(list);
        }
        assert!(begun.elapsed() < LIMIT, "{list}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A refusal is final, says that the request may have run, and an operator finds it, its servers and its release.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_operator_finds_what_is_under_quarantine_and_releases_it() -> reqwest::Result<()> {
    let (fleet, models) = with_four_groups(SMALL_FLEET).await;
    let refused = until_refused(&fleet, 0, "/stream/2", QUARANTINED).await?;
    assert_eq!(refused.status(), StatusCode::BAD_GATEWAY);
    assert!(!refused.headers().contains_key("retry-after"), "nothing invites it back");
    let list = listed(&fleet).await?;
    let items = list["items"].as_array().cloned().unwrap_or_default();
    assert_eq!(items.len(), 1, "{list}");
    assert_eq!(items[0]["tenant"], "x");
    assert!(items[0]["evidence"].as_array().is_some_and(|evidence| evidence.len() >= 3), "{list}");
    let path = format!("/{}", items[0]["fingerprint"].as_str().unwrap_or_default());
    let (_, explained) = operator_call(&fleet, Method::GET, &path).await?;
    assert_eq!(explained["standing"], "quarantined");
    let before = arrivals(&models).len();
    assert_eq!(operator_call(&fleet, Method::DELETE, &path).await?.0, StatusCode::OK);
    let (_, explained) = operator_call(&fleet, Method::GET, &path).await?;
    assert_eq!(explained["standing"], "unsuspected");
    let begun = Instant::now();
    while arrivals(&models).len() == before {
        send_fatal(&fleet, "/stream/2", 0).await;
        assert!(begun.elapsed() < LIMIT, "it is never sent again");
    }
    let (status, body) = operator_call(&fleet, Method::DELETE, "/no-fingerprint").await?;
    assert_eq!((status, body["error"]["code"].as_u64()), (StatusCode::BAD_REQUEST, Some(4_029)));
    Ok(())
}

/// What was found out outlives all processes but for what the members hold on their disks, and entries that start anew know
/// it before they send anything.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quarantine_outlives_the_restart_of_all_daemons() -> reqwest::Result<()> {
    let (mut fleet, models) = with_four_groups(SMALL_FLEET).await;
    until_refused(&fleet, 0, "/stream/2", QUARANTINED).await?;
    let before = arrivals(&models).len();
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::kill);
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::start);
    fleet.wait_until_served("/stream/1").await;
    for entry in 0..2 {
        until_refused(&fleet, entry, "/stream/2", QUARANTINED).await?;
    }
    assert_eq!(arrivals(&models).len(), before, "no server had it again");
    Ok(())
}

/// The leader, which sums the evidence, and the entry, which holds a trial, are lost one after the other while servers end.
#[yare::parameterized(
    the_leader_dispatches = { SMALL_FLEET },
    entries_dispatch = { LARGE_FLEET },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn what_the_leader_and_an_entry_knew_is_not_lost_with_them(
    leader_dispatches_up_to: u32,
) -> reqwest::Result<()> {
    let (mut fleet, models) = with_four_groups(leader_dispatches_up_to).await;
    send_fatal(&fleet, "/stream/2", 0).await;
    for member in 0..fleet.members.len() {
        if fleet.leads(member as u8).await {
            fleet.members[member].kill();
        }
    }
    fleet.entries[0].kill();
    fleet.entries[0].start();
    fleet.wait_until_served("/stream/1").await;
    insist(&fleet, &models, "/stream/2").await;
    let arrivals = arrivals(&models);
    assert!(arrivals.len() <= MOST_ENDED, "{} servers ended under it", arrivals.len());
    Ok(())
}

/// An entry that stood still with the request in its hand looks again before it writes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_stood_still_sends_nothing_that_came_under_quarantine() -> reqwest::Result<()> {
    let (fleet, models) = with_four_groups(SMALL_FLEET).await;
    fleet.entries[1].signal("-STOP");
    let held: Vec<_> = (0..4)
        .map(|number| {
            let request = fleet.request(1, "/stream/2", &format!("held-{number}")).body(ENDS_SERVERS);
            tokio::spawn(request.send())
        })
        .collect();
    until_refused(&fleet, 0, "/stream/2", QUARANTINED).await?;
    tokio::time::sleep(STANDS_STILL).await;
    let before = arrivals(&models).len();
    fleet.entries[1].signal("-CONT");
    for answer in held {
        let answer = answer.await.unwrap_or_else(|error| panic!("{error}"))?;
        assert!(answer.status().is_server_error(), "{}", answer.status());
    }
    assert_eq!(arrivals(&models).len(), before, "no server had it from the entry that had stood still");
    Ok(())
}

/// Servers that start again under the ids that they had: each end counts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_that_are_back_under_their_ids_are_told_apart_by_time() -> reqwest::Result<()> {
    let fleet = Fleet::start();
    let mut servers = Vec::new();
    for (number, zone) in ["z", "y"].into_iter().enumerate() {
        let (id, address) = (format!("{KEEPS_ID}-{number}"), fleet.server_address(number as u8));
        servers.push(FakeServer::start_in(zone, &id, "board", None, address, fleet.operators()).await);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_until_served("/plain/1").await;
    insist(&fleet, &servers, "/plain/2").await;
    assert_contained(&arrivals(&servers));
    Ok(())
}

/// What may run once is sent once for each try, and its tries are counted all the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_may_run_once_come_under_quarantine_too() -> reqwest::Result<()> {
    let (fleet, servers) = with_four_plain_servers().await;
    insist(&fleet, &servers, "/once/2").await;
    assert_contained(&arrivals(&servers));
    until_refused(&fleet, 0, "/once/2", QUARANTINED).await?;
    Ok(())
}

/// A connection that breaks while the server lives tells nothing against the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_of_servers_that_live_throw_no_suspicion() -> reqwest::Result<()> {
    let (fleet, servers) = super::with_plain_servers().await;
    servers.iter().for_each(|server| server.set_manner(Manner::LosesAnswers));
    for number in 0..6 {
        let answer = fleet.request(0, "/plain/2", &format!("lost-{number}")).send().await?;
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    }
    servers.iter().for_each(|server| server.set_manner(Manner::Sound));
    fleet.wait_until_served("/plain/2").await;
    assert_eq!(fleet.metric(0, "dockwood_sends_server_ended_total").await?, 0.0);
    assert_eq!(fleet.metric(0, "dockwood_suspects").await?, 0.0);
    Ok(())
}

/// A group that stands still, as one does that was cut off or has lost a member, tells nothing against what it ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_group_that_stands_still_throws_no_suspicion() -> reqwest::Result<()> {
    let (fleet, models) = super::with_groups().await;
    eventually("warm-up requests have left", || super::serving(&models).is_none()).await;
    let streaming = tokio::spawn(fleet.request(0, "/stream/2", "stands-still").send());
    eventually("the stream has begun", || super::serving(&models).is_some()).await;
    if let Some(server) = super::serving(&models) {
        server.stands_still.store(true, Ordering::SeqCst);
    }
    let answer = streaming.await.unwrap_or_else(|error| panic!("{error}"))?;
    assert_eq!(answer.text().await?, whole_stream());
    assert_eq!(fleet.metric(0, "dockwood_suspects").await?, 0.0);
    assert_eq!(fleet.metric(0, "dockwood_sends_server_ended_total").await?, 0.0);
    Ok(())
}

/// A server that fails requests before it runs them proves nothing in favour of this one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failure_that_a_server_answers_clears_nothing() -> reqwest::Result<()> {
    let (fleet, servers) = with_four_plain_servers().await;
    send_fatal(&fleet, "/once/2", 0).await;
    let failing = Manner::Fails(StatusCode::INTERNAL_SERVER_ERROR);
    servers.iter().for_each(|server| server.set_manner(failing));
    for number in 1..4 {
        send_fatal(&fleet, "/once/2", number).await;
    }
    servers.iter().for_each(|server| server.set_manner(Manner::Sound));
    assert_eq!(fleet.metric(0, "dockwood_suspects").await?, 1.0, "it is suspected still");
    insist(&fleet, &servers, "/once/2").await;
    assert_contained(&arrivals(&servers));
    Ok(())
}
