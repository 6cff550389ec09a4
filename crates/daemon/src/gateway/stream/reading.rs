//! Reads a stream event by event until it is complete, breaks or stalls.

use super::{OpenStream, ReadResult, StreamRequest};
use crate::gateway::Gateway;
use crate::gateway::source::Source;
use crate::gateway::stalls::{broken_connection_outcome, record_stall, wait_for_stall};
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_routing::CallResult;
use dockwood_routing::gateway::{SendOutcome, StreamEvent};
use http_body_util::BodyExt;
use tokio::time::Instant;

impl StreamRequest {
    /// Reads up to the next complete event.
    pub(super) async fn step(&mut self) -> ReadResult {
        let may_move = self.attempts.may_move();
        let (last_progress, stall_timeout) = (self.last_progress, self.stall_timeout());
        loop {
            if let Some(event) = self.next_event() {
                return ReadResult::Event(self.forward(event));
            }
            let Some(reading) = &mut self.reading else {
                return ReadResult::Broken(SendOutcome::NotConnected);
            };
            let frame = tokio::select! {
                frame = reading.body.frame() => frame,
                cause = wait_for_stall(&self.gateway, &reading.source, last_progress, stall_timeout, &mut self.changes),
                    if may_move =>
                {
                    let stall = record_stall(&self.gateway, &reading.source, cause, last_progress);
                    self.request_log.record_stall(stall);
                    return ReadResult::Broken(SendOutcome::Abandoned);
                }
                () = tokio::time::sleep_until(self.received.deadline) => return ReadResult::OutOfTime,
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        reading.splitter.push(data);
                    }
                }
                None if reading.splitter.is_clean()
                    && (!reading.is_unframed || self.gate.server_survives().await) =>
                {
                    return self.complete();
                }
                Some(Err(_)) | None => {
                    return ReadResult::Broken(
                        broken_connection_outcome(&self.gateway, &mut self.gate, &reading.source).await,
                    );
                }
            }
        }
    }

    /// Takes the next complete event from the buffer, without events that the caller already has: a resumed stream may
    /// begin with them.
    fn next_event(&mut self) -> Option<StreamEvent> {
        let reading = self.reading.as_mut()?;
        let (has_forwarded, last_event) = (self.has_forwarded, self.last_event);
        let is_duplicate =
            |event: &StreamEvent| event.id.is_some() && event.id <= last_event && has_forwarded;
        std::iter::from_fn(|| reading.splitter.next_event()).find(|event| !is_duplicate(event))
    }

    /// Records an event, and returns the bytes to forward.
    fn forward(&mut self, event: StreamEvent) -> Bytes {
        let took_ms = self.last_progress.elapsed().as_secs_f64() * 1_000.0;
        if let Some(Source::Group(place)) = self.reading.as_ref().map(|reading| &reading.source) {
            self.gateway.loads.record_progress(place.epoch, (!self.awaits_first_event).then_some(took_ms));
        }
        if self.awaits_first_event {
            self.gate.response_began();
        }
        if let Some(model) = &self.received.model {
            self.gateway.loads.record_latency(model, self.awaits_first_event, took_ms);
        }
        self.last_event = event.id.or(self.last_event);
        self.has_forwarded = true;
        self.awaits_first_event = false;
        self.events += 1;
        self.request_log.record_event();
        self.last_progress = Instant::now();
        event.bytes
    }

    /// Records the end of a complete stream.
    fn complete(&mut self) -> ReadResult {
        if let Some(done) = self.reading.take() {
            done.finish(&self.gateway);
        }
        self.gate.answered();
        self.request_log.end(ResultCode::Ok);
        if let Some(model) = &self.received.model {
            self.gateway.loads.record_response(&self.received.service.name, model, self.events);
        }
        ReadResult::Complete
    }
}

impl OpenStream {
    /// Returns the connection to the pool after the stream was read to its end.
    fn finish(self, gateway: &Gateway) {
        gateway.pool.release(self.upstream);
        if let Source::Server(selected) = self.source {
            selected.finish(CallResult::Answered);
        }
    }
}
