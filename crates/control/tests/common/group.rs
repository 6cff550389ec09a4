//! A control group of several voters, and the daemons of a large fleet that ask it for leases. Messages take one tick.

use super::fleet::{Followers, fleet_of};
use super::plain_server_changes;
use dockwood_api::peer::{DelegatedRequest, DelegationAnswer, LeaseAnswer, LeaseRequest};
use dockwood_consensus::{Message, Node, Recovered, Settings};
use dockwood_control::{ControlNode, Input, Moment, Output};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time between two ticks, in milliseconds.
pub const TICK_MS: u64 = 20;
/// A daemon gives up a request after this time, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 750;

/// Whom an answer goes to.
#[derive(Clone, Copy, Debug)]
pub enum ReplyTo {
    /// A daemon that asked for a lease at a time.
    Follower { number: usize, asked_at: u64 },
    /// A voter, which waits for the answer to a message.
    Voter { voter: usize, number: u64 },
    /// Nobody.
    Nobody,
}

/// A message on its way to a voter.
enum ToVoter {
    Consensus(Message),
    Lease(LeaseRequest, ReplyTo),
    Delegate(Vec<DelegatedRequest>, ReplyTo),
    Delegated { number: u64, answer: Option<DelegationAnswer> },
    Submit(Vec<u8>),
}

/// What the leader of a fleet had to do.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    /// Requests for leases that daemons sent to it.
    pub direct: u64,
    /// Messages of voters that granted leases in its name.
    pub delegated: u64,
}

/// The group and its fleet.
pub struct ControlGroup {
    pub now: u64,
    pub followers: Followers,
    pub work: Work,
    nodes: Vec<Option<ControlNode<ReplyTo>>>,
    /// Voter that each daemon asks next.
    targets: Vec<usize>,
    on_way: Vec<(usize, ToVoter)>,
    changes: u64,
}

fn address(voter: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 100], 7_000 + voter as u16))
}

fn voter_at(address: SocketAddr) -> usize {
    usize::from(address.port() - 7_000)
}

