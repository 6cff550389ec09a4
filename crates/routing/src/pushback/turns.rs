//! Shares out what servers take that named a limit. One daemon does so for each server: it gives one sender after the other
//! leave to send a request, evenly spaced (a token bucket), so that the sum over all senders keeps to the rate however many
//! there are.

use crate::Millis;
use dockwood_api::gateway::{RequestRate, ServerStart};
use std::collections::{BTreeMap, VecDeque};

const MICROSECONDS_PER_MILLISECOND: u64 = 1_000;
/// Thousandths of a request, times microseconds, in one request a second.
const MICROSECOND_THOUSANDTHS: u64 = 1_000_000_000;
/// Longest time between two requests to a server, however little it takes, in milliseconds: one that gets nothing can't say
/// that it takes more again.
const LONGEST_INTERVAL_MS: Millis = 10_000;
/// A request may come this much earlier than evenly spaced, at most, in milliseconds: what was not asked for in time is not
/// lost at once. No more than the time between two requests.
const MOST_EARLY_MS: Millis = 1_000;
/// Senders that are told to come back within one interval: some find by then that they have nothing to send.
const ASKERS_PER_TURN: u64 = 4;
/// Longest time for which a sender is told to wait, in milliseconds.
const LONGEST_WAIT_MS: Millis = 15_000;
/// For how long after it should have come back a turn is kept for a request that is more urgent, in milliseconds.
const KEPT_FOR_URGENT_MS: Millis = 50;
/// What was given is counted over this long, in milliseconds.
const COUNTED_MS: Millis = 4_000;
/// A server that nobody asked for in this time is forgotten, in milliseconds.
const FORGOTTEN_AFTER_MS: Millis = 60_000;

/// Time between two requests at a rate, in milliseconds.
pub fn interval_ms(rate: RequestRate) -> Millis {
    (interval_us(rate) / MICROSECONDS_PER_MILLISECOND).max(1)
}

/// The same in microseconds: whole milliseconds are too coarse for hundreds of requests a second.
fn interval_us(rate: RequestRate) -> u64 {
    let longest = LONGEST_INTERVAL_MS * MICROSECONDS_PER_MILLISECOND;
    let interval = MICROSECOND_THOUSANDTHS.checked_div(rate.thousandths());
    interval.map_or(longest, |interval| interval.clamp(1, longest))
}

/// The part of a rate that is shared out here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnShare {
    /// All of it.
    Whole,
    /// Half of it: in place of another daemon, which may be sharing out the same rate still.
    InPlaceOfAnother,
    /// What is left to one of so many senders that nobody gives leave to: all of them together take half.
    Alone {
        /// Senders in the fleet.
        senders: u32,
    },
}

impl TurnShare {
    /// By how much the time between two requests grows.
    fn factor(self) -> u64 {
        match self {
            TurnShare::Whole => 1,
            TurnShare::InPlaceOfAnother => 2,
            TurnShare::Alone { senders } => 2 * u64::from(senders.max(1)),
        }
    }
}

/// The answer to a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It may send a request now.
    Given,
    /// Not before this time.
    NotBefore(Millis),
}

/// A sender with an urgent request that was told to come back.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    rank: u32,
    at: Millis,
}

/// One server's turns.
#[derive(Clone, Debug)]
struct Turns {
    started_ms: Option<u64>,
    /// When the next request would be due if all were evenly spaced, in microseconds.
    due_us: u64,
    /// Time between two requests when it was last asked for, in microseconds.
    interval_us: u64,
    /// When the last of the senders that were told to come back is to do so, in microseconds.
    last_back_us: u64,
    wanted: Option<Wanted>,
    given: VecDeque<Millis>,
    asked_at: Millis,
    told_at: Millis,
}

/// How far apart a server's turns are.
#[derive(Clone, Copy, Debug)]
struct Spacing {
    /// Time between two requests that the server takes, in microseconds.
    interval_us: u64,
    /// Time between two of those that are given here, in microseconds.
    own_us: u64,
}

impl Spacing {
    fn of(rate: RequestRate, share: TurnShare) -> Spacing {
        let interval_us = interval_us(rate);
        Spacing { interval_us, own_us: interval_us * share.factor() }
    }

    /// By how much a request may come early, in microseconds.
    fn early_us(self) -> u64 {
        self.interval_us.min(MOST_EARLY_MS * MICROSECONDS_PER_MILLISECOND)
    }

