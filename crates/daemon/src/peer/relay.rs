//! Passes calls for the control leader on, for daemons that can't reach it themselves: where the paths to all members of
//! the control group are cut and those to other daemons are not, a daemon keeps its lease through one of them.

use crate::shared::Shared;
use dockwood_api::peer::PeerClient;
use dockwood_control::{LEASE_ANSWER_TIMEOUT_MS, LEASE_MS};
use dockwood_state::Liveness;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::time::Duration;
use tarpc::client::RpcError;
use tarpc::context::Context;

/// A daemon passes calls on only if its own lease was renewed this lately, in milliseconds: longer than two renewals are
/// apart, so that one without a path to the leader says so at once.
const FRESH_LEASE_MS: u64 = 1_200;
/// How long the leader may take; a little less than the daemon that asked waits.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(LEASE_ANSWER_TIMEOUT_MS - 50);

/// Makes a call at the leader for another daemon; `None` if this daemon doesn't reach it itself, or got no answer.
pub async fn relay<T, F, Call>(shared: &Shared, call: F) -> Option<T>
where
    F: FnOnce(PeerClient, Context) -> Call,
    Call: Future<Output = Result<T, RpcError>>,
{
    let leader = shared.leader()?;
    let is_fresh = shared.lease_left_ms() + FRESH_LEASE_MS >= LEASE_MS;
    // A call is passed on once only: this daemon's own path must not lead through another one.
    if !is_fresh || !shared.control_addresses().peers.contains(&leader) {
        return None;
    }
    match shared.peers.call(leader, ANSWER_TIMEOUT, call).await {
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

/// Some daemon that may pass calls on, drawn by chance.
pub fn pick_relay(shared: &Shared) -> Option<SocketAddr> {
    let tables = shared.tables();
    let members: Vec<std::net::IpAddr> =
        shared.control_addresses().peers.iter().map(SocketAddr::ip).collect();
    let others = tables.daemons.values().filter(|daemon| {
        let record = &daemon.record;
        let is_entry = record.frontend.is_some() && record.operators.is_none();
        // What is cut from a member of the control group is cut from all of its machine.
        let is_elsewhere = record.name != shared.settings.name && !members.contains(&record.peer.ip());
        is_entry && is_elsewhere && daemon.liveness == Liveness::Live
    });
    let addresses: Vec<SocketAddr> = others.map(|daemon| daemon.record.peer).collect();
    addresses.choose(&mut rand::rng()).copied()
}
