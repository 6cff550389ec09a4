//! What this entry tells the control leader or the dispatchers of its requests, and what it learns from them.

use super::{GroupState, Loads, PlaceQuery, lock};
use crate::clock::monotonic_ms;
use crate::pushback::{Pushback, head_of};
use dockwood_api::gateway::{DispatchScope, GroupLoad, LoadDigest, LoadReport};
use dockwood_routing::Millis;
use dockwood_routing::pushback::Hold;
use dockwood_state::GroupRow;
use rand::seq::SliceRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;

/// A rest of which less is left than this is not told: no other group could serve in its place before it ends, and a plan
/// that changes with each short rest never settles.
const LONG_REST_MS: Millis = 10_000;

/// How much longer this entry sends nothing to the head of a group, as far as plans need to know.
fn held_for_ms(row: &GroupRow, pushback: &Pushback, now: Millis) -> Millis {
    if pushback.is_empty() {
        return 0;
    }
    match pushback.hold(&head_of(row)) {
        Some(Hold::Leaving) => Millis::MAX,
        Some(Hold::Resting { until }) if until >= now + LONG_REST_MS => until - now,
        _ => 0,
    }
}

/// What an entry has at the groups of one scope.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScopeLoad {
    /// Requests in flight by group epoch, of groups that have any or stand still.
    pub in_flight: Vec<(u64, u32)>,
    /// A group stands still, or refuses connections.
    pub stands_still: bool,
}

fn scope_of(row: &GroupRow) -> DispatchScope {
    DispatchScope { zone: row.zone.clone(), service: row.service.clone(), model: row.model.clone() }
}

fn is_in_scope(row: &GroupRow, scope: &DispatchScope) -> bool {
    row.zone == scope.zone && row.service == scope.service && row.model == scope.model
}

impl Loads {
    /// What the leader is to be told of all groups.
    pub fn report(&self, daemon: &str, pushback: &Pushback) -> LoadReport {
        let groups = self.tell_groups(pushback, |_| true);
        let models = std::mem::take(&mut *lock(&self.demand)).into_values().collect();
        LoadReport { daemon: daemon.to_string(), scope: None, groups, models }
    }

    /// What the dispatcher of a scope is to be told; what is asked for goes to that of the own zone.
    pub fn report_scope(
        &self,
        daemon: &str,
        own_zone: &str,
        scope: &DispatchScope,
        pushback: &Pushback,
    ) -> LoadReport {
        let groups = self.tell_groups(pushback, |row| is_in_scope(row, scope));
        let key = (scope.service.clone(), scope.model.clone());
        let is_own = scope.zone == own_zone;
        let models = is_own.then(|| lock(&self.demand).remove(&key)).flatten().into_iter().collect();
        LoadReport { daemon: daemon.to_string(), scope: Some(scope.clone()), groups, models }
    }

    fn tell_groups(&self, pushback: &Pushback, concerns: impl Fn(&GroupRow) -> bool) -> Vec<GroupLoad> {
        let now = monotonic_ms();
        let mut groups = lock(&self.groups);
        let tell = |(epoch, group): (&u64, &mut GroupState)| {
            group.reported_in_flight = group.in_flight;
            let load = GroupLoad {
                epoch: *epoch,
                in_flight: group.in_flight,
                silent: now < group.suspected_until,
                refuses: std::mem::take(&mut group.refused),
                progressed: std::mem::take(&mut group.progressed),
                pace: std::mem::take(&mut group.pace),
                held_for_ms: held_for_ms(&group.row, pushback, now),
            };
            (load.has_activity() || load.held_for_ms > 0).then_some(load)
        };
        groups.iter_mut().filter(|(_, group)| concerns(&group.row)).filter_map(tell).collect()
    }

    /// Requests in flight and groups that stand still, by scope; also scopes in which only demand is to be told.
    pub fn scopes(&self, own_zone: &str, pushback: &Pushback) -> BTreeMap<DispatchScope, ScopeLoad> {
        let now = monotonic_ms();
        let mut scopes: BTreeMap<DispatchScope, ScopeLoad> = BTreeMap::new();
        for (epoch, group) in lock(&self.groups).iter() {
            let stands_still = now < group.suspected_until || group.refused;
            let is_held = held_for_ms(&group.row, pushback, now) > 0;
            if group.in_flight == 0 && !stands_still && !is_held {
                continue;
            }
            let load = scopes.entry(scope_of(&group.row)).or_default();
            if group.in_flight > 0 || stands_still {
                load.in_flight.push((*epoch, group.in_flight));
            }
            load.stands_still |= stands_still;
        }
        for (service, model) in lock(&self.demand).keys() {
            let scope =
                DispatchScope { zone: own_zone.to_string(), service: service.clone(), model: model.clone() };
            scopes.entry(scope).or_default();
        }
        scopes
    }

    /// Zones with groups that take a model's requests: the own one first, the others in an order drawn by chance.
    pub fn zones(&self, query: PlaceQuery<'_>, own_zone: &str) -> Vec<String> {
        let groups = lock(&self.groups);
        let serving = groups.values().filter(|group| group.may_run(&query));
        let zones: BTreeSet<&str> = serving.map(|group| group.row.zone.as_str()).collect();
        let mut others: Vec<&str> = zones.iter().copied().filter(|zone| *zone != own_zone).collect();
        others.shuffle(&mut rand::rng());
        let own = zones.get(own_zone).copied();
        own.into_iter().chain(others).map(str::to_string).collect()
    }

    /// Takes what the dispatcher of a scope tells of the other entries.
    pub fn take_scope_digest(&self, scope: &DispatchScope, digest: &LoadDigest) {
        let mut groups = lock(&self.groups);
        for (epoch, group) in groups.iter_mut().filter(|(_, group)| is_in_scope(&group.row, scope)) {
            let shared = digest.groups.iter().find(|shared| shared.epoch == *epoch);
            group.others_in_flight = shared.map_or(0, |shared| shared.others_in_flight);
            group.suspected_by_others = shared.is_some_and(|shared| shared.suspected);
        }
    }

    /// Takes what the leader tells of the other entries.
    pub fn take_digest(&self, digest: &LoadDigest) {
        self.entries.store(digest.entries, Ordering::Relaxed);
        let mut groups = lock(&self.groups);
        for (epoch, group) in groups.iter_mut() {
            let shared = digest.groups.iter().find(|shared| shared.epoch == *epoch);
            group.others_in_flight = shared.map_or(0, |shared| shared.others_in_flight);
            group.suspected_by_others = shared.is_some_and(|shared| shared.suspected);
            let granted = shared.map_or(0, |shared| shared.granted);
            group.allowance = group.reported_in_flight + granted;
        }
        drop(groups);
        self.granted_at.store(monotonic_ms(), Ordering::Relaxed);
        self.freed.notify_waiters();
    }
}
