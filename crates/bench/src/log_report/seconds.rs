//! A table by second.

use super::groups::GroupLife;
use super::second_of;
use comfy_table::Table;
use dockwood_log_lines::{Body, Event, Line, Request};
use std::collections::{BTreeMap, HashSet};

/// Result code of an answered request.
const OK: u16 = 1_000;
/// Result code of a request whose caller left.
const CALLER_LEFT: u16 = 3_007;
/// Result codes from here to the next thousand say that the request was not run.
const NOT_RUN: u16 = 2_000;
/// Width of a class of result codes.
const CODE_CLASS: u16 = 1_000;

/// A change that was committed. Every voter tells of it when it applies it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CommittedChange {
    subject: String,
    reason: String,
    revision: u64,
}

impl CommittedChange {
    /// The change that a line tells of, if it tells of a committed one.
    fn of(line: &Line) -> Option<CommittedChange> {
        let Body::Event(event) = &line.body else { return None };
        let (subject, reason) = (event.subject.clone(), event.reason.clone());
        Some(CommittedChange { subject, reason, revision: event.revision? })
    }
}

/// One second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// Seconds since the first request.
    pub at: i64,
    /// Requests answered, with those whose lines were held back.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that failed otherwise.
    pub failed: u64,
    /// Requests whose callers left.
    pub left: u64,
    /// Times to the first event, in milliseconds, in order.
    pub first_event_ms: Vec<u64>,
    /// Ages of the last word on places, in milliseconds, in order.
    pub places_age_ms: Vec<u64>,
    /// The shortest rest of a configuration lease when a request ended, in milliseconds.
    pub least_lease_ms: Option<u64>,
    /// Leases lost.
    pub leases_lost: u64,
    /// Leaders elected.
    pub elections: u64,
    /// Groups formed.
    pub formed: u64,
    /// Groups ended.
    pub ended: u64,
    /// Groups that take requests at its end.
    pub open: u64,
    /// Long turns of control threads, with those whose lines were held back.
    pub slow_turns: u64,
    /// The longest of them, in milliseconds.
    pub longest_turn_ms: u64,
    /// Faults of daemons' own.
    pub faults: u64,
}

impl Second {
    fn take(&mut self, line: &Line) {
        match &line.body {
            Body::Request(request) => self.take_request(request),
            Body::Event(event) => self.take_event(event),
            Body::SlowTurn(turn) => {
                self.slow_turns += 1 + turn.held_back;
                self.longest_turn_ms = self.longest_turn_ms.max(turn.took_ms);
            }
            Body::Fault(_) => self.faults += 1,
            Body::Order(_) | Body::Suspect(_) | Body::Other => {}
        }
    }

    fn take_request(&mut self, request: &Request) {
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

    fn take_event(&mut self, event: &Event) {
        match event.reason.as_str() {
            "LeaseLost" => self.leases_lost += 1,
            "Elected" => self.elections += 1,
            "Formed" if event.group_epoch().is_some() => self.formed += 1,
            "Ended" if event.group_epoch().is_some() => self.ended += 1,
            _ => {}
        }
    }

    fn finish(&mut self, groups: &[GroupLife], begins_at_ms: u64) {
        self.first_event_ms.sort_unstable();
        self.places_age_ms.sort_unstable();
        let end_ms = (begins_at_ms as i64 + (self.at + 1) * 1_000 - 1).max(0) as u64;
        self.open = groups.iter().filter(|group| group.is_open(end_ms)).count() as u64;
    }
}

/// The seconds that have any line, in order.
pub fn seconds(lines: &[Line], groups: &[GroupLife], begins_at_ms: u64) -> Vec<Second> {
    let mut seconds: BTreeMap<i64, Second> = BTreeMap::new();
    let mut told = HashSet::new();
    for line in lines {
        // The first voter's word on a change counts.
        if CommittedChange::of(line).is_none_or(|change| told.insert(change)) {
            let at = second_of(line.at_ms, begins_at_ms);
            seconds.entry(at).or_insert_with(|| Second { at, ..Second::default() }).take(line);
        }
    }
    seconds.values_mut().for_each(|second| second.finish(groups, begins_at_ms));
    seconds.into_values().collect()
}

/// The value below which `percent` of ordered samples lie.
pub(super) fn percentile(ordered: &[u64], percent: usize) -> Option<u64> {
    let last = ordered.len().checked_sub(1)?;
    ordered.get(last * percent / 100).copied()
}

/// The table for a terminal.
pub fn table(seconds: &[Second]) -> Table {
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
    let shown = |value: Option<u64>| value.map_or("-".to_string(), |value| value.to_string());
    for second in seconds {
        table.add_row([
            second.at.to_string(),
            second.answered.to_string(),
            second.refused.to_string(),
            second.failed.to_string(),
            second.left.to_string(),
            shown(percentile(&second.first_event_ms, 50)),
            shown(percentile(&second.first_event_ms, 95)),
            shown(percentile(&second.places_age_ms, 95)),
            shown(second.least_lease_ms),
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
