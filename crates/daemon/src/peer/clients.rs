//! Connections to other daemons: one per daemon, established on first use and again after a failure.

use super::transport::peer_transport;
use crate::lock::lock;
use dockwood_api::peer::PeerClient;
use quick_error::quick_error;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::net::TcpStream;

/// Time limit to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

quick_error! {
    /// Why a call to a daemon returned no response.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PeerFailure {
        /// The connection could not be established: the call did not reach the daemon.
        Unreachable {
            display("the daemon can't be reached")
        }
        /// The connection failed, or the time limit passed: the call may have been executed.
        NoAnswer {
            display("the daemon did not answer")
        }
    }
}

/// Clients by daemon address.
#[derive(Default)]
pub struct PeerClients {
    clients: Mutex<HashMap<SocketAddr, PeerClient>>,
}

impl PeerClients {
    fn clients(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
        lock(&self.clients)
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerClient, PeerFailure> {
        if let Some(client) = self.clients().get(&address) {
            return Ok(client.clone());
        }
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else { return Err(PeerFailure::Unreachable) };
        stream.set_nodelay(true).map_err(|_| PeerFailure::Unreachable)?;
        let client = PeerClient::new(tarpc::client::Config::default(), peer_transport(stream)).spawn();
        self.clients().insert(address, client.clone());
        Ok(client)
    }

    /// Makes one call. After a failure the connection is dropped, so that the next call establishes a new one.
    pub async fn call<T, F, Call>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: F,
    ) -> Result<T, PeerFailure>
    where
        F: FnOnce(PeerClient, Context) -> Call,
        Call: Future<Output = Result<T, RpcError>>,
    {
        let client = self.connect(address).await?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + limit;
        // The client's own deadline begins only when the request has been written, which never happens if the peer does
        // not read.
        match tokio::time::timeout(limit, call(client, context)).await {
            Ok(Ok(answer)) => Ok(answer),
            // Also after a timeout: when a network partition has ended, an old connection may take long to recover.
            Ok(Err(_)) | Err(_) => {
                self.clients().remove(&address);
                Err(PeerFailure::NoAnswer)
            }
        }
    }
}
