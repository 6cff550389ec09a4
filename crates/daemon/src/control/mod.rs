//! The control thread: owns the blackboard, drives the consensus core, and runs the controllers.
//!
//! It is one thread with its own runtime. Everything reaches it as a [`ControlMessage`]; what it decides is
//! published for the traffic threads. Controllers see a consistent state and return commands; they never call
//! each other.

mod account;
mod blackboard;
mod consensus_driver;
mod controllers;
mod lease_client;
mod leader;
mod leases;
mod orders;
mod thread;
mod view;

pub use consensus_driver::{ConsensusDriver, StartError, StartedVoter, run_outbox};
pub use lease_client::run_lease_client;
pub use orders::OrderSender;
pub use thread::{ControlThread, run_control_thread};

use dockwood_api::engine::PlatformMachine;
use dockwood_api::peer::{ControlAnswer, LeaseAnswer, LeaseContent, LeaseRequest, Observation, SubmitReply};
use tokio::sync::{mpsc, oneshot};

/// Messages that may wait for the control thread.
const CONTROL_QUEUE: usize = 8_192;

/// A lease as granted by the leader.
#[derive(Debug)]
pub struct GrantedLease {
    /// Newest revision in force everywhere.
    pub in_force_revision: u64,
    /// What this daemon lacked.
    pub content: LeaseContent,
}

/// What reaches the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// Messages of the consensus group.
    Consensus {
        /// Sender.
        from: u64,
        /// Encoded messages.
        messages: Vec<u8>,
    },
    /// A command to commit.
    Submit {
        /// Encoded command.
        command: Vec<u8>,
        /// For the result.
        reply: oneshot::Sender<SubmitReply>,
    },
    /// A daemon asks for its lease.
    Lease {
        /// The request.
        request: LeaseRequest,
        /// For the answer, which may be held back until there is news.
        reply: oneshot::Sender<LeaseAnswer>,
    },
    /// A daemon tells what it found out.
    Observe {
        /// The leader term that it speaks to.
        term: u64,
        /// Its findings.
        observations: Vec<Observation>,
        /// True if this daemon leads that term.
        reply: oneshot::Sender<bool>,
    },
    /// Somebody asks for the leader's view.
    View {
        /// For the answer.
        reply: oneshot::Sender<ControlAnswer>,
    },
    /// This daemon was granted a lease.
    LeaseGranted {
        /// What came with it.
        lease: GrantedLease,
        /// For the revision that is applied afterwards.
        reply: oneshot::Sender<u64>,
    },
    /// A machine answered an order.
    OrderAnswered {
        /// The machine.
        server: String,
        /// The order's fence.
        fence: u64,
        /// Whether it was carried out.
        done: bool,
    },
    /// The platform's list was read.
    PlatformList(Vec<PlatformMachine>),
    /// The process stops: flush and end.
    Stop,
}

/// Sends messages to the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    sender: mpsc::Sender<ControlMessage>,
}

impl ControlHandle {
    /// A handle and the control thread's end of it.
    pub fn new() -> (ControlHandle, mpsc::Receiver<ControlMessage>) {
        let (sender, receiver) = mpsc::channel(CONTROL_QUEUE);
        (ControlHandle { sender }, receiver)
    }

    /// Sends a message; waits while the queue is full. A message to an ended control thread is dropped, and
    /// whoever waits for its reply sees the channel close.
    pub async fn send(&self, message: ControlMessage) {
        let _ = self.sender.send(message).await;
    }
}
