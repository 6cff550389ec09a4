//! Closes groups of one model so that their servers, together with the free ones of their domain, can serve
//! another model with a larger shortfall.

use crate::View;
use crate::capacity_balance::{CapacityBalance, CapacityChange};
use crate::domains::{DRAIN_MS, Domain, planned_server};
use crate::packing::{Packing, PlannedGroup, best_packing};
use crate::staging::StagingInProgress;
use dockwood_api::gateway::EngineProfile;
use dockwood_state::{GatewayCommand, GroupPhase, GroupRow};
use std::sync::Arc;

/// Minimum gain of a conversion over the horizon, as a fraction of all requests. Need is measured over a few
/// seconds only, and a conversion that is soon reverted costs twice.
const MIN_GAIN: f64 = 0.008;

/// Groups of one model that can be closed together.
#[derive(Clone, Debug)]
struct ClosingSet<'a> {
    /// Position of their model in the profile.
    model: usize,
    groups: Vec<&'a Arc<GroupRow>>,
}

impl ClosingSet<'_> {
    /// The change in capacity: the groups accept no more requests from now on.
    fn change(&self) -> CapacityChange {
        CapacityChange { model: self.model, after_ms: 0, groups: -(self.groups.len() as f64) }
    }
}

/// Returns the commands that close groups of a domain if this serves more requests over the horizon than
/// `packing`, which `balance` already includes. Nothing is closed while servers of the domain are about to
/// become free, or before the first request.
pub(crate) fn groups_to_convert(
    view: &View<'_>,
    engine: &EngineProfile,
    balance: &CapacityBalance,
    staging: &StagingInProgress,
    name: &str,
    domain: &Domain<'_>,
    packing: &Packing<'_>,
) -> Vec<GatewayCommand> {
    let is_draining = domain.groups.iter().any(|group| group.phase == GroupPhase::Draining);
    let awaits_servers = domain.free.iter().any(|server| !server.is_free);
    if is_draining || awaits_servers || !view.tables.requests_seen {
        return Vec::new();
    }
    let planned = packing.changes();
    let mut base = balance.clone();
    base.revert(&planned);
    let baseline = base.utility(&planned) - packing.cost();
    let gains = closing_sets(engine, domain).into_iter().filter_map(|closing| {
        let converted = converted_packing(view, engine, &base, staging, domain, &closing)?;
        let mut changes = converted.changes();
        changes.push(closing.change());
        Some((base.utility(&changes) - converted.cost() - baseline, closing))
    });
    let best = gains.max_by(|(left, _), (right, _)| left.total_cmp(right));
    let Some((gain, closing)) = best.filter(|(gain, _)| *gain > MIN_GAIN) else { return Vec::new() };
    let reason = format!(
        "its servers serve {:.1} in 100 of all requests more for another model in domain {name}",
        gain * 100.0
    );
    let drain = |group: &&Arc<GroupRow>| GatewayCommand::SetPhase {
        epoch: group.epoch,
        phase: GroupPhase::Draining,
        reason: reason.clone(),
    };
    closing.groups.iter().map(drain).collect()
}

/// The sets of groups that may be closed: each open group alone, and up to as many groups of a model as the
/// largest model's group needs servers from.
fn closing_sets<'a>(engine: &EngineProfile, domain: &Domain<'a>) -> Vec<ClosingSet<'a>> {
    let largest = engine.models.iter().map(|model| model.size as usize).max().unwrap_or(0);
    let mut closing_sets = Vec::new();
    for (position, model) in engine.models.iter().enumerate() {
        let is_open_group_of_model =
            |group: &&&Arc<GroupRow>| group.phase == GroupPhase::Open && group.model == model.name;
        let open_groups: Vec<&Arc<GroupRow>> =
            domain.groups.iter().filter(is_open_group_of_model).copied().collect();
        let max_count = largest.div_ceil(model.size.max(1) as usize).min(open_groups.len());
        let single = open_groups.iter().map(|group| vec![*group]);
        let several = (2..=max_count).map(|count| open_groups[..count].to_vec());
        closing_sets.extend(single.chain(several).map(|groups| ClosingSet { model: position, groups }));
    }
    closing_sets
}

/// The best packing of a domain after groups have been closed, if it contains a group of another model that
/// needs no load.
fn converted_packing<'a>(
    view: &View<'a>,
    engine: &EngineProfile,
    balance: &CapacityBalance,
    staging: &StagingInProgress,
    domain: &Domain<'a>,
    closing: &ClosingSet<'a>,
) -> Option<Packing<'a>> {
    let mut servers = domain.free.clone();
    let members = closing.groups.iter().flat_map(|group| &group.members);
    servers.extend(members.map(|id| planned_server(view, engine, staging, id).free_after(DRAIN_MS)));
    let mut without = balance.clone();
    without.apply(&[closing.change()]);
    let packing = best_packing(engine, &without, &servers);
    let needs_no_load_for_other_model =
        |planned: &PlannedGroup<'_>| planned.model != closing.model && planned.loads() == 0;
    packing.groups.iter().any(needs_no_load_for_other_model).then_some(packing)
}
