//! Crash recovery, and detection of corrupt or incompatible data.

use dockwood_storage::{DataFolder, RecordLog, StorageError, StoredSnapshot, load_snapshot, store_snapshot};
use proptest::prelude::*;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

type TestResult = Result<(), Box<dyn std::error::Error>>;

fn records(count: u8) -> Vec<Vec<u8>> {
    (1..=count).map(|number| vec![number; usize::from(number) * 3]).collect()
}

fn newest_segment(folder: &Path) -> Option<PathBuf> {
    let files = std::fs::read_dir(folder).ok()?.filter_map(|entry| Some(entry.ok()?.path()));
    files.filter(|path| path.extension().is_some_and(|suffix| suffix == "segment")).max()
}

fn write_log(folder: &TempDir, count: u8) -> Result<PathBuf, Box<dyn std::error::Error>> {
    let open = DataFolder::open(folder.path())?;
    let (mut log, _) = RecordLog::open(&open)?;
    log.append(&records(count))?;
    Ok(newest_segment(folder.path()).ok_or("no segment")?)
}

fn reopen_log(folder: &TempDir) -> Result<Vec<Vec<u8>>, StorageError> {
    RecordLog::open(&DataFolder::open(folder.path())?).map(|(_, records)| records)
}

#[test]
fn appended_records_are_read_back_in_order() -> TestResult {
    let folder = TempDir::new()?;
    write_log(&folder, 9)?;
    assert_eq!(reopen_log(&folder)?, records(9));
    Ok(())
}

#[test]
fn a_data_folder_cannot_be_opened_twice() -> TestResult {
    let folder = TempDir::new()?;
    let _lock_holder = DataFolder::open(folder.path())?;
    let refused = DataFolder::open(folder.path()).map(|_| ());
    assert_eq!(refused.map_err(|error| error.code_number()), Err(6001));
    Ok(())
}

#[test]
fn an_unknown_format_version_is_refused() -> TestResult {
    let folder = TempDir::new()?;
    write_log(&folder, 1)?;
    std::fs::write(folder.path().join("FORMAT"), "99")?;
    assert_eq!(reopen_log(&folder).map_err(|error| error.code_number()), Err(6005));
    Ok(())
}

#[test]
fn damage_before_complete_records_is_refused_and_the_file_kept() -> TestResult {
    let folder = TempDir::new()?;
    let segment = write_log(&folder, 9)?;
    let mut bytes = std::fs::read(&segment)?;
    bytes[20] ^= 1;
    std::fs::write(&segment, &bytes)?;
    assert_eq!(reopen_log(&folder).map_err(|error| error.code_number()), Err(6002));
    assert_eq!(std::fs::read(&segment)?, bytes);
    Ok(())
}

#[test]
fn replace_deletes_only_older_segments() -> TestResult {
    let folder = TempDir::new()?;
    let open = DataFolder::open(folder.path())?;
    let (mut log, _) = RecordLog::open(&open)?;
    log.append(&records(5))?;
    log.replace(&records(2))?;
    log.append(&[vec![42]])?;
    assert_eq!(log.stats().segments, 1);
    drop((log, open));
    let mut expected = records(2);
    expected.push(vec![42]);
    assert_eq!(reopen_log(&folder)?, expected);
    Ok(())
}

#[test]
fn the_newest_snapshot_is_loaded_and_a_damaged_one_is_refused() -> TestResult {
    let folder = TempDir::new()?;
    let open = DataFolder::open(folder.path())?;
    assert_eq!(load_snapshot(&open)?, None);
    for index in [3, 8] {
        store_snapshot(&open, index, 2, &[index as u8; 100])?;
    }
    let loaded = load_snapshot(&open)?;
    assert_eq!(loaded, Some(StoredSnapshot { index: 8, term: 2, data: vec![8; 100] }));
    let path = folder.path().join("SNAPSHOT");
    let mut bytes = std::fs::read(&path)?;
    bytes[50] ^= 4;
    std::fs::write(&path, bytes)?;
    assert_eq!(load_snapshot(&open).map_err(|error| error.code_number()), Err(6003));
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever part of the last write a crash leaves, the records before it are recovered and the log can be appended
    /// to.
    #[test]
    fn a_torn_tail_is_truncated(cut in 0_usize..200) {
        let result = (|| -> Result<(), Box<dyn std::error::Error>> {
            let folder = TempDir::new()?;
            let segment = write_log(&folder, 6)?;
            let bytes = std::fs::read(&segment)?;
            let kept = bytes.len().saturating_sub(cut);
            std::fs::write(&segment, &bytes[..kept])?;
            let recovered = reopen_log(&folder)?;
            let all = records(6);
            if !all.starts_with(&recovered) {
                return Err("the recovered records are not a prefix".into());
            }
            let complete_bytes: usize = recovered.iter().map(|record| record.len() + 8).sum();
            if complete_bytes > kept || (recovered.len() < 6 && complete_bytes + all[recovered.len()].len() + 8 <= kept) {
                return Err("a complete record was lost".into());
            }
            let open = DataFolder::open(folder.path())?;
            let (mut log, _) = RecordLog::open(&open)?;
            log.append(&[vec![77]])?;
            drop((log, open));
            let mut expected = recovered;
            expected.push(vec![77]);
            if reopen_log(&folder)? != expected {
                return Err("the log could not be appended to".into());
            }
            Ok(())
        })();
        prop_assert!(result.is_ok(), "{:?}", result);
    }

    /// A single flipped bit is either reported as damage or costs no more than the last record.
    #[test]
    fn a_flipped_bit_is_never_ignored(position in 0_usize..100, bit in 0_u8..8) {
        let result = (|| -> Result<(), Box<dyn std::error::Error>> {
            let folder = TempDir::new()?;
            let segment = write_log(&folder, 6)?;
            let mut bytes = std::fs::read(&segment)?;
            let at = position % bytes.len();
            bytes[at] ^= 1 << bit;
            std::fs::write(&segment, &bytes)?;
            match reopen_log(&folder) {
                Err(error) if error.code_number() == 6002 => Ok(()),
                Ok(recovered) if records(6).starts_with(&recovered) && recovered.len() == 5 => Ok(()),
                other => Err(format!("{other:?}").into()),
            }
        })();
        prop_assert!(result.is_ok(), "{:?}", result);
    }
}
