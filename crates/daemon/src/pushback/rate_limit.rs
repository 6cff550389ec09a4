//! Distributed rate limiting of requests to a server that announced a limit. One daemon, the limiter of the server, grants
//! each request. The limiter is chosen by rendezvous hashing, so that all entries ask the same one without coordination.

use super::{Pushback, SendTarget};
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::shared::Shared;
use dockwood_api::gateway::{ServerLimit, TurnReply, TurnRequest, TurnsElsewhere};
use dockwood_api::peer::PeerClient;
use dockwood_routing::Millis;
use dockwood_routing::pushback::{RequestRate, ServerStart, Turn, TurnShare};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long to wait for the response of a limiter: several times what it takes on a busy machine. The request is delayed by
/// this time, and then the next limiter is asked.
const LIMITER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time limit of the call itself. Longer than the wait for it, as a late response is no reason to reconnect.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a grant is valid after it was requested, in milliseconds. A process that was suspended while it held a grant
/// must not use it.
const GRANT_VALID_MS: Millis = 150;
/// How long a server stays on hold after a grant for it expired unused, in milliseconds.
const EXPIRED_GRANT_HOLD_MS: Millis = 20;

/// Where the grant for a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnSource {
    /// The limiter of the server.
    Limiter,
    /// A daemon that stands in for a limiter that did not respond.
    StandIn,
    /// This daemon, as no limiter responded.
    Fallback,
    /// None is needed: the limit has ended.
    Unlimited,
}

impl TurnSource {
    /// The name of the source in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            TurnSource::Limiter => "limiter",
            TurnSource::StandIn => "standIn",
            TurnSource::Fallback => "fallback",
            TurnSource::Unlimited => "unlimited",
        }
    }
}

/// A grant that a request was sent with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsedTurn {
    /// Where it comes from.
    pub source: TurnSource,
    /// Time between the request for it and the send, in milliseconds.
    pub age_ms: Millis,
}

/// The response to a request for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantDecision {
    /// The request may be sent now.
    Granted(TurnSource),
    /// The request may not be sent before this time has passed, in milliseconds.
    Wait(Millis),
}

/// Requests a grant to send a request with priority `rank` to a server with a rate limit. A limiter that does not respond
/// is not asked again for a while, and the next one in rendezvous order replaces it.
pub(super) async fn request_grant(
    shared: &Arc<Shared>,
    target: &SendTarget,
    rate: RequestRate,
    rank: u32,
) -> GrantDecision {
    let requested_at = monotonic_ms();
    let decision = query_limiters(shared, target, rate, rank).await;
    let has_expired = monotonic_ms() >= requested_at + GRANT_VALID_MS;
    match decision {
        GrantDecision::Granted(_) if has_expired => GrantDecision::Wait(EXPIRED_GRANT_HOLD_MS),
        other => other,
    }
}

async fn query_limiters(
    shared: &Arc<Shared>,
    target: &SendTarget,
    rate: RequestRate,
    rank: u32,
) -> GrantDecision {
    let (server, tables) = (&target.start, shared.tables());
    let limiters = shared.dispatchers.limiters(&tables, &server.id, target.zone.as_deref());
    for (position, limiter) in
        limiters.iter().enumerate().filter(|(_, limiter)| shared.dispatchers.is_responsive(**limiter))
    {
        // The limit may have ended in the meantime.
        let known_limit = lock(&shared.pushback.limits).tell(monotonic_ms(), server);
        let Some(limit) = known_limit else { return GrantDecision::Granted(TurnSource::Unlimited) };
        let source = if position == 0 { TurnSource::Limiter } else { TurnSource::StandIn };
        let elsewhere = shared.pushback.turns_to_report(server, *limiter, source);
        let in_place_of_another = source == TurnSource::StandIn;
        let request = TurnRequest { limit, rank, in_place_of_another, elsewhere };
        if let Some(reply) = query_limiter(shared, *limiter, request).await {
            reply.limit.iter().for_each(|limit| shared.pushback.merge(shared, limit, false));
            if let Some(reported) = elsewhere {
                lock(&shared.pushback.stand_in_turns).acknowledge(server, &reported);
            }
            return shared.pushback.record_decision(server, source, Some(*limiter), reply.wait_ms);
        }
        shared.dispatchers.mark_unresponsive(*limiter);
    }
    let senders = shared.dispatchers.entries(&tables);
    let share = TurnShare::Alone { senders };
    let turn = lock(&shared.pushback.fallback_limiters).take(monotonic_ms(), server, rate, share, rank);
    shared.pushback.record_decision(server, TurnSource::Fallback, None, wait_of(turn))
}

