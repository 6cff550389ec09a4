//! The number and content of each deployment's replicas: forming, scaling, rollouts, and drains of servers.

use crate::fleet::{Fleet, MachineHealth};
use crate::machines::{choose_members, spares_by_domain};
use crate::operator::Operator;
use crate::repair::{dissolve, refilled};
use dockwood_api::resource::DeploymentSpec;
use dockwood_state::{CommandBody, ReplicaPhase, ReplicaRow};
use std::sync::Arc;

/// A deployment with fewer replicas than declared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// Deployment resource name.
    pub deployment: String,
    /// Replicas that are missing.
    pub missing: u32,
    /// Why none can be formed.
    pub message: String,
}

/// Replicas of one deployment, by what should become of them.
struct Census<'a> {
    /// Right content, no machine leaving.
    current: Vec<&'a Arc<ReplicaRow>>,
    /// Wrong content, or a machine that leaves.
    outdated: Vec<&'a Arc<ReplicaRow>>,
    draining: Vec<&'a Arc<ReplicaRow>>,
}

impl<'a> Census<'a> {
    fn of(fleet: &Fleet<'a>, deployment: &'a str, spec: &DeploymentSpec) -> Self {
        let mut census = Census { current: Vec::new(), outdated: Vec::new(), draining: Vec::new() };
        for replica in fleet.tables.replicas_of(deployment) {
            if replica.phase == ReplicaPhase::Draining {
                census.draining.push(replica);
            } else if outdated_because(fleet, replica, spec).is_some() {
                census.outdated.push(replica);
            } else {
                census.current.push(replica);
            }
        }
        census
    }

    fn serving(&self) -> usize {
        let all = self.current.iter().chain(&self.outdated);
        all.filter(|replica| replica.phase == ReplicaPhase::Serving).count()
    }

    fn not_draining(&self) -> usize {
        self.current.len() + self.outdated.len()
    }
}

fn outdated_because(fleet: &Fleet<'_>, replica: &ReplicaRow, spec: &DeploymentSpec) -> Option<String> {
    if replica.version != spec.version || replica.model != spec.model {
        return Some(format!(
            "serves {} {} instead of {} {}",
            replica.model, replica.version, spec.model, spec.version
        ));
    }
    if replica.adapters != spec.adapters || replica.role != spec.role {
        return Some("its adapters or its role differ from the deployment's".to_string());
    }
    if replica.members.len() != spec.machines_per_replica as usize {
        return Some(format!(
            "has {} machines instead of {}",
            replica.members.len(),
            spec.machines_per_replica
        ));
    }
    let leaving = replica.members.iter().find(|server| fleet.is_leaving(server))?;
    Some(format!("server {leaving} leaves"))
}

/// One operator at most for each deployment, and one for each drained replica. `repaired` are replicas that
/// have an operator already.
pub(crate) fn check(fleet: &Fleet<'_>, repaired: &[String], taken: &mut Vec<String>) -> Vec<Operator> {
    let mut operators = Vec::new();
    for (name, spec) in fleet.tables.deployments() {
        let census = Census::of(fleet, name, spec);
        operators.extend(finish_drained(fleet, spec, &census, repaired, taken));
        operators.extend(next_step(fleet, name, spec, &census, repaired, taken));
    }
    operators.extend(orphans(fleet, repaired));
    operators
}

/// Drained replicas are dissolved if there are enough without them, else formed anew in place.
fn finish_drained(
    fleet: &Fleet<'_>,
    spec: &DeploymentSpec,
    census: &Census<'_>,
    repaired: &[String],
    taken: &mut Vec<String>,
) -> Vec<Operator> {
    let mut missing = (spec.replicas as usize).saturating_sub(census.not_draining());
    let mut operators = Vec::new();
    for replica in &census.draining {
        if !is_idle(fleet, replica) || repaired.contains(&replica.name) {
            continue;
        }
        let refill = refilled(fleet, replica, spec.machines_per_replica as usize, taken);
        match refill {
            Some(members) if missing > 0 => {
                missing -= 1;
                taken.extend(members.iter().cloned());
                operators.push(reform_drained(replica, members));
            }
            _ => operators.push(dissolve(replica, "drained, and nothing is in flight".to_string())),
        }
    }
    operators
}

fn reform_drained(replica: &ReplicaRow, members: Vec<String>) -> Operator {
    let message = "drained, and nothing is in flight; loads the deployment's content".to_string();
    let body = CommandBody::ReformReplica {
        replica: replica.name.clone(),
        epoch: replica.epoch,
        members,
        reason: message.clone(),
    };
    Operator::on_replica(&replica.name, "Reformed", message, body)
}

