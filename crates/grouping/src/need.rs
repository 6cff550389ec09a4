//! How many groups each model needs, how many it holds, and what that is worth.

use crate::View;
use crate::capacity::group_ms;
use dockwood_api::gateway::EngineProfile;
use dockwood_state::{GroupPhase, GroupRow};

/// A model is never taken to need fewer groups than this: what nobody asks for now may be asked for again.
const LEAST_NEED: f64 = 0.25;
/// Added to each coverage: of models that hold next to nothing, none counts for infinitely more than another.
const LEAST_COVERAGE: f64 = 0.1;

/// Groups of each model of a service, in the order of its profile.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Balance {
    /// Groups that the requests need.
    need: Vec<f64>,
    /// Groups that serve or soon will.
    held: Vec<f64>,
}

impl Balance {
    /// The balance of a service with so many `servers`: by what is asked for, or by the declared shares until enough
    /// requests have been seen to tell.
    pub fn new(view: &View<'_>, service: &str, engine: &EngineProfile, servers: usize) -> Balance {
        let mut held = vec![0.0; engine.models.len()];
        let groups = view.tables.groups.values();
        for group in groups.filter(|group| group.service == service && is_held(group)) {
            let position = engine.models.iter().position(|model| model.name == group.model);
            if let Some(position) = position {
                held[position] += 1.0;
            }
        }
        Balance { need: groups_needed(view, service, engine, servers), held }
    }

    /// What it is worth that models hold some groups more or fewer. The less of its need a model holds, the more
    /// another group of it is worth; only the ratios of the needs matter, not how much they come to.
    pub fn worth(&self, more: &[f64]) -> f64 {
        let worth = |((need, held), more): ((&f64, &f64), &f64)| {
            let coverage = (held + more).max(0.0) / need;
            -1.0 / (coverage + LEAST_COVERAGE)
        };
        self.need.iter().zip(&self.held).zip(more).map(worth).sum()
    }

    /// Counts some groups more or fewer.
    pub fn add(&mut self, more: &[f64]) {
        self.held.iter_mut().zip(more).for_each(|(held, more)| *held += more);
    }
}

/// Whether a group serves, or soon will.
fn is_held(group: &GroupRow) -> bool {
    matches!(group.phase, GroupPhase::Forming | GroupPhase::Opening | GroupPhase::Open)
}

fn groups_needed(view: &View<'_>, service: &str, engine: &EngineProfile, servers: usize) -> Vec<f64> {
    let demand = view.observations.demand().of_service(service);
    let all_shares: f64 = engine.models.iter().map(|model| model.share).sum();
    let needed = engine.models.iter().map(|model| match &demand {
        Some(demand) => {
            let asked = demand.get(&model.name).copied().unwrap_or_default();
            asked.per_second * group_ms(engine, model, &asked.work) / 1_000.0
        }
        None => {
            let share = model.share / all_shares.max(f64::MIN_POSITIVE);
            share * servers as f64 / f64::from(model.size.max(1))
        }
    });
    needed.map(|groups| groups.max(LEAST_NEED)).collect()
}
