//! Rate limits announced by servers: all forms of the header, and its combination with other pushback signals.

use crate::entry::Entry;
use crate::pushback::{entry_with_plain_server, request_until_received};
use crate::scripted_server::{Reply, ScriptedServer, rejection_reply, success_reply};
use dockwood_daemon::pushback::{SendPermit, SendPurpose, SendTarget};
use dockwood_routing::pushback::{Hold, RequestRate, ServerStart};
use std::io::Result;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PLAIN_PATH: &str = "/once/1";
/// One request per ten seconds: far fewer than a test sends.
const LIMIT_HEADER: &str = "dockwood-limit: 0.1\r\n";
const NOT_RUN_HEADER: &str = "dockwood-not-run: 1\r\n";
/// Time limit for immediate refusals.
const IMMEDIATE: Duration = Duration::from_millis(500);

fn is_at_limit(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 503") && answer.contains("ServersAtLimit") && answer.contains("retry-after")
}

fn server_start() -> ServerStart {
    ServerStart { id: "board-z".to_string(), started_ms: Some(1) }
}

fn current_limit(entry: &Entry) -> Option<f64> {
    entry.shared.pushback.limit(&server_start()).map(RequestRate::per_second)
}

fn success_with(headers: &str) -> Reply {
    Reply::Bytes(format!(
        "HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\n{headers}content-length: 6\r\n\r\nserved"
    ))
}

async fn entry_with_reply(reply: Reply) -> Result<(Arc<Entry>, Arc<ScriptedServer>)> {
    let (entry, server) = entry_with_plain_server(vec![reply]).await?;
    request_until_received(&entry, PLAIN_PATH, &server).await?;
    Ok((entry, server))
}

#[yare::parameterized(
    with_a_success = { success_with(LIMIT_HEADER) },
    with_a_rejection = { rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}{LIMIT_HEADER}")) },
    with_a_failure = { rejection_reply("500 Internal Server Error", LIMIT_HEADER) },
    the_lowest_of_several = { success_with(&format!("dockwood-limit: 7\r\n{LIMIT_HEADER}dockwood-limit: few\r\n")) },
    with_a_truncated_body = {
        Reply::BytesAndClose(format!("HTTP/1.1 200 X\r\ndockwood-attempt: ATTEMPT\r\n{LIMIT_HEADER}content-length: 9\r\n\r\npart"))
    },
    in_a_response_with_another_attempt_id = {
        Reply::Bytes(format!("HTTP/1.1 200 X\r\ndockwood-attempt: another\r\n{LIMIT_HEADER}content-length: 0\r\n\r\n"))
    },
)]
#[test_macro(tokio::test)]
async fn a_limit_is_taken_from_any_response(reply: Reply) -> Result<()> {
    let (entry, server) = entry_with_reply(reply).await?;
    assert_eq!(current_limit(&entry), Some(0.1));
    let started = Instant::now();
    for _ in 0..5 {
        let answer = entry.request(PLAIN_PATH).await?;
        assert!(is_at_limit(&answer), "{answer}");
    }
    assert!(started.elapsed() < IMMEDIATE, "requests are refused immediately");
    assert_eq!(server.received(), 1);
    assert_eq!(entry.shared.metrics.servers_held_back.with_label_values(&["limited"]).get(), 1);
    Ok(())
}

#[yare::parameterized(
    negative = { success_with("dockwood-limit: -1\r\n"), 1 },
    not_a_number = { success_with("dockwood-limit: few\r\n"), 1 },
    infinite = { success_with("dockwood-limit: inf\r\n"), 1 },
    misdirected = { rejection_reply("421 Misdirected Request", LIMIT_HEADER), 0 },
    absent = { success_reply(), 0 },
)]
#[test_macro(tokio::test)]
async fn a_response_without_a_valid_limit_changes_nothing(reply: Reply, unreadable: u64) -> Result<()> {
    let (entry, _server) = entry_with_reply(reply).await?;
    assert_eq!(current_limit(&entry), None);
    assert_eq!(entry.shared.metrics.server_signals.with_label_values(&["unreadable"]).get(), unreadable);
    let answer = entry.request(PLAIN_PATH).await?;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    Ok(())
}

