//! The leader's table of configuration leases, and the in-force revision derived from it.

use crate::Millis;
use crate::catch_up::RetainedCommands;
use dockwood_api::peer::{DelegatedRequest, LeaseContent, LeaseRequest};
use dockwood_state::{Liveness, Tables};
use std::collections::BTreeMap;

/// Duration of a configuration lease; the daemon counts it from sending the request. A normal election takes
/// less than a third of it, so that leases survive one.
///
/// The worst case is a leader that fails just before it answers: the remaining time (the lease less the long
/// poll), less the time until the daemon asks another member and a new leader is elected, must still exceed
/// half a second.
pub const LEASE_MS: Millis = 3_000;

/// Margin that the leader adds to a lease: clocks may drift apart by 2 %, plus some reserve.
pub const LEASE_DRIFT_MARGIN_MS: Millis = LEASE_MS / 20;

/// Long-poll duration: a request is held this long if there is no notification, so that daemons poll rarely
/// and learn of changes at once. Together with the round trip it stays well below the lease duration.
pub const LONG_POLL_MS: Millis = 450;

/// How long a daemon waits for an answer: the long-poll duration and a margin. A leader that is silent for
/// longer is given up, so that its successor is found before the lease ends.
pub const LEASE_ANSWER_TIMEOUT_MS: Millis = LONG_POLL_MS + 300;

/// Up to this many daemons are notified of each change at once. Above, changes are batched for
/// [`NOTIFY_MS_PER_DAEMON`] per additional waiting daemon, so that notifications take a tenth of a CPU core
/// at most, however many daemons there are.
const IMMEDIATE_NOTIFICATIONS: usize = 64;
/// Answering a lease request takes the leader about 0.1 ms.
const NOTIFY_MS_PER_DAEMON: Millis = 1;

/// Retry interval for a daemon that waits for its turn to get a snapshot: the burst allowance is used up
/// within this time at the rate at which snapshots are sent.
const SNAPSHOT_RETRY_MS: Millis = 50;

/// Maximum time for fetching a snapshot from another daemon.
pub const FETCH_TIMEOUT_MS: Millis = 800;

/// A daemon that has not asked again this long after its answer is silent: a healthy one asks at once.
const SILENT_AFTER_MS: Millis = 750;

/// Interval between two notifications of this many daemons, in milliseconds.
fn notify_interval_ms(daemons: usize) -> Millis {
    daemons.saturating_sub(IMMEDIATE_NOTIFICATIONS) as Millis * NOTIFY_MS_PER_DAEMON
}

/// A lease granted to a daemon.
#[derive(Clone, Debug)]
pub struct LeaseRow {
    /// End of the lease on the leader's side, counted from the grant and thus never before the end on the
    /// daemon's side.
    pub expires: Millis,
    /// The revision it has applied.
    pub applied_revision: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// The daemon is shutting down.
    pub leaving: bool,
    /// Requests in flight there.
    pub in_flight: u32,
    /// When the daemon counts as silent, unless it asks again.
    pub silent_at: Millis,
}

/// A long-polled request.
#[derive(Debug)]
pub struct HeldRequest<R> {
    /// The request.
    pub request: LeaseRequest,
    /// Reply handle.
    pub reply: R,
    /// Latest time of the answer.
    pub until: Millis,
    /// When it is checked again even without a notification: its daemon asked for an immediate answer, or
    /// waits for its turn to get a snapshot.
    recheck_at: Option<Millis>,
}

impl<R> HeldRequest<R> {
    /// When the request is checked again even without a notification.
    fn due_at(&self) -> Millis {
        self.recheck_at.map_or(self.until, |recheck_at| recheck_at.min(self.until))
    }
}

/// Leases of one leader term.
#[derive(Debug)]
pub struct LeaseTable<R> {
    elected_at: Millis,
    rows: BTreeMap<String, LeaseRow>,
    /// By daemon: a new request replaces one that the daemon abandoned.
    held: BTreeMap<String, HeldRequest<R>>,
    /// Earliest time at which a held request has to be answered.
    answer_at: Millis,
    /// Earliest time of the next notification.
    next_notification_at: Millis,
    /// The latest notification that was sent.
    last_notification: Option<Notification>,
    /// Requests have arrived since the held ones were last checked.
    has_new_requests: bool,
}

