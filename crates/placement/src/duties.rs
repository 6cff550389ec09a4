//! Duties of daemons: the coordinator and standby of each pool, the watcher of each replica.

use crate::fleet::Fleet;
use crate::operator::Operator;
use dockwood_api::digest::rendezvous_weight;
use dockwood_state::{CommandBody, DaemonRow, PoolRow};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Operators for duties whose holder is gone.
pub(crate) fn check(fleet: &Fleet<'_>) -> Vec<Operator> {
    let mut load = current_load(fleet);
    let mut operators = pools(fleet, &mut load);
    operators.extend(watchers(fleet, &mut load));
    operators
}

/// Duties of each live daemon.
fn current_load(fleet: &Fleet<'_>) -> BTreeMap<String, usize> {
    let mut load: BTreeMap<String, usize> =
        fleet.tables.live_daemons().map(|daemon| (daemon.record.name.clone(), 0)).collect();
    let coordinators = fleet.tables.pools.values().filter_map(|pool| pool.coordinator.as_ref());
    let watchers = fleet.tables.replicas.values().filter_map(|replica| replica.watcher.as_ref());
    for holder in coordinators.chain(watchers) {
        if let Some(count) = load.get_mut(holder) {
            *count += 1;
        }
    }
    load
}

fn is_live(fleet: &Fleet<'_>, daemon: Option<&String>) -> bool {
    daemon.is_some_and(|name| fleet.tables.live_daemons().any(|live| live.record.name == *name))
}

/// The live daemon with the fewest duties that `allowed` lets pass; equal ones by rendezvous hash.
fn least_loaded(
    fleet: &Fleet<'_>,
    load: &BTreeMap<String, usize>,
    key: &str,
    allowed: impl Fn(&DaemonRow) -> bool,
) -> Option<String> {
    let candidates = fleet.tables.live_daemons().filter(|daemon| allowed(daemon));
    let best = candidates.min_by_key(|daemon| {
        let name = &daemon.record.name;
        let duties = load.get(name).copied().unwrap_or(0);
        (duties, std::cmp::Reverse(rendezvous_weight(key, name)))
    });
    best.map(|daemon: &Arc<DaemonRow>| daemon.record.name.clone())
}

fn pools(fleet: &Fleet<'_>, load: &mut BTreeMap<String, usize>) -> Vec<Operator> {
    let mut operators = Vec::new();
    for (name, _) in fleet.tables.deployments() {
        let current = fleet.tables.pools.get(name).cloned().unwrap_or_default();
        let next = next_pool(fleet, load, name, &current);
        if (&next.coordinator, &next.standby) == (&current.coordinator, &current.standby) {
            continue;
        }
        if let Some(coordinator) = &next.coordinator {
            *load.entry(coordinator.clone()).or_default() += 1;
        }
        let named = |daemon: &Option<String>| daemon.clone().unwrap_or_else(|| "nobody".to_string());
        let message = format!("{} coordinates, {} stands by", named(&next.coordinator), named(&next.standby));
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

/// A live coordinator stays; a dead one is followed by its standby, which entries try first already.
fn next_pool(fleet: &Fleet<'_>, load: &BTreeMap<String, usize>, name: &str, current: &PoolRow) -> PoolRow {
    let standby_lives = is_live(fleet, current.standby.as_ref());
    let coordinator = if is_live(fleet, current.coordinator.as_ref()) {
        current.coordinator.clone()
    } else if standby_lives {
        current.standby.clone()
    } else {
        least_loaded(fleet, load, name, |_| true)
    };
    let standby_kept = standby_lives && current.standby != coordinator;
    let standby =
        if standby_kept { current.standby.clone() } else { choose_standby(fleet, load, name, &coordinator) };
    PoolRow { coordinator, standby, term: current.term }
}

/// In another zone than the coordinator where there is one.
fn choose_standby(
    fleet: &Fleet<'_>,
    load: &BTreeMap<String, usize>,
    name: &str,
    coordinator: &Option<String>,
) -> Option<String> {
    let coordinator = coordinator.as_ref()?;
    let zone = fleet.tables.daemons.get(coordinator).map(|daemon| daemon.record.zone.clone());
    let elsewhere = least_loaded(fleet, load, name, |daemon| Some(&daemon.record.zone) != zone.as_ref());
    elsewhere.or_else(|| least_loaded(fleet, load, name, |daemon| daemon.record.name != *coordinator))
}

fn watchers(fleet: &Fleet<'_>, load: &mut BTreeMap<String, usize>) -> Vec<Operator> {
    let mut operators = Vec::new();
    for replica in fleet.tables.replicas.values() {
        if is_live(fleet, replica.watcher.as_ref()) {
            continue;
        }
        let Some(watcher) = least_loaded(fleet, load, &replica.name, |_| true) else { continue };
        *load.entry(watcher.clone()).or_default() += 1;
        let message = format!("{watcher} watches");
        let body = CommandBody::AssignWatcher { replica: replica.name.clone(), watcher: Some(watcher) };
        operators.push(Operator::on_replica(&replica.name, "WatcherAssigned", message, body));
    }
    operators
}
