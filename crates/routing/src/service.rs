//! Load balancing for plain services: power of two choices on this daemon's calls in flight, capped outlier
//! ejection, slow start, and a concurrency limit per server.
//!
//! Power of two choices: M. Mitzenmacher, IEEE TPDS 12(10), 2001.

use crate::Millis;
use std::collections::BTreeMap;

/// Consecutive failures after which a server is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;
/// Duration of the first ejection; doubles with each consecutive one.
const EJECTION_MS: Millis = 1_000;
/// Longest ejection.
const MAX_EJECTION_MS: Millis = 30_000;
/// At most this percentage of the servers is ejected: if all of them fail, the cause is not a single server.
const MAX_EJECTED_PERCENT: usize = 50;
/// For this long after an ejection, a server receives a gradually increasing share.
const SLOW_START_MS: Millis = 5_000;

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The server answered, with any status.
    Answered,
    /// The call failed: no connection, a broken connection, or a timeout.
    Failed,
}

/// State of one server as seen by this daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendState {
    /// This daemon's calls in flight.
    pub in_flight: u32,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Millis,
    slow_start_from: Option<Millis>,
}

impl BackendState {
    fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Load used for comparison, in thousandths of a call; inflated during slow start.
    fn load(&self, now: Millis) -> u64 {
        let base = u64::from(self.in_flight + 1) * 1000;
        match self.slow_start_from {
            Some(at) if now < at + SLOW_START_MS => base * SLOW_START_MS / (now.saturating_sub(at)).max(100),
            _ => base,
        }
    }
}

/// Selects servers of one service.
#[derive(Clone, Debug, Default)]
pub struct BackendPicker {
    backends: BTreeMap<String, BackendState>,
}

impl BackendPicker {
    /// Selects one of the `eligible` servers with fewer than `limit` calls in flight and counts the call.
    /// `random` supplies two uniform random numbers. Returns `None` if all servers are at their limit.
    pub fn pick(&mut self, now: Millis, eligible: &[&str], limit: u32, random: [u64; 2]) -> Option<String> {
        let below_limit =
            |name: &&str| self.backends.get(*name).is_none_or(|backend| backend.in_flight < limit);
        let available: Vec<&str> = eligible.iter().copied().filter(below_limit).collect();
        let healthy: Vec<&str> =
            available.iter().copied().filter(|name| !self.is_ejected(now, name)).collect();
        let selectable = if healthy.is_empty() { &available } else { &healthy };
        if selectable.is_empty() {
            return None;
        }
        let first = selectable[random[0] as usize % selectable.len()];
        let second = selectable[random[1] as usize % selectable.len()];
        let load = |name: &str| self.backends.get(name).map_or(1000, |backend| backend.load(now));
        let chosen = if load(second) < load(first) { second } else { first };
        self.backends.entry(chosen.to_string()).or_default().in_flight += 1;
        Some(chosen.to_string())
    }

    fn is_ejected(&self, now: Millis, name: &str) -> bool {
        self.backends.get(name).is_some_and(|backend| backend.is_ejected(now))
    }

    /// Records the end of a call, and ejects a server after repeated failures.
    pub fn finished(&mut self, now: Millis, name: &str, result: CallResult, servers: usize) {
        let ejected = self.backends.values().filter(|backend| backend.is_ejected(now)).count();
        let may_eject = (ejected + 1) * 100 <= servers * MAX_EJECTED_PERCENT;
        let Some(backend) = self.backends.get_mut(name) else { return };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        match result {
            CallResult::Answered => {
                backend.consecutive_failures = 0;
                backend.consecutive_ejections = 0;
            }
            CallResult::Failed => {
                backend.consecutive_failures += 1;
                if backend.consecutive_failures >= EJECT_AFTER_FAILURES
                    && may_eject
                    && !backend.is_ejected(now)
                {
                    let length = EJECTION_MS << backend.consecutive_ejections.min(5);
                    backend.ejected_until = now + length.min(MAX_EJECTION_MS);
                    backend.slow_start_from = Some(backend.ejected_until);
                    backend.consecutive_ejections += 1;
                    backend.consecutive_failures = 0;
                }
            }
        }
    }

    /// State of the server; `None` if it was never called.
    pub fn state(&self, name: &str) -> Option<&BackendState> {
        self.backends.get(name)
    }

    /// Removes idle servers that are no longer declared.
    pub fn retain(&mut self, declared: &[&str]) {
        self.backends.retain(|name, backend| backend.in_flight > 0 || declared.contains(&name.as_str()));
    }
}
