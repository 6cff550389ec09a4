//! Validation of gateway configurations. Reports all faults, each with its location.

use super::configuration::{GatewayConfiguration, Route};
use crate::code::ResultCode;
use std::collections::BTreeMap;
use std::fmt;

/// A fault in a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationFault {
    /// Result code.
    pub code: ResultCode,
    /// The affected weighted, such as `route r-1`.
    pub location: String,
    /// Human-readable message.
    pub message: String,
}

impl fmt::Display for ConfigurationFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.location, self.code, self.message)
    }
}

/// Returns all faults in a configuration; none if it is valid.
pub fn validate_configuration(configuration: &GatewayConfiguration) -> Vec<ConfigurationFault> {
    let mut faults = Vec::new();
    for route in &configuration.routes {
        check_route(configuration, route, &mut faults);
    }
    check_cold_rates(configuration, &mut faults);
    check_duplicate_routes(configuration, &mut faults);
    check_shared_keys(configuration, &mut faults);
    faults
}

fn check_route(configuration: &GatewayConfiguration, route: &Route, faults: &mut Vec<ConfigurationFault>) {
    let mut add = |code, message: String| {
        faults.push(ConfigurationFault { code, location: format!("route {}", route.name), message });
    };
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        let message = format!("path prefix '{}' must start and end with a slash", route.path_prefix);
        add(ResultCode::RouteInvalid, message);
    }
    if route.timeout_ms == 0 {
        add(ResultCode::RouteInvalid, "the timeout is 0".to_string());
    }
    if route.services.iter().map(|weighted| u64::from(weighted.weight)).sum::<u64>() == 0 {
        add(ResultCode::RouteInvalid, "the weights of its services sum to 0".to_string());
    }
    for weighted in &route.services {
        if configuration.service(&weighted.service).is_none() {
            add(ResultCode::RouteUnknownService, format!("service '{}' is not declared", weighted.service));
        }
    }
}

/// A rate of 0 would exclude cold servers forever. A service whose cold servers can handle as much as warm ones
/// declares no rate.
fn check_cold_rates(configuration: &GatewayConfiguration, faults: &mut Vec<ConfigurationFault>) {
    for service in &configuration.services {
        let rate = service.cold_start.map(|cold_start| cold_start.requests_per_second);
        if let Some(rate) = rate.filter(|rate| !rate.is_finite() || *rate <= 0.0) {
            faults.push(ConfigurationFault {
                code: ResultCode::ServiceInvalid,
                location: format!("service {}", service.name),
                message: format!(
                    "its cold servers take {rate} requests a second; it must be a number above 0"
                ),
            });
        }
    }
}

fn check_duplicate_routes(configuration: &GatewayConfiguration, faults: &mut Vec<ConfigurationFault>) {
    let mut routes = BTreeMap::new();
    for route in &configuration.routes {
        let host_and_prefix = (route.host.to_ascii_lowercase(), route.path_prefix.clone());
        if let Some(earlier) = routes.insert(host_and_prefix, route.name.clone()) {
            let message = format!("host and path prefix are those of route {earlier} too");
            faults.push(ConfigurationFault {
                code: ResultCode::RouteDuplicate,
                location: format!("route {}", route.name),
                message,
            });
        }
    }
}

fn check_shared_keys(configuration: &GatewayConfiguration, faults: &mut Vec<ConfigurationFault>) {
    let mut key_owners: BTreeMap<&str, &str> = BTreeMap::new();
    for tenant in &configuration.tenants {
        for key in &tenant.keys {
            let earlier = key_owners.insert(key, &tenant.name);
            if let Some(earlier) = earlier.filter(|earlier| *earlier != tenant.name) {
                faults.push(ConfigurationFault {
                    code: ResultCode::TenantKeyShared,
                    location: format!("tenant {}", tenant.name),
                    message: format!("one of its keys belongs to tenant {earlier} too"),
                });
            }
        }
    }
}
