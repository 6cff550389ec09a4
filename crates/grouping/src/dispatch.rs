//! Assigns requests to groups, one at a time, by the expected time to the first event.
//!
//! Entries that choose by their own figures know the load of the others only with a delay of some tens of
//! milliseconds, which is as long as a group takes to read a prompt: several entries then send long prompts
//! to the same group, and all of its streams pause. A dispatcher sees every request as it arrives.

use crate::capacity::{first_event_ms, places_of_group, reading_ms};
use crate::{ColdLimit, ColdPacing, Millis, Observations, SendRate};
use dockwood_api::gateway::{EngineProfile, ModelProfile, PlaceReply, PlaceRequest};
use dockwood_state::{GatewayTables, GroupPhase, GroupRow};
use std::collections::BTreeMap;
use std::sync::Arc;

/// An assignment stays unreported for at least this long, as a report that its entry makes before it has
/// received the reply doesn't include it: the time in which the reply reaches the entry, with some margin.
const REPORT_DELAY_MS: Millis = 40;
/// An assignment that its entry never reports expires after this long.
const FORGET_MS: Millis = 1_000;
/// Cost of a group in another zone, as milliseconds of waiting: traffic between zones is charged.
const CROSS_ZONE_COST_MS: f64 = 5.0;
/// Cost of each request that would share a group with a request that may crash its head, as milliseconds of
/// waiting: each would be cut off and start again elsewhere, which takes about a second.
const SHARED_GROUP_COST_MS: f64 = 1_000.0;

/// A request that was assigned and that its entry has not reported yet.
#[derive(Clone, Debug)]
struct UnreportedAssignment {
    entry: String,
    at: Millis,
}

/// State of one group in addition to the entries' reports.
#[derive(Clone, Debug, Default)]
struct GroupQueue {
    /// When the group will have read all prompts that were assigned to it, in milliseconds.
    reading_until_ms: f64,
    unreported: Vec<UnreportedAssignment>,
    /// Time of the last assignment.
    last_assigned_at: Option<Millis>,
}

impl GroupQueue {
    /// Number of assignments that were not reported and have not expired.
    fn unreported(&self, now: Millis) -> u32 {
        self.unreported.iter().filter(|assigned| now < assigned.at + FORGET_MS).count() as u32
    }
}

/// Assigns requests, and tracks recent assignments.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    queues: BTreeMap<u64, GroupQueue>,
    cold_limit: ColdLimit,
    cold: ColdPacing<u64>,
}

/// A group that can accept a request, with its cost.
struct Candidate {
    epoch: u64,
    first_event_ms: f64,
    cost: f64,
}

/// Why a group can't accept a request.
enum Rejection {
    /// The request excludes the group, or the group is stalled.
    NotEligible,
    /// All places of the group are taken.
    Full,
    /// The head has received as many requests as its limit allows, until this time has passed.
    AtLimit { free_in_ms: Millis },
}

/// A request with the data by which groups are evaluated for it.
struct RequestContext<'a> {
    now: Millis,
    request: &'a PlaceRequest,
    engine: &'a EngineProfile,
    model: &'a ModelProfile,
    observations: &'a Observations,
    /// This dispatcher's share of the rate of a cold head; `None` if cold heads accept as much as warm ones.
    cold_rate: Option<SendRate>,
}

impl RequestContext<'_> {
    /// Time that a group takes to read the prompt, in milliseconds.
    fn reading_ms(&self) -> f64 {
        reading_ms(self.engine, self.model, self.request.prompt_tokens as f64)
    }

    /// Time until the head of a group that declared a limit accepts another request, in milliseconds; 0 if it
    /// does now. Without this, a head with a low limit has few requests in flight and would look the best to
    /// every request.
    fn free_in_ms(&self, group: &GroupRow, queue: Option<&GroupQueue>) -> Millis {
        let last_assigned_at = queue.and_then(|queue| queue.last_assigned_at);
        let interval_ms = self.request.interval_ms(group.epoch);
        last_assigned_at
            .zip(interval_ms)
            .map_or(0, |(at, interval_ms)| (at + interval_ms).saturating_sub(self.now))
    }

    /// Evaluates a group for the request, or returns why it can't accept it.
    fn evaluate(&self, group: &GroupRow, queue: Option<&GroupQueue>) -> Result<Candidate, Rejection> {
        let is_excluded = self.request.excluded.contains(&group.epoch);
        if is_excluded || self.observations.is_stalled(self.now, group.epoch) {
            return Err(Rejection::NotEligible);
        }
        let free_in_ms = self.free_in_ms(group, queue);
        if free_in_ms > 0 {
            return Err(Rejection::AtLimit { free_in_ms });
        }
        let unreported = queue.map_or(0, |queue| queue.unreported(self.now));
        let in_flight = self.observations.in_flight(group.epoch) + unreported;
        if in_flight >= places_of_group(self.engine) {
            return Err(Rejection::Full);
        }
        let backlog_ms = queue.map_or(0.0, |queue| (queue.reading_until_ms - self.now as f64).max(0.0));
        let reading_total_ms = backlog_ms + self.reading_ms();
        let first_event_ms = first_event_ms(self.engine, self.model, reading_total_ms, f64::from(in_flight));
        let cross_zone_cost = if group.zone == self.request.zone { 0.0 } else { CROSS_ZONE_COST_MS };
        let sharing_cost =
            if self.request.prefers_idle { f64::from(in_flight) * SHARED_GROUP_COST_MS } else { 0.0 };
        Ok(Candidate {
            epoch: group.epoch,
            first_event_ms,
            cost: first_event_ms + cross_zone_cost + sharing_cost,
        })
    }
}

