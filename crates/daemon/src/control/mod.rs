//! The control thread and its message queue. The control logic is in `dockwood-control`; this module drives it with
//! clocks, disk and network. The thread has its own runtime and publishes its state for the traffic threads.

mod admission;
mod announcer;
mod delegation;
mod full_disk;
mod group_orders;
mod identity;
mod inputs;
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
pub use turn::{TurnTimer, WorkKind};
pub use voter_disk::{RecoveredVoter, StartError, VoterDisk, WriteResult};

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

/// Capacity of the control thread's message queue.
const CONTROL_QUEUE_CAPACITY: usize = 8_192;

/// A message to the control thread.
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
        /// Receives the result.
        reply: oneshot::Sender<SubmitReply>,
    },
    /// A daemon requests its lease.
    Lease {
        /// The request.
        request: LeaseRequest,
        /// Receives the answer, which may be delayed until there are changes to report (long polling).
        reply: oneshot::Sender<LeaseAnswer>,
    },
    /// A voter reports the daemons that requested leases from it.
    Delegate {
        /// The requests.
        requests: Vec<DelegatedRequest>,
        /// Receives the answer.
        reply: oneshot::Sender<DelegationAnswer>,
    },
    /// The result of reporting delegated lease requests to the leader.
    Delegated {
        /// Number of the batch.
        number: u64,
        /// `None` if there was no answer in time.
        answer: Option<DelegationAnswer>,
    },
    /// A daemon reports its observations.
    Observe {
        /// The leader term that they are addressed to.
        term: u64,
        /// The observations.
        observations: Vec<Observation>,
        /// Receives true if this daemon leads in that term.
        reply: oneshot::Sender<bool>,
    },
    /// A request for the leader's view.
    View {
        /// Receives the answer.
        reply: oneshot::Sender<ControlAnswer>,
    },
    /// This daemon was granted a lease.
    LeaseGranted {
        /// The lease and its content.
        lease: GrantedLease,
        /// Receives the applied revision once the content is applied and published.
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
    /// A server's report on itself.
    Register {
        /// The report.
        report: InstanceReport,
        /// Receives the result.
        reply: oneshot::Sender<SubmitReply>,
    },
    /// An entry's load report.
    ExchangeLoad {
        /// The report.
        report: LoadReport,
        /// Receives the digest; `None` if this daemon does not lead.
        reply: oneshot::Sender<Option<LoadDigest>>,
    },
    /// An entry requests a place in a group.
    AssignPlace {
        /// The request.
        request: PlaceRequest,
        /// Receives the place; `None` if this daemon does not lead.
        reply: oneshot::Sender<Option<PlaceReply>>,
    },
    /// The complete set of servers whose rate limits have persisted for some time.
    ServerLimits(Vec<ServerLimit>),
    /// The result of a group order.
    GroupOrderAnswered(Box<GroupOrder>, OrderAnswer),
    /// The result of a probe.
    Probed {
        /// Instance id.
        instance: String,
        /// The result.
        result: ProbeResult,
        /// Ratio of its actual to its declared processing times, if it reported one.
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
        /// Receives the answer.
        reply: oneshot::Sender<AdmitAnswer>,
    },
    /// The voters, as received from the leader.
    LearnVoters(Vec<VoterRecord>),
    /// A request for the revision at which a read is current.
    ReadRevision {
        /// Receives the answer.
        reply: oneshot::Sender<ReadAnswer>,
    },
    /// A lagging daemon requests a snapshot of the state.
    FetchSnapshot {
        /// Receives the snapshot; `None` if there is no state yet.
        reply: oneshot::Sender<Option<Vec<u8>>>,
    },
    /// Sent at a fixed interval by the runtime that receives calls; see [`run_pulse`].
    Pulse,
    /// The platform's list of machines.
    PlatformList(Vec<PlatformMachine>),
    /// Ends the control thread.
    Stop,
}

/// Sending half of the control thread's message queue.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    sender: mpsc::Sender<ControlMessage>,
}

impl ControlHandle {
    /// Creates the message queue and returns both of its ends.
    pub fn new() -> (ControlHandle, mpsc::Receiver<ControlMessage>) {
        let (sender, receiver) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
        (ControlHandle { sender }, receiver)
    }

    /// Sends a message; waits while the queue is full. If the control thread has ended, the message is dropped, which
    /// closes its reply channel.
    pub async fn send(&self, message: ControlMessage) {
        let _ = self.sender.send(message).await;
    }
}
