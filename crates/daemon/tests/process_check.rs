//! Checks of the process of a server after a connection to it broke: a process that exits closes its listening socket some
//! time before or after its connections, and a running one may close a single connection.

use dockwood_daemon::server_dialer::TcpDialer;
use dockwood_daemon::suspects::{ProcessCheck, check_process, exits_soon};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

async fn listen() -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Whether a process exits, judged by a check and the observation after it.
async fn has_exited(address: SocketAddr) -> bool {
    match check_process(&TcpDialer, address).await {
        ProcessCheck::Exited => true,
        ProcessCheck::Connected(connection) => exits_soon(&TcpDialer, connection, address).await,
        ProcessCheck::Unreachable => false,
    }
}

#[tokio::test]
async fn a_closed_listener_shows_an_exit_at_once() -> std::io::Result<()> {
    let (listener, address) = listen().await?;
    drop(listener);
    assert!(matches!(check_process(&TcpDialer, address).await, ProcessCheck::Exited));
    Ok(())
}

#[yare::parameterized(
    after_1_ms = { 1 },
    after_5_ms = { 5 },
    after_20_ms = { 20 },
)]
#[test_macro(tokio::test)]
async fn a_listener_that_closes_later_shows_an_exit(closes_after_ms: u64) -> std::io::Result<()> {
    let (listener, address) = listen().await?;
    let exiting = async move {
        tokio::time::sleep(Duration::from_millis(closes_after_ms)).await;
        drop(listener);
    };
    let ((), has_exited) = tokio::join!(exiting, has_exited(address));
    assert!(has_exited);
    Ok(())
}

/// A process that accepts and closes connections until its listener is closed.
#[tokio::test]
async fn an_exit_is_found_if_accepted_connections_are_closed_first() -> std::io::Result<()> {
    let (listener, address) = listen().await?;
    let exiting = async move {
        let accept = async { while listener.accept().await.is_ok() {} };
        let _ = tokio::time::timeout(Duration::from_millis(20), accept).await;
    };
    let ((), has_exited) = tokio::join!(exiting, has_exited(address));
    assert!(has_exited);
    Ok(())
}

#[yare::parameterized(
    that_keeps_connections = { true },
    that_closes_connections = { false },
)]
#[test_macro(tokio::test)]
async fn a_running_process_does_not_exit(keeps: bool) -> std::io::Result<()> {
    let (listener, address) = listen().await?;
    let running = async move {
        let mut kept = Vec::new();
        while let Ok((connection, _)) = listener.accept().await {
            kept.extend(keeps.then_some(connection));
        }
    };
    let has_exited = tokio::select! {
        () = running => true,
        has_exited = has_exited(address) => has_exited,
    };
    assert!(!has_exited);
    Ok(())
}
