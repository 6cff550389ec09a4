//! Gets a place at a group: from the dispatcher of its groups, which sees all entries' requests for them at once, or by
//! this entry's own figures where no dispatcher answers in time.

use super::Gateway;
use super::dispatchers::Dispatch;
use super::evacuation::no_group_code;
use super::loads::{GroupPlace, Loads, PlaceAnswer, PlaceQuery};
use crate::clock::monotonic_ms;
use crate::pushback::Unavailable;
use dockwood_api::ResultCode;
use dockwood_api::gateway::{DispatchScope, PlaceReply, PlaceRequest};
use dockwood_api::peer::PeerClient;
use dockwood_routing::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a dispatcher may take: some times the usual two to three milliseconds, and little against the time to a first
/// event.
const ANSWER_LIMIT: Duration = Duration::from_millis(25);
/// Limit of the call itself. Longer than the wait for it: a late answer is no reason to connect anew.
const CALL_LIMIT: Duration = Duration::from_millis(500);
/// A wait for a dispatcher that took this long, in milliseconds, although it was to end much earlier: this process did
/// not run meanwhile. The dispatcher isn't late then, and what this entry knows of the groups is old: it asks once
/// more.
const DID_NOT_RUN_MS: Millis = 200;
/// Zones that are asked for a place, the own one first.
const MOST_ZONES: usize = 3;
/// Part of the target for the first event at which a group of another zone is better, in hundredths: half of it is left
/// for the way, and for requests that come later and share the group.
const CROWDED_HUNDREDTHS: u64 = 50;
/// Pause before groups that were full are asked for again, where nobody tells of places that become free elsewhere.
const ASK_AGAIN: Duration = Duration::from_millis(20);

/// What a dispatcher answered.
#[derive(Clone, Copy, Debug)]
struct Answer {
    reply: PlaceReply,
    /// When it was asked: it can't have decided earlier.
    asked_at: Millis,
}

impl Answer {
    fn now(reply: PlaceReply) -> Answer {
        Answer { reply, asked_at: monotonic_ms() }
    }

    /// This answer of one zone, or that of another where a place may become free sooner.
    fn or_sooner(self, other: Option<Answer>) -> Answer {
        let Some(other) = other else { return self };
        match (self.reply, other.reply) {
            (PlaceReply::AtLimit { .. }, PlaceReply::Full) => other,
            (PlaceReply::AtLimit { free_in_ms }, PlaceReply::AtLimit { free_in_ms: sooner })
                if sooner < free_in_ms =>
            {
                other
            }
            _ => self,
        }
    }
}

/// A place for a request, waited for until a deadline; else why there is none.
pub async fn wait_for_place(
    gateway: &Arc<Gateway>,
    query: PlaceQuery<'_>,
    deadline: Instant,
) -> Result<GroupPlace, Unavailable> {
    let mut waits_for_rest = false;
    loop {
        // Asked for first, so that what changes while the place is asked for is not missed.
        let freed = gateway.loads.place_freed();
        let code = match place(gateway, query).await {
            PlaceAnswer::Taken(place) => return Ok(place),
            PlaceAnswer::Full => ResultCode::Overloaded,
            PlaceAnswer::NoGroup => no_group_code(&gateway.shared.tables().gateway, query),
            PlaceAnswer::Held(held) => {
                let ends_in = held.ends_in().filter(|ends_in| Instant::now() + *ends_in <= deadline);
                let Some(ends_in) = ends_in else { return Err(held.refused()) };
                if !std::mem::replace(&mut waits_for_rest, true) {
                    gateway.shared.metrics.held_back.with_label_values(&["waited"]).inc();
                }
                // Another group may open before that.
                let _ = tokio::time::timeout(ends_in, freed).await;
                continue;
            }
        };
        // The end of an evacuation is not waited for.
        if code == ResultCode::ZoneEvacuated {
            return Err(code.into());
        }
        let code = match code {
            ResultCode::NoServer if query.zones.are_restricted() => ResultCode::NoServerInRegion,
            other => other,
        };
        if code == ResultCode::NoServerInRegion && has_none_in_its_regions(gateway, query) {
            return Err(code.into());
        }
        // The leader tells of places that become free at other entries; dispatchers are asked again.
        let until = match gateway.shared.dispatchers.mode(&gateway.shared.tables()) {
            Dispatch::Leader => deadline,
            Dispatch::Scopes => deadline.min(Instant::now() + ASK_AGAIN),
        };
        let is_freed = tokio::time::timeout_at(until, freed).await.is_ok();
        if !is_freed && until >= deadline {
            return Err(code.into());
        }
    }
}

/// Whether this entry, too, knows of no group of a model in the regions that a request is bound to, neither one that
/// serves nor one that is on its way. Waiting would only hold its caller up: nothing is planned by region, so none is
/// likely to open there soon.
fn has_none_in_its_regions(gateway: &Gateway, query: PlaceQuery<'_>) -> bool {
    let tables = gateway.shared.tables();
    let is_under_way = tables.gateway.groups.values().any(|group| {
        let is_asked_for = group.service == query.service && group.model == query.model;
        is_asked_for && query.zones.contains(&group.zone)
    });
    !is_under_way && gateway.loads.zones(query, &gateway.shared.settings.zone).is_empty()
}

