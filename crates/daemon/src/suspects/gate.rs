//! Admission control of one request that may be a suspect, and the evidence gained from sending it.

use super::process_check::{ProcessCheck, check_process};
use super::reporting::CrashedAttempt;
use super::trial::{Trial, TrialDecision};
use crate::clock::{monotonic_ms, wall_ms};
use crate::lock::lock;
use crate::log_line::{LineBody, SuspectLine, SuspectStep};
use crate::logging;
use crate::peer::submit;
use crate::shared::Shared;
use dockwood_api::ResultCode;
use dockwood_api::gateway::Fingerprint;
use dockwood_routing::gateway::AllowedZones;
use dockwood_state::{CommandBody, GatewayCommand, SuspectAttempt, SuspicionStatus};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Total time that a suspect waits for a trial: long enough for two other trials of it that crash servers, and their reports.
const MAX_TRIAL_WAIT: Duration = Duration::from_millis(1_500);
/// How long a suspect waits for a server without another suspect before it shares one: most of the trials in progress are
/// complete by then.
const SHARE_AFTER: Duration = Duration::from_millis(700);
/// Pause before a suspect requests a trial again.
const TRIAL_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time limit to report that a request succeeded. If the report is lost, the next complete response clears the request.
const CLEAR_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether a request may be sent to the server that was selected for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent.
    Admitted,
    /// Another server has to be selected.
    OtherServer,
    /// Another trial of the request is in progress; a server has to be selected again.
    Wait,
    /// The request may not be sent to any server, for this reason.
    Refused(ResultCode),
}

/// The server that the request was sent to, or is to be sent to.
#[derive(Clone)]
struct SelectedServer {
    instance: String,
    zone: String,
}

/// What the check of a server's process found after a connection to it broke.
#[derive(Clone, Copy, Debug)]
struct CheckFinding {
    /// Name of the finding.
    found: &'static str,
    /// Time since the connection broke.
    after: Duration,
}

/// Admission control of one request.
pub struct SuspectGate {
    shared: Arc<Shared>,
    attempt: SuspectAttempt,
    deadline: Instant,
    trial: Option<Trial>,
    server: Option<SelectedServer>,
    /// No server without another suspect was available for long enough.
    may_share: bool,
    /// When the request began to wait for a trial.
    waiting_since: Option<Instant>,
}

impl SuspectGate {
    /// Creates the gate of one attempt of a request whose caller waits until `deadline`.
    pub fn new(shared: &Arc<Shared>, attempt: SuspectAttempt, deadline: Instant) -> SuspectGate {
        let shared = shared.clone();
        SuspectGate {
            shared,
            attempt,
            deadline,
            trial: None,
            server: None,
            may_share: false,
            waiting_since: None,
        }
    }

    fn fingerprint(&self) -> Fingerprint {
        self.attempt.fingerprint
    }

    fn status(&self) -> SuspicionStatus {
        let tables = self.shared.tables();
        let status = tables.gateway.suspicion.status(self.fingerprint(), wall_ms());
        let has_unreported_crashes =
            || self.shared.suspects.unreported_crashes.has_pending(self.fingerprint());
        if status == SuspicionStatus::Unsuspected && has_unreported_crashes() {
            SuspicionStatus::Suspect
        } else {
            status
        }
    }

    /// Returns whether the request is a suspect, once all evidence of this entry is in the log; `Err` if it is quarantined.
    /// Called before a server is selected.
    pub async fn is_suspect(&mut self) -> Result<bool, ResultCode> {
        self.trial = None;
        if self.status() == SuspicionStatus::Unsuspected {
            return Ok(false);
        }
        let deadline = self.deadline.min(Instant::now() + MAX_TRIAL_WAIT);
        self.shared.suspects.unreported_crashes.wait_until_confirmed(self.fingerprint(), deadline).await;
        match self.status() {
            SuspicionStatus::Unsuspected => Ok(false),
            SuspicionStatus::Suspect => Ok(true),
            SuspicionStatus::Quarantined => Err(self.refuse_quarantined()),
        }
    }

    /// Returns the allowed zones in which the request has crashed no server, if it is a suspect and there are any. It is
    /// tried there first: otherwise the failure of a whole zone would count as evidence against every request that is
    /// retried within that zone.
    pub fn zones_without_crashes(&self, is_suspect: bool, allowed: &AllowedZones) -> Option<AllowedZones> {
        if !is_suspect {
            return None;
        }
        let tables = self.shared.tables();
        let tables = &tables.gateway;
        let crashed_zones = tables.suspicion.crash_zones(self.fingerprint());
        if crashed_zones.is_empty() {
            return None;
        }
        let group_zones = tables.groups.values().map(|group| group.zone.as_str());
        let instance_zones = tables.instances.values().map(|row| row.zone.as_str());
        let zones: BTreeSet<&str> = group_zones.chain(instance_zones).collect();
        let other_zones = allowed.among(zones.difference(&crashed_zones).copied());
        (!other_zones.are_none()).then_some(other_zones)
    }

