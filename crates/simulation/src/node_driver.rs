//! Drives a daemon's control node, and executes its outputs on the simulated disk and network.

use crate::check::Checker;
use crate::events::{DaemonMessage, Event, ReplyTarget};
use crate::fault::Defect;
use crate::network::Endpoint;
use crate::world::{World, daemon_at};
use dockwood_control::{ControlNode, Input, Output};
use std::collections::VecDeque;

impl World {
    /// Passes an input to a daemon's control node and executes the outputs.
    pub fn step(&mut self, index: usize, input: Input<ReplyTarget>) {
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
                match self.execute_output(index, output) {
                    OutputEffect::Done => {}
                    OutputEffect::NextInput(input) => inputs.push_back(*input),
                    OutputEffect::Crashed => return,
                }
            }
            self.check_node(index);
        }
    }

    pub(crate) fn check_node(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let revision = daemon.revision();
        if let Some(core) = daemon.node.as_ref().and_then(ControlNode::core) {
            let entries = core.committed_after(self.checked_log_index[index]);
            self.checked_log_index[index] = core.commit_index();
            self.checker.check_committed(self.now, index, &entries);
        }
        if let Some(term) = Checker::leading_term(daemon) {
            self.checker.check_elected(self.now, index, term);
        }
        if let Some(node) = &daemon.node {
            self.checker.check_tables(self.now, node.tables(), &self.machines);
        }
        daemon.highest_revision = daemon.highest_revision.max(revision);
    }

    pub(crate) fn execute_output(&mut self, index: usize, output: Output<ReplyTarget>) -> OutputEffect {
        let sender = Endpoint::Daemon(index);
        match output {
            Output::Persist { hard_state, entries } => {
                let crash = self.daemons[index].crash_at_sync;
                let last = entries.last().map(|entry| (entry.index, entry.term));
                if crash != Some(true) {
                    self.daemons[index].disk.persist(hard_state, entries);
                }
                if crash.is_some() {
                    self.kill_daemon(index, true);
                    return OutputEffect::Crashed;
                }
                return last.map_or(OutputEffect::Done, |(index, term)| {
                    OutputEffect::NextInput(Box::new(Input::Persisted { index, term }))
                });
            }
            Output::StoreSnapshot(snapshot) => self.daemons[index].disk.store_snapshot(snapshot),
            Output::Send(message) => {
                let to = message.to as usize - 1;
                self.send_to_daemon(sender, to, None, DaemonMessage::Consensus(message));
            }
            Output::SubmitReply(ReplyTarget::Change { change, attempt }, reply) => {
                for delay in self.network.delivery_delays(&mut self.random, sender, Endpoint::Operator) {
                    let event = Event::ChangeAnswered { change, attempt, from: index, reply: reply.clone() };
                    self.queue.push(self.now + delay, event);
                }
            }
            Output::LeaseReply(ReplyTarget::Lease { daemon, incarnation, request_id }, answer) => {
                let message = DaemonMessage::LeaseAnswer { request_id, answer: Box::new(answer) };
                self.send_to_daemon(sender, daemon, Some(incarnation), message);
            }
            Output::ObserveReply(ReplyTarget::Observation { daemon, incarnation }, accepted) => {
                self.send_to_daemon(
                    sender,
                    daemon,
                    Some(incarnation),
                    DaemonMessage::ObserveAnswer { accepted },
                );
            }
            Output::SendOrder(order) => return self.send_order(index, *order),
            Output::LeaderChanged { leader, .. } => {
                if let Some(leader) = leader.and_then(daemon_at) {
                    self.daemons[index].leader = Some(leader);
                }
            }
            _ => {}
        }
        OutputEffect::Done
    }
}

/// The effect of executing an output.
pub(crate) enum OutputEffect {
    Done,
    /// Another input for the control node.
    NextInput(Box<Input<ReplyTarget>>),
    /// The process crashed.
    Crashed,
}
