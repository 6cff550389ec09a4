//! Recent changes by revision, for watches.

use crate::lock::lock;
use dockwood_api::resource::ResourceKey;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Mutex;

/// Number of retained revisions, from which a watch may start.
pub const RETAINED_REVISIONS: usize = 8_192;

#[derive(Debug, Default)]
struct Changes {
    /// The newest revision whose changes are no longer retained.
    floor: u64,
    rows: VecDeque<(u64, Vec<ResourceKey>)>,
}

/// Retained changes of this daemon's copy of the state.
#[derive(Debug, Default)]
pub struct WatchHub {
    changes: Mutex<Changes>,
}

impl WatchHub {
    fn changes(&self) -> std::sync::MutexGuard<'_, Changes> {
        lock(&self.changes)
    }

    /// Records the resources that a revision changed.
    pub fn push(&self, revision: u64, touched: Vec<ResourceKey>) {
        let mut changes = self.changes();
        changes.rows.push_back((revision, touched));
        if changes.rows.len() > RETAINED_REVISIONS
            && let Some((dropped, _)) = changes.rows.pop_front()
        {
            changes.floor = dropped;
        }
    }

    /// Discards all changes, because the whole state was replaced at this revision.
    pub fn reset(&self, revision: u64) {
        *self.changes() = Changes { floor: revision, rows: VecDeque::new() };
    }

    /// Returns the keys changed after revision `after`, up to `until`; `None` if these revisions are no longer retained.
    pub fn touched(&self, after: u64, until: u64) -> Option<BTreeSet<ResourceKey>> {
        let changes = self.changes();
        if after < changes.floor {
            return None;
        }
        let rows = changes.rows.iter().filter(|(revision, _)| *revision > after && *revision <= until);
        Some(rows.flat_map(|(_, keys)| keys.iter().cloned()).collect())
    }
}
