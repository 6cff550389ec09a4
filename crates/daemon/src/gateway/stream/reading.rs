//! Reads a stream event by event until it is complete, breaks or runs out of time. While its source has stalled, the
//! request is sent to a second one as well: whichever sends the next event first is read on, and the other is closed.

use super::open_send::{OpenSend, OtherResponse, Position, Progress};
use super::second_source::{SourceSearch, SourceSlot};
use super::{ReadResult, StreamRequest};
use crate::gateway::body::{full_body, read_response_body};
use crate::gateway::headers::end_to_end;
use crate::gateway::source::Source;
use crate::gateway::stalls::{
    broken_connection_outcome, on_exit_of, record_stall, suspect_silent_group, wait_for_stall,
};
use crate::log_line::{NoOtherSource, StallCause};
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_routing::gateway::{SendOutcome, StreamEvent};
use hyper::Response;
use hyper::body::Incoming;

/// Why the wait for progress ended.
enum Wakeup {
    Progress(SourceSlot, Progress),
    Stalled(StallCause),
    /// The result of sending the request to a second source.
    Opened(Box<Result<OpenSend, NoOtherSource>>),
    OutOfTime,
}

impl StreamRequest {
    /// Reads up to the next event that the caller doesn't have yet.
    pub(super) async fn step(&mut self) -> ReadResult {
        loop {
            let wakeup = self.wait_for_progress().await;
            let result = match wakeup {
                Wakeup::Progress(slot, progress) => self.take_progress(slot, progress).await,
                Wakeup::Stalled(cause) => self.current_stalled(cause),
                Wakeup::Opened(opened) => self.take_second(*opened),
                Wakeup::OutOfTime => Some(ReadResult::OutOfTime),
            };
            if let Some(result) = result {
                return result;
            }
        }
    }

    async fn wait_for_progress(&mut self) -> Wakeup {
        let position = self.position;
        let open_sends = u32::from(self.current.is_some()) + u32::from(self.second.is_some());
        let may_add_send = self.sender.attempts.may_add_send(open_sends);
        let deadline = self.sender.received.deadline;
        let stall_timeouts = self.stall_timeouts;
        let gateway = self.sender.gateway.clone();
        let Some(current) = &mut self.current else {
            return Wakeup::Progress(SourceSlot::Current, Progress::Broken);
        };
        let (epoch, since) = (current.source.epoch(), current.last_progress);
        let timeout = stall_timeouts.map(|timeouts| timeouts.of(current.awaits_first_event));
        let watches = may_add_send && self.search.is_idle();
        let searches = may_add_send && self.second.is_none() && !self.search.is_idle();
        let (search, sender, changes) = (&self.search, &mut self.sender, &mut self.changes);
        tokio::select! {
            biased;
            progress = current.progress(position) => Wakeup::Progress(SourceSlot::Current, progress),
            Some(progress) = progress_of(&mut self.second, position) =>
                Wakeup::Progress(SourceSlot::Second, progress),
            opened = search.open_second(sender, epoch, position), if searches => Wakeup::Opened(Box::new(opened)),
            cause = wait_for_stall(&gateway, epoch, since, timeout, changes), if watches => Wakeup::Stalled(cause),
            () = tokio::time::sleep_until(deadline) => Wakeup::OutOfTime,
        }
    }

    /// Begins to look for a second source.
    fn current_stalled(&mut self, cause: StallCause) -> Option<ReadResult> {
        let current = self.current.as_mut()?;
        let stall = record_stall(&self.sender.gateway, current.source.epoch(), cause, current.last_progress);
        self.sender.request_log.record_stall(current.number, stall);
        self.search = SourceSearch::begin(cause);
        None
    }

