//! Claims: a commit in the log, before dispatch, that this entry and no other runs a request. Claims that arrive
//! concurrently are batched into one command.

use crate::peer::submit;
use crate::shared::Shared;
use dockwood_api::{ApiError, ResultCode};
use dockwood_state::{ClaimKey, ClaimRequest, ClaimSettlement, ClaimVerdict, CommandBody, Outcome};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of claims in one command.
const MAX_BATCH: usize = 256;
/// Capacity of the queues of claims and of settlements.
const QUEUE_CAPACITY: usize = 4_096;
/// Time limit to commit a claim. After it, the request is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Total time for which a settlement is retried.
const SETTLEMENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of claim batches submitted to the leader concurrently.
const MAX_CONCURRENT_BATCHES: usize = 8;

struct PendingClaim {
    request: ClaimRequest,
    reply: oneshot::Sender<Result<ClaimVerdict, ApiError>>,
}

/// Sends claims and settlements to the control leader.
pub struct ClaimClient {
    claims: mpsc::Sender<PendingClaim>,
    settlements: mpsc::Sender<ClaimSettlement>,
}

impl ClaimClient {
    /// Starts the background tasks on the current runtime.
    pub fn start(shared: Arc<Shared>) -> Self {
        let (claims, claim_queue) = mpsc::channel(QUEUE_CAPACITY);
        let (settlements, settlement_queue) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(send_claims(shared.clone(), claim_queue));
        tokio::spawn(send_settlements(shared, settlement_queue));
        ClaimClient { claims, settlements }
    }

    /// Commits a claim, or returns the claim that another entry holds.
    pub async fn claim(&self, request: ClaimRequest) -> Result<ClaimVerdict, ApiError> {
        let stopped = || ApiError::new(ResultCode::ClaimRefused, "the daemon stops");
        let (reply, verdict) = oneshot::channel();
        let pending = PendingClaim { request, reply };
        self.claims.send(pending).await.map_err(|_| stopped())?;
        verdict.await.map_err(|_| stopped())?
    }

    /// Records the result of a claimed request. Without a `code` the claim is withdrawn, because the request was not
    /// run.
    pub async fn settle(&self, key: ClaimKey, attempt: u64, code: Option<ResultCode>) {
        let code = code.map(ResultCode::number);
        let _ = self.settlements.send(ClaimSettlement { key, attempt, code }).await;
    }
}

async fn send_claims(shared: Arc<Shared>, mut queue: mpsc::Receiver<PendingClaim>) {
    let permits = Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_BATCHES));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let mut batch = Vec::new();
        if queue.recv_many(&mut batch, MAX_BATCH).await == 0 {
            return;
        }
        let shared = shared.clone();
        tokio::spawn(async move {
            send_batch(&shared, batch).await;
            drop(permit);
        });
    }
}

async fn send_batch(shared: &Shared, batch: Vec<PendingClaim>) {
    let requests = batch.iter().map(|pending| pending.request.clone()).collect();
    let outcome = submit(shared, CommandBody::Claim(requests), CLAIM_TIMEOUT).await;
    match outcome {
        Ok((_, Outcome::Claims(verdicts))) => {
            for (pending, verdict) in batch.into_iter().zip(verdicts) {
                let _ = pending.reply.send(Ok(verdict));
            }
        }
        Ok(_) => fail_batch(batch, ApiError::new(ResultCode::ClaimRefused, "the log gave no verdict")),
        Err(error) => fail_batch(batch, ApiError::new(ResultCode::ClaimRefused, error.to_string())),
    }
}

fn fail_batch(batch: Vec<PendingClaim>, error: ApiError) {
    for pending in batch {
        let _ = pending.reply.send(Err(error.clone()));
    }
}

async fn send_settlements(shared: Arc<Shared>, mut queue: mpsc::Receiver<ClaimSettlement>) {
    loop {
        let mut batch = Vec::new();
        if queue.recv_many(&mut batch, MAX_BATCH).await == 0 {
            return;
        }
        // If a settlement is lost, its claim stays open, which is safe: the request is not run again, and its outcome
        // is read from the daemons that store its record.
        let _ = submit(&shared, CommandBody::SettleClaims(batch), SETTLEMENT_TIMEOUT).await;
    }
}
