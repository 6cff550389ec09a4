//! Evacuation of a zone by an operator, and its withdrawal, while daemons fail.

use super::complete_stream;
use super::fixture::{Daemon, Fleet, LIMIT, OPERATOR_TOKEN, configuration};
use super::regions::{refusal, with_groups, with_plain_servers};
use super::servers::FakeServer;
use reqwest::{Method, StatusCode};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time after which an operator tries another daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A daemon whose state does not change for this long has applied everything that was committed before.
const OBSERVED_FOR: Duration = Duration::from_secs(2);

/// Maximum number of entries for which the leader dispatches, where it has to dispatch for the two entries of these
/// tests.
const SMALL_FLEET: u32 = 64;
/// The same where the entries have to dispatch for each other.
const LARGE_FLEET: u32 = 0;

/// Starts a fleet with one group of two model servers in zone `z`, where the daemons run, and one in zone `y`. The leader
/// dispatches for up to `leader_dispatches_up_to` entries.
async fn with_groups_in_two_zones(leader_dispatches_up_to: u32) -> (Fleet, Vec<Arc<FakeServer>>) {
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
    let answer = fleet.http.request(method, url).timeout(CALL_TIMEOUT).send().await?;
    Ok(answer.status())
}

/// Sends a call to the daemons in turn until one acknowledges it.
async fn call_until_acknowledged(fleet: &Fleet, method: Method, zone: &str, operators: &[SocketAddr]) {
    let started = Instant::now();
    for address in operators.iter().cycle() {
        if call(fleet, *address, method.clone(), zone).await.is_ok_and(|status| status.is_success()) {
            return;
        }
        assert!(started.elapsed() < LIMIT, "{method} of {zone} is not acknowledged");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until both entries know of this number of evacuated zones.
async fn wait_until_evacuated(fleet: &Fleet, zones: u32) {
    for entry in 0..2 {
        let started = Instant::now();
        let known = || fleet.metric(entry, "dockwood_evacuated_zones");
        while !known().await.is_ok_and(|known| known == f64::from(zones)) {
            assert!(started.elapsed() < LIMIT, "entry {entry} does not know of {zones} evacuated zones");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn runs(servers: &[Arc<FakeServer>]) -> u32 {
    servers.iter().map(|server| server.runs.load(Ordering::SeqCst)).sum()
}

/// Asserts that both entries serve streams without using these servers.
async fn assert_served_without(fleet: &Fleet, servers: &[Arc<FakeServer>]) -> reqwest::Result<()> {
    let before = runs(servers);
    for number in 0..8 {
        let answer = fleet.request(number % 2, "/stream/2", &format!("a-{number}")).send().await?;
        assert_eq!(answer.text().await?, complete_stream());
    }
    assert_eq!(runs(servers), before, "requests were sent to the evacuated zone");
    Ok(())
}

async fn leader_of(fleet: &Fleet) -> usize {
    let started = Instant::now();
    loop {
        for member in 0..fleet.members.len() {
            if fleet.is_leader(member as u8).await {
                return member;
            }
        }
        assert!(started.elapsed() < LIMIT, "there is no leader");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// The restart loses all state except for that on the disks of the members.
#[yare::parameterized(
    the_leader_dispatches = { SMALL_FLEET },
    entries_dispatch = { LARGE_FLEET },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn an_evacuation_survives_a_crash_of_all_daemons_until_it_is_withdrawn(
    leader_dispatches_up_to: u32,
) -> reqwest::Result<()> {
    let (mut fleet, models) = with_groups_in_two_zones(leader_dispatches_up_to).await;
    let operators = fleet.operators();
    call_until_acknowledged(&fleet, Method::POST, "z", &operators[..1]).await;
    wait_until_evacuated(&fleet, 1).await;
    assert_served_without(&fleet, &models[..2]).await?;
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::kill);
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::start);
    wait_until_evacuated(&fleet, 1).await;
    fleet.wait_until_open("writer", 1).await;
    fleet.wait_until_served("/stream/1").await;
    assert_served_without(&fleet, &models[..2]).await?;
    call_until_acknowledged(&fleet, Method::DELETE, "z", &operators[1..2]).await;
    fleet.wait_until_open("writer", 2).await;
    call_until_acknowledged(&fleet, Method::POST, "y", &operators[2..]).await;
    wait_until_evacuated(&fleet, 1).await;
    assert_served_without(&fleet, &models[2..]).await
}

/// In the meantime, the caller has evacuated the zone through another daemon and withdrawn the evacuation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_delayed_copy_of_a_call_does_not_revert_the_withdrawal() -> reqwest::Result<()> {
    let (fleet, _models) = with_groups_in_two_zones(SMALL_FLEET).await;
    let mut operators = fleet.operators();
    let leader = leader_of(&fleet).await;
    let suspended = (leader + 1) % fleet.members.len();
    let suspended_operators = operators.remove(suspended);
    fleet.members[suspended].signal("-STOP");
    assert!(
        call(&fleet, suspended_operators, Method::POST, "y").await.is_err(),
        "a suspended daemon responded"
    );
    call_until_acknowledged(&fleet, Method::POST, "y", &operators).await;
    wait_until_evacuated(&fleet, 1).await;
    call_until_acknowledged(&fleet, Method::DELETE, "y", &operators).await;
    wait_until_evacuated(&fleet, 0).await;
    fleet.members[suspended].signal("-CONT");
    let started = Instant::now();
    while started.elapsed() < OBSERVED_FOR {
        assert_eq!(fleet.metric(0, "dockwood_evacuated_zones").await?, 0.0);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The daemon that was suspended accepts calls again.
    call_until_acknowledged(&fleet, Method::POST, "y", &[suspended_operators]).await;
    wait_until_evacuated(&fleet, 1).await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_call_is_acknowledged_after_the_leader_was_killed() -> reqwest::Result<()> {
    let (mut fleet, models) = with_groups_in_two_zones(SMALL_FLEET).await;
    let mut operators = fleet.operators();
    let leader = leader_of(&fleet).await;
    let leader_operators = operators.remove(leader);
    // The leader is suspended, so that it has received the call when it is killed.
    fleet.members[leader].signal("-STOP");
    let (first, at_leader) = tokio::join!(
        call(&fleet, operators[0], Method::POST, "y"),
        call(&fleet, leader_operators, Method::POST, "y")
    );
    assert!(at_leader.is_err(), "a suspended daemon responded");
    fleet.members[leader].kill();
    if !first.is_ok_and(|status| status.is_success()) {
        call_until_acknowledged(&fleet, Method::POST, "y", &operators).await;
    }
    // Repeats the call, as an operator whose response was lost.
    call_until_acknowledged(&fleet, Method::POST, "y", &operators).await;
    wait_until_evacuated(&fleet, 1).await;
    assert_served_without(&fleet, &models[2..]).await
}

/// The same through the resource API, which the command-line tool uses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_operator_with_a_token_evacuates_a_zone_through_the_resource_api() -> reqwest::Result<()> {
    let (fleet, models) = with_groups_in_two_zones(SMALL_FLEET).await;
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
    assert_served_without(&fleet, &models[2..]).await?;
    assert_eq!(status_of(Method::DELETE).await?, serde_json::json!([]));
    wait_until_evacuated(&fleet, 0).await;
    Ok(())
}

/// A request that is restricted to a region must not be sent to the available servers in another region.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_restricted_to_the_region_of_an_evacuated_zone_are_refused() -> reqwest::Result<()> {
    let refused = (StatusCode::SERVICE_UNAVAILABLE, json!(2026), true);
    let (fleet, [_near, far]) = with_groups(Fleet::start()).await;
    call_until_acknowledged(&fleet, Method::POST, "z", &fleet.operators()).await;
    wait_until_evacuated(&fleet, 1).await;
    let stream = fleet.request(0, "/stream/2", "a-1").send().await?;
    assert_eq!(refusal(stream).await?, refused);
    assert_eq!(runs(&far), 0);
    drop(fleet);
    let (fleet, servers) = with_plain_servers(&["r"]).await;
    call_until_acknowledged(&fleet, Method::POST, "z", &fleet.operators()).await;
    wait_until_evacuated(&fleet, 1).await;
    let plain = fleet.request(0, "/plain/1", "a-2").send().await?;
    assert_eq!(refusal(plain).await?, refused);
    assert_eq!(runs(&servers[1..]), 0);
    Ok(())
}
