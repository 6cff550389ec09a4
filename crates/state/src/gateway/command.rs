//! Changes of the gateway's tables.

use super::GatewayTables;
use super::rows::{GroupPhase, GroupPurpose, GroupRow, InstanceRow};
use crate::suspicion::{ServerEnd, TrialRequest};
use dockwood_api::gateway::{Fingerprint, GatewayConfiguration};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A change of the gateway's tables.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GatewayCommand {
    /// Takes a configuration, unless the one held has the same or a higher version.
    Configure(Arc<GatewayConfiguration>),
    /// Notes a report that changes what routing knows of an instance.
    Register(InstanceRow),
    /// An instance signed off: it takes no new work, and no later report of it counts.
    SignOff {
        /// Instance id.
        id: String,
    },
    /// Forgets an instance for good.
    Remove {
        /// Instance id.
        id: String,
    },
    /// Makes a group of free instances.
    Form {
        /// Service.
        service: String,
        /// Model.
        model: String,
        /// What for.
        purpose: GroupPurpose,
        /// Instance ids, head first.
        members: Vec<String>,
        /// Why.
        reason: String,
    },
    /// Ends a group that was formed to preload its model: all members were ready.
    Preloaded {
        /// Group epoch.
        epoch: u64,
    },
    /// Brings a group to another phase.
    SetPhase {
        /// Group epoch.
        epoch: u64,
        /// The phase.
        phase: GroupPhase,
        /// Why.
        reason: String,
    },
    /// A member has left a group that is being closed; it is free, and the group remains until its head has closed.
    Release {
        /// Group epoch.
        epoch: u64,
        /// Instance id; never the head.
        member: String,
    },
    /// Ends a group; its members are free.
    End {
        /// Group epoch.
        epoch: u64,
        /// Why.
        reason: String,
    },
    /// Evacuates a zone, or ends its evacuation; refused if another call that asked for the opposite came first.
    SetEvacuation {
        /// Zone.
        zone: String,
        /// Whether requests are to be kept away from its servers.
        evacuated: bool,
        /// The generation that it was decided on.
        generation: u64,
    },
    /// Notes that callers have begun to send requests.
    NoteRequests,
    /// Takes a group as it is, at daemons that are not voters: they learn of it once it serves.
    Adopt(Arc<GroupRow>),
    /// A server's process has ended while it had requests.
    ServerEnded(ServerEnd),
    /// Asks for a trial of a suspect at a server; refused while another one is under way, or if the server is taken.
    BeginTrial(TrialRequest),
    /// A trial has ended without telling anything.
    EndTrial {
        /// What the request is recognised by.
        fingerprint: Fingerprint,
        /// The trial.
        trial: u64,
    },
    /// Nothing speaks against a request any more.
    ClearRequest {
        /// What it is recognised by.
        fingerprint: Fingerprint,
        /// Who found so, and why.
        reason: String,
    },
    /// Forgets what is old of requests under which servers ended.
    ExpireSuspicions {
        /// The proposer's time, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
}

impl GatewayCommand {
    /// What daemons that are not voters need of a command that has just been applied to `tables`.
    pub(crate) fn for_followers(&self, tables: &GatewayTables) -> Option<GatewayCommand> {
        match self {
            GatewayCommand::Configure(configuration) => {
                Some(GatewayCommand::Configure(Arc::new(configuration.without_document())))
            }
            GatewayCommand::Register(row) if row.is_engine() => engine_registered(tables, &row.id),
            GatewayCommand::Register(_) => Some(self.clone()),
            // They don't know which engines leave.
            GatewayCommand::ServerEnded(end) if tables.is_leaving(&end.instance) => None,
            GatewayCommand::ServerEnded(_) => Some(self.clone()),
            GatewayCommand::SetPhase { epoch, phase: GroupPhase::Open, .. } => {
                tables.groups.get(epoch).filter(|row| row.serves()).cloned().map(GatewayCommand::Adopt)
            }
            GatewayCommand::SetPhase { phase: GroupPhase::Draining | GroupPhase::Cutting, .. }
            | GatewayCommand::SignOff { .. }
            | GatewayCommand::Remove { .. }
            | GatewayCommand::End { .. }
            | GatewayCommand::SetEvacuation { .. }
            | GatewayCommand::ClearRequest { .. }
            | GatewayCommand::ExpireSuspicions { .. }
            | GatewayCommand::Adopt(_) => Some(self.clone()),
            GatewayCommand::SetPhase { .. }
            | GatewayCommand::Form { .. }
            | GatewayCommand::Preloaded { .. }
            | GatewayCommand::Release { .. }
            | GatewayCommand::BeginTrial(_)
            | GatewayCommand::EndTrial { .. }
            | GatewayCommand::NoteRequests => None,
        }
    }
}

/// What the report of a model server changes for daemons that are not voters: its group as it is now, if it heads it; that
/// its group has ended to serve, if it has started again.
fn engine_registered(tables: &GatewayTables, id: &str) -> Option<GatewayCommand> {
    let group = tables.group_of(id)?;
    if group.phase == GroupPhase::Cutting {
        let (epoch, phase, reason) = (group.epoch, group.phase, group.reason.clone());
        return Some(GatewayCommand::SetPhase { epoch, phase, reason });
    }
    let is_serving_head = group.is_headed_by(id) && group.serves();
    is_serving_head.then(|| GatewayCommand::Adopt(group.clone()))
}