async fn query_limiter(shared: &Arc<Shared>, limiter: SocketAddr, request: TurnRequest) -> Option<TurnReply> {
    if limiter == shared.settings.peer {
        return Some(shared.pushback.give_turn(shared, &request));
    }
    let call = |client: PeerClient, context| async move { client.take_turn(context, request).await };
    let response = shared.peers.call(limiter, CALL_TIMEOUT, call);
    tokio::time::timeout(LIMITER_TIMEOUT, response).await.ok()?.ok()
}

/// Returns how long to wait before another turn is requested, in milliseconds; `None` if the turn was given.
fn wait_of(turn: Turn) -> Option<Millis> {
    match turn {
        Turn::Given => None,
        Turn::NotBefore(at) => Some(at.saturating_sub(monotonic_ms()).max(1)),
    }
}

impl Pushback {
    /// Returns the turns that this daemon has to report to the limiter of a server.
    fn turns_to_report(
        &self,
        server: &ServerStart,
        limiter: SocketAddr,
        source: TurnSource,
    ) -> Option<TurnsElsewhere> {
        let is_limiter = source == TurnSource::Limiter;
        is_limiter.then(|| lock(&self.stand_in_turns).report(monotonic_ms(), server, limiter)).flatten()
    }

    /// Returns the decision of a daemon, `None` being this one, and records the turn if another one than the server's
    /// limiter granted it.
    fn record_decision(
        &self,
        server: &ServerStart,
        source: TurnSource,
        decided_by: Option<SocketAddr>,
        wait_ms: Option<Millis>,
    ) -> GrantDecision {
        if let Some(wait_ms) = wait_ms {
            return GrantDecision::Wait(wait_ms);
        }
        if source != TurnSource::Limiter {
            lock(&self.stand_in_turns).record(monotonic_ms(), server, decided_by);
        }
        GrantDecision::Granted(source)
    }

    /// Handles an entry's request for a grant, as the limiter of the server: grants it or returns how long to wait.
    pub fn give_turn(&self, shared: &Shared, request: &TurnRequest) -> TurnReply {
        self.merge(shared, &request.limit, true);
        let (now, server) = (monotonic_ms(), &request.limit.server);
        let known_limit: Option<ServerLimit> = lock(&self.limits).tell(now, server);
        let rate = lock(&self.limits).rate(now, server);
        let Some(rate) = rate else { return TurnReply { wait_ms: None, limit: known_limit } };
        let share = if request.in_place_of_another { TurnShare::InPlaceOfAnother } else { TurnShare::Whole };
        let turn = {
            let mut limiters = lock(&self.limiters);
            if let Some(reported) = &request.elsewhere {
                limiters.charge(now, server, rate, share, reported);
            }
            limiters.take(now, server, rate, share, request.rank)
        };
        let result = if turn == Turn::Given { "given" } else { "refused" };
        shared.metrics.limit_turns.with_label_values(&[result]).inc();
        let recent_grants = lock(&self.limiters).claim_telling(now, server);
        if let Some(granted) = recent_grants {
            self.record_grant_count(shared, server, rate, granted);
        }
        TurnReply { wait_ms: wait_of(turn), limit: known_limit }
    }
}
