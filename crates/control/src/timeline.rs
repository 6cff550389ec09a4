//! Converts applied commands into timeline events. Every voter records the same events, so that they survive
//! the loss of the leader; the command-line tool deduplicates them.

use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_api::gateway::{InstanceState, PartSet, PromptPart};
use dockwood_api::resource::{Kind, ResourceKey};
use dockwood_state::{
    Applied, ChangeAction, ChangeRequest, Command, CommandBody, CrashReport, DaemonUpdate, Evidence,
    GatewayCommand, Outcome, QuarantineRow, ReplicaPhase, SuspectPrompt, Tables,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Up to this many daemon updates in one command are recorded as individual events.
const MAX_INDIVIDUAL_EVENTS: usize = 16;
/// Maximum number of daemon names listed in a summary event.
const MAX_LISTED_NAMES: usize = 64;

/// A timeline event to be recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineEvent {
    /// The object that the event is about.
    pub subject: Subject,
    /// A fixed CamelCase reason code.
    pub reason: String,
    /// Human-readable details.
    pub message: String,
    /// Result code.
    pub code: ResultCode,
}

impl TimelineEvent {
    fn new(subject: Subject, reason: &str, message: impl Into<String>, code: ResultCode) -> Self {
        TimelineEvent { subject, reason: reason.to_string(), message: message.into(), code }
    }
}

fn subject_of(key: &ResourceKey) -> Subject {
    Subject::new(&key.kind.name().to_lowercase(), key.name.clone())
}

/// Returns the events of a command; `tables` are the tables after it was applied.
pub fn timeline_events(command: &Command, applied: &Applied, tables: &Tables) -> Vec<TimelineEvent> {
    let code = outcome_code(&applied.outcome);
    // A denied trial is not an error; the daemon that requested it records the event.
    if matches!(command.body, CommandBody::Gateway(GatewayCommand::BeginTrial(_))) {
        return Vec::new();
    }
    if let Outcome::Refused(error) = &applied.outcome
        && !matches!(command.body, CommandBody::Change(_))
    {
        return vec![refused_event(command, error.code(), error.message())];
    }
    match &command.body {
        CommandBody::Change(request) => change_event(request, applied, code).into_iter().collect(),
        CommandBody::JoinDaemon { record, incarnation } => {
            let message = format!("zone {}, incarnation {incarnation}", record.zone);
            vec![TimelineEvent::new(Subject::new("daemon", &record.name), "Joined", message, code)]
        }
        CommandBody::SetLiveness { daemon, liveness, .. } => {
            vec![TimelineEvent::new(Subject::new("daemon", daemon), &format!("{liveness:?}"), "", code)]
        }
        CommandBody::UpdateDaemons(updates) => daemon_events(updates),
        CommandBody::FormReplica { reason, .. } => replica_events("Formed", reason, applied, tables),
        CommandBody::ReformReplica { reason, .. } => replica_events("Reformed", reason, applied, tables),
        CommandBody::DrainReplica { replica, reason, .. } => {
            vec![TimelineEvent::new(Subject::new("replica", replica), "Draining", reason, code)]
        }
        CommandBody::DissolveReplica { replica, reason, .. } => {
            vec![TimelineEvent::new(Subject::new("replica", replica), "Dissolved", reason, code)]
        }
        CommandBody::OrderDone { .. } | CommandBody::RepeatOrder { .. } => phase_events(applied, tables),
        CommandBody::AssignPool { pool, coordinator, standby } => {
            let name_or_nobody =
                |daemon: &Option<String>| daemon.clone().unwrap_or_else(|| "nobody".to_string());
            let message =
                format!("coordinator {}, standby {}", name_or_nobody(coordinator), name_or_nobody(standby));
            vec![TimelineEvent::new(Subject::new("deployment", pool), "CoordinatorAssigned", message, code)]
        }
        CommandBody::AssignWatcher { replica, watcher } => {
            let message = format!("watcher {}", watcher.as_deref().unwrap_or("nobody"));
            vec![TimelineEvent::new(Subject::new("replica", replica), "WatcherAssigned", message, code)]
        }
        CommandBody::Gateway(command) => {
            let mut events: Vec<TimelineEvent> = gateway_event(command, tables).into_iter().collect();
            match command {
                GatewayCommand::ServerEnded(report) | GatewayCommand::ServerCrashed { report, .. } => {
                    events.extend(quarantine_events(report, tables));
                }
                GatewayCommand::QuarantineParts { parts, .. } => {
                    events.extend(part_quarantine_event(parts, tables));
                }
                _ => {}
            }
            events
        }
        CommandBody::Claim(_) | CommandBody::SettleClaims(_) => Vec::new(),
    }
}

