//! The leader's table of configuration leases, and what is in force by it.

use crate::Millis;
use crate::catch_up::RetainedCommands;
use dockwood_api::peer::{DelegatedRequest, LeaseContent, LeaseRequest};
use dockwood_state::{Liveness, Tables};
use std::collections::BTreeMap;

/// Length of a configuration lease, counted by the daemon from when it sent the request. A normal election takes
/// less than a third of it, so that leases outlast one.
///
/// It outlasts a leader that falls silent right before it would have answered: what is left then (the lease less a hold),
/// less the time until the daemon asks another member and a new leader is elected, is still above zero by half a second.
pub const LEASE_MS: Millis = 3_000;

/// What the leader adds to a lease: clocks may run apart by two in a hundred, and then some.
pub const LEASE_DRIFT_MS: Millis = LEASE_MS / 20;

/// A request without news is held back this long, so that daemons poll seldom and learn of changes at once.
/// Together with the way there and back it stays well under the lease.
pub const HOLD_MS: Millis = 450;

/// How long a daemon waits for an answer: the leader's hold and then some. A leader that is silent for longer is given
/// up, so that its successor is found before the lease runs out.
pub const LEASE_ANSWER_TIMEOUT_MS: Millis = HOLD_MS + 300;

/// Daemons that are notified of each change at once. Beyond, what changes is gathered for [`NEWS_MS_PER_DAEMON`] of each
/// further one that waits, so that notifying all of them takes a tenth of a core at most, however many there are.
const TOLD_AT_ONCE: usize = 64;
/// An answer to a lease request costs the leader some 0.1 ms.
const NEWS_MS_PER_DAEMON: Millis = 1;

/// Pause before a daemon whose copy of the state must wait for its turn is looked at again: what may be sent at once is
/// used up within this time, at the pace at which copies are sent.
const TURN_MS: Millis = 50;

/// How long a copy of the state may take from another daemon.
pub const FETCH_TIMEOUT_MS: Millis = 800;

/// A daemon that has not asked again for this long after its answer is silent: a sound one asks at once.
const SILENT_AFTER_MS: Millis = 750;

/// Pause between two notifications of so many daemons, in milliseconds.
fn news_pause_ms(daemons: usize) -> Millis {
    daemons.saturating_sub(TOLD_AT_ONCE) as Millis * NEWS_MS_PER_DAEMON
}

/// One daemon's lease as granted.
#[derive(Clone, Debug)]
pub struct LeaseRow {
    /// No later than this may the daemon act on the lease: counted from the grant, which is after the daemon's
    /// own count began.
    pub expires: Millis,
    /// The revision it has applied.
    pub applied_revision: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// It is stopping.
    pub leaving: bool,
    /// Requests in flight there.
    pub in_flight: u32,
    /// When it counts as silent, unless it asks again.
    pub silent_at: Millis,
}

/// A request that waits for news.
#[derive(Debug)]
pub struct HeldRequest<R> {
    /// The request.
    pub request: LeaseRequest,
    /// For the answer.
    pub reply: R,
    /// When to answer at the latest.
    pub until: Millis,
    /// When it is looked at next whether or not there is news: it asked for an answer at once, or waits for its turn to be
    /// sent a copy of the state.
    turn_at: Option<Millis>,
}

impl<R> HeldRequest<R> {
    /// When it is looked at again without any news.
    fn due_at(&self) -> Millis {
        self.turn_at.map_or(self.until, |turn_at| turn_at.min(self.until))
    }
}

/// Leases of one leader term.
#[derive(Debug)]
pub struct LeaseTable<R> {
    elected_at: Millis,
    rows: BTreeMap<String, LeaseRow>,
    /// By daemon: a new request replaces the one that the daemon gave up.
    held: BTreeMap<String, HeldRequest<R>>,
    /// When the first of the held requests must be answered.
    answer_at: Millis,
    /// When daemons may be notified of the next change.
    news_at: Millis,
    /// What they were last notified of.
    notified: Option<News>,
    /// Requests have come since the held ones were last looked at.
    has_new: bool,
}

