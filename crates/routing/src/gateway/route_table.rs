//! Routes and API keys of one configuration, compiled for lookup.

use super::AllowedRegions;
use dockwood_api::gateway::{GatewayConfiguration, RequestLimits, Route, ServiceProfile};
use std::collections::HashMap;
use std::sync::Arc;

/// Routes by host, longest path prefix first; tenants by API key.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The configuration's version.
    pub version: u64,
    /// Limits on request sizes and timeouts.
    pub limits: RequestLimits,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<String, Arc<ServiceProfile>>,
    tenants: HashMap<String, Arc<Tenant>>,
    needs_keys: bool,
}

#[derive(Debug)]
struct Tenant {
    name: String,
    priority: Option<u32>,
    allowed_regions: AllowedRegions,
}

/// Result of checking a request's API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyVerdict {
    /// The request is accepted, on behalf of this tenant if any.
    Passes {
        /// Tenant name.
        tenant: Option<String>,
        /// The tenant's priority, which takes precedence over the route's.
        priority: Option<u32>,
        /// Regions allowed by the tenant.
        allowed_regions: AllowedRegions,
    },
    /// The key is missing or unknown.
    Refused,
}

/// Profile of the service that a request is sent to.
pub type Destination = Arc<ServiceProfile>;

impl RouteTable {
    /// Compiles a configuration.
    pub fn compile(configuration: &GatewayConfiguration) -> RouteTable {
        let mut table = RouteTable {
            version: configuration.version,
            limits: configuration.limits,
            needs_keys: configuration.needs_keys(),
            ..RouteTable::default()
        };
        for route in &configuration.routes {
            let host = route.host.to_ascii_lowercase();
            table.routes.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in table.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        for service in &configuration.services {
            table.services.insert(service.name.clone(), Arc::new(service.clone()));
        }
        for tenant in &configuration.tenants {
            let row = Arc::new(Tenant {
                name: tenant.name.clone(),
                priority: tenant.priority,
                allowed_regions: AllowedRegions::named(&tenant.allowed_regions),
            });
            table.tenants.extend(tenant.keys.iter().map(|key| (key.clone(), row.clone())));
        }
        table
    }

    /// Finds the route with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let without_port = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(&without_port.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Checks whether a key gives access to a route.
    pub fn check_key(&self, route: &Route, key: Option<&str>) -> KeyVerdict {
        let tenant = key.and_then(|key| self.tenants.get(key));
        match tenant {
            Some(tenant) => KeyVerdict::Passes {
                tenant: Some(tenant.name.clone()),
                priority: tenant.priority,
                allowed_regions: tenant.allowed_regions.clone(),
            },
            None if route.anonymous || !self.needs_keys => {
                KeyVerdict::Passes { tenant: None, priority: None, allowed_regions: AllowedRegions::All }
            }
            None => KeyVerdict::Refused,
        }
    }

    /// Selects the service for a request according to the route's weights; `drawn` is a uniform random
    /// number.
    pub fn destination(&self, route: &Route, drawn: u64) -> Option<Destination> {
        let total: u64 = route.services.iter().map(|part| u64::from(part.weight)).sum();
        let mut position = drawn % total.max(1);
        for part in &route.services {
            let weight = u64::from(part.weight);
            if position < weight {
                return self.services.get(&part.service).cloned();
            }
            position -= weight;
        }
        None
    }
}
