//! Selects the daemons through which a tunnel is tried.

use super::client::{TunnelStream, open_tunnel};
use super::protocol::{TunnelReply, TunnelRequest};
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::shared::Shared;
use dockwood_routing::gateway::TunnelPeer;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of daemons that are tried for one connection.
const MAX_PEERS: usize = 6;
/// If a daemon has not replied after this time, the next one is tried as well.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(30);
/// Maximum time that another daemon takes to connect to the server, in milliseconds: several times the round trip within
/// a region.
const CONNECT_WITHIN_MS: u64 = 80;

/// If this many daemons that reach other servers do not reach this one, it is considered to be gone. One of them may be cut
/// off from a part of the servers without knowing it yet.
const DAEMONS_THAT_DECIDE: usize = 3;

/// Why there is no tunnel to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTunnel {
    /// Other daemons do not reach the server either.
    ServerNotReached,
    /// No daemon could provide a tunnel, so it is not known whether the server or the path has failed.
    NoPeer,
}

/// Opens a tunnel to a server through any daemon that reaches it.
///
/// # Errors
/// Why there is none.
pub async fn connect_by_tunnel(
    shared: &Shared,
    server: SocketAddr,
    lifetime: Duration,
) -> Result<TunnelStream, NoTunnel> {
    let request = TunnelRequest {
        server,
        connect_within_ms: CONNECT_WITHIN_MS,
        lifetime_ms: lifetime.as_millis() as u64,
    };
    let mut candidates = candidates(shared, server).into_iter().take(MAX_PEERS);
    let mut attempts = FuturesUnordered::new();
    let mut not_reached = Vec::new();
    loop {
        attempts.extend(candidates.next().map(|peer| try_peer(peer, request)));
        if attempts.is_empty() {
            return Err(NoTunnel::NoPeer);
        }
        tokio::select! {
            Some((peer, ended)) = attempts.next() => match ended {
                PeerAttempt::Connected(stream) => {
                    not_reached.into_iter().for_each(|peer| record_failed(shared, peer));
                    return Ok(stream);
                }
                PeerAttempt::ServerNotReached => not_reached.push(peer),
                PeerAttempt::Unavailable => record_failed(shared, peer),
            },
            () = tokio::time::sleep(NEXT_PEER_DELAY), if candidates.len() > 0 => {}
        }
        if not_reached.len() >= DAEMONS_THAT_DECIDE {
            return Err(NoTunnel::ServerNotReached);
        }
    }
}

/// How the attempt at one daemon has ended.
enum PeerAttempt {
    Connected(TunnelStream),
    /// The daemon reaches other servers, but not this one.
    ServerNotReached,
    /// The daemon did not reply, or provides no tunnel.
    Unavailable,
}

async fn try_peer(peer: SocketAddr, request: TunnelRequest) -> (SocketAddr, PeerAttempt) {
    let attempt = match open_tunnel(peer, request).await {
        Ok(Ok(stream)) => PeerAttempt::Connected(stream),
        Ok(Err(TunnelReply::NotReached { reaches_others: true, .. })) => PeerAttempt::ServerNotReached,
        Ok(Err(_)) | Err(_) => PeerAttempt::Unavailable,
    };
    (peer, attempt)
}

fn record_failed(shared: &Shared, peer: SocketAddr) {
    lock(&shared.tunnel_peers).failed(monotonic_ms(), peer);
}

/// Returns the live entries on other machines, in the order in which they are to be tried.
fn candidates(shared: &Shared, server: SocketAddr) -> Vec<SocketAddr> {
    let tables = shared.tables();
    let own_ip = shared.settings.peer.ip();
    let near_zones = [Some(shared.settings.zone.as_str()), tables.gateway.zone_of_server(server)];
    let is_candidate = |record: &&dockwood_api::peer::DaemonRecord| {
        // A daemon on the same machine is cut off by the same network failure.
        record.frontend.is_some() && record.peer.ip() != own_ip
    };
    let mut peers: Vec<TunnelPeer> = tables
        .reachable_daemons()
        .map(|daemon| &daemon.record)
        .filter(is_candidate)
        .map(|record| TunnelPeer {
            address: record.peer,
            is_near: near_zones.contains(&Some(record.zone.as_str())),
        })
        .collect();
    peers.shuffle(&mut rand::rng());
    lock(&shared.tunnel_peers).order(monotonic_ms(), peers)
}
