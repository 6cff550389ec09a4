//! The part of the log that is kept in memory: all entries after the snapshot.

use crate::types::{Entry, LogIndex, Payload, Recovered, Term};

/// Entries after a snapshot, without gaps.
#[derive(Clone, Debug, Default)]
pub struct EntryLog {
    snapshot_index: LogIndex,
    snapshot_term: Term,
    entries: Vec<Entry>,
}

impl EntryLog {
    /// The log as it was read from disk.
    pub fn recovered(recovered: &Recovered) -> Self {
        EntryLog {
            snapshot_index: recovered.snapshot_index,
            snapshot_term: recovered.snapshot_term,
            entries: recovered.entries.clone(),
        }
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.snapshot_index + self.entries.len() as LogIndex
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot_term, |entry| entry.term)
    }

    /// The last index that the snapshot covers.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot_index
    }

    /// Term of the entry at `index`, if the log still knows it.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot_index {
            return Some(self.snapshot_term);
        }
        self.position(index).map(|position| self.entries[position].term)
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let position = index.checked_sub(self.snapshot_index + 1)? as usize;
        (position < self.entries.len()).then_some(position)
    }

    /// Appends a leader's own entry and returns it.
    pub fn append(&mut self, term: Term, payload: Payload) -> Entry {
        let entry = Entry { index: self.last_index() + 1, term, payload };
        self.entries.push(entry.clone());
        entry
    }

    /// Takes a leader's entries, dropping own entries from the first conflict on. Returns the entries that
    /// are new here and must be persisted. Entries that match are left alone: a late, shorter message must
    /// not cut what a newer one appended.
    pub fn merge(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let mut fresh = Vec::new();
        for entry in entries {
            if entry.index <= self.snapshot_index {
                continue;
            }
            if fresh.is_empty() && self.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if let Some(position) = self.position(entry.index) {
                self.entries.truncate(position);
            }
            self.entries.push(entry.clone());
            fresh.push(entry);
        }
        fresh
    }

    /// Entries of `from..=to` that are in memory, up to about `max_bytes` of payload but at least one.
    pub fn slice(&self, from: LogIndex, to: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let Some(start) = self.position(from) else { return Vec::new() };
        let mut bytes = 0;
        let mut taken = Vec::new();
        for entry in &self.entries[start..] {
            if entry.index > to || (bytes >= max_bytes && !taken.is_empty()) {
                break;
            }
            bytes += entry.payload_bytes();
            taken.push(entry.clone());
        }
        taken
    }

    /// Drops entries up to `index`, which a snapshot covers.
    pub fn compact(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else { return };
        let dropped = (index - self.snapshot_index) as usize;
        self.entries.drain(..dropped);
        self.snapshot_index = index;
        self.snapshot_term = term;
    }

    /// Forgets everything for a snapshot from the leader.
    pub fn reset(&mut self, index: LogIndex, term: Term) {
        self.entries.clear();
        self.snapshot_index = index;
        self.snapshot_term = term;
    }
}
