//! The gateway's replicated tables: configuration, registered instances, and groups of instances.
//!
//! Invariants, kept here whatever a controller asks: the configuration's version never falls; an instance that was
//! removed never returns; an instance belongs to at most one group.
//!
//! The maps are persistent: a copy shares all that did not change, so that publishing the tables costs the same at any
//! size, and a reader that keeps a copy learns what changed since from the difference.

mod command;
mod evacuation;
mod removed;
mod rows;

pub use command::GatewayCommand;
pub use rows::{Evacuation, GroupPhase, GroupPurpose, GroupRow, InstanceRow};

use crate::machine::Applied;
use crate::suspicion::{ServerEnd, SuspicionTable};
use dockwood_api::ResultCode;
use dockwood_api::gateway::{ColdStart, EngineProfile, GatewayConfiguration, InstanceState};
use imbl::OrdMap;
use removed::{RemovedInstances, is_later};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// All tables of the gateway.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayTables {
    /// The configuration held, if one was accepted yet.
    pub configuration: Option<Arc<GatewayConfiguration>>,
    /// Instances by id.
    pub instances: OrdMap<String, Arc<InstanceRow>>,
    /// Groups by epoch.
    pub groups: OrdMap<u64, Arc<GroupRow>>,
    /// Zones whose evacuation was asked for or withdrawn at some time.
    pub evacuations: OrdMap<String, Evacuation>,
    /// Requests under which servers ended; stored beside the other tables.
    #[serde(skip)]
    pub suspicion: SuspicionTable,
    /// Epoch of the newest group.
    pub last_epoch: u64,
    /// Whether any request was ever seen.
    pub requests_seen: bool,
    /// The model of each instance's last group, where the instance surely was ready in it.
    last_models: OrdMap<String, String>,
    removed: RemovedInstances,
    /// The group that holds each instance: made from `groups`, and not stored with them.
    #[serde(skip)]
    memberships: OrdMap<String, u64>,
}

