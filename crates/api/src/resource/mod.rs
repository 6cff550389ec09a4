//! Resources of the API: kinds, metadata, specs and status, and their JSON representation.

mod json;
mod spec;
mod status;

pub use json::{ResourceView, parse_resource, spec_from_json, view_of};
pub use spec::{
    AdapterSpec, DeploymentSpec, Isolation, ModelSpec, ModelVersion, ServerSpec, ServiceServer, ServiceSpec,
    Spec, TenantLimits, TenantSpec,
};
pub use status::{Condition, Status};

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// Value of `apiVersion` in every resource.
pub const API_VERSION: &str = "dockwood/v1";
/// Path prefix of the resource API.
pub const API_PREFIX: &str = "/api/v1";

/// Kind of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// A model and its versions.
    Model,
    /// An adapter of one model version.
    Adapter,
    /// Replicas of one model version in one role.
    Deployment,
    /// A customer whose callers share limits and keys.
    Tenant,
    /// A machine that runs a model engine.
    Server,
    /// A plain service and its servers.
    Service,
    /// Read-only: machines that serve a deployment together.
    Replica,
    /// Read-only: a daemon of the fleet.
    Daemon,
    /// Read-only: a fenced order to a machine.
    Order,
    /// Read-only: a state change as recorded by one daemon.
    Event,
}

impl Kind {
    /// All kinds, writable ones first.
    pub const ALL: [Kind; 10] = [
        Kind::Model,
        Kind::Adapter,
        Kind::Deployment,
        Kind::Tenant,
        Kind::Server,
        Kind::Service,
        Kind::Replica,
        Kind::Daemon,
        Kind::Order,
        Kind::Event,
    ];

    /// Returns the plural name in lower case, as used in paths.
    pub const fn plural(self) -> &'static str {
        match self {
            Kind::Model => "models",
            Kind::Adapter => "adapters",
            Kind::Deployment => "deployments",
            Kind::Tenant => "tenants",
            Kind::Server => "servers",
            Kind::Service => "services",
            Kind::Replica => "replicas",
            Kind::Daemon => "daemons",
            Kind::Order => "orders",
            Kind::Event => "events",
        }
    }

    /// Returns the name as written in resources.
    pub const fn name(self) -> &'static str {
        match self {
            Kind::Model => "Model",
            Kind::Adapter => "Adapter",
            Kind::Deployment => "Deployment",
            Kind::Tenant => "Tenant",
            Kind::Server => "Server",
            Kind::Service => "Service",
            Kind::Replica => "Replica",
            Kind::Daemon => "Daemon",
            Kind::Order => "Order",
            Kind::Event => "Event",
        }
    }

    /// Whether operators may write resources of this kind.
    pub const fn is_writable(self) -> bool {
        !matches!(self, Kind::Replica | Kind::Daemon | Kind::Order | Kind::Event)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Kind {
    type Err = crate::ApiError;

    /// Accepts the singular or plural name in upper or lower case.
    fn from_str(text: &str) -> Result<Kind, Self::Err> {
        let lower = text.to_lowercase();
        Kind::ALL
            .into_iter()
            .find(|kind| kind.plural() == lower || kind.name().to_lowercase() == lower)
            .ok_or_else(|| crate::ApiError::new(crate::ResultCode::UnknownKind, format!("no kind '{text}'")))
    }
}

/// Key that identifies a resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource, unique within the kind.
    pub name: String,
}

impl ResourceKey {
    /// Creates a key from a kind and a name.
    pub fn new(kind: Kind, name: impl Into<String>) -> Self {
        ResourceKey { kind, name: name.into() }
    }
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.name().to_lowercase(), self.name)
    }
}

/// Metadata of a resource.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Metadata {
    /// Name, unique within the kind: lower-case letters, digits, `-` and `.`.
    pub name: String,
    /// Arbitrary labels for selection.
    pub labels: BTreeMap<String, String>,
    /// Assigned when the resource is created; never reused, not even for a resource with the same name.
    pub uid: String,
    /// Revision of the last change; 0 in a request matches any version.
    pub resource_version: u64,
    /// Incremented with every change of the spec.
    pub generation: u64,
    /// Time of creation, in milliseconds since the Unix epoch.
    pub created_ms: u64,
}

/// A resource as declared by operators and stored in the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Metadata.
    pub metadata: Metadata,
    /// Declared spec.
    pub spec: Spec,
}

impl Resource {
    /// Returns the key of the resource.
    pub fn key(&self) -> ResourceKey {
        ResourceKey::new(self.spec.kind(), self.metadata.name.clone())
    }
}

/// Maximum length of a resource name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Whether `name` is a valid resource name.
pub fn is_valid_name(name: &str) -> bool {
    let allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'.';
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.bytes().all(allowed)
        && name.as_bytes()[0].is_ascii_alphanumeric()
        && name.as_bytes()[name.len() - 1].is_ascii_alphanumeric()
}
