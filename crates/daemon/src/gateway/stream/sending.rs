//! One send of a request for a stream: to a group or a server, up to the head of its answer.

use super::{Head, Reading, StreamCourse};
use crate::gateway::answers::take_head;
use crate::gateway::body::{AnswerBody, read_whole, whole};
use crate::gateway::evacuation::may_write;
use crate::gateway::headers::end_to_end;
use crate::gateway::plain::request_for;
use crate::gateway::source::Source;
use crate::gateway::stalls::{abandon, broken, stands_still};
use crate::gateway::upstream::{ConnectFault, Upstream};
use crate::pushback::{SendPermit, SendPurpose};
use dockwood_api::ResultCode;
use dockwood_routing::CallResult;
use dockwood_routing::gateway::{EventSplitter, SendOutcome};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use tokio::time::Instant;

const EVENT_STREAM: &str = "text/event-stream";
/// Bodies of answers that are no streams, in bytes.
const MOST_ANSWER_BYTES: usize = 16 << 20;

impl StreamCourse {
    /// Sends to one source; on success the stream is being read, or an answer that is no stream is here.
    pub(super) async fn send(&mut self, source: Source) -> Result<Option<Response<AnswerBody>>, SendOutcome> {
        let (instance, epoch) = (source.instance().to_string(), source.epoch());
        match epoch {
            Some(epoch) => self.tried_groups.push(epoch),
            None => self.tried_servers.push(instance.clone()),
        }
        self.account.sent(&instance, epoch, source.chosen_by());
        let fresh = !self.received.route.is_repeatable();
        let mut upstream = match self.gateway.pool.connection(source.address(), fresh).await {
            Ok(upstream) => upstream,
            Err(fault) => {
                self.unreachable(source, fault);
                return Err(SendOutcome::NotSent);
            }
        };
        let resume_at = self.begun.then_some(self.last_event).flatten();
        let request = request_for(&self.gateway, &self.received, &instance, resume_at);
        let Some(request) = request else { return Err(SendOutcome::NotSent) };
        let purpose = SendPurpose::Request { rank: self.received.rank };
        let permit = SendPermit::acquire(&self.gateway.shared, source.addressee(), purpose).await;
        // From here on nothing is waited for until the request is written.
        let is_timely = source.may_be_sent(&self.gateway, &self.received.service.name);
        let is_its_turn = self.gate.may_write() && self.received.left_ms() > 0;
        if permit.is_err() || !is_timely || !is_its_turn {
            // The connection that took too long is there now, and what holds a server back ends.
            self.tried_groups.retain(|tried| Some(*tried) != epoch);
            self.tried_servers.retain(|tried| *tried != instance);
        }
        let is_allowed = is_timely && is_its_turn && may_write(&self.gateway, source.zone());
        let Some(permit) = permit.ok().filter(|_| is_allowed) else {
            self.gateway.pool.keep(upstream);
            return Err(SendOutcome::NotSent);
        };
        let sent_at = Instant::now();
        self.since = sent_at;
        self.awaits_first = true;
        let response = tokio::select! {
            response = upstream.send(request, &permit) => match response {
                Ok(response) => Ok(response),
                Err(_) => Err(broken(&self.gateway, &source).await),
            },
            () = stands_still(&self.gateway, &source, sent_at, self.silence(), &mut self.changes),
                if self.course.may_move() => Err(abandon(&self.gateway, &source)),
            () = tokio::time::sleep_until(self.received.deadline) => Err(SendOutcome::Unknown),
        }?;
        self.take_response(source, upstream, permit, response).await
    }

    fn unreachable(&self, source: Source, fault: ConnectFault) {
        match source {
            Source::Group(place) => self.gateway.loads.suspect(place.epoch, fault == ConnectFault::Refused),
            Source::Server(picked) => picked.ended(CallResult::Failed),
        }
    }

    async fn take_response(
        &mut self,
        source: Source,
        upstream: Upstream,
        mut permit: SendPermit,
        response: Response<Incoming>,
    ) -> Result<Option<Response<AnswerBody>>, SendOutcome> {
        let head = take_head(&self.gateway, &self.received, &mut self.account, &mut permit, response);
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
            self.reading = Some(Reading { source, upstream, body, splitter: EventSplitter::default() });
            return Ok(None);
        }
        let Ok(body) = read_whole(body, MOST_ANSWER_BYTES).await else {
            return Err(broken(&self.gateway, &source).await);
        };
        if parts.status.is_server_error() && self.course.may_move() {
            return Err(SendOutcome::Failed);
        }
        if parts.status.is_success() {
            self.gate.answered();
        }
        let failed = parts.status.is_server_error();
        self.account.end(if failed { ResultCode::BackendFailed } else { ResultCode::Ok });
        let mut response = Response::new(whole(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = end_to_end(&parts.headers);
        Ok(Some(response))
    }
}
