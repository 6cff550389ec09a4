//! Regions of the deployment's zones, and restrictions of requests to the regions that their route or tenant allows.

use super::Gateway;
use super::evacuation::no_server_code;
use super::receive::{ReceivedRequest, Refusal};
use crate::settings::Settings;
use crate::shared::Shared;
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_api::gateway::GatewayConfiguration;
use dockwood_routing::gateway::{AllowedRegions, AllowedZones};
use std::collections::{BTreeMap, BTreeSet};

/// Returns the region of a zone; `None` if it is not in the settings.
pub fn region_of<'a>(shared: &'a Shared, zone: &str) -> Option<&'a str> {
    zone_regions(&shared.settings)?.get(zone).map(String::as_str)
}

fn zone_regions(settings: &Settings) -> Option<&BTreeMap<String, String>> {
    settings.gateway.as_ref().map(|gateway| &gateway.zone_regions)
}

/// Returns the zones in which a request may run. If there is none, the request is refused without a retry time, because
/// only another configuration or other settings would change that.
pub fn allowed_zones(gateway: &Gateway, regions: &AllowedRegions) -> Result<AllowedZones, Refusal> {
    let unknown = BTreeMap::new();
    let zones = regions.zones(zone_regions(&gateway.shared.settings).unwrap_or(&unknown));
    if zones.are_none() {
        let message = "no zone lies in a region that both route and tenant allow";
        return Err(Refusal { code: ResultCode::NoServerInRegion, message, retry_after_ms: None });
    }
    Ok(zones)
}

/// Returns the result code for a request that no server can take.
pub fn no_server_in_zones_code(gateway: &Gateway, received: &ReceivedRequest) -> ResultCode {
    let code = no_server_code(&gateway.shared.tables().gateway, &received.service.name, &received.zones);
    let is_region_restricted = code == ResultCode::NoServer && received.zones.are_restricted();
    if is_region_restricted { ResultCode::NoServerInRegion } else { code }
}

/// Regions that the configuration names but no zone belongs to. Each change of this set is recorded once.
#[derive(Debug, Default)]
pub struct UnknownRegions {
    reported: BTreeSet<String>,
}

impl UnknownRegions {
    /// Checks a new configuration. It takes effect in any case, because zones of these regions may be added later.
    pub fn follow(&mut self, shared: &Shared, configuration: &GatewayConfiguration) {
        let known: BTreeSet<&String> =
            zone_regions(&shared.settings).into_iter().flat_map(BTreeMap::values).collect();
        let by_route = configuration.routes.iter().flat_map(|route| &route.allowed_regions);
        let by_tenant = configuration.tenants.iter().flat_map(|tenant| &tenant.allowed_regions);
        let unknown: BTreeSet<String> =
            by_route.chain(by_tenant).filter(|region| !known.contains(region)).cloned().collect();
        if unknown != self.reported && !unknown.is_empty() {
            let names = unknown.iter().map(String::as_str).collect::<Vec<&str>>().join(", ");
            let message = format!("no zone lies in {names}; requests that may run there only are refused");
            let subject = Subject::new("configuration", configuration.version.to_string());
            shared.timeline.record(subject, "RegionsUnknown", &message, None, ResultCode::NoServerInRegion);
        }
        self.reported = unknown;
    }
}
