//! A control group of several voters, and a large fleet of daemons that request leases. Messages take one
//! tick.

use super::fleet::{Followers, state_with_daemons};
use super::server_report_command;
use dockwood_api::peer::{DelegatedRequest, DelegationAnswer, LeaseAnswer, LeaseRequest};
use dockwood_consensus::{Message, Node, Recovered, Settings};
use dockwood_control::{ControlNode, Input, Moment, Output};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time between two ticks, in milliseconds.
pub const TICK_MS: u64 = 20;
/// Time after which a daemon abandons a request, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 750;

/// Receiver of an answer.
#[derive(Clone, Copy, Debug)]
pub enum ReplyTo {
    /// A daemon that requested a lease at this time.
    Follower { number: usize, asked_at: u64 },
    /// A voter that waits for the answer to a batch.
    Voter { voter: usize, number: u64 },
    /// The answer is dropped.
    Nobody,
}

/// A message in transit to a voter.
enum VoterMessage {
    Consensus(Message),
    Lease(LeaseRequest, ReplyTo),
    Delegate(Vec<DelegatedRequest>, ReplyTo),
    Delegated { number: u64, answer: Option<DelegationAnswer> },
    Submit(Vec<u8>),
}

/// Messages that the leader had to handle.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderLoad {
    /// Lease requests sent by daemons.
    pub direct: u64,
    /// Batches sent by voters that grant leases on its behalf.
    pub delegated: u64,
}

/// The group and its fleet.
pub struct ControlGroup {
    pub now: u64,
    pub followers: Followers,
    pub leader_load: LeaderLoad,
    nodes: Vec<Option<ControlNode<ReplyTo>>>,
    /// For each daemon, the voter that it asks next.
    targets: Vec<usize>,
    in_transit: Vec<(usize, VoterMessage)>,
    changes: u64,
}

fn address(voter: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 100], 7_000 + voter as u16))
}

fn voter_at(address: SocketAddr) -> usize {
    usize::from(address.port() - 7_000)
}

impl ControlGroup {
    /// A newly started group with this many voters, and this many daemons that follow it.
    pub fn new(voters: usize, daemons: usize) -> ControlGroup {
        let ids: Vec<u64> = (1..=voters as u64).collect();
        let state = state_with_daemons(daemons);
        let node = |voter: usize| {
            let settings = Settings {
                id: voter as u64 + 1,
                voters: ids.clone(),
                election_timeout_ms: 500,
                heartbeat_ms: 100,
                max_message_bytes: 1 << 20,
                seed: voter as u64,
            };
            let core = Node::new(settings, Recovered::default(), 0);
            let addresses: BTreeMap<u64, SocketAddr> =
                (0..voters).map(|voter| (voter as u64 + 1, address(voter))).collect();
            Some(ControlNode::voter(&format!("voter-{voter}"), state.clone(), core, addresses))
        };
        ControlGroup {
            now: 0,
            followers: Followers::new(daemons, 1, state.tables.revision),
            leader_load: LeaderLoad::default(),
            nodes: (0..voters).map(node).collect(),
            targets: (0..daemons).map(|number| number % voters).collect(),
            in_transit: Vec::new(),
            changes: 0,
        }
    }

    fn moment(&self) -> Moment {
        Moment { monotonic: self.now, wall_ms: self.now }
    }

    /// The voter that leads.
    pub fn leader(&self) -> Option<usize> {
        let moment = self.moment();
        self.nodes.iter().position(|node| node.as_ref().is_some_and(|node| node.leads(moment)))
    }

    /// The node of the leader.
    pub fn leader_node(&self) -> Option<&ControlNode<ReplyTo>> {
        self.nodes[self.leader()?].as_ref()
    }

    /// A voter that does not lead.
    pub fn follower_voter(&self) -> usize {
        let leader = self.leader();
        (0..self.nodes.len()).find(|voter| Some(*voter) != leader).expect("a voter other than the leader")
    }

    /// Stops a voter permanently.
    pub fn kill(&mut self, voter: usize) {
        self.nodes[voter] = None;
    }

    /// Submits a change that is relevant to all daemons; its revision is known once it is committed.
    pub fn change(&mut self) {
        self.changes += 1;
        let command = server_report_command(self.now, self.changes);
        if let Some(leader) = self.leader() {
            self.in_transit.push((leader, VoterMessage::Submit(command)));
        }
    }

