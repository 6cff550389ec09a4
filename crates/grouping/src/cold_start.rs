//! A rate limit for cold servers that daemons enforce without coordination.
//!
//! Each sender of requests to a cold server spaces its requests evenly. No window of one second, wherever it
//! begins, contains more than the sender's share, even if one sender takes over from another in the middle of
//! it; fixed counting windows would let twice the share through at their boundary. The shares of all senders
//! that may be active at the same time sum up to the server's limit.

use crate::Millis;
use dockwood_api::digest::rendezvous_weight;
use dockwood_api::gateway::ColdStart;
use std::collections::{BTreeMap, VecDeque};

/// Window over which arrivals are limited, in milliseconds: the limit is declared per second.
const WINDOW_MS: Millis = 1_000;
/// Validity of a place at a cold server after an entry requested it, in milliseconds: several times as long
/// as the reply and a new connection usually take.
const COLD_GRANT_VALID_MS: Millis = 75;
/// The same for servers that are warm as far as the entry knows, in milliseconds: an entry that was paused
/// doesn't know whether they have become cold since. Longer than establishing a connection may take, which is
/// no reason to request another place.
const WARM_GRANT_VALID_MS: Millis = 400;
/// Maximum time from writing a request until it arrives at its server, in milliseconds.
const DELIVERY_MS: Millis = 25;
/// Requests sent during this span may all arrive within one second: some wait for their connection, others
/// don't.
const ARRIVAL_SPREAD_MS: Millis = WINDOW_MS + COLD_GRANT_VALID_MS + DELIVERY_MS;
/// Number of daemons that may act as the dispatcher of a group at the same time, or of sets of entries that
/// may act as the senders to a plain server: one according to the current tables, and one according to
/// slightly older ones.
pub const SENDERS_AT_ONCE: u32 = 2;
/// Time for which a server that reported to be warm is limited to twice the cold rate, in milliseconds: the
/// time of two of its reports. A report that was sent before the server became cold again may arrive late.
pub const COLD_SLOW_START_MS: Millis = 2_400;
/// Factor applied to the cold rate during the slow start.
const SLOW_START_FACTOR: u32 = 2;
/// Upper bound of arrivals per second: no server needs a higher limit, and it bounds the history that is kept
/// for each.
const MAX_ARRIVALS: f64 = 10_000.0;

/// Validity of a place after an entry requested it, in milliseconds. `is_limited`: its server is cold, or was
/// until recently.
pub const fn grant_valid_ms(is_limited: bool) -> Millis {
    if is_limited { COLD_GRANT_VALID_MS } else { WARM_GRANT_VALID_MS }
}

/// By how much the declared rate of a cold server may be exceeded, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdLimit {
    /// Percentage of the declared rate that may arrive.
    pub overshoot_percent: u64,
    /// Additional arrivals in any second.
    pub extra: u64,
}

impl Default for ColdLimit {
    fn default() -> Self {
        ColdLimit { overshoot_percent: 100, extra: 0 }
    }
}

impl ColdLimit {
    /// Requests that may reach a cold server in any second, from all daemons together. A rate that is not a
    /// number counts as zero.
    pub fn arrivals(&self, cold_start: &ColdStart) -> u32 {
        let declared = cold_start.requests_per_second.max(0.0) * self.overshoot_percent as f64 / 100.0;
        (declared + self.extra as f64).min(MAX_ARRIVALS) as u32
    }
}

/// Number of evenly spaced requests that one sender may send to a cold server in any second; it may be zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendRate {
    requests: u32,
}

impl SendRate {
    /// The share of one dispatcher, given the total number of arrivals: at least one request, unless the
    /// total is zero.
    pub fn of_dispatcher(arrivals: u32) -> SendRate {
        SendRate { requests: (arrivals / SENDERS_AT_ONCE).max(arrivals.min(1)) }
    }

