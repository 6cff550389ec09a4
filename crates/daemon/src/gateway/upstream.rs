//! Connections to servers. A connection carries one request at a time; whatever arrives on it that belongs to no
//! request ends it. It is used again only after a whole answer.
//!
//! hyper is used directly: `reqwest` doesn't show whether a request reached its connection, and can't end a connection
//! together with its request.

use crate::lock::lock;
use crate::pushback::SendPermit;
use crate::suspects::{CHECK_LIMIT, is_refusal};
use bytes::Bytes;
use dockwood_routing::gateway::SendOutcome;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How long a connection may take to be made.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// A connection that has rested longer than this is not used again: servers close theirs after some time.
const REST_LIMIT: Duration = Duration::from_millis(1_500);
/// Resting connections kept for one server.
const RESTING_PER_SERVER: usize = 4;

/// Why no connection was made. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFault {
    /// The server's machine refused it: no process listens there.
    Refused,
    /// No answer in time.
    Silent,
    /// Anything else, such as a want of descriptors here: tells nothing of the server.
    Failed,
}

/// One connection; it ends when this is dropped.
pub struct Upstream {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    address: SocketAddr,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Upstream {
    /// Connects.
    pub async fn connect(address: SocketAddr) -> Result<Upstream, ConnectFault> {
        let stream = match tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if is_refusal(&error) => {
                return Err(ConnectFault::Refused);
            }
            Ok(Err(_)) => return Err(ConnectFault::Failed),
            Err(_) => return Err(ConnectFault::Silent),
        };
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| ConnectFault::Failed)?;
        let driver = tokio::spawn(async move {
            // How it ended shows at the request that was on it.
            let _ = connection.await;
        });
        Ok(Upstream { sender, driver: driver.abort_handle(), address })
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request that may be written now, and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        _permit: &SendPermit,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.sender.send_request(request).await
    }
}

struct Resting {
    upstream: Upstream,
    since: Instant,
}

/// Connections that rest between requests.
#[derive(Default)]
pub struct ConnectionPool {
    resting: Mutex<HashMap<SocketAddr, Vec<Resting>>>,
}

impl ConnectionPool {
    /// A connection that rests, or a new one. `fresh` asks for a new one.
    pub async fn connection(&self, address: SocketAddr, fresh: bool) -> Result<Upstream, ConnectFault> {
        let resting = if fresh { None } else { self.take(address) };
        match resting {
            Some(upstream) => Ok(upstream),
            None => Upstream::connect(address).await,
        }
    }

    /// Whether the process at an address has ended: its machine refuses connections. A cut, a machine without power, a
    /// slow server and one that only broke a connection off do not; a connection that is made is kept.
    pub async fn has_ended(&self, address: SocketAddr) -> bool {
        match tokio::time::timeout(CHECK_LIMIT, Upstream::connect(address)).await {
            Ok(Ok(upstream)) => {
                self.keep(upstream);
                false
            }
            Ok(Err(fault)) => fault == ConnectFault::Refused,
            Err(_) => false,
        }
    }

    /// How a send ended whose connection broke while the server had the request.
    pub async fn broken(&self, address: SocketAddr) -> SendOutcome {
        if self.has_ended(address).await { SendOutcome::ServerEnded } else { SendOutcome::Unknown }
    }

    fn take(&self, address: SocketAddr) -> Option<Upstream> {
        let mut pool = lock(&self.resting);
        let connections = pool.get_mut(&address)?;
        while let Some(resting) = connections.pop() {
            if resting.since.elapsed() < REST_LIMIT && resting.upstream.sender.is_ready() {
                return Some(resting.upstream);
            }
        }
        pool.remove(&address);
        None
    }

    /// Keeps a connection whose answer was read whole.
    pub fn keep(&self, upstream: Upstream) {
        if !upstream.sender.is_ready() {
            return;
        }
        let mut pool = lock(&self.resting);
        let connections = pool.entry(upstream.address).or_default();
        if connections.len() < RESTING_PER_SERVER {
            connections.push(Resting { upstream, since: Instant::now() });
        }
    }

    /// Ends connections that have rested too long.
    pub fn sweep(&self) {
        lock(&self.resting).retain(|_, connections| {
            connections.retain(|resting| resting.since.elapsed() < REST_LIMIT);
            !connections.is_empty()
        });
    }
}
