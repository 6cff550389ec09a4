//! The in-memory part of the log: all entries after the snapshot.

use crate::types::{Entry, LogIndex, Payload, Recovered, Term};

/// Contiguous entries after a snapshot.
#[derive(Clone, Debug, Default)]
pub struct EntryLog {
    snapshot_index: LogIndex,
    snapshot_term: Term,
    entries: Vec<Entry>,
}

impl EntryLog {
    /// Builds the log from what was read from disk.
    pub fn from_recovered(recovered: &Recovered) -> Self {
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

    /// Index of the last entry that the snapshot covers.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot_index
    }

    /// Term of the entry at `index`, if it is in memory or the last one that the snapshot covers.
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

    /// Appends an entry on the leader and returns it.
    pub fn append(&mut self, term: Term, payload: Payload) -> Entry {
        let entry = Entry { index: self.last_index() + 1, term, payload };
        self.entries.push(entry.clone());
        entry
    }

    /// Appends a leader's entries on a follower, truncating its own log at the first conflict. Returns the new entries,
    /// which must be persisted. Matching entries are kept: a delayed, shorter message must not truncate what a newer
    /// one appended.
    pub fn merge(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let mut appended = Vec::new();
        for entry in entries {
            if entry.index <= self.snapshot_index {
                continue;
            }
            if appended.is_empty() && self.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if let Some(position) = self.position(entry.index) {
                self.entries.truncate(position);
            }
            self.entries.push(entry.clone());
            appended.push(entry);
        }
        appended
    }

    /// Entries of `from..=to` that are in memory, limited to about `max_bytes` of payload but at least one.
    pub fn slice(&self, from: LogIndex, to: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let Some(start) = self.position(from) else { return Vec::new() };
        let mut bytes = 0;
        let mut selected = Vec::new();
        for entry in &self.entries[start..] {
            if entry.index > to || (bytes >= max_bytes && !selected.is_empty()) {
                break;
            }
            bytes += entry.payload_bytes();
            selected.push(entry.clone());
        }
        selected
    }

    /// Total payload of the entries after `index` that are in memory, in bytes.
    pub fn payload_bytes_after(&self, index: LogIndex) -> u64 {
        let newer = self.entries.iter().rev().take_while(|entry| entry.index > index);
        newer.map(|entry| entry.payload_bytes() as u64).sum()
    }

    /// Removes the entries up to `index`, which a snapshot covers.
    pub fn compact(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else { return };
        let count = (index - self.snapshot_index) as usize;
        self.entries.drain(..count);
        self.snapshot_index = index;
        self.snapshot_term = term;
    }

    /// Replaces the whole log by a snapshot from the leader.
    pub fn reset(&mut self, index: LogIndex, term: Term) {
        self.entries.clear();
        self.snapshot_index = index;
        self.snapshot_term = term;
    }
}
