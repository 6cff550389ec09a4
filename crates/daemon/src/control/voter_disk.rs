//! Persistent storage of a voter: the log and the snapshot in its data folder.

use crate::metrics::Metrics;
use dockwood_api::{ApiError, ResultCode};
use dockwood_consensus::{Entry, HardState, Recovered};
use dockwood_control::{StoredSnapshot as ControlSnapshot, voters_of};
use dockwood_state::State;
use dockwood_storage::{DataFolder, RecordLog, StorageError, StoredSnapshot, load_snapshot, store_snapshot};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::path::Path;

quick_error! {
    /// Error that prevents a voter from starting.
    #[derive(Debug)]
    pub enum StartError {
        /// The data folder can't be opened.
        Storage(error: StorageError) {
            display("{}: {}", error.code_number(), error)
            from()
        }
        /// The content of the data folder can't be decoded.
        Content(error: ApiError) {
            display("{}", error)
            from()
        }
    }
}

/// One record of the log on disk.
#[derive(Debug, Serialize, Deserialize)]
enum StoredRecord {
    HardState(HardState),
    /// Replaces earlier records of entries with the same or a higher index.
    Entry(Entry),
}

impl StoredRecord {
    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// An open data folder.
pub struct VoterDisk {
    folder: DataFolder,
    log: RecordLog,
    metrics: Metrics,
}

/// The recovered content of a data folder.
pub struct RecoveredVoter {
    /// The data folder, open for writing.
    pub disk: VoterDisk,
    /// The state of the stored snapshot.
    pub state: State,
    /// Log and hard state for the consensus core.
    pub recovered: Recovered,
}

impl VoterDisk {
    /// Opens a data folder and reads its content.
    pub fn open(path: &Path, metrics: Metrics) -> Result<RecoveredVoter, StartError> {
        let folder = DataFolder::open(path)?;
        let snapshot = load_snapshot(&folder)?;
        let (log, records) = RecordLog::open(&folder)?;
        let state = match &snapshot {
            Some(snapshot) => State::decode(&snapshot.data)?,
            None => State::default(),
        };
        let mut recovered = recover(snapshot.as_ref(), &records)?;
        recovered.voters = (!state.voters.is_empty()).then(|| voters_of(&state));
        Ok(RecoveredVoter { disk: VoterDisk { folder, log, metrics }, state, recovered })
    }

    /// Returns the data folder.
    pub fn folder(&self) -> &DataFolder {
        &self.folder
    }

    /// Appends the hard state and entries to the log and syncs it.
    pub fn persist(&mut self, hard_state: Option<HardState>, entries: &[Entry]) -> Result<(), StorageError> {
        let mut records = Vec::new();
        records.extend(hard_state.map(|hard_state| StoredRecord::HardState(hard_state).encode()));
        records.extend(entries.iter().map(|entry| StoredRecord::Entry(entry.clone()).encode()));
        let timer = self.metrics.log_sync_seconds.start_timer();
        self.log.append(&records)?;
        timer.observe_duration();
        Ok(())
    }

    /// Stores a snapshot and replaces the log by the entries after it.
    pub fn store_snapshot(&mut self, snapshot: ControlSnapshot) -> Result<(), StorageError> {
        let ControlSnapshot { index, term, data, hard_state, entries } = snapshot;
        store_snapshot(&self.folder, &StoredSnapshot { index, term, data })?;
        let mut records = vec![StoredRecord::HardState(hard_state).encode()];
        records.extend(entries.into_iter().map(|entry| StoredRecord::Entry(entry).encode()));
        self.log.replace(&records)
    }
}

/// Combines the snapshot with the records of the log.
fn recover(snapshot: Option<&StoredSnapshot>, records: &[Vec<u8>]) -> Result<Recovered, ApiError> {
    let mut recovered = Recovered {
        snapshot_index: snapshot.map_or(0, |snapshot| snapshot.index),
        snapshot_term: snapshot.map_or(0, |snapshot| snapshot.term),
        ..Recovered::default()
    };
    for record in records {
        let decoded = postcard::from_bytes(record);
        let record: StoredRecord =
            decoded.map_err(|error| ApiError::new(ResultCode::FormatUnknown, error.to_string()))?;
        match record {
            StoredRecord::HardState(hard_state) => recovered.hard_state = hard_state,
            StoredRecord::Entry(entry) => replace_from(&mut recovered.entries, entry),
        }
    }
    let snapshot_index = recovered.snapshot_index;
    recovered.entries.retain(|entry| entry.index > snapshot_index);
    let has_gap =
        recovered.entries.iter().zip(snapshot_index + 1..).any(|(entry, expected)| entry.index != expected);
    if has_gap {
        return Err(ApiError::new(
            ResultCode::LogDamaged,
            "entries are missing between the snapshot and the log",
        ));
    }
    Ok(recovered)
}

/// Appends an entry after dropping the entries with the same or a higher index.
fn replace_from(entries: &mut Vec<Entry>, entry: Entry) {
    while entries.last().is_some_and(|last| last.index >= entry.index) {
        entries.pop();
    }
    entries.push(entry);
}
