//! Streams of events: passed on as they arrive, whole events only, and continued at another group when theirs breaks
//! or stands still. The caller sees one answer, with the head of the first server.

mod choosing;
mod reading;
mod sending;

use super::Gateway;
use super::account::RequestAccount;
use super::body::{AnswerBody, CutShort, whole};
use super::plain::give_up;
use super::receive::{Received, may_still_run};
use super::source::Source;
use super::upstream::Upstream;
use crate::shared::InFlight;
use crate::suspects::SuspectGate;
use bytes::Bytes;
use choosing::Taken;
use dockwood_api::ResultCode;
use dockwood_routing::gateway::{
    EventSplitter, GiveUp, RequestAttempts, RetryDecision, SendOutcome, StallTimeout, StallTimeouts,
};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::Instant;

/// When a caller may come back after all groups were full.
const FULL_RETRY_MS: u64 = 400;

/// A stream that is being read.
struct Reading {
    source: Source,
    upstream: Upstream,
    body: Incoming,
    splitter: EventSplitter,
}

/// The head of the answer to the caller.
struct Head {
    status: StatusCode,
    headers: HeaderMap,
}

/// How reading went on.
enum Step {
    Event(Bytes),
    Complete,
    Broken(SendOutcome),
    OutOfTime,
}

/// One request for a stream.
struct StreamCourse {
    gateway: Arc<Gateway>,
    received: Received,
    account: RequestAccount,
    course: RequestAttempts,
    pace: Option<StallTimeouts>,
    reading: Option<Reading>,
    head: Option<Head>,
    /// The last event passed on.
    last_event: Option<u64>,
    /// Whether any event was passed on.
    begun: bool,
    /// Events passed on.
    events: u64,
    /// When the last event was passed on, or the request last sent.
    since: Instant,
    /// The source that is read has shown no event yet.
    awaits_first: bool,
    tried_groups: Vec<u64>,
    tried_servers: Vec<String>,
    /// Looked at since the gate was last waited for.
    taken: Taken,
    gate: SuspectGate,
    changes: watch::Receiver<u64>,
    _in_flight: InFlight,
}

/// Answers a request for a stream: once the first event is here, or with what there is instead.
pub async fn answer(
    gateway: &Arc<Gateway>,
    received: Received,
    account: RequestAccount,
    in_flight: InFlight,
) -> Response<AnswerBody> {
    let engine = received.service.engine.as_ref();
    let model = engine.zip(received.model.as_ref()).and_then(|(engine, name)| engine.model(name));
    let pace = engine.zip(model).map(|(engine, model)| {
        let seen = gateway.loads.pace_estimates(&model.name);
        StallTimeouts::expected(engine, model, &received.route, &seen)
    });
    if let Some(model) = model {
        gateway.loads.arrived(&received.service.name, &model.name, received.prompt_tokens);
    }
    let mut course = StreamCourse {
        course: RequestAttempts::new(&received.route),
        last_event: received.last_event,
        gate: received.suspect_gate(&gateway.shared),
        taken: Taken::default(),
        changes: gateway.loads.watch_changes(),
        gateway: gateway.clone(),
        received,
        account,
        pace,
        reading: None,
        head: None,
        begun: false,
        events: 0,
        since: Instant::now(),
        awaits_first: true,
        tried_groups: Vec::new(),
        tried_servers: Vec::new(),
        _in_flight: in_flight,
    };
    match course.first().await {
        Ok(first) => course.into_response(first),
        Err(response) => *response,
    }
}

impl StreamCourse {
    /// The first event, or the end of an empty stream; `Err` with an answer that is no stream.
    async fn first(&mut self) -> Result<Option<Bytes>, Box<Response<AnswerBody>>> {
        loop {
            if self.reading.is_none()
                && let Some(other) = self.open().await?
            {
                return Err(Box::new(other));
            }
            match self.step().await {
                Step::Event(event) => return Ok(Some(event)),
                Step::Complete => return Ok(None),
                Step::Broken(outcome) => self.after(outcome).map_err(|told| Box::new(self.give_up(told)))?,
                Step::OutOfTime => {
                    let told = self.course.out_of_time(self.reading.is_some());
                    return Err(Box::new(self.give_up(told)));
                }
            }
        }
    }

