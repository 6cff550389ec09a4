//! Commands that change the gateway's tables.

use super::GatewayTables;
use super::rows::{GroupPhase, GroupPurpose, GroupRow, InstanceRow};
use crate::prompt_suspicion::SuspectPrompt;
use crate::suspicion::{CrashReport, TrialRequest};
use dockwood_api::gateway::{Fingerprint, GatewayConfiguration, PartSet, PromptPart};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A change to the gateway's tables.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GatewayCommand {
    /// Installs a configuration, unless the current one has the same or a higher version.
    Configure(Arc<GatewayConfiguration>),
    /// Stores a report that changes what routing knows about an instance.
    Register(InstanceRow),
    /// An instance deregistered: it takes no new work, and its later reports are ignored.
    SignOff {
        /// Instance id.
        id: String,
    },
    /// Removes an instance permanently.
    Remove {
        /// Instance id.
        id: String,
    },
    /// Forms a group from free instances.
    Form {
        /// Service.
        service: String,
        /// Model.
        model: String,
        /// Purpose of the group.
        purpose: GroupPurpose,
        /// Instance ids, head first.
        members: Vec<String>,
        /// Reason shown to operators.
        reason: String,
    },
    /// Ends a group that was formed to preload its model, after all members were ready.
    Preloaded {
        /// Group epoch.
        epoch: u64,
    },
    /// Moves a group to another phase.
    SetPhase {
        /// Group epoch.
        epoch: u64,
        /// The new phase.
        phase: GroupPhase,
        /// Reason shown to operators.
        reason: String,
    },
    /// A member has left a group that is being closed. The member is free; the group remains until its head has closed.
    Release {
        /// Group epoch.
        epoch: u64,
        /// Instance id; never the head.
        member: String,
    },
    /// Ends a group and frees its members.
    End {
        /// Group epoch.
        epoch: u64,
        /// Reason shown to operators.
        reason: String,
    },
    /// Evacuates a zone, or ends its evacuation; refused if a call that requested the opposite was applied first.
    SetEvacuation {
        /// Zone.
        zone: String,
        /// Whether to stop routing requests to the zone's servers.
        evacuated: bool,
        /// The generation that the decision was based on.
        generation: u64,
    },
    /// Records that callers have begun to send requests.
    NoteRequests,
    /// Inserts a complete group row, on daemons that are not voters: they receive a group only once it serves.
    Adopt(Arc<GroupRow>),
    /// A server process ended while it was running requests, as reported by daemons that do not name their prompts.
    ServerEnded(CrashReport),
    /// Requests a trial of a suspect request on a server; refused while another trial of the request is running, or if
    /// the server is running a trial of another suspect.
    BeginTrial(TrialRequest),
    /// A trial ended without a result.
    EndTrial {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// The trial.
        trial: u64,
    },
    /// Clears a request of all suspicion.
    ClearRequest {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Who cleared it, and why.
        reason: String,
    },
    /// Removes expired crashes, quarantines and trials.
    ExpireSuspicions {
        /// The proposer's wall clock, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// A server process ended while it was running requests.
    ServerCrashed {
        /// The crash, with the requests.
        report: CrashReport,
        /// The prompts of these requests, as far as they have parts that other requests may share.
        prompts: Vec<SuspectPrompt>,
    },
    /// A request with these parts received a complete response from a server that was running afterwards.
    RecordResponse {
        /// Parts of the prompts.
        parts: Vec<PromptPart>,
        /// Number of the newest crash that the reporting daemon knew of when the response was complete.
        known_crash: u64,
        /// The reporting daemon.
        daemon: String,
        /// Its wall clock, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Quarantines parts of prompts.
    QuarantineParts {
        /// The parts; requests with all of them are refused.
        parts: PartSet,
        /// The proposer's wall clock, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Clears parts of prompts of all suspicion.
    ReleaseParts {
        /// The parts.
        parts: PartSet,
        /// Who released them, and why.
        reason: String,
    },
    /// No order to join this group can be executed any more: every one was answered, or is void.
    SettleJoins {
        /// Group epoch.
        epoch: u64,
    },
}

impl GatewayCommand {
    /// The form in which a command that was just applied to `tables` is sent to daemons that are not voters, if they
    /// need it.
    pub(crate) fn for_non_voters(&self, tables: &GatewayTables) -> Option<GatewayCommand> {
        match self {
            GatewayCommand::Configure(configuration) => {
                Some(GatewayCommand::Configure(Arc::new(configuration.without_document())))
            }
            GatewayCommand::Register(row) if row.is_engine() => engine_registered(tables, &row.id),
            GatewayCommand::Register(_) => Some(self.clone()),
            // Non-voters don't hold engines, so they can't tell which of them are leaving.
            GatewayCommand::ServerEnded(end) if tables.is_leaving(&end.instance) => None,
            GatewayCommand::ServerEnded(_) => Some(self.clone()),
            GatewayCommand::ServerCrashed { report, .. } if tables.is_leaving(&report.instance) => None,
            GatewayCommand::ServerCrashed { .. } => Some(self.clone()),
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
            | GatewayCommand::RecordResponse { .. }
            | GatewayCommand::QuarantineParts { .. }
            | GatewayCommand::ReleaseParts { .. }
            | GatewayCommand::Adopt(_) => Some(self.clone()),
            GatewayCommand::SetPhase { .. }
            | GatewayCommand::Form { .. }
            | GatewayCommand::Preloaded { .. }
            | GatewayCommand::Release { .. }
            | GatewayCommand::BeginTrial(_)
            | GatewayCommand::EndTrial { .. }
            | GatewayCommand::SettleJoins { .. }
            | GatewayCommand::NoteRequests => None,
        }
    }
}

/// What a model engine's report changes for daemons that are not voters: if the engine restarted, its group no longer
/// serves; if the engine is the head of a serving group, the group's current row.
fn engine_registered(tables: &GatewayTables, id: &str) -> Option<GatewayCommand> {
    let group = tables.group_of(id)?;
    if group.phase == GroupPhase::Cutting {
        let (epoch, phase, reason) = (group.epoch, group.phase, group.reason.clone());
        return Some(GatewayCommand::SetPhase { epoch, phase, reason });
    }
    let is_serving_head = group.is_headed_by(id) && group.serves();
    is_serving_head.then(|| GatewayCommand::Adopt(group.clone()))
}
