//! One entry's part of the retry budget. A retry is any send of a request after the first one.
//!
//! The budget applies to all entries together and to any window: a percentage of the requests, plus a fixed
//! number. The entries keep to it without communication, and although what they have sent is only in the
//! memory of their processes:
//!
//! - Each request earns a part of a retry. Only a small part of what was earned may be saved, because callers
//!   that move to another entry earn there what they have already earned, and may have used, at the first one.
//! - Each entry has an equal part of the fixed number. A process that has just started has none for more than
//!   a window, because its predecessor may have used it.

use crate::Millis;
use std::collections::VecDeque;

/// Percentage of the budget that is used. The margin covers retries that are delayed on their way to a server.
const USABLE_PERCENT: u64 = 90;
/// Percentage of the usable retries per request that is earned with each request. The rest may be saved from
/// the requests of the last window.
const EARNED_PERCENT: u64 = 75;
/// Fraction of an entry's part of the fixed number that is used to save earned retries where requests are so
/// few that they would not amount to one: one divided by this number.
const SAVED_EXTRA_DIVISOR: u64 = 4;
/// Unit of earned retries: percentages of percentages of a percentage are whole numbers.
const UNITS_PER_RETRY: u64 = 1_000_000;

/// The retry budget of all entries together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendBudgetLimits {
    /// Retries allowed per hundred requests.
    pub percent: u64,
    /// Length of the window.
    pub window_ms: Millis,
    /// Retries allowed per window in addition to the percentage.
    pub extra: u64,
    /// Time after which an entry has learned that the fleet has grown.
    pub growth_notice_ms: Millis,
}

impl SendBudgetLimits {
    /// What one request earns, in [`UNITS_PER_RETRY`].
    fn earned_per_request(&self) -> u64 {
        self.percent * USABLE_PERCENT * EARNED_PERCENT
    }

    /// How much of what each request of the last window has earned may be saved, in [`UNITS_PER_RETRY`].
    fn saved_per_request(&self) -> u64 {
        self.percent * USABLE_PERCENT * (100 - EARNED_PERCENT)
    }

    /// An entry's part of the fixed number, in [`UNITS_PER_RETRY`]; nothing if the number of entries is unknown.
    fn extra_part(&self, entries: u64) -> u64 {
        (self.extra * USABLE_PERCENT * (UNITS_PER_RETRY / 100)).checked_div(entries).unwrap_or(0)
    }
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
    started_at: Millis,
    requests: VecDeque<Millis>,
    /// What requests have earned and retries have not used yet, in [`UNITS_PER_RETRY`].
    earned: u64,
    /// Retries taken from what was earned.
    earned_retries: VecDeque<Millis>,
    /// Retries taken from the fixed number.
    extra_retries: VecDeque<Millis>,
}

impl SendBudget {
    /// Creates the budget of a process that started at `started_at`.
    pub fn new(limits: SendBudgetLimits, started_at: Millis) -> Self {
        SendBudget {
            limits,
            started_at,
            requests: VecDeque::new(),
            earned: 0,
            earned_retries: VecDeque::new(),
            extra_retries: VecDeque::new(),
        }
    }

    /// Counts the first send of a request.
    pub fn record_request(&mut self, now: Millis) {
        self.expire(now);
        self.requests.push_back(now);
        self.earned += self.limits.earned_per_request();
    }

    /// Counts a retry and returns true, if it is within this entry's part; the fixed number is divided by
    /// `entries`, which is 0 if it is not known.
    pub fn try_retry(&mut self, now: Millis, entries: u64) -> bool {
        self.expire(now);
        let extra = self.limits.extra_part(entries);
        let saved_extra = extra / SAVED_EXTRA_DIVISOR;
        let max_saved = self.requests.len() as u64 * self.limits.saved_per_request() + saved_extra;
        self.earned = self.earned.min(max_saved);
        if self.earned >= UNITS_PER_RETRY {
            self.earned -= UNITS_PER_RETRY;
            self.earned_retries.push_back(now);
            return true;
        }
        let extra_retries = (extra - saved_extra) / UNITS_PER_RETRY;
        let allowed = self.has_extra(now) && (self.extra_retries.len() as u64) < extra_retries;
        if allowed {
            self.extra_retries.push_back(now);
        }
        allowed
    }

    /// Returns the usage as of the last call.
    pub fn usage(&self) -> BudgetUsage {
        let retries = self.earned_retries.len() + self.extra_retries.len();
        BudgetUsage { requests: self.requests.len() as u64, retries: retries as u64 }
    }

    /// Whether the fixed number may be used: not before everything has left the window that a predecessor has
    /// sent, or that other entries have sent while they divided by a smaller number of entries.
    fn has_extra(&self, now: Millis) -> bool {
        now >= self.started_at + self.limits.window_ms + self.limits.growth_notice_ms
    }

    fn expire(&mut self, now: Millis) {
        let window = self.limits.window_ms;
        for times in [&mut self.requests, &mut self.earned_retries, &mut self.extra_retries] {
            while times.front().is_some_and(|at| now >= at + window) {
                times.pop_front();
            }
        }
    }
}
