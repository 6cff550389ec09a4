//! Instances that were removed or have signed off, so that a late report can't bring one back.

use imbl::{OrdMap, Vector};
use serde::{Deserialize, Serialize};

/// Removed instances that are kept.
const KEPT: usize = 4_096;

/// Ids of removed instances, the oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vector<String>", into = "Vector<String>")]
pub(crate) struct RemovedInstances {
    ids: Vector<String>,
    /// When each of them had started, in milliseconds since the Unix epoch, where it reported that: a later start of a server may
    /// use the same id. Stored beside the other tables.
    starts: OrdMap<String, Option<u64>>,
}

impl RemovedInstances {
    /// Whether an instance was removed.
    pub fn contains(&self, id: &str) -> bool {
        self.starts.contains_key(id)
    }

    /// Whether an instance was removed that started no earlier than `started_ms`.
    pub fn covers(&self, id: &str, started_ms: Option<u64>) -> bool {
        let Some(removed) = self.starts.get(id) else { return false };
        !is_later(started_ms, *removed)
    }

    /// Keeps an instance; the oldest one beyond the bound is forgotten.
    pub fn insert(&mut self, id: &str, started_ms: Option<u64>) {
        if self.starts.insert(id.to_string(), started_ms).is_some() {
            return;
        }
        self.ids.push_back(id.to_string());
        if self.ids.len() > KEPT
            && let Some(oldest) = self.ids.pop_front()
        {
            self.starts.remove(&oldest);
        }
    }

    /// Forgets an instance, as a later start uses its id.
    pub fn forget(&mut self, id: &str) {
        if self.starts.remove(id).is_some() {
            self.ids.retain(|known| known != id);
        }
    }

    /// The known starts, for storing.
    pub fn starts(&self) -> Vec<(String, u64)> {
        let known = |(id, started_ms): (&String, &Option<u64>)| Some((id.clone(), (*started_ms)?));
        self.starts.iter().filter_map(known).collect()
    }

    /// Takes the starts as they were stored.
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

/// Whether a server that started at `started_ms` surely started after one that started at `other_ms`; times in
/// milliseconds since the Unix epoch, by the server's own clock.
pub(crate) fn is_later(started_ms: Option<u64>, other_ms: Option<u64>) -> bool {
    match (started_ms, other_ms) {
        (Some(started_ms), Some(other_ms)) => started_ms > other_ms,
        _ => false,
    }
}
