//! Requests in flight at each group, from this entry and the others, and groups that are suspected to be stalled.

mod group_state;
mod holds;
mod reports;
mod silence;
mod source_searches;

pub use reports::ScopeLoad;
pub use silence::ModelKey;
pub use source_searches::SilenceProbe;

use super::cold::place_valid_until;
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::log_line::{ChosenBy, PlacesSummary};
use crate::pushback::{HeldServers, SendTarget};
use dockwood_api::gateway::{EventPace, ModelLoad};
use dockwood_routing::Millis;
use dockwood_routing::gateway::{AllowedZones, Candidate, ObservedLatency, choose, timely_event_ms};
use dockwood_state::{GatewayTables, GroupPhase};
use group_state::GroupState;
use rand::RngExt;
use source_searches::SourceSearches;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::futures::Notified;
use tokio::sync::{Notify, watch};

/// Time for which a group that stalled on this entry is avoided.
const AVOID_STALLED_MS: Millis = 1_200;
/// Validity of the places granted by the leader. After that, this entry uses its own load figures.
const GRANTS_VALID_MS: Millis = 500;

/// This entry's view of the groups.
#[derive(Debug, Default)]
pub struct Loads {
    groups: Mutex<BTreeMap<u64, GroupState>>,
    entries: AtomicU32,
    /// When the leader last granted places.
    granted_at: AtomicU64,
    /// Signals that a place has become free or a group has opened.
    freed: Notify,
    /// Signals that a report has to be sent immediately.
    pub urgent: Notify,
    /// Signals that the leader is asked for a place.
    pub leader_asked: Notify,
    /// Whether the leader was asked for places since the last report to it.
    asked_since_report: AtomicBool,
    /// Signals that a request has ended.
    pub ended: Notify,
    latencies: Mutex<BTreeMap<String, ObservedLatency>>,
    source_searches: SourceSearches,
    /// Demand for each model since it was last reported, by service and model.
    demand: Mutex<BTreeMap<(String, String), ModelLoad>>,
    /// Incremented when a group closes.
    changes: watch::Sender<u64>,
}

/// A place at a group, which is released on drop.
pub struct GroupPlace {
    gateway: Arc<super::Gateway>,
    /// Epoch of the group.
    pub epoch: u64,
    /// Address of its head.
    pub head: SocketAddr,
    /// Its head as the target of a send permit.
    pub target: SendTarget,
    /// Whether the head is cold, as far as this entry knows.
    pub is_cold: bool,
    /// The place expires at this time; `None` if it does not expire.
    pub valid_until: Option<Millis>,
    /// Zone of its head.
    pub zone: String,
    /// Who selected it.
    pub chosen_by: ChosenBy,
}

impl Drop for GroupPlace {
    fn drop(&mut self) {
        self.gateway.loads.release(self.epoch);
    }
}

/// Result of a request for a place.
pub enum PlaceResult {
    /// A place was obtained.
    Taken(GroupPlace),
    /// The heads of all groups that have not been tried yet are on hold.
    OnHold(HeldServers),
    /// Every group is full or avoided, according to this component.
    Full(ChosenBy),
    /// No group serves the model.
    NoGroup,
}

/// Criteria for a place.
#[derive(Clone, Copy, Debug)]
pub struct PlaceQuery<'a> {
    /// Service.
    pub service: &'a str,
    /// Model.
    pub model: &'a str,
    /// Zones in which the request may run.
    pub zones: &'a AllowedZones,
    /// Groups that have been tried, or whose heads are on hold.
    pub excluded: &'a [u64],
    /// Whether a group with few requests is preferred over a near or fast one.
    pub prefers_idle: bool,
    /// Tokens of the request's prompt.
    pub prompt_tokens: u64,
    /// Target for the time to the first event, in milliseconds.
    pub target_ms: u64,
}

/// Takes a place at a group that was requested at `requested_at`.
fn take_place_at(
    gateway: &Arc<super::Gateway>,
    groups: &mut BTreeMap<u64, GroupState>,
    epoch: u64,
    requested_at: Millis,
    chosen_by: ChosenBy,
) -> Option<GroupPlace> {
    let group = groups.get_mut(&epoch)?;
    group.in_flight += 1;
    let target = SendTarget::head(&group.row, group.slots);
    let tables = gateway.shared.tables();
    let is_limited = group.is_cold(monotonic_ms());
    let valid_until = place_valid_until(&tables.gateway, &group.row.service, is_limited, requested_at);
    let (head, zone, is_cold) = (group.row.head, group.row.zone.clone(), group.row.head_is_cold);
    let gateway = gateway.clone();
    Some(GroupPlace { gateway, epoch, head, target, is_cold, valid_until, zone, chosen_by })
}

