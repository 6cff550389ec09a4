//! Cluster membership: the newest voters entry of the log is in effect from the moment it is appended, committed or
//! not, as in the Raft dissertation. One voter is added or removed at a time, so that any majority of the old voters
//! and any majority of the new ones overlap.

use crate::types::{LogIndex, NodeId, Voter};

/// The voters according to the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct Membership {
    /// Voters according to the snapshot, or the initial voters of the group.
    base: Vec<NodeId>,
    /// Index and voters of each voters entry after the snapshot.
    changes: Vec<(LogIndex, Vec<NodeId>)>,
}

fn ids(voters: &[Voter]) -> Vec<NodeId> {
    voters.iter().map(|voter| voter.id).collect()
}

impl Membership {
    pub fn new(base: Vec<NodeId>) -> Self {
        Membership { base, changes: Vec::new() }
    }

    /// The voters in effect.
    pub fn voters(&self) -> &[NodeId] {
        self.changes.last().map_or(&self.base, |(_, voters)| voters)
    }

    pub fn contains(&self, id: NodeId) -> bool {
        self.voters().contains(&id)
    }

    /// Number of votes or acknowledgements that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().len() / 2 + 1
    }

    /// Records a voters entry that was appended.
    pub fn record_append(&mut self, index: LogIndex, voters: &[Voter]) {
        self.changes.push((index, ids(voters)));
    }

    /// Discards the changes of entries from `index` on, which were truncated.
    pub fn truncate_from(&mut self, index: LogIndex) {
        self.changes.retain(|(changed_at, _)| *changed_at < index);
    }

    /// Merges the changes of entries up to `index`, which a snapshot covers, into the base.
    pub fn compact_to(&mut self, index: LogIndex) {
        while self.changes.first().is_some_and(|(changed_at, _)| *changed_at <= index) {
            self.base = self.changes.remove(0).1;
        }
    }

    /// Replaces all voters by those of a snapshot that replaced the log.
    pub fn reset(&mut self, voters: &[Voter]) {
        *self = Membership::new(ids(voters));
    }

    /// Index of the newest change, 0 if the snapshot covers it.
    pub fn last_change_index(&self) -> LogIndex {
        self.changes.last().map_or(0, |(index, _)| *index)
    }
}
