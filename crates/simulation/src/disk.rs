//! A voter's disk: synced data survives a crash, unsynced data does not.

use dockwood_consensus::{Entry, HardState, Recovered};
use dockwood_control::StoredSnapshot;
use dockwood_state::State;

/// Content of a data directory.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    hard_state: HardState,
    snapshot: Option<(u64, u64, Vec<u8>)>,
    entries: Vec<Entry>,
    /// Injected defect: entries are acknowledged without a sync, and lost in a crash.
    pub skips_sync: bool,
    /// Injected defect: the hard state is never written.
    pub drops_hard_state: bool,
    unsynced: Vec<Entry>,
}

impl Disk {
    /// Appends and syncs.
    pub fn persist(&mut self, hard_state: Option<HardState>, entries: Vec<Entry>) {
        if let Some(hard_state) = hard_state.filter(|_| !self.drops_hard_state) {
            self.hard_state = hard_state;
        }
        if self.skips_sync {
            self.unsynced.extend(entries);
            return;
        }
        for entry in entries {
            self.entries.retain(|earlier| earlier.index < entry.index);
            self.entries.push(entry);
        }
    }

    /// Replaces the snapshot and the log.
    pub fn store_snapshot(&mut self, snapshot: StoredSnapshot) {
        self.snapshot = Some((snapshot.index, snapshot.term, snapshot.data));
        if !self.drops_hard_state {
            self.hard_state = snapshot.hard_state;
        }
        self.entries = snapshot.entries;
        self.unsynced.clear();
    }

    /// Returns the state that a process recovers after a crash.
    pub fn recover(&mut self) -> (State, Recovered) {
        self.unsynced.clear();
        let state =
            self.snapshot.as_ref().and_then(|(_, _, data)| State::decode(data).ok()).unwrap_or_default();
        let (snapshot_index, snapshot_term) =
            self.snapshot.as_ref().map_or((0, 0), |(index, term, _)| (*index, *term));
        let entries = self.entries.iter().filter(|entry| entry.index > snapshot_index).cloned().collect();
        let voters = (!state.voters.is_empty()).then(|| dockwood_control::voters_of(&state));
        let hard_state = self.hard_state;
        let recovered = Recovered { hard_state, snapshot_index, snapshot_term, entries, voters };
        (state, recovered)
    }
}
