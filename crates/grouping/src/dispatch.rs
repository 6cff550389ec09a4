//! Assigns requests to groups, one at a time, by when each group would show the first event.
//!
//! Entries that choose by figures of their own know only what the others held some tens of milliseconds ago, as long as
//! a group takes to read a prompt: several then send long prompts to the same group, whose streams all pause. Here one
//! place sees every request at once.

use crate::capacity::{first_event_ms, places_of_group, reading_ms};
use crate::{ColdLimit, ColdPacing, Millis, Observations, SendRate};
use dockwood_api::gateway::{EngineProfile, ModelProfile, PlaceReply, PlaceRequest};
use dockwood_state::{GatewayTables, GroupPhase, GroupRow};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A request counts as assigned and not yet reported for this long after its entry's next report may have been made:
/// the time that the answer takes to the entry, with some margin.
const REPORT_LAG_MS: Millis = 40;
/// An assignment that its entry never reported is forgotten after this long.
const FORGET_MS: Millis = 1_000;
/// What another zone costs, as milliseconds of waiting: bytes between zones are priced.
const OTHER_ZONE_MS: f64 = 5.0;
/// What each request of a group costs that would share it with one that may end its head, as milliseconds of waiting: each
/// would be cut, and begin anew elsewhere, which takes about a second.
const COMPANY_MS: f64 = 1_000.0;

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
    /// When it was last given a request.
    given_at: Option<Millis>,
}

impl GroupQueue {
    /// Requests that were assigned and not reported, without those that are forgotten.
    fn unreported(&self, now: Millis) -> u32 {
        self.unreported.iter().filter(|assigned| now < assigned.at + FORGET_MS).count() as u32
    }
}

/// The requests that were assigned lately.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    queues: BTreeMap<u64, GroupQueue>,
    cold_limit: ColdLimit,
    cold: ColdPacing<u64>,
}

/// A group that may take a request, with what it would mean.
struct Candidate {
    epoch: u64,
    first_event_ms: f64,
    cost: f64,
}

/// Why a group does not take a request.
enum Unfit {
    /// It is not wanted, or stands still.
    PassedOver,
    /// All its places are taken.
    Full,
    /// Its head gets as many requests as it takes, until this has passed.
    AtLimit { free_in_ms: Millis },
}

/// One request, and what it is judged by.
struct Asked<'a> {
    now: Millis,
    request: &'a PlaceRequest,
    engine: &'a EngineProfile,
    model: &'a ModelProfile,
    observations: &'a Observations,
    /// This dispatcher's part of what a cold head may get; absent where a cold head takes as much as a warm one.
    cold_rate: Option<SendRate>,
}

impl Asked<'_> {
    /// Time in which a group reads the prompt, in milliseconds.
    fn reading_ms(&self) -> f64 {
        reading_ms(self.engine, self.model, self.request.prompt_tokens as f64)
    }

    /// When the head of a group that named a limit takes another request, in milliseconds from now; 0 if it does now. A head
    /// that takes few has few in flight, and would look the best to all of them.
    fn free_in_ms(&self, group: &GroupRow, queue: Option<&GroupQueue>) -> Millis {
        let given_at = queue.and_then(|queue| queue.given_at);
        let interval_ms = self.request.interval_ms(group.epoch);
        given_at.zip(interval_ms).map_or(0, |(at, interval_ms)| (at + interval_ms).saturating_sub(self.now))
    }

    /// What a group would do with the request, or why it may not take it.
    fn rate(&self, group: &GroupRow, queue: Option<&GroupQueue>) -> Result<Candidate, Unfit> {
        let is_excluded = self.request.excluded.contains(&group.epoch);
        if is_excluded || self.observations.is_silent(self.now, group.epoch) {
            return Err(Unfit::PassedOver);
        }
        let free_in_ms = self.free_in_ms(group, queue);
        if free_in_ms > 0 {
            return Err(Unfit::AtLimit { free_in_ms });
        }
        let unreported = queue.map_or(0, |queue| queue.unreported(self.now));
        let in_flight = self.observations.in_flight(group.epoch) + unreported;
        if in_flight >= places_of_group(self.engine) {
            return Err(Unfit::Full);
        }
        let backlog_ms = queue.map_or(0.0, |queue| (queue.read_until - self.now as f64).max(0.0));
        let reading = backlog_ms + self.reading_ms();
        let first_event_ms = first_event_ms(self.engine, self.model, reading, f64::from(in_flight));
        let other_zone = if group.zone == self.request.zone { 0.0 } else { OTHER_ZONE_MS };
        let company = if self.request.prefers_idle { f64::from(in_flight) * COMPANY_MS } else { 0.0 };
        Ok(Candidate { epoch: group.epoch, first_event_ms, cost: first_event_ms + other_zone + company })
    }
}

