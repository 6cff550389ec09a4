//! Claims: commits, before dispatch, that this entry and nobody else runs a request. Claims that arrive
//! together share one command.

use crate::peer::submit;
use crate::shared::Shared;
use dockwood_api::{ApiError, ResultCode};
use dockwood_state::{ClaimKey, ClaimRequest, ClaimSettlement, ClaimVerdict, CommandBody, Outcome};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Claims of one command, at most.
const MAX_BATCH: usize = 256;
/// Claims that may wait.
const QUEUE: usize = 4_096;
/// How long a claim may take before its request is refused.
const CLAIM_LIMIT: Duration = Duration::from_secs(5);
/// How long a settlement is tried.
const SETTLE_LIMIT: Duration = Duration::from_secs(30);
/// Batches on their way to the leader at once.
const BATCHES_AT_ONCE: usize = 8;

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
        let (claims, claim_queue) = mpsc::channel(QUEUE);
        let (settlements, settlement_queue) = mpsc::channel(QUEUE);
        tokio::spawn(send_claims(shared.clone(), claim_queue));
        tokio::spawn(send_settlements(shared, settlement_queue));
        ClaimClient { claims, settlements }
    }

    /// Commits a claim, or learns who holds it.
    pub async fn claim(&self, request: ClaimRequest) -> Result<ClaimVerdict, ApiError> {
        let ended = || ApiError::new(ResultCode::ClaimRefused, "the daemon stops");
        let (reply, verdict) = oneshot::channel();
        let pending = PendingClaim { request, reply };
        self.claims.send(pending).await.map_err(|_| ended())?;
        verdict.await.map_err(|_| ended())?
    }

    /// Notes what became of a claimed request; `code` `None` withdraws the claim, as it was not run.
    pub async fn settle(&self, key: ClaimKey, attempt: u64, code: Option<ResultCode>) {
        let code = code.map(ResultCode::number);
        let _ = self.settlements.send(ClaimSettlement { key, attempt, code }).await;
    }
}

async fn send_claims(shared: Arc<Shared>, mut queue: mpsc::Receiver<PendingClaim>) {
    let permits = Arc::new(tokio::sync::Semaphore::new(BATCHES_AT_ONCE));
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
    let outcome = submit(shared, CommandBody::Claim(requests), CLAIM_LIMIT).await;
    match outcome {
        Ok((_, Outcome::Claims(verdicts))) => {
            for (pending, verdict) in batch.into_iter().zip(verdicts) {
                let _ = pending.reply.send(Ok(verdict));
            }
        }
        Ok(_) => fail(batch, ApiError::new(ResultCode::ClaimRefused, "the log gave no verdict")),
        Err(error) => fail(batch, ApiError::new(ResultCode::ClaimRefused, error.to_string())),
    }
}

fn fail(batch: Vec<PendingClaim>, error: ApiError) {
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
        // A settlement that is lost leaves a claim standing, which errs on the safe side: the request is not
        // run again, and its outcome is asked of the keepers of its record.
        let _ = submit(&shared, CommandBody::SettleClaims(batch), SETTLE_LIMIT).await;
    }
}
