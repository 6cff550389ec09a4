//! State that only members of the control group have: the consensus core, and commands waiting to be
//! committed.

use crate::Millis;
use crate::formation_times::FormationTimes;
use crate::leader::LeaderState;
use crate::lease_proxy::LeaseProxy;
use crate::log_size::LogSize;
use dockwood_api::ResultCode;
use dockwood_api::peer::{SubmitReply, VoterRecord};
use dockwood_consensus::{Entry, Node, Payload, RoleName, Term, Voter};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Who waits for a proposed command.
#[derive(Debug)]
pub(crate) enum Waiter<R> {
    /// The caller that submitted it.
    Caller(R),
    /// The leader's own controllers.
    Controller,
}

/// A command that this node proposed and that is not committed yet.
#[derive(Debug)]
pub(crate) struct Proposal<R> {
    pub term: Term,
    pub waiter: Waiter<R>,
}

/// Voter state of a control node.
#[derive(Debug)]
pub(crate) struct VoterState<R> {
    pub core: Node,
    pub addresses: BTreeMap<u64, SocketAddr>,
    pub applied_index: u64,
    /// Committed entries that are not applied yet, in order.
    pub committed: VecDeque<Entry>,
    pub proposals: BTreeMap<u64, Proposal<R>>,
    pub leader_state: Option<LeaderState<R>>,
    /// Lease requests that this node answers on behalf of the leader.
    pub proxy: LeaseProxy<R>,
    pub leader: Option<SocketAddr>,
    pub log_size: LogSize,
    pub formation_times: FormationTimes,
}

impl<R> VoterState<R> {
    /// Creates a voter that doesn't know a leader yet.
    pub fn new(core: Node, addresses: BTreeMap<u64, SocketAddr>) -> Self {
        let entries = core.last_index() - core.snapshot_index();
        VoterState {
            log_size: LogSize::recovered(core.payload_bytes_after(core.snapshot_index()), entries),
            applied_index: core.snapshot_index(),
            core,
            addresses,
            committed: VecDeque::new(),
            proposals: BTreeMap::new(),
            leader_state: None,
            proxy: LeaseProxy::new(0),
            leader: None,
            formation_times: FormationTimes::default(),
        }
    }

    /// Records the addresses of voters.
    pub fn learn_addresses(&mut self, voters: &[Voter]) {
        self.addresses.extend(voters.iter().map(|voter| (voter.id, voter.address)));
    }

    /// On the leader: records an admission request, and returns the voters.
    pub fn add_candidate(
        &mut self,
        now: Millis,
        id: u64,
        address: SocketAddr,
        zone: &str,
    ) -> Vec<VoterRecord> {
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.candidates.add_request(now, id, address, zone);
        }
        let record = |voter: Voter| VoterRecord { id: voter.id, address: voter.address };
        self.known_voters().into_iter().map(record).collect()
    }

    /// The current voters with their addresses.
    pub fn known_voters(&self) -> Vec<Voter> {
        let known = |id: &u64| self.addresses.get(id).map(|address| Voter { id: *id, address: *address });
        self.core.voters().iter().filter_map(known).collect()
    }

    /// Whether this node leads and holds the leader lease, so that no other node can lead now.
    pub fn leads(&self, now: Millis) -> bool {
        self.leader_state.is_some()
            && self.core.role() == RoleName::Leader
            && self.core.leader_lease_valid(now)
    }

    /// Whether this node leads and has applied everything that earlier leaders committed. Only then may it answer from its
    /// state, grant leases or decide.
    pub fn leads_with_current_state(&self, now: Millis) -> bool {
        self.leads(now) && self.applied_own_term()
    }

    /// Whether the log has many applied entries, or these take much more room than a snapshot. Not while committed entries are
    /// being applied, as the next snapshot would soon follow.
    pub fn is_compaction_due(&self, max_entries: u64) -> bool {
        if !self.committed.is_empty() {
            return false;
        }
        let entries = self.applied_index.saturating_sub(self.core.snapshot_index());
        entries >= max_entries
            || self.log_size.reaches_limit_without(self.core.payload_bytes_after(self.applied_index))
    }

    /// Whether everything that earlier leaders committed is applied on this node.
    fn applied_own_term(&self) -> bool {
        let term = self.leader_state.as_ref().map(|leader_state| leader_state.term);
        term.is_some() && self.core.term_at(self.applied_index) == term
    }
}

/// The command in an entry, if there is one.
pub(crate) fn command_bytes(entry: &Entry) -> Option<&[u8]> {
    match &entry.payload {
        Payload::Empty | Payload::Voters(_) => None,
        Payload::Command(bytes) => Some(bytes),
    }
}

/// The reply for a command that may not have been committed; the caller resends it.
pub(crate) fn proposal_dropped(message: &str) -> SubmitReply {
    SubmitReply::Failed { code: ResultCode::ProposalDropped, message: message.to_string() }
}
