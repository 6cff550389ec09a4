//! Permission to send one request to one server.

use super::rate_limit::{GrantDecision, UsedTurn, request_grant};
use super::{SendTarget, update_hold_metrics, update_limit_metric};
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::shared::Shared;
use dockwood_routing::Millis;
use dockwood_routing::pushback::{
    AnswerSignals, Hold, LeavingMark, LimitObservation, RequestRate, SendKind, return_spread_ms,
};
use rand::RngExt;
use std::sync::Arc;

/// Lowest status of server errors. These may come from an intermediary instead of the server, so that a missing limit
/// header does not mean that the limit has ended.
const FIRST_SERVER_ERROR: u16 = 500;
/// Status Too Many Requests, which may come from an intermediary as well.
const TOO_MANY_REQUESTS: u16 = 429;

/// What a permit is acquired for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPurpose {
    /// A request. It counts against the server's rate limit, whatever its result.
    Request {
        /// Priority of the request; 0 is the most urgent.
        rank: u32,
    },
    /// A query on the state of the server itself. It is exempt from the rate limit: it takes no request capacity, and a
    /// server must not count as dead because its limit is used up.
    Probe,
}

/// Permission to send one request to one server. It records the pushback signals of the response head.
pub struct SendPermit {
    shared: Arc<Shared>,
    target: SendTarget,
    kind: SendKind,
    /// When the permit was acquired.
    acquired_at: Millis,
    /// The grant that the request is sent with, if the server has a rate limit.
    turn: Option<UsedTurn>,
    /// Whether a response without a limit header means that the server has no limit.
    may_end_limit: bool,
    /// The server responded and requested no further back-off, which ends the back-off if this send is a trial.
    accepted: bool,
}

impl SendPermit {
    /// Acquires a permit. Called immediately before the request is written: since the server was selected, other responses
    /// may have arrived, or the process may have been suspended.
    ///
    /// # Errors
    /// Returns why the server is on hold.
    pub async fn acquire(
        shared: &Arc<Shared>,
        target: SendTarget,
        purpose: SendPurpose,
    ) -> Result<SendPermit, Hold> {
        let mut turn = None;
        if let (SendPurpose::Request { rank }, Some(rate)) = (purpose, shared.pushback.limit(&target.start)) {
            // A grant for a server on hold would be wasted.
            let is_held = lock(&shared.pushback.table).hold(monotonic_ms(), &target.start).is_some();
            if !is_held {
                turn = Some(acquire_grant(shared, &target, rate, rank).await?);
            }
        }
        let now = monotonic_ms();
        let send_kind = lock(&shared.pushback.table).begin_send(now, &target.start);
        if send_kind.is_err() {
            shared.metrics.held_back.with_label_values(&["stopped"]).inc();
        }
        let may_end_limit = matches!(purpose, SendPurpose::Request { .. });
        Ok(SendPermit {
            shared: shared.clone(),
            target,
            kind: send_kind?,
            acquired_at: now,
            turn,
            may_end_limit,
            accepted: false,
        })
    }

    /// Returns a permit to continue reading a request that the server already runs: this is no new request.
    pub fn of_running(shared: &Arc<Shared>, target: SendTarget) -> SendPermit {
        let (kind, acquired_at) = (SendKind::Usual, monotonic_ms());
        let shared = shared.clone();
        SendPermit { shared, target, kind, acquired_at, turn: None, may_end_limit: false, accepted: false }
    }

    /// Records the pushback signals of the response to `request`. They hold even if the response itself is unusable:
    /// if its body is truncated, belongs to another request, or is not forwarded.
    pub fn record_response(&mut self, signals: &AnswerSignals, request: &str) {
        self.accepted = signals.pushback_ms().is_none();
        self.count_signals(signals);
        if let Some(retry_after_ms) = signals.pushback_ms() {
            self.update_backoff(retry_after_ms, signals.status, request);
        }
        if signals.leaving == LeavingMark::Leaving {
            self.update_leaving(request);
        }
        self.update_limit(signals, request);
    }

