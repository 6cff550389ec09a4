//! Checks whether the process of a server has exited, after a connection to it broke while it had a request. A process
//! that exits closes its listening socket as well, before or after its connections.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time limit of the connection attempt that checks whether a server has exited after its connection broke: several times
/// the round trip between regions. The request waits for the result before it is retried on another server.
const CHECK_LIMIT: Duration = Duration::from_millis(100);

/// What a connection attempt to the address of a server shows.
#[derive(Debug)]
pub enum ProcessCheck {
    /// Its machine refuses the connection: no process listens at the address.
    Exited,
    /// The connection was established. The process may be running, or it has not closed its listening socket yet.
    Connected,
    /// There was no response, or another failure: a network partition, a machine without power or a slow server.
    Unreachable,
}

impl ProcessCheck {
    /// The name of the finding in metrics and log lines.
    pub fn name(&self) -> &'static str {
        match self {
            ProcessCheck::Exited => "refused",
            ProcessCheck::Connected => "connected",
            ProcessCheck::Unreachable => "unreachable",
        }
    }
}

/// Returns whether a connection error means that no process listens at the address.
pub fn is_refusal(error: &std::io::Error) -> bool {
    error.kind() == ErrorKind::ConnectionRefused
}

/// Checks the process at an address by a connection attempt.
pub async fn check_process(address: SocketAddr) -> ProcessCheck {
    match tokio::time::timeout(CHECK_LIMIT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProcessCheck::Connected,
        Ok(Err(error)) if is_refusal(&error) => ProcessCheck::Exited,
        Ok(Err(_)) | Err(_) => ProcessCheck::Unreachable,
    }
}
