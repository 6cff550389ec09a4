//! What each model holds, and what it needs.

use crate::View;
use dockwood_api::gateway::{EngineProfile, ModelProfile};
use dockwood_state::GroupPhase;
use std::collections::BTreeMap;

/// A model is never taken to need fewer servers than this: what nobody asks for now may be asked for again.
const LEAST_WANTED: f64 = 1.0;

/// Servers that each model holds, against those that its requests need; by the declared shares until there are enough
/// requests to tell.
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
        let groups = view.tables.groups.values();
        for group in groups.filter(|group| group.service == service && is_held(group.phase)) {
            let servers = group.members.len() as u32;
            *held.entry(group.model.clone()).or_default() += servers;
            if group.phase == GroupPhase::Open {
                *serving.entry(group.model.clone()).or_default() += servers;
            }
        }
        let wanted = match view.observations.demand().places(service) {
            Some(places) => by_requests(engine, &places),
            None => by_shares(engine, f64::from(held.values().sum::<u32>()) + free as f64),
        };
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
        servers / self.wanted.get(model).copied().unwrap_or(0.0).max(LEAST_WANTED)
    }
}

/// Whether a group serves, or soon will.
fn is_held(phase: GroupPhase) -> bool {
    matches!(phase, GroupPhase::Forming | GroupPhase::Opening | GroupPhase::Open)
}

/// Servers for the places that requests hold.
fn by_requests(engine: &EngineProfile, places: &BTreeMap<String, f64>) -> BTreeMap<String, f64> {
    let servers = |model: &ModelProfile| {
        let places = places.get(&model.name).copied().unwrap_or(0.0);
        places / f64::from(engine.slots.max(1)) * f64::from(model.size)
    };
    engine.models.iter().map(|model| (model.name.clone(), servers(model))).collect()
}

/// All servers, divided as the service declares.
fn by_shares(engine: &EngineProfile, servers: f64) -> BTreeMap<String, f64> {
    let all_shares: f64 = engine.models.iter().map(|model| model.share).sum();
    let share = |model: &ModelProfile| model.share / all_shares.max(f64::MIN_POSITIVE);
    engine.models.iter().map(|model| (model.name.clone(), share(model) * servers)).collect()
}
