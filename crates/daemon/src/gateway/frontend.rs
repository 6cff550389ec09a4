//! Takes callers' connections.
//!
//! hyper is used directly: `poem` doesn't let a connection be told to end after its answer, which a planned stop needs.

use super::account::{About, RequestAccount};
use super::body::AnswerBody;
use super::receive::{attempt_of, receive};
use super::serving::ACCEPT_PAUSE;
use super::{Gateway, plain, stream};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Added to the limits' idle time: a caller that keeps to it never meets a closing connection.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time between two looks at connections to servers that rest too long.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

/// Accepts until a planned stop closes connections.
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
        tokio::time::sleep(SWEEP_EVERY).await;
        gateway.pool.sweep();
    }
}

async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let limits = gateway.routes.load().limits;
    let mut stopping = gateway.stopping.subscribe();
    let service = service_fn(move |request| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(answer(gateway, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms) + IDLE_MARGIN)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // A caller that breaks off concerns nobody else.
        _ = connection.as_mut() => return,
        _ = stopping.wait_for(|stopping| *stopping) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Smallest read buffer that the library takes.
const MIN_BUFFER_BYTES: usize = 16 << 10;

async fn answer(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let in_flight = gateway.shared.begin_request();
    let mut account = RequestAccount::new(gateway.clone());
    let attempt = attempt_of(&gateway, request.headers());
    account.describe(About { attempt, ..About::default() });
    let mut response = match receive(&gateway, request).await {
        Ok(received) => {
            gateway.count_request(&received.service.name);
            account.describe(received.about());
            if received.is_stream() || received.service.engine.is_some() {
                stream::answer(&gateway, received, account, in_flight).await
            } else {
                plain::answer(&gateway, &received, account).await
            }
        }
        Err(refusal) => {
            account.end(refusal.code);
            refusal.answer()
        }
    };
    // Callers find the other entries by the directory.
    if gateway.shared.is_leaving() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
