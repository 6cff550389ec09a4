//! The servers that one daemon holds back.

use crate::Millis;
use dockwood_api::gateway::ServerStart;
use std::collections::BTreeMap;

/// Servers that are kept in mind. Beyond, the one that was noted first is forgotten: three times the servers of the largest
/// fleet planned for, so that this takes servers that were replaced long ago.
const MOST_HELD: usize = 4_096;
/// When a request that finds the first one after a rest still on its way should look again, in milliseconds: some answers are
/// there by then, and few are lost by the wait.
const TRIAL_LOOK_MS: Millis = 20;

/// Why a server is sent nothing now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// It asked for rest.
    Resting {
        /// When that ends.
        until: Millis,
    },
    /// Its rest is over, and the first request after it has had no answer yet.
    OnTrial {
        /// When to look again.
        until: Millis,
    },
    /// It gets as many requests as it said it takes.
    AtLimit {
        /// When it may be asked again.
        until: Millis,
    },
    /// It has said that it leaves.
    Leaving,
}

impl Hold {
    /// When it may end, if it does.
    pub fn until(self) -> Option<Millis> {
        match self {
            Hold::Resting { until } | Hold::OnTrial { until } | Hold::AtLimit { until } => Some(until),
            Hold::Leaving => None,
        }
    }
}

/// A request that may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// As any other.
    Usual,
    /// As the first one after a rest: no other goes to the server meanwhile.
    Trial,
}

/// A server asked for rest that was not resting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestBegun {
    /// When it ends.
    pub until: Millis,
}

/// How far a rest is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Rest {
    until: Millis,
    on_trial: bool,
}

/// One server that is held back.
#[derive(Clone, Debug)]
struct HeldServer {
    started_ms: Option<u64>,
    rest: Option<Rest>,
    leaves: bool,
    /// Its place in the order in which servers were noted.
    noted: u64,
}

impl HeldServer {
    fn is(&self, server: &ServerStart) -> bool {
        self.started_ms == server.started_ms
    }

    fn hold(&self, now: Millis) -> Option<Hold> {
        if self.leaves {
            return Some(Hold::Leaving);
        }
        let rest = self.rest?;
        if now < rest.until {
            return Some(Hold::Resting { until: rest.until });
        }
        rest.on_trial.then_some(Hold::OnTrial { until: now + TRIAL_LOOK_MS })
    }
}

/// Servers that asked for rest or said that they leave, by id.
#[derive(Clone, Debug, Default)]
pub struct PushbackTable {
    servers: BTreeMap<String, HeldServer>,
    noted: u64,
}

impl PushbackTable {
    /// Why a server is sent nothing now; `None` if it may be sent a request.
    pub fn hold(&self, now: Millis, server: &ServerStart) -> Option<Hold> {
        self.servers.get(&server.id).filter(|held| held.is(server))?.hold(now)
    }

    /// Whether no server is kept in mind.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Begins to send a request, if the server takes one. To be asked at the moment of writing, and followed by
    /// [`PushbackTable::trial_ended`] if it is a trial.
    pub fn begin_send(&mut self, now: Millis, server: &ServerStart) -> Result<SendKind, Hold> {
        if let Some(hold) = self.hold(now, server) {
            return Err(hold);
        }
        let held = self.servers.get_mut(&server.id).filter(|held| held.is(server));
        let Some(rest) = held.and_then(|held| held.rest.as_mut()) else { return Ok(SendKind::Usual) };
        rest.on_trial = true;
        Ok(SendKind::Trial)
    }

    /// Takes the end of a trial: `accepted` if the server answered it and asked for no more rest. True if its rest is over
    /// by that; else the next request is another trial.
    pub fn trial_ended(&mut self, now: Millis, server: &ServerStart, accepted: bool) -> bool {
        let Some(held) = self.servers.get_mut(&server.id).filter(|held| held.is(server)) else {
            return false;
        };
        let Some(rest) = held.rest.as_mut() else { return false };
        rest.on_trial = false;
        // Another answer may have asked for more meanwhile.
        let is_over = accepted && now >= rest.until;
        if is_over {
            held.rest = None;
            self.forget_if_free(&server.id);
        }
        is_over
    }

    /// Notes that a server wants nothing for `rest_ms`; it is held back for `spread_ms` more, which differs from daemon to
    /// daemon. A shorter rest does not end a longer one. Returns the rest if none was under way.
    pub fn note_rest(
        &mut self,
        now: Millis,
        server: &ServerStart,
        rest_ms: Millis,
        spread_ms: Millis,
    ) -> Option<RestBegun> {
        let until = now.saturating_add(rest_ms).saturating_add(spread_ms);
        let held = self.held(server);
        let was_resting = held.rest.is_some_and(|rest| now < rest.until);
        let longest = held.rest.map_or(until, |rest| rest.until.max(until));
        held.rest = Some(Rest { until: longest, on_trial: false });
        (!was_resting).then_some(RestBegun { until: longest })
    }

    /// Notes that a server leaves; true if that was not known.
    pub fn note_leaving(&mut self, server: &ServerStart) -> bool {
        !std::mem::replace(&mut self.held(server).leaves, true)
    }

    /// Servers that rest now, and servers that leave.
    pub fn counts(&self, now: Millis) -> (usize, usize) {
        let resting = |held: &&HeldServer| !held.leaves && held.hold(now).is_some();
        let leaving = self.servers.values().filter(|held| held.leaves).count();
        (self.servers.values().filter(resting).count(), leaving)
    }

    /// Forgets servers that are gone and whose rest is over. What is left of a rest counts also for a server that is not
    /// known at the moment: a group may end and its head lead another one.
    pub fn retain_known(&mut self, now: Millis, is_known: impl Fn(&str) -> bool) {
        self.servers.retain(|id, held| held.hold(now).is_some() || is_known(id));
    }

    fn held(&mut self, server: &ServerStart) -> &mut HeldServer {
        if !self.servers.contains_key(&server.id) && self.servers.len() >= MOST_HELD {
            let oldest = self.servers.iter().min_by_key(|(_, held)| held.noted).map(|(id, _)| id.clone());
            oldest.into_iter().for_each(|id| {
                self.servers.remove(&id);
            });
        }
        self.noted += 1;
        let noted = self.noted;
        let new = || HeldServer { started_ms: server.started_ms, rest: None, leaves: false, noted };
        let held = self.servers.entry(server.id.clone()).or_insert_with(new);
        if !held.is(server) {
            *held = new();
        }
        held
    }

    fn forget_if_free(&mut self, id: &str) {
        if self.servers.get(id).is_some_and(|held| held.rest.is_none() && !held.leaves) {
            self.servers.remove(id);
        }
    }
}

/// Over what time the daemons that send to one server should come back to it, in milliseconds: so that in each second no more
/// come than it has places, and no longer than it asked for.
pub fn return_spread_ms(rest_ms: Millis, daemons: u32, places: u32) -> Millis {
    const SECOND_MS: Millis = 1_000;
    rest_ms.min(Millis::from(daemons) * SECOND_MS / Millis::from(places.max(1)))
}
