//! The ledger: a record of everything that was actually executed, one JSON object per line, in order.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::sync::Mutex;

/// A ledger record. Times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "camelCase", rename_all_fields = "camelCase")]
pub enum LedgerRecord {
    /// A head accepted a request.
    Dispatched {
        /// When.
        at_ms: u64,
        /// Request id.
        request: String,
        /// Replica that the head was loaded for.
        replica: String,
        /// Epoch of the replica.
        epoch: u64,
        /// First sequence number requested.
        resume_from: u32,
        /// False for requests that must not be started twice.
        repeatable: bool,
        /// Members that were down, each with the start time of its outage.
        missing: Vec<(String, u64)>,
        /// Members that were marked as leaving, each with the time when it was marked.
        leaving: Vec<(String, u64)>,
    },
    /// A request produced its first token in this run.
    Started {
        /// When.
        at_ms: u64,
        /// Request id.
        request: String,
        /// Replica.
        replica: String,
        /// Epoch.
        epoch: u64,
        /// First sequence number produced.
        from: u32,
    },
    /// A run ended.
    Ended {
        /// When.
        at_ms: u64,
        /// Request id.
        request: String,
        /// Replica.
        replica: String,
        /// Epoch.
        epoch: u64,
        /// First sequence number requested from this run.
        from: u32,
        /// First sequence number that was not produced.
        to: u32,
        /// Whether the complete answer was produced.
        finished: bool,
    },
    /// A group started to serve.
    GroupFormed {
        /// When.
        at_ms: u64,
        /// Replica.
        replica: String,
        /// Epoch.
        epoch: u64,
        /// Members, head first.
        members: Vec<String>,
    },
    /// A machine joined or left a replica.
    MachineLoaded {
        /// When.
        at_ms: u64,
        /// Server name.
        server: String,
        /// The replica, or `None` when unloaded.
        replica: Option<String>,
        /// Epoch of the replica.
        epoch: u64,
    },
    /// A server was changed through the admin port, or its engine crashed.
    MachineChanged {
        /// When.
        at_ms: u64,
        /// Server name.
        server: String,
        /// The change.
        change: String,
    },
    /// A server rejected a request and requested a back-off.
    RequestRejected {
        /// When.
        at_ms: u64,
        /// Server name.
        server: String,
    },
    /// A plain service received a call.
    ServiceCalled {
        /// When.
        at_ms: u64,
        /// Request id.
        request: String,
        /// Service.
        service: String,
        /// Server.
        server: String,
        /// HTTP method.
        method: String,
    },
}

/// Appends records to a file. Each record is written immediately, so that a killed emulator loses none.
#[derive(Debug)]
pub struct LedgerWriter {
    file: Mutex<File>,
}

impl LedgerWriter {
    /// Opens the file for appending.
    pub fn open(path: &Path) -> std::io::Result<LedgerWriter> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(LedgerWriter { file: Mutex::new(file) })
    }

    /// Appends a record. Exits the process if that fails: an incomplete ledger would invalidate every check
    /// that is based on it.
    pub fn append(&self, record: &LedgerRecord) {
        let written = serde_json::to_string(record).map_err(std::io::Error::other).and_then(|mut line| {
            line.push('\n');
            let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            file.write_all(line.as_bytes())
        });
        if let Err(error) = written {
            eprintln!("failed to write the ledger: {error}");
            std::process::exit(1);
        }
    }
}

/// Reads all records of a ledger. A line that can't be parsed is an error, as no record may be skipped.
pub fn read_ledger(path: &Path) -> std::io::Result<Vec<LedgerRecord>> {
    let reader = BufReader::new(File::open(path)?);
    reader.lines().map(|line| serde_json::from_str(&line?).map_err(std::io::Error::other)).collect()
}
