//! Planned stops of an entry whose callers read their responses slowly, are idle, or do not read at all.

use super::fixture::{Daemon, Fleet, LIMIT};
use super::servers::{Behavior, FakeServer};
use super::{with_groups, with_plain_servers};
use std::io::{Error, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Larger than the socket buffers on both sides of a connection together.
pub const RESPONSE_BYTES: usize = 8 << 20;
/// Size of a caller's receive buffer.
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;
/// Bytes that a caller reads at a time.
const READ_BYTES: usize = 64 << 10;
/// Pause of a caller between two reads: the whole response takes 2.5 s at least.
const READ_PAUSE: Duration = Duration::from_millis(20);
/// Time limit of a planned stop (`stopLimitSeconds` of the fixture).
const STOP_LIMIT: Duration = Duration::from_secs(8);
/// Upper bound for a stop without unwritten responses. It takes 1.2 s on an idle machine, as it continues to accept requests
/// for 1.1 s.
const IDLE_STOP_LIMIT: Duration = Duration::from_secs(5);

/// When a late request is sent, after the beginning of a stop: shortly before the entry ceases to accept requests.
const LATE: Duration = Duration::from_millis(800);

/// Starts a fleet whose plain servers send large responses.
pub async fn with_large_responses() -> (Fleet, [Arc<FakeServer>; 2]) {
    let (fleet, servers) = with_plain_servers().await;
    servers.iter().for_each(|server| server.set_behavior(Behavior::RespondsWithBytes(RESPONSE_BYTES)));
    (fleet, servers)
}

/// A caller's connection.
pub struct Caller {
    stream: TcpStream,
}

impl Caller {
    pub async fn connect(entry: SocketAddr) -> Result<Caller> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        Ok(Caller { stream: socket.connect(entry).await? })
    }

    pub async fn send(&mut self, attempt: &str) -> Result<()> {
        self.send_to("/once/1", attempt).await
    }

    async fn send_to(&mut self, path: &str, attempt: &str) -> Result<()> {
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer key-1\r\ndockwood-attempt: {attempt}\r\n\
             dockwood-model: m\r\ncontent-length: 0\r\n\r\n"
        );
        self.stream.write_all(request.as_bytes()).await
    }

    /// Reads the head of a successful response.
    pub async fn read_head(&mut self) -> Result<()> {
        let head = self.read_any_head().await?;
        if head.starts_with("HTTP/1.1 200 ") { Ok(()) } else { Err(Error::other(head)) }
    }

    async fn read_any_head(&mut self) -> Result<String> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await?);
        }
        Ok(String::from_utf8_lossy(&head).to_string())
    }

    /// Reads a body; returns the number of bytes received before the connection ended.
    pub async fn read_body(&mut self) -> usize {
        self.read_body_with_pauses(Duration::ZERO).await
    }

    /// The same with a pause after each read.
    async fn read_body_with_pauses(&mut self, pause: Duration) -> usize {
        let mut buffer = vec![0; READ_BYTES];
        let mut received = 0;
        while received < RESPONSE_BYTES {
            let remaining = READ_BYTES.min(RESPONSE_BYTES - received);
            if self.stream.read_exact(&mut buffer[..remaining]).await.is_err() {
                break;
            }
            received += remaining;
            tokio::time::sleep(pause).await;
        }
        received
    }
}

/// Waits until a stopping daemon exits, and returns how long that took.
async fn wait_for_exit(daemon: &mut Daemon) -> Duration {
    let started = Instant::now();
    while !daemon.has_exited() {
        assert!(started.elapsed() < LIMIT, "the entry does not exit");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    started.elapsed()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_waits_until_a_response_is_written() -> Result<()> {
    let (mut fleet, _servers) = with_large_responses().await;
    let mut caller = Caller::connect(fleet.frontend(0)).await?;
    caller.send("slow").await?;
    caller.read_head().await?;
    fleet.entries[0].terminate();
    assert_eq!(caller.read_body_with_pauses(READ_PAUSE).await, RESPONSE_BYTES);
    let took = wait_for_exit(&mut fleet.entries[0]).await;
    assert!(took < IDLE_STOP_LIMIT, "the entry exits {took:?} after the last response was read");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_does_not_wait_for_idle_connections() -> Result<()> {
    let (mut fleet, _servers) = with_plain_servers().await;
    let _unused = Caller::connect(fleet.frontend(0)).await?;
    let mut idle = Caller::connect(fleet.frontend(0)).await?;
    idle.send("idle").await?;
    idle.read_head().await?;
    let mut incomplete = Caller::connect(fleet.frontend(0)).await?;
    incomplete.stream.write_all(b"POST /once/1 HTTP/1.1\r\nhost: h.example\r\n").await?;
    fleet.entries[0].terminate();
    let took = wait_for_exit(&mut fleet.entries[0]).await;
    assert!(took < IDLE_STOP_LIMIT, "the stop took {took:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_does_not_read_does_not_delay_a_planned_stop_beyond_its_limit() -> Result<()> {
    let (mut fleet, _servers) = with_large_responses().await;
    let mut caller = Caller::connect(fleet.frontend(0)).await?;
    caller.send("unread").await?;
    caller.read_head().await?;
    fleet.entries[0].terminate();
    let took = wait_for_exit(&mut fleet.entries[0]).await;
    assert!(took < STOP_LIMIT, "the stop took {took:?}");
    Ok(())
}

/// Stops an entry while a request is at a server that does not respond, and sends another one late in the stop. Returns the
/// heads of both responses.
async fn stop_during_requests(fleet: &mut Fleet, path: &str) -> Result<[String; 2]> {
    let mut early = Caller::connect(fleet.frontend(0)).await?;
    let mut late = Caller::connect(fleet.frontend(0)).await?;
    early.send_to(path, "early").await?;
    tokio::time::sleep(LATE).await;
    fleet.entries[0].terminate();
    let stopping = Instant::now();
    tokio::time::sleep(LATE).await;
    late.send_to(path, "late").await?;
    let heads = [early.read_any_head().await?, late.read_any_head().await?];
    wait_for_exit(&mut fleet.entries[0]).await;
    let took = stopping.elapsed();
    assert!(took < STOP_LIMIT, "the stop took {took:?}");
    Ok(heads)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_can_not_end_within_a_planned_stop_get_a_final_response() -> Result<()> {
    let (mut fleet, servers) = with_plain_servers().await;
    servers.iter().for_each(|server| server.set_behavior(Behavior::NeverResponds));
    for head in stop_during_requests(&mut fleet, "/once/1").await? {
        assert!(head.starts_with("HTTP/1.1 504 "), "{head}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_that_can_not_begin_within_a_planned_stop_get_a_final_response() -> Result<()> {
    let (mut fleet, models) = with_groups().await;
    models.iter().for_each(|model| model.is_stalled.store(true, Ordering::SeqCst));
    let [early, late] = stop_during_requests(&mut fleet, "/stream/1").await?;
    assert!(early.starts_with("HTTP/1.1 504 "), "{early}");
    // It is refused if both groups are known to have stalled.
    let is_final = ["HTTP/1.1 503 ", "HTTP/1.1 504 "].iter().any(|status| late.starts_with(status));
    assert!(is_final, "{late}");
    Ok(())
}
