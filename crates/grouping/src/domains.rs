//! The fabric domains of a service: their free servers, how soon each could serve which model, and their groups.

use crate::staging::StagingUnderWay;
use crate::{Millis, View};
use dockwood_api::gateway::{EngineProfile, InstanceState, ModelProfile};
use dockwood_state::{GroupRow, InstanceRow};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time to join another group of the model of a server's last group, in milliseconds: the weights are still in place.
/// The engines' documentation gives it.
const REJOIN_MS: Millis = 200;

/// A server as planning sees it.
#[derive(Clone, Debug)]
pub(crate) struct Server<'a> {
    pub id: &'a str,
    /// Time until it could serve each model as a member of a new group, in the order of the service's models.
    pub ready_ms: Vec<Millis>,
    /// Whether it can join a group of each model without a load from the store.
    pub is_loaded: Vec<bool>,
    /// What its host keeps staged could give way to another model's weights, and nothing would be lost.
    pub can_stage: bool,
}

/// One fabric domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Domain<'a> {
    /// Servers in no group.
    pub free: Vec<Server<'a>>,
    /// Groups with their head in this domain.
    pub groups: Vec<&'a Arc<GroupRow>>,
}

impl Domain<'_> {
    /// Servers that are free, or in groups.
    pub fn servers(&self) -> usize {
        self.free.len() + self.groups.iter().map(|group| group.members.len()).sum::<usize>()
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
    for group in groups() {
        let domain = domain_of(view, group).and_then(|name| domains.get_mut(name));
        if let Some(domain) = domain {
            domain.groups.push(group);
        }
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
    Server { id, ready_ms, is_loaded, can_stage: (has_room || is_doubled) && !staging.is_loading(id) }
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
    load_ms + model.warm_ms
}

pub(crate) fn is_usable(view: &View<'_>, row: &InstanceRow) -> bool {
    row.state == InstanceState::Ready && view.observations.was_heard(view.now, &row.id)
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
