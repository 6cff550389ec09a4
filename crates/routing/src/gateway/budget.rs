//! One entry's part of the budget for second sends.
//!
//! The budget holds over all entries and any window: a share of the requests, and some extra. Each entry keeps to the
//! share of its own requests and to its even part of the extra, so that the sum holds without a word between them.

use crate::Millis;
use std::collections::VecDeque;

/// Part of the budget that is used, in percent: entries count their windows at slightly different times.
const USED_PERCENT: u64 = 80;

/// The budget over all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendBudgetLimits {
    /// Second sends for a hundred requests.
    pub percent: u64,
    /// The window.
    pub window_ms: Millis,
    /// Second sends beyond the share within one window.
    pub extra: u64,
}

/// Requests and second sends of one service within the last window.
#[derive(Clone, Debug)]
pub struct SendBudget {
    limits: SendBudgetLimits,
    requests: VecDeque<Millis>,
    second_sends: VecDeque<Millis>,
}

impl SendBudget {
    /// A budget with nothing spent.
    pub fn new(limits: SendBudgetLimits) -> Self {
        SendBudget { limits, requests: VecDeque::new(), second_sends: VecDeque::new() }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Millis) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Counts a second send if it is within this entry's part; `entries` share the extra.
    pub fn try_second_send(&mut self, now: Millis, entries: u64) -> bool {
        self.forget(now);
        let share = self.requests.len() as u64 * self.limits.percent * USED_PERCENT / 10_000;
        let extra = self.limits.extra * USED_PERCENT / 100 / entries.max(1);
        let allowed = (self.second_sends.len() as u64) < share + extra;
        if allowed {
            self.second_sends.push_back(now);
        }
        allowed
    }

    fn forget(&mut self, now: Millis) {
        let window = self.limits.window_ms;
        for times in [&mut self.requests, &mut self.second_sends] {
            while times.front().is_some_and(|at| now >= at + window) {
                times.pop_front();
            }
        }
    }
}
