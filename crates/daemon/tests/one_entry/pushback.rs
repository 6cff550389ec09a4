//! Servers that ask for rest or say that they leave, in every form in which they may, and at the moments at which it is
//! easily missed.

use crate::entry::{Entry, eventually, runtime_that_accepts_first};
use crate::scripted_server::{Reply, ScriptedServer, rejects, serves};
use dockwood_daemon::clock::monotonic_ms;
use dockwood_daemon::pushback::{SendPermit, SendPurpose, SendTarget};
use dockwood_routing::pushback::{AnswerSignals, LeavingMark, NamedLimit, RetryAfter};
use futures::FutureExt;
use std::io::Result;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PLAIN: &str = "/once/1";
const STREAM: &str = "/stream/1";
/// Far longer than a test takes.
const LONG_REST: &str = "retry-after: 600\r\n";
const NOT_RUN: &str = "dockwood-not-run: 1\r\n";
/// A refusal that waits for nothing is there within this time.
const AT_ONCE: Duration = Duration::from_millis(500);

fn is_resting(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 503") && answer.contains("ServersResting") && answer.contains("retry-after")
}

/// An entry with one server of the plain service, which gives these answers first.
pub async fn with_plain_server(script: Vec<Reply>) -> Result<(Arc<Entry>, Arc<ScriptedServer>)> {
    let entry = Entry::start()?;
    entry.keep_lease();
    let server = ScriptedServer::start(script).await?;
    entry.register_start("board-z", Some(1), "board", "z", server.address);
    Ok((entry, server))
}

/// Asks until the server was asked once: the entry takes the published tables a moment later.
pub async fn ask_first(entry: &Entry, path: &str, server: &ScriptedServer) -> Result<String> {
    let begun = Instant::now();
    loop {
        let answer = entry.ask(path).await?;
        if server.arrived() > 0 {
            return Ok(answer);
        }
        assert!(begun.elapsed() < crate::entry::LIMIT, "the server is never asked: {answer}");
        tokio::time::sleep(Duration::from_millis(20)).await;
        entry.shared.extend_lease(monotonic_ms());
    }
}

fn a_date_to_come() -> String {
    // 2100-01-01 00:00:00 UTC, far enough for any clock.
    const FAR: u64 = 4_102_444_800;
    assert!(SystemTime::now() < UNIX_EPOCH + Duration::from_secs(FAR));
    "retry-after: Fri, 01 Jan 2100 00:00:00 GMT\r\n".to_string()
}

#[yare::parameterized(
    unavailable = { rejects("503 Service Unavailable", &format!("{NOT_RUN}{LONG_REST}")) },
    too_many = { rejects("429 Too Many Requests", &format!("{NOT_RUN}{LONG_REST}")) },
    without_not_run = { rejects("503 Service Unavailable", LONG_REST) },
    by_a_date = { rejects("503 Service Unavailable", &format!("{NOT_RUN}{}", a_date_to_come())) },
    with_a_fraction = { rejects("503 Service Unavailable", &format!("{NOT_RUN}retry-after: 599.5\r\n")) },
    twice_the_longer_counts = { rejects("503 Service Unavailable", &format!("{NOT_RUN}retry-after: 0\r\n{LONG_REST}")) },
    for_a_year = { rejects("503 Service Unavailable", &format!("{NOT_RUN}retry-after: 31536000\r\n")) },
    whose_body_breaks_off = {
        Reply::BytesAndClose(format!("HTTP/1.1 503 X\r\ndockwood-attempt: ATTEMPT\r\n{LONG_REST}content-length: 9\r\n\r\npart"))
    },
    in_the_answer_to_another_request = {
        Reply::Bytes(format!("HTTP/1.1 503 X\r\ndockwood-attempt: another\r\n{NOT_RUN}{LONG_REST}content-length: 0\r\n\r\n"))
    },
)]
#[test_macro(tokio::test)]
async fn rest_is_given_however_it_is_asked_for(reply: Reply) -> Result<()> {
    let (entry, server) = with_plain_server(vec![reply]).await?;
    ask_first(&entry, PLAIN, &server).await?;
    let begun = Instant::now();
    for _ in 0..5 {
        let answer = entry.ask(PLAIN).await?;
        assert!(is_resting(&answer), "{answer}");
    }
    assert!(begun.elapsed() < AT_ONCE, "nobody waits for it");
    assert_eq!(server.arrived(), 1);
    assert_eq!(entry.shared.metrics.servers_held_back.with_label_values(&["resting"]).get(), 1);
    Ok(())
}

