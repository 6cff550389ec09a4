//! Closes a group of one model so that its servers, with the free ones of their domain, serve another model that lacks
//! more.

use crate::View;
use crate::domains::{DRAIN_MS, Domain, server};
use crate::need::{Balance, Change};
use crate::packing::{Packing, PlannedGroup, best_packing};
use crate::staging::StagingUnderWay;
use dockwood_api::gateway::EngineProfile;
use dockwood_state::{GatewayCommand, GroupPhase, GroupRow};

/// What a conversion must gain at least over the horizon, in groups' worth of work: need is measured over some seconds
/// only, and a conversion that is undone soon costs twice.
const LEAST_GAIN: f64 = 0.05;

/// The group of a domain to close, if that serves more in the end. `balance` counts what `packing` adds.
pub(crate) fn group_to_convert(
    view: &View<'_>,
    engine: &EngineProfile,
    balance: &Balance,
    staging: &StagingUnderWay,
    name: &str,
    domain: &Domain<'_>,
    packing: &Packing<'_>,
) -> Option<GatewayCommand> {
    let is_changing = domain.groups.iter().any(|group| group.phase != GroupPhase::Open);
    let forms_now = packing.groups.iter().any(PlannedGroup::can_form);
    if is_changing || forms_now || !view.tables.requests_seen {
        return None;
    }
    let planned = packing.changes();
    let mut base = balance.clone();
    base.uncount(&planned);
    let kept = base.worth(&planned) - packing.cost();
    let candidates = domain.groups.iter().filter_map(|group| {
        let position = engine.models.iter().position(|model| model.name == group.model)?;
        let converted = converted_packing(view, engine, &base, staging, domain, group, position)?;
        let mut changes = converted.changes();
        changes.push(closing(position));
        Some((base.worth(&changes) - converted.cost() - kept, group))
    });
    let (gain, group) = candidates.max_by(|(left, _), (right, _)| left.total_cmp(right))?;
    let reason = format!("its servers serve {gain:.2} groups' work more for another model in domain {name}");
    (gain > LEAST_GAIN).then_some(GatewayCommand::SetPhase {
        epoch: group.epoch,
        phase: GroupPhase::Draining,
        reason,
    })
}

/// The best packing of a domain once a group has been closed, if it has a group of another model that needs no load.
fn converted_packing<'a>(
    view: &View<'a>,
    engine: &EngineProfile,
    balance: &Balance,
    staging: &StagingUnderWay,
    domain: &Domain<'a>,
    group: &'a GroupRow,
    position: usize,
) -> Option<Packing<'a>> {
    let mut servers = domain.free.clone();
    let members = group.members.iter().map(|id| server(view, engine, staging, id).free_after(DRAIN_MS));
    servers.extend(members);
    let mut without = balance.clone();
    without.count(&[closing(position)]);
    let packing = best_packing(engine, &without, &servers);
    let is_other = |planned: &PlannedGroup<'_>| planned.model != position && planned.loads() == 0;
    packing.groups.iter().any(is_other).then_some(packing)
}

/// A group of a model takes no more requests.
fn closing(model: usize) -> Change {
    Change { model, after_ms: 0, groups: -1.0 }
}
