//! The state machine: applies every command of the replicated log.

use crate::change::ChangeTable;
use crate::claim::ClaimTable;
use crate::command::{Command, CommandBody, Outcome};
use crate::tables::Tables;
use dockwood_api::resource::ResourceKey;
use dockwood_api::{ApiError, ResultCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The whole replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Tables that every daemon holds.
    pub tables: Tables,
    /// Recorded outcomes of operators' changes, which answer resends.
    pub changes: ChangeTable,
    /// Claims on request ids; complete at voters only.
    pub claims: ClaimTable,
    /// Voters of the control group according to its log; empty if the membership never changed, and on daemons that
    /// are not voters.
    pub voters: Vec<ControlVoter>,
}

/// A voter of the control group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlVoter {
    /// Node id.
    pub id: u64,
    /// Peer address.
    pub address: SocketAddr,
}

/// The result of applying one command.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// Returned to the proposer.
    pub outcome: Outcome,
    /// Keys of the resources that changed, for watches and the timeline.
    pub changed_keys: Vec<ResourceKey>,
}

impl Applied {
    pub(crate) fn with_changes(changed_keys: Vec<ResourceKey>) -> Self {
        Applied { outcome: Outcome::Applied, changed_keys }
    }

    pub(crate) fn outcome(outcome: Outcome) -> Self {
        Applied { outcome, changed_keys: Vec::new() }
    }

    pub(crate) fn refused(code: ResultCode, message: impl Into<String>) -> Self {
        Applied::outcome(Outcome::Refused(ApiError::new(code, message)))
    }
}

impl State {
    /// Applies one command. Every configuration command increments the revision, even if it is refused, so that
    /// revisions count commands and can be compared between daemons.
    pub fn apply(&mut self, command: &Command) -> Applied {
        let tables = &mut self.tables;
        tables.now_ms = tables.now_ms.max(command.at_ms);
        if command.body.is_configuration() {
            tables.revision += 1;
        }
        match &command.body {
            CommandBody::Change(request) => self.apply_change(request),
            CommandBody::JoinDaemon { record, incarnation } => tables.join_daemon(record, *incarnation),
            CommandBody::SetLiveness { daemon, incarnation, liveness } => {
                tables.set_liveness(daemon, *incarnation, *liveness)
            }
            CommandBody::UpdateDaemons(updates) => tables.update_daemons(updates),
            CommandBody::FormReplica { deployment, members, reason } => {
                tables.form_replica(deployment, members, reason)
            }
            CommandBody::ReformReplica { replica, epoch, members, reason } => {
                tables.reform_replica(replica, *epoch, members, reason)
            }
            CommandBody::DrainReplica { replica, epoch, reason } => {
                tables.drain_replica(replica, *epoch, reason)
            }
            CommandBody::DissolveReplica { replica, epoch, .. } => tables.dissolve_replica(replica, *epoch),
            CommandBody::OrderDone { server, fence } => tables.order_done(server, *fence),
            CommandBody::RepeatOrder { server, fence } => tables.repeat_order(server, *fence),
            CommandBody::AssignPool { pool, coordinator, standby } => {
                tables.assign_pool(pool, coordinator.as_deref(), standby.as_deref())
            }
            CommandBody::AssignWatcher { replica, watcher } => {
                tables.assign_watcher(replica, watcher.as_deref())
            }
            CommandBody::Gateway(command) => tables.gateway.apply(command),
            CommandBody::Claim(requests) => {
                let now_ms = tables.now_ms;
                let verdicts = requests.iter().map(|request| self.claims.claim(request, now_ms)).collect();
                Applied::outcome(Outcome::Claims(verdicts))
            }
            CommandBody::SettleClaims(settlements) => {
                settlements.iter().for_each(|settlement| self.claims.settle(settlement));
                Applied::outcome(Outcome::Applied)
            }
        }
    }
}
