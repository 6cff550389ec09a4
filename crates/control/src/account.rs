//! Turns applied commands into events of the time line. Every voter records the same ones, so that they
//! survive the leader; the command-line tool shows each once.

use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_api::gateway::InstanceState;
use dockwood_api::resource::{Kind, ResourceKey};
use dockwood_state::{
    Applied, ChangeAction, ChangeRequest, Command, CommandBody, CrashReport, DaemonUpdate, Evidence,
    GatewayCommand, Outcome, QuarantineRow, ReplicaPhase, Tables,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Daemons that may change at once with an event for each.
const RECORDED_SINGLY: usize = 16;
/// Names in an event on many daemons.
const NAMED_AT_MOST: usize = 64;

/// An event about to be recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// What it is about.
    pub subject: Subject,
    /// A short fixed word.
    pub reason: String,
    /// Details.
    pub message: String,
    /// The result.
    pub code: ResultCode,
}

impl Account {
    fn new(subject: Subject, reason: &str, message: impl Into<String>, code: ResultCode) -> Self {
        Account { subject, reason: reason.to_string(), message: message.into(), code }
    }
}

fn subject_of(key: &ResourceKey) -> Subject {
    Subject::new(&key.kind.name().to_lowercase(), key.name.clone())
}

/// The events of a command, given the tables after it.
pub fn accounts(command: &Command, applied: &Applied, tables: &Tables) -> Vec<Account> {
    let code = code_of(&applied.outcome);
    // A trial that isn't granted is no fault; the daemon that asked records it.
    if matches!(command.body, CommandBody::Gateway(GatewayCommand::BeginTrial(_))) {
        return Vec::new();
    }
    if let Outcome::Refused(error) = &applied.outcome
        && !matches!(command.body, CommandBody::Change(_))
    {
        return vec![refused(command, error.code(), error.message())];
    }
    match &command.body {
        CommandBody::Change(request) => change(request, applied, code).into_iter().collect(),
        CommandBody::JoinDaemon { record, incarnation } => {
            let message = format!("zone {}, incarnation {incarnation}", record.zone);
            vec![Account::new(Subject::new("daemon", &record.name), "Joined", message, code)]
        }
        CommandBody::SetLiveness { daemon, liveness, .. } => {
            vec![Account::new(Subject::new("daemon", daemon), &format!("{liveness:?}"), "", code)]
        }
        CommandBody::UpdateDaemons(updates) => daemon_accounts(updates),
        CommandBody::FormReplica { reason, .. } => replica_accounts("Formed", reason, applied, tables),
        CommandBody::ReformReplica { reason, .. } => replica_accounts("Reformed", reason, applied, tables),
        CommandBody::DrainReplica { replica, reason, .. } => {
            vec![Account::new(Subject::new("replica", replica), "Draining", reason, code)]
        }
        CommandBody::DissolveReplica { replica, reason, .. } => {
            vec![Account::new(Subject::new("replica", replica), "Dissolved", reason, code)]
        }
        CommandBody::OrderDone { .. } | CommandBody::RepeatOrder { .. } => phase_accounts(applied, tables),
        CommandBody::AssignPool { pool, coordinator, standby } => {
            let named = |daemon: &Option<String>| daemon.clone().unwrap_or_else(|| "nobody".to_string());
            let message = format!("coordinator {}, standby {}", named(coordinator), named(standby));
            vec![Account::new(Subject::new("deployment", pool), "CoordinatorAssigned", message, code)]
        }
        CommandBody::AssignWatcher { replica, watcher } => {
            let message = format!("watcher {}", watcher.as_deref().unwrap_or("nobody"));
            vec![Account::new(Subject::new("replica", replica), "WatcherAssigned", message, code)]
        }
        CommandBody::Gateway(command) => {
            let mut told: Vec<Account> = gateway_account(command, tables).into_iter().collect();
            if let GatewayCommand::ServerEnded(end) = command {
                told.extend(quarantines(end, tables));
            }
            told
        }
        CommandBody::Claim(_) | CommandBody::SettleClaims(_) => Vec::new(),
    }
}

