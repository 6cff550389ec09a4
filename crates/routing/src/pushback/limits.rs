//! Rate limits that servers have declared, as known to one daemon from their answers or from other daemons.

use super::NamedLimit;
use crate::Millis;
use dockwood_api::gateway::{RequestRate, ServerLimit, ServerStart};
use std::collections::BTreeMap;

/// Maximum number of servers in the table; beyond it, the one heard from longest ago is evicted. This is
/// three times the number of servers in the largest planned fleet.
const MAX_TRACKED_SERVERS: usize = 4_096;
/// Once a server no longer declares a limit, its rate doubles each time this period passes, in milliseconds.
/// The rate does not change before the first period has passed, so that a server that declares its limit in
/// every other answer gets no more than its limit.
const SLOW_START_STEP_MS: Millis = 1_000;
/// Number of slow start steps before the server is unlimited.
const SLOW_START_STEPS: u64 = 3;
/// Minimum initial rate of the slow start.
const MIN_SLOW_START_RATE: RequestRate = RequestRate::from_thousandths(1_000);
/// How long the end of a limit is kept, in milliseconds: messages that still carry the limit may be on their
/// way between daemons.
const ENDED_LIMIT_RETENTION_MS: Millis = 15_000;
/// Placement plans take a limit into account once it has been in force for this long, in milliseconds: a
/// replacement group must first load its model, and a plan that changes with every short limit never settles.
const LASTING_AFTER_MS: Millis = 10_000;
/// Percentage by which a rate must change to be announced to other daemons immediately. Without this
/// threshold, a server whose rate varies with each answer would cause constant traffic in the whole fleet.
const SIGNIFICANT_CHANGE_PERCENT: u64 = 12;

/// What one answer says about the limit of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitObservation {
    /// The limit, if any.
    pub named: NamedLimit,
    /// When the request of this answer was sent.
    pub sent_at: Millis,
    /// Whether an answer without a limit ends the known one. A rejection or a failure may come from a proxy
    /// in front of the server's own code.
    pub may_end_limit: bool,
}

/// Change of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The server declares a limit and had none before.
    Named(RequestRate),
    /// The server declares a different rate.
    Changed {
        /// Previous rate.
        from: RequestRate,
        /// New rate.
        to: RequestRate,
    },
    /// The server no longer declares a limit.
    Ended(RequestRate),
}

impl LimitChange {
    /// Whether the change must be announced to other daemons immediately.
    fn is_significant(self) -> bool {
        match self {
            LimitChange::Named(_) | LimitChange::Ended(_) => true,
            LimitChange::Changed { from, to } => {
                let difference = from.thousandths().abs_diff(to.thousandths());
                difference * 100 >= from.thousandths() * SIGNIFICANT_CHANGE_PERCENT
            }
        }
    }
}

/// A server that has declared a limit.
#[derive(Clone, Debug)]
struct TrackedServer {
    started_ms: Option<u64>,
    rate: RequestRate,
    has_ended: bool,
    /// Start of the uninterrupted period in which it has declared limits.
    limited_since: Millis,
    observed_at: Millis,
    /// Nothing is sent to the server before this time; set by the daemon that allocates its limit.
    held_until: Millis,
    /// The rate last announced to other daemons, unless the limit has ended since.
    last_announced: Option<RequestRate>,
    /// Whether the limit is yet to be announced to other daemons.
    needs_announcement: bool,
}

impl TrackedServer {
    /// The rate that applies now; `None` if the server is unlimited.
    fn rate(&self, now: Millis) -> Option<RequestRate> {
        if !self.has_ended {
            return Some(self.rate);
        }
        let step = now.saturating_sub(self.observed_at) / SLOW_START_STEP_MS;
        let first = self.rate.max(MIN_SLOW_START_RATE).thousandths();
        (step < SLOW_START_STEPS).then(|| RequestRate::from_thousandths(first << step))
    }

    fn to_server_limit(&self, now: Millis, id: &str) -> ServerLimit {
        ServerLimit {
            server: ServerStart { id: id.to_string(), started_ms: self.started_ms },
            rate: self.rate,
            has_ended: self.has_ended,
            heard_ago_ms: now.saturating_sub(self.observed_at),
        }
    }

