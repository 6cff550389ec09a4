//! The gateway's replicated tables: configuration, registered instances, and groups of instances.
//!
//! Invariants, enforced here whatever a controller requests: the configuration's version never decreases; a removed
//! instance is never registered again; an instance belongs to at most one group.
//!
//! The maps are persistent data structures: a clone shares all unchanged parts, so that publishing the tables costs the
//! same at any size, and a reader that keeps a clone can compute what changed since.

mod command;
mod crashes;
mod evacuation;
mod removed;
mod rows;

pub use command::GatewayCommand;
pub use rows::{Evacuation, GroupPhase, GroupPurpose, GroupRow, InstanceRow};

use crate::machine::Applied;
use crate::prompt_suspicion::PromptSuspicionTable;
use crate::suspicion::SuspicionTable;
use dockwood_api::ResultCode;
use dockwood_api::gateway::{ColdStart, EngineProfile, GatewayConfiguration, InstanceState};
use imbl::{OrdMap, OrdSet};
use removed::{RemovedInstances, started_later};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// All tables of the gateway.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayTables {
    /// The current configuration, once one was accepted.
    pub configuration: Option<Arc<GatewayConfiguration>>,
    /// Instances by id.
    pub instances: OrdMap<String, Arc<InstanceRow>>,
    /// Groups by epoch.
    pub groups: OrdMap<u64, Arc<GroupRow>>,
    /// Zones whose evacuation was ever requested or ended.
    pub evacuations: OrdMap<String, Evacuation>,
    /// Requests suspected of crashing servers; stored separately from the other tables.
    #[serde(skip)]
    pub suspicion: SuspicionTable,
    /// Parts of prompts suspected of crashing servers; stored separately from the other tables.
    #[serde(skip)]
    pub prompt_suspicion: PromptSuspicionTable,
    /// Groups that no member can join any more by an order that was sent before; stored separately from the other tables.
    #[serde(skip)]
    settled_joins: OrdSet<u64>,
    /// Epoch of the newest group.
    pub last_epoch: u64,
    /// Whether any request was ever received.
    pub requests_seen: bool,
    /// The model of each instance's last group, if the instance was surely ready in that group.
    last_models: OrdMap<String, String>,
    removed: RemovedInstances,
    /// Epoch of the group that each instance belongs to: an index derived from `groups`, not stored.
    #[serde(skip)]
    memberships: OrdMap<String, u64>,
}

impl GatewayTables {
    /// Applies one command.
    pub fn apply(&mut self, command: &GatewayCommand) -> Applied {
        match command {
            GatewayCommand::Configure(configuration) => self.configure(configuration),
            GatewayCommand::Register(row) => self.register(row),
            GatewayCommand::SignOff { id } => self.sign_off(id),
            GatewayCommand::Remove { id } => self.remove(id),
            GatewayCommand::Form { service, model, purpose, members, reason } => {
                self.form(service, model, *purpose, members, reason)
            }
            GatewayCommand::Preloaded { epoch } => self.preloaded(*epoch),
            GatewayCommand::SetPhase { epoch, phase, reason } => self.set_phase(*epoch, *phase, reason),
            GatewayCommand::Release { epoch, member } => self.release(*epoch, member),
            GatewayCommand::End { epoch, .. } => self.end(*epoch),
            GatewayCommand::NoteRequests => {
                self.requests_seen = true;
                Applied::with_changes(Vec::new())
            }
            GatewayCommand::SetEvacuation { zone, evacuated, generation } => {
                self.set_evacuation(zone, *evacuated, *generation)
            }
            GatewayCommand::ServerEnded(report) => self.server_crashed(report, &[]),
            GatewayCommand::ServerCrashed { report, prompts } => self.server_crashed(report, prompts),
            GatewayCommand::RecordResponse { parts, known_crash, at_ms, .. } => {
                self.prompt_suspicion.record_response(parts, *known_crash, *at_ms)
            }
            GatewayCommand::QuarantineParts { parts, at_ms } => self.quarantine_parts(parts, *at_ms),
            GatewayCommand::ReleaseParts { parts, .. } => self.prompt_suspicion.release(parts),
            GatewayCommand::BeginTrial(request) => self.suspicion.begin_trial(request),
            GatewayCommand::EndTrial { fingerprint, trial } => self.suspicion.end_trial(*fingerprint, *trial),
            GatewayCommand::ClearRequest { fingerprint, .. } => self.suspicion.clear(*fingerprint),
            GatewayCommand::ExpireSuspicions { at_ms } => {
                self.prompt_suspicion.expire(*at_ms);
                self.suspicion.expire(*at_ms)
            }
            GatewayCommand::SettleJoins { epoch } => self.settle_joins(*epoch),
            GatewayCommand::Adopt(row) => {
                self.groups.insert(row.epoch, row.clone());
                Applied::with_changes(Vec::new())
            }
        }
    }