    /// Decides whether the request may be sent to the server that was selected for it.
    pub async fn admit(&mut self, is_suspect: bool, instance: &str, zone: &str) -> Admission {
        self.server = Some(SelectedServer { instance: instance.to_string(), zone: zone.to_string() });
        if !is_suspect {
            return Admission::Admitted;
        }
        match Trial::request(&self.shared, self.fingerprint(), instance, self.may_share).await {
            TrialDecision::Granted(trial) => {
                self.trial = Some(trial);
                self.log_step(SuspectStep::Tried);
                Admission::Admitted
            }
            TrialDecision::ServerBusy => Admission::OtherServer,
            TrialDecision::Quarantined => Admission::Refused(self.refuse_quarantined()),
            TrialDecision::InProgress => self.wait().await,
        }
    }

    /// Handles the case that all eligible servers run other suspects: waits, and allows sharing one after some time.
    pub async fn wait_for_free_server(&mut self) -> Admission {
        self.may_share = self.waiting_since.is_some_and(|since| since.elapsed() >= SHARE_AFTER);
        self.wait().await
    }

    async fn wait(&mut self) -> Admission {
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        if since.elapsed() + TRIAL_RETRY_PAUSE >= MAX_TRIAL_WAIT
            || Instant::now() + TRIAL_RETRY_PAUSE >= self.deadline
        {
            self.log_step(SuspectStep::Refused);
            return Admission::Refused(ResultCode::TrialUnderWay);
        }
        tokio::time::sleep(TRIAL_RETRY_PAUSE).await;
        Admission::Wait
    }

    /// Returns whether the request may be written now. Called immediately before writing: in the meantime the process may
    /// have been suspended, or other daemons may have reported crashes under the request.
    pub fn may_write(&self) -> bool {
        match self.status() {
            SuspicionStatus::Unsuspected => true,
            SuspicionStatus::Suspect => self.trial.as_ref().is_some_and(Trial::may_start),
            SuspicionStatus::Quarantined => false,
        }
    }

    /// Checks, after the connection to the server at `address` broke while it had the request, whether the server has
    /// crashed. If so, the crash is recorded as evidence against the request.
    pub async fn connection_broke(&mut self, address: SocketAddr) -> bool {
        let broke_at = Instant::now();
        let check = check_process(address).await;
        let finding = CheckFinding { found: check.name(), after: broke_at.elapsed() };
        self.shared.metrics.process_checks.with_label_values(&[finding.found]).inc();
        match check {
            ProcessCheck::Exited => self.server_ended(finding),
            ProcessCheck::Connected | ProcessCheck::Unreachable => {
                self.log_check(SuspectStep::Unclear, Some(finding));
            }
        }
        matches!(check, ProcessCheck::Exited)
    }

    /// Records that the server running the request has crashed.
    fn server_ended(&mut self, finding: CheckFinding) {
        let Some(SelectedServer { instance, zone }) = self.server.clone() else { return };
        self.shared.suspects.unreported_crashes.record(CrashedAttempt {
            instance,
            zone,
            attempt: self.attempt.clone(),
        });
        self.log_check(SuspectStep::Suspected, Some(finding));
        self.server = None;
        if let Some(trial) = self.trial.take() {
            trial.mark_resolved();
        }
    }

    /// Records a complete and successful response, which clears the request. An error response does not clear it: a server
    /// may send one before it begins to run the request.
    pub fn answered(&mut self) {
        let trial = self.trial.take();
        if trial.is_none() && self.status() == SuspicionStatus::Unsuspected {
            return;
        }
        trial.into_iter().for_each(Trial::mark_resolved);
        self.log_step(SuspectStep::Cleared);
        let (shared, fingerprint) = (self.shared.clone(), self.fingerprint());
        let reason = format!("{} was answered, told by {}", self.attempt.request, shared.settings.name);
        tokio::spawn(async move {
            let command = GatewayCommand::ClearRequest { fingerprint, reason };
            let submitted = submit(&shared, CommandBody::Gateway(command), CLEAR_TIMEOUT).await;
            if submitted.is_err() {
                shared.metrics.suspect_steps.with_label_values(&["clearFailed"]).inc();
            }
        });
    }

    fn refuse_quarantined(&mut self) -> ResultCode {
        self.log_step(SuspectStep::Refused);
        ResultCode::RequestQuarantined
    }

    /// Counts and logs a step.
    fn log_step(&self, step: SuspectStep) {
        self.log_check(step, None);
    }

    /// The same, with the finding of the process check that led to the step.
    fn log_check(&self, step: SuspectStep, finding: Option<CheckFinding>) {
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
            instance: self.server.as_ref().map(|server| server.instance.as_str()),
            zone: self.server.as_ref().map(|server| server.zone.as_str()),
            servers,
            check_found: finding.map(|finding| finding.found),
            check_after_ms: finding.map(|finding| finding.after.as_millis() as u64),
            evidence_age_ms: newest.map(|at_ms| wall_ms().saturating_sub(at_ms)),
            held_back,
        };
        logging::write(&shared.settings.name, LineBody::Suspect(line));
    }
}
