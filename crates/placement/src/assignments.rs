//! Assignment of daemons: the coordinator and standby of each pool, and the watcher of each replica.

use crate::fleet::Fleet;
use crate::operator::Operator;
use dockwood_api::digest::rendezvous_weight;
use dockwood_state::{CommandBody, DaemonRow, PoolRow};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Operators that replace assigned daemons that are no longer live.
pub(crate) fn plan_assignments(fleet: &Fleet<'_>) -> Vec<Operator> {
    let mut counts = assignment_counts(fleet);
    let mut operators = pools(fleet, &mut counts);
    operators.extend(watchers(fleet, &mut counts));
    operators
}

/// Number of assignments of each live daemon.
fn assignment_counts(fleet: &Fleet<'_>) -> BTreeMap<String, usize> {
    let mut counts: BTreeMap<String, usize> =
        fleet.tables.live_daemons().map(|daemon| (daemon.record.name.clone(), 0)).collect();
    let coordinators = fleet.tables.pools.values().filter_map(|pool| pool.coordinator.as_ref());
    let watchers = fleet.tables.replicas.values().filter_map(|replica| replica.watcher.as_ref());
    for holder in coordinators.chain(watchers) {
        if let Some(count) = counts.get_mut(holder) {
            *count += 1;
        }
    }
    counts
}

fn is_live(fleet: &Fleet<'_>, daemon: Option<&String>) -> bool {
    daemon.is_some_and(|name| fleet.tables.live_daemons().any(|live| live.record.name == *name))
}

/// The live daemon with the fewest assignments for which `allowed` returns true; ties are broken by
/// rendezvous hash.
fn least_loaded(
    fleet: &Fleet<'_>,
    counts: &BTreeMap<String, usize>,
    key: &str,
    allowed: impl Fn(&DaemonRow) -> bool,
) -> Option<String> {
    let candidates = fleet.tables.live_daemons().filter(|daemon| allowed(daemon));
    let best = candidates.min_by_key(|daemon| {
        let name = &daemon.record.name;
        let assigned = counts.get(name).copied().unwrap_or(0);
        (assigned, std::cmp::Reverse(rendezvous_weight(key, name)))
    });
    best.map(|daemon: &Arc<DaemonRow>| daemon.record.name.clone())
}

fn pools(fleet: &Fleet<'_>, counts: &mut BTreeMap<String, usize>) -> Vec<Operator> {
    let mut operators = Vec::new();
    for (name, _) in fleet.tables.deployments() {
        let current = fleet.tables.pools.get(name).cloned().unwrap_or_default();
        let next = next_pool(fleet, counts, name, &current);
        if (&next.coordinator, &next.standby) == (&current.coordinator, &current.standby) {
            continue;
        }
        if let Some(coordinator) = &next.coordinator {
            *counts.entry(coordinator.clone()).or_default() += 1;
        }
        let display_name = |daemon: &Option<String>| daemon.clone().unwrap_or_else(|| "nobody".to_string());
        let message = format!(
            "{} coordinates, {} stands by",
            display_name(&next.coordinator),
            display_name(&next.standby)
        );
        let body = CommandBody::AssignPool {
            pool: name.to_string(),
            coordinator: next.coordinator,
            standby: next.standby,
        };
        operators.push(Operator::on_deployment(name, "CoordinatorAssigned", message, body));
    }
    for name in fleet.tables.pools.keys().filter(|name| fleet.tables.deployment(name).is_none()) {
        let body = CommandBody::AssignPool { pool: name.clone(), coordinator: None, standby: None };
        operators.push(Operator::on_deployment(
            name,
            "PoolRemoved",
            "its deployment is gone".to_string(),
            body,
        ));
    }
    operators
}

/// Keeps a live coordinator. A dead one is succeeded by its standby, which the entries try first already.
fn next_pool(fleet: &Fleet<'_>, counts: &BTreeMap<String, usize>, name: &str, current: &PoolRow) -> PoolRow {
    let standby_lives = is_live(fleet, current.standby.as_ref());
    let coordinator = if is_live(fleet, current.coordinator.as_ref()) {
        current.coordinator.clone()
    } else if standby_lives {
        current.standby.clone()
    } else {
        least_loaded(fleet, counts, name, |_| true)
    };
    let standby_kept = standby_lives && current.standby != coordinator;
    let standby = if standby_kept {
        current.standby.clone()
    } else {
        choose_standby(fleet, counts, name, &coordinator)
    };
    PoolRow { coordinator, standby, term: current.term }
}

/// Prefers a daemon in another zone than the coordinator's.
fn choose_standby(
    fleet: &Fleet<'_>,
    counts: &BTreeMap<String, usize>,
    name: &str,
    coordinator: &Option<String>,
) -> Option<String> {
    let coordinator = coordinator.as_ref()?;
    let zone = fleet.tables.daemons.get(coordinator).map(|daemon| daemon.record.zone.clone());
    let in_other_zone =
        least_loaded(fleet, counts, name, |daemon| Some(&daemon.record.zone) != zone.as_ref());
    in_other_zone.or_else(|| least_loaded(fleet, counts, name, |daemon| daemon.record.name != *coordinator))
}

fn watchers(fleet: &Fleet<'_>, counts: &mut BTreeMap<String, usize>) -> Vec<Operator> {
    let mut operators = Vec::new();
    for replica in fleet.tables.replicas.values() {
        if is_live(fleet, replica.watcher.as_ref()) {
            continue;
        }
        let Some(watcher) = least_loaded(fleet, counts, &replica.name, |_| true) else { continue };
        *counts.entry(watcher.clone()).or_default() += 1;
        let message = format!("{watcher} watches");
        let body = CommandBody::AssignWatcher { replica: replica.name.clone(), watcher: Some(watcher) };
        operators.push(Operator::on_replica(&replica.name, "WatcherAssigned", message, body));
    }
    operators
}
