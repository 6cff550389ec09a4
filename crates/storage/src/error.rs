//! Storage errors; each maps to a result code in the 6000 range.

use quick_error::quick_error;
use std::io::{self, ErrorKind};
use std::path::PathBuf;

quick_error! {
    /// A storage error, with the file or folder concerned.
    #[derive(Debug)]
    pub enum StorageError {
        /// Another process holds the lock of the data folder.
        Locked(folder: PathBuf) {
            display("data folder {} is in use by another process", folder.display())
        }
        /// A record before the tail is corrupt.
        LogDamaged(file: PathBuf, offset: u64, detail: String) {
            display("{} is damaged at byte {}: {}", file.display(), offset, detail)
        }
        /// The snapshot is truncated or does not match its checksum.
        SnapshotDamaged(file: PathBuf, detail: String) {
            display("snapshot {} is damaged: {}", file.display(), detail)
        }
        /// The data folder has a format version that this program does not support.
        FormatUnknown(file: PathBuf, found: String) {
            display("{} has unsupported format version '{}'", file.display(), found)
        }
        /// A sync failed; from then on it is unknown what the disk holds.
        SyncFailed(file: PathBuf, error: io::Error) {
            display("sync of {} failed: {}", file.display(), error)
        }
        /// A write was refused because the disk or the file may not grow; the files are as they were before.
        Full(file: PathBuf, error: io::Error) {
            display("{} can't grow: {}", file.display(), error)
        }
        /// A file operation failed.
        Io(file: PathBuf, error: io::Error) {
            display("{}: {}", file.display(), error)
        }
    }
}

impl StorageError {
    /// The numeric result code of this error.
    pub fn code_number(&self) -> u16 {
        match self {
            StorageError::Locked(..) => 6001,
            StorageError::LogDamaged(..) => 6002,
            StorageError::SnapshotDamaged(..) => 6003,
            StorageError::SyncFailed(..) => 6004,
            StorageError::FormatUnknown(..) => 6005,
            StorageError::Io(..) => 6006,
            StorageError::Full(..) => 6007,
        }
    }

    /// Whether nothing was written for lack of room, so that the same write may succeed later.
    pub fn is_full(&self) -> bool {
        matches!(self, StorageError::Full(..))
    }
}

/// Converts I/O errors to storage errors with the path of the file.
pub(crate) trait IoResultExt<T> {
    /// Converts an error to [`StorageError::Full`] if it says that there is no room, else to [`StorageError::Io`].
    fn io_error_at(self, path: &std::path::Path) -> Result<T, StorageError>;
    /// Converts an error to [`StorageError::SyncFailed`].
    fn sync_error_at(self, path: &std::path::Path) -> Result<T, StorageError>;
}

impl<T> IoResultExt<T> for io::Result<T> {
    fn io_error_at(self, path: &std::path::Path) -> Result<T, StorageError> {
        self.map_err(|error| match error.kind() {
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => {
                StorageError::Full(path.to_path_buf(), error)
            }
            _ => StorageError::Io(path.to_path_buf(), error),
        })
    }

    fn sync_error_at(self, path: &std::path::Path) -> Result<T, StorageError> {
        self.map_err(|error| StorageError::SyncFailed(path.to_path_buf(), error))
    }
}
