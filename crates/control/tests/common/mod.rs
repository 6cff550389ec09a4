//! Fixtures for daemons that request leases.

#![allow(dead_code)]

pub mod fleet;
pub mod group;
pub mod leader;

use dockwood_api::gateway::InstanceState;
use dockwood_api::peer::{DaemonRecord, LeaseRequest};
use dockwood_state::{Command, CommandBody, GatewayCommand, InstanceRow, encode_command};

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

/// A lease request of the daemon with this name.
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

/// A change that is relevant to all daemons: the `count`th changed report of a server.
pub fn server_report_command(at_ms: u64, count: u64) -> Vec<u8> {
    let row = InstanceRow {
        id: "plain".to_string(),
        started_ms: None,
        service: "s".to_string(),
        address: std::net::SocketAddr::from(([127, 0, 0, 9], 1)),
        zone: "z".to_string(),
        slots: 1 + (count % 2) as u32,
        state: InstanceState::Ready,
        is_cold: false,
        domain: None,
    };
    encode_command(&Command { at_ms, body: CommandBody::Gateway(GatewayCommand::Register(row)) })
}
