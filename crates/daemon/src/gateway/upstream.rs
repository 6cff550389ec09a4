//! Connections to servers. A connection carries one request at a time, and is closed if it receives data that belongs
//! to no request. It is reused only after a complete response.
//!
//! hyper is used directly: `reqwest` doesn't report whether a request reached its connection, and can't close a
//! connection together with its request.

use crate::lock::lock;
use crate::pushback::SendPermit;
use crate::server_connections::{ServerStream, connect_to_server};
use crate::shared::Shared;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::AbortHandle;

/// A connection that has been idle for longer than this is not reused, because servers close idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Size of the buffer for a server's response, which bounds what is read ahead of the caller, and the head of the response.
pub const SERVER_BUFFER_BYTES: usize = 32 << 10;
/// Maximum number of idle connections per server.
const MAX_IDLE_PER_SERVER: usize = 4;

/// Why no connection was established. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum ConnectFault {
    /// The server's machine refused it: no process listens there.
    Refused,
    /// There was no response in time.
    Silent,
    /// Any other failure, such as a lack of file descriptors in this process; it says nothing about the server.
    Failed,
}

/// The head of a response that has not arrived yet.
pub type PendingResponse = Pin<Box<dyn Future<Output = Result<Response<Incoming>, hyper::Error>> + Send>>;

/// One connection, which is closed on drop.
pub struct Upstream {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    address: SocketAddr,
    /// Whether it leads through another daemon, which closes it after a time.
    is_tunnel: bool,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Upstream {
    /// Establishes a connection, which is needed for `lifetime` at most.
    pub async fn connect(
        shared: &Arc<Shared>,
        address: SocketAddr,
        lifetime: Duration,
    ) -> Result<Upstream, ConnectFault> {
        match connect_to_server(shared, address, lifetime).await? {
            ServerStream::Direct(stream) => Upstream::handshake(stream, address, false).await,
            ServerStream::Tunnel(stream) => Upstream::handshake(stream, address, true).await,
        }
    }

    async fn handshake<Stream>(
        stream: Stream,
        address: SocketAddr,
        is_tunnel: bool,
    ) -> Result<Upstream, ConnectFault>
    where
        Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let handshake =
            http1::Builder::new().max_buf_size(SERVER_BUFFER_BYTES).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| ConnectFault::Failed)?;
        let driver = tokio::spawn(async move {
            // An error is reported by the request on the connection.
            let _ = connection.await;
        });
        Ok(Upstream { sender, driver: driver.abort_handle(), address, is_tunnel })
    }

    /// Sends a request, and returns the head of the response once it has arrived. The request is written whether or not
    /// the result is awaited. The permit proves that it may be written now.
    pub fn send(&mut self, request: Request<Full<Bytes>>, _permit: &SendPermit) -> PendingResponse {
        Box::pin(self.sender.send_request(request))
    }
}

struct IdleConnection {
    upstream: Upstream,
    since: Instant,
}

/// Idle connections between requests.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Returns an idle connection or establishes a new one, which is needed for `lifetime` at most; always a new one if
    /// `needs_new` is set.
    pub async fn connection(
        &self,
        shared: &Arc<Shared>,
        address: SocketAddr,
        needs_new: bool,
        lifetime: Duration,
    ) -> Result<Upstream, ConnectFault> {
        // Idle connections over a path that is cut may never answer.
        let needs_new = needs_new || shared.server_paths().is_cut(address);
        let idle = if needs_new { None } else { self.take(address) };
        match idle {
            Some(upstream) => Ok(upstream),
            None => Upstream::connect(shared, address, lifetime).await,
        }
    }

    fn take(&self, address: SocketAddr) -> Option<Upstream> {
        let mut pool = lock(&self.idle);
        let connections = pool.get_mut(&address)?;
        while let Some(idle) = connections.pop() {
            if idle.since.elapsed() < IDLE_TIMEOUT && idle.upstream.sender.is_ready() {
                return Some(idle.upstream);
            }
        }
        pool.remove(&address);
        None
    }

    /// Returns a connection to the pool after its response was read completely.
    pub fn release(&self, upstream: Upstream) {
        if upstream.is_tunnel || !upstream.sender.is_ready() {
            return;
        }
        let mut pool = lock(&self.idle);
        let connections = pool.entry(upstream.address).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(IdleConnection { upstream, since: Instant::now() });
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        lock(&self.idle).retain(|_, connections| {
            connections.retain(|idle| idle.since.elapsed() < IDLE_TIMEOUT);
            !connections.is_empty()
        });
    }
}
