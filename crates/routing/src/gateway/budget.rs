//! One entry's part of the retry budget. A retry is any send of a request after the first one.
//!
//! The budget applies to all entries together and to any window: a percentage of the requests, plus a fixed
//! number. Each entry keeps to the percentage of its own requests and to an equal part of the fixed number,
//! so that the total stays within the budget without communication between entries.

use crate::Millis;
use std::collections::VecDeque;

/// Percentage of the budget that is used. The margin covers entries whose windows are not aligned in time.
const USABLE_PERCENT: u64 = 80;

/// The retry budget of all entries together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendBudgetLimits {
    /// Retries allowed per hundred requests.
    pub percent: u64,
    /// Length of the window.
    pub window_ms: Millis,
    /// Retries allowed per window in addition to the percentage.
    pub extra: u64,
}

/// Requests and retries of one service within one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Requests.
    pub requests: u64,
    /// Retries.
    pub retries: u64,
}

/// Requests and retries of one service within the last window.
#[derive(Clone, Debug)]
pub struct SendBudget {
    limits: SendBudgetLimits,
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl SendBudget {
    /// Creates a budget with nothing spent.
    pub fn new(limits: SendBudgetLimits) -> Self {
        SendBudget { limits, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Counts the first send of a request.
    pub fn record_request(&mut self, now: Millis) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Counts a retry and returns true, if it is within this entry's part; the fixed number is divided by
    /// `entries`.
    pub fn try_retry(&mut self, now: Millis, entries: u64) -> bool {
        self.expire(now);
        let share = self.requests.len() as u64 * self.limits.percent * USABLE_PERCENT / 10_000;
        let extra = self.limits.extra * USABLE_PERCENT / 100 / entries.max(1);
        let allowed = (self.retries.len() as u64) < share + extra;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    /// Returns the usage as of the last call.
    pub fn usage(&self) -> BudgetUsage {
        BudgetUsage { requests: self.requests.len() as u64, retries: self.retries.len() as u64 }
    }

    fn expire(&mut self, now: Millis) {
        let window = self.limits.window_ms;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now >= at + window) {
                times.pop_front();
            }
        }
    }
}
