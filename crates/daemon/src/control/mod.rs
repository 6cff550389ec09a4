//! The control thread and what reaches it. The logic is in `dockwood-control`; here it gets its clocks, disk
//! and network. It is one thread with its own runtime; what it decides is published for the traffic threads.

mod lease_client;
mod orders;
mod outbox;
mod reply;
mod thread;
mod voter_disk;

pub use lease_client::run_lease_client;
pub use orders::OrderSender;
pub use outbox::run_outbox;
pub use reply::Reply;
pub use thread::{ControlThread, StartedControl, run_control_thread};
pub use voter_disk::StartError;

use dockwood_api::engine::PlatformMachine;
use dockwood_api::peer::{ControlAnswer, LeaseAnswer, LeaseRequest, Observation, SubmitReply};
use dockwood_control::GrantedLease;
use tokio::sync::{mpsc, oneshot};

/// Messages that may wait for the control thread.
const CONTROL_QUEUE: usize = 8_192;

/// What reaches the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// Messages of the consensus group.
    Consensus {
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
