//! What is done about a stalled stream while it is still being read: its head is asked, and if it does not respond, another
//! replica is sought. The stalled stream is given up only after the other replica has begun to answer.

use super::admission::ReplicaSearch;
use crate::traffic::Traffic;
use crate::traffic::engine_stream::{EngineStream, OpenFailure, StreamRead, request_state};
use crate::traffic::slots::HeldSlot;
use dockwood_api::engine::{GenerateEvent, RequestPhase, RequestState};
use dockwood_api::peer::Grant;
use std::net::SocketAddr;
use std::time::Duration;

/// If a stream delivers nothing for this long, the state of the request is queried.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The replica of a stalled stream.
#[derive(Clone, Debug)]
struct StalledReplica {
    name: String,
    epoch: u64,
    head: SocketAddr,
}

impl StalledReplica {
    /// Returns whether the replica still exists at its epoch. Otherwise its machines were ordered to end their runs.
    fn is_current(&self, traffic: &Traffic) -> bool {
        let tables = traffic.shared.tables();
        tables.replicas.get(&self.name).is_some_and(|row| row.epoch == self.epoch)
    }
}

/// A request whose stream has stalled.
pub(super) struct StalledRequest {
    /// Search for another replica.
    search: ReplicaSearch,
    replica: StalledReplica,
    /// Whether the head has accepted the request.
    is_accepted: bool,
    /// The first token that was not forwarded.
    next_sequence: u32,
}

/// What was found about a stalled stream.
pub(super) enum StallFinding {
    /// The head has the request: its stream goes on.
    Continues,
    /// The request will not go on at this replica.
    Lost,
    /// The head does not respond, and no other replica took the request; that of the given name did not answer.
    NotReplaced { tried: Option<String> },
    /// The head does not respond, and another replica has begun to answer.
    Replaced(Box<Replacement>),
}

/// Another replica that has begun to answer the request.
pub(super) struct Replacement {
    pub(super) slot: HeldSlot,
    /// The search that found the replica, with the gate that admitted the request to it.
    pub(super) search: ReplicaSearch,
    pub(super) stream: EngineStream,
    /// The events that were read so far.
    pub(super) events: Vec<GenerateEvent>,
}

/// What the head of a stalled stream reported about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportedState {
    /// It runs the request, or has finished it.
    Present,
    /// It does not run the request.
    Absent,
    /// It did not respond, or the request may still be on its way.
    Unknown,
}

impl ReportedState {
    /// Evaluates the response to a state query. A head that has not accepted the request may receive it later; an
    /// at-most-once request can be barred there.
    fn of(response: Option<RequestState>, is_accepted: bool, repeatable: bool) -> ReportedState {
        match response.map(|state| state.phase) {
            Some(RequestPhase::Running | RequestPhase::Finished) => ReportedState::Present,
            Some(RequestPhase::Unseen) if repeatable && !is_accepted => ReportedState::Unknown,
            Some(_) => ReportedState::Absent,
            None => ReportedState::Unknown,
        }
    }
}

impl StalledRequest {
    /// Describes a request whose stream from the replica of `slot` has stalled.
    pub(super) fn new(
        search: &ReplicaSearch,
        slot: &HeldSlot,
        is_accepted: bool,
        next_sequence: u32,
    ) -> StalledRequest {
        let Grant { replica, epoch, head, .. } = &slot.grant;
        let replica = StalledReplica { name: replica.clone(), epoch: *epoch, head: *head };
        StalledRequest { search: search.beside(&replica.name), replica, is_accepted, next_sequence }
    }

    /// Asks the head, and seeks another replica if it does not respond. May be dropped at any time.
    pub(super) async fn investigate(self) -> StallFinding {
        match self.query(self.replica.head, self.is_accepted).await {
            ReportedState::Present => StallFinding::Continues,
            ReportedState::Absent => StallFinding::Lost,
            ReportedState::Unknown => self.replace_if_repeatable().await,
        }
    }

