//! Large responses of plain services, which are forwarded while they are received.

use crate::entry::{Entry, TEST_TIMEOUT, wait_until};
use crate::pushback::request_until_received;
use crate::scripted_server::{Reply, ScriptedServer};
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_daemon::caller_memory::CallerMemory;
use dockwood_daemon::gateway::{MAX_PART_BYTES, hold_part};
use dockwood_daemon::metrics::Metrics;
use futures::FutureExt;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Far more than a response that is received completely before it is forwarded.
const LARGE_BYTES: usize = 300_000;
/// More than all socket buffers between a server and a caller together.
const HUGE_BYTES: usize = 15 << 20;
/// Size of the receive buffer of a caller, and of the send buffer of a server.
const SOCKET_BUFFER_BYTES: u32 = 64 << 10;
const WRITE_BYTES: usize = 64 << 10;
/// Within this time, an entry that reads without regard to its caller has read the whole response.
const READ_AHEAD_TIME: Duration = Duration::from_secs(2);
const PATH: &str = "/once/1";
const CHUNK_HEAD: &str = "HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\ntransfer-encoding: chunked\r\n\r\n";
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\nconnection: close\r\n\r\n";
pub const LAST_CHUNK: &str = "0\r\n\r\n";

fn length_head(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\ncontent-length: {length}\r\n\r\n")
}

/// Returns a body of which each part can be told from the others.
pub fn large_body() -> String {
    (0..).map(|number| format!("{number:07}\n")).take(LARGE_BYTES / 8).collect()
}

pub fn chunk(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n", body.len())
}

async fn entry_with_reply(reply: Reply) -> Result<(Arc<Entry>, Arc<ScriptedServer>)> {
    let entry = Entry::start()?;
    entry.renew_lease_continuously();
    let server = ScriptedServer::start([reply]).await?;
    entry.add("board", "z", server.address);
    Ok((entry, server))
}

/// Returns the body of a complete response; `None` if the response is not complete.
pub fn complete_body(response: &str) -> Option<String> {
    let (head, body) = response.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    if let Some(length) = head.lines().find_map(|line| line.strip_prefix("content-length: ")) {
        return (length.parse() == Ok(body.len())).then(|| body.to_string());
    }
    let (mut rest, mut body) = (body, String::new());
    loop {
        let (length, from_chunk) = rest.split_once("\r\n")?;
        let length = usize::from_str_radix(length, 16).ok()?;
        if length == 0 {
            return Some(body);
        }
        body.push_str(from_chunk.get(..length)?);
        rest = from_chunk.get(length + "\r\n".len()..)?;
    }
}

#[yare::parameterized(
    with_length = { Reply::Bytes(format!("{}{}", length_head(large_body().len()), large_body())) },
    in_chunks = { Reply::Bytes(format!("{CHUNK_HEAD}{}{}{LAST_CHUNK}", chunk(&large_body()[..70_000]), chunk(&large_body()[70_000..]))) },
    unframed = { Reply::BytesAndClose(format!("{UNFRAMED_HEAD}{}", large_body())) },
)]
#[test_macro(tokio::test)]
async fn a_large_response_arrives_whole(reply: Reply) -> Result<()> {
    let (entry, server) = entry_with_reply(reply).await?;
    let response = request_until_received(&entry, PATH, &server).await?;
    assert!(complete_body(&response) == Some(large_body()), "{} bytes", response.len());
    assert_eq!(entry.shared.metrics.sends_server_ended.get(), 0);
    wait_until("the request is still in flight", || entry.shared.in_flight() == 0).await;
    Ok(())
}

