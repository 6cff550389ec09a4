//! One entry's part of the retry budget. A retry is any send of a request after the first one.
//!
//! The budget applies to all entries together and to any window: a percentage of the requests, plus a fixed
//! number. The entries keep to it without communication, and although what they have sent is only in the
//! memory of their processes: retries are earned, with each request and with time, by the process that sends
//! them, and only a part of them may be saved. A process that has just started has earned nothing yet, so it
//! does not matter what its predecessor has sent, nor at which entry callers were before.

use crate::Millis;
use std::collections::VecDeque;

/// Percentage of the budget that is used. The margin covers retries that are delayed on their way to a server,
/// and entries that do not know yet that the fleet has grown.
const USABLE_PERCENT: u64 = 90;
/// Percentage of the usable retries per request that is earned with each request. The rest may be saved from
/// the requests of the last window.
const EARNED_PERCENT: u64 = 75;
/// Percentage of an entry's part of the fixed number that is earned evenly within a window. The rest may be
/// saved.
const EXTRA_EARNED_PERCENT: u64 = 60;
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
}

impl SendBudgetLimits {
    /// What one request earns, in [`UNITS_PER_RETRY`].
    fn earned_per_request(&self) -> u64 {
        self.percent * USABLE_PERCENT * EARNED_PERCENT
    }

    /// What may be saved for each request of the last window, in [`UNITS_PER_RETRY`].
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
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
    /// What was earned and is not used yet, in [`UNITS_PER_RETRY`].
    earned: u64,
    /// Until when the part of the fixed number is contained in `earned`.
    extra_earned_until: Millis,
}

impl SendBudget {
    /// Creates the budget of a process that started at `started_at`.
    pub fn new(limits: SendBudgetLimits, started_at: Millis) -> Self {
        SendBudget {
            limits,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            earned: 0,
            extra_earned_until: started_at,
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
        self.earn_extra(now, self.limits.extra_part(entries));
        let allowed = self.earned >= UNITS_PER_RETRY;
        if allowed {
            self.earned -= UNITS_PER_RETRY;
            self.retries.push_back(now);
        }
        allowed
    }

    /// Returns the usage as of the last call.
    pub fn usage(&self) -> BudgetUsage {
        BudgetUsage { requests: self.requests.len() as u64, retries: self.retries.len() as u64 }
    }

    /// Adds what was earned with time of this entry's part of the fixed number, and removes what may not be saved.
    fn earn_extra(&mut self, now: Millis, extra_part: u64) {
        let window = self.limits.window_ms;
        let elapsed = now.saturating_sub(self.extra_earned_until).min(window);
        let earned_per_window = extra_part * EXTRA_EARNED_PERCENT / 100;
        self.earned += earned_per_window * elapsed / window;
        self.extra_earned_until = now;
        let saved_for_requests = self.requests.len() as u64 * self.limits.saved_per_request();
        self.earned = self.earned.min(saved_for_requests + extra_part - earned_per_window);
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
