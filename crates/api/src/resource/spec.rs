//! Specs of the kinds that operators write. Bounds are checked by `garde`; references between resources are
//! checked by the replicated state, which alone sees them all.

use super::Kind;
use crate::engine::Role;
use garde::Validate;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an operator declares, by kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Spec {
    /// See [`ModelSpec`].
    Model(ModelSpec),
    /// See [`AdapterSpec`].
    Adapter(AdapterSpec),
    /// See [`DeploymentSpec`].
    Deployment(DeploymentSpec),
    /// See [`TenantSpec`].
    Tenant(TenantSpec),
    /// See [`ServerSpec`].
    Server(ServerSpec),
    /// See [`ServiceSpec`].
    Service(ServiceSpec),
}

impl Spec {
    /// The kind that this is the spec of.
    pub const fn kind(&self) -> Kind {
        match self {
            Spec::Model(_) => Kind::Model,
            Spec::Adapter(_) => Kind::Adapter,
            Spec::Deployment(_) => Kind::Deployment,
            Spec::Tenant(_) => Kind::Tenant,
            Spec::Server(_) => Kind::Server,
            Spec::Service(_) => Kind::Service,
        }
    }

    /// Checks bounds; each line of the answer names a field and what is wrong with it.
    pub fn check(&self) -> Result<(), String> {
        let report = match self {
            Spec::Model(spec) => spec.validate(),
            Spec::Adapter(spec) => spec.validate(),
            Spec::Deployment(spec) => spec.validate(),
            Spec::Tenant(spec) => spec.validate(),
            Spec::Server(spec) => spec.validate(),
            Spec::Service(spec) => spec.validate(),
        };
        report.map_err(|report| {
            let lines: Vec<String> =
                report.iter().map(|(path, error)| format!("spec.{path}: {error}")).collect();
            lines.join("; ")
        })
    }
}

/// A model and the versions that may be served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ModelSpec {
    /// At least one version.
    #[garde(length(min = 1, max = 64), dive)]
    pub versions: Vec<ModelVersion>,
    /// Longest prompt and answer together, in tokens.
    #[garde(range(min = 1, max = 10_000_000))]
    pub context_tokens: u32,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ModelVersion {
    /// Name of the version.
    #[garde(length(min = 1, max = 63))]
    pub name: String,
    /// Size of all weights, in MiB.
    #[garde(range(min = 1, max = 100_000_000))]
    pub weights_mib: u64,
}

/// An adapter that runs on one version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct AdapterSpec {
    /// Model resource name.
    #[garde(length(min = 1, max = 63))]
    pub model: String,
    /// Version of that model.
    #[garde(length(min = 1, max = 63))]
    pub version: String,
    /// Size in MiB.
    #[garde(range(min = 1, max = 1_000_000))]
    pub size_mib: u64,
}

/// What a fleet does when daemons lose the control group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Isolation {
    /// Take no new work without a configuration lease.
    #[default]
    Refuse,
    /// Serve on with the last configuration; it may be outdated, and status says so.
    ServeLast,
}

/// Replicas of one model version in one role.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct DeploymentSpec {
    /// Model resource name.
    #[garde(length(min = 1, max = 63))]
    pub model: String,
    /// Version to serve.
    #[garde(length(min = 1, max = 63))]
    pub version: String,
    /// Adapters to load beside the model.
    #[serde(default)]
    #[garde(length(max = 256))]
    pub adapters: Vec<String>,
    /// Role of the replicas.
    #[serde(default)]
    #[garde(skip)]
    pub role: Role,
    /// Replicas that should serve.
    #[garde(range(max = 16))]
    pub replicas: u32,
    /// Machines of each replica, all in one fabric domain.
    #[garde(range(min = 4, max = 32))]
    pub machines_per_replica: u32,
    /// Tenants that may use it; empty means all.
    #[serde(default)]
    #[garde(length(max = 10_000))]
    pub tenants: Vec<String>,
    /// Requests that one replica runs at once.
    #[serde(default = "default_slots")]
    #[garde(range(min = 1, max = 4096))]
    pub slots_per_replica: u32,
    /// Requests that may wait for a slot.
    #[serde(default = "default_queue")]
    #[garde(range(max = 1_000_000))]
    pub queue_limit: u32,
    /// What to do without the control group.
    #[serde(default)]
    #[garde(skip)]
    pub isolation: Isolation,
}

const fn default_slots() -> u32 {
    32
}

const fn default_queue() -> u32 {
    2048
}

/// A paying group of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TenantSpec {
    /// 0 is served first.
    #[garde(range(max = 7))]
    pub tier: u8,
    /// Share within the tier.
    #[serde(default = "default_weight")]
    #[garde(range(min = 1, max = 1000))]
    pub weight: u32,
    /// Limits over all entries together.
    #[serde(default)]
    #[garde(dive)]
    pub limits: TenantLimits,
    /// Keys of the callers: plain when written, digests when read.
    #[garde(length(min = 1, max = 100), inner(length(min = 8, max = 200)))]
    pub keys: Vec<String>,
}

const fn default_weight() -> u32 {
    1
}

/// Limits of one tenant; 0 means none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct TenantLimits {
    /// Requests a second.
    #[garde(range(max = 1_000_000))]
    pub requests_per_second: u32,
    /// Prompt and answer tokens a second.
    #[garde(range(max = 1_000_000_000))]
    pub tokens_per_second: u32,
    /// Requests queued or running at once.
    #[garde(range(max = 1_000_000))]
    pub concurrency: u32,
}

/// A machine with a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServerSpec {
    /// Engine address.
    #[garde(skip)]
    pub address: SocketAddr,
    /// Fabric domain; a replica lies within one.
    #[garde(length(min = 1, max = 63))]
    pub domain: String,
    /// Zone.
    #[garde(length(min = 1, max = 63))]
    pub zone: String,
    /// Whether the machine refuses orders below the highest fence that it has seen.
    #[serde(default = "default_true")]
    #[garde(skip)]
    pub checks_fences: bool,
    /// Take the machine out of service without cutting a request.
    #[serde(default)]
    #[garde(skip)]
    pub drain: bool,
}

const fn default_true() -> bool {
    true
}

/// A plain service, routed to without a coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServiceSpec {
    /// Its servers.
    #[garde(length(max = 1000), dive)]
    pub servers: Vec<ServiceServer>,
    /// Calls that one server runs at once, by each daemon.
    #[serde(default = "default_slots")]
    #[garde(range(min = 1, max = 100_000))]
    pub slots_per_server: u32,
    /// Tenants that may use it; empty means all.
    #[serde(default)]
    #[garde(length(max = 10_000))]
    pub tenants: Vec<String>,
}

/// One server of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServiceServer {
    /// Name, unique within the service.
    #[garde(length(min = 1, max = 63))]
    pub name: String,
    /// HTTP address.
    #[garde(skip)]
    pub address: SocketAddr,
    /// Zone.
    #[garde(length(min = 1, max = 63))]
    pub zone: String,
    /// No new calls; those in flight go on.
    #[serde(default)]
    #[garde(skip)]
    pub drain: bool,
}
