//! Requests to plain services: one answer, passed on whole.

use super::Gateway;
use super::account::RequestAccount;
use super::answers::take_head;
use super::body::{AnswerBody, read_whole, whole};
use super::evacuation::may_write;
use super::headers::{ServerHeaders, add_for_server, end_to_end};
use super::receive::{Received, may_still_run};
use super::refusal::{RETRY_SOON_MS, refuse};
use super::targets::{Picked, pick_for};
use super::upstream::Upstream;
use crate::pushback::{SendPermit, SendPurpose, SendTarget, Unavailable};
use crate::suspects::{Admission, SuspectGate};
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_routing::gateway::{GiveUp, RequestAttempts, RetryDecision, SendOutcome};
use dockwood_routing::{CallResult, Millis};
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// Part of the target that a request waits for servers at rest, in hundredths: it can still be in time after that.
const REST_WAIT_HUNDREDTHS: u64 = 50;
/// Shortest of these waits.
const SHORTEST_REST_WAIT: Duration = Duration::from_millis(1);
/// Answers that are held whole before they are passed on, in bytes.
const MOST_ANSWER_BYTES: usize = 16 << 20;

/// An answer as a server gave it.
struct ServerAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl ServerAnswer {
    fn pass_on(self) -> Response<AnswerBody> {
        let mut response = Response::new(whole(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Answers a request within its time.
pub async fn answer(
    gateway: &Arc<Gateway>,
    received: &Received,
    account: RequestAccount,
) -> Response<AnswerBody> {
    let mut course = PlainCourse {
        gateway,
        received,
        account,
        course: RequestAttempts::new(&received.route),
        gate: received.suspect_gate(&gateway.shared),
        in_flight: false,
        tried: Vec::new(),
        taken: Vec::new(),
        kept: None,
        waited: Duration::ZERO,
    };
    match tokio::time::timeout_at(received.deadline, course.run()).await {
        Ok(response) => response,
        Err(_) => {
            let told = course.course.out_of_time(course.in_flight);
            course.give_up(told)
        }
    }
}

/// What a caller is told when there is no answer to pass on.
pub fn give_up(told: GiveUp) -> Response<AnswerBody> {
    refuse(told.code, told.code.meaning(), told.not_run.then_some(RETRY_SOON_MS))
}

struct PlainCourse<'a> {
    gateway: &'a Arc<Gateway>,
    received: &'a Received,
    account: RequestAccount,
    course: RequestAttempts,
    gate: SuspectGate,
    in_flight: bool,
    tried: Vec<String>,
    /// Servers that are taken by other suspects, as looked at since the gate was last waited for.
    taken: Vec<String>,
    /// A server's own failure, passed on if no other server answers.
    kept: Option<ServerAnswer>,
    /// How long it has waited for servers at rest.
    waited: Duration,
}

impl PlainCourse<'_> {
    async fn run(&mut self) -> Response<AnswerBody> {
        loop {
            let picked = match self.admitted_server().await {
                Ok(Some(picked)) => picked,
                Ok(None) => continue,
                Err(response) => return *response,
            };
            if !may_still_run(self.gateway, self.received) {
                return self.last_word(ResultCode::NoLease);
            }
            if self.course.needs_budget()
                && !self.gateway.try_second_send(&self.received.service.name, "plain")
            {
                return self.last_word(ResultCode::Overloaded);
            }
            self.tried.push(picked.row.id.clone());
            let outcome = match self.send(picked).await {
                Ok(answer) => return self.pass_on(answer),
                Err(outcome) => outcome,
            };
            self.account.send_ended(outcome);
            if outcome == SendOutcome::ServerEnded {
                self.gate.server_ended();
            }
            if let RetryDecision::GiveUp(told) = self.course.ended(outcome) {
                return match self.kept.take() {
                    Some(kept) => self.pass_on(kept),
                    None => self.give_up(told),
                };
            }
        }
    }

    /// A server to which the request may be sent; `None` if another one is to be looked for.
    async fn admitted_server(&mut self) -> Result<Option<Picked>, Box<Response<AnswerBody>>> {
        let is_suspect = match self.gate.is_suspect().await {
            Ok(is_suspect) => is_suspect,
            Err(code) => return Err(Box::new(self.refused_by_gate(code))),
        };
        let passed_over = [self.tried.as_slice(), &self.taken].concat();
        let picked = match pick_for(self.gateway, self.received, &self.gate, is_suspect, &passed_over) {
            Ok(picked) => picked,
            Err(_) if !self.taken.is_empty() => {
                let admission = self.gate.wait_for_free_server().await;
                return self.again(admission);
            }
            Err(unavailable) => return self.without_server(unavailable).await,
        };
        match self.gate.admit(is_suspect, &picked.row.id, &picked.row.zone).await {
            Admission::Admitted => Ok(Some(picked)),
            Admission::OtherServer => {
                self.taken.push(picked.row.id.clone());
                Ok(None)
            }
            other => self.again(other),
        }
    }

    /// There is no server: waits for one whose rest ends soon, if no other has had the request.
    async fn without_server(
        &mut self,
        unavailable: Unavailable,
    ) -> Result<Option<Picked>, Box<Response<AnswerBody>>> {
        let longest =
            Duration::from_millis(self.received.route.target_latency_ms * REST_WAIT_HUNDREDTHS / 100);
        let left = longest.saturating_sub(self.waited);
        let soon = unavailable.free_in.filter(|free_in| self.tried.is_empty() && *free_in <= left);
        let Some(free_in) = soon else {
            self.account.held(unavailable.held);
            return Err(Box::new(self.last_word_with(unavailable.code, unavailable.retry_after_ms)));
        };
        if self.waited.is_zero() {
            self.gateway.shared.metrics.held_back.with_label_values(&["waited"]).inc();
        }
        // Never nothing, so that the waits come to an end.
        let wait = free_in.max(SHORTEST_REST_WAIT);
        self.waited += wait;
        tokio::time::sleep(wait).await;
        Ok(None)
    }

    /// Looks at all servers again, unless the request may not be sent at all.
    fn again(&mut self, admission: Admission) -> Result<Option<Picked>, Box<Response<AnswerBody>>> {
        self.taken.clear();
        match admission {
            Admission::Refused(code) => Err(Box::new(self.refused_by_gate(code))),
            Admission::Admitted | Admission::OtherServer | Admission::Wait => Ok(None),
        }
    }

    /// The answer when there is nobody to send to any more.
    fn last_word(&mut self, code: ResultCode) -> Response<AnswerBody> {
        self.last_word_with(code, None)
    }

    /// The same, with the time after which the caller may come back, where it is known.
    fn last_word_with(&mut self, code: ResultCode, back_in_ms: Option<Millis>) -> Response<AnswerBody> {
        if let Some(kept) = self.kept.take() {
            return self.pass_on(kept);
        }
        let told = self.course.give_up();
        if !told.not_run {
            return self.give_up(told);
        }
        self.account.end(code);
        refuse(code, code.meaning(), Some(back_in_ms.unwrap_or(RETRY_SOON_MS)))
    }

    fn pass_on(&mut self, answer: ServerAnswer) -> Response<AnswerBody> {
        if answer.status.is_success() {
            self.gate.answered();
        }
        let failed = answer.status.is_server_error();
        self.account.end(if failed { ResultCode::BackendFailed } else { ResultCode::Ok });
        answer.pass_on()
    }

    fn give_up(&mut self, told: GiveUp) -> Response<AnswerBody> {
        self.account.end(told.code);
        give_up(told)
    }

    /// The answer to a request that is not sent. One under quarantine is told no time to come back.
    fn refused_by_gate(&mut self, code: ResultCode) -> Response<AnswerBody> {
        if code != ResultCode::RequestQuarantined {
            return self.last_word(code);
        }
        self.account.end(code);
        refuse(code, code.meaning(), None)
    }

    /// Sends to one server. `Err` if that brought no answer to pass on.
    async fn send(&mut self, picked: Picked) -> Result<ServerAnswer, SendOutcome> {
        // A connection that rested may be closed at this moment: what may run only once never goes out on one.
        let fresh = !self.received.route.is_repeatable();
        self.account.sent(&picked.row.id, None, None);
        let Ok(mut upstream) = self.gateway.pool.connection(picked.row.address, fresh).await else {
            picked.ended(CallResult::Failed);
            return Err(SendOutcome::NotSent);
        };
        let Some(request) = request_for(self.gateway, self.received, &picked.row.id, None) else {
            return Err(SendOutcome::NotSent);
        };
        let (service, server) = (&self.received.service.name, &picked.row);
        let purpose = SendPurpose::Request { rank: self.received.rank };
        let permit = SendPermit::acquire(&self.gateway.shared, SendTarget::instance(server), purpose).await;
        // From here on nothing is waited for until the request is written.
        let metrics = &self.gateway.shared.metrics;
        let is_timely =
            self.gateway.cold.may_send(metrics, service, &server.id, server.is_cold, picked.valid_until);
        let is_its_turn = self.gate.may_write() && self.received.left_ms() > 0;
        if permit.is_err() || !is_timely || !is_its_turn {
            // It may be picked again: the connection that took too long is there now, and what holds it back ends.
            self.tried.pop();
        }
        let permit =
            permit.ok().filter(|_| is_timely && is_its_turn && may_write(self.gateway, &server.zone));
        let Some(permit) = permit else {
            self.gateway.pool.keep(upstream);
            return Err(SendOutcome::NotSent);
        };
        self.in_flight = true;
        let answer = self.exchange(&mut upstream, request, permit).await;
        self.in_flight = false;
        match answer {
            Ok(answer) => {
                self.gateway.pool.keep(upstream);
                picked.ended(CallResult::Answered);
                self.weigh(answer)
            }
            Err(outcome) => {
                let said = outcome == SendOutcome::SaidNotRun;
                picked.ended(if said { CallResult::Answered } else { CallResult::Failed });
                Err(outcome)
            }
        }
    }

    /// Sends a request, and reads its whole answer.
    async fn exchange(
        &mut self,
        upstream: &mut Upstream,
        request: Request<Full<Bytes>>,
        mut permit: SendPermit,
    ) -> Result<ServerAnswer, SendOutcome> {
        let pool = &self.gateway.pool;
        let address = upstream.address();
        let Ok(response) = upstream.send(request, &permit).await else {
            return Err(pool.broken(address).await);
        };
        let head = take_head(self.gateway, self.received, &mut self.account, &mut permit, response);
        drop(permit);
        let (parts, body) = head?;
        let Ok(body) = read_whole(body, MOST_ANSWER_BYTES).await else {
            return Err(pool.broken(address).await);
        };
        Ok(ServerAnswer { status: parts.status, headers: end_to_end(&parts.headers), body })
    }

    /// A server's own failure is worth another server where the request may run again.
    fn weigh(&mut self, answer: ServerAnswer) -> Result<ServerAnswer, SendOutcome> {
        if answer.status.is_server_error() && self.course.may_move() {
            self.kept = Some(answer);
            return Err(SendOutcome::Failed);
        }
        Ok(answer)
    }
}

/// A request as it goes to one server.
pub fn request_for(
    gateway: &Gateway,
    received: &Received,
    instance: &str,
    last_event: Option<u64>,
) -> Option<Request<Full<Bytes>>> {
    let mut headers = received.headers.clone();
    let told = ServerHeaders {
        deadline_ms: received.left_ms(),
        instance,
        tenant: received.tenant.as_deref(),
        rank: received.service.engine.is_some().then_some(received.rank),
        last_event,
    };
    add_for_server(&mut headers, gateway.dialect.headers(), &told);
    let path = received.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(Full::new(received.body.clone()));
    *request.method_mut() = received.method.clone();
    *request.uri_mut() = path.parse().ok()?;
    *request.headers_mut() = headers;
    Some(request)
}
