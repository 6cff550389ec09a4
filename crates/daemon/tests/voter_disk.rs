//! The data folder of a voter: its size while large configurations are committed, and what a restart reads back.

use dockwood_api::gateway::{GatewayConfiguration, Route, RouteKind, WeightedService};
use dockwood_api::peer::SubmitReply;
use dockwood_consensus::{Entry, Node, Payload, Settings};
use dockwood_control::{ControlNode, Input, Moment, Output};
use dockwood_daemon::control::{VoterDisk, WriteResult};
use dockwood_daemon::metrics::Metrics;
use dockwood_state::{Command, CommandBody, GatewayCommand, encode_command};
use dockwood_storage::{DataFolder, store_snapshot};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tempfile::TempDir;

type TestResult = Result<(), Box<dyn std::error::Error>>;

const TICK_MS: u64 = 20;
/// Longer than an election timeout of the only voter.
const ELECTION_MS: u64 = 1_000;
/// Below this size a log is not compacted because of its size.
const LOG_FLOOR_BYTES: u64 = 4 << 20;
/// A larger log is compacted once it takes this part of what its snapshot takes.
const LOG_PERCENT_OF_SNAPSHOT: u64 = 150;
/// The previous and the next snapshot, while one is stored.
const SNAPSHOTS_AT_ONCE: u64 = 2;

fn folder_bytes(folder: &Path) -> Result<u64, std::io::Error> {
    let mut bytes = 0;
    for entry in std::fs::read_dir(folder)? {
        bytes += entry?.metadata()?.len();
    }
    Ok(bytes)
}

fn configuration(version: u64, routes: usize) -> GatewayConfiguration {
    let route = |number: usize| Route {
        name: format!("route-{number}"),
        host: "host.example".to_string(),
        path_prefix: format!("/version-{version}/part-{number}/"),
        kind: RouteKind::Repeatable,
        services: vec![WeightedService { service: "service".to_string(), weight: 1 }],
        timeout_ms: 1_000,
        target_latency_ms: 100,
        target_gap_ms: 0,
        max_attempts: 2,
        priority: 0,
        anonymous: true,
        resumable: false,
        allowed_regions: Vec::new(),
    };
    let routes: Vec<Route> = (0..routes).map(route).collect();
    let document = format!("{routes:?}").into_bytes();
    GatewayConfiguration { version, routes, document, ..GatewayConfiguration::default() }
}

/// The only voter of a group, with a data folder.
struct Voter {
    folder: PathBuf,
    node: ControlNode<u64>,
    disk: VoterDisk,
    now: u64,
    pending: VecDeque<Output<u64>>,
    /// Versions of the configurations that were acknowledged.
    acknowledged: Vec<u64>,
    /// Highest number of bytes in the folder, with what is written before older files are removed.
    peak_bytes: u64,
    snapshots: u64,
}

impl Voter {
    fn start(folder: &Path) -> Result<Voter, Box<dyn std::error::Error>> {
        let found = VoterDisk::open(folder, Metrics::new()?)?;
        let settings = Settings {
            id: 1,
            voters: vec![1],
            election_timeout_ms: 500,
            heartbeat_ms: 100,
            max_message_bytes: 1 << 20,
            seed: 1,
        };
        let core = Node::new(settings, found.recovered, 0);
        let addresses = BTreeMap::from([(1, SocketAddr::from(([127, 0, 0, 1], 1)))]);
        let node = ControlNode::voter("voter", found.state, core, addresses);
        let mut voter = Voter {
            folder: folder.to_path_buf(),
            node,
            disk: found.disk,
            now: 0,
            pending: VecDeque::new(),
            acknowledged: Vec::new(),
            peak_bytes: 0,
            snapshots: 0,
        };
        while voter.now < ELECTION_MS {
            voter.now += TICK_MS;
            voter.step(Input::Tick)?;
        }
        Ok(voter)
    }