    /// The next event; `None` once the stream is complete.
    async fn next(&mut self) -> Result<Option<Bytes>, CutShort> {
        let next = self.read_on().await;
        if next.is_err() {
            self.account.end(ResultCode::Interrupted);
        }
        next
    }

    async fn read_on(&mut self) -> Result<Option<Bytes>, CutShort> {
        loop {
            if self.reading.is_none() {
                match self.open().await {
                    Ok(None) => {}
                    // An answer other than a stream can't follow what was passed on.
                    Ok(Some(_)) | Err(_) => return Err(CutShort::Broken),
                }
            }
            match self.step().await {
                Step::Event(event) => return Ok(Some(event)),
                Step::Complete => return Ok(None),
                Step::Broken(outcome) => self.after(outcome).map_err(|_| CutShort::Broken)?,
                Step::OutOfTime => return Err(CutShort::Broken),
            }
        }
    }

    /// Notes the end of a send; `Err` if there is to be no other.
    fn after(&mut self, outcome: SendOutcome) -> Result<(), GiveUp> {
        self.reading = None;
        self.account.send_ended(outcome);
        if outcome == SendOutcome::ServerEnded {
            self.gate.server_ended();
        }
        match self.course.ended(outcome) {
            RetryDecision::SendAgain => Ok(()),
            RetryDecision::GiveUp(told) => Err(told),
        }
    }

    /// Opens a stream at some group or server. `Some` is an answer that is no stream.
    async fn open(&mut self) -> Result<Option<Response<AnswerBody>>, Box<Response<AnswerBody>>> {
        loop {
            let Some(source) = self.admitted_source().await? else { continue };
            if !may_still_run(&self.gateway, &self.received) {
                return Err(Box::new(self.refusal(ResultCode::NoLease, FULL_RETRY_MS)));
            }
            let service = self.received.service.name.clone();
            if self.course.needs_budget() && !self.gateway.try_second_send(&service, "stream") {
                return Err(Box::new(self.refusal(ResultCode::Overloaded, FULL_RETRY_MS)));
            }
            match self.send(source).await {
                Ok(None) => return Ok(None),
                Ok(Some(response)) => return Ok(Some(response)),
                Err(outcome) => self.after(outcome).map_err(|told| Box::new(self.give_up(told)))?,
            }
        }
    }

    fn give_up(&mut self, told: GiveUp) -> Response<AnswerBody> {
        self.account.end(told.code);
        give_up(told)
    }

    fn refusal(&mut self, code: ResultCode, retry_after_ms: u64) -> Response<AnswerBody> {
        let told = self.course.give_up();
        if told.not_run && !self.begun {
            self.account.end(code);
            return super::refusal::refuse(code, code.meaning(), Some(retry_after_ms));
        }
        self.give_up(told)
    }

    /// How long the source may be silent for it not to count as standing still.
    fn silence(&self) -> Option<StallTimeout> {
        let pace = self.pace?;
        Some(if self.awaits_first { pace.first_event } else { pace.between_events })
    }

    fn into_response(mut self, first: Option<Bytes>) -> Response<AnswerBody> {
        let head = self.head.take();
        let (status, headers) =
            head.map_or((StatusCode::OK, HeaderMap::new()), |head| (head.status, head.headers));
        let body = match first {
            None => whole(Bytes::new()),
            Some(first) => self.into_body(first),
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    fn into_body(self, first: Bytes) -> AnswerBody {
        let events = stream::unfold((Some(self), Some(first)), |(course, first)| async move {
            let mut course = course?;
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (Some(course), None)));
            }
            match course.next().await {
                Ok(Some(event)) => Some((Ok(Frame::data(event)), (Some(course), None))),
                Ok(None) => None,
                Err(cut) => Some((Err(cut), (None, None))),
            }
        });
        StreamBody::new(events).boxed_unsync()
    }
}
