//! The log line of a request, which records all decisions on it. It is written when the request ends.

use super::Gateway;
use super::upstream::ConnectFault;
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::log_line::{ChosenBy, LineBody, NoOtherSource, PlacesSummary, RequestLine, SendLine, StallLine};
use crate::logging;
use crate::pushback::UsedTurn;
use crate::response_framing::HeadFault;
use dockwood_api::ResultCode;
use dockwood_api::gateway::Fingerprint;
use dockwood_routing::gateway::SendOutcome;
use dockwood_routing::pushback::{AnswerSignals, LeavingMark, RequestRate};
use hyper::StatusCode;
use std::sync::Arc;
use tokio::time::Instant;

/// Record of a request from its arrival to its end. If it is dropped before [`RequestLog::end`] was called, the line says
/// that the caller has left.
pub struct RequestLog {
    gateway: Arc<Gateway>,
    arrived: Instant,
    info: RequestInfo,
    waited_ms: u64,
    first_event_ms: Option<u64>,
    last_event_ms: u64,
    longest_pause_ms: Option<u64>,
    sends: Vec<SendLine>,
    held_servers: Vec<String>,
    no_place: Option<PlacesSummary>,
    no_other_source: Option<NoOtherSource>,
    ended: Option<ResultCode>,
}

/// Position of a send in the request's log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendNumber(usize);

/// Properties of a request, known once it has been read.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// Attempt id from the caller.
    pub attempt: Option<String>,
    /// Tenant.
    pub tenant: Option<String>,
    /// Route.
    pub route: Option<String>,
    /// Service.
    pub service: Option<String>,
    /// Model.
    pub model: Option<String>,
    /// Time allowed for the request, in milliseconds.
    pub allowed_ms: u64,
    /// Number of prompt tokens; 0 if the caller did not state it.
    pub prompt_tokens: u64,
    /// Fingerprint by which retries of the request are recognized.
    pub fingerprint: Option<Fingerprint>,
}