/// Returns one event per daemon update, or above [`MAX_INDIVIDUAL_EVENTS`] one summary event per reason,
/// which lists some of the daemons.
fn daemon_events(updates: &[DaemonUpdate]) -> Vec<TimelineEvent> {
    if updates.len() <= MAX_INDIVIDUAL_EVENTS {
        return updates.iter().map(daemon_event).collect();
    }
    let mut by_reason: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for update in updates {
        let TimelineEvent { subject, reason, .. } = daemon_event(update);
        by_reason.entry(reason).or_default().push(subject.name);
    }
    let event = |(reason, names): (String, Vec<String>)| {
        let listed = names[..names.len().min(MAX_LISTED_NAMES)].join(" ");
        let message = format!("{} daemons: {listed}", names.len());
        TimelineEvent::new(Subject::new("control", "daemons"), &reason, message, ResultCode::Ok)
    };
    by_reason.into_iter().map(event).collect()
}

fn daemon_event(update: &DaemonUpdate) -> TimelineEvent {
    match update {
        DaemonUpdate::Joined { record, incarnation } => {
            let message = format!("zone {}, incarnation {incarnation}", record.zone);
            TimelineEvent::new(Subject::new("daemon", &record.name), "Joined", message, ResultCode::Ok)
        }
        DaemonUpdate::Liveness { daemon, liveness, .. } => {
            TimelineEvent::new(Subject::new("daemon", daemon), &format!("{liveness:?}"), "", ResultCode::Ok)
        }
    }
}

/// Returns the event of a change to the gateway tables.
fn gateway_event(command: &GatewayCommand, tables: &Tables) -> Option<TimelineEvent> {
    let event = |kind: &str, name: &str, reason: &str, message: String| {
        Some(TimelineEvent::new(Subject::new(kind, name), reason, message, ResultCode::Ok))
    };
    match command {
        GatewayCommand::Configure(configuration) => {
            let version = configuration.version;
            let held = tables.gateway.configuration.as_ref().map_or(0, |held| held.version);
            let reason = if held == version { "Configured" } else { "ConfigurationOvertaken" };
            event("gateway", "configuration", reason, format!("version {version}, held {held}"))
        }
        GatewayCommand::Register(row) => {
            let leaving = row.state == InstanceState::Draining;
            let left = if leaving { group_suffix(tables, &row.id) } else { String::new() };
            let message = format!("{} at {}, {:?}{left}", row.service, row.address, row.state);
            event("instance", &row.id, "Registered", message)
        }
        GatewayCommand::SignOff { id } => event("instance", id, "SignedOff", group_suffix(tables, id)),
        GatewayCommand::Remove { id } => event("instance", id, "Removed", String::new()),
        GatewayCommand::Form { model, members, reason, .. } => {
            let name = format!("g{}", tables.gateway.last_epoch);
            event("group", &name, "Formed", format!("{model} on {}; {reason}", members.join(" ")))
        }
        GatewayCommand::SetPhase { epoch, phase, reason } => {
            event("group", &format!("g{epoch}"), &format!("{phase:?}"), reason.clone())
        }
        GatewayCommand::Release { epoch, member } => {
            event("group", &format!("g{epoch}"), "Released", member.clone())
        }
        GatewayCommand::End { epoch, reason } => {
            event("group", &format!("g{epoch}"), "Ended", reason.clone())
        }
        GatewayCommand::Preloaded { epoch } => {
            event("group", &format!("g{epoch}"), "Preloaded", "all members are ready".to_string())
        }
        GatewayCommand::SetEvacuation { zone, .. } => {
            let evacuated = tables.gateway.is_evacuated(zone);
            let reason = if evacuated { "Evacuated" } else { "EvacuationEnded" };
            let generation = tables.gateway.evacuation_generation(zone);
            event("zone", zone, reason, format!("generation {generation}"))
        }
        GatewayCommand::NoteRequests => event("gateway", "requests", "RequestsSeen", String::new()),
        GatewayCommand::ServerEnded(report) => {
            event("instance", &report.instance, "EndedUnderRequests", server_end_message(report, &[]))
        }
        GatewayCommand::ServerCrashed { report, prompts } => {
            event("instance", &report.instance, "EndedUnderRequests", server_end_message(report, prompts))
        }
        GatewayCommand::RecordResponse { parts, known_crash, daemon, .. } => {
            let message = format!("told by {daemon}, which knew of {known_crash} crashes");
            event("promptPart", &PartSet::new(parts.clone()).to_string(), "AnsweredCompletely", message)
        }
        GatewayCommand::ReleaseParts { parts, reason } => {
            event("promptPart", &parts.to_string(), "Cleared", reason.clone())
        }
        // Recorded with the evidence that led to it.
        GatewayCommand::QuarantineParts { .. } => None,
        GatewayCommand::ClearRequest { fingerprint, reason } => {
            event("request", &fingerprint.to_string(), "Cleared", reason.clone())
        }
        // The voters already record the phase change that led to it.
        GatewayCommand::Adopt(_) => None,
        GatewayCommand::SettleJoins { .. } => None,
        // Trials are recorded by the daemons that request them.
        GatewayCommand::BeginTrial(_)
        | GatewayCommand::EndTrial { .. }
        | GatewayCommand::ExpireSuspicions { .. } => None,
    }
}

