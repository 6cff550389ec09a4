//! Drives the consensus core against the disk and the network.

use crate::clock::monotonic_ms;
use crate::metrics::Metrics;
use crate::settings::Settings;
use dockwood_api::{ApiError, ResultCode};
use dockwood_consensus::{Entry, HardState, Input, Message, Node, Output, Payload, Recovered, RoleName};
use dockwood_state::State;
use dockwood_storage::{DataFolder, RecordLog, StorageError, StoredSnapshot, load_snapshot, store_snapshot};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Shortest time without a leader before an election, in milliseconds.
const ELECTION_TIMEOUT_MS: u64 = 500;
/// Time between a leader's messages to an idle follower, in milliseconds.
const HEARTBEAT_MS: u64 = 100;
/// Payload of one append message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Entries in the log before a snapshot replaces them.
const COMPACT_AFTER_ENTRIES: u64 = 2_000;
/// Messages that may wait for one peer; when it is full, messages are lost, which consensus survives.
const OUTBOX: usize = 1_024;

quick_error! {
    /// Why a voter can't start or go on.
    #[derive(Debug)]
    pub enum StartError {
        /// The data folder.
        Storage(error: StorageError) {
            display("{}: {}", error.code_number(), error)
            from()
        }
        /// What the data folder holds can't be read.
        Content(error: ApiError) {
            display("{}", error)
            from()
        }
    }
}

/// One record of the log on disk.
#[derive(Debug, Serialize, Deserialize)]
enum StoredRecord {
    HardState(HardState),
    /// Replaces any entry of this or a higher index that was stored before.
    Entry(Entry),
}

impl StoredRecord {
    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// Something for the control thread to act on.
#[derive(Debug)]
pub enum DriverEvent {
    /// Apply these, in order.
    Committed(Vec<Entry>),
    /// Replace the state.
    Restored(Vec<u8>),
    /// The node's part changed.
    RoleChanged {
        /// Its part.
        role: RoleName,
        /// Its term.
        term: u64,
        /// The leader's peer address.
        leader: Option<SocketAddr>,
    },
}

/// A voter's consensus core with its disk and its peers' outboxes.
pub struct ConsensusDriver {
    node: Node,
    folder: DataFolder,
    log: RecordLog,
    hard_state: HardState,
    outboxes: HashMap<u64, mpsc::Sender<Message>>,
    addresses: HashMap<u64, SocketAddr>,
    metrics: Metrics,
    /// Set when a follower needs a snapshot; the control thread supplies the state.
    snapshot_wanted: Vec<u64>,
}

/// A voter as read from disk: its driver, its state, and the receiving ends of its outboxes.
pub struct StartedVoter {
    /// The driver.
    pub driver: ConsensusDriver,
    /// The state of the stored snapshot.
    pub state: State,
    /// What to send to each peer.
    pub outboxes: Vec<(SocketAddr, mpsc::Receiver<Message>)>,
}

impl ConsensusDriver {
    /// Opens the data folder and recovers what it holds.
    pub fn start(settings: &Settings, own_id: u64, metrics: Metrics) -> Result<StartedVoter, StartError> {
        let path = settings.data_folder.as_deref().unwrap_or(std::path::Path::new("data"));
        let folder = DataFolder::open(path)?;
        let snapshot = load_snapshot(&folder)?;
        let (log, records) = RecordLog::open(&folder)?;
        let state = match &snapshot {
            Some(snapshot) => State::decode(&snapshot.data)?,
            None => State::default(),
        };
        let recovered = recover(snapshot.as_ref(), &records)?;
        let hard_state = recovered.hard_state;
        let node_settings = dockwood_consensus::Settings {
            id: own_id,
            voters: settings.voters.iter().map(|voter| voter.id).collect(),
            election_timeout_ms: ELECTION_TIMEOUT_MS,
            heartbeat_ms: HEARTBEAT_MS,
            max_message_bytes: MAX_MESSAGE_BYTES,
            seed: crate::clock::wall_ms(),
        };
        let mut outboxes = HashMap::new();
        let mut receivers = Vec::new();
        for voter in settings.voters.iter().filter(|voter| voter.id != own_id) {
            let (sender, receiver) = mpsc::channel(OUTBOX);
            outboxes.insert(voter.id, sender);
            receivers.push((voter.peer, receiver));
        }
        let addresses = settings.voters.iter().map(|voter| (voter.id, voter.peer)).collect();
        let node = Node::new(node_settings, recovered, monotonic_ms());
        let driver = ConsensusDriver {
            node,
            folder,
            log,
            hard_state,
            outboxes,
            addresses,
            metrics,
            snapshot_wanted: Vec::new(),
        };
        Ok(StartedVoter { driver, state, outboxes: receivers })
    }

    /// The core, for reading.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Whether this node leads and nobody else can at this moment.
    pub fn leads(&self) -> bool {
        self.node.role() == RoleName::Leader && self.node.leader_lease_valid(monotonic_ms())
    }

    /// Gives the core an input and carries out what it asks for.
    pub fn step(&mut self, input: Input) -> Result<Vec<DriverEvent>, StorageError> {
        let mut events = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let outputs = self.node.step(monotonic_ms(), input);
            for output in outputs {
                if let Some(follow_up) = self.carry_out(output, &mut events)? {
                    inputs.push(follow_up);
                }
            }
        }
        Ok(events)
    }

