//! A voter that grants leases on behalf of the leader.
//!
//! In a large fleet, answering the requests of all daemons would take most of the leader's CPU time. So
//! daemons ask the other voters, which hold the same tables. A voter reports the daemons that have asked to
//! the leader in batches, and answers them once the leader has acknowledged the batch:
//!
//! - The leader counts a daemon's lease from the moment of its acknowledgement, which is after the daemon
//!   sent its request, from which the daemon counts. So, as with direct requests, a lease never ends earlier
//!   on the leader's side.
//! - The acknowledgement names the leader's current revision. The voter answers only once it has applied that
//!   revision, and the answer brings the daemon there, so a lease never covers a state older than the
//!   request.
//! - A voter that loses its leader grants nothing: daemons that it can't serve within [`MAX_WAIT_MS`] are
//!   redirected.

use crate::Millis;
use crate::blackboard::Blackboard;
use crate::driver_io::Output;
use crate::lease_responder::{GrantHeader, LeaseResponder};
use crate::leases::LEASE_MS;
use dockwood_api::peer::{DelegatedRequest, DelegationAnswer, LeaseAnswer, LeaseRequest};
use dockwood_state::Tables;
use std::net::SocketAddr;

/// Minimum time between two batches to the leader; requests that arrive in between are sent together.
const BATCH_INTERVAL_MS: Millis = 40;
/// Maximum time for which a request may wait for the leader's acknowledgement, and for this voter to apply
/// the leader's revision.
const MAX_WAIT_MS: Millis = 300;

/// A request that waits for the leader's acknowledgement.
#[derive(Debug)]
struct PendingRequest<R> {
    request: LeaseRequest,
    reply: R,
    since: Millis,
}

/// Requests that the leader acknowledged at a revision that this voter has not applied yet.
#[derive(Debug)]
struct AcknowledgedBatch<R> {
    revision: u64,
    requests: Vec<PendingRequest<R>>,
}

/// A batch that the leader has not answered yet.
#[derive(Debug)]
struct SentBatch<R> {
    number: u64,
    requests: Vec<PendingRequest<R>>,
}

/// Lease proxy state of one voter.
#[derive(Debug)]
pub(crate) struct LeaseProxy<R> {
    responder: LeaseResponder<R>,
    pending: Vec<PendingRequest<R>>,
    sent: Option<SentBatch<R>>,
    acknowledged: Vec<AcknowledgedBatch<R>>,
    next_number: u64,
    next_batch_at: Millis,
    next_prune_at: Millis,
    /// The leader's term in its latest acknowledgement.
    term: u64,
}

impl<R> LeaseProxy<R> {
    /// Creates a proxy without requests.
    pub fn new(now: Millis) -> Self {
        LeaseProxy {
            responder: LeaseResponder::new(now),
            pending: Vec::new(),
            sent: None,
            acknowledged: Vec::new(),
            next_number: 1,
            next_batch_at: now,
            next_prune_at: now,
            term: 0,
        }
    }

    /// Queues a daemon's request.
    pub fn enqueue(&mut self, now: Millis, request: LeaseRequest, reply: R) {
        self.pending.push(PendingRequest { request, reply, since: now });
    }

    /// Returns the batch to send to the leader now, with its number.
    pub fn next_batch(&mut self, now: Millis, tables: &Tables) -> Option<(u64, Vec<DelegatedRequest>)> {
        if self.pending.is_empty() || self.sent.is_some() || now < self.next_batch_at {
            return None;
        }
        self.next_batch_at = now + BATCH_INTERVAL_MS;
        let requests = std::mem::take(&mut self.pending);
        let delegated_requests =
            requests.iter().map(|pending| delegated_request(tables, &pending.request)).collect();
        let number = self.next_number;
        self.next_number += 1;
        self.sent = Some(SentBatch { number, requests });
        Some((number, delegated_requests))
    }

    /// Handles the leader's answer, or `None` if there was none. Answers to earlier batches are ignored.
    pub fn handle_answer(&mut self, number: u64, answer: Option<&DelegationAnswer>) {
        let Some(sent) = self.sent.take_if(|sent| sent.number == number) else { return };
        match answer {
            Some(DelegationAnswer::Noted { term, revision, .. }) => {
                self.term = *term;
                self.acknowledged.push(AcknowledgedBatch { revision: *revision, requests: sent.requests });
            }
            // Sent again, to whoever is leader then.
            Some(DelegationAnswer::NotLeader { .. }) | None => self.pending.extend(sent.requests),
        }
    }

