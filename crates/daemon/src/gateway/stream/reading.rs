//! Reads a stream event by event until it is complete, breaks or runs out of time. While its source has stalled, the
//! request is sent to another one as well: whichever sends the next event first is read on, and the others are closed.

use super::open_send::{OpenSend, Progress};
use super::source_search::SourceSearch;
use super::{ReadResult, StreamRequest};
use crate::gateway::body::{full_body, read_response_body};
use crate::gateway::response_head::EvaluatedResponse;
use crate::gateway::source::Source;
use crate::gateway::stalls::{
    StallWatch, broken_connection_outcome, on_exit_of, record_stall, renew_suspicion, wait_for_stall,
};
use crate::log_line::{NoOtherSource, StallCause};
use dockwood_api::ResultCode;
use dockwood_routing::gateway::{SendOutcome, StreamEvent};
use hyper::Response;
use hyper::body::Incoming;

/// Why the wait for progress ended.
enum Wakeup {
    /// Progress of the send with this index.
    Progress(usize, Progress),
    /// The newest source has stalled.
    Stalled(StallCause),
    /// The result of sending the request to another source.
    Opened(Box<Result<OpenSend, NoOtherSource>>),
    OutOfTime,
}

impl StreamRequest {
    /// Reads up to the next event that the caller doesn't have yet.
    pub(super) async fn step(&mut self) -> ReadResult {
        loop {
            let result = match self.wait_for_progress().await {
                Wakeup::Progress(index, progress) => self.take_progress(index, progress).await,
                Wakeup::Stalled(cause) => self.newest_stalled(cause),
                Wakeup::Opened(opened) => self.take_opened(*opened),
                Wakeup::OutOfTime => Some(ReadResult::OutOfTime),
            };
            if let Some(result) = result {
                return result;
            }
        }
    }

    async fn wait_for_progress(&mut self) -> Wakeup {
        let watch = self.stall_watch();
        let searches = !self.search.is_idle() && self.may_add_send();
        let open_groups = if searches { self.open_groups() } else { Vec::new() };
        let position = self.position;
        let deadline = self.sender.received.deadline;
        let gateway = self.sender.gateway.clone();
        let (sends, search, sender) = (&mut self.sends, &self.search, &mut self.sender);
        tokio::select! {
            biased;
            (index, progress) = sends.progress(position) => Wakeup::Progress(index, progress),
            opened = search.open_another(sender, position, &open_groups), if searches => Wakeup::Opened(Box::new(opened)),
            cause = wait_for_stall(&gateway, watch, &mut self.changes) => Wakeup::Stalled(cause),
            () = gateway.planned_stop.time_is_up(deadline), if !position.has_forwarded => Wakeup::OutOfTime,
            () = tokio::time::sleep_until(deadline) => Wakeup::OutOfTime,
        }
    }

    /// Whether the request may be sent to another source as well.
    fn may_add_send(&self) -> bool {
        self.position.is_resumable() && self.sender.attempts.may_add_send(self.sends.count())
    }

    fn open_groups(&self) -> Vec<u64> {
        self.sends.iter().filter_map(|send| send.source.epoch()).collect()
    }

    /// Returns what to watch for a stall: the newest source, if its stall would have a consequence.
    fn stall_watch(&self) -> Option<StallWatch> {
        let newest = self.sends.newest().filter(|_| self.search.is_idle())?;
        let has_consequence = self.may_add_send() || newest.probe.is_some();
        Some(StallWatch {
            epoch: newest.source.epoch().filter(|_| has_consequence)?,
            since: newest.last_progress,
            timeout: self.stall_timeouts?.of(newest.awaits_first_event),
        })
    }