/// What daemons may be notified of now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct News {
    /// The newest revision that changed something for them.
    pub revision: u64,
    /// The newest of these that is in force everywhere.
    pub in_force_revision: u64,
}

impl News {
    /// The news at a leader that holds `revision`. What it no longer keeps counts as changed.
    pub fn of(commands: &RetainedCommands, revision: u64, in_force_revision: u64) -> News {
        News {
            revision: commands.newest_up_to(revision).unwrap_or(revision),
            in_force_revision: commands.newest_up_to(in_force_revision).unwrap_or(in_force_revision),
        }
    }
}

impl<R> LeaseTable<R> {
    /// An empty table of a leader that was elected now.
    pub fn new(now: Millis) -> Self {
        LeaseTable {
            elected_at: now,
            rows: BTreeMap::new(),
            held: BTreeMap::new(),
            answer_at: Millis::MAX,
            news_at: now,
            notified: None,
            has_new: false,
        }
    }

    /// Holds a request until there is news.
    pub fn hold(&mut self, now: Millis, request: LeaseRequest, reply: R) {
        self.hold_since(now, now, request, reply);
    }

    /// Holds a request that came at `since`.
    pub fn hold_since(&mut self, now: Millis, since: Millis, request: LeaseRequest, reply: R) {
        let turn_at = request.at_once.then_some(now);
        self.push(HeldRequest { request, reply, until: since + HOLD_MS, turn_at });
        self.has_new = true;
    }

    /// Holds a request longer whose daemon must wait for its turn to be sent a copy of the state.
    pub fn hold_for_turn(&mut self, now: Millis, held: HeldRequest<R>) {
        self.push(HeldRequest { turn_at: Some(now + TURN_MS), ..held });
    }

    fn push(&mut self, held: HeldRequest<R>) {
        self.answer_at = self.answer_at.min(held.due_at());
        self.held.insert(held.request.daemon.name.clone(), held);
    }

    /// Requests to answer now: those for which there is news, and those that have waited long enough.
    pub fn due(&mut self, now: Millis, news: News) -> Vec<HeldRequest<R>> {
        let is_changed = self.notified != Some(news) || self.has_new;
        let notifies = is_changed && now >= self.news_at;
        if !notifies && now < self.answer_at {
            return Vec::new();
        }
        if notifies {
            self.notified = Some(news);
            self.has_new = false;
            self.news_at = now + news_pause_ms(self.held.len());
        }
        let is_due = |held: &HeldRequest<R>| {
            let lags = held.request.applied_revision < news.revision;
            let in_force_is_news = held.request.in_force_revision < news.in_force_revision;
            now >= held.due_at() || (notifies && (lags || in_force_is_news))
        };
        let due: Vec<HeldRequest<R>> =
            self.held.extract_if(.., |_, held| is_due(held)).map(|(_, held)| held).collect();
        self.answer_at = self.held.values().map(HeldRequest::due_at).min().unwrap_or(Millis::MAX);
        due
    }

    /// All held requests, which this leader answers no more.
    pub fn take_held(&mut self) -> Vec<HeldRequest<R>> {
        std::mem::take(&mut self.held).into_values().collect()
    }

    /// Notes that a daemon asked, and will hold a lease once it is answered.
    pub fn extend(&mut self, now: Millis, request: &LeaseRequest) {
        let row = LeaseRow {
            expires: now + LEASE_MS + LEASE_DRIFT_MS,
            applied_revision: request.applied_revision,
            incarnation: request.incarnation,
            leaving: request.leaving,
            in_flight: request.in_flight,
            silent_at: now + HOLD_MS + SILENT_AFTER_MS,
        };
        self.rows.insert(request.daemon.name.clone(), row);
    }

