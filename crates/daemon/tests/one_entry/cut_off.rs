//! An entry that is cut off from all servers, while callers and the other daemons reach it.
//!
//! Guards against a fault in which each request at such an entry tried up to six servers and was then refused, until the
//! partition ended, though the other entries reached all servers; and in which a refused connection at such an entry was
//! taken for the crash of a server.

use crate::entry::{Entry, TEST_TIMEOUT};
use crate::scripted_server::{Reply, ScriptedServer};
use dockwood_daemon::server_dialer::ServerDialer;
use futures::FutureExt;
use futures::future::BoxFuture;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

const PLAIN_PATH: &str = "/once/1";
const STREAM_PATH: &str = "/stream/1";
/// A request at an entry that is cut off is served within this time, also on a busy machine.
const SERVED_WITHIN: Duration = Duration::from_secs(2);
/// Longer than it takes until other daemons are asked, and shorter than the time limit of a connection.
const REFUSED_LATE_AFTER: Duration = Duration::from_millis(180);
/// After the end of a partition, an entry uses its own connections again within this time.
const RECOVERS_WITHIN: Duration = Duration::from_secs(1);

/// What a cut does to new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// They are refused, as if no process listened at the address.
    Refused,
    /// There is no response.
    Silent,
    /// They are reset by a device in between.
    Reset,
    /// They are refused, but only after a time in which other daemons have been asked.
    RefusedLate,
}

impl Cut {
    /// Returns the error that a new connection ends with.
    pub async fn connection_error(self) -> Error {
        match self {
            Cut::Refused => Error::from(ErrorKind::ConnectionRefused),
            Cut::Reset => Error::from(ErrorKind::ConnectionReset),
            Cut::Silent => std::future::pending().await,
            Cut::RefusedLate => {
                tokio::time::sleep(REFUSED_LATE_AFTER).await;
                Error::from(ErrorKind::ConnectionRefused)
            }
        }
    }
}

/// Connects to servers unless the entry is cut off.
pub struct CutDialer {
    cut: Cut,
    pub is_cut: AtomicBool,
    pub established: AtomicU32,
}

impl CutDialer {
    pub fn new(cut: Cut) -> Arc<CutDialer> {
        let (is_cut, established) = (AtomicBool::new(true), AtomicU32::new(0));
        Arc::new(CutDialer { cut, is_cut, established })
    }
}

/// The dialer of one entry.
pub struct SharedDialer(pub Arc<CutDialer>);

impl ServerDialer for SharedDialer {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'static, Result<TcpStream>> {
        let dialer = self.0.clone();
        async move {
            if dialer.is_cut.load(Ordering::SeqCst) {
                return Err(dialer.cut.connection_error().await);
            }
            let stream = TcpStream::connect(address).await?;
            dialer.established.fetch_add(1, Ordering::SeqCst);
            Ok(stream)
        }
        .boxed()
    }
}

/// An entry that is cut off, another one that is not, and a server of each service, registered at both.
struct CutOffFleet {
    cut_off: Arc<Entry>,
    _other: Arc<Entry>,
    dialer: Arc<CutDialer>,
    board: Arc<ScriptedServer>,
    writer: Arc<ScriptedServer>,
}

impl CutOffFleet {
    async fn start(cut: Cut) -> Result<CutOffFleet> {
        CutOffFleet::start_with([], cut).await
    }

    /// The same, with the first responses of the plain server.
    async fn start_with(script: impl IntoIterator<Item = Reply>, cut: Cut) -> Result<CutOffFleet> {
        let dialer = CutDialer::new(cut);
        let cut_off = Entry::start_with_dialer(Arc::new(SharedDialer(dialer.clone())))?;
        let other = Entry::start()?;
        cut_off.add_daemon(other.serve_peers().await?);
        let board = ScriptedServer::start(script).await?;
        let writer = ScriptedServer::start([]).await?;
        for entry in [&cut_off, &other] {
            entry.renew_lease_continuously();
            entry.add("board", "z", board.address);
            entry.add("writer", "z", writer.address);
        }
        Ok(CutOffFleet { cut_off, _other: other, dialer, board, writer })
    }

    /// Sends requests until the entry has applied its tables.
    async fn wait_until_configured(&self, path: &str) -> Result<String> {
        let started = Instant::now();
        loop {
            let answer = self.cut_off.request(path).await?;
            if !answer.contains("NoConfiguration") && !answer.contains("NoServer") {
                return Ok(answer);
            }
            assert!(started.elapsed() < TEST_TIMEOUT, "the entry does not apply its tables: {answer}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[yare::parameterized(
    plain_refused = { PLAIN_PATH, Cut::Refused },
    plain_silent = { PLAIN_PATH, Cut::Silent },
    plain_reset = { PLAIN_PATH, Cut::Reset },
    stream_refused = { STREAM_PATH, Cut::Refused },
    stream_silent = { STREAM_PATH, Cut::Silent },
    stream_reset = { STREAM_PATH, Cut::Reset },
)]
#[test_macro(tokio::test)]
async fn requests_at_an_entry_that_is_cut_off_from_all_servers_are_served(
    path: &str,
    cut: Cut,
) -> Result<()> {
    let fleet = CutOffFleet::start(cut).await?;
    let first = fleet.wait_until_configured(path).await?;
    assert!(first.starts_with("HTTP/1.1 200"), "the first request: {first}");
    for number in 0..5 {
        let sent_at = Instant::now();
        let answer = fleet.cut_off.request(path).await?;
        assert!(
            answer.starts_with("HTTP/1.1 200") && answer.ends_with("served"),
            "request {number}: {answer}"
        );
        assert!(sent_at.elapsed() < SERVED_WITHIN, "request {number} took {:?}", sent_at.elapsed());
    }
    let server = if path == PLAIN_PATH { &fleet.board } else { &fleet.writer };
    assert_eq!(server.received(), 6, "each request reaches the server once");
    assert_eq!(fleet.dialer.established.load(Ordering::SeqCst), 0);
    Ok(())
}

#[yare::parameterized(
    coding = { "transfer-encoding: xchunked\r\n" },
    length_beside_chunks = { "content-length: 3\r\ntransfer-encoding: chunked\r\n" },
    no_known_end = { "" },
    line_that_is_no_field = { "no field\r\ncontent-length: 16\r\n" },
)]
#[test_macro(tokio::test)]
async fn a_response_with_a_broken_head_is_not_forwarded_from_a_tunnel(lines: &str) -> Result<()> {
    let response =
        format!("HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\n{lines}\r\n6\r\nwhole!\r\n0\r\n\r\n");
    let fleet = CutOffFleet::start_with([Reply::BytesAndClose(response)], Cut::Refused).await?;
    let answer = fleet.wait_until_configured(PLAIN_PATH).await?;
    assert!(answer.starts_with("HTTP/1.1 502 ") && !answer.contains("whole!"), "{answer}");
    assert_eq!(fleet.dialer.established.load(Ordering::SeqCst), 0);
    Ok(())
}

