//! Chooses the groups that the free servers of one domain should form.

use crate::Millis;
use crate::capacity_balance::{CapacityBalance, CapacityChange};
use crate::domains::Server;
use dockwood_api::gateway::{EngineProfile, ModelProfile};

/// Cost of each load from the store, as a fraction of all requests: of two packings that serve the same, the
/// one with fewer loads is chosen.
const LOAD_COST: f64 = 0.000_4;
/// Minimum utility of a group, as a fraction of all requests: servers that would serve less are more useful
/// as spares for lost ones.
const MIN_GROUP_GAIN: f64 = 0.000_2;
/// Maximum number of packings to compare; beyond it, higher counts of groups of models later in the profile
/// are not tried.
const MAX_PACKINGS: usize = 512;

/// A planned group.
#[derive(Clone, Debug)]
pub(crate) struct PlannedGroup<'a> {
    /// Position of its model in the profile.
    pub model: usize,
    /// Members, head first.
    pub members: Vec<Server<'a>>,
    /// Time until its members are ready.
    pub ready_ms: Millis,
}

impl PlannedGroup<'_> {
    /// Number of members that must load weights from the store first.
    pub fn loads(&self) -> usize {
        self.members.iter().filter(|server| !server.is_loaded[self.model]).count()
    }

    /// Whether all members can join now without a load.
    pub fn can_form(&self) -> bool {
        self.loads() == 0 && self.members.iter().all(|server| server.is_free)
    }
}

/// The planned groups of one domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Packing<'a> {
    pub groups: Vec<PlannedGroup<'a>>,
    /// Servers in no planned group.
    pub unassigned: Vec<Server<'a>>,
}

impl Packing<'_> {
    /// The changes in capacity due to the planned groups.
    pub fn changes(&self) -> Vec<CapacityChange> {
        let change = |group: &PlannedGroup<'_>| CapacityChange {
            model: group.model,
            after_ms: group.ready_ms,
            groups: 1.0,
        };
        self.groups.iter().map(change).collect()
    }

    /// Cost in addition to the servers' time, as a fraction of all requests.
    pub fn cost(&self) -> f64 {
        let loads: usize = self.groups.iter().map(PlannedGroup::loads).sum();
        LOAD_COST * loads as f64 + MIN_GROUP_GAIN * self.groups.len() as f64
    }
}

/// The packing of these servers with the highest utility.
pub(crate) fn best_packing<'a>(
    engine: &EngineProfile,
    balance: &CapacityBalance,
    free: &[Server<'a>],
) -> Packing<'a> {
    let packings =
        group_counts(&engine.models, free.len()).into_iter().map(|counts| pack(engine, free, &counts));
    let scored = packings.map(|packing| (balance.utility(&packing.changes()) - packing.cost(), packing));
    let best = scored.max_by(|(left, _), (right, _)| left.total_cmp(right));
    best.map(|(_, packing)| packing).unwrap_or_default()
}

/// All combinations of group counts per model that this many servers can form.
fn group_counts(models: &[ModelProfile], servers: usize) -> Vec<Vec<usize>> {
    let mut combinations = vec![Vec::new()];
    for model in models {
        let mut longer = Vec::new();
        for counts in &combinations {
            let used: usize =
                counts.iter().zip(models).map(|(count, model)| count * model.size as usize).sum();
            let max_count = (servers - used).checked_div(model.size as usize).unwrap_or(0);
            longer.extend((0..=max_count).map(|count| [counts.as_slice(), &[count]].concat()));
        }
        longer.truncate(MAX_PACKINGS);
        combinations = longer;
    }
    combinations
}

/// Forms this many groups of each model, the largest models first. Each group gets the servers that are ready
/// for it soonest, and among equals those that are least useful to the other models.
fn pack<'a>(engine: &EngineProfile, free: &[Server<'a>], counts: &[usize]) -> Packing<'a> {
    let mut order: Vec<usize> = (0..counts.len()).filter(|model| counts[*model] > 0).collect();
    order.sort_by_key(|model| std::cmp::Reverse(engine.models[*model].size));
    let mut unassigned = free.to_vec();
    let mut groups = Vec::new();
    for model in order {
        let size = engine.models[model].size as usize;
        let soonest_elsewhere = |server: &Server<'_>| {
            let others = server.ready_ms.iter().enumerate().filter(|(other, _)| *other != model);
            others.map(|(_, ready_ms)| *ready_ms).min().unwrap_or(0)
        };
        unassigned
            .sort_by_key(|server| (server.ready_ms[model], std::cmp::Reverse(soonest_elsewhere(server))));
        for _ in 0..counts[model] {
            let rest = unassigned.split_off(size);
            let members = std::mem::replace(&mut unassigned, rest);
            let ready_ms = members.iter().map(|server| server.ready_ms[model]).max().unwrap_or(0);
            groups.push(PlannedGroup { model, members, ready_ms });
        }
    }
    Packing { groups, unassigned }
}
