//! Checks of which configurations were in force, and of what was read.

use super::operator::{Read, Submission};
use super::probes::{Probe, ProbedRoute};
use std::time::{Duration, Instant};

const SERVED: u16 = 200;
const NOT_FOUND: u16 = 404;
const UNAUTHORIZED: u16 = 401;
/// A configuration may take this much longer to be accepted for each of its routes.
const ACCEPTED_LATER_PER_ROUTE: Duration = Duration::from_millis(3);
/// Routes that were added are compared with the first ones once they were probed this often.
const COMPARED_PROBES: usize = 20;
/// The part of the first routes' success that added routes must have.
const MIN_ADDED_SUCCESS: f64 = 0.25;

/// Times in which changes take effect.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// An accepted configuration is in force within this time.
    pub applied_within: Duration,
    /// Processes are held to bounds in time again this long after a disruption.
    pub settled_after: Duration,
    /// While the control group is disrupted and has a majority, configurations may be in force this much later.
    pub delayed_by_control: Duration,
    /// An entry does not return to an earlier configuration this long after it has shown a later one.
    pub reverts_within: Duration,
    /// A key that was taken away is refused from then on, whatever is disrupted.
    pub revoked_within: Duration,
    /// A valid configuration is accepted within this time while the control group is not disrupted.
    pub accepted_within: Duration,
}

/// A process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Process {
    Member(usize),
    Entry(usize),
}

/// A time in which a process did not run, or its links did not work.
#[derive(Clone, Debug)]
pub struct Disruption {
    pub process: Process,
    /// Whether the process has ended, so that its successor begins anew.
    pub ends_process: bool,
    pub from: Instant,
    pub until: Option<Instant>,
}

impl Disruption {
    fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.until.is_none_or(|until| until >= from)
    }

    /// Whether it begins or ends in this time.
    fn changes_in(&self, from: Instant, to: Instant) -> bool {
        let is_in = |at: Instant| from <= at && at <= to;
        is_in(self.from) || self.until.is_some_and(is_in)
    }
}

/// What was recorded of configurations.
pub struct ConfigurationRecords {
    pub started: Instant,
    pub bounds: Bounds,
    /// Number of members of the control group.
    pub members: usize,
    pub submissions: Vec<Submission>,
    pub probes: Vec<Probe>,
    pub reads: Vec<Read>,
    pub disruptions: Vec<Disruption>,
}

impl ConfigurationRecords {
    /// Returns descriptions of all violations.
    pub fn violations(&self) -> Vec<String> {
        let probed = self.probes.iter().flat_map(|probe| {
            let rules = [
                self.is_outdated(probe),
                self.is_reverted(probe),
                self.is_refused_content(probe),
                self.has_revoked_key(probe),
            ];
            rules.into_iter().flatten().map(|rule| self.describe(rule, probe))
        });
        let mut violations: Vec<String> = probed.collect();
        violations.extend(self.reads.iter().flat_map(|read| self.check_read(read)));
        violations.extend(self.submissions.iter().flat_map(|submission| self.check_submission(submission)));
        violations.extend(self.added_routes_that_are_not_served());
        violations
    }

    /// Returns how many configurations, probes and reads were recorded, by result.
    pub fn summary(&self) -> String {
        let accepted = self.submissions.iter().filter(|submission| submission.accepted.is_some()).count();
        let served = self.probes.iter().filter(|probe| probe.status == Some(SERVED)).count();
        let calm = |probe: &&Probe| self.applied_within(probe) == Some(self.bounds.applied_within);
        format!(
            "{accepted} of {} configurations accepted, {served} of {} probes served, {} with all bounds, {} reads",
            self.submissions.len(),
            self.probes.len(),
            self.probes.iter().filter(calm).count(),
            self.reads.len()
        )
    }

    /// Checks the configuration that is read after the last fault; `None` if none was read in time.
    pub fn check_final(&self, read: Option<&Read>) -> Vec<String> {
        let Some(read) = read else {
            return vec!["violated: no configuration is read at the end".to_string()];
        };
        let newest = self.accepted_before(Some(read.sent));
        let mut violations = Vec::new();
        if read.version < newest {
            let version = read.version;
            violations
                .push(format!("violated: version {version} is read at the end after {newest} was accepted"));
        }
        violations.extend(self.check_content(read));
        violations
    }

