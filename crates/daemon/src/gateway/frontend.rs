//! Serves callers' connections.
//!
//! hyper is used directly: `poem` can't close a single connection after its current response, which a planned stop
//! requires.

use super::answer_body::record_answer;
use super::body::ResponseBody;
use super::caller_connections::CallerConnection;
use super::caller_stream::CallerStream;
use super::connection_record::ConnectionRecord;
use super::http_server::ACCEPT_PAUSE;
use super::receive::{attempt_id, receive};
use super::request_log::{RequestInfo, RequestLog};
use super::{Gateway, plain, stream};
use crate::connection_line::ConnectionEnd;
use crate::unread_body::DiscardingBody;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Margin added to the configured idle timeout, so that a caller that observes the timeout never uses a connection that
/// is being closed.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Interval at which expired idle connections to servers are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Accepts connections until a planned stop closes them.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    tokio::spawn(sweep(gateway.clone()));
    let mut stopping = gateway.stopping.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(gateway.clone(), stream));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn sweep(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        gateway.pool.close_expired();
    }
}

async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let limits = gateway.routes.load().limits;
    let mut stopping = gateway.stopping.subscribe();
    let caller_connection = Arc::new(CallerConnection::new(gateway.caller_connections.clone()));
    let record = ConnectionRecord::new(gateway.clone());
    let served = record.clone();
    let counted = caller_connection.clone();
    let service = service_fn(move |request| {
        counted.record_request();
        let (gateway, record) = (gateway.clone(), served.clone());
        async move { Ok::<_, Infallible>(handle(gateway, &record, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms) + IDLE_MARGIN)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(CallerStream::new(stream, record.clone())), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        _ = stopping.wait_for(|stopping| *stopping) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            // The runtime polls the sockets, so that a request that has arrived is answered before its connection is closed.
            tokio::task::yield_now().await;
            match futures::poll!(connection.as_mut()) {
                Poll::Ready(ended) => ended,
                // hyper would wait for its first request.
                Poll::Pending if !caller_connection.has_request() => Ok(()),
                Poll::Pending => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
    };
    record.end(ended.map_or_else(|error| end_of(&error), |()| ConnectionEnd::PlannedStop));
}

/// Returns what a connection's error tells of its end. The error itself affects only its caller.
fn end_of(error: &hyper::Error) -> ConnectionEnd {
    match error {
        error if error.is_timeout() => ConnectionEnd::HeadTimeout,
        error if error.is_parse() => ConnectionEnd::BadRequest,
        error if error.is_incomplete_message() => ConnectionEnd::Caller,
        _ => ConnectionEnd::Failed,
    }
}

/// Minimum read buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 16 << 10;

async fn handle(
    gateway: Arc<Gateway>,
    record: &Arc<ConnectionRecord>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let in_flight = gateway.shared.begin_request();
    let mut request_log = RequestLog::new(gateway.clone());
    let attempt = attempt_id(&gateway, request.headers());
    let answer = record.begin_request(attempt.clone());
    let (method, has_body) = (request.method().clone(), !request.body().is_end_stream());
    let mut is_early = false;
    request_log.set_info(RequestInfo { attempt, ..RequestInfo::default() });
    let mut response = match receive(&gateway, request.map(DiscardingBody::new)).await {
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
