//! Statistics by second.

use super::groups::GroupLifecycle;
use super::second_of;
use comfy_table::Table;
use dockwood_log_lines::{Body, Event, Line, Request};
use std::collections::{BTreeMap, HashSet};

/// Result code of a request that was answered.
const OK: u16 = 1_000;
/// Result code of a request whose caller disconnected.
const CALLER_LEFT: u16 = 3_007;
/// First result code of the class "not run".
const NOT_RUN: u16 = 2_000;
/// Width of a class of result codes.
const CODE_CLASS: u16 = 1_000;

/// A committed change. Every voter logs it when it applies it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CommittedChange {
    subject: String,
    reason: String,
    revision: u64,
}

impl CommittedChange {
    /// The committed change that a line reports, if any.
    fn from_line(line: &Line) -> Option<CommittedChange> {
        let Body::Event(event) = &line.body else { return None };
        let (subject, reason) = (event.subject.clone(), event.reason.clone());
        Some(CommittedChange { subject, reason, revision: event.revision? })
    }
}

/// Statistics of one second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SecondStats {
    /// Seconds since the first request.
    pub at: i64,
    /// Requests answered, including those whose lines were suppressed.
    pub answered: u64,
    /// Requests refused without being run.
    pub refused: u64,
    /// Requests that failed in other ways.
    pub failed: u64,
    /// Requests whose callers disconnected.
    pub left: u64,
    /// Times to the first event, in milliseconds, sorted.
    pub first_event_ms: Vec<u64>,
    /// Ages of the leader's last message on places, in milliseconds, sorted.
    pub places_age_ms: Vec<u64>,
    /// Shortest remaining time of a configuration lease when a request ended, in milliseconds.
    pub least_lease_ms: Option<u64>,
    /// Leases lost.
    pub leases_lost: u64,
    /// Leaders elected.
    pub elections: u64,
    /// Groups formed.
    pub formed: u64,
    /// Groups ended.
    pub ended: u64,
    /// Groups that accept requests at the end of the second.
    pub open: u64,
    /// Slow turns of control threads, including those whose lines were suppressed.
    pub slow_turns: u64,
    /// Duration of the longest slow turn, in milliseconds.
    pub longest_turn_ms: u64,
    /// Internal faults of daemons.
    pub faults: u64,
}

impl SecondStats {
    fn add_line(&mut self, line: &Line) {
        match &line.body {
            Body::Request(request) => self.add_request(request),
            Body::Event(event) => self.add_event(event),
            Body::SlowTurn(turn) => {
                self.slow_turns += 1 + turn.held_back;
                self.longest_turn_ms = self.longest_turn_ms.max(turn.took_ms);
            }
            Body::Fault(_) => self.faults += 1,
            Body::Order(_) | Body::Suspect(_) | Body::Other => {}
        }
    }

    fn add_request(&mut self, request: &Request) {
        let count = match request.code {
            OK => &mut self.answered,
            CALLER_LEFT => &mut self.left,
            code if code / CODE_CLASS == NOT_RUN / CODE_CLASS => &mut self.refused,
            _ => &mut self.failed,
        };
        *count += 1 + request.held_back;
        self.first_event_ms.extend(request.first_event_ms);
        self.places_age_ms.extend(request.places_age_ms);
        let least = self.least_lease_ms.unwrap_or(u64::MAX).min(request.lease_left_ms);
        self.least_lease_ms = Some(least);
    }

    fn add_event(&mut self, event: &Event) {
        match event.reason.as_str() {
            "LeaseLost" => self.leases_lost += 1,
            "Elected" => self.elections += 1,
            "Formed" if event.group_epoch().is_some() => self.formed += 1,
            "Ended" if event.group_epoch().is_some() => self.ended += 1,
            _ => {}
        }
    }

    fn finish(&mut self, groups: &[GroupLifecycle], begins_at_ms: u64) {
        self.first_event_ms.sort_unstable();
        self.places_age_ms.sort_unstable();
        let end_ms = (begins_at_ms as i64 + (self.at + 1) * 1_000 - 1).max(0) as u64;
        self.open = groups.iter().filter(|group| group.is_open(end_ms)).count() as u64;
    }
}

/// Computes the statistics of each second that has log lines, in order.
pub fn stats_by_second(lines: &[Line], groups: &[GroupLifecycle], begins_at_ms: u64) -> Vec<SecondStats> {
    let mut seconds: BTreeMap<i64, SecondStats> = BTreeMap::new();
    let mut seen_changes = HashSet::new();
    for line in lines {
        // Count a committed change only once, at the first voter that logs it.
        if CommittedChange::from_line(line).is_none_or(|change| seen_changes.insert(change)) {
            let at = second_of(line.at_ms, begins_at_ms);
            seconds.entry(at).or_insert_with(|| SecondStats { at, ..SecondStats::default() }).add_line(line);
        }
    }
    seconds.values_mut().for_each(|second| second.finish(groups, begins_at_ms));
    seconds.into_values().collect()
}

/// The given percentile of sorted samples.
pub(super) fn percentile(sorted: &[u64], percent: usize) -> Option<u64> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get(last * percent / 100).copied()
}

/// Renders the statistics as a table for the terminal.
pub fn table(seconds: &[SecondStats]) -> Table {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header([
        "second",
        "answered",
        "refused",
        "failed",
        "left",
        "first p50",
        "p95",
        "places p95",
        "lease",
        "lost",
        "elected",
        "formed",
        "ended",
        "open",
        "turns",
        "longest",
    ]);
    let optional = |value: Option<u64>| value.map_or("-".to_string(), |value| value.to_string());
    for second in seconds {
        table.add_row([
            second.at.to_string(),
            second.answered.to_string(),
            second.refused.to_string(),
            second.failed.to_string(),
            second.left.to_string(),
            optional(percentile(&second.first_event_ms, 50)),
            optional(percentile(&second.first_event_ms, 95)),
            optional(percentile(&second.places_age_ms, 95)),
            optional(second.least_lease_ms),
            second.leases_lost.to_string(),
            second.elections.to_string(),
            second.formed.to_string(),
            second.ended.to_string(),
            second.open.to_string(),
            second.slow_turns.to_string(),
            second.longest_turn_ms.to_string(),
        ]);
    }
    table
}
