//! Checks of a gateway configuration. All faults are gathered, each with the place it stands at.

use super::configuration::{GatewayConfiguration, Route};
use crate::code::ResultCode;
use std::collections::BTreeMap;
use std::fmt;

/// One fault of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationFault {
    /// The numbered code.
    pub code: ResultCode,
    /// What it concerns, such as `route r-1`.
    pub place: String,
    /// For people.
    pub message: String,
}

impl fmt::Display for ConfigurationFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.place, self.code, self.message)
    }
}

/// Every fault of a configuration; none if it may be accepted.
pub fn faults(configuration: &GatewayConfiguration) -> Vec<ConfigurationFault> {
    let mut found = Vec::new();
    for route in &configuration.routes {
        check_route(configuration, route, &mut found);
    }
    check_cold_rates(configuration, &mut found);
    check_places(configuration, &mut found);
    check_keys(configuration, &mut found);
    found
}

fn check_route(configuration: &GatewayConfiguration, route: &Route, found: &mut Vec<ConfigurationFault>) {
    let mut add = |code, message: String| {
        found.push(ConfigurationFault { code, place: format!("route {}", route.name), message });
    };
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        let message = format!("path prefix '{}' must start and end with a slash", route.path_prefix);
        add(ResultCode::RouteInvalid, message);
    }
    if route.timeout_ms == 0 {
        add(ResultCode::RouteInvalid, "the timeout is 0".to_string());
    }
    if route.services.iter().map(|part| u64::from(part.weight)).sum::<u64>() == 0 {
        add(ResultCode::RouteInvalid, "the weights of its services sum to 0".to_string());
    }
    for part in &route.services {
        if configuration.service(&part.service).is_none() {
            add(ResultCode::RouteUnknownService, format!("service '{}' is not declared", part.service));
        }
    }
}

/// A rate of 0 would shut cold servers out for ever: where a cold server bears as much as a warm one, none is declared.
fn check_cold_rates(configuration: &GatewayConfiguration, found: &mut Vec<ConfigurationFault>) {
    for service in &configuration.services {
        let rate = service.cold_start.map(|cold_start| cold_start.requests_per_second);
        if let Some(rate) = rate.filter(|rate| !rate.is_finite() || *rate <= 0.0) {
            found.push(ConfigurationFault {
                code: ResultCode::ServiceInvalid,
                place: format!("service {}", service.name),
                message: format!(
                    "its cold servers take {rate} requests a second; it must be a number above 0"
                ),
            });
        }
    }
}

fn check_places(configuration: &GatewayConfiguration, found: &mut Vec<ConfigurationFault>) {
    let mut places = BTreeMap::new();
    for route in &configuration.routes {
        let place = (route.host.to_ascii_lowercase(), route.path_prefix.clone());
        if let Some(earlier) = places.insert(place, route.name.clone()) {
            let message = format!("host and path prefix are those of route {earlier} too");
            found.push(ConfigurationFault {
                code: ResultCode::RouteDuplicate,
                place: format!("route {}", route.name),
                message,
            });
        }
    }
}

fn check_keys(configuration: &GatewayConfiguration, found: &mut Vec<ConfigurationFault>) {
    let mut holders: BTreeMap<&str, &str> = BTreeMap::new();
    for tenant in &configuration.tenants {
        for key in &tenant.keys {
            let earlier = holders.insert(key, &tenant.name);
            if let Some(earlier) = earlier.filter(|earlier| *earlier != tenant.name) {
                found.push(ConfigurationFault {
                    code: ResultCode::TenantKeyShared,
                    place: format!("tenant {}", tenant.name),
                    message: format!("one of its keys belongs to tenant {earlier} too"),
                });
            }
        }
    }
}
