//! What survives a crash and what is refused.

use dockwood_storage::{DataFolder, RecordLog, StorageError, StoredSnapshot, load_snapshot, store_snapshot};
use proptest::prelude::*;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

type Outcome = Result<(), Box<dyn std::error::Error>>;

fn records(count: u8) -> Vec<Vec<u8>> {
    (1..=count).map(|number| vec![number; usize::from(number) * 3]).collect()
}

fn newest_segment(folder: &Path) -> Option<PathBuf> {
    let files = std::fs::read_dir(folder).ok()?.filter_map(|entry| Some(entry.ok()?.path()));
    files.filter(|path| path.extension().is_some_and(|suffix| suffix == "segment")).max()
}

fn written(folder: &TempDir, count: u8) -> Result<PathBuf, Box<dyn std::error::Error>> {
    let open = DataFolder::open(folder.path())?;
    let (mut log, _) = RecordLog::open(&open)?;
    log.append(&records(count))?;
    Ok(newest_segment(folder.path()).ok_or("no segment")?)
}

fn reopened(folder: &TempDir) -> Result<Vec<Vec<u8>>, StorageError> {
    RecordLog::open(&DataFolder::open(folder.path())?).map(|(_, records)| records)
}

#[test]
fn appended_records_are_read_back_in_order() -> Outcome {
    let folder = TempDir::new()?;
    written(&folder, 9)?;
    assert_eq!(reopened(&folder)?, records(9));
    Ok(())
}

#[test]
fn a_second_process_is_refused() -> Outcome {
    let folder = TempDir::new()?;
    let _held = DataFolder::open(folder.path())?;
    let refused = DataFolder::open(folder.path()).map(|_| ());
    assert_eq!(refused.map_err(|error| error.code_number()), Err(6001));
    Ok(())
}

#[test]
fn an_unknown_format_is_refused() -> Outcome {
    let folder = TempDir::new()?;
    written(&folder, 1)?;
    std::fs::write(folder.path().join("FORMAT"), "99")?;
    assert_eq!(reopened(&folder).map_err(|error| error.code_number()), Err(6005));
    Ok(())
}

#[test]
fn damage_before_whole_records_is_refused_and_changes_nothing() -> Outcome {
    let folder = TempDir::new()?;
    let segment = written(&folder, 9)?;
    let mut bytes = std::fs::read(&segment)?;
    bytes[20] ^= 1;
    std::fs::write(&segment, &bytes)?;
    assert_eq!(reopened(&folder).map_err(|error| error.code_number()), Err(6002));
    assert_eq!(std::fs::read(&segment)?, bytes);
    Ok(())
}

#[test]
fn replacing_drops_older_segments_only() -> Outcome {
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
    assert_eq!(reopened(&folder)?, expected);
    Ok(())
}

#[test]
fn the_newest_snapshot_is_loaded_and_a_damaged_one_refused() -> Outcome {
    let folder = TempDir::new()?;
    let open = DataFolder::open(folder.path())?;
    assert_eq!(load_snapshot(&open)?, None);
    for index in [3, 8] {
        store_snapshot(&open, &StoredSnapshot { index, term: 2, data: vec![index as u8; 100] })?;
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

    /// Whatever a crash leaves of the last write, the records before it are read, and the log goes on.
    #[test]
    fn a_torn_tail_is_cut(cut in 0_usize..200) {
        let result = (|| -> Result<(), Box<dyn std::error::Error>> {
            let folder = TempDir::new()?;
            let segment = written(&folder, 6)?;
            let bytes = std::fs::read(&segment)?;
            let kept = bytes.len().saturating_sub(cut);
            std::fs::write(&segment, &bytes[..kept])?;
            let survivors = reopened(&folder)?;
            let all = records(6);
            if !all.starts_with(&survivors) {
                return Err("not a prefix".into());
            }
            let whole: usize = survivors.iter().map(|record| record.len() + 8).sum();
            if whole > kept || (survivors.len() < 6 && whole + all[survivors.len()].len() + 8 <= kept) {
                return Err("a whole record was lost".into());
            }
            let open = DataFolder::open(folder.path())?;
            let (mut log, _) = RecordLog::open(&open)?;
            log.append(&[vec![77]])?;
            drop((log, open));
            let mut expected = survivors;
            expected.push(vec![77]);
            if reopened(&folder)? != expected {
                return Err("the log did not go on".into());
            }
            Ok(())
        })();
        prop_assert!(result.is_ok(), "{:?}", result);
    }

    /// Any single damaged byte is either refused or costs no more than the last record.
    #[test]
    fn a_flipped_bit_is_never_passed_over(position in 0_usize..100, bit in 0_u8..8) {
        let result = (|| -> Result<(), Box<dyn std::error::Error>> {
            let folder = TempDir::new()?;
            let segment = written(&folder, 6)?;
            let mut bytes = std::fs::read(&segment)?;
            let at = position % bytes.len();
            bytes[at] ^= 1 << bit;
            std::fs::write(&segment, &bytes)?;
            match reopened(&folder) {
                Err(error) if error.code_number() == 6002 => Ok(()),
                Ok(survivors) if records(6).starts_with(&survivors) && survivors.len() == 5 => Ok(()),
                other => Err(format!("{other:?}").into()),
            }
        })();
        prop_assert!(result.is_ok(), "{:?}", result);
    }
}
