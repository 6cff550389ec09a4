//! Reports to the leader the daemons that requested leases from this voter.

use super::ControlMessage;
use crate::shared::Shared;
use dockwood_api::peer::{DelegatedRequest, DelegationAnswer, PeerClient};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time limit of a call: a fraction of the time after which daemons stop waiting for their lease.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Sends a voter's delegated lease requests to the leader.
pub struct Delegation {
    shared: Arc<Shared>,
    runtime: tokio::runtime::Handle,
}

impl Delegation {
    /// Creates a sender that makes its calls on `runtime`.
    pub fn new(shared: Arc<Shared>, runtime: tokio::runtime::Handle) -> Delegation {
        Delegation { shared, runtime }
    }

    /// Sends batch `number`; the result arrives as [`ControlMessage::Delegated`].
    pub fn send(&self, leader: SocketAddr, number: u64, requests: Vec<DelegatedRequest>) {
        let shared = self.shared.clone();
        self.runtime.spawn(async move {
            let answer = report_requests(&shared, leader, requests).await;
            shared.control.send(ControlMessage::Delegated { number, answer }).await;
        });
    }
}

async fn report_requests(
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