    /// Updates the known limit with the latest observation.
    fn set(&mut self, rate: RequestRate, has_ended: bool, observed_at: Millis) -> Option<LimitChange> {
        let change = match (self.has_ended, has_ended) {
            (false, true) => Some(LimitChange::Ended(self.rate)),
            (true, false) => Some(LimitChange::Named(rate)),
            (false, false) if rate != self.rate => Some(LimitChange::Changed { from: self.rate, to: rate }),
            _ => None,
        };
        // The hold was computed for the previous rate.
        if change.is_some_and(|change| change != LimitChange::Named(rate)) && rate >= self.rate {
            self.held_until = 0;
        }
        if change == Some(LimitChange::Named(rate)) {
            self.limited_since = observed_at;
        }
        (self.rate, self.has_ended, self.observed_at) = (rate, has_ended, observed_at);
        change
    }

    fn mark_for_announcement(&mut self, change: LimitChange) {
        let since_announced = match (self.last_announced, change) {
            (Some(from), LimitChange::Changed { to, .. }) => LimitChange::Changed { from, to },
            _ => change,
        };
        if since_announced.is_significant() {
            self.needs_announcement = true;
            self.last_announced = (!self.has_ended).then_some(self.rate);
        }
    }
}

/// Servers that have declared a limit, by id.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    servers: BTreeMap<String, TrackedServer>,
}

impl LimitTable {
    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// The server's current rate; `None` if it is unlimited.
    pub fn rate(&self, now: Millis, server: &ServerStart) -> Option<RequestRate> {
        self.find(server)?.rate(now)
    }

    /// Until when the server is held; `None` if a turn may be requested for it.
    pub fn held_until(&self, now: Millis, server: &ServerStart) -> Option<Millis> {
        let known = self.find(server).filter(|known| known.rate(now).is_some())?;
        (now < known.held_until).then_some(known.held_until)
    }

    /// Holds a server back until the time given by the daemon that allocates its limit.
    pub fn hold(&mut self, server: &ServerStart, until: Millis) {
        if let Some(known) =
            self.servers.get_mut(&server.id).filter(|known| known.started_ms == server.started_ms)
        {
            known.held_until = until;
        }
    }

    /// The known limit of a server, in the form that is sent to other daemons.
    pub fn tell(&self, now: Millis, server: &ServerStart) -> Option<ServerLimit> {
        Some(self.find(server)?.to_server_limit(now, &server.id))
    }

    /// Processes what an answer says about its server's limit. It replaces the known limit if the request was
    /// sent after that one was observed; among answers that arrive out of order, the strictest limit applies.
    pub fn heard(
        &mut self,
        now: Millis,
        server: &ServerStart,
        observation: LimitObservation,
    ) -> Option<LimitChange> {
        match observation.named {
            NamedLimit::Unreadable => None,
            NamedLimit::Rate(rate) => self.record_limit(now, server, rate, observation.sent_at),
            NamedLimit::Absent if observation.may_end_limit => {
                self.record_no_limit(now, server, observation.sent_at)
            }
            NamedLimit::Absent => None,
        }
    }

    fn record_limit(
        &mut self,
        now: Millis,
        server: &ServerStart,
        rate: RequestRate,
        sent_at: Millis,
    ) -> Option<LimitChange> {
        let Some(known) = self.find_mut(server) else {
            return Some(self.insert_server(server, rate, now));
        };
        let is_newer = sent_at >= known.observed_at;
        if !is_newer && !known.has_ended && rate >= known.rate {
            return None;
        }
        let change = known.set(rate, false, now)?;
        known.mark_for_announcement(change);
        Some(change)
    }

    fn record_no_limit(&mut self, now: Millis, server: &ServerStart, sent_at: Millis) -> Option<LimitChange> {
        let known = self.find_mut(server).filter(|known| !known.has_ended && sent_at >= known.observed_at)?;
        let change = known.set(known.rate, true, now)?;
        known.mark_for_announcement(change);
        Some(change)
    }

