//! Claims, records and kept answers of a request: who may run it, and what is told of it afterwards.

use super::run::Run;
use super::{ChatEvent, Failure, Finish, KeepBody, unknown};
use crate::traffic::records::{find, keep, keep_before_dispatch};
use dockwood_api::ResultCode;
use dockwood_api::caller::Outcome;
use dockwood_api::peer::{RequestRecord, StoredAnswer};
use dockwood_state::{ClaimRequest, ClaimVerdict};
use rand::RngExt;
use std::time::Duration;

/// Time between looks at a request that another entry runs.
const OTHER_RUN_POLL: Duration = Duration::from_millis(200);

impl Run {
    /// What an earlier request of the same id left.
    pub(super) async fn earlier_answer(&mut self) -> Option<ChatEvent> {
        let lookup = find(&self.traffic, &self.job.record_key()).await;
        self.may_have_run_before = lookup.may_have_run();
        let record = lookup.record?;
        if record.content_digest != self.job.content_digest {
            let message = "the id was used with another body";
            return Some(ChatEvent::Failed(Failure::new(ResultCode::IdempotencyKeyReused, message)));
        }
        match (record.outcome, record.answer) {
            (Outcome::Done, Some(answer)) => Some(ChatEvent::Kept(answer)),
            _ if self.job.repeatable => None,
            // The claim decides: it is free if the other run was given up before it began.
            (Outcome::Running, _) => self.claim().await.map(ChatEvent::Failed),
            (Outcome::Unknown | Outcome::Done, _) => Some(ChatEvent::Failed(unknown())),
            (Outcome::NotRun, _) => None,
        }
    }

    /// Commits the claim of a request that must not run twice and could be sent twice. A request whose id was
    /// made here can't arrive anywhere else, so it needs none.
    pub(super) async fn claim(&mut self) -> Option<Failure> {
        if self.job.repeatable || !self.job.keyed || self.claim_attempt.is_some() {
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
                // No back end gets it without a claim, and nobody else holds one.
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
                // It may have been committed all the same: withdrawn, so that a resend is not blocked.
                self.traffic.claims.settle(self.job.claim_key(), attempt, None).await;
                Some(Failure::new(ResultCode::ClaimRefused, error.message()))
            }
        }
    }

    /// Another entry runs this request: its result is the answer.
    async fn await_other_run(&mut self, settled: Option<u16>) -> Failure {
        let key = self.job.record_key();
        while self.milliseconds_left() > 0 && !self.caller_gone {
            match find(&self.traffic, &key).await.record {
                Some(RequestRecord { outcome: Outcome::Done, answer: Some(answer), .. }) => {
                    self.tell(ChatEvent::Kept(answer)).await;
                    self.caller_gone = true;
                    return Failure::new(ResultCode::AlreadyRunning, "answered from the other run");
                }
                Some(RequestRecord { outcome: Outcome::Unknown, .. }) => return unknown(),
                Some(RequestRecord { outcome: Outcome::NotRun, .. }) => {
                    return Failure::new(
                        ResultCode::BackendUnreachable,
                        "the other entry did not run it; send it again",
                    );
                }
                None if settled.is_some() => return unknown(),
                _ => tokio::time::sleep(OTHER_RUN_POLL).await,
            }
        }
        Failure::new(ResultCode::AlreadyRunning, "a request of this id is running at another entry")
    }

    pub(super) async fn record_running(&mut self) {
        if self.job.keyed {
            self.is_recorded = true;
            keep_before_dispatch(&self.traffic, self.record(Outcome::Running, None, None)).await;
        }
    }

    /// What the caller may be told of a failure: that the request was not run only if no earlier sending of it was.
    pub(super) fn truthful(&self, failure: Failure) -> Failure {
        if self.may_have_run_before && failure.code.is_not_run() { failure.of_resend() } else { failure }
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

    /// Tells the caller the result, keeps it, and settles the claim.
    pub(super) async fn finish(mut self, result: Result<Finish, Failure>, keep_body: KeepBody) {
        let (code, outcome, answer) = match &result {
            Ok(figures) => (ResultCode::Ok, Outcome::Done, Some(keep_body(&self.job, &self.text, figures))),
            Err(failure) if failure.code.is_not_run() => (failure.code, Outcome::NotRun, None),
            Err(failure) => (failure.code, Outcome::Unknown, None),
        };
        self.traffic.shared.metrics.answers.with_label_values(&[&code.number().to_string()]).inc();
        let was_dispatched = code == ResultCode::Ok || !code.is_not_run();
        // Of a request that was refused before it was noted here, an earlier sending's record tells more.
        let is_only_refused = code == ResultCode::RanBefore && !self.is_recorded;
        let owns_record = self.claim_attempt.is_some() || (self.job.repeatable && !is_only_refused);
        // Kept before the caller hears of the end, so that it can be asked for as soon as the caller can ask.
        if owns_record || !self.job.keyed {
            let record = self.record(outcome, Some(code), answer);
            let traffic = self.traffic.clone();
            let keeping = async move { keep(&traffic, record).await };
            if self.job.keyed {
                keeping.await;
            } else {
                tokio::spawn(keeping);
            }
        }
        if let Some(attempt) = self.claim_attempt {
            let settled = was_dispatched.then_some(code);
            self.traffic.claims.settle(self.job.claim_key(), attempt, settled).await;
        }
        match result {
            Ok(figures) => self.tell(ChatEvent::Finished(figures)).await,
            Err(failure) => self.tell(ChatEvent::Failed(failure)).await,
        }
    }
}
