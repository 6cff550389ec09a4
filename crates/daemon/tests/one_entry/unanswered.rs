//! Callers' connections that end before a request on them was answered completely.

use crate::entry::{Entry, TEST_TIMEOUT, send_request, wait_until};
use crate::log_capture::{capture_log, lines_on};
use crate::pushback::request_until_received;
use crate::scripted_server::{Reply, ScriptedServer, success_reply};
use std::io::Result;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// More than all socket buffers between an entry and a caller together.
const HUGE_BYTES: usize = 8 << 20;
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;
const PATH: &str = "/once/1";
const REQUEST: &[u8] =
    b"POST /once/1 HTTP/1.1\r\nhost: h\r\ndockwood-attempt: a-1\r\ncontent-length: 0\r\n\r\n";
const INCOMPLETE_HEAD: &[u8] = b"POST /once/1 HTTP/1.1\r\nhost: h\r\n";

async fn start_entry(reply: Reply) -> Result<(Arc<Entry>, Arc<ScriptedServer>)> {
    capture_log();
    let entry = Entry::start()?;
    entry.renew_lease_continuously();
    let server = ScriptedServer::start_with([], reply).await?;
    entry.add("board", "z", server.address);
    request_until_received(&entry, PATH, &server).await?;
    Ok((entry, server))
}

/// Reads a response of [`success_reply`] on a connection that stays open.
async fn read_response(caller: &mut TcpStream) -> Result<String> {
    let mut response = Vec::new();
    while !response.ends_with(b"served") {
        response.push(caller.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&response).into_owned())
}

/// Returns a connection on which a request was answered, and which is idle now.
async fn connect_and_request(entry: &Entry) -> Result<TcpStream> {
    let mut caller = TcpStream::connect(entry.frontend).await?;
    caller.write_all(REQUEST).await?;
    read_response(&mut caller).await?;
    Ok(caller)
}

fn unanswered(entry: &Entry, unanswered: &str, ended_by: &str) -> u64 {
    entry.shared.metrics.unanswered_callers.with_label_values(&[unanswered, ended_by]).get()
}

fn all_unanswered(entry: &Entry) -> u64 {
    let text = String::from_utf8_lossy(&entry.shared.metrics.render()).into_owned();
    let samples = text.lines().filter(|line| line.starts_with("dockwood_unanswered_callers_total{"));
    samples.filter_map(|line| line.rsplit_once(' ')?.1.parse::<u64>().ok()).sum()
}

/// A response that is received completely before it is forwarded, as its caller speaks HTTP/1.0.
#[tokio::test]
async fn a_response_that_was_not_written_completely_has_its_line() -> Result<()> {
    let body = "x".repeat(HUGE_BYTES);
    let response = format!(
        "HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\ntransfer-encoding: chunked\r\n\r\n{HUGE_BYTES:x}\r\n{body}\r\n0\r\n\r\n"
    );
    let (entry, _server) = start_entry(Reply::Bytes(response)).await?;
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let mut caller = socket.connect(entry.frontend).await?;
    let head = format!("POST {PATH} HTTP/1.0\r\nhost: h\r\ndockwood-attempt: unwritten\r\n\r\n");
    caller.write_all(head.as_bytes()).await?;
    let mut status = [0; 12];
    caller.read_exact(&mut status).await?;
    assert_eq!(&status, b"HTTP/1.0 200");
    wait_until("the request has not ended", || entry.shared.in_flight() == 0).await;
    drop(caller);
    wait_until("the end is not counted", || unanswered(&entry, "unwrittenResponse", "caller") == 1).await;
    let lines = lines_on("callerConnection", "unwritten");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!((&lines[0]["status"], &lines[0]["endedBy"]), (&200.into(), &"caller".into()));
    Ok(())
}

