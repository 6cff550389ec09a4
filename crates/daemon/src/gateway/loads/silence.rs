//! Silence of one group or of all groups of a model, and the searches of stalled streams for other groups.

use super::{GroupState, Loads};
use crate::clock::monotonic_ms;
use crate::gateway::Gateway;
use crate::lock::lock;
use dockwood_routing::Millis;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Number of stalled streams of a model at this entry that look for a place at the same time. Each of them asks again and
/// again while all groups are full, as new requests do; a stall makes many streams look at once.
const CONCURRENT_SEARCHES: usize = 2;

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

    /// Waits in the line of a model until a stalled stream may look for a place. The turn ends when the result is dropped.
    pub async fn wait_for_search_turn(&self, model: &ModelKey) -> SearchTurn {
        let line = {
            let mut lines = lock(&self.search_lines);
            let new = || Arc::new(Semaphore::new(CONCURRENT_SEARCHES));
            lines.entry(model.clone()).or_insert_with(new).clone()
        };
        SearchTurn(line.acquire_owned().await.ok())
    }
}

/// Permission of a stalled stream to look for a place. It holds no permit only if the line is closed, which it never is.
pub struct SearchTurn(#[allow(dead_code, reason = "held until it is dropped")] Option<OwnedSemaphorePermit>);

/// The one stream of this entry that is sent to another group while all groups of its model are silent. Ends on drop.
pub struct SilenceProbe {
    gateway: Arc<Gateway>,
    model: ModelKey,
}

impl SilenceProbe {
    /// Begins a probe; `None` if another stream is probing.
    pub fn begin(gateway: &Arc<Gateway>, model: &ModelKey) -> Option<SilenceProbe> {
        let has_begun = lock(&gateway.loads.silence_probes).insert(model.clone());
        has_begun.then(|| SilenceProbe { gateway: gateway.clone(), model: model.clone() })
    }
}

impl Drop for SilenceProbe {
    fn drop(&mut self) {
        lock(&self.gateway.loads.silence_probes).remove(&self.model);
    }
}
