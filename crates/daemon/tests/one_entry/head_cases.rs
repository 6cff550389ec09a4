//! Responses with given heads, and what a caller gets for them on each path on which requests are answered.

use crate::entry::{Entry, TEST_TIMEOUT, send_request};
use crate::scripted_server::{Reply, ScriptedServer};
use dockwood_daemon::clock::monotonic_ms;
use std::io::Result;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const ONCE: &str = "/once/1";
pub const AGAIN: &str = "/again/1";
const STREAM: &str = "/stream/1";
pub const PATHS: [&str; 3] = [ONCE, AGAIN, STREAM];
pub const OK: &str = "200 OK";
pub const ATTEMPT: &str = "dockwood-attempt: ATTEMPT\r\n";
/// Deadline of the requests: a response whose head was taken for one without a length waits for the end of its connection.
const DEADLINE_MS: u64 = 1_500;

/// Returns the body that the server of this path sends.
pub fn body_of(path: &str) -> &'static str {
    if path == STREAM { "id: 1\ndata: whole!\n\n" } else { "whole!" }
}

/// Returns a head with these lines.
pub fn head(path: &str, status: &str, lines: &str) -> String {
    let content_type = if path == STREAM { "content-type: text/event-stream\r\n" } else { "" };
    format!("HTTP/1.1 {status}\r\n{content_type}{lines}\r\n")
}

/// Returns a response with the length of its body, and these lines in its head.
pub fn with_length(path: &str, status: &str, lines: &str) -> String {
    let body = body_of(path);
    format!("{}{body}", head(path, status, &format!("{lines}content-length: {}\r\n", body.len())))
}

/// Returns what a caller gets if the server sends this reply to its request.
pub async fn answer_to(method: &str, path: &str, reply: Reply) -> Result<String> {
    answer_of(Entry::start()?, method, path, reply).await
}

/// The same at this entry.
pub async fn answer_of(entry: Arc<Entry>, method: &str, path: &str, reply: Reply) -> Result<String> {
    entry.renew_lease_continuously();
    let server = ScriptedServer::start([reply]).await?;
    entry.add(if path == STREAM { "writer" } else { "board" }, "z", server.address);
    let headers =
        format!("dockwood-model: m\r\ndockwood-attempt: a-1\r\ndockwood-deadline-ms: {DEADLINE_MS}\r\n");
    let started = Instant::now();
    loop {
        let answer = send_request(entry.frontend, method, path, &headers).await?;
        if server.received() > 0 {
            return Ok(answer);
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "the server is not reached: {answer}");
        tokio::time::sleep(Duration::from_millis(20)).await;
        entry.shared.extend_lease(monotonic_ms());
    }
}

/// Checks on each path that a caller gets an error of the entry, whether the server closes its connection or not.
pub async fn assert_not_forwarded(response: impl Fn(&str) -> String) -> Result<()> {
    for path in PATHS {
        for reply in [Reply::BytesAndClose(response(path)), Reply::Bytes(response(path))] {
            let answer = answer_to("POST", path, reply.clone()).await?;
            assert!(is_entry_error(&answer), "{path}: {answer}\nin response to {reply:?}");
        }
    }
    Ok(())
}

/// Checks that a caller of a plain service gets an error of the entry if the server sends this reply.
pub async fn assert_not_forwarded_on_plain_paths(reply: Reply) -> Result<()> {
    for path in [ONCE, AGAIN] {
        let answer = answer_to("POST", path, reply.clone()).await?;
        assert!(is_entry_error(&answer), "{path}: {} bytes: {answer:.200}", answer.len());
    }
    Ok(())
}

/// Returns whether an answer is an error of the entry, without any part of the server's response.
pub fn is_entry_error(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 502 ") && !answer.contains("whole!")
}
