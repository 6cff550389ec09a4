//! Where the members of the control group are reached, made anew only when a daemon's row or the seeds have changed:
//! every call to the leader asks for it.

use crate::lock::lock;
use dockwood_state::{DaemonRow, Liveness, Tables};
use imbl::OrdMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The control group's addresses as they were made from one state of the tables.
#[derive(Clone, Debug, Default)]
pub struct ControlAddresses {
    /// Peer addresses at which the control group can be asked for, sorted.
    pub peers: Vec<SocketAddr>,
    /// The daemons among them that take operators and servers.
    pub members: Vec<ControlMember>,
}

/// A daemon that takes operators and servers.
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
    /// It was heard lately.
    pub is_reachable: bool,
}

/// Keeps the newest addresses with what they were made from.
#[derive(Debug, Default)]
pub struct ControlDirectory {
    made: Mutex<Made>,
}

#[derive(Debug, Default)]
struct Made {
    daemons: OrdMap<String, Arc<DaemonRow>>,
    known_peers: Vec<SocketAddr>,
    addresses: Arc<ControlAddresses>,
}

impl ControlDirectory {
    /// The addresses by the tables, and `known_peers` beside them.
    pub fn addresses(&self, tables: &Tables, known_peers: &[SocketAddr]) -> Arc<ControlAddresses> {
        let mut made = lock(&self.made);
        let is_current = made.daemons.ptr_eq(&tables.daemons) && made.known_peers == known_peers;
        if !is_current {
            made.addresses = Arc::new(addresses(tables, known_peers));
            made.daemons = tables.daemons.clone();
            made.known_peers = known_peers.to_vec();
        }
        made.addresses.clone()
    }
}

fn addresses(tables: &Tables, known_peers: &[SocketAddr]) -> ControlAddresses {
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
