//! Which groups the free servers of one domain should form.

use crate::Millis;
use crate::domains::Server;
use crate::need::{Balance, Change};
use dockwood_api::gateway::{EngineProfile, ModelProfile};

/// What each load from the store costs, as a part of all that is asked for: of two packings that serve the same, the one
/// with fewer loads is taken.
const LOAD_COST: f64 = 0.000_4;
/// What a group must serve at least, as a part of all that is asked for: servers that would serve nothing are of more use
/// as replacements for lost ones.
const LEAST_WORK: f64 = 0.000_2;
/// Most packings that are compared; beyond, groups of models later in the profile are not tried in larger numbers.
const MOST_PACKINGS: usize = 512;

/// A group that should be formed.
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
    /// Members that must load from the store first.
    pub fn loads(&self) -> usize {
        self.members.iter().filter(|server| !server.is_loaded[self.model]).count()
    }

    /// Whether all its members can join now, without a load.
    pub fn can_form(&self) -> bool {
        self.loads() == 0 && self.members.iter().all(|server| server.is_free)
    }
}

/// Groups of one domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Packing<'a> {
    pub groups: Vec<PlannedGroup<'a>>,
    /// Servers that are left over.
    pub left: Vec<Server<'a>>,
}

impl Packing<'_> {
    /// The groups that it adds.
    pub fn changes(&self) -> Vec<Change> {
        let change =
            |group: &PlannedGroup<'_>| Change { model: group.model, after_ms: group.ready_ms, groups: 1.0 };
        self.groups.iter().map(change).collect()
    }

    /// What it costs beside the servers' time, as a part of all that is asked for.
    pub fn cost(&self) -> f64 {
        let loads: usize = self.groups.iter().map(PlannedGroup::loads).sum();
        LOAD_COST * loads as f64 + LEAST_WORK * self.groups.len() as f64
    }
}

/// The packing of these servers that is worth most.
pub(crate) fn best_packing<'a>(
    engine: &EngineProfile,
    balance: &Balance,
    free: &[Server<'a>],
) -> Packing<'a> {
    let packings = counts(&engine.models, free.len()).into_iter().map(|counts| pack(engine, free, &counts));
    let rated = packings.map(|packing| (balance.worth(&packing.changes()) - packing.cost(), packing));
    let best = rated.max_by(|(left, _), (right, _)| left.total_cmp(right));
    best.map(|(_, packing)| packing).unwrap_or_default()
}

/// How many groups of each model so many servers may form.
fn counts(models: &[ModelProfile], servers: usize) -> Vec<Vec<usize>> {
    let mut all = vec![Vec::new()];
    for model in models {
        let mut longer = Vec::new();
        for counts in &all {
            let used: usize =
                counts.iter().zip(models).map(|(count, model)| count * model.size as usize).sum();
            let most = (servers - used).checked_div(model.size as usize).unwrap_or(0);
            longer.extend((0..=most).map(|count| [counts.as_slice(), &[count]].concat()));
        }
        longer.truncate(MOST_PACKINGS);
        all = longer;
    }
    all
}

/// Fills so many groups: the largest models first, each group with the servers that are ready for it soonest, and of
/// these the ones that are of least use to the other models.
fn pack<'a>(engine: &EngineProfile, free: &[Server<'a>], counts: &[usize]) -> Packing<'a> {
    let mut order: Vec<usize> = (0..counts.len()).filter(|model| counts[*model] > 0).collect();
    order.sort_by_key(|model| std::cmp::Reverse(engine.models[*model].size));
    let mut left = free.to_vec();
    let mut groups = Vec::new();
    for model in order {
        let size = engine.models[model].size as usize;
        let soonest_elsewhere = |server: &Server<'_>| {
            let others = server.ready_ms.iter().enumerate().filter(|(other, _)| *other != model);
            others.map(|(_, ready_ms)| *ready_ms).min().unwrap_or(0)
        };
        left.sort_by_key(|server| (server.ready_ms[model], std::cmp::Reverse(soonest_elsewhere(server))));
        for _ in 0..counts[model] {
            let rest = left.split_off(size);
            let members = std::mem::replace(&mut left, rest);
            let ready_ms = members.iter().map(|server| server.ready_ms[model]).max().unwrap_or(0);
            groups.push(PlannedGroup { model, members, ready_ms });
        }
    }
    Packing { groups, left }
}
