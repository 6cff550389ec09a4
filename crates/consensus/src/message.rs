//! Messages between the nodes of a group.

use crate::types::{Entry, LogIndex, Millis, NodeId, Term};
use serde::{Deserialize, Serialize};

/// A message with its sender's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub from: NodeId,
    /// Receiver.
    pub to: NodeId,
    /// The sender's term, or for a pre-vote the term it would campaign in.
    pub term: Term,
    /// Content.
    pub body: Body,
}

impl Message {
    /// Size of what it carries, in bytes, for bounding what is sent together.
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
    /// Asks whether a vote would be granted, or (when `binding`) for the vote itself.
    VoteRequest {
        /// False for a pre-vote, which changes no state at the receiver.
        binding: bool,
        /// The sender's last index.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answer to a vote request.
    VoteReply {
        /// Repeats the request's.
        binding: bool,
        /// The vote.
        granted: bool,
    },
    /// Entries, or none as a heartbeat.
    Append {
        /// Index before the first entry.
        previous_index: LogIndex,
        /// Term of the entry there.
        previous_term: Term,
        /// What to append.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// Echoed by the reply.
        probe: Probe,
    },
    /// Answer to an append or a snapshot.
    AppendReply {
        /// Whether the log matched at `previous_index`.
        matched: bool,
        /// If matched, the last index known to match; else where to try next.
        index: LogIndex,
        /// From the append.
        probe: Probe,
    },
    /// A whole snapshot, for a follower that lacks compacted entries.
    Snapshot {
        /// Last index covered.
        index: LogIndex,
        /// Term of that entry.
        term: Term,
        /// The snapshot.
        data: Vec<u8>,
        /// Echoed by the reply.
        probe: Probe,
    },
}

/// Lets a leader tell which of its messages a reply answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Grows with each round of messages; confirms reads.
    pub round: u64,
    /// The leader's clock when it sent the message; extends its lease.
    pub sent_at: Millis,
}
