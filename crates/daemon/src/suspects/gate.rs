//! One request's gate: whether it may be sent, and what its sends tell.

use super::reporting::EndedTry;
use super::trial::{Trial, TrialAnswer};
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
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a suspect waits in all for its turn: two trials of it that end servers, and their reports, fit in.
const TURN_LIMIT: Duration = Duration::from_millis(1_500);
/// How long a suspect waits for a server without another suspect before it shares one: most answers of those that are tried
/// now are whole by then.
const SHARE_AFTER: Duration = Duration::from_millis(700);
/// Pause before a suspect asks for its turn again.
const TURN_PAUSE: Duration = Duration::from_millis(100);
/// How long it may take to tell that a request was answered; untold, its next whole answer clears it.
const CLEAR_LIMIT: Duration = Duration::from_secs(2);

/// Whether a request may be sent to a server that was chosen for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Enter,
    /// Another server is to be chosen.
    Elsewhere,
    /// It is not its turn; a server is to be chosen again.
    Wait,
    /// It may not be sent at all, for this reason.
    Refused(ResultCode),
}

/// A server that has the request, or is to have it.
#[derive(Clone)]
struct At {
    instance: String,
    zone: String,
}

/// One request's gate.
pub struct SuspectGate {
    shared: Arc<Shared>,
    tried: SuspectAttempt,
    deadline: Instant,
    trial: Option<Trial>,
    at: Option<At>,
    /// There is no server without another suspect.
    may_share: bool,
    /// When it began to wait for its turn.
    waits_since: Option<Instant>,
}

impl SuspectGate {
    /// The gate of a try of a request, whose caller waits until `deadline`.
    pub fn new(shared: &Arc<Shared>, tried: SuspectAttempt, deadline: Instant) -> SuspectGate {
        let shared = shared.clone();
        SuspectGate { shared, tried, deadline, trial: None, at: None, may_share: false, waits_since: None }
    }

    fn fingerprint(&self) -> Fingerprint {
        self.tried.fingerprint
    }

    fn standing(&self) -> SuspicionStatus {
        let tables = self.shared.tables();
        let standing = tables.gateway.suspicion.status(self.fingerprint(), wall_ms());
        let is_noted = || self.shared.suspects.unreported_ends.concerns(self.fingerprint());
        if standing == SuspicionStatus::Unsuspected && is_noted() {
            SuspicionStatus::Suspect
        } else {
            standing
        }
    }

    /// Whether the request is suspected, once all that this entry knows of it is in the log; `Err` if it is under
    /// quarantine. To be asked before a server is chosen.
    pub async fn is_suspect(&mut self) -> Result<bool, ResultCode> {
        self.trial = None;
        if self.standing() == SuspicionStatus::Unsuspected {
            return Ok(false);
        }
        let deadline = self.deadline.min(Instant::now() + TURN_LIMIT);
        self.shared.suspects.unreported_ends.known(self.fingerprint(), deadline).await;
        match self.standing() {
            SuspicionStatus::Unsuspected => Ok(false),
            SuspicionStatus::Suspect => Ok(true),
            SuspicionStatus::Quarantined => Err(self.quarantined()),
        }
    }

    /// Those of the allowed zones in which no server has ended under the request, if it is suspected and there are any. It
    /// is tried there first: servers that end together in a zone that fails by itself would speak against each request
    /// that is moved within it.
    pub fn elsewhere(&self, is_suspect: bool, allowed: &AllowedZones) -> Option<AllowedZones> {
        if !is_suspect {
            return None;
        }
        let tables = self.shared.tables();
        let tables = &tables.gateway;
        let against = tables.suspicion.crash_zones(self.fingerprint());
        if against.is_empty() {
            return None;
        }
        let of_groups = tables.groups.values().map(|group| group.zone.as_str());
        let of_instances = tables.instances.values().map(|row| row.zone.as_str());
        let zones: BTreeSet<&str> = of_groups.chain(of_instances).collect();
        let others = allowed.among(zones.difference(&against).copied());
        (!others.are_none()).then_some(others)
    }

    /// Asks whether the request may be sent to a server that was chosen for it.
    pub async fn enter(&mut self, is_suspect: bool, instance: &str, zone: &str) -> Admission {
        self.at = Some(At { instance: instance.to_string(), zone: zone.to_string() });
        if !is_suspect {
            return Admission::Enter;
        }
        match Trial::ask(&self.shared, self.fingerprint(), instance, self.may_share).await {
            TrialAnswer::Granted(trial) => {
                self.trial = Some(trial);
                self.tell(SuspectStep::Tried);
                Admission::Enter
            }
            TrialAnswer::ServerTaken => Admission::Elsewhere,
            TrialAnswer::Quarantined => Admission::Refused(self.quarantined()),
            TrialAnswer::UnderWay => self.wait().await,
        }
    }

