//! Streams of events. Complete events are forwarded as they arrive, and a stream that breaks or stalls is resumed at
//! another source. The caller receives one response, with the head of the first server's response.

mod reading;
mod selection;
mod sending;

use super::Gateway;
use super::body::{ResponseBody, Truncated, full_body};
use super::plain::give_up;
use super::receive::{ReceivedRequest, may_still_send};
use super::request_log::RequestLog;
use super::source::Source;
use super::upstream::Upstream;
use crate::log_line::NoOtherSource;
use crate::shared::InFlight;
use crate::suspects::SuspectGate;
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_routing::gateway::{
    EventSplitter, GiveUp, RequestAttempts, RetryDecision, SendOutcome, StallTimeout, StallTimeouts,
};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use selection::OccupiedSources;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::Instant;

/// Retry time if all groups were full, in milliseconds.
const FULL_RETRY_MS: u64 = 400;

/// A stream that is being read.
struct OpenStream {
    source: Source,
    upstream: Upstream,
    body: Incoming,
    /// Whether the response ends with its connection.
    is_unframed: bool,
    splitter: EventSplitter,
}

/// Head of the response to the caller.
struct Head {
    status: StatusCode,
    headers: HeaderMap,
}

/// Result of reading up to the next event.
enum ReadResult {
    Event(Bytes),
    Complete,
    Broken(SendOutcome),
    OutOfTime,
}

/// A streaming request that is being handled.
struct StreamRequest {
    gateway: Arc<Gateway>,
    received: ReceivedRequest,
    request_log: RequestLog,
    attempts: RequestAttempts,
    stall_timeouts: Option<StallTimeouts>,
    reading: Option<OpenStream>,
    head: Option<Head>,
    /// Id of the last event that was forwarded.
    last_event: Option<u64>,
    /// Whether any event was forwarded.
    has_forwarded: bool,
    /// Number of forwarded events.
    events: u64,
    /// When the last event was forwarded, or the request was last sent.
    last_progress: Instant,
    /// Whether the current source has not sent an event yet.
    awaits_first_event: bool,
    tried_groups: Vec<u64>,
    tried_servers: Vec<String>,
    /// Sources that were found to run other suspects, since the gate was last waited for.
    occupied: OccupiedSources,
    /// Until when the request waits for a place; `None` if it has not waited since the last send.
    place_wait_ends: Option<Instant>,
    gate: SuspectGate,
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
        attempts: RequestAttempts::new(&received.route),
        last_event: received.last_event,
        gate: received.suspect_gate(&gateway.shared),
        occupied: OccupiedSources::default(),
        place_wait_ends: None,
        changes: gateway.loads.watch_changes(),
        gateway: gateway.clone(),
        received,
        request_log,
        stall_timeouts,
        reading: None,
        head: None,
        has_forwarded: false,
        events: 0,
        last_progress: Instant::now(),
        awaits_first_event: true,
        tried_groups: Vec::new(),
        tried_servers: Vec::new(),
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
            if self.reading.is_none()
                && let Some(other) = self.open().await?
            {
                return Err(Box::new(other));
            }
            match self.step().await {
                ReadResult::Event(event) => return Ok(Some(event)),
                ReadResult::Complete => return Ok(None),
                ReadResult::Broken(outcome) => {
                    self.record_outcome(outcome).map_err(|result| Box::new(self.give_up(result)))?
                }
                ReadResult::OutOfTime => {
                    let result = self.attempts.out_of_time(self.reading.is_some());
                    return Err(Box::new(self.give_up(result)));
                }
            }
        }
    }

    /// Returns the next event; `None` once the stream is complete.
    async fn next(&mut self) -> Result<Option<Bytes>, Truncated> {
        let next = self.read_next().await;
        if next.is_err() {
            self.request_log.end(ResultCode::Interrupted);
        }
        next
    }

    async fn read_next(&mut self) -> Result<Option<Bytes>, Truncated> {
        loop {
            if self.reading.is_none() {
                match self.open().await {
                    Ok(None) => {}
                    // A response that is not a stream can't follow the events already forwarded.
                    Ok(Some(_)) | Err(_) => return Err(Truncated::Broken),
                }
            }
            match self.step().await {
                ReadResult::Event(event) => return Ok(Some(event)),
                ReadResult::Complete => return Ok(None),
                ReadResult::Broken(outcome) => self.record_outcome(outcome).map_err(|_| Truncated::Broken)?,
                ReadResult::OutOfTime => return Err(Truncated::Broken),
            }
        }
    }

    /// Records the outcome of a send; `Err` if the request is not sent again.
    fn record_outcome(&mut self, outcome: SendOutcome) -> Result<(), GiveUp> {
        self.reading = None;
        self.request_log.record_outcome(outcome);
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

    /// Opens a stream at a group or server. `Some` is a response that is not a stream.
    async fn open(&mut self) -> Result<Option<Response<ResponseBody>>, Box<Response<ResponseBody>>> {
        loop {
            let Some(source) = self.admitted_source().await? else { continue };
            if !may_still_send(&self.gateway, &self.received) {
                self.request_log.record_no_other_source(NoOtherSource::NoLease);
                return Err(Box::new(self.refusal(ResultCode::NoLease, FULL_RETRY_MS)));
            }
            let service = self.received.service.name.clone();
            if self.attempts.needs_budget() && !self.gateway.try_retry(&service, "stream") {
                self.request_log.record_no_other_source(NoOtherSource::RetryBudget);
                return Err(Box::new(self.refusal(ResultCode::Overloaded, FULL_RETRY_MS)));
            }
            match self.send(source).await {
                Ok(None) => return Ok(None),
                Ok(Some(response)) => return Ok(Some(response)),
                Err(outcome) => {
                    self.record_outcome(outcome).map_err(|result| Box::new(self.give_up(result)))?
                }
            }
        }
    }

    fn give_up(&mut self, result: GiveUp) -> Response<ResponseBody> {
        self.request_log.end(result.code);
        give_up(result)
    }

    fn refusal(&mut self, code: ResultCode, retry_after_ms: u64) -> Response<ResponseBody> {
        let result = self.attempts.give_up();
        if result.not_run && !self.has_forwarded {
            self.request_log.end(code);
            return super::responses::error_response(code, code.meaning(), Some(retry_after_ms));
        }
        self.give_up(result)
    }

    /// Returns the stall timeout for the next event; `None` if there is none.
    fn stall_timeout(&self) -> Option<StallTimeout> {
        let stall_timeouts = self.stall_timeouts?;
        Some(if self.awaits_first_event { stall_timeouts.first_event } else { stall_timeouts.between_events })
    }

    fn into_response(mut self, first_event: Option<Bytes>) -> Response<ResponseBody> {
        let head = self.head.take();
        let (status, headers) =
            head.map_or((StatusCode::OK, HeaderMap::new()), |head| (head.status, head.headers));
        let body = match first_event {
            None => full_body(Bytes::new()),
            Some(first_event) => self.into_body(first_event),
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
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
