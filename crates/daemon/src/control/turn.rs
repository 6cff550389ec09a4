//! Measures the turns of the control thread: their duration, and the time spent on each kind of work.
//!
//! A leader whose turns take long receives and answers messages late, so that daemons lose their leases and the voters
//! elect another leader.

use crate::log_line::{LineBody, SlowTurnLine, WorkTime};
use crate::logging;
use crate::metrics::Metrics;
use dockwood_control::{Input, Output};
use prometheus::Histogram;
use std::time::{Duration, Instant};

/// Turns of at least this duration are logged: half of the interval between a leader's heartbeats (100 ms).
const SLOW_TURN_THRESHOLD: Duration = Duration::from_millis(50);
/// Minimum time between two log lines on slow turns; the next line has the number of suppressed lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Kinds of work in a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// Handling messages of the consensus group.
    Consensus,
    /// Handling lease requests.
    Leases,
    /// Handling commands to commit and admissions of voters.
    Commands,
    /// Handling servers' reports and the results of orders and probes.
    Servers,
    /// Handling load reports of entries and dispatchers.
    Loads,
    /// Handling requests for places.
    Places,
    /// Handling all other messages.
    Other,
    /// Proposing commands, running the controllers and answering lease requests.
    Decisions,
    /// Writing to the disk.
    Disk,
    /// Sending answers, orders and messages to other voters.
    Sending,
    /// Publishing the tables to the other threads.
    Publishing,
}

impl WorkKind {
    /// All kinds, in order of their discriminants.
    pub const ALL: [WorkKind; 11] = [
        WorkKind::Consensus,
        WorkKind::Leases,
        WorkKind::Commands,
        WorkKind::Servers,
        WorkKind::Loads,
        WorkKind::Places,
        WorkKind::Other,
        WorkKind::Decisions,
        WorkKind::Disk,
        WorkKind::Sending,
        WorkKind::Publishing,
    ];

    /// The label in metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            WorkKind::Consensus => "consensus",
            WorkKind::Leases => "leases",
            WorkKind::Commands => "commands",
            WorkKind::Servers => "servers",
            WorkKind::Loads => "loads",
            WorkKind::Places => "places",
            WorkKind::Other => "other",
            WorkKind::Decisions => "decisions",
            WorkKind::Disk => "disk",
            WorkKind::Sending => "sending",
            WorkKind::Publishing => "publishing",
        }
    }

    /// The kind of work of handling an input.
    pub fn of_input<R>(input: &Input<R>) -> WorkKind {
        match input {
            Input::Consensus(_) => WorkKind::Consensus,
            Input::Lease(..) | Input::LeaseGranted(_) | Input::Delegate(..) | Input::Delegated { .. } => {
                WorkKind::Leases
            }
            Input::Submit(_) | Input::AdmitVoter { .. } | Input::LearnVoters(_) => WorkKind::Commands,
            Input::Register(..)
            | Input::OrderAnswered { .. }
            | Input::GroupOrderAnswered(..)
            | Input::Probed { .. } => WorkKind::Servers,
            Input::ExchangeLoad(..) | Input::ServerLimits(_) => WorkKind::Loads,
            Input::AssignPlace(..) => WorkKind::Places,
            _ => WorkKind::Other,
        }
    }

    /// The kind of work of carrying out an output.
    pub fn of_output<R>(output: &Output<R>) -> WorkKind {
        match output {
            Output::Persist { .. } | Output::StoreSnapshot(_) => WorkKind::Disk,
            _ => WorkKind::Sending,
        }
    }
}

/// Measures the turns of the control thread.
pub struct TurnTimer {
    turn_seconds: Histogram,
    work_seconds: [Histogram; WorkKind::ALL.len()],
    spent: [Duration; WorkKind::ALL.len()],
    daemon: String,
    last_logged_at: Option<Instant>,
    held_back: u64,
}

impl TurnTimer {
    /// Creates a timer that reports to `metrics` and logs slow turns under the daemon's name.
    pub fn new(daemon: &str, metrics: &Metrics) -> TurnTimer {
        TurnTimer {
            daemon: daemon.to_string(),
            turn_seconds: metrics.control_turn_seconds.clone(),
            work_seconds: WorkKind::ALL
                .map(|work| metrics.control_work_seconds.with_label_values(&[work.name()])),
            spent: Default::default(),
            last_logged_at: None,
            held_back: 0,
        }
    }

    /// Adds the time since `begun` to a kind of work.
    pub fn record(&mut self, work: WorkKind, begun: Instant) {
        self.spent[work as usize] += begun.elapsed();
    }

    /// Ends the turn: reports its durations and starts the next turn.
    pub fn end_turn(&mut self) {
        let spent = std::mem::take(&mut self.spent);
        let total: Duration = spent.iter().sum();
        self.turn_seconds.observe(total.as_secs_f64());
        for (histogram, time) in self.work_seconds.iter().zip(&spent).filter(|(_, time)| !time.is_zero()) {
            histogram.observe(time.as_secs_f64());
        }
        if total >= SLOW_TURN_THRESHOLD {
            self.log_slow_turn(total, &spent);
        }
    }

    fn log_slow_turn(&mut self, total: Duration, spent: &[Duration; WorkKind::ALL.len()]) {
        if self.last_logged_at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            self.held_back += 1;
            return;
        }
        self.last_logged_at = Some(Instant::now());
        let work = WorkKind::ALL.iter().zip(spent).filter(|(_, time)| time.as_millis() > 0);
        let work = work.map(|(work, time)| WorkTime { work: work.name(), took_ms: time.as_millis() as u64 });
        let line = SlowTurnLine {
            took_ms: total.as_millis() as u64,
            work: work.collect(),
            held_back: std::mem::take(&mut self.held_back),
        };
        logging::write(&self.daemon, LineBody::SlowTurn(line));
    }
}
