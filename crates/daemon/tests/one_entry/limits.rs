//! Servers that name a limit, in every form in which they may, and beside what else they ask for.

use crate::entry::Entry;
use crate::pushback::{ask_first, with_plain_server};
use crate::scripted_server::{Reply, ScriptedServer, rejects, serves};
use dockwood_daemon::pushback::{SendPermit, SendPurpose, SendTarget};
use dockwood_routing::pushback::{Hold, RequestRate, ServerStart};
use std::io::Result;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PLAIN: &str = "/once/1";
/// One request in ten seconds: far less than a test asks.
const LIMIT: &str = "dockwood-limit: 0.1\r\n";
const NOT_RUN: &str = "dockwood-not-run: 1\r\n";
/// A refusal that waits for nothing is there within this time.
const AT_ONCE: Duration = Duration::from_millis(500);

fn is_at_limit(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 503") && answer.contains("ServersAtLimit") && answer.contains("retry-after")
}

fn start() -> ServerStart {
    ServerStart { id: "board-z".to_string(), started_ms: Some(1) }
}

fn limit_of(entry: &Entry) -> Option<f64> {
    entry.shared.pushback.limit(&start()).map(RequestRate::per_second)
}

fn serves_with(headers: &str) -> Reply {
    Reply::Bytes(format!(
        "HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\n{headers}content-length: 6\r\n\r\nserved"
    ))
}

async fn told_by(reply: Reply) -> Result<(Arc<Entry>, Arc<ScriptedServer>)> {
    let (entry, server) = with_plain_server(vec![reply]).await?;
    ask_first(&entry, PLAIN, &server).await?;
    Ok((entry, server))
}

#[yare::parameterized(
    with_a_success = { serves_with(LIMIT) },
    with_a_rejection = { rejects("503 Service Unavailable", &format!("{NOT_RUN}{LIMIT}")) },
    with_a_failure = { rejects("500 Internal Server Error", LIMIT) },
    the_lowest_of_several = { serves_with(&format!("dockwood-limit: 7\r\n{LIMIT}dockwood-limit: few\r\n")) },
    whose_body_breaks_off = {
        Reply::BytesAndClose(format!("HTTP/1.1 200 X\r\ndockwood-attempt: ATTEMPT\r\n{LIMIT}content-length: 9\r\n\r\npart"))
    },
    in_the_answer_to_another_request = {
        Reply::Bytes(format!("HTTP/1.1 200 X\r\ndockwood-attempt: another\r\n{LIMIT}content-length: 0\r\n\r\n"))
    },
)]
#[test_macro(tokio::test)]
async fn a_limit_is_learnt_from_any_answer(reply: Reply) -> Result<()> {
    let (entry, server) = told_by(reply).await?;
    assert_eq!(limit_of(&entry), Some(0.1));
    let begun = Instant::now();
    for _ in 0..5 {
        let answer = entry.ask(PLAIN).await?;
        assert!(is_at_limit(&answer), "{answer}");
    }
    assert!(begun.elapsed() < AT_ONCE, "nobody waits for ten seconds");
    assert_eq!(server.arrived(), 1);
    assert_eq!(entry.shared.metrics.servers_held_back.with_label_values(&["limited"]).get(), 1);
    Ok(())
}

#[yare::parameterized(
    negative = { serves_with("dockwood-limit: -1\r\n"), 1 },
    a_word = { serves_with("dockwood-limit: few\r\n"), 1 },
    infinite = { serves_with("dockwood-limit: inf\r\n"), 1 },
    by_another_server = { rejects("421 Misdirected Request", LIMIT), 0 },
    nothing = { serves(), 0 },
)]
#[test_macro(tokio::test)]
async fn what_names_no_limit_changes_nothing(reply: Reply, unreadable: u64) -> Result<()> {
    let (entry, _server) = told_by(reply).await?;
    assert_eq!(limit_of(&entry), None);
    assert_eq!(entry.shared.metrics.server_signals.with_label_values(&["unreadable"]).get(), unreadable);
    let answer = entry.ask(PLAIN).await?;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    Ok(())
}

/// What can't be read doesn't end it either.
#[tokio::test]
async fn a_limit_lasts_until_an_answer_without_it() -> Result<()> {
    let many = "dockwood-limit: 1000\r\n";
    let replies =
        vec![serves_with(many), serves_with("dockwood-limit: few\r\n"), serves_with(many), serves()];
    let (entry, server) = with_plain_server(replies).await?;
    ask_first(&entry, PLAIN, &server).await?;
    for expected in [1_000.0, 1_000.0] {
        ask_until_served(&entry).await?;
        assert_eq!(limit_of(&entry), Some(expected));
    }
    ask_until_served(&entry).await?;
    assert_eq!(limit_of(&entry), Some(1_000.0), "its slow start");
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(limit_of(&entry), None);
    let reasons: Vec<String> = told(&entry).into_iter().map(|(reason, _)| reason).collect();
    assert_eq!(reasons, ["NamedLimit", "LimitEnded"]);
    Ok(())
}

async fn ask_until_served(entry: &Entry) -> Result<()> {
    let begun = Instant::now();
    while !entry.ask(PLAIN).await?.starts_with("HTTP/1.1 200") {
        assert!(begun.elapsed() < AT_ONCE, "it is never served");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Ok(())
}

/// Events on the server, by reason and message.
fn told(entry: &Entry) -> Vec<(String, String)> {
    let events = entry.shared.timeline.since(0).into_iter();
    let on_server =
        events.filter(|event| event.subject.kind == "instance" && event.subject.name == "board-z");
    on_server.map(|event| (event.reason, event.message)).collect()
}

#[tokio::test]
async fn the_time_line_tells_who_named_what_and_in_which_answer() -> Result<()> {
    let (entry, _server) = told_by(serves_with("dockwood-limit: 2.5\r\n")).await?;
    let told = told(&entry);
    assert_eq!(told.len(), 1, "{told:?}");
    assert_eq!(told[0].0, "NamedLimit");
    assert_eq!(told[0].1, "takes 2.5 requests a second from all senders; told with 200; request a-1");
    Ok(())
}

/// A server that is asked how it is does not work on that, and must not be taken for dead because its limit is used up.
#[tokio::test]
async fn a_question_about_the_server_takes_no_turn() -> Result<()> {
    let (entry, _server) = told_by(serves_with(LIMIT)).await?;
    let addressee = || SendTarget::instance(&entry.shared.tables().gateway.instances["board-z"]);
    for _ in 0..5 {
        assert!(SendPermit::acquire(&entry.shared, addressee(), SendPurpose::Probe).await.is_ok());
    }
    let request = SendPermit::acquire(&entry.shared, addressee(), SendPurpose::Request { rank: 0 }).await;
    assert!(matches!(request, Err(Hold::AtLimit { .. })));
    Ok(())
}

/// A server that rests gets nothing, whatever it would take after that; no turn is taken for it.
#[tokio::test]
async fn a_rest_goes_before_a_limit() -> Result<()> {
    let both = format!("{NOT_RUN}retry-after: 600\r\ndockwood-limit: 1000\r\n");
    let (entry, server) = told_by(rejects("503 Service Unavailable", &both)).await?;
    let answer = entry.ask(PLAIN).await?;
    assert!(answer.contains("ServersResting"), "{answer}");
    assert!(matches!(entry.shared.pushback.hold(&start()), Some(Hold::Resting { .. })));
    assert_eq!(server.arrived(), 1);
    Ok(())
}
