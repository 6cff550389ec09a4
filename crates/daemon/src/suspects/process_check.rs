//! Checks whether the process of a server has exited, after a connection to it broke while it had a request. A process
//! that exits closes its listening socket as well, before or after its connections.

use crate::server_connections::is_reached_by_others;
use crate::server_dialer::ServerDialer;
use crate::shared::Shared;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Time limit of each connection attempt that checks whether a server has exited after its connection broke, and of the
/// observation of an established one: several times the round trip between regions.
const CHECK_LIMIT: Duration = Duration::from_millis(100);
/// Pause between the first two checks of a process that closes each connection; it doubles with each further one.
const FIRST_RECHECK_PAUSE: Duration = Duration::from_millis(5);

/// How long a process is observed after a response that ended with its connection: a process that exits closes its listening
/// socket within some milliseconds of its connections.
const SURVIVAL_OBSERVATION: Duration = Duration::from_millis(30);

/// What a connection attempt to the address of a server shows.
#[derive(Debug)]
pub enum ProcessCheck {
    /// Its machine refuses the connection: no process listens at the address.
    Exited,
    /// The connection was established. The process may be running, or it has not closed its listening socket yet.
    Connected(TcpStream),
    /// There was no response, or another failure: a network partition, a machine without power or a slow server.
    Unreachable,
}

impl ProcessCheck {
    /// The name of the finding in metrics and log lines.
    pub fn name(&self) -> &'static str {
        match self {
            ProcessCheck::Exited => "refused",
            ProcessCheck::Connected(_) => "connected",
            ProcessCheck::Unreachable => "unreachable",
        }
    }
}

/// Returns whether a connection error means that no process listens at the address.
pub fn is_refusal(error: &std::io::Error) -> bool {
    error.kind() == ErrorKind::ConnectionRefused
}

/// Checks the process at an address by a connection attempt.
pub async fn check_process(dialer: &dyn ServerDialer, address: SocketAddr) -> ProcessCheck {
    match tokio::time::timeout(CHECK_LIMIT, dialer.dial(address)).await {
        Ok(Ok(connection)) => ProcessCheck::Connected(connection),
        Ok(Err(error)) if is_refusal(&error) => ProcessCheck::Exited,
        Ok(Err(_)) | Err(_) => ProcessCheck::Unreachable,
    }
}

/// Observes a process that accepted `connection`, which is idle, and returns whether the process exits. If the connection
/// is closed, its address is checked again: a process that is exiting refuses the next connection, and a running one
/// accepts it.
pub async fn exits_soon(dialer: &dyn ServerDialer, connection: TcpStream, address: SocketAddr) -> bool {
    tokio::time::timeout(CHECK_LIMIT, wait_until_exited(dialer, connection, address)).await.unwrap_or(false)
}

/// Returns true once the process has exited, and false if that can no longer be found out.
async fn wait_until_exited(
    dialer: &dyn ServerDialer,
    mut connection: TcpStream,
    address: SocketAddr,
) -> bool {
    let mut pause = FIRST_RECHECK_PAUSE;
    loop {
        wait_until_closed(&mut connection).await;
        match check_process(dialer, address).await {
            ProcessCheck::Exited => return true,
            ProcessCheck::Unreachable => return false,
            ProcessCheck::Connected(next) => connection = next,
        }
        tokio::time::sleep(pause).await;
        pause *= 2;
    }
}

/// Returns whether the process at `address` goes on running after a connection to it has ended; `false` also if that can't be
/// found out.
pub async fn survives(dialer: &dyn ServerDialer, address: SocketAddr) -> bool {
    let ProcessCheck::Connected(connection) = check_process(dialer, address).await else { return false };
    let exits = wait_until_exited(dialer, connection, address);
    !tokio::time::timeout(SURVIVAL_OBSERVATION, exits).await.unwrap_or(false)
}

/// Returns whether a server is running after a response without a length has ended with its connection. If it is not, the
/// response may be truncated.
pub async fn server_survives(shared: &Arc<Shared>, address: SocketAddr) -> bool {
    survives(shared.server_dialer.as_ref(), address).await || is_reached_by_others(shared, address).await
}

async fn wait_until_closed(connection: &mut TcpStream) {
    let mut ignored = [0; 64];
    // A server may send data on an idle connection, such as a timeout response before it closes it.
    while connection.read(&mut ignored).await.is_ok_and(|length| length > 0) {}
}
