//! Test helpers: a small fleet and commands that change it.
#![allow(dead_code)]

pub mod gateway;

use dockwood_api::resource::{Metadata, Resource, parse_resource};
use dockwood_state::{Applied, ChangeAction, ChangeRequest, Command, CommandBody, Outcome, State};
use serde_json::{Value, json};

/// Parses a resource from its JSON parts.
pub fn resource(kind: &str, name: &str, spec: Value) -> Resource {
    let body = json!({ "kind": kind, "metadata": { "name": name }, "spec": spec }).to_string();
    parse_resource(body.as_bytes()).unwrap_or_else(|error| panic!("{error}"))
}

/// A server in a domain.
pub fn server(number: usize, domain: &str) -> Resource {
    let address = format!("127.0.0.1:{}", 1_000 + number);
    resource("Server", &format!("m-{number}"), json!({ "address": address, "domain": domain, "zone": "z" }))
}

/// A deployment with four machines per replica.
pub fn deployment(name: &str, replicas: u32) -> Resource {
    let spec = json!({ "model": "model", "version": "v1", "replicas": replicas, "machinesPerReplica": 4 });
    resource("Deployment", name, spec)
}

/// Applies a command one millisecond after the previous one.
pub fn apply(state: &mut State, body: CommandBody) -> Applied {
    let at_ms = state.tables.now_ms + 1;
    state.apply(&Command { at_ms, body })
}

/// Applies an operator's change with a change id.
pub fn change(state: &mut State, change_id: &str, action: ChangeAction) -> Outcome {
    let content_digest = match &action {
        ChangeAction::Create(resource) | ChangeAction::Update(resource) | ChangeAction::Apply(resource) => {
            dockwood_api::digest::content_digest(format!("{resource:?}").as_bytes())
        }
        ChangeAction::Delete { key, .. } => dockwood_api::digest::content_digest(key.to_string().as_bytes()),
    };
    let request = ChangeRequest { change_id: change_id.to_string(), content_digest, action };
    apply(state, CommandBody::Change(request)).outcome
}

/// Applies a resource and panics unless it is stored.
pub fn store(state: &mut State, resource: Resource) -> Metadata {
    let id = format!("store-{}-{}", resource.key(), state.tables.revision);
    match change(state, &id, ChangeAction::Apply(resource)) {
        Outcome::Stored { resource, .. } => resource.metadata,
        other => panic!("{other:?}"),
    }
}

/// A model, a deployment, and `servers` machines, eight per domain.
pub fn fleet(servers: usize) -> State {
    let mut state = State::default();
    let versions = json!([{ "name": "v1", "weightsMib": 100 }, { "name": "v2", "weightsMib": 100 }]);
    store(&mut state, resource("Model", "model", json!({ "versions": versions, "contextTokens": 1000 })));
    store(&mut state, deployment("d", 2));
    for number in 0..servers {
        store(&mut state, server(number, &format!("domain-{}", number / 8)));
    }
    state
}

/// Server names of numbered machines.
pub fn machines(numbers: impl IntoIterator<Item = usize>) -> Vec<String> {
    numbers.into_iter().map(|number| format!("m-{number}")).collect()
}

/// Forms a replica of deployment `d` from numbered machines.
pub fn form(state: &mut State, numbers: impl IntoIterator<Item = usize>) -> Applied {
    let body = CommandBody::FormReplica {
        deployment: "d".to_string(),
        members: machines(numbers),
        reason: "test".to_string(),
    };
    apply(state, body)
}

/// Confirms the newest order of every machine.
pub fn confirm_orders(state: &mut State) {
    let orders: Vec<(String, u64)> =
        state.tables.orders.values().map(|order| (order.server.clone(), order.fence)).collect();
    for (server, fence) in orders {
        apply(state, CommandBody::OrderDone { server, fence });
    }
}
