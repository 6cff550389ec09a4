//! Elections: pre-vote, vote, and the checks that keep two leaders out of one term.

use crate::message::Body;
use crate::node::{Node, Role};
use crate::replication::LeaderState;
use crate::types::{HardState, LogIndex, Millis, NodeId, Payload, Term};
use std::collections::BTreeSet;

impl Node {
    /// Starts a pre-vote (`binding` false) or, once that is won, the vote. A pre-vote changes no term, so a
    /// node that was cut off can't disturb the group when it returns.
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
            self.ask_again_soon(now);
        }
        self.announce_role();
        if self.membership.quorum() == 1 {
            self.election_won(now, binding);
            return;
        }
        let campaign_term = self.hard_state.term + u64::from(!binding);
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for peer in self.peers() {
            self.send_in_term(peer, campaign_term, Body::VoteRequest { binding, last_index, last_term });
        }
    }

    pub(crate) fn answer_vote(
        &mut self,
        now: Millis,
        from: NodeId,
        term: Term,
        binding: bool,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let log_is_current = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        if !binding {
            let granted = term > self.hard_state.term && log_is_current;
            let reply_term = if granted { term } else { self.hard_state.term };
            self.send_in_term(from, reply_term, Body::VoteReply { binding, granted });
            return;
        }
        let may_vote =
            term == self.hard_state.term && self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let granted = may_vote && log_is_current;
        if granted && self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(from);
            self.persist(true, Vec::new());
            self.reset_election_timer(now);
        }
        self.send(from, Body::VoteReply { binding, granted });
    }

    pub(crate) fn count_vote(&mut self, now: Millis, from: NodeId, term: Term, binding: bool, granted: bool) {
        let expected_term = self.hard_state.term + u64::from(!binding);
        let quorum = self.membership.quorum();
        let Role::Candidate { binding: own_binding, votes } = &mut self.role else { return };
        if *own_binding != binding || !granted || term != expected_term {
            return;
        }
        votes.insert(from);
        if votes.len() >= quorum {
            self.election_won(now, binding);
        }
    }

    fn election_won(&mut self, now: Millis, binding: bool) {
        if !binding {
            self.campaign(now, true);
            return;
        }
        self.leader = Some(self.settings.id);
        self.role = Role::Leader(LeaderState::new(&self.peers(), self.log.last_index(), now));
        self.announce_role();
        // A leader may count replicas of its own term only; this entry commits what earlier terms left.
        let entry = self.log.append(self.hard_state.term, Payload::Empty);
        self.persist(false, vec![entry]);
        self.broadcast(now);
    }
}
