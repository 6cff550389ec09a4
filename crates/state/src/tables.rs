//! Rows of the replicated tables.

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

/// Whether a daemon takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// It holds or renews leases.
    Live,
    /// It is stopping: no new work, its duties move away.
    Leaving,
    /// Its lease ran out.
    Lost,
    /// Nothing was heard of it lately, and its lease may still run: callers are not sent to it, its duties stay.
    Silent,
}

/// A daemon that has joined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRow {
    /// Name, addresses and place.
    pub record: DaemonRecord,
    /// Distinguishes restarts.
    pub incarnation: u64,
    /// Whether it takes part.
    pub liveness: Liveness,
    /// Revision of the last change to this row.
    pub revision: u64,
    /// When `liveness` last changed, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// Where a replica stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicaPhase {
    /// Load orders of the current epoch are not all carried out.
    Loading,
    /// Every member is loaded; it serves while there is evidence that all are alive.
    Serving,
    /// No new work; requests in flight go on.
    Draining,
}

/// Machines that serve a deployment together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// Resource name, unique over all time.
    pub name: String,
    /// Deployment resource name; names the pool too.
    pub deployment: String,
    /// Role of the group.
    pub role: Role,
    /// Model resource name.
    pub model: String,
    /// Model version it loads or has loaded.
    pub version: String,
    /// Adapters loaded beside the model.
    pub adapters: Vec<String>,
    /// Grows with every change of membership or content.
    pub epoch: u64,
    /// Server names, head first.
    pub members: Vec<String>,
    /// Fabric domain of all members.
    pub domain: String,
    /// Zone of the domain.
    pub zone: String,
    /// Where it stands.
    pub phase: ReplicaPhase,
    /// The daemon that gathers evidence on it.
    pub watcher: Option<String>,
    /// Revision of the last change to this row.
    pub revision: u64,
    /// When `phase` or `epoch` last changed, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Why it is as it is: the last operator's reason.
    pub reason: String,
}

/// The replica that holds a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Replica resource name.
    pub replica: String,
    /// Its epoch when it took the machine.
    pub epoch: u64,
}

/// What the log has assigned a machine to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRow {
    /// The highest fence that was ever issued.
    pub fence: u64,
    /// The replica that holds it.
    pub holder: Option<Holder>,
}

/// Whether an order was carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OrderState {
    /// To be sent until it is answered.
    Pending,
    /// The machine confirmed it.
    Done,
}

/// The newest order to a machine; an older one is superseded by its fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// Identifies the order.
    pub id: String,
    /// Server resource name.
    pub server: String,
    /// Fence it is sent with.
    pub fence: u64,
    /// What it asks for.
    pub action: OrderAction,
    /// Whether it was carried out.
    pub state: OrderState,
    /// Revision of the last change to this row.
    pub revision: u64,
    /// When it was issued, in milliseconds since the Unix epoch.
    pub issued_ms: u64,
}

/// Duties of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// The daemon that grants slots.
    pub coordinator: Option<String>,
    /// The daemon that takes over.
    pub standby: Option<String>,
    /// Grows with every change of coordinator.
    pub term: u64,
}

/// All replicated tables that every daemon holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tables {
    /// Number of configuration commands applied.
    pub revision: u64,
    /// Time of the newest command, in milliseconds since the Unix epoch; never goes back.
    pub now_ms: u64,
    /// Desired resources.
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
    /// Number in the name of the next replica.
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

        #[doc = concat!("Every ", $noun, " with its name, in order of name.")]
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

    /// A desired resource, if it exists.
    pub fn resource(&self, kind: Kind, name: &str) -> Option<&Arc<Resource>> {
        self.resources.get(&ResourceKey::new(kind, name))
    }

    /// All desired resources of a kind, in order of name.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Arc<Resource>> {
        let first = ResourceKey::new(kind, "");
        self.resources
            .range(first..)
            .take_while(move |(key, _)| key.kind == kind)
            .map(|(_, resource)| resource)
    }

    /// Replicas of one deployment, in order of name.
    pub fn replicas_of<'a>(&'a self, deployment: &'a str) -> impl Iterator<Item = &'a Arc<ReplicaRow>> {
        self.replicas.values().filter(move |replica| replica.deployment == deployment)
    }

    /// Whether a machine is held by no replica and has carried out its last order.
    pub fn is_free(&self, server: &str) -> bool {
        let held = self.machines.get(server).is_some_and(|machine| machine.holder.is_some());
        let pending = self.orders.get(server).is_some_and(|order| order.state == OrderState::Pending);
        !held && !pending
    }

    /// Daemons that take part, in order of name.
    pub fn live_daemons(&self) -> impl Iterator<Item = &Arc<DaemonRow>> {
        self.daemons.values().filter(|daemon| matches!(daemon.liveness, Liveness::Live | Liveness::Silent))
    }

    /// Daemons that take part and were heard lately, in order of name: those that callers may be sent to.
    pub fn reachable_daemons(&self) -> impl Iterator<Item = &Arc<DaemonRow>> {
        self.daemons.values().filter(|daemon| daemon.liveness == Liveness::Live)
    }
}
