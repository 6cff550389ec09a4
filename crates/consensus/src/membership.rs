//! Who votes: the newest voters entry of the log holds from the moment it is appended, committed or not, as the
//! Raft dissertation has it. One voter is added or removed at a time, so that any majority of the old voters and
//! any majority of the new ones share a node.

use crate::types::{LogIndex, NodeId, Voter};

/// The voters by the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct Membership {
    /// By the snapshot, or as the group began.
    base: Vec<NodeId>,
    /// Entries after the snapshot that changed them.
    changes: Vec<(LogIndex, Vec<NodeId>)>,
}

fn ids(voters: &[Voter]) -> Vec<NodeId> {
    voters.iter().map(|voter| voter.id).collect()
}

impl Membership {
    pub fn new(base: Vec<NodeId>) -> Self {
        Membership { base, changes: Vec::new() }
    }

    /// The voters that count now.
    pub fn voters(&self) -> &[NodeId] {
        self.changes.last().map_or(&self.base, |(_, voters)| voters)
    }

    pub fn contains(&self, id: NodeId) -> bool {
        self.voters().contains(&id)
    }

    /// Votes or acknowledgements that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().len() / 2 + 1
    }

    /// An entry was appended.
    pub fn appended(&mut self, index: LogIndex, voters: &[Voter]) {
        self.changes.push((index, ids(voters)));
    }

    /// Entries from `index` on were dropped.
    pub fn truncated(&mut self, index: LogIndex) {
        self.changes.retain(|(changed_at, _)| *changed_at < index);
    }

    /// Entries up to `index` are covered by a snapshot.
    pub fn compacted(&mut self, index: LogIndex) {
        while self.changes.first().is_some_and(|(changed_at, _)| *changed_at <= index) {
            self.base = self.changes.remove(0).1;
        }
    }

    /// A snapshot replaced the log.
    pub fn replaced(&mut self, voters: &[Voter]) {
        *self = Membership::new(ids(voters));
    }

    /// Index of the newest change, 0 if the snapshot covers it.
    pub fn last_change(&self) -> LogIndex {
        self.changes.last().map_or(0, |(index, _)| *index)
    }
}
