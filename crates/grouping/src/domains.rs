//! The fabric domains of a service: their free servers, how soon each could serve which model, and their groups.

use crate::staging::StagingUnderWay;
use crate::{Millis, View};
use dockwood_api::gateway::{EngineProfile, InstanceState, ModelProfile};
use dockwood_state::{GroupPhase, GroupPurpose, GroupRow, InstanceRow};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time to join another group of the model of a server's last group, in milliseconds: the weights are still in place.
/// The engines' documentation gives it.
const REJOIN_MS: Millis = 200;

/// Time in which the requests of a group that drains end, in milliseconds. Measured: 0.7 to 1.7 s on norrstrom-klubb.
pub(crate) const DRAIN_MS: Millis = 1_500;
/// Time in which a group that is cut off ends, in milliseconds. Measured: 50 ms where its head answers, 200 ms where its
/// members are told to leave.
const CUT_MS: Millis = 200;

/// Before the first request, loads take so many times less. The engines' documentation gives it.
const EARLY_LOAD_DIVISOR: Millis = 10;

/// A server as planning sees it.
#[derive(Clone, Debug)]
pub(crate) struct Server<'a> {
    pub id: &'a str,
    /// Time until it could serve each model as a member of a new group, in the order of the service's models.
    pub ready_ms: Vec<Millis>,
    /// In no group now.
    pub is_free: bool,
    /// Whether it can join a group of each model without a load from the store.
    pub is_loaded: Vec<bool>,
    /// It is cold, so that it should head no group if another member can.
    pub is_cold: bool,
    /// What its host keeps staged could give way to another model's weights, and nothing would be lost.
    pub can_stage: bool,
}

impl Server<'_> {
    /// The same server, if it leaves its group only after some time.
    pub fn free_after(mut self, after_ms: Millis) -> Self {
        self.ready_ms.iter_mut().for_each(|ready_ms| *ready_ms += after_ms);
        self.is_free = false;
        self
    }
}

/// One fabric domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Domain<'a> {
    /// Servers in no group, and those of groups that are closing.
    pub free: Vec<Server<'a>>,
    /// Groups that are to serve, with their head in this domain; not those of evacuated zones, which stay as they are.
    pub groups: Vec<&'a Arc<GroupRow>>,
}

impl Domain<'_> {
    /// Servers that are free, or in groups.
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
    staging: &StagingUnderWay,
) -> BTreeMap<&'a str, Domain<'a>> {
    let groups = || view.tables.groups.values().filter(|group| group.service == service);
    let grouped: BTreeSet<&str> = groups().flat_map(|group| &group.members).map(String::as_str).collect();
    let mut domains: BTreeMap<&str, Domain<'a>> = BTreeMap::new();
    for row in view.tables.instances.values().filter(|row| row.service == service) {
        let Some(name) = &row.domain else { continue };
        let domain = domains.entry(name).or_default();
        if is_usable(view, row) && !grouped.contains(row.id.as_str()) {
            domain.free.push(server(view, engine, staging, &row.id));
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
            domain.free.extend(members.map(|id| server(view, engine, staging, id).free_after(free_after_ms)));
        }
        domain.groups.push(group);
    }
    domains
}

/// A server, free or not, as planning sees it.
pub(crate) fn server<'a>(
    view: &View<'a>,
    engine: &EngineProfile,
    staging: &StagingUnderWay,
    id: &'a str,
) -> Server<'a> {
    let last = view.tables.last_model(id);
    let staged = staged_at(view, id);
    let mut ready_ms = Vec::with_capacity(engine.models.len());
    let mut is_loaded = Vec::with_capacity(engine.models.len());
    for model in &engine.models {
        let loaded = last == Some(&model.name) || staged.contains(&model.name);
        is_loaded.push(loaded);
        ready_ms.push(ready_after(view, staging, id, model, last, staged));
    }
    let has_room = staged.len() < engine.staged_models as usize;
    let is_doubled = staged.iter().all(|model| last == Some(model));
    Server {
        id,
        ready_ms,
        is_loaded,
        is_free: true,
        is_cold: view.tables.instances.get(id).is_some_and(|row| row.is_cold),
        can_stage: (has_room || is_doubled) && !staging.is_loading(id),
    }
}

fn ready_after(
    view: &View<'_>,
    staging: &StagingUnderWay,
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
    let load_ms = staging.left_ms(view.now, id, &model.name).unwrap_or(model.load_ms);
    if view.tables.requests_seen { load_ms + model.warm_ms } else { load_ms / EARLY_LOAD_DIVISOR }
}

/// Whether a server may be planned with. Those of an evacuated zone would take no requests.
pub(crate) fn is_usable(view: &View<'_>, row: &InstanceRow) -> bool {
    let is_slow = view.observations.slow_factor(&row.id).is_some();
    let is_ready = row.state == InstanceState::Ready && !view.tables.is_evacuated(&row.zone);
    is_ready && view.observations.was_heard(view.now, &row.id) && !is_slow
}

/// Models that an instance's host has staged.
pub(crate) fn staged_at<'a>(view: &View<'a>, instance: &str) -> &'a [String] {
    view.observations.instance(instance).map_or(&[], |seen| seen.staged.as_slice())
}

/// Whether an instance's host has a model staged.
pub(crate) fn has_staged(view: &View<'_>, instance: &str, model: &str) -> bool {
    staged_at(view, instance).iter().any(|staged| staged == model)
}

/// The domain of a group's members.
pub(crate) fn domain_of<'a>(view: &View<'a>, group: &GroupRow) -> Option<&'a str> {
    let head = group.members.first()?;
    view.tables.instances.get(head)?.domain.as_deref()
}
