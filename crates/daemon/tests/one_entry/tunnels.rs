//! Tunnels to servers through an entry in the test process.

use crate::cut_off::{Cut, CutDialer, SharedDialer};
use crate::entry::{Entry, TEST_TIMEOUT, wait_until};
use dockwood_daemon::gateway::ConnectFault;
use dockwood_daemon::tunnel::{PREFACE, TunnelReply, TunnelRequest, TunnelStream, open_tunnel};
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LIFETIME_MS: u64 = 10_000;

/// An entry that provides tunnels to one server, whose listener is the test's.
struct TunnelFleet {
    entry: Arc<Entry>,
    peer: SocketAddr,
    server: TcpListener,
}

impl TunnelFleet {
    async fn start() -> Result<TunnelFleet> {
        TunnelFleet::of(Entry::start()?).await
    }

    async fn of(entry: Arc<Entry>) -> Result<TunnelFleet> {
        let server = TcpListener::bind("127.0.0.1:0").await?;
        entry.add("board", "z", server.local_addr()?);
        Ok(TunnelFleet { peer: entry.serve_peers().await?.peer, entry, server })
    }

    async fn open(&self, server: SocketAddr) -> Result<std::result::Result<TunnelStream, TunnelReply>> {
        self.open_for(server, LIFETIME_MS).await
    }

    async fn open_for(
        &self,
        server: SocketAddr,
        lifetime_ms: u64,
    ) -> Result<std::result::Result<TunnelStream, TunnelReply>> {
        open_tunnel(self.peer, TunnelRequest { server, connect_within_ms: 100, lifetime_ms }).await
    }

    /// Opens a tunnel to the server, and returns both of its ends.
    async fn open_both(&self) -> Result<(TunnelStream, TcpStream)> {
        let tunnel = self.open(self.server.local_addr()?).await?;
        let tunnel = tunnel.unwrap_or_else(|reply| panic!("{reply:?}"));
        Ok((tunnel, self.server.accept().await?.0))
    }
}

async fn read_to_end(tunnel: &mut TunnelStream) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(TEST_TIMEOUT, tunnel.read_to_end(&mut bytes)).await;
    read.unwrap_or_else(|_| panic!("the tunnel does not end"))?;
    Ok(bytes)
}

#[tokio::test]
async fn bytes_pass_in_both_directions_until_the_server_closes() -> Result<()> {
    let fleet = TunnelFleet::start().await?;
    let (mut tunnel, mut server) = fleet.open_both().await?;
    tunnel.write_all(b"request").await?;
    let mut received = [0; 7];
    server.read_exact(&mut received).await?;
    assert_eq!(&received, b"request");
    let response = vec![7; 300_000];
    let sending = response.clone();
    tokio::spawn(async move {
        let _ = server.write_all(&sending).await;
    });
    assert_eq!(read_to_end(&mut tunnel).await?, response);
    Ok(())
}

/// The server reads a part of a long request, answers and closes the connection, which resets it.
#[tokio::test]
async fn an_early_answer_arrives_although_the_request_can_not_be_passed_on() -> Result<()> {
    const ATTEMPTS: usize = 30;
    let fleet = TunnelFleet::start().await?;
    for _ in 0..ATTEMPTS {
        let (mut tunnel, mut server) = fleet.open_both().await?;
        tunnel.write_all(&[1; 1_000_000]).await?;
        server.read_exact(&mut [0; 1]).await?;
        server.write_all(b"answer").await?;
        drop(server);
        let mut answer = [0; 6];
        tunnel.read_exact(&mut answer).await?;
        assert_eq!(&answer, b"answer");
    }
    Ok(())
}

/// A response without a length ends with its connection, so an incomplete one must not end like a complete one.
#[tokio::test]
async fn a_server_that_resets_its_connection_does_not_look_as_if_it_had_closed_it() -> Result<()> {
    let fleet = TunnelFleet::start().await?;
    let (mut tunnel, mut server) = fleet.open_both().await?;
    server.write_all(b"half of a resp").await?;
    let mut received = [0; 14];
    tunnel.read_exact(&mut received).await?;
    // Closing a connection with unread bytes resets it.
    tunnel.write_all(b"unread").await?;
    server.peek(&mut [0; 1]).await?;
    drop(server);
    assert!(read_to_end(&mut tunnel).await.is_err(), "the response looks complete");
    Ok(())
}

