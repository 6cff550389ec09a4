//! Obtains a place at a group: from the dispatcher of the group's scope, which sees the requests of all entries, or
//! from this entry's own load figures if no dispatcher responds in time.

use super::Gateway;
use super::dispatchers::DispatchMode;
use super::evacuation::no_group_code;
use super::loads::{GroupPlace, Loads, PlaceQuery, PlaceResult};
use crate::clock::monotonic_ms;
use crate::log_line::ChosenBy;
use crate::pushback::Unavailable;
use dockwood_api::ResultCode;
use dockwood_api::gateway::{DispatchScope, PlaceReply, PlaceRequest};
use dockwood_api::peer::PeerClient;
use dockwood_routing::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for a dispatcher's response: several times the usual two to three milliseconds, and short compared to the
/// time to a first event.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(25);
/// Time limit of the call itself. Longer than [`RESPONSE_TIMEOUT`], so that a late response does not close the
/// connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// If a call with [`RESPONSE_TIMEOUT`] took this long, in milliseconds, this process was suspended. The dispatcher
/// isn't late then, and this entry's view of the groups is outdated, so the call is repeated once.
const SUSPENDED_MS: Millis = 200;
/// Maximum number of zones in which a place is requested, starting with the entry's own zone.
const MAX_ZONES: usize = 3;
/// Percentage of the first-event target above which a group in another zone is preferred: the rest is left for the
/// network latency, and for later requests that share the group.
const CROWDED_PERCENT: u64 = 50;
/// Pause before a place is requested again after all groups were full, if nobody reports places that become free at other
/// entries.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Response of a dispatcher.
#[derive(Clone, Copy, Debug)]
struct DispatcherReply {
    reply: PlaceReply,
    /// When the place was requested: the dispatcher can't have decided earlier.
    requested_at: Millis,
}

impl DispatcherReply {
    fn now(reply: PlaceReply) -> DispatcherReply {
        DispatcherReply { reply, requested_at: monotonic_ms() }
    }

    /// Returns this zone's response, or the other zone's if a place may become free there earlier.
    fn or_earlier(self, other: Option<DispatcherReply>) -> DispatcherReply {
        let Some(other) = other else { return self };
        match (self.reply, other.reply) {
            (PlaceReply::AtLimit { .. }, PlaceReply::Full) => other,
            (PlaceReply::AtLimit { free_in_ms }, PlaceReply::AtLimit { free_in_ms: earlier })
                if earlier < free_in_ms =>
            {
                other
            }
            _ => self,
        }
    }
}

/// Waits for a place for a request until a deadline; `Err` with the reason if there is none.
pub async fn wait_for_place(
    gateway: &Arc<Gateway>,
    query: PlaceQuery<'_>,
    deadline: Instant,
) -> Result<GroupPlace, Unavailable> {
    let mut waits_for_hold = false;
    loop {
        let mut full = None;
        // Subscribed before the request, so that a change during the request is not missed.
        let freed = gateway.loads.place_freed();
        let code = match request_place(gateway, query).await {
            PlaceResult::Taken(place) => return Ok(place),
            PlaceResult::Full(decided_by) => {
                full = Some(decided_by);
                ResultCode::Overloaded
            }
            PlaceResult::NoGroup => no_group_code(&gateway.shared.tables().gateway, query),
            PlaceResult::OnHold(held) => {
                let ends_in = held.ends_in().filter(|ends_in| Instant::now() + *ends_in <= deadline);
                let Some(ends_in) = ends_in else { return Err(held.refused()) };
                if !std::mem::replace(&mut waits_for_hold, true) {
                    gateway.shared.metrics.held_back.with_label_values(&["waited"]).inc();
                }
                // Another group may open before the hold ends.
                let _ = tokio::time::timeout(ends_in, freed).await;
                continue;
            }
        };
        // Requests do not wait for the end of an evacuation.
        if code == ResultCode::ZoneEvacuated {
            return Err(code.into());
        }
        let code = match code {
            ResultCode::NoServer if query.zones.are_restricted() => ResultCode::NoServerInRegion,
            other => other,
        };
        if code == ResultCode::NoServerInRegion && has_no_group_in_regions(gateway, query) {
            return Err(code.into());
        }
        // The leader reports places that become free at other entries in its exchanges with this one; dispatchers have to be
        // polled.
        let until = match gateway.shared.dispatchers.mode(&gateway.shared.tables()) {
            DispatchMode::Leader => deadline,
            DispatchMode::Scopes => deadline.min(Instant::now() + POLL_INTERVAL),
        };
        let was_notified = tokio::time::timeout_at(until, freed).await.is_ok();
        if !was_notified && until >= deadline {
            return Err(Unavailable { decided_by: full, ..code.into() });
        }
    }
}

