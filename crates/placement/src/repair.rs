//! Repair of replicas that lost a machine. The first goal is minimal downtime, the second to strand as few
//! machines as possible.

use crate::fleet::{Fleet, MachineHealth, PlacementPolicy};
use crate::machines::{choose_members, spares_in};
use crate::operator::Operator;
use dockwood_state::{CommandBody, ReplicaPhase, ReplicaRow};
use std::sync::Arc;

/// Plans one operator for each broken replica that can be repaired now. The machines that the operators use
/// are added to `reserved`.
pub(crate) fn plan_repairs(fleet: &Fleet<'_>, reserved: &mut Vec<String>) -> Vec<Operator> {
    let mut operators = Vec::new();
    for replica in fleet.tables.replicas.values() {
        let lost = lost_members(fleet, replica);
        if lost.is_empty() {
            continue;
        }
        if let Some(operator) = repair(fleet, replica, &lost, reserved) {
            operators.push(operator);
        }
    }
    operators
}

fn lost_members(fleet: &Fleet<'_>, replica: &ReplicaRow) -> Vec<String> {
    let lost = |server: &&String| fleet.health(server) == MachineHealth::Dead;
    replica.members.iter().filter(lost).cloned().collect()
}

/// The members that stay, followed by spares for the others. The head changes only if it is the lost machine,
/// and the members that stay keep their weights.
pub(crate) fn refilled_members(
    fleet: &Fleet<'_>,
    replica: &ReplicaRow,
    wanted: usize,
    reserved: &[String],
) -> Option<Vec<String>> {
    let stays = |server: &&String| fleet.health(server) != MachineHealth::Dead && !fleet.is_leaving(server);
    let mut members: Vec<String> = replica.members.iter().filter(stays).take(wanted).cloned().collect();
    let spares = spares_in(fleet, &replica.domain, reserved);
    members.extend(spares.into_iter().take(wanted.saturating_sub(members.len())));
    (members.len() == wanted).then_some(members)
}

fn repair(
    fleet: &Fleet<'_>,
    replica: &Arc<ReplicaRow>,
    lost: &[String],
    reserved: &mut Vec<String>,
) -> Option<Operator> {
    let lost_names = lost.join(", ");
    let Some(spec) = fleet.tables.deployment(&replica.deployment) else {
        return Some(dissolve(replica, format!("lost {lost_names}, and its deployment is gone")));
    };
    let wanted = spec.machines_per_replica as usize;
    if fleet.policy == PlacementPolicy::FullReform {
        return Some(dissolve(replica, format!("lost {lost_names}; formed anew")));
    }
    if let Some(members) = refilled_members(fleet, replica, wanted, reserved) {
        let joined: Vec<String> =
            members.iter().filter(|server| !replica.members.contains(server)).cloned().collect();
        reserved.extend(members.iter().cloned());
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
        && let Some(members) = choose_members(fleet, &replica.deployment, spec, reserved)
    {
        // This only reserves the machines; the next plan forms the replica once the old one is dissolved.
        reserved.extend(members);
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