/// The revisions of which daemons can be notified now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notification {
    /// The newest revision with a change that is relevant to daemons.
    pub revision: u64,
    /// The newest of these that is in force everywhere.
    pub in_force_revision: u64,
}

impl Notification {
    /// The notification of a leader at `revision`. Revisions that are no longer retained count as relevant.
    pub fn of(commands: &RetainedCommands, revision: u64, in_force_revision: u64) -> Notification {
        Notification {
            revision: commands.newest_up_to(revision).unwrap_or(revision),
            in_force_revision: commands.newest_up_to(in_force_revision).unwrap_or(in_force_revision),
        }
    }
}

impl<R> LeaseTable<R> {
    /// Creates the table of a leader that was elected at `now`.
    pub fn new(now: Millis) -> Self {
        LeaseTable {
            elected_at: now,
            rows: BTreeMap::new(),
            held: BTreeMap::new(),
            answer_at: Millis::MAX,
            next_notification_at: now,
            last_notification: None,
            has_new_requests: false,
        }
    }

    /// Holds a request until there is a notification.
    pub fn hold(&mut self, now: Millis, request: LeaseRequest, reply: R) {
        self.hold_since(now, now, request, reply);
    }

    /// Holds a request that arrived at `since`.
    pub fn hold_since(&mut self, now: Millis, since: Millis, request: LeaseRequest, reply: R) {
        let recheck_at = request.at_once.then_some(now);
        self.push(HeldRequest { request, reply, until: since + LONG_POLL_MS, recheck_at });
        self.has_new_requests = true;
    }

    /// Continues to hold a request whose daemon has to wait for its turn to get a snapshot.
    pub fn hold_for_snapshot(&mut self, now: Millis, held: HeldRequest<R>) {
        self.push(HeldRequest { recheck_at: Some(now + SNAPSHOT_RETRY_MS), ..held });
    }

    fn push(&mut self, held: HeldRequest<R>) {
        self.answer_at = self.answer_at.min(held.due_at());
        self.held.insert(held.request.daemon.name.clone(), held);
    }

    /// Takes the requests to answer now: those with a notification, and those that were held long enough.
    pub fn due(&mut self, now: Millis, notification: Notification) -> Vec<HeldRequest<R>> {
        let is_changed = self.last_notification != Some(notification) || self.has_new_requests;
        let notifies = is_changed && now >= self.next_notification_at;
        if !notifies && now < self.answer_at {
            return Vec::new();
        }
        if notifies {
            self.last_notification = Some(notification);
            self.has_new_requests = false;
            self.next_notification_at = now + notify_interval_ms(self.held.len());
        }
        let is_due = |held: &HeldRequest<R>| {
            let lags = held.request.applied_revision < notification.revision;
            let has_in_force_change = held.request.in_force_revision < notification.in_force_revision;
            now >= held.due_at() || (notifies && (lags || has_in_force_change))
        };
        let due: Vec<HeldRequest<R>> =
            self.held.extract_if(.., |_, held| is_due(held)).map(|(_, held)| held).collect();
        self.answer_at = self.held.values().map(HeldRequest::due_at).min().unwrap_or(Millis::MAX);
        due
    }

    /// Takes all held requests; this leader no longer answers them.
    pub fn take_held(&mut self) -> Vec<HeldRequest<R>> {
        std::mem::take(&mut self.held).into_values().collect()
    }

    /// Records that a daemon asked, and will hold a lease once it is answered.
    pub fn renew(&mut self, now: Millis, request: &LeaseRequest) {
        let row = LeaseRow {
            expires: now + LEASE_MS + LEASE_DRIFT_MARGIN_MS,
            applied_revision: request.applied_revision,
            incarnation: request.incarnation,
            leaving: request.leaving,
            in_flight: request.in_flight,
            silent_at: now + LONG_POLL_MS + SILENT_AFTER_MS,
        };
        self.rows.insert(request.daemon.name.clone(), row);
    }

