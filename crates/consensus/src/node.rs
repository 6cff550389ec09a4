//! The node: its state, the dispatch of inputs, and helpers shared by elections and replication.

use crate::log::EntryLog;
use crate::membership::Membership;
use crate::message::{Body, Message};
use crate::replication::LeaderState;
use crate::types::{
    Entry, HardState, Input, LogIndex, Millis, NodeId, Output, Payload, Recovered, RoleName, Settings, Term,
    Voter,
};
use std::collections::BTreeSet;

/// The role of a node, with the state specific to that role.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    Follower,
    /// Collects pre-votes (`binding` false) or votes.
    Candidate {
        binding: bool,
        votes: BTreeSet<NodeId>,
    },
    Leader(LeaderState),
}

/// A node of a Raft group.
#[derive(Clone, Debug)]
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) hard_state: HardState,
    pub(crate) role: Role,
    pub(crate) log: EntryLog,
    pub(crate) membership: Membership,
    pub(crate) commit: LogIndex,
    /// Entries up to here were emitted by [`Output::Commit`].
    delivered: LogIndex,
    /// Entries up to here are synced to this node's disk.
    pub(crate) persisted: LogIndex,
    pub(crate) leader: Option<NodeId>,
    pub(crate) last_leader_contact: Option<Millis>,
    pub(crate) election_due: Millis,
    random_state: u64,
    pub(crate) outputs: Vec<Output>,
}

impl Node {
    /// Creates a follower from what was read from disk. A restarted node withholds its vote for one election timeout, as
    /// it may have acknowledged a leader just before it stopped.
    pub fn new(settings: Settings, recovered: Recovered, now: Millis) -> Self {
        let log = EntryLog::from_recovered(&recovered);
        let membership = recovered_membership(&settings, &recovered);
        let random_state = settings.seed ^ settings.id.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let restarted = log.last_index() > 0;
        let mut node = Node {
            hard_state: recovered.hard_state,
            role: Role::Follower,
            commit: log.snapshot_index(),
            delivered: log.snapshot_index(),
            persisted: log.last_index(),
            leader: None,
            last_leader_contact: restarted.then_some(now),
            election_due: now,
            random_state,
            outputs: Vec::new(),
            log,
            membership,
            settings,
        };
        node.reset_election_timer(now);
        if node.membership.voters() == [node.settings.id] {
            node.election_due = now;
        }
        node
    }

