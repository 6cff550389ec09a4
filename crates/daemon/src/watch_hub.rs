//! What changed at which revision, for watches.

use crate::lock::lock;
use dockwood_api::resource::ResourceKey;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Mutex;

/// Revisions that a watch may start from.
pub const RETAINED_REVISIONS: usize = 8_192;

#[derive(Debug, Default)]
struct Changes {
    /// Everything at or below this revision is forgotten.
    floor: u64,
    rows: VecDeque<(u64, Vec<ResourceKey>)>,
}

/// Retained changes of this daemon's copy.
#[derive(Debug, Default)]
pub struct WatchHub {
    changes: Mutex<Changes>,
}

impl WatchHub {
    fn changes(&self) -> std::sync::MutexGuard<'_, Changes> {
        lock(&self.changes)
    }

    /// Notes what a revision touched.
    pub fn push(&self, revision: u64, touched: Vec<ResourceKey>) {
        let mut changes = self.changes();
        changes.rows.push_back((revision, touched));
        if changes.rows.len() > RETAINED_REVISIONS
            && let Some((dropped, _)) = changes.rows.pop_front()
        {
            changes.floor = dropped;
        }
    }

    /// Forgets all: the copy was replaced as a whole at this revision.
    pub fn reset(&self, revision: u64) {
        *self.changes() = Changes { floor: revision, rows: VecDeque::new() };
    }

    /// Keys touched after `after` and up to `until`; `None` if that is no longer known.
    pub fn touched(&self, after: u64, until: u64) -> Option<BTreeSet<ResourceKey>> {
        let changes = self.changes();
        if after < changes.floor {
            return None;
        }
        let rows = changes.rows.iter().filter(|(revision, _)| *revision > after && *revision <= until);
        Some(rows.flat_map(|(_, keys)| keys.iter().cloned()).collect())
    }
}
