//! Servers that request a back-off or announce their shutdown: all forms of the headers, and the situations in which
//! the signal could be missed.

use crate::entry::{Entry, runtime_with_early_accept, wait_until};
use crate::scripted_server::{Reply, ScriptedServer, rejection_reply, success_reply};
use dockwood_daemon::clock::monotonic_ms;
use dockwood_daemon::pushback::{SendPermit, SendPurpose, SendTarget};
use dockwood_routing::pushback::{AnswerSignals, LeavingMark, NamedLimit, RetryAfter};
use futures::FutureExt;
use std::io::Result;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PLAIN_PATH: &str = "/once/1";
const STREAM_PATH: &str = "/stream/1";
/// A back-off far longer than a test takes.
const LONG_BACKOFF_HEADER: &str = "retry-after: 600\r\n";
const NOT_RUN_HEADER: &str = "dockwood-not-run: 1\r\n";
/// Time limit for immediate refusals.
const IMMEDIATE: Duration = Duration::from_millis(500);

fn is_refused_for_backoff(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 503") && answer.contains("ServersResting") && answer.contains("retry-after")
}

/// Starts an entry with one server of the plain service, which sends the scripted responses first.
pub async fn entry_with_plain_server(script: Vec<Reply>) -> Result<(Arc<Entry>, Arc<ScriptedServer>)> {
    let entry = Entry::start()?;
    entry.renew_lease_continuously();
    let server = ScriptedServer::start(script).await?;
    entry.register_with_start("board-z", Some(1), "board", "z", server.address);
    Ok((entry, server))
}

/// Sends requests until the server has received one, because the entry applies published tables with a delay.
pub async fn request_until_received(entry: &Entry, path: &str, server: &ScriptedServer) -> Result<String> {
    let started = Instant::now();
    loop {
        let answer = entry.request(path).await?;
        if server.received() > 0 {
            return Ok(answer);
        }
        assert!(
            started.elapsed() < crate::entry::TEST_TIMEOUT,
            "the server never receives a request: {answer}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
        entry.shared.extend_lease(monotonic_ms());
    }
}

fn retry_after_date() -> String {
    // 2100-01-01 00:00:00 UTC, in the future for any clock.
    const FUTURE_DATE: u64 = 4_102_444_800;
    assert!(SystemTime::now() < UNIX_EPOCH + Duration::from_secs(FUTURE_DATE));
    "retry-after: Fri, 01 Jan 2100 00:00:00 GMT\r\n".to_string()
}

#[yare::parameterized(
    service_unavailable = { rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}{LONG_BACKOFF_HEADER}")) },
    too_many_requests = { rejection_reply("429 Too Many Requests", &format!("{NOT_RUN_HEADER}{LONG_BACKOFF_HEADER}")) },
    without_not_run = { rejection_reply("503 Service Unavailable", LONG_BACKOFF_HEADER) },
    with_a_date = { rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}{}", retry_after_date())) },
    with_a_fraction = { rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}retry-after: 599.5\r\n")) },
    the_longest_of_several = { rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}retry-after: 0\r\n{LONG_BACKOFF_HEADER}")) },
    for_a_year = { rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}retry-after: 31536000\r\n")) },
    with_a_truncated_body = {
        Reply::BytesAndClose(format!("HTTP/1.1 503 X\r\ndockwood-attempt: ATTEMPT\r\n{LONG_BACKOFF_HEADER}content-length: 9\r\n\r\npart"))
    },
    in_a_response_with_another_attempt_id = {
        Reply::Bytes(format!("HTTP/1.1 503 X\r\ndockwood-attempt: another\r\n{NOT_RUN_HEADER}{LONG_BACKOFF_HEADER}content-length: 0\r\n\r\n"))
    },
)]
#[test_macro(tokio::test)]
async fn a_back_off_request_is_honored_in_every_form(reply: Reply) -> Result<()> {
    let (entry, server) = entry_with_plain_server(vec![reply]).await?;
    request_until_received(&entry, PLAIN_PATH, &server).await?;
    let started = Instant::now();
    for _ in 0..5 {
        let answer = entry.request(PLAIN_PATH).await?;
        assert!(is_refused_for_backoff(&answer), "{answer}");
    }
    assert!(started.elapsed() < IMMEDIATE, "requests are refused immediately");
    assert_eq!(server.received(), 1);
    assert_eq!(entry.shared.metrics.servers_held_back.with_label_values(&["resting"]).get(), 1);
    Ok(())
}

