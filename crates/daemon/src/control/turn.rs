//! Where the control thread's time goes: how long its turns take, and which kind of work takes it.
//!
//! A leader whose turns are long receives and answers late: daemons lose leases, and voters elect another one.

use crate::log_line::{LineBody, SlowTurnLine, WorkTime};
use crate::logging;
use crate::metrics::Metrics;
use dockwood_control::{Input, Output};
use prometheus::Histogram;
use std::time::{Duration, Instant};

/// A turn that takes longer is logged: half of the time between a leader's heartbeats (100 ms).
const SLOW_TURN: Duration = Duration::from_millis(50);
/// Least time between two lines on slow turns; the next line holds the number of those left out.
const LINE_EVERY: Duration = Duration::from_secs(1);

/// Kinds of work in a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Messages of the consensus group.
    Consensus,
    /// Lease requests.
    Leases,
    /// Commands to commit, and voters' admissions.
    Commands,
    /// Servers' reports, and what came of orders and probes.
    Servers,
    /// Entries' and dispatchers' loads.
    Loads,
    /// Requests for places.
    Places,
    /// All other messages.
    Other,
    /// Proposing, running the controllers, answering leases.
    Decisions,
    /// Writing to the disk.
    Disk,
    /// Answers, orders and messages to other voters.
    Sending,
    /// Publishing the tables to the other threads.
    Publishing,
}

impl Work {
    /// All kinds, by position.
    pub const ALL: [Work; 11] = [
        Work::Consensus,
        Work::Leases,
        Work::Commands,
        Work::Servers,
        Work::Loads,
        Work::Places,
        Work::Other,
        Work::Decisions,
        Work::Disk,
        Work::Sending,
        Work::Publishing,
    ];

    /// The label in metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Work::Consensus => "consensus",
            Work::Leases => "leases",
            Work::Commands => "commands",
            Work::Servers => "servers",
            Work::Loads => "loads",
            Work::Places => "places",
            Work::Other => "other",
            Work::Decisions => "decisions",
            Work::Disk => "disk",
            Work::Sending => "sending",
            Work::Publishing => "publishing",
        }
    }

    /// The kind of taking an input.
    pub fn of_input<R>(input: &Input<R>) -> Work {
        match input {
            Input::Consensus(_) => Work::Consensus,
            Input::Lease(..) | Input::LeaseGranted(_) | Input::Delegate(..) | Input::Delegated { .. } => {
                Work::Leases
            }
            Input::Submit(_) | Input::AdmitVoter { .. } | Input::LearnVoters(_) => Work::Commands,
            Input::Register(..)
            | Input::OrderAnswered { .. }
            | Input::GroupOrderAnswered(..)
            | Input::Probed { .. } => Work::Servers,
            Input::ExchangeLoad(..) | Input::ServerLimits(_) => Work::Loads,
            Input::AssignPlace(..) => Work::Places,
            _ => Work::Other,
        }
    }

    /// The kind of carrying out an output.
    pub fn of_output<R>(output: &Output<R>) -> Work {
        match output {
            Output::Persist { .. } | Output::StoreSnapshot(_) => Work::Disk,
            _ => Work::Sending,
        }
    }
}

/// Measures turns.
pub struct TurnClock {
    turn_seconds: Histogram,
    work_seconds: [Histogram; Work::ALL.len()],
    spent: [Duration; Work::ALL.len()],
    daemon: String,
    logged_at: Option<Instant>,
    held_back: u64,
}

impl TurnClock {
    /// A clock of a daemon, which shows its figures in the metrics.
    pub fn new(daemon: &str, metrics: &Metrics) -> TurnClock {
        TurnClock {
            daemon: daemon.to_string(),
            turn_seconds: metrics.control_turn_seconds.clone(),
            work_seconds: Work::ALL
                .map(|work| metrics.control_work_seconds.with_label_values(&[work.name()])),
            spent: Default::default(),
            logged_at: None,
            held_back: 0,
        }
    }

    /// Counts the time since `begun` as spent on a kind of work.
    pub fn spent(&mut self, work: Work, begun: Instant) {
        self.spent[work as usize] += begun.elapsed();
    }

    /// Ends the turn.
    pub fn end_turn(&mut self) {
        let spent = std::mem::take(&mut self.spent);
        let whole: Duration = spent.iter().sum();
        self.turn_seconds.observe(whole.as_secs_f64());
        for (histogram, time) in self.work_seconds.iter().zip(&spent).filter(|(_, time)| !time.is_zero()) {
            histogram.observe(time.as_secs_f64());
        }
        if whole >= SLOW_TURN {
            self.log(whole, &spent);
        }
    }

    fn log(&mut self, whole: Duration, spent: &[Duration; Work::ALL.len()]) {
        if self.logged_at.is_some_and(|at| at.elapsed() < LINE_EVERY) {
            self.held_back += 1;
            return;
        }
        self.logged_at = Some(Instant::now());
        let work = Work::ALL.iter().zip(spent).filter(|(_, time)| time.as_millis() > 0);
        let work = work.map(|(work, time)| WorkTime { work: work.name(), took_ms: time.as_millis() as u64 });
        let line = SlowTurnLine {
            took_ms: whole.as_millis() as u64,
            work: work.collect(),
            held_back: std::mem::take(&mut self.held_back),
        };
        logging::write(&self.daemon, LineBody::SlowTurn(line));
    }
}
