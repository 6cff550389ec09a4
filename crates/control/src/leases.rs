//! The leader's table of configuration leases, and what is in force by it.

use crate::Millis;
use dockwood_api::peer::LeaseRequest;
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

/// A daemon that has asked for nothing for this long is silent: a sound one asks again at once after each answer, which
/// is held back no longer than [`HOLD_MS`].
const SILENT_AFTER_MS: Millis = 1_200;

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
    /// When it last asked.
    pub heard_at: Millis,
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
}

/// Leases of one leader term.
#[derive(Debug)]
pub struct LeaseTable<R> {
    elected_at: Millis,
    rows: BTreeMap<String, LeaseRow>,
    /// Requests that wait for news.
    pub held: Vec<HeldRequest<R>>,
}

impl<R> LeaseTable<R> {
    /// An empty table of a leader that was elected now.
    pub fn new(now: Millis) -> Self {
        LeaseTable { elected_at: now, rows: BTreeMap::new(), held: Vec::new() }
    }

    /// Notes that a daemon asked, and will hold a lease once it is answered.
    pub fn extend(&mut self, now: Millis, request: &LeaseRequest) {
        let row = LeaseRow {
            expires: now + LEASE_MS + LEASE_DRIFT_MS,
            applied_revision: request.applied_revision,
            incarnation: request.incarnation,
            leaving: request.leaving,
            in_flight: request.in_flight,
            heard_at: now,
        };
        self.rows.insert(request.daemon.name.clone(), row);
    }

    /// A held request's lease counts from its answer on, for the leader.
    pub fn answered(&mut self, now: Millis, daemon: &str) {
        if let Some(row) = self.rows.get_mut(daemon) {
            row.expires = now + LEASE_MS + LEASE_DRIFT_MS;
        }
    }

    /// A daemon's lease, run out or not.
    pub fn row(&self, daemon: &str) -> Option<&LeaseRow> {
        self.rows.get(daemon)
    }

    /// Whether leases of an earlier leader, which this one doesn't know, have run out.
    pub fn predecessors_ran_out(&self, now: Millis) -> bool {
        now >= self.elected_at + LEASE_MS + LEASE_DRIFT_MS
    }

    /// What a daemon's liveness should be, where the table can tell.
    pub fn liveness(&self, now: Millis, daemon: &str) -> Option<Liveness> {
        match self.rows.get(daemon) {
            Some(row) if now >= row.expires => Some(Liveness::Lost),
            Some(row) if row.leaving => Some(Liveness::Leaving),
            Some(row) if now >= row.heard_at + SILENT_AFTER_MS => Some(Liveness::Silent),
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
