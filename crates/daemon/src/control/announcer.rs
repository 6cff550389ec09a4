//! Announces this leader to daemons that have not requested a lease from it.

use crate::shared::Shared;
use dockwood_api::peer::PeerClient;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time limit of a call: less than the interval after which it is repeated.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends the leader's announcements.
pub struct Announcer {
    shared: Arc<Shared>,
    runtime: tokio::runtime::Handle,
}

impl Announcer {
    /// Creates an announcer that makes its calls on `runtime`.
    pub fn new(shared: Arc<Shared>, runtime: tokio::runtime::Handle) -> Announcer {
        Announcer { shared, runtime }
    }

    /// Announces to `daemons` that this daemon leads in `term`. Failed calls are not retried here; the control logic
    /// requests them again.
    pub fn announce(&self, daemons: &[SocketAddr], term: u64) {
        self.shared.metrics.leader_calls.inc_by(daemons.len() as u64);
        for daemon in daemons.iter().copied() {
            self.runtime.spawn(send_announcement(self.shared.clone(), daemon, term));
        }
    }
}

async fn send_announcement(shared: Arc<Shared>, daemon: SocketAddr, term: u64) {
    let leader = shared.settings.peer;
    let call =
        |client: PeerClient, context| async move { client.leader_elected(context, leader, term).await };
    if shared.peers.call(daemon, CALL_TIMEOUT, call).await.is_err() {
        shared.metrics.peer_failures.inc();
    }
}
