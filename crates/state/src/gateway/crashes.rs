//! Crashes of servers under requests, attributed to requests or to parts of prompts.

use super::GatewayTables;
use crate::machine::Applied;
use crate::prompt_suspicion::SuspectPrompt;
use crate::suspicion::CrashReport;
use dockwood_api::gateway::{InstanceState, PartSet};

impl GatewayTables {
    /// Whether an instance announced its shutdown or was removed: the end of its process is then not attributed to the
    /// requests that it was running.
    pub(crate) fn is_leaving(&self, id: &str) -> bool {
        let is_draining = self.instances.get(id).is_some_and(|row| row.state == InstanceState::Draining);
        is_draining || self.was_removed(id)
    }

    /// Whether [`GatewayCommand::ExpireSuspicions`](crate::GatewayCommand::ExpireSuspicions) would remove anything.
    pub fn has_expired_suspicions(&self, at_ms: u64) -> bool {
        self.suspicion.has_expired(at_ms) || self.prompt_suspicion.has_expired(at_ms)
    }

    /// Records a crash. A request or a part of a prompt that is known to crash servers is the only suspect of the crashes
    /// that it is involved in.
    pub(super) fn server_crashed(&mut self, report: &CrashReport, prompts: &[SuspectPrompt]) -> Applied {
        if self.is_leaving(&report.instance) {
            return Applied::with_changes(Vec::new());
        }
        let known_requests = self.suspicion.quarantined_among(report);
        let has_known_cause = self.prompt_suspicion.record_crash(report, prompts, &known_requests);
        if has_known_cause {
            self.suspicion.resolve_crash(&report.instance, report.at_ms);
        }
        if has_known_cause && known_requests.is_empty() {
            return self.suspicion.trials_ended(report);
        }
        let applied = self.suspicion.server_ended(report);
        for request in self.suspicion.quarantined_among(report) {
            for crash in self.suspicion.evidence_against(request) {
                self.prompt_suspicion.attribute_to_request(&crash.instance, crash.at_ms, request);
            }
        }
        applied
    }

    /// Quarantines parts of prompts. No request is suspected any more for the crashes that they explain.
    pub(super) fn quarantine_parts(&mut self, parts: &PartSet, at_ms: u64) -> Applied {
        for crash in self.prompt_suspicion.quarantine(parts, at_ms) {
            self.suspicion.resolve_crash(&crash.instance, crash.at_ms);
        }
        Applied::with_changes(Vec::new())
    }
}
