//! Listener and server setup.

use dockwood_listen::NoDelayAcceptor;
use poem::listener::Acceptor;
use poem::{Endpoint, IntoEndpoint, Server};
use std::net::SocketAddr;
use std::time::Duration;

/// Listens on an address.
pub async fn listen(address: SocketAddr) -> std::io::Result<NoDelayAcceptor> {
    tokio::net::TcpListener::bind(address).await.map(NoDelayAcceptor::new)
}

/// Serves until `stop` completes, and then drops all connections immediately, as when a process crashes.
pub async fn serve_until<E>(
    acceptor: impl Acceptor + 'static,
    endpoint: E,
    stop: impl Future<Output = ()> + Send + 'static,
) where
    E: IntoEndpoint,
    E::Endpoint: Endpoint + 'static,
{
    let served = Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(endpoint, stop, Some(Duration::ZERO))
        .await;
    if let Err(error) = served {
        eprintln!("HTTP server failed: {error}");
    }
}