#[yare::parameterized(
    with_length = { Reply::Bytes(format!("{}{}", length_head(large_body().len()), large_body())) },
    in_chunks = { Reply::Bytes(format!("{CHUNK_HEAD}{}{LAST_CHUNK}", chunk(&large_body()))) },
)]
#[test_macro(tokio::test)]
async fn a_caller_that_got_a_whole_large_response_is_not_recorded_as_having_left(reply: Reply) -> Result<()> {
    let (entry, server) = entry_with_reply(reply).await?;
    let response = request_until_received(&entry, PATH, &server).await?;
    assert!(complete_body(&response) == Some(large_body()), "{} bytes", response.len());
    wait_until("the request is still in flight", || entry.shared.in_flight() == 0).await;
    let answers = |code: ResultCode| {
        entry.shared.metrics.answers.with_label_values(&[&code.number().to_string()]).get()
    };
    assert_eq!((answers(ResultCode::Ok), answers(ResultCode::CallerLeft)), (1, 0));
    Ok(())
}

#[yare::parameterized(
    with_length = { format!("{}{}", length_head(LARGE_BYTES + 1), large_body()) },
    in_chunks = { format!("{CHUNK_HEAD}{}", chunk(&large_body())) },
    within_a_chunk = { format!("{CHUNK_HEAD}{:x}\r\n{}", LARGE_BYTES + 1, large_body()) },
)]
#[test_macro(tokio::test)]
async fn a_large_response_that_is_broken_off_does_not_look_complete(response: String) -> Result<()> {
    let (entry, server) = entry_with_reply(Reply::BytesAndClose(response)).await?;
    let response = request_until_received(&entry, PATH, &server).await?;
    assert!(complete_body(&response).is_none() || !response.starts_with("HTTP/1.1 200"), "it looks complete");
    assert_eq!(server.received(), 1, "a request that may run at most once was sent again");
    Ok(())
}

#[tokio::test]
async fn a_large_response_without_length_is_broken_off_with_the_crash_of_its_server() -> Result<()> {
    let response = format!("{UNFRAMED_HEAD}{}", large_body());
    let (entry, server) = entry_with_reply(Reply::BytesAndClose(response)).await?;
    let crashing = server.clone();
    let crash = tokio::spawn(async move {
        wait_until("the server receives no request", || crashing.received() > 0).await;
        crashing.stop();
    });
    let response = request_until_received(&entry, PATH, &server).await?;
    crash.await?;
    assert!(complete_body(&response).is_none() || !response.starts_with("HTTP/1.1 200"), "it looks complete");
    wait_until("the crash is not recorded", || entry.shared.metrics.sends_server_ended.get() == 1).await;
    Ok(())
}

/// A caller of HTTP/1.0 takes the end of the connection for the end of a response without a length.
#[tokio::test]
async fn a_caller_of_http_1_0_gets_no_part_of_a_response_without_length() -> Result<()> {
    let response = format!("{CHUNK_HEAD}{}", chunk(&large_body()));
    let (entry, server) = entry_with_reply(Reply::BytesAndClose(response)).await?;
    let started = Instant::now();
    while server.received() == 0 {
        assert!(started.elapsed() < TEST_TIMEOUT, "the server never receives a request");
        let mut caller = TcpStream::connect(entry.frontend).await?;
        let head = format!("POST {PATH} HTTP/1.0\r\nhost: h\r\ndockwood-attempt: a-1\r\n\r\n");
        caller.write_all(head.as_bytes()).await?;
        let mut response = String::new();
        caller.read_to_string(&mut response).await?;
        assert!(
            !response.is_empty() && !response.contains(" 200 "),
            "{}",
            &response[..response.len().min(100)]
        );
    }
    Ok(())
}

/// A server that sends responses of [`HUGE_BYTES`].
struct HugeServer {
    address: SocketAddr,
    written: Arc<AtomicUsize>,
    /// Whether a connection was closed in the middle of a response.
    was_cut: Arc<AtomicBool>,
}

impl HugeServer {
    async fn start() -> Result<HugeServer> {
        let socket = TcpSocket::new_v4()?;
        socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(16)?;
        let server =
            HugeServer { address: listener.local_addr()?, written: Arc::default(), was_cut: Arc::default() };
        tokio::spawn(serve_huge_responses(listener, server.written.clone(), server.was_cut.clone()));
        Ok(server)
    }
}