    fn update_limit(&self, signals: &AnswerSignals, request: &str) {
        let is_from_server = signals.status < FIRST_SERVER_ERROR && signals.status != TOO_MANY_REQUESTS;
        let may_end_limit = self.may_end_limit && is_from_server;
        let heard = LimitObservation { named: signals.limit, sent_at: self.acquired_at, may_end_limit };
        let pushback = &self.shared.pushback;
        let mut limits = lock(&pushback.limits);
        let change = limits.heard(monotonic_ms(), &self.target.start, heard);
        let Some(change) = change else { return };
        update_limit_metric(&self.shared.metrics, &limits);
        drop(limits);
        pushback.limit_changed.notify_one();
        let context = format!("told with {}{}", signals.status, self.event_context(request));
        pushback.record_limit_change(&self.shared, &self.target.start, change, &context);
    }

    fn update_backoff(&self, retry_after_ms: Millis, status: u16, request: &str) {
        let (shared, now) = (&self.shared, monotonic_ms());
        let jitter_ms = self.jitter_ms(retry_after_ms);
        let mut table = lock(&shared.pushback.table);
        let backoff = table.record_backoff(now, &self.target.start, retry_after_ms, jitter_ms);
        update_hold_metrics(&shared.metrics, &table);
        drop(table);
        if let Some(backoff) = backoff {
            self.record_backoff(retry_after_ms, status, backoff.until.saturating_sub(now), request);
        }
    }

    /// Returns a random extension of a back-off, so that daemons do not all resume at the same time.
    fn jitter_ms(&self, retry_after_ms: Millis) -> Millis {
        let entries = self.shared.dispatchers.entries(&self.shared.tables());
        let max_jitter_ms = return_spread_ms(retry_after_ms, entries, self.target.places);
        rand::rng().random_range(0..=max_jitter_ms)
    }

    fn update_leaving(&self, request: &str) {
        let mut table = lock(&self.shared.pushback.table);
        let is_new = table.note_leaving(&self.target.start);
        update_hold_metrics(&self.shared.metrics, &table);
        drop(table);
        if is_new {
            self.record_leaving(request);
        }
    }

    /// Returns the grant that the request is sent with; `None` if the server has no rate limit.
    pub fn turn(&self) -> Option<UsedTurn> {
        self.turn
    }

    pub(super) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    pub(super) fn target(&self) -> &SendTarget {
        &self.target
    }
}

/// Acquires a grant for a server with a rate limit; without one, puts the server on hold until the next grant.
async fn acquire_grant(
    shared: &Arc<Shared>,
    target: &SendTarget,
    rate: RequestRate,
    rank: u32,
) -> Result<UsedTurn, Hold> {
    let requested_at = monotonic_ms();
    let wait_ms = match request_grant(shared, target, rate, rank).await {
        GrantDecision::Granted(source) => {
            shared.metrics.limit_turns_used.with_label_values(&[source.name()]).inc();
            return Ok(UsedTurn { source, age_ms: monotonic_ms().saturating_sub(requested_at) });
        }
        GrantDecision::Wait(wait_ms) => wait_ms,
    };
    let until = monotonic_ms() + wait_ms;
    lock(&shared.pushback.limits).hold(&target.start, until);
    shared.metrics.held_back.with_label_values(&["atLimit"]).inc();
    Err(Hold::AtLimit { until })
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if self.kind != SendKind::Probe {
            return;
        }
        let mut table = lock(&self.shared.pushback.table);
        let is_backoff_over = table.probe_ended(monotonic_ms(), &self.target.start, self.accepted);
        update_hold_metrics(&self.shared.metrics, &table);
        drop(table);
        if is_backoff_over {
            self.record_backoff_ended();
        }
    }
}
