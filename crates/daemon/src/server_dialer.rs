//! Establishes connections to servers. Tests replace it to cut one daemon off from servers that others reach.

use futures::FutureExt;
use futures::future::BoxFuture;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Establishes connections from this daemon to servers.
pub trait ServerDialer: Send + Sync {
    /// Connects to a server.
    fn dial(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>>;
}

/// Connects over the network of this machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

impl ServerDialer for TcpDialer {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> {
        TcpStream::connect(address).boxed()
    }
}
