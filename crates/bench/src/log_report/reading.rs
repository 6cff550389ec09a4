//! Reads log files. What can't be read is counted and named, and stops nothing.

use dockwood_log_lines::{Line, LineError, parse};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

/// Lines that could not be read and are named, at most; the others are counted.
const MOST_NAMED: usize = 10;

/// A line that could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadLine {
    /// File and number of the line.
    pub place: String,
    /// Why.
    pub fault: LineError,
}

/// What was read of all logs.
#[derive(Clone, Debug, Default)]
pub struct LogLines {
    /// Lines of daemons.
    pub lines: Vec<Line>,
    /// Lines that are damaged.
    pub damaged: u64,
    /// Lines of other programs.
    pub foreign: u64,
    /// The first of those.
    pub named: Vec<UnreadLine>,
}

impl LogLines {
    /// Reads a file.
    pub fn read_file(&mut self, path: &Path) -> io::Result<()> {
        let told = |error: io::Error| io::Error::other(format!("{}: {error}", path.display()));
        let file = File::open(path).map_err(told)?;
        self.read(&path.display().to_string(), BufReader::new(file)).map_err(told)
    }

    /// Reads lines from a source of that name. Bytes that are no text damage their line alone.
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
                Err(fault) => self.count(format!("{name}:{number}"), fault),
            }
        }
        Ok(())
    }

    fn count(&mut self, place: String, fault: LineError) {
        match fault {
            LineError::Damaged(_) => self.damaged += 1,
            LineError::NoObject | LineError::Foreign => self.foreign += 1,
        }
        if self.named.len() < MOST_NAMED {
            self.named.push(UnreadLine { place, fault });
        }
    }

    /// What was not read, in one line for people.
    pub fn unread(&self) -> String {
        format!(
            "{} lines of daemons read, {} damaged, {} of other programs",
            self.lines.len(),
            self.damaged,
            self.foreign
        )
    }
}
