//! Interface between the control logic and its driver. `R` is the driver's handle for replying to a waiting
//! caller.

use crate::gateway::InstanceProbe;
use crate::timeline::TimelineEvent;
use dockwood_api::gateway::{
    GroupOrder, InstanceReport, LoadDigest, LoadReport, OrderAnswer, PlaceReply, PlaceRequest, ServerLimit,
};
use dockwood_api::peer::{
    AdmitAnswer, ControlAnswer, DelegatedRequest, DelegationAnswer, LeaseAnswer, LeaseContent, LeaseRequest,
    Observation, ReadAnswer, SubmitReply, VoterRecord,
};
use dockwood_api::resource::ResourceKey;
use dockwood_consensus::{Entry, HardState, LogIndex, Message, NodeId, Term, Voter};
use dockwood_grouping::ProbeResult;
use dockwood_state::OrderRow;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::Millis;

/// A reading of both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic time of this process in milliseconds.
    pub monotonic: Millis,
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// A lease granted by the leader.
#[derive(Clone, Debug)]
pub struct GrantedLease {
    /// Newest revision in force everywhere.
    pub in_force_revision: u64,
    /// The content that this daemon lacked.
    pub content: LeaseContent,
}

/// Inputs of the control logic.
#[derive(Debug)]
pub enum Input<R> {
    /// Time passed.
    Tick,
    /// Sent every [`PULSE_INTERVAL_MS`](crate::PULSE_INTERVAL_MS) by the thread that receives calls, through
    /// the same queue as the calls, to measure how late these are handled.
    Pulse,
    /// Messages of the consensus group.
    Consensus(Vec<Message>),
    /// Encoded commands to commit, each with its caller. Commands of one input share one synced write.
    Submit(Vec<(Vec<u8>, R)>),
    /// A daemon requests a lease.
    Lease(LeaseRequest, R),
    /// A voter reports the daemons that requested leases from it.
    Delegate(Vec<DelegatedRequest>, R),
    /// The result of an [`Output::DelegateLeases`].
    Delegated {
        /// Number of the batch.
        number: u64,
        /// `None` if there was no answer in time.
        answer: Option<DelegationAnswer>,
    },
    /// A daemon reports its observations to the leader of a term.
    Observe(Term, Vec<Observation>, R),
    /// A request for the leader's view.
    View(R),
    /// This daemon was granted a lease.
    LeaseGranted(GrantedLease),
    /// A machine answered an order.
    OrderAnswered {
        /// The machine.
        server: String,
        /// The order's fence.
        fence: u64,
        /// Whether it was carried out.
        done: bool,
    },
    /// A server's report; answered like a submitted command.
    Register(InstanceReport, R),
    /// An entry's load report.
    ExchangeLoad(LoadReport, R),
    /// An entry requests a place in a group.
    AssignPlace(PlaceRequest, R),
    /// The complete set of servers whose load limits have persisted for some time.
    ServerLimits(Vec<ServerLimit>),
    /// The result of a group order.
    GroupOrderAnswered(GroupOrder, OrderAnswer),
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
        id: NodeId,
        /// Its peer address.
        address: SocketAddr,
        /// Its zone.
        zone: String,
        /// Reply handle.
        reply: R,
    },
    /// The voters, as received from the leader.
    LearnVoters(Vec<VoterRecord>),
    /// A request for the revision at which a read is current.
    ReadRevision(R),
    /// A lagging daemon requests a snapshot of the state.
    FetchSnapshot(R),
    /// Machines that the platform is about to take away.
    Leaving(BTreeSet<String>),
    /// An earlier [`Output::Persist`] has been synced up to this entry.
    Persisted {
        /// Index of the last synced entry.
        index: LogIndex,
        /// Its term.
        term: Term,
    },
}

/// A snapshot and the rest of the log after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// Last index covered.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// The state.
    pub data: Vec<u8>,
    /// Hard state to keep.
    pub hard_state: HardState,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// An order to send to a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderToSend {
    /// The order.
    pub order: OrderRow,
    /// Address of the machine's engine.
    pub address: SocketAddr,
    /// Whether the machine rejects orders below its highest fence.
    pub checks_fences: bool,
    /// End of the time for which this daemon is certain to lead; a machine that doesn't check fences must not
    /// be sent orders after that.
    pub lease_until: Millis,
}

/// Actions for the driver, in order. Data to persist must be synced before any later output is carried out.
#[derive(Debug)]
pub enum Output<R> {
    /// Append to the log and sync; then give [`Input::Persisted`] for the last entry, if there is one.
    Persist {
        /// Set when it changed.
        hard_state: Option<HardState>,
        /// Entries; the first replaces any stored entry of its index or above.
        entries: Vec<Entry>,
    },
    /// Store the snapshot and truncate the log.
    StoreSnapshot(StoredSnapshot),
    /// Send to another voter; may be lost.
    Send(Message),
    /// Reply to a submitted command.
    SubmitReply(R, SubmitReply),
    /// Reply to a lease request; the driver fills in its clock stamp.
    LeaseReply(R, LeaseAnswer),
    /// Report to the leader the daemons that requested leases from this voter; always answered by an
    /// [`Input::Delegated`].
    DelegateLeases {
        /// The leader's peer address.
        leader: SocketAddr,
        /// Number of the batch.
        number: u64,
        /// The requests.
        requests: Vec<DelegatedRequest>,
    },
    /// Reply to a voter that grants leases.
    DelegationReply(R, DelegationAnswer),
    /// Reply to an observation: whether it was accepted.
    ObserveReply(R, bool),
    /// Reply to an entry's load report; `None` if this node does not lead.
    LoadReply(R, Option<LoadDigest>),
    /// Reply to an entry that requested a place; `None` if this node does not lead.
    PlaceReply(R, Option<PlaceReply>),
    /// Reply to a process that asks to become a voter.
    AdmitReply(R, AdmitAnswer),
    /// Reply to a request for the revision of a current read.
    ReadReply(R, ReadAnswer),
    /// Reply to a daemon that requested a snapshot; `None` if there is no state yet.
    SnapshotReply(R, Option<Vec<u8>>),
    /// Reply to a view request.
    ViewReply(R, ControlAnswer),
    /// Send an order to a machine, and retry until it is carried out or rejected.
    SendOrder(Box<OrderToSend>),
    /// Send an order to a server of the gateway, unless [`ControlNode::may_send_group_order`](crate::ControlNode) denies it
    /// by then.
    SendGroupOrder(Box<GroupOrder>),
    /// Probe an instance.
    Probe(InstanceProbe),
    /// The voters that have to be reachable from now on.
    VotersChanged(Vec<Voter>),
    /// Announce to daemons that this node leads; may be lost.
    AnnounceLeader {
        /// Their peer addresses.
        to: Vec<SocketAddr>,
        /// The term in which it leads.
        term: Term,
    },
    /// Record an event in the timeline.
    Record {
        /// The event.
        event: TimelineEvent,
        /// The revision that caused it.
        revision: Option<u64>,
    },
    /// A revision changed these resources.
    Touched {
        /// The revision.
        revision: u64,
        /// The resources.
        keys: Vec<ResourceKey>,
    },
    /// The whole state was replaced.
    Restored {
        /// Its revision.
        revision: u64,
    },
    /// The known leader has changed.
    LeaderChanged {
        /// Peer address of the leader, if known.
        leader: Option<SocketAddr>,
        /// Whether this node leads.
        leads: bool,
    },
}
