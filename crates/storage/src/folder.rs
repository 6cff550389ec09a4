//! The data folder: its lock and its format version.

use crate::error::{StorageError, WithPath};
use std::fs::{self, File, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Version of the folder's layout. A newer layout raises it and keeps a reader for this one.
pub const FORMAT_VERSION: u32 = 1;

const LOCK_FILE: &str = "LOCK";
const FORMAT_FILE: &str = "FORMAT";

/// A data folder that this process alone uses.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    /// Held for as long as the folder is open; the system drops it when the process ends.
    _lock: File,
}

impl DataFolder {
    /// Opens the folder, making it first if need be.
    pub fn open(path: &Path) -> Result<DataFolder, StorageError> {
        fs::create_dir_all(path).at(path)?;
        let lock_path = path.join(LOCK_FILE);
        let lock = File::options().create(true).append(true).open(&lock_path).at(&lock_path)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StorageError::Locked(path.to_path_buf())),
            Err(TryLockError::Error(error)) => return Err(StorageError::Io(lock_path, error)),
        }
        check_format(path)?;
        Ok(DataFolder { path: path.to_path_buf(), _lock: lock })
    }

    /// The folder's path.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

fn check_format(folder: &Path) -> Result<(), StorageError> {
    let file = folder.join(FORMAT_FILE);
    if !file.exists() {
        return write_file_durably(&file, FORMAT_VERSION.to_string().as_bytes());
    }
    let found = fs::read_to_string(&file).at(&file)?;
    if found.trim() == FORMAT_VERSION.to_string() {
        return Ok(());
    }
    Err(StorageError::FormatUnknown(file, found.trim().to_string()))
}

/// Writes a file so that after a crash either the old or the new content is there: write aside, sync, rename,
/// sync the folder.
pub(crate) fn write_file_durably(path: &Path, content: &[u8]) -> Result<(), StorageError> {
    let aside = path.with_extension("tmp");
    let mut file = File::create(&aside).at(&aside)?;
    file.write_all(content).at(&aside)?;
    file.sync_all().sync_at(&aside)?;
    fs::rename(&aside, path).at(path)?;
    sync_parent(path)
}

/// Syncs the folder that holds `path`, so that the name itself survives.
pub(crate) fn sync_parent(path: &Path) -> Result<(), StorageError> {
    let parent = path.parent().unwrap_or(Path::new("."));
    File::open(parent).at(parent)?.sync_all().sync_at(parent)
}