    /// Records that a daemon asked a voter, which grants it a lease on behalf of this leader.
    pub fn renew_delegated(&mut self, now: Millis, request: &DelegatedRequest) {
        let DelegatedRequest { applied_revision, incarnation, leaving, in_flight, .. } = *request;
        // A daemon without any state has to fetch a snapshot before it asks again.
        let fetch_ms = if applied_revision == 0 { FETCH_TIMEOUT_MS } else { 0 };
        let (expires, silent_at) =
            (now + LEASE_MS + LEASE_DRIFT_MARGIN_MS, now + LONG_POLL_MS + fetch_ms + SILENT_AFTER_MS);
        let row = LeaseRow { expires, applied_revision, incarnation, leaving, in_flight, silent_at };
        self.rows.insert(request.daemon.clone(), row);
    }

    /// Drops expired leases. For voters that grant leases on behalf of the leader; the leader itself keeps
    /// them to determine which daemons are lost.
    pub fn drop_expired(&mut self, now: Millis) {
        self.rows.retain(|_, row| now < row.expires);
    }

    /// Extends all silence deadlines by the time for which this leader received nothing.
    pub fn extend_silence_deadlines(&mut self, now: Millis, delay: Millis) {
        for row in self.rows.values_mut() {
            row.silent_at = (row.silent_at + delay).min(now + LONG_POLL_MS + SILENT_AFTER_MS);
        }
    }

    /// Renews the lease of a held request when it is answered, as the leader counts it from then. A daemon
    /// that has to fetch a snapshot asks again only after that.
    pub fn record_answer(&mut self, now: Millis, daemon: &str, content: &LeaseContent) {
        let fetches = matches!(content, LeaseContent::Fetch { .. });
        let fetch_ms = if fetches { FETCH_TIMEOUT_MS } else { 0 };
        if let Some(row) = self.rows.get_mut(daemon) {
            row.expires = now + LEASE_MS + LEASE_DRIFT_MARGIN_MS;
            row.silent_at = now + fetch_ms + SILENT_AFTER_MS;
        }
    }

    /// A daemon's lease, expired or not.
    pub fn row(&self, daemon: &str) -> Option<&LeaseRow> {
        self.rows.get(daemon)
    }

    /// Whether a daemon holds a lease, has applied a revision, and is not shutting down.
    pub fn holds(&self, now: Millis, daemon: &str, revision: u64) -> bool {
        let row = self.rows.get(daemon);
        row.is_some_and(|row| now < row.expires && !row.leaving && row.applied_revision >= revision)
    }

    /// Whether there are so many daemons that the leader does not send large content to each of them.
    pub fn is_large_fleet(&self) -> bool {
        self.rows.len() > IMMEDIATE_NOTIFICATIONS
    }

    /// Whether leases granted by an earlier leader, which this one doesn't know, have expired.
    pub fn earlier_leases_expired(&self, now: Millis) -> bool {
        now >= self.elected_at + LEASE_MS + LEASE_DRIFT_MARGIN_MS
    }

    /// The liveness that follows from the table, if it can be determined.
    pub fn liveness(&self, now: Millis, daemon: &str) -> Option<Liveness> {
        match self.rows.get(daemon) {
            Some(row) if now >= row.expires => Some(Liveness::Lost),
            Some(row) if row.leaving => Some(Liveness::Leaving),
            Some(row) if now >= row.silent_at => Some(Liveness::Silent),
            Some(_) => Some(Liveness::Live),
            None => self.earlier_leases_expired(now).then_some(Liveness::Lost),
        }
    }

    /// The newest revision that each daemon has applied or can't violate: a daemon whose lease has expired
    /// takes no new work until it has caught up. `None` while a daemon may hold a lease that this leader
    /// doesn't know.
    pub fn in_force_revision(&self, now: Millis, tables: &Tables) -> Option<u64> {
        let unknown = tables.daemons.keys().any(|daemon| !self.rows.contains_key(daemon));
        if unknown && !self.earlier_leases_expired(now) {
            return None;
        }
        let holders = self.rows.values().filter(|row| now < row.expires);
        Some(holders.map(|row| row.applied_revision).fold(tables.revision, u64::min))
    }

    /// Daemons that hold a lease but have not applied `revision`.
    pub fn lagging(&self, now: Millis, revision: u64) -> Vec<String> {
        let lags = |row: &LeaseRow| now < row.expires && row.applied_revision < revision;
        self.rows.iter().filter(|(_, row)| lags(row)).map(|(name, _)| name.clone()).collect()
    }
}
