//! How many lines of each result may be written: a burst, and then so many a second. What is held back is counted, and
//! the next line says how much it was.

use dockwood_api::ResultCode;
use std::collections::BTreeMap;

/// Lines of one result that may be written at once.
const BURST: f64 = 20.0;
/// Lines of a failure or refusal in each second.
const FAILURES_PER_SECOND: f64 = 10.0;
/// Lines of requests that were answered in each second: a sample, to compare failures with.
const ANSWERED_PER_SECOND: f64 = 1.0;

/// Lines of one result.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    left: f64,
    refilled_at_ms: u64,
    held_back: u64,
}

/// Lines of all results.
#[derive(Clone, Debug, Default)]
pub struct LineBudget {
    allowances: BTreeMap<ResultCode, Allowance>,
}

impl LineBudget {
    /// Asks to write a line now: the number held back since the last one, or `None` if this one is held back too.
    pub fn take(&mut self, now_ms: u64, code: ResultCode) -> Option<u64> {
        let per_second = if code == ResultCode::Ok { ANSWERED_PER_SECOND } else { FAILURES_PER_SECOND };
        let first = Allowance { left: BURST, refilled_at_ms: now_ms, held_back: 0 };
        let allowance = self.allowances.entry(code).or_insert(first);
        let elapsed_ms = now_ms.saturating_sub(allowance.refilled_at_ms);
        allowance.left = (allowance.left + elapsed_ms as f64 * per_second / 1_000.0).min(BURST);
        allowance.refilled_at_ms = now_ms;
        if allowance.left < 1.0 {
            allowance.held_back += 1;
            return None;
        }
        allowance.left -= 1.0;
        Some(std::mem::take(&mut allowance.held_back))
    }
}
