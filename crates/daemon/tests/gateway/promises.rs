//! What the gateway promises to callers, operators and servers while something fails: "not run" is true, calls end
//! within their limits, and the directory forgets entries that are gone.

use super::fixture::{Daemon, Fleet, LIMIT, configuration};
use super::servers::{FakeServer, Manner};
use super::{runs, with_groups, with_plain_servers};
use dockwood_api::gateway::{InstanceReport, InstanceState};
use poem::http::StatusCode as ServerStatus;
use reqwest::StatusCode;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Callers of the directory may have been told of an entry until it has been gone for this long.
const FORGOTTEN_WITHIN: Duration = Duration::from_secs(7);
/// Servers and operators go on to another daemon after this.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// A server that leaves waits for its acknowledgement this long.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(5);
/// And takes requests on for this long after it.
const SERVES_ON: Duration = Duration::from_millis(2_500);

/// Callers take these statuses for a promise that the request did not run, which only the server's own word that it did
/// not makes true.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_status_that_promises_not_run_is_not_passed_on_for_what_has_run() -> reqwest::Result<()> {
    let (fleet, servers) = with_plain_servers().await;
    for status in
        [ServerStatus::REQUEST_TIMEOUT, ServerStatus::TOO_MANY_REQUESTS, ServerStatus::SERVICE_UNAVAILABLE]
    {
        servers.iter().for_each(|server| server.set_manner(Manner::Fails(status)));
        let before = runs(&servers);
        let answer = fleet.request(0, "/once/1", &format!("a-{status}")).send().await?;
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "instead of {status}");
        assert!(!answer.headers().contains_key("retry-after"));
        assert_eq!(runs(&servers) - before, 1, "and it is not sent again");
    }
    Ok(())
}

/// The same for streams that may not be resumed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_may_run_once_gets_no_false_promise_either() -> reqwest::Result<()> {
    let (fleet, models) = with_groups().await;
    let mut once = configuration(2);
    once["routes"][0]["resumable"] = serde_json::json!(false);
    once["routes"][0]["path_prefix"] = serde_json::json!("/single/");
    fleet.configure(&once).await;
    fleet.wait_until_served("/single/1").await;
    models.iter().for_each(|server| server.set_manner(Manner::Fails(ServerStatus::SERVICE_UNAVAILABLE)));
    let before = runs(&models);
    let answer = fleet.request(0, "/single/1", "a-1").send().await?;
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(runs(&models) - before, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_deadline_that_passes_while_a_server_has_the_request_promises_nothing() -> reqwest::Result<()> {
    let (fleet, servers) = with_plain_servers().await;
    servers.iter().for_each(|server| server.set_manner(Manner::Holds));
    let before = runs(&servers);
    for path in ["/once/1", "/plain/1"] {
        let request = fleet.request(0, path, "a-1").header("dockwood-deadline-ms", "400");
        let answer = request.send().await?;
        assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT, "{path}");
    }
    assert!(runs(&servers) > before);
    Ok(())
}

