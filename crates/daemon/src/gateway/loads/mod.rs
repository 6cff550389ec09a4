//! Requests in flight at each group, here and at the other entries, and which groups seem to stand still.

mod group_state;
mod holds;
mod reports;

pub use reports::ScopeLoad;

use super::cold::place_valid_until;
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::log_line::ChosenBy;
use crate::pushback::{HeldServers, SendTarget};
use dockwood_api::gateway::{EventPace, ModelLoad};
use dockwood_routing::Millis;
use dockwood_routing::gateway::{AllowedZones, Candidate, ObservedLatency, choose, timely_event_ms};
use dockwood_state::{GatewayTables, GroupPhase};
use group_state::GroupState;
use rand::RngExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::futures::Notified;
use tokio::sync::{Notify, watch};

/// A group that stood still here is avoided for this long.
const SUSPICION_MS: Millis = 1_200;
/// What the leader has granted counts for this long; after that this entry goes by the figures that it has.
const GRANTS_VALID_MS: Millis = 500;

/// The groups as this entry sees them.
#[derive(Debug, Default)]
pub struct Loads {
    groups: Mutex<BTreeMap<u64, GroupState>>,
    entries: AtomicU32,
    /// When the leader last granted places.
    granted_at: AtomicU64,
    /// A place has become free, or a group has opened.
    freed: Notify,
    /// Something is to be told to the leader at once.
    pub urgent: Notify,
    /// A request has ended.
    pub ended: Notify,
    paces: Mutex<BTreeMap<String, ObservedLatency>>,
    /// What the leader is to be told of each model, by service and model.
    demand: Mutex<BTreeMap<(String, String), ModelLoad>>,
    /// Grows when a group closes.
    changes: watch::Sender<u64>,
}

/// A place at a group, held until it is dropped.
pub struct GroupPlace {
    gateway: Arc<super::Gateway>,
    /// The group.
    pub epoch: u64,
    /// Address of its head.
    pub head: SocketAddr,
    /// Its head, as what is sent to it is answered for.
    pub addressee: SendTarget,
    /// The head is cold, as far as this entry knows.
    pub is_cold: bool,
    /// Nothing may be sent from then on; `None` if the place may be used at any time.
    pub valid_until: Option<Millis>,
    /// Zone of its head.
    pub zone: String,
    /// Who chose it.
    pub chosen_by: ChosenBy,
}

impl Drop for GroupPlace {
    fn drop(&mut self) {
        self.gateway.loads.release(self.epoch);
    }
}

/// What came of asking for a place.
pub enum PlaceAnswer {
    /// A place.
    Taken(GroupPlace),
    /// The heads of all groups that were not tried yet rest or leave.
    Held(HeldServers),
    /// Every group is full.
    Full,
    /// No group serves the model.
    NoGroup,
}

/// Who asks for a place.
#[derive(Clone, Copy, Debug)]
pub struct PlaceQuery<'a> {
    /// Service.
    pub service: &'a str,
    /// Model.
    pub model: &'a str,
    /// Zones whose groups may take it.
    pub zones: &'a AllowedZones,
    /// Groups that were tried before, or whose heads are held back.
    pub excluded: &'a [u64],
    /// A group with few requests is better than a near or a fast one.
    pub prefers_idle: bool,
    /// Tokens of the request's prompt.
    pub prompt_tokens: u64,
    /// When its first event should be there, in milliseconds.
    pub target_ms: u64,
}

/// Takes a place at a group, which was asked for at `asked_at`.
fn place_at(
    gateway: &Arc<super::Gateway>,
    groups: &mut BTreeMap<u64, GroupState>,
    epoch: u64,
    asked_at: Millis,
    chosen_by: ChosenBy,
) -> Option<GroupPlace> {
    let group = groups.get_mut(&epoch)?;
    group.in_flight += 1;
    let addressee = SendTarget::head(&group.row, group.slots);
    let tables = gateway.shared.tables();
    let is_limited = group.is_cold(monotonic_ms());
    let valid_until = place_valid_until(&tables.gateway, &group.row.service, is_limited, asked_at);
    let (head, zone, is_cold) = (group.row.head, group.row.zone.clone(), group.row.head_is_cold);
    let gateway = gateway.clone();
    Some(GroupPlace { gateway, epoch, head, addressee, is_cold, valid_until, zone, chosen_by })
}