impl RequestLog {
    /// Creates the record of a request that has just arrived.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        RequestLog {
            gateway,
            arrived: Instant::now(),
            info: RequestInfo::default(),
            waited_ms: 0,
            first_event_ms: None,
            last_event_ms: 0,
            longest_pause_ms: None,
            sends: Vec::new(),
            held_servers: Vec::new(),
            no_place: None,
            no_other_source: None,
            ended: None,
        }
    }

    /// Sets the properties of the request.
    pub fn set_info(&mut self, info: RequestInfo) {
        self.info = info;
    }

    fn elapsed_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }

    /// Adds the time spent waiting for a place since `since`.
    pub fn add_wait(&mut self, since: Instant) {
        self.waited_ms += since.elapsed().as_millis() as u64;
    }

    /// Records a send to a server, and returns the number by which its further course is recorded.
    pub fn record_send(
        &mut self,
        instance: &str,
        epoch: Option<u64>,
        chosen_by: Option<ChosenBy>,
    ) -> SendNumber {
        self.sends.push(SendLine {
            instance: instance.to_string(),
            epoch,
            at_ms: self.elapsed_ms(),
            chosen_by,
            stall: None,
            ended: None,
            withheld: None,
            connect_fault: None,
            turn_from: None,
            turn_age_ms: None,
            status: None,
            head_fault: None,
            retry_after_ms: None,
            leaving: false,
            limit_per_second: None,
        });
        SendNumber(self.sends.len() - 1)
    }

    /// Records the pushback signals in the response head of a send, and the grant that it was sent with.
    pub fn record_head(&mut self, send: SendNumber, signals: &AnswerSignals, turn: Option<UsedTurn>) {
        let Some(send) = self.sends.get_mut(send.0) else { return };
        send.status = Some(signals.status);
        send.turn_from = turn.map(|turn| turn.source.name());
        send.turn_age_ms = turn.map(|turn| turn.age_ms);
        send.retry_after_ms = signals.pushback_ms();
        send.leaving = signals.leaving == LeavingMark::Leaving;
        send.limit_per_second = signals.limit.rate().map(RequestRate::per_second);
    }

    /// Records why a server's response with this status can't be forwarded.
    pub fn record_head_fault(&mut self, send: SendNumber, status: StatusCode, fault: HeadFault) {
        self.gateway.shared.metrics.head_faults.with_label_values(&[&format!("{fault:?}")]).inc();
        if let Some(send) = self.sends.get_mut(send.0) {
            send.status = Some(status.as_u16());
            send.head_fault = Some(fault);
        }
    }

    /// Records the outcome of a send that brought no response to forward.
    pub fn record_outcome(&mut self, send: SendNumber, outcome: SendOutcome) {
        if let Some(send) = self.sends.get_mut(send.0).filter(|send| send.ended.is_none()) {
            (send.ended, send.withheld) = match outcome {
                SendOutcome::Withheld(reason) => (Some("Withheld".to_string()), Some(reason.name())),
                outcome => (Some(format!("{outcome:?}")), None),
            };
        }
    }

    /// Records how the source of a send stalled.
    pub fn record_stall(&mut self, send: SendNumber, stall: StallLine) {
        if let Some(send) = self.sends.get_mut(send.0) {
            send.stall = Some(stall);
        }
    }

    /// Records why the request is sent to no other source, if it has been sent before.
    pub fn record_no_other_source(&mut self, reason: NoOtherSource) {
        if !self.sends.is_empty() {
            self.no_other_source = Some(reason);
        }
    }

    /// Records why no connection was established for a send.
    pub fn record_connect_fault(&mut self, send: SendNumber, fault: ConnectFault) {
        if let Some(send) = self.sends.get_mut(send.0) {
            send.connect_fault = Some(fault);
        }
    }

    /// Records the servers that were not selected because they are on hold.
    pub fn set_held_servers(&mut self, servers: Vec<String>) {
        self.held_servers = servers;
    }

    /// Records the groups that may run the request, among which no place was found.
    pub fn set_no_place(&mut self, places: PlacesSummary) {
        self.no_place = Some(places);
    }

    /// Records that an event was forwarded to the caller.
    pub fn record_event(&mut self) {
        let now_ms = self.elapsed_ms();
        match self.first_event_ms {
            None => self.first_event_ms = Some(now_ms),
            Some(_) => {
                let pause_ms = now_ms.saturating_sub(self.last_event_ms);
                self.longest_pause_ms = self.longest_pause_ms.max(Some(pause_ms));
            }
        }
        self.last_event_ms = now_ms;
    }

    /// Records the result code; only the first call has an effect.
    pub fn end(&mut self, code: ResultCode) {
        self.ended.get_or_insert(code);
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let code = self.ended.unwrap_or(ResultCode::CallerLeft);
        let shared = &self.gateway.shared;
        shared.metrics.answers.with_label_values(&[&code.number().to_string()]).inc();
        if code == ResultCode::ZoneEvacuated {
            shared.metrics.kept_from_evacuated_zones.with_label_values(&["refused"]).inc();
        }
        if matches!(code, ResultCode::ServersResting | ResultCode::ServersAtLimit) {
            shared.metrics.held_back.with_label_values(&["refused"]).inc();
        }
        let now = monotonic_ms();
        let Some(held_back) = lock(&self.gateway.line_budget).take(now, code) else {
            shared.metrics.request_lines_held_back.inc();
            return;
        };
        shared.metrics.request_lines_written.inc();
        let info = &self.info;
        let has_model = info.model.is_some();
        let line = RequestLine {
            request: info.attempt.as_deref().unwrap_or_default(),
            code: code.number(),
            code_name: code.name(),
            tenant: info.tenant.as_deref(),
            route: info.route.as_deref(),
            service: info.service.as_deref(),
            model: info.model.as_deref(),
            fingerprint: info.fingerprint.map(|fingerprint| fingerprint.to_string()),
            configuration: self.gateway.routes.load().version,
            lease_left_ms: shared.lease_left_ms(),
            places_age_ms: has_model.then(|| self.gateway.loads.age_of_grants(now)),
            took_ms: self.elapsed_ms(),
            allowed_ms: info.allowed_ms,
            waited_ms: self.waited_ms,
            first_event_ms: self.first_event_ms,
            longest_pause_ms: self.longest_pause_ms,
            prompt_tokens: has_model.then_some(info.prompt_tokens),
            sends: &self.sends,
            no_place: self.no_place.clone(),
            no_other_source: self.no_other_source,
            servers_held: &self.held_servers,
            held_back,
        };
        logging::write(&shared.settings.name, LineBody::Request(line));
    }
}
