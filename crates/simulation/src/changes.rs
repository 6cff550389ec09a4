//! Delivery of operators' changes: each is sent until it is answered.

use crate::events::{DaemonMessage, Event, ReplyTarget};
use crate::network::Endpoint;
use crate::operator::{Change, first_outcome};
use crate::world::{NO_LEADER_RETRY_MS, VOTERS, World, daemon_at};
use dockwood_api::peer::SubmitReply;
use dockwood_state::{Outcome, decode_outcome};
use rand::RngExt;

const CHANGE_RESEND_MS: u64 = 500;

impl World {
    /// Registers an operator's change and sends it.
    pub fn submit(&mut self, change: Change) -> usize {
        self.changes.push(change);
        let index = self.changes.len() - 1;
        self.queue.push(self.now, Event::SendChange { change: index, after_attempt: 0 });
        index
    }

    /// Whether every change has been answered.
    pub fn all_answered(&self) -> bool {
        self.changes.iter().all(|change| change.answer.is_some())
    }

    pub(crate) fn send_change(&mut self, index: usize, after_attempt: u64) {
        let change = &self.changes[index];
        if change.answer.is_none() && change.attempt == after_attempt {
            self.resend_change(index);
        }
    }

    /// Sends a change again. A change that was answered before must get the same answer.
    pub fn resend_change(&mut self, index: usize) {
        let at_ms = self.daemons[0].moment(self.now).wall_ms;
        let random_voter = self.random.random_range(0..VOTERS);
        let change = &mut self.changes[index];
        change.attempt += 1;
        let attempt = change.attempt;
        let target = change.target.take().unwrap_or(random_voter);
        let message = DaemonMessage::Submit {
            command: change.encoded(at_ms),
            reply: ReplyTarget::Change { change: index, attempt },
        };
        self.send_to_daemon(Endpoint::Operator, target, None, message);
        self.queue
            .push(self.now + CHANGE_RESEND_MS, Event::SendChange { change: index, after_attempt: attempt });
    }

    pub(crate) fn change_answered(&mut self, index: usize, attempt: u64, from: usize, reply: SubmitReply) {
        if self.now < self.changes[index].loses_answers_until {
            return;
        }
        match reply {
            SubmitReply::Applied { outcome, .. } => {
                let Ok(outcome) = decode_outcome(&outcome) else { return };
                let outcome: Outcome = first_outcome(outcome);
                self.checker.check_answer(self.now, &mut self.changes[index], outcome);
            }
            SubmitReply::NotLeader { leader } if attempt == self.changes[index].attempt => {
                self.changes[index].target = leader.and_then(daemon_at).filter(|leader| *leader != from);
                let delay = if self.changes[index].target.is_some() { 1 } else { NO_LEADER_RETRY_MS };
                self.queue
                    .push(self.now + delay, Event::SendChange { change: index, after_attempt: attempt });
            }
            _ => {}
        }
    }
}
