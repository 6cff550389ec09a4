//! What one daemon knows of the servers that named a limit: told by their answers, or by other daemons.

use super::NamedLimit;
use crate::Millis;
use dockwood_api::gateway::{RequestRate, ServerLimit, ServerStart};
use std::collections::BTreeMap;

/// Servers that are kept in mind. Beyond, the one that was heard of longest ago is forgotten: three times the servers of the
/// largest fleet planned for.
const MOST_KNOWN: usize = 4_096;
/// After a server has ceased to name a limit, the rate doubles each time that this has passed, in milliseconds. Until the first
/// of them has, nothing changes: a server that names its limit in every other answer gets no more for it.
const SLOW_START_STEP_MS: Millis = 1_000;
/// Steps before the server gets what comes.
const SLOW_START_STEPS: u64 = 3;
/// The slow start begins with this rate, if the server took less.
const LEAST_SLOW_START: RequestRate = RequestRate::of_thousandths(1_000);
/// How long the end of a limit is remembered, in milliseconds: word of the limit itself may still be on its way between
/// daemons.
const END_REMEMBERED_MS: Millis = 15_000;
/// A limit that has been in force for this long is counted on by plans, in milliseconds: a group that would take its place must
/// load first, and a plan that changes with each short limit never settles.
const LASTING_AFTER_MS: Millis = 10_000;
/// Part by which a rate has to differ for other daemons to be told of it at once, in hundredths: a rate that is drawn anew
/// with each answer would keep the whole fleet talking.
const NOTABLE_HUNDREDTHS: u64 = 12;

/// What an answer said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heard {
    /// Of the limit.
    pub named: NamedLimit,
    /// When its request was sent.
    pub sent_at: Millis,
    /// Whether its silence on a limit means that there is none. A rejection or a failure may come from something in front of
    /// the server's own code.
    pub may_end_limit: bool,
}

/// What has changed for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// It names a limit, and named none before.
    Named(RequestRate),
    /// It names another rate.
    Changed {
        /// The rate before.
        from: RequestRate,
        /// The rate now.
        to: RequestRate,
    },
    /// It names none any more.
    Ended(RequestRate),
}

impl LimitChange {
    /// Whether other daemons should hear of it at once.
    fn is_notable(self) -> bool {
        match self {
            LimitChange::Named(_) | LimitChange::Ended(_) => true,
            LimitChange::Changed { from, to } => {
                let difference = from.thousandths().abs_diff(to.thousandths());
                difference * 100 >= from.thousandths() * NOTABLE_HUNDREDTHS
            }
        }
    }
}

/// One server that named a limit.
#[derive(Clone, Debug)]
struct Known {
    started_ms: Option<u64>,
    rate: RequestRate,
    has_ended: bool,
    /// Since when it has named limits without a break.
    named_since: Millis,
    heard_at: Millis,
    /// Nothing is sent to it before, as whoever shares out its limit has said.
    held_until: Millis,
    /// The rate that other daemons were last told, if it has not ended since.
    told: Option<RequestRate>,
    /// Others are to be told.
    is_news: bool,
}

impl Known {
    /// What it takes now; `None` for whatever comes.
    fn rate(&self, now: Millis) -> Option<RequestRate> {
        if !self.has_ended {
            return Some(self.rate);
        }
        let step = now.saturating_sub(self.heard_at) / SLOW_START_STEP_MS;
        let first = self.rate.max(LEAST_SLOW_START).thousandths();
        (step < SLOW_START_STEPS).then(|| RequestRate::of_thousandths(first << step))
    }

    fn tell(&self, now: Millis, id: &str) -> ServerLimit {
        ServerLimit {
            server: ServerStart { id: id.to_string(), started_ms: self.started_ms },
            rate: self.rate,
            has_ended: self.has_ended,
            heard_ago_ms: now.saturating_sub(self.heard_at),
        }
    }

    /// Takes what was heard last.
    fn set(&mut self, rate: RequestRate, has_ended: bool, heard_at: Millis) -> Option<LimitChange> {
        let change = match (self.has_ended, has_ended) {
            (false, true) => Some(LimitChange::Ended(self.rate)),
            (true, false) => Some(LimitChange::Named(rate)),
            (false, false) if rate != self.rate => Some(LimitChange::Changed { from: self.rate, to: rate }),
            _ => None,
        };
        // What it was held back for goes by the former rate.
        if change.is_some_and(|change| change != LimitChange::Named(rate)) && rate >= self.rate {
            self.held_until = 0;
        }
        if change == Some(LimitChange::Named(rate)) {
            self.named_since = heard_at;
        }
        (self.rate, self.has_ended, self.heard_at) = (rate, has_ended, heard_at);
        change
    }

    fn note_news(&mut self, change: LimitChange) {
        let since_told = match (self.told, change) {
            (Some(from), LimitChange::Changed { to, .. }) => LimitChange::Changed { from, to },
            _ => change,
        };
        if since_told.is_notable() {
            self.is_news = true;
            self.told = (!self.has_ended).then_some(self.rate);
        }
    }
}

/// Servers that named a limit, by id.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    servers: BTreeMap<String, Known>,
}

impl LimitTable {
    /// Whether no server is kept in mind.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// What a server takes now; `None` for whatever comes.
    pub fn rate(&self, now: Millis, server: &ServerStart) -> Option<RequestRate> {
        self.of(server)?.rate(now)
    }

    /// Until when a server is held back; `None` if it may be asked for.
    pub fn held_until(&self, now: Millis, server: &ServerStart) -> Option<Millis> {
        let known = self.of(server).filter(|known| known.rate(now).is_some())?;
        (now < known.held_until).then_some(known.held_until)
    }

