//! Sends a plain request to one server and reads its response.

use super::PlainRequest;
use crate::gateway::Gateway;
use crate::gateway::body::{
    ReceivedBody, ResponseBody, may_forward_partially, read_first_part, read_response_body,
};
use crate::gateway::headers::{ServerHeaders, add_server_headers, end_to_end};
use crate::gateway::large_response::{PartialResponse, ResponseSource};
use crate::gateway::receive::ReceivedRequest;
use crate::gateway::request_log::SendNumber;
use crate::gateway::response_head::evaluate_head;
use crate::gateway::server_selection::SelectedServer;
use crate::gateway::silent_servers::CallWatch;
use crate::gateway::upstream::{ConnectFault, Upstream};
use crate::gateway::write_permit::acquire_write_permit;
use crate::pushback::SendPermit;
use bytes::Bytes;
use dockwood_routing::CallResult;
use dockwood_routing::gateway::{Awaited, CallEnd, SendOutcome};
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, StatusCode, Uri};
use std::time::Duration;

/// The part of a request's remaining time that may be spent on one connection, as a divisor: if a server does not accept it,
/// there is time left for other servers and for a refusal.
const CONNECT_TIME_DIVISOR: u32 = 4;
/// Minimum time limit for a connection: enough for a tunnel, which is tried after a delay.
const MIN_CONNECT_TIME: Duration = Duration::from_millis(150);

/// Head of a response as received from a server.
pub(super) struct ServerHead {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
}

impl ServerHead {
    /// Returns the response to the caller.
    pub(super) fn into_response(self, body: ResponseBody) -> Response<ResponseBody> {
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// A complete response of a server.
pub(super) struct WholeResponse {
    pub(super) head: ServerHead,
    pub(super) body: Bytes,
}

/// A response of a server, as far as it is received before it is forwarded.
pub(super) enum ServerResponse {
    Whole(WholeResponse),
    Large(ServerHead, Box<PartialResponse>),
}

impl PlainRequest<'_> {
    /// Sends the request to one server. `Err` if there is no response to forward.
    pub(super) async fn send(
        &mut self,
        number: SendNumber,
        selected: SelectedServer,
    ) -> Result<ServerResponse, SendOutcome> {
        let mut upstream = match self.connect(&selected).await {
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
        let response = self.exchange(number, &selected.row.id, &mut upstream, request, permit).await;
        self.in_flight = false;
        match response {
            Ok((head, ReceivedBody::Whole(body))) => {
                self.gateway.pool.release(upstream);
                selected.finish(CallResult::Answered);
                self.check_server_error(WholeResponse { head, body })
            }
            Ok((head, ReceivedBody::Partial { received, rest, is_unframed })) => {
                let source = ResponseSource { rest, is_unframed, upstream, selected, number };
                self.check_large_server_error(head, PartialResponse { received, source })
            }
            Err(outcome) => {
                let was_rejected = outcome == SendOutcome::SaidNotRun;
                selected.finish(if was_rejected { CallResult::Answered } else { CallResult::Failed });
                Err(outcome)
            }
        }
    }

    /// Connects to a server. `Err` if that takes too long or fails.
    async fn connect(&self, selected: &SelectedServer) -> Result<Upstream, ConnectFault> {
        let call = self.begin_call(&selected.row.id, Awaited::Connection);
        let limit = (self.received.remaining() / CONNECT_TIME_DIVISOR).max(MIN_CONNECT_TIME);
        let connecting = self.gateway.connect(self.received, selected.row.address);
        let connected = tokio::time::timeout(limit, connecting).await.unwrap_or(Err(ConnectFault::Silent));
        let is_silent = matches!(connected, Err(ConnectFault::Silent));
        call.finish(if is_silent { CallEnd::Unanswered } else { CallEnd::Inconclusive });
        connected
    }

    fn begin_call(&self, server: &str, awaited: Awaited) -> CallWatch {
        CallWatch::begin(self.gateway, &self.received.service.name, server, awaited)
    }

    /// Sends a request and reads the complete response, or the first part of a large one.
    async fn exchange(
        &mut self,
        number: SendNumber,
        server: &str,
        upstream: &mut Upstream,
        request: Request<Full<Bytes>>,
        mut permit: SendPermit,
    ) -> Result<(ServerHead, ReceivedBody), SendOutcome> {
        let call =
            self.begin_call(server, Awaited::Response { target_ms: self.received.route.target_latency_ms });
        let Ok(response) = upstream.send(request, &permit).await else {
            call.finish(CallEnd::Inconclusive);
            return Err(self.broken_connection_outcome().await);
        };
        call.finish(CallEnd::Responded);
        let log = &mut self.request_log;
        let head = evaluate_head(self.gateway, self.received, log, number, &mut permit, response);
        drop(permit);
        let (parts, body) = head?;
        let body = if may_forward_partially(self.received.version, &body) {
            read_first_part(&self.gate, &parts.headers, body).await
        } else {
            read_response_body(&self.gate, &parts.headers, body).await.map(ReceivedBody::Whole)
        };
        let Some(body) = body else {
            return Err(self.broken_connection_outcome().await);
        };
        Ok((ServerHead { status: parts.status, headers: end_to_end(&parts.headers) }, body))
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
        head: ServerHead,
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
