//! A suspect's turn at one server, granted by the log.

use crate::clock::{monotonic_ms, wall_ms};
use crate::peer::submit;
use crate::shared::Shared;
use dockwood_api::gateway::Fingerprint;
use dockwood_api::{ApiError, ResultCode};
use dockwood_state::{CommandBody, GatewayCommand, Outcome, TrialRequest};
use std::sync::Arc;
use std::time::Duration;

/// How long the log may take to grant a trial: some times the usual ten milliseconds.
const GRANT_LIMIT: Duration = Duration::from_millis(400);
/// A trial that was granted must be begun within this time, in milliseconds: a third of the time for which the log keeps
/// others away, so that a process that stood still meanwhile sends nothing beside another one's trial.
const BEGIN_WITHIN_MS: u64 = 1_000;
/// How long the end of a trial may take to be told; after that it ends by its time.
const END_LIMIT: Duration = Duration::from_secs(1);

/// A trial that was granted; others are granted none for the same request until it is dropped.
pub struct Trial {
    shared: Arc<Shared>,
    fingerprint: Fingerprint,
    number: u64,
    asked_at: u64,
    is_settled: bool,
}

/// What the log says to a trial.
pub enum TrialAnswer {
    /// It may begin.
    Granted(Trial),
    /// Another one of the same request is under way, or nobody can tell.
    UnderWay,
    /// The server runs another suspect.
    ServerTaken,
    /// The request is under quarantine.
    Quarantined,
}

impl Trial {
    /// Asks for a trial at a server.
    pub async fn ask(
        shared: &Arc<Shared>,
        fingerprint: Fingerprint,
        instance: &str,
        may_share: bool,
    ) -> TrialAnswer {
        let (asked_at, number) = (monotonic_ms(), rand::random());
        let (trial, instance) = (number, instance.to_string());
        let request = TrialRequest { fingerprint, trial, instance, may_share, at_ms: wall_ms() };
        let command = CommandBody::Gateway(GatewayCommand::BeginTrial(request));
        // Held while it is asked for: it may be granted though the answer is lost, or the caller leaves meanwhile.
        let trial = Trial { shared: shared.clone(), fingerprint, number, asked_at, is_settled: false };
        match submit(shared, command, GRANT_LIMIT).await {
            Ok((_, Outcome::Refused(error))) => trial.refused(&error),
            Ok(_) => TrialAnswer::Granted(trial),
            Err(_) => TrialAnswer::UnderWay,
        }
    }

    fn refused(mut self, error: &ApiError) -> TrialAnswer {
        self.is_settled = true;
        match error.code() {
            ResultCode::RequestQuarantined => TrialAnswer::Quarantined,
            ResultCode::ServerOnTrial => TrialAnswer::ServerTaken,
            _ => TrialAnswer::UnderWay,
        }
    }

    /// Whether it may still begin.
    pub fn may_begin(&self) -> bool {
        monotonic_ms() < self.asked_at + BEGIN_WITHIN_MS
    }

    /// Its result is told otherwise: the server's end, or the request's whole answer.
    pub fn settled(mut self) {
        self.is_settled = true;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        let (shared, fingerprint, trial) = (self.shared.clone(), self.fingerprint, self.number);
        tokio::spawn(async move {
            let command = CommandBody::Gateway(GatewayCommand::EndTrial { fingerprint, trial });
            // Untold, it ends by its time.
            let _ = submit(&shared, command, END_LIMIT).await;
        });
    }
}
