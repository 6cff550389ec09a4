//! Elections: pre-vote, vote, and the checks that prevent two leaders in one term.

use crate::message::Body;
use crate::node::{Node, Role};
use crate::replication::LeaderState;
use crate::types::{HardState, LogIndex, Millis, NodeId, Payload, Term};
use std::collections::BTreeSet;

impl Node {
    /// Starts a pre-vote (`binding` false) or, once that is won, the election. A pre-vote does not increment the term, so
    /// a node that was partitioned away can't disrupt the group when it rejoins.
    pub(crate) fn campaign(&mut self, now: Millis, binding: bool) {
        if binding {
            let term = self.hard_state.term + 1;
            self.hard_state = HardState { term, voted_for: Some(self.settings.id) };
            self.persist(true, Vec::new());
        }
        self.leader = None;
        self.role = Role::Candidate { binding, votes: BTreeSet::from([self.settings.id]) };
        if binding {
            self.reset_election_timer(now);
        } else {
            self.schedule_pre_vote_retry(now);
        }
        self.announce_role();
        if self.membership.quorum() == 1 {
            self.handle_election_won(now, binding);
            return;
        }
        let campaign_term = self.hard_state.term + u64::from(!binding);
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for peer in self.peers() {
            self.send_in_term(peer, campaign_term, Body::VoteRequest { binding, last_index, last_term });
        }
    }

    pub(crate) fn handle_vote_request(
        &mut self,
        now: Millis,
        from: NodeId,
        term: Term,
        binding: bool,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let log_is_up_to_date = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        if !binding {
            let granted = term > self.hard_state.term && log_is_up_to_date;
            let reply_term = if granted { term } else { self.hard_state.term };
            self.send_in_term(from, reply_term, Body::VoteReply { binding, granted });
            return;
        }
        let may_vote =
            term == self.hard_state.term && self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let granted = may_vote && log_is_up_to_date;
        if granted && self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(from);
            self.persist(true, Vec::new());
            self.reset_election_timer(now);
        }
        self.send(from, Body::VoteReply { binding, granted });
    }

    pub(crate) fn handle_vote_reply(
        &mut self,
        now: Millis,
        from: NodeId,
        term: Term,
        binding: bool,
        granted: bool,
    ) {
        let expected_term = self.hard_state.term + u64::from(!binding);
        let quorum = self.membership.quorum();
        let Role::Candidate { binding: own_binding, votes } = &mut self.role else { return };
        if *own_binding != binding || !granted || term != expected_term {
            return;
        }
        votes.insert(from);
        if votes.len() >= quorum {
            self.handle_election_won(now, binding);
        }
    }

    fn handle_election_won(&mut self, now: Millis, binding: bool) {
        if !binding {
            self.campaign(now, true);
            return;
        }
        self.leader = Some(self.settings.id);
        self.role = Role::Leader(LeaderState::new(&self.peers(), self.log.last_index(), now));
        self.announce_role();
        // A leader may commit only entries of its own term by counting replicas; committing this entry also commits those
        // of earlier terms.
        let entry = self.log.append(self.hard_state.term, Payload::Empty);
        self.persist(false, vec![entry]);
        self.broadcast(now);
    }
}
