//! The leave to write one request to one server.

use super::turns::{TurnAnswer, ask_for_turn};
use super::{Addressee, show, show_limits};
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::shared::Shared;
use dockwood_routing::Millis;
use dockwood_routing::pushback::{
    AnswerSignals, Hold, LeavingMark, LimitObservation, RequestRate, SendKind, return_spread_ms,
};
use rand::RngExt;
use std::sync::Arc;

/// From this status on an answer need not come from the server's own code, so that its silence on a limit says nothing.
const FIRST_FAILURE: u16 = 500;
/// Too Many Requests: the same.
const TOO_MANY_REQUESTS: u16 = 429;

/// What is to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPurpose {
    /// A request, of this rank; the most urgent has 0. It counts against a limit that the server named, whatever comes of it.
    Request {
        /// The rank.
        rank: u32,
    },
    /// A question about the server itself. It takes no part of what the server works on, and a server must not be taken for
    /// dead because its limit is used up.
    Question,
}

/// The leave to write one request to one server. It learns from the head of the answer.
pub struct SendPermit {
    shared: Arc<Shared>,
    addressee: Addressee,
    kind: SendKind,
    /// When it was given.
    given_at: Millis,
    /// Whether an answer that names no limit shows that there is none.
    may_end_limit: bool,
    /// The server answered the trial that this is, and asked for no more rest.
    accepted: bool,
}

impl SendPermit {
    /// Asks for leave, at the moment of writing: other answers may have come since the server was chosen, and the process
    /// may have been stopped. The request is to be written at once.
    ///
    /// # Errors
    /// Why the server is sent nothing.
    pub async fn ask(
        shared: &Arc<Shared>,
        addressee: Addressee,
        purpose: SendPurpose,
    ) -> Result<SendPermit, Hold> {
        if let (SendPurpose::Request { rank }, Some(rate)) =
            (purpose, shared.pushback.limit(&addressee.start))
        {
            // A turn that could not be used would be lost.
            let is_held = lock(&shared.pushback.table).hold(monotonic_ms(), &addressee.start).is_some();
            if !is_held {
                take_turn(shared, &addressee, rate, rank).await?;
            }
        }
        let now = monotonic_ms();
        let begun = lock(&shared.pushback.table).begin_send(now, &addressee.start);
        if begun.is_err() {
            shared.metrics.held_back.with_label_values(&["stopped"]).inc();
        }
        let may_end_limit = matches!(purpose, SendPurpose::Request { .. });
        Ok(SendPermit {
            shared: shared.clone(),
            addressee,
            kind: begun?,
            given_at: now,
            may_end_limit,
            accepted: false,
        })
    }

    /// Leave to read on from a run that the server has already: that is no new request.
    pub fn of_running(shared: &Arc<Shared>, addressee: Addressee) -> SendPermit {
        let (kind, given_at) = (SendKind::Usual, monotonic_ms());
        let shared = shared.clone();
        SendPermit { shared, addressee, kind, given_at, may_end_limit: false, accepted: false }
    }

    /// Learns from the head of the answer to `request`. What an answer asks of its receiver holds also if the answer itself
    /// is of no use: if its body breaks off, belongs to another request, or is not passed on.
    pub fn answered(&mut self, signals: &AnswerSignals, request: &str) {
        self.accepted = signals.pushback_ms().is_none();
        self.count(signals);
        if let Some(rest_ms) = signals.pushback_ms() {
            self.note_rest(rest_ms, signals.status, request);
        }
        if signals.leaving == LeavingMark::Leaving {
            self.note_leaving(request);
        }
        self.note_limit(signals, request);
    }

    fn note_limit(&self, signals: &AnswerSignals, request: &str) {
        let is_own_word = signals.status < FIRST_FAILURE && signals.status != TOO_MANY_REQUESTS;
        let may_end_limit = self.may_end_limit && is_own_word;
        let heard = LimitObservation { named: signals.limit, sent_at: self.given_at, may_end_limit };
        let pushback = &self.shared.pushback;
        let mut limits = lock(&pushback.limits);
        let change = limits.heard(monotonic_ms(), &self.addressee.start, heard);
        let Some(change) = change else { return };
        show_limits(&self.shared.metrics, &limits);
        drop(limits);
        pushback.news.notify_one();
        let cause = format!("told with {}{}", signals.status, self.cause(request));
        pushback.tell_limit(&self.shared, &self.addressee.start, change, &cause);
    }

    fn note_rest(&self, rest_ms: Millis, status: u16, request: &str) {
        let (shared, now) = (&self.shared, monotonic_ms());
        let spread_ms = self.spread_ms(rest_ms);
        let mut table = lock(&shared.pushback.table);
        let begun = table.record_backoff(now, &self.addressee.start, rest_ms, spread_ms);
        show(&shared.metrics, &table);
        drop(table);
        if let Some(begun) = begun {
            self.tell_rest(rest_ms, status, begun.until.saturating_sub(now), request);
        }
    }

    /// For how much longer than it asked a server is held back here, so that not all daemons come back at one moment.
    fn spread_ms(&self, rest_ms: Millis) -> Millis {
        let entries = self.shared.dispatchers.entries(&self.shared.tables());
        let most_ms = return_spread_ms(rest_ms, entries, self.addressee.places);
        rand::rng().random_range(0..=most_ms)
    }

    fn note_leaving(&self, request: &str) {
        let mut table = lock(&self.shared.pushback.table);
        let is_new = table.note_leaving(&self.addressee.start);
        show(&self.shared.metrics, &table);
        drop(table);
        if is_new {
            self.tell_leaving(request);
        }
    }

    pub(super) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    pub(super) fn addressee(&self) -> &Addressee {
        &self.addressee
    }
}

/// A turn at a server that named a limit; the server is passed over until its next turn, if there is none now.
async fn take_turn(
    shared: &Arc<Shared>,
    addressee: &Addressee,
    rate: RequestRate,
    rank: u32,
) -> Result<(), Hold> {
    let TurnAnswer::Wait(wait_ms) = ask_for_turn(shared, addressee, rate, rank).await else { return Ok(()) };
    let until = monotonic_ms() + wait_ms;
    lock(&shared.pushback.limits).hold(&addressee.start, until);
    shared.metrics.held_back.with_label_values(&["atLimit"]).inc();
    Err(Hold::AtLimit { until })
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if self.kind != SendKind::Probe {
            return;
        }
        let mut table = lock(&self.shared.pushback.table);
        let is_over = table.probe_ended(monotonic_ms(), &self.addressee.start, self.accepted);
        show(&self.shared.metrics, &table);
        drop(table);
        if is_over {
            self.tell_rest_ended();
        }
    }
}
