//! Streams of events. Complete events are forwarded as they arrive, and a stream that breaks or stalls is resumed at
//! another source. The caller receives one response, with the head of the first server's response.

mod open_send;
mod open_sends;
mod reading;
mod selection;
mod sender;
mod sending;
mod source_search;

use super::Gateway;
use super::body::{ResponseBody, Truncated, full_body};
use super::receive::ReceivedRequest;
use super::request_log::RequestLog;
use super::response_head::ResponseHead;
use crate::shared::InFlight;
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_routing::gateway::{SendOutcome, StallTimeouts};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use open_send::Position;
use open_sends::OpenSends;
use sender::RequestSender;
use source_search::SourceSearch;
use std::sync::Arc;
use tokio::sync::watch;

/// Retry time if all groups were full, in milliseconds.
const FULL_RETRY_MS: u64 = 400;

/// Result of reading up to the next event.
enum ReadResult {
    Event(Bytes),
    Complete,
    /// The response of the source is not a stream.
    NotAStream(Box<Response<ResponseBody>>),
    /// No source has the request any more.
    Broken(SendOutcome),
    OutOfTime,
}

/// A streaming request that is being handled.
struct StreamRequest {
    sender: RequestSender,
    stall_timeouts: Option<StallTimeouts>,
    /// Sends that servers have; empty if the request has to be sent.
    sends: OpenSends,
    search: SourceSearch,
    /// The head of the first response of which an event was forwarded.
    head: Option<ResponseHead>,
    position: Position,
    /// Number of forwarded events.
    events: u64,
    changes: watch::Receiver<u64>,
    _in_flight: InFlight,
}

/// Handles a streaming request; returns the response once the first event has arrived or the request has failed.
pub async fn handle(
    gateway: &Arc<Gateway>,
    received: ReceivedRequest,
    request_log: RequestLog,
    in_flight: InFlight,
) -> Response<ResponseBody> {
    let engine = received.service.engine.as_ref();
    let model = engine.zip(received.model.as_ref()).and_then(|(engine, name)| engine.model(name));
    let stall_timeouts = engine.zip(model).map(|(engine, model)| {
        let observed = gateway.loads.observed_latency(&model.name);
        StallTimeouts::expected(engine, model, &received.route, &observed)
    });
    if let Some(model) = model {
        gateway.loads.record_arrival(&received.service.name, &model.name, received.prompt_tokens);
    }
    let mut stream_request = StreamRequest {
        position: Position { has_forwarded: false, last_event: received.last_event },
        changes: gateway.loads.watch_changes(),
        sender: RequestSender::new(gateway, received, request_log),
        stall_timeouts,
        sends: OpenSends::default(),
        search: SourceSearch::default(),
        head: None,
        events: 0,
        _in_flight: in_flight,
    };
    match stream_request.first_event().await {
        Ok(first_event) => stream_request.into_response(first_event),
        Err(response) => *response,
    }
}

impl StreamRequest {
    /// Returns the first event, or `None` if the stream is empty; `Err` with a response that is not a stream.
    async fn first_event(&mut self) -> Result<Option<Bytes>, Box<Response<ResponseBody>>> {
        loop {
            if self.sends.is_empty() {
                self.sends.push(self.sender.open(self.position).await?);
            }
            match self.step().await {
                ReadResult::Event(event) => return Ok(Some(event)),
                ReadResult::Complete => return Ok(None),
                ReadResult::NotAStream(response) => return Err(response),
                ReadResult::Broken(outcome) => {
                    let again = self.sender.ended(outcome);
                    again.map_err(|result| Box::new(self.sender.give_up(result)))?
                }
                ReadResult::OutOfTime => {
                    let result = self.sender.attempts.out_of_time(!self.sends.is_empty());
                    return Err(Box::new(self.sender.give_up(result)));
                }
            }
        }
    }

    /// Returns the next event; `None` once the stream is complete.
    async fn next(&mut self) -> Result<Option<Bytes>, Truncated> {
        let next = self.read_next().await;
        if next.is_err() {
            self.sender.request_log.end(ResultCode::Interrupted);
        }
        next
    }

    async fn read_next(&mut self) -> Result<Option<Bytes>, Truncated> {
        loop {
            if self.sends.is_empty() {
                if !self.position.is_resumable() {
                    return Err(Truncated::Broken);
                }
                let opened = self.sender.open(self.position).await;
                self.sends.push(opened.map_err(|_| Truncated::Broken)?);
            }
            match self.step().await {
                ReadResult::Event(event) => return Ok(Some(event)),
                ReadResult::Complete => return Ok(None),
                // A response that is not a stream can't follow the events already forwarded.
                ReadResult::NotAStream(_) | ReadResult::OutOfTime => return Err(Truncated::Broken),
                ReadResult::Broken(outcome) => {
                    self.sender.ended(outcome).map_err(|_| Truncated::Broken)?;
                }
            }
        }
    }

    fn into_response(mut self, first_event: Option<Bytes>) -> Response<ResponseBody> {
        let head = self.head.take();
        let body = match first_event {
            None => full_body(Bytes::new()),
            Some(first_event) => self.into_body(first_event),
        };
        match head {
            Some(head) => head.into_response(body),
            None => Response::new(body),
        }
    }

    fn into_body(self, first_event: Bytes) -> ResponseBody {
        let events = stream::unfold((Some(self), Some(first_event)), |(request, first_event)| async move {
            let mut request = request?;
            if let Some(first_event) = first_event {
                return Some((Ok(Frame::data(first_event)), (Some(request), None)));
            }
            match request.next().await {
                Ok(Some(event)) => Some((Ok(Frame::data(event)), (Some(request), None))),
                Ok(None) => None,
                Err(cut) => Some((Err(cut), (None, None))),
            }
        });
        StreamBody::new(events).boxed_unsync()
    }
}