    /// Begins to look for another source.
    fn newest_stalled(&mut self, cause: StallCause) -> Option<ReadResult> {
        let newest = self.sends.newest_mut()?;
        // This group is silent as well, so another stream may probe.
        newest.probe = None;
        newest.stall = Some(cause);
        let (epoch, since) = (newest.source.epoch(), newest.last_progress);
        let stall = record_stall(&self.sender.gateway, &self.sender.model, epoch, cause, since);
        self.sender.request_log.record_stall(newest.number, stall);
        self.search.begin();
        None
    }

    fn take_opened(&mut self, opened: Result<OpenSend, NoOtherSource>) -> Option<ReadResult> {
        let result = opened.as_ref().map_or_else(|reason| reason.name(), |_| "sent");
        self.count_additional_send(result);
        match opened {
            Ok(send) => {
                self.sends.push(send);
                self.search.end();
            }
            Err(reason) => {
                self.sender.request_log.record_no_other_source(reason);
                self.search.failed(reason);
                self.renew_suspicions();
            }
        }
        None
    }

    fn count_additional_send(&self, result: &str) {
        self.sender.gateway.shared.metrics.additional_sends.with_label_values(&[result]).inc();
    }

    /// Keeps new requests away from the stalled groups.
    fn renew_suspicions(&self) {
        let groups = self.open_groups();
        groups.into_iter().for_each(|epoch| renew_suspicion(&self.sender.gateway, epoch));
    }

    async fn take_progress(&mut self, index: usize, progress: Progress) -> Option<ReadResult> {
        match progress {
            Progress::Event(event) => self.take_event(index, event),
            Progress::Head(response) => self.take_head(index, response).await,
            Progress::End => self.take_end(index).await,
            Progress::Broken => self.take_broken(index).await,
        }
    }

    /// Closes all sends but the one that has sent something.
    fn settle_on(&mut self, index: usize) {
        self.search = SourceSearch::default();
        let closed = self.sends.keep_only(index);
        closed.older.into_iter().for_each(|send| self.close(send, "won", SendOutcome::Abandoned));
        closed.newer.into_iter().for_each(|send| self.close(send, "overtaken", SendOutcome::Overtaken));
    }

    /// Closes a send because another one continues.
    fn close(&mut self, send: OpenSend, result: &str, outcome: SendOutcome) {
        self.count_additional_send(result);
        self.sender.request_log.record_outcome(send.number, outcome);
        self.sender.attempts.ended(outcome);
        self.sender.gate.take_checks_of(send.gate);
    }

    /// Records an event that is forwarded.
    fn take_event(&mut self, index: usize, event: StreamEvent) -> Option<ReadResult> {
        // A closed group will soon cut its responses, so that its replacement is kept until it has overtaken the group.
        let is_closed = self.sends.get_mut(index)?.stall == Some(StallCause::GroupClosed);
        if !is_closed {
            self.settle_on(index);
        }
        let send = self.sends.get_mut(if is_closed { index } else { 0 })?;
        if self.head.is_none() {
            self.head = send.head().cloned();
        }
        let is_first = send.awaits_first_event;
        let was_stalled = send.stall.take_if(|cause| *cause == StallCause::Silent).is_some();
        let took_ms = send.record_event();
        let gateway = &self.sender.gateway;
        if let Source::Group(place) = &send.source {
            gateway.loads.record_progress(place.epoch, (!is_first).then_some(took_ms));
        }
        // The length of a stall says nothing about the group's usual latency.
        if let Some(model) = self.sender.received.model.as_ref().filter(|_| !was_stalled) {
            gateway.loads.record_latency(model, is_first, took_ms);
        }
        self.position.last_event = event.id.or(self.position.last_event);
        self.position.has_forwarded = true;
        self.events += 1;
        self.sender.request_log.record_event();
        Some(ReadResult::Event(event.bytes))
    }

