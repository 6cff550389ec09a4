//! An operator evacuates a zone and withdraws that, while daemons are lost.

use super::fixture::{Daemon, Fleet, LIMIT, OPERATOR_TOKEN, configuration};
use super::regions::{refusal, with_groups, with_plain_servers};
use super::servers::FakeServer;
use super::whole_stream;
use reqwest::{Method, StatusCode};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// After this an operator goes on to another daemon.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// A daemon that is told of nothing new within this time has been told of all that was committed before.
const SETTLED: Duration = Duration::from_secs(2);

/// Entries up to which the leader dispatches, where it is to dispatch for the two of these tests.
const SMALL_FLEET: u32 = 64;
/// The same where they are to dispatch for each other.
const LARGE_FLEET: u32 = 0;

/// A fleet in which the leader dispatches for so many entries, with one group of two model servers in zone `z`, where the
/// daemons stand, and one in zone `y`.
async fn in_two_zones(leader_dispatches_up_to: u32) -> (Fleet, Vec<Arc<FakeServer>>) {
    let fleet = Fleet::start_dispatched(leader_dispatches_up_to);
    let mut models = Vec::new();
    for (number, zone) in ["z", "z", "y", "y"].into_iter().enumerate() {
        models.push(fleet.model_server_in(zone, number as u8).await);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_until_served("/stream/1").await;
    fleet.wait_until_open("writer", 2).await;
    (fleet, models)
}

async fn call(
    fleet: &Fleet,
    operators: SocketAddr,
    method: Method,
    zone: &str,
) -> reqwest::Result<StatusCode> {
    let url = format!("http://{operators}/v1/gateway/evacuations/{zone}");
    let answer = fleet.http.request(method, url).timeout(CALL_LIMIT).send().await?;
    Ok(answer.status())
}

/// Sends a call to one daemon after the other until one acknowledges it.
async fn insist(fleet: &Fleet, method: Method, zone: &str, operators: &[SocketAddr]) {
    let begun = Instant::now();
    for address in operators.iter().cycle() {
        if call(fleet, *address, method.clone(), zone).await.is_ok_and(|status| status.is_success()) {
            return;
        }
        assert!(begun.elapsed() < LIMIT, "{method} of {zone} is never acknowledged");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until both entries know of so many evacuated zones.
async fn wait_until_evacuated(fleet: &Fleet, zones: u32) {
    for entry in 0..2 {
        let begun = Instant::now();
        let known = || fleet.metric(entry, "dockwood_evacuated_zones");
        while !known().await.is_ok_and(|known| known == f64::from(zones)) {
            assert!(begun.elapsed() < LIMIT, "entry {entry} never knows of {zones} evacuated zones");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn runs(servers: &[Arc<FakeServer>]) -> u32 {
    servers.iter().map(|server| server.runs.load(Ordering::SeqCst)).sum()
}

/// Both entries serve streams, and none from these servers.
async fn serves_without(fleet: &Fleet, servers: &[Arc<FakeServer>]) -> reqwest::Result<()> {
    let before = runs(servers);
    for number in 0..8 {
        let answer = fleet.request(number % 2, "/stream/2", &format!("a-{number}")).send().await?;
        assert_eq!(answer.text().await?, whole_stream());
    }
    assert_eq!(runs(servers), before, "nothing is sent to the evacuated zone");
    Ok(())
}

async fn leader_of(fleet: &Fleet) -> usize {
    let begun = Instant::now();
    loop {
        for member in 0..fleet.members.len() {
            if fleet.leads(member as u8).await {
                return member;
            }
        }
        assert!(begun.elapsed() < LIMIT, "nobody leads");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Everything that each daemon knew is gone but for what members hold on disk.
#[yare::parameterized(
    the_leader_dispatches = { SMALL_FLEET },
    entries_dispatch = { LARGE_FLEET },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn an_evacuation_holds_after_all_daemons_were_killed_and_until_it_is_withdrawn(
    leader_dispatches_up_to: u32,
) -> reqwest::Result<()> {
    let (mut fleet, models) = in_two_zones(leader_dispatches_up_to).await;
    let operators = fleet.operators();
    insist(&fleet, Method::POST, "z", &operators[..1]).await;
    wait_until_evacuated(&fleet, 1).await;
    serves_without(&fleet, &models[..2]).await?;
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::kill);
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::start);
    wait_until_evacuated(&fleet, 1).await;
    fleet.wait_until_open("writer", 1).await;
    fleet.wait_until_served("/stream/1").await;
    serves_without(&fleet, &models[..2]).await?;
    insist(&fleet, Method::DELETE, "z", &operators[1..2]).await;
    fleet.wait_until_open("writer", 2).await;
    insist(&fleet, Method::POST, "y", &operators[2..]).await;
    wait_until_evacuated(&fleet, 1).await;
    serves_without(&fleet, &models[2..]).await
}

/// Its caller has gone on to another daemon, which evacuated the zone, and has withdrawn that since.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_copy_of_a_call_does_not_undo_the_withdrawal() -> reqwest::Result<()> {
    let (fleet, _models) = in_two_zones(SMALL_FLEET).await;
    let mut operators = fleet.operators();
    let leader = leader_of(&fleet).await;
    let sleeper = (leader + 1) % fleet.members.len();
    let asleep = operators.remove(sleeper);
    fleet.members[sleeper].signal("-STOP");
    assert!(call(&fleet, asleep, Method::POST, "y").await.is_err(), "it answers while it is stopped");
    insist(&fleet, Method::POST, "y", &operators).await;
    wait_until_evacuated(&fleet, 1).await;
    insist(&fleet, Method::DELETE, "y", &operators).await;
    wait_until_evacuated(&fleet, 0).await;
    fleet.members[sleeper].signal("-CONT");
    let begun = Instant::now();
    while begun.elapsed() < SETTLED {
        assert_eq!(fleet.metric(0, "dockwood_evacuated_zones").await?, 0.0);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The daemon that slept takes calls again.
    insist(&fleet, Method::POST, "y", &[asleep]).await;
    wait_until_evacuated(&fleet, 1).await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_whose_leader_is_lost_is_acknowledged_when_it_is_repeated() -> reqwest::Result<()> {
    let (mut fleet, models) = in_two_zones(SMALL_FLEET).await;
    let mut operators = fleet.operators();
    let leader = leader_of(&fleet).await;
    let lost = operators.remove(leader);
    // The leader is paused, so that the call has reached it when it is killed.
    fleet.members[leader].signal("-STOP");
    let (first, at_leader) =
        tokio::join!(call(&fleet, operators[0], Method::POST, "y"), call(&fleet, lost, Method::POST, "y"));
    assert!(at_leader.is_err(), "it answers while it is stopped");
    fleet.members[leader].kill();
    if !first.is_ok_and(|status| status.is_success()) {
        insist(&fleet, Method::POST, "y", &operators).await;
    }
    // The answer to this one was lost as well, for all that the operator knows.
    insist(&fleet, Method::POST, "y", &operators).await;
    wait_until_evacuated(&fleet, 1).await;
    serves_without(&fleet, &models[2..]).await
}

/// The same by the resource API, as the command line does it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_operator_with_a_token_evacuates_a_zone_and_sees_it_in_the_status() -> reqwest::Result<()> {
    let (fleet, models) = in_two_zones(SMALL_FLEET).await;
    let url = format!("{}/evacuations/y", fleet.resource_api(0));
    let refused = fleet.http.put(&url).send().await?;
    assert_eq!(refused.status(), StatusCode::UNAUTHORIZED);
    let status_of = async |method: Method| {
        let answer = fleet.http.request(method, &url).bearer_auth(OPERATOR_TOKEN).send().await?;
        assert_eq!(answer.status(), StatusCode::OK);
        let status = fleet.http.get(format!("{}/status", fleet.resource_api(1)));
        let status: serde_json::Value = status.bearer_auth(OPERATOR_TOKEN).send().await?.json().await?;
        Ok::<_, reqwest::Error>(status["evacuatedZones"].clone())
    };
    assert_eq!(status_of(Method::PUT).await?, serde_json::json!(["y"]));
    wait_until_evacuated(&fleet, 1).await;
    serves_without(&fleet, &models[2..]).await?;
    assert_eq!(status_of(Method::DELETE).await?, serde_json::json!([]));
    wait_until_evacuated(&fleet, 0).await;
    Ok(())
}

/// A request that is bound to a region finds servers elsewhere, and may not go there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_bound_to_the_region_of_an_evacuated_zone_are_refused_for_its_evacuation()
-> reqwest::Result<()> {
    let refused = (StatusCode::SERVICE_UNAVAILABLE, json!(2026), true);
    let (fleet, [_near, far]) = with_groups(Fleet::start()).await;
    insist(&fleet, Method::POST, "z", &fleet.operators()).await;
    wait_until_evacuated(&fleet, 1).await;
    let stream = fleet.request(0, "/stream/2", "a-1").send().await?;
    assert_eq!(refusal(stream).await?, refused);
    assert_eq!(runs(&far), 0);
    drop(fleet);
    let (fleet, servers) = with_plain_servers(&["r"]).await;
    insist(&fleet, Method::POST, "z", &fleet.operators()).await;
    wait_until_evacuated(&fleet, 1).await;
    let plain = fleet.request(0, "/plain/1", "a-2").send().await?;
    assert_eq!(refusal(plain).await?, refused);
    assert_eq!(runs(&servers[1..]), 0);
    Ok(())
}
