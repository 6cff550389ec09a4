//! The snapshot: one file that replaces the log up to an index.

use crate::error::{StorageError, WithPath};
use crate::folder::{DataFolder, write_file_durably};
use std::fs;

const SNAPSHOT_FILE: &str = "SNAPSHOT";
const IDENTITY_FILE: &str = "IDENTITY";
const HEADER_BYTES: usize = 20;

/// A snapshot as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// Last log index that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The state.
    pub data: Vec<u8>,
}

/// Stores who this process is within its group.
pub fn store_identity(folder: &DataFolder, content: &[u8]) -> Result<(), StorageError> {
    write_file_durably(&folder.path().join(IDENTITY_FILE), content)
}

/// Reads what [`store_identity`] wrote, if anything.
pub fn load_identity(folder: &DataFolder) -> Result<Option<Vec<u8>>, StorageError> {
    let path = folder.path().join(IDENTITY_FILE);
    if !path.exists() {
        return Ok(None);
    }
    fs::read(&path).at(&path).map(Some)
}

/// Replaces the stored snapshot; after a crash either the old or the new one is there.
pub fn store_snapshot(folder: &DataFolder, snapshot: &StoredSnapshot) -> Result<(), StorageError> {
    let mut content = Vec::with_capacity(HEADER_BYTES + snapshot.data.len());
    content.extend_from_slice(&[0; 4]);
    content.extend_from_slice(&snapshot.index.to_le_bytes());
    content.extend_from_slice(&snapshot.term.to_le_bytes());
    content.extend_from_slice(&snapshot.data);
    let checksum = crc32fast::hash(&content[4..]).to_le_bytes();
    content[..4].copy_from_slice(&checksum);
    write_file_durably(&folder.path().join(SNAPSHOT_FILE), &content)
}

/// Reads the stored snapshot, if there is one.
pub fn load_snapshot(folder: &DataFolder) -> Result<Option<StoredSnapshot>, StorageError> {
    let path = folder.path().join(SNAPSHOT_FILE);
    if !path.exists() {
        return Ok(None);
    }
    let content = fs::read(&path).at(&path)?;
    let damaged = |detail: &str| StorageError::SnapshotDamaged(path.clone(), detail.to_string());
    if content.len() < HEADER_BYTES {
        return Err(damaged("the file is too short"));
    }
    let (checksum, covered) = content.split_at(4);
    if crc32fast::hash(covered).to_le_bytes() != checksum {
        return Err(damaged("checksum does not match"));
    }
    let number = |bytes: &[u8]| bytes.iter().rev().fold(0_u64, |value, byte| value << 8 | u64::from(*byte));
    Ok(Some(StoredSnapshot {
        index: number(&covered[..8]),
        term: number(&covered[8..16]),
        data: covered[16..].to_vec(),
    }))
}
