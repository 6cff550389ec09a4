//! What a write leaves that was interrupted by the end of its process.
//!
//! In a file of its own: a process that another test starts holds a copy of the folder's lock until it runs its program, so that
//! the folder could not be opened again at once.

use dockwood_storage::DataFolder;
use tempfile::TempDir;

type TestResult = Result<(), Box<dyn std::error::Error>>;

#[test]
fn what_an_interrupted_write_left_is_removed_when_the_folder_is_opened() -> TestResult {
    let folder = TempDir::new()?;
    drop(DataFolder::open(folder.path())?);
    let incomplete = folder.path().join("SNAPSHOT.tmp");
    std::fs::write(&incomplete, [0; 100])?;
    let _open = DataFolder::open(folder.path())?;
    assert!(!incomplete.exists());
    Ok(())
}
