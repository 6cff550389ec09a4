//! Specs of the kinds that operators write. `garde` checks the ranges of values; references between resources
//! are checked by the replicated state, which is the only place where all resources are known.

use super::Kind;
use crate::engine::Role;
use garde::Validate;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Spec of a resource, by kind.
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
    /// Returns the kind of resource that the spec belongs to.
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

    /// Validates the ranges of all values. The error lists each invalid field with its problem.
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

/// A model and its versions that may be served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ModelSpec {
    /// Versions; at least one.
    #[garde(length(min = 1, max = 64), dive)]
    pub versions: Vec<ModelVersion>,
    /// Maximum length of prompt and response combined, in tokens.
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
    /// Total size of the weights, in MiB.
    #[garde(range(min = 1, max = 100_000_000))]
    pub weights_mib: u64,
}

/// An adapter for one version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct AdapterSpec {
    /// Model resource name.
    #[garde(length(min = 1, max = 63))]
    pub model: String,
    /// Model version.
    #[garde(length(min = 1, max = 63))]
    pub version: String,
    /// Size in MiB.
    #[garde(range(min = 1, max = 1_000_000))]
    pub size_mib: u64,
}

/// Behaviour of daemons that can't reach the control group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Isolation {
    /// Accept no new requests without a configuration lease.
    #[default]
    Refuse,
    /// Continue with the last known configuration, which may be outdated; the status shows this.
    ServeLast,
}

/// Replicas of one model version in one role.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct DeploymentSpec {
    /// Model resource name.
    #[garde(length(min = 1, max = 63))]
    pub model: String,
    /// Model version to serve.
    #[garde(length(min = 1, max = 63))]
    pub version: String,
    /// Adapters to load in addition to the model.
    #[serde(default)]
    #[garde(length(max = 256))]
    pub adapters: Vec<String>,
    /// Role of the replicas.
    #[serde(default)]
    #[garde(skip)]
    pub role: Role,
    /// Desired number of replicas.
    #[garde(range(max = 16))]
    pub replicas: u32,
    /// Number of machines per replica, all in one fabric domain.
    #[garde(range(min = 4, max = 32))]
    pub machines_per_replica: u32,
    /// Tenants that may use it; empty for all.
    #[serde(default)]
    #[garde(length(max = 10_000))]
    pub tenants: Vec<String>,
    /// Maximum number of requests that a replica runs concurrently.
    #[serde(default = "default_slots")]
    #[garde(range(min = 1, max = 4096))]
    pub slots_per_replica: u32,
    /// Maximum number of requests that wait for a slot.
    #[serde(default = "default_queue")]
    #[garde(range(max = 1_000_000))]
    pub queue_limit: u32,
    /// Behaviour if the control group can't be reached.
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

/// A customer whose callers share limits and keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TenantSpec {
    /// Priority tier; 0 is served first.
    #[garde(range(max = 7))]
    pub tier: u8,
    /// Weight for sharing capacity within the tier.
    #[serde(default = "default_weight")]
    #[garde(range(min = 1, max = 1000))]
    pub weight: u32,
    /// Limits over all entries combined.
    #[serde(default)]
    #[garde(dive)]
    pub limits: TenantLimits,
    /// Keys of the callers: plain text when written, digests when read.
    #[garde(length(min = 1, max = 100), inner(length(min = 8, max = 200)))]
    pub keys: Vec<String>,
}

const fn default_weight() -> u32 {
    1
}

/// Limits of a tenant; 0 for unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct TenantLimits {
    /// Requests per second.
    #[garde(range(max = 1_000_000))]
    pub requests_per_second: u32,
    /// Prompt and response tokens per second.
    #[garde(range(max = 1_000_000_000))]
    pub tokens_per_second: u32,
    /// Maximum number of requests that are queued or running at a time.
    #[garde(range(max = 1_000_000))]
    pub concurrency: u32,
}

/// A machine that runs a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServerSpec {
    /// Engine address.
    #[garde(skip)]
    pub address: SocketAddr,
    /// Fabric domain; all machines of a replica are in the same one.
    #[garde(length(min = 1, max = 63))]
    pub domain: String,
    /// Zone.
    #[garde(length(min = 1, max = 63))]
    pub zone: String,
    /// Whether the machine rejects orders with a fence below the highest one that it has seen.
    #[serde(default = "default_true")]
    #[garde(skip)]
    pub checks_fences: bool,
    /// Whether to take the machine out of service without interrupting requests.
    #[serde(default)]
    #[garde(skip)]
    pub drain: bool,
}

const fn default_true() -> bool {
    true
}

/// A plain service, to which requests are routed without a coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServiceSpec {
    /// Servers of the service.
    #[garde(length(max = 1000), dive)]
    pub servers: Vec<ServiceServer>,
    /// Maximum number of concurrent calls from each daemon to one server.
    #[serde(default = "default_slots")]
    #[garde(range(min = 1, max = 100_000))]
    pub slots_per_server: u32,
    /// Tenants that may use it; empty for all.
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
    /// Whether to send no new calls; those in flight continue.
    #[serde(default)]
    #[garde(skip)]
    pub drain: bool,
}
