//! Commands and queries to the control leader, wherever it is.

use super::clients::PeerFailure;
use crate::clock::{monotonic_ms, wall_ms};
use crate::shared::Shared;
use backon::{BackoffBuilder, ExponentialBuilder};
use dockwood_api::peer::{ControlAnswer, SubmitReply};
use dockwood_api::{ApiError, ResultCode};
use dockwood_state::{Command, CommandBody, Outcome, decode_outcome, encode_command};
use std::net::SocketAddr;
use std::time::Duration;

/// How long one leader may take for one command.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pauses between tries while no leader answers.
const MIN_PAUSE: Duration = Duration::from_millis(20);
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Submits a command and waits until the leader has applied it. Repeated until `limit`, so the command must
/// be safe to repeat: operators' changes carry a change id, claims an attempt.
pub async fn submit(shared: &Shared, body: CommandBody, limit: Duration) -> Result<(u64, Outcome), ApiError> {
    let command = encode_command(&Command { at_ms: wall_ms(), body });
    let give_up_at = monotonic_ms() + limit.as_millis() as u64;
    let mut pauses = ExponentialBuilder::default()
        .with_min_delay(MIN_PAUSE)
        .with_max_delay(MAX_PAUSE)
        .with_jitter()
        .without_max_times()
        .build();
    let mut targets = Targets::new(shared);
    let mut last_failure = ApiError::new(ResultCode::NoLeader, "no control leader is known");
    loop {
        let target = targets.next(shared);
        match submit_once(shared, target, command.clone()).await {
            Ok(SubmitReply::Applied { revision, outcome }) => {
                return Ok((revision, decode_outcome(&outcome)?));
            }
            Ok(SubmitReply::NotLeader { leader }) => targets.hint(leader),
            Ok(SubmitReply::Failed { code, message }) => last_failure = ApiError::new(code, message),
            Err(failure) => {
                shared.metrics.peer_failures.inc();
                targets.failed();
                last_failure = ApiError::new(ResultCode::ControlTimeout, failure.to_string());
            }
        }
        if monotonic_ms() >= give_up_at {
            return Err(last_failure);
        }
        if !targets.has_hint() {
            tokio::time::sleep(pauses.next().unwrap_or(MAX_PAUSE)).await;
        }
    }
}

async fn submit_once(
    shared: &Shared,
    target: SocketAddr,
    command: Vec<u8>,
) -> Result<SubmitReply, PeerFailure> {
    let call = |client: dockwood_api::peer::PeerClient, context| async move {
        client.submit(context, command).await
    };
    shared.peers.call(target, SUBMIT_TIMEOUT, call).await
}

/// The leader's view of replicas, daemons and control, as JSON.
pub async fn control_view(shared: &Shared, limit: Duration) -> Result<Vec<u8>, ApiError> {
    let give_up_at = monotonic_ms() + limit.as_millis() as u64;
    let mut targets = Targets::new(shared);
    loop {
        let target = targets.next(shared);
        let call = |client: dockwood_api::peer::PeerClient, context| async move {
            client.control_view(context).await
        };
        match shared.peers.call(target, SUBMIT_TIMEOUT, call).await {
            Ok(ControlAnswer::View(view)) => return Ok(view),
            Ok(ControlAnswer::NotLeader { leader }) => targets.hint(leader),
            Err(_) => targets.failed(),
        }
        if monotonic_ms() >= give_up_at {
            return Err(ApiError::new(ResultCode::NoLeader, "no control leader answers"));
        }
        if !targets.has_hint() {
            tokio::time::sleep(MAX_PAUSE).await;
        }
    }
}

/// Whom to ask: the leader that was last heard of, else the voters in turn.
pub(crate) struct Targets {
    hint: Option<SocketAddr>,
    position: usize,
}

impl Targets {
    pub(crate) fn new(shared: &Shared) -> Self {
        Targets { hint: shared.leader(), position: shared.incarnation as usize }
    }

    pub(crate) fn next(&mut self, shared: &Shared) -> SocketAddr {
        if let Some(hint) = self.hint.take() {
            return hint;
        }
        let voters = &shared.settings.voters;
        self.position += 1;
        voters[self.position % voters.len()].peer
    }

    pub(crate) fn hint(&mut self, leader: Option<SocketAddr>) {
        self.hint = leader;
    }

    pub(crate) fn failed(&mut self) {
        self.hint = None;
    }

    pub(crate) fn has_hint(&self) -> bool {
        self.hint.is_some()
    }
}
