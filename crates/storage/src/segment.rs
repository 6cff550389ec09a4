//! A segment file: a sequence of records, each encoded as `length u32 | crc32 u32 | bytes`, little-endian.

use crate::error::{IoResultExt, StorageError};
use std::fs::File;
use std::io::{Read, Seek, SeekFrom};
use std::path::Path;

/// Size of the header before each record's content.
pub const RECORD_HEADER_BYTES: usize = 8;
/// Maximum record length; a greater length indicates corruption.
pub const MAX_RECORD_BYTES: usize = 64 << 20;

/// Appends the record with its header to `buffer`. The checksum also covers the length, so that a corrupt length is
/// detected.
pub(crate) fn encode_record(record: &[u8], buffer: &mut Vec<u8>) {
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

/// Content of a segment.
pub(crate) struct SegmentContent {
    /// Complete records, in order.
    pub records: Vec<Vec<u8>>,
    /// Bytes that the complete records take; anything beyond is a torn tail.
    pub valid_bytes: u64,
    /// Size of the file.
    pub file_bytes: u64,
}

enum ParseResult {
    /// A complete record and the number of bytes that it takes.
    Record(Vec<u8>, usize),
    /// The bytes end within a record.
    Incomplete,
    /// The bytes are complete but invalid.
    Damaged(String),
}

fn parse_record(bytes: &[u8]) -> ParseResult {
    if bytes.len() < RECORD_HEADER_BYTES {
        return ParseResult::Incomplete;
    }
    let length_bytes = [bytes[0], bytes[1], bytes[2], bytes[3]];
    let length = u32::from_le_bytes(length_bytes) as usize;
    let expected = u32::from_le_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]);
    if length > MAX_RECORD_BYTES {
        return ParseResult::Damaged(format!("record length {length} is out of range"));
    }
    let end = RECORD_HEADER_BYTES + length;
    if bytes.len() < end {
        return ParseResult::Incomplete;
    }
    let record = &bytes[RECORD_HEADER_BYTES..end];
    if checksum(&length_bytes, record) != expected {
        return ParseResult::Damaged("checksum does not match".to_string());
    }
    ParseResult::Record(record.to_vec(), end)
}

/// Reads a segment. In the newest segment (`is_newest`), anything after the last complete record is a torn tail, unless
/// a complete record follows the damage: then synced records lie beyond it, and truncation would lose them.
pub(crate) fn read_segment(path: &Path, is_newest: bool) -> Result<SegmentContent, StorageError> {
    let mut bytes = Vec::new();
    let mut file = File::open(path).io_error_at(path)?;
    file.seek(SeekFrom::Start(0)).io_error_at(path)?;
    file.read_to_end(&mut bytes).io_error_at(path)?;
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let problem = match parse_record(&bytes[offset..]) {
            ParseResult::Record(record, consumed) => {
                records.push(record);
                offset += consumed;
                continue;
            }
            ParseResult::Incomplete => "the record is incomplete".to_string(),
            ParseResult::Damaged(problem) => problem,
        };
        if !is_newest || complete_record_follows(&bytes[offset + 1..]) {
            return Err(StorageError::LogDamaged(path.to_path_buf(), offset as u64, problem));
        }
        break;
    }
    Ok(SegmentContent { records, valid_bytes: offset as u64, file_bytes: bytes.len() as u64 })
}

/// Whether a complete, non-empty record starts anywhere in `bytes`. The encoding of an empty record is too short to be
/// distinguished from zeroes or random bytes.
fn complete_record_follows(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(
        |start| matches!(parse_record(&bytes[start..]), ParseResult::Record(record, _) if !record.is_empty()),
    )
}
