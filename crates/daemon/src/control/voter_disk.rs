//! Persistent storage of a voter: the log and the snapshot in its data folder.
//!
//! A disk without room for a write is not fatal: nothing of the write remains, and the write can be made later. Until then the
//! voter must carry out nothing that follows it, as acknowledgements do.

use crate::metrics::Metrics;
use dockwood_api::{ApiError, ResultCode};
use dockwood_consensus::{Entry, HardState, Recovered};
use dockwood_control::{ControlNode, Output, StoredSnapshot as ControlSnapshot, voters_of};
use dockwood_state::State;
use dockwood_storage::{DataFolder, RecordLog, StorageError, StoredSnapshot, load_snapshot, store_snapshot};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
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
#[derive(Debug, Deserialize)]
enum StoredRecord {
    HardState(HardState),
    /// Replaces earlier records of entries with the same or a higher index.
    Entry(Entry),
}

/// A [`StoredRecord`] to be encoded, which has the same form.
#[derive(Serialize)]
enum RecordToStore<'a> {
    HardState(HardState),
    Entry(&'a Entry),
}

fn encode_records(hard_state: Option<HardState>, entries: &[Entry]) -> Vec<Vec<u8>> {
    let hard_state = hard_state.map(RecordToStore::HardState);
    let records = hard_state.into_iter().chain(entries.iter().map(RecordToStore::Entry));
    records.map(|record| postcard::to_stdvec(&record).unwrap_or_default()).collect()
}

/// Whether a write is on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum WriteResult {
    /// It is synced.
    Stored,
    /// The disk has no room for it; nothing was written.
    DiskFull,
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
        let (mut log, records) = RecordLog::open(&folder)?;
        let state = match &snapshot {
            Some(snapshot) => State::decode(&snapshot.data)?,
            None => State::default(),
        };
        let StoredLog { mut recovered, has_covered_entries } = recover(snapshot.as_ref(), &records)?;
        recovered.voters = (!state.voters.is_empty()).then(|| voters_of(&state));
        if has_covered_entries || log.stats().segments > 1 {
            finish_compaction(&mut log, &recovered)?;
        }
        Ok(RecoveredVoter { disk: VoterDisk { folder, log, metrics }, state, recovered })
    }

    /// Returns the data folder.
    pub fn folder(&self) -> &DataFolder {
        &self.folder
    }

    /// Appends the hard state and entries to the log and syncs it.
    pub fn persist(&mut self, hard_state: Option<HardState>, entries: &[Entry]) -> Result<(), StorageError> {
        let records = encode_records(hard_state, entries);
        let timer = self.metrics.log_sync_seconds.start_timer();
        self.log.append(&records)?;
        timer.observe_duration();
        Ok(())
    }

    /// Stores a snapshot, and only once it is synced replaces the log by the entries after it.
    pub fn store_snapshot(&mut self, snapshot: &ControlSnapshot) -> Result<(), StorageError> {
        let ControlSnapshot { index, term, data, hard_state, entries } = snapshot;
        store_snapshot(&self.folder, *index, *term, data)?;
        self.log.replace(&encode_records(Some(*hard_state), entries))
    }

    /// Makes the write that an output of the node asks for, if it asks for one; `later` are the outputs after it. If the disk has
    /// no room to append to the log, a snapshot that covers the log may need less than the log does.
    pub fn write<R>(
        &mut self,
        node: &mut ControlNode<R>,
        output: &Output<R>,
        later: &VecDeque<Output<R>>,
    ) -> Result<WriteResult, StorageError> {
        let written = match output {
            Output::Persist { hard_state, entries } => write_result(self.persist(*hard_state, entries))?,
            Output::StoreSnapshot(snapshot) => return write_result(self.store_snapshot(snapshot)),
            _ => WriteResult::Stored,
        };
        match written {
            WriteResult::Stored => Ok(WriteResult::Stored),
            WriteResult::DiskFull => self.compact(node, later),
        }
    }

    /// Replaces the log by a snapshot, which contains what could not be appended.
    fn compact<R>(
        &mut self,
        node: &mut ControlNode<R>,
        later: &VecDeque<Output<R>>,
    ) -> Result<WriteResult, StorageError> {
        let pending_snapshot = later.iter().rev().find_map(|output| match output {
            Output::StoreSnapshot(snapshot) => Some(snapshot),
            _ => None,
        });
        if let Some(snapshot) = pending_snapshot {
            return write_result(self.store_snapshot(snapshot));
        }
        let Some(snapshot) = node.snapshot_of_applied() else { return Ok(WriteResult::DiskFull) };
        let written = write_result(self.store_snapshot(&snapshot))?;
        if written == WriteResult::Stored {
            node.record_compaction(&snapshot);
        }
        Ok(written)
    }
}

fn write_result(written: Result<(), StorageError>) -> Result<WriteResult, StorageError> {
    match written {
        Ok(()) => Ok(WriteResult::Stored),
        Err(error) if error.is_full() => Ok(WriteResult::DiskFull),
        Err(error) => Err(error),
    }
}

/// Removes from the log what the snapshot covers, after a crash that interrupted its compaction. A disk without room for that
/// doesn't prevent the start.
fn finish_compaction(log: &mut RecordLog, recovered: &Recovered) -> Result<(), StorageError> {
    let records = encode_records(Some(recovered.hard_state), &recovered.entries);
    write_result(log.replace(&records)).map(|_| ())
}

/// What the log holds besides the snapshot.
struct StoredLog {
    recovered: Recovered,
    /// Whether it also holds entries that the snapshot covers.
    has_covered_entries: bool,
}

/// Combines the snapshot with the records of the log.
fn recover(snapshot: Option<&StoredSnapshot>, records: &[Vec<u8>]) -> Result<StoredLog, ApiError> {
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
    let stored_entries = recovered.entries.len();
    recovered.entries.retain(|entry| entry.index > snapshot_index);
    let has_gap =
        recovered.entries.iter().zip(snapshot_index + 1..).any(|(entry, expected)| entry.index != expected);
    if has_gap {
        return Err(ApiError::new(
            ResultCode::LogDamaged,
            "entries are missing between the snapshot and the log",
        ));
    }
    let has_covered_entries = recovered.entries.len() < stored_entries;
    Ok(StoredLog { recovered, has_covered_entries })
}

/// Appends an entry after dropping the entries with the same or a higher index.
fn replace_from(entries: &mut Vec<Entry>, entry: Entry) {
    while entries.last().is_some_and(|last| last.index >= entry.index) {
        entries.pop();
    }
    entries.push(entry);
}