    async fn replace_if_repeatable(self) -> StallFinding {
        let (traffic, replica) = (self.search.traffic.clone(), self.replica.clone());
        let repeatable = self.search.job.repeatable;
        // What may not be repeated is sent to no other replica before its state is known.
        let finding =
            if repeatable { self.replace().await } else { StallFinding::NotReplaced { tried: None } };
        let is_replaced = matches!(finding, StallFinding::Replaced(_));
        // A replica that was formed anew has ended the run. Its slot may be what the replacement lacks.
        let is_lost = !is_replaced && !replica.is_current(&traffic) && (!repeatable || traffic.may_retry());
        if is_lost { StallFinding::Lost } else { finding }
    }

    async fn query(&self, head: SocketAddr, is_accepted: bool) -> ReportedState {
        let job = &self.search.job;
        let response = request_state(&self.search.traffic.http, head, &job.engine_id()).await;
        ReportedState::of(response, is_accepted, job.repeatable)
    }

    /// Sends the request to another replica, and waits until it has begun to answer.
    async fn replace(mut self) -> StallFinding {
        let Some(slot) = self.acquire_other_slot().await else {
            return StallFinding::NotReplaced { tried: None };
        };
        let Ok(permit) = self.search.acquire_permit(&slot).await else {
            return StallFinding::NotReplaced { tried: Some(slot.grant.replica.clone()) };
        };
        // The budget is taken last, because a slot may never become free.
        if !self.search.traffic.try_retry("stalled") {
            return StallFinding::NotReplaced { tried: None };
        }
        let stream = self.search.send(&slot, self.next_sequence, permit);
        self.await_first_token(slot, stream).await
    }

    /// Acquires a slot at another replica, unless the request is a suspect: a suspect is at one replica at a time.
    async fn acquire_other_slot(&mut self) -> Option<HeldSlot> {
        if !self.search.traffic.may_retry() || self.search.gate.is_suspect().await != Ok(false) {
            return None;
        }
        let slot = self.search.acquire_admitted_slot().await.ok()?;
        // An avoided replica is granted if no other one serves.
        let is_other = (&slot.grant.replica, slot.grant.epoch) != (&self.replica.name, self.replica.epoch);
        is_other.then_some(slot)
    }

    /// Returns whether the answer continues with this event, without a gap.
    fn continues_answer(&self, event: &GenerateEvent) -> bool {
        match event {
            GenerateEvent::Token { sequence, .. } => *sequence <= self.next_sequence,
            GenerateEvent::Finished { tokens } => *tokens == self.next_sequence,
            GenerateEvent::Started { .. } | GenerateEvent::Aborted { .. } => false,
        }
    }

    async fn await_first_token(mut self, mut slot: HeldSlot, mut stream: EngineStream) -> StallFinding {
        let mut events = Vec::new();
        loop {
            match stream.next(STALL_TIMEOUT).await {
                StreamRead::Event(event @ GenerateEvent::Started { .. }) => events.push(event),
                StreamRead::Event(event) if self.continues_answer(&event) => {
                    events.push(event);
                    let replacement = Replacement { slot, search: self.search, stream, events };
                    return StallFinding::Replaced(Box::new(replacement));
                }
                StreamRead::Stalled
                    if self.query(slot.grant.head, stream.is_open()).await == ReportedState::Present => {}
                StreamRead::NotOpened(OpenFailure::Rejected) => break,
                StreamRead::NotOpened(OpenFailure::NotRun) | StreamRead::Stalled => {
                    slot.replica_broken = true;
                    break;
                }
                StreamRead::Event(_)
                | StreamRead::Broken
                | StreamRead::NotOpened(OpenFailure::MayHaveRun) => {
                    slot.replica_broken = true;
                    self.search.gate.connection_broke(|| ()).await;
                    break;
                }
            }
        }
        StallFinding::NotReplaced { tried: Some(slot.grant.replica.clone()) }
    }
}
