//! Commands and queries to the control leader, including the search for it.

use super::clients::PeerFailure;
use super::leader_search::LeaderSearch;
use super::transport::transfer_time;
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

/// Time limit for one attempt to submit a small command.
const SUBMIT_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time limit for one attempt of a query.
const QUERY_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);
/// Minimum pause between attempts while no leader responds.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Maximum pause between attempts.
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Submits a command and waits until the leader has applied it. Retried until `limit`, and longer for a large command, so that
/// the command must be idempotent: operators' changes carry a change id, claims an attempt number.
pub async fn submit(shared: &Shared, body: CommandBody, limit: Duration) -> Result<(u64, Outcome), ApiError> {
    let command = encode_command(&Command { at_ms: wall_ms(), body });
    let transfer = transfer_time(command.len());
    let deadline = monotonic_ms() + (limit + transfer).as_millis() as u64;
    let mut pauses = ExponentialBuilder::default()
        .with_min_delay(MIN_PAUSE)
        .with_max_delay(MAX_PAUSE)
        .with_jitter()
        .without_max_times()
        .build();
    let mut leader_search = LeaderSearch::new(shared);
    let mut last_failure = ApiError::new(ResultCode::NoLeader, "no control leader is known");
    loop {
        let target = leader_search.next(shared);
        let left = Duration::from_millis(deadline.saturating_sub(monotonic_ms()));
        match submit_once(shared, target, command.clone(), left.min(SUBMIT_ATTEMPT_TIMEOUT + transfer)).await
        {
            Ok(SubmitReply::Applied { revision, outcome }) => {
                return Ok((revision, decode_outcome(&outcome)?));
            }
            Ok(SubmitReply::NotLeader { leader }) => leader_search.record_redirect(target, leader),
            Ok(SubmitReply::Failed { code, message }) => last_failure = ApiError::new(code, message),
            Err(failure) => {
                shared.metrics.peer_failures.inc();
                leader_search.record_failure();
                last_failure = ApiError::new(ResultCode::ControlTimeout, failure.to_string());
            }
        }
        let pause =
            if leader_search.has_hint() { Duration::ZERO } else { pauses.next().unwrap_or(MAX_PAUSE) };
        // The caller relies on the time limit: no attempt begins after it.
        if monotonic_ms() + pause.as_millis() as u64 >= deadline {
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

/// Returns the leader's view of replicas, daemons and the control group, as JSON.
pub async fn control_view(shared: &Shared, limit: Duration) -> Result<Vec<u8>, ApiError> {
    let call = |client: PeerClient, context: Context| async move {
        Ok(match client.control_view(context).await? {
            ControlAnswer::View(view) => LeaderResponse::Reply(view),
            ControlAnswer::NotLeader { leader } => LeaderResponse::NotLeader(leader),
        })
    };
    ask_leader(shared, limit, call).await
}

/// Returns the revision that a daemon must have applied so that its reads include all acknowledged changes.
pub async fn read_revision(shared: &Shared, limit: Duration) -> Result<u64, ApiError> {
    let call = |client: PeerClient, context: Context| async move {
        Ok(match client.read_revision(context).await? {
            ReadAnswer::Current { revision } => LeaderResponse::Reply(revision),
            ReadAnswer::NotLeader { leader } => LeaderResponse::NotLeader(leader),
        })
    };
    ask_leader(shared, limit, call).await
}

/// Returns the newest configuration document as sent by the operator, which includes all acknowledged changes; empty if
/// there is none yet.
pub async fn read_document(shared: &Shared, limit: Duration) -> Result<Vec<u8>, ApiError> {
    let call = |client: PeerClient, context: Context| async move {
        Ok(match client.read_document(context).await? {
            DocumentAnswer::Current { document } => LeaderResponse::Reply(document),
            DocumentAnswer::NotLeader { leader } => LeaderResponse::NotLeader(leader),
        })
    };
    ask_leader(shared, limit, call).await
}

/// Sends servers' reports to the leader. Returns the result for each report once the leader has recorded its changes.
pub async fn register(
    shared: &Shared,
    reports: Vec<InstanceReport>,
    limit: Duration,
) -> Result<Vec<Result<(), ApiError>>, ApiError> {
    let count = reports.len();
    let call = |client: PeerClient, context: Context| {
        let reports = reports.clone();
        async move { Ok(register_results(client.register(context, reports).await?, count)) }
    };
    ask_leader(shared, limit, call).await
}

/// Converts the replies to `count` reports. A daemon that is not the leader has recorded none of them.
fn register_results(replies: Vec<SubmitReply>, count: usize) -> LeaderResponse<Vec<Result<(), ApiError>>> {
    if replies.len() != count {
        let message = format!("{} answers to {count} reports", replies.len());
        return LeaderResponse::Failed(ApiError::new(ResultCode::ProposalDropped, message));
    }
    let mut results = Vec::with_capacity(count);
    for reply in replies {
        match reply {
            SubmitReply::Applied { .. } => results.push(Ok(())),
            SubmitReply::NotLeader { leader } => return LeaderResponse::NotLeader(leader),
            SubmitReply::Failed { code, message } => results.push(Err(ApiError::new(code, message))),
        }
    }
    LeaderResponse::Reply(results)
}

/// A daemon's response to a call to the leader.
enum LeaderResponse<T> {
    Reply(T),
    NotLeader(Option<SocketAddr>),
    Failed(ApiError),
}

/// Searches for the leader and calls it until it responds or `limit` has passed. The call must be idempotent.
async fn ask_leader<T, F, Call>(shared: &Shared, limit: Duration, call: F) -> Result<T, ApiError>
where
    F: Fn(PeerClient, Context) -> Call,
    Call: Future<Output = Result<LeaderResponse<T>, RpcError>>,
{
    let deadline = monotonic_ms() + limit.as_millis() as u64;
    let mut leader_search = LeaderSearch::new(shared);
    let mut last_failure = ApiError::new(ResultCode::NoLeader, "no control leader answers");
    loop {
        let left = Duration::from_millis(deadline.saturating_sub(monotonic_ms()));
        let target = leader_search.next(shared);
        match shared.peers.call(target, left.min(QUERY_ATTEMPT_TIMEOUT), &call).await {
            Ok(LeaderResponse::Reply(answer)) => return Ok(answer),
            Ok(LeaderResponse::NotLeader(leader)) => leader_search.record_redirect(target, leader),
            Ok(LeaderResponse::Failed(error)) => last_failure = error,
            Err(_) => {
                shared.metrics.peer_failures.inc();
                leader_search.record_failure();
            }
        }
        if monotonic_ms() >= deadline {
            return Err(last_failure);
        }
        if !leader_search.has_hint() {
            tokio::time::sleep(MIN_PAUSE).await;
        }
    }
}
