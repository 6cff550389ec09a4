//! Closes a group of a well-served model so that its servers complete a group of one that lacks more: the survivors of
//! a lost group need servers of their own domain that have the weights staged.

use crate::View;
use crate::balance::Balance;
use crate::domains::{domain_of, free_by_domain, has_staged};
use dockwood_api::gateway::{EngineProfile, ModelProfile};
use dockwood_state::{GatewayCommand, GroupPhase, GroupRow};

/// How much better the lending model must be served, after it has lent.
const LEAST_GAIN: f64 = 0.05;

/// Groups to close for that reason, at most one in a domain.
pub fn borrow_servers(view: &View<'_>) -> Vec<GatewayCommand> {
    let Some(configuration) = &view.tables.configuration else { return Vec::new() };
    let mut commands = Vec::new();
    for service in &configuration.services {
        let Some(engine) = &service.engine else { continue };
        let free = free_by_domain(view, &service.name);
        let balance = Balance::new(view, &service.name, engine, free.values().map(Vec::len).sum());
        for (domain, servers) in &free {
            let staged_free = |model: &str| {
                servers.iter().filter(|server| server.staged.iter().any(|name| name == model)).count()
            };
            let lender = engine.models.iter().find_map(|model| {
                let fragment = staged_free(&model.name);
                let incomplete = fragment > 0 && fragment < model.size as usize;
                incomplete
                    .then(|| lender(view, engine, &balance, model, &service.name, domain, fragment))
                    .flatten()
            });
            commands.extend(lender);
        }
    }
    commands
}

/// The group whose servers should complete a fragment of `model`.
fn lender(
    view: &View<'_>,
    engine: &EngineProfile,
    balance: &Balance,
    model: &ModelProfile,
    service: &str,
    domain: &str,
    fragment: usize,
) -> Option<GatewayCommand> {
    let in_domain = || {
        let groups = view.tables.groups.values().map(AsRef::as_ref);
        groups.filter(|group: &&GroupRow| group.service == service && domain_of(view, group) == Some(domain))
    };
    // One change at a time: what is closing now may be enough.
    if in_domain().any(|group| matches!(group.phase, GroupPhase::Draining | GroupPhase::Cutting)) {
        return None;
    }
    let missing = model.size as usize - fragment;
    let can_lend = |group: &&GroupRow| {
        let staged = group.members.iter().filter(|id| has_staged(view, id, &model.name)).count();
        let lends = group.phase == GroupPhase::Open && group.model != model.name && staged >= missing;
        let size = engine.model(&group.model).map_or(0, |lending| lending.size);
        lends
            && balance.serving_coverage(&model.name, 0) + LEAST_GAIN
                < balance.serving_coverage(&group.model, size)
    };
    let group = in_domain().find(can_lend)?;
    let reason =
        format!("{} servers of domain {domain} wait to complete a group of {}", fragment, model.name);
    Some(GatewayCommand::SetPhase { epoch: group.epoch, phase: GroupPhase::Draining, reason })
}
