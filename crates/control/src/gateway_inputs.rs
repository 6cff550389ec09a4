//! Handles the gateway inputs of a control node: server reports, entries' loads, and reads.

use crate::driver_io::{Moment, Output};
use crate::entry_summary::EntrySummary;
use crate::gateway::GatewayLeaderState;
use crate::heartbeat_origin::ForeignHeartbeat;
use crate::node::{Batch, ControlNode, Options};
use crate::voter::Waiter;
use dockwood_api::ResultCode;
use dockwood_api::gateway::{InstanceReport, LoadDigest, LoadReport, PlaceReply, PlaceRequest};
use dockwood_api::peer::{ReadAnswer, SubmitReply};
use dockwood_state::{Command, CommandBody, GatewayTables, Outcome, encode_command, encode_outcome};

impl<R> ControlNode<R> {
    /// The gateway part of the leader state and the tables that it works on; `None` if this node does not
    /// lead, or its tables may be outdated.
    fn leading_gateway(&mut self, now: Moment) -> Option<(&mut GatewayLeaderState, &GatewayTables)> {
        let leads = self.leads_with_current_state(now);
        let leader_state = self.voter.as_mut().and_then(|voter| voter.leader_state.as_mut());
        let leader_state = leader_state.filter(|_| leads)?;
        Some((&mut leader_state.gateway, &self.board.state.tables.gateway))
    }

    /// Records an entry's load; `None` if this node does not lead.
    pub(crate) fn exchange_load(&mut self, now: Moment, report: LoadReport) -> Option<LoadDigest> {
        let tables = &self.board.state.tables;
        let summary = self.entry_summary.get(tables, EntrySummary::of);
        let entries = summary.reachable_entries;
        let is_witness = summary.is_witness(tables, &report.daemon);
        let (gateway, tables) = self.leading_gateway(now)?;
        Some(gateway.exchange_load(now.monotonic, tables, entries, report, is_witness))
    }

    /// Assigns a request to a group; `None` if this node does not lead.
    pub(crate) fn assign_place(&mut self, now: Moment, request: &PlaceRequest) -> Option<PlaceReply> {
        let Options { cold_limit, started_at, .. } = self.options;
        let (gateway, tables) = self.leading_gateway(now)?;
        gateway.limit_cold_heads(cold_limit, started_at);
        Some(gateway.assign(now.monotonic, tables, request))
    }

    /// The leader lease guarantees that no other node has committed anything since; everything committed
    /// earlier is applied once an entry of the own term is.
    pub(crate) fn read_revision(&self, now: Moment) -> ReadAnswer {
        if self.leads_with_current_state(now) {
            ReadAnswer::Current { revision: self.board.revision() }
        } else {
            ReadAnswer::NotLeader { leader: self.leader_address() }
        }
    }

    /// Handles a server's report; it is answered once the resulting change is committed.
    pub(crate) fn register(&mut self, now: Moment, report: InstanceReport, reply: R, batch: &mut Batch<R>) {
        let leads = self.leads_with_current_state(now);
        let leader = self.leader_address();
        let tables = &self.board.state.tables;
        let leader_state = self.voter.as_mut().and_then(|voter| voter.leader_state.as_mut());
        let Some(leader_state) = leader_state.filter(|_| leads) else {
            self.outputs.push(Output::SubmitReply(reply, SubmitReply::NotLeader { leader }));
            return;
        };
        let command = leader_state.gateway.register(now.monotonic, &tables.gateway, &report);
        let foreign = leader_state.gateway.take_foreign_heartbeat();
        let unexpected = leader_state.gateway.take_unexpected_membership();
        match command {
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
        if let Some(ForeignHeartbeat { id, service, address }) = foreign {
            let message =
                format!("a heartbeat for {id} that names service {service} at {address} is not its own");
            self.record_event("ForeignHeartbeat", &message, ResultCode::Ok);
        }
        if let Some(unexpected) = unexpected {
            self.record_event("UnexpectedMembership", &unexpected.message(), ResultCode::Ok);
        }
    }
}
