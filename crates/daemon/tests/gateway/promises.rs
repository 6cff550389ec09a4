//! Guarantees to callers, operators and servers during failures: a "not run" response is correct, calls complete within
//! their time limits, and the directory removes entries that are gone.

use super::fixture::{Daemon, Fleet, LIMIT, configuration};
use super::servers::{Behavior, FakeServer};
use super::{runs, with_groups, with_plain_servers};
use dockwood_api::gateway::{InstanceReport, InstanceState};
use poem::http::StatusCode as ServerStatus;
use reqwest::StatusCode;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The directory lists an entry for at most this long after it is gone.
const REMOVED_WITHIN: Duration = Duration::from_secs(7);
/// Time after which servers and operators try another daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a leaving server waits for the acknowledgement of its report.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(5);
/// Time for which a leaving server accepts requests after the acknowledgement.
const SERVES_AFTER_ACKNOWLEDGEMENT: Duration = Duration::from_millis(2_500);

/// Callers interpret these statuses as a guarantee that the request did not run. This is only valid if the server
/// states so itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_status_that_implies_not_run_is_not_forwarded_if_the_request_ran() -> reqwest::Result<()> {
    let (fleet, servers) = with_plain_servers().await;
    for status in
        [ServerStatus::REQUEST_TIMEOUT, ServerStatus::TOO_MANY_REQUESTS, ServerStatus::SERVICE_UNAVAILABLE]
    {
        servers.iter().for_each(|server| server.set_behavior(Behavior::RespondsWith(status)));
        let before = runs(&servers);
        let answer = fleet.request(0, "/once/1", &format!("a-{status}")).send().await?;
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "instead of {status}");
        assert!(!answer.headers().contains_key("retry-after"));
        assert_eq!(runs(&servers) - before, 1, "the request did not run exactly once");
    }
    Ok(())
}

/// The same for streams that must not be resumed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_status_that_implies_not_run_is_not_forwarded_for_at_most_once_streams() -> reqwest::Result<()> {
    let (fleet, models) = with_groups().await;
    let mut once = configuration(2);
    once["routes"][0]["resumable"] = serde_json::json!(false);
    once["routes"][0]["path_prefix"] = serde_json::json!("/single/");
    fleet.configure(&once).await;
    fleet.wait_until_served("/single/1").await;
    models
        .iter()
        .for_each(|server| server.set_behavior(Behavior::RespondsWith(ServerStatus::SERVICE_UNAVAILABLE)));
    let before = runs(&models);
    let answer = fleet.request(0, "/single/1", "a-1").send().await?;
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(runs(&models) - before, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_deadline_during_a_send_does_not_imply_not_run() -> reqwest::Result<()> {
    let (fleet, servers) = with_plain_servers().await;
    servers.iter().for_each(|server| server.set_behavior(Behavior::NeverResponds));
    let before = runs(&servers);
    for path in ["/once/1", "/plain/1"] {
        let request = fleet.request(0, path, "a-1").header("dockwood-deadline-ms", "400");
        let answer = request.send().await?;
        assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT, "{path}");
    }
    assert!(runs(&servers) > before);
    Ok(())
}

