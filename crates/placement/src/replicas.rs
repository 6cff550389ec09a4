//! Number and content of each deployment's replicas: forming, scaling, rollouts, and draining of servers.

use crate::fleet::{Fleet, MachineHealth};
use crate::machines::{choose_members, spares_by_domain};
use crate::operator::Operator;
use crate::repair::{dissolve, refilled_members};
use dockwood_api::resource::DeploymentSpec;
use dockwood_state::{CommandBody, ReplicaPhase, ReplicaRow};
use std::sync::Arc;

/// A deployment with fewer replicas than declared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// Deployment resource name.
    pub deployment: String,
    /// Number of missing replicas.
    pub missing: u32,
    /// Why they cannot be formed.
    pub message: String,
}

/// Replicas of one deployment by the action they need.
struct ReplicasByStatus<'a> {
    /// Declared content, and no machine is leaving.
    current: Vec<&'a Arc<ReplicaRow>>,
    /// Outdated content, or a machine that is leaving.
    outdated: Vec<&'a Arc<ReplicaRow>>,
    draining: Vec<&'a Arc<ReplicaRow>>,
}

impl<'a> ReplicasByStatus<'a> {
    fn of(fleet: &Fleet<'a>, deployment: &'a str, spec: &DeploymentSpec) -> Self {
        let mut by_status =
            ReplicasByStatus { current: Vec::new(), outdated: Vec::new(), draining: Vec::new() };
        for replica in fleet.tables.replicas_of(deployment) {
            if replica.phase == ReplicaPhase::Draining {
                by_status.draining.push(replica);
            } else if outdated_because(fleet, replica, spec).is_some() {
                by_status.outdated.push(replica);
            } else {
                by_status.current.push(replica);
            }
        }
        by_status
    }

    fn serving_count(&self) -> usize {
        let all = self.current.iter().chain(&self.outdated);
        all.filter(|replica| replica.phase == ReplicaPhase::Serving).count()
    }