/// Returns whether this entry, too, knows of no group of the model in the regions that the request is restricted to,
/// neither a serving one nor one that is being formed. Waiting would only delay the caller: groups are not planned by
/// region, so none is likely to open there soon.
fn has_no_group_in_regions(gateway: &Gateway, query: PlaceQuery<'_>) -> bool {
    let tables = gateway.shared.tables();
    let exists = tables.gateway.groups.values().any(|group| {
        let is_requested_model = group.service == query.service && group.model == query.model;
        is_requested_model && query.zones.contains(&group.zone)
    });
    !exists && gateway.loads.zones(query, &gateway.shared.settings.zone).is_empty()
}

async fn request_place(gateway: &Arc<Gateway>, query: PlaceQuery<'_>) -> PlaceResult {
    let holds = gateway.loads.group_holds(query, &gateway.shared.pushback);
    if holds.leave_no_group() {
        return PlaceResult::OnHold(holds.heads);
    }
    let excluded = [query.excluded, &holds.held].concat();
    request_place_elsewhere(gateway, PlaceQuery { excluded: &excluded, ..query }).await
}

/// Requests a place at any group that is not excluded, from a dispatcher or from this entry's own load figures.
async fn request_place_elsewhere(gateway: &Arc<Gateway>, query: PlaceQuery<'_>) -> PlaceResult {
    let response = match gateway.shared.dispatchers.mode(&gateway.shared.tables()) {
        DispatchMode::Leader => ask_leader(gateway, query).await,
        DispatchMode::Scopes => ask_zones(gateway, query).await,
    };
    let Some(DispatcherReply { reply, requested_at }) = response else {
        return Loads::take_best(gateway, query);
    };
    match reply {
        PlaceReply::Assigned { epoch, .. } => match Loads::take_assigned(gateway, query, epoch, requested_at)
        {
            Some(place) => PlaceResult::Taken(place),
            // The group is newer than this entry's tables, or has just closed.
            None => Loads::take_best(gateway, query),
        },
        PlaceReply::Full => {
            gateway.loads.record_no_place(query.service, query.model);
            let limits_cold = gateway.shared.tables().gateway.cold_start(query.service).is_some();
            if limits_cold && !gateway.loads.cold_groups(query).is_empty() {
                gateway.shared.metrics.cold_limited.with_label_values(&["full"]).inc();
            }
            PlaceResult::Full(ChosenBy::Dispatcher)
        }
        PlaceReply::AtLimit { free_in_ms } => {
            gateway.loads.record_no_place(query.service, query.model);
            let held = gateway.loads.all_at_limit(query, &gateway.shared.pushback, free_in_ms);
            // Empty if the limits have ended in the meantime.
            if held.is_empty() { PlaceResult::Full(ChosenBy::Dispatcher) } else { PlaceResult::OnHold(held) }
        }
        PlaceReply::NoGroup => PlaceResult::NoGroup,
    }
}

async fn ask_leader(gateway: &Gateway, query: PlaceQuery<'_>) -> Option<DispatcherReply> {
    let shared = &gateway.shared;
    let leader = shared.leader().filter(|leader| shared.dispatchers.is_responsive(*leader))?;
    gateway.loads.record_leader_asked();
    ask(gateway, leader, place_request(gateway, query)).await
}

