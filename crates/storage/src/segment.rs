//! One segment file: a sequence of records, each `length u32 | crc32 u32 | bytes`, little-endian.

use crate::error::{StorageError, WithPath};
use std::fs::File;
use std::io::{Read, Seek, SeekFrom};
use std::path::Path;

/// Bytes before each record's content.
pub const RECORD_HEADER_BYTES: usize = 8;
/// Longest record; a length above it is damage.
pub const MAX_RECORD_BYTES: usize = 64 << 20;

/// Appends the framed record to `buffer`. The checksum covers the length too, so that a flipped length is
/// found at once.
pub(crate) fn frame(record: &[u8], buffer: &mut Vec<u8>) {
    let length = (record.len() as u32).to_le_bytes();
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&checksum(&length, record).to_le_bytes());
    buffer.extend_from_slice(record);
}

fn checksum(length: &[u8; 4], record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(record);
    hasher.finalize()
}

/// What a segment holds.
pub(crate) struct SegmentContent {
    /// Whole records, in order.
    pub records: Vec<Vec<u8>>,
    /// Bytes that they take; what follows is a torn tail.
    pub valid_bytes: u64,
    /// Bytes of the file.
    pub file_bytes: u64,
}

enum Parsed {
    Record(Vec<u8>, usize),
    /// The bytes end within a record.
    Incomplete,
    /// The bytes are all there and wrong.
    Damaged(String),
}

fn parse(bytes: &[u8]) -> Parsed {
    if bytes.len() < RECORD_HEADER_BYTES {
        return Parsed::Incomplete;
    }
    let length_bytes = [bytes[0], bytes[1], bytes[2], bytes[3]];
    let length = u32::from_le_bytes(length_bytes) as usize;
    let expected = u32::from_le_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]);
    if length > MAX_RECORD_BYTES {
        return Parsed::Damaged(format!("record length {length} is out of range"));
    }
    let end = RECORD_HEADER_BYTES + length;
    if bytes.len() < end {
        return Parsed::Incomplete;
    }
    let record = &bytes[RECORD_HEADER_BYTES..end];
    if checksum(&length_bytes, record) != expected {
        return Parsed::Damaged("checksum does not match".to_string());
    }
    Parsed::Record(record.to_vec(), end)
}

/// Reads a segment. In the newest segment (`is_tail`) whatever follows the last whole record is a torn tail,
/// unless a whole record follows the damage: then synced records lie behind it, and cutting would lose them.
pub(crate) fn read_segment(path: &Path, is_tail: bool) -> Result<SegmentContent, StorageError> {
    let mut bytes = Vec::new();
    let mut file = File::open(path).at(path)?;
    file.seek(SeekFrom::Start(0)).at(path)?;
    file.read_to_end(&mut bytes).at(path)?;
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let problem = match parse(&bytes[offset..]) {
            Parsed::Record(record, taken) => {
                records.push(record);
                offset += taken;
                continue;
            }
            Parsed::Incomplete => "the record is incomplete".to_string(),
            Parsed::Damaged(problem) => problem,
        };
        if !is_tail || whole_record_follows(&bytes[offset + 1..]) {
            return Err(StorageError::LogDamaged(path.to_path_buf(), offset as u64, problem));
        }
        break;
    }
    Ok(SegmentContent { records, valid_bytes: offset as u64, file_bytes: bytes.len() as u64 })
}

/// Whether a record that is whole and not empty starts anywhere in `bytes`. An empty record's frame is too
/// short to be told from zeroes or chance.
fn whole_record_follows(bytes: &[u8]) -> bool {
    (0..bytes.len())
        .any(|start| matches!(parse(&bytes[start..]), Parsed::Record(record, _) if !record.is_empty()))
}
