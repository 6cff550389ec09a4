//! Gets a place at a group: from the control leader, which sees all entries' requests at once, or by this entry's own
//! figures where the leader doesn't answer in time.

use super::Gateway;
use super::loads::{GroupPlace, Loads, PlaceAnswer, PlaceQuery};
use crate::clock::monotonic_ms;
use dockwood_api::ResultCode;
use dockwood_api::gateway::{PlaceReply, PlaceRequest};
use dockwood_api::peer::PeerClient;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// How long the leader may take: some times the usual two to three milliseconds, and little against the time to a first
/// event.
const ANSWER_LIMIT: Duration = Duration::from_millis(25);
/// Limit of the call itself. Longer than the wait for it: a late answer is no reason to connect anew.
const CALL_LIMIT: Duration = Duration::from_millis(500);
/// After the leader has not answered in time, requests go by this entry's own figures for this long, in milliseconds: a
/// leader that is being replaced would hold up every request.
const REST_MS: u64 = 300;

/// Whether the leader answers.
#[derive(Debug, Default)]
pub struct LeaderAsk {
    /// Until when the leader is not asked, by the monotonic clock.
    rests_until: AtomicU64,
}

/// A place for a request with a prompt of so many tokens, waited for until a deadline; else why there is none.
pub async fn wait_for_place(
    gateway: &Arc<Gateway>,
    query: PlaceQuery<'_>,
    prompt_tokens: u64,
    deadline: Instant,
) -> Result<GroupPlace, ResultCode> {
    loop {
        let code = match place(gateway, query, prompt_tokens).await {
            PlaceAnswer::Taken(place) => return Ok(place),
            PlaceAnswer::Full => ResultCode::Overloaded,
            PlaceAnswer::NoGroup => ResultCode::NoServer,
        };
        if tokio::time::timeout_at(deadline, gateway.loads.place_freed()).await.is_err() {
            return Err(code);
        }
    }
}

async fn place(gateway: &Arc<Gateway>, query: PlaceQuery<'_>, prompt_tokens: u64) -> PlaceAnswer {
    match ask_leader(gateway, query, prompt_tokens).await {
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

async fn ask_leader(gateway: &Gateway, query: PlaceQuery<'_>, prompt_tokens: u64) -> Option<PlaceReply> {
    let shared = &gateway.shared;
    if monotonic_ms() < gateway.assignment.rests_until.load(Ordering::Relaxed) {
        return None;
    }
    let leader = shared.leader()?;
    let mut excluded = query.excluded.to_vec();
    excluded.extend(gateway.loads.suspected(query));
    let request = PlaceRequest {
        daemon: shared.settings.name.clone(),
        zone: shared.settings.zone.clone(),
        service: query.service.to_string(),
        model: query.model.to_string(),
        prompt_tokens,
        excluded,
    };
    let call = |client: PeerClient, context| async move { client.assign_place(context, request).await };
    let asked = shared.peers.call(leader, CALL_LIMIT, call);
    let answer = tokio::time::timeout(ANSWER_LIMIT, asked).await;
    if !matches!(answer, Ok(Ok(Some(_)))) {
        gateway.assignment.rests_until.store(monotonic_ms() + REST_MS, Ordering::Relaxed);
    }
    answer.ok()?.ok()?
}