/// A header that can't be parsed does not end the limit either.
#[tokio::test]
async fn a_limit_lasts_until_a_response_without_it() -> Result<()> {
    let high_limit = "dockwood-limit: 1000\r\n";
    let replies = vec![
        success_with(high_limit),
        success_with("dockwood-limit: few\r\n"),
        success_with(high_limit),
        success_reply(),
    ];
    let (entry, server) = entry_with_plain_server(replies).await?;
    request_until_received(&entry, PLAIN_PATH, &server).await?;
    for expected in [1_000.0, 1_000.0] {
        request_until_served(&entry).await?;
        assert_eq!(current_limit(&entry), Some(expected));
    }
    request_until_served(&entry).await?;
    assert_eq!(current_limit(&entry), Some(1_000.0), "the limit lasts during the slow start");
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(current_limit(&entry), None);
    let reasons: Vec<String> = server_events(&entry).into_iter().map(|(reason, _)| reason).collect();
    assert_eq!(reasons, ["NamedLimit", "LimitEnded"]);
    Ok(())
}

async fn request_until_served(entry: &Entry) -> Result<()> {
    let started = Instant::now();
    while !entry.request(PLAIN_PATH).await?.starts_with("HTTP/1.1 200") {
        assert!(started.elapsed() < IMMEDIATE, "the request is not served in time");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Ok(())
}

/// Returns the reasons and messages of the events on the server.
fn server_events(entry: &Entry) -> Vec<(String, String)> {
    let events = entry.shared.timeline.since(0).into_iter();
    let on_server =
        events.filter(|event| event.subject.kind == "instance" && event.subject.name == "board-z");
    on_server.map(|event| (event.reason, event.message)).collect()
}

#[tokio::test]
async fn the_event_names_the_server_the_limit_and_the_response() -> Result<()> {
    let (entry, _server) = entry_with_reply(success_with("dockwood-limit: 2.5\r\n")).await?;
    let server_events = server_events(&entry);
    assert_eq!(server_events.len(), 1, "{server_events:?}");
    assert_eq!(server_events[0].0, "NamedLimit");
    assert_eq!(
        server_events[0].1,
        "takes 2.5 requests a second from all senders; told with 200; request a-1"
    );
    Ok(())
}

/// A probe takes no request capacity, and a server must not count as dead because its limit is used up.
#[tokio::test]
async fn a_probe_is_exempt_from_the_limit() -> Result<()> {
    let (entry, _server) = entry_with_reply(success_with(LIMIT_HEADER)).await?;
    let send_target = || SendTarget::instance(&entry.shared.tables().gateway.instances["board-z"]);
    for _ in 0..5 {
        assert!(SendPermit::acquire(&entry.shared, send_target(), SendPurpose::Probe).await.is_ok());
    }
    let request = SendPermit::acquire(&entry.shared, send_target(), SendPurpose::Request { rank: 0 }).await;
    assert!(matches!(request, Err(Hold::AtLimit { .. })));
    Ok(())
}

/// During a back-off a server receives no requests, whatever its limit allows; no grant is acquired for them.
#[tokio::test]
async fn back_off_takes_precedence_over_a_limit() -> Result<()> {
    let both = format!("{NOT_RUN_HEADER}retry-after: 600\r\ndockwood-limit: 1000\r\n");
    let (entry, server) = entry_with_reply(rejection_reply("503 Service Unavailable", &both)).await?;
    let answer = entry.request(PLAIN_PATH).await?;
    assert!(answer.contains("ServersResting"), "{answer}");
    assert!(matches!(entry.shared.pushback.hold(&server_start()), Some(Hold::Resting { .. })));
    assert_eq!(server.received(), 1);
    Ok(())
}
