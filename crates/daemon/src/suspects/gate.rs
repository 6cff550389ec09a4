//! Admission control of one request that may be a suspect, and the evidence gained from sending it.

use super::evidence::{AttemptEvidence, CheckFinding, SelectedServer};
use super::process_check::{ProcessCheck, check_process, exits_soon, server_survives};
use super::responses::report_response;
use super::trial::{Trial, TrialDecision};
use crate::clock::wall_ms;
use crate::log_line::SuspectStep;
use crate::peer::submit;
use crate::server_connections::is_reached_by_others;
use crate::shared::Shared;
use dockwood_api::ResultCode;
use dockwood_api::gateway::{Fingerprint, PromptPart};
use dockwood_routing::gateway::AllowedZones;
use dockwood_state::{CommandBody, GatewayCommand, SuspectAttempt, SuspicionStatus};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
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

/// Admission control of one request.
pub struct SuspectGate {
    evidence: AttemptEvidence,
    deadline: Instant,
    trial: Option<Trial>,
    server: Option<SelectedServer>,
    /// When that server sent the first event of its response.
    responding_since: Option<Instant>,
    /// Checks of servers to which the connection broke; `true` if the server has crashed.
    checks: Vec<JoinHandle<bool>>,
    /// No server without another suspect was available for long enough.
    may_share: bool,
    /// When the request began to wait for a trial.
    waiting_since: Option<Instant>,
}

impl SuspectGate {
    /// Creates the gate of one attempt of a request whose caller waits until `deadline`.
    pub fn new(shared: &Arc<Shared>, attempt: SuspectAttempt, deadline: Instant) -> SuspectGate {
        SuspectGate {
            evidence: AttemptEvidence {
                shared: shared.clone(),
                attempt,
                shared_parts: Arc::default(),
                known_crash: 0,
            },
            deadline,
            trial: None,
            server: None,
            responding_since: None,
            checks: Vec::new(),
            may_share: false,
            waiting_since: None,
        }
    }

    /// Sets the parts of the request's prompt that other requests may share.
    pub fn with_shared_parts(mut self, shared_parts: Arc<[PromptPart]>) -> SuspectGate {
        self.evidence.shared_parts = shared_parts;
        self
    }

    /// Creates the gate of another send of the same attempt, while this gate's send is in progress.
    pub fn for_another_send(&self) -> SuspectGate {
        SuspectGate {
            evidence: self.evidence.clone(),
            deadline: self.deadline,
            trial: None,
            server: None,
            responding_since: None,
            checks: Vec::new(),
            may_share: self.may_share,
            waiting_since: self.waiting_since,
        }
    }

    /// Takes over the checks of servers that were begun by the gate of another send.
    pub fn take_checks_of(&mut self, mut other: SuspectGate) {
        self.checks.append(&mut other.checks);
    }

    /// Checks in the background whether a server has crashed after the connection of another send to it broke.
    pub fn check_in_background(&mut self, mut other: SuspectGate, on_exit: impl FnOnce() + Send + 'static) {
        self.checks.append(&mut other.checks);
        self.checks.push(tokio::spawn(async move {
            let has_crashed = other.connection_broke(on_exit).await;
            let checks = futures::future::join_all(other.checks.drain(..)).await;
            has_crashed || checks.into_iter().any(|check| check.unwrap_or(false))
        }));
    }

    /// Whether the request may be sent to another server while one has it: it is not suspected, and at most one server is
    /// still being checked.
    pub fn may_run_beside(&self) -> bool {
        self.checks.len() <= 1 && self.status() == SuspicionStatus::Unsuspected
    }

    fn fingerprint(&self) -> Fingerprint {
        self.evidence.fingerprint()
    }

    fn shared(&self) -> &Arc<Shared> {
        &self.evidence.shared
    }

    fn status(&self) -> SuspicionStatus {
        let tables = self.shared().tables();
        let (tables, now) = (&tables.gateway, wall_ms());
        let of_request = tables.suspicion.status(self.fingerprint(), now);
        let status = of_request.max(tables.prompt_suspicion.status(&self.evidence.shared_parts, now));
        let has_unreported_crashes =
            || self.shared().suspects.unreported_crashes.has_pending(self.fingerprint());
        if status == SuspicionStatus::Unsuspected && has_unreported_crashes() {
            SuspicionStatus::Suspect
        } else {
            status
        }
    }

