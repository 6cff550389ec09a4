//! Closes a group of one model so that its servers, with the free ones of their domain, serve another model that lacks
//! more.

use crate::Millis;
use crate::View;
use crate::domains::{Domain, Server, server};
use crate::need::Balance;
use crate::packing::{Packing, best_packing};
use crate::staging::StagingUnderWay;
use dockwood_api::gateway::EngineProfile;
use dockwood_state::{GatewayCommand, GroupPhase, GroupRow};

/// What a conversion must gain at least, in units of [`Balance::worth`]: need is measured over some
/// seconds only, and a conversion that is undone soon costs twice.
const LEAST_GAIN: f64 = 0.08;
/// Time in which the requests of a closing group end, in milliseconds. Measured: 0.7 to 1.7 s on norrstrom-klubb.
const DRAIN_MS: Millis = 1_500;

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
    let forms_now = packing.groups.iter().any(|group| group.loads() == 0);
    if is_changing || forms_now || !view.tables.requests_seen {
        return None;
    }
    let models = engine.models.len();
    let planned = packing.gains(models);
    let mut base = balance.clone();
    base.add(&planned.iter().map(|gain| -gain).collect::<Vec<f64>>());
    let kept = base.worth(&planned);
    let candidates = domain.groups.iter().filter_map(|group| {
        let position = engine.models.iter().position(|model| model.name == group.model)?;
        let converted = converted_packing(view, engine, &base, staging, domain, group, position)?;
        let mut gains = converted.gains(models);
        gains[position] -= 1.0;
        Some((base.worth(&gains) - kept, group))
    });
    let (gain, group) = candidates.max_by(|(left, _), (right, _)| left.total_cmp(right))?;
    let reason = format!("its servers are worth {gain:.2} more to another model in domain {name}");
    (gain > LEAST_GAIN).then_some(GatewayCommand::SetPhase {
        epoch: group.epoch,
        phase: GroupPhase::Draining,
        reason,
    })
}

/// The best packing of a domain once a group has been closed, if none of its groups must load.
fn converted_packing<'a>(
    view: &View<'a>,
    engine: &EngineProfile,
    balance: &Balance,
    staging: &StagingUnderWay,
    domain: &Domain<'a>,
    group: &'a GroupRow,
    position: usize,
) -> Option<Packing<'a>> {
    let member = |id: &'a String| -> Server<'a> {
        let mut member = server(view, engine, staging, id);
        member.ready_ms.iter_mut().for_each(|ready_ms| *ready_ms += DRAIN_MS);
        member
    };
    let mut servers = domain.free.clone();
    servers.extend(group.members.iter().map(member));
    let mut without = balance.clone();
    let mut lost = vec![0.0; engine.models.len()];
    lost[position] = -1.0;
    without.add(&lost);
    let packing = best_packing(engine, &without, &servers);
    let is_other = packing.groups.iter().any(|planned| planned.model != position);
    let needs_no_load = packing.groups.iter().all(|planned| planned.loads() == 0);
    (is_other && needs_no_load).then_some(packing)
}
