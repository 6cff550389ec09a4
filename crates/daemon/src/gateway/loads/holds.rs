//! Groups that are not selected because their heads are on hold or at a rate limit.

use super::{GroupState, Loads, PlaceQuery};
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::pushback::{HeldServers, Pushback, head_of};
use dockwood_api::gateway::LimitedGroup;
use dockwood_routing::Millis;
use dockwood_routing::pushback::{Hold, interval_ms};

/// Holds of the groups that may run a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupHolds {
    /// Epochs of the groups whose heads are on hold.
    pub held: Vec<u64>,
    /// Heads of these groups.
    pub heads: HeldServers,
    /// Whether there is a group that is neither on hold nor excluded.
    pub has_available: bool,
}

impl GroupHolds {
    /// Returns whether no group is available and some of them are on hold.
    pub fn leave_no_group(&self) -> bool {
        !self.held.is_empty() && !self.has_available
    }
}

impl Loads {
    /// Returns the groups of a model whose heads have a rate limit, so that a dispatcher spaces the requests to them.
    pub fn rate_limited_groups(&self, query: PlaceQuery<'_>, pushback: &Pushback) -> Vec<LimitedGroup> {
        if pushback.is_empty() {
            return Vec::new();
        }
        let groups = lock(&self.groups);
        let limited = |(epoch, group): (&u64, &GroupState)| {
            let rate = pushback.limit(&head_of(&group.row))?;
            Some(LimitedGroup { epoch: *epoch, interval_ms: interval_ms(rate) })
        };
        groups.iter().filter(|(_, group)| group.may_run(&query)).filter_map(limited).collect()
    }

    /// Returns the heads of groups with a rate limit, for a request whose groups are all at their limits until
    /// `free_in_ms` has passed.
    pub fn all_at_limit(
        &self,
        query: PlaceQuery<'_>,
        pushback: &Pushback,
        free_in_ms: Millis,
    ) -> HeldServers {
        let until = monotonic_ms() + free_in_ms;
        let mut held = HeldServers::default();
        let groups = lock(&self.groups);
        let limited = groups.values().filter(|group| group.may_run(&query));
        let heads = limited.map(|group| head_of(&group.row)).filter(|head| pushback.limit(head).is_some());
        heads.for_each(|head| held.add(&head.id, Hold::AtLimit { until }));
        held
    }

    /// Returns the holds of all groups that may run a request.
    pub fn group_holds(&self, query: PlaceQuery<'_>, pushback: &Pushback) -> GroupHolds {
        if pushback.is_empty() {
            return GroupHolds { has_available: true, ..GroupHolds::default() };
        }
        let mut holds = GroupHolds::default();
        let groups = lock(&self.groups);
        for (epoch, group) in groups.iter().filter(|(_, group)| group.may_run(&query)) {
            let head = head_of(&group.row);
            match pushback.hold(&head) {
                Some(hold) => {
                    holds.held.push(*epoch);
                    holds.heads.add(&head.id, hold);
                }
                None => holds.has_available |= !query.excluded.contains(epoch),
            }
        }
        holds
    }
}
