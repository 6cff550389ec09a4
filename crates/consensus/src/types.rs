//! Types of the interface between the consensus core and its driver.

use crate::message::Message;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifies a member of the group; never reused with another data folder.
pub type NodeId = u64;
/// A Raft term.
pub type Term = u64;
/// A position in the log, starting from 1; 0 precedes the first entry.
pub type LogIndex = u64;
/// Monotonic time of this process, in milliseconds.
pub type Millis = u64;

/// A voting member of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// Node id.
    pub id: NodeId,
    /// Network address; opaque to the core, which only passes it on.
    pub address: SocketAddr,
}

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No-op appended by a new leader, so that it can commit the entries of earlier terms.
    Empty,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The voters in effect from this entry on.
    Voters(Vec<Voter>),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: LogIndex,
    /// The term in which a leader appended it.
    pub term: Term,
    /// Payload.
    pub payload: Payload,
}

impl Entry {
    /// Size of the payload, in bytes.
    pub fn payload_bytes(&self) -> usize {
        let payload = &self.payload;
        match payload {
            Payload::Empty => 0,
            Payload::Voters(voters) => std::mem::size_of_val(voters.as_slice()),
            Payload::Command(bytes) => bytes.len(),
        }
    }
}

/// Persistent state besides the log: without it a node could vote twice in one term after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term seen.
    pub term: Term,
    /// The candidate that this node voted for in that term.
    pub voted_for: Option<NodeId>,
}

/// State that a driver read from disk, from which a node is built.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// The stored hard state.
    pub hard_state: HardState,
    /// Index of the last entry that the stored snapshot covers; 0 without a snapshot.
    pub snapshot_index: LogIndex,
    /// Term of that entry.
    pub snapshot_term: Term,
    /// Contiguous entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The voters recorded in the snapshot; `None` if the membership never changed, so that those in the settings apply.
    pub voters: Option<Vec<Voter>>,
}

/// Constant parameters of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Id of this node.
    pub id: NodeId,
    /// The initial voters of the group; empty on a node that waits to be added.
    pub voters: Vec<NodeId>,
    /// Minimum time without a leader before an election; with jitter, the maximum is twice that.
    pub election_timeout_ms: Millis,
    /// Interval between a leader's heartbeats.
    pub heartbeat_ms: Millis,
    /// Maximum payload bytes in one append message; a single larger entry is still sent.
    pub max_message_bytes: usize,
    /// Seed for the jitter of election timeouts.
    pub seed: u64,
}

/// An event passed in by the driver.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived.
    Receive(Message),
    /// Commands to append; ignored unless this node is the leader.
    Propose(Vec<Vec<u8>>),
    /// An earlier [`Output::Persist`] is synced up to this index of this term.
    Persisted {
        /// Index of the last synced entry.
        index: LogIndex,
        /// Term of the entry at that index.
        term: Term,
    },
    /// Replaces the voters; exactly one may be added or removed. Ignored unless this node is the leader and the previous
    /// change is committed.
    ChangeVoters(Vec<Voter>),
    /// Requests a read index; answered by [`Output::ReadReady`] if this node is the leader.
    Read {
        /// Request id chosen by the driver.
        id: u64,
    },
    /// A snapshot up to this index is stored; the log up to it may be compacted.
    Compact {
        /// Index of the last entry that the snapshot covers.
        index: LogIndex,
    },
    /// The reply to [`Output::SnapshotNeeded`].
    SnapshotLoaded {
        /// The follower that needs compacted entries.
        to: NodeId,
        /// Index of the last entry that the snapshot covers.
        index: LogIndex,
        /// Term of that entry.
        term: Term,
        /// Content of the snapshot.
        data: Vec<u8>,
    },
}

/// An action for the driver. Outputs are executed in order, and a `Persist` or `Restore` is synced before any later
/// output of the same step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Stores the hard state, removes stored entries from the index of the first of `entries` on, and appends `entries`.
    Persist {
        /// Set if it changed.
        hard_state: Option<HardState>,
        /// May be empty.
        entries: Vec<Entry>,
    },
    /// Sends a message, which may be lost.
    Send(Message),
    /// Committed entries, to be applied in order.
    Commit(Vec<Entry>),
    /// Replaces the state machine, the stored snapshot and the whole log by this snapshot.
    Restore {
        /// Index of the last entry that it covers.
        index: LogIndex,
        /// Term of that entry.
        term: Term,
        /// Content of the snapshot.
        data: Vec<u8>,
    },
    /// Requests the newest stored snapshot, to be passed in as [`Input::SnapshotLoaded`].
    SnapshotNeeded {
        /// The follower that needs compacted entries.
        to: NodeId,
    },
    /// A read is linearizable once the state machine has applied `index`.
    ReadReady {
        /// Request id from [`Input::Read`].
        id: u64,
        /// Index to wait for.
        index: LogIndex,
    },
    /// The voters according to the newest voters entry of the log; the driver must be able to reach each from now on.
    VotersChanged(Vec<Voter>),
    /// The role or the known leader may have changed.
    RoleChanged {
        /// The current role.
        role: RoleName,
        /// The current term.
        term: Term,
        /// The leader of this term, if known.
        leader: Option<NodeId>,
    },
}

/// The role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RoleName {
    /// Follows a leader, or waits for one to be elected.
    Follower,
    /// Requests votes.
    Candidate,
    /// Leader of the current term.
    Leader,
}