#[derive(Clone, Copy, Debug)]
enum End {
    CallerCloses,
    EntryStops,
    CallerSends(&'static [u8]),
}

#[yare::parameterized(
    closed_by_the_caller = { End::CallerCloses, "caller" },
    planned_stop = { End::EntryStops, "plannedStop" },
    malformed = { End::CallerSends(b"\0\r\n\r\n"), "badRequest" },
)]
#[test_macro(tokio::test)]
async fn a_request_of_which_only_a_part_was_received_has_its_line(end: End, ended_by: &str) -> Result<()> {
    let (entry, _server) = start_entry(success_reply()).await?;
    let mut caller = connect_and_request(&entry).await?;
    caller.write_all(INCOMPLETE_HEAD).await?;
    // The bytes have been read once another request was answered.
    for _ in 0..3 {
        entry.request(PATH).await?;
    }
    match end {
        End::CallerCloses => caller.shutdown().await?,
        End::EntryStops => entry.gateway.close_connections().await,
        End::CallerSends(bytes) => caller.write_all(bytes).await?,
    }
    wait_until("the end is not counted", || unanswered(&entry, "incompleteRequest", ended_by) == 1).await;
    assert_eq!(all_unanswered(&entry), 1);
    Ok(())
}

#[yare::parameterized(
    answered = { "POST", PATH, "", "200" },
    without_body = { "HEAD", PATH, "", "200" },
    refused = { "POST", "/unknown/1", "content-length: 5\r\n\r\nhello", "404" },
)]
#[test_macro(tokio::test)]
async fn an_answered_request_has_no_line_on_its_connection(
    method: &str,
    path: &str,
    rest: &str,
    status: &str,
) -> Result<()> {
    let (entry, _server) = start_entry(success_reply()).await?;
    let response = send_request_with(&entry, method, path, rest).await?;
    assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
    let mut idle = TcpStream::connect(entry.frontend).await?;
    idle.shutdown().await?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(all_unanswered(&entry), 0);
    Ok(())
}

async fn send_request_with(entry: &Entry, method: &str, path: &str, rest: &str) -> Result<String> {
    if rest.is_empty() {
        return send_request(entry.frontend, method, path, "dockwood-attempt: a-1\r\n").await;
    }
    let mut stream = TcpStream::connect(entry.frontend).await?;
    let request = format!("{method} {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{rest}");
    stream.write_all(request.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    Ok(response)
}

/// On a runtime with one thread, the entry learns of the stop before it polls its sockets.
#[tokio::test]
async fn a_request_that_arrives_before_a_planned_stop_closes_its_idle_connection_is_answered() -> Result<()> {
    let (entry, _server) = start_entry(success_reply()).await?;
    let mut caller = connect_and_request(&entry).await?;
    // Without a yield between the write and the stop.
    assert_eq!(caller.try_write(REQUEST)?, REQUEST.len());
    let (response, ()) = tokio::join!(read_response(&mut caller), entry.gateway.close_connections());
    let response = response?;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    Ok(())
}

/// On a runtime with one thread, the entry learns of the stop before it polls its sockets.
#[tokio::test]
async fn a_stop_waits_for_the_first_request_of_a_connection_that_arrived_before_it() -> Result<()> {
    let (entry, server) = start_entry(success_reply()).await?;
    let mut caller = TcpStream::connect(entry.frontend).await?;
    // The connection is accepted.
    for _ in 0..3 {
        entry.request(PATH).await?;
    }
    server.may_answer.send_replace(false);
    assert_eq!(caller.try_write(REQUEST)?, REQUEST.len());
    let stop = tokio::time::timeout(Duration::from_millis(200), entry.gateway.close_connections());
    assert!(stop.await.is_err(), "the stop does not wait for the answer");
    server.may_answer.send_replace(true);
    let (response, ()) = tokio::join!(read_response(&mut caller), entry.gateway.close_connections());
    let response = response?;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    Ok(())
}

#[tokio::test]
async fn a_stop_does_not_wait_for_connections_without_a_request() -> Result<()> {
    let (entry, _server) = start_entry(success_reply()).await?;
    let mut caller = TcpStream::connect(entry.frontend).await?;
    for _ in 0..3 {
        entry.request(PATH).await?;
    }
    let stop = tokio::time::timeout(TEST_TIMEOUT, entry.gateway.close_connections());
    assert!(stop.await.is_ok(), "the stop waits");
    assert_eq!(caller.read(&mut [0; 1]).await?, 0);
    Ok(())
}
