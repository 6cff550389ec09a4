//! Plain services: power of two choices on own calls in flight, outlier ejection with a cap, slow start, and a
//! limit for each server.
//!
//! Source of power of two choices: M. Mitzenmacher, IEEE TPDS 12(10), 2001.

use crate::Millis;
use std::collections::BTreeMap;

/// Failures in a row that eject a server.
const EJECT_AFTER_FAILURES: u32 = 3;
/// First ejection; doubles with each one in a row.
const EJECTION_MS: Millis = 1_000;
/// Longest ejection.
const MAX_EJECTION_MS: Millis = 30_000;
/// At most this share of the servers is ejected, in percent: failures of all are no server's own.
const MAX_EJECTED_PERCENT: usize = 50;
/// After an ejection, a server takes a growing share for this long.
const SLOW_START_MS: Millis = 5_000;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The server answered, whatever it answered.
    Answered,
    /// The server failed: no connection, a broken one, or a time-out.
    Failed,
}

/// One server as this daemon sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendState {
    /// Own calls in flight.
    pub in_flight: u32,
    failures_in_row: u32,
    ejections_in_row: u32,
    ejected_until: Millis,
    returned_at: Option<Millis>,
}

impl BackendState {
    fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Load for comparison, in thousandths of a call; inflated during slow start.
    fn load(&self, now: Millis) -> u64 {
        let base = u64::from(self.in_flight + 1) * 1000;
        match self.returned_at {
            Some(at) if now < at + SLOW_START_MS => base * SLOW_START_MS / (now.saturating_sub(at)).max(100),
            _ => base,
        }
    }
}

/// Picks servers of one service.
#[derive(Clone, Debug, Default)]
pub struct BackendPicker {
    backends: BTreeMap<String, BackendState>,
}

impl BackendPicker {
    /// Picks one of `eligible` with fewer than `limit` calls in flight, and counts the call in. `random`
    /// supplies two uniform numbers. `None` when all are at their limit.
    pub fn pick(&mut self, now: Millis, eligible: &[&str], limit: u32, random: [u64; 2]) -> Option<String> {
        let below_limit =
            |name: &&str| self.backends.get(*name).is_none_or(|backend| backend.in_flight < limit);
        let open: Vec<&str> = eligible.iter().copied().filter(below_limit).collect();
        let healthy: Vec<&str> = open.iter().copied().filter(|name| !self.is_ejected(now, name)).collect();
        let choices = if healthy.is_empty() { &open } else { &healthy };
        if choices.is_empty() {
            return None;
        }
        let first = choices[random[0] as usize % choices.len()];
        let second = choices[random[1] as usize % choices.len()];
        let load = |name: &str| self.backends.get(name).map_or(1000, |backend| backend.load(now));
        let chosen = if load(second) < load(first) { second } else { first };
        self.backends.entry(chosen.to_string()).or_default().in_flight += 1;
        Some(chosen.to_string())
    }

    fn is_ejected(&self, now: Millis, name: &str) -> bool {
        self.backends.get(name).is_some_and(|backend| backend.is_ejected(now))
    }

    /// Counts a call out, and ejects a server that keeps failing.
    pub fn finished(&mut self, now: Millis, name: &str, result: CallResult, servers: usize) {
        let ejected = self.backends.values().filter(|backend| backend.is_ejected(now)).count();
        let may_eject = (ejected + 1) * 100 <= servers * MAX_EJECTED_PERCENT;
        let Some(backend) = self.backends.get_mut(name) else { return };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        match result {
            CallResult::Answered => {
                backend.failures_in_row = 0;
                backend.ejections_in_row = 0;
            }
            CallResult::Failed => {
                backend.failures_in_row += 1;
                if backend.failures_in_row >= EJECT_AFTER_FAILURES && may_eject && !backend.is_ejected(now) {
                    let length = EJECTION_MS << backend.ejections_in_row.min(5);
                    backend.ejected_until = now + length.min(MAX_EJECTION_MS);
                    backend.returned_at = Some(backend.ejected_until);
                    backend.ejections_in_row += 1;
                    backend.failures_in_row = 0;
                }
            }
        }
    }

    /// The server's state, if it was ever called.
    pub fn state(&self, name: &str) -> Option<&BackendState> {
        self.backends.get(name)
    }

    /// Forgets idle servers that are no longer declared.
    pub fn retain(&mut self, declared: &[&str]) {
        self.backends.retain(|name, backend| backend.in_flight > 0 || declared.contains(&name.as_str()));
    }
}
