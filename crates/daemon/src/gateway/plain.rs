//! Requests to plain services, whose response is forwarded once it is complete, or known to be large.

use super::Gateway;
use super::body::{
    ReceivedBody, ResponseBody, full_body, may_forward_partially, read_first_part, read_response_body,
};
use super::headers::{ServerHeaders, add_server_headers};
use super::large_response::{LargeResponse, PartialResponse, ResponseSource};
use super::receive::{ReceivedRequest, may_still_send};
use super::request_log::{RequestLog, SendNumber};
use super::response_head::{EvaluatedResponse, ResponseHead, evaluate_head};
use super::responses::{RETRY_SOON_MS, error_response};
use super::server_selection::{SelectedServer, select_server};
use super::upstream::Upstream;
use super::write_permit::acquire_write_permit;
use crate::pushback::{SendPermit, Unavailable};
use crate::shared::InFlight;
use crate::suspects::{Admission, SuspectGate};
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_routing::gateway::{GiveUp, RequestAttempts, RetryDecision, SendOutcome};
use dockwood_routing::{CallResult, Millis};
use http_body_util::Full;
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, Uri};
use std::sync::Arc;
use std::time::Duration;

/// Maximum time that a request waits for servers on hold, as a percentage of the latency target: it can still be
/// answered in time after that.
const HOLD_WAIT_PERCENT: u64 = 50;
/// Minimum duration of one such wait.
const MIN_HOLD_WAIT: Duration = Duration::from_millis(1);

/// A complete response of a server.
struct WholeResponse {
    head: ResponseHead,
    body: Bytes,
}

/// A response of a server, as far as it is received before it is forwarded.
enum ServerResponse {
    Whole(WholeResponse),
    Large(ResponseHead, Box<PartialResponse>),
}

/// What a request has led to.
enum Answer {
    /// A complete response, of a server or of the gateway.
    Complete(Response<ResponseBody>),
    /// A large response of a server, which is forwarded while it is received.
    Large(ResponseHead, Box<PartialResponse>),
}

impl From<Response<ResponseBody>> for Answer {
    fn from(response: Response<ResponseBody>) -> Answer {
        Answer::Complete(response)
    }
}

/// Handles a request within its deadline.
pub async fn handle(
    gateway: &Arc<Gateway>,
    received: &ReceivedRequest,
    request_log: RequestLog,
    in_flight: InFlight,
) -> Response<ResponseBody> {
    let mut plain_request = PlainRequest {
        gateway,
        received,
        request_log,
        attempts: RequestAttempts::new(&received.route),
        gate: received.suspect_gate(&gateway.shared),
        in_flight: false,
        tried: Vec::new(),
        occupied: Vec::new(),
        last_error: None,
        waited: Duration::ZERO,
    };
    let answer = tokio::select! {
        biased;
        answer = plain_request.run() => Some(answer),
        () = gateway.planned_stop.time_is_up(received.deadline) => None,
    };
    match answer {
        Some(Answer::Complete(response)) => response,
        Some(Answer::Large(head, partial)) => plain_request.forward_large(head, *partial, in_flight),
        None => {
            let result = plain_request.attempts.out_of_time(plain_request.in_flight);
            plain_request.give_up(result)
        }
    }
}

/// Returns the response to a caller for whom there is no server response to forward.
pub fn give_up(result: GiveUp) -> Response<ResponseBody> {
    error_response(result.code, result.code.meaning(), result.not_run.then_some(RETRY_SOON_MS))
}

struct PlainRequest<'a> {
    gateway: &'a Arc<Gateway>,
    received: &'a ReceivedRequest,
    request_log: RequestLog,
    attempts: RequestAttempts,
    gate: SuspectGate,
    in_flight: bool,
    tried: Vec<String>,
    /// Servers that were found to run other suspects, since the gate was last waited for.
    occupied: Vec<String>,
    /// An error response of a server, forwarded if no other server responds.
    last_error: Option<WholeResponse>,
    /// Total time that the request has waited for servers on hold.
    waited: Duration,
}

