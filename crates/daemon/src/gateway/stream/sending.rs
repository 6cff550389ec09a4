//! One send of a streaming request to a group or a server, up to the head of the response.

use super::{Head, OpenStream, StreamRequest};
use crate::gateway::body::{ResponseBody, full_body, is_unframed, read_response_body};
use crate::gateway::headers::end_to_end;
use crate::gateway::plain::server_request;
use crate::gateway::response_head::evaluate_head;
use crate::gateway::source::Source;
use crate::gateway::stalls::{broken_connection_outcome, record_stall, wait_for_stall};
use crate::gateway::upstream::{ConnectFault, Upstream};
use crate::gateway::write_permit::acquire_write_permit;
use crate::pushback::SendPermit;
use dockwood_api::ResultCode;
use dockwood_routing::CallResult;
use dockwood_routing::gateway::{EventSplitter, SendOutcome};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use tokio::time::Instant;

const EVENT_STREAM: &str = "text/event-stream";

impl StreamRequest {
    /// Sends the request to one source. On success, the stream is being read, or a response that is not a stream is
    /// returned.
    pub(super) async fn send(
        &mut self,
        source: Source,
    ) -> Result<Option<Response<ResponseBody>>, SendOutcome> {
        let (instance, epoch) = (source.instance().to_string(), source.epoch());
        match epoch {
            Some(epoch) => self.tried_groups.push(epoch),
            None => self.tried_servers.push(instance.clone()),
        }
        self.attempts.begin(&instance);
        self.request_log.record_send(&instance, epoch, source.chosen_by());
        let mut upstream = match self.gateway.connect(&self.received, source.address()).await {
            Ok(upstream) => upstream,
            Err(fault) => {
                self.request_log.record_connect_fault(fault);
                self.record_unreachable(source, fault);
                return Err(SendOutcome::NotConnected);
            }
        };
        let resume_after = self.has_forwarded.then_some(self.last_event).flatten();
        let request = server_request(&self.gateway, &self.received, &instance, resume_after);
        let permit =
            acquire_write_permit(&self.gateway, &self.received, &self.gate, source.selection()).await;
        let permit = match permit {
            Ok(permit) => permit,
            Err(reason) => {
                // The source may be selected again: its connection is established now, and the hold will end.
                self.tried_groups.retain(|tried| Some(*tried) != epoch);
                self.tried_servers.retain(|tried| *tried != instance);
                self.gateway.pool.release(upstream);
                return Err(SendOutcome::Withheld(reason));
            }
        };
        let sent_at = Instant::now();
        self.last_progress = sent_at;
        self.awaits_first_event = true;
        let response = tokio::select! {
            response = upstream.send(request, &permit) => match response {
                Ok(response) => Ok(response),
                Err(_) => Err(broken_connection_outcome(&self.gateway, &mut self.gate, &source).await),
            },
            cause = wait_for_stall(&self.gateway, &source, sent_at, self.stall_timeout(), &mut self.changes),
                if self.attempts.may_move() =>
            {
                let stall = record_stall(&self.gateway, &source, cause, sent_at);
                self.request_log.record_stall(stall);
                Err(SendOutcome::Abandoned)
            }
            () = tokio::time::sleep_until(self.received.deadline) => Err(SendOutcome::Unknown),
        }?;
        self.take_response(source, upstream, permit, response).await
    }

    fn record_unreachable(&self, source: Source, fault: ConnectFault) {
        match source {
            Source::Group(place) => {
                self.gateway.loads.suspect_group(place.epoch, fault == ConnectFault::Refused)
            }
            Source::Server(selected) => selected.finish(CallResult::Failed),
        }
    }

    async fn take_response(
        &mut self,
        source: Source,
        upstream: Upstream,
        mut permit: SendPermit,
        response: Response<Incoming>,
    ) -> Result<Option<Response<ResponseBody>>, SendOutcome> {
        let head = evaluate_head(&self.gateway, &self.received, &mut self.request_log, &mut permit, response);
        drop(permit);
        let (parts, body) = head?;
        let content_type = parts.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let is_stream = content_type.is_some_and(|name| name.starts_with(EVENT_STREAM));
        if parts.status == StatusCode::OK && is_stream {
            if self.head.is_none() {
                let mut headers = end_to_end(&parts.headers);
                headers.remove(CONTENT_LENGTH);
                self.head = Some(Head { status: parts.status, headers });
            }
            let is_unframed = is_unframed(&parts.headers, &body);
            let splitter = EventSplitter::default();
            self.reading = Some(OpenStream { source, upstream, body, is_unframed, splitter });
            return Ok(None);
        }
        let Some(body) = read_response_body(&self.gate, &parts.headers, body).await else {
            return Err(broken_connection_outcome(&self.gateway, &mut self.gate, &source).await);
        };
        if parts.status.is_server_error() && self.attempts.may_move() {
            return Err(SendOutcome::Failed);
        }
        if parts.status.is_success() {
            self.gate.answered();
        }
        let failed = parts.status.is_server_error();
        self.request_log.end(if failed { ResultCode::BackendFailed } else { ResultCode::Ok });
        let mut response = Response::new(full_body(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = end_to_end(&parts.headers);
        Ok(Some(response))
    }
}
