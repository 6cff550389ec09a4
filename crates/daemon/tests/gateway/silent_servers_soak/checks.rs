//! Checks of what callers, servers and the operator have seen.

use super::injector::{Outage, OutageKind, STOP_LIMIT, ServerCrash};
use super::records::{Call, CallKind, Outcome, Run, RunEnd};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A request ends within this time after its deadline, also on a busy machine.
const ENDS_WITHIN: Duration = Duration::from_secs(2);
/// A connection that is closed without a response, and whose request was not forwarded, is closed within this time.
const CLOSED_WITHIN: Duration = Duration::from_millis(200);
/// Servers that are at work in this last part of the stop limit excuse a response that is cut by a planned stop.
const STOP_LIMIT_EXCUSE: Duration = STOP_LIMIT.saturating_sub(Duration::from_millis(1_334));
/// Callers notice the end of a process within this time.
const NOTICED_WITHIN: Duration = Duration::from_secs(2);
/// An entry that is started listens within this time.
const LISTENS_WITHIN: Duration = Duration::from_secs(3);
/// Service is back this long after the last disruption.
pub const RECOVERED_WITHIN: Duration = Duration::from_secs(12);
/// Part of the requests that is served from then on.
const MIN_SERVED: f64 = 0.25;
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What was recorded in a run.
pub struct SoakRecords {
    pub started: Instant,
    pub calls: Vec<Call>,
    pub runs: Vec<Run>,
    pub outages: Vec<Outage>,
    pub crashes: Vec<ServerCrash>,
    pub last_disruption_end: Instant,
    /// Descriptions of processes that ended by themselves.
    pub unexpected_exits: Vec<String>,
}

impl SoakRecords {
    /// Returns descriptions of all violations.
    pub fn violations(&self) -> Vec<String> {
        let by_attempt = self.runs_by_attempt();
        let mut violations = Vec::new();
        for call in &self.calls {
            let runs = by_attempt.get(call.attempt.as_str()).cloned().unwrap_or_default();
            let rules = self.broken_rules(call, &runs);
            violations.extend(
                rules.into_iter().map(|rule| self.describe(&format!("violated: {rule}"), call, &runs)),
            );
        }
        violations.extend(self.unknown_run());
        violations.extend(self.unexpected_exits.iter().map(|exit| format!("violated: {exit}")));
        let is_late = |outage: &&Outage| outage.kind == OutageKind::TerminatedAndKilled;
        violations.extend(
            self.outages
                .iter()
                .filter(is_late)
                .map(|outage| format!("violated: a planned stop takes too long: {outage:?}")),
        );
        violations
    }

    fn runs_by_attempt(&self) -> BTreeMap<&str, Vec<&Run>> {
        let mut by_attempt: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &self.runs {
            by_attempt.entry(&run.attempt).or_default().push(run);
        }
        by_attempt
    }

