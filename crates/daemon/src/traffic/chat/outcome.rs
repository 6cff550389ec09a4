//! Claims, records and stored answers of a request: they decide which entry may run it, and what is reported later.

use super::run::ChatRun;
use super::{AnswerEncoder, ChatEvent, CompletionStats, Failure, outcome_unknown};
use crate::traffic::records::{find_record, store_at_holders, store_before_dispatch};
use dockwood_api::ResultCode;
use dockwood_api::caller::Outcome;
use dockwood_api::peer::{RequestRecord, StoredAnswer};
use dockwood_state::{ClaimRequest, ClaimVerdict};
use rand::RngExt;
use std::time::Duration;

/// Polling interval for a request that another entry runs.
const OTHER_RUN_POLL_INTERVAL: Duration = Duration::from_millis(200);

impl ChatRun {
    /// Looks up the result of an earlier request with the same id. Returns the event to report; `None` if the request
    /// has to be run.
    pub(super) async fn find_earlier_result(&mut self) -> Option<ChatEvent> {
        let lookup = find_record(&self.traffic, &self.job.record_key()).await;
        self.may_have_run_before = lookup.may_have_run();
        let record = lookup.record?;
        if record.content_digest != self.job.content_digest {
            let message = "the id was used with another body";
            return Some(ChatEvent::Failed(Failure::new(ResultCode::IdempotencyKeyReused, message)));
        }
        match (record.outcome, record.answer) {
            (Outcome::Done, Some(answer)) => Some(ChatEvent::Kept(answer)),
            _ if self.job.repeatable => None,
            // The claim decides: it is available if the other run was withdrawn before dispatch.
            (Outcome::Running, _) => self.claim().await.map(ChatEvent::Failed),
            (Outcome::Unknown | Outcome::Done, _) => Some(ChatEvent::Failed(outcome_unknown())),
            (Outcome::NotRun, _) => None,
        }
    }

    /// Commits the claim of an at-most-once request that may be sent twice. A request whose id was generated here can't
    /// arrive at another entry, so that it needs no claim.
    pub(super) async fn claim(&mut self) -> Option<Failure> {
        if self.job.repeatable || !self.job.has_idempotency_key || self.claim_attempt.is_some() {
            return None;
        }
        let attempt: u64 = rand::rng().random();
        let request = ClaimRequest {
            key: self.job.claim_key(),
            entry: self.traffic.shared.settings.name.clone(),
            attempt,
            content_digest: self.job.content_digest,
            created_ms: ulid::Ulid::from_string(&self.job.id).map_or(0, |id| id.timestamp_ms()),
        };
        match self.traffic.claims.claim(request).await {
            Ok(ClaimVerdict::Held) => {
                self.claim_attempt = Some(attempt);
                // It is sent to a back end only under a claim, and no other entry holds one.
                self.may_have_run_before = false;
                None
            }
            Ok(ClaimVerdict::Taken(row)) => Some(self.await_other_run(row.settled).await),
            Ok(ClaimVerdict::ContentDiffers) => {
                Some(Failure::new(ResultCode::IdempotencyKeyReused, "the id was used with another body"))
            }
            Ok(ClaimVerdict::TooOld) => {
                Some(Failure::new(ResultCode::RequestIdTooOld, "the id is older than claims are kept"))
            }
            Err(error) => {
                // The claim may have been committed nevertheless: withdrawn, so that it does not block a resend.
                self.traffic.claims.settle(self.job.claim_key(), attempt, None).await;
                Some(Failure::new(ResultCode::ClaimRefused, error.message()))
            }
        }
    }

    /// Waits for the result of the same request at another entry, and reports it.
    async fn await_other_run(&mut self, settled: Option<u16>) -> Failure {
        let key = self.job.record_key();
        while self.milliseconds_left() > 0 && !self.caller_disconnected {
            match find_record(&self.traffic, &key).await.record {
                Some(RequestRecord { outcome: Outcome::Done, answer: Some(answer), .. }) => {
                    self.send_event(ChatEvent::Kept(answer)).await;
                    self.caller_disconnected = true;
                    return Failure::new(ResultCode::AlreadyRunning, "answered from the other run");
                }
                Some(RequestRecord { outcome: Outcome::Unknown, .. }) => return outcome_unknown(),
                Some(RequestRecord { outcome: Outcome::NotRun, .. }) => {
                    return Failure::new(
                        ResultCode::BackendUnreachable,
                        "the other entry did not run it; send it again",
                    );
                }
                None if settled.is_some() => return outcome_unknown(),
                _ => tokio::time::sleep(OTHER_RUN_POLL_INTERVAL).await,
            }
        }
        Failure::new(ResultCode::AlreadyRunning, "a request of this id is running at another entry")
    }

    pub(super) async fn record_running(&mut self) {
        if self.job.has_idempotency_key {
            self.is_recorded = true;
            store_before_dispatch(&self.traffic, self.record(Outcome::Running, None, None)).await;
        }
    }

    /// Returns the failure to report to the caller, which says "not run" only if no earlier send of the request may
    /// have run.
    pub(super) fn failure_to_report(&self, failure: Failure) -> Failure {
        if self.may_have_run_before && failure.code.is_not_run() {
            failure.of_resent_request()
        } else {
            failure
        }
    }

    fn record(
        &self,
        outcome: Outcome,
        code: Option<ResultCode>,
        answer: Option<StoredAnswer>,
    ) -> RequestRecord {
        RequestRecord {
            key: self.job.record_key(),
            content_digest: self.job.content_digest,
            outcome,
            code,
            entry: self.traffic.shared.settings.name.clone(),
            answer,
        }
    }

    /// Stores the result, settles the claim, and reports the result to the caller.
    pub(super) async fn finish(
        mut self,
        result: Result<CompletionStats, Failure>,
        encode_answer: AnswerEncoder,
    ) {
        let (code, outcome, answer) = match &result {
            Ok(stats) => (ResultCode::Ok, Outcome::Done, Some(encode_answer(&self.job, &self.text, stats))),
            Err(failure) if failure.code.is_not_run() => (failure.code, Outcome::NotRun, None),
            Err(failure) => (failure.code, Outcome::Unknown, None),
        };
        self.traffic.shared.metrics.answers.with_label_values(&[&code.number().to_string()]).inc();
        let was_dispatched = code == ResultCode::Ok || !code.is_not_run();
        // If the request was refused before it was recorded here, the record of the earlier send is more accurate.
        let was_refused_before_record = code == ResultCode::RanBefore && !self.is_recorded;
        let owns_record = self.claim_attempt.is_some() || (self.job.repeatable && !was_refused_before_record);
        // Stored before the caller receives the result, so that the caller can query it immediately.
        if owns_record || !self.job.has_idempotency_key {
            let record = self.record(outcome, Some(code), answer);
            let traffic = self.traffic.clone();
            let storing = async move { store_at_holders(&traffic, record).await };
            if self.job.has_idempotency_key {
                storing.await;
            } else {
                tokio::spawn(storing);
            }
        }
        if let Some(attempt) = self.claim_attempt {
            let settled = was_dispatched.then_some(code);
            self.traffic.claims.settle(self.job.claim_key(), attempt, settled).await;
        }
        match result {
            Ok(stats) => self.send_event(ChatEvent::Finished(stats)).await,
            Err(failure) => self.send_event(ChatEvent::Failed(failure)).await,
        }
    }
}
