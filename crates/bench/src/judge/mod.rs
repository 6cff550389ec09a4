//! Judgement: what the ledger and the callers' records say of the promises.

mod requests;
mod timeline;

use crate::caller_record::CallerRecord;
use crate::summary::Counts;
use dockwood_emulator::LedgerRecord;

/// Evidence may be this old when a request is dispatched; the window of the daemon's serving gate and then
/// some for the way there.
pub const EVIDENCE_ALLOWANCE_MS: u64 = 2_000;
/// A leaving machine may get new work for this long after the platform's list shows it.
pub const LEAVING_ALLOWANCE_MS: u64 = 3_000;

/// What the judgement needs to know of the run.
#[derive(Clone, Copy, Debug)]
pub struct Frame {
    /// Start of the judged time, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Its end.
    pub end_ms: u64,
    /// Replicas declared throughout.
    pub declared_replicas: usize,
    /// How far the platform's list lags, in milliseconds.
    pub list_lag_ms: u64,
    /// Machines in all.
    pub machines: usize,
}

/// Judges a run. Revisions that went back are counted by their own sampler.
pub fn judge(
    ledger: &[LedgerRecord],
    callers: &[CallerRecord],
    frame: &Frame,
    revision_regressions: u64,
) -> Counts {
    let mut counts = Counts { revision_regressions, ..Counts::default() };
    requests::count(ledger, callers, &mut counts);
    timeline::count(ledger, frame, &mut counts);
    counts
}
