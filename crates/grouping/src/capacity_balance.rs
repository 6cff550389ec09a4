//! How many groups each model needs and has, and the utility of that.

use crate::capacity::group_time_ms;
use crate::demand::ModelDemand;
use crate::utility::ModelWeights;
use crate::{Millis, View};
use dockwood_api::gateway::{EngineProfile, ModelProfile};
use dockwood_state::{GroupPhase, GroupPurpose, GroupRow};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Minimum number of groups that a model needs: a model without requests now may be requested again.
const MIN_NEED: f64 = 0.25;
/// Fraction of a service's servers that its requests are assumed to need until enough of them have been seen:
/// a fleet has some reserve.
const ASSUMED_NEED_FRACTION: f64 = 0.75;

/// Time horizon of a decision, in milliseconds: a group serves nothing while it is loading. The horizon is
/// several times the longest load, so that a group that must load first still has some utility.
const HORIZON_MS: f64 = 40_000.0;

/// Demand for each model of a service, by name.
type DemandByModel = BTreeMap<String, ModelDemand>;

/// Groups of one model that begin or cease to serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CapacityChange {
    /// Position of the model in the profile.
    pub model: usize,
    /// Time until the change, in milliseconds.
    pub after_ms: Millis,
    /// Number of additional groups; negative if groups end.
    pub groups: f64,
}

/// Groups of each model of a service that are needed and available, in the order of its profile.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CapacityBalance {
    /// Number of groups that the requests need.
    need: Vec<f64>,
    /// Number of groups that serve or soon will.
    available: Vec<f64>,
    /// Weight of each model.
    weights: ModelWeights,
}

impl CapacityBalance {
    /// The balance of a service with this number of `servers`. Need is derived from the demand, or from the
    /// declared shares until enough requests have been seen.
    pub fn new(view: &View<'_>, service: &str, engine: &EngineProfile, servers: usize) -> CapacityBalance {
        let mut available = vec![0.0; engine.models.len()];
        let groups = view.tables.groups.values();
        let is_counted = |group: &&Arc<GroupRow>| {
            group.service == service && counts_as_capacity(group) && !view.tables.is_evacuated(&group.zone)
        };
        let held_back = view.observations.held_back_groups(view.now);
        let demand = view.observations.demand().of_service(service);
        for group in groups.filter(is_counted) {
            let position = engine.models.iter().position(|model| model.name == group.model);
            if let Some(position) = position {
                let fraction = available_fraction(held_back.get(&group.epoch).copied().unwrap_or(0));
                let model = &engine.models[position];
                available[position] +=
                    fraction * fraction_within_limit(view, group, engine, model, demand.as_ref());
            }
        }
        let need = groups_needed(demand.as_ref(), engine, servers);
        CapacityBalance {
            need,
            available,
            weights: ModelWeights::new(&request_rates(demand.as_ref(), engine)),
        }
    }

    /// The average utility over the horizon if these changes happen.
    pub fn utility(&self, changes: &[CapacityChange]) -> f64 {
        let mut by_time: Vec<&CapacityChange> = changes.iter().collect();
        by_time.sort_by_key(|change| change.after_ms);
        let mut available = self.available.clone();
        let mut elapsed_ms = 0.0;
        let mut sum = 0.0;
        for change in by_time {
            let change_ms = (change.after_ms as f64).min(HORIZON_MS);
            if change_ms > elapsed_ms {
                sum += (change_ms - elapsed_ms) * self.utility_of(&available);
                elapsed_ms = change_ms;
            }
            available[change.model] += change.groups;
        }
        (sum + (HORIZON_MS - elapsed_ms) * self.utility_of(&available)) / HORIZON_MS
    }

    /// The utility of the models holding these numbers of groups.
    fn utility_of(&self, available: &[f64]) -> f64 {
        let coverages = available.iter().zip(&self.need).map(|(available, need)| available.max(0.0) / need);
        self.weights.utility(coverages)
    }

    /// Applies changes as if they had happened already, each weighted by the fraction of the horizon that
    /// remains after it.
    pub fn apply(&mut self, changes: &[CapacityChange]) {
        for change in changes {
            let fraction = (1.0 - change.after_ms as f64 / HORIZON_MS).max(0.0);
            self.available[change.model] += change.groups * fraction;
        }
    }

    /// Reverts changes applied by [`CapacityBalance::apply`].
    pub fn revert(&mut self, changes: &[CapacityChange]) {
        let opposite = |change: &CapacityChange| CapacityChange { groups: -change.groups, ..*change };
        self.apply(&changes.iter().map(opposite).collect::<Vec<CapacityChange>>());
    }
}

/// Fraction of the horizon in which a group serves: a group whose head rejects requests for a minute
/// contributes nothing meanwhile, although it is healthy.
fn available_fraction(held_back_ms: Millis) -> f64 {
    (1.0 - held_back_ms as f64 / HORIZON_MS).max(0.0)
}

/// Fraction of a group's capacity that its head accepts: if the head declared a limit, the group serves no
/// more requests than that, however many places it has.
fn fraction_within_limit(
    view: &View<'_>,
    group: &GroupRow,
    engine: &EngineProfile,
    model: &ModelProfile,
    demand: Option<&DemandByModel>,
) -> f64 {
    let head = group.members.first();
    let limit = head.and_then(|head| view.observations.limit_of(head));
    let model_demand = demand.and_then(|demand| demand.get(&model.name));
    limit.zip(model_demand).map_or(1.0, |(rate, model_demand)| {
        (rate.per_second() * group_time_ms(engine, model, &model_demand.work) / 1_000.0).min(1.0)
    })
}

/// Whether a group serves or soon will.
fn counts_as_capacity(group: &GroupRow) -> bool {
    let may_serve = matches!(group.phase, GroupPhase::Forming | GroupPhase::Opening | GroupPhase::Open);
    may_serve && group.purpose == GroupPurpose::Serve
}

/// Request rate of each model of a service per second, or its declared share until the rate is known.
fn request_rates(demand: Option<&DemandByModel>, engine: &EngineProfile) -> Vec<f64> {
    let rate = |model: &ModelProfile| match demand {
        Some(demand) => demand.get(&model.name).map_or(0.0, |demand| demand.per_second),
        None => model.share,
    };
    engine.models.iter().map(rate).collect()
}

/// Number of groups of each model that the requests need, or that correspond to the declared shares of this
/// many servers.
fn groups_needed(demand: Option<&DemandByModel>, engine: &EngineProfile, servers: usize) -> Vec<f64> {
    let all_shares: f64 = engine.models.iter().map(|model| model.share).sum();
    let needed = engine.models.iter().map(|model| match demand {
        Some(demand) => {
            let model_demand = demand.get(&model.name).copied().unwrap_or_default();
            model_demand.per_second * group_time_ms(engine, model, &model_demand.work) / 1_000.0
        }
        None => {
            let share = model.share / all_shares.max(f64::MIN_POSITIVE);
            share * ASSUMED_NEED_FRACTION * servers as f64 / f64::from(model.size.max(1))
        }
    });
    needed.map(|groups| groups.max(MIN_NEED)).collect()
}
