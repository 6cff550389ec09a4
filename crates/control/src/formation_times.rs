//! When this voter first saw each group formed.
//!
//! Orders to join a group are sent while the group is forming. A new leader doesn't know which of them the servers left
//! unanswered, so it needs to know until when its predecessors may have sent them. Times are those of the voter's own
//! monotonic clock: wall clocks of voters differ, and may be stepped.

use crate::Millis;
use dockwood_state::{GroupPhase, GroupRow};
use imbl::OrdMap;
use imbl::ordmap::DiffItem;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Formation times of the groups in the tables, by epoch.
#[derive(Debug, Default)]
pub struct FormationTimes {
    known: OrdMap<u64, Arc<GroupRow>>,
    formed_at: BTreeMap<u64, Millis>,
}

impl FormationTimes {
    /// Records the groups of the tables as applied at `now`.
    pub fn observe(&mut self, now: Millis, groups: &OrdMap<u64, Arc<GroupRow>>) {
        if self.known.ptr_eq(groups) {
            return;
        }
        let known = std::mem::replace(&mut self.known, groups.clone());
        for change in known.diff(groups) {
            match change {
                DiffItem::Add(epoch, row) | DiffItem::Update { new: (epoch, row), .. } => {
                    if row.phase != GroupPhase::Forming {
                        self.formed_at.entry(*epoch).or_insert(now);
                    }
                }
                DiffItem::Remove(epoch, _) => {
                    self.formed_at.remove(epoch);
                }
            }
        }
    }

    /// Time after which no leader of an earlier term sent an order to join a group; `None` if the group is still forming.
    pub fn formed_at(&self, epoch: u64) -> Option<Millis> {
        self.formed_at.get(&epoch).copied()
    }
}
