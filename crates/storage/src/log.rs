//! The log: numbered segment files, of which only the newest is appended to.

use crate::error::{IoResultExt, StorageError};
use crate::folder::{DataFolder, remove_file, sync_parent};
use crate::segment::{encode_record, read_segment};
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

const SEGMENT_SUFFIX: &str = "segment";

/// Size of the log on disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogStats {
    /// Number of segment files.
    pub segments: usize,
    /// Total bytes in all segments.
    pub bytes: u64,
}

/// An append-only log of records.
#[derive(Debug)]
pub struct RecordLog {
    folder: PathBuf,
    segment_number: u64,
    file: File,
    /// Length of the newest segment.
    segment_bytes: u64,
    stats: LogStats,
}

impl RecordLog {
    /// Opens the log and returns all records in the order they were written. A torn tail is truncated, and the truncation
    /// is synced.
    pub fn open(folder: &DataFolder) -> Result<(RecordLog, Vec<Vec<u8>>), StorageError> {
        let numbers = segment_numbers(folder.path())?;
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut segment_bytes = 0;
        for (position, number) in numbers.iter().enumerate() {
            let path = segment_path(folder.path(), *number);
            let is_newest = position + 1 == numbers.len();
            let content = read_segment(&path, is_newest)?;
            if content.valid_bytes < content.file_bytes {
                truncate_file(&path, content.valid_bytes)?;
            }
            segment_bytes = content.valid_bytes;
            bytes += segment_bytes;
            records.extend(content.records);
        }
        let number = numbers.last().copied().unwrap_or(1);
        let file = open_for_append(folder.path(), number)?;
        let stats = LogStats { segments: numbers.len().max(1), bytes };
        let folder = folder.path().to_path_buf();
        Ok((RecordLog { folder, segment_number: number, file, segment_bytes, stats }, records))
    }

    /// Appends and syncs records; they are durable once this returns. If it returns [`StorageError::Full`], none of them
    /// is in the log.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        let mut buffer = Vec::new();
        for record in records {
            encode_record(record, &mut buffer);
        }
        let path = segment_path(&self.folder, self.segment_number);
        if let Err(error) = self.file.write_all(&buffer).io_error_at(&path) {
            if error.is_full() {
                truncate_file(&path, self.segment_bytes)?;
            }
            return Err(error);
        }
        self.file.sync_data().sync_error_at(&path)?;
        self.segment_bytes += buffer.len() as u64;
        self.stats.bytes += buffer.len() as u64;
        Ok(())
    }

    /// Starts a new segment with `records`, syncs it, and deletes all older segments; used once a snapshot covers their
    /// records. A crash in between leaves old and new segments, and reading both gives the same result as long as
    /// `records` repeat all records that are still needed. If it returns [`StorageError::Full`], the log is as before.
    pub fn replace(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        let old_numbers = segment_numbers(&self.folder)?;
        let number = self.segment_number + 1;
        *self = self.start_segment(number, records).or_else(|error| {
            if error.is_full() {
                remove_file(&segment_path(&self.folder, number))?;
            }
            Err(error)
        })?;
        for number in old_numbers {
            let path = segment_path(&self.folder, number);
            fs::remove_file(&path).io_error_at(&path)?;
        }
        sync_parent(&segment_path(&self.folder, self.segment_number))
    }

    fn start_segment(&self, number: u64, records: &[Vec<u8>]) -> Result<RecordLog, StorageError> {
        let file = open_for_append(&self.folder, number)?;
        let stats = LogStats { segments: 1, bytes: 0 };
        let mut log =
            RecordLog { folder: self.folder.clone(), segment_number: number, file, segment_bytes: 0, stats };
        log.append(records)?;
        Ok(log)
    }

    /// The size of the log on disk.
    pub fn stats(&self) -> LogStats {
        self.stats
    }
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:020}.{SEGMENT_SUFFIX}"))
}

fn segment_numbers(folder: &Path) -> Result<Vec<u64>, StorageError> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder).io_error_at(folder)? {
        let path = entry.io_error_at(folder)?.path();
        if path.extension().is_some_and(|suffix| suffix == SEGMENT_SUFFIX)
            && let Some(number) =
                path.file_stem().and_then(|stem| stem.to_str()).and_then(|stem| stem.parse().ok())
        {
            numbers.push(number);
        }
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn open_for_append(folder: &Path, number: u64) -> Result<File, StorageError> {
    let path = segment_path(folder, number);
    let file = File::options().create(true).append(true).open(&path).io_error_at(&path)?;
    file.sync_all().sync_error_at(&path)?;
    sync_parent(&path)?;
    Ok(file)
}

fn truncate_file(path: &Path, length: u64) -> Result<(), StorageError> {
    let file = File::options().write(true).open(path).io_error_at(path)?;
    file.set_len(length).io_error_at(path)?;
    file.sync_all().sync_error_at(path)
}
