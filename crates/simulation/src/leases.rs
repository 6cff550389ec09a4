//! Configuration lease requests of the daemons.

use crate::events::{DaemonMessage, Event, ReplyTarget};
use crate::network::Endpoint;
use crate::world::{NO_LEADER_RETRY_MS, VOTERS, World, daemon_at};
use dockwood_api::peer::{LeaseAnswer, LeaseRequest};
use dockwood_control::{GrantedLease, Input};
use rand::RngExt;

const LEASE_REQUEST_TIMEOUT_MS: u64 = 1_200;
const CATCH_UP_MS: u64 = 20;

impl World {
    pub(crate) fn request_lease(&mut self, index: usize) {
        let now = self.now;
        let leaving = self.leaving_daemon == Some(index);
        let random_voter = self.random.random_range(0..VOTERS);
        let daemon = &mut self.daemons[index];
        if daemon.pending_lease_request.is_some() {
            return;
        }
        let Some(node) = &daemon.node else { return };
        let request_id = daemon.next_lease_request_id;
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
        daemon.next_lease_request_id += 1;
        daemon.pending_lease_request = Some((request_id, daemon.moment(now).monotonic));
        let (incarnation, target) = (daemon.incarnation, daemon.leader.unwrap_or(random_voter));
        let reply = ReplyTarget::Lease { daemon: index, incarnation, request_id };
        self.send_to_daemon(
            Endpoint::Daemon(index),
            target,
            None,
            DaemonMessage::LeaseRequest(Box::new(request), reply),
        );
        self.queue.push(
            now + LEASE_REQUEST_TIMEOUT_MS,
            Event::LeaseRequestTimeout { daemon: index, incarnation, request_id },
        );
    }

    pub(crate) fn receive_lease_answer(&mut self, index: usize, request_id: u64, answer: LeaseAnswer) {
        let Some((pending_id, sent_at)) = self.daemons[index].pending_lease_request else { return };
        if pending_id != request_id {
            return;
        }
        self.daemons[index].pending_lease_request = None;
        let delay = match answer {
            LeaseAnswer::Granted { term, revision, in_force_revision, content, .. } => {
                self.step(index, Input::LeaseGranted(GrantedLease { in_force_revision, content }));
                let daemon = &mut self.daemons[index];
                daemon.leader_term = term;
                // A lease is valid only with a configuration at least as new as the one it was granted for.
                if daemon.revision() >= revision {
                    daemon.extend_lease(sent_at);
                    1
                } else {
                    CATCH_UP_MS
                }
            }
            LeaseAnswer::NotLeader { leader } => {
                self.daemons[index].leader = leader.and_then(daemon_at);
                NO_LEADER_RETRY_MS
            }
        };
        let incarnation = self.daemons[index].incarnation;
        self.queue.push(self.now + delay, Event::RequestLease { daemon: index, incarnation });
    }
}