    /// Passes an input to the node and carries out what follows from it, up to a write that the disk has no room for.
    fn step(&mut self, input: Input<u64>) -> TestResult {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let moment = Moment { monotonic: self.now, wall_ms: self.now };
            let outputs = self.node.step(moment, input);
            self.pending.extend(outputs);
            while let Some(output) = self.pending.pop_front() {
                if let Output::StoreSnapshot(snapshot) = &output {
                    let remaining: usize = snapshot.entries.iter().map(|entry| entry.payload_bytes()).sum();
                    let added = (snapshot.data.len() + remaining) as u64;
                    self.peak_bytes = self.peak_bytes.max(folder_bytes(&self.folder)? + added);
                    self.snapshots += 1;
                }
                if self.disk.write(&mut self.node, &output, &self.pending)? == WriteResult::DiskFull {
                    self.pending.push_front(output);
                    return Ok(());
                }
                inputs.extend(self.carry_out(output));
            }
        }
        self.peak_bytes = self.peak_bytes.max(folder_bytes(&self.folder)?);
        Ok(())
    }

    fn carry_out(&mut self, output: Output<u64>) -> Option<Input<u64>> {
        match output {
            Output::Persist { entries, .. } => {
                let last = entries.last()?;
                Some(Input::Persisted { index: last.index, term: last.term })
            }
            Output::SubmitReply(version, SubmitReply::Applied { .. }) => {
                self.acknowledged.push(version);
                None
            }
            _ => None,
        }
    }

    fn configure(&mut self, version: u64, routes: usize) -> TestResult {
        let body = CommandBody::Gateway(GatewayCommand::Configure(Arc::new(configuration(version, routes))));
        let command = encode_command(&Command { at_ms: self.now, body });
        self.now += TICK_MS;
        self.step(Input::Submit(vec![(command, version)]))
    }

    fn version(&self) -> u64 {
        self.node.tables().gateway.configuration.as_ref().map_or(0, |configuration| configuration.version)
    }

    fn state_bytes(&self) -> u64 {
        self.node.state().encode().len() as u64
    }
}

#[test]
fn the_disk_holds_a_small_multiple_of_the_state_however_many_configurations_are_committed() -> TestResult {
    const CHANGES: u64 = 60;
    const ROUTES: usize = 2_000;
    let folder = TempDir::new()?;
    let mut voter = Voter::start(folder.path())?;
    for version in 1..=CHANGES {
        voter.configure(version, ROUTES)?;
        assert_eq!(voter.acknowledged.last(), Some(&version));
    }
    let state = voter.state_bytes();
    let largest_log = LOG_FLOOR_BYTES.max(state * LOG_PERCENT_OF_SNAPSHOT / 100) + state;
    let bound = largest_log + SNAPSHOTS_AT_ONCE * state;
    let peak = voter.peak_bytes;
    assert!(peak < bound, "{peak} bytes on the disk for a state of {state} bytes; allowed are {bound}");
    assert!(voter.snapshots < CHANGES / 2, "{} snapshots for {CHANGES} changes", voter.snapshots);
    let expected = voter.node.state().tables.gateway.configuration.clone();
    drop(voter);
    let restarted = Voter::start(folder.path())?;
    assert_eq!(restarted.node.state().tables.gateway.configuration, expected);
    Ok(())
}

/// Set in the process that [`files_that_may_not_grow`] starts.
const FILE_LIMIT_SET: &str = "VOTER_DISK_TEST_FILE_LIMIT_SET";
/// Size that a file may have there, in units of 512 bytes.
const FILE_LIMIT_BLOCKS: u64 = 4_096;

