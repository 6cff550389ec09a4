//! State that the control thread publishes for all other threads: an immutable copy of the tables, and a routing table
//! derived from it.

use dockwood_api::resource::{DeploymentSpec, TenantSpec};
use dockwood_routing::{ChoicePolicy, PoolConfig, PoolReplica, TenantShare};
use dockwood_state::{ReplicaPhase, Tables};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// A destination for requests that specify a model name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Pool, which has the name of its deployment.
    pub pool: String,
    /// Adapter to use, if the model name is that of an adapter.
    pub adapter: Option<String>,
}

/// Routes by model or adapter name, tenants by key digest.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    routes: HashMap<String, Vec<Route>>,
    tenants_by_key: HashMap<String, String>,
}

/// One published version of the state.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// The tables.
    pub tables: Arc<Tables>,
    /// Newest revision known to be in force everywhere.
    pub in_force_revision: u64,
    /// Routes derived from the tables.
    pub routing: Arc<RoutingTable>,
}

impl RoutingTable {
    /// Builds the routes that the resources in the tables declare.
    pub fn build(tables: &Tables) -> RoutingTable {
        let mut table = RoutingTable::default();
        for (name, spec) in tables.deployments() {
            let route =
                |adapter: Option<&String>| Route { pool: name.to_string(), adapter: adapter.cloned() };
            table.routes.entry(spec.model.clone()).or_default().push(route(None));
            for adapter in &spec.adapters {
                table.routes.entry(adapter.clone()).or_default().push(route(Some(adapter)));
            }
        }
        for (name, spec) in tables.tenants() {
            for key in &spec.keys {
                table.tenants_by_key.insert(key.clone(), name.to_string());
            }
        }
        table
    }

    /// Returns the tenant of a presented key.
    pub fn tenant_of(&self, key: &str) -> Option<&str> {
        // A presented key is always hashed, even if it looks like a digest.
        let digest = dockwood_api::digest::presented_digest(key);
        self.tenants_by_key.get(&digest).map(String::as_str)
    }

    /// Returns the routes for a model or adapter name.
    pub fn routes(&self, model: &str) -> &[Route] {
        self.routes.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns all model and adapter names that have a route.
    pub fn models(&self) -> impl Iterator<Item = &str> {
        self.routes.keys().map(String::as_str)
    }
}

impl Published {
    /// Returns whether a tenant may use a deployment.
    pub fn may_use(&self, tenant: &str, deployment: &str) -> bool {
        self.tables.deployment(deployment).is_some_and(|spec| is_allowed(tenant, &spec.tenants))
    }

    /// Returns the routes that a tenant may use for a model name, in descending order of serving replicas.
    pub fn routes_for(&self, tenant: &str, model: &str) -> Vec<Route> {
        let allowed = self.routing.routes(model).iter().filter(|route| self.may_use(tenant, &route.pool));
        let mut routes: Vec<Route> = allowed.cloned().collect();
        routes.sort_by_key(|route| std::cmp::Reverse(self.serving_replicas(&route.pool)));
        routes
    }

    fn serving_replicas(&self, deployment: &str) -> usize {
        let serving =
            self.tables.replicas_of(deployment).filter(|replica| replica.phase == ReplicaPhase::Serving);
        serving.count()
    }

    /// Returns the address of the head of a replica, its first member.
    pub fn head_of(&self, members: &[String]) -> Option<SocketAddr> {
        self.tables.server(members.first()?).map(|server| server.address)
    }

    /// Returns the configuration of a pool for its coordinator.
    pub fn pool_config(&self, name: &str, spec: &DeploymentSpec) -> PoolConfig {
        let replicas = self.tables.replicas_of(name).filter_map(|replica| {
            Some(PoolReplica {
                name: replica.name.clone(),
                epoch: replica.epoch,
                head: self.head_of(&replica.members)?,
                serving: replica.phase == ReplicaPhase::Serving,
                draining: replica.phase == ReplicaPhase::Draining,
            })
        });
        let tenants = self.tables.tenants().filter(|(tenant, _)| is_allowed(tenant, &spec.tenants));
        PoolConfig {
            term: self.tables.pools.get(name).map_or(0, |pool| pool.term),
            slots_per_replica: spec.slots_per_replica,
            queue_limit: spec.queue_limit,
            declared_replicas: spec.replicas,
            replicas: replicas.collect(),
            tenants: tenants
                .map(|(tenant, spec)| (tenant.to_string(), share_of(spec)))
                .collect::<BTreeMap<_, _>>(),
            policy: ChoicePolicy::default(),
        }
    }
}

/// Returns whether a list of allowed tenants contains a tenant; an empty list allows all.
pub fn is_allowed(tenant: &str, allowed: &[String]) -> bool {
    allowed.is_empty() || allowed.iter().any(|name| name == tenant)
}

fn share_of(spec: &TenantSpec) -> TenantShare {
    TenantShare { tier: spec.tier, weight: spec.weight, limits: spec.limits }
}
