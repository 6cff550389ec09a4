//! The leave to write one request to one server.

use super::{Addressee, show};
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::shared::Shared;
use dockwood_routing::Millis;
use dockwood_routing::pushback::{AnswerSignals, Hold, LeavingMark, SendKind, return_spread_ms};
use rand::RngExt;
use std::sync::Arc;

/// The leave to write one request to one server. It learns from the head of the answer.
pub struct SendPermit {
    shared: Arc<Shared>,
    addressee: Addressee,
    kind: SendKind,
    /// The server answered the trial that this is, and asked for no more rest.
    accepted: bool,
}

impl SendPermit {
    /// Asks for leave, at the moment of writing: other answers may have come since the server was chosen, and the process
    /// may have been stopped.
    ///
    /// # Errors
    /// Why the server is sent nothing.
    pub fn ask(shared: &Arc<Shared>, addressee: Addressee) -> Result<SendPermit, Hold> {
        let begun = lock(&shared.pushback.table).begin_send(monotonic_ms(), &addressee.start);
        if begun.is_err() {
            shared.metrics.held_back.with_label_values(&["stopped"]).inc();
        }
        Ok(SendPermit { shared: shared.clone(), addressee, kind: begun?, accepted: false })
    }

    /// Leave to read on from a run that the server has already: that is no new request.
    pub fn of_running(shared: &Arc<Shared>, addressee: Addressee) -> SendPermit {
        SendPermit { shared: shared.clone(), addressee, kind: SendKind::Usual, accepted: false }
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
    }

    fn note_rest(&self, rest_ms: Millis, status: u16, request: &str) {
        let (shared, now) = (&self.shared, monotonic_ms());
        let spread_ms = self.spread_ms(rest_ms);
        let mut table = lock(&shared.pushback.table);
        let begun = table.note_rest(now, &self.addressee.start, rest_ms, spread_ms);
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

impl Drop for SendPermit {
    fn drop(&mut self) {
        if self.kind != SendKind::Trial {
            return;
        }
        let mut table = lock(&self.shared.pushback.table);
        let is_over = table.trial_ended(monotonic_ms(), &self.addressee.start, self.accepted);
        show(&self.shared.metrics, &table);
        drop(table);
        if is_over {
            self.tell_rest_ended();
        }
    }
}
