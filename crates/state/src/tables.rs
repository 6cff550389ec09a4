//! The replicated tables and their rows.

use crate::gateway::GatewayTables;
use dockwood_api::engine::{OrderAction, Role};
use dockwood_api::peer::DaemonRecord;
use dockwood_api::resource::{
    AdapterSpec, DeploymentSpec, Kind, ModelSpec, Resource, ResourceKey, ServerSpec, ServiceSpec, Spec,
    TenantSpec,
};
use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Liveness of a daemon, as the leader last observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// The daemon holds a lease and renews it.
    Live,
    /// The daemon is shutting down: it takes no new work, and its duties are reassigned.
    Leaving,
    /// The daemon's lease has expired.
    Lost,
    /// The daemon has not been heard from recently, but its lease may still be valid: callers are not directed to it, and
    /// it keeps its duties.
    Silent,
}

/// A daemon that has joined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRow {
    /// Name, addresses, zone and region.
    pub record: DaemonRecord,
    /// Distinguishes restarts.
    pub incarnation: u64,
    /// Its liveness.
    pub liveness: Liveness,
    /// Revision of the last change to this row.
    pub revision: u64,
    /// When `liveness` last changed, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// Lifecycle phase of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicaPhase {
    /// Some load orders of the current epoch are still pending.
    Loading,
    /// Every member has loaded; the replica serves while there is evidence that all members are alive.
    Serving,
    /// No new requests are admitted; requests in flight continue.
    Draining,
}

/// A group of machines that together serve a deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// Resource name; never reused.
    pub name: String,
    /// Deployment resource name, which is also the name of the pool.
    pub deployment: String,
    /// Role of the group.
    pub role: Role,
    /// Model resource name.
    pub model: String,
    /// Model version that the members load or have loaded.
    pub version: String,
    /// Adapters loaded with the model.
    pub adapters: Vec<String>,
    /// Incremented whenever the members or the loaded model and adapters change.
    pub epoch: u64,
    /// Server names, head first.
    pub members: Vec<String>,
    /// Fabric domain of all members.
    pub domain: String,
    /// Zone of the domain.
    pub zone: String,
    /// Lifecycle phase.
    pub phase: ReplicaPhase,
    /// The daemon that collects health evidence on the replica.
    pub watcher: Option<String>,
    /// Revision of the last change to this row.
    pub revision: u64,
    /// When `phase` or `epoch` last changed, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Reason of the last change, shown to operators.
    pub reason: String,
}

/// The replica that holds a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Replica resource name.
    pub replica: String,
    /// Epoch of the replica when it acquired the machine.
    pub epoch: u64,
}

/// Assignment of a machine, according to the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRow {
    /// The highest fence ever issued for the machine.
    pub fence: u64,
    /// The replica that holds the machine.
    pub holder: Option<Holder>,
}

/// State of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OrderState {
    /// Sent repeatedly until the machine confirms it.
    Pending,
    /// Confirmed by the machine.
    Done,
}

/// The newest order to a machine; its fence supersedes all older orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// Order id.
    pub id: String,
    /// Server resource name.
    pub server: String,
    /// Fencing token of the order.
    pub fence: u64,
    /// Requested action.
    pub action: OrderAction,
    /// Whether the machine has confirmed it.
    pub state: OrderState,
    /// Revision of the last change to this row.
    pub revision: u64,
    /// When it was issued, in milliseconds since the Unix epoch.
    pub issued_ms: u64,
}

/// Daemons that coordinate a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// The daemon that grants slots.
    pub coordinator: Option<String>,
    /// The daemon that takes over if the coordinator fails.
    pub standby: Option<String>,
    /// Incremented with every change of coordinator.
    pub term: u64,
}

/// All tables that are replicated to every daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tables {
    /// Number of configuration commands applied.
    pub revision: u64,
    /// Time of the newest command, in milliseconds since the Unix epoch; monotonic.
    pub now_ms: u64,
    /// Resources declared by operators.
    pub resources: BTreeMap<ResourceKey, Arc<Resource>>,
    /// Daemons by name.
    pub daemons: OrdMap<String, Arc<DaemonRow>>,
    /// Replicas by name.
    pub replicas: BTreeMap<String, Arc<ReplicaRow>>,
    /// Machines by server name.
    pub machines: BTreeMap<String, MachineRow>,
    /// The newest order of each machine, by server name.
    pub orders: BTreeMap<String, Arc<OrderRow>>,
    /// Pools by deployment name.
    pub pools: BTreeMap<String, PoolRow>,
    /// Number in the name of the newest replica.
    pub next_replica: u64,
    /// The gateway's tables.
    pub gateway: GatewayTables,
}

macro_rules! typed_access {
    ($getter:ident, $lister:ident, $kind:ident, $spec:ty, $noun:literal) => {
        #[doc = concat!("The spec of a ", $noun, ", if it exists.")]
        pub fn $getter(&self, name: &str) -> Option<&$spec> {
            match &self.resource(Kind::$kind, name)?.spec {
                Spec::$kind(spec) => Some(spec),
                _ => None,
            }
        }

        #[doc = concat!("Every ", $noun, " with its name, sorted by name.")]
        pub fn $lister(&self) -> impl Iterator<Item = (&str, &$spec)> {
            self.of_kind(Kind::$kind).filter_map(|resource| match &resource.spec {
                Spec::$kind(spec) => Some((resource.metadata.name.as_str(), spec)),
                _ => None,
            })
        }
    };
}

impl Tables {
    typed_access!(model, models, Model, ModelSpec, "model");
    typed_access!(adapter, adapters, Adapter, AdapterSpec, "adapter");
    typed_access!(deployment, deployments, Deployment, DeploymentSpec, "deployment");
    typed_access!(tenant, tenants, Tenant, TenantSpec, "tenant");
    typed_access!(server, servers, Server, ServerSpec, "server");
    typed_access!(service, services, Service, ServiceSpec, "service");

    /// A resource declared by an operator, if it exists.
    pub fn resource(&self, kind: Kind, name: &str) -> Option<&Arc<Resource>> {
        self.resources.get(&ResourceKey::new(kind, name))
    }

    /// All declared resources of a kind, sorted by name.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Arc<Resource>> {
        let first = ResourceKey::new(kind, "");
        self.resources
            .range(first..)
            .take_while(move |(key, _)| key.kind == kind)
            .map(|(_, resource)| resource)
    }

    /// Replicas of one deployment, sorted by name.
    pub fn replicas_of<'a>(&'a self, deployment: &'a str) -> impl Iterator<Item = &'a Arc<ReplicaRow>> {
        self.replicas.values().filter(move |replica| replica.deployment == deployment)
    }

    /// Whether a machine is held by no replica and has confirmed its last order.
    pub fn is_free(&self, server: &str) -> bool {
        let held = self.machines.get(server).is_some_and(|machine| machine.holder.is_some());
        let pending = self.orders.get(server).is_some_and(|order| order.state == OrderState::Pending);
        !held && !pending
    }

    /// Daemons that are live or silent, sorted by name: those that keep their duties.
    pub fn live_daemons(&self) -> impl Iterator<Item = &Arc<DaemonRow>> {
        self.daemons.values().filter(|daemon| matches!(daemon.liveness, Liveness::Live | Liveness::Silent))
    }

    /// Daemons that were heard from recently, sorted by name: those that callers may be directed to.
    pub fn reachable_daemons(&self) -> impl Iterator<Item = &Arc<DaemonRow>> {
        self.daemons.values().filter(|daemon| daemon.liveness == Liveness::Live)
    }
}