/// When the first group takes a request, if all that might take it are at their limits, in milliseconds from now. A group
/// that is full gets a place at any moment.
fn all_at_limit(rated: &[Result<Candidate, Unfit>]) -> Option<Millis> {
    let may_take = |one: &Result<Candidate, Unfit>| matches!(one, Ok(_) | Err(Unfit::Full));
    if rated.iter().any(may_take) {
        return None;
    }
    let free_in = rated.iter().filter_map(|one| match one {
        Err(Unfit::AtLimit { free_in_ms }) => Some(*free_in_ms),
        _ => None,
    });
    free_in.min()
}

impl Dispatcher {
    /// Sets by how much the rate that cold heads declare may be exceeded.
    pub fn limit_cold_heads(&mut self, limit: ColdLimit) {
        self.cold_limit = limit;
    }

    /// Assigns a request to one of the open groups that it asks for.
    pub fn assign(
        &mut self,
        now: Millis,
        request: &PlaceRequest,
        tables: &GatewayTables,
        observations: &Observations,
    ) -> PlaceReply {
        let Some(engine) = tables.engine(&request.service) else { return PlaceReply::NoGroup };
        let groups = tables.groups.values().filter(|group| {
            let serves = group.service == request.service && group.model == request.model;
            let is_open = group.phase == GroupPhase::Open && !tables.is_evacuated(&group.zone);
            let is_in_danger =
                group.members.first().is_some_and(|head| tables.suspicion.has_dangerous_trial(head));
            !is_in_danger && serves && request.wants_zone(&group.zone) && is_open
        });
        let cold_rate = self.cold_rate(tables, &request.service);
        self.assign_among(now, request, engine, cold_rate, groups, observations)
    }

    /// Notes which heads are cold, also of groups that nobody asks for now, so that the end of their cold time is seen.
    pub fn observe_heads(&mut self, now: Millis, tables: &GatewayTables) {
        let open = tables.groups.values().filter(|group| group.phase == GroupPhase::Open);
        for group in open.filter(|group| tables.cold_start(&group.service).is_some()) {
            self.cold.observe(now, &group.epoch, group.head_is_cold);
        }
    }

    fn cold_rate(&self, tables: &GatewayTables, service: &str) -> Option<SendRate> {
        let cold_start = tables.cold_start(service)?;
        Some(SendRate::of_dispatcher(self.cold_limit.arrivals(&cold_start)))
    }

    /// Assigns a request to one of these groups of its model. `cold_rate` is what this dispatcher may give a cold head;
    /// absent where a cold head takes as much as a warm one.
    pub fn assign_among<'a>(
        &mut self,
        now: Millis,
        request: &PlaceRequest,
        engine: &EngineProfile,
        cold_rate: Option<SendRate>,
        groups: impl Iterator<Item = &'a Arc<GroupRow>>,
        observations: &Observations,
    ) -> PlaceReply {
        let Some(model) = engine.model(&request.model) else { return PlaceReply::NoGroup };
        let asked = Asked { now, request, engine, model, observations, cold_rate };
        let groups: Vec<&Arc<GroupRow>> = groups.collect();
        if groups.is_empty() {
            return PlaceReply::NoGroup;
        }
        // All of them, so that the end of each one's cold time is seen.
        groups.iter().for_each(|group| self.cold.observe(now, &group.epoch, group.head_is_cold));
        let is_within_rate = |group: &&&Arc<GroupRow>| {
            cold_rate.is_none_or(|rate| self.cold.may_give(now, &group.epoch, rate))
        };
        let rated: Vec<Result<Candidate, Unfit>> = groups
            .iter()
            .filter(is_within_rate)
            .map(|group| asked.rate(group, self.queues.get(&group.epoch)))
            .collect();
        if let Some(free_in_ms) = all_at_limit(&rated) {
            return PlaceReply::AtLimit { free_in_ms };
        }
        let candidates = rated.into_iter().flatten();
        let best = candidates.min_by(|left, right| left.cost.total_cmp(&right.cost));
        let is_late = |best: &Candidate| {
            request.most_first_event_ms.is_some_and(|most| best.first_event_ms > most as f64)
        };
        let Some(best) = best.filter(|best| !is_late(best)) else { return PlaceReply::Full };
        self.take(&asked, best.epoch);
        PlaceReply::Assigned { epoch: best.epoch, first_event_ms: best.first_event_ms as u64 }
    }

    fn take(&mut self, asked: &Asked<'_>, epoch: u64) {
        if let Some(rate) = asked.cold_rate {
            self.cold.give(asked.now, &epoch, rate);
        }
        let queue = self.queues.entry(epoch).or_default();
        queue.read_until = queue.read_until.max(asked.now as f64) + asked.reading_ms();
        queue.given_at = Some(asked.now);
        queue.unreported.push(Assigned { entry: asked.request.daemon.clone(), at: asked.now });
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
        self.cold.retain(|epoch| exists(*epoch));
    }
}
