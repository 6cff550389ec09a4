//! The retry budget: retries are limited to a fixed share of the load, so that they cannot amplify an
//! overload.

/// Retries allowed per hundred requests.
const RETRY_PERCENT: u64 = 20;
/// Retries that are always allowed, so that a daemon with little traffic can retry at all.
const MIN_RETRIES: u64 = 10;
/// Both counters are halved when this many requests have been counted, so that the budget follows the current
/// load.
const WINDOW_REQUESTS: u64 = 1_000;

/// Counts the requests and retries of one daemon.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        self.requests += 1;
        if self.requests >= WINDOW_REQUESTS {
            self.requests /= 2;
            self.retries /= 2;
        }
    }

    /// Returns whether the budget allows a retry.
    pub fn allows_retry(&self) -> bool {
        self.retries < (self.requests * RETRY_PERCENT / 100).max(MIN_RETRIES)
    }

    /// Counts a retry and returns true, if the budget allows it.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.allows_retry();
        self.retries += u64::from(allowed);
        allowed
    }
}
