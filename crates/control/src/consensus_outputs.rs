//! Processes the outputs of a voter's consensus core: persists and sends, applies committed entries, and
//! handles role changes.

use crate::driver_io::{Moment, Output};
use crate::leader::LeaderState;
use crate::node::{ControlNode, voters_of};
use crate::voter::{Waiter, command_bytes, proposal_dropped};
use dockwood_api::ResultCode;
use dockwood_api::peer::SubmitReply;
use dockwood_consensus::{self as consensus, Entry, Payload, RoleName, Voter};
use dockwood_state::{ControlVoter, decode_command, encode_outcome};
use std::collections::BTreeMap;

/// Total size of the entries that are applied in one turn; a single larger entry is still applied. Between two turns heartbeats
/// are sent and answered, which must not depend on the length of the log.
const MAX_BYTES_PER_TURN: usize = 1 << 20;
/// Number of entries that are applied in one turn.
const MAX_ENTRIES_PER_TURN: usize = 512;

impl<R> ControlNode<R> {
    /// Passes an input to the consensus core and processes its outputs.
    pub(crate) fn step_core(&mut self, now: Moment, input: consensus::Input) {
        let Some(voter) = &mut self.voter else { return };
        for output in voter.core.step(now.monotonic, input) {
            self.handle_core_output(now, output);
        }
    }

    fn handle_core_output(&mut self, now: Moment, output: consensus::Output) {
        match output {
            consensus::Output::Persist { hard_state, entries } => {
                if let Some(voter) = &mut self.voter {
                    voter.log_size.appended(&entries);
                }
                self.outputs.push(Output::Persist { hard_state, entries });
            }
            consensus::Output::Send(message) => self.outputs.push(Output::Send(message)),
            consensus::Output::Commit(entries) => {
                if let Some(voter) = &mut self.voter {
                    voter.committed.extend(entries);
                }
            }
            consensus::Output::Restore { index, term, data } => {
                if let Some(snapshot) = self.with_log(index, term, data.clone()) {
                    self.record_compaction(&snapshot);
                    self.outputs.push(Output::StoreSnapshot(snapshot));
                }
                self.restore(&data);
                let voters = voters_of(&self.board.state);
                if let Some(voter) = &mut self.voter {
                    voter.core.restore_voters(&voters);
                    voter.learn_addresses(&voters);
                    voter.applied_index = index;
                    voter.committed.clear();
                }
            }
            consensus::Output::SnapshotNeeded { to } => self.supply_snapshot(now, to),
            consensus::Output::VotersChanged(voters) => {
                if let Some(voter) = &mut self.voter {
                    voter.learn_addresses(&voters);
                }
                self.outputs.push(Output::VotersChanged(voters));
            }
            // Reads are served under the leader lease; read indexes are never requested.
            consensus::Output::ReadReady { .. } => {}
            consensus::Output::RoleChanged { role, term, leader } => {
                self.role_changed(now, role, term, leader)
            }
        }
    }

    /// Applies committed entries, as many as one turn may take.
    pub(crate) fn apply_committed(&mut self) {
        let mut bytes = 0;
        for _ in 0..MAX_ENTRIES_PER_TURN {
            let next = self.voter.as_mut().and_then(|voter| voter.committed.pop_front());
            let Some(entry) = next else { return };
            bytes += entry.payload_bytes();
            self.apply_entry(entry);
            if bytes >= MAX_BYTES_PER_TURN {
                return;
            }
        }
    }

    /// Whether committed entries are left for the next turns.
    pub fn has_entries_to_apply(&self) -> bool {
        self.voter.as_ref().is_some_and(|voter| !voter.committed.is_empty())
    }

    fn apply_entry(&mut self, entry: Entry) {
        if let Payload::Voters(voters) = &entry.payload {
            let to_control_voter = |voter: &Voter| ControlVoter { id: voter.id, address: voter.address };
            self.board.state.voters = voters.iter().map(to_control_voter).collect();
            let addresses: Vec<String> = voters.iter().map(|voter| voter.address.to_string()).collect();
            self.record_event("VotersChanged", &addresses.join(" "), ResultCode::Ok);
        }
        let command = command_bytes(&entry).and_then(|bytes| decode_command(bytes).ok());
        let applied = command.map(|command| self.apply(&command));
        let revision = self.board.revision();
        let Some(voter) = &mut self.voter else { return };
        voter.applied_index = entry.index;
        let Some(proposal) = voter.proposals.remove(&entry.index) else { return };
        match proposal.waiter {
            Waiter::Controller => {
                if let Some(leader_state) = &mut voter.leader_state {
                    leader_state.controller_command_committed();
                }
            }
            Waiter::Caller(reply) => {
                let answer = match applied {
                    Some(applied) if proposal.term == entry.term => {
                        SubmitReply::Applied { revision, outcome: encode_outcome(&applied.outcome) }
                    }
                    _ => proposal_dropped("another leader's entry took its place"),
                };
                self.outputs.push(Output::SubmitReply(reply, answer));
            }
        }
    }

    fn role_changed(&mut self, now: Moment, role: RoleName, term: u64, leader: Option<u64>) {
        let Some(voter) = &mut self.voter else { return };
        voter.leader = leader.and_then(|id| voter.addresses.get(&id).copied());
        let former_state = voter.leader_state.take();
        let was_leader = former_state.is_some();
        let is_leader = role == RoleName::Leader;
        voter.leader_state = is_leader.then(|| LeaderState::new(term, now.monotonic));
        voter.proxy.leader_changed();
        let leader = voter.leader;
        // This node can no longer learn whether they are committed; the callers resend them.
        let proposals = if is_leader { BTreeMap::new() } else { std::mem::take(&mut voter.proposals) };
        for (_, proposal) in proposals {
            if let Waiter::Caller(reply) = proposal.waiter {
                let answer = proposal_dropped("this node ceased to lead before the command was committed");
                self.outputs.push(Output::SubmitReply(reply, answer));
            }
        }
        if let Some(mut former_state) = former_state {
            let refusals = former_state.responder.refuse_held(leader);
            self.outputs.extend(refusals);
        }
        self.outputs.push(Output::LeaderChanged { leader, leads: is_leader });
        if is_leader {
            self.record_event("Elected", &format!("term {term}"), ResultCode::Ok);
        } else if was_leader {
            self.record_event("SteppedDown", &format!("term {term}"), ResultCode::Ok);
        }
    }
}
