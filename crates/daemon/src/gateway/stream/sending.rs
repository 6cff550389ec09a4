//! Writes a streaming request to the source that was selected for it.

use super::open_send::{OpenSend, Position};
use super::sender::RequestSender;
use crate::gateway::plain::server_request;
use crate::gateway::request_log::SendNumber;
use crate::gateway::source::Source;
use crate::gateway::upstream::ConnectFault;
use crate::gateway::write_permit::acquire_write_permit;
use dockwood_routing::CallResult;
use dockwood_routing::gateway::SendOutcome;

/// Whether a send takes a retry from the budget. It is taken immediately before the write, as it is lost otherwise if the
/// send is cancelled or fails before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BudgetUse {
    /// The first send, or one whose retry was taken before.
    None,
    /// The write takes a retry.
    TakesRetry,
}

/// Why a request was not written to the source that was selected for it.
pub(super) enum NotWritten {
    /// The send ended with this outcome.
    Ended(SendOutcome),
    /// The retry budget is used up.
    RetryBudget,
}

impl RequestSender {
    /// Writes the request to a source. Nothing is awaited after it was written, so that a request whose write was cancelled
    /// has not been sent.
    ///
    /// # Errors
    /// Returns why it was not written.
    pub(super) async fn write(
        &mut self,
        source: Source,
        position: Position,
        budget: BudgetUse,
    ) -> Result<OpenSend, NotWritten> {
        let instance = source.instance().to_string();
        self.attempts.begin(&instance);
        let mut upstream = match self.gateway.connect(&self.received, source.address()).await {
            Ok(upstream) => upstream,
            Err(fault) => {
                let number = self.record_send(&source);
                self.request_log.record_connect_fault(number, fault);
                self.request_log.record_outcome(number, SendOutcome::NotConnected);
                self.record_tried(&source);
                self.record_unreachable(source, fault);
                return Err(NotWritten::Ended(SendOutcome::NotConnected));
            }
        };
        let request = server_request(&self.gateway, &self.received, &instance, position.resume_after());
        let permit =
            acquire_write_permit(&self.gateway, &self.received, &self.gate, source.selection()).await;
        let permit = match permit {
            Ok(permit) => permit,
            Err(reason) => {
                // The source may be selected again: its connection is established now, and the hold will end.
                self.gateway.pool.release(upstream);
                let number = self.record_send(&source);
                let outcome = SendOutcome::Withheld(reason);
                self.request_log.record_outcome(number, outcome);
                return Err(NotWritten::Ended(outcome));
            }
        };
        if budget == BudgetUse::TakesRetry && !self.try_retry() {
            self.gateway.pool.release(upstream);
            return Err(NotWritten::RetryBudget);
        }
        let number = self.record_send(&source);
        self.record_tried(&source);
        let head = upstream.send(request, &permit);
        let next_gate = self.gate.for_another_send();
        let gate = std::mem::replace(&mut self.gate, next_gate);
        Ok(OpenSend::new(source, gate, number, upstream, head, permit))
    }

    fn record_send(&mut self, source: &Source) -> SendNumber {
        self.request_log.record_send(source.instance(), source.epoch(), source.chosen_by())
    }

    fn record_tried(&mut self, source: &Source) {
        match source.epoch() {
            Some(epoch) => self.tried_groups.push(epoch),
            None => self.tried_servers.push(source.instance().to_string()),
        }
    }

    fn record_unreachable(&self, source: Source, fault: ConnectFault) {
        match source {
            Source::Group(place) => {
                self.gateway.loads.suspect_group(place.epoch, fault == ConnectFault::Refused)
            }
            Source::Server(selected) => selected.finish(CallResult::Failed),
        }
    }
}
