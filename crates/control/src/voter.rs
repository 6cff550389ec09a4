//! What only a member of the control group has: the consensus core, and the commands that wait to be committed.

use crate::Millis;
use crate::leader::Leadership;
use crate::lease_proxy::LeaseProxy;
use dockwood_api::ResultCode;
use dockwood_api::peer::{SubmitReply, VoterRecord};
use dockwood_consensus::{Entry, Node, Payload, RoleName, Term, Voter};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Who waits for a proposed command.
#[derive(Debug)]
pub(crate) enum Waiter<R> {
    /// Somebody who submitted it.
    Caller(R),
    /// The leader's own controllers.
    Controller,
}

/// A command that this node proposed and that is not yet committed.
#[derive(Debug)]
pub(crate) struct Proposal<R> {
    pub term: Term,
    pub waiter: Waiter<R>,
}

/// A voter's part of the control node.
#[derive(Debug)]
pub(crate) struct VoterPart<R> {
    pub core: Node,
    pub addresses: BTreeMap<u64, SocketAddr>,
    pub applied_index: u64,
    pub proposals: BTreeMap<u64, Proposal<R>>,
    pub leadership: Option<Leadership<R>>,
    /// Requests for leases that this node grants in the leader's name.
    pub proxy: LeaseProxy<R>,
    pub leader: Option<SocketAddr>,
}

impl<R> VoterPart<R> {
    /// A voter that knows nothing of a leader yet.
    pub fn new(core: Node, addresses: BTreeMap<u64, SocketAddr>) -> Self {
        VoterPart {
            applied_index: core.snapshot_index(),
            core,
            addresses,
            proposals: BTreeMap::new(),
            leadership: None,
            proxy: LeaseProxy::new(0),
            leader: None,
        }
    }

    /// Notes where voters are reached.
    pub fn learn_addresses(&mut self, voters: &[Voter]) {
        self.addresses.extend(voters.iter().map(|voter| (voter.id, voter.address)));
    }

    /// At the leader: notes that a process asks to become a voter, and returns the voters.
    pub fn take_candidate(
        &mut self,
        now: Millis,
        id: u64,
        address: SocketAddr,
        zone: &str,
    ) -> Vec<VoterRecord> {
        if let Some(leadership) = &mut self.leadership {
            leadership.candidates.ask(now, id, address, zone);
        }
        let record = |voter: Voter| VoterRecord { id: voter.id, address: voter.address };
        self.known_voters().into_iter().map(record).collect()
    }

    /// The voters that count now, with their addresses.
    pub fn known_voters(&self) -> Vec<Voter> {
        let known = |id: &u64| self.addresses.get(id).map(|address| Voter { id: *id, address: *address });
        self.core.voters().iter().filter_map(known).collect()
    }

    /// Whether this node leads, and nobody else can at this moment.
    pub fn leads(&self, now: Millis) -> bool {
        self.leadership.is_some() && self.core.role() == RoleName::Leader && self.core.leader_lease_valid(now)
    }

    /// Whether all that earlier leaders committed is applied here.
    pub fn applied_own_term(&self) -> bool {
        let term = self.leadership.as_ref().map(|leadership| leadership.term);
        term.is_some() && self.core.term_at(self.applied_index) == term
    }
}

/// The command of an entry, if it carries one.
pub(crate) fn command_bytes(entry: &Entry) -> Option<&[u8]> {
    match &entry.payload {
        Payload::Empty | Payload::Voters(_) => None,
        Payload::Command(bytes) => Some(bytes),
    }
}

/// The answer to a command that is not known to be committed; the caller resends it.
pub(crate) fn dropped(message: &str) -> SubmitReply {
    SubmitReply::Failed { code: ResultCode::ProposalDropped, message: message.to_string() }
}
