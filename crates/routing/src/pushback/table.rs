//! The servers that one daemon currently holds back.

use crate::Millis;
use dockwood_api::gateway::ServerStart;
use std::collections::BTreeMap;

/// Maximum number of servers in the table; beyond it, the one recorded first is evicted. This is three times
/// the number of servers in the largest planned fleet, so that only servers replaced long ago are evicted.
const MAX_HELD_SERVERS: usize = 4_096;
/// When a request that finds a probe in flight checks again, in milliseconds: some probes are answered by
/// then, and few requests are lost because of the wait.
const PROBE_RECHECK_MS: Millis = 20;

/// Why nothing is sent to a server at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// The server asked for a backoff period.
    Resting {
        /// End of the period.
        until: Millis,
    },
    /// The backoff period is over, and the probe request after it has not been answered yet.
    Probing {
        /// When to check again.
        until: Millis,
    },
    /// The server is receiving as many requests as its limit allows.
    AtLimit {
        /// When a turn may be requested again.
        until: Millis,
    },
    /// The server has announced that it is leaving.
    Leaving,
}

impl Hold {
    /// When the hold may end; `None` if it does not end by itself.
    pub fn until(self) -> Option<Millis> {
        match self {
            Hold::Resting { until } | Hold::Probing { until } | Hold::AtLimit { until } => Some(until),
            Hold::Leaving => None,
        }
    }
}

/// Kind of a request that may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// A regular request.
    Usual,
    /// A probe after a backoff period: no other request is sent to the server while it is in flight.
    Probe,
}

/// A backoff period has started for a server that was not backing off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffStarted {
    /// End of the period.
    pub until: Millis,
}

/// State of a backoff period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Backoff {
    until: Millis,
    probing: bool,
}

/// A server that is held back.
#[derive(Clone, Debug)]
struct HeldServer {
    started_ms: Option<u64>,
    backoff: Option<Backoff>,
    is_leaving: bool,
    /// Position in the order in which servers were recorded.
    sequence: u64,
}

impl HeldServer {
    fn is_same_start(&self, server: &ServerStart) -> bool {
        self.started_ms == server.started_ms
    }

    fn hold(&self, now: Millis) -> Option<Hold> {
        if self.is_leaving {
            return Some(Hold::Leaving);
        }
        let backoff = self.backoff?;
        if now < backoff.until {
            return Some(Hold::Resting { until: backoff.until });
        }
        backoff.probing.then_some(Hold::Probing { until: now + PROBE_RECHECK_MS })
    }
}

/// Servers that asked for a backoff period or announced that they are leaving, by id.
#[derive(Clone, Debug, Default)]
pub struct PushbackTable {
    servers: BTreeMap<String, HeldServer>,
    sequence: u64,
}

impl PushbackTable {
    /// Why nothing may be sent to the server at present; `None` if a request may be sent.
    pub fn hold(&self, now: Millis, server: &ServerStart) -> Option<Hold> {
        self.servers.get(&server.id).filter(|held| held.is_same_start(server))?.hold(now)
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Starts sending a request, if the server accepts one. Call this immediately before writing the request,
    /// and call [`PushbackTable::probe_ended`] afterwards if it is a probe.
    pub fn begin_send(&mut self, now: Millis, server: &ServerStart) -> Result<SendKind, Hold> {
        if let Some(hold) = self.hold(now, server) {
            return Err(hold);
        }
        let held = self.servers.get_mut(&server.id).filter(|held| held.is_same_start(server));
        let Some(backoff) = held.and_then(|held| held.backoff.as_mut()) else { return Ok(SendKind::Usual) };
        backoff.probing = true;
        Ok(SendKind::Probe)
    }

    /// Records the end of a probe. `accepted`: the server answered and asked for no further backoff. Returns
    /// true if this ends the backoff; otherwise the next request is another probe.
    pub fn probe_ended(&mut self, now: Millis, server: &ServerStart, accepted: bool) -> bool {
        let Some(held) = self.servers.get_mut(&server.id).filter(|held| held.is_same_start(server)) else {
            return false;
        };
        let Some(backoff) = held.backoff.as_mut() else { return false };
        backoff.probing = false;
        // Another answer may have extended the backoff meanwhile.
        let has_ended = accepted && now >= backoff.until;
        if has_ended {
            held.backoff = None;
            self.remove_if_unrestricted(&server.id);
        }
        has_ended
    }

    /// Records that a server asked for a backoff of `backoff_ms`. It is held for `spread_ms` more, which
    /// differs between daemons. A shorter period does not end a longer one. Returns the period if none was in
    /// progress.
    pub fn record_backoff(
        &mut self,
        now: Millis,
        server: &ServerStart,
        backoff_ms: Millis,
        spread_ms: Millis,
    ) -> Option<BackoffStarted> {
        let until = now.saturating_add(backoff_ms).saturating_add(spread_ms);
        let held = self.find_or_insert(server);
        let was_backing_off = held.backoff.is_some_and(|backoff| now < backoff.until);
        let longest = held.backoff.map_or(until, |backoff| backoff.until.max(until));
        held.backoff = Some(Backoff { until: longest, probing: false });
        (!was_backing_off).then_some(BackoffStarted { until: longest })
    }

    /// Records that a server is leaving; true if this was not known before.
    pub fn note_leaving(&mut self, server: &ServerStart) -> bool {
        !std::mem::replace(&mut self.find_or_insert(server).is_leaving, true)
    }

    /// Number of servers that are backing off, and of servers that are leaving.
    pub fn counts(&self, now: Millis) -> (usize, usize) {
        let backing_off = |held: &&HeldServer| !held.is_leaving && held.hold(now).is_some();
        let leaving = self.servers.values().filter(|held| held.is_leaving).count();
        (self.servers.values().filter(backing_off).count(), leaving)
    }

    /// Removes servers that no longer exist and whose backoff is over. The rest of a backoff period also
    /// applies to a server that is currently unknown: a group may end and its head lead another group later.
    pub fn retain_known(&mut self, now: Millis, is_known: impl Fn(&str) -> bool) {
        self.servers.retain(|id, held| held.hold(now).is_some() || is_known(id));
    }

    fn find_or_insert(&mut self, server: &ServerStart) -> &mut HeldServer {
        if !self.servers.contains_key(&server.id) && self.servers.len() >= MAX_HELD_SERVERS {
            let oldest = self.servers.iter().min_by_key(|(_, held)| held.sequence).map(|(id, _)| id.clone());
            oldest.into_iter().for_each(|id| {
                self.servers.remove(&id);
            });
        }
        self.sequence += 1;
        let sequence = self.sequence;
        let new = || HeldServer { started_ms: server.started_ms, backoff: None, is_leaving: false, sequence };
        let held = self.servers.entry(server.id.clone()).or_insert_with(new);
        if !held.is_same_start(server) {
            *held = new();
        }
        held
    }

    fn remove_if_unrestricted(&mut self, id: &str) {
        if self.servers.get(id).is_some_and(|held| held.backoff.is_none() && !held.is_leaving) {
            self.servers.remove(id);
        }
    }
}

/// Period over which the daemons that send to a server spread their return to it, in milliseconds. It is long
/// enough for no more daemons to return per second than the server has places, and no longer than the backoff
/// itself.
pub fn return_spread_ms(backoff_ms: Millis, daemons: u32, places: u32) -> Millis {
    const SECOND_MS: Millis = 1_000;
    backoff_ms.min(Millis::from(daemons) * SECOND_MS / Millis::from(places.max(1)))
}
