//! Forms groups from free servers of one domain.

use crate::{Millis, View};
use dockwood_api::gateway::{EngineProfile, InstanceState, ModelProfile, ServiceProfile};
use dockwood_state::{GatewayCommand, GroupPhase, InstanceRow};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Before the first group of all is formed, servers get this long to register, counted from the newest one: a
/// domain that is filled at once wastes no server.
const SETTLE_MS: Millis = 600;

/// A free server with what its host has staged.
#[derive(Clone, Debug)]
struct FreeServer {
    id: String,
    staged: Vec<String>,
}

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
    let mut held = servers_by_model(view, &service.name);
    let mut commands = Vec::new();
    for (domain, mut free) in free_by_domain(view, &service.name) {
        while let Some(choice) = choose(engine, &held, &free, *allowance) {
            *allowance -= choice.loads;
            *held.entry(choice.model.name.clone()).or_default() += choice.model.size;
            let members: Vec<String> = choice.members.iter().map(|server| server.id.clone()).collect();
            free.retain(|server| !members.contains(&server.id));
            let reason = format!("{} free in domain {domain}, {} to load", choice.model.size, choice.loads);
            let model = choice.model.name.clone();
            commands.push(GatewayCommand::Form { service: service.name.clone(), model, members, reason });
        }
    }
    commands
}

/// Servers that serve each model now, or soon will.
fn servers_by_model(view: &View<'_>, service: &str) -> BTreeMap<String, u32> {
    let mut held = BTreeMap::new();
    let counted = |phase| matches!(phase, GroupPhase::Forming | GroupPhase::Opening | GroupPhase::Open);
    for group in view.tables.groups.values().filter(|group| group.service == service && counted(group.phase))
    {
        *held.entry(group.model.clone()).or_default() += group.members.len() as u32;
    }
    held
}

fn free_by_domain(view: &View<'_>, service: &str) -> BTreeMap<String, Vec<FreeServer>> {
    let is_free = |row: &&Arc<InstanceRow>| {
        row.service == service
            && row.state == InstanceState::Ready
            && view.observations.is_present(view.now, &row.id)
            && view.tables.group_of(&row.id).is_none()
    };
    let mut domains: BTreeMap<String, Vec<FreeServer>> = BTreeMap::new();
    for row in view.tables.instances.values().filter(is_free) {
        let Some(domain) = &row.domain else { continue };
        let staged = view.observations.instance(&row.id).map(|seen| seen.staged.clone()).unwrap_or_default();
        domains.entry(domain.clone()).or_default().push(FreeServer { id: row.id.clone(), staged });
    }
    domains
}

struct Choice<'a> {
    model: &'a ModelProfile,
    members: Vec<FreeServer>,
    loads: u32,
}

/// The group that is worth most now: one that needs no load goes before one that does, then the model that lacks
/// most of its share.
fn choose<'a>(
    engine: &'a EngineProfile,
    held: &BTreeMap<String, u32>,
    free: &[FreeServer],
    allowance: u32,
) -> Option<Choice<'a>> {
    let total: u32 = held.values().sum::<u32>() + free.len() as u32;
    let shares: f64 = engine.models.iter().map(|model| model.share).sum();
    let lack = |model: &ModelProfile| {
        let wanted = model.share / shares.max(f64::MIN_POSITIVE) * f64::from(total);
        // Relative, so that the last servers go where they matter most.
        (wanted - f64::from(held.get(&model.name).copied().unwrap_or(0))) / wanted.max(1.0)
    };
    let fitting = engine.models.iter().filter(|model| model.size > 0 && model.size as usize <= free.len());
    let candidates =
        fitting.map(|model| pick_members(model, free)).filter(|choice| choice.loads <= allowance);
    candidates.max_by(|left, right| {
        let warm = (left.loads == 0).cmp(&(right.loads == 0));
        warm.then(lack(left.model).total_cmp(&lack(right.model)))
    })
}

/// Members for one group of a model: those that have it staged first, then those that have nothing staged, so that
/// another model's staged weights stay useful.
fn pick_members<'a>(model: &'a ModelProfile, free: &[FreeServer]) -> Choice<'a> {
    let rank = |server: &FreeServer| match &server.staged {
        staged if staged.contains(&model.name) => 0,
        staged if staged.is_empty() => 1,
        _ => 2,
    };
    let mut sorted = free.to_vec();
    sorted.sort_by_key(rank);
    sorted.truncate(model.size as usize);
    let loads = sorted.iter().filter(|server| rank(server) != 0).count() as u32;
    Choice { model, members: sorted, loads }
}
