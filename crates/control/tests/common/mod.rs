//! Daemons that ask for leases.

#![allow(dead_code)]

pub mod leader;

use dockwood_api::peer::{DaemonRecord, LeaseRequest};

/// A daemon without a gateway.
pub fn record(name: &str) -> DaemonRecord {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    DaemonRecord {
        name: name.to_string(),
        http: address,
        peer: address,
        zone: "z".to_string(),
        region: "r".to_string(),
        frontend: None,
        operators: None,
    }
}

/// Its request for a lease.
pub fn request(name: &str, applied_revision: u64) -> LeaseRequest {
    LeaseRequest {
        daemon: record(name),
        incarnation: 1,
        applied_revision,
        in_force_revision: 0,
        wants_commands: true,
        leaving: false,
        at_once: false,
        in_flight: 0,
        stamp: Default::default(),
    }
}
