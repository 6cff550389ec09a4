//! Regions of the deployment's zones, and what follows from them for requests whose route or tenant names regions.

use super::Gateway;
use super::evacuation::no_server_code;
use super::receive::{Received, Refusal};
use crate::settings::Settings;
use crate::shared::Shared;
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_api::gateway::GatewayConfiguration;
use dockwood_routing::gateway::{AllowedRegions, AllowedZones};
use std::collections::{BTreeMap, BTreeSet};

/// The region of a zone, as far as the settings tell.
pub fn region_of<'a>(shared: &'a Shared, zone: &str) -> Option<&'a str> {
    zone_regions(&shared.settings)?.get(zone).map(String::as_str)
}

fn zone_regions(settings: &Settings) -> Option<&BTreeMap<String, String>> {
    settings.gateway.as_ref().map(|gateway| &gateway.zone_regions)
}

/// The zones whose servers may take a request. Refused where there is no such zone: only another configuration, or
/// other settings, would mend that, so no time to come back is told.
pub fn zones_of(gateway: &Gateway, regions: &AllowedRegions) -> Result<AllowedZones, Refusal> {
    let unknown = BTreeMap::new();
    let zones = regions.zones(zone_regions(&gateway.shared.settings).unwrap_or(&unknown));
    if zones.are_none() {
        let message = "no zone lies in a region that both route and tenant allow";
        return Err(Refusal { code: ResultCode::NoServerInRegion, message, retry_after_ms: None });
    }
    Ok(zones)
}

/// What the caller is told where no server takes its request.
pub fn none_serves(gateway: &Gateway, received: &Received) -> ResultCode {
    let code = no_server_code(&gateway.shared.tables().gateway, &received.service.name, &received.zones);
    let is_bound = code == ResultCode::NoServer && received.zones.are_restricted();
    if is_bound { ResultCode::NoServerInRegion } else { code }
}

/// Regions that the configuration names and no zone has, to tell of each change of them once.
#[derive(Debug, Default)]
pub struct UnknownRegions {
    told: BTreeSet<String>,
}

impl UnknownRegions {
    /// Takes a configuration. It is in force all the same: the region's zones may be added later.
    pub fn follow(&mut self, shared: &Shared, configuration: &GatewayConfiguration) {
        let known: BTreeSet<&String> =
            zone_regions(&shared.settings).into_iter().flat_map(BTreeMap::values).collect();
        let by_route = configuration.routes.iter().flat_map(|route| &route.allowed_regions);
        let by_tenant = configuration.tenants.iter().flat_map(|tenant| &tenant.allowed_regions);
        let unknown: BTreeSet<String> =
            by_route.chain(by_tenant).filter(|region| !known.contains(region)).cloned().collect();
        if unknown != self.told && !unknown.is_empty() {
            let names = unknown.iter().map(String::as_str).collect::<Vec<&str>>().join(", ");
            let message = format!("no zone lies in {names}; requests that may run there only are refused");
            let subject = Subject::new("configuration", configuration.version.to_string());
            shared.timeline.record(subject, "RegionsUnknown", &message, None, ResultCode::NoServerInRegion);
        }
        self.told = unknown;
    }
}