    fn broken_rules(&self, call: &Call, runs: &[&Run]) -> Vec<&'static str> {
        let ran = runs.iter().filter(|run| !run.ended_as(RunEnd::Rejected)).count();
        let is_at_most_once = call.kind.max_runs() == 1;
        let mut rules = Vec::new();
        let mut check = |holds: bool, rule: &'static str| {
            if !holds {
                rules.push(rule);
            }
        };
        check(ran <= call.kind.max_runs(), "a request runs no more often than its route allows");
        check(
            call.ended - call.sent < call.deadline + ENDS_WITHIN || self.is_suspended_during(call),
            "a request ends at its deadline",
        );
        match &call.outcome {
            Outcome::Whole => {}
            Outcome::NotConnected => check(self.is_entry_out(call), "an entry that runs accepts connections"),
            Outcome::Wrong(_) => {
                check(false, "a response that looks complete is whole and belongs to its request")
            }
            Outcome::Error { status, .. } if NOT_RUN.contains(status) => {
                check(!is_at_most_once || ran == 0, "a request that is refused as not run has not run");
            }
            Outcome::Error { status, .. } if (400..500).contains(status) => {
                check(false, "no proper request is rejected as invalid");
            }
            Outcome::Error { .. } | Outcome::Cut(_) | Outcome::NoResponse(_) | Outcome::Late => check(
                self.is_excused(call, runs),
                "a response ends early only for a crash of its server or a fault of its entry",
            ),
        }
        rules
    }

    fn is_suspended_during(&self, call: &Call) -> bool {
        let is_suspended =
            |outage: &&Outage| outage.kind == OutageKind::Suspended && outage.entry == call.entry;
        self.outages
            .iter()
            .filter(is_suspended)
            .any(|outage| outage.from <= call.ended && outage.until.is_none_or(|until| until >= call.sent))
    }

    /// Whether the entry of a request was disrupted, or has only just been started again.
    fn is_entry_out(&self, call: &Call) -> bool {
        let of_entry = self.outages.iter().filter(|outage| outage.entry == call.entry);
        of_entry
            .filter(|outage| outage.from <= call.ended)
            .any(|outage| outage.until.is_none_or(|until| call.sent < until + LISTENS_WITHIN))
    }

    fn is_excused(&self, call: &Call, runs: &[&Run]) -> bool {
        call.ended - call.sent >= call.deadline
            || self.is_excused_by_entry(call, runs)
            || self.is_excused_by_server(call, runs)
    }

    fn is_excused_by_entry(&self, call: &Call, runs: &[&Run]) -> bool {
        let outages = self.outages.iter().filter(|outage| outage.entry == call.entry);
        let during = outages.filter(|outage| {
            outage.from <= call.ended && outage.until.is_none_or(|until| until >= call.sent)
        });
        for outage in during {
            // The request crossed the end of the process, or was sent after it on a connection that was still open.
            let crossed = runs.is_empty()
                && matches!(call.outcome, Outcome::NoResponse(_))
                && (call.ended - call.sent < CLOSED_WITHIN
                    || outage.ended_at.is_some_and(|ended| ended < call.sent + CLOSED_WITHIN));
            let is_excused = match outage.kind {
                OutageKind::Killed => {
                    let ended_meanwhile = outage
                        .ended_at
                        .is_some_and(|ended| call.sent <= ended && call.ended <= ended + NOTICED_WITHIN);
                    ended_meanwhile || crossed
                }
                OutageKind::Terminated | OutageKind::TerminatedAndKilled => {
                    let is_at_work_at_limit = outage.from + STOP_LIMIT_EXCUSE <= call.ended
                        && call.sent <= outage.from + Duration::from_secs(3)
                        && runs
                            .iter()
                            .any(|run| run.end.is_none_or(|(_, at)| at >= outage.from + STOP_LIMIT_EXCUSE));
                    is_at_work_at_limit || crossed
                }
                OutageKind::Suspended => false,
            };
            if is_excused {
                return true;
            }
        }
        false
    }

    /// Whether a server of the request has crashed; while a request that no server has read was in flight, any server of its
    /// service counts.
    fn is_excused_by_server(&self, call: &Call, runs: &[&Run]) -> bool {
        let crashed = |run: &&&Run| run.ended_as(RunEnd::Crashed) || run.ended_as(RunEnd::MemberCrashed);
        if runs.iter().any(|run| crashed(&run)) {
            return true;
        }
        let is_unread = runs.iter().all(|run| run.ended_as(RunEnd::Rejected));
        let crashes = self.crashes.iter().filter(|crash| crash.service == call.kind.service());
        is_unread && crashes.filter(|crash| call.sent <= crash.at && crash.at <= call.ended).count() > 0
    }

    /// Finds a run of a request that no caller has sent.
    fn unknown_run(&self) -> Option<String> {
        let sent: std::collections::BTreeSet<&str> =
            self.calls.iter().map(|call| call.attempt.as_str()).collect();
        let is_known = |run: &&Run| {
            sent.contains(run.attempt.as_str())
                || run.attempt.starts_with("probe-")
                || run.attempt == "warm-up"
                || run.ended_as(RunEnd::Rejected)
        };
        let unknown = self.runs.iter().find(|run| !is_known(run))?;
        Some(format!("a server runs a request that no caller has sent: {unknown:?}"))
    }

    /// Returns the calls that were sent after the time in which service is to be back, and how many of them were served.
    pub fn served_after_recovery(&self) -> (usize, usize) {
        let from = self.last_disruption_end + RECOVERED_WITHIN;
        let sent = || self.calls.iter().filter(|call| call.sent >= from);
        (sent().count(), sent().filter(|call| call.outcome == Outcome::Whole).count())
    }

    /// Describes the absence of service after the time in which it is to be back.
    pub fn missing_recovery(&self) -> Option<String> {
        let (sent, served) = self.served_after_recovery();
        let is_back = sent > 0 && served as f64 >= MIN_SERVED * sent as f64;
        (!is_back).then(|| format!("service is not back: {served} of {sent} requests served"))
    }

    /// Describes the requests that were held until their deadlines, which is allowed.
    pub fn held_until_deadline(&self) -> Vec<String> {
        let by_attempt = self.runs_by_attempt();
        let held = self.calls.iter().filter(|call| call.ended - call.sent >= call.deadline);
        let describe = |call: &Call| {
            let runs = by_attempt.get(call.attempt.as_str()).cloned().unwrap_or_default();
            self.describe("held until the deadline", call, &runs)
        };
        held.map(describe).collect()
    }

    /// Returns the numbers of requests by outcome.
    pub fn summary(&self) -> String {
        let count = |matches: &dyn Fn(&Call) -> bool| self.calls.iter().filter(|call| matches(call)).count();
        let is_refused =
            |call: &Call| matches!(&call.outcome, Outcome::Error { status, .. } if NOT_RUN.contains(status));
        let (after, served_after) = self.served_after_recovery();
        format!(
            "{} requests, {} whole, {} refused, {} failed with another status, {} cut, {} without response, \
             {} not connected; {} past their deadline, {} runs, {} aborted by entries; after recovery {served_after} of {after}",
            self.calls.len(),
            count(&|call| call.outcome == Outcome::Whole),
            count(&is_refused),
            count(&|call| matches!(call.outcome, Outcome::Error { .. }) && !is_refused(call)),
            count(&|call| matches!(call.outcome, Outcome::Cut(_))),
            count(&|call| matches!(call.outcome, Outcome::NoResponse(_))),
            count(&|call| call.outcome == Outcome::NotConnected),
            count(&|call| call.ended - call.sent >= call.deadline),
            self.runs.len(),
            self.runs.iter().filter(|run| run.ended_as(RunEnd::ClosedByEntry)).count(),
        )
    }

    /// Describes a call with its runs; times are in milliseconds since the start of the run.
    fn describe(&self, rule: &str, call: &Call, runs: &[&Run]) -> String {
        let at = |time: Instant| time.saturating_duration_since(self.started).as_millis();
        let kind: CallKind = call.kind;
        let mut text = format!(
            "{rule}\n  {} ({kind:?}) at entry {} from {} to {} ms, deadline {:?}: {:?}",
            call.attempt,
            call.entry,
            at(call.sent),
            at(call.ended),
            call.deadline,
            call.outcome
        );
        for run in runs {
            let end = run.end.map(|(end, time)| (end, at(time)));
            text += &format!(
                "\n  received by {} at {} ms after event {}: {} events, {end:?}",
                run.server,
                at(run.received_at),
                run.last_event,
                run.events
            );
        }
        text
    }
}