    /// The engine profile of a service, if it is configured and consists of model engines.
    pub fn engine(&self, service: &str) -> Option<&EngineProfile> {
        self.configuration.as_ref()?.service(service)?.engine.as_ref()
    }

    /// The cold-start profile of a service; `None` if its cold servers can take as much load as warm ones.
    pub fn cold_start(&self, service: &str) -> Option<ColdStart> {
        self.configuration.as_ref()?.service(service)?.cold_start
    }

    /// The model of an instance's last group since its process started, if known: the instance joins another group of
    /// that model faster than one of any other model.
    pub fn last_model(&self, instance: &str) -> Option<&str> {
        self.last_models.get(instance).map(String::as_str)
    }

    /// The group that an instance belongs to, if any.
    pub fn group_of(&self, instance: &str) -> Option<&Arc<GroupRow>> {
        self.groups.get(self.memberships.get(instance)?)
    }

    /// Whether an instance is a member of the group with this epoch.
    pub fn is_member(&self, instance: &str, epoch: u64) -> bool {
        self.memberships.get(instance) == Some(&epoch)
    }

    /// The group headed by this instance, if any.
    pub(crate) fn group_headed_by(&self, instance: &str) -> Option<&Arc<GroupRow>> {
        self.group_of(instance).filter(|group| group.is_headed_by(instance))
    }

    /// The zone of the plain server or the head of a serving group at this address; `None` if requests are sent to neither.
    pub fn zone_of_server(&self, address: SocketAddr) -> Option<&str> {
        let head = self.groups.values().find(|row| row.serves() && row.head == address);
        let plain = || self.instances.values().find(|row| row.address == address && !row.is_engine());
        head.map(|row| row.zone.as_str()).or_else(|| plain().map(|row| row.zone.as_str()))
    }

    /// The part of the tables that daemons need that are not voters; see [`GatewayCommand::for_non_voters`].
    pub(crate) fn for_non_voters(&self) -> GatewayTables {
        let plain = self.instances.iter().filter(|(_, row)| !row.is_engine());
        let serving = self.groups.iter().filter(|(_, row)| row.serves());
        GatewayTables {
            configuration: self.configuration.as_ref().map(|current| Arc::new(current.without_document())),
            instances: plain.map(|(id, row)| (id.clone(), row.clone())).collect(),
            groups: serving.map(|(epoch, row)| (*epoch, row.clone())).collect(),
            evacuations: self.evacuations.clone(),
            suspicion: self.suspicion.for_non_voters(),
            prompt_suspicion: self.prompt_suspicion.clone(),
            last_epoch: self.last_epoch,
            requests_seen: self.requests_seen,
            ..GatewayTables::default()
        }
    }

    /// Rebuilds the index that is not stored; called after the tables were decoded.
    pub(crate) fn rebuild_memberships(&mut self) {
        let members = |group: &Arc<GroupRow>| {
            let epoch = group.epoch;
            group.members.clone().into_iter().map(move |member| (member, epoch))
        };
        self.memberships = self.groups.values().flat_map(members).collect();
    }

    /// Whether every order to join a group is known to have been answered or to be void.
    pub fn has_settled_joins(&self, epoch: u64) -> bool {
        self.settled_joins.contains(&epoch)
    }

    /// Groups with settled joins, for storing.
    pub(crate) fn settled_joins(&self) -> &OrdSet<u64> {
        &self.settled_joins
    }

    /// Restores the stored groups with settled joins.
    pub(crate) fn restore_settled_joins(&mut self, epochs: OrdSet<u64>) {
        self.settled_joins = epochs;
    }

    fn settle_joins(&mut self, epoch: u64) -> Applied {
        // Orders to join a group are sent as long as it is forming.
        let is_formed = self.groups.get(&epoch).is_some_and(|group| group.phase != GroupPhase::Forming);
        if is_formed {
            self.settled_joins.insert(epoch);
        }
        Applied::with_changes(Vec::new())
    }

    /// Whether an instance with this id was removed.
    pub fn was_removed(&self, id: &str) -> bool {
        self.removed.contains(id)
    }

