//! Reading a stream: whole events as they arrive, until it is complete, breaks or stands still.

use super::{Reading, Step, StreamCourse};
use crate::gateway::Gateway;
use crate::gateway::source::Source;
use crate::gateway::stalls::{abandon, broken, stands_still};
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_routing::CallResult;
use dockwood_routing::gateway::{SendOutcome, StreamEvent};
use http_body_util::BodyExt;
use tokio::time::Instant;

impl StreamCourse {
    /// Reads on to the next whole event.
    pub(super) async fn step(&mut self) -> Step {
        let may_move = self.course.may_move();
        let (since, silence) = (self.since, self.silence());
        loop {
            if let Some(event) = self.next_event() {
                return Step::Event(self.pass_on(event));
            }
            let Some(reading) = &mut self.reading else { return Step::Broken(SendOutcome::NotSent) };
            let frame = tokio::select! {
                frame = reading.body.frame() => frame,
                () = stands_still(&self.gateway, &reading.source, since, silence, &mut self.changes),
                    if may_move =>
                {
                    let outcome = abandon(&self.gateway, &reading.source);
                    return Step::Broken(outcome);
                }
                () = tokio::time::sleep_until(self.received.deadline) => return Step::OutOfTime,
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        reading.splitter.push(data);
                    }
                }
                None if reading.splitter.is_clean() => return self.complete(),
                Some(Err(_)) | None => {
                    return Step::Broken(broken(&self.gateway, &reading.source).await);
                }
            }
        }
    }

    /// A whole event that has arrived and that the caller doesn't have: a resumed stream may begin with what it has.
    fn next_event(&mut self) -> Option<StreamEvent> {
        let reading = self.reading.as_mut()?;
        let (begun, last_event) = (self.begun, self.last_event);
        let is_known = |event: &StreamEvent| event.id.is_some() && event.id <= last_event && begun;
        std::iter::from_fn(|| reading.splitter.next_event()).find(|event| !is_known(event))
    }

    /// Notes an event, and returns what the caller is sent.
    fn pass_on(&mut self, event: StreamEvent) -> Bytes {
        let took_ms = self.since.elapsed().as_secs_f64() * 1_000.0;
        if let Some(Source::Group(place)) = self.reading.as_ref().map(|reading| &reading.source) {
            self.gateway.loads.progressed(place.epoch, (!self.awaits_first).then_some(took_ms));
        }
        if let Some(model) = &self.received.model {
            self.gateway.loads.record_event(model, self.awaits_first, took_ms);
        }
        self.last_event = event.id.or(self.last_event);
        self.begun = true;
        self.awaits_first = false;
        self.events += 1;
        self.account.event_passed();
        self.since = Instant::now();
        event.bytes
    }

    /// Notes the end of a whole stream.
    fn complete(&mut self) -> Step {
        if let Some(done) = self.reading.take() {
            done.finish(&self.gateway);
        }
        self.gate.answered();
        self.account.end(ResultCode::Ok);
        if let Some(model) = &self.received.model {
            self.gateway.loads.answered(&self.received.service.name, model, self.events);
        }
        Step::Complete
    }
}

impl Reading {
    /// The stream was read to its end: the connection can be used again.
    fn finish(self, gateway: &Gateway) {
        gateway.pool.keep(self.upstream);
        if let Source::Server(picked) = self.source {
            picked.ended(CallResult::Answered);
        }
    }
}
