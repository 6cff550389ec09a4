//! Events and the queue that orders them.

use dockwood_api::engine::EngineOrder;
use dockwood_api::peer::{LeaseAnswer, LeaseRequest, Observation, ReplicaEvidence, SubmitReply};
use dockwood_consensus::Message;
use std::collections::BTreeMap;

/// How a waiting caller of a control node is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplyTo {
    /// A daemon's lease request.
    Lease { daemon: usize, incarnation: u64, poll: u64 },
    /// An operator's change.
    Change { change: usize, attempt: u64 },
    /// A daemon's observations.
    Observation { daemon: usize, incarnation: u64 },
}

/// What travels to a daemon.
#[derive(Clone, Debug)]
pub(crate) enum ToDaemon {
    Consensus(Message),
    LeaseRequest(Box<LeaseRequest>, ReplyTo),
    LeaseAnswer { poll: u64, answer: Box<LeaseAnswer> },
    Submit { command: Vec<u8>, reply: ReplyTo },
    Observe { term: u64, observations: Vec<Observation>, reply: ReplyTo },
    ObserveAnswer { taken: bool },
    OrderAnswered { server: String, fence: u64, done: bool },
    Evidence { report: ReplicaEvidence, from: usize },
    EvidenceEcho { from: usize, echo_ms: u64 },
}

/// What happens at a moment.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A message arrives at a daemon; dropped if it has restarted since, where `incarnation` is set.
    Daemon { to: usize, incarnation: Option<u64>, message: ToDaemon },
    /// Time passes at a daemon.
    Tick { daemon: usize, incarnation: u64 },
    /// A daemon asks for its lease.
    Poll { daemon: usize, incarnation: u64 },
    /// A lease request was not answered in time.
    PollTimeout { daemon: usize, incarnation: u64, poll: u64 },
    /// A daemon probes its machines.
    Probe { daemon: usize, incarnation: u64 },
    /// A daemon sends an order, and again until it is answered.
    SendOrder { daemon: usize, incarnation: u64, machine: usize, order: EngineOrder, lease_until: u64 },
    /// An order arrives at a machine.
    Order { machine: usize, from: usize, from_incarnation: u64, order: EngineOrder },
    /// A machine has carried an order out.
    OrderCarriedOut { machine: usize, machine_incarnation: u64, order_id: String },
    /// A daemon ceases to follow an order.
    OrderTimeout { daemon: usize, incarnation: u64, server: String, fence: u64 },
    /// An operator sends a change again, unless it has since.
    SendChange { change: usize, after_attempt: u64 },
    /// An answer reaches an operator.
    ChangeAnswered { change: usize, attempt: u64, from: usize, reply: SubmitReply },
    /// A request is dispatched by a pool's coordinator, if its gate is open.
    Dispatch,
    /// A daemon starts again.
    StartDaemon { daemon: usize },
    /// A machine works again.
    StartMachine { machine: usize },
    /// The network works again.
    HealNetwork,
}

/// Events in order of time, equal times in order of scheduling.
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

    /// The next event, if it is due by `until`.
    pub fn pop(&mut self, until: u64) -> Option<(u64, Event)> {
        let first = self.events.first_entry()?;
        if first.key().0 > until {
            return None;
        }
        let ((at, _), event) = first.remove_entry();
        Some((at, event))
    }
}
