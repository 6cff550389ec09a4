//! Load reports of this entry to the control leader or the dispatchers, and the digests that it receives in return.

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

/// A back-off with less than this time remaining is not reported, in milliseconds: no other group could be opened
/// before it ends, and a plan that changes with each short back-off never becomes stable.
const MIN_REPORTED_BACKOFF_MS: Millis = 10_000;

/// Returns for how long the head of a group will stay on hold at this entry; 0 for holds that are too short to be
/// planned for.
fn held_for_ms(row: &GroupRow, pushback: &Pushback, now: Millis) -> Millis {
    if pushback.is_empty() {
        return 0;
    }
    match pushback.hold(&head_of(row)) {
        Some(Hold::Leaving) => Millis::MAX,
        Some(Hold::Resting { until }) if until >= now + MIN_REPORTED_BACKOFF_MS => until - now,
        _ => 0,
    }
}

/// This entry's load on the groups of one scope.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScopeLoad {
    /// Requests in flight by group epoch, for groups that have any or are suspected to be stalled.
    pub in_flight: Vec<(u64, u32)>,
    /// Whether a group is suspected to be stalled, or refuses connections.
    pub is_stalled: bool,
}

fn scope_of(row: &GroupRow) -> DispatchScope {
    DispatchScope { zone: row.zone.clone(), service: row.service.clone(), model: row.model.clone() }
}

fn is_in_scope(row: &GroupRow, scope: &DispatchScope) -> bool {
    row.zone == scope.zone && row.service == scope.service && row.model == scope.model
}

impl Loads {
    /// Creates the report to the leader on all groups.
    pub fn report(&self, daemon: &str, pushback: &Pushback) -> LoadReport {
        let groups = self.report_groups(pushback, |_| true);
        let models = std::mem::take(&mut *lock(&self.demand)).into_values().collect();
        LoadReport { daemon: daemon.to_string(), scope: None, groups, models }
    }

    /// Creates the report to the dispatcher of a scope. The demand is reported to the dispatcher in this entry's own
    /// zone.
    pub fn report_scope(
        &self,
        daemon: &str,
        own_zone: &str,
        scope: &DispatchScope,
        pushback: &Pushback,
    ) -> LoadReport {
        let groups = self.report_groups(pushback, |row| is_in_scope(row, scope));
        let key = (scope.service.clone(), scope.model.clone());
        let is_own = scope.zone == own_zone;
        let models = is_own.then(|| lock(&self.demand).remove(&key)).flatten().into_iter().collect();
        LoadReport { daemon: daemon.to_string(), scope: Some(scope.clone()), groups, models }
    }

    fn report_groups(&self, pushback: &Pushback, includes: impl Fn(&GroupRow) -> bool) -> Vec<GroupLoad> {
        let now = monotonic_ms();
        let mut groups = lock(&self.groups);
        let report_group = |(epoch, group): (&u64, &mut GroupState)| {
            group.reported_in_flight = group.in_flight;
            let load = GroupLoad {
                epoch: *epoch,
                in_flight: group.in_flight,
                silent: now < group.stalled_until,
                refuses: std::mem::take(&mut group.refused),
                progressed: std::mem::take(&mut group.progressed),
                pace: std::mem::take(&mut group.pace),
                held_for_ms: held_for_ms(&group.row, pushback, now),
            };
            (load.has_activity() || load.held_for_ms > 0).then_some(load)
        };
        groups.iter_mut().filter(|(_, group)| includes(&group.row)).filter_map(report_group).collect()
    }

    /// Returns requests in flight and stalled groups by scope, including scopes with only demand to report.
    pub fn scopes(&self, own_zone: &str, pushback: &Pushback) -> BTreeMap<DispatchScope, ScopeLoad> {
        let now = monotonic_ms();
        let mut scopes: BTreeMap<DispatchScope, ScopeLoad> = BTreeMap::new();
        for (epoch, group) in lock(&self.groups).iter() {
            let is_stalled = now < group.stalled_until || group.refused;
            let is_held = held_for_ms(&group.row, pushback, now) > 0;
            if group.in_flight == 0 && !is_stalled && !is_held {
                continue;
            }
            let load = scopes.entry(scope_of(&group.row)).or_default();
            if group.in_flight > 0 || is_stalled {
                load.in_flight.push((*epoch, group.in_flight));
            }
            load.is_stalled |= is_stalled;
        }
        for (service, model) in lock(&self.demand).keys() {
            let scope =
                DispatchScope { zone: own_zone.to_string(), service: service.clone(), model: model.clone() };
            scopes.entry(scope).or_default();
        }
        scopes
    }

    /// Returns the zones with groups that accept a model's requests: this entry's own zone first, the others in random
    /// order.
    pub fn zones(&self, query: PlaceQuery<'_>, own_zone: &str) -> Vec<String> {
        let groups = lock(&self.groups);
        let serving = groups.values().filter(|group| group.may_run(&query));
        let zones: BTreeSet<&str> = serving.map(|group| group.row.zone.as_str()).collect();
        let mut others: Vec<&str> = zones.iter().copied().filter(|zone| *zone != own_zone).collect();
        others.shuffle(&mut rand::rng());
        let own = zones.get(own_zone).copied();
        own.into_iter().chain(others).map(str::to_string).collect()
    }

    /// Applies a scope's digest of the other entries' load, received from its dispatcher.
    pub fn apply_scope_digest(&self, scope: &DispatchScope, digest: &LoadDigest) {
        let mut groups = lock(&self.groups);
        for (epoch, group) in groups.iter_mut().filter(|(_, group)| is_in_scope(&group.row, scope)) {
            let shared = digest.groups.iter().find(|shared| shared.epoch == *epoch);
            group.others_in_flight = shared.map_or(0, |shared| shared.others_in_flight);
            group.suspected_by_others = shared.is_some_and(|shared| shared.suspected);
        }
    }

    /// Applies the leader's digest of the other entries' load.
    pub fn apply_digest(&self, digest: &LoadDigest) {
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
