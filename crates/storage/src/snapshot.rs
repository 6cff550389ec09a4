//! The snapshot file, which replaces the log up to an index, and the identity file.

use crate::error::{IoResultExt, StorageError};
use crate::folder::{DataFolder, write_file_atomically};
use std::fs;

const SNAPSHOT_FILE: &str = "SNAPSHOT";
const IDENTITY_FILE: &str = "IDENTITY";
const HEADER_BYTES: usize = 20;

/// A stored snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// Index of the last log entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The encoded state.
    pub data: Vec<u8>,
}

/// Stores the identity of this node within its group.
pub fn store_identity(folder: &DataFolder, content: &[u8]) -> Result<(), StorageError> {
    write_file_atomically(&folder.path().join(IDENTITY_FILE), &[content])
}

/// Loads the stored identity, if there is one.
pub fn load_identity(folder: &DataFolder) -> Result<Option<Vec<u8>>, StorageError> {
    let path = folder.path().join(IDENTITY_FILE);
    if !path.exists() {
        return Ok(None);
    }
    fs::read(&path).io_error_at(&path).map(Some)
}

/// Replaces the stored snapshot atomically: after a crash, either the old or the new one is there. While it is written, both
/// take room on the disk.
pub fn store_snapshot(folder: &DataFolder, index: u64, term: u64, data: &[u8]) -> Result<(), StorageError> {
    let (index, term) = (index.to_le_bytes(), term.to_le_bytes());
    let mut hasher = crc32fast::Hasher::new();
    [index.as_slice(), &term, data].iter().for_each(|part| hasher.update(part));
    let checksum = hasher.finalize().to_le_bytes();
    write_file_atomically(&folder.path().join(SNAPSHOT_FILE), &[&checksum, &index, &term, data])
}

/// Loads the stored snapshot, if there is one.
pub fn load_snapshot(folder: &DataFolder) -> Result<Option<StoredSnapshot>, StorageError> {
    let path = folder.path().join(SNAPSHOT_FILE);
    if !path.exists() {
        return Ok(None);
    }
    let content = fs::read(&path).io_error_at(&path)?;
    let damaged = |detail: &str| StorageError::SnapshotDamaged(path.clone(), detail.to_string());
    if content.len() < HEADER_BYTES {
        return Err(damaged("the file is too short"));
    }
    let (checksum, covered) = content.split_at(4);
    if crc32fast::hash(covered).to_le_bytes() != checksum {
        return Err(damaged("checksum does not match"));
    }
    let read_u64 = |bytes: &[u8]| bytes.iter().rev().fold(0_u64, |value, byte| value << 8 | u64::from(*byte));
    Ok(Some(StoredSnapshot {
        index: read_u64(&covered[..8]),
        term: read_u64(&covered[8..16]),
        data: covered[16..].to_vec(),
    }))
}
