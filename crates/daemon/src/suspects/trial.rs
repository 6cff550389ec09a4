//! A trial of a suspect request on one server, granted through the replicated log.

use crate::clock::{monotonic_ms, wall_ms};
use crate::peer::submit;
use crate::shared::Shared;
use dockwood_api::gateway::Fingerprint;
use dockwood_api::{ApiError, ResultCode};
use dockwood_state::{CommandBody, GatewayCommand, Outcome, TrialRequest};
use std::sync::Arc;
use std::time::Duration;

/// Time limit for the log to grant a trial: many times the usual 10 ms.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);
/// A granted trial must start within this time, in milliseconds: a third of the time for which the log grants no other
/// trial, so that a process that was suspended does not send the request during the trial of another daemon.
const START_WITHIN_MS: u64 = 1_000;
/// Time limit to report the end of a trial. An unreported trial expires in the log.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// A granted trial. No other trial of the same request is granted until it is dropped.
pub struct Trial {
    shared: Arc<Shared>,
    fingerprint: Fingerprint,
    id: u64,
    requested_at: u64,
    is_resolved: bool,
}

/// The decision of the log on a requested trial.
pub enum TrialDecision {
    /// The trial may start.
    Granted(Trial),
    /// Another trial of the same request is in progress, or the log gave no decision.
    InProgress,
    /// The server runs another suspect.
    ServerBusy,
    /// The request is quarantined.
    Quarantined,
}

impl Trial {
    /// Requests a trial on a server.
    pub async fn request(
        shared: &Arc<Shared>,
        fingerprint: Fingerprint,
        instance: &str,
        may_share: bool,
    ) -> TrialDecision {
        let (requested_at, id) = (monotonic_ms(), rand::random());
        let (trial, instance) = (id, instance.to_string());
        let trial_request = TrialRequest { fingerprint, trial, instance, may_share, at_ms: wall_ms() };
        let command = CommandBody::Gateway(GatewayCommand::BeginTrial(trial_request));
        // Created before the request, so that dropping it ends the trial even if the grant is lost or the caller disconnects.
        let trial = Trial { shared: shared.clone(), fingerprint, id, requested_at, is_resolved: false };
        match submit(shared, command, GRANT_TIMEOUT).await {
            Ok((_, Outcome::Refused(error))) => trial.refused(&error),
            Ok(_) => TrialDecision::Granted(trial),
            Err(_) => TrialDecision::InProgress,
        }
    }

    fn refused(mut self, error: &ApiError) -> TrialDecision {
        self.is_resolved = true;
        match error.code() {
            ResultCode::RequestQuarantined => TrialDecision::Quarantined,
            ResultCode::ServerOnTrial => TrialDecision::ServerBusy,
            _ => TrialDecision::InProgress,
        }
    }

    /// Returns the fingerprint of which no other trial is granted.
    pub fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }

    /// Returns whether the trial may still start.
    pub fn may_start(&self) -> bool {
        monotonic_ms() < self.requested_at + START_WITHIN_MS
    }

    /// Marks the trial as resolved: its result, the crash of the server or the complete response, is reported separately.
    pub fn mark_resolved(mut self) {
        self.is_resolved = true;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if self.is_resolved {
            return;
        }
        let (shared, fingerprint, trial) = (self.shared.clone(), self.fingerprint, self.id);
        tokio::spawn(async move {
            let command = CommandBody::Gateway(GatewayCommand::EndTrial { fingerprint, trial });
            // If this fails, the trial expires in the log.
            let _ = submit(&shared, command, END_TIMEOUT).await;
        });
    }
}
