//! The fabric domains of a service: their groups and free servers, and how soon each server could serve each
//! model.

use crate::staging::StagingInProgress;
use crate::stale_members::stale_membership;
use crate::{Millis, View};
use dockwood_api::gateway::{EngineProfile, InstanceState, ModelProfile};
use dockwood_state::{GroupPhase, GroupPurpose, GroupRow, InstanceRow};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time to join another group of the same model as the server's last group, in milliseconds: the weights are
/// still loaded. From the engines' documentation.
const REJOIN_MS: Millis = 200;

/// Time in which the requests of a draining group finish, in milliseconds. Measured: 0.7 to 1.7 s on
/// norrstrom-klubb.
pub(crate) const DRAIN_MS: Millis = 1_500;
/// Time in which a group in the cutting phase ends, in milliseconds. Measured: 50 ms if its head answers, 200
/// ms if its members are told to leave.
const CUT_MS: Millis = 200;

/// Factor by which loads are faster before the first request. From the engines' documentation.
const EARLY_LOAD_DIVISOR: Millis = 10;

/// A server as represented in planning.
#[derive(Clone, Debug)]
pub(crate) struct Server<'a> {
    pub id: &'a str,
    /// Time until the server could serve each model as a member of a new group, in the order of the service's
    /// models.
    pub ready_ms: Vec<Millis>,
    /// Whether the server is in no group now.
    pub is_free: bool,
    /// Whether the server can join a group of each model without a load from the store.
    pub is_loaded: Vec<bool>,
    /// Whether the server is cold, so that it should not become the head of a group if another member can.
    pub is_cold: bool,
    /// Whether the host could stage another model without losing the only copy of a model.
    pub can_stage: bool,
}

impl Server<'_> {
    /// The server with its readiness delayed by the time until it leaves its group.
    pub fn free_after(mut self, after_ms: Millis) -> Self {
        self.ready_ms.iter_mut().for_each(|ready_ms| *ready_ms += after_ms);
        self.is_free = false;
        self
    }
}

/// A fabric domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Domain<'a> {
    /// Servers in no group, and members of closing groups.
    pub free: Vec<Server<'a>>,
    /// Groups with the purpose to serve whose head is in this domain, without those of evacuated zones, which
    /// are not changed.
    pub groups: Vec<&'a Arc<GroupRow>>,
}

impl Domain<'_> {
    /// Number of servers that are free or in groups.
    pub fn servers(&self) -> usize {
        let in_groups = self.groups.iter().map(|group| group.members.len()).sum::<usize>();
        in_groups + self.free.iter().filter(|server| server.is_free).count()
    }
}

/// The domains of a service by name.
pub(crate) fn domains_of<'a>(
    view: &View<'a>,
    service: &str,
    engine: &EngineProfile,
    staging: &StagingInProgress,
) -> BTreeMap<&'a str, Domain<'a>> {
    let groups = || view.tables.groups.values().filter(|group| group.service == service);
    let grouped: BTreeSet<&str> = groups().flat_map(|group| &group.members).map(String::as_str).collect();
    let mut domains: BTreeMap<&str, Domain<'a>> = BTreeMap::new();
    for row in view.tables.instances.values().filter(|row| row.service == service) {
        let Some(name) = &row.domain else { continue };
        let domain = domains.entry(name).or_default();
        if is_usable(view, row) && !grouped.contains(row.id.as_str()) {
            domain.free.push(planned_server(view, engine, staging, &row.id));
        }
    }
    let is_planned = |group: &&Arc<GroupRow>| {
        group.purpose == GroupPurpose::Serve && !view.tables.is_evacuated(&group.zone)
    };
    for group in groups().filter(is_planned) {
        let domain = domain_of(view, group).and_then(|name| domains.get_mut(name));
        let Some(domain) = domain else { continue };
        let free_after = match group.phase {
            GroupPhase::Draining => Some(DRAIN_MS),
            GroupPhase::Cutting => Some(CUT_MS),
            _ => None,
        };
        if let Some(free_after_ms) = free_after {
            let usable =
                |id: &&String| view.tables.instances.get(*id).is_some_and(|row| is_usable(view, row));
            let members = group.members.iter().filter(usable);
            domain.free.extend(
                members.map(|id| planned_server(view, engine, staging, id).free_after(free_after_ms)),
            );
        }
        domain.groups.push(group);
    }
    domains
}

/// The planning data of a server, whether free or not.
pub(crate) fn planned_server<'a>(
    view: &View<'a>,
    engine: &EngineProfile,
    staging: &StagingInProgress,
    id: &'a str,
) -> Server<'a> {
    let last = view.tables.last_model(id);
    let staged = staged_models(view, id);
    let mut ready_ms = Vec::with_capacity(engine.models.len());
    let mut is_loaded = Vec::with_capacity(engine.models.len());
    for model in &engine.models {
        let needs_no_load = last == Some(&model.name) || staged.contains(&model.name);
        is_loaded.push(needs_no_load);
        ready_ms.push(time_until_ready(view, staging, id, model, last, staged));
    }
    let has_room = staged.len() < engine.staged_models as usize;
    let has_only_duplicates = staged.iter().all(|model| last == Some(model));
    Server {
        id,
        ready_ms,
        is_loaded,
        is_free: true,
        is_cold: view.tables.instances.get(id).is_some_and(|row| row.is_cold),
        can_stage: (has_room || has_only_duplicates) && !staging.is_loading(id),
    }
}

fn time_until_ready(
    view: &View<'_>,
    staging: &StagingInProgress,
    id: &str,
    model: &ModelProfile,
    last: Option<&str>,
    staged: &[String],
) -> Millis {
    if last == Some(&model.name) {
        return REJOIN_MS;
    }
    if staged.contains(&model.name) {
        return model.warm_ms;
    }
    let load_ms = staging.remaining_ms(view.now, id, &model.name).unwrap_or(model.load_ms);
    if view.tables.requests_seen { load_ms + model.warm_ms } else { load_ms / EARLY_LOAD_DIVISOR }
}

/// Whether a server may be included in plans. Servers of an evacuated zone would receive no requests, and those that
/// report to be in another group that may be serving have to leave it first.
pub(crate) fn is_usable(view: &View<'_>, row: &InstanceRow) -> bool {
    let is_slow = view.observations.slow_factor(&row.id).is_some();
    let is_ready = row.state == InstanceState::Ready && !view.tables.is_evacuated(&row.zone);
    let is_elsewhere = stale_membership(view, &row.id).is_some();
    is_ready && view.observations.was_heard(view.now, &row.id) && !is_slow && !is_elsewhere
}

/// Models that an instance's host has staged.
pub(crate) fn staged_models<'a>(view: &View<'a>, instance: &str) -> &'a [String] {
    view.observations.instance(instance).map_or(&[], |seen| seen.staged.as_slice())
}

/// Whether an instance's host has a model staged.
pub(crate) fn has_staged(view: &View<'_>, instance: &str, model: &str) -> bool {
    staged_models(view, instance).iter().any(|staged| staged == model)
}

/// The domain of a group's members.
pub(crate) fn domain_of<'a>(view: &View<'a>, group: &GroupRow) -> Option<&'a str> {
    let head = group.members.first()?;
    view.tables.instances.get(head)?.domain.as_deref()
}
