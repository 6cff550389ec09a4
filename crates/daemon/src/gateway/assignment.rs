//! Gets a place at a group: from the dispatcher of its groups, which sees all entries' requests for them at once, or by
//! this entry's own figures where no dispatcher answers in time.

use super::Gateway;
use super::dispatchers::Dispatch;
use super::evacuation::no_group_code;
use super::loads::{GroupPlace, Loads, PlaceAnswer, PlaceQuery};
use dockwood_api::ResultCode;
use dockwood_api::gateway::{DispatchScope, PlaceReply, PlaceRequest};
use dockwood_api::peer::PeerClient;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a dispatcher may take: some times the usual two to three milliseconds, and little against the time to a first
/// event.
const ANSWER_LIMIT: Duration = Duration::from_millis(25);
/// Limit of the call itself. Longer than the wait for it: a late answer is no reason to connect anew.
const CALL_LIMIT: Duration = Duration::from_millis(500);
/// Zones that are asked for a place, the own one first.
const MOST_ZONES: usize = 3;
/// Part of the target for the first event at which a group of another zone is better, in hundredths: half of it is left
/// for the way, and for requests that come later and share the group.
const CROWDED_HUNDREDTHS: u64 = 50;
/// Pause before groups that were full are asked for again, where nobody tells of places that become free elsewhere.
const ASK_AGAIN: Duration = Duration::from_millis(20);

/// A place for a request, waited for until a deadline; else why there is none.
pub async fn wait_for_place(
    gateway: &Arc<Gateway>,
    query: PlaceQuery<'_>,
    deadline: Instant,
) -> Result<GroupPlace, ResultCode> {
    loop {
        // Asked for first, so that what changes while the place is asked for is not missed.
        let freed = gateway.loads.place_freed();
        let code = match place(gateway, query).await {
            PlaceAnswer::Taken(place) => return Ok(place),
            PlaceAnswer::Full => ResultCode::Overloaded,
            PlaceAnswer::NoGroup => {
                no_group_code(&gateway.shared.tables().gateway, query.service, query.model)
            }
        };
        // The end of an evacuation is not waited for.
        if code == ResultCode::ZoneEvacuated {
            return Err(code);
        }
        // The leader tells of places that become free at other entries; dispatchers are asked again.
        let until = match gateway.shared.dispatchers.mode(&gateway.shared.tables()) {
            Dispatch::Leader => deadline,
            Dispatch::Scopes => deadline.min(Instant::now() + ASK_AGAIN),
        };
        let is_freed = tokio::time::timeout_at(until, freed).await.is_ok();
        if !is_freed && until >= deadline {
            return Err(code);
        }
    }
}

async fn place(gateway: &Arc<Gateway>, query: PlaceQuery<'_>) -> PlaceAnswer {
    let reply = match gateway.shared.dispatchers.mode(&gateway.shared.tables()) {
        Dispatch::Leader => ask_leader(gateway, query).await,
        Dispatch::Scopes => ask_zones(gateway, query).await,
    };
    match reply {
        Some(PlaceReply::Assigned { epoch, .. }) => match Loads::take_assigned(gateway, epoch) {
            Some(place) => PlaceAnswer::Taken(place),
            // The group is newer than what this entry knows, or has just closed.
            None => Loads::take(gateway, query),
        },
        Some(PlaceReply::Full) => {
            gateway.loads.found_none(query.service, query.model);
            PlaceAnswer::Full
        }
        Some(PlaceReply::NoGroup) => PlaceAnswer::NoGroup,
        None => Loads::take(gateway, query),
    }
}

async fn ask_leader(gateway: &Gateway, query: PlaceQuery<'_>) -> Option<PlaceReply> {
    let shared = &gateway.shared;
    let leader = shared.leader().filter(|leader| shared.dispatchers.may_ask(*leader))?;
    ask(gateway, leader, request(gateway, query)).await
}

/// Asks the dispatchers of one zone after the other: first for a group that shows the first event soon, and where there is
/// none, for any group.
async fn ask_zones(gateway: &Gateway, query: PlaceQuery<'_>) -> Option<PlaceReply> {
    let zones = gateway.loads.zones(query, &gateway.shared.settings.zone);
    if zones.is_empty() {
        return Some(PlaceReply::NoGroup);
    }
    let soon_ms = query.target_ms * CROWDED_HUNDREDTHS / 100;
    let any_zone = request(gateway, query);
    let mut last = None;
    for most_first_event_ms in [Some(soon_ms), None] {
        for zone in zones.iter().take(MOST_ZONES) {
            let group_zone = Some(zone.clone());
            let request = PlaceRequest { group_zone, most_first_event_ms, ..any_zone.clone() };
            let reply = ask_zone(gateway, zone, request).await;
            if let Some(PlaceReply::Assigned { .. }) = reply {
                return reply;
            }
            last = reply.or(last);
        }
    }
    last
}

async fn ask_zone(gateway: &Gateway, zone: &str, request: PlaceRequest) -> Option<PlaceReply> {
    let scope = DispatchScope {
        zone: zone.to_string(),
        service: request.service.clone(),
        model: request.model.clone(),
    };
    let dispatcher = gateway.shared.dispatchers.of_scope(&gateway.shared.tables(), &scope)?;
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
        most_first_event_ms: None,
        prompt_tokens: query.prompt_tokens,
        excluded,
    }
}

async fn ask(gateway: &Gateway, dispatcher: SocketAddr, request: PlaceRequest) -> Option<PlaceReply> {
    let call = |client: PeerClient, context| async move { client.assign_place(context, request).await };
    let asked = gateway.shared.peers.call(dispatcher, CALL_LIMIT, call);
    let answer = tokio::time::timeout(ANSWER_LIMIT, asked).await;
    if !matches!(answer, Ok(Ok(Some(_)))) {
        gateway.shared.dispatchers.rest(dispatcher);
    }
    answer.ok()?.ok()?
}