async fn place(gateway: &Arc<Gateway>, query: PlaceQuery<'_>) -> PlaceAnswer {
    let holds = gateway.loads.holds(query, &gateway.shared.pushback);
    if holds.leave_nobody() {
        return PlaceAnswer::Held(holds.heads);
    }
    let excluded = [query.excluded, &holds.held].concat();
    place_at_others(gateway, PlaceQuery { excluded: &excluded, ..query }).await
}

/// A place at any group that is not excluded: from a dispatcher, or by this entry's own figures.
async fn place_at_others(gateway: &Arc<Gateway>, query: PlaceQuery<'_>) -> PlaceAnswer {
    let answer = match gateway.shared.dispatchers.mode(&gateway.shared.tables()) {
        Dispatch::Leader => ask_leader(gateway, query).await,
        Dispatch::Scopes => ask_zones(gateway, query).await,
    };
    let Some(Answer { reply, asked_at }) = answer else { return Loads::take(gateway, query) };
    match reply {
        PlaceReply::Assigned { epoch, .. } => match Loads::take_assigned(gateway, query, epoch, asked_at) {
            Some(place) => PlaceAnswer::Taken(place),
            // The group is newer than what this entry knows, or has just closed.
            None => Loads::take(gateway, query),
        },
        PlaceReply::Full => {
            gateway.loads.found_none(query.service, query.model);
            let limits_cold = gateway.shared.tables().gateway.cold_start(query.service).is_some();
            if limits_cold && !gateway.loads.cold(query).is_empty() {
                gateway.shared.metrics.cold_limited.with_label_values(&["full"]).inc();
            }
            PlaceAnswer::Full
        }
        PlaceReply::AtLimit { free_in_ms } => {
            gateway.loads.found_none(query.service, query.model);
            let held = gateway.loads.all_at_limit(query, &gateway.shared.pushback, free_in_ms);
            // Empty: the limits have ended meanwhile.
            if held.is_empty() { PlaceAnswer::Full } else { PlaceAnswer::Held(held) }
        }
        PlaceReply::NoGroup => PlaceAnswer::NoGroup,
    }
}

async fn ask_leader(gateway: &Gateway, query: PlaceQuery<'_>) -> Option<Answer> {
    let shared = &gateway.shared;
    let leader = shared.leader().filter(|leader| shared.dispatchers.may_ask(*leader))?;
    ask(gateway, leader, request(gateway, query)).await
}

/// Asks the dispatchers of one zone after the other: first for a group that shows the first event soon, and where there is
/// none, for any group.
async fn ask_zones(gateway: &Gateway, query: PlaceQuery<'_>) -> Option<Answer> {
    let zones = gateway.loads.zones(query, &gateway.shared.settings.zone);
    if zones.is_empty() {
        return Some(Answer::now(PlaceReply::NoGroup));
    }
    let soon_ms = query.target_ms * CROWDED_HUNDREDTHS / 100;
    let any_zone = request(gateway, query);
    let mut last = None;
    for most_first_event_ms in [Some(soon_ms), None] {
        for zone in zones.iter().take(MOST_ZONES) {
            let group_zone = Some(zone.clone());
            let request = PlaceRequest { group_zone, most_first_event_ms, ..any_zone.clone() };
            let answer = ask_zone(gateway, query, zone, request).await;
            if answer.is_some_and(|answer| matches!(answer.reply, PlaceReply::Assigned { .. })) {
                return answer;
            }
            last = answer.map_or(last, |answer| Some(answer.or_sooner(last)));
        }
    }
    last
}

async fn ask_zone(
    gateway: &Gateway,
    query: PlaceQuery<'_>,
    zone: &str,
    mut request: PlaceRequest,
) -> Option<Answer> {
    let scope = DispatchScope {
        zone: zone.to_string(),
        service: request.service.clone(),
        model: request.model.clone(),
    };
    let tables = gateway.shared.tables();
    let dispatcher = gateway.shared.dispatchers.of_scope(&tables, &scope)?;
    let limits_cold = tables.gateway.cold_start(query.service).is_some();
    if limits_cold && !gateway.shared.dispatchers.may_assign_cold(&tables, &scope, dispatcher) {
        request.excluded.extend(gateway.loads.cold(query));
    }
    ask(gateway, dispatcher, request).await
}

/// A request for a place at any group of the model, whenever it shows the first event.
fn request(gateway: &Gateway, query: PlaceQuery<'_>) -> PlaceRequest {
    let settings = &gateway.shared.settings;
    let mut excluded = query.excluded.to_vec();
    excluded.extend(gateway.loads.suspected(query));
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
        limited: gateway.loads.limited(query, &gateway.shared.pushback),
    }
}

async fn ask(gateway: &Gateway, dispatcher: SocketAddr, request: PlaceRequest) -> Option<Answer> {
    let begun = monotonic_ms();
    let first = ask_once(gateway, dispatcher, request.clone()).await;
    let did_not_run = monotonic_ms() >= begun + DID_NOT_RUN_MS;
    let answer = if did_not_run { ask_once(gateway, dispatcher, request).await } else { first };
    if answer.is_none() {
        gateway.shared.dispatchers.rest(dispatcher);
    }
    answer
}

async fn ask_once(gateway: &Gateway, dispatcher: SocketAddr, request: PlaceRequest) -> Option<Answer> {
    let asked_at = monotonic_ms();
    let call = |client: PeerClient, context| async move { client.assign_place(context, request).await };
    let asked = gateway.shared.peers.call(dispatcher, CALL_LIMIT, call);
    let reply = tokio::time::timeout(ANSWER_LIMIT, asked).await.ok()?.ok()??;
    Some(Answer { reply, asked_at })
}