    /// When the first turn is due: others may have sent requests at this moment.
    fn first_due_us(self, now: Millis) -> u64 {
        now * MICROSECONDS_PER_MILLISECOND + self.own_us + self.early_us()
    }
}

impl Turns {
    fn new(started_ms: Option<u64>, now: Millis, spacing: Spacing) -> Turns {
        Turns {
            started_ms,
            due_us: spacing.first_due_us(now),
            interval_us: spacing.interval_us,
            last_back_us: 0,
            wanted: None,
            given: VecDeque::new(),
            asked_at: now,
            told_at: now,
        }
    }

    fn take(&mut self, now: Millis, spacing: Spacing, rank: u32) -> Turn {
        self.asked_at = now;
        // A rate that has risen is not kept from its effect by what was due at the former one.
        self.due_us = self.due_us.min(spacing.first_due_us(now));
        if spacing.interval_us < self.interval_us {
            self.last_back_us = 0;
        }
        self.interval_us = spacing.interval_us;
        let free_at = self.due_us.saturating_sub(spacing.early_us()).div_ceil(MICROSECONDS_PER_MILLISECOND);
        if now < free_at || self.is_kept_from(now, rank) {
            return self.wait(now, free_at, rank);
        }
        self.due_us = self.due_us.max(now * MICROSECONDS_PER_MILLISECOND) + spacing.own_us;
        self.wanted = self.wanted.filter(|wanted| wanted.rank < rank);
        self.given.push_back(now);
        while self.given.front().is_some_and(|at| now >= at + COUNTED_MS) {
            self.given.pop_front();
        }
        Turn::Given
    }

    /// Whether the next turn is kept for a request that is more urgent.
    fn is_kept_from(&self, now: Millis, rank: u32) -> bool {
        self.wanted.is_some_and(|wanted| wanted.rank < rank && now < wanted.at + KEPT_FOR_URGENT_MS)
    }

    /// Tells a sender when to come back: some senders to each turn, one after the other.
    fn wait(&mut self, now: Millis, free_at: Millis, rank: u32) -> Turn {
        let after_last_us = self.last_back_us + self.interval_us / ASKERS_PER_TURN;
        let at =
            (after_last_us / MICROSECONDS_PER_MILLISECOND).clamp(free_at, free_at.max(now + LONGEST_WAIT_MS));
        let at = at.max(now + 1);
        let at_us = at * MICROSECONDS_PER_MILLISECOND;
        self.last_back_us = after_last_us.clamp(at_us, at_us + MICROSECONDS_PER_MILLISECOND);
        let is_forgone = |wanted: Wanted| wanted.at + KEPT_FOR_URGENT_MS < now;
        if self.wanted.is_none_or(|wanted| rank < wanted.rank || is_forgone(wanted)) {
            self.wanted = Some(Wanted { rank, at });
        }
        Turn::NotBefore(at)
    }
}

/// The servers whose limits are shared out here.
#[derive(Clone, Debug, Default)]
pub struct TurnBook {
    servers: BTreeMap<String, Turns>,
}

impl TurnBook {
    /// A sender asks to send a request of some rank to a server now, which takes requests at this rate.
    pub fn take(
        &mut self,
        now: Millis,
        server: &ServerStart,
        rate: RequestRate,
        share: TurnShare,
        rank: u32,
    ) -> Turn {
        let spacing = Spacing::of(rate, share);
        let new = || Turns::new(server.started_ms, now, spacing);
        let turns = self.servers.entry(server.id.clone()).or_insert_with(new);
        if turns.started_ms != server.started_ms {
            *turns = new();
        }
        turns.take(now, spacing, rank)
    }

    /// How many turns a server's senders got lately, if that was not told lately.
    pub fn claim_telling(&mut self, now: Millis, server: &ServerStart) -> Option<usize> {
        let turns = self.servers.get_mut(&server.id).filter(|turns| now >= turns.told_at + COUNTED_MS)?;
        turns.told_at = now;
        Some(turns.given.iter().filter(|at| now < **at + COUNTED_MS).count())
    }

    /// Forgets servers that nobody asked for lately.
    pub fn forget_old(&mut self, now: Millis) {
        self.servers.retain(|_, turns| now < turns.asked_at + FORGOTTEN_AFTER_MS);
    }
}
