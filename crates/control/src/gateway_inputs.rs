//! What a control node does with the gateway's inputs: servers' reports, entries' loads, and reads.

use crate::census::EntryCensus;
use crate::driver_io::{Moment, Output};
use crate::gateway::GatewayLeadership;
use crate::node::{Batch, ControlNode};
use crate::voter::{VoterPart, Waiter};
use dockwood_api::gateway::{InstanceReport, LoadDigest, LoadReport, PlaceReply, PlaceRequest};
use dockwood_api::peer::{ReadAnswer, SubmitReply};
use dockwood_state::{Command, CommandBody, GatewayTables, Outcome, encode_command, encode_outcome};

impl<R> ControlNode<R> {
    /// The gateway's part of this node's leadership, with the tables that it decides by; `None` unless this node leads.
    fn leading_gateway(&mut self, now: Moment) -> Option<(&mut GatewayLeadership, &GatewayTables)> {
        let leads = self.leads(now);
        let leadership = self.voter.as_mut().and_then(|voter| voter.leadership.as_mut());
        let leadership = leadership.filter(|_| leads)?;
        Some((&mut leadership.gateway, &self.board.state.tables.gateway))
    }

    /// Takes an entry's load; `None` unless this node leads.
    pub(crate) fn exchange_load(&mut self, now: Moment, report: LoadReport) -> Option<LoadDigest> {
        let tables = &self.board.state.tables;
        let census = self.entries.get(tables, EntryCensus::of);
        let entries = census.reachable_entries;
        let is_witness = census.is_witness(tables, &report.daemon);
        let (gateway, tables) = self.leading_gateway(now)?;
        Some(gateway.exchange(now.monotonic, tables, entries, report, is_witness))
    }

    /// Assigns a request to a group; `None` unless this node leads.
    pub(crate) fn assign_place(&mut self, now: Moment, request: &PlaceRequest) -> Option<PlaceReply> {
        let cold_limit = self.options.cold_limit;
        let (gateway, tables) = self.leading_gateway(now)?;
        Some(gateway.assign(now.monotonic, tables, cold_limit, request))
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
