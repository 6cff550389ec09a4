//! Operators' changes on their way, until each has its answer.

use crate::events::{Event, ReplyTo, ToDaemon};
use crate::network::Place;
use crate::operator::{Change, first_outcome};
use crate::world::{POLL_RETRY_MS, VOTERS, World, daemon_at};
use dockwood_api::peer::SubmitReply;
use dockwood_state::{Outcome, decode_outcome};
use rand::RngExt;

const CHANGE_RETRY_MS: u64 = 500;

impl World {
    /// Adds an operator's change and sends it.
    pub fn submit(&mut self, change: Change) -> usize {
        self.changes.push(change);
        let index = self.changes.len() - 1;
        self.queue.push(self.now, Event::SendChange { change: index, after_attempt: 0 });
        index
    }

    /// Whether every change has its answer.
    pub fn all_answered(&self) -> bool {
        self.changes.iter().all(|change| change.answer.is_some())
    }

    pub(crate) fn send_change(&mut self, index: usize, after_attempt: u64) {
        let change = &self.changes[index];
        if change.answer.is_none() && change.attempt == after_attempt {
            self.resend_change(index);
        }
    }

    /// Sends a change, also one that was answered: its answer must be the same.
    pub fn resend_change(&mut self, index: usize) {
        let at_ms = self.daemons[0].moment(self.now).wall_ms;
        let guess = self.random.random_range(0..VOTERS);
        let change = &mut self.changes[index];
        change.attempt += 1;
        let attempt = change.attempt;
        let target = change.target.take().unwrap_or(guess);
        let message = ToDaemon::Submit {
            command: change.encoded(at_ms),
            reply: ReplyTo::Change { change: index, attempt },
        };
        self.transmit(Place::Operator, target, None, message);
        self.queue
            .push(self.now + CHANGE_RETRY_MS, Event::SendChange { change: index, after_attempt: attempt });
    }

    pub(crate) fn change_answered(&mut self, index: usize, attempt: u64, from: usize, reply: SubmitReply) {
        if self.now < self.changes[index].deaf_until {
            return;
        }
        match reply {
            SubmitReply::Applied { outcome, .. } => {
                let Ok(outcome) = decode_outcome(&outcome) else { return };
                let outcome: Outcome = first_outcome(outcome);
                self.checker.answered(self.now, &mut self.changes[index], outcome);
            }
            SubmitReply::NotLeader { leader } if attempt == self.changes[index].attempt => {
                self.changes[index].target = leader.and_then(daemon_at).filter(|leader| *leader != from);
                let pause = if self.changes[index].target.is_some() { 1 } else { POLL_RETRY_MS };
                self.queue
                    .push(self.now + pause, Event::SendChange { change: index, after_attempt: attempt });
            }
            _ => {}
        }
    }
}
