//! A daemon's requests for its configuration lease.

use crate::events::{Event, ReplyTo, ToDaemon};
use crate::network::Place;
use crate::world::{POLL_RETRY_MS, VOTERS, World, daemon_at};
use dockwood_api::peer::{LeaseAnswer, LeaseRequest};
use dockwood_control::{GrantedLease, Input};
use rand::RngExt;

const POLL_TIMEOUT_MS: u64 = 1_200;
const CATCH_UP_MS: u64 = 20;

impl World {
    pub(crate) fn poll(&mut self, index: usize) {
        let now = self.now;
        let leaving = self.leaving == Some(index);
        let guess = self.random.random_range(0..VOTERS);
        let daemon = &mut self.daemons[index];
        if daemon.poll.is_some() {
            return;
        }
        let Some(node) = &daemon.node else { return };
        let poll = daemon.next_poll;
        let request = LeaseRequest {
            daemon: daemon.record.clone(),
            incarnation: daemon.incarnation,
            applied_revision: node.tables().revision,
            in_force_revision: node.in_force_revision(),
            wants_commands: daemon.voter.is_none(),
            leaving,
            at_once: false,
            in_flight: 0,
            stamp: Default::default(),
        };
        daemon.next_poll += 1;
        daemon.poll = Some((poll, daemon.moment(now).monotonic));
        let (incarnation, target) = (daemon.incarnation, daemon.leader.unwrap_or(guess));
        let reply = ReplyTo::Lease { daemon: index, incarnation, poll };
        self.transmit(Place::Daemon(index), target, None, ToDaemon::LeaseRequest(Box::new(request), reply));
        self.queue.push(now + POLL_TIMEOUT_MS, Event::PollTimeout { daemon: index, incarnation, poll });
    }

    pub(crate) fn take_lease_answer(&mut self, index: usize, poll: u64, answer: LeaseAnswer) {
        let Some((number, sent_at)) = self.daemons[index].poll else { return };
        if number != poll {
            return;
        }
        self.daemons[index].poll = None;
        let pause = match answer {
            LeaseAnswer::Granted { term, revision, in_force_revision, content, .. } => {
                self.step(index, Input::LeaseGranted(GrantedLease { in_force_revision, content }));
                let daemon = &mut self.daemons[index];
                daemon.leader_term = term;
                // A lease must not be used with a configuration older than the one it brought.
                if daemon.revision() >= revision {
                    daemon.extend_lease(sent_at);
                    1
                } else {
                    CATCH_UP_MS
                }
            }
            LeaseAnswer::NotLeader { leader } => {
                self.daemons[index].leader = leader.and_then(daemon_at);
                POLL_RETRY_MS
            }
        };
        let incarnation = self.daemons[index].incarnation;
        self.queue.push(self.now + pause, Event::Poll { daemon: index, incarnation });
    }
}
