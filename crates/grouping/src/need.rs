//! How many groups each model needs, how many it holds, and what that is worth.

use crate::capacity::group_ms;
use crate::demand::ModelDemand;
use crate::worth::ModelWeights;
use crate::{Millis, View};
use dockwood_api::gateway::{EngineProfile, ModelProfile};
use dockwood_state::{GroupPhase, GroupPurpose, GroupRow};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A model is never taken to need fewer groups than this: what nobody asks for now may be asked for again.
const LEAST_NEED: f64 = 0.25;
/// Part of a service's servers that its requests are taken to need, until enough of them have been seen: a fleet has
/// something to spare.
const PRESUMED_NEED: f64 = 0.75;

/// How far a choice looks ahead, in milliseconds: what a group serves while it is still loading is lost to it. Some
/// times the longest load, so that a group that must load first is worth something.
const HORIZON_MS: f64 = 40_000.0;

/// What is asked of each model of a service, by its name.
type DemandByModel = BTreeMap<String, ModelDemand>;

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
    /// What each model counts for.
    weights: ModelWeights,
}

impl Balance {
    /// The balance of a service with so many `servers`: by what is asked for, or by the declared shares until enough
    /// requests have been seen to tell.
    pub fn new(view: &View<'_>, service: &str, engine: &EngineProfile, servers: usize) -> Balance {
        let mut held = vec![0.0; engine.models.len()];
        let groups = view.tables.groups.values();
        let counts = |group: &&Arc<GroupRow>| {
            group.service == service && is_held(group) && !view.tables.is_evacuated(&group.zone)
        };
        let held_back = view.observations.held_groups(view.now);
        let demand = view.observations.demand().of_service(service);
        for group in groups.filter(counts) {
            let position = engine.models.iter().position(|model| model.name == group.model);
            if let Some(position) = position {
                let part = part_held(held_back.get(&group.epoch).copied().unwrap_or(0));
                let model = &engine.models[position];
                held[position] += part * part_within_limit(view, group, engine, model, demand.as_ref());
            }
        }
        let need = groups_needed(demand.as_ref(), engine, servers);
        Balance { need, held, weights: ModelWeights::new(&asked(demand.as_ref(), engine)) }
    }

    /// What is served over the horizon if these changes happen, on average over its time.
    pub fn worth(&self, changes: &[Change]) -> f64 {
        let mut by_time: Vec<&Change> = changes.iter().collect();
        by_time.sort_by_key(|change| change.after_ms);
        let mut held = self.held.clone();
        let mut since = 0.0;
        let mut sum = 0.0;
        for change in by_time {
            let at = (change.after_ms as f64).min(HORIZON_MS);
            if at > since {
                sum += (at - since) * self.worth_of(&held);
                since = at;
            }
            held[change.model] += change.groups;
        }
        (sum + (HORIZON_MS - since) * self.worth_of(&held)) / HORIZON_MS
    }

    /// What it is worth that the models hold so many groups.
    fn worth_of(&self, held: &[f64]) -> f64 {
        let coverages = held.iter().zip(&self.need).map(|(held, need)| held.max(0.0) / need);
        self.weights.worth(coverages)
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

/// The part of the horizon in which a group serves: one whose head wants nothing for a minute is no help meanwhile, though
/// it is well.
fn part_held(held_back_ms: Millis) -> f64 {
    (1.0 - held_back_ms as f64 / HORIZON_MS).max(0.0)
}

/// The part of a group's work that its head takes: one that named a limit serves no more requests than that, however many
/// places it has.
fn part_within_limit(
    view: &View<'_>,
    group: &GroupRow,
    engine: &EngineProfile,
    model: &ModelProfile,
    demand: Option<&DemandByModel>,
) -> f64 {
    let head = group.members.first();
    let limit = head.and_then(|head| view.observations.limit_of(head));
    let asked = demand.and_then(|demand| demand.get(&model.name));
    limit.zip(asked).map_or(1.0, |(rate, asked)| {
        (rate.per_second() * group_ms(engine, model, &asked.work) / 1_000.0).min(1.0)
    })
}

/// Whether a group serves, or soon will.
fn is_held(group: &GroupRow) -> bool {
    let may_serve = matches!(group.phase, GroupPhase::Forming | GroupPhase::Opening | GroupPhase::Open);
    may_serve && group.purpose == GroupPurpose::Serve
}

/// How often each model of a service is asked for, in requests a second, or by its declared share until that is known.
fn asked(demand: Option<&DemandByModel>, engine: &EngineProfile) -> Vec<f64> {
    let asked = |model: &ModelProfile| match demand {
        Some(demand) => demand.get(&model.name).map_or(0.0, |asked| asked.per_second),
        None => model.share,
    };
    engine.models.iter().map(asked).collect()
}

/// How many groups of each model the requests need, or by the declared shares of so many servers.
fn groups_needed(demand: Option<&DemandByModel>, engine: &EngineProfile, servers: usize) -> Vec<f64> {
    let all_shares: f64 = engine.models.iter().map(|model| model.share).sum();
    let needed = engine.models.iter().map(|model| match demand {
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
