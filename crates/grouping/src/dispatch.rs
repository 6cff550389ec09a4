//! Assigns requests to groups, one at a time, by when each group would show the first event.
//!
//! Entries that choose by figures of their own know only what the others held some tens of milliseconds ago, as long as
//! a group takes to read a prompt: several then send long prompts to the same group, whose streams all pause. Here one
//! place sees every request at once.

use crate::capacity::{first_event_ms, reading_ms};
use crate::{Millis, Observations};
use dockwood_api::gateway::{EngineProfile, ModelProfile, PlaceReply, PlaceRequest};
use dockwood_state::GroupRow;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A request counts as assigned and not yet reported for this long after its entry's next report may have been made:
/// the time that the answer takes to the entry, with some margin.
const REPORT_LAG_MS: Millis = 40;
/// An assignment that its entry never reported is forgotten after this long.
const FORGET_MS: Millis = 1_000;
/// What another zone costs, as milliseconds of waiting: bytes between zones are priced.
const OTHER_ZONE_MS: f64 = 5.0;

/// A request that was assigned, and that its entry has not reported yet.
#[derive(Clone, Debug)]
struct Assigned {
    entry: String,
    at: Millis,
}

/// What is known of one group beyond its entries' reports.
#[derive(Clone, Debug, Default)]
struct GroupQueue {
    /// When it will have read all prompts that it was given, in milliseconds.
    read_until: f64,
    unreported: Vec<Assigned>,
}

/// The requests that were assigned lately.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    queues: BTreeMap<u64, GroupQueue>,
}

/// A group that may take a request, with what it would mean.
struct Candidate {
    epoch: u64,
    first_event_ms: f64,
    cost: f64,
}

impl Dispatcher {
    /// Assigns a request to one of the open groups of its model. `places` is how many requests a group may hold.
    pub fn assign<'a>(
        &mut self,
        now: Millis,
        request: &PlaceRequest,
        engine: &EngineProfile,
        places: u32,
        groups: impl Iterator<Item = &'a Arc<GroupRow>>,
        observations: &Observations,
    ) -> PlaceReply {
        let Some(model) = engine.model(&request.model) else { return PlaceReply::NoGroup };
        let mut any = false;
        let mut best: Option<Candidate> = None;
        for group in groups {
            any = true;
            let is_excluded = request.excluded.contains(&group.epoch);
            if is_excluded || observations.is_silent(now, group.epoch) {
                continue;
            }
            let candidate = self.rate(now, request, engine, model, group, observations, places);
            let is_better =
                |candidate: &Candidate| best.as_ref().is_none_or(|best| candidate.cost < best.cost);
            best = candidate.filter(is_better).or(best);
        }
        match best {
            Some(candidate) => {
                self.take(now, request, engine, model, candidate.epoch);
                PlaceReply::Assigned {
                    epoch: candidate.epoch,
                    first_event_ms: candidate.first_event_ms as u64,
                }
            }
            None if any => PlaceReply::Full,
            None => PlaceReply::NoGroup,
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn rate(
        &self,
        now: Millis,
        request: &PlaceRequest,
        engine: &EngineProfile,
        model: &ModelProfile,
        group: &GroupRow,
        observations: &Observations,
        places: u32,
    ) -> Option<Candidate> {
        let queue = self.queues.get(&group.epoch);
        let unreported = queue.map_or(0, |queue| queue.unreported.len() as u32);
        let in_flight = observations.in_flight(group.epoch) + unreported;
        if in_flight >= places {
            return None;
        }
        let backlog_ms = queue.map_or(0.0, |queue| (queue.read_until - now as f64).max(0.0));
        let reading = backlog_ms + reading_ms(engine, model, request.prompt_tokens as f64);
        let first_event_ms = first_event_ms(engine, model, reading, f64::from(in_flight));
        let other_zone = if group.zone == request.zone { 0.0 } else { OTHER_ZONE_MS };
        Some(Candidate { epoch: group.epoch, first_event_ms, cost: first_event_ms + other_zone })
    }

    fn take(
        &mut self,
        now: Millis,
        request: &PlaceRequest,
        engine: &EngineProfile,
        model: &ModelProfile,
        epoch: u64,
    ) {
        let queue = self.queues.entry(epoch).or_default();
        let reading = reading_ms(engine, model, request.prompt_tokens as f64);
        queue.read_until = queue.read_until.max(now as f64) + reading;
        queue.unreported.push(Assigned { entry: request.daemon.clone(), at: now });
    }

    /// An entry has reported its requests in flight, those among them that were assigned to it a moment ago.
    pub fn reported(&mut self, now: Millis, entry: &str) {
        for queue in self.queues.values_mut() {
            queue.unreported.retain(|assigned| {
                let is_reported = assigned.entry == entry && now >= assigned.at + REPORT_LAG_MS;
                !is_reported && now < assigned.at + FORGET_MS
            });
        }
    }

    /// Forgets groups that are gone.
    pub fn retain(&mut self, exists: impl Fn(u64) -> bool) {
        self.queues.retain(|epoch, _| exists(*epoch));
    }
}
