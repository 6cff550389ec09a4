//! Calls daemons that have not asked this leader for a lease, and tells them where it is.

use crate::shared::Shared;
use dockwood_api::peer::PeerClient;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long a daemon may take: less than the time after which it is called again.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Makes the leader's calls.
pub struct Announcer {
    shared: Arc<Shared>,
    runtime: tokio::runtime::Handle,
}

impl Announcer {
    /// Calls are made on this runtime.
    pub fn new(shared: Arc<Shared>, runtime: tokio::runtime::Handle) -> Announcer {
        Announcer { shared, runtime }
    }

    /// Tells these daemons that this one leads. Calls that fail are repeated by whoever asks for them.
    pub fn call(&self, daemons: &[SocketAddr], term: u64) {
        self.shared.metrics.leader_calls.inc_by(daemons.len() as u64);
        for daemon in daemons.iter().copied() {
            self.runtime.spawn(call(self.shared.clone(), daemon, term));
        }
    }
}

async fn call(shared: Arc<Shared>, daemon: SocketAddr, term: u64) {
    let leader = shared.settings.peer;
    let call =
        |client: PeerClient, context| async move { client.leader_elected(context, leader, term).await };
    if shared.peers.call(daemon, CALL_TIMEOUT, call).await.is_err() {
        shared.metrics.peer_failures.inc();
    }
}
