//! The retry budget of each service at this entry, and the log lines on how much of it is used.

use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::log_line::{LineBody, RetryBudgetLine};
use crate::logging;
use crate::shared::Shared;
use dockwood_routing::Millis;
use dockwood_routing::gateway::{SendBudget, SendBudgetLimits};
use std::collections::HashMap;
use std::sync::Mutex;

/// Minimum time between two log lines on the budget of one service, in milliseconds.
const LINE_INTERVAL_MS: Millis = 1_000;

/// Budget of one service.
struct ServiceBudget {
    budget: SendBudget,
    last_line_at: Millis,
    /// Retries refused since the last line.
    refused: u64,
}

/// Budgets of all services at this entry.
pub struct RetryBudgets {
    limits: SendBudgetLimits,
    started_at: Millis,
    services: Mutex<HashMap<String, ServiceBudget>>,
}

impl RetryBudgets {
    /// Creates budgets of which nothing is used yet.
    pub fn new(limits: SendBudgetLimits) -> Self {
        RetryBudgets { limits, started_at: monotonic_ms(), services: Mutex::default() }
    }

    /// Records a request to a service.
    pub fn record_request(&self, service: &str) {
        self.with_service(service, |known| known.budget.record_request(monotonic_ms()));
    }

    /// Takes a retry from the budget of a service, of which each of `entries` entries has a part; returns false if the
    /// budget does not allow it.
    pub fn try_retry(&self, shared: &Shared, service: &str, entries: u64) -> bool {
        let now = monotonic_ms();
        let (allowed, line) = self.with_service(service, |known| {
            let allowed = known.budget.try_retry(now, entries);
            known.refused += u64::from(!allowed);
            let is_due = now >= known.last_line_at + LINE_INTERVAL_MS;
            let line = is_due.then(|| self.next_line(known, service, now, entries));
            (allowed, line)
        });
        if let Some(line) = line {
            logging::write(&shared.settings.name, LineBody::RetryBudget(line));
        }
        allowed
    }

    /// Returns the log line that is due.
    fn next_line<'a>(
        &self,
        known: &mut ServiceBudget,
        service: &'a str,
        now: Millis,
        entries: u64,
    ) -> RetryBudgetLine<'a> {
        known.last_line_at = now;
        let usage = known.budget.usage();
        RetryBudgetLine {
            service,
            running_ms: now - self.started_at,
            entries,
            requests: usage.requests,
            retries: usage.retries,
            refused: std::mem::take(&mut known.refused),
        }
    }

    fn with_service<T>(&self, service: &str, action: impl FnOnce(&mut ServiceBudget) -> T) -> T {
        let mut services = lock(&self.services);
        let new = || ServiceBudget {
            budget: SendBudget::new(self.limits, self.started_at),
            last_line_at: 0,
            refused: 0,
        };
        action(services.entry(service.to_string()).or_insert_with(new))
    }
}