#[yare::parameterized(
    invalid_time = { rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}retry-after: soon\r\n")), 1 },
    negative_time = { rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}retry-after: -5\r\n")), 1 },
    zero_time = { rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}retry-after: 0\r\n")), 0 },
    absent = { rejection_reply("503 Service Unavailable", NOT_RUN_HEADER), 0 },
    misdirected = { rejection_reply("421 Misdirected Request", &format!("{LONG_BACKOFF_HEADER}dockwood-leaving: 1\r\n")), 0 },
    invalid_leaving_header = { rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}dockwood-leaving: yes\r\n")), 1 },
    negative_leaving_header = { rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}dockwood-leaving: 0\r\n")), 0 },
)]
#[test_macro(tokio::test)]
async fn a_response_without_a_valid_signal_has_no_effect(reply: Reply, unreadable: u64) -> Result<()> {
    let (entry, server) = entry_with_plain_server(vec![reply]).await?;
    request_until_received(&entry, PLAIN_PATH, &server).await?;
    let answer = entry.request(PLAIN_PATH).await?;
    assert!(answer.ends_with("served"), "{answer}");
    assert_eq!(entry.shared.metrics.server_signals.with_label_values(&["unreadable"]).get(), unreadable);
    Ok(())
}

#[yare::parameterized(
    with_a_success = { "HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\ndockwood-leaving: 1\r\ncontent-length: 0\r\n\r\n" },
    with_a_rejection = { "HTTP/1.1 503 X\r\ndockwood-attempt: ATTEMPT\r\ndockwood-not-run: 1\r\ndockwood-leaving: 1\r\ncontent-length: 0\r\n\r\n" },
    with_a_failure = { "HTTP/1.1 500 X\r\ndockwood-attempt: ATTEMPT\r\ndockwood-leaving: 1\r\ncontent-length: 0\r\n\r\n" },
    twice = { "HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\ndockwood-leaving: 1\r\ndockwood-leaving: 1\r\ncontent-length: 0\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn a_leaving_server_receives_no_requests_until_it_restarts(answer: &str) -> Result<()> {
    let (entry, server) = entry_with_plain_server(vec![Reply::Bytes(answer.to_string())]).await?;
    request_until_received(&entry, PLAIN_PATH, &server).await?;
    // An outdated report says that the server is ready: the leader has not learned of the shutdown yet, or can't reach
    // this entry.
    entry.register_with_start("board-z", Some(1), "board", "z", server.address);
    let started = Instant::now();
    let refused = entry.request(PLAIN_PATH).await?;
    assert!(refused.starts_with("HTTP/1.1 503") && refused.contains("NoServer"), "{refused}");
    assert!(started.elapsed() < IMMEDIATE);
    assert_eq!(server.received(), 1);
    entry.register_with_start("board-z", Some(2), "board", "z", server.address);
    let answer = entry.request(PLAIN_PATH).await?;
    assert!(answer.ends_with("served"), "after its restart the server counts as another one: {answer}");
    Ok(())
}

#[tokio::test]
async fn a_back_off_ends_when_the_server_restarts() -> Result<()> {
    let backoff_reply =
        rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}{LONG_BACKOFF_HEADER}"));
    let (entry, server) = entry_with_plain_server(vec![backoff_reply]).await?;
    request_until_received(&entry, PLAIN_PATH, &server).await?;
    assert!(is_refused_for_backoff(&entry.request(PLAIN_PATH).await?));
    entry.register_with_start("board-z", Some(2), "board", "z", server.address);
    assert!(entry.request(PLAIN_PATH).await?.ends_with("served"));
    Ok(())
}