    /// Advances time, and calls `check` after each tick.
    pub fn advance(&mut self, span_ms: u64, mut check: impl FnMut(&ControlGroup)) {
        for _ in 0..span_ms / TICK_MS {
            self.tick();
            check(self);
        }
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        self.send_requests();
        let arriving = std::mem::take(&mut self.in_transit);
        for (voter, message) in arriving {
            self.deliver(voter, message);
        }
        let moment = self.moment();
        for voter in 0..self.nodes.len() {
            let Some(node) = &mut self.nodes[voter] else { continue };
            node.handle_input(moment, Input::Tick);
            self.finish_turn(voter);
        }
        self.followers.finish_transfers(self.now);
    }

    fn send_requests(&mut self) {
        for number in 0..self.followers.all.len() {
            let asked_at = self.followers.all[number].asked_at;
            if asked_at.is_some_and(|asked_at| self.now >= asked_at + ANSWER_TIMEOUT_MS) {
                self.followers.all[number].asked_at = None;
                self.switch_target(number);
            }
            if let Some(request) = self.followers.ask(number, self.now) {
                let reply = ReplyTo::Follower { number, asked_at: self.now };
                self.in_transit.push((self.targets[number], VoterMessage::Lease(request, reply)));
            }
        }
    }

    fn switch_target(&mut self, number: usize) {
        self.targets[number] = (self.targets[number] + 1) % self.nodes.len();
    }

    fn deliver(&mut self, voter: usize, message: VoterMessage) {
        let leads = self.leader() == Some(voter);
        let moment = self.moment();
        let Some(node) = &mut self.nodes[voter] else {
            if let VoterMessage::Delegate(_, ReplyTo::Voter { voter, number }) = message {
                self.in_transit.push((voter, VoterMessage::Delegated { number, answer: None }));
            }
            return;
        };
        match &message {
            VoterMessage::Lease(..) if leads => self.leader_load.direct += 1,
            VoterMessage::Delegate(..) if leads => self.leader_load.delegated += 1,
            _ => {}
        }
        let input = match message {
            VoterMessage::Consensus(message) => Input::Consensus(vec![message]),
            VoterMessage::Lease(request, reply) => Input::Lease(request, reply),
            VoterMessage::Delegate(requests, reply) => Input::Delegate(requests, reply),
            VoterMessage::Delegated { number, answer } => Input::Delegated { number, answer },
            VoterMessage::Submit(command) => Input::Submit(vec![(command, ReplyTo::Nobody)]),
        };
        node.handle_input(moment, input);
    }

    fn finish_turn(&mut self, voter: usize) {
        let moment = self.moment();
        loop {
            let Some(node) = &mut self.nodes[voter] else { return };
            let outputs = node.finish_turn(moment);
            let mut persisted = None;
            for output in outputs {
                if let Output::Persist { entries, .. } = &output {
                    let last = entries.last().map(|last| (last.index, last.term));
                    persisted = last.or(persisted);
                }
                self.handle_output(voter, output);
            }
            let Some((index, term)) = persisted else { return };
            if let Some(node) = &mut self.nodes[voter] {
                node.handle_input(moment, Input::Persisted { index, term });
            }
        }
    }

    fn handle_output(&mut self, voter: usize, output: Output<ReplyTo>) {
        match output {
            Output::Send(message) => {
                self.in_transit.push((message.to as usize - 1, VoterMessage::Consensus(message)));
            }
            Output::DelegateLeases { leader, number, requests } => {
                let message = VoterMessage::Delegate(requests, ReplyTo::Voter { voter, number });
                self.in_transit.push((voter_at(leader), message));
            }
            Output::DelegationReply(ReplyTo::Voter { voter, number }, answer) => {
                self.in_transit.push((voter, VoterMessage::Delegated { number, answer: Some(answer) }));
            }
            Output::LeaseReply(ReplyTo::Follower { number, asked_at }, answer) => {
                self.handle_answer(number, asked_at, answer);
            }
            _ => {}
        }
    }

    fn handle_answer(&mut self, number: usize, asked_at: u64, answer: LeaseAnswer) {
        if self.followers.all[number].asked_at != Some(asked_at) {
            return;
        }
        match &answer {
            LeaseAnswer::Granted { ask_next, .. } => {
                let next = ask_next.map(voter_at).filter(|voter| self.nodes[*voter].is_some());
                self.targets[number] = next.unwrap_or(self.targets[number]);
            }
            LeaseAnswer::NotLeader { leader: Some(leader) } => self.targets[number] = voter_at(*leader),
            LeaseAnswer::NotLeader { leader: None } => self.switch_target(number),
        }
        if !self.followers.handle_answer(number, self.now, answer) {
            self.followers.all[number].asked_at = None;
        }
    }
}