#[yare::parameterized(
    a_time_that_cannot_be_read = { rejects("503 Service Unavailable", &format!("{NOT_RUN}retry-after: soon\r\n")), 1 },
    a_time_below_nothing = { rejects("503 Service Unavailable", &format!("{NOT_RUN}retry-after: -5\r\n")), 1 },
    no_time_at_all = { rejects("503 Service Unavailable", &format!("{NOT_RUN}retry-after: 0\r\n")), 0 },
    nothing_said = { rejects("503 Service Unavailable", NOT_RUN), 0 },
    by_another_server = { rejects("421 Misdirected Request", &format!("{LONG_REST}dockwood-leaving: 1\r\n")), 0 },
    a_mark_that_says_neither = { rejects("503 Service Unavailable", &format!("{NOT_RUN}dockwood-leaving: yes\r\n")), 1 },
    a_mark_that_denies_it = { rejects("503 Service Unavailable", &format!("{NOT_RUN}dockwood-leaving: 0\r\n")), 0 },
)]
#[test_macro(tokio::test)]
async fn what_asks_for_nothing_holds_nothing_back(reply: Reply, unreadable: u64) -> Result<()> {
    let (entry, server) = with_plain_server(vec![reply]).await?;
    ask_first(&entry, PLAIN, &server).await?;
    let answer = entry.ask(PLAIN).await?;
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
async fn a_server_that_leaves_is_sent_nothing_more_until_it_starts_again(answer: &str) -> Result<()> {
    let (entry, server) = with_plain_server(vec![Reply::Bytes(answer.to_string())]).await?;
    ask_first(&entry, PLAIN, &server).await?;
    // An older report arrives, by which it is ready: the leader doesn't know yet, or can't reach this entry.
    entry.register_start("board-z", Some(1), "board", "z", server.address);
    let begun = Instant::now();
    let refused = entry.ask(PLAIN).await?;
    assert!(refused.starts_with("HTTP/1.1 503") && refused.contains("NoServer"), "{refused}");
    assert!(begun.elapsed() < AT_ONCE);
    assert_eq!(server.arrived(), 1);
    entry.register_start("board-z", Some(2), "board", "z", server.address);
    let answer = entry.ask(PLAIN).await?;
    assert!(answer.ends_with("served"), "another start of it is another server: {answer}");
    Ok(())
}

#[tokio::test]
async fn a_rest_ends_with_the_process_that_asked_for_it() -> Result<()> {
    let rest = rejects("503 Service Unavailable", &format!("{NOT_RUN}{LONG_REST}"));
    let (entry, server) = with_plain_server(vec![rest]).await?;
    ask_first(&entry, PLAIN, &server).await?;
    assert!(is_resting(&entry.ask(PLAIN).await?));
    entry.register_start("board-z", Some(2), "board", "z", server.address);
    assert!(entry.ask(PLAIN).await?.ends_with("served"));
    Ok(())
}

#[tokio::test]
async fn another_server_at_the_same_address_owes_it_nothing() -> Result<()> {
    let rest = rejects("503 Service Unavailable", &format!("{NOT_RUN}{LONG_REST}"));
    let (entry, server) = with_plain_server(vec![rest]).await?;
    ask_first(&entry, PLAIN, &server).await?;
    assert!(is_resting(&entry.ask(PLAIN).await?));
    entry.register_start("successor", Some(2), "board", "z", server.address);
    assert!(entry.ask(PLAIN).await?.ends_with("served"));
    Ok(())
}

/// The head speaks for its group; it takes its rest with it where it leads another one.
#[tokio::test]
async fn a_head_that_leads_another_group_still_rests() -> Result<()> {
    let entry = Entry::start()?;
    let rest = rejects("503 Service Unavailable", &format!("{NOT_RUN}{LONG_REST}"));
    let server = ScriptedServer::start([rest]).await?;
    entry.register_start("head", Some(1), "writer", "z", server.address);
    entry.open_group("head");
    ask_first(&entry, STREAM, &server).await?;
    entry.end_group();
    entry.open_group("head");
    let open = || entry.shared.metrics.open_groups.with_label_values(&["writer"]).get() == 1;
    eventually("the entry knows of the group", open).await;
    assert!(is_resting(&entry.ask(STREAM).await?));
    assert_eq!(server.arrived(), 1);
    entry.end_group();
    entry.register_start("head", Some(2), "writer", "z", server.address);
    entry.open_group("head");
    tokio::time::sleep(Duration::from_millis(50)).await;
    entry.ask(STREAM).await?;
    assert_eq!(server.arrived(), 2, "after its restart it is asked");
    Ok(())
}

/// A rest that ends within half of the target is waited for, and one request goes first.
#[tokio::test]
async fn short_rests_are_waited_for_and_one_request_goes_first() -> Result<()> {
    let rest = rejects("503 Service Unavailable", &format!("{NOT_RUN}retry-after: 0.3\r\n"));
    let (entry, server) = with_plain_server(vec![rest]).await?;
    ask_first(&entry, PLAIN, &server).await?;
    server.may_answer.send_replace(false);
    let begun = Instant::now();
    let ask = || {
        let entry = entry.clone();
        tokio::spawn(async move { entry.ask(PLAIN).await })
    };
    let waiting: Vec<_> = (0..5).map(|_| ask()).collect();
    eventually("one of them goes", || server.arrived() == 2).await;
    assert!(begun.elapsed() >= Duration::from_millis(200), "not before the rest is over");
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(server.arrived(), 2, "the others wait for its answer");
    server.may_answer.send_replace(true);
    for answer in waiting {
        let answer = answer.await??;
        assert!(answer.ends_with("served"), "{answer}");
    }
    assert_eq!(server.arrived(), 6);
    Ok(())
}

/// A trial that is turned away is the only request that meets the next rest.
#[tokio::test]
async fn a_server_that_is_not_ready_after_its_rest_meets_one_request_a_rest() -> Result<()> {
    let rest = || rejects("503 Service Unavailable", &format!("{NOT_RUN}retry-after: 0.2\r\n"));
    let (entry, server) = with_plain_server(vec![rest(), rest(), rest()]).await?;
    ask_first(&entry, PLAIN, &server).await?;
    let begun = Instant::now();
    let ask = || {
        let entry = entry.clone();
        tokio::spawn(async move { entry.ask(PLAIN).await })
    };
    let waiting: Vec<_> = (0..8).map(|_| ask()).collect();
    for answer in waiting {
        answer.await??;
    }
    assert!(begun.elapsed() >= Duration::from_millis(300), "two more rests are over");
    let answer = entry.ask(PLAIN).await?;
    assert!(answer.ends_with("served"), "{answer}");
    assert!(server.arrived() <= 3 + 8 + 1, "{} requests", server.arrived());
    Ok(())
}

/// The answer to another request comes while the connection is being made: the request holds the server already, and is
/// not written.
#[yare::parameterized(
    plain = { PLAIN, "board" },
    stream = { STREAM, "writer" },
)]
fn a_request_that_holds_a_server_is_not_written_once_it_asks_for_rest(path: &str, service: &str) {
    let told = runtime_that_accepts_first().block_on(rests_while_connecting(path, service));
    told.unwrap_or_else(|error| panic!("{error}"));
}