#[tokio::test]
async fn a_back_off_does_not_apply_to_another_server_at_the_same_address() -> Result<()> {
    let backoff_reply =
        rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}{LONG_BACKOFF_HEADER}"));
    let (entry, server) = entry_with_plain_server(vec![backoff_reply]).await?;
    request_until_received(&entry, PLAIN_PATH, &server).await?;
    assert!(is_refused_for_backoff(&entry.request(PLAIN_PATH).await?));
    entry.register_with_start("successor", Some(2), "board", "z", server.address);
    assert!(entry.request(PLAIN_PATH).await?.ends_with("served"));
    Ok(())
}

/// The head's signals apply to its group. Its back-off also applies to the next group that it is the head of.
#[tokio::test]
async fn a_back_off_of_a_head_applies_to_its_next_group() -> Result<()> {
    let entry = Entry::start()?;
    let backoff_reply =
        rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}{LONG_BACKOFF_HEADER}"));
    let server = ScriptedServer::start([backoff_reply]).await?;
    entry.register_with_start("head", Some(1), "writer", "z", server.address);
    entry.open_group("head");
    request_until_received(&entry, STREAM_PATH, &server).await?;
    entry.end_group();
    entry.open_group("head");
    let is_group_open = || entry.shared.metrics.open_groups.with_label_values(&["writer"]).get() == 1;
    wait_until("the entry knows of the group", is_group_open).await;
    assert!(is_refused_for_backoff(&entry.request(STREAM_PATH).await?));
    assert_eq!(server.received(), 1);
    entry.end_group();
    entry.register_with_start("head", Some(2), "writer", "z", server.address);
    entry.open_group("head");
    tokio::time::sleep(Duration::from_millis(50)).await;
    entry.request(STREAM_PATH).await?;
    assert_eq!(server.received(), 2, "after its restart the head receives requests");
    Ok(())
}

/// Requests wait for a back-off that ends within half of the target latency. Then one request is sent first as a probe.
#[tokio::test]
async fn requests_wait_for_a_short_back_off_and_one_probes_first() -> Result<()> {
    let backoff_reply =
        rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}retry-after: 0.3\r\n"));
    let (entry, server) = entry_with_plain_server(vec![backoff_reply]).await?;
    request_until_received(&entry, PLAIN_PATH, &server).await?;
    server.may_answer.send_replace(false);
    let started = Instant::now();
    let spawn_request = || {
        let entry = entry.clone();
        tokio::spawn(async move { entry.request(PLAIN_PATH).await })
    };
    let waiting: Vec<_> = (0..5).map(|_| spawn_request()).collect();
    wait_until("one of the requests is sent", || server.received() == 2).await;
    assert!(started.elapsed() >= Duration::from_millis(200), "no request is sent before the back-off ends");
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(server.received(), 2, "the others wait for the response to the probe");
    server.may_answer.send_replace(true);
    for answer in waiting {
        let answer = answer.await??;
        assert!(answer.ends_with("served"), "{answer}");
    }
    assert_eq!(server.received(), 6);
    Ok(())
}

/// If the probe is rejected, no other request is sent until the next back-off ends.
#[tokio::test]
async fn a_server_that_stays_unavailable_receives_one_probe_per_back_off() -> Result<()> {
    let backoff_reply =
        || rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}retry-after: 0.2\r\n"));
    let (entry, server) =
        entry_with_plain_server(vec![backoff_reply(), backoff_reply(), backoff_reply()]).await?;
    request_until_received(&entry, PLAIN_PATH, &server).await?;
    let started = Instant::now();
    let spawn_request = || {
        let entry = entry.clone();
        tokio::spawn(async move { entry.request(PLAIN_PATH).await })
    };
    let waiting: Vec<_> = (0..8).map(|_| spawn_request()).collect();
    for answer in waiting {
        answer.await??;
    }
    assert!(started.elapsed() >= Duration::from_millis(300), "two more back-offs have passed");
    let answer = entry.request(PLAIN_PATH).await?;
    assert!(answer.ends_with("served"), "{answer}");
    assert!(server.received() <= 3 + 8 + 1, "{} requests", server.received());
    Ok(())
}