/// A connection whose next request does not arrive completely is closed without a response, so that no response can be
/// mistaken for that to the previous request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_incomplete_request_head_gets_no_response() -> std::io::Result<()> {
    let fleet = Fleet::start();
    let mut short = configuration(1);
    short["limits"]["idle_timeout_ms"] = serde_json::json!(200);
    fleet.configure(&short).await;
    let _server = fleet.plain_server(0).await;
    fleet.wait_until_served("/plain/1").await;
    let address = fleet.frontend(0);
    let read = tokio::task::spawn_blocking(move || -> std::io::Result<Vec<u8>> {
        let mut connection = TcpStream::connect(address)?;
        connection.set_read_timeout(Some(LIMIT))?;
        connection.write_all(b"POST /once/1 HTTP/1.1\r\nhost: h.example\r\n")?;
        let mut answer = Vec::new();
        connection.read_to_end(&mut answer)?;
        Ok(answer)
    });
    let answer = read.await.unwrap_or_else(|error| panic!("{error}"))?;
    assert_eq!(String::from_utf8_lossy(&answer), "");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_directory_removes_a_killed_or_stopped_entry() {
    let mut fleet = Fleet::start();
    let (gone, stays) = (fleet.frontend(0), fleet.frontend(1));
    for end in [Daemon::kill as fn(&mut Daemon), |daemon| daemon.terminate()] {
        fleet.wait_until_directory(1, "zone=z", &[gone, stays]).await;
        end(&mut fleet.entries[0]);
        let took = fleet.wait_until_directory(1, "zone=z", &[stays]).await;
        assert!(took < REMOVED_WITHIN, "the directory lists the entry for {took:?}");
        let started = Instant::now();
        while !fleet.entries[0].has_exited() {
            assert!(started.elapsed() < LIMIT, "the entry does not exit");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        fleet.entries[0].start();
    }
}

/// A change whose call timed out may still be committed, but must not revert any later change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_times_out_and_reverts_no_later_change() -> reqwest::Result<()> {
    let mut fleet = Fleet::start();
    fleet.configure(&configuration(1)).await;
    fleet.members[1].kill();
    fleet.members[2].kill();
    for version in [2, 3] {
        let url = format!("http://{}/v1/gateway/configuration", fleet.operators()[0]);
        let started = Instant::now();
        let answer = fleet.http.put(url).timeout(LIMIT).json(&configuration(version)).send().await?;
        assert!(answer.status().is_server_error(), "{}", answer.status());
        assert!(started.elapsed() < CALL_TIMEOUT, "the call took {:?}", started.elapsed());
    }
    fleet.members[1].start();
    fleet.members[2].start();
    fleet.configure(&configuration(4)).await;
    for _ in 0..20 {
        assert!(matches!(fleet.read_version().await, None | Some(4)), "an older version is in force again");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(fleet.settled_version().await, Some(4));
    Ok(())
}

/// Sends a report to the members in turn, like a server, until one acknowledges it, and asserts that each responds in
/// time. Returns how long this took.
async fn report_until_acknowledged(fleet: &Fleet, members: &[usize], report: &InstanceReport) -> Duration {
    let started = Instant::now();
    for member in members.iter().cycle() {
        let operators = fleet.operators()[*member];
        let url = format!("http://{operators}/v1/gateway/instances/{}", report.id);
        let called = Instant::now();
        let answer = fleet.http.put(url).timeout(LIMIT).json(report).send().await;
        assert!(called.elapsed() < CALL_TIMEOUT, "member {member} responded after {:?}", called.elapsed());
        let status = answer.map(|answer| answer.status()).unwrap_or_default();
        if status == StatusCode::OK {
            break;
        }
        assert!(status.is_server_error(), "{status}: a server would not try another daemon");
        assert!(started.elapsed() < LIMIT, "no member acknowledges the report");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    started.elapsed()
}

/// If the report was accepted, it would replace the running server, whose own reports would be refused from then on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_report_of_a_previous_instance_replaces_no_running_server() -> reqwest::Result<()> {
    let (fleet, servers) = with_plain_servers().await;
    let former = InstanceReport { id: "former".to_string(), sequence: 1, ..servers[0].current_report() };
    report_until_acknowledged(&fleet, &[0, 1, 2], &former).await;
    // Long enough to probe the address, and for each server to report again.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = servers[0].runs.load(Ordering::SeqCst);
    for number in 0..30 {
        let answer = fleet.request(number % 2, "/plain/1", &format!("a-{number}")).send().await?;
        assert_eq!(answer.status(), StatusCode::OK);
    }
    assert!(servers[0].runs.load(Ordering::SeqCst) > before, "the running server gets no more requests");
    Ok(())
}

async fn leader(fleet: &Fleet) -> usize {
    let started = Instant::now();
    loop {
        for member in 0..3 {
            if fleet.is_leader(member).await {
                return usize::from(member);
            }
        }
        assert!(started.elapsed() < LIMIT, "there is no leader");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Asserts that the report of a draining server is acknowledged and applied while the leader has failed.
async fn assert_drain_is_applied_without_leader(fail: impl Fn(&mut Daemon)) -> reqwest::Result<()> {
    let (mut fleet, servers): (Fleet, [Arc<FakeServer>; 2]) = with_plain_servers().await;
    let failed_leader = leader(&fleet).await;
    let others: Vec<usize> = (0..3).filter(|member| *member != failed_leader).collect();
    fail(&mut fleet.members[failed_leader]);
    servers[0].drain();
    let report = servers[0].current_report();
    assert_eq!(report.state, InstanceState::Draining);
    let took = report_until_acknowledged(&fleet, &others, &report).await;
    assert!(took < ACKNOWLEDGED_WITHIN, "acknowledged after {took:?}");
    tokio::time::sleep(SERVES_AFTER_ACKNOWLEDGEMENT).await;
    let before = servers[0].runs.load(Ordering::SeqCst);
    for number in 0..10 {
        let answer = fleet.request(number % 2, "/plain/1", &format!("a-{number}")).send().await?;
        assert_eq!(answer.status(), StatusCode::OK);
    }
    assert_eq!(servers[0].runs.load(Ordering::SeqCst), before);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_server_is_acknowledged_after_the_leader_was_killed() -> reqwest::Result<()> {
    assert_drain_is_applied_without_leader(Daemon::kill).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_server_is_acknowledged_while_the_leader_is_suspended() -> reqwest::Result<()> {
    assert_drain_is_applied_without_leader(|daemon| daemon.signal("-STOP")).await
}
