//! The data folder, its lock and its format version.

use crate::error::{IoResultExt, StorageError};
use std::fs::{self, File, TryLockError};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

/// Version of the folder's layout. A new layout increments it, and this one stays readable.
pub const FORMAT_VERSION: u32 = 1;

const LOCK_FILE: &str = "LOCK";
const FORMAT_FILE: &str = "FORMAT";
const TEMPORARY_SUFFIX: &str = "tmp";

/// A data folder that is locked by this process.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    /// Held while the folder is open; the operating system releases it when the process ends.
    _lock: File,
}

impl DataFolder {
    /// Opens and locks the folder, creating it if it does not exist, and removes files that an interrupted write left.
    pub fn open(path: &Path) -> Result<DataFolder, StorageError> {
        fs::create_dir_all(path).io_error_at(path)?;
        let lock_path = path.join(LOCK_FILE);
        let lock = File::options().create(true).append(true).open(&lock_path).io_error_at(&lock_path)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StorageError::Locked(path.to_path_buf())),
            Err(TryLockError::Error(error)) => return Err(StorageError::Io(lock_path, error)),
        }
        remove_temporary_files(path)?;
        check_format(path)?;
        Ok(DataFolder { path: path.to_path_buf(), _lock: lock })
    }

    /// The folder's path.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

fn remove_temporary_files(folder: &Path) -> Result<(), StorageError> {
    for entry in fs::read_dir(folder).io_error_at(folder)? {
        let path = entry.io_error_at(folder)?.path();
        if path.extension().is_some_and(|suffix| suffix == TEMPORARY_SUFFIX) {
            remove_file(&path)?;
        }
    }
    Ok(())
}

fn check_format(folder: &Path) -> Result<(), StorageError> {
    let file = folder.join(FORMAT_FILE);
    if !file.exists() {
        return write_file_atomically(&file, &[FORMAT_VERSION.to_string().as_bytes()]);
    }
    let found = fs::read_to_string(&file).io_error_at(&file)?;
    if found.trim() == FORMAT_VERSION.to_string() {
        return Ok(());
    }
    Err(StorageError::FormatUnknown(file, found.trim().to_string()))
}

/// Replaces a file atomically and durably, so that after a crash it has either the old or the new content: writes a
/// temporary file, syncs it, renames it and syncs the folder. The content is the concatenation of `parts`.
pub(crate) fn write_file_atomically(path: &Path, parts: &[&[u8]]) -> Result<(), StorageError> {
    let temporary = path.with_extension(TEMPORARY_SUFFIX);
    if let Err(error) = write_parts(&temporary, parts) {
        if error.is_full() {
            remove_file(&temporary)?;
        }
        return Err(error);
    }
    fs::rename(&temporary, path).io_error_at(path)?;
    sync_parent(path)
}

fn write_parts(path: &Path, parts: &[&[u8]]) -> Result<(), StorageError> {
    let mut file = File::create(path).io_error_at(path)?;
    for part in parts {
        file.write_all(part).io_error_at(path)?;
    }
    file.sync_all().sync_error_at(path)
}

/// Removes a file, if it exists, and syncs the folder.
pub(crate) fn remove_file(path: &Path) -> Result<(), StorageError> {
    match fs::remove_file(path) {
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(()),
        removed => {
            removed.io_error_at(path)?;
            sync_parent(path)
        }
    }
}

/// Syncs the parent folder of `path`, so that the directory entry survives a crash.
pub(crate) fn sync_parent(path: &Path) -> Result<(), StorageError> {
    let parent = path.parent().unwrap_or(Path::new("."));
    File::open(parent).io_error_at(parent)?.sync_all().sync_error_at(parent)
}
