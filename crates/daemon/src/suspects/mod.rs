//! Poison requests: requests suspected of crashing the servers that run them. Every sender of a request, also of a retry,
//! consults the [`SuspectGate`] of the request three times: before it selects a server, once it has selected one, and
//! immediately before it writes the request.

mod gate;
mod reporting;
mod trial;

pub use gate::{Admission, SuspectGate};
pub use reporting::run as run_reporting;

use crate::line_budget::LineBudget;
use crate::metrics::Metrics;
use dockwood_state::SuspicionTable;
use reporting::UnreportedCrashes;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time limit of the connection attempt that checks whether a server has exited after its connection broke: several times
/// the round trip between regions. The request waits for the result before it is retried on another server.
pub const CHECK_LIMIT: Duration = Duration::from_millis(100);

/// State on suspect requests that a daemon keeps outside the replicated log.
#[derive(Debug, Default)]
pub struct Suspects {
    unreported_crashes: UnreportedCrashes,
    line_budget: Mutex<LineBudget>,
}

/// Returns whether a connection error means that no process listens at the address. A network partition, a machine without
/// power or a slow server sends no response at all.
pub fn is_refusal(error: &std::io::Error) -> bool {
    error.kind() == ErrorKind::ConnectionRefused
}

/// Returns whether the process at an address has exited: its machine refuses connections.
pub async fn has_ended(address: SocketAddr) -> bool {
    match tokio::time::timeout(CHECK_LIMIT, TcpStream::connect(address)).await {
        Ok(Err(error)) => is_refusal(&error),
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Updates the metrics of suspect and quarantined requests.
pub fn count_suspects(metrics: &Metrics, suspicion: &SuspicionTable) {
    metrics.suspects.set(suspicion.suspect_count() as i64);
    metrics.quarantined_requests.set(suspicion.quarantined.len() as i64);
}
