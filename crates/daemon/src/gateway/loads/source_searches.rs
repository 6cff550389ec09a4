//! Coordination of this entry's stalled streams, which look for other groups.

use super::{Loads, ModelKey};
use crate::gateway::Gateway;
use crate::lock::lock;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Number of stalled streams of a model at this entry that look for a place at the same time. Each of them asks again and
/// again while all groups are full, as new requests do; a stall makes many streams look at once.
const CONCURRENT_SEARCHES: usize = 2;

/// Searches of stalled streams.
#[derive(Debug, Default)]
pub(super) struct SourceSearches {
    /// Models of which all groups are silent, and one stream is sent to another group.
    probes: Mutex<BTreeSet<ModelKey>>,
    /// Lines in which streams wait until they may look for a place.
    lines: Mutex<BTreeMap<ModelKey, Arc<Semaphore>>>,
}

/// Permission of a stalled stream to look for a place, until it is dropped.
pub struct SearchTurn {
    /// Always present, as no line is ever closed.
    _permit: Option<OwnedSemaphorePermit>,
}

impl Loads {
    /// Waits in the line of a model until a stalled stream may look for a place.
    pub async fn wait_for_search_turn(&self, model: &ModelKey) -> SearchTurn {
        let line = {
            let mut lines = lock(&self.source_searches.lines);
            let new = || Arc::new(Semaphore::new(CONCURRENT_SEARCHES));
            lines.entry(model.clone()).or_insert_with(new).clone()
        };
        SearchTurn { _permit: line.acquire_owned().await.ok() }
    }
}

/// The one stream of this entry that is sent to another group while all groups of its model are silent. Ends on drop.
pub struct SilenceProbe {
    gateway: Arc<Gateway>,
    model: ModelKey,
}

impl SilenceProbe {
    /// Begins a probe; `None` if another stream is probing.
    pub fn begin(gateway: &Arc<Gateway>, model: &ModelKey) -> Option<SilenceProbe> {
        let has_begun = lock(&gateway.loads.source_searches.probes).insert(model.clone());
        has_begun.then(|| SilenceProbe { gateway: gateway.clone(), model: model.clone() })
    }
}

impl Drop for SilenceProbe {
    fn drop(&mut self) {
        lock(&self.gateway.loads.source_searches.probes).remove(&self.model);
    }
}
