//! Errors of the data folder; each maps to a numbered result code of the 6000 family.

use quick_error::quick_error;
use std::io;
use std::path::PathBuf;

quick_error! {
    /// What went wrong, and in which file.
    #[derive(Debug)]
    pub enum StorageError {
        /// Another process holds the lock.
        Locked(folder: PathBuf) {
            display("data folder {} is in use by another process", folder.display())
        }
        /// A record before the tail does not match its checksum.
        LogDamaged(file: PathBuf, offset: u64, detail: String) {
            display("{} is damaged at byte {}: {}", file.display(), offset, detail)
        }
        /// The snapshot does not match its checksum.
        SnapshotDamaged(file: PathBuf, detail: String) {
            display("snapshot {} is damaged: {}", file.display(), detail)
        }
        /// The folder was written by a version that this one does not know.
        FormatUnknown(file: PathBuf, found: String) {
            display("{} names format '{}'", file.display(), found)
        }
        /// The disk did not confirm a write; what it holds is unknown from here on.
        SyncFailed(file: PathBuf, error: io::Error) {
            display("sync of {} failed: {}", file.display(), error)
        }
        /// A file operation failed.
        Io(file: PathBuf, error: io::Error) {
            display("{}: {}", file.display(), error)
        }
    }
}

impl StorageError {
    /// The number of the result code that stands for this error.
    pub fn code_number(&self) -> u16 {
        match self {
            StorageError::Locked(..) => 6001,
            StorageError::LogDamaged(..) => 6002,
            StorageError::SnapshotDamaged(..) => 6003,
            StorageError::SyncFailed(..) => 6004,
            StorageError::FormatUnknown(..) => 6005,
            StorageError::Io(..) => 6006,
        }
    }
}

/// Adds the file's path to an error.
pub(crate) trait WithPath<T> {
    /// As [`StorageError::Io`].
    fn at(self, path: &std::path::Path) -> Result<T, StorageError>;
    /// As [`StorageError::SyncFailed`].
    fn sync_at(self, path: &std::path::Path) -> Result<T, StorageError>;
}

impl<T> WithPath<T> for io::Result<T> {
    fn at(self, path: &std::path::Path) -> Result<T, StorageError> {
        self.map_err(|error| StorageError::Io(path.to_path_buf(), error))
    }

    fn sync_at(self, path: &std::path::Path) -> Result<T, StorageError> {
        self.map_err(|error| StorageError::SyncFailed(path.to_path_buf(), error))
    }
}
