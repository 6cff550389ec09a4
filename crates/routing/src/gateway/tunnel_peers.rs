//! The order in which daemons are tried for a tunnel to a server.

use crate::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long a daemon that could not provide a tunnel is tried only after the others.
const AVOID_PEER_MS: Millis = 1_000;

/// A daemon through which a tunnel may lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TunnelPeer {
    /// Its peer address.
    pub address: SocketAddr,
    /// Whether it is in the zone of this daemon or of the server, so that the tunnel crosses no zone boundary
    /// that a direct connection would not cross.
    pub is_near: bool,
}

/// Daemons that recently could not provide a tunnel.
#[derive(Clone, Debug, Default)]
pub struct TunnelPeers {
    avoided_until: BTreeMap<SocketAddr, Millis>,
}

impl TunnelPeers {
    /// Records that a daemon could not provide a tunnel.
    pub fn failed(&mut self, now: Millis, peer: SocketAddr) {
        self.avoided_until.retain(|_, until| now < *until);
        self.avoided_until.insert(peer, now + AVOID_PEER_MS);
    }

    /// The daemons in the order in which they are to be tried. `shuffled` are all of them in random order, so that
    /// the load is spread.
    pub fn order(&self, now: Millis, mut shuffled: Vec<TunnelPeer>) -> Vec<SocketAddr> {
        let is_avoided =
            |peer: &TunnelPeer| self.avoided_until.get(&peer.address).is_some_and(|at| now < *at);
        shuffled.sort_by_key(|peer| (is_avoided(peer), !peer.is_near));
        shuffled.into_iter().map(|peer| peer.address).collect()
    }
}