    /// Whether a report of an instance that started at `started_ms` is outdated: the instance was removed, and has not
    /// restarted since.
    pub fn is_outdated_report(&self, id: &str, started_ms: Option<u64>) -> bool {
        self.removed.contains_start(id, started_ms)
    }

    /// Start times of removed instances, for storing.
    pub(crate) fn removed_starts(&self) -> Vec<(String, u64)> {
        self.removed.starts()
    }

    /// Restores the stored start times of removed instances.
    pub(crate) fn restore_removed_starts(&mut self, starts: Vec<(String, u64)>) {
        self.removed.restore_starts(starts);
    }

    /// Installs a configuration. Once one had tenants, requests need keys for good: a later one without tenants takes all
    /// keys away, and must not admit the requests that had them. Routes are opened by declaring them anonymous.
    fn configure(&mut self, configuration: &Arc<GatewayConfiguration>) -> Applied {
        let current = self.configuration.as_ref();
        if current.is_some_and(|current| current.version >= configuration.version) {
            return Applied::with_changes(Vec::new());
        }
        let needed_keys = current.is_some_and(|current| current.needs_keys());
        let takes_all_keys = needed_keys && !configuration.needs_keys();
        self.configuration = Some(match takes_all_keys {
            true => Arc::new(configuration.as_ref().clone().requiring_keys()),
            false => configuration.clone(),
        });
        Applied::with_changes(Vec::new())
    }

    fn register(&mut self, row: &InstanceRow) -> Applied {
        if self.is_outdated_report(&row.id, row.started_ms) {
            return Applied::refused(ResultCode::EpochStale, "the instance was removed");
        }
        let known_start = self.instances.get(&row.id).map(|known| known.started_ms);
        if known_start.is_some_and(|known| started_later(known, row.started_ms)) {
            return Applied::refused(ResultCode::EpochStale, "the instance has started again since");
        }
        if known_start.is_some_and(|known| started_later(row.started_ms, known)) {
            self.reset_restarted_instance(&row.id);
        }
        self.removed.remove(&row.id);
        // An address belongs to one instance at a time: a newer process replaces its predecessor.
        let replaced: Vec<String> = self
            .instances
            .values()
            .filter(|known| known.address == row.address && known.id != row.id)
            .map(|known| known.id.clone())
            .collect();
        replaced.iter().for_each(|id| self.remove_instance(id));
        let mut next = row.clone();
        // A draining instance never becomes ready again; a report that says so is outdated.
        let was_draining =
            self.instances.get(&row.id).is_some_and(|known| known.state == InstanceState::Draining);
        if was_draining {
            next.state = InstanceState::Draining;
        }
        self.instances.insert(row.id.clone(), Arc::new(next));
        self.update_head_is_cold(&row.id, row.is_cold);
        Applied::with_changes(Vec::new())
    }

    /// Handles the restart of a server under the same id: the new process holds no model, is in no group and is not
    /// draining. The group of the former process has lost a member.
    fn reset_restarted_instance(&mut self, id: &str) {
        self.instances.remove(id);
        self.last_models.remove(id);
        let Some(group) = self.group_of(id).cloned() else { return };
        if group.purpose == GroupPurpose::Preload {
            self.dissolve(group.epoch);
            return;
        }
        self.set_phase(group.epoch, GroupPhase::Cutting, &format!("{id} has started again"));
    }

    /// Updates whether the head of the group that an instance heads, if any, is cold.
    fn update_head_is_cold(&mut self, instance: &str, is_cold: bool) {
        let headed = self.group_headed_by(instance).filter(|group| group.head_is_cold != is_cold);
        let Some(group) = headed.cloned() else { return };
        self.groups
            .insert(group.epoch, Arc::new(GroupRow { head_is_cold: is_cold, ..GroupRow::clone(&group) }));
    }

    fn sign_off(&mut self, id: &str) -> Applied {
        if let Some(row) = self.instances.get(id) {
            let mut draining = InstanceRow::clone(row);
            draining.state = InstanceState::Draining;
            self.instances.insert(id.to_string(), Arc::new(draining));
        }
        self.mark_removed(id);
        Applied::with_changes(Vec::new())
    }

    fn remove(&mut self, id: &str) -> Applied {
        self.remove_instance(id);
        Applied::with_changes(Vec::new())
    }

    fn remove_instance(&mut self, id: &str) {
        self.mark_removed(id);
        self.instances.remove(id);
        self.last_models.remove(id);
    }

    /// Records the instance as removed, so that its later reports are ignored.
    fn mark_removed(&mut self, id: &str) {
        let started_ms = self.instances.get(id).and_then(|row| row.started_ms);
        self.removed.insert(id, started_ms);
    }