/// Another request's answer asks for a long rest.
fn note_rest(entry: &Entry) {
    let tables = entry.shared.tables();
    let addressee = SendTarget::instance(&tables.gateway.instances["server"]);
    // Nothing is waited for: the server has named no limit.
    let asked = SendPermit::acquire(&entry.shared, addressee, SendPurpose::Probe).now_or_never();
    let Some(Ok(mut permit)) = asked else { return };
    let retry_after = RetryAfter::After(600_000);
    permit.record_response(
        &AnswerSignals { status: 503, retry_after, leaving: LeavingMark::Absent, limit: NamedLimit::Absent },
        "another",
    );
}

async fn rests_while_connecting(path: &str, service: &str) -> Result<()> {
    let entry = Entry::start()?;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    entry.register_start("server", Some(1), service, "z", listener.local_addr()?);
    if service == "writer" {
        entry.open_group("server");
        let open = || entry.shared.metrics.open_groups.with_label_values(&["writer"]).get() == 1;
        eventually("the entry knows of the group", open).await;
    }
    let accepted = Arc::new(Mutex::new(Vec::new()));
    let watching = {
        let (entry, accepted) = (entry.clone(), accepted.clone());
        std::future::poll_fn(move |context| {
            if let Ok((stream, _)) = listener.accept() {
                note_rest(&entry);
                accepted.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(stream);
            }
            context.waker().wake_by_ref();
            std::task::Poll::<()>::Pending
        })
    };
    let watching = tokio::spawn(watching);
    let answer = entry.ask(path).await?;
    watching.abort();
    assert!(is_resting(&answer), "{answer}");
    assert_eq!(entry.shared.metrics.held_back.with_label_values(&["stopped"]).get(), 1);
    let accepted = accepted.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    assert_eq!(accepted.len(), 1, "a connection was made");
    accepted[0].set_nonblocking(true)?;
    let written = accepted[0].peek(&mut [0_u8; 1]);
    assert!(!written.is_ok_and(|bytes| bytes > 0), "and nothing was written on it");
    Ok(())
}

/// What an operator sees of it.
#[tokio::test]
async fn each_step_is_on_the_time_line() -> Result<()> {
    let rest = rejects("503 Service Unavailable", &format!("{NOT_RUN}retry-after: 0.2\r\n"));
    let leaves =
        "HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\ndockwood-leaving: 1\r\ncontent-length: 0\r\n\r\n";
    let (entry, server) = with_plain_server(vec![rest, serves(), Reply::Bytes(leaves.to_string())]).await?;
    ask_first(&entry, PLAIN, &server).await?;
    for _ in 0..3 {
        entry.ask(PLAIN).await?;
    }
    let told: Vec<(String, String)> = entry
        .shared
        .timeline
        .since(0)
        .into_iter()
        .filter(|event| event.subject.kind == "instance" && event.subject.name == "board-z")
        .map(|event| (event.reason, event.message))
        .collect();
    let reasons: Vec<&str> = told.iter().map(|(reason, _)| reason.as_str()).collect();
    assert_eq!(reasons, ["AskedForRest", "RestEnded", "SaidItLeaves"], "{told:?}");
    assert!(told[0].1.starts_with("asked for 200 ms with 503, held back for "), "{told:?}");
    assert!(told[0].1.ends_with("; request a-1"), "{told:?}");
    Ok(())
}