fn is_idle(fleet: &Fleet<'_>, replica: &ReplicaRow) -> bool {
    // A replica that never served has nothing in flight, and no coordinator reports on it.
    let broken = replica.members.iter().any(|server| fleet.health(server) == MachineHealth::Dead);
    broken || fleet.idle_replicas.contains(&(replica.name.clone(), replica.epoch))
}

fn next_step(
    fleet: &Fleet<'_>,
    name: &str,
    spec: &DeploymentSpec,
    census: &Census<'_>,
    repaired: &[String],
    taken: &mut Vec<String>,
) -> Option<Operator> {
    let declared = spec.replicas as usize;
    let untouched = |replica: &&&Arc<ReplicaRow>| !repaired.contains(&replica.name);
    if census.not_draining() < declared {
        return form(fleet, name, spec, taken, "Formed", "fewer replicas than declared");
    }
    if census.current.len() > declared
        && let Some(surplus) = least_useful(&census.current, repaired)
    {
        let message = format!("{} replicas where {declared} are declared", census.current.len());
        return Some(drain(surplus, "ScaledDown", message));
    }
    let outdated = census.outdated.iter().find(untouched)?;
    let because = outdated_because(fleet, outdated, spec).unwrap_or_default();
    let spare_capacity = census.serving() > declared || outdated.phase != ReplicaPhase::Serving;
    if spare_capacity {
        return Some(drain(outdated, "Draining", because));
    }
    if census.not_draining() <= declared
        && let Some(operator) =
            form(fleet, name, spec, taken, "Surged", &format!("replaces {}: {because}", outdated.name))
    {
        return Some(operator);
    }
    let surge_under_way = census.not_draining() > declared;
    if surge_under_way || !census.draining.is_empty() {
        return None;
    }
    let message =
        format!("{because}; no domain has machines for a replacement, so one replica less serves meanwhile");
    Some(drain(outdated, "Draining", message))
}

/// The one that serves least: not serving before serving, then the newest.
fn least_useful<'a>(replicas: &[&'a Arc<ReplicaRow>], repaired: &[String]) -> Option<&'a Arc<ReplicaRow>> {
    let candidates = replicas.iter().filter(|replica| !repaired.contains(&replica.name));
    candidates.max_by_key(|replica| (replica.phase != ReplicaPhase::Serving, replica.since_ms)).copied()
}

fn form(
    fleet: &Fleet<'_>,
    name: &str,
    spec: &DeploymentSpec,
    taken: &mut Vec<String>,
    reason: &'static str,
    because: &str,
) -> Option<Operator> {
    let members = choose_members(fleet, name, spec, taken)?;
    taken.extend(members.iter().cloned());
    let domain = fleet.tables.server(&members[0]).map(|server| server.domain.clone()).unwrap_or_default();
    let message = format!("{because}; {} free machines of domain {domain}", members.len());
    let body = CommandBody::FormReplica { deployment: name.to_string(), members, reason: message.clone() };
    Some(Operator::on_deployment(name, reason, message, body))
}

fn drain(replica: &ReplicaRow, reason: &'static str, message: String) -> Operator {
    let body = CommandBody::DrainReplica {
        replica: replica.name.clone(),
        epoch: replica.epoch,
        reason: message.clone(),
    };
    Operator::on_replica(&replica.name, reason, message, body)
}

/// Replicas whose deployment is gone.
fn orphans(fleet: &Fleet<'_>, repaired: &[String]) -> Vec<Operator> {
    let orphaned = fleet
        .tables
        .replicas
        .values()
        .filter(|replica| fleet.tables.deployment(&replica.deployment).is_none());
    let untouched = orphaned.filter(|replica| !repaired.contains(&replica.name));
    untouched
        .filter_map(|replica| match replica.phase {
            ReplicaPhase::Draining if is_idle(fleet, replica) => {
                Some(dissolve(replica, "its deployment is gone, and nothing is in flight".to_string()))
            }
            ReplicaPhase::Draining => None,
            _ => Some(drain(replica, "Draining", "its deployment is gone".to_string())),
        })
        .collect()
}

/// Deployments that lack replicas, with the reason why none can be formed.
pub(crate) fn shortfalls(fleet: &Fleet<'_>) -> Vec<Shortfall> {
    let spares = spares_by_domain(fleet, &[]);
    let largest = spares.values().map(|domain| domain.servers.len()).max().unwrap_or(0);
    let mut shortfalls = Vec::new();
    for (name, spec) in fleet.tables.deployments() {
        let present = fleet.tables.replicas_of(name).count() as u32;
        if present >= spec.replicas {
            continue;
        }
        let wanted = spec.machines_per_replica;
        let message = if largest >= wanted as usize {
            "being formed".to_string()
        } else {
            format!("no domain has {wanted} free machines; the largest has {largest}")
        };
        shortfalls.push(Shortfall {
            deployment: name.to_string(),
            missing: spec.replicas - present,
            message,
        });
    }
    shortfalls
}