impl ControlGroup {
    /// A group of so many voters that has just started, before so many daemons that follow it.
    pub fn new(voters: usize, daemons: usize) -> ControlGroup {
        let ids: Vec<u64> = (1..=voters as u64).collect();
        let state = fleet_of(daemons);
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
            work: Work::default(),
            nodes: (0..voters).map(node).collect(),
            targets: (0..daemons).map(|number| number % voters).collect(),
            on_way: Vec::new(),
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

    /// The leader's node.
    pub fn leader_node(&self) -> Option<&ControlNode<ReplyTo>> {
        self.nodes[self.leader()?].as_ref()
    }

    /// A voter that does not lead.
    pub fn follower_voter(&self) -> usize {
        let leader = self.leader();
        (0..self.nodes.len()).find(|voter| Some(*voter) != leader).expect("another voter")
    }

    /// Ends a voter for good.
    pub fn kill(&mut self, voter: usize) {
        self.nodes[voter] = None;
    }

    /// A change that all daemons need; the revision that it makes is known once it is committed.
    pub fn change(&mut self) {
        self.changes += 1;
        let command = plain_server_changes(self.now, self.changes);
        if let Some(leader) = self.leader() {
            self.on_way.push((leader, ToVoter::Submit(command)));
        }
    }

    /// Lets time pass, and calls `check` after each tick.
    pub fn pass(&mut self, span_ms: u64, mut check: impl FnMut(&ControlGroup)) {
        for _ in 0..span_ms / TICK_MS {
            self.tick();
            check(self);
        }
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        self.ask();
        let arriving = std::mem::take(&mut self.on_way);
        for (voter, message) in arriving {
            self.deliver(voter, message);
        }
        let moment = self.moment();
        for voter in 0..self.nodes.len() {
            let Some(node) = &mut self.nodes[voter] else { continue };
            node.take(moment, Input::Tick);
            self.settle(voter);
        }
        self.followers.take_copies(self.now);
    }

    fn ask(&mut self) {
        for number in 0..self.followers.all.len() {
            let asked_at = self.followers.all[number].asked_at;
            if asked_at.is_some_and(|asked_at| self.now >= asked_at + ANSWER_TIMEOUT_MS) {
                self.followers.all[number].asked_at = None;
                self.ask_another(number);
            }
            if let Some(request) = self.followers.ask(number, self.now) {
                let reply = ReplyTo::Follower { number, asked_at: self.now };
                self.on_way.push((self.targets[number], ToVoter::Lease(request, reply)));
            }
        }
    }

    fn ask_another(&mut self, number: usize) {
        self.targets[number] = (self.targets[number] + 1) % self.nodes.len();
    }

    fn deliver(&mut self, voter: usize, message: ToVoter) {
        let leads = self.leader() == Some(voter);
        let moment = self.moment();
        let Some(node) = &mut self.nodes[voter] else {
            if let ToVoter::Delegate(_, ReplyTo::Voter { voter, number }) = message {
                self.on_way.push((voter, ToVoter::Delegated { number, answer: None }));
            }
            return;
        };
        match &message {
            ToVoter::Lease(..) if leads => self.work.direct += 1,
            ToVoter::Delegate(..) if leads => self.work.delegated += 1,
            _ => {}
        }
        let input = match message {
            ToVoter::Consensus(message) => Input::Consensus(vec![message]),
            ToVoter::Lease(request, reply) => Input::Lease(request, reply),
            ToVoter::Delegate(requests, reply) => Input::Delegate(requests, reply),
            ToVoter::Delegated { number, answer } => Input::Delegated { number, answer },
            ToVoter::Submit(command) => Input::Submit(vec![(command, ReplyTo::Nobody)]),
        };
        node.take(moment, input);
    }

    fn settle(&mut self, voter: usize) {
        let moment = self.moment();
        loop {
            let Some(node) = &mut self.nodes[voter] else { return };
            let outputs = node.settle(moment);
            let mut persisted = None;
            for output in outputs {
                if let Output::Persist { entries, .. } = &output {
                    let last = entries.last().map(|last| (last.index, last.term));
                    persisted = last.or(persisted);
                }
                self.carry_out(voter, output);
            }
            let Some((index, term)) = persisted else { return };
            if let Some(node) = &mut self.nodes[voter] {
                node.take(moment, Input::Persisted { index, term });
            }
        }
    }

    fn carry_out(&mut self, voter: usize, output: Output<ReplyTo>) {
        match output {
            Output::Send(message) => {
                self.on_way.push((message.to as usize - 1, ToVoter::Consensus(message)));
            }
            Output::DelegateLeases { leader, number, requests } => {
                let message = ToVoter::Delegate(requests, ReplyTo::Voter { voter, number });
                self.on_way.push((voter_at(leader), message));
            }
            Output::DelegationReply(ReplyTo::Voter { voter, number }, answer) => {
                self.on_way.push((voter, ToVoter::Delegated { number, answer: Some(answer) }));
            }
            Output::LeaseReply(ReplyTo::Follower { number, asked_at }, answer) => {
                self.take_answer(number, asked_at, answer);
            }
            _ => {}
        }
    }

    fn take_answer(&mut self, number: usize, asked_at: u64, answer: LeaseAnswer) {
        if self.followers.all[number].asked_at != Some(asked_at) {
            return;
        }
        match &answer {
            LeaseAnswer::Granted { ask_next, .. } => {
                let next = ask_next.map(voter_at).filter(|voter| self.nodes[*voter].is_some());
                self.targets[number] = next.unwrap_or(self.targets[number]);
            }
            LeaseAnswer::NotLeader { leader: Some(leader) } => self.targets[number] = voter_at(*leader),
            LeaseAnswer::NotLeader { leader: None } => self.ask_another(number),
        }
        if !self.followers.take_answer(number, self.now, answer) {
            self.followers.all[number].asked_at = None;
        }
    }
}