/// One event for each daemon; where many change at once, one for each kind of change, which names some of them.
fn daemon_accounts(updates: &[DaemonUpdate]) -> Vec<Account> {
    if updates.len() <= RECORDED_SINGLY {
        return updates.iter().map(daemon_account).collect();
    }
    let mut by_reason: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for update in updates {
        let Account { subject, reason, .. } = daemon_account(update);
        by_reason.entry(reason).or_default().push(subject.name);
    }
    let account = |(reason, names): (String, Vec<String>)| {
        let named = names[..names.len().min(NAMED_AT_MOST)].join(" ");
        let message = format!("{} daemons: {named}", names.len());
        Account::new(Subject::new("control", "daemons"), &reason, message, ResultCode::Ok)
    };
    by_reason.into_iter().map(account).collect()
}

fn daemon_account(update: &DaemonUpdate) -> Account {
    match update {
        DaemonUpdate::Joined { record, incarnation } => {
            let message = format!("zone {}, incarnation {incarnation}", record.zone);
            Account::new(Subject::new("daemon", &record.name), "Joined", message, ResultCode::Ok)
        }
        DaemonUpdate::Liveness { daemon, liveness, .. } => {
            Account::new(Subject::new("daemon", daemon), &format!("{liveness:?}"), "", ResultCode::Ok)
        }
    }
}

/// The event of a change of the gateway's tables.
fn gateway_account(command: &GatewayCommand, tables: &Tables) -> Option<Account> {
    let account = |kind: &str, name: &str, reason: &str, message: String| {
        Some(Account::new(Subject::new(kind, name), reason, message, ResultCode::Ok))
    };
    match command {
        GatewayCommand::Configure(configuration) => {
            let version = configuration.version;
            let held = tables.gateway.configuration.as_ref().map_or(0, |held| held.version);
            let reason = if held == version { "Configured" } else { "ConfigurationOvertaken" };
            account("gateway", "configuration", reason, format!("version {version}, held {held}"))
        }
        GatewayCommand::Register(row) => {
            let leaving = row.state == InstanceState::Draining;
            let left = if leaving { group_left(tables, &row.id) } else { String::new() };
            let message = format!("{} at {}, {:?}{left}", row.service, row.address, row.state);
            account("instance", &row.id, "Registered", message)
        }
        GatewayCommand::SignOff { id } => account("instance", id, "SignedOff", group_left(tables, id)),
        GatewayCommand::Remove { id } => account("instance", id, "Removed", String::new()),
        GatewayCommand::Form { model, members, reason, .. } => {
            let name = format!("g{}", tables.gateway.last_epoch);
            account("group", &name, "Formed", format!("{model} on {}; {reason}", members.join(" ")))
        }
        GatewayCommand::SetPhase { epoch, phase, reason } => {
            account("group", &format!("g{epoch}"), &format!("{phase:?}"), reason.clone())
        }
        GatewayCommand::Release { epoch, member } => {
            account("group", &format!("g{epoch}"), "Released", member.clone())
        }
        GatewayCommand::End { epoch, reason } => {
            account("group", &format!("g{epoch}"), "Ended", reason.clone())
        }
        GatewayCommand::Preloaded { epoch } => {
            account("group", &format!("g{epoch}"), "Preloaded", "all members are ready".to_string())
        }
        GatewayCommand::SetEvacuation { zone, .. } => {
            let evacuated = tables.gateway.is_evacuated(zone);
            let reason = if evacuated { "Evacuated" } else { "EvacuationEnded" };
            let generation = tables.gateway.evacuation_generation(zone);
            account("zone", zone, reason, format!("generation {generation}"))
        }
        GatewayCommand::NoteRequests => account("gateway", "requests", "RequestsSeen", String::new()),
        GatewayCommand::ServerEnded(end) => {
            account("instance", &end.instance, "EndedUnderRequests", told(end))
        }
        GatewayCommand::ClearRequest { fingerprint, reason } => {
            account("request", &fingerprint.to_string(), "Cleared", reason.clone())
        }
        // Recorded at the voters, as the change of phase that led to it.
        GatewayCommand::Adopt(_) => None,
        // Trials are recorded by the daemons that ask for them.
        GatewayCommand::BeginTrial(_)
        | GatewayCommand::EndTrial { .. }
        | GatewayCommand::ExpireSuspicions { .. } => None,
    }
}

