//! Requests that may end the servers that run them, as an entry deals with them. Whatever sends a request to a server, for
//! the first time or again, asks the [`SuspectGate`] of that request: before it chooses a server, once it has chosen
//! one, and at the moment of writing.

mod gate;
mod reporting;
mod trial;

pub use gate::{Admission, SuspectGate};
pub use reporting::{UnreportedEnds, run as run_reporting};

use super::Gateway;
use dockwood_state::SuspicionTable;

/// Shows how many requests are suspected and under quarantine.
pub fn count_suspects(gateway: &Gateway, suspicion: &SuspicionTable) {
    let metrics = &gateway.shared.metrics;
    metrics.suspects.set(suspicion.suspects().count() as i64);
    metrics.quarantined_requests.set(suspicion.quarantined.len() as i64);
}
