//! What a voter does with the outputs of its consensus core: stores and sends, applies what is committed, and takes up or
//! lays down the leader's part.

use crate::driver_io::{Moment, Output};
use crate::leader::Leadership;
use crate::node::{ControlNode, voters_of};
use crate::voter::{Waiter, command_bytes, dropped};
use dockwood_api::ResultCode;
use dockwood_api::peer::SubmitReply;
use dockwood_consensus::{self as consensus, Entry, Payload, RoleName, Voter};
use dockwood_state::{ControlVoter, decode_command, encode_outcome};
use std::collections::BTreeMap;

impl<R> ControlNode<R> {
    /// Gives the consensus core an input and takes what follows.
    pub(crate) fn drive(&mut self, now: Moment, input: consensus::Input) {
        let Some(voter) = &mut self.voter else { return };
        for output in voter.core.step(now.monotonic, input) {
            self.take_core_output(now, output);
        }
    }

    fn take_core_output(&mut self, now: Moment, output: consensus::Output) {
        match output {
            consensus::Output::Persist { hard_state, entries } => {
                self.outputs.push(Output::Persist { hard_state, entries });
            }
            consensus::Output::Send(message) => self.outputs.push(Output::Send(message)),
            consensus::Output::Commit(entries) => entries.into_iter().for_each(|entry| self.commit(entry)),
            consensus::Output::Restore { index, term, data } => {
                self.store_snapshot(index, term, data.clone());
                self.restore(&data);
                let voters = voters_of(&self.board.state);
                if let Some(voter) = &mut self.voter {
                    voter.core.restore_voters(&voters);
                    voter.learn_addresses(&voters);
                    voter.applied_index = index;
                }
            }
            consensus::Output::SnapshotNeeded { to } => self.supply_snapshot(now, to),
            consensus::Output::VotersChanged(voters) => {
                if let Some(voter) = &mut self.voter {
                    voter.learn_addresses(&voters);
                }
                self.outputs.push(Output::VotersChanged(voters));
            }
            // Reads are answered under the leader's lease; nothing asks the core for an index.
            consensus::Output::ReadReady { .. } => {}
            consensus::Output::RoleChanged { role, term, leader } => {
                self.role_changed(now, role, term, leader)
            }
        }
    }

    fn commit(&mut self, entry: Entry) {
        if let Payload::Voters(voters) = &entry.payload {
            let control_voter = |voter: &Voter| ControlVoter { id: voter.id, address: voter.address };
            self.board.state.voters = voters.iter().map(control_voter).collect();
            let named: Vec<String> = voters.iter().map(|voter| voter.address.to_string()).collect();
            self.record_own("VotersChanged", &named.join(" "), ResultCode::Ok);
        }
        let command = command_bytes(&entry).and_then(|bytes| decode_command(bytes).ok());
        let applied = command.map(|command| self.apply(&command));
        let revision = self.board.revision();
        let Some(voter) = &mut self.voter else { return };
        voter.applied_index = entry.index;
        let Some(proposal) = voter.proposals.remove(&entry.index) else { return };
        match proposal.waiter {
            Waiter::Controller => {
                if let Some(leadership) = &mut voter.leadership {
                    leadership.controller_command_committed();
                }
            }
            Waiter::Caller(reply) => {
                let answer = match applied {
                    Some(applied) if proposal.term == entry.term => {
                        SubmitReply::Applied { revision, outcome: encode_outcome(&applied.outcome) }
                    }
                    _ => dropped("another leader's entry took its place"),
                };
                self.outputs.push(Output::SubmitReply(reply, answer));
            }
        }
    }

    fn role_changed(&mut self, now: Moment, role: RoleName, term: u64, leader: Option<u64>) {
        let Some(voter) = &mut self.voter else { return };
        voter.leader = leader.and_then(|id| voter.addresses.get(&id).copied());
        let former = voter.leadership.take();
        let led_before = former.is_some();
        let leads = role == RoleName::Leader;
        voter.leadership = leads.then(|| Leadership::new(term, now.monotonic));
        voter.proxy.leader_changed();
        let leader = voter.leader;
        // Whether they will be committed is no longer this node's to know; the callers resend.
        let proposals = if leads { BTreeMap::new() } else { std::mem::take(&mut voter.proposals) };
        for (_, proposal) in proposals {
            if let Waiter::Caller(reply) = proposal.waiter {
                let answer = dropped("this node ceased to lead before the command was committed");
                self.outputs.push(Output::SubmitReply(reply, answer));
            }
        }
        if let Some(mut former) = former {
            let refusals = former.answers.refuse_held(leader);
            self.outputs.extend(refusals);
        }
        self.outputs.push(Output::LeaderChanged { leader, leads });
        if leads {
            self.record_own("Elected", &format!("term {term}"), ResultCode::Ok);
        } else if led_before {
            self.record_own("SteppedDown", &format!("term {term}"), ResultCode::Ok);
        }
    }
}