#[tokio::test]
async fn an_entry_uses_its_own_connections_again_soon_after_a_partition() -> Result<()> {
    let fleet = CutOffFleet::start(Cut::Silent).await?;
    let answer = fleet.wait_until_configured(PLAIN_PATH).await?;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    fleet.dialer.is_cut.store(false, Ordering::SeqCst);
    let ended_at = Instant::now();
    while fleet.dialer.established.load(Ordering::SeqCst) == 0 {
        assert!(ended_at.elapsed() < RECOVERS_WITHIN, "the entry does not use its own connections");
        let answer = fleet.cut_off.request(PLAIN_PATH).await?;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// A connection that breaks while an entry is cut off says nothing about the server.
#[tokio::test]
async fn a_cut_that_refuses_connections_is_not_taken_for_a_crash() -> Result<()> {
    let fleet = CutOffFleet::start(Cut::Refused).await?;
    fleet.dialer.is_cut.store(false, Ordering::SeqCst);
    let answer = fleet.wait_until_configured(PLAIN_PATH).await?;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    fleet.board.may_answer.send_replace(false);
    let entry = fleet.cut_off.clone();
    let request = tokio::spawn(async move { entry.request(PLAIN_PATH).await });
    let received = || fleet.board.received() == 2;
    crate::entry::wait_until("the server does not receive the request", received).await;
    // The partition begins, and resets the connection.
    fleet.dialer.is_cut.store(true, Ordering::SeqCst);
    fleet.board.break_connections();
    let answer = request.await.unwrap_or_else(|error| panic!("{error}"))?;
    assert!(answer.contains("OutcomeUnknown"), "{answer}");
    let checks = &fleet.cut_off.shared.metrics.process_checks;
    assert_eq!(checks.with_label_values(&["refused"]).get(), 0, "a crash was recorded");
    Ok(())
}

/// Most entries of a fleet may be cut off at once.
#[yare::parameterized(
    refused = { Cut::Refused },
    silent = { Cut::Silent },
)]
#[test_macro(tokio::test)]
async fn requests_are_served_although_most_other_entries_are_cut_off_as_well(cut: Cut) -> Result<()> {
    let fleet = CutOffFleet::start(cut).await?;
    let mut also_cut_off = Vec::new();
    for _ in 0..4 {
        let entry = Entry::start_with_dialer(Arc::new(SharedDialer(CutDialer::new(cut))))?;
        entry.add("board", "z", fleet.board.address);
        fleet.cut_off.add_daemon(entry.serve_peers().await?);
        also_cut_off.push(entry);
    }
    fleet.wait_until_configured(PLAIN_PATH).await?;
    let mut served = 0;
    for _ in 0..20 {
        served += u32::from(fleet.cut_off.request(PLAIN_PATH).await?.starts_with("HTTP/1.1 200"));
    }
    assert!(served >= 18, "{served} of 20 requests were served");
    Ok(())
}

/// The other daemons have given up before the entry's own connection fails.
#[tokio::test]
async fn a_request_for_a_server_that_refuses_late_is_refused() -> Result<()> {
    let fleet = CutOffFleet::start(Cut::RefusedLate).await?;
    fleet.dialer.is_cut.store(false, Ordering::SeqCst);
    let answer = fleet.wait_until_configured(PLAIN_PATH).await?;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    fleet.board.stop();
    fleet.dialer.is_cut.store(true, Ordering::SeqCst);
    let answer = fleet.cut_off.request(PLAIN_PATH).await?;
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after"), "{answer}");
    Ok(())
}

/// A server that no daemon reaches is not connected to again and again by way of others.
#[tokio::test]
async fn a_request_for_a_service_that_has_ended_is_refused_at_once() -> Result<()> {
    let fleet = CutOffFleet::start(Cut::Refused).await?;
    fleet.dialer.is_cut.store(false, Ordering::SeqCst);
    let answer = fleet.wait_until_configured(PLAIN_PATH).await?;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    fleet.board.stop();
    let sent_at = Instant::now();
    let answer = fleet.cut_off.request(PLAIN_PATH).await?;
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after"), "{answer}");
    assert!(sent_at.elapsed() < SERVED_WITHIN, "refused after {:?}", sent_at.elapsed());
    Ok(())
}
