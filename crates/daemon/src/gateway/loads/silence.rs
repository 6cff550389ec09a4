//! Silence of one group or of all groups of a model.

use super::{GroupState, Loads};
use crate::clock::monotonic_ms;
use crate::gateway::Gateway;
use crate::lock::lock;
use dockwood_routing::Millis;
use std::sync::Arc;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Groups of one model that process requests of this entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupSilence {
    /// Number of groups.
    pub in_use: u32,
    /// Those of them that have sent nothing for a given time.
    pub silent: u32,
}

impl GroupSilence {
    /// Whether several groups are in use, and all of them are silent.
    pub fn is_of_all_groups(self) -> bool {
        self.in_use > 1 && self.silent == self.in_use
    }
}

/// Number of stalled streams of this entry that look for a place at the same time. Each of them asks again and again while
/// all groups are full, as new requests do; a stall makes many streams look at once.
const CONCURRENT_SEARCHES: usize = 2;

/// The line in which stalled streams wait until they may look for a place.
#[derive(Debug)]
pub(super) struct SearchTurns(Semaphore);

impl Default for SearchTurns {
    fn default() -> Self {
        SearchTurns(Semaphore::new(CONCURRENT_SEARCHES))
    }
}

/// The model of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ModelKey {
    service: String,
    model: String,
}

impl ModelKey {
    fn of(group: &GroupState) -> ModelKey {
        ModelKey { service: group.row.service.clone(), model: group.row.model.clone() }
    }
}

impl Loads {
    /// Returns how many groups of the same model as this one are in use, and how many of them have sent nothing within
    /// `span`.
    pub fn silence(&self, epoch: u64, span: Millis) -> GroupSilence {
        let now = monotonic_ms();
        let groups = lock(&self.groups);
        let Some(stalled) = groups.get(&epoch).map(|group| group.row.clone()) else {
            return GroupSilence::default();
        };
        let is_same_model =
            |group: &GroupState| group.row.service == stalled.service && group.row.model == stalled.model;
        let in_use = groups.values().filter(|group| group.in_flight > 0 && is_same_model(group));
        let mut silence = GroupSilence::default();
        for group in in_use {
            silence.in_use += 1;
            silence.silent += u32::from(now >= group.last_event_at + span);
        }
        silence
    }
}

impl Loads {
    /// Waits until a stalled stream may look for a place. Its turn ends when the result is dropped; `None` is never
    /// returned, as the line is never closed.
    pub async fn wait_for_search_turn(&self) -> Option<SemaphorePermit<'_>> {
        self.search_turns.0.acquire().await.ok()
    }
}

/// The one stream of this entry that tries another group while all groups of its model are silent. Ends on drop.
pub struct StallTrial {
    gateway: Arc<Gateway>,
    model: ModelKey,
}

impl StallTrial {
    /// Begins a trial; `None` if another stream is on trial.
    pub fn begin(gateway: &Arc<Gateway>, epoch: u64) -> Option<StallTrial> {
        let model = lock(&gateway.loads.groups).get(&epoch).map(ModelKey::of)?;
        let has_begun = lock(&gateway.loads.stall_trials).insert(model.clone());
        has_begun.then(|| StallTrial { gateway: gateway.clone(), model })
    }
}

impl Drop for StallTrial {
    fn drop(&mut self) {
        lock(&self.gateway.loads.stall_trials).remove(&self.model);
    }
}