    fn take_second(&mut self, opened: Result<OpenSend, NoOtherSource>) -> Option<ReadResult> {
        let result = opened.as_ref().map_or_else(|reason| reason.name(), |_| "sent");
        self.sender.gateway.shared.metrics.second_sends.with_label_values(&[result]).inc();
        match opened {
            Ok(second) => self.second = Some(second),
            Err(reason) => {
                self.sender.request_log.record_no_other_source(reason);
                self.search.failed();
                self.renew_suspicion();
            }
        }
        None
    }

    /// Keeps new requests away from the stalled group.
    fn renew_suspicion(&self) {
        let epoch = self.current.as_ref().and_then(|current| current.source.epoch());
        epoch.into_iter().for_each(|epoch| suspect_silent_group(&self.sender.gateway, epoch));
    }

    async fn take_progress(&mut self, slot: SourceSlot, progress: Progress) -> Option<ReadResult> {
        match progress {
            Progress::Event(event) => Some(ReadResult::Event(self.take_event(slot, event))),
            Progress::Head(response) => self.take_head(slot, response).await,
            Progress::End => self.take_end(slot).await,
            Progress::Broken => self.take_broken(slot).await,
        }
    }

    /// Makes the source that has sent something the current one, and closes the other.
    fn settle_on(&mut self, slot: SourceSlot) {
        self.search = SourceSearch::default();
        let Some(second) = self.second.take() else { return };
        let (result, outcome, loser) = match slot {
            SourceSlot::Current => ("overtaken", SendOutcome::Overtaken, Some(second)),
            SourceSlot::Second => ("won", SendOutcome::Abandoned, self.current.replace(second)),
        };
        self.sender.gateway.shared.metrics.second_sends.with_label_values(&[result]).inc();
        if let Some(loser) = loser {
            self.record_ended(&loser, outcome);
            self.sender.gate.take_checks_of(loser.gate);
        }
    }

    /// Records the outcome of a send while another one continues.
    fn record_ended(&mut self, send: &OpenSend, outcome: SendOutcome) {
        self.sender.request_log.record_outcome(send.number, outcome);
        // The request is not given up: another source has it.
        let _ = self.sender.ended(outcome);
    }

    /// Records an event, and returns the bytes to forward.
    fn take_event(&mut self, slot: SourceSlot, event: StreamEvent) -> Bytes {
        let was_stalled = !self.search.is_idle() && slot == SourceSlot::Current;
        self.settle_on(slot);
        if let Some(current) = &mut self.current {
            if self.head.is_none() {
                self.head = current.head().cloned();
            }
            let is_first = current.awaits_first_event;
            let took_ms = current.record_event();
            let gateway = &self.sender.gateway;
            if let Source::Group(place) = &current.source {
                gateway.loads.record_progress(place.epoch, (!is_first).then_some(took_ms));
            }
            // The length of a stall says nothing about the group's usual latency.
            if let Some(model) = self.sender.received.model.as_ref().filter(|_| !was_stalled) {
                gateway.loads.record_latency(model, is_first, took_ms);
            }
        }
        self.position.last_event = event.id.or(self.position.last_event);
        self.position.has_forwarded = true;
        self.events += 1;
        self.sender.request_log.record_event();
        event.bytes
    }

    async fn take_head(&mut self, slot: SourceSlot, response: Response<Incoming>) -> Option<ReadResult> {
        let send = slot.of(&mut self.current, &mut self.second).as_mut()?;
        let sender = &mut self.sender;
        let taken = send.take_head(&sender.gateway, &sender.received, &mut sender.request_log, response);
        match (taken, slot) {
            (Ok(None), _) => None,
            (Ok(Some(other)), SourceSlot::Current) => self.take_other_response(other).await,
            (Ok(Some(_)), SourceSlot::Second) => self.send_ended(slot, SendOutcome::Failed),
            (Err(outcome), _) => self.send_ended(slot, outcome),
        }
    }

