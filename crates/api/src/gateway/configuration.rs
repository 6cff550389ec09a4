//! The gateway's configuration: accepted or refused as a whole, ordered by its version.

use serde::{Deserialize, Serialize};

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    AtMostOnce,
    /// Answers with a series of events; runs at most once unless it is resumable.
    Stream,
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service name.
    pub service: String,
    /// Relative weight.
    pub weight: u32,
}

/// Requests of one host below one path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Host, without port.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Services that take the requests.
    pub services: Vec<WeightedService>,
    /// Longest time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time to the answer, or to the first event, that counts as timely, in milliseconds.
    pub target_latency_ms: u64,
    /// Longest pause between events that counts as timely, in milliseconds; 0 if none is declared.
    pub target_gap_ms: u64,
    /// Most servers that one request may be sent to.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Needs no tenant key.
    pub anonymous: bool,
    /// A broken stream may go on at another server.
    pub resumable: bool,
    /// Regions in which its requests may run; empty for all.
    #[serde(default)]
    pub allowed_regions: Vec<String>,
}

impl Route {
    /// Whether a request of this route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// A model that groups of an engine service can hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelProfile {
    /// Model name.
    pub name: String,
    /// Servers in a group.
    pub size: u32,
    /// Share of the servers that its work needs at the start, from 0 to 1.
    pub share: f64,
    /// Factor on all step times.
    pub pace: f64,
    /// Time to load the weights from the store, in milliseconds.
    pub load_ms: u64,
    /// Time to load the weights from the host's memory, in milliseconds.
    pub warm_ms: u64,
}

/// What a service of model engines declares about its engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Requests that a group works on at once.
    pub slots: u32,
    /// Memory of a group, in tokens.
    pub memory_tokens: u64,
    /// Time of a step, in milliseconds.
    pub step_ms: f64,
    /// Added to a step for each request that writes, in milliseconds.
    pub per_sequence_ms: f64,
    /// Prompt tokens read in a second.
    pub read_per_second: f64,
    /// Tokens of a prompt that are read in one step, at most.
    pub chunk: u32,
    /// Steps in one pass while requests are writing.
    pub stride: u32,
    /// Loads from the weight store that may begin in a second.
    pub loads_per_second: f64,
    /// Loads from the weight store at a time beyond which each takes longer.
    pub loads_at_once: u32,
    /// Models that a host keeps staged.
    pub staged_models: u32,
    /// Models.
    pub models: Vec<ModelProfile>,
}

impl EngineProfile {
    /// The profile of a model, if the service knows it.
    pub fn model(&self, name: &str) -> Option<&ModelProfile> {
        self.models.iter().find(|model| model.name == name)
    }
}

/// What a service declares about servers that are cold: some time after a start, or after anything else that emptied
/// their caches. They say so themselves, in each report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a server is usually cold after a start, in milliseconds.
    pub usual_ms: u64,
    /// Requests a second that a cold server bears, from all callers together; above 0.
    pub requests_per_second: f64,
}

/// A service: servers that take the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceProfile {
    /// Unique name.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one server takes from all callers together.
    pub max_connections: u32,
    /// Set for services whose servers bear less while they are cold.
    #[serde(default)]
    pub cold_start: Option<ColdStart>,
    /// Set for services of model engines.
    pub engine: Option<EngineProfile>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time for a request head to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a connection may rest, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A tenant with its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantKeys {
    /// Unique name.
    pub name: String,
    /// Keys; a key belongs to one tenant.
    pub keys: Vec<String>,
    /// Rank that goes before the route's, if declared.
    pub priority: Option<u32>,
    /// Regions in which its requests may run; empty for all. Where the route names regions too, both bind.
    #[serde(default)]
    pub allowed_regions: Vec<String>,
}

/// One whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayConfiguration {
    /// Of two configurations the one with the higher version holds.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServiceProfile>,
    /// Bounds on requests.
    pub limits: RequestLimits,
    /// Tenants; without any, no request needs a key.
    pub tenants: Vec<TenantKeys>,
    /// The document as the operator sent it. Kept by members of the control group, empty elsewhere.
    pub document: Vec<u8>,
}

impl GatewayConfiguration {
    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&ServiceProfile> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The same configuration without the operator's document, for daemons that don't answer operators.
    pub fn without_document(&self) -> GatewayConfiguration {
        GatewayConfiguration { document: Vec::new(), ..self.clone() }
    }
}
