//! Messages between the nodes of a Raft group.

use crate::types::{Entry, LogIndex, Millis, NodeId, Term};
use serde::{Deserialize, Serialize};

/// A message with its routing and its sender's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Id of the sender.
    pub from: NodeId,
    /// Id of the receiver.
    pub to: NodeId,
    /// The sender's term; for a pre-vote, the term in which it would campaign.
    pub term: Term,
    /// Content.
    pub body: Body,
}

impl Message {
    /// Size of the payload in bytes, used to limit how much is sent in one batch.
    pub fn payload_bytes(&self) -> usize {
        match &self.body {
            Body::Append { entries, .. } => entries.iter().map(Entry::payload_bytes).sum(),
            Body::Snapshot { data, .. } => data.len(),
            _ => 0,
        }
    }
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a pre-vote, or the vote itself if `binding`.
    VoteRequest {
        /// False for a pre-vote, which changes no state on the receiver.
        binding: bool,
        /// Index of the last entry in the sender's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Copied from the request.
        binding: bool,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates entries; a heartbeat carries none.
    Append {
        /// Index of the entry that precedes `entries`.
        previous_index: LogIndex,
        /// Term of that preceding entry.
        previous_term: Term,
        /// Entries to append.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// Echoed in the reply.
        probe: Probe,
    },
    /// Reply to an append or a snapshot.
    AppendReply {
        /// Whether the log matched at `previous_index`.
        matched: bool,
        /// If matched, the last index known to match; otherwise the index after which the leader should retry.
        index: LogIndex,
        /// Copied from the message that is answered.
        probe: Probe,
    },
    /// A complete snapshot, for a follower that needs compacted entries.
    Snapshot {
        /// Index of the last entry that the snapshot covers.
        index: LogIndex,
        /// Term of that entry.
        term: Term,
        /// Content of the snapshot.
        data: Vec<u8>,
        /// Echoed in the reply.
        probe: Probe,
    },
}

/// Identifies the message that a reply answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Incremented with each broadcast; confirms reads.
    pub round: u64,
    /// The leader's clock when it sent the message; a reply extends its lease from this time.
    pub sent_at: Millis,
}
