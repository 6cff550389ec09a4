//! Checks of which configurations were in force.

use super::injector::{Outage, OutageKind};
use super::operator::{APPLIED_WITHIN, Operator, Probe, ProbedRoute, Read, Submission};
use super::records::lock;
use std::time::{Duration, Instant};

/// Entries are held to bounds in time again this long after a fault of theirs.
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// An entry does not return to an earlier configuration this long after it has shown a later one.
const REVERT_TOLERANCE: Duration = Duration::from_millis(250);
const NOT_FOUND: u16 = 404;
const SERVED: u16 = 200;

/// What was recorded of configurations.
pub struct ConfigurationRecords {
    pub started: Instant,
    pub submissions: Vec<Submission>,
    pub probes: Vec<Probe>,
    pub reads: Vec<Read>,
    pub outages: Vec<Outage>,
}

impl ConfigurationRecords {
    pub fn violations(&self) -> Vec<String> {
        let probed = self.probes.iter().flat_map(|probe| {
            let rules = [self.is_outdated(probe), self.is_reverted(probe), self.is_refused_content(probe)];
            rules.into_iter().flatten().map(|rule| self.describe(rule, probe))
        });
        let mut violations: Vec<String> = probed.collect();
        for read in &self.reads {
            let accepted = self.accepted_before(read.sent.checked_sub(APPLIED_WITHIN));
            if read.version < accepted {
                violations
                    .push(format!("violated: a read returns version {} after {accepted}", read.version));
            }
        }
        for submission in &self.submissions {
            if submission.is_valid && submission.refused.is_some() {
                violations
                    .push(format!("violated: a valid configuration is refused: {}", submission.version));
            }
            if !submission.is_valid && submission.accepted.is_some() {
                violations
                    .push(format!("violated: an invalid configuration is accepted: {}", submission.version));
            }
        }
        violations
    }

    fn accepted_before(&self, at: Option<Instant>) -> u64 {
        let accepted = self.submissions.iter().filter(|submission| {
            submission.accepted.is_some_and(|accepted| at.is_some_and(|at| accepted < at))
        });
        accepted.map(|submission| submission.version).max().unwrap_or(0)
    }

    fn is_settled(&self, probe: &Probe) -> bool {
        !self.outages.iter().any(|outage| {
            outage.entry == probe.entry
                && outage.from <= probe.ended
                && outage.until.is_none_or(|until| probe.sent < until + SETTLED_AFTER)
        })
    }

    fn is_outdated(&self, probe: &Probe) -> Option<&'static str> {
        let in_force = self.accepted_before(probe.sent.checked_sub(APPLIED_WITHIN));
        let shows_older = match probe.route {
            ProbedRoute::Since(version) => version <= in_force && probe.status == Some(NOT_FOUND),
            ProbedRoute::Only(version) => version < in_force && probe.status == Some(SERVED),
        };
        (shows_older && self.is_settled(probe)).then_some("an accepted configuration is in force")
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
                && earlier.ended + REVERT_TOLERANCE < probe.sent
        };
        let shown = self.probes.iter().find(has_shown)?;
        let has_restarted = self.outages.iter().any(|outage| {
            outage.entry == probe.entry
                && outage.kind != OutageKind::Suspended
                && outage.until.is_none_or(|until| until > shown.sent)
                && outage.from < probe.ended
        });
        (!has_restarted).then_some("an entry does not return to an earlier configuration")
    }

    fn is_refused_content(&self, probe: &Probe) -> Option<&'static str> {
        let ProbedRoute::Only(version) = probe.route else { return None };
        let is_refused = self
            .submissions
            .iter()
            .any(|submission| submission.version == version && submission.refused.is_some());
        (is_refused && probe.status == Some(SERVED)).then_some("a refused configuration is not in force")
    }

    fn describe(&self, rule: &str, probe: &Probe) -> String {
        let at = |time: Instant| time.saturating_duration_since(self.started).as_millis();
        let submissions: Vec<String> = self
            .submissions
            .iter()
            .map(|submission| {
                format!(
                    "{} sent {} accepted {:?}",
                    submission.version,
                    at(submission.sent),
                    submission.accepted.map(at)
                )
            })
            .collect();
        format!(
            "violated: {rule}\n  entry {} at {} to {} ms: {:?} gives {:?}; {}",
            probe.entry,
            at(probe.sent),
            at(probe.ended),
            probe.route,
            probe.status,
            submissions.join(", ")
        )
    }
}

/// Checks that the configuration that is read at the end is the newest accepted one, or a later one, as it was submitted.
pub fn check_final(operator: &Operator, read: Option<serde_json::Value>) -> Option<String> {
    let newest = lock(&operator.submissions)
        .iter()
        .filter(|submission| submission.accepted.is_some())
        .map(|submission| submission.version)
        .max()?;
    let Some(read) = read else { return Some("violated: no configuration is read at the end".to_string()) };
    let version = read["version"].as_u64().unwrap_or(0);
    if version < newest {
        return Some(format!("violated: version {version} is read at the end after {newest} was accepted"));
    }
    let submitted = operator.content_of(version)?;
    let is_as_submitted =
        read["routes"].as_array().map(Vec::len) == submitted["routes"].as_array().map(Vec::len);
    (!is_as_submitted).then(|| format!("violated: version {version} is not read as it was submitted"))
}