    fn carry_out(&mut self, output: Output, events: &mut Vec<DriverEvent>) -> Result<Option<Input>, StorageError> {
        match output {
            Output::Persist { hard_state, entries } => return self.persist(hard_state, entries),
            Output::Send(message) => {
                if let Some(outbox) = self.outboxes.get(&message.to) {
                    // A full outbox loses the message, as a network may.
                    let _ = outbox.try_send(message);
                }
            }
            Output::Commit(entries) => events.push(DriverEvent::Committed(entries)),
            Output::Restore { index, term, data } => {
                self.store_snapshot(index, term, data.clone())?;
                events.push(DriverEvent::Restored(data));
            }
            Output::SnapshotNeeded { to } => self.snapshot_wanted.push(to),
            // Reads are answered from leases; nothing asks the core for an index.
            Output::ReadReady { .. } => {}
            Output::RoleChanged { role, term, leader } => {
                let leader = leader.and_then(|id| self.addresses.get(&id).copied());
                events.push(DriverEvent::RoleChanged { role, term, leader });
            }
        }
        Ok(None)
    }

    fn persist(&mut self, hard_state: Option<HardState>, entries: Vec<Entry>) -> Result<Option<Input>, StorageError> {
        let last = entries.last().map(|entry| Input::Persisted { index: entry.index, term: entry.term });
        let mut records = Vec::new();
        if let Some(hard_state) = hard_state {
            self.hard_state = hard_state;
            records.push(StoredRecord::HardState(hard_state).encode());
        }
        records.extend(entries.into_iter().map(|entry| StoredRecord::Entry(entry).encode()));
        let timer = self.metrics.log_sync_seconds.start_timer();
        self.log.append(&records)?;
        timer.observe_duration();
        Ok(last)
    }

    /// Followers that wait for a snapshot.
    pub fn take_snapshot_wanted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.snapshot_wanted)
    }

    /// Whether the log has grown long enough for a snapshot at `applied`.
    pub fn wants_compaction(&self, applied: u64) -> bool {
        applied >= self.first_index() + COMPACT_AFTER_ENTRIES
    }

    fn first_index(&self) -> u64 {
        self.node.snapshot_index()
    }

    /// Stores a snapshot of the state at `index` and drops the log before it.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> Result<(), StorageError> {
        let Some(term) = self.node.term_at(index) else { return Ok(()) };
        store_snapshot(&self.folder, &StoredSnapshot { index, term, data })?;
        self.node.step(monotonic_ms(), Input::Compact { index });
        self.rewrite_log()
    }

    fn store_snapshot(&mut self, index: u64, term: u64, data: Vec<u8>) -> Result<(), StorageError> {
        store_snapshot(&self.folder, &StoredSnapshot { index, term, data })?;
        self.rewrite_log()
    }

    fn rewrite_log(&mut self) -> Result<(), StorageError> {
        let mut records = vec![StoredRecord::HardState(self.hard_state).encode()];
        let kept = self.node.entries_after_snapshot();
        records.extend(kept.into_iter().map(|entry| StoredRecord::Entry(entry).encode()));
        self.log.replace(&records)
    }
}

/// Puts snapshot and records together.
fn recover(snapshot: Option<&StoredSnapshot>, records: &[Vec<u8>]) -> Result<Recovered, ApiError> {
    let mut recovered = Recovered {
        snapshot_index: snapshot.map_or(0, |snapshot| snapshot.index),
        snapshot_term: snapshot.map_or(0, |snapshot| snapshot.term),
        ..Recovered::default()
    };
    for record in records {
        let decoded = postcard::from_bytes(record);
        let record: StoredRecord =
            decoded.map_err(|error| ApiError::new(ResultCode::FormatUnknown, error.to_string()))?;
        match record {
            StoredRecord::HardState(hard_state) => recovered.hard_state = hard_state,
            StoredRecord::Entry(entry) => {
                recovered.entries.retain(|earlier| earlier.index < entry.index);
                recovered.entries.push(entry);
            }
        }
    }
    let snapshot_index = recovered.snapshot_index;
    recovered.entries.retain(|entry| entry.index > snapshot_index);
    let has_gap = recovered.entries.iter().zip(snapshot_index + 1..).any(|(entry, expected)| entry.index != expected);
    if has_gap {
        return Err(ApiError::new(ResultCode::LogDamaged, "entries are missing between the snapshot and the log"));
    }
    Ok(recovered)
}

/// The command of an entry, if it carries one.
pub fn command_bytes(entry: &Entry) -> Option<&[u8]> {
    match &entry.payload {
        Payload::Empty => None,
        Payload::Command(bytes) => Some(bytes),
    }
}

/// Sends one peer's messages, as many as wait in one call, for ever.
pub async fn run_outbox(
    shared: Arc<crate::shared::Shared>,
    own_id: u64,
    address: SocketAddr,
    mut messages: mpsc::Receiver<Message>,
) {
    const BATCH: usize = 64;
    const SEND_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(400);
    loop {
        let mut batch = Vec::new();
        if messages.recv_many(&mut batch, BATCH).await == 0 {
            return;
        }
        let encoded = postcard::to_stdvec(&batch).unwrap_or_default();
        let call = |client: dockwood_api::peer::PeerClient, context| async move {
            client.consensus(context, own_id, encoded).await
        };
        if shared.peers.call(address, SEND_TIMEOUT, call).await.is_err() {
            shared.metrics.peer_failures.inc();
        }
    }
}
