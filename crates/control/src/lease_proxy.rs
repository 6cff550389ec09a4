//! A voter that grants leases in the leader's name.
//!
//! In a large fleet answering each daemon's requests would take most of the leader's processor. So daemons ask the other voters, which hold the same tables. A voter reports to the leader in one message
//! which daemons have asked, and answers them once the leader has taken note of them:
//!
//! - The leader counts a daemon's lease from the moment at which it took note, which is after the daemon sent its request,
//!   from which the daemon counts. So, as with a direct request, the leader's idea of a lease never ends first.
//! - The leader names its revision at that moment. The voter answers only once it has applied it, and the answer brings the
//!   daemon there, so a lease never covers a state older than the request.
//! - A voter that loses the leader grants nothing: daemons that it can't serve within [`WAIT_MS`] are sent elsewhere.

use crate::Millis;
use crate::blackboard::Blackboard;
use crate::driver_io::Output;
use crate::lease_answers::{Grantor, LeaseAnswers};
use crate::leases::LEASE_MS;
use dockwood_api::peer::{DelegatedRequest, DelegationAnswer, LeaseAnswer, LeaseRequest};
use dockwood_state::Tables;
use std::net::SocketAddr;

/// Least time between two messages to the leader: requests that arrive meanwhile go together.
const GATHER_MS: Millis = 40;
/// How long a request may wait for the leader's word, and for this voter to apply what the leader has committed.
const WAIT_MS: Millis = 300;

/// A request that waits for the leader's word.
#[derive(Debug)]
struct Waiting<R> {
    request: LeaseRequest,
    reply: R,
    since: Millis,
}

/// Requests of which the leader has taken note, while this voter has not applied the leader's revision yet.
#[derive(Debug)]
struct Noted<R> {
    revision: u64,
    requests: Vec<Waiting<R>>,
}

/// A message to the leader that has no answer yet.
#[derive(Debug)]
struct Sent<R> {
    number: u64,
    requests: Vec<Waiting<R>>,
}

/// One voter's part.
#[derive(Debug)]
pub(crate) struct LeaseProxy<R> {
    answers: LeaseAnswers<R>,
    waiting: Vec<Waiting<R>>,
    sent: Option<Sent<R>>,
    noted: Vec<Noted<R>>,
    next_number: u64,
    send_at: Millis,
    prune_at: Millis,
    /// The leader's term, as it last answered.
    term: u64,
}

impl<R> LeaseProxy<R> {
    /// A proxy that nobody has asked yet.
    pub fn new(now: Millis) -> Self {
        LeaseProxy {
            answers: LeaseAnswers::new(now),
            waiting: Vec::new(),
            sent: None,
            noted: Vec::new(),
            next_number: 1,
            send_at: now,
            prune_at: now,
            term: 0,
        }
    }

    /// Takes a daemon's request.
    pub fn take(&mut self, now: Millis, request: LeaseRequest, reply: R) {
        self.waiting.push(Waiting { request, reply, since: now });
    }

    /// The message to the leader that is due now, with its number.
    pub fn message_due(&mut self, now: Millis, tables: &Tables) -> Option<(u64, Vec<DelegatedRequest>)> {
        if self.waiting.is_empty() || self.sent.is_some() || now < self.send_at {
            return None;
        }
        self.send_at = now + GATHER_MS;
        let requests = std::mem::take(&mut self.waiting);
        let delegated = requests.iter().map(|waiting| delegated(tables, &waiting.request)).collect();
        let number = self.next_number;
        self.next_number += 1;
        self.sent = Some(Sent { number, requests });
        Some((number, delegated))
    }

    /// Takes the leader's answer; `None` if there was none. An answer to an earlier message changes nothing.
    pub fn answered(&mut self, number: u64, answer: Option<&DelegationAnswer>) {
        let Some(sent) = self.sent.take_if(|sent| sent.number == number) else { return };
        match answer {
            Some(DelegationAnswer::Noted { term, revision, .. }) => {
                self.term = *term;
                self.noted.push(Noted { revision: *revision, requests: sent.requests });
            }
            // Sent again, to the leader of that time.
            Some(DelegationAnswer::NotLeader { .. }) | None => self.waiting.extend(sent.requests),
        }
    }

    /// Another leader was elected: what the former one has not answered goes to it.
    pub fn leader_changed(&mut self) {
        if let Some(sent) = self.sent.take() {
            self.waiting.extend(sent.requests);
        }
    }

    /// Answers requests that the leader has noted, and sends away those that have waited for too long.
    pub fn answer_due(
        &mut self,
        now: Millis,
        board: &Blackboard,
        leader: Option<SocketAddr>,
        in_force_revision: u64,
    ) -> Vec<Output<R>> {
        self.hold_noted(now, board.revision());
        self.forget_ended(now);
        let mut outputs = self.refuse_late(now, leader);
        let grantor = Grantor { term: self.term, leader, in_force_revision };
        outputs.extend(self.answers.answer_due(now, board, grantor, |_| None));
        outputs
    }

    /// All requests that wait, which this node does not answer any more.
    pub fn take_all(&mut self) -> Vec<(LeaseRequest, R)> {
        let sent = self.sent.take().into_iter().flat_map(|sent| sent.requests);
        let noted = self.noted.drain(..).flat_map(|noted| noted.requests);
        let waiting = self.waiting.drain(..).chain(sent).chain(noted);
        let mut all: Vec<(LeaseRequest, R)> =
            waiting.map(|waiting| (waiting.request, waiting.reply)).collect();
        let held = self.answers.leases.take_held().into_iter();
        all.extend(held.map(|held| (held.request, held.reply)));
        all
    }

    /// Requests whose leader's revision is applied here wait for news like those at the leader.
    fn hold_noted(&mut self, now: Millis, applied: u64) {
        let is_covered = |noted: &mut Noted<R>| noted.revision <= applied;
        for noted in self.noted.extract_if(.., is_covered) {
            for Waiting { request, reply, since } in noted.requests {
                self.answers.leases.extend(now, &request);
                self.answers.leases.hold_since(now, since, request, reply);
            }
        }
    }

    /// Daemons that ask elsewhere now are no longer counted here.
    fn forget_ended(&mut self, now: Millis) {
        if now >= self.prune_at {
            self.prune_at = now + LEASE_MS;
            self.answers.leases.forget_ended(now);
        }
    }

    fn refuse_late(&mut self, now: Millis, leader: Option<SocketAddr>) -> Vec<Output<R>> {
        let is_late = |waiting: &mut Waiting<R>| now >= waiting.since + WAIT_MS;
        let mut late: Vec<Waiting<R>> = self.waiting.extract_if(.., is_late).collect();
        if let Some(sent) = &mut self.sent {
            late.extend(sent.requests.extract_if(.., is_late));
        }
        for noted in &mut self.noted {
            late.extend(noted.requests.extract_if(.., is_late));
        }
        self.sent.take_if(|sent| sent.requests.is_empty());
        self.noted.retain(|noted| !noted.requests.is_empty());
        let refusal =
            |waiting: Waiting<R>| Output::LeaseReply(waiting.reply, LeaseAnswer::NotLeader { leader });
        late.into_iter().map(refusal).collect()
    }
}

/// What the leader must know of a request. It has the daemon's record, unless that has changed.
fn delegated(tables: &Tables, request: &LeaseRequest) -> DelegatedRequest {
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