    /// Merges the limit known to another daemon if it is newer. With `announce`, a change is announced to
    /// further daemons.
    pub fn merge(&mut self, now: Millis, reported: &ServerLimit, announce: bool) -> Option<LimitChange> {
        let observed_at = now.saturating_sub(reported.heard_ago_ms);
        let newer = |known: &TrackedServer| match known.started_ms == reported.server.started_ms {
            true => observed_at > known.observed_at,
            false => reported.server.started_ms > known.started_ms,
        };
        let id = &reported.server.id;
        if self.servers.get(id).is_some_and(|known| !newer(known)) {
            return None;
        }
        let known = self.find_mut(&reported.server);
        let change = match known {
            Some(known) => known.set(reported.rate, reported.has_ended, observed_at)?,
            None if reported.has_ended => return None,
            None => self.insert_server(&reported.server, reported.rate, observed_at),
        };
        let known = self.servers.get_mut(id)?;
        if announce {
            known.mark_for_announcement(change);
        } else {
            (known.last_announced, known.needs_announcement) =
                ((!known.has_ended).then_some(known.rate), false);
        }
        Some(change)
    }

    /// Takes the limits that have to be announced to other daemons now.
    pub fn take_news(&mut self, now: Millis) -> Vec<ServerLimit> {
        let pending = self.servers.iter_mut().filter(|(_, known)| known.needs_announcement);
        pending
            .map(|(id, known)| {
                known.needs_announcement = false;
                known.to_server_limit(now, id)
            })
            .collect()
    }

    /// Schedules limits that could not be delivered for another announcement.
    pub fn return_news(&mut self, news: &[ServerLimit]) {
        for reported in news {
            if let Some(known) = self.find_mut(&reported.server) {
                known.needs_announcement = true;
            }
        }
    }

    /// All limits in force, for daemons that may have missed an announcement.
    pub fn all_in_force(&self, now: Millis) -> Vec<ServerLimit> {
        let in_force = self.servers.iter().filter(|(_, known)| !known.has_ended);
        in_force.map(|(id, known)| known.to_server_limit(now, id)).collect()
    }

    /// Limits that have been in force long enough for placement plans to take them into account.
    pub fn lasting(&self, now: Millis) -> Vec<ServerLimit> {
        let lasts = |known: &TrackedServer| !known.has_ended && now >= known.limited_since + LASTING_AFTER_MS;
        let lasting = self.servers.iter().filter(|(_, known)| lasts(known));
        lasting.map(|(id, known)| known.to_server_limit(now, id)).collect()
    }

    /// Number of servers that currently declare a limit.
    pub fn count(&self) -> usize {
        self.servers.values().filter(|known| !known.has_ended).count()
    }

    /// Removes servers that no longer exist, and limits that ended some time ago.
    pub fn retain_known(&mut self, now: Millis, is_known: impl Fn(&str) -> bool) {
        self.servers.retain(|id, known| {
            let within_retention = now < known.observed_at + ENDED_LIMIT_RETENTION_MS;
            within_retention || (!known.has_ended && is_known(id))
        });
    }

    fn find(&self, server: &ServerStart) -> Option<&TrackedServer> {
        self.servers.get(&server.id).filter(|known| known.started_ms == server.started_ms)
    }

    fn find_mut(&mut self, server: &ServerStart) -> Option<&mut TrackedServer> {
        self.servers.get_mut(&server.id).filter(|known| known.started_ms == server.started_ms)
    }

    fn insert_server(&mut self, server: &ServerStart, rate: RequestRate, observed_at: Millis) -> LimitChange {
        if !self.servers.contains_key(&server.id) && self.servers.len() >= MAX_TRACKED_SERVERS {
            let oldest =
                self.servers.iter().min_by_key(|(_, known)| known.observed_at).map(|(id, _)| id.clone());
            oldest.into_iter().for_each(|id| {
                self.servers.remove(&id);
            });
        }
        let known = TrackedServer {
            started_ms: server.started_ms,
            rate,
            has_ended: false,
            limited_since: observed_at,
            observed_at,
            held_until: 0,
            last_announced: Some(rate),
            needs_announcement: true,
        };
        self.servers.insert(server.id.clone(), known);
        LimitChange::Named(rate)
    }
}