    /// Queues unanswered requests again after a change of leader.
    pub fn leader_changed(&mut self) {
        if let Some(sent) = self.sent.take() {
            self.pending.extend(sent.requests);
        }
    }

    /// Answers requests that the leader has acknowledged, and redirects those that have waited for too long.
    pub fn answer_due(
        &mut self,
        now: Millis,
        board: &Blackboard,
        leader: Option<SocketAddr>,
        in_force_revision: u64,
    ) -> Vec<Output<R>> {
        self.hold_acknowledged(now, board.revision());
        self.drop_expired(now);
        let mut outputs = self.redirect_timed_out(now, leader);
        let header = GrantHeader { term: self.term, leader, in_force_revision };
        outputs.extend(self.responder.answer_due(now, board, header, |_| None));
        outputs
    }

    /// Takes all pending requests; this node no longer answers them.
    pub fn take_all(&mut self) -> Vec<(LeaseRequest, R)> {
        let sent = self.sent.take().into_iter().flat_map(|sent| sent.requests);
        let acknowledged = self.acknowledged.drain(..).flat_map(|acknowledged| acknowledged.requests);
        let pending = self.pending.drain(..).chain(sent).chain(acknowledged);
        let mut all: Vec<(LeaseRequest, R)> =
            pending.map(|pending| (pending.request, pending.reply)).collect();
        let held = self.responder.leases.take_held().into_iter();
        all.extend(held.map(|held| (held.request, held.reply)));
        all
    }

    /// Holds acknowledged requests, once the leader's revision is applied here, until there is a
    /// notification; as the leader does.
    fn hold_acknowledged(&mut self, now: Millis, applied: u64) {
        let is_covered = |acknowledged: &mut AcknowledgedBatch<R>| acknowledged.revision <= applied;
        for acknowledged in self.acknowledged.extract_if(.., is_covered) {
            for PendingRequest { request, reply, since } in acknowledged.requests {
                self.responder.leases.renew(now, &request);
                self.responder.leases.hold_since(now, since, request, reply);
            }
        }
    }

    /// Drops leases of daemons that ask elsewhere now.
    fn drop_expired(&mut self, now: Millis) {
        if now >= self.next_prune_at {
            self.next_prune_at = now + LEASE_MS;
            self.responder.leases.drop_expired(now);
        }
    }

    fn redirect_timed_out(&mut self, now: Millis, leader: Option<SocketAddr>) -> Vec<Output<R>> {
        let has_timed_out = |pending: &mut PendingRequest<R>| now >= pending.since + MAX_WAIT_MS;
        let mut timed_out: Vec<PendingRequest<R>> = self.pending.extract_if(.., has_timed_out).collect();
        if let Some(sent) = &mut self.sent {
            timed_out.extend(sent.requests.extract_if(.., has_timed_out));
        }
        for acknowledged in &mut self.acknowledged {
            timed_out.extend(acknowledged.requests.extract_if(.., has_timed_out));
        }
        self.sent.take_if(|sent| sent.requests.is_empty());
        self.acknowledged.retain(|acknowledged| !acknowledged.requests.is_empty());
        let redirect =
            |pending: PendingRequest<R>| Output::LeaseReply(pending.reply, LeaseAnswer::NotLeader { leader });
        timed_out.into_iter().map(redirect).collect()
    }
}

/// The part of a request that the leader needs. The daemon's record is included only if the leader's tables
/// lack it.
fn delegated_request(tables: &Tables, request: &LeaseRequest) -> DelegatedRequest {
    let known = tables.daemons.get(&request.daemon.name);
    let is_known = known.is_some_and(|known| known.record == request.daemon);
    DelegatedRequest {
        daemon: request.daemon.name.clone(),
        record: (!is_known).then(|| request.daemon.clone()),
        incarnation: request.incarnation,
        applied_revision: request.applied_revision,
        leaving: request.leaving,
        in_flight: request.in_flight,
    }
}
