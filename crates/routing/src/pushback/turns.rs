//! Allocates the rate of servers that have declared a limit. For each server, one daemon grants turns to send
//! a request, evenly spaced (a token bucket), so that all senders together keep to the rate, however many
//! there are.

use crate::Millis;
use dockwood_api::gateway::{RequestRate, ServerStart, TurnsElsewhere};
use std::collections::{BTreeMap, VecDeque};

const MICROSECONDS_PER_MILLISECOND: u64 = 1_000;
/// Microseconds per second times thousandths per request: divided by a rate in thousandths of a request per
/// second, this gives the interval in microseconds.
const MICROSECOND_THOUSANDTHS: u64 = 1_000_000_000;
/// Maximum interval between two requests to a server, however low its rate, in milliseconds. A server that
/// receives no requests cannot announce a higher rate.
const MAX_INTERVAL_MS: Millis = 10_000;
/// Maximum time by which a request may be ahead of even spacing, in milliseconds, so that turns that were not
/// requested in time are not lost at once. It never exceeds the interval between two requests.
const MAX_EARLY_MS: Millis = 1_000;
/// Number of senders that are told to retry within one interval: some of them have nothing left to send by
/// then.
const SENDERS_PER_INTERVAL: u64 = 4;
/// Maximum time that a sender is told to wait, in milliseconds.
const MAX_WAIT_MS: Millis = 15_000;
/// How long a turn is reserved for a more urgent request after the time at which its sender was told to
/// retry, in milliseconds.
const RESERVATION_MS: Millis = 50;
/// Window over which granted turns are counted, in milliseconds.
pub(super) const COUNT_WINDOW_MS: Millis = 4_000;
/// Maximum time for which turns used elsewhere delay the next turn, in milliseconds: a stand-in grants half of the rate,
/// so this is what it granted within a window.
const MAX_CHARGED_MS: Millis = COUNT_WINDOW_MS / 2;
/// Maximum number of senders whose last report of turns used elsewhere is kept for a server.
const MAX_REPORTING_SENDERS: usize = 1_024;
/// A server for which no turn is requested for this long is removed, in milliseconds.
const IDLE_EXPIRY_MS: Millis = 60_000;

/// Interval between two requests at this rate, in milliseconds.
pub fn interval_ms(rate: RequestRate) -> Millis {
    (interval_us(rate) / MICROSECONDS_PER_MILLISECOND).max(1)
}

/// The interval in microseconds: milliseconds are too coarse for hundreds of requests per second.
fn interval_us(rate: RequestRate) -> u64 {
    let max_interval = MAX_INTERVAL_MS * MICROSECONDS_PER_MILLISECOND;
    let interval = MICROSECOND_THOUSANDTHS.checked_div(rate.thousandths());
    interval.map_or(max_interval, |interval| interval.clamp(1, max_interval))
}

/// The part of a rate that this daemon allocates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnShare {
    /// The whole rate.
    Whole,
    /// Half of the rate: this daemon stands in for another one, which may still be allocating the same rate.
    InPlaceOfAnother,
    /// The share of one sender when no daemon grants turns: all senders together use half of the rate.
    Alone {
        /// Number of senders in the fleet.
        senders: u32,
    },
}

impl TurnShare {
    /// Factor by which the interval between two requests grows.
    fn factor(self) -> u64 {
        match self {
            TurnShare::Whole => 1,
            TurnShare::InPlaceOfAnother => 2,
            TurnShare::Alone { senders } => 2 * u64::from(senders.max(1)),
        }
    }
}

/// Answer to a request for a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The request may be sent now.
    Given,
    /// Request a turn again, but not before this time.
    NotBefore(Millis),
}

/// A turn reserved for a sender with an urgent request that was told to retry.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    rank: u32,
    at: Millis,
}

