//! Checks the guarantees to callers and operators against the ledger and the callers' records.

mod requests;
mod timeline;

use crate::caller_record::CallerRecord;
use crate::summary::Counts;
use dockwood_emulator::LedgerRecord;

/// Maximum age of liveness evidence when a request is dispatched: the window of the daemon's serving gate plus an
/// allowance for the transmission.
pub const EVIDENCE_ALLOWANCE_MS: u64 = 2_000;
/// A leaving machine may receive new work for this long after the platform's list shows it as leaving.
pub const LEAVING_ALLOWANCE_MS: u64 = 3_000;

/// Parameters of the run that the checks depend on.
#[derive(Clone, Copy, Debug)]
pub struct RunParameters {
    /// Start of the checked period, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// End of the checked period, in milliseconds since the Unix epoch.
    pub end_ms: u64,
    /// Number of replicas declared throughout the run.
    pub declared_replicas: usize,
    /// Delay of the platform's machine list, in milliseconds.
    pub list_lag_ms: u64,
    /// Total number of machines.
    pub machines: usize,
}

/// Checks a run. Revision regressions are counted by the sampler and passed in.
pub fn check_run(
    ledger: &[LedgerRecord],
    callers: &[CallerRecord],
    parameters: &RunParameters,
    revision_regressions: u64,
) -> Counts {
    let mut counts = Counts { revision_regressions, ..Counts::default() };
    requests::count(ledger, callers, &mut counts);
    timeline::count(ledger, parameters, &mut counts);
    counts
}