/// A connection whose next request never arrives whole is closed without an answer, so none can be taken for that of
/// the request before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_never_ends_gets_no_answer() -> std::io::Result<()> {
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
async fn the_directory_forgets_an_entry_that_was_killed_or_stopped() {
    let mut fleet = Fleet::start();
    let (gone, stays) = (fleet.frontend(0), fleet.frontend(1));
    for end in [Daemon::kill as fn(&mut Daemon), |daemon| daemon.terminate()] {
        fleet.wait_until_directory(1, "zone=z", &[gone, stays]).await;
        end(&mut fleet.entries[0]);
        let took = fleet.wait_until_directory(1, "zone=z", &[stays]).await;
        assert!(took < FORGOTTEN_WITHIN, "named for {took:?}");
        let begun = Instant::now();
        while !fleet.entries[0].has_ended() {
            assert!(begun.elapsed() < LIMIT, "the entry never ends");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        fleet.entries[0].start();
    }
}

/// What was given up may still be committed; nothing that came after it is undone by that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_is_given_up_at_its_limit_and_undoes_nothing_later() -> reqwest::Result<()> {
    let mut fleet = Fleet::start();
    fleet.configure(&configuration(1)).await;
    fleet.members[1].kill();
    fleet.members[2].kill();
    for version in [2, 3] {
        let url = format!("http://{}/v1/gateway/configuration", fleet.operators()[0]);
        let begun = Instant::now();
        let answer = fleet.http.put(url).timeout(LIMIT).json(&configuration(version)).send().await?;
        assert!(answer.status().is_server_error(), "{}", answer.status());
        assert!(begun.elapsed() < CALL_LIMIT, "given up after {:?}", begun.elapsed());
    }
    fleet.members[1].start();
    fleet.members[2].start();
    fleet.configure(&configuration(4)).await;
    for _ in 0..20 {
        assert!(matches!(fleet.read_version().await, None | Some(4)), "an older one is in force again");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(fleet.settled_version().await, Some(4));
    Ok(())
}

/// Sends the report to one member after the other, as servers do, until one acknowledges it. Each answers in time.
async fn report_until_acknowledged(fleet: &Fleet, members: &[usize], report: &InstanceReport) -> Duration {
    let begun = Instant::now();
    for member in members.iter().cycle() {
        let operators = fleet.operators()[*member];
        let url = format!("http://{operators}/v1/gateway/instances/{}", report.id);
        let called = Instant::now();
        let answer = fleet.http.put(url).timeout(LIMIT).json(report).send().await;
        assert!(called.elapsed() < CALL_LIMIT, "member {member} answered after {:?}", called.elapsed());
        let status = answer.map(|answer| answer.status()).unwrap_or_default();
        if status == StatusCode::OK {
            break;
        }
        assert!(status.is_server_error(), "{status}: the server would not go on to another daemon");
        assert!(begun.elapsed() < LIMIT, "no member acknowledges it");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    begun.elapsed()
}

/// Were it taken in, the server that runs would be replaced, and its own reports refused from then on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_report_of_a_former_start_replaces_no_server_that_runs() -> reqwest::Result<()> {
    let (fleet, servers) = with_plain_servers().await;
    let former = InstanceReport { id: "former".to_string(), sequence: 1, ..servers[0].current_report() };
    report_until_acknowledged(&fleet, &[0, 1, 2], &former).await;
    // Long enough for the address to be asked, and for each server to report again.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = servers[0].runs.load(Ordering::SeqCst);
    for number in 0..30 {
        let answer = fleet.request(number % 2, "/plain/1", &format!("a-{number}")).send().await?;
        assert_eq!(answer.status(), StatusCode::OK);
    }
    assert!(servers[0].runs.load(Ordering::SeqCst) > before, "the server that runs gets no more requests");
    Ok(())
}

async fn leader(fleet: &Fleet) -> usize {
    let begun = Instant::now();
    loop {
        for member in 0..3 {
            if fleet.leads(member).await {
                return usize::from(member);
            }
        }
        assert!(begun.elapsed() < LIMIT, "nobody leads");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A server that drains, while the leader is lost in some way.
async fn drains_while_the_leader_is_lost(lose: impl Fn(&mut Daemon)) -> reqwest::Result<()> {
    let (mut fleet, servers): (Fleet, [Arc<FakeServer>; 2]) = with_plain_servers().await;
    let lost = leader(&fleet).await;
    let others: Vec<usize> = (0..3).filter(|member| *member != lost).collect();
    lose(&mut fleet.members[lost]);
    servers[0].drain();
    let report = servers[0].current_report();
    assert_eq!(report.state, InstanceState::Draining);
    let took = report_until_acknowledged(&fleet, &others, &report).await;
    assert!(took < ACKNOWLEDGED_WITHIN, "acknowledged after {took:?}");
    tokio::time::sleep(SERVES_ON).await;
    let before = servers[0].runs.load(Ordering::SeqCst);
    for number in 0..10 {
        let answer = fleet.request(number % 2, "/plain/1", &format!("a-{number}")).send().await?;
        assert_eq!(answer.status(), StatusCode::OK);
    }
    assert_eq!(servers[0].runs.load(Ordering::SeqCst), before);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_drains_is_heard_while_the_leader_is_killed() -> reqwest::Result<()> {
    drains_while_the_leader_is_lost(Daemon::kill).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_drains_is_heard_while_the_leader_stands_still() -> reqwest::Result<()> {
    drains_while_the_leader_is_lost(|daemon| daemon.signal("-STOP")).await
}
