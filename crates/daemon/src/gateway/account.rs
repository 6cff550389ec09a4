//! What is told of one request: everything that was decided on it, in one line once it has ended.

use super::Gateway;
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::log_line::{ChosenBy, LineBody, RequestLine, SendLine};
use crate::logging;
use dockwood_api::ResultCode;
use dockwood_api::gateway::Fingerprint;
use dockwood_routing::gateway::SendOutcome;
use dockwood_routing::pushback::{AnswerSignals, LeavingMark, RequestRate};
use std::sync::Arc;
use tokio::time::Instant;

/// A request from its arrival to its end. Dropped without an end, it tells that its caller has left.
pub struct RequestAccount {
    gateway: Arc<Gateway>,
    arrived: Instant,
    about: About,
    waited_ms: u64,
    first_event_ms: Option<u64>,
    last_event_ms: u64,
    longest_pause_ms: Option<u64>,
    sends: Vec<SendLine>,
    held: Vec<String>,
    ended: Option<ResultCode>,
}

/// What a request was found to be.
#[derive(Clone, Debug, Default)]
pub struct About {
    /// The caller's attempt id.
    pub attempt: Option<String>,
    /// Tenant.
    pub tenant: Option<String>,
    /// Route.
    pub route: Option<String>,
    /// Service.
    pub service: Option<String>,
    /// Model.
    pub model: Option<String>,
    /// The time that it had, in milliseconds.
    pub allowed_ms: u64,
    /// Tokens of its prompt, as far as they are told.
    pub prompt_tokens: u64,
    /// What it is recognised by when it comes again.
    pub fingerprint: Option<Fingerprint>,
}

impl RequestAccount {
    /// A request that has just arrived.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        RequestAccount {
            gateway,
            arrived: Instant::now(),
            about: About::default(),
            waited_ms: 0,
            first_event_ms: None,
            last_event_ms: 0,
            longest_pause_ms: None,
            sends: Vec::new(),
            held: Vec::new(),
            ended: None,
        }
    }

    /// Notes what the request was found to be.
    pub fn describe(&mut self, about: About) {
        self.about = about;
    }

    fn elapsed_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }

    /// Notes a wait for a place that began at `since`.
    pub fn waited(&mut self, since: Instant) {
        self.waited_ms += since.elapsed().as_millis() as u64;
    }

    /// Notes that it is sent to a server.
    pub fn sent(&mut self, instance: &str, epoch: Option<u64>, chosen_by: Option<ChosenBy>) {
        self.sends.push(SendLine {
            instance: instance.to_string(),
            epoch,
            at_ms: self.elapsed_ms(),
            chosen_by,
            ended: None,
            status: None,
            retry_after_ms: None,
            leaving: false,
            limit_per_second: None,
        });
    }

    /// Notes what the head of the answer to the last send says.
    pub fn head_received(&mut self, signals: &AnswerSignals) {
        let Some(last) = self.sends.last_mut() else { return };
        last.status = Some(signals.status);
        last.retry_after_ms = signals.pushback_ms();
        last.leaving = signals.leaving == LeavingMark::Leaving;
        last.limit_per_second = signals.limit.rate().map(RequestRate::per_second);
    }

    /// Notes that the last send did not bring the answer.
    pub fn send_ended(&mut self, outcome: SendOutcome) {
        if outcome == SendOutcome::ServerEnded {
            self.gateway.shared.metrics.sends_server_ended.inc();
        }
        if let Some(last) = self.sends.last_mut().filter(|send| send.ended.is_none()) {
            last.ended = Some(format!("{outcome:?}"));
        }
    }

    /// Notes servers that would have taken it, and rest or leave.
    pub fn held(&mut self, servers: Vec<String>) {
        self.held = servers;
    }

    /// Notes that an event was passed on.
    pub fn event_passed(&mut self) {
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

    /// Notes how it ended; the first end counts.
    pub fn end(&mut self, code: ResultCode) {
        self.ended.get_or_insert(code);
    }
}

impl Drop for RequestAccount {
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
        let about = &self.about;
        let has_model = about.model.is_some();
        let line = RequestLine {
            request: about.attempt.as_deref().unwrap_or_default(),
            code: code.number(),
            code_name: code.name(),
            tenant: about.tenant.as_deref(),
            route: about.route.as_deref(),
            service: about.service.as_deref(),
            model: about.model.as_deref(),
            fingerprint: about.fingerprint.map(|fingerprint| fingerprint.to_string()),
            configuration: self.gateway.routes.load().version,
            lease_left_ms: shared.lease_left_ms(),
            places_age_ms: has_model.then(|| self.gateway.loads.age_of_grants(now)),
            took_ms: self.elapsed_ms(),
            allowed_ms: about.allowed_ms,
            waited_ms: self.waited_ms,
            first_event_ms: self.first_event_ms,
            longest_pause_ms: self.longest_pause_ms,
            prompt_tokens: has_model.then_some(about.prompt_tokens),
            sends: &self.sends,
            servers_held: &self.held,
            held_back,
        };
        logging::write(&shared.settings.name, LineBody::Request(line));
    }
}
