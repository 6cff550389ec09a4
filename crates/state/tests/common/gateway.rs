//! Test helpers: commands on the gateway's tables.

#![allow(dead_code)]

use dockwood_api::gateway::InstanceState;
use dockwood_state::{Command, CommandBody, GatewayCommand, GroupPurpose, InstanceRow, Outcome, State};

pub fn apply(state: &mut State, command: GatewayCommand) -> Outcome {
    state.apply(&Command { at_ms: 1, body: CommandBody::Gateway(command) }).outcome
}

pub fn row(id: &str, port: u16) -> InstanceRow {
    InstanceRow {
        started_ms: None,
        id: id.to_string(),
        service: "s".to_string(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "z".to_string(),
        slots: 4,
        state: InstanceState::Ready,
        is_cold: false,
        domain: Some("d".to_string()),
    }
}

pub fn register(state: &mut State, id: &str, port: u16) -> Outcome {
    apply(state, GatewayCommand::Register(row(id, port)))
}

pub fn form(state: &mut State, members: &[&str]) -> Outcome {
    let members = members.iter().map(|id| id.to_string()).collect();
    let (service, model) = ("s".to_string(), "m".to_string());
    apply(
        state,
        GatewayCommand::Form { service, model, members, purpose: GroupPurpose::Serve, reason: String::new() },
    )
}