    fn not_draining_count(&self) -> usize {
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

/// Plans at most one operator per deployment, and one per drained replica. `repaired` names the replicas that
/// already have an operator.
pub(crate) fn plan_replicas(
    fleet: &Fleet<'_>,
    repaired: &[String],
    reserved: &mut Vec<String>,
) -> Vec<Operator> {
    let mut operators = Vec::new();
    for (name, spec) in fleet.tables.deployments() {
        let by_status = ReplicasByStatus::of(fleet, name, spec);
        operators.extend(handle_drained(fleet, spec, &by_status, repaired, reserved));
        operators.extend(next_operator(fleet, name, spec, &by_status, repaired, reserved));
    }
    operators.extend(orphans(fleet, repaired));
    operators
}

/// Dissolves drained replicas that are no longer needed and re-forms the others in place.
fn handle_drained(
    fleet: &Fleet<'_>,
    spec: &DeploymentSpec,
    by_status: &ReplicasByStatus<'_>,
    repaired: &[String],
    reserved: &mut Vec<String>,
) -> Vec<Operator> {
    let mut missing = (spec.replicas as usize).saturating_sub(by_status.not_draining_count());
    let mut operators = Vec::new();
    for replica in &by_status.draining {
        if !is_idle(fleet, replica) || repaired.contains(&replica.name) {
            continue;
        }
        let refill = refilled_members(fleet, replica, spec.machines_per_replica as usize, reserved);
        match refill {
            Some(members) if missing > 0 => {
                missing -= 1;
                reserved.extend(members.iter().cloned());
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
    // A replica that never served has no requests in flight, and no coordinator reports on it.
    let broken = replica.members.iter().any(|server| fleet.health(server) == MachineHealth::Dead);
    broken || fleet.idle_replicas.contains(&(replica.name.clone(), replica.epoch))
}

fn next_operator(
    fleet: &Fleet<'_>,
    name: &str,
    spec: &DeploymentSpec,
    by_status: &ReplicasByStatus<'_>,
    repaired: &[String],
    reserved: &mut Vec<String>,
) -> Option<Operator> {
    let declared = spec.replicas as usize;
    let without_operator = |replica: &&&Arc<ReplicaRow>| !repaired.contains(&replica.name);
    if by_status.not_draining_count() < declared {
        return form_replica(fleet, name, spec, reserved, "Formed", "fewer replicas than declared");
    }
    if by_status.current.len() > declared
        && let Some(surplus) = scale_down_candidate(&by_status.current, repaired)
    {
        let message = format!("{} replicas where {declared} are declared", by_status.current.len());
        return Some(drain_replica(surplus, "ScaledDown", message));
    }
    let outdated = by_status.outdated.iter().find(without_operator)?;
    let because = outdated_because(fleet, outdated, spec).unwrap_or_default();
    let spare_capacity = by_status.serving_count() > declared || outdated.phase != ReplicaPhase::Serving;
    if spare_capacity {
        return Some(drain_replica(outdated, "Draining", because));
    }
    if by_status.not_draining_count() <= declared
        && let Some(operator) = form_replica(
            fleet,
            name,
            spec,
            reserved,
            "Surged",
            &format!("replaces {}: {because}", outdated.name),
        )
    {
        return Some(operator);
    }
    let surge_in_progress = by_status.not_draining_count() > declared;
    if surge_in_progress || !by_status.draining.is_empty() {
        return None;
    }
    let message =
        format!("{because}; no domain has machines for a replacement, so one replica less serves meanwhile");
    Some(drain_replica(outdated, "Draining", message))
}

/// The replica to remove first: one that is not serving if there is any, otherwise the newest.
fn scale_down_candidate<'a>(
    replicas: &[&'a Arc<ReplicaRow>],
    repaired: &[String],
) -> Option<&'a Arc<ReplicaRow>> {
    let candidates = replicas.iter().filter(|replica| !repaired.contains(&replica.name));
    candidates.max_by_key(|replica| (replica.phase != ReplicaPhase::Serving, replica.since_ms)).copied()
}

fn form_replica(
    fleet: &Fleet<'_>,
    name: &str,
    spec: &DeploymentSpec,
    reserved: &mut Vec<String>,
    reason: &'static str,
    because: &str,
) -> Option<Operator> {
    let members = choose_members(fleet, name, spec, reserved)?;
    reserved.extend(members.iter().cloned());
    let domain = fleet.tables.server(&members[0]).map(|server| server.domain.clone()).unwrap_or_default();
    let message = format!("{because}; {} free machines of domain {domain}", members.len());
    let body = CommandBody::FormReplica { deployment: name.to_string(), members, reason: message.clone() };
    Some(Operator::on_deployment(name, reason, message, body))
}

fn drain_replica(replica: &ReplicaRow, reason: &'static str, message: String) -> Operator {
    let body = CommandBody::DrainReplica {
        replica: replica.name.clone(),
        epoch: replica.epoch,
        reason: message.clone(),
    };
    Operator::on_replica(&replica.name, reason, message, body)
}

/// Drains or dissolves replicas whose deployment has been deleted.
fn orphans(fleet: &Fleet<'_>, repaired: &[String]) -> Vec<Operator> {
    let orphaned = fleet
        .tables
        .replicas
        .values()
        .filter(|replica| fleet.tables.deployment(&replica.deployment).is_none());
    let without_operator = orphaned.filter(|replica| !repaired.contains(&replica.name));
    without_operator
        .filter_map(|replica| match replica.phase {
            ReplicaPhase::Draining if is_idle(fleet, replica) => {
                Some(dissolve(replica, "its deployment is gone, and nothing is in flight".to_string()))
            }
            ReplicaPhase::Draining => None,
            _ => Some(drain_replica(replica, "Draining", "its deployment is gone".to_string())),
        })
        .collect()
}

/// Deployments with missing replicas, and why these cannot be formed.
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
