//! Connections to other daemons: one each, made when first used and again after a failure.

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

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

quick_error! {
    /// Why a call to a daemon has no answer.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PeerFailure {
        /// No connection: the call did not reach the daemon.
        Unreachable {
            display("the daemon can't be reached")
        }
        /// The connection broke, or the time ran out: the call may have been carried out.
        NoAnswer {
            display("the daemon did not answer")
        }
    }
}

/// Clients by address.
#[derive(Default)]
pub struct PeerClients {
    clients: Mutex<HashMap<SocketAddr, PeerClient>>,
}

impl PeerClients {
    fn clients(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
        lock(&self.clients)
    }

    async fn connected(&self, address: SocketAddr) -> Result<PeerClient, PeerFailure> {
        if let Some(client) = self.clients().get(&address) {
            return Ok(client.clone());
        }
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else { return Err(PeerFailure::Unreachable) };
        let transport = peer_transport(stream).map_err(|_| PeerFailure::Unreachable)?;
        let client = PeerClient::new(tarpc::client::Config::default(), transport).spawn();
        self.clients().insert(address, client.clone());
        Ok(client)
    }

    /// Makes one call. A broken connection is dropped, so that the next call connects anew.
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
        let client = self.connected(address).await?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + limit;
        // The client's own deadline begins once the request is written: to a peer that doesn't read, it never is.
        match tokio::time::timeout(limit, call(client, context)).await {
            Ok(Ok(answer)) => Ok(answer),
            // Also after a time-out: behind a cut that has healed, an old connection may take long to come back.
            Ok(Err(_)) | Err(_) => {
                self.clients().remove(&address);
                Err(PeerFailure::NoAnswer)
            }
        }
    }
}