/// Schedule of the turns for one server.
#[derive(Clone, Debug)]
struct TurnSchedule {
    started_ms: Option<u64>,
    /// When the next request is due under even spacing, in microseconds.
    next_due_us: u64,
    /// The spacing at the last requested rate.
    spacing: Spacing,
    /// The latest time at which a waiting sender was told to retry, in microseconds.
    last_retry_us: u64,
    reservation: Option<Reservation>,
    granted: VecDeque<Millis>,
    last_requested_at: Millis,
    last_reported_at: Millis,
    /// The last turn used elsewhere that each sender has reported.
    reported_elsewhere: BTreeMap<u64, u64>,
}

/// Spacing of a server's turns.
#[derive(Clone, Copy, Debug)]
struct Spacing {
    /// Interval between two requests that the server accepts, in microseconds.
    interval_us: u64,
    /// Interval between two turns that this daemon grants, in microseconds.
    grant_interval_us: u64,
}

impl Spacing {
    fn of(rate: RequestRate, share: TurnShare) -> Spacing {
        let interval_us = interval_us(rate);
        Spacing { interval_us, grant_interval_us: interval_us * share.factor() }
    }

    /// Maximum time by which a request may be early, in microseconds.
    fn max_early_us(self) -> u64 {
        self.interval_us.min(MAX_EARLY_MS * MICROSECONDS_PER_MILLISECOND)
    }

    /// When the first turn is due: other daemons may have sent requests at this moment.
    fn first_due_us(self, now: Millis) -> u64 {
        now * MICROSECONDS_PER_MILLISECOND + self.grant_interval_us + self.max_early_us()
    }
}

impl TurnSchedule {
    fn new(started_ms: Option<u64>, now: Millis, spacing: Spacing) -> TurnSchedule {
        TurnSchedule {
            started_ms,
            next_due_us: spacing.first_due_us(now),
            spacing,
            last_retry_us: 0,
            reservation: None,
            granted: VecDeque::new(),
            last_requested_at: now,
            last_reported_at: now,
            reported_elsewhere: BTreeMap::new(),
        }
    }

    fn update_spacing(&mut self, now: Millis, spacing: Spacing) {
        // If the rate has risen, the due time computed for the lower rate no longer applies.
        if spacing.grant_interval_us < self.spacing.grant_interval_us {
            self.next_due_us = self.next_due_us.min(spacing.first_due_us(now));
        }
        if spacing.interval_us < self.spacing.interval_us {
            self.last_retry_us = 0;
        }
        self.spacing = spacing;
    }

    /// Delays the next turn by those that a sender used elsewhere and has not reported before.
    fn charge(&mut self, now: Millis, reported: &TurnsElsewhere) {
        if self.reported_elsewhere.len() >= MAX_REPORTING_SENDERS {
            self.reported_elsewhere.clear();
        }
        let last = self.reported_elsewhere.entry(reported.sender).or_default();
        let used = reported.through.saturating_sub(reported.after.max(*last));
        *last = reported.through.max(*last);
        if used == 0 {
            return;
        }
        let now_us = now * MICROSECONDS_PER_MILLISECOND;
        let latest_us = self.spacing.first_due_us(now) + MAX_CHARGED_MS * MICROSECONDS_PER_MILLISECOND;
        let charged_us = used.saturating_mul(self.spacing.interval_us);
        let due_us = self.next_due_us.max(now_us).saturating_add(charged_us);
        self.next_due_us = due_us.min(latest_us).max(self.next_due_us);
    }

    fn take(&mut self, now: Millis, rank: u32) -> Turn {
        self.last_requested_at = now;
        let spacing = self.spacing;
        let available_at =
            self.next_due_us.saturating_sub(spacing.max_early_us()).div_ceil(MICROSECONDS_PER_MILLISECOND);
        if now < available_at || self.is_reserved_from(now, rank) {
            return self.schedule_retry(now, available_at, rank);
        }
        self.next_due_us =
            self.next_due_us.max(now * MICROSECONDS_PER_MILLISECOND) + spacing.grant_interval_us;
        self.reservation = self.reservation.filter(|reservation| reservation.rank < rank);
        self.granted.push_back(now);
        while self.granted.front().is_some_and(|at| now >= at + COUNT_WINDOW_MS) {
            self.granted.pop_front();
        }
        Turn::Given
    }

