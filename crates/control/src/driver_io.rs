//! What crosses the border between the control logic and its driver. `R` is whatever the driver answers a
//! waiting caller by.

use crate::account::Account;
use crate::gateway::InstanceProbe;
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

/// One reading of the clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic milliseconds of this process.
    pub monotonic: Millis,
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// A lease as granted by the leader.
#[derive(Clone, Debug)]
pub struct GrantedLease {
    /// Newest revision in force everywhere.
    pub in_force_revision: u64,
    /// What this daemon lacked.
    pub content: LeaseContent,
}

/// What happened.
#[derive(Debug)]
pub enum Input<R> {
    /// Time passed.
    Tick,
    /// The thread that takes calls is at work: sent every [`PULSE_EVERY_MS`](crate::PULSE_EVERY_MS), the way that calls
    /// take.
    Pulse,
    /// Messages of the consensus group.
    Consensus(Vec<Message>),
    /// Encoded commands to commit, each with its caller. Those given together share one synced write.
    Submit(Vec<(Vec<u8>, R)>),
    /// A daemon asks for its lease.
    Lease(LeaseRequest, R),
    /// A voter reports which daemons have asked it for leases.
    Delegate(Vec<DelegatedRequest>, R),
    /// What came of [`Output::DelegateLeases`].
    Delegated {
        /// Number of the message.
        number: u64,
        /// `None` if there was no answer in time.
        answer: Option<DelegationAnswer>,
    },
    /// A daemon reports its findings to the leader of a term.
    Observe(Term, Vec<Observation>, R),
    /// Somebody asks for the leader's view.
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
    /// A server reports; answered like a submitted command.
    Register(InstanceReport, R),
    /// An entry reports its load.
    ExchangeLoad(LoadReport, R),
    /// An entry asks for a place at a group.
    AssignPlace(PlaceRequest, R),
    /// The servers that have named limits for some time, all of them.
    ServerLimits(Vec<ServerLimit>),
    /// A server answered a group order, or did not.
    GroupOrderAnswered(GroupOrder, OrderAnswer),
    /// An instance was asked.
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
        id: NodeId,
        /// Its peer address.
        address: SocketAddr,
        /// Its zone.
        zone: String,
        /// For the answer.
        reply: R,
    },
    /// The voters as the leader sent them.
    LearnVoters(Vec<VoterRecord>),
    /// Somebody asks for the revision at which a read is current.
    ReadRevision(R),
    /// A daemon that lags asks for a copy of the state.
    CopyState(R),
    /// Machines that the platform is about to take away.
    Leaving(BTreeSet<String>),
    /// An earlier [`Output::Persist`] is synced up to this entry.
    Persisted {
        /// Index of the last synced entry.
        index: LogIndex,
        /// Its term.
        term: Term,
    },
}

/// A snapshot with what remains of the log after it.
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
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// An order on its way to a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderToSend {
    /// The order.
    pub order: OrderRow,
    /// The machine's engine.
    pub address: SocketAddr,
    /// Whether the machine refuses orders below its highest fence.
    pub checks_fences: bool,
    /// Until when this daemon surely leads; a machine that doesn't check fences gets nothing after that.
    pub lease_until: Millis,
}

/// What the driver has to do, in order. What must survive is synced before any later output is carried out.
#[derive(Debug)]
pub enum Output<R> {
    /// Append to the log and sync; then give [`Input::Persisted`] for the last entry, if there is one.
    Persist {
        /// Set when it changed.
        hard_state: Option<HardState>,
        /// Entries; the first replaces any stored entry of its index or above.
        entries: Vec<Entry>,
    },
    /// Store the snapshot and replace the log.
    StoreSnapshot(StoredSnapshot),
    /// Send to a member of the group; may be lost.
    Send(Message),
    /// Answer a submitted command.
    SubmitReply(R, SubmitReply),
    /// Answer a lease request; the driver puts its clock's stamp in.
    LeaseReply(R, LeaseAnswer),
    /// Report to the leader which daemons have asked this voter for leases; answered by [`Input::Delegated`] in any case.
    DelegateLeases {
        /// The leader's peer address.
        leader: SocketAddr,
        /// Number of the message.
        number: u64,
        /// What they asked.
        requests: Vec<DelegatedRequest>,
    },
    /// Answer a voter that grants leases.
    DelegationReply(R, DelegationAnswer),
    /// Answer an observation.
    ObserveReply(R, bool),
    /// Answer an entry's load; `None` if this node does not lead.
    LoadReply(R, Option<LoadDigest>),
    /// To an entry that asked for a place; `None` if this node does not lead.
    PlaceReply(R, Option<PlaceReply>),
    /// Answer a process that asks to become a voter.
    AdmitReply(R, AdmitAnswer),
    /// Answer a request for the revision of a current read.
    ReadReply(R, ReadAnswer),
    /// Answer a daemon that asked for a copy of the state; `None` if there is none yet.
    CopyReply(R, Option<Vec<u8>>),
    /// Answer a view.
    ViewReply(R, ControlAnswer),
    /// Send an order to a machine, and follow it until it is carried out or refused.
    SendOrder(Box<OrderToSend>),
    /// Send an order to a server of the gateway.
    SendGroupOrder(Box<GroupOrder>),
    /// Ask an instance whether it is alive.
    Probe(InstanceProbe),
    /// Voters that must be reachable from now on.
    VotersChanged(Vec<Voter>),
    /// Announce to daemons that this node leads; may be lost.
    AnnounceLeader {
        /// Their peer addresses.
        to: Vec<SocketAddr>,
        /// The term in which it leads.
        term: Term,
    },
    /// Record a change of state.
    Record {
        /// The event.
        account: Account,
        /// The revision that led to it.
        revision: Option<u64>,
    },
    /// A revision touched these resources.
    Touched {
        /// The revision.
        revision: u64,
        /// The resources.
        keys: Vec<ResourceKey>,
    },
    /// The state was replaced as a whole.
    Restored {
        /// Its revision.
        revision: u64,
    },
    /// The leader that this node knows of, and whether it is this node.
    LeaderChanged {
        /// Peer address.
        leader: Option<SocketAddr>,
        /// Whether this node leads.
        leads: bool,
    },
}
