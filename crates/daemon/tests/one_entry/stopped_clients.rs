//! Clients that stop in the middle of a request, and requests for which no memory is left: the refusal comes at once, no server
//! has received anything, and the promises of the refusal are true.

use crate::entry::{Entry, TEST_TIMEOUT, send_request};
use crate::scripted_server::{Reply, ScriptedServer};
use dockwood_daemon::caller_memory::HeldFor;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

const OK: &str = "HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\ncontent-length: 6\r\n\r\nwhole!";
const ATTEMPT: &str = "dockwood-attempt: a-1\r\n";
/// Deadline of a request whose body stops.
const DEADLINE: &str = "dockwood-deadline-ms: 300\r\n";
/// Less than the time after which the entry closes an idle connection.
const BEFORE_IDLE_TIMEOUT: Duration = Duration::from_secs(12);

async fn entry_with_server() -> Result<(Arc<Entry>, Arc<ScriptedServer>)> {
    let entry = Entry::start()?;
    entry.renew_lease_continuously();
    let server = ScriptedServer::start([Reply::Bytes(OK.to_string()), Reply::Bytes(OK.to_string())]).await?;
    entry.add("board", "z", server.address);
    Ok((entry, server))
}

/// Sends bytes, and returns what is received until the entry closes the connection.
async fn answer_to(address: SocketAddr, bytes: &str) -> Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes.as_bytes()).await?;
    let mut answer = String::new();
    tokio::time::timeout(TEST_TIMEOUT, stream.read_to_string(&mut answer))
        .await
        .unwrap_or_else(|_| panic!("the connection stays open"))?;
    Ok(answer)
}

/// Waits until the entry knows the server.
async fn wait_until_served(entry: &Entry) -> Result<()> {
    let served = async {
        while !send_request(entry.frontend, "POST", "/again/1", ATTEMPT).await?.starts_with("HTTP/1.1 200 ") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    };
    tokio::time::timeout(TEST_TIMEOUT, served).await.unwrap_or_else(|_| panic!("no request is served"))
}

#[parameterized(
    nothing_of_an_announced_body = { "content-length: 50\r\n\r\n" },
    a_part_of_an_announced_body = { "content-length: 50\r\n\r\nhalf" },
    chunks_without_an_end = { "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n" },
    a_part_of_a_chunk = { "transfer-encoding: chunked\r\n\r\n10\r\nhalf" },
)]
#[test_macro(tokio::test)]
async fn a_body_that_stops_ends_at_the_deadline_of_its_request(body: &str) -> Result<()> {
    let (entry, server) = entry_with_server().await?;
    wait_until_served(&entry).await?;
    let received = server.received();
    let request =
        format!("POST /once/1 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{ATTEMPT}{DEADLINE}{body}");
    let answer = answer_to(entry.frontend, &request).await?;
    assert!(answer.starts_with("HTTP/1.1 408 ") && answer.contains("2035"), "{answer}");
    assert_eq!(server.received(), received);
    assert_eq!(entry.shared.metrics.clients.request_bodies_ended.with_label_values(&["timedOut"]).get(), 1);
    Ok(())
}

#[tokio::test]
async fn a_request_for_which_no_memory_is_left_is_refused_and_the_next_one_served() -> Result<()> {
    let (entry, server) = entry_with_server().await?;
    wait_until_served(&entry).await?;
    let received = server.received();
    let memory = &entry.shared.caller_memory;
    let all = memory.try_hold(HeldFor::SmallBodies, memory.share_bytes(HeldFor::SmallBodies));
    assert!(all.is_some());
    let request = format!(
        "POST /once/1 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{ATTEMPT}content-length: 4\r\n\r\nbody"
    );
    let answer = answer_to(entry.frontend, &request).await?;
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("2036"), "{answer}");
    assert!(answer.to_ascii_lowercase().contains("retry-after: "), "{answer}");
    assert_eq!(server.received(), received);
    drop(all);
    let answer = answer_to(entry.frontend, &request).await?;
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("whole!"), "{answer}");
    Ok(())
}

#[parameterized(
    at_once = { Duration::ZERO },
    byte_by_byte = { Duration::from_millis(100) },
)]
#[test_macro(tokio::test)]
async fn a_head_that_stops_or_never_ends_loses_its_connection(pause: Duration) -> Result<()> {
    let entry = Entry::start()?;
    entry.renew_lease_continuously();
    let mut stream = TcpStream::connect(entry.frontend).await?;
    stream.write_all(b"POST /once/1 HTTP/1.1\r\nhost: h\r\nx-long: ").await?;
    let (mut reader, mut writer) = stream.into_split();
    let sending = tokio::spawn(async move {
        while pause > Duration::ZERO && writer.write_all(b"x").await.is_ok() {
            tokio::time::sleep(pause).await;
        }
        writer
    });
    let mut received = Vec::new();
    let closed = tokio::time::timeout(BEFORE_IDLE_TIMEOUT, reader.read_to_end(&mut received)).await;
    assert!(closed.is_ok(), "the connection is open after {BEFORE_IDLE_TIMEOUT:?}");
    sending.abort();
    let unanswered = &entry.shared.metrics.unanswered_callers;
    assert_eq!(unanswered.with_label_values(&["incompleteRequest", "headTimeout"]).get(), 1);
    Ok(())
}

#[tokio::test]
async fn an_idle_connection_outlives_the_time_for_heads() -> Result<()> {
    const LONGER_THAN_A_HEAD_MAY_TAKE: Duration = Duration::from_secs(5);
    let entry = Entry::start()?;
    entry.renew_lease_continuously();
    let mut stream = TcpStream::connect(entry.frontend).await?;
    for _ in 0..2 {
        stream.write_all(b"POST /unknown/1 HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbo").await?;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        assert!(head.starts_with("http/1.1 404 "), "{head}");
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let mut body = vec![0; length.and_then(|length| length.parse().ok()).unwrap_or(0)];
        stream.read_exact(&mut body).await?;
        // The rest of a body that was refused is no head.
        stream.write_all(b"dy").await?;
        tokio::time::sleep(LONGER_THAN_A_HEAD_MAY_TAKE).await;
    }
    Ok(())
}
