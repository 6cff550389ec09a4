//! Sends a streaming request: to a first source, to another one after a failure, and to an additional one while those that
//! have it have stalled.

use super::FULL_RETRY_MS;
use super::open_send::{OpenSend, Position};
use super::selection::OccupiedSources;
use crate::gateway::Gateway;
use crate::gateway::body::ResponseBody;
use crate::gateway::loads::{ModelKey, SilenceProbe};
use crate::gateway::plain::give_up;
use crate::gateway::receive::{ReceivedRequest, may_still_send};
use crate::gateway::request_log::RequestLog;
use crate::gateway::responses::error_response;
use crate::gateway::source::Source;
use crate::gateway::stalls::wait_for_working_group;
use crate::log_line::NoOtherSource;
use crate::suspects::SuspectGate;
use dockwood_api::ResultCode;
use dockwood_routing::gateway::{GiveUp, RequestAttempts, RetryDecision, SendOutcome};
use hyper::Response;
use std::sync::Arc;
use tokio::time::Instant;

/// Sends one request.
pub(super) struct RequestSender {
    pub gateway: Arc<Gateway>,
    pub received: ReceivedRequest,
    pub request_log: RequestLog,
    pub attempts: RequestAttempts,
    /// The gate of the next send.
    pub gate: SuspectGate,
    pub tried_groups: Vec<u64>,
    pub tried_servers: Vec<String>,
    /// Sources that were found to run other suspects, since the gate was last waited for.
    pub occupied: OccupiedSources,
    /// Service and model of the request; the model is empty if the request names none.
    pub model: ModelKey,
    /// Until when the request waits for a place; `None` if it has not waited since the last send.
    pub place_wait_ends: Option<Instant>,
}

impl RequestSender {
    /// Creates the sender of a request that has not been sent yet.
    pub fn new(gateway: &Arc<Gateway>, received: ReceivedRequest, request_log: RequestLog) -> RequestSender {
        RequestSender {
            attempts: RequestAttempts::new(&received.route),
            gate: received.suspect_gate(&gateway.shared),
            model: ModelKey {
                service: received.service.name.clone(),
                model: received.model.clone().unwrap_or_default(),
            },
            gateway: gateway.clone(),
            received,
            request_log,
            tried_groups: Vec::new(),
            tried_servers: Vec::new(),
            occupied: OccupiedSources::default(),
            place_wait_ends: None,
        }
    }

    /// Sends the request to a source; no other one has it.
    ///
    /// # Errors
    /// The response to the caller, if it is sent to no source.
    pub async fn open(&mut self, position: Position) -> Result<OpenSend, Box<Response<ResponseBody>>> {
        loop {
            let Some(source) = self.admitted_source().await? else { continue };
            if !may_still_send(&self.gateway, &self.received) {
                self.request_log.record_no_other_source(NoOtherSource::NoLease);
                return Err(Box::new(self.refusal(ResultCode::NoLease, FULL_RETRY_MS)));
            }
            if self.attempts.needs_budget() && !self.try_retry() {
                self.request_log.record_no_other_source(NoOtherSource::RetryBudget);
                return Err(Box::new(self.refusal(ResultCode::Overloaded, FULL_RETRY_MS)));
            }
            match self.write(source, position).await {
                Ok(send) => return Ok(send),
                Err(outcome) => self.ended(outcome).map_err(|result| Box::new(self.give_up(result)))?,
            }
        }
    }

    /// Sends the request to an additional source, while stalled ones have it.
    ///
    /// # Errors
    /// Returns why there is none now.
    pub async fn open_another(&mut self, position: Position) -> Result<OpenSend, NoOtherSource> {
        let (source, probe) = self.select_another().await?;
        self.gate.admit(false, source.instance(), source.zone(), source.address()).await;
        if !may_still_send(&self.gateway, &self.received) {
            return Err(NoOtherSource::NoLease);
        }
        if !self.try_retry() {
            return Err(NoOtherSource::RetryBudget);
        }
        match self.write(source, position).await {
            Ok(mut send) => {
                send.probe = probe;
                Ok(send)
            }
            Err(outcome) => {
                self.attempts.ended(outcome);
                Err(NoOtherSource::NotReached)
            }
        }
    }

    /// Selects an additional source, in turn with the other stalled streams of this entry.
    async fn select_another(&mut self) -> Result<(Source, Option<SilenceProbe>), NoOtherSource> {
        let gateway = self.gateway.clone();
        let _turn = gateway.loads.wait_for_search_turn(&self.model).await;
        let probe = wait_for_working_group(&gateway, &self.model).await;
        if !self.gate.may_run_beside() {
            return Err(NoOtherSource::Suspect);
        }
        self.place_wait_ends = None;
        let source = self.select_source(false).await.map_err(|unavailable| {
            self.request_log.set_held_servers(unavailable.held);
            NoOtherSource::NoPlace
        })?;
        Ok((source, probe))
    }

    fn try_retry(&self) -> bool {
        self.gateway.try_retry(&self.received.service.name, "stream")
    }

    /// Records that a send has ended; `Err` if the request may not be sent again.
    pub fn ended(&mut self, outcome: SendOutcome) -> Result<(), GiveUp> {
        if !matches!(outcome, SendOutcome::Withheld(_)) {
            self.place_wait_ends = None;
        }
        match self.attempts.ended(outcome) {
            RetryDecision::SendAgain => Ok(()),
            RetryDecision::GiveUp(result) => {
                self.request_log.record_no_other_source(NoOtherSource::AttemptsUsed);
                Err(result)
            }
        }
    }

    /// Returns the final response to the caller.
    pub fn give_up(&mut self, result: GiveUp) -> Response<ResponseBody> {
        self.request_log.end(result.code);
        give_up(result)
    }

    /// Returns the response to a request for which there is no source.
    pub fn refusal(&mut self, code: ResultCode, retry_after_ms: u64) -> Response<ResponseBody> {
        let result = self.attempts.give_up();
        if result.not_run {
            self.request_log.end(code);
            return error_response(code, code.meaning(), Some(retry_after_ms));
        }
        self.give_up(result)
    }
}
