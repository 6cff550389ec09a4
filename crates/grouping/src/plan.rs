//! The plan of a service: which groups its free servers form now, which wait until their members have staged the
//! weights, which group gives its servers to another model, and what every host stages meanwhile.
//!
//! All of it comes from one look at the domains, so that no step undoes another.

use crate::Millis;
use crate::View;
use crate::domains::{Domain, Server, domains_of};
use crate::lending::groups_to_convert;
use crate::need::Balance;
use crate::packing::{Packing, PlannedGroup, best_packing};
use crate::staging::{Precautions, Preload, StagingUnderWay, StagingWish, precautions};
use dockwood_api::gateway::{EngineProfile, ServiceProfile};
use dockwood_state::{GatewayCommand, GroupPurpose};
use std::collections::BTreeMap;

/// Before the first group of all is formed, servers get this long to register, counted from the newest one: a
/// domain that is filled at once wastes no server.
const SETTLE_MS: Millis = 600;
/// Times that the packings of all domains are looked at again, each with what the others have chosen.
const REVISIONS: usize = 3;

/// Commands that plans may contain over time, in each second: each group costs some ten calls to its servers and their
/// reports. A fixed number for each plan would form a fleet in a time that grows with the square of its servers, as plans
/// of more servers are further apart.
const COMMANDS_PER_SECOND: Millis = 210;
/// Commands of one plan that are always allowed.
const FEWEST_COMMANDS: usize = 40;
/// Servers that are planned for in a millisecond, over time: planning costs some three microseconds a server, so that it
/// takes about a hundredth of a core at any size.
const SERVERS_PER_MS: Millis = 4;

/// Pause between two plans of so many servers, in milliseconds.
pub fn plan_pause_ms(servers: usize) -> Millis {
    servers as Millis / SERVERS_PER_MS
}

/// Commands of one plan of so many servers, at most.
fn most_commands(servers: usize) -> usize {
    let allowed = plan_pause_ms(servers) * COMMANDS_PER_SECOND / 1_000;
    FEWEST_COMMANDS.max(allowed as usize)
}

/// What should be done.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// To be committed now.
    pub commands: Vec<GatewayCommand>,
    /// Weights to stage, the most urgent first.
    pub staging: Vec<StagingWish>,
}

/// Plans every service of model engines.
pub fn plan(view: &View<'_>, staging: &StagingUnderWay) -> Plan {
    let mut plan = Plan::default();
    let Some(configuration) = &view.tables.configuration else { return plan };
    let settled = view.now >= view.observations.newest_instance_at + SETTLE_MS;
    if view.tables.last_epoch == 0 && !settled {
        return plan;
    }
    for service in &configuration.services {
        if let Some(engine) = &service.engine {
            plan_service(view, service, engine, staging, &mut plan);
        }
    }
    // Groups that serve come before spare servers: what is cut off here is planned again next time.
    plan.commands.truncate(most_commands(view.tables.instances.len()));
    plan.staging.sort_by_key(|wish| wish.urgency);
    plan
}

fn plan_service(
    view: &View<'_>,
    service: &ServiceProfile,
    engine: &EngineProfile,
    staging: &StagingUnderWay,
    plan: &mut Plan,
) {
    let domains = domains_of(view, &service.name, engine, staging);
    let servers = domains.values().map(Domain::servers).sum();
    let mut balance = Balance::new(view, &service.name, engine, servers);
    let packings = pack_domains(engine, &domains, &mut balance);
    let mut converts = false;
    let mut spare = Vec::new();
    for (name, packing) in packings {
        let domain = &domains[name];
        let closings = match converts {
            true => Vec::new(),
            false => groups_to_convert(view, engine, &balance, staging, name, domain, &packing),
        };
        if !closings.is_empty() {
            // Its free servers wait for those of the groups that are closed, and form no other group meanwhile.
            converts = true;
            plan.commands.extend(closings);
            continue;
        }
        for group in &packing.groups {
            // Until requests come, loads cost next to nothing, and members load as they join.
            let can_load = !view.tables.requests_seen && group.members.iter().all(|server| server.is_free);
            if group.can_form() || can_load {
                plan.commands.push(form(service, engine, name, group));
            }
        }
        let Precautions { preloads, staging: wishes } = precautions(view, engine, staging, domain, &packing);
        spare.extend(preloads.iter().map(|preload| preload_command(service, engine, name, preload)));
        plan.staging.extend(wishes);
    }
    plan.commands.extend(spare);
}

/// The packing of each domain, chosen with what the other domains add to the balance; that counts all of them in the
/// end.
fn pack_domains<'a>(
    engine: &EngineProfile,
    domains: &BTreeMap<&'a str, Domain<'a>>,
    balance: &mut Balance,
) -> BTreeMap<&'a str, Packing<'a>> {
    let smallest = engine.models.iter().map(|model| model.size.max(1) as usize).min().unwrap_or(usize::MAX);
    let mut packings: BTreeMap<&'a str, Packing<'a>> = BTreeMap::new();
    for revision in 0..REVISIONS {
        let mut changed = false;
        for (name, domain) in domains {
            if domain.free.len() < smallest {
                let left = domain.free.clone();
                packings.insert(name, Packing { groups: Vec::new(), left });
                continue;
            }
            let before = packings.get(name).map(Packing::changes).unwrap_or_default();
            balance.uncount(&before);
            let packing = best_packing(engine, balance, &domain.free);
            let after = packing.changes();
            changed |= after != before;
            balance.count(&after);
            packings.insert(name, packing);
        }
        if !changed && revision > 0 {
            break;
        }
    }
    packings
}

fn form(
    service: &ServiceProfile,
    engine: &EngineProfile,
    domain: &str,
    group: &PlannedGroup<'_>,
) -> GatewayCommand {
    let model = &engine.models[group.model];
    // Requests go to the head alone: a warm member takes them at full rate from the start.
    let mut members: Vec<&Server<'_>> = group.members.iter().collect();
    members.sort_by_key(|server| server.is_cold);
    let reason = format!(
        "{} free in domain {domain}, ready in {} ms, {} to load",
        model.size,
        group.ready_ms,
        group.loads()
    );
    GatewayCommand::Form {
        service: service.name.clone(),
        model: model.name.clone(),
        purpose: GroupPurpose::Serve,
        members: members.iter().map(|server| server.id.to_string()).collect(),
        reason,
    }
}

fn preload_command(
    service: &ServiceProfile,
    engine: &EngineProfile,
    domain: &str,
    preload: &Preload<'_>,
) -> GatewayCommand {
    GatewayCommand::Form {
        service: service.name.clone(),
        model: engine.models[preload.model].name.clone(),
        purpose: GroupPurpose::Preload,
        members: vec![preload.instance.to_string()],
        reason: format!("spare in domain {domain}, to be able to serve more than one model"),
    }
}