/// Asks the dispatchers of the zones in turn: first for a group with a short time to the first event, and if there is
/// none, for any group.
async fn ask_zones(gateway: &Gateway, query: PlaceQuery<'_>) -> Option<DispatcherReply> {
    let zones = gateway.loads.zones(query, &gateway.shared.settings.zone);
    if zones.is_empty() {
        return Some(DispatcherReply::now(PlaceReply::NoGroup));
    }
    let soon_ms = query.target_ms * CROWDED_PERCENT / 100;
    let any_zone = place_request(gateway, query);
    let mut last = None;
    for most_first_event_ms in [Some(soon_ms), None] {
        for zone in zones.iter().take(MAX_ZONES) {
            let group_zone = Some(zone.clone());
            let request = PlaceRequest { group_zone, most_first_event_ms, ..any_zone.clone() };
            let response = ask_zone(gateway, query, zone, request).await;
            if response.is_some_and(|response| matches!(response.reply, PlaceReply::Assigned { .. })) {
                return response;
            }
            last = response.map_or(last, |response| Some(response.or_earlier(last)));
        }
    }
    last
}

async fn ask_zone(
    gateway: &Gateway,
    query: PlaceQuery<'_>,
    zone: &str,
    mut request: PlaceRequest,
) -> Option<DispatcherReply> {
    let scope = DispatchScope {
        zone: zone.to_string(),
        service: request.service.clone(),
        model: request.model.clone(),
    };
    let tables = gateway.shared.tables();
    let dispatcher = gateway.shared.dispatchers.of_scope(&tables, &scope)?;
    let limits_cold = tables.gateway.cold_start(query.service).is_some();
    if limits_cold && !gateway.shared.dispatchers.may_assign_cold(&tables, &scope, dispatcher) {
        request.excluded.extend(gateway.loads.cold_groups(query));
    }
    ask(gateway, dispatcher, request).await
}

/// Creates a request for a place at any group of the model, regardless of the time to its first event.
fn place_request(gateway: &Gateway, query: PlaceQuery<'_>) -> PlaceRequest {
    let settings = &gateway.shared.settings;
    let mut excluded = query.excluded.to_vec();
    excluded.extend(gateway.loads.suspected_groups(query));
    PlaceRequest {
        daemon: settings.name.clone(),
        zone: settings.zone.clone(),
        service: query.service.to_string(),
        model: query.model.to_string(),
        group_zone: None,
        allowed_zones: query.zones.names().map(<[String]>::to_vec),
        most_first_event_ms: None,
        prompt_tokens: query.prompt_tokens,
        prefers_idle: query.prefers_idle,
        excluded,
        limited: gateway.loads.rate_limited_groups(query, &gateway.shared.pushback),
    }
}

async fn ask(gateway: &Gateway, dispatcher: SocketAddr, request: PlaceRequest) -> Option<DispatcherReply> {
    let started = monotonic_ms();
    let first = ask_once(gateway, dispatcher, request.clone()).await;
    let was_suspended = monotonic_ms() >= started + SUSPENDED_MS;
    let response = if was_suspended { ask_once(gateway, dispatcher, request).await } else { first };
    if response.is_none() {
        gateway.shared.dispatchers.mark_unresponsive(dispatcher);
    }
    response
}

async fn ask_once(
    gateway: &Gateway,
    dispatcher: SocketAddr,
    request: PlaceRequest,
) -> Option<DispatcherReply> {
    let requested_at = monotonic_ms();
    let call = |client: PeerClient, context| async move { client.assign_place(context, request).await };
    let asked = gateway.shared.peers.call(dispatcher, CALL_TIMEOUT, call);
    let reply = tokio::time::timeout(RESPONSE_TIMEOUT, asked).await.ok()?.ok()??;
    Some(DispatcherReply { reply, requested_at })
}
