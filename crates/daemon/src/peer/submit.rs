//! Commands and queries to the control leader, wherever it is.

use super::clients::PeerFailure;
use super::targets::Targets;
use crate::clock::{monotonic_ms, wall_ms};
use crate::shared::Shared;
use backon::{BackoffBuilder, ExponentialBuilder};
use dockwood_api::gateway::InstanceReport;
use dockwood_api::peer::{ControlAnswer, DocumentAnswer, PeerClient, ReadAnswer, SubmitReply};
use dockwood_api::{ApiError, ResultCode};
use dockwood_state::{Command, CommandBody, Outcome, decode_outcome, encode_command};
use std::net::SocketAddr;
use std::time::Duration;
use tarpc::client::RpcError;
use tarpc::context::Context;

/// How long one leader may take for one command.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long one daemon may take for a short call.
const LEADER_CALL_TIMEOUT: Duration = Duration::from_millis(600);
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
        let left = Duration::from_millis(give_up_at.saturating_sub(monotonic_ms()));
        match submit_once(shared, target, command.clone(), left.min(SUBMIT_TIMEOUT)).await {
            Ok(SubmitReply::Applied { revision, outcome }) => {
                return Ok((revision, decode_outcome(&outcome)?));
            }
            Ok(SubmitReply::NotLeader { leader }) => targets.refused(target, leader),
            Ok(SubmitReply::Failed { code, message }) => last_failure = ApiError::new(code, message),
            Err(failure) => {
                shared.metrics.peer_failures.inc();
                targets.failed();
                last_failure = ApiError::new(ResultCode::ControlTimeout, failure.to_string());
            }
        }
        let pause = if targets.has_hint() { Duration::ZERO } else { pauses.next().unwrap_or(MAX_PAUSE) };
        // Whoever waits for the answer has been told how long that may take: no try begins after it.
        if monotonic_ms() + pause.as_millis() as u64 >= give_up_at {
            return Err(last_failure);
        }
        tokio::time::sleep(pause).await;
    }
}

async fn submit_once(
    shared: &Shared,
    target: SocketAddr,
    command: Vec<u8>,
    limit: Duration,
) -> Result<SubmitReply, PeerFailure> {
    let call = |client: dockwood_api::peer::PeerClient, context| async move {
        client.submit(context, command).await
    };
    shared.peers.call(target, limit, call).await
}

/// The leader's view of replicas, daemons and control, as JSON.
pub async fn control_view(shared: &Shared, limit: Duration) -> Result<Vec<u8>, ApiError> {
    let call = |client: PeerClient, context: Context| async move {
        Ok(match client.control_view(context).await? {
            ControlAnswer::View(view) => LeaderAnswer::Answer(view),
            ControlAnswer::NotLeader { leader } => LeaderAnswer::NotLeader(leader),
        })
    };
    ask_leader(shared, limit, call).await
}

/// The revision that a daemon must have applied to read nothing older than what was acknowledged.
pub async fn read_revision(shared: &Shared, limit: Duration) -> Result<u64, ApiError> {
    let call = |client: PeerClient, context: Context| async move {
        Ok(match client.read_revision(context).await? {
            ReadAnswer::Current { revision } => LeaderAnswer::Answer(revision),
            ReadAnswer::NotLeader { leader } => LeaderAnswer::NotLeader(leader),
        })
    };
    ask_leader(shared, limit, call).await
}

/// The newest configuration as the operator sent it, never older than what was acknowledged; empty if there is none yet.
pub async fn read_document(shared: &Shared, limit: Duration) -> Result<Vec<u8>, ApiError> {
    let call = |client: PeerClient, context: Context| async move {
        Ok(match client.read_document(context).await? {
            DocumentAnswer::Current { document } => LeaderAnswer::Answer(document),
            DocumentAnswer::NotLeader { leader } => LeaderAnswer::NotLeader(leader),
        })
    };
    ask_leader(shared, limit, call).await
}

/// Brings servers' reports to the leader; returns, for each, once the leader has noted what it changes.
pub async fn register(
    shared: &Shared,
    reports: Vec<InstanceReport>,
    limit: Duration,
) -> Result<Vec<Result<(), ApiError>>, ApiError> {
    let count = reports.len();
    let call = |client: PeerClient, context: Context| {
        let reports = reports.clone();
        async move { Ok(registered(client.register(context, reports).await?, count)) }
    };
    ask_leader(shared, limit, call).await
}

/// What the leader made of so many reports. A daemon that doesn't lead has noted none of them.
fn registered(replies: Vec<SubmitReply>, count: usize) -> LeaderAnswer<Vec<Result<(), ApiError>>> {
    if replies.len() != count {
        let message = format!("{} answers to {count} reports", replies.len());
        return LeaderAnswer::Failed(ApiError::new(ResultCode::ProposalDropped, message));
    }
    let mut results = Vec::with_capacity(count);
    for reply in replies {
        match reply {
            SubmitReply::Applied { .. } => results.push(Ok(())),
            SubmitReply::NotLeader { leader } => return LeaderAnswer::NotLeader(leader),
            SubmitReply::Failed { code, message } => results.push(Err(ApiError::new(code, message))),
        }
    }
    LeaderAnswer::Answer(results)
}

/// What a daemon says to a call that is meant for the leader.
enum LeaderAnswer<T> {
    Answer(T),
    NotLeader(Option<SocketAddr>),
    Failed(ApiError),
}

/// Calls the leader, wherever it is, until it answers or `limit` has passed. The call must be safe to repeat.
async fn ask_leader<T, F, Call>(shared: &Shared, limit: Duration, call: F) -> Result<T, ApiError>
where
    F: Fn(PeerClient, Context) -> Call,
    Call: Future<Output = Result<LeaderAnswer<T>, RpcError>>,
{
    let give_up_at = monotonic_ms() + limit.as_millis() as u64;
    let mut targets = Targets::new(shared);
    let mut last_failure = ApiError::new(ResultCode::NoLeader, "no control leader answers");
    loop {
        let left = Duration::from_millis(give_up_at.saturating_sub(monotonic_ms()));
        let target = targets.next(shared);
        match shared.peers.call(target, left.min(LEADER_CALL_TIMEOUT), &call).await {
            Ok(LeaderAnswer::Answer(answer)) => return Ok(answer),
            Ok(LeaderAnswer::NotLeader(leader)) => targets.refused(target, leader),
            Ok(LeaderAnswer::Failed(error)) => last_failure = error,
            Err(_) => {
                shared.metrics.peer_failures.inc();
                targets.failed();
            }
        }
        if monotonic_ms() >= give_up_at {
            return Err(last_failure);
        }
        if !targets.has_hint() {
            tokio::time::sleep(MIN_PAUSE).await;
        }
    }
}
