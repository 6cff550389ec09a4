//! How many groups each model needs, how many it holds, and what that is worth.

use crate::capacity::group_ms;
use crate::{Millis, View};
use dockwood_api::gateway::EngineProfile;
use dockwood_state::{GroupPhase, GroupPurpose, GroupRow};

/// A model is never taken to need fewer groups than this: what nobody asks for now may be asked for again.
const LEAST_NEED: f64 = 0.25;
/// How sharply the part of a model's requests that is served in time bends where it holds just what it needs. With 8,
/// a model that holds what it needs serves 92 in 100 in time, one that holds a quarter more 98, one that holds a
/// quarter less 74: near what was measured on days without faults.
const BEND: f64 = 8.0;
/// What a model that holds next to nothing counts for beyond the requests that it would serve, and the coverage at which
/// half of that is gone: no model is left without a group for the sake of one that needs fewer servers.
const LAST_GROUP_WORTH: f64 = 0.5;
const LAST_GROUP_COVERAGE: f64 = 0.1;
/// Part of a service's servers that its requests are taken to need, until enough of them have been seen: a fleet has
/// something to spare.
const PRESUMED_NEED: f64 = 0.75;

/// How far a choice looks ahead, in milliseconds: what a group serves while it is still loading is lost to it. Some
/// times the longest load, so that a group that must load first is worth something.
const HORIZON_MS: f64 = 40_000.0;

/// Groups of one model that begin to serve, or end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Change {
    /// Position of the model in the profile.
    pub model: usize,
    /// In how many milliseconds.
    pub after_ms: Millis,
    /// Groups more; negative if they end.
    pub groups: f64,
}

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

    /// What is served over the horizon if these changes happen, in groups' worth of work.
    pub fn worth(&self, changes: &[Change]) -> f64 {
        (0..self.need.len()).map(|model| self.worth_of(model, changes)).sum()
    }

    fn worth_of(&self, model: usize, changes: &[Change]) -> f64 {
        let mut own: Vec<&Change> = changes.iter().filter(|change| change.model == model).collect();
        own.sort_by_key(|change| change.after_ms);
        let mut held = self.held[model];
        let mut since = 0.0;
        let mut sum = 0.0;
        for change in own {
            let at = (change.after_ms as f64).min(HORIZON_MS);
            sum += (at - since) * self.served(model, held);
            since = at;
            held += change.groups;
        }
        (sum + (HORIZON_MS - since) * self.served(model, held)) / HORIZON_MS
    }

    /// Work that so many groups of a model serve, in groups.
    fn served(&self, model: usize, held: f64) -> f64 {
        let coverage = held.max(0.0) / self.need[model];
        let last = LAST_GROUP_WORTH * LAST_GROUP_COVERAGE / (coverage + LAST_GROUP_COVERAGE);
        self.need[model] * (served_part(coverage) - last)
    }

    /// Counts changes as if they had happened already, each for the part of the horizon that is left then.
    pub fn count(&mut self, changes: &[Change]) {
        for change in changes {
            let part = (1.0 - change.after_ms as f64 / HORIZON_MS).max(0.0);
            self.held[change.model] += change.groups * part;
        }
    }

    /// Takes back what [`Balance::count`] counted.
    pub fn uncount(&mut self, changes: &[Change]) {
        let opposite = |change: &Change| Change { groups: -change.groups, ..*change };
        self.count(&changes.iter().map(opposite).collect::<Vec<Change>>());
    }
}

/// Part of a model's requests that is served in time, if it holds `coverage` times what it needs.
fn served_part(coverage: f64) -> f64 {
    if coverage <= 0.0 {
        return 0.0;
    }
    (1.0 + coverage.powf(-BEND)).powf(-1.0 / BEND)
}

/// Whether a group serves, or soon will.
fn is_held(group: &GroupRow) -> bool {
    let may_serve = matches!(group.phase, GroupPhase::Forming | GroupPhase::Opening | GroupPhase::Open);
    may_serve && group.purpose == GroupPurpose::Serve
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
            share * PRESUMED_NEED * servers as f64 / f64::from(model.size.max(1))
        }
    });
    needed.map(|groups| groups.max(LEAST_NEED)).collect()
}