/// A daemon whose process ends closes its sockets like a server that has finished.
#[tokio::test]
async fn a_daemon_that_ends_does_not_look_like_a_server_that_has_closed_its_connection() -> Result<()> {
    let fleet = TunnelFleet::start().await?;
    let address = fleet.server.local_addr()?;
    let tunnel = fleet.open_for(address, 200).await?;
    let mut tunnel = tunnel.unwrap_or_else(|reply| panic!("{reply:?}"));
    let (mut server, _) = fleet.server.accept().await?;
    server.write_all(b"half of a resp").await?;
    // The daemon closes the tunnel after its lifetime.
    let error = read_to_end(&mut tunnel).await.err().map(|error| error.kind());
    assert_eq!(error, Some(ErrorKind::UnexpectedEof));
    Ok(())
}

#[tokio::test]
async fn closing_a_tunnel_closes_the_connection_to_the_server() -> Result<()> {
    let fleet = TunnelFleet::start().await?;
    let (mut tunnel, mut server) = fleet.open_both().await?;
    tunnel.write_all(b"request").await?;
    drop(tunnel);
    let mut received = Vec::new();
    let closed = tokio::time::timeout(TEST_TIMEOUT, server.read_to_end(&mut received)).await;
    assert!(closed.is_ok(), "the connection to the server stays open");
    wait_until("the tunnel stays open", || fleet.entry.shared.metrics.open_tunnels.get() == 0).await;
    assert_eq!(fleet.entry.shared.in_flight(), 0);
    Ok(())
}

/// A connection that ends within its first bytes must not be looked at indefinitely.
#[tokio::test]
async fn a_connection_that_ends_within_its_first_bytes_is_closed() -> Result<()> {
    let fleet = TunnelFleet::start().await?;
    let mut connection = TcpStream::connect(fleet.peer).await?;
    connection.write_all(&PREFACE[..3]).await?;
    connection.shutdown().await?;
    let mut received = Vec::new();
    let closed = tokio::time::timeout(TEST_TIMEOUT, connection.read_to_end(&mut received)).await;
    assert!(closed.is_ok(), "the connection stays open");
    Ok(())
}

#[tokio::test]
async fn no_tunnel_leads_to_an_address_that_is_not_a_servers() -> Result<()> {
    let fleet = TunnelFleet::start().await?;
    let other = TcpListener::bind("127.0.0.1:0").await?;
    let reply = fleet.open(other.local_addr()?).await?.err();
    assert_eq!(reply, Some(TunnelReply::Unavailable));
    Ok(())
}

#[tokio::test]
async fn a_daemon_that_shuts_down_provides_no_tunnels_but_keeps_open_ones() -> Result<()> {
    let fleet = TunnelFleet::start().await?;
    let (mut tunnel, mut server) = fleet.open_both().await?;
    fleet.entry.shared.set_leaving();
    let reply = fleet.open(fleet.server.local_addr()?).await?.err();
    assert_eq!(reply, Some(TunnelReply::Unavailable));
    assert_eq!(fleet.entry.shared.in_flight(), 1, "the shutdown does not wait for the open tunnel");
    server.write_all(b"response").await?;
    drop(server);
    assert_eq!(read_to_end(&mut tunnel).await?, b"response");
    Ok(())
}

#[yare::parameterized(
    refused = { Cut::Refused, ConnectFault::Refused },
    silent = { Cut::Silent, ConnectFault::Silent },
)]
#[test_macro(tokio::test)]
async fn a_daemon_says_why_it_does_not_reach_a_server(cut: Cut, fault: ConnectFault) -> Result<()> {
    let dialer = CutDialer::new(cut);
    let entry = Entry::start_with_dialer(Arc::new(SharedDialer(dialer.clone())))?;
    let fleet = TunnelFleet::of(entry).await?;
    let address = fleet.server.local_addr()?;
    let reply = fleet.open(address).await?.err();
    assert_eq!(reply, Some(TunnelReply::NotReached { fault, reaches_others: false }));
    dialer.is_cut.store(false, Ordering::SeqCst);
    assert!(fleet.open(address).await?.is_ok());
    dialer.is_cut.store(true, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(10)).await;
    let reply = fleet.open(address).await?.err();
    assert_eq!(reply, Some(TunnelReply::NotReached { fault, reaches_others: true }));
    Ok(())
}