impl Loads {
    /// Takes the groups of newly published tables.
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
            let takes_new = row.phase == GroupPhase::Open && !tables.is_evacuated(&row.zone);
            let model = engine.and_then(|engine| engine.model(&row.model));
            let timely_ms =
                engine.zip(model).map_or(f64::INFINITY, |(engine, model)| timely_event_ms(engine, model));
            let update = |group: &mut GroupState| {
                group.slots = slots;
                group.timely_ms = timely_ms;
                group.takes_new = takes_new;
                group.follow(now, row);
            };
            let new = || GroupState::new(row, slots, takes_new, timely_ms);
            groups.entry(row.epoch).and_modify(update).or_insert_with(new);
        }
        drop(groups);
        self.freed.notify_waiters();
        if closed {
            self.changed();
        }
    }

    /// What was seen of a model's groups.
    pub fn pace_estimates(&self, model: &str) -> ObservedLatency {
        lock(&self.paces).get(model).copied().unwrap_or_default()
    }

    /// Notes how long an event took; `first` if it was the first one.
    pub fn record_event(&self, model: &str, first: bool, took_ms: f64) {
        let mut paces = lock(&self.paces);
        let seen = match paces.get_mut(model) {
            Some(seen) => seen,
            None => paces.entry(model.to_string()).or_default(),
        };
        let estimate = if first { &mut seen.first_event } else { &mut seen.between_events };
        estimate.record(took_ms);
    }

    fn changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Follows changes of groups.
    pub fn watch_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Completes once a place may have become free since this was called: a group has opened, has lost a request, or
    /// its zone takes requests again.
    pub fn place_freed(&self) -> Notified<'_> {
        self.freed.notified()
    }

    /// Entries that told the leader of their load lately.
    pub fn entries(&self) -> u32 {
        self.entries.load(Ordering::Relaxed)
    }

    /// Takes a place at the best group by this entry's own figures. Never at one whose head is cold: what the other
    /// entries send there isn't known here.
    pub fn take(gateway: &Arc<super::Gateway>, query: PlaceQuery<'_>) -> PlaceAnswer {
        let now = monotonic_ms();
        let own_zone = &gateway.shared.settings.zone;
        let mut groups = lock(&gateway.loads.groups);
        let serving = groups.iter().filter(|(_, group)| group.may_run(&query));
        let serving: Vec<u64> = serving.map(|(epoch, _)| *epoch).collect();
        if serving.is_empty() {
            return PlaceAnswer::NoGroup;
        }
        let is_granted = now < gateway.loads.granted_at.load(Ordering::Relaxed) + GRANTS_VALID_MS;
        let spares_cold = gateway.shared.tables().gateway.cold_start(query.service).is_some();
        let mut passed_over = false;
        let eligible = |epoch: &&u64| {
            let group = &groups[*epoch];
            let is_sound = !query.excluded.contains(*epoch) && !group.is_suspected(now);
            let is_open = is_sound && group.has_place(is_granted);
            let is_spared = is_open && spares_cold && group.is_cold(now);
            passed_over |= is_spared;
            is_open && !is_spared
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
        if passed_over {
            gateway.shared.metrics.cold_limited.with_label_values(&["noDispatcher"]).inc();
        }
        let mut random = rand::rng();
        let Some(epoch) = choose(&candidates, |below| random.random_range(0..below)) else {
            gateway.loads.found_none(query.service, query.model);
            gateway.loads.urgent.notify_one();
            return PlaceAnswer::Full;
        };
        place_at(gateway, &mut groups, epoch as u64, now, ChosenBy::Entry)
            .map_or(PlaceAnswer::Full, PlaceAnswer::Taken)
    }

    /// Takes a place that a dispatcher has assigned, which was asked at `asked_at`; `None` if the group is not known
    /// here, no longer serves, or may not run the request.
    pub fn take_assigned(
        gateway: &Arc<super::Gateway>,
        query: PlaceQuery<'_>,
        epoch: u64,
        asked_at: Millis,
    ) -> Option<GroupPlace> {
        let mut groups = lock(&gateway.loads.groups);
        let group = groups.get(&epoch).filter(|group| group.takes_new)?;
        if query.excluded.contains(&epoch) || !query.zones.contains(&group.row.zone) {
            return None;
        }
        place_at(gateway, &mut groups, epoch, asked_at, ChosenBy::Dispatcher)
    }

    /// Groups of a model whose heads are cold.
    pub fn cold(&self, query: PlaceQuery<'_>) -> Vec<u64> {
        let now = monotonic_ms();
        let groups = lock(&self.groups);
        let cold = groups.iter().filter(|(_, group)| group.serves(&query) && group.is_cold(now));
        cold.map(|(epoch, _)| *epoch).collect()
    }

    /// Groups of a model that are avoided here now.
    pub fn suspected(&self, query: PlaceQuery<'_>) -> Vec<u64> {
        let now = monotonic_ms();
        let groups = lock(&self.groups);
        let suspected = groups.iter().filter(|(_, group)| group.serves(&query) && group.is_suspected(now));
        suspected.map(|(epoch, _)| *epoch).collect()
    }

    /// Notes that a caller asks for a model, with a prompt of so many tokens.
    pub fn arrived(&self, service: &str, model: &str, prompt_tokens: u64) {
        self.count(service, model, |load| {
            load.arrived += 1;
            load.prompt_tokens += prompt_tokens;
        });
    }

    /// Notes that a request was refused for want of a place.
    pub fn refused(&self, service: &str, model: &str) {
        self.count(service, model, |load| load.refused += 1);
    }

    /// Notes that a request found no place.
    pub fn found_none(&self, service: &str, model: &str) {
        self.count(service, model, |load| load.found_none += 1);
    }

    /// Notes that a caller got a whole answer of so many events.
    pub fn answered(&self, service: &str, model: &str, events: u64) {
        self.count(service, model, |load| {
            load.answered += 1;
            load.events += events;
        });
    }

    fn count(&self, service: &str, model: &str, change: impl FnOnce(&mut ModelLoad)) {
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

    /// A group showed an event, `pause_ms` after the one before it on the same stream; `None` for the first one.
    pub fn progressed(&self, epoch: u64, pause_ms: Option<f64>) {
        if let Some(group) = lock(&self.groups).get_mut(&epoch) {
            if let Some(pause_ms) = pause_ms {
                let timely = u32::from(pause_ms <= group.timely_ms);
                group.pace.add(EventPace { events: 1, timely });
            }
            group.progressed = true;
            group.last_progress = monotonic_ms();
            group.suspected_until = 0;
        }
    }

    /// Whether a group has shown an event on any stream here within `span`.
    pub fn progressed_within(&self, epoch: u64, span: Millis) -> bool {
        let now = monotonic_ms();
        lock(&self.groups).get(&epoch).is_some_and(|group| now < group.last_progress + span)
    }

    /// Whether a group still works on what it has.
    pub fn is_open(&self, epoch: u64) -> bool {
        lock(&self.groups).contains_key(&epoch)
    }

    /// A group stands still, or its head refuses connections.
    pub fn suspect(&self, epoch: u64, refused: bool) {
        let now = monotonic_ms();
        if let Some(group) = lock(&self.groups).get_mut(&epoch) {
            group.suspected_until = now + SUSPICION_MS;
            group.refused |= refused;
        }
        self.urgent.notify_one();
    }

    /// Age of the leader's last word on places, in milliseconds.
    pub fn age_of_grants(&self, now: Millis) -> Millis {
        now.saturating_sub(self.granted_at.load(Ordering::Relaxed))
    }
}
