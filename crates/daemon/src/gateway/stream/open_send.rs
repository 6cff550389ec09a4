//! One send of a streaming request that a server has: up to the head of its response, and then event by event.

use crate::gateway::Gateway;
use crate::gateway::body::is_complete_at_end;
use crate::gateway::loads::SilenceProbe;
use crate::gateway::receive::ReceivedRequest;
use crate::gateway::request_log::{RequestLog, SendNumber};
use crate::gateway::response_head::{EvaluatedResponse, ResponseHead, evaluate_head};
use crate::gateway::source::Source;
use crate::gateway::upstream::{PendingResponse, Upstream};
use crate::log_line::StallCause;
use crate::pushback::SendPermit;
use crate::response_framing::ResponseFraming;
use crate::suspects::SuspectGate;
use crate::unannounced_chunks::begins_with_chunk;
use dockwood_routing::CallResult;
use dockwood_routing::gateway::{EventSplitter, SendOutcome, StreamEvent};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Response, StatusCode};
use tokio::time::Instant;

/// Maximum size of an event, in bytes: a faulty server may send one without end.
const MAX_EVENT_BYTES: usize = 1 << 20;

const EVENT_STREAM: &str = "text/event-stream";

/// How far the response has been forwarded to the caller.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Position {
    /// Whether any event was forwarded.
    pub has_forwarded: bool,
    /// Id of the last event that the caller has.
    pub last_event: Option<u64>,
}

impl Position {
    /// Whether the caller already has this event: a resumed stream may begin with such events.
    fn contains(self, event: &StreamEvent) -> bool {
        self.has_forwarded && event.id.is_some() && event.id <= self.last_event
    }

    /// Whether another source can continue: without ids, it would begin again at the start.
    pub fn is_resumable(self) -> bool {
        !self.has_forwarded || self.last_event.is_some()
    }

    /// Id after which a server is asked to resume; `None` if it is to begin at the start.
    pub fn resume_after(self) -> Option<u64> {
        self.has_forwarded.then_some(self.last_event).flatten()
    }
}

/// What happened next on a send.
pub(super) enum Progress {
    /// The head of the response has arrived.
    Head(Response<Incoming>),
    /// The next event that the caller doesn't have yet.
    Event(StreamEvent),
    /// The response has ended at the boundary of an event.
    End,
    /// The connection broke, the response ended within an event, an event is too large, or chunks were not announced.
    Broken,
}

/// The response to a send, as far as it has arrived.
enum ResponseState {
    Awaited {
        head: PendingResponse,
        permit: SendPermit,
    },
    Streaming {
        head: ResponseHead,
        body: Incoming,
        framing: ResponseFraming,
        splitter: EventSplitter,
    },
    /// The response is not a stream, or has ended.
    Done,
}

/// A send that a server has. Dropping it closes the connection, which withdraws the request from the server.
pub(super) struct OpenSend {
    pub source: Source,
    pub gate: SuspectGate,
    pub number: SendNumber,
    upstream: Upstream,
    response: ResponseState,
    /// When the last event of this send was forwarded, or the request was sent.
    pub last_progress: Instant,
    /// Whether the source has not sent an event yet.
    pub awaits_first_event: bool,
    /// How the source has stalled, if it has since its last event.
    pub stall: Option<StallCause>,
    /// Held until the first event if this send shows whether any group works.
    pub probe: Option<SilenceProbe>,
}

impl OpenSend {
    /// Creates the record of a request that has just been written.
    pub fn new(
        source: Source,
        gate: SuspectGate,
        number: SendNumber,
        upstream: Upstream,
        head: PendingResponse,
        permit: SendPermit,
    ) -> OpenSend {
        OpenSend {
            source,
            gate,
            number,
            upstream,
            response: ResponseState::Awaited { head, permit },
            last_progress: Instant::now(),
            awaits_first_event: true,
            stall: None,
            probe: None,
        }
    }

    /// Waits for the next progress. May be cancelled without losing anything.
    pub async fn progress(&mut self, position: Position) -> Progress {
        loop {
            match &mut self.response {
                ResponseState::Awaited { head, .. } => {
                    return head.await.map_or(Progress::Broken, Progress::Head);
                }
                ResponseState::Streaming { body, splitter, framing, .. } => {
                    while let Some(event) = splitter.next_event() {
                        if *framing == ResponseFraming::UntilClose && begins_with_chunk(&event.bytes) {
                            return Progress::Broken;
                        }
                        if !position.contains(&event) {
                            return Progress::Event(event);
                        }
                    }
                    if splitter.buffered_bytes() > MAX_EVENT_BYTES {
                        return Progress::Broken;
                    }
                    match body.frame().await {
                        Some(Ok(frame)) => {
                            if let Some(data) = frame.data_ref() {
                                splitter.push(data);
                            }
                        }
                        None if splitter.is_clean() => return Progress::End,
                        Some(Err(_)) | None => return Progress::Broken,
                    }
                }
                ResponseState::Done => return Progress::Broken,
            }
        }
    }

    /// Takes the head of the response. Returns the response if it is not a stream.
    ///
    /// # Errors
    /// The outcome of the send, if the response can't be forwarded.
    pub fn take_head(
        &mut self,
        gateway: &Gateway,
        received: &ReceivedRequest,
        request_log: &mut RequestLog,
        response: Response<Incoming>,
    ) -> Result<Option<EvaluatedResponse>, SendOutcome> {
        let state = std::mem::replace(&mut self.response, ResponseState::Done);
        let ResponseState::Awaited { mut permit, .. } = state else {
            return Err(SendOutcome::Unknown);
        };
        let evaluated = evaluate_head(gateway, received, request_log, self.number, &mut permit, response)?;
        let content_type = evaluated.head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let is_stream = content_type.is_some_and(|name| name.starts_with(EVENT_STREAM));
        if evaluated.head.status != StatusCode::OK || !is_stream {
            return Ok(Some(evaluated));
        }
        let EvaluatedResponse { head, framing, body } = evaluated;
        // Events that the caller already has are omitted.
        let head = head.without_length();
        self.response = ResponseState::Streaming { head, body, framing, splitter: EventSplitter::default() };
        Ok(None)
    }

    /// The head of the stream; `None` if it has not arrived.
    pub fn head(&self) -> Option<&ResponseHead> {
        match &self.response {
            ResponseState::Streaming { head, .. } => Some(head),
            ResponseState::Awaited { .. } | ResponseState::Done => None,
        }
    }

    /// Whether a response that has ended is complete.
    pub async fn is_complete(&mut self) -> bool {
        match &self.response {
            ResponseState::Streaming { framing, .. } => is_complete_at_end(&self.gate, *framing).await,
            ResponseState::Awaited { .. } | ResponseState::Done => true,
        }
    }

    /// Records an event, and returns the time since the one before it, or since the send, in milliseconds.
    pub fn record_event(&mut self) -> f64 {
        let took_ms = self.last_progress.elapsed().as_secs_f64() * 1_000.0;
        if self.awaits_first_event {
            self.gate.response_began();
        }
        self.probe = None;
        self.awaits_first_event = false;
        self.last_progress = Instant::now();
        took_ms
    }

    /// Returns the connection to the pool after the response was read to its end.
    pub fn finish(self, gateway: &Gateway) {
        gateway.pool.release(self.upstream);
        if let Source::Server(selected) = self.source {
            selected.finish(CallResult::Answered);
        }
    }
}
