//! Silence of the groups of a model.

use super::{GroupState, Loads};
use crate::clock::monotonic_ms;
use crate::lock::lock;
use dockwood_routing::Millis;

/// Groups of one model that process requests of this entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupSilence {
    /// Number of groups.
    pub in_use: u32,
    /// Those of them that have sent nothing for a given time.
    pub silent: u32,
}

impl GroupSilence {
    /// Whether groups are in use, and all of them are silent.
    pub fn is_of_all_groups(self) -> bool {
        self.in_use > 0 && self.silent == self.in_use
    }
}

/// A model of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelKey {
    /// Service.
    pub service: String,
    /// Model.
    pub model: String,
}

impl ModelKey {
    fn is_of(&self, group: &GroupState) -> bool {
        group.row.service == self.service && group.row.model == self.model
    }
}

impl Loads {
    /// Returns how many groups of a model are in use, and how many of them have sent nothing within `span`.
    pub fn silence(&self, model: &ModelKey, span: Millis) -> GroupSilence {
        let now = monotonic_ms();
        let groups = lock(&self.groups);
        let in_use = groups.values().filter(|group| group.in_flight > 0 && model.is_of(group));
        let mut silence = GroupSilence::default();
        for group in in_use {
            silence.in_use += 1;
            silence.silent += u32::from(now >= group.last_event_at + span);
        }
        silence
    }
}
