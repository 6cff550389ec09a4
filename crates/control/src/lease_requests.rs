//! What a voter does with requests for leases: the leader answers them; another voter of a large fleet does in its name,
//! or sends the daemon to the leader.

use crate::Millis;
use crate::driver_io::{Moment, Output};
use crate::lease_answers::Grantor;
use crate::node::ControlNode;
use crate::voter::VoterPart;
use dockwood_api::digest::rendezvous_weight;
use dockwood_api::peer::{DelegatedRequest, DelegationAnswer, LeaseAnswer, LeaseRequest};
use dockwood_consensus::Voter;
use std::net::SocketAddr;

/// A voter that has not answered the leader for this long is named to no daemon.
const VOTER_SILENT_MS: Millis = 500;

/// A voter that may grant leases in the leader's name.
#[derive(Debug)]
struct Grantable {
    address: SocketAddr,
    zone: Option<String>,
}

impl<R> ControlNode<R> {
    pub(crate) fn take_lease_request(&mut self, now: Moment, request: LeaseRequest, reply: R) {
        let leader = self.leader_address();
        let (leads, delegates) = (self.leads(now), self.delegates());
        let is_voter = self.is_voter();
        match &mut self.voter {
            Some(VoterPart { leadership: Some(leadership), .. }) if leads => {
                leadership.take_lease_request(now.monotonic, request, reply);
            }
            Some(VoterPart { leadership: None, proxy, .. })
                if delegates && is_voter && leader.is_some() && request.wants_commands =>
            {
                proxy.take(now.monotonic, request, reply);
            }
            _ => self.outputs.push(Output::LeaseReply(reply, LeaseAnswer::NotLeader { leader })),
        }
    }

    /// Whether the fleet is so large that voters grant leases in the leader's name.
    fn delegates(&self) -> bool {
        self.board.tables().daemons.len() > self.options.leader_leases_up_to
    }

    /// At the leader: another voter reports which daemons have asked it.
    pub(crate) fn take_delegated(&mut self, now: Moment, requests: &[DelegatedRequest], reply: R) {
        let leader = self.leader_address();
        let leads = self.leads(now);
        let revision = self.board.revision();
        let in_force_revision = self.in_force_revision;
        let leadership = self.voter.as_mut().and_then(|voter| voter.leadership.as_mut());
        let answer = match leadership.filter(|_| leads) {
            Some(leadership) => {
                leadership.take_delegated(now.monotonic, requests);
                DelegationAnswer::Noted { term: leadership.term, revision, in_force_revision }
            }
            None => DelegationAnswer::NotLeader { leader },
        };
        self.outputs.push(Output::DelegationReply(reply, answer));
    }

    /// At another voter: the leader has answered, or has not.
    pub(crate) fn delegation_answered(&mut self, number: u64, answer: Option<DelegationAnswer>) {
        if let Some(DelegationAnswer::Noted { in_force_revision, .. }) = answer {
            self.raise_in_force(in_force_revision);
        }
        if let Some(voter) = &mut self.voter {
            voter.proxy.answered(number, answer.as_ref());
        }
    }

    /// Answers requests for leases that are due, and reports to the leader those that came to this voter.
    pub(crate) fn answer_leases(&mut self, now: Moment) {
        self.answer_as_leader(now);
        self.answer_for_leader(now);
    }

    fn answer_as_leader(&mut self, now: Moment) {
        let leads = self.leads(now);
        let leader = self.leader_address();
        let grantable = if leads && self.delegates() { self.grantable(now) } else { Vec::new() };
        let in_force_revision = self.in_force_revision;
        let Some(leadership) = self.voter.as_mut().and_then(|voter| voter.leadership.as_mut()) else {
            return;
        };
        let answers = if leads {
            let grantor = Grantor { term: leadership.term, leader, in_force_revision };
            let ask_next = |request: &LeaseRequest| assigned(&grantable, request);
            leadership.answers.answer_due(now.monotonic, &self.board, grantor, ask_next)
        } else {
            leadership.answers.refuse_held(leader)
        };
        self.outputs.extend(answers);
    }

    fn answer_for_leader(&mut self, now: Moment) {
        let leader = self.leader_address();
        let in_force_revision = self.in_force_revision;
        let Some(VoterPart { proxy, leadership, .. }) = &mut self.voter else { return };
        if let Some(leadership) = leadership {
            let requests = proxy.take_all().into_iter();
            requests
                .for_each(|(request, reply)| leadership.take_lease_request(now.monotonic, request, reply));
            return;
        }
        let message = leader.and_then(|leader| {
            let (number, requests) = proxy.message_due(now.monotonic, self.board.tables())?;
            Some(Output::DelegateLeases { leader, number, requests })
        });
        self.outputs.extend(message);
        let answers = proxy.answer_due(now.monotonic, &self.board, leader, in_force_revision);
        self.outputs.extend(answers);
    }

    /// The other voters that answer the leader.
    fn grantable(&mut self, now: Moment) -> Vec<Grantable> {
        let zones = self.voter_zones();
        let Some(voter) = &self.voter else { return Vec::new() };
        let silent_for = voter.core.silent_for(now.monotonic);
        let answers =
            |known: &Voter| silent_for.get(&known.id).is_some_and(|silent| *silent < VOTER_SILENT_MS);
        let others = voter.known_voters().into_iter().filter(answers);
        others
            .map(|known| Grantable { address: known.address, zone: zones.get(&known.id).cloned() })
            .collect()
    }
}

/// The voter that a daemon should ask, one of its zone if there is any: all daemons of a zone are spread evenly.
fn assigned(grantable: &[Grantable], request: &LeaseRequest) -> Option<SocketAddr> {
    if !request.wants_commands {
        return None;
    }
    let zone = &request.daemon.zone;
    let is_near = |voter: &&Grantable| voter.zone.as_ref() == Some(zone);
    let by_weight = |voter: &&Grantable| rendezvous_weight(&request.daemon.name, &voter.address.to_string());
    let near = grantable.iter().filter(is_near).max_by_key(by_weight);
    near.or_else(|| grantable.iter().max_by_key(by_weight)).map(|voter| voter.address)
}