    async fn take_head(&mut self, index: usize, response: Response<Incoming>) -> Option<ReadResult> {
        let is_only_one = self.sends.count() == 1;
        let send = self.sends.get_mut(index)?;
        let sender = &mut self.sender;
        let taken = send.take_head(&sender.gateway, &sender.received, &mut sender.request_log, response);
        match taken {
            Ok(None) => None,
            Ok(Some(other)) if is_only_one => self.take_other_response(other).await,
            Ok(Some(_)) => self.send_ended(index, SendOutcome::Failed),
            Err(outcome) => self.send_ended(index, outcome),
        }
    }

    /// Forwards a response of the only source that is not a stream, unless the request may be sent to another one.
    async fn take_other_response(&mut self, other: EvaluatedResponse) -> Option<ReadResult> {
        let deadline = self.sender.received.deadline;
        let only = self.sends.newest_mut()?;
        let body = tokio::select! {
            biased;
            body = read_response_body(&only.gate, other.framing, other.body) => body,
            () = self.sender.gateway.planned_stop.time_is_up(deadline) => return Some(ReadResult::OutOfTime),
        };
        let Some(body) = body else {
            return self.take_broken(0).await;
        };
        let failed = other.head.status.is_server_error();
        if failed && self.sender.attempts.may_move() {
            return self.send_ended(0, SendOutcome::Failed);
        }
        if other.head.status.is_success() {
            self.record_answered();
        }
        self.sender.request_log.end(if failed { ResultCode::BackendFailed } else { ResultCode::Ok });
        let response = other.head.into_response(full_body(body));
        Some(ReadResult::NotAStream(Box::new(response)))
    }

    /// Records that the only source left has answered completely.
    fn record_answered(&mut self) {
        let Some(answering) = self.sends.newest_mut() else { return };
        let next_gate = self.sender.gate.for_another_send();
        answering.gate.take_checks_of(std::mem::replace(&mut self.sender.gate, next_gate));
        answering.gate.answered();
    }

    async fn take_end(&mut self, index: usize) -> Option<ReadResult> {
        if !self.sends.get_mut(index)?.is_complete().await {
            return self.take_broken(index).await;
        }
        self.settle_on(index);
        self.record_answered();
        let answered = self.sends.take_only()?;
        if self.head.is_none() {
            self.head = answered.head().cloned();
        }
        answered.finish(&self.sender.gateway);
        self.sender.request_log.end(ResultCode::Ok);
        if let Some(model) = &self.sender.received.model {
            let service = &self.sender.received.service.name;
            self.sender.gateway.loads.record_response(service, model, self.events);
        }
        Some(ReadResult::Complete)
    }

    /// Handles a broken connection. If another source has the request, that one is read on at once, and the check of the
    /// server runs beside it.
    async fn take_broken(&mut self, index: usize) -> Option<ReadResult> {
        let other_continues = self.sends.count() > 1;
        let gateway = self.sender.gateway.clone();
        let broken = self.sends.get_mut(index)?;
        let epoch = broken.source.epoch();
        if !other_continues {
            let outcome = broken_connection_outcome(&gateway, &mut broken.gate, epoch).await;
            return self.send_ended(index, outcome);
        }
        let gate = std::mem::replace(&mut broken.gate, self.sender.gate.for_another_send());
        self.sender.gate.check_in_background(gate, on_exit_of(&gateway, epoch));
        self.send_ended(index, SendOutcome::Unknown)
    }

    /// Ends a send. If it was the only one, the request has to be sent again.
    fn send_ended(&mut self, index: usize, outcome: SendOutcome) -> Option<ReadResult> {
        let ended = self.sends.take(index)?;
        self.sender.request_log.record_outcome(ended.number, outcome);
        self.sender.gate.take_checks_of(ended.gate);
        let Some(newest) = self.sends.newest() else {
            self.search = SourceSearch::default();
            return Some(ReadResult::Broken(outcome));
        };
        match newest.stall.is_some() {
            true => {
                self.search.begin();
                self.search.failed(NoOtherSource::NotReached);
            }
            false => self.search.end(),
        }
        self.sender.attempts.ended(outcome);
        None
    }
}