/// Runs a test of this file in a process whose files may not grow beyond [`FILE_LIMIT_BLOCKS`]: writes beyond that are refused
/// as on a full disk, while smaller files can still be written. Returns true in that process.
fn files_that_may_not_grow(test: &str) -> Result<bool, Box<dyn std::error::Error>> {
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

#[test]
fn a_voter_whose_log_has_no_room_replaces_it_by_a_snapshot_and_goes_on() -> TestResult {
    const CHANGES: u64 = 20;
    const ROUTES: usize = 1_000;
    if !files_that_may_not_grow("a_voter_whose_log_has_no_room_replaces_it_by_a_snapshot_and_goes_on")? {
        return Ok(());
    }
    let folder = TempDir::new()?;
    let mut voter = Voter::start(folder.path())?;
    for version in 1..=CHANGES {
        voter.configure(version, ROUTES)?;
    }
    let written = voter.state_bytes() * CHANGES;
    assert!(written > 2 * FILE_LIMIT_BLOCKS * 512, "the log would have had room for {written} bytes");
    assert_eq!(voter.acknowledged, (1..=CHANGES).collect::<Vec<u64>>());
    drop(voter);
    assert_eq!(Voter::start(folder.path())?.version(), CHANGES);
    Ok(())
}

#[test]
fn a_change_that_the_disk_has_no_room_for_is_not_acknowledged_and_the_rest_is_kept() -> TestResult {
    const ROUTES: usize = 1_000;
    const TOO_MANY_ROUTES: usize = 8_000;
    if !files_that_may_not_grow(
        "a_change_that_the_disk_has_no_room_for_is_not_acknowledged_and_the_rest_is_kept",
    )? {
        return Ok(());
    }
    let folder = TempDir::new()?;
    let mut voter = Voter::start(folder.path())?;
    voter.configure(1, ROUTES)?;
    voter.configure(2, TOO_MANY_ROUTES)?;
    for _ in 0..3 {
        voter.step(Input::Tick)?;
    }
    assert_eq!(voter.acknowledged, [1]);
    assert!(!voter.pending.is_empty(), "the write was not refused");
    drop(voter);
    let mut restarted = Voter::start(folder.path())?;
    assert_eq!(restarted.version(), 1);
    restarted.configure(3, ROUTES)?;
    assert_eq!(restarted.acknowledged, [3]);
    Ok(())
}

/// A crash after a snapshot was stored and before the log was truncated.
#[test]
fn a_compaction_that_a_crash_interrupted_is_finished_at_the_start() -> TestResult {
    const CHANGES: u64 = 6;
    let folder = TempDir::new()?;
    let mut voter = Voter::start(folder.path())?;
    for version in 1..=CHANGES {
        voter.configure(version, 1_000)?;
    }
    let snapshot = voter.node.snapshot_of_applied().ok_or("nothing was applied")?;
    drop(voter);
    let data_folder = DataFolder::open(folder.path())?;
    store_snapshot(&data_folder, snapshot.index, snapshot.term, &snapshot.data)?;
    drop(data_folder);
    let restarted = Voter::start(folder.path())?;
    assert_eq!(restarted.version(), CHANGES);
    let (bytes, state) = (folder_bytes(folder.path())?, restarted.state_bytes());
    assert!(bytes < 2 * state, "{bytes} bytes on the disk for a state of {state} bytes");
    Ok(())
}

#[test]
fn a_snapshot_that_is_due_is_stored_first_if_the_log_has_no_room() -> TestResult {
    if !files_that_may_not_grow("a_snapshot_that_is_due_is_stored_first_if_the_log_has_no_room")? {
        return Ok(());
    }
    let folder = TempDir::new()?;
    let mut voter = Voter::start(folder.path())?;
    voter.configure(1, 1_000)?;
    let snapshot = voter.node.snapshot_of_applied().ok_or("nothing was applied")?;
    voter.node.record_compaction(&snapshot);
    let too_large = vec![0; FILE_LIMIT_BLOCKS as usize * 512];
    let entry = Entry { index: snapshot.index, term: snapshot.term, payload: Payload::Command(too_large) };
    let refused: Output<u64> = Output::Persist { hard_state: None, entries: vec![entry] };
    let later = VecDeque::from([Output::StoreSnapshot(snapshot)]);
    assert_eq!(voter.disk.write(&mut voter.node, &refused, &VecDeque::new())?, WriteResult::DiskFull);
    assert_eq!(voter.disk.write(&mut voter.node, &refused, &later)?, WriteResult::Stored);
    drop(voter);
    assert_eq!(Voter::start(folder.path())?.version(), 1);
    Ok(())
}