    /// Whether the next turn is reserved for a more urgent request.
    fn is_reserved_from(&self, now: Millis, rank: u32) -> bool {
        self.reservation
            .is_some_and(|reservation| reservation.rank < rank && now < reservation.at + RESERVATION_MS)
    }

    /// Tells a sender when to retry; retries are spread out, with a few senders per turn.
    fn schedule_retry(&mut self, now: Millis, available_at: Millis, rank: u32) -> Turn {
        let after_last_us = self.last_retry_us + self.spacing.interval_us / SENDERS_PER_INTERVAL;
        let at = (after_last_us / MICROSECONDS_PER_MILLISECOND)
            .clamp(available_at, available_at.max(now + MAX_WAIT_MS));
        let at = at.max(now + 1);
        let at_us = at * MICROSECONDS_PER_MILLISECOND;
        self.last_retry_us = after_last_us.clamp(at_us, at_us + MICROSECONDS_PER_MILLISECOND);
        let has_lapsed = |reservation: Reservation| reservation.at + RESERVATION_MS < now;
        if self.reservation.is_none_or(|reservation| rank < reservation.rank || has_lapsed(reservation)) {
            self.reservation = Some(Reservation { rank, at });
        }
        Turn::NotBefore(at)
    }
}

/// Schedules of the servers whose limits this daemon allocates.
#[derive(Clone, Debug, Default)]
pub struct TurnAllocator {
    servers: BTreeMap<String, TurnSchedule>,
}

impl TurnAllocator {
    /// Requests a turn to send a request of this rank to a server now; `rate` is the server's rate.
    pub fn take(
        &mut self,
        now: Millis,
        server: &ServerStart,
        rate: RequestRate,
        share: TurnShare,
        rank: u32,
    ) -> Turn {
        self.schedule(now, server, rate, share).take(now, rank)
    }

    /// Takes account of turns that a sender used for a server and that this daemon did not grant. A report that was
    /// already received, in whole or in part, counts once.
    pub fn charge(
        &mut self,
        now: Millis,
        server: &ServerStart,
        rate: RequestRate,
        share: TurnShare,
        reported: &TurnsElsewhere,
    ) {
        self.schedule(now, server, rate, share).charge(now, reported);
    }

    /// Returns the schedule of a server, at its current rate.
    fn schedule(
        &mut self,
        now: Millis,
        server: &ServerStart,
        rate: RequestRate,
        share: TurnShare,
    ) -> &mut TurnSchedule {
        let spacing = Spacing::of(rate, share);
        let new = || TurnSchedule::new(server.started_ms, now, spacing);
        let schedule = self.servers.entry(server.id.clone()).or_insert_with(new);
        if schedule.started_ms != server.started_ms {
            *schedule = new();
        }
        schedule.update_spacing(now, spacing);
        schedule
    }

    /// Number of turns recently granted for a server, unless it was reported recently.
    pub fn claim_telling(&mut self, now: Millis, server: &ServerStart) -> Option<usize> {
        let schedule = self
            .servers
            .get_mut(&server.id)
            .filter(|schedule| now >= schedule.last_reported_at + COUNT_WINDOW_MS)?;
        schedule.last_reported_at = now;
        Some(schedule.granted.iter().filter(|at| now < **at + COUNT_WINDOW_MS).count())
    }

    /// Removes servers for which no turn was requested recently.
    pub fn forget_old(&mut self, now: Millis) {
        self.servers.retain(|_, schedule| now < schedule.last_requested_at + IDLE_EXPIRY_MS);
    }
}