/// Describes the requests that a server was running when it ended.
fn server_end_message(end: &CrashReport, prompts: &[SuspectPrompt]) -> String {
    let tries: Vec<String> =
        end.tries.iter().map(|tried| format!("{} as {}", tried.fingerprint, tried.request)).collect();
    let mut message = format!("in zone {}, told by {}; suspects: {}", end.zone, end.daemon, tries.join(", "));
    let parts: BTreeSet<&str> =
        prompts.iter().flat_map(|prompt| &prompt.parts).map(PromptPart::as_str).collect();
    if !parts.is_empty() {
        message += &format!("; parts of prompts: {}", parts.into_iter().collect::<Vec<_>>().join(" "));
    }
    message
}

/// Returns the event of parts that were put under quarantine.
fn part_quarantine_event(parts: &PartSet, tables: &Tables) -> Option<TimelineEvent> {
    let row = tables.gateway.prompt_suspicion.quarantined.get(parts)?;
    let servers: Vec<String> = row.evidence.iter().map(evidence_text).collect();
    let message = format!(
        "for {} s, {} times; {} servers ended under it, among them: {}",
        row.period.duration_ms() / 1_000,
        row.period.offences,
        row.crashes,
        servers.join(", ")
    );
    let subject = Subject::new("promptPart", parts.to_string());
    Some(TimelineEvent::new(subject, "Quarantined", message, ResultCode::RequestQuarantined))
}

/// Returns an event for each request that this server end put under quarantine.
fn quarantine_events(end: &CrashReport, tables: &Tables) -> Vec<TimelineEvent> {
    let quarantined =
        end.tries.iter().filter_map(|tried| tables.gateway.suspicion.quarantined.get(&tried.fingerprint));
    let new = quarantined.filter(|row| row.period.since_ms == end.at_ms);
    let event = |row: &Arc<QuarantineRow>| {
        let servers: Vec<String> = row.evidence.iter().map(evidence_text).collect();
        let message = format!(
            "tenant {}, route {}, for {} s, {} times; ended under it: {}",
            row.tenant.as_deref().unwrap_or("none"),
            row.route,
            row.period.duration_ms() / 1_000,
            row.period.offences,
            servers.join(", ")
        );
        let subject = Subject::new("request", row.fingerprint.to_string());
        TimelineEvent::new(subject, "Quarantined", message, ResultCode::RequestQuarantined)
    };
    new.map(event).collect()
}

fn evidence_text(evidence: &Evidence) -> String {
    let Evidence { instance, zone, at_ms, request, daemon } = evidence;
    format!("{instance} in {zone} at {at_ms} with {request}, told by {daemon}")
}

