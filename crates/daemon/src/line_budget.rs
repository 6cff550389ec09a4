//! Rate limit of log lines by result code: a token bucket for each. Suppressed lines are counted, and the next line of the
//! same code carries their number.

use dockwood_api::ResultCode;
use std::collections::BTreeMap;

/// Maximum burst of lines of one result code.
const BURST: f64 = 20.0;
/// Lines per second of one failure or refusal code.
const FAILURES_PER_SECOND: f64 = 10.0;
/// Lines per second of successful requests: a sample to compare failures with.
const ANSWERED_PER_SECOND: f64 = 1.0;

/// Token bucket of one result code.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at_ms: u64,
    held_back: u64,
}

/// Token buckets of all result codes.
#[derive(Clone, Debug, Default)]
pub struct LineBudget {
    buckets: BTreeMap<ResultCode, TokenBucket>,
}

impl LineBudget {
    /// Takes a token for one line. Returns the number of lines suppressed since the last written one, or `None` if this line
    /// is suppressed as well.
    pub fn take(&mut self, now_ms: u64, code: ResultCode) -> Option<u64> {
        let per_second = if code == ResultCode::Ok { ANSWERED_PER_SECOND } else { FAILURES_PER_SECOND };
        let first = TokenBucket { tokens: BURST, refilled_at_ms: now_ms, held_back: 0 };
        let bucket = self.buckets.entry(code).or_insert(first);
        let elapsed_ms = now_ms.saturating_sub(bucket.refilled_at_ms);
        bucket.tokens = (bucket.tokens + elapsed_ms as f64 * per_second / 1_000.0).min(BURST);
        bucket.refilled_at_ms = now_ms;
        if bucket.tokens < 1.0 {
            bucket.held_back += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.held_back))
    }
}
