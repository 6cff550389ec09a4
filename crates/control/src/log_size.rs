//! The size of the stored log, which decides together with the number of entries when a snapshot replaces it.
//!
//! An entry may be as large as the whole state: a change of the gateway's configuration contains all of it. The
//! log may therefore take more than its snapshot, and disk and memory stay proportional to the state. What is
//! written for snapshots stays proportional to what is written to the log.

use dockwood_consensus::Entry;

/// A log below this size is not compacted because of its size.
const MIN_LIMIT_BYTES: u64 = 4 << 20;
/// The size that a larger log may have, as a percentage of its snapshot: the second change that is as large as the state
/// reaches it. While a snapshot is stored, the disk then holds these two changes and two snapshots, which makes four
/// times the size of the state.
const LIMIT_PERCENT_OF_SNAPSHOT: u64 = 150;
/// Approximate size of a record without its payload: its header, and the entry's index and term.
const RECORD_OVERHEAD_BYTES: u64 = 32;

/// Size of the stored log, and the size at which it is compacted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogSize {
    bytes: u64,
    limit: u64,
}

impl LogSize {
    /// The size of a log that was read from disk.
    pub fn recovered(payload_bytes: u64, entries: u64) -> LogSize {
        LogSize { bytes: payload_bytes + entries * RECORD_OVERHEAD_BYTES, limit: MIN_LIMIT_BYTES }
    }

    /// Records that the hard state, if it changed, and entries are appended.
    pub fn appended(&mut self, entries: &[Entry]) {
        self.bytes += RECORD_OVERHEAD_BYTES + bytes_of(entries);
    }

    /// Records that a snapshot and the entries after it replace the log.
    pub fn replaced(&mut self, snapshot_bytes: usize, remaining: &[Entry]) {
        let limit = (snapshot_bytes as u64 * LIMIT_PERCENT_OF_SNAPSHOT / 100).max(MIN_LIMIT_BYTES);
        *self = LogSize { bytes: bytes_of(remaining), limit };
    }

    /// Whether the log has reached its limit. The entries that a snapshot would not cover yet are not counted, as
    /// compaction writes them once more; `uncovered_bytes` is their payload.
    pub fn reaches_limit_without(&self, uncovered_bytes: u64) -> bool {
        self.bytes.saturating_sub(uncovered_bytes) >= self.limit
    }
}

fn bytes_of(entries: &[Entry]) -> u64 {
    entries.iter().map(|entry| entry.payload_bytes() as u64 + RECORD_OVERHEAD_BYTES).sum()
}