impl Loads {
    /// Applies the groups of newly published tables.
    pub fn follow(&self, tables: &GatewayTables) {
        let now = monotonic_ms();
        let mut groups = lock(&self.groups);
        let is_open = |epoch: &u64| tables.groups.get(epoch).is_some_and(|row| row.serves());
        let before = groups.len();
        groups.retain(|epoch, _| is_open(epoch));
        let closed = groups.len() < before;
        if tables.configuration.is_none() {
            return;
        }
        for row in tables.groups.values().filter(|row| row.serves()) {
            let engine = tables.engine(&row.service);
            let slots = engine.map_or(1, |engine| engine.slots);
            let accepts_requests = row.phase == GroupPhase::Open && !tables.is_evacuated(&row.zone);
            let model = engine.and_then(|engine| engine.model(&row.model));
            let timely_ms =
                engine.zip(model).map_or(f64::INFINITY, |(engine, model)| timely_event_ms(engine, model));
            let update = |group: &mut GroupState| {
                group.slots = slots;
                group.timely_ms = timely_ms;
                group.accepts_requests = accepts_requests;
                group.follow(now, row);
            };
            let new = || GroupState::new(row, slots, accepts_requests, timely_ms);
            groups.entry(row.epoch).and_modify(update).or_insert_with(new);
        }
        drop(groups);
        self.freed.notify_waiters();
        if closed {
            self.notify_closed();
        }
    }

    /// Returns the latencies observed at a model's groups.
    pub fn observed_latency(&self, model: &str) -> ObservedLatency {
        lock(&self.latencies).get(model).copied().unwrap_or_default()
    }

    /// Records the latency of an event; `first` if it was the first one of its stream.
    pub fn record_latency(&self, model: &str, first: bool, took_ms: f64) {
        let mut latencies = lock(&self.latencies);
        let observed = match latencies.get_mut(model) {
            Some(observed) => observed,
            None => latencies.entry(model.to_string()).or_default(),
        };
        let estimate = if first { &mut observed.first_event } else { &mut observed.between_events };
        estimate.record(took_ms);
    }

