//! Repair of replicas that lost a machine: least downtime first, then fewest machines stranded.

use crate::fleet::{Fleet, MachineHealth, PlacementPolicy};
use crate::machines::{choose_members, spares_in};
use crate::operator::Operator;
use dockwood_state::{CommandBody, ReplicaPhase, ReplicaRow};
use std::sync::Arc;

/// One operator for each replica that is broken and can be mended now.
/// `taken` gathers the machines that its operators use.
pub(crate) fn check(fleet: &Fleet<'_>, taken: &mut Vec<String>) -> Vec<Operator> {
    let mut operators = Vec::new();
    for replica in fleet.tables.replicas.values() {
        let lost = lost_members(fleet, replica);
        if lost.is_empty() {
            continue;
        }
        if let Some(operator) = repair(fleet, replica, &lost, taken) {
            operators.push(operator);
        }
    }
    operators
}

fn lost_members(fleet: &Fleet<'_>, replica: &ReplicaRow) -> Vec<String> {
    let lost = |server: &&String| fleet.health(server) == MachineHealth::Dead;
    replica.members.iter().filter(lost).cloned().collect()
}

/// Members that stay and spares that fill up, in that order: the head changes only if it is the one lost, and
/// what stays keeps its weights.
pub(crate) fn refilled(
    fleet: &Fleet<'_>,
    replica: &ReplicaRow,
    wanted: usize,
    taken: &[String],
) -> Option<Vec<String>> {
    let stays = |server: &&String| fleet.health(server) != MachineHealth::Dead && !fleet.is_leaving(server);
    let mut members: Vec<String> = replica.members.iter().filter(stays).take(wanted).cloned().collect();
    let spares = spares_in(fleet, &replica.domain, taken);
    members.extend(spares.into_iter().take(wanted.saturating_sub(members.len())));
    (members.len() == wanted).then_some(members)
}

fn repair(
    fleet: &Fleet<'_>,
    replica: &Arc<ReplicaRow>,
    lost: &[String],
    taken: &mut Vec<String>,
) -> Option<Operator> {
    let lost_names = lost.join(", ");
    let Some(spec) = fleet.tables.deployment(&replica.deployment) else {
        return Some(dissolve(replica, format!("lost {lost_names}, and its deployment is gone")));
    };
    let wanted = spec.machines_per_replica as usize;
    if fleet.policy == PlacementPolicy::FullReform {
        return Some(dissolve(replica, format!("lost {lost_names}; formed anew")));
    }
    if let Some(members) = refilled(fleet, replica, wanted, taken) {
        let joined: Vec<String> =
            members.iter().filter(|server| !replica.members.contains(server)).cloned().collect();
        taken.extend(members.iter().cloned());
        let message = format!(
            "lost {lost_names}; spares {} of domain {} take their place and load 1/{wanted} of the weights each",
            joined.join(", "),
            replica.domain
        );
        let body = CommandBody::ReformReplica {
            replica: replica.name.clone(),
            epoch: replica.epoch,
            members,
            reason: message.clone(),
        };
        return Some(Operator::on_replica(&replica.name, "RepairedWithSpare", message, body));
    }
    if replica.phase != ReplicaPhase::Draining
        && let Some(members) = choose_members(fleet, &replica.deployment, spec, taken)
    {
        // The machines are only reserved here; the next pass forms the replica once this one is gone.
        taken.extend(members);
        let message = format!(
            "lost {lost_names}, and domain {} has no spare; another domain has {wanted} free machines",
            replica.domain
        );
        return Some(dissolve(replica, message));
    }
    None
}

pub(crate) fn dissolve(replica: &ReplicaRow, message: String) -> Operator {
    let body = CommandBody::DissolveReplica {
        replica: replica.name.clone(),
        epoch: replica.epoch,
        reason: message.clone(),
    };
    Operator::on_replica(&replica.name, "Dissolved", message, body)
}