    fn check_read(&self, read: &Read) -> Vec<String> {
        let mut violations = self.check_content(read);
        let accepted = self.accepted_before(read.sent.checked_sub(self.bounds.applied_within));
        if read.version < accepted {
            violations.push(format!("violated: a read returns version {} after {accepted}", read.version));
        }
        violations
    }

    fn check_content(&self, read: &Read) -> Vec<String> {
        let submission = self.submissions.iter().find(|submission| submission.version == read.version);
        let mut violations = Vec::new();
        if submission.is_some_and(|submission| !submission.is_valid) {
            violations.push(format!("violated: an invalid configuration is read: {}", read.version));
        }
        if !read.is_as_submitted {
            violations.push(format!("violated: version {} is not read as it was submitted", read.version));
        }
        violations
    }

    fn check_submission(&self, submission: &Submission) -> Vec<String> {
        let Submission { version, is_valid, accepted, refused, refused_again, .. } = submission;
        let mut violations = Vec::new();
        if *is_valid && refused.is_some() {
            violations.push(format!("violated: a valid configuration is refused: {version}"));
        }
        if !*is_valid && accepted.is_some() {
            violations.push(format!("violated: an invalid configuration is accepted: {version}"));
        }
        if refused_again.is_some() {
            violations.push(format!("violated: an accepted configuration is refused: {version}"));
        }
        let limit = self.bounds.accepted_within + ACCEPTED_LATER_PER_ROUTE * submission.routes as u32;
        let due = submission.sent + limit;
        let is_late = accepted.is_none_or(|accepted| accepted > due);
        if *is_valid && is_late && self.is_control_stable(submission.sent, due) {
            violations.push(format!("violated: a valid configuration is accepted in time: {version}"));
        }
        violations
    }

    fn accepted_before(&self, at: Option<Instant>) -> u64 {
        let Some(at) = at else { return 0 };
        let is_accepted =
            |submission: &&Submission| submission.accepted.is_some_and(|accepted| accepted < at);
        let accepted = self.submissions.iter().filter(is_accepted);
        accepted.map(|submission| submission.version).max().unwrap_or(0)
    }

    fn settled_since(&self, at: Instant) -> Instant {
        at.checked_sub(self.bounds.settled_after).unwrap_or(at)
    }

    /// Whether no disruption of the entry falls in this time or shortly before it.
    fn is_entry_settled(&self, entry: usize, from: Instant, to: Instant) -> bool {
        let since = self.settled_since(from);
        let is_entry = |disruption: &&Disruption| disruption.process == Process::Entry(entry);
        !self.disruptions.iter().filter(is_entry).any(|disruption| disruption.overlaps(since, to))
    }

    fn disruptions_of_members(&self) -> impl Iterator<Item = &Disruption> {
        self.disruptions.iter().filter(|disruption| matches!(disruption.process, Process::Member(_)))
    }

    /// Whether more than half of the control group works in this time.
    fn has_majority(&self, from: Instant, to: Instant) -> bool {
        let mut disrupted: Vec<Process> = self
            .disruptions_of_members()
            .filter(|disruption| disruption.overlaps(from, to))
            .map(|disruption| disruption.process)
            .collect();
        disrupted.sort();
        disrupted.dedup();
        2 * disrupted.len() < self.members
    }

    /// Whether the control group has a majority, and nothing of it changes in this time or shortly before it.
    fn is_control_stable(&self, from: Instant, to: Instant) -> bool {
        let since = self.settled_since(from);
        let changes = self.disruptions_of_members().any(|disruption| disruption.changes_in(since, to));
        !changes && self.has_majority(since, to)
    }

    /// The time within which an entry must have in force what was accepted, at the time of a probe; `None` if there is no
    /// limit.
    fn applied_within(&self, probe: &Probe) -> Option<Duration> {
        if !self.is_entry_settled(probe.entry, probe.sent, probe.ended) {
            return None;
        }
        if self.is_control_stable(probe.sent, probe.ended) {
            return Some(self.bounds.applied_within);
        }
        let limit = self.bounds.applied_within + self.bounds.delayed_by_control;
        let since = probe.sent.checked_sub(limit + self.bounds.settled_after)?;
        self.has_majority(since, probe.ended).then_some(limit)
    }

