//! Leave to send one request to a server that named a limit: asked for at the daemon that shares the limit out, and given by
//! it. That daemon is found by rendezvous hashing, so that all entries ask the same one without agreeing on it.

use super::{Addressee, Pushback};
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::shared::Shared;
use dockwood_api::gateway::{ServerLimit, TurnReply, TurnRequest};
use dockwood_api::peer::PeerClient;
use dockwood_routing::Millis;
use dockwood_routing::pushback::{RequestRate, Turn, TurnShare};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long the daemon that shares a limit out may take to answer: some times what it takes on a busy machine. A request waits
/// for it, and then asks the next one.
const ANSWER_LIMIT: Duration = Duration::from_millis(60);
/// Limit of the call itself. Longer than the wait for it: a late answer is no reason to connect anew.
const CALL_LIMIT: Duration = Duration::from_millis(500);
/// How long after it was asked for a turn may be used, in milliseconds. A process that was stopped with a turn in hand sends
/// nothing on it.
const TURN_VALID_MS: Millis = 150;
/// How long a server is passed over whose turn could not be used, in milliseconds.
const PASSED_OVER_MS: Millis = 20;

/// A turn at a server, or how long to wait for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TurnAnswer {
    /// The request may be written now.
    Given,
    /// Not before this has passed, in milliseconds.
    Wait(Millis),
}

/// Asks for leave to send a request of some rank to a server that named a limit. Whoever gives none any more is asked no more:
/// the next in the order takes its place.
pub(super) async fn ask_for_turn(
    shared: &Arc<Shared>,
    addressee: &Addressee,
    rate: RequestRate,
    rank: u32,
) -> TurnAnswer {
    let begun = monotonic_ms();
    let answer = ask_givers(shared, addressee, rate, rank).await;
    let is_too_late = monotonic_ms() >= begun + TURN_VALID_MS;
    match answer {
        TurnAnswer::Given if is_too_late => TurnAnswer::Wait(PASSED_OVER_MS),
        other => other,
    }
}

async fn ask_givers(shared: &Arc<Shared>, addressee: &Addressee, rate: RequestRate, rank: u32) -> TurnAnswer {
    let (server, tables) = (&addressee.start, shared.tables());
    let givers = shared.dispatchers.turn_givers(&tables, &server.id, addressee.zone.as_deref());
    for (position, giver) in
        givers.iter().enumerate().filter(|(_, giver)| shared.dispatchers.may_ask(**giver))
    {
        // The end of the limit may have been heard meanwhile.
        let known = lock(&shared.pushback.limits).tell(monotonic_ms(), server);
        let Some(limit) = known else { return TurnAnswer::Given };
        let request = TurnRequest { limit, rank, in_place_of_another: position > 0 };
        if let Some(reply) = ask(shared, *giver, request).await {
            reply.limit.iter().for_each(|limit| shared.pushback.merge(shared, limit, false));
            return reply.wait_ms.map_or(TurnAnswer::Given, TurnAnswer::Wait);
        }
        shared.dispatchers.rest(*giver);
    }
    let senders = shared.dispatchers.entries(&tables);
    let share = TurnShare::Alone { senders };
    let turn = lock(&shared.pushback.own_turns).take(monotonic_ms(), server, rate, share, rank);
    answer_of(turn)
}

async fn ask(shared: &Arc<Shared>, giver: SocketAddr, request: TurnRequest) -> Option<TurnReply> {
    if giver == shared.settings.peer {
        return Some(shared.pushback.give_turn(shared, &request));
    }
    let call = |client: PeerClient, context| async move { client.take_turn(context, request).await };
    let asked = shared.peers.call(giver, CALL_LIMIT, call);
    tokio::time::timeout(ANSWER_LIMIT, asked).await.ok()?.ok()
}

fn answer_of(turn: Turn) -> TurnAnswer {
    match turn {
        Turn::Given => TurnAnswer::Given,
        Turn::NotBefore(at) => TurnAnswer::Wait(at.saturating_sub(monotonic_ms()).max(1)),
    }
}

impl Pushback {
    /// Gives an entry a turn at a server whose limit this daemon shares out, or tells it how long to wait.
    pub fn give_turn(&self, shared: &Shared, request: &TurnRequest) -> TurnReply {
        self.merge(shared, &request.limit, true);
        let (now, server) = (monotonic_ms(), &request.limit.server);
        let known: Option<ServerLimit> = lock(&self.limits).tell(now, server);
        let rate = lock(&self.limits).rate(now, server);
        let Some(rate) = rate else { return TurnReply { wait_ms: None, limit: known } };
        let share = if request.in_place_of_another { TurnShare::InPlaceOfAnother } else { TurnShare::Whole };
        let turn = lock(&self.turns).take(now, server, rate, share, request.rank);
        let result = if turn == Turn::Given { "given" } else { "refused" };
        shared.metrics.limit_turns.with_label_values(&[result]).inc();
        let to_tell = lock(&self.turns).claim_telling(now, server);
        if let Some(given) = to_tell {
            self.tell_turns(shared, server, rate, given);
        }
        let wait_ms = match answer_of(turn) {
            TurnAnswer::Given => None,
            TurnAnswer::Wait(wait_ms) => Some(wait_ms),
        };
        TurnReply { wait_ms, limit: known }
    }
}