    fn notify_closed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified when a group closes.
    pub fn watch_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns a future that completes once a place may have become free since this call: because a group has opened, a
    /// request has ended, or the evacuation of a zone has ended.
    pub fn place_freed(&self) -> Notified<'_> {
        self.freed.notified()
    }

    /// Records that the leader is asked for a place.
    pub fn record_leader_asked(&self) {
        self.asked_since_report.store(true, Ordering::Relaxed);
        self.leader_asked.notify_one();
    }

    /// Returns whether the leader was asked for places since the last call.
    pub fn take_asked_since_report(&self) -> bool {
        self.asked_since_report.swap(false, Ordering::Relaxed)
    }

    /// Returns the number of entries that have recently reported their load to the leader.
    pub fn entries(&self) -> u32 {
        self.entries.load(Ordering::Relaxed)
    }

    /// Takes a place at the best group according to this entry's own load figures. Groups with a cold head are
    /// excluded, because this entry doesn't know how much the other entries send there.
    pub fn take_best(gateway: &Arc<super::Gateway>, query: PlaceQuery<'_>) -> PlaceResult {
        let now = monotonic_ms();
        let own_zone = &gateway.shared.settings.zone;
        let mut groups = lock(&gateway.loads.groups);
        let serving = groups.iter().filter(|(_, group)| group.may_run(&query));
        let serving: Vec<u64> = serving.map(|(epoch, _)| *epoch).collect();
        if serving.is_empty() {
            return PlaceResult::NoGroup;
        }
        let is_granted = now < gateway.loads.granted_at.load(Ordering::Relaxed) + GRANTS_VALID_MS;
        let limits_cold = gateway.shared.tables().gateway.cold_start(query.service).is_some();
        let mut skipped_cold = false;
        let eligible = |epoch: &&u64| {
            let group = &groups[*epoch];
            let is_usable = !query.excluded.contains(*epoch) && !group.is_suspected(now);
            let is_open = is_usable && group.has_place(is_granted);
            let is_skipped = is_open && limits_cold && group.is_cold(now);
            skipped_cold |= is_skipped;
            is_open && !is_skipped
        };
        let candidates: Vec<Candidate> = serving
            .iter()
            .filter(eligible)
            .map(|epoch| {
                let group = &groups[epoch];
                Candidate {
                    position: *epoch as usize,
                    in_flight: group.total(),
                    slots: group.slots,
                    same_zone: group.row.zone == *own_zone,
                }
            })
            .collect();
        if skipped_cold {
            gateway.shared.metrics.cold_limited.with_label_values(&["noDispatcher"]).inc();
        }
        let mut random = rand::rng();
        let Some(epoch) = choose(&candidates, |below| random.random_range(0..below)) else {
            gateway.loads.record_no_place(query.service, query.model);
            gateway.loads.urgent.notify_one();
            return PlaceResult::Full(ChosenBy::Entry);
        };
        take_place_at(gateway, &mut groups, epoch as u64, now, ChosenBy::Entry)
            .map_or(PlaceResult::Full(ChosenBy::Entry), PlaceResult::Taken)
    }

    /// Takes a place that a dispatcher has assigned, requested at `requested_at`; `None` if the group is not known to
    /// this entry, accepts no new requests, or may not run the request.
    pub fn take_assigned(
        gateway: &Arc<super::Gateway>,
        query: PlaceQuery<'_>,
        epoch: u64,
        requested_at: Millis,
    ) -> Option<GroupPlace> {
        let mut groups = lock(&gateway.loads.groups);
        let group = groups.get(&epoch).filter(|group| group.accepts_requests)?;
        if query.excluded.contains(&epoch) || !query.zones.contains(&group.row.zone) {
            return None;
        }
        take_place_at(gateway, &mut groups, epoch, requested_at, ChosenBy::Dispatcher)
    }

    /// Returns the groups of a model whose heads are cold.
    pub fn cold_groups(&self, query: PlaceQuery<'_>) -> Vec<u64> {
        let now = monotonic_ms();
        let groups = lock(&self.groups);
        let cold = groups.iter().filter(|(_, group)| group.serves(&query) && group.is_cold(now));
        cold.map(|(epoch, _)| *epoch).collect()
    }

    /// Returns a summary of the groups that may run a request, for the log line of a request for which no place was found.
    pub fn summarize_places(&self, query: PlaceQuery<'_>) -> PlacesSummary {
        let now = monotonic_ms();
        let groups = lock(&self.groups);
        let mut summary = PlacesSummary::default();
        for group in groups.values().filter(|group| group.may_run(&query)) {
            summary.groups += 1;
            summary.places += group.slots;
            summary.own_in_flight += group.in_flight;
            summary.others_in_flight += group.others_in_flight;
            summary.avoided += u32::from(group.is_suspected(now));
        }
        summary
    }

    /// Returns the groups of a model that are currently avoided.
    pub fn suspected_groups(&self, query: PlaceQuery<'_>) -> Vec<u64> {
        let now = monotonic_ms();
        let groups = lock(&self.groups);
        let suspected = groups.iter().filter(|(_, group)| group.serves(&query) && group.is_suspected(now));
        suspected.map(|(epoch, _)| *epoch).collect()
    }

    /// Records the arrival of a request for a model.
    pub fn record_arrival(&self, service: &str, model: &str, prompt_tokens: u64) {
        self.update_demand(service, model, |load| {
            load.arrived += 1;
            load.prompt_tokens += prompt_tokens;
        });
    }

    /// Records that a request was refused because there was no place.
    pub fn record_refusal(&self, service: &str, model: &str) {
        self.update_demand(service, model, |load| load.refused += 1);
    }

    /// Records that no place was found in one attempt.
    pub fn record_no_place(&self, service: &str, model: &str) {
        self.update_demand(service, model, |load| load.found_none += 1);
    }

    /// Records a complete response with this number of events.
    pub fn record_response(&self, service: &str, model: &str, events: u64) {
        self.update_demand(service, model, |load| {
            load.answered += 1;
            load.events += events;
        });
    }

    fn update_demand(&self, service: &str, model: &str, change: impl FnOnce(&mut ModelLoad)) {
        let key = (service.to_string(), model.to_string());
        let mut demand = lock(&self.demand);
        let load = demand.entry(key).or_insert_with_key(|(service, model)| ModelLoad {
            service: service.clone(),
            model: model.clone(),
            arrived: 0,
            refused: 0,
            prompt_tokens: 0,
            answered: 0,
            events: 0,
            found_none: 0,
        });
        change(load);
    }

    fn release(&self, epoch: u64) {
        if let Some(group) = lock(&self.groups).get_mut(&epoch) {
            group.in_flight = group.in_flight.saturating_sub(1);
        }
        self.freed.notify_one();
        self.ended.notify_one();
    }

    /// Records an event of a group, `pause_ms` after the previous one on the same stream; `None` for the first one.
    pub fn record_progress(&self, epoch: u64, pause_ms: Option<f64>) {
        if let Some(group) = lock(&self.groups).get_mut(&epoch) {
            if let Some(pause_ms) = pause_ms {
                let timely = u32::from(pause_ms <= group.timely_ms);
                group.pace.add(EventPace { events: 1, timely });
            }
            group.progressed = true;
            group.last_event_at = monotonic_ms();
            group.avoided_until = 0;
        }
    }

    /// Returns whether a group has sent an event on any stream of this entry within `span`.
    pub fn progressed_within(&self, epoch: u64, span: Millis) -> bool {
        let now = monotonic_ms();
        lock(&self.groups).get(&epoch).is_some_and(|group| now < group.last_event_at + span)
    }

    /// Returns whether a group still processes its requests.
    pub fn is_open(&self, epoch: u64) -> bool {
        lock(&self.groups).contains_key(&epoch)
    }

    /// Records that a group has stalled or, if `refused`, that its head refuses connections.
    pub fn suspect_group(&self, epoch: u64, refused: bool) {
        let now = monotonic_ms();
        if let Some(group) = lock(&self.groups).get_mut(&epoch) {
            group.avoided_until = now + AVOID_STALLED_MS;
            group.refused |= refused;
        }
        self.urgent.notify_one();
    }

    /// Returns the age of the leader's last grants, in milliseconds.
    pub fn age_of_grants(&self, now: Millis) -> Millis {
        now.saturating_sub(self.granted_at.load(Ordering::Relaxed))
    }
}
