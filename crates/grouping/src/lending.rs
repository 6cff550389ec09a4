//! Closes groups of one model so that their servers, with the free ones of their domain, serve another model that lacks
//! more.

use crate::View;
use crate::domains::{DRAIN_MS, Domain, server};
use crate::need::{Balance, Change};
use crate::packing::{Packing, PlannedGroup, best_packing};
use crate::staging::StagingUnderWay;
use dockwood_api::gateway::EngineProfile;
use dockwood_state::{GatewayCommand, GroupPhase, GroupRow};
use std::sync::Arc;

/// What a conversion must gain at least over the horizon, as a part of all that is asked for: need is measured over some
/// seconds only, and a conversion that is undone soon costs twice.
const LEAST_GAIN: f64 = 0.008;

/// Groups of one model that may be closed together.
#[derive(Clone, Debug)]
struct Closing<'a> {
    /// Position of their model in the profile.
    model: usize,
    groups: Vec<&'a Arc<GroupRow>>,
}

impl Closing<'_> {
    /// They take no more requests from now on.
    fn change(&self) -> Change {
        Change { model: self.model, after_ms: 0, groups: -(self.groups.len() as f64) }
    }
}

/// The groups of a domain to close, if that serves more in the end than `packing`, which `balance` counts. Nothing is
/// closed while servers of the domain are about to be free, or before the first request.
pub(crate) fn groups_to_convert(
    view: &View<'_>,
    engine: &EngineProfile,
    balance: &Balance,
    staging: &StagingUnderWay,
    name: &str,
    domain: &Domain<'_>,
    packing: &Packing<'_>,
) -> Vec<GatewayCommand> {
    let is_draining = domain.groups.iter().any(|group| group.phase == GroupPhase::Draining);
    let frees_servers = domain.free.iter().any(|server| !server.is_free);
    if is_draining || frees_servers || !view.tables.requests_seen {
        return Vec::new();
    }
    let planned = packing.changes();
    let mut base = balance.clone();
    base.uncount(&planned);
    let kept = base.worth(&planned) - packing.cost();
    let rated = closings(engine, domain).into_iter().filter_map(|closing| {
        let converted = converted_packing(view, engine, &base, staging, domain, &closing)?;
        let mut changes = converted.changes();
        changes.push(closing.change());
        Some((base.worth(&changes) - converted.cost() - kept, closing))
    });
    let best = rated.max_by(|(left, _), (right, _)| left.total_cmp(right));
    let Some((gain, closing)) = best.filter(|(gain, _)| *gain > LEAST_GAIN) else { return Vec::new() };
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

/// What may be closed: each open group alone, and as many groups of a model as a larger model's group takes the servers of.
fn closings<'a>(engine: &EngineProfile, domain: &Domain<'a>) -> Vec<Closing<'a>> {
    let largest = engine.models.iter().map(|model| model.size as usize).max().unwrap_or(0);
    let mut closings = Vec::new();
    for (position, model) in engine.models.iter().enumerate() {
        let is_own = |group: &&&Arc<GroupRow>| group.phase == GroupPhase::Open && group.model == model.name;
        let own: Vec<&Arc<GroupRow>> = domain.groups.iter().filter(is_own).copied().collect();
        let most = largest.div_ceil(model.size.max(1) as usize).min(own.len());
        let single = own.iter().map(|group| vec![*group]);
        let several = (2..=most).map(|count| own[..count].to_vec());
        closings.extend(single.chain(several).map(|groups| Closing { model: position, groups }));
    }
    closings
}

/// The best packing of a domain once groups have been closed, if it has a group of another model that needs no load.
fn converted_packing<'a>(
    view: &View<'a>,
    engine: &EngineProfile,
    balance: &Balance,
    staging: &StagingUnderWay,
    domain: &Domain<'a>,
    closing: &Closing<'a>,
) -> Option<Packing<'a>> {
    let mut servers = domain.free.clone();
    let members = closing.groups.iter().flat_map(|group| &group.members);
    servers.extend(members.map(|id| server(view, engine, staging, id).free_after(DRAIN_MS)));
    let mut without = balance.clone();
    without.count(&[closing.change()]);
    let packing = best_packing(engine, &without, &servers);
    let is_other = |planned: &PlannedGroup<'_>| planned.model != closing.model && planned.loads() == 0;
    packing.groups.iter().any(is_other).then_some(packing)
}
