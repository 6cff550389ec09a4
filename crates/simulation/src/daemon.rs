//! A simulated daemon: its control node, clock, disk and lease, and the state of its probers and
//! coordinators.

use crate::disk::Disk;
use crate::events::ReplyTarget;
use dockwood_api::peer::{DaemonRecord, MachineState};
use dockwood_control::{ControlNode, LEASE_MS, Moment};
use dockwood_routing::EvidenceTable;
use std::collections::{BTreeMap, BTreeSet};

/// A simulated daemon.
#[derive(Debug)]
pub(crate) struct Daemon {
    pub record: DaemonRecord,
    /// Node id in the control group if the daemon is a voter.
    pub voter: Option<u64>,
    pub disk: Disk,
    /// `None` while the process is down.
    pub node: Option<ControlNode<ReplyTarget>>,
    pub incarnation: u64,
    pub paused_until: u64,
    /// Crashes the process at its next synced write: `true` before the write, `false` after it.
    pub crash_at_sync: Option<bool>,
    /// Start value of the monotonic clock, and its rate in thousandths of real time.
    clock_start: u64,
    clock_rate: u64,
    /// End of the lease, by the daemon's own clock.
    pub lease_until: u64,
    /// The lease request in flight: its id, and the send time by the daemon's own clock.
    pub pending_lease_request: Option<(u64, u64)>,
    pub next_lease_request_id: u64,
    /// The daemon believed to be the leader.
    pub leader: Option<usize>,
    pub leader_term: u64,
    /// Machine states reported to the leader of `reported_term`; a state is reported again once it changes.
    pub reported_machines: BTreeMap<String, MachineState>,
    pub reported_term: u64,
    pub full_report_at: u64,
    pub reported_idle_replicas: BTreeSet<(String, u64)>,
    pub gate: EvidenceTable,
    /// The latest clock value that each daemon returned for evidence.
    pub echoes: BTreeMap<usize, u64>,
    /// The highest revision applied by this process.
    pub highest_revision: u64,
}

impl Daemon {
    pub fn new(record: DaemonRecord, voter: Option<u64>, clock_start: u64, clock_rate: u64) -> Self {
        Daemon {
            record,
            voter,
            disk: Disk::default(),
            node: None,
            incarnation: 0,
            paused_until: 0,
            crash_at_sync: None,
            clock_start,
            clock_rate,
            lease_until: 0,
            pending_lease_request: None,
            next_lease_request_id: 1,
            leader: None,
            leader_term: 0,
            reported_machines: BTreeMap::new(),
            reported_term: 0,
            full_report_at: 0,
            reported_idle_replicas: BTreeSet::new(),
            gate: EvidenceTable::default(),
            echoes: BTreeMap::new(),
            highest_revision: 0,
        }
    }

    /// Returns the daemon's clocks at a simulated time.
    pub fn moment(&self, now: u64) -> Moment {
        const EPOCH_MS: u64 = 1_700_000_000_000;
        let monotonic = self.clock_start + now * self.clock_rate / 1_000;
        Moment { monotonic, wall_ms: EPOCH_MS + now }
    }

    pub fn holds_lease(&self, now: u64) -> bool {
        self.node.is_some() && self.moment(now).monotonic < self.lease_until
    }

    pub fn extend_lease(&mut self, sent_at: u64) {
        self.lease_until = self.lease_until.max(sent_at + LEASE_MS);
    }

    pub fn revision(&self) -> u64 {
        self.node.as_ref().map_or(0, |node| node.tables().revision)
    }

    pub fn is_up(&self, now: u64) -> bool {
        self.node.is_some() && self.paused_until <= now
    }

    /// Discards all in-memory state of the process.
    pub fn discard_memory(&mut self) {
        self.node = None;
        self.paused_until = 0;
        self.crash_at_sync = None;
        self.lease_until = 0;
        self.pending_lease_request = None;
        self.leader = None;
        self.leader_term = 0;
        self.reported_machines.clear();
        self.reported_term = 0;
        self.reported_idle_replicas.clear();
        self.gate = EvidenceTable::default();
        self.echoes.clear();
        self.highest_revision = 0;
    }
}