    /// Returns whether the request is a suspect, once all evidence of this entry is in the log; `Err` if it is quarantined.
    /// Called before a server is selected.
    pub async fn is_suspect(&mut self) -> Result<bool, ResultCode> {
        self.finish_checks().await;
        self.trial = None;
        if self.status() == SuspicionStatus::Unsuspected {
            return Ok(false);
        }
        let deadline = self.deadline.min(Instant::now() + MAX_TRIAL_WAIT);
        self.shared().suspects.unreported_crashes.wait_until_confirmed(self.fingerprint(), deadline).await;
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
        let tables = self.shared().tables();
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
    pub async fn admit(
        &mut self,
        is_suspect: bool,
        instance: &str,
        zone: &str,
        address: SocketAddr,
    ) -> Admission {
        let (instance_id, zone) = (instance.to_string(), zone.to_string());
        self.server = Some(SelectedServer { instance: instance_id, zone, address });
        self.responding_since = None;
        self.evidence.known_crash = self.shared().tables().gateway.prompt_suspicion.last_crash;
        if !is_suspect {
            return Admission::Admitted;
        }
        match Trial::request(self.shared(), self.trial_fingerprint(), instance, self.may_share).await {
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

    /// The fingerprint of the trial: of all requests that share parts on probation, one is tried at a time.
    fn trial_fingerprint(&self) -> Fingerprint {
        let parts = self.evidence.parts_on_probation();
        parts.map_or(self.fingerprint(), |parts| Fingerprint::of_parts(&parts))
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

    /// Returns whether the server is running after a response without a length has ended with its connection. If it is not,
    /// the response may be truncated.
    pub async fn server_survives(&self) -> bool {
        let Some(address) = self.server.as_ref().map(|server| server.address) else { return false };
        server_survives(self.shared(), address).await
    }

    /// Records that the server has sent the first event of its response.
    pub fn response_began(&mut self) {
        self.responding_since = Some(Instant::now());
    }

    /// Checks whether the server has crashed, after the connection to it broke while it had the request, and
    /// returns whether it has. A crash is recorded as evidence against the request. If the address still accepts
    /// connections, the check continues in the background; `on_exit` is called as soon as the process is known to have
    /// exited.
    pub async fn connection_broke(&mut self, on_exit: impl FnOnce() + Send + 'static) -> bool {
        let Some(server) = self.server.take() else { return false };
        let address = server.address;
        let broke_at = Instant::now();
        let responding_for = self.responding_since.map(|since| broke_at - since);
        let check = self.check_server(address).await;
        let found = check.name();
        let finding = CheckFinding { found, after: broke_at.elapsed(), responding_for };
        self.shared().metrics.process_checks.with_label_values(&[found]).inc();
        let evidence = self.evidence.clone();
        match check {
            ProcessCheck::Exited => {
                on_exit();
                evidence.record_crash(&server, finding);
                self.resolve_trial();
                return true;
            }
            ProcessCheck::Unreachable => {
                evidence.log_step(SuspectStep::Unclear, Some(&server), Some(finding))
            }
            ProcessCheck::Connected(connection) => {
                evidence.log_step(SuspectStep::Unclear, Some(&server), Some(finding));
                let shared = self.shared().clone();
                self.checks.push(tokio::spawn(async move {
                    let exits = exits_soon(shared.server_dialer.as_ref(), connection, address).await
                        && !is_reached_by_others(&shared, address).await;
                    if exits {
                        on_exit();
                        evidence.record_late_crash(
                            &server,
                            CheckFinding { after: broke_at.elapsed(), ..finding },
                        );
                    }
                    exits
                }));
            }
        }
        false
    }

    /// Checks the process of a server. A refused connection is no evidence if another daemon reaches the server: then the
    /// path from this daemon is cut.
    async fn check_server(&self, address: SocketAddr) -> ProcessCheck {
        match check_process(self.shared().server_dialer.as_ref(), address).await {
            ProcessCheck::Exited if is_reached_by_others(self.shared(), address).await => {
                ProcessCheck::Unreachable
            }
            check => check,
        }
    }

    /// Waits for the checks of the servers to which the connection broke, if the request is a suspect or this happened
    /// more than once: the request may be crashing each server that it is sent to. After a first break, the request is
    /// retried without delay.
    async fn finish_checks(&mut self) {
        let is_unsuspected = self.status() == SuspicionStatus::Unsuspected;
        if self.checks.is_empty() || (is_unsuspected && self.checks.len() == 1) {
            return;
        }
        let checks = futures::future::join_all(self.checks.drain(..)).await;
        if checks.into_iter().any(|check| check.unwrap_or(false)) {
            self.resolve_trial();
        }
    }

    /// Ends the trial. Its result is reported separately, and ends the trial of a request in the log.
    fn resolve_trial(&mut self) {
        let trial = self.trial.take().filter(|trial| trial.fingerprint() == self.fingerprint());
        trial.into_iter().for_each(Trial::mark_resolved);
    }

    /// Records a complete and successful response, which clears the request. An error response does not clear it: a server
    /// may send one before it begins to run the request.
    pub fn answered(&mut self) {
        // A complete response clears the request of crashes that are yet to be found as well.
        self.checks.drain(..).for_each(|check| check.abort());
        if let Some(server) = &self.server {
            report_response(self.shared(), &self.evidence.shared_parts, server.address);
        }
        if self.trial.is_none() && self.status() == SuspicionStatus::Unsuspected {
            return;
        }
        self.resolve_trial();
        self.log_step(SuspectStep::Cleared);
        let (shared, fingerprint) = (self.shared().clone(), self.fingerprint());
        let request = &self.evidence.attempt.request;
        let reason = format!("{request} was answered, told by {}", shared.settings.name);
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
        self.evidence.log_step(step, self.server.as_ref(), None);
    }
}
