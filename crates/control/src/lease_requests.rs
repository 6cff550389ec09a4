//! Routes lease requests: the leader answers them itself; another voter of a large fleet answers on its
//! behalf or redirects the daemon to the leader.

use crate::Millis;
use crate::driver_io::{Moment, Output};
use crate::lease_responder::GrantHeader;
use crate::node::ControlNode;
use crate::voter::VoterState;
use dockwood_api::digest::rendezvous_weight;
use dockwood_api::peer::{DelegatedRequest, DelegationAnswer, LeaseAnswer, LeaseRequest};
use dockwood_consensus::Voter;
use std::net::SocketAddr;

/// Daemons are not referred to a voter that has not answered the leader for this long.
const VOTER_SILENT_MS: Millis = 500;

/// A voter that may grant leases on behalf of the leader.
#[derive(Debug)]
struct LeaseVoter {
    address: SocketAddr,
    zone: Option<String>,
}

impl<R> ControlNode<R> {
    pub(crate) fn handle_lease_request(&mut self, now: Moment, request: LeaseRequest, reply: R) {
        let leader = self.leader_address();
        let (leads, delegates_leases) = (self.leads(now), self.delegates_leases());
        let is_voter = self.is_voter();
        match &mut self.voter {
            Some(VoterState { leader_state: Some(leader_state), .. }) if leads => {
                leader_state.handle_lease_request(now.monotonic, request, reply);
            }
            Some(VoterState { leader_state: None, proxy, .. })
                if delegates_leases && is_voter && leader.is_some() && request.wants_commands =>
            {
                proxy.enqueue(now.monotonic, request, reply);
            }
            _ => self.outputs.push(Output::LeaseReply(reply, LeaseAnswer::NotLeader { leader })),
        }
    }

    /// Whether the fleet is so large that voters grant leases on behalf of the leader.
    fn delegates_leases(&self) -> bool {
        self.board.tables().daemons.len() > self.options.leader_leases_up_to
    }

    /// On the leader: another voter reports the daemons that have asked it.
    pub(crate) fn record_delegated_requests(&mut self, now: Moment, requests: &[DelegatedRequest], reply: R) {
        let leader = self.leader_address();
        let leads = self.leads_with_current_state(now);
        let revision = self.board.revision();
        let in_force_revision = self.in_force_revision;
        let leader_state = self.voter.as_mut().and_then(|voter| voter.leader_state.as_mut());
        let answer = match leader_state.filter(|_| leads) {
            Some(leader_state) => {
                leader_state.record_delegated_requests(now.monotonic, requests);
                DelegationAnswer::Noted { term: leader_state.term, revision, in_force_revision }
            }
            None => DelegationAnswer::NotLeader { leader },
        };
        self.outputs.push(Output::DelegationReply(reply, answer));
    }

    /// On another voter: handles the leader's answer, or `None` if there was none.
    pub(crate) fn handle_delegation_answer(&mut self, number: u64, answer: Option<DelegationAnswer>) {
        if let Some(DelegationAnswer::Noted { in_force_revision, .. }) = answer {
            self.raise_in_force(in_force_revision);
        }
        if let Some(voter) = &mut self.voter {
            voter.proxy.handle_answer(number, answer.as_ref());
        }
    }

    /// Answers the lease requests that are due, and reports those received by this voter to the leader.
    pub(crate) fn answer_leases(&mut self, now: Moment) {
        self.answer_as_leader(now);
        self.answer_as_proxy(now);
    }

    fn answer_as_leader(&mut self, now: Moment) {
        let leads = self.leads(now);
        if leads && !self.leads_with_current_state(now) {
            // The requests are held until the state is current, which takes milliseconds as a rule.
            return;
        }
        let leader = self.leader_address();
        let lease_voters = if leads && self.delegates_leases() { self.lease_voters(now) } else { Vec::new() };
        let in_force_revision = self.in_force_revision;
        let Some(leader_state) = self.voter.as_mut().and_then(|voter| voter.leader_state.as_mut()) else {
            return;
        };
        let answers = if leads {
            let header = GrantHeader { term: leader_state.term, leader, in_force_revision };
            let ask_next = |request: &LeaseRequest| assigned_voter(&lease_voters, request);
            leader_state.responder.answer_due(now.monotonic, &self.board, header, ask_next)
        } else {
            leader_state.responder.refuse_held(leader)
        };
        self.outputs.extend(answers);
    }

    fn answer_as_proxy(&mut self, now: Moment) {
        let leader = self.leader_address();
        let in_force_revision = self.in_force_revision;
        let Some(VoterState { proxy, leader_state, .. }) = &mut self.voter else { return };
        if let Some(leader_state) = leader_state {
            let requests = proxy.take_all().into_iter();
            requests.for_each(|(request, reply)| {
                leader_state.handle_lease_request(now.monotonic, request, reply)
            });
            return;
        }
        let batch = leader.and_then(|leader| {
            let (number, requests) = proxy.next_batch(now.monotonic, self.board.tables())?;
            Some(Output::DelegateLeases { leader, number, requests })
        });
        self.outputs.extend(batch);
        let answers = proxy.answer_due(now.monotonic, &self.board, leader, in_force_revision);
        self.outputs.extend(answers);
    }

    /// The other voters that currently answer the leader.
    fn lease_voters(&mut self, now: Moment) -> Vec<LeaseVoter> {
        let zones = self.voter_zones();
        let Some(voter) = &self.voter else { return Vec::new() };
        let silent_for = voter.core.silent_for(now.monotonic);
        let answers =
            |known: &Voter| silent_for.get(&known.id).is_some_and(|silent| *silent < VOTER_SILENT_MS);
        let others = voter.known_voters().into_iter().filter(answers);
        others
            .map(|known| LeaseVoter { address: known.address, zone: zones.get(&known.id).cloned() })
            .collect()
    }
}

/// The voter that a daemon should ask, preferably in its zone; rendezvous hashing spreads the daemons of a
/// zone evenly.
fn assigned_voter(lease_voters: &[LeaseVoter], request: &LeaseRequest) -> Option<SocketAddr> {
    if !request.wants_commands {
        return None;
    }
    let zone = &request.daemon.zone;
    let is_in_zone = |voter: &&LeaseVoter| voter.zone.as_ref() == Some(zone);
    let by_weight = |voter: &&LeaseVoter| rendezvous_weight(&request.daemon.name, &voter.address.to_string());
    let in_zone = lease_voters.iter().filter(is_in_zone).max_by_key(by_weight);
    in_zone.or_else(|| lease_voters.iter().max_by_key(by_weight)).map(|voter| voter.address)
}
