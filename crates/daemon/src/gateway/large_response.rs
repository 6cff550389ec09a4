//! Large responses of plain services, which are forwarded as they are received: the server sends no faster than the caller
//! reads, and the daemon holds only the parts in between.

use super::Gateway;
use super::body::{ResponseBody, Truncated, full_body, is_complete_at_end};
use super::request_log::{RequestLog, SendNumber};
use super::server_selection::SelectedServer;
use super::upstream::{SERVER_BUFFER_BYTES, Upstream};
use crate::caller_memory::{CallerMemory, HeldFor};
use crate::response_framing::ResponseFraming;
use crate::shared::InFlight;
use crate::suspects::SuspectGate;
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_routing::CallResult;
use dockwood_routing::gateway::SendOutcome;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::StatusCode;
use hyper::body::{Body, Frame, Incoming};
use std::sync::Arc;
use tokio::time::Instant;

/// What a part keeps in memory at most: it is a piece of the buffer of its server's connection, which may have doubled.
pub const MAX_PART_BYTES: usize = 2 * SERVER_BUFFER_BYTES;

/// A response of which only a part has been received.
pub struct PartialResponse {
    /// The part that has been received.
    pub received: Bytes,
    /// Its server's connection, from which the rest is read.
    pub source: ResponseSource,
}

/// A connection from which a response is being read.
pub struct ResponseSource {
    /// The rest of the body.
    pub rest: Incoming,
    /// How the body is delimited.
    pub framing: ResponseFraming,
    /// The connection.
    pub upstream: Upstream,
    /// The server.
    pub selected: SelectedServer,
    /// The send in the log of the request.
    pub number: SendNumber,
}

/// A request whose response is being forwarded. It is not sent to another server any more.
pub struct LargeResponse {
    /// State of the gateway.
    pub gateway: Arc<Gateway>,
    /// Status of the response.
    pub status: StatusCode,
    /// Deadline of the response.
    pub deadline: Instant,
    /// Log of the request.
    pub request_log: RequestLog,
    /// Gate of the request.
    pub gate: SuspectGate,
    /// Counts the request until the response has been received completely.
    pub _in_flight: InFlight,
}

impl LargeResponse {
    /// Returns the body for the caller, which begins with the part that has been received.
    pub fn into_body(mut self, partial: PartialResponse) -> ResponseBody {
        let PartialResponse { received, source } = partial;
        if source.rest.is_end_stream() {
            self.complete(source);
            return full_body(received);
        }
        let first_part = stream::once(async { Ok(Frame::data(received)) });
        let rest = stream::try_unfold(Some((self, source)), |reading| async move {
            let Some((mut response, source)) = reading else { return Ok(None) };
            let next = response.next(source).await?;
            Ok(next.map(|(part, source)| (Frame::data(part), source.map(|source| (response, source)))))
        });
        StreamBody::new(first_part.chain(rest)).boxed_unsync()
    }

    /// Reads the next part, with the source of further ones unless it is known to be the last; `None` once the response is
    /// complete.
    async fn next(
        &mut self,
        mut source: ResponseSource,
    ) -> Result<Option<(Bytes, Option<ResponseSource>)>, Truncated> {
        let reading = read_part(&self.gateway.shared.caller_memory, &mut source.rest);
        let Ok(read) = tokio::time::timeout_at(self.deadline, reading).await else {
            self.request_log.end(ResultCode::DeadlinePassed);
            return Err(Truncated::Broken);
        };
        match read {
            // hyper asks for nothing beyond the stated length.
            Some(Ok(part)) if source.rest.is_end_stream() => {
                self.complete(source);
                Ok(Some((part, None)))
            }
            Some(Ok(part)) => Ok(Some((part, Some(source)))),
            None if is_complete_at_end(&self.gate, source.framing).await => {
                self.complete(source);
                Ok(None)
            }
            None | Some(Err(_)) => Err(self.broken(source).await),
        }
    }

    fn complete(&mut self, source: ResponseSource) {
        self.gateway.pool.release(source.upstream);
        source.selected.finish(CallResult::Answered);
        if self.status.is_success() {
            self.gate.answered();
        }
        let failed = self.status.is_server_error();
        self.request_log.end(if failed { ResultCode::BackendFailed } else { ResultCode::Ok });
    }

    /// Records that the server has broken off its response.
    async fn broken(&mut self, source: ResponseSource) -> Truncated {
        source.selected.finish(CallResult::Failed);
        let outcome = match self.gate.connection_broke(|| ()).await {
            true => SendOutcome::ServerEnded,
            false => SendOutcome::Unknown,
        };
        self.request_log.record_outcome(source.number, outcome);
        self.request_log.end(ResultCode::Interrupted);
        Truncated::Broken
    }
}

/// Reads the next part of a body, and waits until the daemon may hold it; `None` at the end of the body.
async fn read_part(memory: &CallerMemory, body: &mut Incoming) -> Option<hyper::Result<Bytes>> {
    loop {
        match body.frame().await? {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    // Only now, so that a server that sends nothing holds up no other response.
                    return Some(Ok(hold_part(memory, data).await));
                }
            }
            Err(error) => return Some(Err(error)),
        }
    }
}

/// Waits until one more part may be held, and returns the part, which counts as held until it is dropped.
pub async fn hold_part(memory: &CallerMemory, part: Bytes) -> Bytes {
    match memory.hold(HeldFor::Responses, MAX_PART_BYTES).await {
        Some(held) => held.wrap(part),
        None => part,
    }
}
