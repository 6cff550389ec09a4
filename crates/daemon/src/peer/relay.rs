//! Relays calls to the control leader for daemons that can't reach it themselves: a daemon that is cut off from all
//! members of the control group, but not from other daemons, keeps its lease through one of them.

use crate::shared::Shared;
use dockwood_api::peer::PeerClient;
use dockwood_control::{LEASE_ANSWER_TIMEOUT_MS, LEASE_MS};
use dockwood_state::Liveness;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::time::Duration;
use tarpc::client::RpcError;
use tarpc::context::Context;

/// A daemon relays calls only if its own lease was renewed within this time, in milliseconds. It is longer than the
/// interval between two renewals, so that a daemon without a connection to the leader refuses immediately.
const MAX_RENEWAL_AGE_MS: u64 = 1_200;
/// Time limit for the response of the leader: slightly less than the calling daemon waits.
const LEADER_TIMEOUT: Duration = Duration::from_millis(LEASE_ANSWER_TIMEOUT_MS - 50);

/// Makes a call to the leader for another daemon; `None` if this daemon does not reach the leader directly, or got no
/// response.
pub async fn relay<T, F, Call>(shared: &Shared, call: F) -> Option<T>
where
    F: FnOnce(PeerClient, Context) -> Call,
    Call: Future<Output = Result<T, RpcError>>,
{
    let leader = shared.leader()?;
    let was_renewed_recently = shared.lease_left_ms() + MAX_RENEWAL_AGE_MS >= LEASE_MS;
    // Only one hop: this daemon must not itself reach the leader through another relay.
    if !was_renewed_recently || !shared.control_addresses().peers.contains(&leader) {
        return None;
    }
    match shared.peers.call(leader, LEADER_TIMEOUT, call).await {
        Ok(answer) => {
            shared.metrics.relayed_calls.inc();
            Some(answer)
        }
        Err(_) => {
            shared.metrics.peer_failures.inc();
            None
        }
    }
}

/// Returns a random daemon that may relay calls.
pub fn pick_relay(shared: &Shared) -> Option<SocketAddr> {
    let tables = shared.tables();
    let members: Vec<std::net::IpAddr> =
        shared.control_addresses().peers.iter().map(SocketAddr::ip).collect();
    let others = tables.daemons.values().filter(|daemon| {
        let record = &daemon.record;
        let is_entry = record.frontend.is_some() && record.operators.is_none();
        // A daemon on the same machine as a member of the control group is cut off by the same network failure.
        let is_other_machine = record.name != shared.settings.name && !members.contains(&record.peer.ip());
        is_entry && is_other_machine && daemon.liveness == Liveness::Live
    });
    let addresses: Vec<SocketAddr> = others.map(|daemon| daemon.record.peer).collect();
    addresses.choose(&mut rand::rng()).copied()
}
