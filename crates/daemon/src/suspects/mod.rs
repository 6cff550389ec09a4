//! Requests that may end the servers that run them, as a daemon that sends requests deals with them. Whatever sends a
//! request to a server, for the first time or again, asks the [`SuspectGate`] of that request: before it chooses a
//! server, once it has chosen one, and at the moment of writing.

mod gate;
mod reporting;
mod trial;

pub use gate::{Admission, SuspectGate};
pub use reporting::run as run_reporting;

use crate::line_budget::LineBudget;
use crate::metrics::Metrics;
use dockwood_state::SuspicionTable;
use reporting::UnreportedEnds;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long a server whose connection broke may take to accept or refuse another one: some times the way between
/// regions. Its request waits for the answer before it goes on elsewhere.
pub const CHECK_LIMIT: Duration = Duration::from_millis(100);

/// What a daemon keeps of suspects beside the log.
#[derive(Debug, Default)]
pub struct Suspects {
    unreported_ends: UnreportedEnds,
    line_budget: Mutex<LineBudget>,
}

/// Whether an error of connecting says that no process listens at the address. A cut, a machine without power and a slow
/// server answer nothing.
pub fn is_refusal(error: &std::io::Error) -> bool {
    error.kind() == ErrorKind::ConnectionRefused
}

/// Whether the process at an address has ended: its machine refuses connections.
pub async fn has_ended(address: SocketAddr) -> bool {
    match tokio::time::timeout(CHECK_LIMIT, TcpStream::connect(address)).await {
        Ok(Err(error)) => is_refusal(&error),
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Shows how many requests are suspected and under quarantine.
pub fn count_suspects(metrics: &Metrics, suspicion: &SuspicionTable) {
    metrics.suspects.set(suspicion.suspect_count() as i64);
    metrics.quarantined_requests.set(suspicion.quarantined.len() as i64);
}