    /// The share of one entry that sends to a plain server without a dispatcher. If there are more entries
    /// than requests, the first by rendezvous hashing send one request each and the others none, so that
    /// entries with the same list of entries agree without communication.
    pub fn of_entry(arrivals: u32, server: &str, entry: &str, entries: &[&str]) -> SendRate {
        let all = SendRate::of_dispatcher(arrivals).requests;
        if !entries.contains(&entry) {
            return SendRate { requests: 0 };
        }
        let even_part = all / entries.len() as u32;
        if even_part > 0 {
            return SendRate { requests: even_part };
        }
        let rank = |name: &str| rendezvous_weight(server, name);
        let own = rank(entry);
        let before = entries.iter().filter(|other| rank(other) > own).count();
        SendRate { requests: u32::from(before < all as usize) }
    }

    /// Interval between two requests, in milliseconds; `None` if no request may be sent.
    pub fn interval_ms(self) -> Option<Millis> {
        Some(ARRIVAL_SPREAD_MS.checked_div(Millis::from(self.requests))? + 1)
    }

    fn times(self, factor: u32) -> SendRate {
        SendRate { requests: self.requests * factor }
    }
}

/// Recent requests of one sender to one server.
#[derive(Clone, Debug, Default)]
struct SendHistory {
    sent_at: VecDeque<Millis>,
    is_cold: bool,
    /// When the server was last observed to be cold.
    cold_at: Option<Millis>,
}

impl SendHistory {
    /// Whether the server is cold, or was until recently.
    fn is_limited(&self, now: Millis) -> bool {
        self.is_cold || self.cold_at.is_some_and(|at| now < at + COLD_SLOW_START_MS)
    }

    fn allows(&self, now: Millis, rate: SendRate) -> bool {
        let Some(interval_ms) = rate.interval_ms() else { return false };
        let is_spaced = self.sent_at.back().is_none_or(|last| now >= last + interval_ms);
        // A server that was warm until recently may have received more than its spacing allows.
        let within = self.sent_at.iter().rev().take_while(|at| now <= **at + ARRIVAL_SPREAD_MS).count();
        is_spaced && within < rate.requests as usize
    }
}

/// Recent requests of one sender to each server, by group or by instance.
#[derive(Clone, Debug)]
pub struct ColdPacing<K> {
    histories: BTreeMap<K, SendHistory>,
    /// When the process of the sender started.
    started_at: Millis,
}

impl<K> Default for ColdPacing<K> {
    fn default() -> Self {
        ColdPacing { histories: BTreeMap::new(), started_at: 0 }
    }
}

impl<K: Ord + Clone> ColdPacing<K> {
    /// Sets when the process of the sender started. Nothing is sent to cold servers for one window after that: a
    /// predecessor may have used its share of it.
    pub fn set_started_at(&mut self, started_at: Millis) {
        self.started_at = started_at;
    }

    /// Records whether a server is cold now. Must be called for every server that might receive a request, so
    /// that the end of its cold phase is observed.
    pub fn observe(&mut self, now: Millis, server: &K, is_cold: bool) {
        if is_cold {
            let history = self.histories.entry(server.clone()).or_default();
            (history.is_cold, history.cold_at) = (true, Some(now));
        } else if let Some(history) = self.histories.get_mut(server).filter(|history| history.is_cold) {
            (history.is_cold, history.cold_at) = (false, Some(now));
        }
    }

    /// Whether a server is cold, or was until recently.
    pub fn is_limited(&self, now: Millis, server: &K) -> bool {
        self.histories.get(server).is_some_and(|history| history.is_limited(now))
    }

    /// Whether a server may be sent a request now. `rate` is this sender's share.
    pub fn may_send(&self, now: Millis, server: &K, rate: SendRate) -> bool {
        let limited = self.histories.get(server).filter(|history| history.is_limited(now));
        let Some(history) = limited else { return true };
        if now <= self.started_at + ARRIVAL_SPREAD_MS {
            return false;
        }
        let factor = if history.is_cold { 1 } else { SLOW_START_FACTOR };
        history.allows(now, rate.times(factor))
    }

    /// Records that a request is sent to a server now. Warm servers are recorded too, as they may become cold
    /// at any moment.
    pub fn record_send(&mut self, now: Millis, server: &K, rate: SendRate) {
        let history = self.histories.entry(server.clone()).or_default();
        history.sent_at.push_back(now);
        while history.sent_at.len() > rate.times(SLOW_START_FACTOR).requests as usize {
            history.sent_at.pop_front();
        }
    }

    /// Removes servers that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&K) -> bool) {
        self.histories.retain(|server, _| exists(server));
    }
}
