//! Simulation events and the queue that orders them by time.

use dockwood_api::engine::EngineOrder;
use dockwood_api::peer::{LeaseAnswer, LeaseRequest, Observation, ReplicaEvidence, SubmitReply};
use dockwood_consensus::Message;
use std::collections::BTreeMap;

/// Where the reply to a waiting caller of a control node goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplyTarget {
    /// A daemon's lease request.
    Lease { daemon: usize, incarnation: u64, request_id: u64 },
    /// An operator's change.
    Change { change: usize, attempt: u64 },
    /// A daemon's observations.
    Observation { daemon: usize, incarnation: u64 },
}

/// A message to a daemon.
#[derive(Clone, Debug)]
pub(crate) enum DaemonMessage {
    Consensus(Message),
    LeaseRequest(Box<LeaseRequest>, ReplyTarget),
    LeaseAnswer { request_id: u64, answer: Box<LeaseAnswer> },
    Submit { command: Vec<u8>, reply: ReplyTarget },
    Observe { term: u64, observations: Vec<Observation>, reply: ReplyTarget },
    ObserveAnswer { accepted: bool },
    OrderAnswered { server: String, fence: u64, done: bool },
    Evidence { report: ReplicaEvidence, from: usize },
    EvidenceEcho { from: usize, echo_ms: u64 },
}

/// A scheduled event.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A message arrives at a daemon. It is dropped if `incarnation` is set and the daemon has restarted
    /// since.
    Message { to: usize, incarnation: Option<u64>, message: DaemonMessage },
    /// A timer tick of a daemon.
    Tick { daemon: usize, incarnation: u64 },
    /// A daemon requests its configuration lease.
    RequestLease { daemon: usize, incarnation: u64 },
    /// A lease request was not answered in time.
    LeaseRequestTimeout { daemon: usize, incarnation: u64, request_id: u64 },
    /// A daemon probes its machines.
    Probe { daemon: usize, incarnation: u64 },
    /// A daemon sends an order, and repeats it until it is answered.
    SendOrder { daemon: usize, incarnation: u64, machine: usize, order: EngineOrder, lease_until: u64 },
    /// An order arrives at a machine.
    Order { machine: usize, from: usize, from_incarnation: u64, order: EngineOrder },
    /// A machine has carried an order out.
    OrderCarriedOut { machine: usize, machine_incarnation: u64, order_id: String },
    /// A daemon gives up waiting for the answer to an order.
    OrderTimeout { daemon: usize, incarnation: u64, server: String, fence: u64 },
    /// An operator resends a change, unless it has already sent a later attempt.
    SendChange { change: usize, after_attempt: u64 },
    /// An answer reaches an operator.
    ChangeAnswered { change: usize, attempt: u64, from: usize, reply: SubmitReply },
    /// Coordinators dispatch requests to the replicas whose gate is open.
    Dispatch,
    /// A daemon restarts.
    StartDaemon { daemon: usize },
    /// A machine is back in operation.
    StartMachine { machine: usize },
    /// The network recovers.
    HealNetwork,
}

/// Events ordered by time, and by insertion order at equal times.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    /// Removes and returns the next event if it is due by `until`.
    pub fn pop(&mut self, until: u64) -> Option<(u64, Event)> {
        let first = self.events.first_entry()?;
        if first.key().0 > until {
            return None;
        }
        let ((at, _), event) = first.remove_entry();
        Some((at, event))
    }
}
