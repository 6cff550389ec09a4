//! Which groups are not asked, as their heads rest or leave.

use super::{Loads, PlaceQuery};
use crate::lock::lock;
use crate::pushback::{AllHeld, Pushback, head_of};

/// The groups that might take a request, as far as their heads are held back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupHolds {
    /// Epochs of those that are held back.
    pub held: Vec<u64>,
    /// Their heads.
    pub heads: AllHeld,
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
                    holds.heads.add(&head.id, hold.until());
                }
                None => holds.has_other |= !query.excluded.contains(epoch),
            }
        }
        holds
    }
}