    /// Forwards a response of the current source that is not a stream, unless the request may be sent to another one.
    async fn take_other_response(&mut self, other: OtherResponse) -> Option<ReadResult> {
        let current = self.current.as_mut()?;
        let Some(body) = read_response_body(&current.gate, &other.parts.headers, other.body).await else {
            return self.take_broken(SourceSlot::Current).await;
        };
        let failed = other.parts.status.is_server_error();
        if failed && (self.second.is_some() || self.sender.attempts.may_move()) {
            return self.send_ended(SourceSlot::Current, SendOutcome::Failed);
        }
        self.settle_on(SourceSlot::Current);
        if other.parts.status.is_success() {
            self.record_answered();
        }
        self.sender.request_log.end(if failed { ResultCode::BackendFailed } else { ResultCode::Ok });
        let mut response = Response::new(full_body(body));
        *response.status_mut() = other.parts.status;
        *response.headers_mut() = end_to_end(&other.parts.headers);
        Some(ReadResult::NotAStream(Box::new(response)))
    }

    fn record_answered(&mut self) {
        let Some(current) = &mut self.current else { return };
        let next_gate = self.sender.gate.for_another_send();
        current.gate.take_checks_of(std::mem::replace(&mut self.sender.gate, next_gate));
        current.gate.answered();
    }

    async fn take_end(&mut self, slot: SourceSlot) -> Option<ReadResult> {
        let send = slot.of(&mut self.current, &mut self.second).as_mut()?;
        if !send.is_complete().await {
            return self.take_broken(slot).await;
        }
        self.settle_on(slot);
        self.record_answered();
        let current = self.current.take()?;
        if self.head.is_none() {
            self.head = current.head().cloned();
        }
        current.finish(&self.sender.gateway);
        self.sender.request_log.end(ResultCode::Ok);
        if let Some(model) = &self.sender.received.model {
            let service = &self.sender.received.service.name;
            self.sender.gateway.loads.record_response(service, model, self.events);
        }
        Some(ReadResult::Complete)
    }

    /// Handles a broken connection. If another source has the request, that one is read on at once.
    async fn take_broken(&mut self, slot: SourceSlot) -> Option<ReadResult> {
        let other_continues = self.second.is_some();
        let broken = slot.of(&mut self.current, &mut self.second);
        if other_continues {
            let mut broken = broken.take()?;
            self.search.failed();
            self.promote_second();
            let on_exit = on_exit_of(&self.sender.gateway, broken.source.epoch());
            let gate = std::mem::replace(&mut broken.gate, self.sender.gate.for_another_send());
            self.sender.gate.check_in_background(gate, on_exit);
            self.record_ended(&broken, SendOutcome::Unknown);
            return None;
        }
        let broken = broken.as_mut()?;
        let outcome =
            broken_connection_outcome(&self.sender.gateway, &mut broken.gate, broken.source.epoch()).await;
        self.send_ended(slot, outcome)
    }

    /// Ends a send. Without another one, the caller of this function has to send the request again.
    fn send_ended(&mut self, slot: SourceSlot, outcome: SendOutcome) -> Option<ReadResult> {
        let ended = slot.of(&mut self.current, &mut self.second).take()?;
        self.search.failed();
        self.promote_second();
        if self.current.is_some() {
            self.record_ended(&ended, outcome);
            self.sender.gate.take_checks_of(ended.gate);
            return None;
        }
        self.search = SourceSearch::default();
        self.sender.request_log.record_outcome(ended.number, outcome);
        self.sender.gate.take_checks_of(ended.gate);
        Some(ReadResult::Broken(outcome))
    }

    /// Makes the second source the current one if that has ended.
    fn promote_second(&mut self) {
        if self.current.is_none() && self.second.is_some() {
            self.current = self.second.take();
            self.search = SourceSearch::default();
        }
    }
}

async fn progress_of(send: &mut Option<OpenSend>, position: Position) -> Option<Progress> {
    match send {
        Some(send) => Some(send.progress(position).await),
        None => None,
    }
}