/// The requests that a server had when it ended.
fn told(end: &CrashReport) -> String {
    let tries: Vec<String> =
        end.tries.iter().map(|tried| format!("{} as {}", tried.fingerprint, tried.request)).collect();
    format!("in zone {}, told by {}; suspects: {}", end.zone, end.daemon, tries.join(", "))
}

/// Requests that came under quarantine by the end of a server.
fn quarantines(end: &CrashReport, tables: &Tables) -> Vec<Account> {
    let held =
        end.tries.iter().filter_map(|tried| tables.gateway.suspicion.quarantined.get(&tried.fingerprint));
    let new = held.filter(|row| row.since_ms == end.at_ms);
    let account = |row: &Arc<QuarantineRow>| {
        let servers: Vec<String> = row.evidence.iter().map(servers_end).collect();
        let message = format!(
            "tenant {}, route {}, for {} s, {} times; ended under it: {}",
            row.tenant.as_deref().unwrap_or("none"),
            row.route,
            (row.until_ms - row.since_ms) / 1_000,
            row.offences,
            servers.join(", ")
        );
        let subject = Subject::new("request", row.fingerprint.to_string());
        Account::new(subject, "Quarantined", message, ResultCode::RequestQuarantined)
    };
    new.map(account).collect()
}

fn servers_end(evidence: &Evidence) -> String {
    let Evidence { instance, zone, at_ms, request, daemon } = evidence;
    format!("{instance} in {zone} at {at_ms} with {request}, told by {daemon}")
}

/// The group that an instance leaves, as a message ends with it.
fn group_left(tables: &Tables, instance: &str) -> String {
    let group = tables.gateway.group_of(instance);
    group.map_or_else(String::new, |group| {
        let role = if group.is_headed_by(instance) { "head" } else { "member" };
        format!("; {role} of {}, {:?}", group.name, group.phase)
    })
}

fn refused(command: &Command, code: ResultCode, message: &str) -> Account {
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
    Account::new(subject, "Refused", message, code)
}

fn code_of(outcome: &Outcome) -> ResultCode {
    match outcome {
        Outcome::Refused(error) => error.code(),
        Outcome::Conflict(_) => ResultCode::Conflict,
        Outcome::Resent(_) => ResultCode::Resent,
        Outcome::Stored { changed: true, .. } | Outcome::Deleted(_) => ResultCode::Accepted,
        _ => ResultCode::Ok,
    }
}

fn change(request: &ChangeRequest, applied: &Applied, code: ResultCode) -> Option<Account> {
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
    Some(Account::new(subject_of(&key), reason, message, code))
}

fn touched_replicas(applied: &Applied) -> impl Iterator<Item = &ResourceKey> {
    applied.changed_keys.iter().filter(|key| key.kind == Kind::Replica)
}

fn replica_accounts(reason: &str, why: &str, applied: &Applied, tables: &Tables) -> Vec<Account> {
    touched_replicas(applied)
        .map(|key| {
            let members = tables.replicas.get(&key.name).map(|row| (row.epoch, row.members.join(" ")));
            let (epoch, members) = members.unwrap_or_default();
            let message = format!("{why}; epoch {epoch}, members {members}");
            Account::new(subject_of(key), reason, message, ResultCode::Ok)
        })
        .collect()
}

fn phase_accounts(applied: &Applied, tables: &Tables) -> Vec<Account> {
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
            Some(Account::new(subject_of(key), reason, message, ResultCode::Ok))
        })
        .collect()
}