impl GatewayTables {
    /// Applies one change.
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
                Applied::touching(Vec::new())
            }
            GatewayCommand::SetEvacuation { zone, evacuated, generation } => {
                self.set_evacuation(zone, *evacuated, *generation)
            }
            GatewayCommand::ServerEnded(end) => self.server_ended(end),
            GatewayCommand::BeginTrial(request) => self.suspicion.begin_trial(request),
            GatewayCommand::EndTrial { fingerprint, trial } => self.suspicion.end_trial(*fingerprint, *trial),
            GatewayCommand::ClearRequest { fingerprint, .. } => self.suspicion.clear(*fingerprint),
            GatewayCommand::ExpireSuspicions { at_ms } => self.suspicion.expire(*at_ms),
            GatewayCommand::Adopt(row) => {
                self.groups.insert(row.epoch, row.clone());
                Applied::touching(Vec::new())
            }
        }
    }

    /// The engines of a service, if it is configured and is one of model engines.
    pub fn engine(&self, service: &str) -> Option<&EngineProfile> {
        self.configuration.as_ref()?.service(service)?.engine.as_ref()
    }

    /// What a service declares about its cold servers; `None` where they bear as much as warm ones.
    pub fn cold_start(&self, service: &str) -> Option<ColdStart> {
        self.configuration.as_ref()?.service(service)?.cold_start
    }

    /// The model of an instance's last group since its start, as far as it is known: the instance joins another group
    /// of that model sooner than any other.
    pub fn last_model(&self, instance: &str) -> Option<&str> {
        self.last_models.get(instance).map(String::as_str)
    }

    /// The group that holds an instance, if any.
    pub fn group_of(&self, instance: &str) -> Option<&Arc<GroupRow>> {
        self.groups.get(self.memberships.get(instance)?)
    }

    /// The group whose head is this instance, if any.
    pub(crate) fn group_headed_by(&self, instance: &str) -> Option<&Arc<GroupRow>> {
        self.group_of(instance).filter(|group| group.is_headed_by(instance))
    }

    /// The tables as daemons need them that are not voters: see [`GatewayCommand::for_followers`].
    pub(crate) fn for_followers(&self) -> GatewayTables {
        let plain = self.instances.iter().filter(|(_, row)| !row.is_engine());
        let serving = self.groups.iter().filter(|(_, row)| row.serves());
        GatewayTables {
            configuration: self.configuration.as_ref().map(|held| Arc::new(held.without_document())),
            instances: plain.map(|(id, row)| (id.clone(), row.clone())).collect(),
            groups: serving.map(|(epoch, row)| (*epoch, row.clone())).collect(),
            evacuations: self.evacuations.clone(),
            suspicion: self.suspicion.for_followers(),
            last_epoch: self.last_epoch,
            requests_seen: self.requests_seen,
            ..GatewayTables::default()
        }
    }

    /// Makes again what is not stored: to be called once the tables were decoded.
    pub(crate) fn index_members(&mut self) {
        let members = |group: &Arc<GroupRow>| {
            let epoch = group.epoch;
            group.members.clone().into_iter().map(move |member| (member, epoch))
        };
        self.memberships = self.groups.values().flat_map(members).collect();
    }

    /// Whether an instance was removed before.
    pub fn was_removed(&self, id: &str) -> bool {
        self.removed.contains(id)
    }

    /// Whether a report of an instance that started at `started_ms` comes too late: it was removed, and has not started
    /// again since.
    pub fn is_barred(&self, id: &str, started_ms: Option<u64>) -> bool {
        self.removed.covers(id, started_ms)
    }

    /// The starts of removed instances, for storing.
    pub(crate) fn removed_starts(&self) -> Vec<(String, u64)> {
        self.removed.starts()
    }

    /// Takes the starts of removed instances as they were stored.
    pub(crate) fn restore_removed_starts(&mut self, starts: Vec<(String, u64)>) {
        self.removed.restore_starts(starts);
    }

    /// Whether an instance said that it leaves, or was removed: that it ends then has nothing to do with what it ran.
    pub(crate) fn is_leaving(&self, id: &str) -> bool {
        let is_draining = self.instances.get(id).is_some_and(|row| row.state == InstanceState::Draining);
        is_draining || self.was_removed(id)
    }

    fn server_ended(&mut self, end: &ServerEnd) -> Applied {
        if self.is_leaving(&end.instance) {
            return Applied::touching(Vec::new());
        }
        self.suspicion.server_ended(end)
    }

    fn configure(&mut self, configuration: &Arc<GatewayConfiguration>) -> Applied {
        let held = self.configuration.as_ref().map(|held| held.version);
        if held.is_none_or(|version| version < configuration.version) {
            self.configuration = Some(configuration.clone());
        }
        Applied::touching(Vec::new())
    }

    fn register(&mut self, row: &InstanceRow) -> Applied {
        if self.is_barred(&row.id, row.started_ms) {
            return Applied::refused(ResultCode::EpochStale, "the instance was removed");
        }
        let held_start = self.instances.get(&row.id).map(|held| held.started_ms);
        if held_start.is_some_and(|held| is_later(held, row.started_ms)) {
            return Applied::refused(ResultCode::EpochStale, "the instance has started again since");
        }
        if held_start.is_some_and(|held| is_later(row.started_ms, held)) {
            self.forget_former_start(&row.id);
        }
        self.removed.forget(&row.id);
        // An address belongs to one instance at a time: a newer start takes its predecessor's place.
        let gone: Vec<String> = self
            .instances
            .values()
            .filter(|known| known.address == row.address && known.id != row.id)
            .map(|known| known.id.clone())
            .collect();
        gone.iter().for_each(|id| self.forget(id));
        let mut next = row.clone();
        // An instance that is leaving doesn't come back; a report that says so is a late one.
        let was_leaving =
            self.instances.get(&row.id).is_some_and(|held| held.state == InstanceState::Draining);
        if was_leaving {
            next.state = InstanceState::Draining;
        }
        self.instances.insert(row.id.clone(), Arc::new(next));
        self.note_head(&row.id, row.is_cold);
        Applied::touching(Vec::new())
    }

    /// A server has started again under its id: it holds no model and is in no group, and it no longer leaves. Its group
    /// has lost a member.
    fn forget_former_start(&mut self, id: &str) {
        self.instances.remove(id);
        self.last_models.remove(id);
        let Some(group) = self.group_of(id).cloned() else { return };
        if group.purpose == GroupPurpose::Preload {
            self.dissolve(group.epoch);
            return;
        }
        self.set_phase(group.epoch, GroupPhase::Cutting, &format!("{id} has started again"));
    }

    /// The group that an instance heads, if any, is as cold as the instance.
    fn note_head(&mut self, instance: &str, is_cold: bool) {
        let headed = self.group_headed_by(instance).filter(|group| group.head_is_cold != is_cold);
        let Some(group) = headed.cloned() else { return };
        self.groups
            .insert(group.epoch, Arc::new(GroupRow { head_is_cold: is_cold, ..GroupRow::clone(&group) }));
    }

    fn sign_off(&mut self, id: &str) -> Applied {
        if let Some(row) = self.instances.get(id) {
            let mut leaving = InstanceRow::clone(row);
            leaving.state = InstanceState::Draining;
            self.instances.insert(id.to_string(), Arc::new(leaving));
        }
        self.bar(id);
        Applied::touching(Vec::new())
    }

    fn remove(&mut self, id: &str) -> Applied {
        self.forget(id);
        Applied::touching(Vec::new())
    }

    fn forget(&mut self, id: &str) {
        self.bar(id);
        self.instances.remove(id);
        self.last_models.remove(id);
    }

    /// No later report of this instance counts.
    fn bar(&mut self, id: &str) {
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
        let unknown = members.iter().any(|id| !self.instances.contains_key(id));
        if unknown {
            return Applied::refused(ResultCode::NotFound, "a member is not registered");
        }
        if members.iter().any(|id| self.group_of(id).is_some()) {
            return Applied::refused(ResultCode::MachineInOtherReplica, "a member is in another group");
        }
        // Until all members are ready, nothing is known of a member that may or may not have taken its order to join.
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
        let held = row.members.iter().map(|member| (member.clone(), epoch));
        self.memberships.extend(held);
        self.groups.insert(epoch, Arc::new(row));
        Applied::touching(Vec::new())
    }

    fn set_phase(&mut self, epoch: u64, phase: GroupPhase, reason: &str) -> Applied {
        let Some(row) = self.groups.get(&epoch) else {
            return Applied::refused(ResultCode::EpochStale, "there is no such group");
        };
        if !may_follow(row.phase, phase) || row.purpose != GroupPurpose::Serve {
            return Applied::refused(ResultCode::EpochStale, "the group has moved on");
        }
        let mut next = GroupRow::clone(row);
        next.phase = phase;
        next.reason = reason.to_string();
        if phase == GroupPhase::Opening {
            self.note_ready(&next);
        }
        self.groups.insert(epoch, Arc::new(next));
        Applied::touching(Vec::new())
    }

    fn preloaded(&mut self, epoch: u64) -> Applied {
        let Some(row) = self.groups.get(&epoch).cloned() else {
            return Applied::refused(ResultCode::EpochStale, "there is no such group");
        };
        if row.purpose == GroupPurpose::Preload {
            self.note_ready(&row);
            self.dissolve(epoch);
        }
        Applied::touching(Vec::new())
    }

    /// All members of a group were ready in it.
    fn note_ready(&mut self, group: &GroupRow) {
        let ready = group.members.iter().map(|id| (id.clone(), group.model.clone()));
        self.last_models.extend(ready);
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
        next.members.retain(|held| held != member);
        self.memberships.remove(member);
        self.groups.insert(epoch, Arc::new(next));
        Applied::touching(Vec::new())
    }

    fn end(&mut self, epoch: u64) -> Applied {
        self.dissolve(epoch);
        Applied::touching(Vec::new())
    }

    fn dissolve(&mut self, epoch: u64) {
        let Some(row) = self.groups.remove(&epoch) else { return };
        for member in &row.members {
            self.memberships.remove(member);
        }
    }
}

/// Phases only go forward: a group that was ordered to close never serves again.
fn may_follow(from: GroupPhase, to: GroupPhase) -> bool {
    let rank = |phase| match phase {
        GroupPhase::Forming => 0,
        GroupPhase::Opening => 1,
        GroupPhase::Open => 2,
        GroupPhase::Draining => 3,
        GroupPhase::Cutting => 4,
    };
    rank(to) > rank(from)
}
