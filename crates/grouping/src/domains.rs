//! What the decisions on placement share: free servers by domain, what each model holds, and what it lacks.

use crate::View;
use dockwood_api::gateway::{EngineProfile, InstanceState, ModelProfile};
use dockwood_state::{GroupPhase, GroupRow, InstanceRow};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A free server with what its host has staged.
#[derive(Clone, Debug)]
pub(crate) struct FreeServer {
    pub id: String,
    pub staged: Vec<String>,
}

/// Free servers of a service by domain.
pub(crate) fn free_by_domain(view: &View<'_>, service: &str) -> BTreeMap<String, Vec<FreeServer>> {
    let is_free =
        |row: &&Arc<InstanceRow>| is_usable(view, row, service) && view.tables.group_of(&row.id).is_none();
    let mut domains: BTreeMap<String, Vec<FreeServer>> = BTreeMap::new();
    for row in view.tables.instances.values().filter(is_free) {
        let Some(domain) = &row.domain else { continue };
        let staged = staged_at(view, &row.id).to_vec();
        domains.entry(domain.clone()).or_default().push(FreeServer { id: row.id.clone(), staged });
    }
    domains
}

fn is_usable(view: &View<'_>, row: &InstanceRow, service: &str) -> bool {
    let takes_work = row.service == service && row.state == InstanceState::Ready;
    takes_work && view.observations.was_heard(view.now, &row.id)
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

/// Whether a group serves, or soon will.
pub(crate) fn is_held(phase: GroupPhase) -> bool {
    matches!(phase, GroupPhase::Forming | GroupPhase::Opening | GroupPhase::Open)
}

/// Requests in flight, over all models of a service, from which on they tell what each model needs.
const TELLING_REQUESTS: u32 = 20;

/// Servers that each model holds, against those that its work needs: by the requests in flight, or by the declared
/// shares while there are few.
#[derive(Clone, Debug)]
pub(crate) struct Balance {
    held: BTreeMap<String, u32>,
    serving: BTreeMap<String, u32>,
    wanted: BTreeMap<String, f64>,
}

impl Balance {
    /// The balance of a service, with `free` servers still to be placed.
    pub fn new(view: &View<'_>, service: &str, engine: &EngineProfile, free: usize) -> Self {
        let mut held: BTreeMap<String, u32> = BTreeMap::new();
        let mut serving = held.clone();
        let mut in_flight = held.clone();
        let groups = view.tables.groups.values();
        for group in groups.filter(|group| group.service == service && is_held(group.phase)) {
            *held.entry(group.model.clone()).or_default() += group.members.len() as u32;
            if group.phase == GroupPhase::Open {
                *serving.entry(group.model.clone()).or_default() += group.members.len() as u32;
                *in_flight.entry(group.model.clone()).or_default() +=
                    view.observations.in_flight(group.epoch);
            }
        }
        // Requests that found no group are not in flight: the declared shares keep half of the say, so that a model
        // whose groups are all lost is not taken for one that nobody needs.
        let is_telling = in_flight.values().sum::<u32>() >= TELLING_REQUESTS;
        let requests =
            |model: &ModelProfile| f64::from(in_flight.get(&model.name).copied().unwrap_or(0) * model.size);
        let all_requests: f64 = engine.models.iter().map(requests).sum();
        let all_shares: f64 = engine.models.iter().map(|model| model.share).sum();
        let need = |model: &ModelProfile| {
            let declared = model.share / all_shares.max(f64::MIN_POSITIVE);
            if is_telling { (declared + requests(model) / all_requests) / 2.0 } else { declared }
        };
        let total = f64::from(held.values().sum::<u32>()) + free as f64;
        let wanted = engine.models.iter().map(|model| (model.name.clone(), need(model) * total)).collect();
        Balance { held, serving, wanted }
    }

    /// Counts servers to a model.
    pub fn add(&mut self, model: &str, servers: u32) {
        *self.held.entry(model.to_string()).or_default() += servers;
    }

    /// How well a model will be served once all its groups are formed: 1 if it holds what it needs.
    pub fn coverage(&self, model: &str) -> f64 {
        self.part(f64::from(self.held.get(model).copied().unwrap_or(0)), model)
    }

    /// How well a model is served now, if it had `fewer` servers.
    pub fn serving_coverage(&self, model: &str, fewer: u32) -> f64 {
        let serving = self.serving.get(model).copied().unwrap_or(0);
        self.part(f64::from(serving.saturating_sub(fewer)), model)
    }

    fn part(&self, servers: f64, model: &str) -> f64 {
        servers / self.wanted.get(model).copied().unwrap_or(0.0).max(1.0)
    }
}
