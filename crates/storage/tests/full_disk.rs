//! Writes that are refused because a file may not grow: nothing of them remains, and later writes succeed.

use dockwood_storage::{DataFolder, RecordLog, StorageError, StoredSnapshot, load_snapshot, store_snapshot};
use std::path::Path;
use tempfile::TempDir;

type TestResult = Result<(), Box<dyn std::error::Error>>;

const FULL: Option<u16> = Some(6007);
/// Set in the process that [`files_may_not_grow`] starts.
const FILE_LIMIT_SET: &str = "STORAGE_TEST_FILE_LIMIT_SET";
/// Maximum file size there, in units of 512 bytes.
const FILE_LIMIT_BLOCKS: usize = 64;
const HALF_OF_LIMIT: usize = FILE_LIMIT_BLOCKS * 512 / 2;

/// Runs a test of this file in a process with a limit on file sizes. Returns true in that process.
fn files_may_not_grow(test: &str) -> Result<bool, Box<dyn std::error::Error>> {
    if std::env::var_os(FILE_LIMIT_SET).is_some() {
        return Ok(true);
    }
    let script =
        format!("trap '' XFSZ; ulimit -f {FILE_LIMIT_BLOCKS}; exec \"$0\" --exact {test} --nocapture");
    let mut shell = std::process::Command::new("sh");
    // The output is read through a pipe, as the limit would apply to a file.
    let ended =
        shell.arg("-c").arg(script).arg(std::env::current_exe()?).env(FILE_LIMIT_SET, "1").output()?;
    let (output, errors) = (String::from_utf8_lossy(&ended.stdout), String::from_utf8_lossy(&ended.stderr));
    assert!(ended.status.success(), "with a limit on file sizes: {output}{errors}");
    assert!(output.contains("1 passed"), "the test did not run: {output}{errors}");
    Ok(false)
}

fn code(result: Result<(), StorageError>) -> Option<u16> {
    result.err().map(|error| error.code_number())
}

fn reopened(folder: &Path) -> Result<Vec<Vec<u8>>, StorageError> {
    RecordLog::open(&DataFolder::open(folder)?).map(|(_, records)| records)
}

#[test]
fn a_refused_append_leaves_the_log_as_it_was() -> TestResult {
    if !files_may_not_grow("a_refused_append_leaves_the_log_as_it_was")? {
        return Ok(());
    }
    let folder = TempDir::new()?;
    let open = DataFolder::open(folder.path())?;
    let (mut log, _) = RecordLog::open(&open)?;
    let first = vec![1; HALF_OF_LIMIT];
    log.append(std::slice::from_ref(&first))?;
    let before = log.stats();
    assert_eq!(code(log.append(&[vec![2], vec![3; HALF_OF_LIMIT]])), FULL);
    assert_eq!(log.stats(), before);
    log.append(&[vec![4]])?;
    drop((log, open));
    assert_eq!(reopened(folder.path())?, [first, vec![4]]);
    Ok(())
}

#[test]
fn a_refused_replacement_leaves_the_log_as_it_was() -> TestResult {
    if !files_may_not_grow("a_refused_replacement_leaves_the_log_as_it_was")? {
        return Ok(());
    }
    let folder = TempDir::new()?;
    let open = DataFolder::open(folder.path())?;
    let (mut log, _) = RecordLog::open(&open)?;
    log.append(&[vec![1; 100]])?;
    assert_eq!(code(log.replace(&[vec![2], vec![3; HALF_OF_LIMIT * 3]])), FULL);
    log.append(&[vec![4]])?;
    assert_eq!(log.stats().segments, 1);
    drop((log, open));
    assert_eq!(reopened(folder.path())?, [vec![1; 100], vec![4]]);
    Ok(())
}

#[test]
fn a_refused_snapshot_leaves_the_previous_one() -> TestResult {
    if !files_may_not_grow("a_refused_snapshot_leaves_the_previous_one")? {
        return Ok(());
    }
    let folder = TempDir::new()?;
    let open = DataFolder::open(folder.path())?;
    store_snapshot(&open, 3, 2, &[1; 100])?;
    let files = std::fs::read_dir(folder.path())?.count();
    assert_eq!(code(store_snapshot(&open, 8, 2, &[2; HALF_OF_LIMIT * 3])), FULL);
    assert_eq!(load_snapshot(&open)?, Some(StoredSnapshot { index: 3, term: 2, data: vec![1; 100] }));
    assert_eq!(std::fs::read_dir(folder.path())?.count(), files, "an incomplete snapshot was left");
    store_snapshot(&open, 9, 2, &[3; 100])?;
    assert_eq!(load_snapshot(&open)?.map(|snapshot| snapshot.index), Some(9));
    Ok(())
}
