//! Which groups are not asked, as their heads rest or leave.

use super::{GroupState, Loads, PlaceQuery};
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::pushback::{HeldServers, Pushback, head_of};
use dockwood_api::gateway::LimitedGroup;
use dockwood_routing::Millis;
use dockwood_routing::pushback::{Hold, interval_ms};

/// The groups that might take a request, as far as their heads are held back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupHolds {
    /// Epochs of those that are held back.
    pub held: Vec<u64>,
    /// Their heads.
    pub heads: HeldServers,
    /// There is one that is not held back and was not tried yet.
    pub has_other: bool,
}

impl GroupHolds {
    /// Whether nobody is left to ask, and that because groups are held back.
    pub fn leave_nobody(&self) -> bool {
        !self.held.is_empty() && !self.has_other
    }
}

impl Loads {
    /// Groups of a model whose heads named a limit, so that a dispatcher spaces what it gives them.
    pub fn limited(&self, query: PlaceQuery<'_>, pushback: &Pushback) -> Vec<LimitedGroup> {
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

    /// What a request is told whose groups are all at their limits, the first of them until this has passed.
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

    /// Looks at all groups that might take a request.
    pub fn holds(&self, query: PlaceQuery<'_>, pushback: &Pushback) -> GroupHolds {
        if pushback.is_empty() {
            return GroupHolds { has_other: true, ..GroupHolds::default() };
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
                None => holds.has_other |= !query.excluded.contains(epoch),
            }
        }
        holds
    }
}
