//! Control plane messages: leases, configuration deltas, observations and submitted commands.
//!
//! Commands and state snapshots are sent as encoded bytes, so that this crate doesn't depend on the state
//! machine.

use crate::code::ResultCode;
use crate::digest::content_digest;
use crate::event::ClockStamp;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A daemon's location and addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRecord {
    /// Unique name.
    pub name: String,
    /// Address for callers and operators (HTTP).
    pub http: SocketAddr,
    /// Peer address, for other daemons (`tarpc`).
    pub peer: SocketAddr,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Address for callers of the gateway, if it serves them.
    pub frontend: Option<SocketAddr>,
    /// Address for operators and for registrations of servers, if it serves them.
    pub operators: Option<SocketAddr>,
}

/// State of a machine as observed by a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MachineState {
    /// The machine responds.
    Alive {
        /// Epoch for which it is loaded; 0 if free.
        epoch: u64,
        /// Whether the weights are in memory.
        loaded: bool,
        /// Digest of the name of the replica for which it is loaded; 0 if free.
        replica_digest: u64,
    },
    /// The machine refuses connections: the process has ended.
    Refusing,
    /// The machine doesn't respond within the probe timeout: it is suspended, partitioned or overloaded.
    Silent,
}

impl MachineState {
    /// Creates the state of a responding machine that is loaded for a replica, or for none.
    pub fn alive(loaded_for: Option<(&str, u64)>) -> MachineState {
        let (replica_digest, epoch) =
            loaded_for.map_or((0, 0), |(replica, epoch)| (content_digest(replica.as_bytes()), epoch));
        MachineState::Alive { epoch, loaded: loaded_for.is_some(), replica_digest }
    }
}

/// An observation reported to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// A prober's observation of a machine.
    Machine {
        /// Server resource name.
        server: String,
        /// Observed state.
        state: MachineState,
    },
    /// A coordinator's statement that a draining replica has no requests in flight and receives no new ones.
    ReplicaIdle {
        /// Replica resource name.
        replica: String,
        /// Epoch to which the statement applies.
        epoch: u64,
    },
}

/// A daemon's request for a configuration lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The requesting daemon.
    pub daemon: DaemonRecord,
    /// Distinguishes runs of the same daemon.
    pub incarnation: u64,
    /// The revision that the daemon has applied; the deltas in the response start after it.
    pub applied_revision: u64,
    /// The newest revision that the daemon knows to be in force everywhere.
    pub in_force_revision: u64,
    /// Whether the response should contain commands. False for voters, which receive them through the log.
    pub wants_commands: bool,
    /// Whether the daemon is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Whether to respond immediately instead of holding the request until there is a notification, because the
    /// daemon has no valid lease.
    pub at_once: bool,
    /// Number of requests in flight at the daemon.
    pub in_flight: u32,
    /// The daemon's clock, so that events are ordered by causality.
    pub stamp: ClockStamp,
}

/// A command with the revision that it produced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisedCommand {
    /// The revision.
    pub revision: u64,
    /// The encoded command, compressed.
    pub command: Vec<u8>,
}

/// State update that is sent with a granted lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseContent {
    /// The commands after the daemon's `applied_revision`.
    Commands {
        /// Commands in the order of their revisions, except those that don't affect the daemon.
        commands: Vec<RevisedCommand>,
        /// The daemon's revision after applying them.
        through: u64,
    },
    /// The encoded and compressed state, if the commands are no longer retained.
    Snapshot(Vec<u8>),
    /// The state has to be fetched from another daemon with [`Peer::fetch_state`](super::Peer::fetch_state).
    Fetch {
        /// Peer address of that daemon.
        from: SocketAddr,
    },
}

/// Response to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseAnswer {
    /// The lease is granted. It is valid for the lease duration from the time at which the request was sent.
    Granted {
        /// Term of the leader.
        term: u64,
        /// The leader's peer address, if known to the responding voter, which may act on behalf of the leader.
        leader: Option<SocketAddr>,
        /// Peer address of the voter that the daemon should ask next; `None` for the responding one.
        ask_next: Option<SocketAddr>,
        /// Newest revision at the responding voter; the lease takes effect once the daemon has applied it.
        revision: u64,
        /// Newest revision that is in force everywhere.
        in_force_revision: u64,
        /// State that the daemon has not applied yet.
        content: LeaseContent,
        /// The leader's clock.
        stamp: ClockStamp,
    },
    /// This daemon is not the leader.
    NotLeader {
        /// The leader's peer address.
        leader: Option<SocketAddr>,
    },
}

/// A daemon's lease request, as reported to the leader by the voter that grants the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedRequest {
    /// Name of the daemon.
    pub daemon: String,
    /// Record of the daemon, if it differs from the one in the tables.
    pub record: Option<DaemonRecord>,
    /// Distinguishes runs of the same daemon.
    pub incarnation: u64,
    /// The revision that the daemon has applied.
    pub applied_revision: u64,
    /// Whether the daemon is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Number of requests in flight at the daemon.
    pub in_flight: u32,
}

/// Response to [`DelegatedRequest`]s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DelegationAnswer {
    /// From now on, the leader takes the leases of these daemons into account.
    Noted {
        /// Term of the leader.
        term: u64,
        /// Newest revision of the leader, which each of the leases must cover.
        revision: u64,
        /// Newest revision that is in force everywhere.
        in_force_revision: u64,
    },
    /// This daemon is not the leader.
    NotLeader {
        /// The leader's peer address.
        leader: Option<SocketAddr>,
    },
}

/// Response to a submitted command or a registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// The command was committed and applied.
    Applied {
        /// The revision at which the outcome can be read.
        revision: u64,
        /// Encoded outcome from the state machine.
        outcome: Vec<u8>,
    },
    /// This daemon is not the leader.
    NotLeader {
        /// The leader's peer address.
        leader: Option<SocketAddr>,
    },
    /// The command was not committed, or it is unknown whether it was.
    Failed {
        /// Result code.
        code: ResultCode,
        /// Human-readable message.
        message: String,
    },
}

/// Response to a query for the revision at which a read is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadAnswer {
    /// A daemon that has applied this revision reads no state older than what has been acknowledged.
    Current {
        /// The revision.
        revision: u64,
    },
    /// This daemon is not the leader.
    NotLeader {
        /// The leader's peer address.
        leader: Option<SocketAddr>,
    },
}

/// Response to a query for the newest configuration document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentAnswer {
    /// The newest document that had been acknowledged when it was read.
    Current {
        /// The document as sent by the operator; empty if no configuration has been accepted yet.
        document: Vec<u8>,
    },
    /// This daemon is not the leader, or doesn't know the newest document at the moment.
    NotLeader {
        /// The leader's peer address.
        leader: Option<SocketAddr>,
    },
}

/// A voter of the control group, as sent to a process that requests to become one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterRecord {
    /// Id of the voter.
    pub id: u64,
    /// Peer address of the voter.
    pub address: SocketAddr,
}

/// Response to a process that requests to become a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmitAnswer {
    /// The leader has recorded the request. Contains the current voters, so that the new one can contact them.
    Noted(Vec<VoterRecord>),
    /// This daemon is not the leader.
    NotLeader {
        /// The leader's peer address.
        leader: Option<SocketAddr>,
    },
}

/// Response to a query for the leader's view, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlAnswer {
    /// The view.
    View(Vec<u8>),
    /// This daemon is not the leader.
    NotLeader {
        /// The leader's peer address.
        leader: Option<SocketAddr>,
    },
}