    /// All servers that it might be sent to are taken by other suspects: it may share one, or has to wait.
    pub async fn all_taken(&mut self) -> Admission {
        self.may_share = self.waits_since.is_some_and(|since| since.elapsed() >= SHARE_AFTER);
        self.wait().await
    }

    async fn wait(&mut self) -> Admission {
        let since = *self.waits_since.get_or_insert_with(Instant::now);
        if since.elapsed() + TURN_PAUSE >= TURN_LIMIT || Instant::now() + TURN_PAUSE >= self.deadline {
            self.tell(SuspectStep::Refused);
            return Admission::Refused(ResultCode::TrialUnderWay);
        }
        tokio::time::sleep(TURN_PAUSE).await;
        Admission::Wait
    }

    /// Whether the request may be written now. To be asked at that very moment: the process may have been stopped since,
    /// and others may have told of servers that ended under it.
    pub fn may_write(&self) -> bool {
        match self.standing() {
            SuspicionStatus::Unsuspected => true,
            SuspicionStatus::Suspect => self.trial.as_ref().is_some_and(Trial::may_begin),
            SuspicionStatus::Quarantined => false,
        }
    }

    /// The server that had the request has ended.
    pub fn server_ended(&mut self) {
        let Some(At { instance, zone }) = self.at.clone() else { return };
        self.shared.suspects.unreported_ends.note(EndedTry { instance, zone, tried: self.tried.clone() });
        self.tell(SuspectStep::Suspected);
        self.at = None;
        if let Some(trial) = self.trial.take() {
            trial.settled();
        }
    }

    /// The request was answered whole and with success: nothing speaks against it any more. A failure tells nothing: a
    /// server may answer one before it begins to run the request.
    pub fn answered(&mut self) {
        let trial = self.trial.take();
        if trial.is_none() && self.standing() == SuspicionStatus::Unsuspected {
            return;
        }
        trial.into_iter().for_each(Trial::settled);
        self.tell(SuspectStep::Cleared);
        let (shared, fingerprint) = (self.shared.clone(), self.fingerprint());
        let reason = format!("{} was answered, told by {}", self.tried.request, shared.settings.name);
        tokio::spawn(async move {
            let command = GatewayCommand::ClearRequest { fingerprint, reason };
            let told = submit(&shared, CommandBody::Gateway(command), CLEAR_LIMIT).await;
            if told.is_err() {
                shared.metrics.suspect_steps.with_label_values(&["clearFailed"]).inc();
            }
        });
    }

    fn quarantined(&mut self) -> ResultCode {
        self.tell(SuspectStep::Refused);
        ResultCode::RequestQuarantined
    }

    /// Counts a step, and tells of it in the log.
    fn tell(&self, step: SuspectStep) {
        let shared = &self.shared;
        shared.metrics.suspect_steps.with_label_values(&[step.name()]).inc();
        let held_back = lock(&shared.suspects.line_budget).take(monotonic_ms(), step.code());
        let Some(held_back) = held_back else { return };
        let tables = shared.tables();
        let suspicion = &tables.gateway.suspicion;
        let crashes = suspicion.attributed_crashes(self.fingerprint());
        let quarantined = suspicion.quarantined.get(&self.fingerprint());
        let evidence = quarantined.into_iter().flat_map(|row| &row.evidence);
        let told = evidence.map(|evidence| (evidence.instance.as_str(), evidence.at_ms));
        let against = crashes.iter().map(|row| (row.instance.as_str(), row.at_ms)).chain(told);
        let (servers, times): (Vec<&str>, Vec<u64>) = against.unzip();
        let newest = times.into_iter().max();
        let line = SuspectLine {
            step,
            fingerprint: self.fingerprint().to_string(),
            request: &self.tried.request,
            instance: self.at.as_ref().map(|at| at.instance.as_str()),
            zone: self.at.as_ref().map(|at| at.zone.as_str()),
            servers,
            evidence_age_ms: newest.map(|at_ms| wall_ms().saturating_sub(at_ms)),
            held_back,
        };
        logging::write(&shared.settings.name, LineBody::Suspect(line));
    }
}
