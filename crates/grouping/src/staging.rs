//! Keeps the weights of the model with the largest groups staged on some servers of other groups in each domain.
//!
//! A large group is lost more often than a small one, and is harder to make anew: after the loss of one member, its
//! survivors need servers of their domain that can join without a load from the store.

use crate::domains::{domain_of, has_staged};
use crate::{Millis, View};
use dockwood_api::gateway::{EngineProfile, InstanceState, ModelProfile};
use dockwood_state::{GroupPhase, GroupRow};
use std::collections::{BTreeMap, BTreeSet};

/// Weights that are being staged, by instance and model, and until when they may be.
pub(crate) type StagingUnderWay = BTreeMap<(String, String), Millis>;

/// Servers that should stage a model.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct StagingWish {
    pub instance: String,
    pub model: String,
    pub load_ms: Millis,
    pub loads_per_second: f64,
    pub loads_at_once: u32,
}

/// Servers of each domain, outside the model's own groups, that should have it staged.
const STAGED_PER_DOMAIN: usize = 2;

/// What should be staged next.
pub(crate) fn wanted_staging(view: &View<'_>, under_way: &StagingUnderWay) -> Vec<StagingWish> {
    let Some(configuration) = &view.tables.configuration else { return Vec::new() };
    let mut wishes = Vec::new();
    for service in &configuration.services {
        let Some(engine) = &service.engine else { continue };
        let Some(model) = largest_model(engine) else { continue };
        for domain in domains_holding(view, &service.name, &model.name) {
            wishes.extend(wishes_for(view, engine, model, &service.name, &domain, under_way));
        }
    }
    wishes
}

/// The model whose groups are largest, if others are smaller.
fn largest_model(engine: &EngineProfile) -> Option<&ModelProfile> {
    let largest = engine.models.iter().max_by_key(|model| model.size)?;
    engine.models.iter().any(|model| model.size < largest.size).then_some(largest)
}

fn domains_holding(view: &View<'_>, service: &str, model: &str) -> BTreeSet<String> {
    let groups = view.tables.groups.values().filter(|group| group.service == service && group.model == model);
    groups.filter_map(|group| domain_of(view, group)).map(str::to_string).collect()
}

fn wishes_for(
    view: &View<'_>,
    engine: &EngineProfile,
    model: &ModelProfile,
    service: &str,
    domain: &str,
    under_way: &StagingUnderWay,
) -> Vec<StagingWish> {
    let is_donor = |group: &&GroupRow| {
        group.service == service
            && group.model != model.name
            && group.phase == GroupPhase::Open
            && domain_of(view, group) == Some(domain)
    };
    let donors: Vec<&GroupRow> = view.tables.groups.values().map(AsRef::as_ref).filter(is_donor).collect();
    let members = || donors.iter().flat_map(|group| &group.members);
    let has = |id: &&String| {
        has_staged(view, id, &model.name) || under_way.contains_key(&((*id).clone(), model.name.clone()))
    };
    let staged = members().filter(has).count();
    let is_ready = |id: &&String| {
        let row = view.tables.instances.get(*id);
        row.is_some_and(|row| row.state == InstanceState::Ready) && view.observations.is_present(view.now, id)
    };
    let lacking = members().filter(|id| !has(id)).filter(is_ready);
    let wish = |id: &String| StagingWish {
        instance: id.clone(),
        model: model.name.clone(),
        load_ms: model.load_ms,
        loads_per_second: engine.loads_per_second,
        loads_at_once: engine.loads_at_once,
    };
    lacking.take(STAGED_PER_DOMAIN.saturating_sub(staged)).map(wish).collect()
}