impl PlainRequest<'_> {
    async fn run(&mut self) -> Answer {
        loop {
            let selected = match self.admitted_server().await {
                Ok(Some(selected)) => selected,
                Ok(None) => continue,
                Err(response) => return (*response).into(),
            };
            if !may_still_send(self.gateway, self.received) {
                return self.final_response(ResultCode::NoLease).into();
            }
            if self.attempts.needs_budget() && !self.gateway.try_retry(&self.received.service.name, "plain") {
                return self.final_response(ResultCode::Overloaded).into();
            }
            self.tried.push(selected.row.id.clone());
            self.attempts.begin(&selected.row.id);
            let number = self.request_log.record_send(&selected.row.id, None, None);
            let outcome = match self.send(number, selected).await {
                Ok(ServerResponse::Whole(response)) => return self.forward(response).into(),
                Ok(ServerResponse::Large(head, partial)) => return Answer::Large(head, partial),
                Err(outcome) => outcome,
            };
            self.request_log.record_outcome(number, outcome);
            if let RetryDecision::GiveUp(result) = self.attempts.ended(outcome) {
                let response = match self.last_error.take() {
                    Some(last_error) => self.forward(last_error),
                    None => self.give_up(result),
                };
                return response.into();
            }
        }
    }

    /// Returns a server that the request may be sent to; `None` if the selection has to be repeated.
    async fn admitted_server(&mut self) -> Result<Option<SelectedServer>, Box<Response<ResponseBody>>> {
        let is_suspect = match self.gate.is_suspect().await {
            Ok(is_suspect) => is_suspect,
            Err(code) => return Err(Box::new(self.refused_by_gate(code))),
        };
        let excluded = [self.tried.as_slice(), &self.occupied].concat();
        let selected = match select_server(self.gateway, self.received, &self.gate, is_suspect, &excluded) {
            Ok(selected) => selected,
            Err(_) if !self.occupied.is_empty() => {
                let admission = self.gate.wait_for_free_server().await;
                return self.reset_selection(admission);
            }
            Err(unavailable) => return self.wait_or_refuse(unavailable).await,
        };
        match self.gate.admit(is_suspect, &selected.row.id, &selected.row.zone, selected.row.address).await {
            Admission::Admitted => Ok(Some(selected)),
            Admission::OtherServer => {
                self.occupied.push(selected.row.id.clone());
                Ok(None)
            }
            other => self.reset_selection(other),
        }
    }

    /// Handles the case that no server is available: waits for one whose hold ends soon if the request has not been
    /// sent to any server yet, and refuses the request otherwise.
    async fn wait_or_refuse(
        &mut self,
        unavailable: Unavailable,
    ) -> Result<Option<SelectedServer>, Box<Response<ResponseBody>>> {
        let max_wait = Duration::from_millis(self.received.route.target_latency_ms * HOLD_WAIT_PERCENT / 100);
        let remaining = max_wait.saturating_sub(self.waited);
        let in_time = unavailable.free_in.filter(|free_in| self.tried.is_empty() && *free_in <= remaining);
        let Some(free_in) = in_time else {
            self.request_log.set_held_servers(unavailable.held);
            return Err(Box::new(
                self.final_response_with_retry(unavailable.code, unavailable.retry_after_ms),
            ));
        };
        if self.waited.is_zero() {
            self.gateway.shared.metrics.held_back.with_label_values(&["waited"]).inc();
        }
        // Never zero, so that the number of waits is bounded.
        let wait = free_in.max(MIN_HOLD_WAIT);
        self.waited += wait;
        tokio::time::sleep(wait).await;
        Ok(None)
    }

    /// Makes all servers eligible again, unless the request may not be sent to any.
    fn reset_selection(
        &mut self,
        admission: Admission,
    ) -> Result<Option<SelectedServer>, Box<Response<ResponseBody>>> {
        self.occupied.clear();
        match admission {
            Admission::Refused(code) => Err(Box::new(self.refused_by_gate(code))),
            Admission::Admitted | Admission::OtherServer | Admission::Wait => Ok(None),
        }
    }

    /// Returns the final response if the request is not sent to any further server.
    fn final_response(&mut self, code: ResultCode) -> Response<ResponseBody> {
        self.final_response_with_retry(code, None)
    }

    /// The same, with the retry time if it is known.
    fn final_response_with_retry(
        &mut self,
        code: ResultCode,
        retry_after_ms: Option<Millis>,
    ) -> Response<ResponseBody> {
        if let Some(last_error) = self.last_error.take() {
            return self.forward(last_error);
        }
        let result = self.attempts.give_up();
        if !result.not_run {
            return self.give_up(result);
        }
        self.request_log.end(code);
        error_response(code, code.meaning(), Some(retry_after_ms.unwrap_or(RETRY_SOON_MS)))
    }

    fn forward(&mut self, response: WholeResponse) -> Response<ResponseBody> {
        let WholeResponse { head, body } = response;
        if head.status.is_success() {
            self.gate.answered();
        }
        let failed = head.status.is_server_error();
        self.request_log.end(if failed { ResultCode::BackendFailed } else { ResultCode::Ok });
        head.into_response(full_body(body))
    }

    /// Forwards a large response while it is received.
    fn forward_large(
        self,
        head: ResponseHead,
        partial: PartialResponse,
        in_flight: InFlight,
    ) -> Response<ResponseBody> {
        let large_response = LargeResponse {
            gateway: self.gateway.clone(),
            status: head.status,
            deadline: self.received.deadline,
            request_log: self.request_log,
            gate: self.gate,
            _in_flight: in_flight,
        };
        head.into_response(large_response.into_body(partial))
    }

    fn give_up(&mut self, result: GiveUp) -> Response<ResponseBody> {
        self.request_log.end(result.code);
        give_up(result)
    }

    /// Returns the response to a request that the gate has refused. A quarantined request gets no retry time.
    fn refused_by_gate(&mut self, code: ResultCode) -> Response<ResponseBody> {
        if code != ResultCode::RequestQuarantined {
            return self.final_response(code);
        }
        self.request_log.end(code);
        error_response(code, code.meaning(), None)
    }

    /// Sends the request to one server. `Err` if there is no response to forward.
    async fn send(
        &mut self,
        number: SendNumber,
        selected: SelectedServer,
    ) -> Result<ServerResponse, SendOutcome> {
        let mut upstream = match self.gateway.connect(self.received, selected.row.address).await {
            Ok(upstream) => upstream,
            Err(fault) => {
                self.request_log.record_connect_fault(number, fault);
                selected.finish(CallResult::Failed);
                return Err(SendOutcome::NotConnected);
            }
        };
        let request = server_request(self.gateway, self.received, &selected.row.id, None);
        let permit =
            acquire_write_permit(self.gateway, self.received, &self.gate, selected.selection()).await;
        let permit = match permit {
            Ok(permit) => permit,
            Err(reason) => {
                // The server may be selected again: its connection is established now, and the hold will end.
                self.tried.pop();
                self.gateway.pool.release(upstream);
                return Err(SendOutcome::Withheld(reason));
            }
        };
        self.in_flight = true;
        let response = self.exchange(number, &mut upstream, request, permit).await;
        self.in_flight = false;
        match response {
            Ok((head, ReceivedBody::Whole(body))) => {
                self.gateway.pool.release(upstream);
                selected.finish(CallResult::Answered);
                self.check_server_error(WholeResponse { head, body })
            }
            Ok((head, ReceivedBody::Partial { received, rest, framing })) => {
                let source = ResponseSource { rest, framing, upstream, selected, number };
                self.check_large_server_error(head, PartialResponse { received, source })
            }
            Err(outcome) => {
                let was_rejected = outcome == SendOutcome::SaidNotRun;
                selected.finish(if was_rejected { CallResult::Answered } else { CallResult::Failed });
                Err(outcome)
            }
        }
    }

    /// Sends a request and reads the complete response, or the first part of a large one.
    async fn exchange(
        &mut self,
        number: SendNumber,
        upstream: &mut Upstream,
        request: Request<Full<Bytes>>,
        mut permit: SendPermit,
    ) -> Result<(ResponseHead, ReceivedBody), SendOutcome> {
        let Ok(response) = upstream.send(request, &permit).await else {
            return Err(self.broken_connection_outcome().await);
        };
        let log = &mut self.request_log;
        let evaluated = evaluate_head(self.gateway, self.received, log, number, &mut permit, response);
        drop(permit);
        let EvaluatedResponse { head, framing, body } = evaluated?;
        let body = if may_forward_partially(self.received.version, framing) {
            read_first_part(&self.gate, framing, body).await
        } else {
            read_response_body(&self.gate, framing, body).await.map(ReceivedBody::Whole)
        };
        let Some(body) = body else {
            return Err(self.broken_connection_outcome().await);
        };
        Ok((head, body))
    }

    /// Returns the outcome of a send whose connection broke while the server had the request.
    async fn broken_connection_outcome(&mut self) -> SendOutcome {
        match self.gate.connection_broke(|| ()).await {
            true => SendOutcome::ServerEnded,
            false => SendOutcome::Unknown,
        }
    }

    /// Treats a server error as a failed send if the request may be sent to another server.
    fn check_server_error(&mut self, response: WholeResponse) -> Result<ServerResponse, SendOutcome> {
        if response.head.status.is_server_error() && self.attempts.may_move() {
            self.last_error = Some(response);
            return Err(SendOutcome::Failed);
        }
        Ok(ServerResponse::Whole(response))
    }

    /// The same for a large response. A large error is not kept: the request is sent to another server instead of reading it.
    fn check_large_server_error(
        &mut self,
        head: ResponseHead,
        partial: PartialResponse,
    ) -> Result<ServerResponse, SendOutcome> {
        if head.status.is_server_error() && self.attempts.may_move() {
            return Err(SendOutcome::Failed);
        }
        Ok(ServerResponse::Large(head, Box::new(partial)))
    }
}

/// Creates the request to one server.
pub fn server_request(
    gateway: &Gateway,
    received: &ReceivedRequest,
    instance: &str,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers = received.headers.clone();
    let values = ServerHeaders {
        deadline_ms: received.remaining_ms(),
        instance,
        tenant: received.tenant.as_deref(),
        rank: received.service.engine.is_some().then_some(received.rank),
        last_event,
    };
    add_server_headers(&mut headers, gateway.dialect.headers(), &values);
    let path = received.uri.path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/"));
    let mut request = Request::new(Full::new(received.body.clone()));
    *request.method_mut() = received.method.clone();
    *request.uri_mut() = Uri::from(path);
    *request.headers_mut() = headers;
    request
}
