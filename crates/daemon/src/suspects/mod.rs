//! Poison requests: requests suspected of crashing the servers that run them. Every sender of a request, also of a retry,
//! consults the [`SuspectGate`] of the request three times: before it selects a server, once it has selected one, and
//! immediately before it writes the request.

mod evidence;
mod gate;
mod process_check;
mod reporting;
mod trial;

pub use gate::{Admission, SuspectGate};
pub use process_check::{ProcessCheck, check_process, exits_soon, is_refusal};
pub use reporting::run as run_reporting;

use crate::line_budget::LineBudget;
use crate::metrics::Metrics;
use dockwood_state::SuspicionTable;
use reporting::UnreportedCrashes;
use std::sync::Mutex;

/// State on suspect requests that a daemon keeps outside the replicated log.
#[derive(Debug, Default)]
pub struct Suspects {
    unreported_crashes: UnreportedCrashes,
    line_budget: Mutex<LineBudget>,
}

/// Updates the metrics of suspect and quarantined requests.
pub fn count_suspects(metrics: &Metrics, suspicion: &SuspicionTable) {
    metrics.suspects.set(suspicion.suspect_count() as i64);
    metrics.quarantined_requests.set(suspicion.quarantined.len() as i64);
}
