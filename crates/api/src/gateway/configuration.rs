//! The gateway configuration, which is accepted or rejected as a whole and ordered by its version.

use serde::{Deserialize, Serialize};

/// How often a request on a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    AtMostOnce,
    /// The response is a stream of events; runs at most once unless the route is resumable.
    Stream,
}

/// A service with its share of the requests on a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service name.
    pub service: String,
    /// Relative weight.
    pub weight: u32,
}

/// A route: requests to one host below one path prefix.
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
    /// Services among which the requests are distributed.
    pub services: Vec<WeightedService>,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target time to the response, or to its first event, in milliseconds.
    pub target_latency_ms: u64,
    /// Target maximum time between two events, in milliseconds; 0 if none is declared.
    pub target_gap_ms: u64,
    /// Maximum number of servers that one request may be sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether requests need no tenant key.
    pub anonymous: bool,
    /// Whether a broken stream may be resumed on another server.
    pub resumable: bool,
    /// Regions in which its requests may run; empty for all.
    #[serde(default)]
    pub allowed_regions: Vec<String>,
}

impl Route {
    /// Whether a request on this route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// A model that groups of an engine service can serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelProfile {
    /// Model name.
    pub name: String,
    /// Number of servers in a group.
    pub size: u32,
    /// Initial share of the servers that the model needs, from 0 to 1.
    pub share: f64,
    /// Factor by which all step times are multiplied.
    pub pace: f64,
    /// Time to load the weights from the weight store, in milliseconds.
    pub load_ms: u64,
    /// Time to load weights that are staged in the host's memory, in milliseconds.
    pub warm_ms: u64,
}

/// Declared performance figures of an engine service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Maximum number of requests that a group processes concurrently.
    pub slots: u32,
    /// KV cache capacity of a group, in tokens.
    pub memory_tokens: u64,
    /// Base duration of a step, in milliseconds.
    pub step_ms: f64,
    /// Additional duration of a step for each request that generates tokens, in milliseconds.
    pub per_sequence_ms: f64,
    /// Prompt tokens read per second.
    pub read_per_second: f64,
    /// Maximum number of tokens of a prompt that are read in one step.
    pub chunk: u32,
    /// Steps per pass while requests are generating tokens.
    pub stride: u32,
    /// Maximum number of loads from the weight store that may begin per second.
    pub loads_per_second: f64,
    /// Number of concurrent loads from the weight store beyond which each of them takes longer.
    pub loads_at_once: u32,
    /// Number of models that a host keeps staged.
    pub staged_models: u32,
    /// Models that the service can serve.
    pub models: Vec<ModelProfile>,
}

impl EngineProfile {
    /// Returns the profile of a model, if the service declares it.
    pub fn model(&self, name: &str) -> Option<&ModelProfile> {
        self.models.iter().find(|model| model.name == name)
    }
}

/// Declared limits of a service's cold servers. A server is cold for some time after a start, or after any other
/// event that emptied its caches, and states this in each of its reports.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Usual duration of the cold phase after a start, in milliseconds.
    pub usual_ms: u64,
    /// Requests per second that a cold server can handle, from all callers combined; greater than 0.
    pub requests_per_second: f64,
}

/// A service: servers that accept the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceProfile {
    /// Unique name.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Maximum number of connections that a server accepts from all callers combined.
    pub max_connections: u32,
    /// Set for services whose servers can handle fewer requests while they are cold.
    #[serde(default)]
    pub cold_start: Option<ColdStart>,
    /// Set for services of model engines.
    pub engine: Option<EngineProfile>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
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

/// A tenant and its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantKeys {
    /// Unique name.
    pub name: String,
    /// Keys; each key belongs to one tenant only.
    pub keys: Vec<String>,
    /// Priority that overrides the one of the route, if declared.
    pub priority: Option<u32>,
    /// Regions in which its requests may run; empty for all. If the route has allowed regions too, both
    /// restrictions apply.
    #[serde(default)]
    pub allowed_regions: Vec<String>,
}

/// A complete gateway configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayConfiguration {
    /// Version; of two configurations, the one with the higher version applies.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServiceProfile>,
    /// Limits on requests.
    pub limits: RequestLimits,
    /// Tenants; if there are none, requests need no key. A list that the operator sent empty is therefore replaced by
    /// [`GatewayConfiguration::requiring_keys`].
    pub tenants: Vec<TenantKeys>,
    /// The document as sent by the operator. Stored by members of the control group, empty elsewhere.
    pub document: Vec<u8>,
}

impl GatewayConfiguration {
    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceProfile> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Whether requests need a key on routes that are not anonymous.
    pub fn needs_keys(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Returns the configuration with a tenant that has no keys if it has no tenants: requests need a key then, and no key
    /// is known. A field of its own would change the form in which configurations are stored and sent.
    pub fn requiring_keys(mut self) -> GatewayConfiguration {
        if self.tenants.is_empty() {
            let name = String::new();
            let tenant = TenantKeys { name, keys: Vec::new(), priority: None, allowed_regions: Vec::new() };
            self.tenants.push(tenant);
        }
        self
    }

    /// Returns the configuration without the operator's document, for daemons that serve no operators.
    pub fn without_document(&self) -> GatewayConfiguration {
        GatewayConfiguration { document: Vec::new(), ..self.clone() }
    }
}