/// Message suffix that names the group that a leaving instance belongs to; empty if there is none.
fn group_suffix(tables: &Tables, instance: &str) -> String {
    let group = tables.gateway.group_of(instance);
    group.map_or_else(String::new, |group| {
        let role = if group.is_headed_by(instance) { "head" } else { "member" };
        format!("; {role} of {}, {:?}", group.name, group.phase)
    })
}

fn refused_event(command: &Command, code: ResultCode, message: &str) -> TimelineEvent {
    let subject = match &command.body {
        CommandBody::JoinDaemon { record, .. } => Subject::new("daemon", &record.name),
        CommandBody::SetLiveness { daemon, .. } => Subject::new("daemon", daemon),
        CommandBody::FormReplica { deployment, .. } => Subject::new("deployment", deployment),
        CommandBody::ReformReplica { replica, .. }
        | CommandBody::DrainReplica { replica, .. }
        | CommandBody::DissolveReplica { replica, .. }
        | CommandBody::AssignWatcher { replica, .. } => Subject::new("replica", replica),
        CommandBody::OrderDone { server, .. } | CommandBody::RepeatOrder { server, .. } => {
            Subject::new("server", server)
        }
        CommandBody::AssignPool { pool, .. } => Subject::new("deployment", pool),
        _ => Subject::new("control", "log"),
    };
    TimelineEvent::new(subject, "Refused", message, code)
}

fn outcome_code(outcome: &Outcome) -> ResultCode {
    match outcome {
        Outcome::Refused(error) => error.code(),
        Outcome::Conflict(_) => ResultCode::Conflict,
        Outcome::Resent(_) => ResultCode::Resent,
        Outcome::Stored { changed: true, .. } | Outcome::Deleted(_) => ResultCode::Accepted,
        _ => ResultCode::Ok,
    }
}

fn change_event(request: &ChangeRequest, applied: &Applied, code: ResultCode) -> Option<TimelineEvent> {
    let (reason, key) = match &request.action {
        ChangeAction::Create(resource) => ("Created", resource.key()),
        ChangeAction::Update(resource) => ("Updated", resource.key()),
        ChangeAction::Apply(resource) => ("Applied", resource.key()),
        ChangeAction::Delete { key, .. } => ("Deleted", key.clone()),
    };
    let message = match &applied.outcome {
        Outcome::Stored { changed: false, .. } => return None,
        Outcome::Refused(error) => error.message().to_string(),
        Outcome::Conflict(current) => format!("the resource is at {}", current.metadata.resource_version),
        _ => format!("change id {}", request.change_id),
    };
    let reason = if code == ResultCode::Accepted { reason } else { "ChangeNotMade" };
    Some(TimelineEvent::new(subject_of(&key), reason, message, code))
}

fn touched_replicas(applied: &Applied) -> impl Iterator<Item = &ResourceKey> {
    applied.changed_keys.iter().filter(|key| key.kind == Kind::Replica)
}

fn replica_events(reason: &str, cause: &str, applied: &Applied, tables: &Tables) -> Vec<TimelineEvent> {
    touched_replicas(applied)
        .map(|key| {
            let members = tables.replicas.get(&key.name).map(|row| (row.epoch, row.members.join(" ")));
            let (epoch, members) = members.unwrap_or_default();
            let message = format!("{cause}; epoch {epoch}, members {members}");
            TimelineEvent::new(subject_of(key), reason, message, ResultCode::Ok)
        })
        .collect()
}

fn phase_events(applied: &Applied, tables: &Tables) -> Vec<TimelineEvent> {
    touched_replicas(applied)
        .filter_map(|key| {
            let row = tables.replicas.get(&key.name)?;
            let (reason, message) = match row.phase {
                ReplicaPhase::Serving => {
                    ("Serving", format!("every machine is loaded for epoch {}", row.epoch))
                }
                ReplicaPhase::Loading => ("Loading", row.reason.clone()),
                ReplicaPhase::Draining => return None,
            };
            Some(TimelineEvent::new(subject_of(key), reason, message, ResultCode::Ok))
        })
        .collect()
}