/// Time until the first group accepts a request, in milliseconds, if all candidates are at their limits. A
/// full group doesn't count as being at its limit, as a place there may become free at any moment.
fn time_to_free_limit(evaluations: &[Result<Candidate, Rejection>]) -> Option<Millis> {
    let can_accept_soon = |one: &Result<Candidate, Rejection>| matches!(one, Ok(_) | Err(Rejection::Full));
    if evaluations.iter().any(can_accept_soon) {
        return None;
    }
    let free_in = evaluations.iter().filter_map(|one| match one {
        Err(Rejection::AtLimit { free_in_ms }) => Some(*free_in_ms),
        _ => None,
    });
    free_in.min()
}

impl Dispatcher {
    /// Sets by how much the declared rate of cold heads may be exceeded. `started_at` is when this process
    /// started.
    pub fn limit_cold_heads(&mut self, limit: ColdLimit, started_at: Millis) {
        self.cold.set_started_at(started_at);
        self.cold_limit = limit;
    }

    /// Assigns a request to one of the open groups that match it.
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
            let is_endangered =
                group.members.first().is_some_and(|head| tables.suspicion.has_dangerous_trial(head));
            !is_endangered && serves && request.matches_zone(&group.zone) && is_open
        });
        let cold_rate = self.cold_rate(tables, &request.service);
        self.assign_among(now, request, engine, cold_rate, groups, observations)
    }

    /// Records which heads are cold, including those of groups without requests, so that the end of each cold
    /// phase is observed.
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

    /// Assigns a request to one of these groups of its model. `cold_rate` is the rate at which this
    /// dispatcher may send to a cold head; `None` if cold heads accept as much as warm ones.
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
        let context = RequestContext { now, request, engine, model, observations, cold_rate };
        let groups: Vec<&Arc<GroupRow>> = groups.collect();
        if groups.is_empty() {
            return PlaceReply::NoGroup;
        }
        // All groups are observed, so that the end of each cold phase is noticed.
        groups.iter().for_each(|group| self.cold.observe(now, &group.epoch, group.head_is_cold));
        let is_within_cold_rate = |group: &&&Arc<GroupRow>| {
            cold_rate.is_none_or(|rate| self.cold.may_send(now, &group.epoch, rate))
        };
        let evaluations: Vec<Result<Candidate, Rejection>> = groups
            .iter()
            .filter(is_within_cold_rate)
            .map(|group| context.evaluate(group, self.queues.get(&group.epoch)))
            .collect();
        if let Some(free_in_ms) = time_to_free_limit(&evaluations) {
            return PlaceReply::AtLimit { free_in_ms };
        }
        let candidates = evaluations.into_iter().flatten();
        let best = candidates.min_by(|left, right| left.cost.total_cmp(&right.cost));
        let is_late = |best: &Candidate| {
            request.most_first_event_ms.is_some_and(|max| best.first_event_ms > max as f64)
        };
        let Some(best) = best.filter(|best| !is_late(best)) else { return PlaceReply::Full };
        self.record_assignment(&context, best.epoch);
        PlaceReply::Assigned { epoch: best.epoch, first_event_ms: best.first_event_ms as u64 }
    }

    fn record_assignment(&mut self, context: &RequestContext<'_>, epoch: u64) {
        if let Some(rate) = context.cold_rate {
            self.cold.record_send(context.now, &epoch, rate);
        }
        let queue = self.queues.entry(epoch).or_default();
        queue.reading_until_ms = queue.reading_until_ms.max(context.now as f64) + context.reading_ms();
        queue.last_assigned_at = Some(context.now);
        queue
            .unreported
            .push(UnreportedAssignment { entry: context.request.daemon.clone(), at: context.now });
    }

    /// Removes assignments that are included in an entry's report of its requests in flight.
    pub fn reported(&mut self, now: Millis, entry: &str) {
        for queue in self.queues.values_mut() {
            queue.unreported.retain(|assigned| {
                let is_reported = assigned.entry == entry && now >= assigned.at + REPORT_DELAY_MS;
                !is_reported && now < assigned.at + FORGET_MS
            });
        }
    }

    /// Removes state of groups that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(u64) -> bool) {
        self.queues.retain(|epoch, _| exists(*epoch));
        self.cold.retain(|epoch| exists(*epoch));
    }
}