    fn form(
        &mut self,
        service: &str,
        model: &str,
        purpose: GroupPurpose,
        members: &[String],
        reason: &str,
    ) -> Applied {
        let Some(head) = members.first().and_then(|id| self.instances.get(id)).cloned() else {
            return Applied::refused(ResultCode::NotFound, "the head is not registered");
        };
        let has_unknown = members.iter().any(|id| !self.instances.contains_key(id));
        if has_unknown {
            return Applied::refused(ResultCode::NotFound, "a member is not registered");
        }
        if members.iter().any(|id| self.group_of(id).is_some()) {
            return Applied::refused(ResultCode::MachineInOtherReplica, "a member is in another group");
        }
        // Until all members are ready, it is unknown whether a member has received its order to join, and so which model
        // it holds.
        for id in members {
            if self.last_model(id).is_some_and(|last| last != model) {
                self.last_models.remove(id);
            }
        }
        self.last_epoch += 1;
        let epoch = self.last_epoch;
        let row = GroupRow {
            epoch,
            name: format!("g{epoch}"),
            service: service.to_string(),
            model: model.to_string(),
            members: members.to_vec(),
            head: head.address,
            head_started_ms: head.started_ms,
            zone: head.zone.clone(),
            head_is_cold: head.is_cold,
            purpose,
            phase: GroupPhase::Forming,
            reason: reason.to_string(),
        };
        let memberships = row.members.iter().map(|member| (member.clone(), epoch));
        self.memberships.extend(memberships);
        self.groups.insert(epoch, Arc::new(row));
        Applied::with_changes(Vec::new())
    }

    fn set_phase(&mut self, epoch: u64, phase: GroupPhase, reason: &str) -> Applied {
        let Some(row) = self.groups.get(&epoch) else {
            return Applied::refused(ResultCode::EpochStale, "there is no such group");
        };
        if !is_forward_transition(row.phase, phase) || row.purpose != GroupPurpose::Serve {
            return Applied::refused(ResultCode::EpochStale, "the group has moved on");
        }
        let mut next = GroupRow::clone(row);
        next.phase = phase;
        next.reason = reason.to_string();
        if phase == GroupPhase::Opening {
            self.record_last_models(&next);
        }
        self.groups.insert(epoch, Arc::new(next));
        Applied::with_changes(Vec::new())
    }

    fn preloaded(&mut self, epoch: u64) -> Applied {
        let Some(row) = self.groups.get(&epoch).cloned() else {
            return Applied::refused(ResultCode::EpochStale, "there is no such group");
        };
        if row.purpose == GroupPurpose::Preload {
            self.record_last_models(&row);
            self.dissolve(epoch);
        }
        Applied::with_changes(Vec::new())
    }

    /// Records the group's model as the last model of all members, which were ready in it.
    fn record_last_models(&mut self, group: &GroupRow) {
        let last_models = group.members.iter().map(|id| (id.clone(), group.model.clone()));
        self.last_models.extend(last_models);
    }

    fn release(&mut self, epoch: u64, member: &str) -> Applied {
        let Some(row) = self.groups.get(&epoch) else {
            return Applied::refused(ResultCode::EpochStale, "there is no such group");
        };
        let is_head = row.is_headed_by(member);
        if row.phase != GroupPhase::Cutting || is_head {
            return Applied::refused(
                ResultCode::EpochStale,
                "only members of a group that is cut off are released",
            );
        }
        let mut next = GroupRow::clone(row);
        next.members.retain(|other| other != member);
        self.memberships.remove(member);
        self.groups.insert(epoch, Arc::new(next));
        Applied::with_changes(Vec::new())
    }

    fn end(&mut self, epoch: u64) -> Applied {
        self.dissolve(epoch);
        Applied::with_changes(Vec::new())
    }

    fn dissolve(&mut self, epoch: u64) {
        let Some(row) = self.groups.remove(&epoch) else { return };
        self.settled_joins.remove(&epoch);
        for member in &row.members {
            self.memberships.remove(member);
        }
    }
}

/// Whether a phase change is forward: a group that was ordered to close never serves again.
fn is_forward_transition(from: GroupPhase, to: GroupPhase) -> bool {
    let rank = |phase| match phase {
        GroupPhase::Forming => 0,
        GroupPhase::Opening => 1,
        GroupPhase::Open => 2,
        GroupPhase::Draining => 3,
        GroupPhase::Cutting => 4,
    };
    rank(to) > rank(from)
}
