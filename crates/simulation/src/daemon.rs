//! A simulated daemon: its control node, clock, disk, lease, and what its probers and coordinators know.

use crate::disk::Disk;
use crate::events::ReplyTo;
use dockwood_api::peer::{DaemonRecord, MachineState};
use dockwood_control::{ControlNode, LEASE_MS, Moment};
use dockwood_routing::EvidenceTable;
use std::collections::{BTreeMap, BTreeSet};

/// One daemon.
#[derive(Debug)]
pub(crate) struct Daemon {
    pub record: DaemonRecord,
    /// Its id in the control group, if it is a voter.
    pub voter: Option<u64>,
    pub disk: Disk,
    /// `None` while the process is down.
    pub node: Option<ControlNode<ReplyTo>>,
    pub incarnation: u64,
    pub paused_until: u64,
    /// Kills the process at the next synced write: before it, or after it.
    pub dies_at_sync: Option<bool>,
    /// Where its monotonic clock began, and its rate in thousandths.
    clock_start: u64,
    clock_rate: u64,
    /// Until when its lease runs, by its own clock.
    pub lease_until: u64,
    /// The request under way: its number, and when it was sent by its own clock.
    pub poll: Option<(u64, u64)>,
    pub next_poll: u64,
    /// The daemon it takes for the leader.
    pub leader: Option<usize>,
    pub leader_term: u64,
    /// What it has told the leader of that term.
    pub told: BTreeMap<String, MachineState>,
    pub told_term: u64,
    pub retell_at: u64,
    pub told_idle: BTreeSet<(String, u64)>,
    pub gate: EvidenceTable,
    /// The newest clock that each daemon has answered to evidence.
    pub echoes: BTreeMap<usize, u64>,
    /// The newest revision that this process has applied.
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
            dies_at_sync: None,
            clock_start,
            clock_rate,
            lease_until: 0,
            poll: None,
            next_poll: 1,
            leader: None,
            leader_term: 0,
            told: BTreeMap::new(),
            told_term: 0,
            retell_at: 0,
            told_idle: BTreeSet::new(),
            gate: EvidenceTable::default(),
            echoes: BTreeMap::new(),
            highest_revision: 0,
        }
    }

    /// Its clocks at a true time.
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

    /// Forgets all that a process holds in memory.
    pub fn forget_memory(&mut self) {
        self.node = None;
        self.paused_until = 0;
        self.dies_at_sync = None;
        self.lease_until = 0;
        self.poll = None;
        self.leader = None;
        self.leader_term = 0;
        self.told.clear();
        self.told_term = 0;
        self.told_idle.clear();
        self.gate = EvidenceTable::default();
        self.echoes.clear();
        self.highest_revision = 0;
    }
}
