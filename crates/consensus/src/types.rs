//! Values that cross the border between the core and its driver.

use crate::message::Message;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifies a member of the group; never reused for another data folder.
pub type NodeId = u64;
/// An election period.
pub type Term = u64;
/// A position in the log, from 1; 0 is before the first entry.
pub type LogIndex = u64;
/// Monotonic time of this process, in milliseconds.
pub type Millis = u64;

/// A member of the group that votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// Its id.
    pub id: NodeId,
    /// Where it is reached; the core only passes it on.
    pub address: SocketAddr,
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Appended by a new leader, so that it can commit what earlier terms left.
    Empty,
    /// A command of the state machine.
    Command(Vec<u8>),
    /// The voters from this entry on.
    Voters(Vec<Voter>),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub index: LogIndex,
    /// The term in which a leader appended it.
    pub term: Term,
    /// Its content.
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

/// What must survive a restart besides the log: losing it could let a node vote twice in one term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term seen.
    pub term: Term,
    /// Whom this node voted for in that term.
    pub voted_for: Option<NodeId>,
}

/// What a driver read from its disk before it built a node.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// The stored hard state.
    pub hard_state: HardState,
    /// Index of the last entry that the stored snapshot covers; 0 without one.
    pub snapshot_index: LogIndex,
    /// Term of that entry.
    pub snapshot_term: Term,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
    /// The voters that the snapshot names; `None` if the group never changed, so that the settings hold.
    pub voters: Option<Vec<Voter>>,
}

/// Fixed parameters of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node.
    pub id: NodeId,
    /// The voters with which the group began; empty at a node that waits to be admitted.
    pub voters: Vec<NodeId>,
    /// Shortest time without a leader before an election; the longest is twice that.
    pub election_timeout_ms: Millis,
    /// Time between a leader's messages to an idle follower.
    pub heartbeat_ms: Millis,
    /// Payload bytes in one append message, at most (a single larger entry still goes).
    pub max_message_bytes: usize,
    /// Seeds the jitter of election time-outs.
    pub seed: u64,
}

/// What happened, as told by the driver.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived.
    Receive(Message),
    /// Commands to append; dropped unless this node leads.
    Propose(Vec<Vec<u8>>),
    /// An earlier [`Output::Persist`] is synced up to this index of this term.
    Persisted {
        /// Last synced index.
        index: LogIndex,
        /// Term of the entry at that index.
        term: Term,
    },
    /// Replace the voters; at most one may be added or removed. Dropped unless this node leads and the last change
    /// is committed.
    ChangeVoters(Vec<Voter>),
    /// Ask for an index at which a read is current; answered by [`Output::ReadReady`] if this node leads.
    Read {
        /// Chosen by the driver.
        id: u64,
    },
    /// A snapshot up to this index is stored; the log before it may go.
    Compact {
        /// Last index that the snapshot covers.
        index: LogIndex,
    },
    /// The answer to [`Output::SnapshotNeeded`].
    SnapshotLoaded {
        /// The follower that lacks compacted entries.
        to: NodeId,
        /// Last index that the snapshot covers.
        index: LogIndex,
        /// Term of that entry.
        term: Term,
        /// The snapshot.
        data: Vec<u8>,
    },
}

/// What the driver has to do. Outputs are carried out in order, and a `Persist` or `Restore` is synced before
/// any later output of the same step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Store the hard state, drop stored entries from the first of `entries` on, and append `entries`.
    Persist {
        /// Set when it changed.
        hard_state: Option<HardState>,
        /// May be empty.
        entries: Vec<Entry>,
    },
    /// Send a message; it may be lost.
    Send(Message),
    /// These entries are committed: apply them in order.
    Commit(Vec<Entry>),
    /// Replace the state machine, the stored snapshot and the whole log by this snapshot.
    Restore {
        /// Last index that it covers.
        index: LogIndex,
        /// Term of that entry.
        term: Term,
        /// The snapshot.
        data: Vec<u8>,
    },
    /// Load the newest stored snapshot and answer by [`Input::SnapshotLoaded`].
    SnapshotNeeded {
        /// The follower that lacks compacted entries.
        to: NodeId,
    },
    /// A read is current once the state machine has applied `index`.
    ReadReady {
        /// From [`Input::Read`].
        id: u64,
        /// Index to wait for.
        index: LogIndex,
    },
    /// The voters by the newest entry of the log; each must be reachable from now on.
    VotersChanged(Vec<Voter>),
    /// The node's part changed.
    RoleChanged {
        /// Its new part.
        role: RoleName,
        /// Its term.
        term: Term,
        /// The leader it knows of.
        leader: Option<NodeId>,
    },
}

/// The part that a node plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RoleName {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads its term.
    Leader,
}