    /// Processes one input and returns the outputs to execute, in order.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Receive(message) => self.receive(now, message),
            Input::Propose(commands) => self.propose(now, commands),
            Input::ChangeVoters(voters) => self.change_voters(now, voters),
            Input::Persisted { index, term } => self.handle_persisted(index, term),
            Input::Read { id } => self.handle_read(now, id),
            Input::Compact { index } => {
                let index = index.min(self.delivered);
                self.log.compact(index);
                self.membership.compact_to(index);
            }
            Input::SnapshotLoaded { to, index, term, data } => self.send_snapshot(now, to, index, term, data),
        }
        self.deliver_committed();
        std::mem::take(&mut self.outputs)
    }

    /// Id of this node.
    pub fn id(&self) -> NodeId {
        self.settings.id
    }

    /// The current role.
    pub fn role(&self) -> RoleName {
        match self.role {
            Role::Follower => RoleName::Follower,
            Role::Candidate { .. } => RoleName::Candidate,
            Role::Leader(_) => RoleName::Leader,
        }
    }

    /// The newest term seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Index of the last committed entry.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Term of the entry at `index`, if still known after compaction.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.log.term_at(index)
    }

    /// Ids of the voters in effect, according to the newest voters entry of the log.
    pub fn voters(&self) -> &[NodeId] {
        self.membership.voters()
    }

    /// Whether the newest membership change is committed.
    pub fn voters_settled(&self) -> bool {
        self.membership.last_change_index() <= self.commit
    }

    /// Sets the voters to those recorded in a restored snapshot; it records none if the membership never changed, so that
    /// those in the settings apply.
    pub fn restore_voters(&mut self, voters: &[Voter]) {
        if voters.is_empty() {
            self.membership = Membership::new(self.settings.voters.clone());
        } else {
            self.membership.reset(voters);
        }
    }

    /// Persistent state besides the log.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Index of the last entry that the snapshot covers.
    pub fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot_index()
    }

    /// Committed entries after `index` that are still in memory.
    pub fn committed_after(&self, index: LogIndex) -> Vec<Entry> {
        let from = (index + 1).max(self.log.snapshot_index() + 1);
        self.log.slice(from, self.commit, usize::MAX)
    }

    /// Total payload of the entries after `index` that are still in memory, in bytes.
    pub fn payload_bytes_after(&self, index: LogIndex) -> u64 {
        self.log.payload_bytes_after(index)
    }

    /// All entries after `index`, for a driver that rewrites its log.
    pub fn entries_after(&self, index: LogIndex) -> Vec<Entry> {
        self.log.slice(index + 1, self.log.last_index(), usize::MAX)
    }

    fn tick(&mut self, now: Millis) {
        match &self.role {
            Role::Leader(_) => self.leader_tick(now),
            // A node that is not a voter waits to be added.
            _ if now >= self.election_due && self.membership.contains(self.settings.id) => {
                self.campaign(now, false);
            }
            _ => {}
        }
    }

    fn receive(&mut self, now: Millis, message: Message) {
        // Vote requests are accepted from any sender: this node may lack the entry that made the sender a voter.
        if message.to != self.settings.id {
            return;
        }
        if self.ignores_vote_request(now, &message) {
            return;
        }
        if message.term > self.hard_state.term && !is_pre_vote(&message.body) {
            self.become_follower(now, message.term, None);
        }
        let from = message.from;
        match message.body {
            Body::VoteRequest { binding, last_index, last_term } => {
                self.handle_vote_request(now, from, message.term, binding, last_index, last_term);
            }
            Body::VoteReply { binding, granted } if self.membership.contains(from) => {
                self.handle_vote_reply(now, from, message.term, binding, granted)
            }
            Body::VoteReply { .. } => {}
            Body::Append { previous_index, previous_term, entries, commit, probe } => {
                if self.accept_leader(now, from, message.term) {
                    self.handle_append(from, previous_index, previous_term, entries, commit, probe);
                } else {
                    self.reject_append(from, probe);
                }
            }
            Body::AppendReply { matched, index, probe } => {
                if message.term == self.hard_state.term {
                    self.handle_append_reply(now, from, matched, index, probe);
                }
            }
            Body::Snapshot { index, term, data, probe } => {
                if self.accept_leader(now, from, message.term) {
                    self.handle_snapshot(from, index, term, data, probe);
                }
            }
        }
    }

    /// Whether to ignore a message because it is a vote request within one election timeout of hearing from a live leader,
    /// or during this node's own lease. The term does not matter: leader leases depend on this rule.
    fn ignores_vote_request(&self, now: Millis, message: &Message) -> bool {
        let is_request = matches!(message.body, Body::VoteRequest { .. });
        let heard_recently =
            self.last_leader_contact.is_some_and(|at| now < at + self.settings.election_timeout_ms);
        is_request && (heard_recently || self.leader_lease_valid(now))
    }

    fn accept_leader(&mut self, now: Millis, from: NodeId, term: Term) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        let changed = self.leader != Some(from) || !matches!(self.role, Role::Follower);
        if changed {
            self.become_follower(now, term, Some(from));
        }
        self.last_leader_contact = Some(now);
        self.reset_election_timer(now);
        true
    }

    pub(crate) fn become_follower(&mut self, now: Millis, term: Term, leader: Option<NodeId>) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, voted_for: None };
            self.persist(true, Vec::new());
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer(now);
        self.announce_role();
    }

    pub(crate) fn announce_role(&mut self) {
        let (role, term, leader) = (self.role(), self.hard_state.term, self.leader);
        self.outputs.push(Output::RoleChanged { role, term, leader });
    }

    pub(crate) fn persist(&mut self, hard_state_changed: bool, entries: Vec<Entry>) {
        let hard_state = hard_state_changed.then_some(self.hard_state);
        self.outputs.push(Output::Persist { hard_state, entries });
    }

    pub(crate) fn send(&mut self, to: NodeId, body: Body) {
        self.send_in_term(to, self.hard_state.term, body);
    }

    pub(crate) fn send_in_term(&mut self, to: NodeId, term: Term, body: Body) {
        let message = Message { from: self.settings.id, to, term, body };
        self.outputs.push(Output::Send(message));
    }

    pub(crate) fn peers(&self) -> Vec<NodeId> {
        self.membership.voters().iter().copied().filter(|id| *id != self.settings.id).collect()
    }

    pub(crate) fn reset_election_timer(&mut self, now: Millis) {
        let timeout = self.settings.election_timeout_ms;
        let jitter = self.next_random() % timeout.max(1);
        self.election_due = now + timeout + jitter;
    }

    /// Schedules a repetition of the pre-vote after one to two heartbeat intervals. Voters silently ignore pre-vote requests
    /// for one election timeout after hearing from a leader or restarting; as pre-votes change no term, they can be
    /// repeated soon.
    pub(crate) fn schedule_pre_vote_retry(&mut self, now: Millis) {
        let interval = self.settings.heartbeat_ms.max(1);
        let jitter = self.next_random() % interval;
        self.election_due = now + interval + jitter;
    }

    /// SplitMix64, seeded by the driver.
    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    pub(crate) fn mark_restored(&mut self, index: LogIndex) {
        self.commit = index;
        self.delivered = index;
        self.persisted = index;
    }

    fn deliver_committed(&mut self) {
        if self.delivered >= self.commit {
            return;
        }
        let entries = self.log.slice(self.delivered + 1, self.commit, usize::MAX);
        self.delivered = self.commit;
        self.outputs.push(Output::Commit(entries));
    }
}

/// The voters according to the snapshot, or else the settings, updated by the entries after the snapshot.
fn recovered_membership(settings: &Settings, recovered: &Recovered) -> Membership {
    let mut membership = Membership::new(settings.voters.clone());
    if let Some(voters) = &recovered.voters {
        membership.reset(voters);
    }
    for entry in &recovered.entries {
        if let Payload::Voters(voters) = &entry.payload {
            membership.record_append(entry.index, voters);
        }
    }
    membership
}

fn is_pre_vote(body: &Body) -> bool {
    matches!(
        body,
        Body::VoteRequest { binding: false, .. } | Body::VoteReply { binding: false, granted: true }
    )
}
