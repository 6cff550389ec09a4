//! Responses without a length that end with their connection: a crash of the server looks like the end of the response.
//!
//! Guards against a fault in which such a response was passed on as complete, and cleared its request of suspicion.

use crate::entry::{Entry, TEST_TIMEOUT, wait_until};
use crate::pushback::request_until_received;
use crate::scripted_server::{Reply, ScriptedServer};
use crate::server_calls::Call;
use std::io::Result;
use std::sync::Arc;
use std::time::{Duration, Instant};

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\nconnection: close\r\ncontent-type: text/event-stream\r\n\r\n";
const PLAIN_HEAD: &str = "HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\nconnection: close\r\n\r\n";
const TWO_EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
const STREAM: &str = "/stream/1";
const PLAIN: &str = "/once/1";
/// A response that the entry ends is ended by this chunk, or by its declared length.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";
/// Time for which the server's socket outlives the connection in a crash.
const LISTENER_OUTLIVES: Duration = Duration::from_millis(2);

/// Starts an entry with one server of the service that `path` leads to, which sends one response and closes the connection.
async fn entry_with_server(path: &str, response: String) -> Result<(Arc<Entry>, Arc<ScriptedServer>)> {
    let entry = Entry::start()?;
    entry.renew_lease_continuously();
    let server = ScriptedServer::start([Reply::BytesAndClose(response)]).await?;
    let service = if path == STREAM { "writer" } else { "board" };
    entry.add(service, "z", server.address);
    Ok((entry, server))
}

/// Ends a server soon after it has received its first request and closed the connection.
async fn crash_after_response(server: Arc<ScriptedServer>) {
    let started = Instant::now();
    while server.received() == 0 {
        assert!(started.elapsed() < TEST_TIMEOUT, "the server receives no request");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    tokio::time::sleep(LISTENER_OUTLIVES).await;
    server.stop();
}

fn is_complete(answer: &str) -> bool {
    let has_length = answer.to_ascii_lowercase().contains("content-length: ");
    answer.starts_with("HTTP/1.1 200") && (has_length || answer.ends_with(LAST_CHUNK))
}

#[yare::parameterized(
    stream_after_two_events = { STREAM, STREAM_HEAD, TWO_EVENTS },
    stream_without_events = { STREAM, STREAM_HEAD, "" },
    stream_within_an_event = { STREAM, STREAM_HEAD, "id: 1\ndata: one\n\nid: 2\nda" },
    plain = { PLAIN, PLAIN_HEAD, "half an ans" },
)]
#[test_macro(tokio::test)]
async fn a_response_that_ends_with_the_crash_of_its_server_is_broken_off(
    path: &str,
    head: &str,
    body: &str,
) -> Result<()> {
    let (entry, server) = entry_with_server(path, format!("{head}{body}")).await?;
    let crash = tokio::spawn(crash_after_response(server.clone()));
    let answer = request_until_received(&entry, path, &server).await?;
    crash.await?;
    assert!(!is_complete(&answer), "{answer}");
    wait_until("the crash is not recorded", || entry.shared.metrics.sends_server_ended.get() == 1).await;
    Ok(())
}

#[yare::parameterized(
    stream_after_two_events = { STREAM, STREAM_HEAD, TWO_EVENTS },
    stream_without_events = { STREAM, STREAM_HEAD, "" },
    plain = { PLAIN, PLAIN_HEAD, "whole" },
)]
#[test_macro(tokio::test)]
async fn a_response_that_ends_with_its_connection_is_complete_if_its_server_lives(
    path: &str,
    head: &str,
    body: &str,
) -> Result<()> {
    let (entry, server) = entry_with_server(path, format!("{head}{body}")).await?;
    let answer = request_until_received(&entry, path, &server).await?;
    assert!(is_complete(&answer), "{answer}");
    assert_eq!(entry.shared.metrics.sends_server_ended.get(), 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_response_that_ends_with_the_crash_of_its_server_is_broken_off() -> Result<()> {
    let response = format!("{PLAIN_HEAD}half an ans");
    let server = ScriptedServer::start([Reply::BytesAndClose(response.clone())]).await?;
    let crash = tokio::spawn(crash_after_response(server.clone()));
    assert!(!Call::Service.is_answered(server.address).await?);
    crash.await?;
    let server = ScriptedServer::start([Reply::BytesAndClose(response)]).await?;
    assert!(Call::Service.is_answered(server.address).await?);
    Ok(())
}
