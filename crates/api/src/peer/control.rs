//! Messages of the control plane: leases, configuration deltas, observations and submitted commands.
//!
//! Commands and state snapshots travel as encoded bytes, so that this crate needs no knowledge of the state
//! machine above it.

use crate::code::ResultCode;
use crate::digest::content_digest;
use crate::event::ClockStamp;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Where a daemon stands and listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRecord {
    /// Unique name.
    pub name: String,
    /// Address for callers and operators (HTTP).
    pub http: SocketAddr,
    /// Address for other daemons (`tarpc`).
    pub peer: SocketAddr,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Where it takes the gateway's callers, if it does.
    pub frontend: Option<SocketAddr>,
    /// Where it takes operators and registering servers, if it does.
    pub operators: Option<SocketAddr>,
}

/// What a daemon found out about one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MachineState {
    /// It answers.
    Alive {
        /// Epoch that it is loaded for; 0 when free.
        epoch: u64,
        /// Weights are in memory.
        loaded: bool,
        /// Digest of the name of the replica that it is loaded for; 0 when free.
        replica_digest: u64,
    },
    /// It refuses connections: the process is gone.
    Refusing,
    /// It does not answer within the probe time-out: paused, cut off or overloaded.
    Silent,
}

impl MachineState {
    /// An answering machine that is loaded for a replica, or for none.
    pub fn alive(loaded_for: Option<(&str, u64)>) -> MachineState {
        let (replica_digest, epoch) =
            loaded_for.map_or((0, 0), |(replica, epoch)| (content_digest(replica.as_bytes()), epoch));
        MachineState::Alive { epoch, loaded: loaded_for.is_some(), replica_digest }
    }
}

/// One finding, as reported to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// A prober's word on one machine.
    Machine {
        /// Server resource name.
        server: String,
        /// What was found.
        state: MachineState,
    },
    /// A coordinator's word that a draining replica has nothing in flight and gets nothing new.
    ReplicaIdle {
        /// Replica resource name.
        replica: String,
        /// The epoch that this speaks of.
        epoch: u64,
    },
}

/// A daemon's request for its configuration lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Who asks.
    pub daemon: DaemonRecord,
    /// Distinguishes restarts of one daemon.
    pub incarnation: u64,
    /// The revision that this daemon has applied; the answer's deltas start after it.
    pub applied_revision: u64,
    /// The newest revision that this daemon knows to be in force everywhere.
    pub in_force_revision: u64,
    /// False at voters, which get the commands by the log itself.
    pub wants_commands: bool,
    /// The daemon is stopping and takes no new work.
    pub leaving: bool,
    /// The answer is not to be held until there is news: the daemon has no lease that it may rely on.
    pub at_once: bool,
    /// Requests in flight at this daemon.
    pub in_flight: u32,
    /// The daemon's clock, so that events sort by cause.
    pub stamp: ClockStamp,
}

/// A command with the revision that it made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisedCommand {
    /// The revision.
    pub revision: u64,
    /// The encoded command, compressed.
    pub command: Vec<u8>,
}

/// What a granted lease brings along.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseContent {
    /// What the daemon lacks after its `applied_revision`.
    Commands {
        /// Commands in the order of their revisions, without those that change nothing for the daemon.
        commands: Vec<RevisedCommand>,
        /// The revision that the daemon has once it has applied them.
        through: u64,
    },
    /// An encoded state, compressed, where the commands are no longer retained.
    Snapshot(Vec<u8>),
    /// The state is to be fetched from another daemon, by [`Peer::fetch_state`](super::Peer::fetch_state).
    Fetch {
        /// Its peer address.
        from: SocketAddr,
    },
}

/// Answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseAnswer {
    /// The lease runs for the settings' lease time from the moment the request was sent.
    Granted {
        /// Leader's term.
        term: u64,
        /// The leader's peer address, if known to the voter that answers, which may do so in the leader's name.
        leader: Option<SocketAddr>,
        /// The voter that the daemon should ask next, by its peer address; `None`: the one that answers.
        ask_next: Option<SocketAddr>,
        /// Newest revision at the voter that answers; the lease counts once the daemon has applied it.
        revision: u64,
        /// Newest revision that is in force everywhere.
        in_force_revision: u64,
        /// What the daemon lacks.
        content: LeaseContent,
        /// The leader's clock.
        stamp: ClockStamp,
    },
    /// Ask there, if known.
    NotLeader {
        /// The leader's peer address.
        leader: Option<SocketAddr>,
    },
}

/// A daemon's request for a lease, as reported to the leader by the voter that grants it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedRequest {
    /// Name of the daemon.
    pub daemon: String,
    /// Its record, where that is not the one in the tables.
    pub record: Option<DaemonRecord>,
    /// Distinguishes restarts of one daemon.
    pub incarnation: u64,
    /// The revision that the daemon has applied.
    pub applied_revision: u64,
    /// The daemon is stopping and takes no new work.
    pub leaving: bool,
    /// Requests in flight at the daemon.
    pub in_flight: u32,
}

/// Answer to [`DelegatedRequest`]s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DelegationAnswer {
    /// The leader counts these daemons' leases from now on.
    Noted {
        /// Its term.
        term: u64,
        /// Its newest revision, which each of the leases must cover.
        revision: u64,
        /// Newest revision that is in force everywhere.
        in_force_revision: u64,
    },
    /// Ask there, if known.
    NotLeader {
        /// The leader's peer address.
        leader: Option<SocketAddr>,
    },
}

/// Answer to a submitted command or a control query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// Committed and applied: the revision it left and the encoded outcome.
    Applied {
        /// The revision at which the outcome can be read.
        revision: u64,
        /// Encoded outcome of the state machine.
        outcome: Vec<u8>,
    },
    /// Not the leader.
    NotLeader {
        /// The leader's peer address.
        leader: Option<SocketAddr>,
    },
    /// Not committed, or not known to be.
    Failed {
        /// Why.
        code: ResultCode,
        /// For people.
        message: String,
    },
}

/// Answer to a request for the revision at which a read is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadAnswer {
    /// A daemon that has applied this revision reads nothing older than what was acknowledged.
    Current {
        /// The revision.
        revision: u64,
    },
    /// Not the leader.
    NotLeader {
        /// The leader's peer address.
        leader: Option<SocketAddr>,
    },
}

/// Answer to a request for the newest configuration as the operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentAnswer {
    /// Nothing newer was acknowledged when it was read.
    Current {
        /// The document; empty if no configuration was accepted yet.
        document: Vec<u8>,
    },
    /// Not the leader, or not known at the moment.
    NotLeader {
        /// The leader's peer address.
        leader: Option<SocketAddr>,
    },
}

/// A voter of the control group, as sent to a process that asks to become one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterRecord {
    /// Its id.
    pub id: u64,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Answer to a process that asks to become a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmitAnswer {
    /// The leader has noted it. The voters as they are, so that the newcomer can talk to them.
    Noted(Vec<VoterRecord>),
    /// Not the leader.
    NotLeader {
        /// The leader's peer address.
        leader: Option<SocketAddr>,
    },
}

/// Answer to a control query: JSON of the leader's own view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlAnswer {
    /// The view.
    View(Vec<u8>),
    /// Not the leader.
    NotLeader {
        /// The leader's peer address.
        leader: Option<SocketAddr>,
    },
}