    /// Notes that a daemon asked a voter, which grants it a lease in this leader's name.
    pub fn extend_delegated(&mut self, now: Millis, request: &DelegatedRequest) {
        let DelegatedRequest { applied_revision, incarnation, leaving, in_flight, .. } = *request;
        // One that knows nothing yet has to fetch a copy first, and asks again only after that.
        let fetch_ms = if applied_revision == 0 { FETCH_TIMEOUT_MS } else { 0 };
        let (expires, silent_at) =
            (now + LEASE_MS + LEASE_DRIFT_MS, now + HOLD_MS + fetch_ms + SILENT_AFTER_MS);
        let row = LeaseRow { expires, applied_revision, incarnation, leaving, in_flight, silent_at };
        self.rows.insert(request.daemon.clone(), row);
    }

    /// Forgets leases that have run out. For a voter that grants leases in the leader's name; the leader itself keeps
    /// them, to find who is lost.
    pub fn forget_ended(&mut self, now: Millis) {
        self.rows.retain(|_, row| now < row.expires);
    }

    /// Extends all leases' silence bounds by the time for which this leader received nothing.
    pub fn excuse(&mut self, now: Millis, late: Millis) {
        for row in self.rows.values_mut() {
            row.silent_at = (row.silent_at + late).min(now + HOLD_MS + SILENT_AFTER_MS);
        }
    }

    /// A held request's lease counts from its answer on, for the leader. One that has to fetch a copy asks again only
    /// after that.
    pub fn answered(&mut self, now: Millis, daemon: &str, content: &LeaseContent) {
        let fetches = matches!(content, LeaseContent::Fetch { .. });
        let fetch_ms = if fetches { FETCH_TIMEOUT_MS } else { 0 };
        if let Some(row) = self.rows.get_mut(daemon) {
            row.expires = now + LEASE_MS + LEASE_DRIFT_MS;
            row.silent_at = now + fetch_ms + SILENT_AFTER_MS;
        }
    }

    /// A daemon's lease, run out or not.
    pub fn row(&self, daemon: &str) -> Option<&LeaseRow> {
        self.rows.get(daemon)
    }

    /// Whether a daemon holds a lease, has applied a revision, and goes on running.
    pub fn holds(&self, now: Millis, daemon: &str, revision: u64) -> bool {
        let row = self.rows.get(daemon);
        row.is_some_and(|row| now < row.expires && !row.leaving && row.applied_revision >= revision)
    }

    /// Whether so many daemons have leases that what is large is not sent to each of them by the leader.
    pub fn is_large(&self) -> bool {
        self.rows.len() > TOLD_AT_ONCE
    }

    /// Whether leases of an earlier leader, which this one doesn't know, have run out.
    pub fn predecessors_ran_out(&self, now: Millis) -> bool {
        now >= self.elected_at + LEASE_MS + LEASE_DRIFT_MS
    }

    /// What a daemon's liveness should be, if the table shows it.
    pub fn liveness(&self, now: Millis, daemon: &str) -> Option<Liveness> {
        match self.rows.get(daemon) {
            Some(row) if now >= row.expires => Some(Liveness::Lost),
            Some(row) if row.leaving => Some(Liveness::Leaving),
            Some(row) if now >= row.silent_at => Some(Liveness::Silent),
            Some(_) => Some(Liveness::Live),
            None => self.predecessors_ran_out(now).then_some(Liveness::Lost),
        }
    }

    /// The newest revision that each daemon has applied or can't act against: one whose lease ran out takes no
    /// new work until it has caught up. `None` while a daemon may hold a lease that this leader doesn't know.
    pub fn in_force_revision(&self, now: Millis, tables: &Tables) -> Option<u64> {
        let unknown = tables.daemons.keys().any(|daemon| !self.rows.contains_key(daemon));
        if unknown && !self.predecessors_ran_out(now) {
            return None;
        }
        let holders = self.rows.values().filter(|row| now < row.expires);
        Some(holders.map(|row| row.applied_revision).fold(tables.revision, u64::min))
    }

    /// Daemons that hold a lease and have not applied `revision`.
    pub fn behind(&self, now: Millis, revision: u64) -> Vec<String> {
        let lags = |row: &LeaseRow| now < row.expires && row.applied_revision < revision;
        self.rows.iter().filter(|(_, row)| lags(row)).map(|(name, _)| name.clone()).collect()
    }
}
