//! Data shared by tests of gateway decisions.

use dockwood_api::gateway::{Route, RouteKind, WeightedService};

/// Returns a route with two attempts to two services.
pub fn route(name: &str, prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: name.to_string(),
        host: "Host.Example".to_string(),
        path_prefix: prefix.to_string(),
        kind,
        services: vec![
            WeightedService { service: "s".to_string(), weight: 9 },
            WeightedService { service: "t".to_string(), weight: 1 },
        ],
        timeout_ms: 1_000,
        target_latency_ms: 100,
        target_gap_ms: 0,
        max_attempts: 2,
        priority: 1,
        anonymous: false,
        resumable: false,
        allowed_regions: Vec::new(),
    }
}
