//! Serves callers' connections.

use super::answer_body::record_answer;
use super::body::ResponseBody;
use super::caller_stream::CallerStream;
use super::connection_record::ConnectionRecord;
use super::receive::{CallerBody, attempt_id, receive};
use super::request_log::{RequestInfo, RequestLog};
use super::{Gateway, plain, stream};
use crate::client_stream::ClientStream;
use crate::connection_line::ConnectionEnd;
use crate::connection_slots::{ConnectionSlot, RequestGuard};
use crate::guarded_body::GuardedBody;
use crate::http_connection::{Closed, ConnectionLimits, accept, serve_connection};
use crate::unread_body::DiscardingBody;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Margin added to the configured timeouts, so that a caller that observes them never uses a connection that is being
/// closed.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Interval at which expired idle connections to servers are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Accepts connections until a planned stop closes them.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    tokio::spawn(sweep(gateway.clone()));
    let slots = gateway.shared.listener_slots.frontend.clone();
    let stopping = gateway.stopping.subscribe();
    accept(listener, slots, stopping, |stream, slot| serve_caller(gateway.clone(), stream, slot)).await;
}

async fn sweep(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        gateway.pool.close_expired();
    }
}

async fn serve_caller(gateway: Arc<Gateway>, stream: TcpStream, slot: Arc<ConnectionSlot>) {
    let limits = gateway.routes.load().limits;
    let connection = ConnectionLimits {
        head_bytes: limits.max_header_bytes,
        idle_timeout: Duration::from_millis(limits.idle_timeout_ms) + TIMEOUT_MARGIN,
    };
    let head_timeout = Duration::from_millis(limits.header_timeout_ms) + TIMEOUT_MARGIN;
    let record = ConnectionRecord::new(gateway.clone());
    let stream = ClientStream::new(stream, slot.clone(), head_timeout);
    let stream = CallerStream::new(stream, record.clone());
    let (handled, served) = (gateway.clone(), record.clone());
    let handle = move |request: Request<Incoming>, guard: RequestGuard| {
        let (gateway, record) = (handled.clone(), served.clone());
        let request = request.map(|body| DiscardingBody::new(GuardedBody::new(body, guard.receive_body())));
        async move { handle(gateway, &record, request).await }
    };
    let stopping = gateway.stopping.subscribe();
    let closed = serve_connection(stream, slot, connection, stopping, handle).await;
    record.end(end_of(&closed));
}

/// Returns what is recorded of the end of a connection. An error itself affects only its caller.
fn end_of(closed: &Closed) -> ConnectionEnd {
    match closed {
        Closed::Displaced => ConnectionEnd::Displaced,
        Closed::Complete => ConnectionEnd::PlannedStop,
        Closed::ByClient(error) if error.is_timeout() => ConnectionEnd::HeadTimeout,
        Closed::ByClient(error) if error.is_parse() => ConnectionEnd::BadRequest,
        Closed::ByClient(error) if error.is_incomplete_message() => ConnectionEnd::Caller,
        Closed::ByClient(_) => ConnectionEnd::Failed,
    }
}

async fn handle(
    gateway: Arc<Gateway>,
    record: &Arc<ConnectionRecord>,
    request: Request<CallerBody>,
) -> Response<ResponseBody> {
    let in_flight = gateway.shared.begin_request();
    let mut request_log = RequestLog::new(gateway.clone());
    let attempt = attempt_id(&gateway, request.headers());
    let answer = record.begin_request(attempt.clone());
    let (method, has_body) = (request.method().clone(), !request.body().is_end_stream());
    let mut is_early = false;
    request_log.set_info(RequestInfo { attempt, ..RequestInfo::default() });
    let mut response = match receive(&gateway, request).await {
        Ok(received) => {
            gateway.retry_budgets.record_request(&received.service.name);
            request_log.set_info(received.info());
            if received.is_stream() || received.service.engine.is_some() {
                stream::handle(&gateway, received, request_log, in_flight).await
            } else {
                plain::handle(&gateway, &received, request_log, in_flight).await
            }
        }
        Err(refusal) => {
            is_early = has_body;
            request_log.end(refusal.code);
            refusal.into_response()
        }
    };
    // The callers find other entries in the directory.
    if gateway.shared.is_leaving() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    record_answer(answer, &method, is_early, response)
}