async fn serve_huge_responses(listener: TcpListener, written: Arc<AtomicUsize>, was_cut: Arc<AtomicBool>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (written, was_cut) = (written.clone(), was_cut.clone());
        tokio::spawn(async move {
            if read_head(&mut stream).await.is_err() {
                return;
            }
            let head = length_head(HUGE_BYTES).replace("ATTEMPT", "a-1");
            let _ = stream.write_all(head.as_bytes()).await;
            let piece = vec![b'x'; WRITE_BYTES];
            for _ in 0..HUGE_BYTES / WRITE_BYTES {
                if stream.write_all(&piece).await.is_err() {
                    was_cut.store(true, Ordering::SeqCst);
                    return;
                }
                written.fetch_add(WRITE_BYTES, Ordering::SeqCst);
            }
        });
    }
}

async fn read_head(stream: &mut TcpStream) -> Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// Connects with a small receive buffer and requests a huge response; returns the connection once its head was read.
async fn request_huge_response(entry: &Entry) -> Result<TcpStream> {
    let started = Instant::now();
    loop {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
        let mut stream = socket.connect(entry.frontend).await?;
        let head =
            format!("POST {PATH} HTTP/1.1\r\nhost: h\r\ndockwood-attempt: a-1\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        if read_head(&mut stream).await?.starts_with("HTTP/1.1 200") {
            return Ok(stream);
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "the request is not served");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn entry_with_huge_responses() -> Result<(Arc<Entry>, HugeServer)> {
    let entry = Entry::start()?;
    entry.renew_lease_continuously();
    let server = HugeServer::start().await?;
    entry.add("board", "z", server.address);
    Ok((entry, server))
}

#[tokio::test]
async fn a_server_waits_for_a_caller_that_reads_slowly() -> Result<()> {
    let (entry, server) = entry_with_huge_responses().await?;
    let mut caller = request_huge_response(&entry).await?;
    tokio::time::sleep(READ_AHEAD_TIME).await;
    let written = server.written.load(Ordering::SeqCst);
    assert!(written < HUGE_BYTES, "the entry has read the whole response, its caller nothing");
    let mut body = vec![0; HUGE_BYTES];
    let reading = caller.read_exact(&mut body);
    tokio::time::timeout(TEST_TIMEOUT, reading)
        .await
        .unwrap_or_else(|_| panic!("the rest does not arrive"))?;
    assert!(body.iter().all(|byte| *byte == b'x'));
    wait_until("the request is still in flight", || entry.shared.in_flight() == 0).await;
    Ok(())
}

#[tokio::test]
async fn a_response_that_its_caller_does_not_read_is_cut_off() -> Result<()> {
    let (entry, server) = entry_with_huge_responses().await?;
    let _caller = request_huge_response(&entry).await?;
    wait_until("the server's connection is not closed", || server.was_cut.load(Ordering::SeqCst)).await;
    wait_until("the request is still in flight", || entry.shared.in_flight() == 0).await;
    Ok(())
}

#[tokio::test]
async fn no_further_part_is_read_while_all_that_may_be_held_are() {
    let metrics = Metrics::new().unwrap_or_else(|error| panic!("{error}"));
    // An eighth of it is for responses: two parts.
    let memory = CallerMemory::new(8 * 2 * MAX_PART_BYTES, &metrics.clients);
    let part = || Bytes::from_static(b"part");
    let first = hold_part(&memory, part()).await;
    let second = hold_part(&memory, part()).await;
    assert_eq!((&first, &second), (&part(), &part()));
    assert!(hold_part(&memory, part()).now_or_never().is_none(), "a third part may be held");
    drop(first);
    assert!(hold_part(&memory, part()).now_or_never().is_some(), "a part that was written is still counted");
}
