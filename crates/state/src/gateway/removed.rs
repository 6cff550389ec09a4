//! Instances that were removed or deregistered, so that a delayed report can't register them again.

use imbl::{OrdMap, Vector};
use serde::{Deserialize, Serialize};

/// Upper bound on the removed instances that are remembered.
const MAX_REMOVED_INSTANCES: usize = 4_096;

/// Ids of removed instances, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vector<String>", into = "Vector<String>")]
pub(crate) struct RemovedInstances {
    ids: Vector<String>,
    /// Start time of each instance, in milliseconds since the Unix epoch, if it reported one: a server may use the same
    /// id after a restart. Stored separately from the other tables.
    starts: OrdMap<String, Option<u64>>,
}

impl RemovedInstances {
    /// Whether an instance was removed.
    pub fn contains(&self, id: &str) -> bool {
        self.starts.contains_key(id)
    }

    /// Whether an instance that started at `started_ms` counts as removed: its id was removed, and it did not surely start
    /// later than the process that was removed.
    pub fn contains_start(&self, id: &str, started_ms: Option<u64>) -> bool {
        let Some(removed) = self.starts.get(id) else { return false };
        !started_later(started_ms, *removed)
    }

    /// Adds an instance, evicting the oldest one if the bound is exceeded.
    pub fn insert(&mut self, id: &str, started_ms: Option<u64>) {
        if self.starts.insert(id.to_string(), started_ms).is_some() {
            return;
        }
        self.ids.push_back(id.to_string());
        if self.ids.len() > MAX_REMOVED_INSTANCES
            && let Some(oldest) = self.ids.pop_front()
        {
            self.starts.remove(&oldest);
        }
    }

    /// Removes an instance whose id is used by a later process.
    pub fn remove(&mut self, id: &str) {
        if self.starts.remove(id).is_some() {
            self.ids.retain(|known| known != id);
        }
    }

    /// The known start times, for storing.
    pub fn starts(&self) -> Vec<(String, u64)> {
        let known = |(id, started_ms): (&String, &Option<u64>)| Some((id.clone(), (*started_ms)?));
        self.starts.iter().filter_map(known).collect()
    }

    /// Restores the start times that were stored.
    pub fn restore_starts(&mut self, starts: Vec<(String, u64)>) {
        for (id, started_ms) in starts {
            if let Some(known) = self.starts.get_mut(&id) {
                *known = Some(started_ms);
            }
        }
    }
}

impl From<Vector<String>> for RemovedInstances {
    fn from(ids: Vector<String>) -> Self {
        let starts = ids.iter().map(|id| (id.clone(), None)).collect();
        RemovedInstances { ids, starts }
    }
}

impl From<RemovedInstances> for Vector<String> {
    fn from(removed: RemovedInstances) -> Self {
        removed.ids
    }
}

/// Whether a process that started at `started_ms` surely started after one that started at `other_ms`. Times are in
/// milliseconds since the Unix epoch by the server's own clock; false if either is unknown.
pub(crate) fn started_later(started_ms: Option<u64>, other_ms: Option<u64>) -> bool {
    match (started_ms, other_ms) {
        (Some(started_ms), Some(other_ms)) => started_ms > other_ms,
        _ => false,
    }
}
