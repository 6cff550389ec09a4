//! Reports to the leader which daemons have asked this voter for leases.

use super::ControlMessage;
use crate::shared::Shared;
use dockwood_api::peer::{DelegatedRequest, DelegationAnswer, PeerClient};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long the leader may take: daemons give up an answer that takes some times as long.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Makes a voter's calls.
pub struct Delegation {
    shared: Arc<Shared>,
    runtime: tokio::runtime::Handle,
}

impl Delegation {
    /// Calls are made on this runtime.
    pub fn new(shared: Arc<Shared>, runtime: tokio::runtime::Handle) -> Delegation {
        Delegation { shared, runtime }
    }

    /// Makes the call with this number; what comes of it goes to the control thread.
    pub fn send(&self, leader: SocketAddr, number: u64, requests: Vec<DelegatedRequest>) {
        let shared = self.shared.clone();
        self.runtime.spawn(async move {
            let answer = call(&shared, leader, requests).await;
            shared.control.send(ControlMessage::Delegated { number, answer }).await;
        });
    }
}

async fn call(
    shared: &Shared,
    leader: SocketAddr,
    requests: Vec<DelegatedRequest>,
) -> Option<DelegationAnswer> {
    shared.metrics.delegated_leases.inc_by(requests.len() as u64);
    let call = |client: PeerClient, context| async move { client.delegate_leases(context, requests).await };
    match shared.voter_peers.call(leader, CALL_TIMEOUT, call).await {
        Ok(answer) => Some(answer),
        Err(_) => {
            shared.metrics.peer_failures.inc();
            None
        }
    }
}
