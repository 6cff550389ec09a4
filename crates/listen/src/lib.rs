//! Accepts HTTP connections with Nagle's algorithm disabled (`TCP_NODELAY`).
//!
//! A streamed response is written in small pieces: the head, then each token. With Nagle's algorithm, the second
//! piece is delayed until the first one is acknowledged, which may take up to 40 ms if the client uses delayed
//! acknowledgements. The HTTP library leaves the algorithm enabled; the acceptor of this crate disables it and
//! changes nothing else.

use poem::Addr;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use std::io;
use tokio::net::{TcpListener, TcpStream};

/// Acceptor on a listening socket.
#[derive(Debug)]
pub struct NoDelayAcceptor {
    listener: TcpListener,
}

impl NoDelayAcceptor {
    /// Creates an acceptor from a socket that is already listening.
    pub fn new(listener: TcpListener) -> Self {
        NoDelayAcceptor { listener }
    }
}

impl Acceptor for NoDelayAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        let address = self.listener.local_addr().ok();
        address.map(|address| LocalAddr(Addr::SocketAddr(address))).into_iter().collect()
    }

    async fn accept(&mut self) -> io::Result<(TcpStream, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, remote) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let local = LocalAddr(Addr::SocketAddr(stream.local_addr()?));
        Ok((stream, local, RemoteAddr(Addr::SocketAddr(remote)), Scheme::HTTP))
    }
}
