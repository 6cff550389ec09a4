//! Resources as the API presents them: the spec with a status computed from the tables.

use crate::tables::{DaemonRow, Liveness, OrderRow, OrderState, ReplicaPhase, ReplicaRow, Tables};
use dockwood_api::resource::{
    API_VERSION, Condition, DeploymentSpec, Kind, Metadata, Resource, ResourceKey, ResourceView, Spec,
    Status, view_of,
};
use serde_json::{Value, json};

/// The view of one resource, if it exists.
pub fn view(tables: &Tables, in_force_revision: u64, key: &ResourceKey) -> Option<ResourceView> {
    match key.kind {
        Kind::Replica => tables.replicas.get(&key.name).map(|row| replica_view(row, in_force_revision)),
        Kind::Daemon => tables.daemons.get(&key.name).map(|row| daemon_view(row, in_force_revision)),
        Kind::Order => {
            let order = tables.orders.values().find(|order| order.id == key.name);
            order.map(|row| order_view(row, in_force_revision))
        }
        Kind::Event => None,
        _ => tables.resources.get(key).map(|resource| resource_view(tables, resource, in_force_revision)),
    }
}

/// Names of all resources of a kind, in the order of their table.
pub fn names(tables: &Tables, kind: Kind) -> Vec<String> {
    match kind {
        Kind::Replica => tables.replicas.keys().cloned().collect(),
        Kind::Daemon => tables.daemons.keys().cloned().collect(),
        Kind::Order => tables.orders.values().map(|order| order.id.clone()).collect(),
        Kind::Event => Vec::new(),
        _ => tables.of_kind(kind).map(|resource| resource.metadata.name.clone()).collect(),
    }
}

/// The view of a resource as a change stored it; the tables may hold a newer version by now.
pub fn view_of_stored(tables: &Tables, in_force_revision: u64, resource: &Resource) -> ResourceView {
    resource_view(tables, resource, in_force_revision)
}

fn resource_view(tables: &Tables, resource: &Resource, in_force_revision: u64) -> ResourceView {
    let metadata = &resource.metadata;
    let mut status = Status {
        observed_generation: metadata.generation,
        in_force: metadata.resource_version <= in_force_revision,
        ..Status::default()
    };
    match &resource.spec {
        Spec::Deployment(spec) => deployment_status(tables, &metadata.name, spec, &mut status),
        Spec::Server(_) => server_status(tables, &metadata.name, &mut status),
        _ => {}
    }
    view_of(resource, status)
}

fn deployment_status(tables: &Tables, name: &str, spec: &DeploymentSpec, status: &mut Status) {
    let replicas: Vec<_> = tables.replicas_of(name).collect();
    let current = |replica: &&&std::sync::Arc<ReplicaRow>| replica.version == spec.version;
    let serving =
        replicas.iter().filter(|replica| replica.phase == ReplicaPhase::Serving).filter(current).count();
    let complete = serving >= spec.replicas as usize;
    let reason = if complete { "AllServing" } else { "TooFewServing" };
    let message = format!("{serving} of {} replicas serve version {}", spec.replicas, spec.version);
    status.conditions.push(Condition::new("Serving", complete, reason, message));
    let pool = tables.pools.get(name);
    status.detail = json!({
        "servingReplicas": serving,
        "replicas": replicas.iter().map(|replica| replica.name.clone()).collect::<Vec<_>>(),
        "coordinator": pool.and_then(|pool| pool.coordinator.clone()),
        "standby": pool.and_then(|pool| pool.standby.clone()),
    });
}

fn server_status(tables: &Tables, name: &str, status: &mut Status) {
    let machine = tables.machines.get(name);
    let holder = machine.and_then(|machine| machine.holder.as_ref());
    let (reason, message) = match holder {
        Some(holder) => {
            ("InReplica", format!("held by replica {} at epoch {}", holder.replica, holder.epoch))
        }
        None if tables.is_free(name) => ("Free", "in no replica".to_string()),
        None => ("Releasing", "in no replica; has not confirmed its release".to_string()),
    };
    status.conditions.push(Condition::new("Assigned", holder.is_some(), reason, message));
    status.detail = json!({
        "replica": holder.map(|holder| holder.replica.clone()),
        "fence": machine.map_or(0, |machine| machine.fence),
    });
}

fn read_only_view(kind: Kind, name: &str, revision: u64, created_ms: u64, status: Status) -> ResourceView {
    let metadata =
        Metadata { name: name.to_string(), resource_version: revision, created_ms, ..Metadata::default() };
    ResourceView { api_version: API_VERSION.to_string(), kind, metadata, spec: Value::Null, status }
}

fn replica_view(row: &ReplicaRow, in_force_revision: u64) -> ResourceView {
    let (reason, serving) = match row.phase {
        ReplicaPhase::Loading => ("Loading", false),
        ReplicaPhase::Serving => ("Serving", true),
        ReplicaPhase::Draining => ("Draining", false),
    };
    let status = Status {
        observed_generation: row.epoch,
        in_force: row.revision <= in_force_revision,
        conditions: vec![Condition::new("Serving", serving, reason, row.reason.clone())],
        detail: json!({
            "deployment": row.deployment, "model": row.model, "version": row.version, "role": row.role,
            "adapters": row.adapters, "epoch": row.epoch, "members": row.members, "domain": row.domain,
            "zone": row.zone, "watcher": row.watcher, "sinceMs": row.since_ms,
        }),
    };
    read_only_view(Kind::Replica, &row.name, row.revision, row.since_ms, status)
}

fn daemon_view(row: &DaemonRow, in_force_revision: u64) -> ResourceView {
    let (reason, live) = match row.liveness {
        Liveness::Live => ("Live", true),
        Liveness::Leaving => ("Leaving", false),
        Liveness::Lost => ("Lost", false),
        Liveness::Silent => ("Silent", false),
    };
    let status = Status {
        observed_generation: row.incarnation,
        in_force: row.revision <= in_force_revision,
        conditions: vec![Condition::new("Live", live, reason, "")],
        detail: json!({
            "http": row.record.http, "peer": row.record.peer, "zone": row.record.zone,
            "region": row.record.region, "sinceMs": row.since_ms,
        }),
    };
    read_only_view(Kind::Daemon, &row.record.name, row.revision, row.since_ms, status)
}

fn order_view(row: &OrderRow, in_force_revision: u64) -> ResourceView {
    let done = row.state == OrderState::Done;
    let reason = if done { "Done" } else { "Pending" };
    let status = Status {
        observed_generation: row.fence,
        in_force: row.revision <= in_force_revision,
        conditions: vec![Condition::new("Done", done, reason, "")],
        detail: json!({ "server": row.server, "fence": row.fence, "action": row.action }),
    };
    read_only_view(Kind::Order, &row.id, row.revision, row.issued_ms, status)
}
