//! Forms groups from free servers of one domain.

use crate::balance::Balance;
use crate::domains::{FreeServer, domain_of, free_by_domain, has_staged};
use crate::{Millis, View};
use dockwood_api::gateway::{EngineProfile, ModelProfile, ServiceProfile};
use dockwood_state::{GatewayCommand, GroupPhase};

/// Before the first group of all is formed, servers get this long to register, counted from the newest one: a
/// domain that is filled at once wastes no server.
const SETTLE_MS: Millis = 600;

/// How far a choice looks ahead, in milliseconds: what a group serves while it is still loading is lost to it.
const HORIZON_MS: f64 = 40_000.0;
/// What each load costs, in groups that need none: the store gives only a few at a time, and while they run no other
/// group can load.
const LOAD_COST: f64 = 0.5;
/// Below this coverage all models count as equally short.
const LEAST_COVERAGE: f64 = 0.1;

/// Groups to form now. `loads_allowed` bounds how many members may draw weights from the store.
pub fn form_groups(view: &View<'_>, loads_allowed: u32) -> Vec<GatewayCommand> {
    let Some(configuration) = &view.tables.configuration else { return Vec::new() };
    let settled = view.now >= view.observations.newest_instance_at + SETTLE_MS;
    if view.tables.last_epoch == 0 && !settled {
        return Vec::new();
    }
    let mut allowance = loads_allowed;
    let mut commands = Vec::new();
    for service in &configuration.services {
        if let Some(engine) = &service.engine {
            commands.extend(form_for_service(view, service, engine, &mut allowance));
        }
    }
    commands
}

fn form_for_service(
    view: &View<'_>,
    service: &ServiceProfile,
    engine: &EngineProfile,
    allowance: &mut u32,
) -> Vec<GatewayCommand> {
    let free = free_by_domain(view, &service.name);
    let mut balance = Balance::new(view, &service.name, engine, free.values().map(Vec::len).sum());
    let mut commands = Vec::new();
    for (domain, mut free) in free {
        while let Some(choice) = choose(view, engine, &balance, &domain, &free, *allowance) {
            *allowance = allowance.saturating_sub(choice.loads);
            balance.add(&choice.model.name, choice.model.size);
            let members: Vec<String> = choice.members.iter().map(|server| server.id.clone()).collect();
            free.retain(|server| !members.contains(&server.id));
            let reason = format!("{} free in domain {domain}, {} to load", choice.model.size, choice.loads);
            let model = choice.model.name.clone();
            commands.push(GatewayCommand::Form { service: service.name.clone(), model, members, reason });
        }
    }
    commands
}

struct Choice<'a> {
    model: &'a ModelProfile,
    members: Vec<FreeServer>,
    loads: u32,
}

impl Choice<'_> {
    /// What the group is worth: the more, the less of its need the model has; for the part of the horizon that is left
    /// once its members are ready.
    fn worth(&self, balance: &Balance) -> f64 {
        let coverage = balance.coverage(&self.model.name).max(LEAST_COVERAGE);
        let ready_after = if self.loads > 0 { self.model.load_ms } else { self.model.warm_ms };
        let serving_part = (1.0 - ready_after as f64 / HORIZON_MS).max(0.0);
        let cost = 1.0 + LOAD_COST * f64::from(self.loads);
        serving_part / (cost * coverage * coverage)
    }
}

/// The group that is worth most now.
fn choose<'a>(
    view: &View<'_>,
    engine: &'a EngineProfile,
    balance: &Balance,
    domain: &str,
    free: &[FreeServer],
    allowance: u32,
) -> Option<Choice<'a>> {
    let candidates = engine.models.iter().filter(|model| model.size > 0).filter_map(|model| {
        let usable: Vec<FreeServer> = free
            .iter()
            .filter(|server| !waits_for_another(view, engine, balance, domain, free, server, model))
            .cloned()
            .collect();
        (model.size as usize <= usable.len()).then(|| pick_members(model, usable))
    });
    let allowed = candidates.filter(|choice| choice.loads <= allowance);
    allowed.max_by(|left, right| left.worth(balance).total_cmp(&right.worth(balance)))
}

/// Whether a server should be left to a model that it has staged, that lacks more, and that can be completed from
/// this domain without a load.
fn waits_for_another(
    view: &View<'_>,
    engine: &EngineProfile,
    balance: &Balance,
    domain: &str,
    free: &[FreeServer],
    server: &FreeServer,
    model: &ModelProfile,
) -> bool {
    let staged_others = engine.models.iter().filter(|other| other.name != model.name);
    let mut waiting = staged_others.filter(|other| server.staged.contains(&other.name));
    waiting.any(|other| {
        let fragment = free.iter().filter(|free| free.staged.contains(&other.name)).count();
        let completable = fragment + lendable(view, domain, &other.name) >= other.size as usize;
        completable && balance.coverage(&other.name) < balance.coverage(&model.name)
    })
}

/// Servers of other models' groups in a domain that have a model staged.
fn lendable(view: &View<'_>, domain: &str, model: &str) -> usize {
    let lends = |phase| matches!(phase, GroupPhase::Open | GroupPhase::Draining);
    let groups =
        view.tables.groups.values().filter(|group| {
            group.model != model && lends(group.phase) && domain_of(view, group) == Some(domain)
        });
    groups.flat_map(|group| &group.members).filter(|id| has_staged(view, id, model)).count()
}

/// Members for one group of a model: those that have it staged first, then those that have nothing staged, so that
/// another model's staged weights stay useful.
fn pick_members(model: &ModelProfile, mut free: Vec<FreeServer>) -> Choice<'_> {
    let rank = |server: &FreeServer| match &server.staged {
        staged if staged.contains(&model.name) => 0,
        staged if staged.is_empty() => 1,
        _ => 2,
    };
    free.sort_by_key(rank);
    free.truncate(model.size as usize);
    let loads = free.iter().filter(|server| rank(server) != 0).count() as u32;
    Choice { model, members: free, loads }
}
