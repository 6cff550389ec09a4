//! Poison requests: requests suspected of crashing the servers that run them, by themselves or by a part of their prompt. Every sender of a request, also of a retry,
//! consults the [`SuspectGate`] of the request three times: before it selects a server, once it has selected one, and
//! immediately before it writes the request.

mod evidence;
mod gate;
mod process_check;
mod reporting;
mod responses;
mod trial;

pub use gate::{Admission, SuspectGate};
pub use process_check::{ProcessCheck, check_process, exits_soon, is_refusal, server_survives};
pub use reporting::run as run_reporting;

use crate::line_budget::LineBudget;
use crate::metrics::Metrics;
use dockwood_state::GatewayTables;
use reporting::UnreportedCrashes;
use responses::ObservedResponses;
use std::sync::Mutex;

/// State on suspect requests that a daemon keeps outside the replicated log.
#[derive(Debug, Default)]
pub struct Suspects {
    unreported_crashes: UnreportedCrashes,
    observed_responses: ObservedResponses,
    line_budget: Mutex<LineBudget>,
}

/// Updates the metrics of suspect requests, and of quarantined requests and parts of prompts.
pub fn count_suspects(metrics: &Metrics, tables: &GatewayTables) {
    metrics.suspects.set(tables.suspicion.suspect_count() as i64);
    metrics.quarantined_requests.set(tables.suspicion.quarantined.len() as i64);
    metrics.quarantined_parts.set(tables.prompt_suspicion.quarantined.len() as i64);
}
