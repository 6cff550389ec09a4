//! Addresses of the members of the control group. They are cached and recomputed only when a daemon's row or the known
//! peers change, because every call to the leader needs them.

use crate::lock::lock;
use dockwood_state::{DaemonRow, Liveness, Tables};
use imbl::OrdMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Addresses of the control group, derived from one state of the tables.
#[derive(Clone, Debug, Default)]
pub struct ControlAddresses {
    /// Peer addresses at which the control group may be reached, sorted.
    pub peers: Vec<SocketAddr>,
    /// The daemons that accept operators' calls and servers' reports.
    pub members: Vec<ControlMember>,
}

/// A daemon that accepts operators' calls and servers' reports.
#[derive(Clone, Debug)]
pub struct ControlMember {
    /// Daemon name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Address for operators and servers.
    pub operators: SocketAddr,
    /// Whether it is live.
    pub is_reachable: bool,
}

/// Caches the addresses together with the inputs that they were derived from.
#[derive(Debug, Default)]
pub struct ControlDirectory {
    cached: Mutex<CachedAddresses>,
}

#[derive(Debug, Default)]
struct CachedAddresses {
    daemons: OrdMap<String, Arc<DaemonRow>>,
    known_peers: Vec<SocketAddr>,
    addresses: Arc<ControlAddresses>,
}

impl ControlDirectory {
    /// Returns the addresses derived from the tables, plus `known_peers`.
    pub fn addresses(&self, tables: &Tables, known_peers: &[SocketAddr]) -> Arc<ControlAddresses> {
        let mut cached = lock(&self.cached);
        let is_current = cached.daemons.ptr_eq(&tables.daemons) && cached.known_peers == known_peers;
        if !is_current {
            cached.addresses = Arc::new(derive_addresses(tables, known_peers));
            cached.daemons = tables.daemons.clone();
            cached.known_peers = known_peers.to_vec();
        }
        cached.addresses.clone()
    }
}

fn derive_addresses(tables: &Tables, known_peers: &[SocketAddr]) -> ControlAddresses {
    let member = |daemon: &Arc<DaemonRow>| {
        let record = &daemon.record;
        Some(ControlMember {
            name: record.name.clone(),
            zone: record.zone.clone(),
            peer: record.peer,
            operators: record.operators?,
            is_reachable: daemon.liveness == Liveness::Live,
        })
    };
    let members: Vec<ControlMember> = tables.daemons.values().filter_map(member).collect();
    let mut peers = known_peers.to_vec();
    peers.extend(members.iter().map(|member| member.peer));
    peers.sort_unstable();
    peers.dedup();
    ControlAddresses { peers, members }
}