    /// Holds a server back, as whoever shares out its limit said.
    pub fn hold(&mut self, server: &ServerStart, until: Millis) {
        if let Some(known) =
            self.servers.get_mut(&server.id).filter(|one| one.started_ms == server.started_ms)
        {
            known.held_until = until;
        }
    }

    /// What is known of a server, for other daemons.
    pub fn tell(&self, now: Millis, server: &ServerStart) -> Option<ServerLimit> {
        Some(self.of(server)?.tell(now, &server.id))
    }

    /// Takes what an answer said. It replaces what is known if its request was sent after that was heard; of answers that
    /// overtook each other the strictest counts.
    pub fn heard(&mut self, now: Millis, server: &ServerStart, heard: Heard) -> Option<LimitChange> {
        match heard.named {
            NamedLimit::Unreadable => None,
            NamedLimit::Rate(rate) => self.named(now, server, rate, heard.sent_at),
            NamedLimit::Absent if heard.may_end_limit => self.ended(now, server, heard.sent_at),
            NamedLimit::Absent => None,
        }
    }

    fn named(
        &mut self,
        now: Millis,
        server: &ServerStart,
        rate: RequestRate,
        sent_at: Millis,
    ) -> Option<LimitChange> {
        let Some(known) = self.known(server) else {
            return Some(self.learn(server, rate, now));
        };
        let is_later = sent_at >= known.heard_at;
        if !is_later && !known.has_ended && rate >= known.rate {
            return None;
        }
        let change = known.set(rate, false, now)?;
        known.note_news(change);
        Some(change)
    }

    fn ended(&mut self, now: Millis, server: &ServerStart, sent_at: Millis) -> Option<LimitChange> {
        let known = self.known(server).filter(|known| !known.has_ended && sent_at >= known.heard_at)?;
        let change = known.set(known.rate, true, now)?;
        known.note_news(change);
        Some(change)
    }

    /// Takes what another daemon knows, if that is newer. `spreads`: what is learnt by it is to be told to others.
    pub fn merge(&mut self, now: Millis, told: &ServerLimit, spreads: bool) -> Option<LimitChange> {
        let heard_at = now.saturating_sub(told.heard_ago_ms);
        let newer = |known: &Known| match known.started_ms == told.server.started_ms {
            true => heard_at > known.heard_at,
            false => told.server.started_ms > known.started_ms,
        };
        let id = &told.server.id;
        if self.servers.get(id).is_some_and(|known| !newer(known)) {
            return None;
        }
        let known = self.known(&told.server);
        let change = match known {
            Some(known) => known.set(told.rate, told.has_ended, heard_at)?,
            None if told.has_ended => return None,
            None => self.learn(&told.server, told.rate, heard_at),
        };
        let known = self.servers.get_mut(id)?;
        if spreads {
            known.note_news(change);
        } else {
            (known.told, known.is_news) = ((!known.has_ended).then_some(known.rate), false);
        }
        Some(change)
    }

    /// What others are to be told now, once.
    pub fn take_news(&mut self, now: Millis) -> Vec<ServerLimit> {
        let fresh = self.servers.iter_mut().filter(|(_, known)| known.is_news);
        fresh
            .map(|(id, known)| {
                known.is_news = false;
                known.tell(now, id)
            })
            .collect()
    }

    /// News that did not reach anybody are told again.
    pub fn return_news(&mut self, news: &[ServerLimit]) {
        for told in news {
            if let Some(known) = self.known(&told.server) {
                known.is_news = true;
            }
        }
    }

    /// All limits that are in force, for daemons that may have missed them.
    pub fn all_in_force(&self, now: Millis) -> Vec<ServerLimit> {
        let in_force = self.servers.iter().filter(|(_, known)| !known.has_ended);
        in_force.map(|(id, known)| known.tell(now, id)).collect()
    }

    /// Limits that have been in force for so long that plans should count with them.
    pub fn lasting(&self, now: Millis) -> Vec<ServerLimit> {
        let lasts = |known: &Known| !known.has_ended && now >= known.named_since + LASTING_AFTER_MS;
        let lasting = self.servers.iter().filter(|(_, known)| lasts(known));
        lasting.map(|(id, known)| known.tell(now, id)).collect()
    }

    /// Servers that name a limit now.
    pub fn count(&self) -> usize {
        self.servers.values().filter(|known| !known.has_ended).count()
    }

    /// Forgets servers that are gone, and limits that ended some time ago.
    pub fn retain_known(&mut self, now: Millis, is_known: impl Fn(&str) -> bool) {
        self.servers.retain(|id, known| {
            let may_be_told_of = now < known.heard_at + END_REMEMBERED_MS;
            may_be_told_of || (!known.has_ended && is_known(id))
        });
    }

    fn of(&self, server: &ServerStart) -> Option<&Known> {
        self.servers.get(&server.id).filter(|known| known.started_ms == server.started_ms)
    }

    fn known(&mut self, server: &ServerStart) -> Option<&mut Known> {
        self.servers.get_mut(&server.id).filter(|known| known.started_ms == server.started_ms)
    }

    fn learn(&mut self, server: &ServerStart, rate: RequestRate, heard_at: Millis) -> LimitChange {
        if !self.servers.contains_key(&server.id) && self.servers.len() >= MOST_KNOWN {
            let oldest =
                self.servers.iter().min_by_key(|(_, known)| known.heard_at).map(|(id, _)| id.clone());
            oldest.into_iter().for_each(|id| {
                self.servers.remove(&id);
            });
        }
        let known = Known {
            started_ms: server.started_ms,
            rate,
            has_ended: false,
            named_since: heard_at,
            heard_at,
            held_until: 0,
            told: Some(rate),
            is_news: true,
        };
        self.servers.insert(server.id.clone(), known);
        LimitChange::Named(rate)
    }
}