    fn is_outdated(&self, probe: &Probe) -> Option<&'static str> {
        let limit = self.applied_within(probe)?;
        let in_force = self.accepted_before(probe.sent.checked_sub(limit));
        let is_denied = matches!(probe.status, Some(NOT_FOUND | UNAUTHORIZED));
        let is_served = probe.status == Some(SERVED);
        let shows_older = match probe.route {
            ProbedRoute::First => is_denied,
            ProbedRoute::Since(version) => version <= in_force && is_denied,
            ProbedRoute::Only(version) | ProbedRoute::Key(version) => version < in_force && is_served,
            ProbedRoute::Rival(_) => false,
        };
        shows_older.then_some("an accepted configuration is in force")
    }

    /// Whether an entry has shown the version of the route before, in the same life of its process.
    fn is_reverted(&self, probe: &Probe) -> Option<&'static str> {
        let ProbedRoute::Since(version) = probe.route else { return None };
        if probe.status != Some(NOT_FOUND) {
            return None;
        }
        let has_shown = |earlier: &&Probe| {
            let is_later = matches!(earlier.route, ProbedRoute::Since(shown) if shown >= version);
            earlier.entry == probe.entry
                && is_later
                && earlier.status == Some(SERVED)
                && earlier.ended + self.bounds.reverts_within < probe.sent
        };
        let shown = self.probes.iter().find(has_shown)?;
        let has_restarted = self.disruptions.iter().any(|disruption| {
            disruption.process == Process::Entry(probe.entry)
                && disruption.ends_process
                && disruption.overlaps(shown.sent, probe.ended)
        });
        (!has_restarted).then_some("an entry does not return to an earlier configuration")
    }

    fn is_refused_content(&self, probe: &Probe) -> Option<&'static str> {
        let is_never_in_force = match probe.route {
            ProbedRoute::Only(version) | ProbedRoute::Key(version) => {
                let is_this = |submission: &&Submission| submission.version == version;
                let submission = self.submissions.iter().find(is_this);
                submission.is_some_and(|submission| !submission.is_valid || submission.refused.is_some())
            }
            ProbedRoute::Rival(_) => true,
            ProbedRoute::First | ProbedRoute::Since(_) => false,
        };
        let is_served = probe.status == Some(SERVED);
        (is_never_in_force && is_served).then_some("a refused configuration is not in force")
    }

    fn has_revoked_key(&self, probe: &Probe) -> Option<&'static str> {
        let ProbedRoute::Key(version) = probe.route else { return None };
        let accepted = self.accepted_before(probe.sent.checked_sub(self.bounds.revoked_within));
        let is_served = probe.status == Some(SERVED);
        (version < accepted && is_served).then_some("a key that was taken away is refused")
    }

    /// Routes that were added are served as well as the first ones, at entries and times without disruptions.
    fn added_routes_that_are_not_served(&self) -> Option<String> {
        let calm = || {
            self.probes.iter().filter(|probe| self.applied_within(probe) == Some(self.bounds.applied_within))
        };
        let is_added = |probe: &&Probe| {
            let in_force = self.accepted_before(probe.sent.checked_sub(self.bounds.applied_within));
            matches!(probe.route, ProbedRoute::Since(version) if version <= in_force)
        };
        let added: Vec<&Probe> = calm().filter(is_added).collect();
        let first: Vec<&Probe> = calm().filter(|probe| probe.route == ProbedRoute::First).collect();
        let success = |probes: &[&Probe]| {
            let served = probes.iter().filter(|probe| probe.status == Some(SERVED)).count();
            served as f64 / probes.len().max(1) as f64
        };
        let (added_success, first_success) = (success(&added), success(&first));
        let is_too_low = added.len() >= COMPARED_PROBES && added_success < MIN_ADDED_SUCCESS * first_success;
        is_too_low.then(|| {
            format!(
                "violated: added routes are served: {added_success:.2}, the first ones {first_success:.2}"
            )
        })
    }

    fn describe(&self, rule: &str, probe: &Probe) -> String {
        let at = |time: Instant| time.saturating_duration_since(self.started).as_millis();
        let accepted = |submission: &Submission| submission.accepted.map(at);
        let submissions: Vec<String> = self
            .submissions
            .iter()
            .rev()
            .take(12)
            .map(|submission| {
                format!(
                    "{} sent {} accepted {:?}",
                    submission.version,
                    at(submission.sent),
                    accepted(submission)
                )
            })
            .collect();
        let Probe { entry, route, status, .. } = probe;
        format!(
            "violated: {rule}\n  entry {entry} at {} to {} ms: {route:?} gives {status:?}; {}",
            at(probe.sent),
            at(probe.ended),
            submissions.join(", ")
        )
    }
}
