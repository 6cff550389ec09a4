//! Reads log files. Lines that cannot be parsed are counted and the first ones reported; they do not stop the reading.

use dockwood_log_lines::{Line, LineError, parse};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

/// Maximum number of skipped lines that are reported individually; all are counted.
const MAX_SKIPPED_SAMPLES: usize = 10;

/// A line that could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SkippedLine {
    /// File name and line number.
    pub place: String,
    /// Why it was skipped.
    pub fault: LineError,
}

/// Lines read from all logs, and counts of skipped lines.
#[derive(Clone, Debug, Default)]
pub struct LogLines {
    /// Log lines of daemons.
    pub lines: Vec<Line>,
    /// Number of damaged lines.
    pub damaged: u64,
    /// Number of lines of other programs.
    pub foreign: u64,
    /// The first skipped lines.
    pub skipped_samples: Vec<SkippedLine>,
}

impl LogLines {
    /// Reads a log file.
    pub fn read_file(&mut self, path: &Path) -> io::Result<()> {
        let with_path = |error: io::Error| io::Error::other(format!("{}: {error}", path.display()));
        let file = File::open(path).map_err(with_path)?;
        self.read(&path.display().to_string(), BufReader::new(file)).map_err(with_path)
    }

    /// Reads lines from a source; `name` is used in reports. Invalid UTF-8 affects only the line that contains it.
    pub fn read(&mut self, name: &str, mut source: impl BufRead) -> io::Result<()> {
        let mut bytes = Vec::new();
        for number in 1_u64.. {
            bytes.clear();
            if source.read_until(b'\n', &mut bytes)? == 0 {
                break;
            }
            let text = String::from_utf8_lossy(&bytes);
            if text.trim().is_empty() {
                continue;
            }
            match parse(&text) {
                Ok(line) => self.lines.push(line),
                Err(fault) => self.count_skipped(format!("{name}:{number}"), fault),
            }
        }
        Ok(())
    }

    fn count_skipped(&mut self, place: String, fault: LineError) {
        match fault {
            LineError::Damaged(_) => self.damaged += 1,
            LineError::NoObject | LineError::Foreign => self.foreign += 1,
        }
        if self.skipped_samples.len() < MAX_SKIPPED_SAMPLES {
            self.skipped_samples.push(SkippedLine { place, fault });
        }
    }

    /// One-line summary of lines read and skipped.
    pub fn summary(&self) -> String {
        format!(
            "{} lines of daemons read, {} damaged, {} of other programs",
            self.lines.len(),
            self.damaged,
            self.foreign
        )
    }
}
