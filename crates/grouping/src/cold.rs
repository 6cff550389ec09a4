//! A rate limit for servers that are cold, which daemons keep without asking each other.
//!
//! Each sender of requests to a cold server spaces its requests evenly. Whatever one second of time is looked at, it
//! holds no more than the sender's part, also when one sender takes over from another in the middle of it: counted
//! windows would let two windows' worth through at their boundary. The parts of all senders that may be at work at once
//! sum up to what the server may get.

use crate::Millis;
use dockwood_api::digest::rendezvous_weight;
use dockwood_api::gateway::ColdStart;
use std::collections::{BTreeMap, VecDeque};

/// The span over which arrivals are limited, in milliseconds: the limit is declared by the second.
const WINDOW_MS: Millis = 1_000;
/// How long after an entry asked for it a place at a cold server may be used, in milliseconds: some times as long as
/// the answer and a new connection usually take.
const COLD_GRANT_VALID_MS: Millis = 75;
/// The same for servers that are warm as far as the entry knows, in milliseconds: an entry that was stopped doesn't
/// know what has become of them since. Longer than a connection may take to be made, which is no reason to ask again.
const WARM_GRANT_VALID_MS: Millis = 400;
/// How long a request that was written takes to its server at most, in milliseconds.
const DELIVERY_MS: Millis = 25;
/// Requests that were given over this long may all arrive within one second: some wait for their connection, the others
/// don't.
const SPREAD_MS: Millis = WINDOW_MS + COLD_GRANT_VALID_MS + DELIVERY_MS;
/// Daemons that may take themselves for the dispatcher of a group at once, or sets of entries that may take themselves
/// for the senders of a plain server: one by the tables as they are, and one by those of a moment ago.
pub const SENDERS_AT_ONCE: u32 = 2;
/// After a server said that it is warm, it gets twice the rate for this long, in milliseconds: the time of two of its
/// reports. One that was sent before it became cold again may come late.
pub const COLD_SLOW_START_MS: Millis = 2_400;
/// What the rate is multiplied by meanwhile.
const SLOW_START_FACTOR: u32 = 2;
/// More arrivals a second than this are no limit that a server could need; it bounds what is remembered of each.
const MOST_ARRIVALS: f64 = 10_000.0;

/// How long a place may be used after an entry asked for it, in milliseconds. `is_limited`: its server is cold, or was
/// until a moment ago.
pub const fn grant_valid_ms(is_limited: bool) -> Millis {
    if is_limited { COLD_GRANT_VALID_MS } else { WARM_GRANT_VALID_MS }
}

/// By how much a cold server's declared rate may be exceeded, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdLimit {
    /// Part of the declared rate that may arrive, in percent.
    pub overshoot_percent: u64,
    /// Arrivals beyond that, in any second.
    pub extra: u64,
}

impl Default for ColdLimit {
    fn default() -> Self {
        ColdLimit { overshoot_percent: 100, extra: 0 }
    }
}

impl ColdLimit {
    /// Requests that may reach a cold server in any second, from all daemons together. A rate that is no number counts
    /// as none.
    pub fn arrivals(&self, cold_start: &ColdStart) -> u32 {
        let declared = cold_start.requests_per_second.max(0.0) * self.overshoot_percent as f64 / 100.0;
        (declared + self.extra as f64).min(MOST_ARRIVALS) as u32
    }
}

/// How many requests one sender may give to a cold server in any second, evenly spaced; it may be none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendRate {
    requests: u32,
}

impl SendRate {
    /// The part of one dispatcher, where so many requests may arrive: one at least, unless none may.
    pub fn of_dispatcher(arrivals: u32) -> SendRate {
        SendRate { requests: (arrivals / SENDERS_AT_ONCE).max(arrivals.min(1)) }
    }

    /// The part of one entry that sends to a plain server without asking anybody. Where there are more entries than
    /// requests, the first by rendezvous hashing send one each and the others none, so that entries which know each
    /// other agree without a message.
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

    /// Time between two requests, in milliseconds; `None` if there are to be none.
    pub fn interval_ms(self) -> Option<Millis> {
        Some(SPREAD_MS.checked_div(Millis::from(self.requests))? + 1)
    }

    fn times(self, factor: u32) -> SendRate {
        SendRate { requests: self.requests * factor }
    }
}

/// What one sender gave one server lately.
#[derive(Clone, Debug, Default)]
struct Given {
    at: VecDeque<Millis>,
    is_cold: bool,
    /// When the server was last found cold.
    cold_at: Option<Millis>,
}

impl Given {
    /// Whether the server is cold, or was until a moment ago.
    fn is_limited(&self, now: Millis) -> bool {
        self.is_cold || self.cold_at.is_some_and(|at| now < at + COLD_SLOW_START_MS)
    }

    fn allows(&self, now: Millis, rate: SendRate) -> bool {
        let Some(interval_ms) = rate.interval_ms() else { return false };
        let is_spaced = self.at.back().is_none_or(|last| now >= last + interval_ms);
        // A server that was warm a moment ago may have got more than its spacing allows.
        let within = self.at.iter().rev().take_while(|at| now <= **at + SPREAD_MS).count();
        is_spaced && within < rate.requests as usize
    }
}

/// What one sender gave each server lately, by group or by instance.
#[derive(Clone, Debug)]
pub struct ColdPacing<K> {
    given: BTreeMap<K, Given>,
}

impl<K> Default for ColdPacing<K> {
    fn default() -> Self {
        ColdPacing { given: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> ColdPacing<K> {
    /// Notes whether a server is cold now. To be called for each one that might take a request, so that the end of its
    /// cold time is seen.
    pub fn observe(&mut self, now: Millis, server: &K, is_cold: bool) {
        if is_cold {
            let given = self.given.entry(server.clone()).or_default();
            (given.is_cold, given.cold_at) = (true, Some(now));
        } else if let Some(given) = self.given.get_mut(server).filter(|given| given.is_cold) {
            (given.is_cold, given.cold_at) = (false, Some(now));
        }
    }

    /// Whether a server is cold, or was until a moment ago.
    pub fn is_limited(&self, now: Millis, server: &K) -> bool {
        self.given.get(server).is_some_and(|given| given.is_limited(now))
    }

    /// Whether a server may get a request now. `rate` is this sender's part.
    pub fn may_give(&self, now: Millis, server: &K, rate: SendRate) -> bool {
        let limited = self.given.get(server).filter(|given| given.is_limited(now));
        let Some(given) = limited else { return true };
        let factor = if given.is_cold { 1 } else { SLOW_START_FACTOR };
        given.allows(now, rate.times(factor))
    }

    /// Notes that a server gets a request now, also where it is warm: it may become cold at any moment.
    pub fn give(&mut self, now: Millis, server: &K, rate: SendRate) {
        let given = self.given.entry(server.clone()).or_default();
        given.at.push_back(now);
        while given.at.len() > rate.times(SLOW_START_FACTOR).requests as usize {
            given.at.pop_front();
        }
    }

    /// Forgets servers that are gone.
    pub fn retain(&mut self, exists: impl Fn(&K) -> bool) {
        self.given.retain(|server, _| exists(server));
    }
}
