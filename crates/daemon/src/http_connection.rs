//! Serves clients' HTTP connections within the limits of their listener.
//!
//! hyper is used directly: `poem` can neither bound the heads of requests nor close a single connection after its current
//! response.

use crate::connection_slots::{ConnectionSlot, ConnectionSlots, RequestGuard};
use crate::guarded_body::GuardedBody;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Minimum size of a connection's read buffer, which bounds the heads of requests, in bytes.
const MIN_BUFFER_BYTES: usize = 16 << 10;
/// Pause after a failed accept, during which file descriptors may become free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Maximum time in which a displaced connection writes the rest of its last response.
const DISPLACED_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits on one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum time from the end of a request to the end of the next one's head.
    pub idle_timeout: Duration,
}

/// Why a connection was closed.
#[derive(Debug)]
pub enum Closed {
    /// The client closed it, or sent what is no request, or was too slow.
    ByClient(hyper::Error),
    /// It was closed after its last response.
    Complete,
    /// It was closed to make room for another one.
    Displaced,
}

/// Accepts connections until `stopping` is set. `serve` is called for each that gets a slot; the others are closed.
pub async fn accept<Serving>(
    listener: TcpListener,
    slots: Arc<ConnectionSlots>,
    mut stopping: watch::Receiver<bool>,
    serve: impl Fn(TcpStream, Arc<ConnectionSlot>) -> Serving,
) where
    Serving: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if let Some(slot) = slots.admit() {
            // Without it, only the delay of small responses is affected.
            let _ = stream.set_nodelay(true);
            tokio::spawn(serve(stream, Arc::new(slot)));
        }
    }
}

/// Serves the requests on one connection until the client closes it, or it is displaced, or `stopping` is set. `handle` keeps
/// the guard as long as it may read the body of its request.
pub async fn serve_connection<Io, Handle, Handling, B>(
    io: Io,
    slot: Arc<ConnectionSlot>,
    limits: ConnectionLimits,
    mut stopping: watch::Receiver<bool>,
    handle: Handle,
) -> Closed
where
    Io: AsyncRead + AsyncWrite + Unpin,
    Handle: Fn(Request<Incoming>, RequestGuard) -> Handling,
    Handling: Future<Output = Response<B>>,
    B: Body + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let served = slot.clone();
    let service = service_fn(move |request| {
        let guard = served.begin_request();
        // On the heap, so that an idle connection does not occupy the memory of a request.
        let handling = Box::pin(handle(request, guard.clone()));
        async move { Ok::<_, Infallible>(handling.await.map(|body| GuardedBody::new(body, guard))) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(io), service);
    let mut connection = std::pin::pin!(connection);
    let is_displaced = tokio::select! {
        ended = connection.as_mut() => return closed_by_client(ended),
        () = slot.displaced() => true,
        _ = stopping.wait_for(|stopping| *stopping) => false,
    };
    if is_displaced && slot.is_receiving() {
        // No server has the request, as its body is not complete.
        return Closed::Displaced;
    }
    if !is_displaced {
        // The runtime polls the sockets, so that a request that has arrived is answered before its connection is closed.
        tokio::task::yield_now().await;
        if let Poll::Ready(ended) = futures::poll!(connection.as_mut()) {
            return closed_by_client(ended);
        }
    }
    // hyper would wait for its first request.
    if slot.received_requests() > 0 {
        connection.as_mut().graceful_shutdown();
        let may_cut = is_displaced && !slot.has_request();
        let limit = if may_cut { DISPLACED_TIMEOUT } else { Duration::MAX };
        if let Ok(ended) = tokio::time::timeout(limit, connection).await
            && ended.is_err()
        {
            return closed_by_client(ended);
        }
    }
    if is_displaced { Closed::Displaced } else { Closed::Complete }
}

fn closed_by_client(ended: hyper::Result<()>) -> Closed {
    ended.map_or_else(Closed::ByClient, |()| Closed::Complete)
}
