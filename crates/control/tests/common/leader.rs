//! A single-voter leader, for requests of daemons and servers.

#![allow(dead_code)]

use super::request;
use dockwood_api::peer::{LeaseAnswer, LeaseContent};
use dockwood_consensus::{Node, Recovered, Settings};
use dockwood_control::{ControlNode, Input, Moment, Output};
use dockwood_state::State;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time between two ticks, in milliseconds.
pub const TICK_MS: u64 = 20;

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// A single-voter leader with a disk that never fails. Reply handles are the names of the callers.
pub struct Leader {
    pub node: ControlNode<String>,
    pub now: u64,
    answers: Vec<(String, LeaseAnswer)>,
}

impl Leader {
    pub fn elected() -> Leader {
        Leader::elected_with_state(State::default())
    }

    /// A leader that starts from a stored state.
    pub fn elected_with_state(state: State) -> Leader {
        let settings = Settings {
            id: 1,
            voters: vec![1],
            election_timeout_ms: 500,
            heartbeat_ms: 100,
            max_message_bytes: 1 << 20,
            seed: 1,
        };
        let core = Node::new(settings, Recovered::default(), 0);
        let addresses = BTreeMap::from([(1, address())]);
        let node = ControlNode::voter("leader", state, core, addresses);
        let mut leader = Leader { node, now: 0, answers: Vec::new() };
        leader.advance(1_000);
        assert!(leader.node.leads(leader.moment()), "the only voter elects itself");
        leader
    }

    pub fn moment(&self) -> Moment {
        Moment { monotonic: self.now, wall_ms: self.now }
    }

    pub fn step(&mut self, input: Input<String>) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.node.step(self.moment(), input) {
                match output {
                    Output::Persist { entries, .. } => {
                        let last = entries.last().map(|last| (last.index, last.term));
                        inputs.extend(last.map(|(index, term)| Input::Persisted { index, term }));
                    }
                    Output::LeaseReply(name, answer) => self.answers.push((name, answer)),
                    _ => {}
                }
            }
        }
    }

    pub fn advance(&mut self, span_ms: u64) {
        for _ in 0..span_ms / TICK_MS {
            self.now += TICK_MS;
            self.step(Input::Tick);
        }
    }

    /// Handles an input; the leader decides on it in the next step.
    pub fn handle_input(&mut self, input: Input<String>) {
        self.node.handle_input(self.moment(), input);
    }

    pub fn take_answers(&mut self) -> Vec<(String, LeaseAnswer)> {
        std::mem::take(&mut self.answers)
    }

    pub fn request_lease(&mut self, name: &str, applied_revision: u64) {
        let request = request(name, applied_revision);
        self.step(Input::Lease(request, name.to_string()));
    }

    pub fn take_contents(&mut self) -> Vec<(String, LeaseContent)> {
        let contents = std::mem::take(&mut self.answers).into_iter();
        let granted = |(name, answer)| match answer {
            LeaseAnswer::Granted { content, .. } => Some((name, content)),
            LeaseAnswer::NotLeader { .. } => None,
        };
        contents.filter_map(granted).collect()
    }
}