/// The response to another request arrives while the connection is being established: the request is already assigned
/// to the server, and must not be written.
#[yare::parameterized(
    plain = { PLAIN_PATH, "board" },
    stream = { STREAM_PATH, "writer" },
)]
fn a_request_is_not_written_if_its_server_backs_off_while_it_connects(path: &str, service: &str) {
    let result = runtime_with_early_accept().block_on(back_off_while_connecting(path, service));
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Records a response to another request that requests a long back-off.
fn record_backoff(entry: &Entry) {
    let tables = entry.shared.tables();
    let send_target = SendTarget::instance(&tables.gateway.instances["server"]);
    // Resolves immediately, because the server has announced no limit.
    let permit = SendPermit::acquire(&entry.shared, send_target, SendPurpose::Probe).now_or_never();
    let Some(Ok(mut permit)) = permit else { return };
    let retry_after = RetryAfter::After(600_000);
    permit.record_response(
        &AnswerSignals { status: 503, retry_after, leaving: LeavingMark::Absent, limit: NamedLimit::Absent },
        "another",
    );
}

async fn back_off_while_connecting(path: &str, service: &str) -> Result<()> {
    let entry = Entry::start()?;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    entry.register_with_start("server", Some(1), service, "z", listener.local_addr()?);
    if service == "writer" {
        entry.open_group("server");
        let is_group_open = || entry.shared.metrics.open_groups.with_label_values(&["writer"]).get() == 1;
        wait_until("the entry knows of the group", is_group_open).await;
    }
    let accepted = Arc::new(Mutex::new(Vec::new()));
    let server_task = {
        let (entry, accepted) = (entry.clone(), accepted.clone());
        std::future::poll_fn(move |context| {
            if let Ok((stream, _)) = listener.accept() {
                record_backoff(&entry);
                accepted.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(stream);
            }
            context.waker().wake_by_ref();
            std::task::Poll::<()>::Pending
        })
    };
    let server_task = tokio::spawn(server_task);
    let answer = entry.request(path).await?;
    server_task.abort();
    assert!(is_refused_for_backoff(&answer), "{answer}");
    assert_eq!(entry.shared.metrics.held_back.with_label_values(&["stopped"]).get(), 1);
    let accepted = accepted.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    assert_eq!(accepted.len(), 1, "a connection was established");
    accepted[0].set_nonblocking(true)?;
    let written = accepted[0].peek(&mut [0_u8; 1]);
    assert!(!written.is_ok_and(|bytes| bytes > 0), "nothing was written to the connection");
    Ok(())
}

/// Operators can follow the steps in the events.
#[tokio::test]
async fn each_step_is_recorded_as_an_event() -> Result<()> {
    let backoff_reply =
        rejection_reply("503 Service Unavailable", &format!("{NOT_RUN_HEADER}retry-after: 0.2\r\n"));
    let leaving_reply =
        "HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\ndockwood-leaving: 1\r\ncontent-length: 0\r\n\r\n";
    let (entry, server) = entry_with_plain_server(vec![
        backoff_reply,
        success_reply(),
        Reply::Bytes(leaving_reply.to_string()),
    ])
    .await?;
    request_until_received(&entry, PLAIN_PATH, &server).await?;
    for _ in 0..3 {
        entry.request(PLAIN_PATH).await?;
    }
    let events: Vec<(String, String)> = entry
        .shared
        .timeline
        .since(0)
        .into_iter()
        .filter(|event| event.subject.kind == "instance" && event.subject.name == "board-z")
        .map(|event| (event.reason, event.message))
        .collect();
    let reasons: Vec<&str> = events.iter().map(|(reason, _)| reason.as_str()).collect();
    assert_eq!(reasons, ["AskedForRest", "RestEnded", "SaidItLeaves"], "{events:?}");
    assert!(events[0].1.starts_with("asked for 200 ms with 503, held back for "), "{events:?}");
    assert!(events[0].1.ends_with("; request a-1"), "{events:?}");
    Ok(())
}
