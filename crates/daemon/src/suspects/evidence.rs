//! Evidence against one attempt of a request, and the log lines on it.

use super::reporting::CrashedAttempt;
use crate::clock::{monotonic_ms, wall_ms};
use crate::lock::lock;
use crate::log_line::{LineBody, SuspectLine, SuspectStep};
use crate::logging;
use crate::shared::Shared;
use dockwood_api::gateway::{Fingerprint, PartSet, PromptPart};
use dockwood_state::{SuspectAttempt, SuspectPrompt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The server that the request was sent to, or is to be sent to.
#[derive(Clone, Debug)]
pub struct SelectedServer {
    /// Instance id.
    pub instance: String,
    /// Its zone.
    pub zone: String,
    /// Its address.
    pub address: SocketAddr,
}

/// What the check of a server's process found after a connection to it broke.
#[derive(Clone, Copy, Debug)]
pub struct CheckFinding {
    /// Name of the finding.
    pub found: &'static str,
    /// Time since the connection broke.
    pub after: Duration,
    /// How long the server had been sending its response when the connection broke; `None` if it had sent nothing.
    pub responding_for: Option<Duration>,
}

/// Records the evidence from one attempt of a request.
#[derive(Clone)]
pub struct AttemptEvidence {
    /// State of the daemon.
    pub shared: Arc<Shared>,
    /// The attempt.
    pub attempt: SuspectAttempt,
    /// Parts of its prompt that other requests may share.
    pub shared_parts: Arc<[PromptPart]>,
    /// Number of the newest crash under a prompt that was known here when the attempt was admitted to its server.
    pub known_crash: u64,
}

impl AttemptEvidence {
    /// Returns the fingerprint of the request.
    pub fn fingerprint(&self) -> Fingerprint {
        self.attempt.fingerprint
    }

    /// The prompt of the attempt; `None` if it has no parts that other requests may share.
    fn prompt(&self) -> Option<SuspectPrompt> {
        (!self.shared_parts.is_empty()).then(|| SuspectPrompt {
            fingerprint: self.attempt.fingerprint,
            request: self.attempt.request.clone(),
            parts: self.shared_parts.to_vec(),
            known_crash: self.known_crash,
        })
    }

    /// Returns the quarantined parts that the prompt contains, if there are any.
    fn quarantined_parts(&self) -> Option<PartSet> {
        self.parts_in_quarantine(true)
    }

    /// Returns the parts on probation that the prompt contains, if there are any.
    pub fn parts_on_probation(&self) -> Option<PartSet> {
        self.parts_in_quarantine(false)
    }

    fn parts_in_quarantine(&self, is_active: bool) -> Option<PartSet> {
        let tables = self.shared.tables();
        let now = wall_ms();
        let mut rows = tables.gateway.prompt_suspicion.quarantined_in(&self.shared_parts);
        rows.find(|row| row.period.is_active(now) == is_active).map(|row| row.parts.clone())
    }

    /// Records that a server crashed while it ran the request.
    pub fn record_crash(&self, server: &SelectedServer, finding: CheckFinding) {
        let shared = &self.shared;
        shared.metrics.sends_server_ended.inc();
        shared.suspects.unreported_crashes.record(CrashedAttempt {
            instance: server.instance.clone(),
            zone: server.zone.clone(),
            attempt: self.attempt.clone(),
            prompt: self.prompt(),
        });
        self.log_step(SuspectStep::Suspected, Some(server), Some(finding));
    }

    /// The same for a crash that was found only some time after the connection broke.
    pub fn record_late_crash(&self, server: &SelectedServer, finding: CheckFinding) {
        let found = "refusedLater";
        self.shared.metrics.process_checks.with_label_values(&[found]).inc();
        self.record_crash(server, CheckFinding { found, ..finding });
    }

    /// Counts and logs a step, with the finding of the process check that led to it, if any.
    pub fn log_step(
        &self,
        step: SuspectStep,
        server: Option<&SelectedServer>,
        finding: Option<CheckFinding>,
    ) {
        let shared = &self.shared;
        shared.metrics.suspect_steps.with_label_values(&[step.name()]).inc();
        let held_back = lock(&shared.suspects.line_budget).take(monotonic_ms(), step.code());
        let Some(held_back) = held_back else { return };
        let tables = shared.tables();
        let suspicion = &tables.gateway.suspicion;
        let crashes = suspicion.attributed_crashes(self.fingerprint());
        let quarantined_row = suspicion.quarantined.get(&self.fingerprint());
        let evidence = quarantined_row.into_iter().flat_map(|row| &row.evidence);
        let quarantine_evidence = evidence.map(|evidence| (evidence.instance.as_str(), evidence.at_ms));
        let crashes_and_quarantine_evidence =
            crashes.iter().map(|row| (row.instance.as_str(), row.at_ms)).chain(quarantine_evidence);
        let (servers, times): (Vec<&str>, Vec<u64>) = crashes_and_quarantine_evidence.unzip();
        let newest = times.into_iter().max();
        let line = SuspectLine {
            step,
            fingerprint: self.fingerprint().to_string(),
            request: &self.attempt.request,
            instance: server.map(|server| server.instance.as_str()),
            zone: server.map(|server| server.zone.as_str()),
            servers,
            check_found: finding.map(|finding| finding.found),
            check_after_ms: finding.map(|finding| finding.after.as_millis() as u64),
            responding_ms: finding
                .and_then(|finding| finding.responding_for)
                .map(|time| time.as_millis() as u64),
            quarantined_part: self.quarantined_parts().map(|parts| parts.to_string()),
            prompt_parts: self.shared_parts.iter().map(PromptPart::as_str).collect(),
            evidence_age_ms: newest.map(|at_ms| wall_ms().saturating_sub(at_ms)),
            held_back,
        };
        logging::write(&shared.settings.name, LineBody::Suspect(line));
    }
}
