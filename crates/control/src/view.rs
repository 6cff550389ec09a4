//! The leader's view of the fleet as JSON, for status queries.

use crate::Millis;
use crate::blackboard::Blackboard;
use crate::leases::LeaseTable;
use crate::voter_zones::VoterStatus;
use dockwood_placement::{MachineHealth, PlacementPolicy, shortfalls};
use dockwood_state::{Liveness, ReplicaPhase};
use serde_json::{Value, json};

/// Header fields of a view.
#[derive(Clone, Copy, Debug)]
pub struct ViewHeader<'a> {
    /// The leader's name.
    pub leader: &'a str,
    /// Its term.
    pub term: u64,
    /// Newest revision in force everywhere.
    pub in_force_revision: u64,
    /// The voters of the control group.
    pub voters: &'a [VoterStatus],
}

/// Returns the JSON document with all data of the status screen.
pub fn control_view<R>(
    board: &Blackboard,
    leases: &LeaseTable<R>,
    header: ViewHeader<'_>,
    now: Millis,
) -> Vec<u8> {
    let ViewHeader { leader, term, in_force_revision, voters } = header;
    let fleet = board.fleet(now, PlacementPolicy::default());
    let tables = board.tables();
    let replicas: Vec<Value> = tables
        .replicas
        .values()
        .map(|row| {
            let unhealthy: Vec<String> = row
                .members
                .iter()
                .filter(|server| {
                    !matches!(fleet.health(server), MachineHealth::Usable | MachineHealth::Recovering)
                })
                .map(|server| format!("{server} {:?}", fleet.health(server)))
                .collect();
            json!({
                "name": row.name, "deployment": row.deployment, "phase": format!("{:?}", row.phase),
                "epoch": row.epoch, "domain": row.domain, "version": row.version, "reason": row.reason,
                "unwellMachines": unhealthy, "serving": row.phase == ReplicaPhase::Serving && unhealthy.is_empty(),
            })
        })
        .collect();
    let stranded: Vec<&str> = tables
        .servers()
        .map(|(name, _)| name)
        .filter(|name| {
            let is_serving = tables
                .machines
                .get(*name)
                .and_then(|machine| machine.holder.as_ref())
                .is_some_and(|holder| {
                    tables.replicas.get(&holder.replica).is_some_and(|row| row.phase == ReplicaPhase::Serving)
                });
            !is_serving && !matches!(fleet.health(name), MachineHealth::Dead | MachineHealth::Unknown)
        })
        .collect();
    let daemons: Vec<Value> = tables
        .daemons
        .values()
        .map(|row| {
            let lease = leases.row(&row.record.name);
            json!({
                "name": row.record.name, "zone": row.record.zone, "liveness": format!("{:?}", row.liveness),
                "holdsLease": row.liveness != Liveness::Lost && lease.is_some_and(|lease| now < lease.expires),
                "appliedRevision": lease.map(|lease| lease.applied_revision),
                "inFlight": lease.map(|lease| lease.in_flight),
            })
        })
        .collect();
    let shortages: Vec<Value> = shortfalls(&fleet)
        .into_iter()
        .map(|shortfall| json!({ "deployment": shortfall.deployment, "missing": shortfall.missing, "why": shortfall.message }))
        .collect();
    let voters: Vec<Value> = voters
        .iter()
        .map(|voter| json!({ "address": voter.address, "zone": voter.zone, "silentMs": voter.silent_ms }))
        .collect();
    let view = json!({
        "voters": voters,
        "leader": leader, "term": term, "revision": tables.revision, "inForceRevision": in_force_revision,
        "behind": leases.lagging(now, tables.revision), "claims": board.state.claims.len(),
        "replicas": replicas, "shortfalls": shortages, "strandedMachines": stranded, "daemons": daemons,
        "evacuatedZones": tables.gateway.evacuated_zones().collect::<Vec<&str>>(),
    });
    serde_json::to_vec(&view).unwrap_or_default()
}
