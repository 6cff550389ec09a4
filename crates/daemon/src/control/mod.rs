//! The control thread and what reaches it. The logic is in `dockwood-control`; here it gets its clocks, disk
//! and network. It is one thread with its own runtime; what it decides is published for the traffic threads.

mod admission;
mod announcer;
mod delegation;
mod group_orders;
mod identity;
mod lease_client;
mod lease_path;
mod orders;
mod outbox;
mod pulse;
mod reply;
mod thread;
mod turn;
mod voter_disk;

pub use admission::run_admission;
pub use announcer::Announcer;
pub use group_orders::GroupOrderSender;
pub use lease_client::run_lease_client;
pub use orders::OrderSender;
pub use outbox::run_outbox;
pub use pulse::run_pulse;
pub use reply::Reply;
pub use thread::{ControlThread, StartedControl, run_control_thread};
pub use turn::{TurnClock, Work};
pub use voter_disk::StartError;

use dockwood_api::engine::PlatformMachine;
use dockwood_api::gateway::{
    GroupOrder, InstanceReport, LoadDigest, LoadReport, OrderAnswer, PlaceReply, PlaceRequest, ServerLimit,
};
use dockwood_api::peer::{
    AdmitAnswer, ControlAnswer, DelegatedRequest, DelegationAnswer, LeaseAnswer, LeaseRequest, Observation,
    ReadAnswer, SubmitReply, VoterRecord,
};
use dockwood_control::{GrantedLease, ProbeResult};
use std::net::SocketAddr;
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
    /// A voter reports which daemons have asked it for leases.
    Delegate {
        /// What they asked.
        requests: Vec<DelegatedRequest>,
        /// For the answer.
        reply: oneshot::Sender<DelegationAnswer>,
    },
    /// The leader answered this voter's message on leases, or did not.
    Delegated {
        /// Number of the message.
        number: u64,
        /// `None` if there was no answer in time.
        answer: Option<DelegationAnswer>,
    },
    /// A daemon reports its findings.
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
    /// A server reports.
    Register {
        /// The report.
        report: InstanceReport,
        /// For the result.
        reply: oneshot::Sender<SubmitReply>,
    },
    /// An entry reports its load.
    ExchangeLoad {
        /// The report.
        report: LoadReport,
        /// `None` if this daemon does not lead.
        reply: oneshot::Sender<Option<LoadDigest>>,
    },
    /// An entry asks for a place at a group.
    AssignPlace {
        /// What it asks for.
        request: PlaceRequest,
        /// `None` if this daemon does not lead.
        reply: oneshot::Sender<Option<PlaceReply>>,
    },
    /// The servers that have named limits for some time, all of them.
    ServerLimits(Vec<ServerLimit>),
    /// A server answered a group order, or did not.
    GroupOrderAnswered(Box<GroupOrder>, OrderAnswer),
    /// An instance was asked whether it is alive.
    Probed {
        /// Instance id.
        instance: String,
        /// What came of it.
        result: ProbeResult,
        /// How many times its declared times it takes, if it reported that.
        slowness: Option<f64>,
    },
    /// A process asks to become a voter.
    AdmitVoter {
        /// Its id.
        id: u64,
        /// Its peer address.
        address: SocketAddr,
        /// Its zone.
        zone: String,
        /// For the answer.
        reply: oneshot::Sender<AdmitAnswer>,
    },
    /// The voters as the leader sent them.
    LearnVoters(Vec<VoterRecord>),
    /// Somebody asks for the revision of a current read.
    ReadRevision {
        /// For the answer.
        reply: oneshot::Sender<ReadAnswer>,
    },
    /// A daemon that lags asks for a copy of the state.
    CopyState {
        /// `None` if there is no state yet.
        reply: oneshot::Sender<Option<Vec<u8>>>,
    },
    /// The thread that takes calls is at work.
    Pulse,
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
    /// the receiver of its reply sees the channel close.
    pub async fn send(&self, message: ControlMessage) {
        let _ = self.sender.send(message).await;
    }
}
