//! What a control node does with the gateway's inputs: servers' reports, entries' loads, and reads.

use crate::driver_io::{Moment, Output};
use crate::node::{Batch, ControlNode};
use crate::voter::{VoterPart, Waiter};
use dockwood_api::gateway::{InstanceReport, LoadDigest, LoadReport, PlaceReply, PlaceRequest};
use dockwood_api::peer::{ReadAnswer, SubmitReply};
use dockwood_state::{Command, CommandBody, Outcome, encode_command, encode_outcome};

impl<R> ControlNode<R> {
    /// Takes an entry's load; `None` unless this node leads.
    pub(crate) fn exchange_load(
        &mut self,
        now: Moment,
        report: LoadReport,
        is_witness: bool,
        leads: bool,
    ) -> Option<LoadDigest> {
        let tables = &self.board.state.tables;
        let entries = self.entries.reachable_entries(tables);
        let leadership = self.voter.as_mut().and_then(|voter| voter.leadership.as_mut());
        let leader = leadership.filter(|_| leads)?;
        Some(leader.gateway.exchange(now.monotonic, &tables.gateway, entries, report, is_witness))
    }

    /// Assigns a request to a group; `None` unless this node leads.
    pub(crate) fn assign_place(&mut self, now: Moment, request: &PlaceRequest) -> Option<PlaceReply> {
        let leads = self.leads(now);
        let tables = &self.board.state.tables;
        let leadership = self.voter.as_mut().and_then(|voter| voter.leadership.as_mut());
        let leader = leadership.filter(|_| leads)?;
        Some(leader.gateway.assign(now.monotonic, &tables.gateway, request))
    }

    /// The lease shows that nobody else can have committed anything since; all that was committed before is applied
    /// once an entry of the own term is.
    pub(crate) fn read_revision(&self, now: Moment) -> ReadAnswer {
        let is_current = self.voter.as_ref().is_some_and(VoterPart::applied_own_term);
        if self.leads(now) && is_current {
            ReadAnswer::Current { revision: self.board.revision() }
        } else {
            ReadAnswer::NotLeader { leader: self.leader_address() }
        }
    }

    /// Takes a server's report; it is answered once what it changes is committed.
    pub(crate) fn register(&mut self, now: Moment, report: InstanceReport, reply: R, batch: &mut Batch<R>) {
        let leads = self.leads(now);
        let leader = self.leader_address();
        let tables = &self.board.state.tables;
        let leadership = self.voter.as_mut().and_then(|voter| voter.leadership.as_mut());
        let Some(leadership) = leadership.filter(|_| leads) else {
            self.outputs.push(Output::SubmitReply(reply, SubmitReply::NotLeader { leader }));
            return;
        };
        match leadership.gateway.register(now.monotonic, &tables.gateway, &report) {
            Some(command) => {
                let body = CommandBody::Gateway(command);
                batch.commands.push(encode_command(&Command { at_ms: now.wall_ms, body }));
                batch.waiters.push(Waiter::Caller(reply));
            }
            None => {
                let outcome = encode_outcome(&Outcome::Applied);
                let answer = SubmitReply::Applied { revision: tables.revision, outcome };
                self.outputs.push(Output::SubmitReply(reply, answer));
            }
        }
    }
}
