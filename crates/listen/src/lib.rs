//! Accepts HTTP connections without Nagle's algorithm.
//!
//! An answer that is streamed is written in small pieces: the head, then each token. With Nagle's algorithm the
//! second piece waits until the first is acknowledged, which a client may put off for 40 ms. The HTTP library
//! leaves the algorithm on; this crate's acceptor turns it off. It does nothing else.

use poem::Addr;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use std::io;
use tokio::net::{TcpListener, TcpStream};

/// An acceptor over a listening socket.
#[derive(Debug)]
pub struct PromptAcceptor {
    listener: TcpListener,
}

impl PromptAcceptor {
    /// Accepts on a socket that listens already.
    pub fn new(listener: TcpListener) -> Self {
        PromptAcceptor { listener }
    }
}

impl Acceptor for PromptAcceptor {
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
