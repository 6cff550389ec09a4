//! Plans a service: which groups its free servers form now, which wait until their members have staged the
//! weights, which groups give their servers to another model, and what each host stages meanwhile.
//!
//! The plan derives from a single snapshot of the domains, so that no step reverts another.

use crate::Millis;
use crate::View;
use crate::capacity_balance::CapacityBalance;
use crate::conversion::groups_to_convert;
use crate::domains::{Domain, Server, domains_of};
use crate::packing::{Packing, PlannedGroup, best_packing};
use crate::staging::{Preload, Preparations, StagingInProgress, StagingRequest, prepare_servers};
use dockwood_api::gateway::{EngineProfile, ServiceProfile};
use dockwood_state::{GatewayCommand, GroupPurpose};
use std::collections::BTreeMap;

/// Before the very first group is formed, servers get this long to register, counted from the newest
/// registration: a domain that is filled at once wastes no server.
const REGISTRATION_SETTLE_MS: Millis = 600;
/// Maximum number of passes over the packings of all domains, each taking into account what the other domains
/// have chosen.
const MAX_PASSES: usize = 3;

/// Maximum rate of commands in plans over time, per second: each group costs some ten calls to its servers,
/// and their reports. With a fixed number per plan, the time to form a fleet would grow with the square of
/// its servers, as plans of more servers are made at longer intervals.
const COMMANDS_PER_SECOND: Millis = 210;
/// Number of commands that every plan may contain.
const MIN_COMMANDS_PER_PLAN: usize = 40;
/// Servers to plan for per millisecond, over time. Planning costs some three microseconds per server, so that
/// it takes about a hundredth of a core at any fleet size.
const SERVERS_PLANNED_PER_MS: Millis = 4;

/// Interval between two plans of a fleet with this many servers, in milliseconds.
pub fn plan_interval_ms(servers: usize) -> Millis {
    servers as Millis / SERVERS_PLANNED_PER_MS
}

/// Maximum number of commands in one plan of a fleet with this many servers.
fn max_commands(servers: usize) -> usize {
    let allowed = plan_interval_ms(servers) * COMMANDS_PER_SECOND / 1_000;
    MIN_COMMANDS_PER_PLAN.max(allowed as usize)
}

/// The actions to take.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Commands to commit now.
    pub commands: Vec<GatewayCommand>,
    /// Weights to stage, the most urgent first.
    pub staging: Vec<StagingRequest>,
}

/// Plans all services that have model engines.
pub fn plan(view: &View<'_>, staging: &StagingInProgress) -> Plan {
    let mut plan = Plan::default();
    let Some(configuration) = &view.tables.configuration else { return plan };
    let is_settled = view.now >= view.observations.newest_instance_at + REGISTRATION_SETTLE_MS;
    if view.tables.last_epoch == 0 && !is_settled {
        return plan;
    }
    for service in &configuration.services {
        if let Some(engine) = &service.engine {
            plan_service(view, service, engine, staging, &mut plan);
        }
    }
    // Groups that serve come before preloads of spare servers; commands that are cut off here are planned
    // again next time.
    plan.commands.truncate(max_commands(view.tables.instances.len()));
    plan.staging.sort_by_key(|request| request.priority);
    plan
}

fn plan_service(
    view: &View<'_>,
    service: &ServiceProfile,
    engine: &EngineProfile,
    staging: &StagingInProgress,
    plan: &mut Plan,
) {
    let domains = domains_of(view, &service.name, engine, staging);
    let servers = domains.values().map(Domain::servers).sum();
    let mut balance = CapacityBalance::new(view, &service.name, engine, servers);
    let packings = pack_domains(engine, &domains, &mut balance);
    let mut has_conversion = false;
    let mut preload_commands = Vec::new();
    for (name, packing) in packings {
        let domain = &domains[name];
        let closing_commands = match has_conversion {
            true => Vec::new(),
            false => groups_to_convert(view, engine, &balance, staging, name, domain, &packing),
        };
        if !closing_commands.is_empty() {
            // The free servers wait for those of the closing groups, and form no other group meanwhile.
            has_conversion = true;
            plan.commands.extend(closing_commands);
            continue;
        }
        for group in &packing.groups {
            // Before the first request, loads are cheap, and members load weights when they join.
            let can_load = !view.tables.requests_seen && group.members.iter().all(|server| server.is_free);
            if group.can_form() || can_load {
                plan.commands.push(form_command(service, engine, name, group));
            }
        }
        let Preparations { preloads, staging: staging_requests } =
            prepare_servers(view, engine, staging, domain, &packing);
        preload_commands
            .extend(preloads.iter().map(|preload| preload_command(service, engine, name, preload)));
        plan.staging.extend(staging_requests);
    }
    plan.commands.extend(preload_commands);
}

/// Chooses the packing of each domain, given what the other domains contribute to the balance. At the end,
/// the balance includes all packings.
fn pack_domains<'a>(
    engine: &EngineProfile,
    domains: &BTreeMap<&'a str, Domain<'a>>,
    balance: &mut CapacityBalance,
) -> BTreeMap<&'a str, Packing<'a>> {
    let smallest = engine.models.iter().map(|model| model.size.max(1) as usize).min().unwrap_or(usize::MAX);
    let mut packings: BTreeMap<&'a str, Packing<'a>> = BTreeMap::new();
    for pass in 0..MAX_PASSES {
        let mut is_changed = false;
        for (name, domain) in domains {
            if domain.free.len() < smallest {
                let unassigned = domain.free.clone();
                packings.insert(name, Packing { groups: Vec::new(), unassigned });
                continue;
            }
            let before = packings.get(name).map(Packing::changes).unwrap_or_default();
            balance.revert(&before);
            let packing = best_packing(engine, balance, &domain.free);
            let after = packing.changes();
            is_changed |= after != before;
            balance.apply(&after);
            packings.insert(name, packing);
        }
        if !is_changed && pass > 0 {
            break;
        }
    }
    packings
}

fn form_command(
    service: &ServiceProfile,
    engine: &EngineProfile,
    domain: &str,
    group: &PlannedGroup<'_>,
) -> GatewayCommand {
    let model = &engine.models[group.model];
    // Requests go to the head only, and a warm member accepts them at full rate from the start.
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
