//! Drives one daemon's control node and carries out what it asks for, on its simulated disk and network.

use crate::check::Checker;
use crate::events::{Event, ReplyTo, ToDaemon};
use crate::fault::Defect;
use crate::network::Place;
use crate::world::{World, daemon_at};
use dockwood_control::{ControlNode, Input, Output};
use std::collections::VecDeque;

impl World {
    /// Gives a daemon's control node an input and carries out what it asks for.
    pub fn step(&mut self, index: usize, input: Input<ReplyTo>) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let moment = self.daemons[index].moment(self.now);
            if self.defect == Some(Defect::ChangeIdsForgotten)
                && let Some(node) = &mut self.daemons[index].node
            {
                node.forget_change_ids();
            }
            let Some(node) = &mut self.daemons[index].node else { return };
            for output in node.step(moment, input) {
                match self.carry_out(index, output) {
                    Carried::Done => {}
                    Carried::Follow(input) => inputs.push_back(*input),
                    Carried::Died => return,
                }
            }
            self.check_node(index);
        }
    }

    pub(crate) fn check_node(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let revision = daemon.revision();
        if let Some(core) = daemon.node.as_ref().and_then(ControlNode::core) {
            let entries = core.committed_after(self.checked_index[index]);
            self.checked_index[index] = core.commit_index();
            self.checker.committed(self.now, index, &entries);
        }
        if let Some(term) = Checker::claims_to_lead(daemon) {
            self.checker.elected(self.now, index, term);
        }
        if let Some(node) = &daemon.node {
            self.checker.tables(self.now, node.tables(), &self.machines);
        }
        daemon.highest_revision = daemon.highest_revision.max(revision);
    }

    pub(crate) fn carry_out(&mut self, index: usize, output: Output<ReplyTo>) -> Carried {
        let own = Place::Daemon(index);
        match output {
            Output::Persist { hard_state, entries } => {
                let dies = self.daemons[index].dies_at_sync;
                let last = entries.last().map(|entry| (entry.index, entry.term));
                if dies != Some(true) {
                    self.daemons[index].disk.persist(hard_state, entries);
                }
                if dies.is_some() {
                    self.kill_daemon(index, true);
                    return Carried::Died;
                }
                return last.map_or(Carried::Done, |(index, term)| {
                    Carried::Follow(Box::new(Input::Persisted { index, term }))
                });
            }
            Output::StoreSnapshot(snapshot) => self.daemons[index].disk.store_snapshot(snapshot),
            Output::Send(message) => {
                let to = message.to as usize - 1;
                self.transmit(own, to, None, ToDaemon::Consensus(message));
            }
            Output::SubmitReply(ReplyTo::Change { change, attempt }, reply) => {
                for delay in self.network.delays(&mut self.random, own, Place::Operator) {
                    let event = Event::ChangeAnswered { change, attempt, from: index, reply: reply.clone() };
                    self.queue.push(self.now + delay, event);
                }
            }
            Output::LeaseReply(ReplyTo::Lease { daemon, incarnation, poll }, answer) => {
                let message = ToDaemon::LeaseAnswer { poll, answer: Box::new(answer) };
                self.transmit(own, daemon, Some(incarnation), message);
            }
            Output::ObserveReply(ReplyTo::Observation { daemon, incarnation }, taken) => {
                self.transmit(own, daemon, Some(incarnation), ToDaemon::ObserveAnswer { taken });
            }
            Output::SendOrder(order) => return self.send_order(index, *order),
            Output::LeaderChanged { leader, .. } => {
                if let Some(leader) = leader.and_then(daemon_at) {
                    self.daemons[index].leader = Some(leader);
                }
            }
            _ => {}
        }
        Carried::Done
    }
}

/// What carrying an output out led to.
pub(crate) enum Carried {
    Done,
    Follow(Box<Input<ReplyTo>>),
    /// The process died on the way.
    Died,
}
